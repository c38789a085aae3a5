//! Whether what is known of suspects is stored.

use std::collections::BTreeSet;

use gaplock_jobs::{JobKey, TaskKey};

use crate::state::crash_evidence::Saved;
use crate::state::State;

/// Takes in that the progress of these jobs is being stored.
pub fn commit_began(cx: &mut State, jobs: &BTreeSet<JobKey>) {
    let of_jobs = |key: &TaskKey| jobs.contains(&key.job);
    change_saved(cx, of_jobs, Saved::No, Saved::InFlight);
}

/// Takes in that the commit in flight is stored or, unless `stored`, certainly is not.
pub fn commit_ended(cx: &mut State, stored: bool) {
    let now_saved = if stored { Saved::Yes } else { Saved::No };
    change_saved(cx, |_| true, Saved::InFlight, now_saved);
}

fn change_saved(cx: &mut State, of: impl Fn(&TaskKey) -> bool, from: Saved, to: Saved) {
    let suspects: Vec<TaskKey> = cx.crashes.suspects.iter().copied().filter(of).collect();
    for key in suspects {
        let suspicion = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut());
        if let Some(suspicion) = suspicion.filter(|s| s.saved == from) {
            suspicion.saved = to;
        }
    }
}
