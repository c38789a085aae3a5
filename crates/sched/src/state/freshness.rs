//! How old the view of the workers' directory is.

use std::collections::VecDeque;

use gaplock_types::time::{Instant, Millis};

use crate::interface::message::RevisionSample;

/// What is known of the age of the view.
#[derive(Debug, Default)]
pub struct Freshness {
    /// What was written to the directory until then has been taken in.
    pub(crate) as_of: Instant,
    /// When the store was last asked for something that it has answered.
    pub(crate) answered: Instant,
    /// Marks that the reading has not reached, oldest first.
    pub(crate) pending_revisions: VecDeque<RevisionSample>,
    /// Since when the view has been too old.
    pub(crate) behind_since: Option<Instant>,
}

impl Freshness {
    /// Takes in that the store has answered a call that was sent at `sent`.
    pub fn answered(&mut self, sent: Instant) {
        self.answered = self.answered.max(sent);
    }

    /// Returns how far the view is behind the store's last answer.
    pub fn lag(&self) -> Millis {
        self.answered.since(self.as_of)
    }

    /// Tells whether the view is too old for anything to be started.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }
}
