//! Learns from workers' readings, and stores what was learned for the next leader.

use gaplock_types::time::Millis;

use crate::changes::{commits, trace};
use crate::decisions::best_effort::{self, READING_WINDOW};
use crate::decisions::interference::CONTENTION_SHARE;
use crate::interface::message::{Record, WorkerIx};
use crate::state::interference_model::{Column, ServingTask};
use crate::state::worker::TaskRole;
use crate::state::State;

/// Learns from a worker's readings. All tasks of a long-running job carry the same load, which
/// changes within seconds, so the deviation of readings from the model is remembered by job and not
/// by task. On a slow worker tail latencies are long whatever runs beside the serving tasks, so
/// nothing is learned there.
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
        if let Some(serving) = best_effort::as_serving_task(*key, slot).filter(|_| reading > 0.0) {
            tails.push((serving, reading));
        }
    }
    if used.is_empty() {
        estimate_speed(cx, ix, &tails);
    }
    let best_effort_share: f64 = used.iter().map(|(_, share)| share).sum();
    if best_effort_share > CONTENTION_SHARE || cx.worker(ix).speed.is_slow(now) {
        return;
    }
    let service = &cx.workers[ix.0 as usize].info.service;
    let pool = cx.interference.pool(service);
    for (serving, tail_ms) in tails {
        cx.interference.learn(&serving, pool, &used, tail_ms, now);
    }
    if let Some(change) = cx.interference.update_period(pool, now) {
        trace::period_changed(service, change);
    }
}

/// How far the utilization of a serving task exceeds its job's load on a slow worker where no
/// best-effort task runs.
const MIN_SLOW_UTILIZATION_EXCESS: f64 = 0.5;

/// The relative speed that is assumed of such a worker: about that of the slow workers that were
/// seen.
const SLOW_READING_SPEED: f64 = 0.15;

/// Estimates the speed of a worker from serving tasks that run without best-effort tasks beside
/// them. The tasks of one job carry the same load, so one with a much longer tail latency is on a
/// slow worker.
fn estimate_speed(cx: &mut State, ix: WorkerIx, tails: &[(ServingTask, f64)]) {
    let now = cx.now;
    for (serving, tail_ms) in tails {
        let load = cx.interference.load(serving.job, now);
        let excess = cx.interference.utilization(serving, *tail_ms) - load;
        let relative = if excess > MIN_SLOW_UTILIZATION_EXCESS { SLOW_READING_SPEED } else { 1.0 };
        cx.worker_mut(ix).speed.record(now, relative);
    }
}

/// How often the learned model is stored for the next leader.
const STORE_LEARNED_INTERVAL: Millis = Millis(4_000);

/// Stores the learned model at intervals.
pub fn store_learned(cx: &mut State) {
    if cx.now.since(cx.learned_stored_at) < STORE_LEARNED_INTERVAL {
        return;
    }
    cx.learned_stored_at = cx.now;
    let learned = cx.interference.learned();
    if !learned.images.is_empty() {
        commits::add(cx, Record::Learned(learned));
    }
}
