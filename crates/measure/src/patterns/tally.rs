//! What came of a world: worth by class, waits, stops and moves, targets, and free room.

use std::collections::BTreeMap;

use gaplock_jobs::{JobKey, TaskKey};
use gaplock_sched::message::EndCause;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::load::{Class, Load, TrueJob, BEGIN_MS, CLASSES, COOL_DOWN_MS, TRAFFIC_MS, WARM_UP_MS};
use super::worker::{Running, Worker};

/// What a job is worth that is done late, against one in time, and how many times the time that it may take
/// it may be late.
const LATE_WORTH: f64 = 0.15;
const MAX_LATE_FACTOR: u64 = 3;

/// The longest wait that is told apart, in milliseconds.
const MAX_RECORDED_WAIT_MS: u64 = 200_000;

/// A value for each class and their mean.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ByClass {
    /// Short jobs.
    pub short: f64,
    /// Batch jobs.
    pub batch: f64,
    /// Lasting jobs.
    pub lasting: f64,
    /// The mean of the three.
    pub mean: f64,
}

impl ByClass {
    /// Builds the shares that were earned of what was owed.
    pub fn shares(earned: &[f64; 3], owed: &[f64; 3]) -> Self {
        let share = |n: usize| if owed[n] > 0.0 { earned[n] / owed[n] } else { 1.0 };
        let [short, batch, lasting] = [share(0), share(1), share(2)];
        Self { short, batch, lasting, mean: (short + batch + lasting) / 3.0 }
    }
}

/// Waits from the moment at which a task could start to its first run, in milliseconds.
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

/// What came of a world.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The share of the worth owed that was earned.
    pub worth: ByClass,
    /// Waits by class.
    pub waits_ms: BTreeMap<Class, Waits>,
    /// Starts that workers carried out.
    pub starts: u64,
    /// Runs that were stopped although their job went on and nothing else had done their work.
    pub stops: u64,
    /// Starts of such a task on another worker.
    pub moves: u64,
    /// Processor time of work that was lost, in core seconds.
    pub lost_core_s: f64,
    /// The share of their time at work in which serving tasks exceeded their target.
    pub over_target: f64,
    /// The share of the processors that was not reserved.
    pub free: f64,
    /// The part of that which lay in pieces of half a worker or more.
    pub free_in_halves: f64,
    /// The largest free piece, against the largest worker.
    pub largest: f64,
    /// What happened when, for the plots.
    #[serde(skip)]
    pub timeline: Timeline,
}

/// What happened when.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Timeline {
    /// The first starts of short tasks: when they could start, and how long they waited.
    pub waits: Vec<(u64, u64)>,
    /// The free processors at each look: when, and in pieces of less than a quarter, a half, and more of a
    /// worker, in cores.
    pub free: Vec<(u64, [f64; 3])>,
    /// Runs that gave way: when, and of which class.
    pub preempted: Vec<(u64, Class)>,
}

/// How far a task has come.
#[derive(Debug, Clone, Copy, Default)]
struct TaskTally {
    started: bool,
    done: bool,
    /// The worker at which it was stopped last, until it starts again.
    stopped_at: Option<usize>,
}

/// Sums that gather while a world runs.
#[derive(Debug)]
pub struct Tally {
    tasks: BTreeMap<TaskKey, TaskTally>,
    /// Since when each step of each job could start, and how many of its tasks are not done.
    steps: Vec<Vec<(Option<u64>, u32)>>,
    completed: Vec<Option<u64>>,
    waits: [Histogram<u64>; 3],
    starts: u64,
    stops: u64,
    moves: u64,
    lost_core_s: f64,
    at_work: f64,
    owed_at_work: f64,
    serving: f64,
    over: f64,
    samples: f64,
    free: f64,
    in_halves: f64,
    largest: f64,
    timeline: Timeline,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_WAIT_MS, 3).expect("the bounds are sound")
}

/// Tells whether the fleet is looked at at this time.
fn is_measured(now: u64) -> bool {
    (BEGIN_MS + WARM_UP_MS..BEGIN_MS + TRAFFIC_MS).contains(&now)
}

/// How often the fleet is looked at, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 250;

/// Tells whether it is time for a look that counts.
pub fn is_sample_due(now: u64) -> bool {
    is_measured(now) && now.is_multiple_of(SAMPLE_INTERVAL_MS)
}

/// Tells whether a lasting job's tasks are owed at this time.
pub fn is_owed(job: &TrueJob, now: u64) -> bool {
    let from = job.arrives + Class::Lasting.time_allowance().1;
    job.class == Class::Lasting && job.counts() && (from..job.leaves).contains(&now)
}

impl Tally {
    /// Builds the sums of a world in which nothing has happened.
    pub fn new(load: &Load) -> Self {
        let steps = |job: &TrueJob| {
            let begun = |n: usize| (n == 0).then_some(job.arrives);
            let steps = job.job.steps.iter().enumerate();
            steps.map(|(n, step)| (begun(n), step.count)).collect()
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
            at_work: 0.0,
            owed_at_work: 0.0,
            serving: 0.0,
            over: 0.0,
            samples: 0.0,
            free: 0.0,
            in_halves: 0.0,
            largest: 0.0,
            timeline: Timeline::default(),
        }
    }

    /// Takes in that a job is stored as completed.
    pub fn completed(&mut self, key: JobKey, now: u64) {
        self.completed[key.0 as usize].get_or_insert(now);
    }

    /// Takes in that a worker carries a start out.
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

    /// Takes in that a run has ended at a worker.
    pub fn ended(
        &mut self,
        load: &Load,
        (task, at): (TaskKey, usize),
        how: EndCause,
        run: &Running,
        now: u64,
    ) {
        let state = self.tasks.entry(task).or_default();
        let job = load.job(task.job);
        if how == EndCause::Done && !std::mem::replace(&mut state.done, true) {
            return self.record_task_done(load, task, now);
        }
        if job.class != Class::Lasting {
            self.lost_core_s += run.unsaved_core_s();
        }
        if how == EndCause::Stopped && !state.done && now < job.leaves {
            state.stopped_at = Some(at);
            self.stops += 1;
            self.timeline.preempted.push((now, job.class));
        }
    }

    /// Counts a task that is done; with the last one of its step those begin that wait for it.
    fn record_task_done(&mut self, load: &Load, task: TaskKey, now: u64) {
        let steps = &mut self.steps[task.job.0 as usize];
        let of = usize::from(task.step);
        steps[of].1 -= 1;
        if steps[of].1 > 0 {
            return;
        }
        for (n, step) in load.job(task.job).job.steps.iter().enumerate() {
            if step.after.contains(&task.step) {
                steps[n].0 = Some(now);
            }
        }
    }

    /// Takes in that a run went down with its worker.
    pub fn crashed(&mut self, run: &Running) {
        if run.class != Class::Lasting {
            self.lost_core_s += run.unsaved_core_s();
        }
    }

    /// Looks at what runs and what is free.
    pub fn sample(&mut self, load: &Load, workers: &[Worker], now: u64) {
        if !is_measured(now) {
            return;
        }
        let span = SAMPLE_INTERVAL_MS as f64 / 1e3;
        let owed = load.jobs.iter().take_while(|j| j.arrives <= now).filter(|j| is_owed(j, now));
        self.owed_at_work += owed.map(|j| j.weight * span).sum::<f64>();
        for worker in workers.iter().filter(|w| w.up) {
            self.sample_tasks(load, worker, now, span);
        }
        self.sample_free_capacity(workers, now);
    }

    fn sample_tasks(&mut self, load: &Load, worker: &Worker, now: u64, span: f64) {
        for task in worker.running.keys() {
            let job = load.job(task.job);
            let target = job.job.steps[usize::from(task.step)].tail_target;
            let over = target.is_some_and(|most| worker.tail_ms(load, *task, now) > most.0 as f64);
            if target.is_some() {
                self.serving += span;
                self.over += if over { span } else { 0.0 };
            }
            if is_owed(job, now) && !over {
                self.at_work += span;
            }
        }
    }

    fn sample_free_capacity(&mut self, workers: &[Worker], now: u64) {
        let up = || workers.iter().filter(|w| w.up);
        let cpu = |w: &Worker| f64::from(w.info.capacity.cpu.0) / 1e3;
        let all: f64 = up().map(cpu).sum();
        let greatest = up().map(cpu).fold(0.0, f64::max);
        let (mut pieces, mut largest) = ([0.0; 3], 0.0_f64);
        for worker in up() {
            let free = f64::from(worker.free().cpu.0) / 1e3;
            let share = free / greatest;
            let size = usize::from(share >= 0.25) + usize::from(share >= 0.5);
            pieces[size] += free;
            largest = largest.max(share);
        }
        let free: f64 = pieces.iter().sum();
        self.samples += 1.0;
        self.free += free / all;
        self.in_halves += if free > 0.0 { pieces[2] / free } else { 0.0 };
        self.largest += largest;
        self.timeline.free.push((now, pieces));
    }

    /// Returns what came of it all.
    pub fn outcome(mut self, load: &Load) -> Outcome {
        self.record_unstarted_waits(load);
        let waits = CLASSES.into_iter().zip(&self.waits).map(|(class, h)| {
            let [p50, p90, p99] = [0.5, 0.9, 0.99].map(|q| h.value_at_quantile(q));
            (class, Waits { p50, p90, p99, most: h.max() })
        });
        let waits_ms = waits.collect();
        let (mut earned, mut owed) = worth_of_finite_jobs(load, &self.completed);
        earned[Class::Lasting as usize] = self.at_work;
        owed[Class::Lasting as usize] = self.owed_at_work;
        let looks = self.samples.max(1.0);
        Outcome {
            worth: ByClass::shares(&earned, &owed),
            waits_ms,
            starts: self.starts,
            stops: self.stops,
            moves: self.moves,
            lost_core_s: self.lost_core_s,
            over_target: self.over / self.serving.max(1.0),
            free: self.free / looks,
            free_in_halves: self.in_halves / looks,
            largest: self.largest / looks,
            timeline: self.timeline,
        }
    }

    /// Counts the waits of tasks that never started, up to the end.
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

/// Returns what jobs that end have earned, and what is owed, by class.
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
