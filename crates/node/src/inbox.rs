//! Stores the jobs and cancellations of callers before the callers are notified that they are
//! accepted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_jobs::{Job, JobKey};
use gaplock_platform::store::{Revision, StoreError, Txn};
use gaplock_policy::attempts::{CallAttempts, Execution};
use gaplock_policy::refusals::{
    Found, JobStep, JobWrite, Marker, MarkerOutcome, MarkerStep, MarkerWrite, MarkerWriter,
    StoreRevision, WriteAnswer,
};
use gaplock_policy::store_outcome::{self, LeaderReply, StoreOutcome, StoredJob};
use gaplock_remote::clock;
use gaplock_types::time::{self, Millis};

use crate::announcements::{self, Notice};
use crate::node::Node;
use crate::peers::PeerError;
use crate::{feeds, keys, store_writer};

/// The pause before a write with an unknown outcome is retried.
const UNCLEAR_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a write with an unknown outcome is retried, about a quarter of a short job's objective;
/// the caller may then send it again. Retries cannot store it twice, since each attempt expects
/// that the key does not exist.
const UNCLEAR_RETRY_LIMIT: Duration = Duration::from_millis(350);

/// How long after its arrival a request may still store its job: well below the lease of a marker,
/// so that a host that was suspended does not store a job whose caller was refused meanwhile.
const MAX_REQUEST_AGE: Millis = Millis(5_000);

/// The lease of the marker of a refused job: longer than a write of an earlier attempt may be under
/// way, which is a few seconds.
const MARKER_LEASE: Duration = Duration::from_secs(15);

/// How often the marker of a refused job is sent. More than one conflict means that other hosts
/// decide about the same job at the same time.
const MAX_MARKER_WRITES: u32 = 3;

/// One request of a caller that submits a job.
#[derive(Debug, Clone, Copy)]
pub struct Submission {
    arrived: time::Instant,
    /// A revision that the store had before the request arrived.
    known: StoreRevision,
    writer: MarkerWriter,
}

impl Submission {
    /// Returns whether the request is too old for its job to be stored.
    fn is_too_old(&self) -> bool {
        clock::now().since(self.arrived) > MAX_REQUEST_AGE
    }
}

/// Begins a submission that has just arrived from a caller.
pub fn begin_submission(node: &Node) -> Submission {
    Submission { known: node.store_revision(), ..forwarded_submission() }
}

/// Begins a submission that another host forwards. It is not known when the request arrived there,
/// so that no marker counts as older.
pub fn forwarded_submission() -> Submission {
    let writer = MarkerWriter(rand::random());
    Submission { arrived: clock::now(), known: StoreRevision(0), writer }
}

/// The stored form of the marker of a refused job.
#[derive(serde::Serialize, serde::Deserialize)]
struct MarkerRecord {
    writer: MarkerWriter,
}

/// Stores a job over this host's own connection to the store, or else through the leader.
pub async fn store_job(node: &Arc<Node>, job: Arc<Job>, submission: &Submission) -> StoreOutcome {
    let direct = store_job_directly(node, Arc::clone(&job), submission).await;
    if needs_no_leader(direct) || submission.is_too_old() {
        return direct;
    }
    let Some(addr) = node.leader_addr() else { return direct };
    let reply = node.peer_client.store_job(&addr, &job).await;
    store_outcome::combine(direct, leader_reply(reply))
}

/// Returns whether the outcome of this host's own write is final, so that the leader need not be
/// asked.
fn needs_no_leader(direct: StoreOutcome) -> bool {
    matches!(direct, StoreOutcome::Stored | StoreOutcome::NoSuchJob | StoreOutcome::Refused)
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
pub async fn store_job_directly(
    node: &Arc<Node>,
    job: Arc<Job>,
    submission: &Submission,
) -> StoreOutcome {
    let mut stored_at = None;
    let outcome = write_job(node, &job, submission, &mut stored_at).await;
    if let (StoreOutcome::Stored, Some(stored_at)) = (outcome, stored_at) {
        announcements::announce(node, Notice::Job { job, stored_at });
    }
    outcome
}

/// Writes a job; an attempt without an answer is retried for a while. One attempt is enough unless
/// something is stored under the job's keys. Sets `stored_at` if the job is stored.
async fn write_job(
    node: &Node,
    job: &Job,
    submission: &Submission,
    stored_at: &mut Option<StoreRevision>,
) -> StoreOutcome {
    if node.is_store_unavailable() {
        return StoreOutcome::NotStored;
    }
    let began = Instant::now();
    let mut write = JobWrite::begin(submission.writer, submission.known);
    let mut marker = None;
    loop {
        if submission.is_too_old() {
            tracing::info!(event = "submission_too_old", job = %job.key);
            return write.given_up();
        }
        write.sent();
        let answer = commit_or_find(node, &job_txn(job, marker), job.key, stored_at).await;
        match write.answered(answer) {
            JobStep::Finish(outcome) => return outcome,
            JobStep::Refuse(found) => {
                tracing::info!(event = "refusal_found", job = %job.key, revision = found.0);
                let (own, known) = (submission.writer, submission.known);
                let marker = MarkerWrite::begin_after_later_refusal(own, known);
                let stored = store_marker(node, job.key, own, marker, Some(found), stored_at).await;
                return match stored {
                    MarkerOutcome::Stored => StoreOutcome::Refused,
                    MarkerOutcome::JobStored => StoreOutcome::Stored,
                    MarkerOutcome::Uncertain | MarkerOutcome::Blocked => write.given_up(),
                };
            }
            JobStep::Expect(found) => marker = found,
            JobStep::Retry if began.elapsed() > UNCLEAR_RETRY_LIMIT => {
                return StoreOutcome::Unclear
            }
            JobStep::Retry => task::sleep(UNCLEAR_RETRY_PAUSE).await,
        }
    }
}

/// Builds the write of a job, which removes the marker of an earlier refusal if there is one.
fn job_txn(job: &Job, marker: Option<StoreRevision>) -> Txn {
    let (key, refused) = (keys::job(job.key), keys::refused(job.key));
    Txn {
        expected: vec![(key.clone(), Revision(0)), (refused.clone(), expected_marker(marker))],
        set: vec![(key, store_writer::encode(job), None)],
        remove: marker.map(|_| refused).into_iter().collect(),
    }
}

/// Returns the revision at which a write expects the marker; zero if it expects none.
fn expected_marker(marker: Option<StoreRevision>) -> Revision {
    Revision(marker.unwrap_or_default().0)
}

/// Stores the marker of a job that is to be refused. If it may not be stored, stores the job
/// instead, unless another request of its caller may have been refused meanwhile.
pub async fn store_refusal(
    node: &Arc<Node>,
    job: Arc<Job>,
    submission: &Submission,
) -> StoreOutcome {
    let write = MarkerWrite::begin(submission.writer, submission.known);
    let (own, mut stored_at) = (submission.writer, None);
    let outcome = store_marker(node, job.key, own, write, None, &mut stored_at).await;
    if matches!(outcome, MarkerOutcome::Uncertain | MarkerOutcome::Blocked) {
        tracing::info!(event = "refusal_not_stored", job = %job.key, outcome = ?outcome);
    }
    match outcome {
        MarkerOutcome::Stored => StoreOutcome::Refused,
        MarkerOutcome::JobStored => StoreOutcome::Stored,
        MarkerOutcome::Uncertain => store_job(node, job, submission).await,
        // No attempt to store the job was made on behalf of this request.
        MarkerOutcome::Blocked => StoreOutcome::NotStored,
    }
}

/// Stores the marker of a refused job in place of the marker at `marker`, or where there is none.
/// Sets `job_stored_at` if the job is found instead.
async fn store_marker(
    node: &Node,
    key: JobKey,
    own: MarkerWriter,
    mut write: MarkerWrite,
    mut marker: Option<StoreRevision>,
    job_stored_at: &mut Option<StoreRevision>,
) -> MarkerOutcome {
    if node.is_store_unavailable() {
        return write.given_up();
    }
    let lease = match node.store.grant_lease(MARKER_LEASE).await {
        Ok(lease) => lease,
        Err(_) => {
            node.record_store_failure();
            return write.given_up();
        }
    };
    let record = store_writer::encode(&MarkerRecord { writer: own });
    for _ in 0..MAX_MARKER_WRITES {
        let refused = keys::refused(key);
        let txn = Txn {
            expected: vec![
                (keys::job(key), Revision(0)),
                (refused.clone(), expected_marker(marker)),
            ],
            set: vec![(refused, record.clone(), Some(lease))],
            remove: Vec::new(),
        };
        let answer = commit_or_find(node, &txn, key, job_stored_at).await;
        match write.answered(answer) {
            MarkerStep::Finish(outcome) => return outcome,
            MarkerStep::Expect(found) => marker = found,
        }
    }
    write.given_up()
}

/// Makes a write under the keys of a job once; after a conflict, reads what is stored there. Sets
/// `stored_at` to the revision of the write, or of the job that was found.
async fn commit_or_find(
    node: &Node,
    txn: &Txn,
    key: JobKey,
    stored_at: &mut Option<StoreRevision>,
) -> WriteAnswer {
    match node.store.commit(txn).await {
        Ok(revision) => {
            node.record_store_answer();
            node.note_store_revision(revision);
            *stored_at = Some(feeds::stored_at(revision));
            WriteAnswer::Stored
        }
        Err(StoreError::Conflict) => {
            node.record_store_answer();
            let found = find_stored(node, key).await.ok();
            WriteAnswer::Conflict(found.map(|(found, job_stored_at)| {
                *stored_at = job_stored_at;
                found
            }))
        }
        Err(StoreError::Unavailable | StoreError::Gone) => {
            node.record_store_failure();
            WriteAnswer::NotStored
        }
        Err(StoreError::Unclear) => {
            node.record_store_failure();
            WriteAnswer::Unclear
        }
    }
}

/// Reads what is stored under the keys of a job, and at which revision the job is if it is stored.
async fn find_stored(
    node: &Node,
    key: JobKey,
) -> Result<(Found, Option<StoreRevision>), StoreError> {
    if let Some(item) = node.store.get(&keys::job(key)).await? {
        return Ok((Found::Job, Some(feeds::stored_at(item.revision))));
    }
    let Some(item) = node.store.get(&keys::refused(key)).await? else {
        return Ok((Found::Nothing, None));
    };
    let record = serde_json::from_slice::<MarkerRecord>(&item.value).ok();
    let revision = feeds::stored_at(item.revision);
    Ok((Found::Marker(Marker { revision, writer: record.map(|r| r.writer) }), None))
}

/// The outcome of a write that was retried for a while.
enum WriteOutcome {
    /// It is stored at this revision.
    Stored(Revision),
    /// It is not stored, or that is not known.
    NotStored(StoreOutcome),
    /// A condition of the write does not hold. An earlier attempt of the same write may be the
    /// reason.
    Conflict,
}

/// Makes a write that can be carried out only once; an attempt without an answer is retried for a
/// while.
async fn write_once(node: &Node, txn: &Txn) -> WriteOutcome {
    if node.is_store_unavailable() {
        return WriteOutcome::NotStored(StoreOutcome::NotStored);
    }
    let began = Instant::now();
    let mut attempts = CallAttempts::default();
    loop {
        attempts.record_send();
        let last = match node.store.commit(txn).await {
            Ok(revision) => {
                node.record_store_answer();
                return WriteOutcome::Stored(revision);
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
            return WriteOutcome::NotStored(StoreOutcome::NotStored);
        }
        if began.elapsed() > UNCLEAR_RETRY_LIMIT {
            return WriteOutcome::NotStored(StoreOutcome::Unclear);
        }
        task::sleep(UNCLEAR_RETRY_PAUSE).await;
    }
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
    let (outcome, stored_at) = match write_once(node, &txn).await {
        WriteOutcome::Stored(revision) => (StoreOutcome::Stored, Some(revision)),
        WriteOutcome::NotStored(outcome) => (outcome, None),
        WriteOutcome::Conflict => read_cancel_outcome(node, key, job.revision).await,
    };
    if let (StoreOutcome::Stored, Some(revision)) = (outcome, stored_at) {
        let stored_at = feeds::stored_at(revision);
        announcements::announce(node, Notice::Cancel { key, stored_at });
    }
    outcome
}

/// Determines the outcome of a cancellation that met a conflict; `expected` is the revision at
/// which it expected the job. Returns also the revision at which the cancellation is stored.
async fn read_cancel_outcome(
    node: &Node,
    key: JobKey,
    expected: Revision,
) -> (StoreOutcome, Option<Revision>) {
    let read = async {
        let stored_at = node.store.get(&keys::cancel(key)).await?.map(|item| item.revision);
        let job = match node.store.get(&keys::job(key)).await? {
            None => StoredJob::Gone,
            Some(item) if item.revision == expected => StoredJob::AsExpected,
            Some(_) => StoredJob::Recreated,
        };
        let outcome = store_outcome::cancel_outcome_after_conflict(stored_at.is_some(), job);
        Ok::<_, StoreError>((outcome, stored_at))
    };
    read.await.unwrap_or_else(|e| {
        tracing::info!(event = "state_unknown", job = %key, error = %e);
        (StoreOutcome::Unclear, None)
    })
}
