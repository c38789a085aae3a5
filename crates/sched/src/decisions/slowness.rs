//! Decides which runs on slow workers would be better off elsewhere.

use gaplock_jobs::{Step, TaskKey};
use gaplock_types::time::Millis;

use crate::decisions::availability;
use crate::interface::message::WorkerIx;
use crate::state::rates::COMPLETE_PERCENT;
use crate::state::worker::{Phase, Slot, TaskRole};
use crate::state::State;

/// The time that a speculative copy costs in addition to its work: the start order, and the wait
/// until its end is seen.
const COPY_OVERHEAD: Millis = Millis(100);

/// The time that a restart costs in addition to its work and the stop: orders, and loading a
/// checkpoint.
const RESTART_OVERHEAD: Millis = Millis(400);

/// How much sooner a task must be done elsewhere, as a factor on the time that it takes there.
/// Readings are rough, and the work that was done here is lost.
const MIN_SPEEDUP: f64 = 1.3;

/// The lowest relative speed for estimates: a run that makes no progress counts as very slow, not
/// as endless.
const MIN_RELATIVE_SPEED: f64 = 0.02;

/// How long a serving task on a slow worker stays over its target before it is moved: as long as
/// the move to another worker takes.
const MOVE_AFTER_EXCESS: Millis = Millis(800);

/// Returns whether a run is better off elsewhere.
pub fn is_straggler(cx: &State, ix: WorkerIx, key: TaskKey, slot: &Slot) -> bool {
    // A speculative copy of a task that crashes its workers would take two of them down.
    if cx.task(key).is_some_and(|task| task.crash_evidence.is_some()) {
        return false;
    }
    if slot.phase != Phase::Running || !cx.is_active(key, ix, slot.run) {
        return false;
    }
    match slot.role {
        TaskRole::Serving { .. } => {
            let over =
                slot.over_target_since.is_some_and(|at| cx.now.since(at) >= MOVE_AFTER_EXCESS);
            over && availability::may_stop(cx, key)
        }
        TaskRole::Plain | TaskRole::Filling(_) => is_faster_elsewhere(cx, ix, key, slot),
    }
}

/// Returns whether a run would be done much sooner elsewhere, including its stop here.
fn is_faster_elsewhere(cx: &State, ix: WorkerIx, key: TaskKey, slot: &Slot) -> bool {
    let Some(step) = cx.step(key) else { return false };
    let median_rate = cx.step_state(key).and_then(|state| state.rates.median());
    let Some(median_rate) = median_rate.filter(|_| !step.gang && !step.lasting) else {
        return false;
    };
    let time_left =
        |percent: u32, rate: f64| f64::from(COMPLETE_PERCENT.saturating_sub(percent)) / rate;
    let time_here = time_left(
        slot.progress_percent,
        median_rate * cx.worker(ix).speed.relative(cx.now).max(MIN_RELATIVE_SPEED),
    );
    let kept_percent = if step.checkpoints { slot.progress_percent } else { 0 };
    let time_there = time_left(kept_percent, median_rate) + overhead(cx, step).0 as f64 / 1_000.0;
    time_here > time_there * MIN_SPEEDUP
}

/// Returns the time that a second start costs in addition to the task's work.
fn overhead(cx: &State, step: &Step) -> Millis {
    if step.duplicates {
        return COPY_OVERHEAD;
    }
    Millis(cx.settings.stop_limit.0 + RESTART_OVERHEAD.0)
}
