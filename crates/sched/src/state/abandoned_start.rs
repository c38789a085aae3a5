//! Runs that may still begin.

use gaplock_types::time::Instant;

use crate::interface::message::Run;

/// A run that was given up and may still begin.
#[derive(Debug, Clone, Copy)]
pub struct Doubt {
    /// The run.
    pub run: Run,
    /// When its stop was last sent; unset before.
    pub(crate) asked: Option<Instant>,
}

impl Doubt {
    /// Returns the same doubt where no stop of it has been sent.
    pub(crate) fn anew(self) -> Self {
        Self { asked: None, ..self }
    }
}
