//! Empties workers that are leaving: what lasts moves at once, the rest before the end comes.
//!
//! A worker may say that it is leaving, or its entry in the directory just goes while it serves on
//! for a while. The second looks the same as an entry that lapsed while the store was away, which
//! comes back soon, so after an outage such a worker is given time to come back.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::message::{Run, WorkerIx};
use crate::state::State;
use crate::worker::{Listing, Phase, Worker};
use crate::{availability, lifecycle};

/// How long before the least remaining time runs out the last stops go out, beyond the time that
/// a stop takes: a round trip, the wait for a renewal and a margin.
const LAST_STOPS_MARGIN: Millis = Millis(400);

/// How long after the store's return an entry that lapsed meanwhile may take to come back: the
/// users name two seconds, and changes reach us within half a second more.
const BACK_WITHIN: Millis = Millis(2_500);

/// A worker's departure.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// When the last stops go out.
    last_call: Instant,
    /// Whether the worker itself said that it is leaving.
    announced: bool,
}

/// Stops what must leave a departing worker.
pub fn check(cx: &mut State) {
    for ix in cx.worker_ixs() {
        let worker = cx.worker(ix);
        if worker.slots.is_empty() || worker.missed > 0 {
            continue;
        }
        let Some(departure) = departure(cx, worker) else { continue };
        for (key, run) in to_stop(cx, ix, departure) {
            if departure.announced || availability::may_take(cx, key) {
                lifecycle::order_stop(cx, ix, key, run, "its worker is leaving");
            }
        }
    }
}

/// Tells whether and how a worker is leaving.
fn departure(cx: &State, worker: &Worker) -> Option<Departure> {
    let before = cx.settings.stop_limit.0 + LAST_STOPS_MARGIN.0;
    let last_call = |from: Instant, stays: Millis| from + Millis(stays.0.saturating_sub(before));
    match worker.listing {
        Listing::Ready => {
            let leaving = Departure { last_call: cx.now, announced: false };
            worker.emptying.then_some(leaving)
        }
        Listing::Unreadable => None,
        Listing::Draining { since, remaining } => {
            Some(Departure { last_call: last_call(since, remaining), announced: true })
        }
        Listing::Absent { since } => {
            let back_until = cx.directory_back + BACK_WITHIN;
            let from = since.max(back_until);
            let last_call = last_call(from, cx.settings.drain);
            (cx.now >= from).then_some(Departure { last_call, announced: false })
        }
    }
}

/// Lists the runs that must leave a departing worker now. A worker that said nothing may stay, so
/// there only what loses little by it leaves early.
fn to_stop(cx: &State, ix: WorkerIx, departure: Departure) -> Vec<(TaskKey, Run)> {
    let worker = cx.worker(ix);
    let running = worker.slots.iter().filter(|(_, slot)| slot.phase == Phase::Running);
    let last_call = cx.now >= departure.last_call;
    let leaves = |key: &TaskKey| {
        let Some(step) = cx.step(*key) else { return last_call };
        step.lasting || last_call && (departure.announced || step.checkpoints)
    };
    running.filter(|(key, _)| leaves(key)).map(|(key, slot)| (*key, slot.run)).collect()
}
