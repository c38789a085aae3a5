//! Limits how many tasks of a long-running step may be unavailable at a time because the scheduler
//! itself has stopped them.

use gaplock_jobs::TaskKey;

use crate::state::job_table::{Task, TaskState};
use crate::state::worker::{Phase, READY_PERCENT};
use crate::state::State;

/// Returns whether a task may be stopped without making more tasks of its step unavailable than its
/// caller allows. A step without such a limit is not restricted.
pub fn may_stop(cx: &State, key: TaskKey) -> bool {
    let Some(max_unavailable) = cx.step(key).and_then(|step| step.may_miss) else { return true };
    let Some(round) = cx.jobs.get(&key.job).and_then(|e| e.round(key.round)) else { return true };
    let Some(step) = round.steps.get(usize::from(key.step)) else { return true };
    let others = step.tasks.iter().enumerate().filter(|(index, _)| *index as u32 != key.index);
    let unavailable =
        others.filter(|(index, task)| !is_ready(cx, TaskKey { index: *index as u32, ..key }, task));
    (unavailable.count() as u32) < max_unavailable
}

/// Returns whether a task is known to be running and ready.
fn is_ready(cx: &State, key: TaskKey, task: &Task) -> bool {
    let TaskState::Active { worker, run } = task.state else { return false };
    let slot = cx.worker(worker).slots.get(&key).filter(|slot| slot.run == run);
    slot.is_some_and(|s| s.phase == Phase::Running && s.progress_percent >= READY_PERCENT)
}

/// Returns whether a long-running task may be preempted: its caller allows that some tasks of the
/// step are unavailable, and fewer are. Unlike [`may_stop`], a task counts as unavailable while its
/// worker does not answer, since that worker may be lost.
pub fn may_preempt(cx: &State, key: TaskKey) -> bool {
    let Some(max_unavailable) = cx.step(key).and_then(|step| step.may_miss) else { return false };
    let Some(state) = cx.step_state(key) else { return false };
    let others = state.tasks.iter().enumerate().filter(|(index, _)| *index as u32 != key.index);
    let unavailable = others.filter(|(index, task)| {
        !is_ready(cx, TaskKey { index: *index as u32, ..key }, task) || !is_answered(cx, task)
    });
    (unavailable.count() as u32) < max_unavailable
}

/// Returns whether the worker of a task answers.
fn is_answered(cx: &State, task: &Task) -> bool {
    let TaskState::Active { worker, .. } = task.state else { return false };
    cx.worker(worker).unanswered_renewals == 0
}
