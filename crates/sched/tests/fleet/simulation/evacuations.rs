//! Failure domains that the operators evacuate. The store holds the operators' instruction, and the leader
//! reads it periodically, as its driver does in the product.

use std::collections::BTreeMap;

use gaplock_jobs::TaskKey;
use gaplock_sched::evacuation::Evacuated;
use gaplock_sched::Event;
use gaplock_types::ids;

use super::worker::domain_of;
use super::Simulation;

/// The time between two reads of the operators' instruction, in milliseconds.
const READ_EVERY_MS: u64 = 500;

/// How long after the instruction a start may still be sent to the domain, in milliseconds: one read may be lost.
const EFFECTIVE_WITHIN_MS: u64 = 2 * READ_EVERY_MS;

/// The operators' instruction, and when the leader last read it.
#[derive(Debug, Default)]
pub struct EvacuationRequests {
    /// The evacuated domains, with the time of the instruction.
    since: BTreeMap<ids::DomainId, u64>,
    /// The number of changes to the instruction.
    revision: u64,
    /// When a read was last due.
    last_read: u64,
    /// The last time at which the store was down.
    store_down_until: u64,
}

impl Simulation {
    /// Evacuates the failure domain of a worker.
    pub fn evacuate(&mut self, worker: usize) {
        let now = self.now;
        self.evacuation_requests.revision += 1;
        self.evacuation_requests.since.entry(domain_of(worker)).or_insert(now);
    }

    /// Ends the evacuation of a worker's failure domain.
    pub fn end_evacuation(&mut self, worker: usize) {
        self.evacuation_requests.revision += 1;
        self.evacuation_requests.since.remove(&domain_of(worker));
    }

    /// Returns the operators' instruction as the store holds it.
    pub fn evacuated(&self) -> Evacuated {
        let domains = self.evacuation_requests.since.keys().cloned().collect();
        Evacuated { revision: self.evacuation_requests.revision, domains }
    }

    /// Delivers an instruction that was read from the store, perhaps long ago, to the leader.
    pub fn deliver_evacuated(&mut self, evacuated: Evacuated) {
        self.notify_leader(Event::Evacuated(evacuated));
    }

    /// Lets the leader read the instruction if a read is due and the store answers.
    pub(super) fn read_evacuations(&mut self) {
        if self.store_down {
            self.evacuation_requests.store_down_until = self.now;
        }
        if self.now < self.evacuation_requests.last_read + READ_EVERY_MS {
            return;
        }
        self.evacuation_requests.last_read = self.now;
        if !self.store_down {
            self.deliver_evacuated(self.evacuated());
        }
    }

    /// Checks that a start that a worker carries out was not sent after the evacuation took effect. A start
    /// that was sent before may still be carried out late.
    pub(super) fn check_evacuated(&mut self, at: usize, task: TaskKey, sent: u64) {
        let domain = &self.workers[at].info.domain;
        let Some(&since) = self.evacuation_requests.since.get(domain) else { return };
        let effective = since.max(self.evacuation_requests.store_down_until) + EFFECTIVE_WITHIN_MS;
        if sent > effective {
            let violation = format!("{}: {task} starts in the evacuated domain {domain}", self.now);
            self.violations.push(violation);
        }
    }
}
