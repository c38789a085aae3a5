//! Ranks workers by how well they suit the tasks of one step.
//!
//! To choose a worker, all workers have to be evaluated. Between two tasks of a step only the
//! worker that took the first one has changed, so the ranking is computed once and kept. A step of
//! twenty tasks then costs little more than a single task.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use gaplock_types::time::Millis;

use crate::decisions::placement::{self, PlacementRequest};
use crate::interface::message::WorkerIx;
use crate::state::State;

/// A worker and its placement score.
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
    /// The higher score is greater; of equal scores, the worker that was known first.
    fn cmp(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then_with(|| other.worker.cmp(&self.worker))
    }
}

/// The values of a request that differ between tasks of one step and affect the ranking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RankingKey {
    avoid: Option<WorkerIx>,
    waited: Millis,
    may_have_run: bool,
}

/// Workers on which tasks of one step could start now, the best one first. While it is in use, only
/// starts of this step's tasks may change workers.
#[derive(Debug, Default)]
pub struct RankedWorkers {
    key: Option<RankingKey>,
    candidates: BinaryHeap<Candidate>,
    /// The worker that took the last task and has to be evaluated again.
    last_taken: Option<WorkerIx>,
}

impl RankedWorkers {
    /// Returns the best worker for a task, and assumes that the task is started there.
    pub fn take_best(&mut self, cx: &State, request: &PlacementRequest<'_>) -> Option<WorkerIx> {
        self.refresh_ranking(cx, request);
        let mut rejected: Vec<Candidate> = Vec::new();
        let best = loop {
            let Some(candidate) = self.candidates.pop() else { break None };
            if placement::check_fit(cx, candidate.worker, request).is_ok() {
                break Some(candidate.worker);
            }
            rejected.push(candidate);
        };
        // A worker that holds another run of this task may still fit the next task.
        self.candidates.extend(rejected);
        self.last_taken = best;
        best
    }

    /// Computes the ranking again if the request differs from the last one. Otherwise evaluates
    /// only the worker that took the last task.
    fn refresh_ranking(&mut self, cx: &State, request: &PlacementRequest<'_>) {
        let key = Some(RankingKey {
            avoid: request.avoid,
            waited: request.waited,
            may_have_run: request.may_have_run,
        });
        let all = 0..cx.workers.len() as u32;
        if self.key != key {
            self.key = key;
            self.last_taken = None;
            self.candidates =
                all.map(WorkerIx).filter_map(|ix| evaluate(cx, ix, request)).collect();
        }
        let last_taken = self.last_taken.take();
        self.candidates.extend(last_taken.and_then(|ix| evaluate(cx, ix, request)));
    }
}

/// Evaluates a worker as a candidate. Returns `None` if no task of the step could start there now.
fn evaluate(cx: &State, worker: WorkerIx, request: &PlacementRequest<'_>) -> Option<Candidate> {
    let score = placement::score_for_step(cx, worker, request)?;
    Some(Candidate { score, worker })
}
