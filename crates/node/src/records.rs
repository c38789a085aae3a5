//! Decodes stored records and checks them against their keys.
//!
//! Other writers also use the store. A record that cannot be decoded, or that names another item
//! than its key does, is logged and skipped: if it were used, one job would get the progress of
//! another job, including the checkpoints with which its tasks are started.

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
    /// Whether the worker was leaving when the leader closed it; the tasks that it ran are then not
    /// suspected of having crashed it.
    #[serde(default)]
    leaving: bool,
}

impl RosterRecord {
    /// Builds the stored form of a worker's entry.
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

    /// Converts the stored form back into the worker's entry.
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

/// Decodes a job's progress.
pub fn progress(item: &Item) -> Option<Progress> {
    let progress: Progress = decode(item)?;
    has_key(item, &keys::progress(progress.key)).then_some(progress)
}

/// Decodes an accepted job.
pub fn job(item: &Item) -> Option<Job> {
    let job: Job = decode(item)?;
    has_key(item, &keys::job(job.key)).then_some(job)
}

/// Decodes a worker of the roster. A worker whose record cannot be decoded may run any task, so the
/// scheduler waits until the worker's leases are over.
pub fn roster_entry(item: &Item) -> Option<RosterEntry> {
    let record: Option<RosterRecord> = decode(item);
    let record = record.filter(|record| has_key(item, &keys::roster(&record.id)));
    let entry = record.map(RosterRecord::entry);
    entry.or_else(|| keys::worker_of(&item.key).map(undecodable_entry))
}

/// Returns the entry of a worker whose record cannot be decoded: it may run any task. Its address
/// is known only if the directory lists it.
fn undecodable_entry(id: ids::WorkerId) -> RosterEntry {
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

/// Returns whether a record lies under the key of the item that it names, and logs it if not.
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
