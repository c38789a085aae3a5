//! How fast workers are, judged by their tasks' progress against other tasks of the same step.
//!
//! Tasks of one step take about the same time, and callers' estimates are too rough to tell a slow
//! worker from a long task. So each run's progress a second is held against the median of its
//! step; a worker whose runs fall far behind is slow for a while, whatever its health says.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::interface::message::WorkerIx;
use crate::state::pace_orders::FULL_PACE;
use crate::state::rates::{ProgressSample, COMPLETE_PERCENT};
use crate::state::worker::{Phase, Slot, TaskRole};
use crate::state::State;

/// The shortest time over which a rate is read.
const MIN_RATE_SPAN: Millis = Millis(300);

/// The least progress over which a rate is read, in percent, since progress comes in whole percent.
/// The time in which a run of its step would usually make that much is enough too.
const MIN_RATE_PROGRESS_PERCENT: u32 = 8;

/// The pace below which a filling task's progress says nothing of its worker, in percent.
const MIN_RATE_PACE_PERCENT: u32 = 50;

/// The share of its processor demand that a filling task must get for its progress to say
/// something of its worker.
const MIN_RATE_CPU_SHARE: f64 = 0.8;

/// Takes in a run's progress from its worker's account.
pub fn observe(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    // A lasting task comes along only while it starts.
    if cx.step(key).is_some_and(|step| step.lasting) {
        return;
    }
    let now = cx.now;
    let typical = cx.step_state(key).and_then(|step| step.rates.median());
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    let Some(rate) = read_rate(slot, now, typical) else { return };
    record_rate(cx, ix, key, rate, typical);
}

/// Takes in that a run has done its work.
pub fn observe_end(cx: &mut State, ix: WorkerIx, key: TaskKey, slot: &Slot) {
    let Some(mark) = slot.progress_sample else { return };
    let span = cx.now.since(mark.at);
    let left = COMPLETE_PERCENT.saturating_sub(mark.percent);
    if span < MIN_RATE_SPAN || left < MIN_RATE_PROGRESS_PERCENT || !reflects_worker_speed(slot) {
        return;
    }
    let typical = cx.step_state(key).and_then(|step| step.rates.median());
    record_rate(cx, ix, key, rate(slot, left, span), typical);
}

/// Keeps a run's rate for its step, and holds its worker against the other tasks' rates.
fn record_rate(cx: &mut State, ix: WorkerIx, key: TaskKey, rate: f64, typical: Option<f64>) {
    let now = cx.now;
    if let Some(step) = cx.step_state_mut(key) {
        step.rates.record(key.index, rate);
    }
    if let Some(typical) = typical {
        cx.worker_mut(ix).speed.record(now, rate / typical);
    }
}

/// Returns the rate at full pace, in percent a second, of a run that gained this much.
fn rate(slot: &Slot, gained: u32, span: Millis) -> f64 {
    let pace = f64::from(slot.pace) / f64::from(FULL_PACE);
    f64::from(gained) * 1_000.0 / span.0 as f64 / pace
}

/// Reads a run's rate since its last mark, and sets the next mark.
fn read_rate(slot: &mut Slot, now: Instant, typical: Option<f64>) -> Option<f64> {
    if slot.phase != Phase::Running || matches!(slot.role, TaskRole::Serving { .. }) {
        return None;
    }
    let next = ProgressSample { at: now, percent: slot.progress_percent };
    let Some(mark) = slot.progress_sample else {
        slot.progress_sample = Some(next);
        return None;
    };
    let span = now.since(mark.at);
    let gained = slot.progress_percent.saturating_sub(mark.percent);
    let expected = typical.map_or(0.0, |rate| rate * span.0 as f64 / 1_000.0);
    let enough =
        gained >= MIN_RATE_PROGRESS_PERCENT || expected >= f64::from(MIN_RATE_PROGRESS_PERCENT);
    if span < MIN_RATE_SPAN || !enough {
        return None;
    }
    slot.progress_sample = Some(next);
    reflects_worker_speed(slot).then(|| rate(slot, gained, span))
}

/// Tells whether nothing but its worker can hold a run up.
fn reflects_worker_speed(slot: &Slot) -> bool {
    if slot.best_effort_millicores == 0 {
        return true;
    }
    let wanted =
        f64::from(slot.best_effort_millicores) * f64::from(slot.pace) / f64::from(FULL_PACE);
    let used = f64::from(slot.reading.unwrap_or(0));
    let certain = !slot.pace_order_in_flight && slot.pace_orders.is_certain();
    slot.pace >= MIN_RATE_PACE_PERCENT && certain && used >= wanted * MIN_RATE_CPU_SHARE
}
