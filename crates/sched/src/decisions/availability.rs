//! How many tasks of a lasting step may be away at one time through the scheduler's own orders.

use gaplock_jobs::TaskKey;

use crate::state::job_table::{Task, TaskState};
use crate::state::worker::{Phase, READY_PERCENT};
use crate::state::State;

/// Tells whether a task may be stopped without more of its step being away than its caller allows.
/// A step that names no bound sets none.
pub fn may_stop(cx: &State, key: TaskKey) -> bool {
    let Some(most) = cx.step(key).and_then(|step| step.may_miss) else { return true };
    let Some(round) = cx.jobs.get(&key.job).and_then(|e| e.round(key.round)) else { return true };
    let Some(step) = round.steps.get(usize::from(key.step)) else { return true };
    let others = step.tasks.iter().enumerate().filter(|(index, _)| *index as u32 != key.index);
    let away =
        others.filter(|(index, task)| !is_ready(cx, TaskKey { index: *index as u32, ..key }, task));
    (away.count() as u32) < most
}

/// Tells whether a task is known to be at work.
fn is_ready(cx: &State, key: TaskKey, task: &Task) -> bool {
    let TaskState::Active { worker, run } = task.state else { return false };
    let slot = cx.worker(worker).slots.get(&key).filter(|slot| slot.run == run);
    slot.is_some_and(|s| s.phase == Phase::Running && s.progress_percent >= READY_PERCENT)
}
