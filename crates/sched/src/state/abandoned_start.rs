//! Runs that may still begin.

use gaplock_types::time::Instant;

use crate::interface::message::Run;

/// A run that was given up and may still begin.
#[derive(Debug, Clone, Copy)]
pub struct AbandonedStart {
    /// The run.
    pub run: Run,
    /// When its stop was last sent; unset before.
    pub(crate) stop_sent_at: Option<Instant>,
}

impl AbandonedStart {
    /// Returns the same doubt where no stop of it has been sent.
    pub(crate) fn with_stop_unsent(self) -> Self {
        Self { stop_sent_at: None, ..self }
    }
}
