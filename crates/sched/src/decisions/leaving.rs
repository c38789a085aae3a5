//! Decides whether and how a worker is leaving, and which runs must leave it now.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::interface::message::{Run, WorkerIx};
use crate::state::worker::{Listing, Phase, Worker};
use crate::state::State;

/// How long before the end of a worker's minimum remaining time the last stops are sent, in
/// addition to the time that a stop takes. This covers a round trip, the wait for a renewal and a
/// margin.
const LAST_STOPS_MARGIN: Millis = Millis(400);

/// How long a directory entry that lapsed during an outage of the store may take to come back after
/// the outage. The users name two seconds, and a change reaches the scheduler within half a second
/// more.
const RELISTING_TIME: Millis = Millis(2_500);

/// How a worker is leaving.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    /// When the last stops are sent.
    pub last_stops_at: Instant,
    /// Whether the worker itself announced that it is leaving.
    pub announced: bool,
}

/// Returns how a worker is leaving, or `None` if it is not leaving.
pub fn departure(cx: &State, worker: &Worker) -> Option<Departure> {
    let lead_time = cx.settings.stop_limit.0 + LAST_STOPS_MARGIN.0;
    let last_stops_at =
        |from: Instant, remaining: Millis| from + Millis(remaining.0.saturating_sub(lead_time));
    match worker.listing {
        Listing::Ready => {
            let leaving = Departure { last_stops_at: cx.now, announced: false };
            worker.emptying.then_some(leaving)
        }
        Listing::Unreadable => None,
        Listing::Draining { since, remaining } => {
            Some(Departure { last_stops_at: last_stops_at(since, remaining), announced: true })
        }
        Listing::Absent { since } => {
            let relisted_until = cx.directory_recovered_at + RELISTING_TIME;
            let from = since.max(relisted_until);
            let last_stops_at = last_stops_at(from, cx.settings.min_drain);
            (cx.now >= from).then_some(Departure { last_stops_at, announced: false })
        }
    }
}

/// Lists the runs that must be stopped on a departing worker now. A worker that has announced
/// nothing may stay, so only the runs that lose little by it are stopped early there.
pub fn runs_to_stop(cx: &State, ix: WorkerIx, departure: Departure) -> Vec<(TaskKey, Run)> {
    let worker = cx.worker(ix);
    let running = worker.slots.iter().filter(|(_, slot)| slot.phase == Phase::Running);
    let last_stops_due = cx.now >= departure.last_stops_at;
    let must_stop = |key: &TaskKey| {
        let Some(step) = cx.step(*key) else { return last_stops_due };
        step.lasting || last_stops_due && (departure.announced || step.checkpoints)
    };
    running.filter(|(key, _)| must_stop(key)).map(|(key, slot)| (*key, slot.run)).collect()
}
