//! What tasks saved.

use std::sync::Arc;

use gaplock_types::time::Instant;

use crate::interface::message::{Run, WorkerIx};

/// What a task saved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checkpoint {
    /// The worker's text, which is handed on unchanged.
    pub text: Arc<str>,
    /// The run that saved it; 0 where a former leader's record does not say.
    pub run: Run,
    /// The worker that listed it; unset where a former leader stored it.
    pub worker: Option<WorkerIx>,
    /// When this leader heard of it.
    pub received_at: Instant,
}
