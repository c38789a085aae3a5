//! The recovery scan: a new leader's search for runs that previous leaders started.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Instant;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::interface::message::WorkerIx;

/// The state of the recovery scan. A worker is open if any task may run on it, and closed if the
/// stored roster lists all tasks that it may run.
#[derive(Debug)]
pub struct RecoveryScan {
    /// Open workers that have not answered.
    pub unanswered_open: FxHashSet<WorkerIx>,
    /// Closed workers that have not answered, with the tasks that may run on them.
    pub unanswered_closed: FxHashMap<WorkerIx, Vec<TaskKey>>,
    /// Open workers that turned out to be terminated.
    pub terminated: Vec<WorkerIx>,
    /// Set once all open workers have answered or are terminated.
    pub open_workers_resolved: bool,
    /// When the leases of all these workers have certainly expired.
    pub leases_over_at: Instant,
    /// Set while a former leader may still act and renew these leases.
    pub former_may_act: bool,
    /// Whether the stored claim says so, for a successor of this leader.
    pub inherited_wait: bool,
    /// When the scan began.
    pub began: Instant,
}

impl RecoveryScan {
    /// Returns whether the scan waits for an open worker. If that worker is terminated, the roster
    /// keeps its entry until it is known which tasks may have been lost with it, since this leader
    /// may be lost before.
    pub fn waits_for(&self, ix: WorkerIx) -> bool {
        self.unanswered_open.contains(&ix)
    }

    /// Returns whether any restored task may still run somewhere, so that nothing is known of it.
    pub fn any_task_may_be_running(&self) -> bool {
        !self.unanswered_open.is_empty()
    }
}
