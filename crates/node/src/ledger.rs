//! The leader's writes: each holds only while the leadership and the last commit are as expected.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_jobs::TaskKey;
use gaplock_platform::store::{self, Item, Revision, Store, StoreError, Txn};
use gaplock_platform::waves;
use gaplock_policy::tries::{Fate, Tries};
use gaplock_sched::message::{Record, RosterEntry, WorkerInfo};
use gaplock_types::time::Millis;
use gaplock_types::{ids, sizes};

use crate::keys;

/// The stored form of a worker in the roster.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct RosterRecord {
    id: ids::WorkerId,
    addr: String,
    service: ids::ServiceId,
    domain: ids::DomainId,
    labels: Vec<String>,
    capacity: sizes::Resources,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    holds: Option<Vec<TaskKey>>,
}

impl RosterRecord {
    /// Builds the stored form.
    pub fn of(entry: &RosterEntry) -> Self {
        let info = &entry.info;
        Self {
            holds: entry.holds.clone(),
            id: info.id.clone(),
            addr: info.addr.clone(),
            service: info.service.clone(),
            domain: info.domain.clone(),
            labels: info.labels.clone(),
            capacity: info.capacity,
        }
    }

    /// Returns what the roster says of the worker.
    pub fn entry(self) -> RosterEntry {
        let info = WorkerInfo {
            id: self.id,
            addr: self.addr,
            service: self.service,
            domain: self.domain,
            labels: self.labels,
            capacity: self.capacity,
            draining: false,
            remaining: None::<Millis>,
        };
        RosterEntry { info, holds: self.holds }
    }
}

/// The stored number of the leadership and of its last commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CommitMark {
    /// The leadership.
    pub term: u64,
    /// The commit within it.
    pub number: u64,
}

/// Why a commit is not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitError {
    /// Another leader has taken over, or the leadership was taken away.
    Deposed,
    /// The store is away; nothing was written.
    Away,
}

/// The right to write as the leader.
#[derive(Debug)]
pub struct Ledger {
    store: Arc<Store>,
    leader: Revision,
    commits: Revision,
    mark: CommitMark,
}

/// Entries of a transaction that are left for records: two go to its conditions and one to the commit's
/// mark.
const RECORD_ENTRIES: usize = store::TXN_MOST_ENTRIES - 3;

/// The pause before a commit whose fate is unknown is looked at again.
const UNCLEAR_PAUSE: Duration = Duration::from_millis(100);

/// Builds the right to write from a fresh claim.
pub fn open(store: Arc<Store>, claimed: Revision, mark: CommitMark) -> Ledger {
    Ledger { store, leader: claimed, commits: claimed, mark }
}

impl Ledger {
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
            let (part, rest) = left.split_at(fitting(left));
            self.write_part(part).await?;
            left = rest;
        }
        Ok(())
    }

    async fn write_part(&mut self, records: &[Record]) -> Result<(), CommitError> {
        let next = CommitMark { term: self.mark.term, number: self.mark.number + 1 };
        let txn = self.transaction(records, next);
        let mut tries = Tries::default();
        loop {
            tries.send();
            match self.store.commit(&txn).await {
                Ok(revision) => return self.advance(next, revision),
                Err(StoreError::Away) => {
                    log_refused(next, tries, records.len());
                    return Err(CommitError::Away);
                }
                Err(StoreError::Unclear) => {
                    tries.settle(Fate::Unknown);
                    log_unclear(next, tries, records.len());
                }
                Err(StoreError::Conflict | StoreError::Gone) => {}
            }
            match self.store.get(keys::COMMITS).await {
                Ok(Some(item)) if item.revision == self.commits => {
                    self.check_leader().await?;
                }
                Ok(Some(item)) if decode_mark(&item.value) == Some(next) => {
                    log_found(next, tries, records.len());
                    return self.advance(next, item.revision);
                }
                Ok(_) => return Err(CommitError::Deposed),
                Err(_) => task::sleep(UNCLEAR_PAUSE).await,
            }
        }
    }

    fn advance(&mut self, mark: CommitMark, revision: Revision) -> Result<(), CommitError> {
        self.mark = mark;
        self.commits = revision;
        Ok(())
    }

    /// Finds out whether the leadership still stands after a conflict.
    async fn check_leader(&self) -> Result<(), CommitError> {
        match self.store.get(keys::LEADER).await {
            Ok(Some(item)) if item.revision == self.leader => Ok(()),
            Ok(_) => Err(CommitError::Deposed),
            Err(_) => {
                task::sleep(UNCLEAR_PAUSE).await;
                Ok(())
            }
        }
    }

    fn transaction(&self, records: &[Record], mark: CommitMark) -> Txn {
        let mut txn = Txn {
            expected: vec![
                (keys::LEADER.to_string(), self.leader),
                (keys::COMMITS.to_string(), self.commits),
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
                Record::Learnt(learnt) => {
                    txn.set.push((keys::LEARNT.to_string(), encode(learnt), None));
                }
            }
        }
        txn
    }
}

/// Logs that the last try of a commit was refused.
fn log_refused(mark: CommitMark, tries: Tries, records: usize) {
    let CommitMark { term, number } = mark;
    let (attempt, open) = (tries.sent(), tries.open());
    tracing::info!(event = "commit_refused", term, number, attempt, open, records);
}

/// Logs that the last try of a commit got no answer.
fn log_unclear(mark: CommitMark, tries: Tries, records: usize) {
    let CommitMark { term, number } = mark;
    let (attempt, open) = (tries.sent(), tries.open());
    tracing::info!(event = "commit_unclear", term, number, attempt, open, records);
}

/// Logs that a commit without an answer is stored, by the mark in the store.
fn log_found(mark: CommitMark, tries: Tries, records: usize) {
    let CommitMark { term, number } = mark;
    let (attempt, open) = (tries.sent(), tries.open());
    tracing::info!(event = "commit_found", term, number, attempt, open, records);
}

/// Returns how many of the first records fit into one transaction.
fn fitting(records: &[Record]) -> usize {
    let mut entries = 0;
    let fits = |record: &&Record| {
        entries += entries_of(record);
        entries <= RECORD_ENTRIES
    };
    records.iter().take_while(fits).count()
}

/// Returns how many entries of a transaction a record needs.
fn entries_of(record: &Record) -> usize {
    match record {
        Record::Progress(_) | Record::Worker(_) | Record::ForgetWorker(_) | Record::Learnt(_) => 1,
        Record::Wave(_) => 2,
        Record::Forget(_) => 3,
    }
}

/// Encodes a stored value; our own types always can be.
pub fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("stored types have no keys that JSON cannot hold")
}

/// Decodes the mark of the last commit.
pub fn decode_mark(value: &[u8]) -> Option<CommitMark> {
    serde_json::from_slice(value).ok()
}

/// Decodes a stored record; a malformed one is logged and passed over.
pub fn decode<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    match serde_json::from_slice(&item.value) {
        Ok(record) => Some(record),
        Err(e) => {
            tracing::warn!(event = "record_malformed", key = item.key, error = %e);
            None
        }
    }
}
