//! The workers' hosts and their maintenance waves.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_types::ids;
use gaplock_types::time::Millis;

/// Whether a host is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// It runs a worker.
    Up,
    /// It is moving, under maintenance or down.
    Away,
}

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostInfo {
    /// The host; it keeps its name across all its workers.
    pub id: ids::HostId,
    /// Whether it is up.
    pub state: HostState,
    /// Its worker's name, while it has one.
    pub worker: Option<ids::WorkerName>,
}

/// The number of a maintenance wave.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct WaveNumber(pub u64);

/// A maintenance wave as the operators request it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveRequest {
    /// Its number.
    pub number: WaveNumber,
    /// The hosts that must go down once.
    pub hosts: Vec<ids::HostId>,
    /// The time limit for the whole wave.
    pub within: Millis,
    /// How many of the hosts may be down at the same time.
    pub at_once: u32,
}

/// The progress of a maintenance wave as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WaveProgress {
    /// The wave.
    pub number: WaveNumber,
    /// When the leader first learned of it, in milliseconds since 1970.
    pub began_unix_ms: u64,
    /// The hosts whose maintenance has begun.
    pub begun: BTreeSet<ids::HostId>,
    /// The hosts that may have been ordered down and whose maintenance is not known to have begun,
    /// each with the worker that it ran; empty in records of earlier versions. They are stored
    /// before the order is sent, so a new leader knows which hosts may still go down, and which
    /// workers get no tasks, before it has a list of the hosts.
    #[serde(default)]
    pub ordered: BTreeMap<ids::HostId, Option<ids::WorkerName>>,
    /// Whether the maintenance of every host that stays in the wave has begun.
    pub completed: bool,
}

impl WaveProgress {
    /// Creates the progress of a wave that the leader has just learned of.
    pub fn new(number: WaveNumber, began_unix_ms: u64) -> Self {
        let (begun, ordered) = (BTreeSet::new(), BTreeMap::new());
        Self { number, began_unix_ms, begun, ordered, completed: false }
    }
}

/// The answer to an order that takes a host down for maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceAnswer {
    /// Its maintenance has begun, now or earlier.
    Begun,
    /// It is not up, or is leaving; nothing was done.
    Busy,
    /// It is not part of this wave; nothing was done.
    NotOfWave,
    /// A later leader has given orders for it; nothing was done.
    Fenced,
    /// No answer came; the order may have been carried out.
    Unclear,
}
