//! Checkpoints: where a task resumes, and by whose word.
//!
//! A checkpoint is a worker's text in which nothing tells whose it is. What is known of it besides, which run
//! saved it and at which worker, goes along with it up to the start that brings it.

use std::sync::Arc;

use gaplock_jobs::progress::TaskNote;
use gaplock_jobs::TaskKey;

use crate::context::Context;
use crate::message::{Run, WorkerIx};

/// What a task saved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checkpoint {
    /// The worker's text, which is handed on unchanged.
    pub text: Arc<str>,
    /// The run that saved it; 0 where a former leader's record does not say.
    pub run: Run,
    /// The worker that listed it; unset where a former leader stored it.
    pub worker: Option<WorkerIx>,
}

/// Returns what a former leader stored of a task's checkpoint.
pub fn restored(note: &TaskNote) -> Option<Checkpoint> {
    let text = note.checkpoint.as_deref()?.into();
    Some(Checkpoint { text, run: Run(note.checkpoint_run), worker: None })
}

/// Takes in the checkpoint that a worker lists beside a run.
pub fn take_in(cx: &mut Context, ix: WorkerIx, key: TaskKey, run: Run, listed: Option<&str>) {
    let Some(text) = listed else { return };
    let Some(task) = cx.task_mut(key) else { return };
    if task.checkpoint.as_ref().is_some_and(|known| &*known.text == text) {
        return;
    }
    task.checkpoint = Some(Checkpoint { text: text.into(), run, worker: Some(ix) });
}
