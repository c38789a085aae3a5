//! Maintenance waves, and the hosts that they name.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_policy::attempts::{CallAttempts, Execution};
use gaplock_types::ids;
use gaplock_types::time::Instant;
use rustc_hash::FxHashMap;

use crate::interface::message::{HostInfo, WaveNumber, WaveProgress, WaveRequest};

/// Everything that is known about maintenance waves and the hosts that they name.
#[derive(Debug, Default)]
pub struct Maintenance {
    pub(crate) waves: BTreeMap<WaveNumber, Wave>,
    /// What a previous leader stored of waves that have not been requested again yet.
    pub(crate) stored: BTreeMap<WaveNumber, WaveProgress>,
    pub(crate) hosts: FxHashMap<ids::HostId, HostInfo>,
    /// When the current list of hosts was requested.
    pub(crate) hosts_listed_at: Option<Instant>,
    /// When the next list is due; unset while a call is in flight.
    pub(crate) list_due: Option<Instant>,
    /// Until then, the orders of a former leader hold the hosts, and this one sends none.
    pub(crate) held_until: Instant,
}

impl Maintenance {
    /// Records that a wave's progress is stored.
    pub(crate) fn note_stored(&mut self, progress: &WaveProgress) {
        if let Some(wave) = self.waves.get_mut(&progress.number) {
            wave.operators_notified = true;
            wave.ordered.clone_from(&progress.ordered);
        }
    }
}

/// One maintenance wave.
#[derive(Debug)]
pub(crate) struct Wave {
    pub(crate) request: WaveRequest,
    /// When it must be finished.
    pub(crate) deadline: Instant,
    pub(crate) progress: WaveProgress,
    /// Whether the operators have been notified of the wave; no host goes down before.
    pub(crate) operators_notified: bool,
    /// Hosts that turned out not to be part of the wave.
    pub(crate) excluded: BTreeSet<ids::HostId>,
    /// Hosts that are being emptied, and since when.
    pub(crate) emptying: BTreeMap<ids::HostId, Instant>,
    /// Hosts that are stored as ordered down, with their workers; no other host is ordered down.
    pub(crate) ordered: BTreeMap<ids::HostId, Option<ids::WorkerName>>,
    /// Hosts that a previous leader may have ordered down.
    pub(crate) inherited: BTreeSet<ids::HostId>,
    /// Hosts that were ordered down and may be down, or may still go down.
    pub(crate) down: BTreeMap<ids::HostId, DownHost>,
}

/// A host that was ordered down.
#[derive(Debug, Default)]
pub(crate) struct DownHost {
    /// The attempts of its order, with one more for those of previous leaders.
    pub(crate) attempts: CallAttempts,
    /// When its order is to be sent again.
    pub(crate) resend_at: Option<Instant>,
    /// When the platform reported that its maintenance has begun.
    pub(crate) begun: Option<Instant>,
}

impl DownHost {
    /// Creates the state of a host before its first order; orders of previous leaders may be
    /// unanswered.
    pub(crate) fn new(inherited: bool) -> Self {
        let mut down = Self::default();
        if inherited {
            down.attempts.record_send();
            down.attempts.record_outcome(Execution::Unknown);
        }
        down
    }

    /// Records the outcome of the last order, which is sent again at `again` unless the outcome of
    /// all orders for the host is certain; returns that outcome.
    pub(crate) fn record_outcome(&mut self, last: Execution, again: Instant) -> Execution {
        self.resend_at = Some(again);
        self.attempts.record_outcome(last)
    }
}
