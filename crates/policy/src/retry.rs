//! Limits the extra load that retries cause, and spreads retries over time.

use gaplock_types::time;
use rand::Rng;

/// What each first attempt earns, in thousandths of a retry.
const EARNED_PER_CALL: u32 = 100;
/// What a retry costs, in thousandths of a retry.
const RETRY_COST: u32 = 1000;
/// The maximum amount that a budget saves, in thousandths of a retry.
const MAX_SAVED: u32 = 10 * RETRY_COST;

/// A budget of retries, earned by first attempts.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    saved: u32,
}

impl RetryBudget {
    /// Adds what a first attempt earns.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_CALL).min(MAX_SAVED);
    }

    /// Returns whether a retry is allowed; if so, deducts its cost.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}

/// Returns the wait before attempt number `attempt` (from 1): a random time between half of a limit
/// and the limit, which starts at `first` and doubles with each attempt up to `longest`.
pub fn backoff(
    attempt: u32,
    first: time::Millis,
    longest: time::Millis,
    rng: &mut impl Rng,
) -> time::Millis {
    let ceiling = first.0.saturating_mul(1 << attempt.saturating_sub(1).min(20)).min(longest.0);
    time::Millis(rng.random_range(ceiling / 2..=ceiling.max(1)))
}
