//! Decides the order in which waiting best-effort steps are tried in a dispatch pass.

use gaplock_jobs::progress::JobState;

use crate::decisions::slack::{self, Usefulness};
use crate::state::job_table::ReadyStep;
use crate::state::State;

/// In one of this many passes, steps of jobs that are of no more use are tried first, so that they
/// get a twentieth of the capacity that becomes free and do not wait forever.
const PASSES_PER_TURN_OF_LAST: u64 = 20;

/// The position of a best-effort step among those of its priority. Smaller ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: u32,
    usefulness: Usefulness,
    /// Whether no task of its job has been started. A job that has begun is of use sooner.
    not_begun: bool,
    /// The slack of a job that can be on time, in milliseconds; 0 for others.
    slack_ms: i64,
}

/// Orders best-effort steps of equal priority by usefulness and slack. All other steps keep their
/// places: they compete for other resources.
pub fn by_usefulness(cx: &State, ready: &mut [ReadyStep]) {
    let places: Vec<usize> =
        (0..ready.len()).filter(|&place| is_best_effort(cx, &ready[place])).collect();
    if places.len() < 2 {
        return;
    }
    let last_goes_first = cx.passes.is_multiple_of(PASSES_PER_TURN_OF_LAST);
    let mut steps: Vec<ReadyStep> = places.iter().map(|&place| ready[place]).collect();
    steps.sort_by_cached_key(|step| {
        let position = position(cx, step);
        let is_last = position.usefulness == Usefulness::None;
        (position.priority, last_goes_first && !is_last, position)
    });
    for (place, step) in places.into_iter().zip(steps) {
        ready[place] = step;
    }
}

fn is_best_effort(cx: &State, ready: &ReadyStep) -> bool {
    let entry = cx.jobs.get(&ready.job);
    entry.is_some_and(|e| e.job.steps.get(usize::from(ready.step)).is_some_and(|step| step.fills))
}

fn position(cx: &State, ready: &ReadyStep) -> Position {
    let slack = slack::slack_of_step(cx, ready);
    let usefulness = slack.map_or(Usefulness::None, |slack| slack.usefulness);
    let slack_ms = slack.filter(|_| usefulness == Usefulness::OnTime).map_or(0, |s| s.ms as i64);
    let not_begun = cx.jobs.get(&ready.job).is_none_or(|e| e.state == JobState::Queued);
    Position { priority: ready.priority, usefulness, not_begun, slack_ms }
}
