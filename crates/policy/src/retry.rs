//! Limits how much extra load retries make, and spreads them in time.

use gaplock_types::time;
use rand::Rng;

/// Extra tries allowed for each first try, in thousandths.
const EARNED_PER_CALL: u32 = 100;
const RETRY_COST: u32 = 1000;
const MAX_SAVED: u32 = 10 * RETRY_COST;

/// A budget of extra tries, earned by first tries.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    saved: u32,
}

impl RetryBudget {
    /// Takes in a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_CALL).min(MAX_SAVED);
    }

    /// Tells whether an extra try is allowed, and takes its cost.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}

/// Returns the wait before try number `attempt` (from 1): doubled each time, fully jittered.
pub fn backoff(
    attempt: u32,
    first: time::Millis,
    longest: time::Millis,
    rng: &mut impl Rng,
) -> time::Millis {
    let ceiling = first.0.saturating_mul(1 << attempt.saturating_sub(1).min(20)).min(longest.0);
    time::Millis(rng.random_range(ceiling / 2..=ceiling.max(1)))
}
