//! Chooses a worker for a task.

use gaplock_jobs::{Step, TaskKey};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

use crate::context::Context;
use crate::message::WorkerIx;
use crate::pacing;
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
}

/// Worth of running in the rack that holds the data, against one whole worker of free room.
const RACK_WORTH: f64 = 4.0;

/// Cost of the worker on which the task failed last, against one whole worker of free room.
const FAILED_HERE_COST: f64 = 8.0;

/// Finds the best worker that has room, if any.
pub fn choose(cx: &Context, wanted: &Wanted<'_>) -> Option<WorkerIx> {
    let takes = table::takes(wanted.step);
    let mut best: Option<(f64, WorkerIx)> = None;
    for (at, worker) in cx.workers.iter().enumerate() {
        let ix = WorkerIx(at as u32);
        if !fits(cx, worker, wanted, &takes) {
            continue;
        }
        let Some(score) = score(cx, ix, worker, wanted) else { continue };
        if best.is_none_or(|(other, _)| score > other) {
            best = Some((score, ix));
        }
    }
    best.map(|(_, ix)| ix)
}

/// Tells whether a worker may and can run the task.
fn fits(cx: &Context, worker: &Worker, wanted: &Wanted<'_>, takes: &Resources) -> bool {
    if !worker.takes_tasks(cx.now) || worker.info.service != *wanted.service {
        return false;
    }
    if !worker.info.capacity.holds(&worker.used.plus(takes)) {
        return false;
    }
    let step = wanted.step;
    if step.lasting {
        let rest = worker.info.capacity.minus(&worker.used.plus(takes));
        if rest.cpu.0 < 2000 { return false; }
    }
    if step.label.as_ref().is_some_and(|label| !worker.info.labels.contains(label)) {
        return false;
    }
    if worker.slots.contains_key(&wanted.task) {
        return false;
    }
    step.most_per_worker.is_none_or(|most| same_step(worker, wanted.task) < most)
}

/// Counts the tasks of the same step and round at a worker.
fn same_step(worker: &Worker, task: TaskKey) -> u32 {
    let same = |key: &&TaskKey| (key.job, key.round, key.step) == (task.job, task.round, task.step);
    worker.slots.keys().filter(same).count() as u32
}

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
    let disturbed = pacing::placement_cost(cx, worker, wanted.step, wanted.waited)?;
    Some(score - disturbed)
}
