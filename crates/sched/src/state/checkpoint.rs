//! Checkpoints of tasks.

use std::sync::Arc;

use gaplock_types::time::Instant;

use crate::interface::message::{Run, WorkerIx};

/// A checkpoint that a task saved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checkpoint {
    /// The worker's text, which is passed on unchanged.
    pub text: Arc<str>,
    /// The run that saved it; 0 if a previous leader's record does not say.
    pub run: Run,
    /// The worker that listed it; unset if a previous leader stored it.
    pub worker: Option<WorkerIx>,
    /// When this leader learned of it.
    pub received_at: Instant,
}
