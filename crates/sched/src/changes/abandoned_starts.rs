//! Starts that may outlive the leases at their worker.
//!
//! A run is given up once all leases at its silent worker are over. A try of its start that is
//! still under way is void by then where the worker goes by the end of the lease that the start
//! carries. Where it goes by its own leases, it may carry the start out under one that it gets
//! later. So a worker that comes back gets leases and tasks only after it has been told, by stops,
//! to refuse all such runs for ever. A later leader's token bars them without that.

use gaplock_jobs::TaskKey;

use crate::changes::trace;
use crate::interface::message::{Action, Outcome, Refusal, Run, WorkerClock, WorkerIx};
use crate::state::abandoned_start::AbandonedStart;
use crate::state::worker::{Slot, Worker};
use crate::state::State;

/// Keeps a run in doubt that is being given up, unless its worker has confirmed the run or its
/// stop: what has begun there never begins again.
pub fn record(worker: &mut Worker, key: TaskKey, slot: &Slot) {
    let unknown = slot.confirmed.is_none() && slot.stop_confirmed.is_none();
    if unknown && slot.attempts.sent() > 0 {
        worker.abandoned_starts.insert(key, AbandonedStart { run: slot.run, stop_sent_at: None });
    }
}

/// Sends the stops that are due to a worker that answers.
pub fn send_due_stops(cx: &mut State, ix: WorkerIx) {
    let (now, retry) = (cx.now, cx.settings.stop_retry);
    let worker = cx.worker_mut(ix);
    if !worker.answers() {
        return;
    }
    let mut due = Vec::new();
    for (key, doubt) in &mut worker.abandoned_starts {
        if doubt.stop_sent_at.is_some_and(|at| now.since(at) < retry) {
            continue;
        }
        doubt.stop_sent_at = Some(now);
        due.push((*key, doubt.run));
    }
    for (task, run) in due {
        trace::stop_ordered(task, run, &cx.worker(ix).info.id, "its start may outlive its lease");
        cx.actions.push(Action::Stop { worker: ix, task, run });
    }
}

/// Takes in what became of a stop, which may be one for a run in doubt.
pub fn handle_stop_outcome(
    cx: &mut State,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    outcome: &Outcome<WorkerClock>,
) {
    let barred = matches!(outcome, Outcome::Done(_) | Outcome::Refused(Refusal::OldRun));
    let worker = cx.worker_mut(ix);
    if !barred || worker.abandoned_starts.get(&key).is_none_or(|doubt| doubt.run != run) {
        return;
    }
    worker.abandoned_starts.remove(&key);
    if worker.abandoned_starts.is_empty() {
        cx.expedite_renewal(ix);
        cx.pass_wanted = true;
    }
}
