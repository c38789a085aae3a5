//! Claims of the leadership as they are stored, and what a stored one says of a try without an
//! answer.
//!
//! Each try of a claim is made under a lease of its own. A leader renews the lease of the try that
//! it takes for stored, so it must know which one that is: another try's claim goes with another
//! lease.

use gaplock_policy::attempts::Execution;
use gaplock_types::ids;

/// The stored claim.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaderRecord {
    /// The leader's host.
    pub host: ids::EntryId,
    /// Where it answers other hosts.
    pub addr: String,
    /// The process that claimed.
    pub incarnation: ids::Incarnation,
    /// The number of the leadership.
    pub term: u64,
    /// The lease that keeps the claim, which no other try has; 0 in records of earlier versions.
    #[serde(default)]
    pub lease: u64,
}

impl LeaderRecord {
    /// Tells whether the same process made both claims, be it in one try or in two.
    pub fn is_same_process(&self, other: &LeaderRecord) -> bool {
        (&self.host, self.incarnation) == (&other.host, other.incarnation)
    }
}

/// Tells what became of a try without an answer, by a claim that is stored after it. Any other
/// claim than the try itself leaves it open, also one that an earlier try of the same process made.
pub fn execution_of_unanswered(sent: &LeaderRecord, stored: &LeaderRecord) -> Execution {
    if stored == sent {
        Execution::Done
    } else {
        Execution::Unknown
    }
}
