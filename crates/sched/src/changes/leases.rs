//! Leases at workers: each start and each renewal grants one, and all runs at a worker are released
//! once its leases are over.
//!
//! A task that may be running at a silent worker is started elsewhere only once its lease is
//! certainly over there, even by a clock that is slower than the leader's.

use gaplock_jobs::TaskKey;

use crate::changes::{abandoned_starts, crashes, lifecycle, roster, trace};
use crate::interface::message::{Run, WorkerClock, WorkerIx};
use crate::interface::proof::ReleaseProof;
use crate::state::worker::Slot;
use crate::state::State;

/// Releases every run at a worker whose leases are certainly over.
pub fn expire(cx: &mut State, ix: WorkerIx) {
    record_abandoned_starts(cx, ix);
    release_all(cx, ix, ReleaseProof::LeaseOver);
}

/// Records the runs at a worker that may still begin there once it gets leases again.
fn record_abandoned_starts(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker_mut(ix);
    let slots: Vec<(TaskKey, Slot)> = worker.slots.iter().map(|(k, s)| (*k, s.clone())).collect();
    for (key, slot) in &slots {
        abandoned_starts::record(worker, *key, slot);
    }
}

/// Releases every run at a worker.
fn release_all(cx: &mut State, ix: WorkerIx, proof: ReleaseProof) {
    let slots: Vec<(TaskKey, Run)> =
        cx.worker(ix).slots.iter().map(|(key, slot)| (*key, slot.run)).collect();
    if !slots.is_empty() {
        trace::worker_lost(cx.worker(ix), cx.now, proof);
    }
    for (key, run) in slots {
        lifecycle::requeue(cx, ix, key, run, proof);
    }
}

/// Marks an incarnation of a worker as terminated, because it certainly no longer runs anything.
/// Returns whether it was not marked before.
pub fn mark_terminated(cx: &mut State, ix: WorkerIx) -> bool {
    crashes::worker_lost(cx, ix, true);
    crashes::worker_terminated(cx, ix);
    release_all(cx, ix, ReleaseProof::WorkerGone);
    if !cx.set_terminated(ix, true) {
        return false;
    }
    let worker = cx.worker_mut(ix);
    worker.clock = None;
    worker.lease_until = None;
    worker.in_roster = false;
    worker.roster_pending = false;
    if !cx.recovery_scan.as_ref().is_some_and(|scan| scan.waits_for(ix)) {
        roster::forget(cx, ix);
    }
    true
}

/// Grants a lease at a worker that begins now. Returns its end by the worker's clock, or none while
/// the worker's leases are meant to expire.
pub fn grant(cx: &mut State, ix: WorkerIx) -> Option<WorkerClock> {
    let (now, lease) = (cx.now, cx.settings.lease());
    let worker = cx.worker_mut(ix);
    if worker.lets_leases_expire() {
        return None;
    }
    let until = worker.lease_end(now, lease)?;
    worker.extend_leases(until);
    Some(until)
}
