//! Stores each start of a suspect before it is sent.
//!
//! A new leader that finds that a worker has terminated cannot tell what ran there. If it blamed
//! all tasks that it finds nowhere, it would also blame a task that was only waiting. So the store
//! says where a suspect may be running, and the loss of any other worker does not count against it.

use std::mem;

use gaplock_jobs::TaskKey;

use crate::changes::crashes::reserved;
use crate::changes::{commits, lifecycle, orders};
use crate::interface::message::{Run, WorkerIx};
use crate::interface::proof::ReleaseProof;
use crate::state::crash_evidence::{RecordedStart, Saved};
use crate::state::worker::Phase;
use crate::state::State;

/// Holds back the start of a suspect until it is stored. Returns whether the start has to wait for
/// that. The starts of a gang are sent together without waiting, since the members wait for each
/// other on their workers for a short time only.
pub fn hold_start_until_stored(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run) -> bool {
    let id = cx.worker(ix).info.id.clone();
    let is_gang = cx.step(key).is_some_and(|step| step.gang);
    let Some(evidence) = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut()) else {
        return false;
    };
    if is_gang {
        evidence.recorded_start = RecordedStart::Unrecorded;
    }
    if evidence.recorded_start == RecordedStart::Unrecorded {
        return false;
    }
    (evidence.recorded_start, evidence.saved) = (RecordedStart::At(id), Saved::No);
    cx.crashes.held_starts.push((ix, key, run));
    commits::mark_dirty_urgent(&mut cx.commits, cx.now, key.job);
    true
}

/// Sends the held starts that are stored by now, unless the view of the directory is too old for
/// any start.
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
        let evidence = cx.task(key).and_then(|t| t.crash_evidence.as_ref());
        if evidence.is_some_and(|s| s.saved != Saved::Yes) {
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
