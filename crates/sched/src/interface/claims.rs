//! Claims of leadership as they are stored, and what a stored claim says about an unanswered
//! attempt.
//!
//! Each attempt to store a claim uses a lease of its own. A leader renews the lease of the attempt
//! that it believes to be stored. It must know which attempt that is, because the claim of another
//! attempt is bound to another lease.

use gaplock_policy::attempts::Execution;
use gaplock_types::ids;

/// A stored claim of leadership.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaderRecord {
    /// The leader's host.
    pub host: ids::EntryId,
    /// The address at which the leader answers other hosts.
    pub addr: String,
    /// The process that made the claim.
    pub incarnation: ids::Incarnation,
    /// The number of the leadership (its term).
    pub term: u64,
    /// The lease that the claim is bound to. No other attempt has the same one; 0 in records of
    /// earlier versions.
    #[serde(default)]
    pub lease: u64,
}

impl LeaderRecord {
    /// Returns whether the same process made both claims, in one attempt or in two.
    pub fn is_same_process(&self, other: &LeaderRecord) -> bool {
        (&self.host, self.incarnation) == (&other.host, other.incarnation)
    }
}

/// Returns what became of the unanswered attempt `sent`, given the claim that is stored after it.
/// Any claim other than that of the attempt itself leaves this unknown, even one from an earlier
/// attempt of the same process.
pub fn execution_of_unanswered(sent: &LeaderRecord, stored: &LeaderRecord) -> Execution {
    if stored == sent {
        Execution::Done
    } else {
        Execution::Unknown
    }
}
