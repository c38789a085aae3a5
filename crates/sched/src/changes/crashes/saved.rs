//! Tracks whether the evidence against suspects is stored.

use std::collections::BTreeSet;

use gaplock_jobs::{JobKey, TaskKey};

use crate::state::crash_evidence::Saved;
use crate::state::State;

/// Marks the evidence against tasks of these jobs as being in the commit in flight.
pub fn commit_began(cx: &mut State, jobs: &BTreeSet<JobKey>) {
    let of_jobs = |key: &TaskKey| jobs.contains(&key.job);
    change_saved(cx, of_jobs, Saved::No, Saved::InFlight);
}

/// Handles the end of the commit in flight. `stored` says whether it was stored; otherwise it
/// certainly was not.
pub fn commit_ended(cx: &mut State, stored: bool) {
    let now_saved = if stored { Saved::Yes } else { Saved::No };
    change_saved(cx, |_| true, Saved::InFlight, now_saved);
}

fn change_saved(cx: &mut State, selected: impl Fn(&TaskKey) -> bool, from: Saved, to: Saved) {
    let suspects: Vec<TaskKey> = cx.crashes.suspects.iter().copied().filter(selected).collect();
    for key in suspects {
        let evidence = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut());
        if let Some(evidence) = evidence.filter(|s| s.saved == from) {
            evidence.saved = to;
        }
    }
}
