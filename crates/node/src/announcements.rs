//! Notifies the leader of the jobs and cancellations that this host has stored. The leader's watch of
//! the inbox would find them too, but later.

use std::sync::Arc;

use async_std::task;
use gaplock_jobs::{Job, JobKey};
use gaplock_policy::refusals::StoreRevision;

use crate::node::Node;

/// Something that a host has stored for a caller.
#[derive(Debug, Clone)]
pub enum Notice {
    /// A job.
    Job {
        /// The job.
        job: Arc<Job>,
        /// The revision at which it is stored.
        stored_at: StoreRevision,
    },
    /// The cancellation of a job.
    Cancel {
        /// The job.
        key: JobKey,
        /// The revision at which the cancellation is stored.
        stored_at: StoreRevision,
    },
}

impl Notice {
    /// Returns the job that it is about.
    pub fn key(&self) -> JobKey {
        match self {
            Self::Job { job, .. } => job.key,
            Self::Cancel { key, .. } => *key,
        }
    }
}

/// Notifies the leader in the background.
pub fn announce(node: &Arc<Node>, notice: Notice) {
    let node = Arc::clone(node);
    task::spawn(async move {
        if node.apply_if_leader(notice.clone()).await {
            return;
        }
        let Some(addr) = node.leader_addr() else { return };
        if let Err(e) = node.peer_client.notify_stored(&addr, &notice).await {
            tracing::info!(event = "announce_failed", job = %notice.key(), error = %e);
        }
    });
}
