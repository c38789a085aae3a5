//! Writes the leader's records to the store. Each transaction is conditional on the leader's claim
//! and on its last commit, so that neither a previous leader nor an attempt that is carried out
//! late can overwrite newer records.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_platform::store::{self, Revision, Store, StoreError, Txn};
use gaplock_platform::waves;
use gaplock_policy::attempts::CallAttempts;
use gaplock_policy::authority::Authority;
use gaplock_remote::clock;
use gaplock_sched::claims::{Inherited, LastClaim};
use gaplock_sched::commit_writer::{
    self, CommitAnswer, CommitId, CommitRevision, CommitWriter, NextStep, StoreView,
};
use gaplock_sched::message::Record;
use gaplock_types::time::Instant;

use crate::keys;
use crate::leadership::{Claim, LeadershipStatus};
use crate::records::RosterRecord;

/// Why a commit was not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitError {
    /// Another leader has taken over, or the leadership is over; the last commit may be stored.
    LeadershipLost,
    /// The store is unavailable; nothing was written and nothing will be.
    NotWritten,
}

/// Writes records to the store under the claim of one leadership.
#[derive(Debug)]
pub struct StoreWriter {
    store: Arc<Store>,
    leadership: Arc<LeadershipStatus>,
    claim: Revision,
    /// The last claim as it is stored once no earlier leader acts any more.
    settled_claim: LastClaim,
    writer: CommitWriter,
}

/// The number of entries of a transaction that are left for records: two are its conditions and one
/// is the commit's ID.
const RECORD_ENTRIES: usize = store::MAX_TXN_ENTRIES - 3;

/// The pause before a commit with an unknown outcome is sent again: half of the pause that the
/// leader makes while the store is unavailable, since ends of tasks wait for the commit.
const UNCLEAR_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Builds the writer of a new leadership from its claim.
pub fn open(store: Arc<Store>, leadership: Arc<LeadershipStatus>, claim: &Claim) -> StoreWriter {
    let writer = commit_writer::open(claim.commit_id, CommitRevision(claim.revision.0));
    let settled_claim = Inherited::nothing().last_claim(claim.record.clone(), Instant(0));
    StoreWriter { store, leadership, claim: claim.revision, settled_claim, writer }
}

impl StoreWriter {
    /// Writes records, in as many transactions as they need. Records are states, not changes, so
    /// writing some of them again does no harm.
    ///
    /// # Errors
    /// [`CommitError`]; some of the records may have been written.
    pub async fn write(&mut self, records: &[Record]) -> Result<(), CommitError> {
        if records.is_empty() {
            return Ok(());
        }
        let mut left = records;
        while !left.is_empty() {
            let (part, rest) = left.split_at(count_fitting_records(left));
            self.write_txn(part).await?;
            left = rest;
        }
        Ok(())
    }

    /// Writes one transaction. After each answer, the writer in `gaplock_sched` returns the next
    /// step.
    async fn write_txn(&mut self, records: &[Record]) -> Result<(), CommitError> {
        let id = self.writer.begin();
        let txn = self.transaction(records, id);
        let mut next = NextStep::Send;
        loop {
            next = match next {
                NextStep::Send => self.send(&txn, id, records.len()).await,
                NextStep::ReadStore => self.read_store(id, records.len()).await,
                NextStep::Wait => self.wait().await,
                NextStep::Stored => return Ok(()),
                NextStep::NotStored => return Err(CommitError::NotWritten),
                NextStep::LeadershipOver => return Err(CommitError::LeadershipLost),
            };
        }
    }

    /// Sends a transaction once.
    async fn send(&mut self, txn: &Txn, id: CommitId, records: usize) -> NextStep {
        self.writer.sent();
        let answer = match self.store.commit(txn).await {
            Ok(revision) => CommitAnswer::Stored(CommitRevision(revision.0)),
            Err(StoreError::Conflict) => CommitAnswer::Conflict,
            // No key of a commit has a lease that could be missing, so `Gone` too means that
            // nothing was done.
            Err(StoreError::Unavailable | StoreError::Gone) => CommitAnswer::Refused,
            Err(StoreError::Unclear) => CommitAnswer::Silent,
        };
        let next = self.writer.answered(answer);
        match answer {
            CommitAnswer::Refused => log_commit_refused(id, self.writer.attempts(), records),
            CommitAnswer::Silent => log_commit_unclear(id, self.writer.attempts(), records),
            CommitAnswer::Stored(_) | CommitAnswer::Conflict => {}
        }
        next
    }

    /// Reads which commit is the last one and whether the claim is still stored.
    async fn read_store(&mut self, id: CommitId, records: usize) -> NextStep {
        let view = self.read_commit_state().await.unwrap_or_else(|e| {
            tracing::debug!(event = "store_silent", error = %e);
            StoreView::Nothing
        });
        let next = self.writer.store_read(view);
        if next == NextStep::Stored {
            log_commit_found(id, self.writer.attempts(), records);
        }
        next
    }

    async fn read_commit_state(&self) -> Result<StoreView, StoreError> {
        let commits = self.store.get(keys::COMMITS).await?;
        let id = commits.as_ref().and_then(|item| decode_commit_id(&item.value));
        let revision = CommitRevision(commits.map_or(0, |item| item.revision.0));
        // If a newer commit is stored, that alone decides, and the claim is not read.
        let leads = revision == self.writer.last() && self.is_claim_stored().await?;
        Ok(StoreView::Last { id, revision, leads })
    }

    /// Returns whether the claim is still stored.
    async fn is_claim_stored(&self) -> Result<bool, StoreError> {
        let leader = self.store.get(keys::LEADER).await?;
        Ok(leader.is_some_and(|item| item.revision == self.claim))
    }

    async fn wait(&self) -> NextStep {
        task::sleep(UNCLEAR_RETRY_PAUSE).await;
        self.writer.waited(self.leadership.authority(clock::now()) != Authority::Lost)
    }

    fn transaction(&self, records: &[Record], id: CommitId) -> Txn {
        let mut txn = Txn {
            expected: vec![
                (keys::LEADER.to_string(), self.claim),
                (keys::COMMITS.to_string(), Revision(self.writer.last().0)),
            ],
            set: vec![(keys::COMMITS.to_string(), encode(&id), None)],
            remove: Vec::new(),
        };
        for record in records {
            match record {
                Record::Progress(progress) => {
                    txn.set.push((keys::progress(progress.key), encode(progress), None));
                }
                Record::Forget(key) => {
                    txn.remove.extend([keys::job(*key), keys::cancel(*key), keys::progress(*key)])
                }
                Record::Worker(entry) => {
                    let stored = encode(&RosterRecord::of(entry));
                    txn.set.push((keys::roster(&entry.info.id), stored, None));
                }
                Record::ForgetWorker(id) => txn.remove.push(keys::roster(id)),
                Record::Wave(progress) => {
                    let status = waves::encode_status(progress.completed);
                    txn.set.push((keys::wave(progress.number), encode(progress), None));
                    txn.set.push((waves::status_key(progress.number), status, None));
                }
                Record::Load(load) => {
                    txn.set.push((keys::LOAD.to_string(), encode(load), None));
                }
                Record::Learned(learned) => {
                    txn.set.push((keys::LEARNED.to_string(), encode(learned), None));
                }
                Record::ClaimSettled => {
                    let settled = encode(&self.settled_claim);
                    txn.set.push((keys::LAST_CLAIM.to_string(), settled, None));
                }
            }
        }
        txn
    }
}

/// Logs that the last attempt of a commit was refused.
fn log_commit_refused(id: CommitId, attempts: CallAttempts, records: usize) {
    let CommitId { term, number } = id;
    let (attempt, open) = (attempts.sent(), attempts.unanswered());
    tracing::info!(event = "commit_refused", term, number, attempt, open, records);
}

/// Logs that the last attempt of a commit got no answer.
fn log_commit_unclear(id: CommitId, attempts: CallAttempts, records: usize) {
    let CommitId { term, number } = id;
    let (attempt, open) = (attempts.sent(), attempts.unanswered());
    tracing::info!(event = "commit_unclear", term, number, attempt, open, records);
}

/// Logs that a commit without an answer is stored, as its ID in the store shows.
fn log_commit_found(id: CommitId, attempts: CallAttempts, records: usize) {
    let CommitId { term, number } = id;
    let (attempt, open) = (attempts.sent(), attempts.unanswered());
    tracing::info!(event = "commit_found", term, number, attempt, open, records);
}

/// Returns how many of the first records fit into one transaction.
fn count_fitting_records(records: &[Record]) -> usize {
    let mut entries = 0;
    let fits = |record: &&Record| {
        entries += txn_entries_of(record);
        entries <= RECORD_ENTRIES
    };
    records.iter().take_while(fits).count()
}

/// Returns how many entries of a transaction a record needs.
fn txn_entries_of(record: &Record) -> usize {
    match record {
        Record::Progress(_)
        | Record::Worker(_)
        | Record::ForgetWorker(_)
        | Record::Learned(_)
        | Record::Load(_)
        | Record::ClaimSettled => 1,
        Record::Wave(_) => 2,
        Record::Forget(_) => 3,
    }
}

/// Encodes a value for the store; all of our stored types can be encoded.
pub fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("stored types only have map keys that JSON supports")
}

/// Decodes the ID of the last commit; `None` if it is malformed.
pub fn decode_commit_id(value: &[u8]) -> Option<CommitId> {
    serde_json::from_slice(value).ok()
}
