//! Renewals in the order in which they are due, so that finding the due ones costs by their number
//! and not by that of all workers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use gaplock_types::time::Instant;

use crate::interface::message::WorkerIx;

/// When renewals are due. A worker may have several entries; its own state says whether its renewal
/// is due.
#[derive(Debug, Default)]
pub struct RenewalQueue {
    queue: BinaryHeap<Reverse<(Instant, WorkerIx)>>,
    examined: u64,
}

impl RenewalQueue {
    /// Adds a worker whose renewal is due at `at`.
    pub fn add(&mut self, at: Instant, worker: WorkerIx) {
        self.queue.push(Reverse((at, worker)));
    }

    /// Removes and returns the workers whose time has come, each of them once, in the order in
    /// which they became known.
    pub fn take_due(&mut self, now: Instant) -> Vec<WorkerIx> {
        let mut due = Vec::new();
        while let Some(&Reverse((at, worker))) = self.queue.peek() {
            if at > now {
                break;
            }
            self.queue.pop();
            due.push(worker);
        }
        self.examined += due.len() as u64;
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Returns how many entries were removed so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }
}
