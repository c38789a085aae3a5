//! The age of the leader's view of the workers' directory.

use std::collections::VecDeque;

use gaplock_types::time::{Instant, Millis};

use crate::interface::message::RevisionSample;

/// What is known about the age of the view.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Everything that was written to the directory before this time has been handled.
    pub(crate) as_of: Instant,
    /// When the latest call that the store has answered was sent.
    pub(crate) last_answered_at: Instant,
    /// Revisions of the store that the reading of the directory has not reached, oldest first.
    pub(crate) pending_revisions: VecDeque<RevisionSample>,
    /// Since when the view has been too old.
    pub(crate) behind_since: Option<Instant>,
}

impl Freshness {
    /// Records that the store has answered a call that was sent at `sent`.
    pub fn record_answer(&mut self, sent: Instant) {
        self.last_answered_at = self.last_answered_at.max(sent);
    }

    /// Returns how far the view is behind the store's last answer.
    pub fn lag(&self) -> Millis {
        self.last_answered_at.since(self.as_of)
    }

    /// Returns whether the view is too old for anything to be started.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }
}
