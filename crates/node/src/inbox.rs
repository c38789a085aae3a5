//! Stores what callers hand in, before they are told that it is accepted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_jobs::{Job, JobKey};
use gaplock_platform::store::{Revision, StoreError, Txn};
use gaplock_policy::attempts::{CallAttempts, Execution};
use gaplock_policy::store_outcome::{self, LeaderReply, StoreOutcome, StoredJob};

use crate::keys;
use crate::node::Node;
use crate::peers::PeerError;
use crate::store_writer;

/// The pause before a write whose fate is unknown is made again.
const UNCLEAR_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a write whose fate is unknown is made again and again, about a quarter of a short job's
/// objective; the caller may then send it again. It can be done only once, since each try expects
/// the key not to be there.
const UNCLEAR_RETRY_LIMIT: Duration = Duration::from_millis(350);

/// Stores a job, by this host's own connection to the store or else through the leader.
pub async fn store_job(node: &Arc<Node>, job: Arc<Job>) -> StoreOutcome {
    let here = store_job_directly(node, Arc::clone(&job)).await;
    if needs_no_leader(here) {
        return here;
    }
    let Some(addr) = node.leader_addr() else { return here };
    let asked = node.leader.store_job(&addr, &job).await;
    store_outcome::combine(here, at_leader(asked))
}

/// Tells whether what became of it here needs no word of the leader.
fn needs_no_leader(here: StoreOutcome) -> bool {
    matches!(here, StoreOutcome::Stored | StoreOutcome::NoSuchJob)
}

/// Tells what the leader's answer, or its silence, says of its part.
fn at_leader(asked: Result<StoreOutcome, PeerError>) -> LeaderReply {
    match asked {
        Ok(there) => LeaderReply::Answered(there),
        Err(PeerError::NotSent) => LeaderReply::NotAsked,
        Err(PeerError::Unclear) => LeaderReply::Silent,
    }
}

/// Stores a job by this host's own connection to the store.
pub async fn store_job_directly(node: &Arc<Node>, job: Arc<Job>) -> StoreOutcome {
    let key = keys::job(job.key);
    let txn = Txn {
        expected: vec![(key.clone(), Revision(0))],
        set: vec![(key, store_writer::encode(&*job), None)],
        remove: Vec::new(),
    };
    let handed = match write_once(node, &txn).await {
        // The only thing that it expects is that the job is not there.
        WriteOutcome::Conflict => StoreOutcome::Stored,
        WriteOutcome::Known(handed) => handed,
    };
    if handed == StoreOutcome::Stored {
        announce_job(node, job);
    }
    handed
}

/// What became of a write that was tried for a while.
enum WriteOutcome {
    /// This is known of it.
    Known(StoreOutcome),
    /// Something that it expects is not so, be it by an earlier try of the same write or not.
    Conflict,
}

/// Makes a write that can be done only once; a try without an answer is followed by others for a
/// while.
async fn write_once(node: &Node, txn: &Txn) -> WriteOutcome {
    if node.is_store_unavailable() {
        return WriteOutcome::Known(StoreOutcome::NotStored);
    }
    let began = Instant::now();
    let mut tries = CallAttempts::default();
    loop {
        tries.record_send();
        let last = match node.store.commit(txn).await {
            Ok(_) => {
                node.record_store_answer();
                return WriteOutcome::Known(StoreOutcome::Stored);
            }
            Err(StoreError::Conflict) => {
                node.record_store_answer();
                return WriteOutcome::Conflict;
            }
            Err(StoreError::Away | StoreError::Gone) => Execution::NotDone,
            Err(StoreError::Unclear) => Execution::Unknown,
        };
        node.record_store_failure();
        if tries.record_outcome(last) == Execution::NotDone {
            return WriteOutcome::Known(StoreOutcome::NotStored);
        }
        if began.elapsed() > UNCLEAR_RETRY_LIMIT {
            return WriteOutcome::Known(StoreOutcome::Unclear);
        }
        task::sleep(UNCLEAR_RETRY_PAUSE).await;
    }
}

/// Tells the leader of a stored job, in the background: its watch would find the job too.
fn announce_job(node: &Arc<Node>, job: Arc<Job>) {
    let node = Arc::clone(node);
    task::spawn(async move {
        if node.apply_job_if_leader(Arc::clone(&job)).await {
            return;
        }
        let Some(addr) = node.leader_addr() else { return };
        if let Err(e) = node.leader.job_stored(&addr, &job).await {
            tracing::info!(event = "announce_failed", job = %job.key, error = %e);
        }
    });
}

/// Stores a cancellation, by this host's own connection to the store or else through the leader.
pub async fn store_cancel(node: &Arc<Node>, key: JobKey) -> StoreOutcome {
    let here = store_cancel_directly(node, key).await;
    if needs_no_leader(here) {
        return here;
    }
    let Some(addr) = node.leader_addr() else { return here };
    let asked = node.leader.store_cancel(&addr, key).await;
    store_outcome::combine(here, at_leader(asked))
}

/// Stores a cancellation by this host's own connection to the store.
pub async fn store_cancel_directly(node: &Arc<Node>, key: JobKey) -> StoreOutcome {
    if node.is_store_unavailable() {
        return StoreOutcome::NotStored;
    }
    let job = match node.store.get(&keys::job(key)).await {
        Ok(Some(item)) => item,
        Ok(None) => return StoreOutcome::NoSuchJob,
        Err(_) => return StoreOutcome::NotStored,
    };
    let cancel = keys::cancel(key);
    let txn = Txn {
        expected: vec![(cancel.clone(), Revision(0)), (job.key.clone(), job.revision)],
        set: vec![(cancel, b"{}".to_vec(), None)],
        remove: Vec::new(),
    };
    let handed = match write_once(node, &txn).await {
        WriteOutcome::Conflict => cancel_after_conflict(node, key, job.revision).await,
        WriteOutcome::Known(handed) => handed,
    };
    if handed == StoreOutcome::Stored {
        announce_cancel(node, key);
    }
    handed
}

/// Finds out what a cancellation met that expected the job at this revision.
async fn cancel_after_conflict(node: &Node, key: JobKey, expected: Revision) -> StoreOutcome {
    let read = async {
        let cancelled = node.store.get(&keys::cancel(key)).await?.is_some();
        let job = match node.store.get(&keys::job(key)).await? {
            None => StoredJob::Gone,
            Some(item) if item.revision == expected => StoredJob::AsExpected,
            Some(_) => StoredJob::Recreated,
        };
        Ok::<_, StoreError>(store_outcome::cancel_outcome_after_conflict(cancelled, job))
    };
    read.await.unwrap_or_else(|e| {
        tracing::info!(event = "state_unknown", job = %key, error = %e);
        StoreOutcome::Unclear
    })
}

/// Tells the leader of a stored cancellation, in the background: its watch would find it too.
fn announce_cancel(node: &Arc<Node>, key: JobKey) {
    let node = Arc::clone(node);
    task::spawn(async move {
        if node.apply_cancel_if_leader(key).await {
            return;
        }
        let Some(addr) = node.leader_addr() else { return };
        if let Err(e) = node.leader.cancel_stored(&addr, key).await {
            tracing::info!(event = "announce_failed", job = %key, error = %e);
        }
    });
}
