//! Counts the results of a simulation: earned worth by class, waits, stops and moves, missed tail targets, and
//! free capacity.

use std::collections::BTreeMap;

use gaplock_jobs::{JobKey, TaskKey};
use gaplock_sched::message::EndCause;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::load::{Class, Load, TrueJob, BEGIN_MS, CLASSES, COOL_DOWN_MS, TRAFFIC_MS, WARM_UP_MS};
use super::worker::{Running, Worker};

/// What a late job is worth, as a share of one that is done in time, and how many times its allowed time it may
/// take to count as late; after that it is worth nothing.
const LATE_WORTH: f64 = 0.15;
const MAX_LATE_FACTOR: u64 = 3;

/// The longest wait that the histograms record exactly, in milliseconds; longer ones count as this one.
const MAX_RECORDED_WAIT_MS: u64 = 200_000;

/// A value for each class and their mean.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ByClass {
    /// Short jobs.
    pub short: f64,
    /// Batch jobs.
    pub batch: f64,
    /// Long-running jobs.
    pub lasting: f64,
    /// The mean of the three.
    pub mean: f64,
}

impl ByClass {
    /// Returns the share of the worth owed that was earned, by class; a class that is owed nothing has 1.
    pub fn shares(earned: &[f64; 3], owed: &[f64; 3]) -> Self {
        let share = |n: usize| if owed[n] > 0.0 { earned[n] / owed[n] } else { 1.0 };
        let [short, batch, lasting] = [share(0), share(1), share(2)];
        Self { short, batch, lasting, mean: (short + batch + lasting) / 3.0 }
    }
}

/// Waits between the time when a task could start and its first start, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Waits {
    /// The median.
    pub p50: u64,
    /// The 90th percentile.
    pub p90: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The longest.
    pub most: u64,
}

/// The results of a simulation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The share of the worth owed that was earned.
    pub worth: ByClass,
    /// Waits by class.
    pub waits_ms: BTreeMap<Class, Waits>,
    /// The number of starts that workers carried out.
    pub starts: u64,
    /// The number of runs that were stopped although their job went on and no other run had done their work.
    pub stops: u64,
    /// How often such a task then started on another worker.
    pub moves: u64,
    /// Processor time of lost work, in core seconds.
    pub lost_core_s: f64,
    /// The share of their running time in which serving tasks exceeded their tail target.
    pub over_target: f64,
    /// The mean share of the processors that was not reserved.
    pub free: f64,
    /// The mean part of that which was on workers with at least half of the largest worker's processors free.
    pub free_in_halves: f64,
    /// The mean of the most processors free on one worker, as a share of the largest worker's processors.
    pub largest: f64,
    /// Events and samples over time, for the plots.
    #[serde(skip)]
    pub timeline: Timeline,
}

/// Events and samples over time, for the plots.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Timeline {
    /// For each task of short jobs that counts: the time when it could start, and how long it waited.
    pub waits: Vec<(u64, u64)>,
    /// For each sample: its time, and the free processors in cores, summed over the workers whose free processors
    /// are less than a quarter, a quarter to a half, and at least half of the largest worker's.
    pub free: Vec<(u64, [f64; 3])>,
    /// The time and the class of each preempted run.
    pub preempted: Vec<(u64, Class)>,
}

/// The progress of one task.
#[derive(Debug, Clone, Copy, Default)]
struct TaskTally {
    started: bool,
    done: bool,
    /// The worker on which it was last stopped; unset once it starts again.
    stopped_at: Option<usize>,
}

/// The counts of a running simulation.
#[derive(Debug)]
pub struct Tally {
    tasks: BTreeMap<TaskKey, TaskTally>,
    /// For each step of each job: since when it could start, if it can, and the number of its unfinished tasks.
    steps: Vec<Vec<(Option<u64>, u32)>>,
    completed: Vec<Option<u64>>,
    waits: [Histogram<u64>; 3],
    starts: u64,
    stops: u64,
    moves: u64,
    lost_core_s: f64,
    running_s: f64,
    owed_running_s: f64,
    serving_s: f64,
    over_target_s: f64,
    samples: f64,
    free: f64,
    in_halves: f64,
    largest: f64,
    timeline: Timeline,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_WAIT_MS, 3)
        .expect("the histogram's constant bounds are valid")
}

/// Returns whether samples at this time count: after the warm-up and while jobs arrive.
fn is_measured(now: u64) -> bool {
    (BEGIN_MS + WARM_UP_MS..BEGIN_MS + TRAFFIC_MS).contains(&now)
}

/// The interval between two samples of the fleet, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 250;

/// Returns whether a sample that counts is due at this time.
pub fn is_sample_due(now: u64) -> bool {
    is_measured(now) && now.is_multiple_of(SAMPLE_INTERVAL_MS)
}

/// Returns whether the tasks of a long-running job are owed, that is, should run, at this time.
pub fn is_owed(job: &TrueJob, now: u64) -> bool {
    let from = job.arrives + Class::Lasting.time_allowance().1;
    job.class == Class::Lasting && job.counts() && (from..job.leaves).contains(&now)
}

impl Tally {
    /// Builds the counts for a simulation that has not begun.
    pub fn new(load: &Load) -> Self {
        let steps = |job: &TrueJob| {
            let ready_since = |n: usize| (n == 0).then_some(job.arrives);
            let steps = job.job.steps.iter().enumerate();
            steps.map(|(n, step)| (ready_since(n), step.count)).collect()
        };
        Self {
            tasks: BTreeMap::new(),
            steps: load.jobs.iter().map(steps).collect(),
            completed: vec![None; load.jobs.len()],
            waits: [histogram(), histogram(), histogram()],
            starts: 0,
            stops: 0,
            moves: 0,
            lost_core_s: 0.0,
            running_s: 0.0,
            owed_running_s: 0.0,
            serving_s: 0.0,
            over_target_s: 0.0,
            samples: 0.0,
            free: 0.0,
            in_halves: 0.0,
            largest: 0.0,
            timeline: Timeline::default(),
        }
    }

    /// Records that a job is stored as completed.
    pub fn completed(&mut self, key: JobKey, now: u64) {
        self.completed[key.0 as usize].get_or_insert(now);
    }

    /// Records that a worker carries out a start.
    pub fn started(&mut self, load: &Load, task: TaskKey, at: usize, now: u64) {
        self.starts += 1;
        let state = self.tasks.entry(task).or_default();
        let moved = state.stopped_at.take().is_some_and(|before| before != at);
        self.moves += u64::from(moved);
        if std::mem::replace(&mut state.started, true) {
            return;
        }
        let ready = self.steps[task.job.0 as usize][usize::from(task.step)].0;
        self.record_wait(load.job(task.job), ready.unwrap_or(now), now);
    }

    fn record_wait(&mut self, job: &TrueJob, ready: u64, now: u64) {
        if ready < BEGIN_MS + WARM_UP_MS || job.fails {
            return;
        }
        let wait = now.saturating_sub(ready);
        self.waits[job.class as usize].saturating_record(wait);
        if job.class == Class::Short {
            self.timeline.waits.push((ready, wait));
        }
    }

    /// Records that a run has ended on a worker.
    pub fn ended(
        &mut self,
        load: &Load,
        (task, at): (TaskKey, usize),
        cause: EndCause,
        run: &Running,
        now: u64,
    ) {
        let state = self.tasks.entry(task).or_default();
        let job = load.job(task.job);
        if cause == EndCause::Done && !std::mem::replace(&mut state.done, true) {
            return self.record_task_done(load, task, now);
        }
        if job.class != Class::Lasting {
            self.lost_core_s += run.unsaved_core_s();
        }
        if cause == EndCause::Stopped && !state.done && now < job.leaves {
            state.stopped_at = Some(at);
            self.stops += 1;
            self.timeline.preempted.push((now, job.class));
        }
    }

    /// Records that a task is done. The last one of a step makes the steps ready that wait for this step.
    fn record_task_done(&mut self, load: &Load, task: TaskKey, now: u64) {
        let steps = &mut self.steps[task.job.0 as usize];
        let finished = usize::from(task.step);
        steps[finished].1 -= 1;
        if steps[finished].1 > 0 {
            return;
        }
        for (n, step) in load.job(task.job).job.steps.iter().enumerate() {
            if step.after.contains(&task.step) {
                steps[n].0 = Some(now);
            }
        }
    }

    /// Records that a run was lost in the crash of its worker.
    pub fn crashed(&mut self, run: &Running) {
        if run.class != Class::Lasting {
            self.lost_core_s += run.unsaved_core_s();
        }
    }

    /// Records one sample of the running tasks and the free capacity.
    pub fn sample(&mut self, load: &Load, workers: &[Worker], now: u64) {
        if !is_measured(now) {
            return;
        }
        let span = SAMPLE_INTERVAL_MS as f64 / 1e3;
        let owed = load.jobs.iter().take_while(|j| j.arrives <= now).filter(|j| is_owed(j, now));
        self.owed_running_s += owed.map(|j| j.weight * span).sum::<f64>();
        for worker in workers.iter().filter(|w| w.up) {
            self.sample_tasks(load, worker, now, span);
        }
        self.sample_free_capacity(workers, now);
    }

    fn sample_tasks(&mut self, load: &Load, worker: &Worker, now: u64, span: f64) {
        for task in worker.running.keys() {
            let job = load.job(task.job);
            let target = job.job.steps[usize::from(task.step)].tail_target;
            let over =
                target.is_some_and(|limit| worker.tail_ms(load, *task, now) > limit.0 as f64);
            if target.is_some() {
                self.serving_s += span;
                self.over_target_s += if over { span } else { 0.0 };
            }
            if is_owed(job, now) && !over {
                self.running_s += span;
            }
        }
    }

    fn sample_free_capacity(&mut self, workers: &[Worker], now: u64) {
        let up = || workers.iter().filter(|w| w.up);
        let cpu = |w: &Worker| f64::from(w.info.capacity.cpu.0) / 1e3;
        let total: f64 = up().map(cpu).sum();
        let greatest = up().map(cpu).fold(0.0, f64::max);
        let (mut free_by_size, mut largest) = ([0.0; 3], 0.0_f64);
        for worker in up() {
            let free = f64::from(worker.free().cpu.0) / 1e3;
            let share = free / greatest;
            let size = usize::from(share >= 0.25) + usize::from(share >= 0.5);
            free_by_size[size] += free;
            largest = largest.max(share);
        }
        let free: f64 = free_by_size.iter().sum();
        self.samples += 1.0;
        self.free += free / total;
        self.in_halves += if free > 0.0 { free_by_size[2] / free } else { 0.0 };
        self.largest += largest;
        self.timeline.free.push((now, free_by_size));
    }

    /// Returns the results of the whole simulation.
    pub fn outcome(mut self, load: &Load) -> Outcome {
        self.record_unstarted_waits(load);
        let waits = CLASSES.into_iter().zip(&self.waits).map(|(class, h)| {
            let [p50, p90, p99] = [0.5, 0.9, 0.99].map(|q| h.value_at_quantile(q));
            (class, Waits { p50, p90, p99, most: h.max() })
        });
        let waits_ms = waits.collect();
        let (mut earned, mut owed) = worth_of_finite_jobs(load, &self.completed);
        earned[Class::Lasting as usize] = self.running_s;
        owed[Class::Lasting as usize] = self.owed_running_s;
        let samples = self.samples.max(1.0);
        Outcome {
            worth: ByClass::shares(&earned, &owed),
            waits_ms,
            starts: self.starts,
            stops: self.stops,
            moves: self.moves,
            lost_core_s: self.lost_core_s,
            over_target: self.over_target_s / self.serving_s.max(1.0),
            free: self.free / samples,
            free_in_halves: self.in_halves / samples,
            largest: self.largest / samples,
            timeline: self.timeline,
        }
    }

    /// Records the waits of tasks that never started, up to the end of their job or of the simulation.
    fn record_unstarted_waits(&mut self, load: &Load) {
        let end = BEGIN_MS + TRAFFIC_MS + COOL_DOWN_MS;
        for job in &load.jobs {
            let key = job.job.key;
            for (n, step) in job.job.steps.iter().enumerate() {
                let Some(ready) = self.steps[key.0 as usize][n].0 else { continue };
                let task = |index| TaskKey { job: key, round: 0, step: n as u16, index };
                let started = |index| self.tasks.get(&task(index)).is_some_and(|t| t.started);
                let never = (0..step.count).filter(|&index| !started(index)).count();
                for _ in 0..never {
                    self.record_wait(job, ready, end.min(job.leaves));
                }
            }
        }
    }
}

/// Returns the worth earned and owed by class, for the jobs that end by themselves (short and batch).
pub fn worth_of_finite_jobs(load: &Load, completed: &[Option<u64>]) -> ([f64; 3], [f64; 3]) {
    let (mut earned, mut owed) = ([0.0; 3], [0.0; 3]);
    let end = BEGIN_MS + TRAFFIC_MS + COOL_DOWN_MS;
    let ending = |job: &&TrueJob| job.class != Class::Lasting && job.counts() && job.due <= end;
    for job in load.jobs.iter().filter(ending) {
        let class = job.class as usize;
        owed[class] += job.weight;
        earned[class] += match completed[job.job.key.0 as usize] {
            Some(at) if at <= job.due => job.weight,
            Some(at) if at <= job.arrives + (job.due - job.arrives) * MAX_LATE_FACTOR => {
                job.weight * LATE_WORTH
            }
            _ => 0.0,
        };
    }
    (earned, owed)
}
