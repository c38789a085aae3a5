//! The search for runs of former leaders.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Instant;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::interface::message::WorkerIx;

/// The search for runs of former leaders.
#[derive(Debug)]
pub struct RecoveryScan {
    /// Workers that may run anything and have not answered.
    pub unanswered_open: FxHashSet<WorkerIx>,
    /// Workers that have not answered and may run just these tasks.
    pub unanswered_closed: FxHashMap<WorkerIx, Vec<TaskKey>>,
    /// Workers that might have run anything and are gone.
    pub terminated: Vec<WorkerIx>,
    /// Set once the open workers are through.
    pub open_workers_resolved: bool,
    /// When their leases are certainly over.
    pub leases_over_at: Instant,
    /// When the search began.
    pub began: Instant,
}

impl RecoveryScan {
    /// Tells whether it waits for a worker that may run any task. If it is gone, the roster names it until it
    /// is known which tasks it may have taken along, since this leader may be lost before.
    pub fn waits_for(&self, ix: WorkerIx) -> bool {
        self.unanswered_open.contains(&ix)
    }

    /// Tells whether any restored task may still run anywhere, so that nothing is known of it.
    pub fn any_task_may_be_running(&self) -> bool {
        !self.unanswered_open.is_empty()
    }
}
