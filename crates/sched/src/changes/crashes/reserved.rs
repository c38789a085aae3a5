//! Reserves workers for trial runs of tasks that are suspected of crashing their workers.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Millis;

use crate::interface::message::WorkerIx;
use crate::state::trial::Trial;
use crate::state::State;

/// How long a suspect has a worker to itself, multiplied by the square of the number of workers
/// lost under it. After one loss, which is mostly chance, this is as long as a start takes to fail;
/// after two it is longer than short tasks run.
pub const BASE_TRIAL_TIME: Millis = Millis(1_000);

/// Reserves a worker for a suspect that was started there, unless the suspect has a single loss or
/// the worker is reserved already.
pub fn reserve_after_placement(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let now = cx.now;
    let is_free = cx.worker(ix).trial.is_none_or(|trial| trial.until <= now);
    if losses(cx, key) > 1 && is_free {
        reserve(cx, ix, key);
    }
}

/// Reserves a worker for a task for as long as the task's losses require.
pub fn reserve(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let losses = losses(cx, key) as u64;
    let until = cx.now + Millis(BASE_TRIAL_TIME.0 * losses * losses);
    cx.worker_mut(ix).trial = Some(Trial { task: key, began: cx.now, until });
}

fn losses(cx: &State, key: TaskKey) -> usize {
    cx.task(key).and_then(|t| t.crash_evidence.as_ref()).map_or(0, |evidence| evidence.losses())
}
