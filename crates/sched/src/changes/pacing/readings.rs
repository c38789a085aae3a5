//! What workers' readings teach, and how a successor comes to know it.

use gaplock_types::time::Millis;

use crate::changes::commits;
use crate::decisions::best_effort::{self, READING_WINDOW};
use crate::decisions::interference::CONTENTION_SHARE;
use crate::interface::message::{Record, WorkerIx};
use crate::state::interference_model::{Column, ServingTask};
use crate::state::worker::TaskRole;
use crate::state::State;

/// Takes in readings. All tasks of a lasting job carry the same load, which swings within seconds,
/// so how far readings lie above the model is remembered by job and not by task. On a slow worker
/// tails are long whatever fills beside them, so nothing is learnt there.
pub(super) fn learn(cx: &mut State, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker(ix);
    if now.since(worker.best_effort_ended_at) < READING_WINDOW {
        return;
    }
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let mut used: Vec<(Column, f64)> = Vec::new();
    let mut tails = Vec::new();
    for (key, slot) in &worker.slots {
        let Some(reading) = slot.reading.map(f64::from) else { continue };
        if let TaskRole::Filling(column) = slot.role {
            used.push((column, reading / cores));
        }
        if let Some(served) = best_effort::as_serving_task(*key, slot).filter(|_| reading > 0.0) {
            tails.push((served, reading));
        }
    }
    if used.is_empty() {
        estimate_speed(cx, ix, &tails);
    }
    let crowded: f64 = used.iter().map(|(_, share)| share).sum();
    if crowded > CONTENTION_SHARE || cx.worker(ix).speed.is_slow(now) {
        return;
    }
    for (served, tail_ms) in tails {
        cx.interference.learn(&served, &used, tail_ms, now);
    }
}

/// How much more utilisation than its job's load a serving task shows on a slow worker, where
/// nothing fills beside it.
const MIN_SLOW_UTILIZATION_EXCESS: f64 = 0.5;

/// The relative speed that such a task tells of: about that of the slow workers that were seen.
const SLOW_READING_SPEED: f64 = 0.15;

/// Takes in what serving tasks that nothing fills beside tell of their worker: the tasks of one
/// job carry one load, so one with a much longer tail is on a slow worker.
fn estimate_speed(cx: &mut State, ix: WorkerIx, tails: &[(ServingTask, f64)]) {
    let now = cx.now;
    for (served, tail_ms) in tails {
        let load = cx.interference.load(served.job, now, 0.0);
        let surprise = cx.interference.utilization(served, *tail_ms) - load;
        let relative =
            if surprise > MIN_SLOW_UTILIZATION_EXCESS { SLOW_READING_SPEED } else { 1.0 };
        cx.worker_mut(ix).speed.record(now, relative);
    }
}

/// How often what was learnt is stored for a successor.
const STORE_LEARNED_INTERVAL: Millis = Millis(4_000);

/// Stores what was learnt now and then.
pub fn store_learned(cx: &mut State) {
    if cx.now.since(cx.learned_stored_at) < STORE_LEARNED_INTERVAL {
        return;
    }
    cx.learned_stored_at = cx.now;
    let learnt = cx.interference.learned();
    if !learnt.images.is_empty() {
        commits::add(cx, Record::Learned(learnt));
    }
}
