//! Failure domains that the operators have evacuated.
//!
//! Nothing new goes to the workers of such a domain until the operators take it back: no first start,
//! no start again, no copy, no move, no member of a gang. What runs there runs on. The operators' word
//! lies in the store, so it outlives every leader; a successor reads it before its first start.
//!
//! What else follows from a worker that gets nothing (room, largest worker, trials, permits) goes by
//! [`crate::state::worker::Worker::accepts_tasks`]; `docs/PLATFORM.md` (section Evacuations) has the rest.

use gaplock_types::ids;

use crate::changes::trace;
use crate::interface::message::WorkerIx;
use crate::state::State;

pub use crate::interface::message::Evacuated;

/// Takes in what the store says; an older reading changes nothing.
pub fn apply(cx: &mut State, evacuated: Evacuated) {
    if evacuated.revision < cx.evacuated.revision {
        return;
    }
    let before = std::mem::replace(&mut cx.evacuated, evacuated);
    if before.domains == cx.evacuated.domains {
        return;
    }
    for domain in cx.evacuated.domains.difference(&before.domains) {
        trace::domain_evacuated(domain, count_runs_in(cx, domain));
    }
    for domain in before.domains.difference(&cx.evacuated.domains) {
        trace::domain_taken_back(domain);
    }
    for ix in (0..cx.workers.len() as u32).map(WorkerIx) {
        update_worker(cx, ix);
    }
    cx.pass_wanted = true;
}

/// Marks a worker by the domain that it says it is in.
pub fn update_worker(cx: &mut State, ix: WorkerIx) {
    let evacuated = cx.evacuated.domains.contains(&cx.worker(ix).info.domain);
    cx.worker_mut(ix).evacuated = evacuated;
}

/// Counts the runs at the workers of a domain.
pub fn count_runs_in(cx: &State, domain: &ids::DomainId) -> usize {
    let there = cx.workers.iter().filter(|w| !w.terminated && w.info.domain == *domain);
    there.map(|w| w.slots.len()).sum()
}
