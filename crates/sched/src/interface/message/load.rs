//! What is known of the queues' load that a new leader cannot learn at once, in the form that is
//! stored for it.
//!
//! Arrivals, backlog and demand are not stored: they follow from the stored jobs and from what
//! workers report. Fields of a later version have defaults, so that each version reads the record
//! of the other one.

use gaplock_overload::summary::WorkClass;
use gaplock_types::ids;

/// How many entries of each kind are stored. With [`MAX_STORED_NAME_BYTES`] it bounds the record to
/// 8 KB.
pub const MAX_STORED_LOADS: usize = 24;

/// The longest name of a queue or pool that is stored.
pub const MAX_STORED_NAME_BYTES: usize = 64;

/// What is stored of one class of work of one queue.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StoredQueueLoad {
    /// The queue.
    pub queue: String,
    /// The class of work.
    pub class: WorkClass,
    /// The work that was completed per second, in core milliseconds.
    pub completed_core_ms_per_s: u64,
    /// The ratio of actual to estimated work, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub estimate_ratio: Option<f64>,
}

/// What is stored of one pool.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StoredPoolLoad {
    /// The pool.
    pub pool: ids::ServiceId,
    /// The limit of the best-effort demand at work, in thousandths of a core, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget_millicores: Option<u64>,
}

/// What is stored of the load.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct StoredLoad {
    /// The queues, the largest backlogs first.
    pub queues: Vec<StoredQueueLoad>,
    /// The pools.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<StoredPoolLoad>,
}
