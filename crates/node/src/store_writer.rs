//! The leader's writes: each holds only while the leadership and the last commit are as expected.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_platform::store::{self, Revision, Store, StoreError, Txn};
use gaplock_platform::waves;
use gaplock_policy::attempts::CallAttempts;
use gaplock_remote::clock;
use gaplock_sched::commit_writer::{
    self, CommitAnswer, CommitId, CommitRevision, CommitWriter, NextStep, StoreView,
};
use gaplock_sched::message::Record;

use crate::keys;
use crate::leadership::{Authority, Claim, LeadershipStatus};
use crate::records::RosterRecord;

/// Why a commit is not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitError {
    /// Another leader has taken over, or the leadership is over; the last commit may be stored.
    LeadershipLost,
    /// The store is away; nothing was written and nothing will be.
    NotWritten,
}

/// The right to write as the leader.
#[derive(Debug)]
pub struct StoreWriter {
    store: Arc<Store>,
    standing: Arc<LeadershipStatus>,
    leader: Revision,
    writer: CommitWriter,
}

/// Entries of a transaction that are left for records: two go to its conditions and one to the
/// commit's mark.
const RECORD_ENTRIES: usize = store::TXN_MOST_ENTRIES - 3;

/// The pause before a commit whose fate is unknown is sent again: half of the one that the leader
/// makes while the store is away, since ends wait for it.
const UNCLEAR_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Builds the right to write from a fresh claim.
pub fn open(store: Arc<Store>, standing: Arc<LeadershipStatus>, claim: &Claim) -> StoreWriter {
    let writer = commit_writer::open(claim.mark, CommitRevision(claim.revision.0));
    StoreWriter { store, standing, leader: claim.revision, writer }
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
            self.write_part(part).await?;
            left = rest;
        }
        Ok(())
    }

    /// Writes one transaction; `writing` decides by the answers what follows.
    async fn write_part(&mut self, records: &[Record]) -> Result<(), CommitError> {
        let mark = self.writer.begin();
        let txn = self.transaction(records, mark);
        let mut next = NextStep::Send;
        loop {
            next = match next {
                NextStep::Send => self.send(&txn, mark, records.len()).await,
                NextStep::ReadStore => self.look(mark, records.len()).await,
                NextStep::Wait => self.wait().await,
                NextStep::Stored => return Ok(()),
                NextStep::NotStored => return Err(CommitError::NotWritten),
                NextStep::LeadershipOver => return Err(CommitError::LeadershipLost),
            };
        }
    }

    /// Sends a try of a transaction.
    async fn send(&mut self, txn: &Txn, mark: CommitId, records: usize) -> NextStep {
        self.writer.sent();
        let answer = match self.store.commit(txn).await {
            Ok(revision) => CommitAnswer::Stored(CommitRevision(revision.0)),
            Err(StoreError::Conflict) => CommitAnswer::Conflict,
            // No key of a commit is under a lease, so none can be missing: nothing was done.
            Err(StoreError::Away | StoreError::Gone) => CommitAnswer::Refused,
            Err(StoreError::Unclear) => CommitAnswer::Silent,
        };
        let next = self.writer.answered(answer);
        match answer {
            CommitAnswer::Refused => log_commit_refused(mark, self.writer.attempts(), records),
            CommitAnswer::Silent => log_commit_unclear(mark, self.writer.attempts(), records),
            CommitAnswer::Stored(_) | CommitAnswer::Conflict => {}
        }
        next
    }

    /// Looks which commit is the last one and whether the claim still stands.
    async fn look(&mut self, mark: CommitId, records: usize) -> NextStep {
        let sight = self.read_commit_state().await.unwrap_or_else(|e| {
            tracing::debug!(event = "store_silent", error = %e);
            StoreView::Nothing
        });
        let next = self.writer.store_read(sight);
        if next == NextStep::Stored {
            log_commit_found(mark, self.writer.attempts(), records);
        }
        next
    }

    async fn read_commit_state(&self) -> Result<StoreView, StoreError> {
        let commits = self.store.get(keys::COMMITS).await?;
        let mark = commits.as_ref().and_then(|item| decode_mark(&item.value));
        let revision = CommitRevision(commits.map_or(0, |item| item.revision.0));
        // Where something newer is stored, that alone decides.
        let leads = revision == self.writer.last() && self.leads().await?;
        Ok(StoreView::Last { mark, revision, leads })
    }

    /// Tells whether the claim is still stored.
    async fn leads(&self) -> Result<bool, StoreError> {
        let leader = self.store.get(keys::LEADER).await?;
        Ok(leader.is_some_and(|item| item.revision == self.leader))
    }

    async fn wait(&self) -> NextStep {
        task::sleep(UNCLEAR_RETRY_PAUSE).await;
        self.writer.waited(self.standing.authority(clock::now()) != Authority::Lost)
    }

    fn transaction(&self, records: &[Record], mark: CommitId) -> Txn {
        let mut txn = Txn {
            expected: vec![
                (keys::LEADER.to_string(), self.leader),
                (keys::COMMITS.to_string(), Revision(self.writer.last().0)),
            ],
            set: vec![(keys::COMMITS.to_string(), encode(&mark), None)],
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
                Record::Learned(learnt) => {
                    txn.set.push((keys::LEARNED.to_string(), encode(learnt), None));
                }
            }
        }
        txn
    }
}

/// Logs that the last try of a commit was refused.
fn log_commit_refused(mark: CommitId, tries: CallAttempts, records: usize) {
    let CommitId { term, number } = mark;
    let (attempt, open) = (tries.sent(), tries.unanswered());
    tracing::info!(event = "commit_refused", term, number, attempt, open, records);
}

/// Logs that the last try of a commit got no answer.
fn log_commit_unclear(mark: CommitId, tries: CallAttempts, records: usize) {
    let CommitId { term, number } = mark;
    let (attempt, open) = (tries.sent(), tries.unanswered());
    tracing::info!(event = "commit_unclear", term, number, attempt, open, records);
}

/// Logs that a commit without an answer is stored, by the mark in the store.
fn log_commit_found(mark: CommitId, tries: CallAttempts, records: usize) {
    let CommitId { term, number } = mark;
    let (attempt, open) = (tries.sent(), tries.unanswered());
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
        Record::Progress(_) | Record::Worker(_) | Record::ForgetWorker(_) | Record::Learned(_) => 1,
        Record::Wave(_) => 2,
        Record::Forget(_) => 3,
    }
}

/// Encodes a stored value; our own types always can be.
pub fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("stored types have no keys that JSON cannot hold")
}

/// Decodes the mark of the last commit.
pub fn decode_mark(value: &[u8]) -> Option<CommitId> {
    serde_json::from_slice(value).ok()
}
