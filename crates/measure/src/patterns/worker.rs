//! One worker's incarnation: what it runs, at which rate, and what it says of itself.

use std::collections::BTreeMap;

use gaplock_jobs::{Step, TaskKey};
use gaplock_sched::message::{
    EndCause, EndSeq, Run, RunEnd, RunningTask, WorkerClock, WorkerInfo, WorkerIx, WorkerReport,
};
use gaplock_types::sizes::Resources;
use gaplock_types::time::Instant;

use super::load::{Class, Load, TrueWorker};

/// How often a batch task saves its progress, in milliseconds of work.
const CHECKPOINT_EVERY_MS: u64 = 1_000;

/// How long a run whose image fails goes on, in milliseconds.
const FAILS_AFTER_MS: f64 = 100.0;

/// The tail of a serving task without any load, in milliseconds.
const UNLOADED_TAIL_MS: f64 = 10.0;

/// The utilisation beyond which tails only grow by what the clients give up.
const MAX_UTILISATION: f64 = 0.99;

/// The share of a worker's processors from which filling tasks of any image disturb what is served
/// there, as measured (`docs/MEASUREMENTS.md`, section Disturbance).
const CONTENTION_SHARE: f64 = 0.6;

/// Returns what a task takes of a worker's room: one that fills reserves no processors.
pub fn reserved_resources(step: &Step) -> Resources {
    let cpu = if step.fills { 0 } else { step.demand.cpu.0 };
    Resources::new(cpu, step.demand.mem.0, 0)
}

/// A run at a worker.
#[derive(Debug, Clone)]
pub struct Running {
    /// Which run it is.
    pub run: Run,
    /// The class of its job.
    pub class: Class,
    /// The processors that it asks for, in cores.
    pub cores: f64,
    /// What it takes of the worker's room.
    pub takes: Resources,
    /// How much work it has, in milliseconds; unset for one that lasts.
    pub work_ms: Option<f64>,
    /// How much of it is done.
    pub done_ms: f64,
    /// How much was done when it began.
    pub from_ms: f64,
    /// Its pace in percent.
    pub pace: u32,
    /// Set once it is being stopped.
    pub stopping: bool,
    saves: bool,
    image: usize,
    fails: bool,
    rate: f64,
    since: u64,
    /// When its end is expected, so that an older expectation is known as such.
    pub ends_at: u64,
}

impl Running {
    /// Returns the progress that outlives the run, in milliseconds of work.
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
    /// How the directory lists it.
    pub info: WorkerInfo,
    /// What it really is.
    pub truth: TrueWorker,
    /// Unset once it has crashed.
    pub up: bool,
    /// What it runs.
    pub running: BTreeMap<TaskKey, Running>,
    /// Ends that were not acknowledged.
    pub ends: Vec<RunEnd>,
    /// The highest fencing token that it has seen.
    pub token: u64,
    /// The end of its leases.
    pub lease_until: u64,
    /// The renewal that waits for an end: whose call it is, and when it was sent.
    pub pending_renewal: Option<PendingRenewal>,
    next_seq: u64,
    last_ended: BTreeMap<TaskKey, Run>,
}

/// A renewal that waits at a worker.
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
    /// Builds a worker that has run nothing.
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

    /// Returns the room that nothing takes.
    pub fn free(&self) -> Resources {
        let taken = self.running.values().fold(Resources::default(), |sum, r| sum.plus(&r.takes));
        self.info.capacity.minus(&taken)
    }

    fn cores(&self) -> f64 {
        f64::from(self.info.capacity.cpu.0) / 1e3
    }

    /// Tells whether a run was ended, or barred, before.
    pub fn is_old(&self, task: TaskKey, run: Run) -> bool {
        self.last_ended.get(&task).is_some_and(|last| run <= *last)
    }

    /// Refuses a run, and all before it, from now on.
    pub fn refuse_run(&mut self, task: TaskKey, run: Run) {
        let last = self.last_ended.entry(task).or_default();
        *last = (*last).max(run);
    }

    /// Begins a run, and takes up its work where an earlier one has saved it.
    pub fn begin(&mut self, load: &Load, task: TaskKey, run: Run, saved_ms: u64, now: u64) {
        let job = load.job(task.job);
        let step = &job.job.steps[usize::from(task.step)];
        let work = job.work_ms[usize::from(task.step)][task.index as usize] as f64;
        let from_ms = saved_ms as f64;
        let running = Running {
            run,
            class: job.class,
            cores: f64::from(step.demand.cpu.0) / 1e3,
            takes: reserved_resources(step),
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

    /// Ends a run and lists its end.
    pub fn end(&mut self, task: TaskKey, how: EndCause) -> Option<Running> {
        let running = self.running.remove(&task)?;
        self.refuse_run(task, running.run);
        let seq = EndSeq(self.next_seq);
        self.next_seq += 1;
        let checkpoint = Some(running.saved_ms()).filter(|&ms| ms > 0).map(|ms| ms.to_string());
        self.ends.push(RunEnd { seq, task, run: running.run, cause: how, checkpoint });
        Some(running)
    }

    /// Brings the progress of all runs up to date.
    pub fn update_progress(&mut self, now: u64) {
        for r in self.running.values_mut() {
            r.done_ms += r.rate * now.saturating_sub(r.since) as f64;
            r.since = now;
        }
    }

    /// Works out anew at which rate each run goes on, and returns the ends that are expected now.
    pub fn set_rates(&mut self, load: &Load, now: u64) -> Vec<(u64, TaskKey)> {
        let (speed, scale) = (self.truth.speed, self.best_effort_scale(load, now));
        let mut ends = Vec::new();
        for (task, r) in &mut self.running {
            r.rate = match r.class {
                Class::Batch => speed * scale * f64::from(r.pace) / 100.0,
                Class::Short | Class::Lasting => speed,
            };
            let whole = if r.fails { Some(r.from_ms + FAILS_AFTER_MS) } else { r.work_ms };
            let Some(whole) = whole.filter(|_| r.rate > 0.0) else { continue };
            let ends_at = now + ((whole - r.done_ms).max(0.0) / r.rate).ceil() as u64;
            if ends_at != r.ends_at {
                r.ends_at = ends_at;
                ends.push((ends_at, *task));
            }
        }
        ends
    }

    /// Returns how a run ends whose time is over.
    pub fn end_cause(&self, task: TaskKey) -> EndCause {
        match self.running.get(&task).is_some_and(|r| r.fails) {
            true => EndCause::Failed,
            false => EndCause::Done,
        }
    }

    /// Returns which part of what filling tasks want is left for them.
    fn best_effort_scale(&self, load: &Load, now: u64) -> f64 {
        let (mut taken, mut wanted) = (0.0, 0.0);
        for (task, r) in &self.running {
            match r.class {
                Class::Short => taken += r.cores,
                Class::Lasting => taken += r.cores * load.job(task.job).swing.at(now),
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

    /// Returns the tail of a serving task in milliseconds.
    pub fn tail_ms(&self, load: &Load, task: TaskKey, now: u64) -> f64 {
        let job = load.job(task.job);
        let filling = self.running.values().filter(|r| r.class == Class::Batch);
        let (mut pressure, mut share) = (0.0, 0.0);
        for r in filling {
            let used = r.cores * r.rate / self.truth.speed / self.cores();
            share += used;
            pressure += used * load.factors[job.image][r.image];
        }
        pressure += (share - CONTENTION_SHARE).max(0.0) * load.contention;
        let utilisation = job.swing.at(now) * (1.0 + pressure) / self.truth.speed.max(0.5);
        UNLOADED_TAIL_MS / (1.0 - utilisation.min(MAX_UTILISATION))
    }

    /// Returns the worker's account of itself.
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
            Class::Lasting => used * job.swing.at(now),
        };
        reading as u32
    }
}
