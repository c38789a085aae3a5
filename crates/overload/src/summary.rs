//! The load of all queues and pools at one time, as the leader shares it with the other hosts.

use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

/// How the tasks of a step use the processors of a pool.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// They reserve processors and end soon.
    Short,
    /// They use only processor time that others leave idle.
    BestEffort,
    /// They reserve processors and run until their job is cancelled.
    LongRunning,
}

impl WorkClass {
    /// Returns the name by which logs and metrics show the class.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::BestEffort => "best-effort",
            Self::LongRunning => "long-running",
        }
    }
}

/// The load of one class of work in one queue.
///
/// Processor demand is in thousandths of a core, work in core milliseconds.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct QueueLoad {
    /// The queue.
    pub queue: String,
    /// The pool whose workers run its tasks.
    pub pool: ids::ServiceId,
    /// The class of work.
    pub class: WorkClass,
    /// The queue's priority; 0 goes first.
    pub priority: u32,
    /// Jobs that have been accepted and have not ended.
    pub jobs: u32,
    /// The demand of all tasks that are at workers.
    pub running_millicores: u64,
    /// The demand of all tasks that could start now and wait for a worker.
    pub waiting_millicores: u64,
    /// The part of the waiting demand that goes before a job that arrives now. Work that can no longer
    /// be on time does not.
    #[serde(default)]
    pub preceding_millicores: u64,
    /// The estimated work that is left of all accepted jobs; 0 for long-running work.
    pub backlog_core_ms: u64,
    /// The work of arriving jobs per second, in core milliseconds; an average over recent seconds.
    pub arriving_core_ms_per_s: u64,
    /// The work that was completed per second, in core milliseconds; an average over recent
    /// seconds.
    pub completed_core_ms_per_s: u64,
}

impl QueueLoad {
    /// Returns how long the backlog takes at the rate at which work was completed recently; `None`
    /// if there is a backlog and nothing was completed.
    pub fn time_to_drain(&self) -> Option<Millis> {
        if self.backlog_core_ms == 0 {
            return Some(Millis(0));
        }
        let backlog = u128::from(self.backlog_core_ms) * 1_000;
        let drain = backlog.checked_div(u128::from(self.completed_core_ms_per_s))?;
        Some(Millis(u64::try_from(drain).unwrap_or(u64::MAX)))
    }
}

/// The capacity of one pool.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PoolLoad {
    /// The pool.
    pub pool: ids::ServiceId,
    /// The processors of all workers that accept tasks, in thousandths of a core.
    pub capacity_millicores: u64,
    /// The most of each resource that any worker of the pool has had since it was first listed.
    pub largest: Resources,
}

/// The load of all queues and pools.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct LoadSummary {
    /// The term of the leader that made it.
    pub term: u64,
    /// Rises with each summary of a term.
    pub sequence: u64,
    /// How old it was when it was sent.
    pub age: Millis,
    /// The queues, one entry for each class of work that a queue has.
    pub queues: Vec<QueueLoad>,
    /// The pools.
    pub pools: Vec<PoolLoad>,
}

/// Identifies a summary. Versions are ordered by age, the newest last; the default is older than
/// all.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct SummaryVersion {
    /// The term of the leader that made it.
    pub term: u64,
    /// Its number within the term.
    pub sequence: u64,
}

impl LoadSummary {
    /// Returns the version of this summary.
    pub fn version(&self) -> SummaryVersion {
        SummaryVersion { term: self.term, sequence: self.sequence }
    }

    /// Returns whether this summary is newer than `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.version() > other.version()
    }
}
