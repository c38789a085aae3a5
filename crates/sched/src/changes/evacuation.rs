//! Failure domains that the operators have evacuated.
//!
//! The workers of such a domain get nothing new until the operators take the domain back: no first
//! start, no restart, no speculative copy, no move, no member of a gang. The runs that are there
//! continue. The operators' instruction is in the store, so it outlives every leader, and a
//! successor reads it before its first start.
//!
//! Everything else that follows from a worker that gets no tasks (free capacity, largest worker,
//! trials, permits) uses [`crate::state::worker::Worker::accepts_tasks`]; `docs/PLATFORM.md`
//! (section Evacuations) describes the rest.

use gaplock_types::ids;

use crate::changes::trace;
use crate::interface::message::WorkerIx;
use crate::state::State;

pub use crate::interface::message::Evacuated;

/// Applies the evacuated domains that the store holds. An older reading changes nothing.
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

/// Updates whether a worker is evacuated, by the domain that the worker reports.
pub fn update_worker(cx: &mut State, ix: WorkerIx) {
    let evacuated = cx.evacuated.domains.contains(&cx.worker(ix).info.domain);
    cx.worker_mut(ix).evacuated = evacuated;
}

/// Counts the runs on the workers of a domain.
pub fn count_runs_in(cx: &State, domain: &ids::DomainId) -> usize {
    let there = cx.workers.iter().filter(|w| !w.terminated && w.info.domain == *domain);
    there.map(|w| w.slots.len()).sum()
}
