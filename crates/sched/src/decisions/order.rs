//! Decides the order in which waiting best-effort and short steps are tried in a dispatch pass.
//!
//! This handles the following situation: more work of a class arrives than its pool can run, so that
//! the jobs whose objectives come first can no longer be on time.

use gaplock_jobs::progress::JobState;
use gaplock_overload::summary::WorkClass;

use crate::decisions::slack::{self, Usefulness};
use crate::state::job_table::{self, ReadyStep};
use crate::state::State;

/// In one of this many passes, steps of jobs that are of no more use are tried first, so that they
/// get a twentieth of the capacity that becomes free and do not wait forever.
const PASSES_PER_TURN_OF_LAST: u64 = 20;

/// The position of a step among those of its class and priority. Smaller ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: u32,
    usefulness: Usefulness,
    /// Whether no task of its job has been started. A job that has begun is of use sooner.
    not_begun: bool,
    /// The slack of a job that can be on time, in milliseconds; 0 for others.
    slack_ms: i64,
}

/// Orders best-effort steps of equal priority by usefulness and slack, and short steps by
/// usefulness. Each class keeps its places among the others: they compete for other resources.
/// Without that, the oldest jobs of an overloaded queue would go first, and all jobs be late.
pub fn by_usefulness(cx: &State, ready: &mut [ReadyStep]) {
    let last_goes_first = cx.passes.is_multiple_of(PASSES_PER_TURN_OF_LAST);
    for class in [WorkClass::BestEffort, WorkClass::Short] {
        let places: Vec<usize> =
            (0..ready.len()).filter(|&place| is_of(cx, &ready[place], class)).collect();
        if places.len() < 2 {
            continue;
        }
        let mut steps: Vec<ReadyStep> = places.iter().map(|&place| ready[place]).collect();
        steps.sort_by_cached_key(|step| {
            let position = position(cx, step, class);
            let is_last = position.usefulness == Usefulness::None;
            (position.priority, last_goes_first && !is_last, position)
        });
        for (place, step) in places.into_iter().zip(steps) {
            ready[place] = step;
        }
    }
}

fn is_of(cx: &State, ready: &ReadyStep, class: WorkClass) -> bool {
    let step = cx.jobs.get(&ready.job).and_then(|e| e.job.steps.get(usize::from(ready.step)));
    step.is_some_and(|step| job_table::work_class(step) == class)
}

fn position(cx: &State, ready: &ReadyStep, class: WorkClass) -> Position {
    let slack = slack::slack_of_step(cx, ready);
    let usefulness = slack.map_or(Usefulness::None, |slack| slack.usefulness);
    if class == WorkClass::Short {
        // Short steps are sorted by their objectives already.
        return Position { priority: ready.priority, usefulness, not_begun: false, slack_ms: 0 };
    }
    let slack_ms = slack.filter(|_| usefulness == Usefulness::OnTime).map_or(0, |s| s.ms as i64);
    let not_begun = cx.jobs.get(&ready.job).is_none_or(|e| e.state == JobState::Queued);
    Position { priority: ready.priority, usefulness, not_begun, slack_ms }
}
