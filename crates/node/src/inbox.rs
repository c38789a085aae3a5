//! Stores the jobs and cancellations of callers before the callers are notified that they are
//! accepted.

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

/// The pause before a write with an unknown outcome is retried.
const UNCLEAR_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a write with an unknown outcome is retried, about a quarter of a short job's objective;
/// the caller may then send it again. Retries cannot store it twice, since each attempt expects
/// that the key does not exist.
const UNCLEAR_RETRY_LIMIT: Duration = Duration::from_millis(350);

/// Stores a job over this host's own connection to the store, or else through the leader.
pub async fn store_job(node: &Arc<Node>, job: Arc<Job>) -> StoreOutcome {
    let direct = store_job_directly(node, Arc::clone(&job)).await;
    if needs_no_leader(direct) {
        return direct;
    }
    let Some(addr) = node.leader_addr() else { return direct };
    let reply = node.peer_client.store_job(&addr, &job).await;
    store_outcome::combine(direct, leader_reply(reply))
}

/// Returns whether the outcome of this host's own write is final, so that the leader need not be
/// asked.
fn needs_no_leader(direct: StoreOutcome) -> bool {
    matches!(direct, StoreOutcome::Stored | StoreOutcome::NoSuchJob)
}

/// Converts the result of the call to the leader into what is known of the leader's write.
fn leader_reply(reply: Result<StoreOutcome, PeerError>) -> LeaderReply {
    match reply {
        Ok(outcome) => LeaderReply::Answered(outcome),
        Err(PeerError::NotSent) => LeaderReply::NotAsked,
        Err(PeerError::Unclear) => LeaderReply::Silent,
    }
}

/// Stores a job over this host's own connection to the store.
pub async fn store_job_directly(node: &Arc<Node>, job: Arc<Job>) -> StoreOutcome {
    let key = keys::job(job.key);
    let txn = Txn {
        expected: vec![(key.clone(), Revision(0))],
        set: vec![(key, store_writer::encode(&*job), None)],
        remove: Vec::new(),
    };
    let outcome = match write_once(node, &txn).await {
        // The write's only condition is that the job does not exist yet.
        WriteOutcome::Conflict => StoreOutcome::Stored,
        WriteOutcome::Known(outcome) => outcome,
    };
    if outcome == StoreOutcome::Stored {
        announce_job(node, job);
    }
    outcome
}

/// The outcome of a write that was retried for a while.
enum WriteOutcome {
    /// The outcome of the write, as far as it is known.
    Known(StoreOutcome),
    /// A condition of the write does not hold. An earlier attempt of the same write may be the
    /// reason.
    Conflict,
}

/// Makes a write that can be carried out only once; an attempt without an answer is retried for a
/// while.
async fn write_once(node: &Node, txn: &Txn) -> WriteOutcome {
    if node.is_store_unavailable() {
        return WriteOutcome::Known(StoreOutcome::NotStored);
    }
    let began = Instant::now();
    let mut attempts = CallAttempts::default();
    loop {
        attempts.record_send();
        let last = match node.store.commit(txn).await {
            Ok(_) => {
                node.record_store_answer();
                return WriteOutcome::Known(StoreOutcome::Stored);
            }
            Err(StoreError::Conflict) => {
                node.record_store_answer();
                return WriteOutcome::Conflict;
            }
            Err(StoreError::Unavailable | StoreError::Gone) => Execution::NotDone,
            Err(StoreError::Unclear) => Execution::Unknown,
        };
        node.record_store_failure();
        if attempts.record_outcome(last) == Execution::NotDone {
            return WriteOutcome::Known(StoreOutcome::NotStored);
        }
        if began.elapsed() > UNCLEAR_RETRY_LIMIT {
            return WriteOutcome::Known(StoreOutcome::Unclear);
        }
        task::sleep(UNCLEAR_RETRY_PAUSE).await;
    }
}

/// Notifies the leader of a stored job, in the background. The leader's watch would find the job
/// too, but later.
fn announce_job(node: &Arc<Node>, job: Arc<Job>) {
    let node = Arc::clone(node);
    task::spawn(async move {
        if node.apply_job_if_leader(Arc::clone(&job)).await {
            return;
        }
        let Some(addr) = node.leader_addr() else { return };
        if let Err(e) = node.peer_client.notify_job_stored(&addr, &job).await {
            tracing::info!(event = "announce_failed", job = %job.key, error = %e);
        }
    });
}

/// Stores a cancellation over this host's own connection to the store, or else through the leader.
pub async fn store_cancel(node: &Arc<Node>, key: JobKey) -> StoreOutcome {
    let direct = store_cancel_directly(node, key).await;
    if needs_no_leader(direct) {
        return direct;
    }
    let Some(addr) = node.leader_addr() else { return direct };
    let reply = node.peer_client.store_cancel(&addr, key).await;
    store_outcome::combine(direct, leader_reply(reply))
}

/// Stores a cancellation over this host's own connection to the store.
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
    let outcome = match write_once(node, &txn).await {
        WriteOutcome::Conflict => read_cancel_outcome(node, key, job.revision).await,
        WriteOutcome::Known(outcome) => outcome,
    };
    if outcome == StoreOutcome::Stored {
        announce_cancel(node, key);
    }
    outcome
}

/// Determines the outcome of a cancellation that met a conflict; `expected` is the revision at
/// which it expected the job.
async fn read_cancel_outcome(node: &Node, key: JobKey, expected: Revision) -> StoreOutcome {
    let read = async {
        let is_cancelled = node.store.get(&keys::cancel(key)).await?.is_some();
        let job = match node.store.get(&keys::job(key)).await? {
            None => StoredJob::Gone,
            Some(item) if item.revision == expected => StoredJob::AsExpected,
            Some(_) => StoredJob::Recreated,
        };
        Ok::<_, StoreError>(store_outcome::cancel_outcome_after_conflict(is_cancelled, job))
    };
    read.await.unwrap_or_else(|e| {
        tracing::info!(event = "state_unknown", job = %key, error = %e);
        StoreOutcome::Unclear
    })
}

/// Notifies the leader of a stored cancellation, in the background. The leader's watch would find
/// it too, but later.
fn announce_cancel(node: &Arc<Node>, key: JobKey) {
    let node = Arc::clone(node);
    task::spawn(async move {
        if node.apply_cancel_if_leader(key).await {
            return;
        }
        let Some(addr) = node.leader_addr() else { return };
        if let Err(e) = node.peer_client.notify_cancel_stored(&addr, key).await {
            tracing::info!(event = "announce_failed", job = %key, error = %e);
        }
    });
}
