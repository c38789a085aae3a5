//! Applies what the directory lists about workers.
//!
//! Not only workers write to the directory. If an entry cannot be read, or no configuration names
//! its pool, its worker gets no tasks. The tasks that already run on a worker whose earlier entry
//! was valid go on.

use gaplock_types::ids;

use crate::changes::{evacuation, maintenance, roster, trace};
use crate::interface::message::{WorkerInfo, WorkerIx};
use crate::state::worker::{Listing, Worker};
use crate::state::State;

pub use crate::state::UnknownPoolWorkers;

/// How many entries are kept whose pool is not in the configuration. Workers of a pool that nobody
/// uses are few, but another writer may add any number of entries.
const MAX_UNKNOWN_POOL_WORKERS: usize = 4_096;

/// Handles a worker's entry in the directory, new or changed.
pub fn listed(cx: &mut State, info: WorkerInfo) {
    if !is_pool_known(cx, &info.service) {
        return keep_unknown_pool(cx, info);
    }
    if names_another_address(cx, &info) {
        return unreadable(cx, &info.id);
    }
    cx.unknown_pool_workers.remove(&info.id);
    let listing = listing_of(cx, &info);
    let is_new = !cx.by_id.contains_key(&info.id);
    let ix = find_or_add(cx, &info, listing);
    let worker = cx.worker_mut(ix);
    let previous = worker.listing;
    worker.listing = match (previous, listing) {
        (Listing::Draining { .. }, Listing::Draining { .. }) => previous,
        _ => listing,
    };
    worker.largest = worker.largest.max_of_each(&info.capacity);
    worker.info = info;
    cx.set_terminated(ix, false);
    evacuation::update_worker(cx, ix);
    let worker = cx.worker(ix);
    if is_new || previous != listing && !is_unchanged_at_takeover(cx, worker) {
        trace::worker_listed(&worker.info, worker.listing);
    }
    if !worker.info.capacity.holds(&worker.used) {
        trace::worker_overfull(worker);
    }
    roster::open_if_ready(cx, ix);
    cx.pass_wanted = true;
}

/// Returns whether a new leader reads the directory for the first time and finds a worker ready
/// that it knows from the roster. A log line for each of thousands of workers would take up
/// processor time that the recovery scan needs.
fn is_unchanged_at_takeover(cx: &State, worker: &Worker) -> bool {
    let restoring = cx.recovery_scan.as_ref().is_some_and(|scan| scan.began == cx.now);
    restoring && worker.listing == Listing::Ready
}

/// Returns whether an entry names an address other than the one of an incarnation that may be
/// running something. An incarnation never changes its address, and an answer from the other
/// address would pass for proof that this incarnation is over. The address is unknown if the
/// roster's record could not be read.
fn names_another_address(cx: &State, info: &WorkerInfo) -> bool {
    let Some(&ix) = cx.by_id.get(&info.id) else { return false };
    let worker = cx.worker(ix);
    let known = !worker.info.addr.is_empty();
    known && worker.info.addr != info.addr && roster::may_run_something(worker)
}

/// Returns the listing that an entry stands for.
fn listing_of(cx: &State, info: &WorkerInfo) -> Listing {
    if !info.draining {
        return Listing::Ready;
    }
    let remaining = info.remaining.unwrap_or(cx.settings.min_drain);
    Listing::Draining { since: cx.now, remaining }
}

/// Returns whether the configuration names a pool. Until there is a configuration, any pool may be
/// valid.
fn is_pool_known(cx: &State, pool: &ids::ServiceId) -> bool {
    let Some(config) = &cx.config else { return true };
    config.pools.iter().any(|p| p.service == *pool)
}

/// Keeps an entry whose pool is not in the configuration, and gives its worker no more tasks.
fn keep_unknown_pool(cx: &mut State, info: WorkerInfo) {
    unreadable(cx, &info.id);
    if cx.unknown_pool_workers.len() < MAX_UNKNOWN_POOL_WORKERS
        || cx.unknown_pool_workers.contains_key(&info.id)
    {
        cx.unknown_pool_workers.insert(info.id.clone(), info);
    }
}

/// Handles a change of the configuration: the pools of kept entries may be in it now.
pub fn pools_changed(cx: &mut State) {
    for info in std::mem::take(&mut cx.unknown_pool_workers).into_values() {
        listed(cx, info);
    }
}

/// Finds a worker by the id of its incarnation, or adds it.
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

/// Handles a directory entry that no worker would write. A worker that is leaving keeps its
/// listing.
pub fn unreadable(cx: &mut State, id: &ids::WorkerId) {
    cx.unknown_pool_workers.remove(id);
    let Some(&ix) = cx.by_id.get(id) else { return };
    let worker = cx.worker_mut(ix);
    if matches!(worker.listing, Listing::Ready) {
        worker.listing = Listing::Unreadable;
        trace::worker_listed(&worker.info, worker.listing);
    }
}

/// Handles the removal of a worker's directory entry. The worker may still be alive, so none of its
/// runs is released here; see [`crate::changes::terminated::check`].
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
