//! What is waiting to be stored, and what is being stored.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_jobs::progress::JobState;
use gaplock_jobs::JobKey;
use gaplock_types::ids;
use gaplock_types::time::Instant;

use crate::interface::message::{EndSeq, Record, WaveNumber, WorkerIx};

/// What a record describes. A transaction writes each key once, and the newer record of a subject
/// contains everything that the older one does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RecordSubject {
    Progress(JobKey),
    Forgotten(JobKey),
    Worker(ids::WorkerId),
    Learned,
    Load,
    Wave(WaveNumber),
    Claim,
}

impl RecordSubject {
    /// Returns what a record describes.
    fn of(record: &Record) -> Self {
        match record {
            Record::Progress(progress) => Self::Progress(progress.key),
            Record::Forget(key) => Self::Forgotten(*key),
            Record::Worker(entry) => Self::Worker(entry.info.id.clone()),
            Record::ForgetWorker(id) => Self::Worker(id.clone()),
            Record::Learned(_) => Self::Learned,
            Record::Load(_) => Self::Load,
            Record::Wave(progress) => Self::Wave(progress.number),
            Record::ClaimSettled => Self::Claim,
        }
    }
}

/// Records by their subjects. Thousands of workers enter the roster in one commit, so a newer
/// record finds the older one by its subject.
#[derive(Debug, Clone, Default)]
pub(crate) struct Records(BTreeMap<RecordSubject, Record>);

impl Records {
    /// Adds a record and replaces an older one of its subject.
    pub(crate) fn put(&mut self, record: Record) {
        self.0.insert(RecordSubject::of(&record), record);
    }

    /// Adds newer records.
    pub(crate) fn put_all(&mut self, newer: Self) {
        self.0.extend(newer.0);
    }

    /// Lists the records.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Record> {
        self.0.values()
    }

    /// Returns how many there are.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// What is waiting to be stored, and what is being stored.
#[derive(Debug, Default)]
pub struct Commits {
    /// Jobs whose progress has changed.
    pub(crate) dirty_jobs: BTreeSet<JobKey>,
    /// Records other than jobs' progress.
    pub(crate) other_records: Records,
    /// Since when the oldest change has been waiting.
    pub(crate) oldest_change: Option<Instant>,
    /// Whether the next commit must not wait for further changes.
    pub(crate) urgent: bool,
    /// The commit that is being stored.
    pub(crate) in_flight: Option<InFlightCommit>,
}

/// What becomes valid once the commit in flight is stored.
#[derive(Debug, Default)]
pub(crate) struct InFlightCommit {
    /// The jobs whose progress it contains, with their states.
    pub(crate) jobs: Vec<(JobKey, JobState)>,
    /// The last end that it covers of each worker.
    pub(crate) ends: Vec<(WorkerIx, EndSeq)>,
    /// Its records other than jobs' progress.
    pub(crate) other_records: Records,
    /// The workers that it adds to the roster.
    pub(crate) roster: Vec<WorkerIx>,
}
