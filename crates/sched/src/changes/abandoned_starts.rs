//! Abandoned starts: released runs that may still begin.
//!
//! A run is released once all leases at its silent worker are over. An attempt of its start may
//! then still be in flight. A worker that checks the end of the lease that the start carries
//! refuses the attempt by then. But a worker that checks its own leases may carry it out under a
//! lease that it gets later. So a worker that comes back gets leases and tasks only after stops
//! have made it refuse all such runs for ever. A later leader does not need these stops, because
//! its fencing token makes the worker refuse such starts.

use gaplock_jobs::TaskKey;

use crate::changes::trace;
use crate::interface::message::{Action, Outcome, Refusal, Run, WorkerClock, WorkerIx};
use crate::state::abandoned_start::AbandonedStart;
use crate::state::worker::{Slot, Worker};
use crate::state::State;

/// Records a run that is being released as an abandoned start, unless its worker has confirmed the
/// run or its stop: a run that has begun there never begins again.
pub fn record(worker: &mut Worker, key: TaskKey, slot: &Slot) {
    let unconfirmed = slot.confirmed.is_none() && slot.stop_confirmed.is_none();
    if unconfirmed && slot.attempts.sent() > 0 {
        worker.abandoned_starts.insert(key, AbandonedStart { run: slot.run, stop_sent_at: None });
    }
}

/// Sends the due stops of abandoned starts to a worker, if it answers.
pub fn send_due_stops(cx: &mut State, ix: WorkerIx) {
    let (now, retry) = (cx.now, cx.settings.stop_retry);
    let worker = cx.worker_mut(ix);
    if !worker.answers() {
        return;
    }
    let mut due = Vec::new();
    for (key, start) in &mut worker.abandoned_starts {
        if start.stop_sent_at.is_some_and(|at| now.since(at) < retry) {
            continue;
        }
        start.stop_sent_at = Some(now);
        due.push((*key, start.run));
    }
    for (task, run) in due {
        trace::stop_ordered(task, run, &cx.worker(ix).info.id, "its start may outlive its lease");
        cx.actions.push(Action::Stop { worker: ix, task, run });
    }
}

/// Handles the outcome of a stop, which may be the stop of an abandoned start.
pub fn handle_stop_outcome(
    cx: &mut State,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    outcome: &Outcome<WorkerClock>,
) {
    let stop_confirmed = matches!(outcome, Outcome::Done(_) | Outcome::Refused(Refusal::OldRun));
    let worker = cx.worker_mut(ix);
    if !stop_confirmed || worker.abandoned_starts.get(&key).is_none_or(|start| start.run != run) {
        return;
    }
    worker.abandoned_starts.remove(&key);
    if worker.abandoned_starts.is_empty() {
        cx.expedite_renewal(ix);
        cx.pass_wanted = true;
    }
}
