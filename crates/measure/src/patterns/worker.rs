//! Simulates one incarnation of a worker: what it runs, at which rates, and what it reports.

use std::collections::BTreeMap;

use gaplock_jobs::{Step, TaskKey};
use gaplock_sched::message::{
    EndCause, EndSeq, Run, RunEnd, RunningTask, WorkerClock, WorkerInfo, WorkerIx, WorkerReport,
};
use gaplock_types::sizes::Resources;
use gaplock_types::time::Instant;

use super::load::{Class, Load, TrueWorker};

/// The interval at which a batch task writes a checkpoint, in milliseconds of work.
const CHECKPOINT_EVERY_MS: u64 = 1_000;

/// The work after which a run with a failing image fails, in milliseconds.
const FAILS_AFTER_MS: f64 = 100.0;

/// The tail latency of a serving task without load, in milliseconds.
const UNLOADED_TAIL_MS: f64 = 10.0;

/// The utilisation at which tail latency is capped; beyond it, the tail would depend only on when clients give up.
const MAX_UTILISATION: f64 = 0.99;

/// The share of a worker's processors above which best-effort tasks of any image interfere with the serving
/// tasks there (see `docs/MEASUREMENTS.md`, section Disturbance).
const CONTENTION_SHARE: f64 = 0.6;

/// Returns the resources that a task reserves on a worker. A best-effort task reserves no processors.
pub fn reserved_resources(step: &Step) -> Resources {
    let cpu = if step.fills { 0 } else { step.demand.cpu.0 };
    Resources::new(cpu, step.demand.mem.0, 0)
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Running {
    /// Which run of its task it is.
    pub run: Run,
    /// The class of its job.
    pub class: Class,
    /// The processors that it asks for, in cores.
    pub cores: f64,
    /// The resources that it reserves on the worker.
    pub reserved: Resources,
    /// Its total work, in milliseconds; unset for a long-running task.
    pub work_ms: Option<f64>,
    /// The work done, in milliseconds.
    pub done_ms: f64,
    /// The work that earlier runs had saved when it began, in milliseconds.
    pub from_ms: f64,
    /// Its pace in percent.
    pub pace: u32,
    /// Whether it is being stopped.
    pub stopping: bool,
    saves: bool,
    image: usize,
    fails: bool,
    rate: f64,
    since: u64,
    /// When its end is expected. End events scheduled for another time are outdated.
    pub ends_at: u64,
}

impl Running {
    /// Returns the progress in its last checkpoint, which outlives the run, in milliseconds of work.
    pub fn saved_ms(&self) -> u64 {
        if !self.saves {
            return 0;
        }
        let saved = self.done_ms as u64 / CHECKPOINT_EVERY_MS * CHECKPOINT_EVERY_MS;
        saved.max(self.from_ms as u64)
    }

    /// Returns the processor time that is lost if it ends now, in core seconds.
    pub fn unsaved_core_s(&self) -> f64 {
        (self.done_ms - self.saved_ms() as f64).max(0.0) / 1e3 * self.cores
    }

    fn percent(&self) -> u32 {
        let Some(work) = self.work_ms else { return 100 };
        (self.done_ms / work.max(1.0) * 100.0).min(100.0) as u32
    }
}

/// One incarnation of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Its entry in the directory.
    pub info: WorkerInfo,
    /// Its true properties, some of which the scheduler does not know.
    pub truth: TrueWorker,
    /// Whether it is up; unset once it has crashed.
    pub up: bool,
    /// Its runs by task.
    pub running: BTreeMap<TaskKey, Running>,
    /// Ends of runs that the leader has not acknowledged yet.
    pub ends: Vec<RunEnd>,
    /// The highest fencing token that it has seen.
    pub token: u64,
    /// When its leases end, in milliseconds of virtual time.
    pub lease_until: u64,
    /// The renewal whose answer waits for the end of a run, if any.
    pub pending_renewal: Option<PendingRenewal>,
    next_seq: u64,
    last_ended: BTreeMap<TaskKey, Run>,
}

/// A renewal whose answer waits for the end of a run.
#[derive(Debug, Clone, Copy)]
pub struct PendingRenewal {
    /// The position under which the leader knows the worker.
    pub ix: WorkerIx,
    /// The leader's term.
    pub term: u64,
    /// When the call was sent.
    pub sent: Instant,
}

impl Worker {
    /// Builds a worker that has not run anything yet.
    pub fn new(info: WorkerInfo, truth: TrueWorker) -> Self {
        Self {
            info,
            truth,
            up: true,
            running: BTreeMap::new(),
            ends: Vec::new(),
            token: 0,
            lease_until: 0,
            pending_renewal: None,
            next_seq: 1,
            last_ended: BTreeMap::new(),
        }
    }

    /// Returns the resources that no run reserves.
    pub fn free(&self) -> Resources {
        let taken =
            self.running.values().fold(Resources::default(), |sum, r| sum.plus(&r.reserved));
        self.info.capacity.minus(&taken)
    }

    fn cores(&self) -> f64 {
        f64::from(self.info.capacity.cpu.0) / 1e3
    }

    /// Returns whether this run, or a later one of its task, has ended or is refused here.
    pub fn is_old(&self, task: TaskKey, run: Run) -> bool {
        self.last_ended.get(&task).is_some_and(|last| run <= *last)
    }

    /// Refuses this run and all earlier ones of its task from now on.
    pub fn refuse_run(&mut self, task: TaskKey, run: Run) {
        let last = self.last_ended.entry(task).or_default();
        *last = (*last).max(run);
    }

    /// Begins a run, which resumes at the progress that an earlier one saved.
    pub fn begin(&mut self, load: &Load, task: TaskKey, run: Run, saved_ms: u64, now: u64) {
        let job = load.job(task.job);
        let step = &job.job.steps[usize::from(task.step)];
        let work = job.work_ms[usize::from(task.step)][task.index as usize] as f64;
        let from_ms = saved_ms as f64;
        let running = Running {
            run,
            class: job.class,
            cores: f64::from(step.demand.cpu.0) / 1e3,
            reserved: reserved_resources(step),
            work_ms: (!step.lasting).then_some(work),
            done_ms: from_ms,
            from_ms,
            pace: 100,
            stopping: false,
            saves: step.checkpoints,
            image: job.image,
            fails: job.fails,
            rate: 0.0,
            since: now,
            ends_at: u64::MAX,
        };
        self.running.insert(task, running);
    }

    /// Ends a run and adds its end to the list of unacknowledged ones.
    pub fn end(&mut self, task: TaskKey, cause: EndCause) -> Option<Running> {
        let running = self.running.remove(&task)?;
        self.refuse_run(task, running.run);
        let seq = EndSeq(self.next_seq);
        self.next_seq += 1;
        let checkpoint = Some(running.saved_ms()).filter(|&ms| ms > 0).map(|ms| ms.to_string());
        self.ends.push(RunEnd { seq, task, run: running.run, cause, checkpoint });
        Some(running)
    }

    /// Updates the progress of all runs to this time.
    pub fn update_progress(&mut self, now: u64) {
        for r in self.running.values_mut() {
            r.done_ms += r.rate * now.saturating_sub(r.since) as f64;
            r.since = now;
        }
    }

    /// Recomputes the rate of each run, and returns the expected ends that have changed.
    pub fn set_rates(&mut self, load: &Load, now: u64) -> Vec<(u64, TaskKey)> {
        let (speed, scale) = (self.truth.speed, self.best_effort_scale(load, now));
        let mut ends = Vec::new();
        for (task, r) in &mut self.running {
            r.rate = match r.class {
                Class::Batch => speed * scale * f64::from(r.pace) / 100.0,
                Class::Short | Class::Lasting => speed,
            };
            let total = if r.fails { Some(r.from_ms + FAILS_AFTER_MS) } else { r.work_ms };
            let Some(total) = total.filter(|_| r.rate > 0.0) else { continue };
            let ends_at = now + ((total - r.done_ms).max(0.0) / r.rate).ceil() as u64;
            if ends_at != r.ends_at {
                r.ends_at = ends_at;
                ends.push((ends_at, *task));
            }
        }
        ends
    }

    /// Returns the cause with which a run ends once its work is over.
    pub fn end_cause(&self, task: TaskKey) -> EndCause {
        match self.running.get(&task).is_some_and(|r| r.fails) {
            true => EndCause::Failed,
            false => EndCause::Done,
        }
    }

    /// Returns the share of the processors wanted by best-effort tasks that is left for them.
    fn best_effort_scale(&self, load: &Load, now: u64) -> f64 {
        let (mut taken, mut wanted) = (0.0, 0.0);
        for (task, r) in &self.running {
            match r.class {
                Class::Short => taken += r.cores,
                Class::Lasting => taken += r.cores * load.job(task.job).load_oscillation.at(now),
                Class::Batch => wanted += r.cores * f64::from(r.pace) / 100.0,
            }
        }
        let left = (self.cores() - taken).max(0.0);
        if wanted > left {
            left / wanted
        } else {
            1.0
        }
    }

    /// Returns the tail latency of a serving task, in milliseconds.
    pub fn tail_ms(&self, load: &Load, task: TaskKey, now: u64) -> f64 {
        let job = load.job(task.job);
        let best_effort = self.running.values().filter(|r| r.class == Class::Batch);
        let (mut interference, mut share) = (0.0, 0.0);
        for r in best_effort {
            let used = r.cores * r.rate / self.truth.speed / self.cores();
            share += used;
            interference += used * load.factors[job.image][r.image];
        }
        interference += (share - CONTENTION_SHARE).max(0.0) * load.contention;
        let utilisation =
            job.load_oscillation.at(now) * (1.0 + interference) / self.truth.speed.max(0.5);
        UNLOADED_TAIL_MS / (1.0 - utilisation.min(MAX_UTILISATION))
    }

    /// Returns the worker's report, the answer to a renewal.
    pub fn report(&self, load: &Load, now: u64) -> WorkerReport {
        let running = self.running.iter().map(|(task, r)| RunningTask {
            task: *task,
            run: r.run,
            checkpoint: Some(r.saved_ms()).filter(|&ms| ms > 0).map(|ms| ms.to_string()),
            progress_percent: r.percent(),
            reading: Some(self.reading(load, *task, r, now)),
        });
        let running = running.collect();
        WorkerReport { worker: None, clock: WorkerClock(now), running, ends: self.ends.clone() }
    }

    fn reading(&self, load: &Load, task: TaskKey, r: &Running, now: u64) -> u32 {
        let job = load.job(task.job);
        let step = &job.job.steps[usize::from(task.step)];
        let used = r.cores * 1e3;
        let reading = match r.class {
            Class::Short => used,
            Class::Batch => used * r.rate / self.truth.speed,
            Class::Lasting if step.tail_target.is_some() => self.tail_ms(load, task, now),
            Class::Lasting => used * job.load_oscillation.at(now),
        };
        reading as u32
    }
}
