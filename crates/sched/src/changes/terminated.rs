//! Releases the runs of workers whose leases are over, and marks workers as terminated, also for a
//! recovery scan that may be waiting for them.

use crate::changes::{crashes, leases, roster, takeover, trace};
use crate::interface::message::WorkerIx;
use crate::state::State;

/// Releases the runs of workers that are silent or refuse stops, once their leases are certainly
/// over. Marks workers that are neither listed nor answering as terminated.
pub fn check(cx: &mut State) {
    let now = cx.now;
    let (drift, lease) = (cx.settings.clock_drift_per_mille, cx.settings.lease());
    for ix in cx.worker_ixs() {
        let worker = cx.worker_mut(ix);
        worker.refuses_stops = worker.has_refused_stop_for(now, lease);
        let worker = cx.worker(ix);
        let expiring = worker.unanswered_renewals > 0 || worker.lets_leases_expire();
        if !expiring || worker.leases_expired_at(drift).is_some_and(|at| at > now) {
            continue;
        }
        let awaited_by_scan = cx.recovery_scan.is_some() && worker.first_answered_at.is_none();
        if awaited_by_scan {
            continue;
        }
        if cx.may_be_superseded && worker.unanswered_renewals > 0 {
            continue;
        }
        let absent = worker.is_absent() && worker.unanswered_renewals > 0;
        crashes::worker_lost(cx, ix, false);
        leases::expire(cx, ix);
        roster::leases_expired(cx, ix);
        if absent {
            trace::worker_gone(&cx.worker(ix).info.id, "silent, unlisted and its leases over");
            mark_terminated(cx, ix);
        }
    }
}

/// Marks an incarnation of a worker as terminated, because it certainly no longer runs anything,
/// and updates the recovery scan.
pub fn mark_terminated(cx: &mut State, ix: WorkerIx) {
    if leases::mark_terminated(cx, ix) {
        takeover::worker_resolved(cx, ix);
    }
}
