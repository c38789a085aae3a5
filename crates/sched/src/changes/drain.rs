//! Empties workers that are leaving: what lasts moves at once, the rest before the end comes.
//!
//! A worker may say that it is leaving, or its entry in the directory just goes while it serves on
//! for a while. The second looks the same as an entry that lapsed while the store was away, which
//! comes back soon, so after an outage such a worker is given time to come back.

use crate::changes::lifecycle;
use crate::decisions::{availability, leaving};
use crate::state::State;

/// Stops what must leave a departing worker.
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
