//! Workers in the order in which they suit the tasks of one step.
//!
//! Choosing goes over all workers. Between two tasks of a step only the worker that took the first
//! one has changed, so the order is worked out once and kept, and a step of twenty tasks costs little
//! more than a single task.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use gaplock_types::time::Millis;

use crate::decisions::placement::{self, PlacementRequest};
use crate::interface::message::WorkerIx;
use crate::state::State;

/// A worker and how good a place it is.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    score: f64,
    worker: WorkerIx,
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    /// The better place is greater; of equal ones the worker that was known first.
    fn cmp(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then_with(|| other.worker.cmp(&self.worker))
    }
}

/// What differs between tasks of one step and changes the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RankingKey {
    avoid: Option<WorkerIx>,
    waited: Millis,
    again: bool,
}

/// Workers on which tasks of one step could start now, the best one first. The step's tasks must be
/// all that changes workers while it is used.
#[derive(Debug, Default)]
pub struct RankedWorkers {
    asked: Option<RankingKey>,
    order: BinaryHeap<Candidate>,
    /// The worker that took the last task.
    changed: Option<WorkerIx>,
}

impl RankedWorkers {
    /// Finds the best worker for a task, and holds it to take the task.
    pub fn take_best(&mut self, cx: &State, wanted: &PlacementRequest<'_>) -> Option<WorkerIx> {
        self.refresh_ranking(cx, wanted);
        let mut unfit: Vec<Candidate> = Vec::new();
        let found = loop {
            let Some(choice) = self.order.pop() else { break None };
            if placement::check_fit(cx, choice.worker, wanted).is_ok() {
                break Some(choice.worker);
            }
            unfit.push(choice);
        };
        // A worker where another run of this very task is may do for the next task.
        self.order.extend(unfit);
        self.changed = found;
        found
    }

    /// Works the order out anew, or only the place of the worker that took the last task.
    fn refresh_ranking(&mut self, cx: &State, wanted: &PlacementRequest<'_>) {
        let asked = Some(RankingKey {
            avoid: wanted.avoid,
            waited: wanted.waited,
            again: wanted.may_have_run,
        });
        let all = 0..cx.workers.len() as u32;
        if self.asked != asked {
            self.asked = asked;
            self.changed = None;
            self.order = all.map(WorkerIx).filter_map(|ix| evaluate(cx, ix, wanted)).collect();
        }
        let changed = self.changed.take();
        self.order.extend(changed.and_then(|ix| evaluate(cx, ix, wanted)));
    }
}

/// Returns a worker as a choice, if the task could start there now.
fn evaluate(cx: &State, worker: WorkerIx, wanted: &PlacementRequest<'_>) -> Option<Candidate> {
    let score = placement::score_if_fit(cx, worker, wanted)?;
    Some(Candidate { score, worker })
}
