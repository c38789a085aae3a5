//! Limits how many searches for a better worker one check may make.
//!
//! Thousands of tasks can be stuck at the same time. Each search goes over all workers, and the
//! check runs five times a second. Without a limit the leader of 3,000 workers did nothing else for
//! fifteen seconds: it sent some fifteen stops a second and handled no changes of the directory. So
//! a check makes only a few searches, and the next check begins at the worker at which the previous
//! one ended.

use crate::interface::message::WorkerIx;

/// The candidate evaluations that one check may make. Each takes some 0.15 us, so they use 3 ms of
/// a processor five times a second.
const MAX_EVALUATIONS_PER_CHECK: usize = 20_000;

/// The searches that one check may make at least, however large the fleet is.
const MIN_SEARCHES_PER_CHECK: usize = 4;

/// The searches that one check may still make.
#[derive(Debug)]
pub struct SearchBudget {
    remaining: usize,
    made: usize,
}

/// Returns the budget of a check on a fleet of `workers` workers.
pub fn open(workers: usize) -> SearchBudget {
    SearchBudget {
        remaining: (MAX_EVALUATIONS_PER_CHECK / workers.max(1)).max(MIN_SEARCHES_PER_CHECK),
        made: 0,
    }
}

impl SearchBudget {
    /// Returns whether no more searches may be made.
    pub fn is_exhausted(&self) -> bool {
        self.remaining == 0
    }

    /// Returns how many more searches may be made.
    pub fn remaining(&self) -> usize {
        self.remaining
    }

    /// Records that a search is made.
    pub fn spend_one(&mut self) {
        self.remaining = self.remaining.saturating_sub(1);
        self.made += 1;
    }

    /// Returns how many searches were made.
    pub fn made(&self) -> usize {
        self.made
    }
}

/// Rotates a sorted list of workers so that those from `from` on come first.
pub fn rotated_to(mut workers: Vec<WorkerIx>, from: WorkerIx) -> Vec<WorkerIx> {
    let at = workers.partition_point(|ix| *ix < from);
    workers.rotate_left(at);
    workers
}
