//! Draws a pattern's load from a seed: the jobs with their true sizes and ends, the workers, and how images
//! interfere with each other. The scheduler gets only the jobs as submitted; the simulation and the bound know
//! the rest.

use std::sync::Arc;

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::shape::{Pattern, Tasks};
use crate::draw;

/// When a load begins, in milliseconds of virtual time. It is above 0, so that a time of 0 ("never") lies in
/// the past.
pub const BEGIN_MS: u64 = 10_000;

/// The time to fill the fleet before results count, in milliseconds.
pub const WARM_UP_MS: u64 = 8_000;

/// The time during which jobs are submitted, from the beginning, in milliseconds.
pub const TRAFFIC_MS: u64 = 60_000;

/// The time that a simulation goes on after the last job is submitted, in milliseconds.
pub const COOL_DOWN_MS: u64 = 12_000;

/// The wall-clock time at virtual time 0, in milliseconds since 1970; the value does not matter.
pub const UNIX_BASE_MS: u64 = 1_700_000_000_000;

/// The interference factors of best-effort images that interfere with a serving image, and of all others (see
/// `docs/MEASUREMENTS.md`, section Disturbance).
const INTERFERING_FACTORS: std::ops::Range<f64> = 1.2..2.7;
const OTHER_FACTORS: std::ops::Range<f64> = 0.0..0.1;

/// The additional interference with all serving tasks on a worker, for a whole worker's processors of best-effort
/// work beyond the share from which contention arises.
const CONTENTION_FACTOR: f64 = 1.5;

/// The range in which the load of a serving job oscillates, and the range of the periods, in milliseconds.
const OSCILLATING_LOADS: std::ops::Range<f64> = 0.3..0.75;
const SWING_MS: std::ops::Range<f64> = 10_000.0..30_000.0;

/// The speed of a slow worker, as a share of the usual speed.
const SLOW_SPEED: f64 = 0.25;

/// The mean time until a long-running job is cancelled, in milliseconds.
const MEAN_LIFETIME_MS: f64 = 70_000.0;

/// The tail latency target of a serving task: five times its tail latency without load.
const TAIL_TARGET: Millis = Millis(50);

/// The share of batch jobs that write checkpoints, and the share of short jobs of whose tasks two runs may run
/// at the same time.
const CHECKPOINTING_SHARE: f64 = 0.85;
const DUPLICATES_SHARE: f64 = 0.3;

/// The memory of a worker for each of its cores, and of a task for each core that it asks for, in mebibytes.
/// Memory limits the best-effort tasks on a worker, since these reserve no processors.
const WORKER_MIB_PER_CORE: u32 = 4_096;
const TASK_MIB_PER_CORE: u32 = 2_048;

/// A class of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Its tasks reserve processors and end soon.
    Short,
    /// Its tasks are best-effort, and most of them write checkpoints.
    Batch,
    /// Its tasks are long-running: they serve until the job is cancelled.
    Lasting,
}

/// All classes.
pub const CLASSES: [Class; 3] = [Class::Short, Class::Batch, Class::Lasting];

impl Class {
    /// Returns its name, which is also the name of its queue.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Batch => "batch",
            Self::Lasting => "lasting",
        }
    }

    /// Returns the time that a job may take: the factor for its longest chain of work, and the slack added to
    /// that, in milliseconds.
    pub fn time_allowance(self) -> (f64, u64) {
        match self {
            Self::Short => (1.5, 300),
            Self::Batch => (2.0, 1_000),
            Self::Lasting => (1.0, 2_500),
        }
    }
}

/// The oscillating load of a long-running job.
#[derive(Debug, Clone, Copy)]
pub struct LoadOscillation {
    period_ms: f64,
    phase: f64,
}

impl LoadOscillation {
    /// Returns the load at a time, as a share of what the job's tasks can handle.
    pub fn at(&self, now: u64) -> f64 {
        let angle = now as f64 / self.period_ms * std::f64::consts::TAU + self.phase;
        OSCILLATING_LOADS.start
            + (OSCILLATING_LOADS.end - OSCILLATING_LOADS.start) * (1.0 + angle.sin()) / 2.0
    }
}

/// A job with its true properties, some of which the scheduler does not know.
#[derive(Debug, Clone)]
pub struct TrueJob {
    /// The job as submitted to the scheduler.
    pub job: Arc<Job>,
    /// Its class.
    pub class: Class,
    /// When it is submitted, in milliseconds of virtual time.
    pub arrives: u64,
    /// When it is cancelled, if it is long-running; otherwise never (`u64::MAX`).
    pub leaves: u64,
    /// When it must be done; never (`u64::MAX`) for a long-running job.
    pub due: u64,
    /// The work of each task by step, in milliseconds.
    pub work_ms: Vec<Vec<u64>>,
    /// Its weight relative to other jobs of its class.
    pub weight: f64,
    /// Whether all its runs fail.
    pub fails: bool,
    /// The index of its tasks' image, among the images of its kind.
    pub image: usize,
    /// Its oscillating load, if it is long-running.
    pub load_oscillation: LoadOscillation,
}

impl TrueJob {
    /// Returns the processor time that it takes without faults, in core seconds.
    pub fn core_s(&self) -> f64 {
        let steps = self.job.steps.iter().zip(&self.work_ms);
        let of = |(step, work): (&Step, &Vec<u64>)| {
            f64::from(step.demand.cpu.0) * work.iter().sum::<u64>() as f64 / 1e6
        };
        steps.map(of).sum()
    }

    /// Returns whether its result counts: its runs don't fail, and it is long-running or arrives after the
    /// warm-up.
    pub fn counts(&self) -> bool {
        let seen = self.class == Class::Lasting || self.arrives >= BEGIN_MS + WARM_UP_MS;
        seen && !self.fails
    }
}

/// A worker with its true properties, some of which the scheduler does not know.
#[derive(Debug, Clone, Copy)]
pub struct TrueWorker {
    /// Its total resources.
    pub capacity: Resources,
    /// Its failure domain.
    pub domain: usize,
    /// Its speed relative to the usual one.
    pub speed: f64,
}

/// Everything that is drawn for a pattern and a seed.
#[derive(Debug, Clone)]
pub struct Load {
    /// The workers.
    pub workers: Vec<TrueWorker>,
    /// The jobs by arrival; a job's key is its position.
    pub jobs: Vec<TrueJob>,
    /// The interference factors by serving image, then best-effort image.
    pub factors: Vec<Vec<f64>>,
    /// The additional interference of all best-effort tasks beyond the share of a worker from which contention
    /// arises.
    pub contention: f64,
}

impl Load {
    /// Returns the job with this key.
    pub fn job(&self, key: JobKey) -> &TrueJob {
        &self.jobs[key.0 as usize]
    }

    /// Returns the same load without any interference between images.
    pub fn without_interference(mut self) -> Self {
        self.factors.iter_mut().flatten().for_each(|factor| *factor = 0.0);
        Self { contention: 0.0, ..self }
    }

    /// Returns the processors of all workers, in cores.
    pub fn cores(&self) -> f64 {
        self.workers.iter().map(|w| f64::from(w.capacity.cpu.0) / 1e3).sum()
    }
}

/// Draws a pattern's load.
pub fn draw(pattern: &Pattern, seed: u64) -> Load {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let workers = draw_workers(pattern, &mut rng);
    let (serving, best_effort) = pattern.shape.images;
    let mut row =
        |_| (0..best_effort).map(|_| factor(&mut rng, pattern.shape.interfering_share)).collect();
    let factors = (0..serving).map(&mut row).collect();
    let mut load = Load { workers, jobs: Vec::new(), factors, contention: CONTENTION_FACTOR };
    let mut draft = Draft { pattern, rng, cores: load.cores(), jobs: Vec::new() };
    draft.add_lasting_jobs();
    draft.add_finite_jobs(Class::Short, pattern.shape.short_task_share, &pattern.shape.short_tasks);
    draft.add_finite_jobs(Class::Batch, pattern.shape.batch, &pattern.shape.batch_tasks);
    load.jobs = draft.in_order();
    load
}

/// Builds resources of `cpu` thousandths of a core with `mib_per_core` mebibytes of memory for each core.
fn resources(cpu: u32, mib_per_core: u32) -> Resources {
    Resources::new(cpu, cpu * mib_per_core / 1_000, 0)
}

fn factor(rng: &mut ChaCha8Rng, interfering_share: f64) -> f64 {
    let range =
        if rng.random_bool(interfering_share) { INTERFERING_FACTORS } else { OTHER_FACTORS };
    rng.random_range(range)
}

fn draw_workers(pattern: &Pattern, rng: &mut ChaCha8Rng) -> Vec<TrueWorker> {
    let shape = &pattern.shape;
    let one = |n: usize| {
        let size = rng.random_range(0.5..1.5);
        let slow = n % 12 == 5;
        let usual = if n % 3 == 2 { 1.5 } else { 1.0 };
        let (size, speed) = match (pattern.faults.uneven, slow) {
            (false, _) => (usual, 1.0),
            (true, false) => (usual * size, 1.0),
            (true, true) => (usual * size, SLOW_SPEED),
        };
        let cpu = (f64::from(shape.worker_cpu) * size) as u32;
        let capacity = resources(cpu, WORKER_MIB_PER_CORE);
        TrueWorker { capacity, domain: n * shape.domains / shape.workers, speed }
    };
    (0..shape.workers).map(one).collect()
}

/// A load while it is being drawn.
struct Draft<'a> {
    pattern: &'a Pattern,
    rng: ChaCha8Rng,
    cores: f64,
    jobs: Vec<TrueJob>,
}

impl Draft<'_> {
    /// Adds the long-running jobs. Some arrive at the beginning; others replace those that are cancelled.
    fn add_lasting_jobs(&mut self) {
        let wanted = self.cores * self.pattern.shape.lasting * self.pattern.load;
        let mut reserved = 0.0;
        while reserved < wanted {
            let arrives = BEGIN_MS + self.rng.random_range(0..2_000);
            reserved += self.add_lasting(arrives);
        }
        let (end, mut at) = (BEGIN_MS + TRAFFIC_MS, BEGIN_MS as f64);
        let mean = reserved / self.jobs.len().max(1) as f64;
        loop {
            at += draw::exponential(&mut self.rng, MEAN_LIFETIME_MS * mean / wanted);
            if at as u64 >= end {
                break;
            }
            self.add_lasting(at as u64);
        }
    }

    /// Adds a long-running job and returns the processors that it reserves, in cores.
    fn add_lasting(&mut self, arrives: u64) -> f64 {
        let tasks = &self.pattern.shape.lasting_tasks;
        let cpu = self.log_between(tasks.cpu.0, tasks.cpu.1);
        let count = self.rng.random_range(1..2 * tasks.width);
        let image = self.rng.random_range(0..self.pattern.shape.images.0);
        let lifetime = draw::exponential(&mut self.rng, MEAN_LIFETIME_MS).max(4_000.0) as u64;
        let fails = self.pattern.faults.failing_images && self.jobs.len() == 3;
        let step = Step {
            lasting: true,
            tail_target: Some(TAIL_TARGET),
            image: Some(format!("serving-{image}")),
            may_miss: Some(1),
            ..self.step(count, cpu, tasks.ms)
        };
        let (steps, leaves) = (vec![step], arrives + lifetime);
        let load_oscillation = LoadOscillation {
            period_ms: self.rng.random_range(SWING_MS),
            phase: self.rng.random_range(0.0..std::f64::consts::TAU),
        };
        let job = self.job(Class::Lasting, arrives, steps);
        let (work_ms, weight) = (vec![vec![0; count as usize]], f64::from(count));
        let (class, due) = (Class::Lasting, u64::MAX);
        let job = TrueJob {
            job,
            class,
            arrives,
            leaves,
            due,
            work_ms,
            weight,
            fails,
            image,
            load_oscillation,
        };
        self.jobs.push(job);
        f64::from(count * cpu) / 1e3
    }

    /// Adds jobs that end by themselves, at a rate at which they use a share of all processors.
    fn add_finite_jobs(&mut self, class: Class, share: f64, tasks: &Tasks) {
        let (first, end) = (self.jobs.len(), BEGIN_MS + TRAFFIC_MS);
        let cores = self.cores * share * self.pattern.load;
        let mut at = BEGIN_MS as f64 + 2_000.0;
        while (at as u64) < end {
            self.add_finite_job(class, at as u64, tasks);
            // The pause is in proportion to the size of the last job, so that each seed keeps to the share.
            let last = self.jobs.last().map_or(0.0, TrueJob::core_s);
            at += draw::exponential(&mut self.rng, last / cores * 1e3);
        }
        let added = &mut self.jobs[first..];
        let mean = added.iter().map(TrueJob::core_s).sum::<f64>() / added.len().max(1) as f64;
        for job in added {
            job.weight = (0.3 + 0.7 * job.core_s() / mean).min(4.0);
        }
    }

    fn add_finite_job(&mut self, class: Class, arrives: u64, tasks: &Tasks) {
        let two_steps = class == Class::Batch || self.rng.random_bool(0.6);
        let image = self.rng.random_range(0..self.pattern.shape.images.1);
        let drawn_to_fail = self.rng.random_bool(0.05);
        let fails = drawn_to_fail && class == Class::Short && self.pattern.faults.failing_images;
        let batch = class == Class::Batch;
        let duplicates = self.rng.random_bool(DUPLICATES_SHARE) && !batch;
        let checkpoints = self.rng.random_bool(CHECKPOINTING_SHARE) && batch;
        let (mut steps, mut work_ms) = (Vec::new(), Vec::new());
        for n in 0..if two_steps { 2 } else { 1 } {
            let count = self.rng.random_range(1..2 * tasks.width);
            let cpu = self.log_between(tasks.cpu.0, tasks.cpu.1);
            let mean = (tasks.ms as f64 * self.rng.random_range(0.5..1.5)) as u64;
            steps.push(Step {
                after: if n == 0 { Vec::new() } else { vec![0] },
                fills: batch,
                checkpoints,
                duplicates,
                image: Some(format!("{}-{image}", class.name())),
                ..self.step(count, cpu, mean)
            });
            work_ms.push(self.draw_work_times(count, mean));
        }
        let chain: u64 = work_ms.iter().filter_map(|w| w.iter().max()).sum();
        let (stretch, slack) = class.time_allowance();
        let due = arrives + (chain as f64 * stretch) as u64 + slack;
        let (leaves, weight) = (u64::MAX, 1.0);
        let load_oscillation = LoadOscillation { period_ms: 1.0, phase: 0.0 };
        let job = self.job(class, arrives, steps);
        let job = TrueJob {
            job,
            class,
            arrives,
            leaves,
            due,
            work_ms,
            weight,
            fails,
            image,
            load_oscillation,
        };
        self.jobs.push(job);
    }

    /// Draws the work of each task of a step, in milliseconds.
    fn draw_work_times(&mut self, count: u32, mean: u64) -> Vec<u64> {
        let one = |_| (mean as f64 * self.rng.random_range(0.8..1.2)) as u64;
        (0..count).map(one).collect()
    }

    fn step(&mut self, count: u32, cpu: u32, mean_ms: u64) -> Step {
        let factor = match (self.pattern.faults.misjudged, self.rng.random_bool(0.5)) {
            (false, _) => 1.0,
            (true, false) => 0.5,
            (true, true) => 1.5,
        };
        let estimate = Millis((mean_ms as f64 * factor) as u64);
        let demand = resources(cpu, TASK_MIB_PER_CORE);
        Step { count, demand, estimate, ..Step::default() }
    }

    fn job(&self, class: Class, arrives: u64, steps: Vec<Step>) -> Arc<Job> {
        Arc::new(Job {
            key: JobKey(0),
            queue: class.name().to_string(),
            spec: String::new(),
            steps,
            repeat: None,
            accepted_unix_ms: UNIX_BASE_MS + arrives,
            accepting_queue: None,
        })
    }

    fn log_between(&mut self, least: u32, most: u32) -> u32 {
        let log = self.rng.random_range(f64::from(least).ln()..f64::from(most).ln());
        log.exp() as u32
    }

    /// Returns the jobs by arrival, each with its position as its key.
    fn in_order(self) -> Vec<TrueJob> {
        let mut jobs = self.jobs;
        jobs.sort_by_key(|j| j.arrives);
        for (at, job) in jobs.iter_mut().enumerate() {
            Arc::make_mut(&mut job.job).key = JobKey(at as u64);
        }
        jobs
    }
}
