//! How far the leader has read the inbox, in which hosts store the jobs and cancellations of callers.
//!
//! The same job can be reported several times: by the host that stored it, by the watch, and by a
//! listing that takes the place of the watch. A report may arrive after the leader has removed the
//! job, and must not bring it back. The revision at which a job was stored tells both cases apart.

use gaplock_jobs::JobKey;
use rustc_hash::FxHashMap;

use crate::interface::message::StoreRevision;

/// What reports of jobs and cancellations are checked against.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Everything that was stored up to this revision has been reported.
    pub(crate) read_up_to: StoreRevision,
    /// Removed jobs that were stored after that revision, which the inbox may still report.
    pub(crate) removed: FxHashMap<JobKey, StoreRevision>,
    /// Cancellations that became known before their jobs.
    pub(crate) early_cancellations: FxHashMap<JobKey, StoreRevision>,
}

impl Inbox {
    /// Returns whether a job that was stored at `stored_at`, and that the leader does not know, has
    /// been removed.
    pub(crate) fn is_removed(&self, key: JobKey, stored_at: StoreRevision) -> bool {
        stored_at <= self.read_up_to
            || self.removed.get(&key).is_some_and(|removed| stored_at <= *removed)
    }

    /// Records that a job which was stored at `stored_at` has been removed.
    pub(crate) fn record_removed(&mut self, key: JobKey, stored_at: StoreRevision) {
        if stored_at > self.read_up_to {
            self.removed.insert(key, stored_at);
        }
    }

    /// Records that everything that was stored up to a revision has been reported. Entries that only
    /// later reports could refer to are dropped.
    pub(crate) fn record_read(&mut self, up_to: StoreRevision) {
        self.read_up_to = self.read_up_to.max(up_to);
        let read_up_to = self.read_up_to;
        self.removed.retain(|_, stored_at| *stored_at > read_up_to);
        self.early_cancellations.retain(|_, stored_at| *stored_at > read_up_to);
    }
}
