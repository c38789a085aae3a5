//! The roster that the leader stores: which workers may be running tasks and, for a worker that
//! gets no new tasks, which tasks these are.
//!
//! A new leader asks every worker in the roster what it runs. Until a worker answers, the state of
//! all tasks that it may be running is unknown: any task if the roster shows the worker as open, or
//! only the tasks that it had when the previous leader closed it. A closed worker gets no tasks
//! until it is stored as open again (`docs/PLATFORM.md`).

use gaplock_jobs::TaskKey;

use crate::changes::{commits, trace};
use crate::decisions::losses;
use crate::interface::message::{Record, RosterEntry, WorkerIx};
use crate::state::worker::{Listing, Worker};
use crate::state::State;

/// The number of successive unanswered renewals after which a worker is closed. One answer is lost
/// now and then, and each change of the roster is a write to the store.
const CLOSE_AFTER_UNANSWERED_RENEWALS: u32 = 2;

/// Closes the workers that are silent, and the workers that are leaving and no longer run anything.
pub fn check(cx: &mut State) {
    for ix in cx.worker_ixs() {
        if should_close(cx.worker(ix)) {
            close(cx, ix);
        }
    }
}

/// Returns whether a worker should be closed. A worker that has not answered yet stays open,
/// because the leader does not know what it may be running.
fn should_close(worker: &Worker) -> bool {
    if worker.closed || worker.first_answered_at.is_none() {
        return false;
    }
    let silent = worker.unanswered_renewals >= CLOSE_AFTER_UNANSWERED_RENEWALS;
    let leaving = worker.listing != Listing::Ready && worker.slots.is_empty();
    silent || leaving
}

/// Stops giving a worker tasks and stores which tasks may still be running there. If there are
/// none, removes the worker from the roster, so that the next leader need not wait for it.
fn close(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker_mut(ix);
    worker.in_roster = false;
    worker.roster_pending = false;
    worker.closed = true;
    let mut info = worker.info.clone();
    info.draining = losses::was_leaving(worker);
    let holds: Vec<TaskKey> = worker.slots.keys().copied().collect();
    worker.dropped_from_roster = holds.is_empty();
    trace::worker_closed(&info.id, holds.len());
    let record = match holds.is_empty() {
        true => Record::ForgetWorker(info.id),
        false => Record::Worker(RosterEntry { info, holds: Some(holds) }),
    };
    commits::add(cx, record);
}

/// Removes from the roster a worker that certainly no longer runs anything.
pub fn forget(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker_mut(ix);
    if worker.dropped_from_roster {
        return;
    }
    worker.dropped_from_roster = true;
    let id = worker.info.id.clone();
    commits::add(cx, Record::ForgetWorker(id));
}

/// Removes a closed worker from the roster once the leases of all its possible runs are over.
pub fn leases_expired(cx: &mut State, ix: WorkerIx) {
    if cx.worker(ix).closed && !cx.worker(ix).dropped_from_roster {
        close(cx, ix);
    }
}

/// Returns whether a worker may be running something, according to its answers or the roster.
pub fn may_run_something(worker: &Worker) -> bool {
    let listed_as_open = worker.in_roster || worker.roster_pending;
    worker.first_answered_at.is_some()
        || listed_as_open
        || (worker.closed && !worker.dropped_from_roster)
}

/// Adds a worker to the roster as open if it can be given tasks.
pub fn open_if_ready(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker(ix);
    let ready = worker.listing == Listing::Ready
        && worker.unanswered_renewals == 0
        && worker.first_answered_at.is_some();
    if ready && !worker.terminated {
        add_if_missing(cx, ix);
    }
}

/// Adds a worker to the roster as open, unless it is already open or being added.
pub fn add_if_missing(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker(ix);
    if !worker.in_roster && !worker.roster_pending {
        commits::add_worker(cx, ix);
    }
}
