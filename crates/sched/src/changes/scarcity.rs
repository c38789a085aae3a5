//! Records when short tasks find no free capacity, and where short tasks have begun or ended.

use gaplock_jobs::TaskKey;
use gaplock_types::ids;

use crate::decisions::free_capacity;
use crate::interface::message::WorkerIx;
use crate::state::State;

/// Records that a short task has found no free capacity in its pool.
pub fn note_short_unplaced(cx: &mut State, pool: &ids::ServiceId) {
    let now = cx.now;
    match cx.short_task_waited_at.get_mut(pool) {
        Some(at) => *at = now,
        None => {
            cx.short_task_waited_at.insert(pool.clone(), now);
        }
    }
}

/// Records that a run has begun or ended on a worker, if its step is short.
pub fn note_short_change(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let now = cx.now;
    if cx.step(key).is_some_and(free_capacity::is_short) {
        cx.worker_mut(ix).short_task_changed_at = Some(now);
    }
}
