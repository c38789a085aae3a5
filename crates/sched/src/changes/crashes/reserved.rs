//! Workers that are kept for suspects.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Millis;

use crate::interface::message::WorkerIx;
use crate::state::trial::Trial;
use crate::state::State;

/// How long a suspect keeps a worker to itself, by the square of the workers lost under it: after one,
/// which is most often chance, as long as a start takes to go wrong; after two, longer than what short
/// tasks work.
pub const BASE_TRIAL_TIME: Millis = Millis(1_000);

/// Keeps a worker for a suspect that starts there, unless it has a single loss and others run there.
pub fn reserve_after_placement(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let now = cx.now;
    let is_free = cx.worker(ix).trial.is_none_or(|trial| trial.until <= now);
    if losses(cx, key) > 1 && is_free {
        reserve(cx, ix, key);
    }
}

/// Keeps a worker for a task for as long as its losses call for.
pub fn reserve(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let losses = losses(cx, key) as u64;
    let until = cx.now + Millis(BASE_TRIAL_TIME.0 * losses * losses);
    cx.worker_mut(ix).trial = Some(Trial { task: key, began: cx.now, until });
}

fn losses(cx: &State, key: TaskKey) -> usize {
    cx.task(key).and_then(|t| t.crash_evidence.as_ref()).map_or(0, |s| s.losses())
}
