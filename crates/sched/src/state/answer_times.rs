//! How long workers take to answer orders, as the leader sees it, and how long it therefore waits for
//! an answer before it counts a call as unanswered.
//!
//! The time includes the delay until the leader handles the answer: a busy leader must not take its
//! own delay for lost answers, since more calls would delay it further.

use gaplock_types::time::{Instant, Millis};

/// How long an order may take at most, and how long it may always take.
const MAX_TIMEOUT: Millis = Millis(400);
const MIN_TIMEOUT: Millis = Millis(100);

/// How much longer than it waits at the worker a renewal may take, at most and at least.
const MAX_RENEWAL_MARGIN: Millis = Millis(500);
const MIN_RENEWAL_MARGIN: Millis = Millis(200);

/// How many times the slowest recent answer a call may take.
const TIMEOUT_FACTOR: u64 = 4;

/// The time in which the slowest answer counts for half as much.
const HALF_LIFE: Millis = Millis(1_000);

/// The time in which missing answers are counted together.
const LOSS_WINDOW: Millis = Millis(1_000);

/// How many workers of a fleet must miss an answer within that time for answers to count as lost:
/// one in this many, and some at least.
const LOSSES_DIVISOR: usize = 50;
const MIN_LOSSES: usize = 3;

/// What is known of the answers of all workers.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    /// The slowest recent answer to an order.
    slowest: Option<(Instant, Millis)>,
    /// When the present window began, and how many answers were lost in it.
    window: (Instant, usize),
    /// How many were lost in the window before.
    lost_before: usize,
}

impl AnswerTimes {
    /// Records how long an order took that was answered at `now`.
    pub fn record(&mut self, now: Instant, took: Millis) {
        if self.slowest_at(now).is_none_or(|slowest| took >= slowest) {
            self.slowest = Some((now, took));
        }
    }

    /// Records that a worker that is there has left a call unanswered.
    pub fn record_lost(&mut self, now: Instant) {
        self.advance_window(now);
        self.window.1 += 1;
    }

    fn advance_window(&mut self, now: Instant) {
        let (began, lost) = self.window;
        let passed = now.since(began).0 / LOSS_WINDOW.0;
        if passed > 0 {
            self.lost_before = if passed == 1 { lost } else { 0 };
            self.window = (now, 0);
        }
    }

    /// Returns whether answers of workers that are there get lost at present, in a fleet of `workers`.
    pub fn are_lost(&mut self, now: Instant, workers: usize) -> bool {
        self.advance_window(now);
        let lost = self.window.1.max(self.lost_before);
        lost >= (workers / LOSSES_DIVISOR).max(MIN_LOSSES)
    }

    /// Returns the time of the slowest recent answer; it decays, so that one slow answer counts for
    /// some seconds.
    fn slowest_at(&self, now: Instant) -> Option<Millis> {
        let (at, took) = self.slowest?;
        let half_lives = now.since(at).0 / HALF_LIFE.0;
        Some(Millis(took.0 >> half_lives.min(63)))
    }

    /// Returns how long the leader waits for the answer to an order; each repeat doubles the time, as
    /// the answers to all calls may have become slower.
    pub fn order_timeout(&self, now: Instant, attempt: u32) -> Millis {
        let Some(slowest) = self.slowest_at(now) else { return MAX_TIMEOUT };
        let base = Millis(slowest.0 * TIMEOUT_FACTOR).max(MIN_TIMEOUT);
        let doublings = attempt.saturating_sub(1).min(8);
        Millis(base.0 << doublings).min(MAX_TIMEOUT)
    }

    /// Returns how much longer than it waits at the worker a renewal may take.
    pub fn renewal_margin(&self, now: Instant) -> Millis {
        let Some(slowest) = self.slowest_at(now) else { return MAX_RENEWAL_MARGIN };
        let margin = Millis(slowest.0 * TIMEOUT_FACTOR);
        margin.clamp(MIN_RENEWAL_MARGIN, MAX_RENEWAL_MARGIN)
    }
}
