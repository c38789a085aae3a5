//! Checkpoints: where a task resumes, and by whose word.
//!
//! A checkpoint is a worker's text in which nothing tells whose it is. What is known of it besides, which run
//! saved it and at which worker, goes along with it up to the start that brings it. Nothing else is taken for a
//! checkpoint: whatever stands here is brought by the next start, and a start with a text that is not its task's
//! is work that nobody asked for.

use gaplock_jobs::progress::TaskRecord;
use gaplock_jobs::{Step, TaskKey};
use gaplock_types::time::Instant;

use crate::changes::{commits, trace};
use crate::interface::message::{Run, WorkerIx};
use crate::state::checkpoint::Checkpoint;
use crate::state::job_table::TaskState;
use crate::state::State;

/// Returns what a former leader stored of the checkpoint of a step's task.
pub fn restored(step: &Step, note: &TaskRecord) -> Option<Checkpoint> {
    let stored = note.checkpoint.as_deref().filter(|text| !text.is_empty());
    let text = stored.filter(|_| step.checkpoints)?.into();
    Some(Checkpoint { text, run: Run(note.checkpoint_run), worker: None, received_at: Instant(0) })
}

/// Returns what the next start of a task brings.
pub fn of_task(cx: &State, key: TaskKey) -> Option<Checkpoint> {
    cx.task(key)?.checkpoint.clone()
}

/// Returns what the next starts of a gang bring: any member's checkpoint serves for all, and all must bring
/// the same. The one of the newest run loses least, and of that run the one heard of last.
pub fn of_gang(cx: &State, members: &[TaskKey]) -> Option<Checkpoint> {
    let found = members.iter().filter_map(|&key| cx.task(key)?.checkpoint.as_ref());
    found.max_by_key(|c| (c.run, c.received_at)).cloned()
}

/// Takes in the checkpoint that a worker lists beside a run, and tells whether its task has a new one.
pub fn apply(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run, listed: Option<&str>) -> bool {
    let Some(text) = listed else { return false };
    if let Some(why) = reject_reason(cx, key, run) {
        trace::checkpoint_passed_over(key, run, &cx.worker(ix).info.id, why);
        return false;
    }
    if is_known(cx, ix, key, run, text) {
        return false;
    }
    let (text, worker, heard) = (text.into(), Some(ix), cx.now);
    let Some(task) = cx.task_mut(key) else { return false };
    task.checkpoint = Some(Checkpoint { text, run, worker, received_at: heard });
    true
}

/// Takes in that a worker refused a start as invalid. If it brought a checkpoint, the task gives that up: every
/// worker would refuse it as this one did, and a text that is not the task's must not go out again and again.
pub fn refused(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let slot = cx.worker(ix).slots.get(&key);
    let Some(brought) = slot.and_then(|slot| slot.resumes_from.clone()) else { return };
    let Some(step) = cx.step(key) else { return };
    let members = if step.gang { 0..step.count } else { key.index..key.index + 1 };
    for index in members {
        let Some(task) = cx.task_mut(TaskKey { index, ..key }) else { continue };
        if task.checkpoint.as_ref().is_some_and(|c| c.text == brought.text) {
            task.checkpoint = None;
        }
    }
    commits::mark_dirty(&mut cx.commits, cx.now, key.job);
    trace::checkpoint_refused(cx, key, ix, &brought);
}

/// Says why nothing that a run lists is taken for its task's checkpoint.
fn reject_reason(cx: &State, key: TaskKey, run: Run) -> Option<&'static str> {
    // Only the caller says which steps save progress; a worker may list a text beside anything.
    if !cx.step(key).is_some_and(|step| step.checkpoints) {
        return Some("its step saves none");
    }
    let task = cx.task(key)?;
    if task.state == TaskState::Done {
        return Some("its task is done");
    }
    // A run that was cut off lists its end late, when a newer one has come further.
    let newer = task.checkpoint.as_ref().is_some_and(|known| known.run > run);
    newer.then_some("a newer run saved one")
}

/// Tells whether a text says nothing new: it is the task's last, or the run has saved none since its start
/// brought it.
fn is_known(cx: &State, ix: WorkerIx, key: TaskKey, run: Run, text: &str) -> bool {
    let slot = cx.worker(ix).slots.get(&key).filter(|slot| slot.run == run);
    let brought = slot.and_then(|slot| slot.resumes_from.as_ref());
    let last = cx.task(key).and_then(|task| task.checkpoint.as_ref());
    [brought, last].into_iter().flatten().any(|known| &*known.text == text)
}
