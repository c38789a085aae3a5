//! Estimates how fast workers are from the progress of their tasks, compared with other tasks of
//! the same step.
//!
//! Tasks of one step take about the same time, and callers' estimates are too rough to distinguish
//! a slow worker from a long task. So each run's progress per second is compared with the median of
//! its step. A worker whose runs fall far behind counts as slow for a while, whatever its health
//! says.

use std::sync::Arc;

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::interface::message::WorkerIx;
use crate::state::job_table;
use crate::state::pace_orders::FULL_PACE;
use crate::state::rates::{ProgressSample, COMPLETE_PERCENT};
use crate::state::worker::{Phase, Slot, TaskRole};
use crate::state::State;

/// The shortest time over which a rate is computed.
const MIN_RATE_SPAN: Millis = Millis(300);

/// The least progress over which a rate is computed, in percent, since progress comes in whole
/// percent. The time in which a run of its step would usually make that much progress is enough
/// too.
const MIN_RATE_PROGRESS_PERCENT: u32 = 8;

/// The pace, in percent, below which a best-effort task's progress says nothing about its worker.
const MIN_RATE_PACE_PERCENT: u32 = 50;

/// The share of its processor demand that a best-effort task must get for its progress to say
/// something about its worker.
const MIN_RATE_CPU_SHARE: f64 = 0.8;

/// Handles a run's progress from a worker report.
pub fn observe(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    // A long-running task makes progress only while it starts.
    if cx.step(key).is_some_and(|step| step.lasting) {
        return;
    }
    let now = cx.now;
    let median_rate = cx.step_state(key).and_then(|step| step.rates.median());
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    let Some(rate) = read_rate(slot, now, median_rate) else { return };
    record_rate(cx, ix, key, rate, median_rate);
}

/// Handles the end of a run that has done its work.
pub fn observe_end(cx: &mut State, ix: WorkerIx, key: TaskKey, slot: &Slot) {
    let Some(sample) = slot.progress_sample else { return };
    let span = cx.now.since(sample.at);
    let remaining = COMPLETE_PERCENT.saturating_sub(sample.percent);
    if span < MIN_RATE_SPAN || remaining < MIN_RATE_PROGRESS_PERCENT || !reflects_worker_speed(slot)
    {
        return;
    }
    let median_rate = cx.step_state(key).and_then(|step| step.rates.median());
    record_rate(cx, ix, key, rate(slot, remaining, span), median_rate);
}

/// Records how the time of a task that has done its work compares with its estimate. The time of a
/// best-effort task counts at full pace: that of a run that was slowed down or resumed follows from
/// its rate, and is not known if nothing but slow progress was seen.
pub fn record_estimate_ratio(cx: &mut State, key: TaskKey, slot: &Slot) {
    let Some(entry) = cx.jobs.get(&key.job) else { return };
    let job = Arc::clone(&entry.job);
    let step = job.steps.get(usize::from(key.step)).filter(|step| !step.lasting);
    let Some(step) = step else { return };
    // When a run began that a previous leader started is not known.
    let is_whole = slot.resumes_from.is_none() && slot.attempts.sent() > 0;
    let whole_run = slot.confirmed.filter(|_| is_whole);
    let rate = cx.step_state(key).and_then(|step| step.rates.of_task(key.index));
    let actual = match (whole_run, rate) {
        (Some(began), _) if slot.best_effort_millicores == 0 => cx.now.since(began),
        (_, Some(rate)) if rate > 0.0 => {
            Millis((f64::from(COMPLETE_PERCENT) / rate * 1_000.0) as u64)
        }
        (Some(began), _) if slot.pace_orders.is_untouched() => cx.now.since(began),
        _ => return,
    };
    let class = job_table::work_class(step);
    cx.estimate_ratios.record(&job.queue, class, step.estimate, actual);
}

/// Records a run's rate for its step, and the speed of its worker relative to the other tasks'
/// rates.
fn record_rate(cx: &mut State, ix: WorkerIx, key: TaskKey, rate: f64, median_rate: Option<f64>) {
    let now = cx.now;
    if let Some(step) = cx.step_state_mut(key) {
        step.rates.record(key.index, rate);
    }
    if let Some(median_rate) = median_rate {
        cx.worker_mut(ix).speed.record(now, rate / median_rate);
    }
}

/// Returns the rate at full pace, in percent per second, of a run that made this much progress.
fn rate(slot: &Slot, progress: u32, span: Millis) -> f64 {
    let pace = f64::from(slot.pace) / f64::from(FULL_PACE);
    f64::from(progress) * 1_000.0 / span.0 as f64 / pace
}

/// Computes a run's rate since its last progress sample, and takes the next sample.
fn read_rate(slot: &mut Slot, now: Instant, median_rate: Option<f64>) -> Option<f64> {
    if slot.phase != Phase::Running || matches!(slot.role, TaskRole::Serving { .. }) {
        return None;
    }
    let next = ProgressSample { at: now, percent: slot.progress_percent };
    let Some(sample) = slot.progress_sample else {
        slot.progress_sample = Some(next);
        return None;
    };
    let span = now.since(sample.at);
    let progress = slot.progress_percent.saturating_sub(sample.percent);
    let expected = median_rate.map_or(0.0, |rate| rate * span.0 as f64 / 1_000.0);
    let enough =
        progress >= MIN_RATE_PROGRESS_PERCENT || expected >= f64::from(MIN_RATE_PROGRESS_PERCENT);
    if span < MIN_RATE_SPAN || !enough {
        return None;
    }
    slot.progress_sample = Some(next);
    reflects_worker_speed(slot).then(|| rate(slot, progress, span))
}

/// Returns whether nothing but its worker can slow a run down.
fn reflects_worker_speed(slot: &Slot) -> bool {
    if slot.best_effort_millicores == 0 {
        return true;
    }
    let expected =
        f64::from(slot.best_effort_millicores) * f64::from(slot.pace) / f64::from(FULL_PACE);
    let used = f64::from(slot.reading.unwrap_or(0));
    let certain = !slot.pace_order_in_flight && slot.pace_orders.is_certain();
    slot.pace >= MIN_RATE_PACE_PERCENT && certain && used >= expected * MIN_RATE_CPU_SHARE
}
