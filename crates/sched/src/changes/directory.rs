//! What the directory says of workers.
//!
//! Others than workers may write there. An entry that cannot be read, or whose pool no configuration
//! names, names no worker that gets tasks; what runs at a worker that was sound before goes on.

use gaplock_types::ids;

use crate::changes::{evacuation, maintenance, roster, trace};
use crate::interface::message::{WorkerInfo, WorkerIx};
use crate::state::worker::{Listing, Worker};
use crate::state::State;

pub use crate::state::UnknownPoolWorkers;

/// How many such entries are kept. Workers of a pool that nobody uses are few; another writer's entries
/// may be any number.
const MAX_UNNAMED_ENTRIES: usize = 4_096;

/// Takes in what the directory says of a worker.
pub fn listed(cx: &mut State, info: WorkerInfo) {
    if !is_pool_named(cx, &info.service) {
        return keep_unnamed(cx, info);
    }
    if names_another_address(cx, &info) {
        return unreadable(cx, &info.id);
    }
    cx.unknown_pool_workers.remove(&info.id);
    let listing = listing_of(cx, &info);
    let is_new = !cx.by_id.contains_key(&info.id);
    let ix = find_or_add(cx, &info, listing);
    let worker = cx.worker_mut(ix);
    let was = worker.listing;
    worker.listing = match (was, listing) {
        (Listing::Draining { .. }, Listing::Draining { .. }) => was,
        _ => listing,
    };
    worker.info = info;
    cx.set_terminated(ix, false);
    evacuation::update_worker(cx, ix);
    let worker = cx.worker(ix);
    if is_new || was != listing && !is_unchanged_at_takeover(cx, worker) {
        trace::worker_listed(&worker.info, worker.listing);
    }
    if !worker.info.capacity.holds(&worker.used) {
        trace::worker_overfull(worker);
    }
    roster::open_if_ready(cx, ix);
    cx.pass_wanted = true;
}

/// Tells whether a successor reads for the first time of a worker that it knows from the roster, and finds it
/// ready. A line for each of thousands would take up processor time that the survey needs.
fn is_unchanged_at_takeover(cx: &State, worker: &Worker) -> bool {
    let restoring = cx.recovery_scan.as_ref().is_some_and(|survey| survey.began == cx.now);
    restoring && worker.listing == Listing::Ready
}

/// Tells whether an entry names another address than that of an incarnation which may run something. None
/// changes its address, and what answers at the other one would pass for proof that this one is over. The
/// address is not known where the roster's record could not be read.
fn names_another_address(cx: &State, info: &WorkerInfo) -> bool {
    let Some(&ix) = cx.by_id.get(&info.id) else { return false };
    let worker = cx.worker(ix);
    let known = !worker.info.addr.is_empty();
    known && worker.info.addr != info.addr && roster::may_run_something(worker)
}

/// Returns how the directory shows a worker.
fn listing_of(cx: &State, info: &WorkerInfo) -> Listing {
    if !info.draining {
        return Listing::Ready;
    }
    let remaining = info.remaining.unwrap_or(cx.settings.min_drain);
    Listing::Draining { since: cx.now, remaining }
}

/// Tells whether the configuration names a pool; before the first one each may be.
fn is_pool_named(cx: &State, pool: &ids::ServiceId) -> bool {
    let Some(config) = &cx.config else { return true };
    config.pools.iter().any(|p| p.service == *pool)
}

/// Keeps an entry whose pool is not named, and gives the worker that it names no more tasks.
fn keep_unnamed(cx: &mut State, info: WorkerInfo) {
    unreadable(cx, &info.id);
    if cx.unknown_pool_workers.len() < MAX_UNNAMED_ENTRIES
        || cx.unknown_pool_workers.contains_key(&info.id)
    {
        cx.unknown_pool_workers.insert(info.id.clone(), info);
    }
}

/// Takes in that the configuration has changed: entries may name workers now that did not before.
pub fn pools_changed(cx: &mut State) {
    for info in std::mem::take(&mut cx.unknown_pool_workers).into_values() {
        listed(cx, info);
    }
}

/// Finds a worker by its start, or adds it.
pub fn find_or_add(cx: &mut State, info: &WorkerInfo, listing: Listing) -> WorkerIx {
    if let Some(&ix) = cx.by_id.get(&info.id) {
        return ix;
    }
    let ix = WorkerIx(cx.workers.len() as u32);
    let name = info.id.name();
    let mut worker = Worker::new(info.clone(), listing, cx.now);
    worker.emptying = maintenance::is_expected_down(cx, &name);
    worker.previous_incarnation = cx.by_name.insert(name, ix);
    cx.workers.push(worker);
    cx.renewal_queue.add(cx.now, ix);
    cx.by_id.insert(info.id.clone(), ix);
    evacuation::update_worker(cx, ix);
    ix
}

/// Takes in that the directory's entry of a worker is not what a worker writes. One that is leaving goes
/// on leaving.
pub fn unreadable(cx: &mut State, id: &ids::WorkerId) {
    cx.unknown_pool_workers.remove(id);
    let Some(&ix) = cx.by_id.get(id) else { return };
    let worker = cx.worker_mut(ix);
    if matches!(worker.listing, Listing::Ready) {
        worker.listing = Listing::Unreadable;
        trace::worker_listed(&worker.info, worker.listing);
    }
}

/// Takes in that the directory no longer lists a worker. It may live on, so nothing of it is
/// given up here; see [`crate::changes::terminated::check`].
pub fn unlisted(cx: &mut State, id: &ids::WorkerId) {
    cx.unknown_pool_workers.remove(id);
    let Some(&ix) = cx.by_id.get(id) else { return };
    let since = cx.now;
    let worker = cx.worker_mut(ix);
    if worker.is_absent() {
        return;
    }
    worker.listing = Listing::Absent { since };
    trace::worker_listed(&worker.info, worker.listing);
}
