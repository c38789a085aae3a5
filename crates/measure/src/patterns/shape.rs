//! The patterns: what a fleet looks like, what it is asked for, and what goes wrong there.

/// A fleet and its load, in shares of its processors, so that a shape can be drawn at any size.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// How many workers there are.
    pub workers: usize,
    /// What most of them have, in thousandths of a core; each third one has half as much again.
    pub worker_cpu: u32,
    /// How many failure domains they lie in.
    pub domains: usize,
    /// The share of all processors that lasting tasks reserve.
    pub lasting: f64,
    /// The share that short tasks reserve on average.
    pub short: f64,
    /// The share that batch tasks would use on average, of what the others leave.
    pub batch: f64,
    /// Short jobs: mostly wide, one or two steps.
    pub short_tasks: Tasks,
    /// Batch jobs: two steps that fill and mostly save their progress.
    pub batch_tasks: Tasks,
    /// Lasting jobs: one step that serves until the job is cancelled.
    pub lasting_tasks: Tasks,
    /// How many images serve, and how many fill.
    pub images: (usize, usize),
    /// The share of the pairs of a serving and a filling image that disturb each other.
    pub interfering_share: f64,
}

/// What the tasks of a class of job are like.
#[derive(Debug, Clone, Copy)]
pub struct Tasks {
    /// How many a step has on average.
    pub width: u32,
    /// How long they work on average, in milliseconds; for lasting ones a guess that means nothing.
    pub ms: u64,
    /// The processors that they ask for at least and at most, in thousandths of a core; the logarithm is
    /// drawn evenly.
    pub cpu: (u32, u32),
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Workers have between half and one and a half times the room that they have else, and a twelfth
    /// of them is slow.
    pub uneven: bool,
    /// Callers' estimates are off by half, either way.
    pub misjudged: bool,
    /// One short job in twenty, and one of the lasting ones, has an image whose runs all fail.
    pub failing_images: bool,
    /// A third of a failure domain is lost, and comes back later.
    pub domain_lost: bool,
    /// How often the leader is lost and another one takes over.
    pub leader_changes: u64,
}

/// A named load with what goes wrong.
#[derive(Debug, Clone, Copy)]
pub struct Pattern {
    /// Its name.
    pub name: &'static str,
    /// The fleet.
    pub shape: Shape,
    /// How much of the shape's load there is.
    pub load: f64,
    /// What goes wrong.
    pub faults: Faults,
}

const SMALL: Shape = Shape {
    workers: 64,
    worker_cpu: 16_000,
    domains: 4,
    lasting: 0.80,
    short: 0.05,
    batch: 0.34,
    short_tasks: Tasks { width: 6, ms: 1_000, cpu: (800, 2_800) },
    batch_tasks: Tasks { width: 8, ms: 2_200, cpu: (1_200, 2_700) },
    lasting_tasks: Tasks { width: 6, ms: 500, cpu: (2_000, 5_000) },
    images: (5, 9),
    interfering_share: 0.27,
};

/// More workers, wider steps, and short tasks that ask for more of a worker.
const GROWN: Shape = Shape {
    workers: 480,
    short_tasks: Tasks { width: 10, ms: 1_000, cpu: (1_400, 5_000) },
    batch_tasks: Tasks { width: 20, ..SMALL.batch_tasks },
    lasting_tasks: Tasks { width: 14, ..SMALL.lasting_tasks },
    images: (10, 18),
    ..SMALL
};

/// Hundreds of hosts; short tasks that ask for up to most of a worker, and more than a thousand starts a
/// second.
const LARGE: Shape = Shape {
    workers: 900,
    domains: 6,
    short_tasks: Tasks { width: 9, ms: 800, cpu: (2_000, 12_000) },
    batch_tasks: Tasks { width: 39, ms: 2_700, ..SMALL.batch_tasks },
    lasting_tasks: Tasks { width: 24, ..SMALL.lasting_tasks },
    images: (16, 30),
    ..SMALL
};

/// A full pool in which most filling images press on most of what serves.
const INTERFERING: Shape = Shape { lasting: 0.88, interfering_share: 0.75, ..SMALL };

const NO_FAULTS: Faults = Faults {
    uneven: false,
    misjudged: false,
    failing_images: false,
    domain_lost: false,
    leader_changes: 0,
};

const fn without_faults(name: &'static str, shape: Shape, load: f64) -> Pattern {
    Pattern { name, shape, load, faults: NO_FAULTS }
}

const fn with_faults(name: &'static str, trouble: Faults) -> Pattern {
    Pattern { name, shape: SMALL, load: 1.0, faults: trouble }
}

/// All patterns.
pub const PATTERNS: &[Pattern] = &[
    without_faults("small", SMALL, 1.0),
    without_faults("grown", GROWN, 1.0),
    without_faults("large", LARGE, 1.0),
    without_faults("half-load", SMALL, 0.5),
    without_faults("more-load", SMALL, 1.25),
    without_faults("pressed", INTERFERING, 1.0),
    with_faults("uneven", Faults { uneven: true, ..NO_FAULTS }),
    with_faults("misjudged", Faults { misjudged: true, ..NO_FAULTS }),
    with_faults("failing-images", Faults { failing_images: true, ..NO_FAULTS }),
    with_faults("domain-lost", Faults { domain_lost: true, ..NO_FAULTS }),
    with_faults("leader-changes", Faults { leader_changes: 4, ..NO_FAULTS }),
];

/// Finds a pattern by its name.
pub fn find(name: &str) -> Option<&'static Pattern> {
    PATTERNS.iter().find(|p| p.name == name)
}
