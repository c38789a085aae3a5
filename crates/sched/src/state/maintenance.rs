//! Waves of upkeep, and the hosts that they name.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_policy::attempts::{CallAttempts, Execution};
use gaplock_types::ids;
use gaplock_types::time::Instant;
use rustc_hash::FxHashMap;

use crate::interface::message::{HostInfo, WaveNumber, WaveProgress, WaveRequest};

/// Everything known of waves and of the hosts that they name.
#[derive(Debug, Default)]
pub struct Maintenance {
    pub(crate) waves: BTreeMap<WaveNumber, Wave>,
    /// What a former leader stored of waves that have not been heard of again yet.
    pub(crate) stored: BTreeMap<WaveNumber, WaveProgress>,
    pub(crate) hosts: FxHashMap<ids::HostId, HostInfo>,
    /// When the list of hosts in hand was asked for.
    pub(crate) hosts_listed_at: Option<Instant>,
    /// When the list is wanted next; unset while a call is under way.
    pub(crate) list_due: Option<Instant>,
}

impl Maintenance {
    /// Takes in that a wave's progress is stored.
    pub(crate) fn note_stored(&mut self, progress: &WaveProgress) {
        if let Some(wave) = self.waves.get_mut(&progress.number) {
            wave.operators_notified = true;
            wave.ordered.clone_from(&progress.ordered);
        }
    }
}

/// One wave.
#[derive(Debug)]
pub(crate) struct Wave {
    pub(crate) request: WaveRequest,
    /// When it must be over.
    pub(crate) until: Instant,
    pub(crate) progress: WaveProgress,
    /// Whether the operators have been told of the wave; nothing goes down before.
    pub(crate) operators_notified: bool,
    /// Hosts that are not of the wave after all.
    pub(crate) excluded: BTreeSet<ids::HostId>,
    /// Hosts that are being emptied, and since when.
    pub(crate) emptying: BTreeMap<ids::HostId, Instant>,
    /// Hosts that are stored as ordered, with their workers; none else is ordered down.
    pub(crate) ordered: BTreeMap<ids::HostId, Option<ids::WorkerName>>,
    /// Hosts that a former leader may have ordered down.
    pub(crate) inherited: BTreeSet<ids::HostId>,
    /// Hosts that were ordered down and may be down, or may go down yet.
    pub(crate) down: BTreeMap<ids::HostId, DownHost>,
}

/// A host that was ordered down.
#[derive(Debug, Default)]
pub(crate) struct DownHost {
    /// The tries of its order, with one for those of former leaders.
    pub(crate) attempts: CallAttempts,
    /// When its order is to be given again.
    pub(crate) resend_at: Option<Instant>,
    /// When the platform was heard to say that its upkeep has begun.
    pub(crate) begun: Option<Instant>,
}

impl DownHost {
    /// Builds the state of a host before its first order; orders of former leaders may be open.
    pub(crate) fn new(inherited: bool) -> Self {
        let mut down = Self::default();
        if inherited {
            down.attempts.record_send();
            down.attempts.record_outcome(Execution::Unknown);
        }
        down
    }

    /// Takes in what became of the last order, to be given again after `pause` unless that is proof
    /// enough; returns what became of the host.
    pub(crate) fn record_outcome(&mut self, last: Execution, again: Instant) -> Execution {
        self.resend_at = Some(again);
        self.attempts.record_outcome(last)
    }
}
