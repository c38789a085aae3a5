//! Empties workers that are leaving: what lasts moves at once, the rest before the end comes.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::context::Context;
use crate::lifecycle;
use crate::message::{Run, WorkerIx};
use crate::worker::{Listing, Phase};

/// How long before the least remaining time runs out the last stops go out, beyond the time that
/// a stop takes: a round trip, the wait for a renewal and a margin.
const LAST_STOPS_MARGIN: Millis = Millis(400);

/// Stops what must leave a draining worker.
pub fn check(cx: &mut Context) {
    let now = cx.now;
    for ix in cx.worker_ixs() {
        let worker = cx.worker(ix);
        let Listing::Draining { since, remaining } = worker.listing else { continue };
        if worker.slots.is_empty() || worker.missed > 0 {
            continue;
        }
        let before = cx.settings.stop_limit.0 + LAST_STOPS_MARGIN.0;
        let last_call = since + Millis(remaining.0.saturating_sub(before));
        for (key, run) in to_stop(cx, ix, now, last_call) {
            lifecycle::order_stop(cx, ix, key, run, "its worker is leaving");
        }
    }
}

/// Lists the runs that must leave a draining worker now.
fn to_stop(cx: &Context, ix: WorkerIx, now: Instant, last_call: Instant) -> Vec<(TaskKey, Run)> {
    let worker = cx.worker(ix);
    let running = worker.slots.iter().filter(|(_, slot)| slot.phase == Phase::Running);
    let leaves = |key: &TaskKey| {
        let step = cx.step(*key);
        now >= last_call || step.is_some_and(|s| s.lasting)
    };
    running.filter(|(key, _)| leaves(key)).map(|(key, slot)| (*key, slot.run)).collect()
}
