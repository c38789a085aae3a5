//! Failure domains that the operators evacuate: the word lies in the store, and the leader reads it anew
//! every now and then, as its driver does.

use std::collections::BTreeMap;

use gaplock_jobs::TaskKey;
use gaplock_sched::evacuation::Evacuated;
use gaplock_sched::Event;
use gaplock_types::ids;

use super::worker::domain_of;
use super::World;

/// The time between two readings of the operators' word, in milliseconds.
const READ_EVERY_MS: u64 = 500;

/// How long after the word a start may still be sent, in milliseconds: one reading may be lost.
const EFFECTIVE_WITHIN_MS: u64 = 2 * READ_EVERY_MS;

/// The operators' word, and when the leader last read it.
#[derive(Debug, Default)]
pub struct EvacuationRequests {
    /// The evacuated domains, with the time of the word.
    since: BTreeMap<ids::DomainId, u64>,
    /// Rises with every word.
    revision: u64,
    last_read: u64,
    /// When the store last came back.
    store_recovered_at: u64,
}

impl World {
    /// Evacuates the failure domain of a worker.
    pub fn evacuate(&mut self, worker: usize) {
        let now = self.now;
        self.evacuation_requests.revision += 1;
        self.evacuation_requests.since.entry(domain_of(worker)).or_insert(now);
    }

    /// Takes the failure domain of a worker back.
    pub fn take_back(&mut self, worker: usize) {
        self.evacuation_requests.revision += 1;
        self.evacuation_requests.since.remove(&domain_of(worker));
    }

    /// Returns the operators' word as it lies in the store.
    pub fn evacuated(&self) -> Evacuated {
        let domains = self.evacuation_requests.since.keys().cloned().collect();
        Evacuated { revision: self.evacuation_requests.revision, domains }
    }

    /// Tells the leader what the store said, be it long ago.
    pub fn hear_evacuated(&mut self, evacuated: Evacuated) {
        self.notify_leader(Event::Evacuated(evacuated));
    }

    /// Lets the leader read the word when that is due and the store answers.
    pub(super) fn read_evacuations(&mut self) {
        if self.store_down {
            self.evacuation_requests.store_recovered_at = self.now;
        }
        if self.now < self.evacuation_requests.last_read + READ_EVERY_MS {
            return;
        }
        self.evacuation_requests.last_read = self.now;
        if !self.store_down {
            self.hear_evacuated(self.evacuated());
        }
    }

    /// Checks that a start which a worker carries out was not sent after the word; one that is carried out
    /// late was sent before.
    pub(super) fn check_evacuated(&mut self, at: usize, task: TaskKey, sent: u64) {
        let domain = &self.workers[at].info.domain;
        let Some(&since) = self.evacuation_requests.since.get(domain) else { return };
        let heeded = since.max(self.evacuation_requests.store_recovered_at) + EFFECTIVE_WITHIN_MS;
        if sent > heeded {
            let violation = format!("{}: {task} starts in evacuated {domain}", self.now);
            self.violations.push(violation);
        }
    }
}
