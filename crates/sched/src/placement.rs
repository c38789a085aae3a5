//! Chooses a worker for a task.

use gaplock_jobs::config::Advice;
use gaplock_jobs::{Step, TaskKey};
use gaplock_types::ids;
use gaplock_types::time::Millis;

use crate::context::Context;
use crate::message::WorkerIx;
use crate::pacing;
use crate::permits::{self, StepKey};
use crate::table;
use crate::worker::Worker;

/// What is asked of a worker.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The pool.
    pub service: &'a ids::ServiceId,
    /// The step.
    pub step: &'a Step,
    /// The task.
    pub task: TaskKey,
    /// The worker on which the task failed last.
    pub avoid: Option<WorkerIx>,
    /// How long the task has waited.
    pub waited: Millis,
    /// Set where only workers of one rack will do.
    pub only_rack: Option<&'a String>,
    /// Set where another service says which workers may run the step.
    pub advice: Option<&'a Advice>,
}

/// Worth of running in the rack that holds the data, against one whole worker of free room.
const RACK_WORTH: f64 = 4.0;

/// Cost of the worker on which the task failed last, against one whole worker of free room.
const FAILED_HERE_COST: f64 = 8.0;

/// Why a worker does not get a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unfit {
    /// It belongs to another pool, or is gone.
    OtherPool,
    /// It is draining, unlisted, silent or avoided.
    NotTaking,
    /// It has no room.
    Full,
    /// Its tasks come along much slower than elsewhere.
    Slow,
    /// It has room, but that is kept for tasks that end soon.
    Reserved,
    /// It lacks the label.
    Label,
    /// It runs as many tasks of the step as it may, or another run of this one.
    Spread,
    /// Nothing says that the step may run there.
    NotPermitted,
    /// The task would disturb what is served there.
    Disturbs,
}

/// How many workers do not get a task, by reason; for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UnfitCounts {
    /// Draining, unlisted, silent or avoided workers.
    pub not_taking: u32,
    /// Workers without room.
    pub full: u32,
    /// Slow workers.
    pub slow: u32,
    /// Workers whose room is reserved.
    pub reserved: u32,
    /// Workers without the label.
    pub label: u32,
    /// Workers that run enough of the step.
    pub spread: u32,
    /// Workers without a permission for the step.
    pub not_permitted: u32,
    /// Workers on which the task would disturb.
    pub disturbs: u32,
    /// The most processor room that a worker of the pool has, in thousandths of a core.
    pub most_free: u32,
}

/// Counts why no worker gets a task.
pub fn explain(cx: &Context, wanted: &Wanted<'_>) -> UnfitCounts {
    let mut counts = UnfitCounts::default();
    for (at, worker) in cx.workers.iter().enumerate() {
        let unfit = match fits(cx, WorkerIx(at as u32), wanted) {
            Err(unfit) => unfit,
            Ok(()) if score(cx, WorkerIx(at as u32), worker, wanted).is_none() => Unfit::Disturbs,
            Ok(()) => continue,
        };
        let free = worker.info.capacity.minus(&worker.used).cpu.0;
        match unfit {
            Unfit::OtherPool => continue,
            Unfit::NotTaking => counts.not_taking += 1,
            Unfit::Full => counts.full += 1,
            Unfit::Slow => counts.slow += 1,
            Unfit::Reserved => counts.reserved += 1,
            Unfit::Label => counts.label += 1,
            Unfit::Spread => counts.spread += 1,
            Unfit::NotPermitted => counts.not_permitted += 1,
            Unfit::Disturbs => counts.disturbs += 1,
        }
        counts.most_free = counts.most_free.max(free);
    }
    counts
}

/// Finds the best worker that has room, if any.
pub fn choose(cx: &Context, wanted: &Wanted<'_>) -> Option<WorkerIx> {
    let mut best: Option<(f64, WorkerIx)> = None;
    for ix in (0..cx.workers.len() as u32).map(WorkerIx) {
        let Some(score) = value(cx, ix, wanted) else { continue };
        if best.is_none_or(|(other, _)| score > other) {
            best = Some((score, ix));
        }
    }
    best.map(|(_, ix)| ix)
}

/// Returns how good a place a worker is for a task, or nothing where it cannot start there now.
pub fn value(cx: &Context, ix: WorkerIx, wanted: &Wanted<'_>) -> Option<f64> {
    fits(cx, ix, wanted).ok()?;
    score(cx, ix, cx.worker(ix), wanted)
}

/// Finds a worker that is not `here` on which a task that runs there could start at once.
pub fn elsewhere(cx: &Context, here: WorkerIx, key: TaskKey) -> Option<WorkerIx> {
    let entry = cx.jobs.get(&key.job)?;
    let step = entry.step(key)?;
    let queue = cx.config.as_ref()?.queue(&entry.job.queue)?;
    let (service, advice) = (&queue.service, queue.advice.as_ref());
    let (avoid, waited, only_rack) = (Some(here), Millis(0), None);
    choose(cx, &Wanted { service, step, task: key, avoid, waited, only_rack, advice })
        .filter(|ix| *ix != here)
}

/// Checks whether a worker may and can run the task.
pub fn fits(cx: &Context, ix: WorkerIx, wanted: &Wanted<'_>) -> Result<(), Unfit> {
    let worker = cx.worker(ix);
    let takes = table::takes(wanted.step);
    if worker.gone || worker.info.service != *wanted.service {
        return Err(Unfit::OtherPool);
    }
    if !worker.takes_tasks(cx.now) {
        return Err(Unfit::NotTaking);
    }
    let taken = worker.used.plus(&takes);
    if !worker.info.capacity.holds(&taken) {
        return Err(Unfit::Full);
    }
    let step = wanted.step;
    if !step.lasting && wanted.waited < SLOW_AVOIDED_FOR && worker.speed.is_slow(cx.now) {
        return Err(Unfit::Slow);
    }
    if !permits::allows(cx, wanted.advice, StepKey::of(wanted.task), ix) {
        return Err(Unfit::NotPermitted);
    }
    let rack = wanted.only_rack.map(String::as_str);
    if rack.is_some() && rack != worker.info.rack() {
        return Err(Unfit::Label);
    }
    if step.label.as_ref().is_some_and(|label| !worker.info.labels.contains(label)) {
        return Err(Unfit::Label);
    }
    if worker.slots.contains_key(&wanted.task) {
        return Err(Unfit::Spread);
    }
    if step.most_per_worker.is_some_and(|most| same_step(worker, wanted.task) >= most) {
        return Err(Unfit::Spread);
    }
    let left = worker.info.capacity.minus(&taken).cpu.0;
    if step.lasting && left < RESERVED_CPU && !may_take_all(wanted.waited) {
        return Err(Unfit::Reserved);
    }
    Ok(())
}

/// How long a task waits for a worker that is not slow: about what a short task loses on a slow one.
const SLOW_AVOIDED_FOR: Millis = Millis(1_000);

/// Cost of a slow worker, against one whole worker of free room.
const SLOW_COST: f64 = 6.0;

/// The processor room, in thousandths of a core, that a lasting task at first leaves on its worker
/// for tasks that end soon: they are worth several times as much for each core and second. It is
/// somewhat more than the mean short task of the users' sites asks for.
const RESERVED_CPU: u32 = 2_000;

/// How long a lasting task leaves that room: it must be at work again within 3 s where there is
/// room for it.
const RESERVED_FOR: Millis = Millis(1_800);

/// Tells whether a lasting task has waited so long that it may take the room kept for others.
pub fn may_take_all(waited: Millis) -> bool {
    waited >= RESERVED_FOR
}

/// Counts the tasks of the same step and round at a worker.
fn same_step(worker: &Worker, task: TaskKey) -> u32 {
    let same = |key: &&TaskKey| (key.job, key.round, key.step) == (task.job, task.round, task.step);
    worker.slots.keys().filter(same).count() as u32
}

/// Returns how good a place a worker is for the task, in whole workers of free room, or nothing
/// where the task would disturb too much yet.
fn score(cx: &Context, ix: WorkerIx, worker: &Worker, wanted: &Wanted<'_>) -> Option<f64> {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let free = cores - f64::from(worker.used.cpu.0) - f64::from(worker.filling);
    let mut score = free / cores;
    let in_rack = |rack: &String| worker.info.labels.contains(rack);
    if wanted.step.rack.as_ref().is_some_and(in_rack) {
        score += RACK_WORTH;
    }
    if wanted.avoid == Some(ix) {
        score -= FAILED_HERE_COST;
    }
    if worker.speed.is_slow(cx.now) {
        score -= SLOW_COST;
    }
    let disturbed = pacing::placement_cost(cx, worker, wanted.step, wanted.waited)?;
    Some(score - disturbed)
}
