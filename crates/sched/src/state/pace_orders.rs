//! The pace orders that were sent for a run, and which paces may be in force.
//!
//! No worker report says at which pace a run works, and an unanswered order may be carried out
//! after newer ones, with any delay. The pace of a run that was given such an order stays uncertain
//! for as long as the run lasts. Its wanted pace is ordered again and again, and decisions about
//! its neighbors assume the worst case.

use gaplock_policy::attempts::{CallAttempts, Execution};
use gaplock_types::time::{Instant, Millis};

/// The pace at which every run begins, in percent of full speed.
pub const FULL_PACE: u32 = 100;

/// The pace orders that were sent for a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceOrders {
    /// One attempt for each order: whatever its pace, it may undo the others.
    attempts: CallAttempts,
    /// The last order: when it was sent, and its pace.
    last: Option<(Instant, u32)>,
    /// Whether nothing is known of the pace in force, or the last order got no answer.
    pace_unknown: bool,
    /// The highest pace among the unanswered orders.
    max_unanswered_percent: u32,
}

impl PaceOrders {
    /// Creates the orders of a run that a previous leader started. The report that lists the run
    /// answers a call of this leader, so its worker refuses any calls of previous leaders that are
    /// still under way. Only the pace in force is unknown, and one answered order makes it known.
    pub fn adopted() -> Self {
        Self { pace_unknown: true, ..Self::default() }
    }

    /// Records an order that is being sent.
    pub fn record_send(&mut self, now: Instant, percent: u32) {
        self.attempts.record_send();
        self.last = Some((now, percent));
    }

    /// Returns whether an answer can be that of the last order. Any other answer belongs to an
    /// order that was sent before the run was released and found again.
    pub fn may_answer_last(&self, percent: u32) -> bool {
        self.last.is_some_and(|(_, last)| last == percent)
    }

    /// Records the outcome of the last order and returns whether its pace is in force. A refusal
    /// says nothing about the orders before it.
    pub fn record_outcome(&mut self, execution: Execution) -> bool {
        let percent = self.last.map_or(FULL_PACE, |(_, percent)| percent);
        self.attempts.record_outcome(execution);
        match execution {
            Execution::Done => self.pace_unknown = false,
            Execution::NotDone => {}
            Execution::Unknown => {
                self.pace_unknown = true;
                self.max_unanswered_percent = self.max_unanswered_percent.max(percent);
            }
        }
        execution == Execution::Done
    }

    /// Returns whether the wanted pace must be ordered although it is believed to be in force: at
    /// once if the pace in force is unknown, and after `every` if an older order may have undone
    /// it.
    pub fn must_resend(&self, now: Instant, every: Millis) -> bool {
        let waited = self.last.is_none_or(|(at, _)| now.since(at) >= every);
        self.pace_unknown || self.attempts.unanswered() > 0 && waited
    }

    /// Returns whether the run has worked at full pace all along.
    pub fn is_untouched(&self) -> bool {
        self.last.is_none() && !self.pace_unknown
    }

    /// Returns whether the pace that was last confirmed is certainly in force.
    pub fn is_certain(&self) -> bool {
        !self.pace_unknown && self.attempts.unanswered() == 0
    }

    /// Returns the highest pace that may come into force whatever is ordered.
    pub fn max_unanswered_percent(&self) -> u32 {
        self.max_unanswered_percent
    }

    /// Returns how many orders got no answer.
    pub fn unanswered(&self) -> u32 {
        self.attempts.unanswered()
    }
}
