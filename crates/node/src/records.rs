//! Stored records, read back with the keys that they lie under.
//!
//! The store also takes entries of other writers. A record that cannot be understood, or that speaks of something
//! else than its key, is logged and passed over: taken at its word it would give one job another one's progress,
//! down to the checkpoints that its tasks are started with.

use gaplock_jobs::progress::Progress;
use gaplock_jobs::{Job, TaskKey};
use gaplock_platform::store::Item;
use gaplock_sched::message::{RosterEntry, WorkerInfo};
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
    /// Whether it was leaving when it was closed; what it ran is not suspected of its loss.
    #[serde(default)]
    leaving: bool,
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
            leaving: info.draining,
        }
    }

    /// Returns what the roster says of the worker.
    fn entry(self) -> RosterEntry {
        let info = WorkerInfo {
            id: self.id,
            addr: self.addr,
            service: self.service,
            domain: self.domain,
            labels: self.labels,
            capacity: self.capacity,
            draining: self.leaving,
            remaining: None::<Millis>,
        };
        RosterEntry { info, holds: self.holds }
    }
}

/// Reads a job's progress.
pub fn progress(item: &Item) -> Option<Progress> {
    let progress: Progress = decode(item)?;
    has_key(item, &keys::progress(progress.key)).then_some(progress)
}

/// Reads an accepted job.
pub fn job(item: &Item) -> Option<Job> {
    let job: Job = decode(item)?;
    has_key(item, &keys::job(job.key)).then_some(job)
}

/// Reads a worker of the roster. One whose record cannot be read may run anything, and is waited for until its
/// leases are over.
pub fn roster_entry(item: &Item) -> Option<RosterEntry> {
    let record: Option<RosterRecord> = decode(item);
    let record = record.filter(|record| has_key(item, &keys::roster(&record.id)));
    let entry = record.map(RosterRecord::entry);
    entry.or_else(|| keys::worker_of(&item.key).map(unknown))
}

/// Returns what is known of a worker whose record cannot be read: that it may run anything. The directory
/// tells its address, if anything does.
fn unknown(id: ids::WorkerId) -> RosterEntry {
    let info = WorkerInfo {
        id,
        addr: String::new(),
        service: ids::ServiceId(String::new()),
        domain: ids::DomainId(String::new()),
        labels: Vec::new(),
        capacity: sizes::Resources::default(),
        draining: false,
        remaining: None,
    };
    RosterEntry { info, holds: None }
}

/// Tells whether a record lies under the key of what it speaks of.
fn has_key(item: &Item, key: &str) -> bool {
    if item.key != key {
        tracing::warn!(event = "record_misplaced", key = item.key, speaks_of = key);
    }
    item.key == key
}

/// Decodes a stored record.
pub fn decode<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    match serde_json::from_slice(&item.value) {
        Ok(record) => Some(record),
        Err(e) => {
            tracing::warn!(event = "record_malformed", key = item.key, error = %e);
            None
        }
    }
}
