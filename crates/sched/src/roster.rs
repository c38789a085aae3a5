//! The stored roster: which workers may run something, and for a worker that gets no tasks, what.
//!
//! A successor asks every worker of the roster what it runs. One that does not answer keeps in doubt
//! all that it may run: any task, while the roster holds it open, or just the tasks that were there
//! when the leader closed it. A closed worker gets no tasks until it is stored as open again
//! (`docs/PLATFORM.md`).

use crate::commits;
use crate::context::Context;
use crate::message::WorkerIx;
use crate::worker::{Listing, Worker};

/// After how many renewals without an answer a worker is closed: a single answer is lost now and then,
/// and each change is a write.
const CLOSED_AFTER_MISSED: u32 = 2;

/// Closes the workers that are silent, and those that are leaving and run nothing any more.
pub fn check(cx: &mut Context) {
    for ix in cx.worker_ixs() {
        if should_close(cx.worker(ix)) {
            commits::close_worker(cx, ix);
        }
    }
}

/// Tells whether a worker is to be closed. What it may run is known only once it has answered.
fn should_close(worker: &Worker) -> bool {
    if worker.closed || worker.answered.is_none() {
        return false;
    }
    let silent = worker.missed >= CLOSED_AFTER_MISSED;
    let leaving = worker.listing != Listing::Ready && worker.slots.is_empty();
    silent || leaving
}

/// Opens a worker that may be given tasks, unless it is open.
pub fn open(cx: &mut Context, ix: WorkerIx) {
    let worker = cx.worker(ix);
    let able = worker.listing == Listing::Ready && worker.missed == 0 && worker.answered.is_some();
    if able && !worker.gone && !worker.in_roster && !worker.roster_pending {
        commits::add_worker(cx, ix);
    }
}
