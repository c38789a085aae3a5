//! Indexes over a partition's tasks and jobs.
//!
//! They are rebuilt on load, updated with each change and never stored.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_chart::charts::task;
use gaplock_types::{ids, sizes};

use super::{task_id, PartitionState};

/// Indexes over the tasks and jobs.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct Index {
    /// Waiting tasks by partner; urgent ones sort first.
    pub(super) queued: BTreeMap<ids::PartnerId, BTreeSet<(bool, ids::TaskId)>>,
    /// Assigned tasks by worker.
    pub(super) by_worker: BTreeMap<ids::WorkerId, BTreeSet<ids::TaskId>>,
    /// The resources reserved on each worker.
    pub(super) reserved: BTreeMap<ids::WorkerId, sizes::Resources>,
    /// The resources reserved for assigned tasks, lent ones included, by partner.
    pub(super) held: BTreeMap<ids::PartnerId, sizes::Resources>,
    /// Tasks that are lent to other partitions.
    pub(super) lent: BTreeSet<ids::TaskId>,
    /// Job numbers by partner and request key.
    pub(super) keys: BTreeMap<(ids::PartnerId, ids::RequestKey), u64>,
}

impl PartitionState {
    /// Rebuilds the indexes, which a snapshot does not contain.
    pub fn rebuild(&mut self, home: ids::PartitionId) {
        self.index = Index::default();
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            let job = &self.jobs[&number];
            self.index.keys.insert((job.partner.clone(), job.key.clone()), number);
            for i in 0..job.tasks.len() {
                let id = task_id(home, number, i as u32);
                self.add_to_index(id);
            }
        }
    }

    /// Returns the partners that have waiting tasks.
    pub fn waiting_partners(&self) -> impl Iterator<Item = &ids::PartnerId> {
        self.index.queued.keys()
    }

    /// Returns a partner's waiting tasks, urgent ones first, then the oldest.
    pub fn waiting(&self, partner: &ids::PartnerId) -> impl Iterator<Item = ids::TaskId> + '_ {
        self.index.queued.get(partner).into_iter().flatten().map(|(_, id)| *id)
    }

    /// Returns the tasks assigned to a worker.
    pub fn on_worker(&self, worker: &ids::WorkerId) -> impl Iterator<Item = ids::TaskId> + '_ {
        self.index.by_worker.get(worker).into_iter().flatten().copied()
    }

    /// Returns the tasks that are lent to other partitions.
    pub fn lent(&self) -> impl Iterator<Item = ids::TaskId> + '_ {
        self.index.lent.iter().copied()
    }

    /// Returns all workers with assigned tasks.
    pub fn workers(&self) -> impl Iterator<Item = &ids::WorkerId> {
        self.index.by_worker.keys()
    }

    /// Returns the resources reserved on a worker.
    pub fn reserved(&self, worker: &ids::WorkerId) -> sizes::Resources {
        self.index.reserved.get(worker).copied().unwrap_or_default()
    }

    /// Returns the resources reserved for a partner's assigned tasks, lent ones included.
    pub fn held(&self, partner: &ids::PartnerId) -> sizes::Resources {
        self.index.held.get(partner).copied().unwrap_or_default()
    }

    /// Finds a job's number by partner and request key.
    pub fn job_by_key(&self, partner: &ids::PartnerId, key: &ids::RequestKey) -> Option<u64> {
        self.index.keys.get(&(partner.clone(), key.clone())).copied()
    }

    pub(super) fn add_to_index(&mut self, id: ids::TaskId) {
        let Some(job) = self.jobs.get(&id.job.number) else { return };
        let Some(task) = job.tasks.get(id.index as usize) else { return };
        let index = &mut self.index;
        if task.is == task::State::Queued {
            index.queued.entry(job.partner.clone()).or_default().insert((!job.urgent, id));
        }
        let Some(place) = &task.place else { return };
        let held = index.held.entry(job.partner.clone()).or_default();
        *held = held.plus(&place.reserve);
        if place.lent.is_some() {
            index.lent.insert(id);
            return;
        }
        index.by_worker.entry(place.worker.clone()).or_default().insert(id);
        let reserved = index.reserved.entry(place.worker.clone()).or_default();
        *reserved = reserved.plus(&place.reserve);
    }

    pub(super) fn remove_from_index(&mut self, id: ids::TaskId) {
        let Some(job) = self.jobs.get(&id.job.number) else { return };
        let Some(task) = job.tasks.get(id.index as usize) else { return };
        let index = &mut self.index;
        if let Some(queue) = index.queued.get_mut(&job.partner) {
            queue.remove(&(!job.urgent, id));
            if queue.is_empty() {
                index.queued.remove(&job.partner);
            }
        }
        let Some(place) = &task.place else { return };
        if let Some(held) = index.held.get_mut(&job.partner) {
            *held = held.minus(&place.reserve);
        }
        if place.lent.is_some() {
            index.lent.remove(&id);
            return;
        }
        if let Some(tasks) = index.by_worker.get_mut(&place.worker) {
            tasks.remove(&id);
            if tasks.is_empty() {
                index.by_worker.remove(&place.worker);
            }
        }
        if let Some(reserved) = index.reserved.get_mut(&place.worker) {
            *reserved = reserved.minus(&place.reserve);
        }
    }
}
