//! The stored roster: which workers may run something, and for a worker that gets no tasks, what.
//!
//! A successor asks every worker of the roster what it runs. One that does not answer keeps in doubt
//! all that it may run: any task, while the roster holds it open, or just the tasks that were there
//! when the leader closed it. A closed worker gets no tasks until it is stored as open again
//! (`docs/PLATFORM.md`).

use gaplock_jobs::TaskKey;

use crate::changes::{commits, trace};
use crate::decisions::losses;
use crate::interface::message::{Record, RosterEntry, WorkerIx};
use crate::state::worker::{Listing, Worker};
use crate::state::State;

/// After how many renewals without an answer a worker is closed: a single answer is lost now and then,
/// and each change is a write.
const CLOSE_AFTER_UNANSWERED_RENEWALS: u32 = 2;

/// Closes the workers that are silent, and those that are leaving and run nothing any more.
pub fn check(cx: &mut State) {
    for ix in cx.worker_ixs() {
        if should_close(cx.worker(ix)) {
            close(cx, ix);
        }
    }
}

/// Tells whether a worker is to be closed. What it may run is known only once it has answered.
fn should_close(worker: &Worker) -> bool {
    if worker.closed || worker.first_answered_at.is_none() {
        return false;
    }
    let silent = worker.unanswered_renewals >= CLOSE_AFTER_UNANSWERED_RENEWALS;
    let leaving = worker.listing != Listing::Ready && worker.slots.is_empty();
    silent || leaving
}

/// Gives a worker no tasks from now on and stores what may still run there, or takes it off the roster
/// where that is nothing: a successor then need not wait for it.
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

/// Takes a worker off the roster that certainly runs nothing any more.
pub fn forget(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker_mut(ix);
    if worker.dropped_from_roster {
        return;
    }
    worker.dropped_from_roster = true;
    let id = worker.info.id.clone();
    commits::add(cx, Record::ForgetWorker(id));
}

/// Takes a closed worker off the roster once the leases of all that it may have run are over.
pub fn leases_expired(cx: &mut State, ix: WorkerIx) {
    if cx.worker(ix).closed && !cx.worker(ix).dropped_from_roster {
        close(cx, ix);
    }
}

/// Tells whether a worker may run something, by its answers or by the roster.
pub fn may_run_something(worker: &Worker) -> bool {
    let rostered = worker.in_roster || worker.roster_pending;
    worker.first_answered_at.is_some() || rostered || (worker.closed && !worker.dropped_from_roster)
}

/// Opens a worker that may be given tasks, unless it is open.
pub fn open_if_ready(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker(ix);
    let able = worker.listing == Listing::Ready
        && worker.unanswered_renewals == 0
        && worker.first_answered_at.is_some();
    if able && !worker.terminated {
        add_if_missing(cx, ix);
    }
}

/// Enters a worker as open, unless it is.
pub fn add_if_missing(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker(ix);
    if !worker.in_roster && !worker.roster_pending {
        commits::add_worker(cx, ix);
    }
}
