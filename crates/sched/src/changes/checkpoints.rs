//! Checkpoints: where a task resumes, and which run and worker reported that.
//!
//! A checkpoint is text from a worker that does not show which task it belongs to. The run that
//! saved it and the worker of that run are therefore kept with it until a start carries it. Nothing
//! else is accepted as a checkpoint: the next start carries whatever is kept here, and a start with
//! text that is not its own task's does work that nobody asked for.

use gaplock_jobs::progress::TaskRecord;
use gaplock_jobs::{Step, TaskKey};
use gaplock_types::time::Instant;

use crate::changes::{commits, trace};
use crate::interface::message::{Run, WorkerIx};
use crate::state::checkpoint::Checkpoint;
use crate::state::job_table::TaskState;
use crate::state::State;

/// Returns the checkpoint that a previous leader stored for a task of a step.
pub fn restored(step: &Step, note: &TaskRecord) -> Option<Checkpoint> {
    let stored = note.checkpoint.as_deref().filter(|text| !text.is_empty());
    let text = stored.filter(|_| step.checkpoints)?.into();
    Some(Checkpoint { text, run: Run(note.checkpoint_run), worker: None, received_at: Instant(0) })
}

/// Returns the checkpoint that the next start of a task carries.
pub fn of_task(cx: &State, key: TaskKey) -> Option<Checkpoint> {
    cx.task(key)?.checkpoint.clone()
}

/// Returns the checkpoint that the next starts of a gang carry. A checkpoint of any member is valid
/// for all members, and all starts must carry the same one. The checkpoint of the newest run loses
/// the least work; of that run, the checkpoint received last is used.
pub fn of_gang(cx: &State, members: &[TaskKey]) -> Option<Checkpoint> {
    let found = members.iter().filter_map(|&key| cx.task(key)?.checkpoint.as_ref());
    found.max_by_key(|c| (c.run, c.received_at)).cloned()
}

/// Applies the checkpoint that a worker lists with a run. Returns whether the task has a new
/// checkpoint.
pub fn apply(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run, listed: Option<&str>) -> bool {
    let Some(text) = listed else { return false };
    if let Some(why) = reject_reason(cx, key, run) {
        trace::checkpoint_passed_over(key, run, &cx.worker(ix).info.id, why);
        return false;
    }
    if is_known(cx, ix, key, run, text) {
        return false;
    }
    let (text, worker, received_at) = (text.into(), Some(ix), cx.now);
    let Some(task) = cx.task_mut(key) else { return false };
    task.checkpoint = Some(Checkpoint { text, run, worker, received_at });
    true
}

/// Handles the refusal of a start as invalid. If the start carried a checkpoint, the task drops it:
/// every worker would refuse it as this one did, and text that is not the task's own must not be
/// sent again and again.
pub fn refused(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let slot = cx.worker(ix).slots.get(&key);
    let Some(carried) = slot.and_then(|slot| slot.resumes_from.clone()) else { return };
    let Some(step) = cx.step(key) else { return };
    let members = if step.gang { 0..step.count } else { key.index..key.index + 1 };
    for index in members {
        let Some(task) = cx.task_mut(TaskKey { index, ..key }) else { continue };
        if task.checkpoint.as_ref().is_some_and(|c| c.text == carried.text) {
            task.checkpoint = None;
        }
    }
    commits::mark_dirty(&mut cx.commits, cx.now, key.job);
    trace::checkpoint_refused(cx, key, ix, &carried);
}

/// Returns the reason for not accepting a checkpoint that is listed with a run, if there is one.
fn reject_reason(cx: &State, key: TaskKey, run: Run) -> Option<&'static str> {
    // Only the caller decides which steps save checkpoints; a worker may list text with any run.
    if !cx.step(key).is_some_and(|step| step.checkpoints) {
        return Some("its step saves none");
    }
    let task = cx.task(key)?;
    if task.state == TaskState::Done {
        return Some("its task is done");
    }
    // A worker that was partitioned lists the end of its run late, when a newer run may have got
    // further.
    let newer = task.checkpoint.as_ref().is_some_and(|known| known.run > run);
    newer.then_some("a newer run saved one")
}

/// Returns whether a checkpoint text is already known: as the task's last checkpoint, or as the one
/// that this run was started with, which means that the run has saved none since.
fn is_known(cx: &State, ix: WorkerIx, key: TaskKey, run: Run, text: &str) -> bool {
    let slot = cx.worker(ix).slots.get(&key).filter(|slot| slot.run == run);
    let carried = slot.and_then(|slot| slot.resumes_from.as_ref());
    let last = cx.task(key).and_then(|task| task.checkpoint.as_ref());
    [carried, last].into_iter().flatten().any(|known| &*known.text == text)
}
