//! Empties workers that are leaving: long-running tasks move at once, other tasks shortly before
//! the worker ends.
//!
//! A worker may announce that it is leaving, or its directory entry may just disappear while it
//! serves on for a while. The second case looks the same as an entry that expired while the store
//! was unavailable and that comes back soon. So after an outage of the store, such a worker is
//! given time to come back.

use crate::changes::lifecycle;
use crate::decisions::{availability, leaving};
use crate::state::State;

/// Stops the runs that must leave departing workers now.
pub fn check(cx: &mut State) {
    for ix in cx.worker_ixs() {
        let worker = cx.worker(ix);
        if worker.slots.is_empty() || worker.unanswered_renewals > 0 {
            continue;
        }
        let Some(departure) = leaving::departure(cx, worker) else { continue };
        for (key, run) in leaving::runs_to_stop(cx, ix, departure) {
            if departure.announced || availability::may_stop(cx, key) {
                lifecycle::order_stop(cx, ix, key, run, "its worker is leaving");
            }
        }
    }
}
