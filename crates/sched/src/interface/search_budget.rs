//! How many searches for a better place one check may make.
//!
//! The pattern: thousands of tasks are stuck at one time, each search goes over all workers, and the check
//! comes five times a second. On 3,000 workers the leader did nothing else for fifteen seconds: it sent some
//! fifteen stops a second and took no news of the directory in. So a check makes a few searches, and the
//! next one begins with the worker at which it ended.

use crate::interface::message::WorkerIx;

/// The looks at a worker that one check may take: some 0.15 us each, 3 ms of a processor five times a second.
const MAX_EVALUATIONS_PER_CHECK: usize = 20_000;

/// The searches that one check may make on the largest fleet.
const MIN_SEARCHES_PER_CHECK: usize = 4;

/// The searches that are left of a check.
#[derive(Debug)]
pub struct SearchBudget {
    left: usize,
    made: usize,
}

/// Begins a check on a fleet of so many workers.
pub fn open(workers: usize) -> SearchBudget {
    SearchBudget {
        left: (MAX_EVALUATIONS_PER_CHECK / workers.max(1)).max(MIN_SEARCHES_PER_CHECK),
        made: 0,
    }
}

impl SearchBudget {
    /// Tells whether no more searches may be made.
    pub fn is_exhausted(&self) -> bool {
        self.left == 0
    }

    /// Takes in that a search is made.
    pub fn spend_one(&mut self) {
        self.left = self.left.saturating_sub(1);
        self.made += 1;
    }

    /// Returns how many searches were made.
    pub fn made(&self) -> usize {
        self.made
    }
}

/// Turns workers round so that those from a position on come first.
pub fn rotated_to(mut workers: Vec<WorkerIx>, from: WorkerIx) -> Vec<WorkerIx> {
    let at = workers.partition_point(|ix| *ix < from);
    workers.rotate_left(at);
    workers
}
