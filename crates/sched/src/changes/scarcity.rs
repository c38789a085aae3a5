//! Notes when short tasks find no room, and where they have used some.

use gaplock_jobs::TaskKey;
use gaplock_types::ids;

use crate::decisions::free_capacity;
use crate::interface::message::WorkerIx;
use crate::state::State;

/// Takes in that a short task has found no room in its pool.
pub fn note_short_unplaced(cx: &mut State, pool: &ids::ServiceId) {
    let now = cx.now;
    match cx.short_task_waited_at.get_mut(pool) {
        Some(at) => *at = now,
        None => {
            cx.short_task_waited_at.insert(pool.clone(), now);
        }
    }
}

/// Takes in that a run of a step has begun or ended at a worker.
pub fn note_short_change(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let now = cx.now;
    if cx.step(key).is_some_and(free_capacity::is_short) {
        cx.worker_mut(ix).short_task_changed_at = Some(now);
    }
}
