//! Permissions to run steps on workers.

use gaplock_types::time::Instant;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::interface::message::{StepKey, WorkerIx};

/// What is known about the permissions of one step.
#[derive(Debug, Default)]
pub(crate) struct StepPermits {
    pub(crate) tickets: FxHashMap<WorkerIx, (String, Instant)>,
    pub(crate) denied: FxHashSet<WorkerIx>,
    pub(crate) call_in_flight: bool,
    pub(crate) not_before: Instant,
}

/// All permissions, and how many calls are in flight.
#[derive(Debug, Default)]
pub struct Permits {
    pub(crate) steps: FxHashMap<StepKey, StepPermits>,
    pub(crate) calls_in_flight: usize,
}

impl Permits {
    /// Returns the ticket for a step on a worker, if a valid one is known.
    pub fn ticket(&self, step: StepKey, ix: WorkerIx, now: Instant) -> Option<String> {
        let (ticket, until) = self.steps.get(&step)?.tickets.get(&ix)?;
        (*until > now).then(|| ticket.clone())
    }
}
