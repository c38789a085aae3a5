//! Stores what callers hand in, before they are told that it is accepted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_jobs::{Job, JobKey};
use gaplock_platform::store::{Revision, StoreError, Txn};

use crate::keys;
use crate::ledger;
use crate::node::Node;
use crate::peers::Handed;

/// The pause before a write whose fate is unknown is made again.
const UNCLEAR_PAUSE: Duration = Duration::from_millis(50);

/// How long a write whose fate is unknown is made again and again, about a quarter of a short job's
/// objective; the caller may then send it again. It can be done only once, since each try expects
/// the key not to be there.
const UNCLEAR_LIMIT: Duration = Duration::from_millis(350);

/// Stores a job, by this host's own connection to the store or else through the leader.
pub async fn store_job(node: &Arc<Node>, job: Arc<Job>) -> Handed {
    let handed = store_job_here(node, Arc::clone(&job)).await;
    if !matches!(handed, Handed::NotStored | Handed::Unclear) {
        return handed;
    }
    let Some(addr) = node.leader_addr() else { return handed };
    match node.leader.store_job(&addr, &job).await {
        Ok(Handed::NotStored) | Err(crate::peers::PeerError::NotSent) => handed,
        Ok(other) => other,
        Err(crate::peers::PeerError::Unclear) => Handed::Unclear,
    }
}

/// Stores a job by this host's own connection to the store.
pub async fn store_job_here(node: &Arc<Node>, job: Arc<Job>) -> Handed {
    let key = keys::job(job.key);
    let txn = Txn {
        expected: vec![(key.clone(), Revision(0))],
        set: vec![(key, ledger::encode(&*job), None)],
        remove: Vec::new(),
    };
    let handed = write_once(node, &txn).await;
    if handed == Handed::Stored {
        announce_job(node, job);
    }
    handed
}

/// Makes a write that expects its key not to be there; finding the key there counts as stored.
async fn write_once(node: &Node, txn: &Txn) -> Handed {
    if node.is_store_away() {
        return Handed::NotStored;
    }
    let began = Instant::now();
    let mut unclear = false;
    loop {
        match node.store.commit(txn).await {
            Ok(_) | Err(StoreError::Conflict) => {
                node.store_answered();
                return Handed::Stored;
            }
            Err(StoreError::Away | StoreError::Gone) if !unclear => {
                node.store_failed();
                return Handed::NotStored;
            }
            Err(_) => {
                node.store_failed();
                unclear = true;
            }
        }
        if began.elapsed() > UNCLEAR_LIMIT {
            return Handed::Unclear;
        }
        task::sleep(UNCLEAR_PAUSE).await;
    }
}

/// Tells the leader of a stored job, in the background: its watch would find the job too.
fn announce_job(node: &Arc<Node>, job: Arc<Job>) {
    let node = Arc::clone(node);
    task::spawn(async move {
        if node.job_here(Arc::clone(&job)).await {
            return;
        }
        let Some(addr) = node.leader_addr() else { return };
        if let Err(e) = node.leader.job_stored(&addr, &job).await {
            tracing::info!(event = "announce_failed", job = %job.key, error = %e);
        }
    });
}

/// Stores a cancellation, by this host's own connection to the store or else through the leader.
pub async fn store_cancel(node: &Arc<Node>, key: JobKey) -> Handed {
    let handed = store_cancel_here(node, key).await;
    if !matches!(handed, Handed::NotStored | Handed::Unclear) {
        return handed;
    }
    let Some(addr) = node.leader_addr() else { return handed };
    node.leader.store_cancel(&addr, key).await.unwrap_or(handed)
}

/// Stores a cancellation by this host's own connection to the store.
pub async fn store_cancel_here(node: &Arc<Node>, key: JobKey) -> Handed {
    if node.is_store_away() {
        return Handed::NotStored;
    }
    let job = match node.store.get(&keys::job(key)).await {
        Ok(Some(item)) => item,
        Ok(None) => return Handed::NoSuchJob,
        Err(_) => return Handed::NotStored,
    };
    let cancel = keys::cancel(key);
    let txn = Txn {
        expected: vec![(cancel.clone(), Revision(0)), (job.key, job.revision)],
        set: vec![(cancel, b"{}".to_vec(), None)],
        remove: Vec::new(),
    };
    let handed = write_once(node, &txn).await;
    if handed == Handed::Stored {
        announce_cancel(node, key);
    }
    handed
}

fn announce_cancel(node: &Arc<Node>, key: JobKey) {
    let node = Arc::clone(node);
    task::spawn(async move {
        if node.cancel_here(key).await {
            return;
        }
        let Some(addr) = node.leader_addr() else { return };
        if let Err(e) = node.leader.cancel_stored(&addr, key).await {
            tracing::info!(event = "announce_failed", job = %key, error = %e);
        }
    });
}
