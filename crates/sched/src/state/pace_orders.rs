//! Which paces may be in force for a run.
//!
//! No account of a worker says at which pace a run works, and an order without an answer may be
//! carried out after newer ones, however much later. A run that was given such an order is in doubt
//! for as long as it lasts: its wanted pace is put in force again and again, and what runs beside
//! it reckons with the worst.

use gaplock_policy::attempts::{CallAttempts, Execution};
use gaplock_types::time::{Instant, Millis};

/// The pace at which every run begins, in percent of full speed.
pub const FULL_PACE: u32 = 100;

/// The orders of pace that a run was given.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceOrders {
    /// One for each order: whatever its pace, it may undo the others.
    attempts: CallAttempts,
    /// The last order: when it was sent, and the pace.
    last: Option<(Instant, u32)>,
    /// Whether nothing is known of the pace in force, or the last order has got no answer.
    pace_unknown: bool,
    /// The highest pace among the orders without an answer.
    max_unanswered_percent: u32,
}

impl PaceOrders {
    /// Builds what is known of a run that a former leader started. The account that lists the run
    /// answers a call of this leader, so its worker refuses what a former leader may have under
    /// way: just the pace in force is not known, and one order that is answered settles it.
    pub fn adopted() -> Self {
        Self { pace_unknown: true, ..Self::default() }
    }

    /// Counts an order that is being sent.
    pub fn send(&mut self, now: Instant, percent: u32) {
        self.attempts.record_send();
        self.last = Some((now, percent));
    }

    /// Tells whether an answer can be that of the last order; any other belongs to an order before
    /// the run was given up and found again.
    pub fn may_answer_last(&self, percent: u32) -> bool {
        self.last.is_some_and(|(_, last)| last == percent)
    }

    /// Takes in what became of the last order and tells whether its pace is in force. A refusal
    /// says nothing of the orders before it.
    pub fn record_outcome(&mut self, fate: Execution) -> bool {
        let percent = self.last.map_or(FULL_PACE, |(_, percent)| percent);
        self.attempts.record_outcome(fate);
        match fate {
            Execution::Done => self.pace_unknown = false,
            Execution::NotDone => {}
            Execution::Unknown => {
                self.pace_unknown = true;
                self.max_unanswered_percent = self.max_unanswered_percent.max(percent);
            }
        }
        fate == Execution::Done
    }

    /// Tells whether the wanted pace must be ordered although it is held to be in force: at once
    /// where that is not known, and after `every` where an older order may have undone it.
    pub fn must_resend(&self, now: Instant, every: Millis) -> bool {
        let waited = self.last.is_none_or(|(at, _)| now.since(at) >= every);
        self.pace_unknown || self.attempts.unanswered() > 0 && waited
    }

    /// Tells whether the pace last confirmed is in force for certain.
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
