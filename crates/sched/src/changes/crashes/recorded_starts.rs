//! Starts of suspects, each of which is stored before it is sent.
//!
//! A successor that finds a worker gone cannot tell from its silence what ran there. What it supposes of all
//! tasks that are nowhere would speak against one that only waited. So of a suspect it is stored where it may
//! be at work; a worker that was lost elsewhere says nothing of it.

use std::mem;

use gaplock_jobs::TaskKey;

use crate::changes::crashes::reserved;
use crate::changes::{commits, lifecycle, orders};
use crate::interface::message::{Run, WorkerIx};
use crate::interface::proof::ReleaseProof;
use crate::state::crash_evidence::{RecordedStart, Saved};
use crate::state::worker::Phase;
use crate::state::State;

/// Holds the start of a suspect back until it is stored; whether it has to wait for that. The members of a gang are
/// sent together, since they wait for each other at their workers for a short time only.
pub fn hold_until_stored(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run) -> bool {
    let id = cx.worker(ix).info.id.clone();
    let is_gang = cx.step(key).is_some_and(|step| step.gang);
    let Some(suspicion) = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut()) else {
        return false;
    };
    if is_gang {
        suspicion.recorded_start = RecordedStart::Unrecorded;
    }
    if suspicion.recorded_start == RecordedStart::Unrecorded {
        return false;
    }
    (suspicion.recorded_start, suspicion.saved) = (RecordedStart::At(id), Saved::No);
    cx.crashes.held_starts.push((ix, key, run));
    commits::mark_dirty_urgent(&mut cx.commits, cx.now, key.job);
    true
}

/// Sends the starts that are stored by now, unless the view of the directory is too old for any start.
pub fn send_stored_starts(cx: &mut State) {
    if cx.freshness.is_behind() {
        return;
    }
    for (ix, key, run) in mem::take(&mut cx.crashes.held_starts) {
        let slot = cx.worker(ix).slots.get(&key);
        let is_held = slot
            .is_some_and(|s| s.run == run && s.phase == Phase::Starting && s.attempts.sent() == 0);
        if !is_held {
            continue;
        }
        let suspicion = cx.task(key).and_then(|t| t.crash_evidence.as_ref());
        if suspicion.is_some_and(|s| s.saved != Saved::Yes) {
            cx.crashes.held_starts.push((ix, key, run));
        } else if cx.worker(ix).accepts_tasks(cx.now) {
            if cx.worker(ix).trial.is_some_and(|trial| trial.task == key) {
                reserved::reserve(cx, ix, key);
            }
            orders::send_start(cx, ix, key, run);
        } else {
            lifecycle::requeue(cx, ix, key, run, ReleaseProof::NeverSent);
        }
    }
}
