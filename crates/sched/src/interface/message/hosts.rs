//! What is said of the workers' hosts and of their upkeep.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_types::ids;
use gaplock_types::time::Millis;

/// Whether a host is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// It runs a worker.
    Up,
    /// It is moving, in upkeep or down.
    Away,
}

/// A host, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostInfo {
    /// The host; it keeps its name over all its workers.
    pub id: ids::HostId,
    /// Whether it is there.
    pub state: HostState,
    /// Its worker's name, while it has one.
    pub worker: Option<ids::WorkerName>,
}

/// The number of a wave of upkeep.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct WaveNumber(pub u64);

/// A wave of upkeep, as the operators ask for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveRequest {
    /// Its number.
    pub number: WaveNumber,
    /// The hosts that must go down once.
    pub hosts: Vec<ids::HostId>,
    /// How long the whole wave may take.
    pub within: Millis,
    /// How many of the hosts may be down at once.
    pub at_once: u32,
}

/// How far a wave has come, in the form in which it is stored.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WaveProgress {
    /// The wave.
    pub number: WaveNumber,
    /// When it was first heard of, in milliseconds since 1970.
    pub began_unix_ms: u64,
    /// The hosts whose upkeep has begun.
    pub begun: BTreeSet<ids::HostId>,
    /// The hosts that may have been ordered down and are not known to have begun, with the worker
    /// that each of them ran; empty in what former versions stored. It is stored before the order
    /// is given, so a successor knows what may go down yet, and which worker gets no tasks, before
    /// it has a list of the hosts.
    #[serde(default)]
    pub ordered: BTreeMap<ids::HostId, Option<ids::WorkerName>>,
    /// Whether the upkeep of every host that stays has begun.
    pub completed: bool,
}

impl WaveProgress {
    /// Builds the progress of a wave that was just heard of.
    pub fn new(number: WaveNumber, began_unix_ms: u64) -> Self {
        let (begun, ordered) = (BTreeSet::new(), BTreeMap::new());
        Self { number, began_unix_ms, begun, ordered, completed: false }
    }
}

/// What became of an order that a host goes down for its upkeep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceAnswer {
    /// Its upkeep has begun, now or earlier.
    Begun,
    /// It is not up, or is leaving; nothing was done.
    Busy,
    /// It is not of this wave; nothing was done.
    NotOfWave,
    /// A later leader has given orders for it; nothing was done.
    Fenced,
    /// No answer came; it may have been done.
    Unclear,
}
