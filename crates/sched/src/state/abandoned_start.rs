//! Abandoned starts: runs that were released and may still begin.
//!
//! A run is released when all leases at its worker have expired. An unanswered attempt of its start
//! may still reach the worker after that.

use gaplock_types::time::Instant;

use crate::interface::message::Run;

/// The start of a run that was abandoned and may still begin.
#[derive(Debug, Clone, Copy)]
pub struct AbandonedStart {
    /// The run.
    pub run: Run,
    /// When its stop was last sent; unset before the first one.
    pub(crate) stop_sent_at: Option<Instant>,
}

impl AbandonedStart {
    /// Returns the same abandoned start as one whose stop has not been sent.
    pub(crate) fn with_stop_unsent(self) -> Self {
        Self { stop_sent_at: None, ..self }
    }
}
