//! Defines the patterns: the fleet, its load, and its faults.

/// A fleet and its load. The load is given as shares of the fleet's processors, so that it scales with the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// The number of workers.
    pub workers: usize,
    /// The processors of most workers, in thousandths of a core; every third worker has half as much again.
    pub worker_cpu: u32,
    /// The number of failure domains that the workers are spread over.
    pub domains: usize,
    /// The share of all processors that long-running tasks reserve.
    pub lasting: f64,
    /// The share of all processors that short tasks reserve on average.
    pub short_task_share: f64,
    /// The share of all processors that batch tasks would use on average, out of what other tasks leave idle.
    pub batch: f64,
    /// Short jobs: mostly many tasks, in one or two steps.
    pub short_tasks: Tasks,
    /// Batch jobs: two steps of best-effort tasks, most of which write checkpoints.
    pub batch_tasks: Tasks,
    /// Long-running jobs: one step of serving tasks that run until the job is cancelled.
    pub lasting_tasks: Tasks,
    /// The number of images of serving tasks, and of short and best-effort tasks.
    pub images: (usize, usize),
    /// The share of pairs of a serving and a best-effort image in which the latter interferes with the former.
    pub interfering_share: f64,
}

/// The tasks of a class of job.
#[derive(Debug, Clone, Copy)]
pub struct Tasks {
    /// The mean number of tasks in a step.
    pub width: u32,
    /// Their mean work, in milliseconds; for long-running tasks only the estimate that the scheduler gets, which
    /// has no meaning.
    pub ms: u64,
    /// The least and the most processors that they ask for, in thousandths of a core. The logarithm is
    /// distributed uniformly.
    pub cpu: (u32, u32),
}

/// The faults in a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Workers have between 0.5 and 1.5 times their usual capacity, and one in twelve of them is slow.
    pub uneven: bool,
    /// Callers' estimates of work are too low or too high by half.
    pub misjudged: bool,
    /// One short job in twenty, and one of the long-running ones, has an image whose runs all fail.
    pub failing_images: bool,
    /// A third of a failure domain's workers crashes, and new workers replace them later.
    pub domain_lost: bool,
    /// The number of times that the leader is lost and another one takes over.
    pub leader_changes: u64,
}

/// A named fleet and load with its faults.
#[derive(Debug, Clone, Copy)]
pub struct Pattern {
    /// Its name on the command line and in results.
    pub name: &'static str,
    /// The fleet and its load.
    pub shape: Shape,
    /// The factor that the shape's load is multiplied by.
    pub load: f64,
    /// The faults that occur.
    pub faults: Faults,
}

const SMALL: Shape = Shape {
    workers: 64,
    worker_cpu: 16_000,
    domains: 4,
    lasting: 0.80,
    short_task_share: 0.05,
    batch: 0.34,
    short_tasks: Tasks { width: 6, ms: 1_000, cpu: (800, 2_800) },
    batch_tasks: Tasks { width: 8, ms: 2_200, cpu: (1_200, 2_700) },
    lasting_tasks: Tasks { width: 6, ms: 500, cpu: (2_000, 5_000) },
    images: (5, 9),
    interfering_share: 0.27,
};

/// More workers, more tasks in a step, and short tasks that ask for more of a worker.
const GROWN: Shape = Shape {
    workers: 480,
    short_tasks: Tasks { width: 10, ms: 1_000, cpu: (1_400, 5_000) },
    batch_tasks: Tasks { width: 20, ..SMALL.batch_tasks },
    lasting_tasks: Tasks { width: 14, ..SMALL.lasting_tasks },
    images: (10, 18),
    ..SMALL
};

/// Hundreds of hosts, short tasks that ask for up to most of a worker's processors, and more than a thousand
/// starts per second.
const LARGE: Shape = Shape {
    workers: 900,
    domains: 6,
    short_tasks: Tasks { width: 9, ms: 800, cpu: (2_000, 12_000) },
    batch_tasks: Tasks { width: 39, ms: 2_700, ..SMALL.batch_tasks },
    lasting_tasks: Tasks { width: 24, ..SMALL.lasting_tasks },
    images: (16, 30),
    ..SMALL
};

/// A full pool in which most best-effort images interfere with most serving images.
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

const fn with_faults(name: &'static str, faults: Faults) -> Pattern {
    Pattern { name, shape: SMALL, load: 1.0, faults }
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
