//! Whether and how a worker is leaving, and what must leave it now.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::interface::message::{Run, WorkerIx};
use crate::state::worker::{Listing, Phase, Worker};
use crate::state::State;

/// How long before the least remaining time runs out the last stops go out, beyond the time that
/// a stop takes: a round trip, the wait for a renewal and a margin.
const LAST_STOPS_MARGIN: Millis = Millis(400);

/// How long after the store's return an entry that lapsed meanwhile may take to come back: the
/// users name two seconds, and changes reach us within half a second more.
const RELISTING_TIME: Millis = Millis(2_500);

/// A worker's departure.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    /// When the last stops go out.
    pub last_stops_at: Instant,
    /// Whether the worker itself said that it is leaving.
    pub announced: bool,
}

/// Tells whether and how a worker is leaving.
pub fn departure(cx: &State, worker: &Worker) -> Option<Departure> {
    let before = cx.settings.stop_limit.0 + LAST_STOPS_MARGIN.0;
    let last_call = |from: Instant, stays: Millis| from + Millis(stays.0.saturating_sub(before));
    match worker.listing {
        Listing::Ready => {
            let leaving = Departure { last_stops_at: cx.now, announced: false };
            worker.emptying.then_some(leaving)
        }
        Listing::Unreadable => None,
        Listing::Draining { since, remaining } => {
            Some(Departure { last_stops_at: last_call(since, remaining), announced: true })
        }
        Listing::Absent { since } => {
            let back_until = cx.directory_recovered_at + RELISTING_TIME;
            let from = since.max(back_until);
            let last_call = last_call(from, cx.settings.min_drain);
            (cx.now >= from).then_some(Departure { last_stops_at: last_call, announced: false })
        }
    }
}

/// Lists the runs that must leave a departing worker now. A worker that said nothing may stay, so
/// there only what loses little by it leaves early.
pub fn runs_to_stop(cx: &State, ix: WorkerIx, departure: Departure) -> Vec<(TaskKey, Run)> {
    let worker = cx.worker(ix);
    let running = worker.slots.iter().filter(|(_, slot)| slot.phase == Phase::Running);
    let last_call = cx.now >= departure.last_stops_at;
    let leaves = |key: &TaskKey| {
        let Some(step) = cx.step(*key) else { return last_call };
        step.lasting || last_call && (departure.announced || step.checkpoints)
    };
    running.filter(|(key, _)| leaves(key)).map(|(key, slot)| (*key, slot.run)).collect()
}
