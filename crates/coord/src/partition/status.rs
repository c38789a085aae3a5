//! Reports the status of a partition's jobs and workers to callers and operators.

use gaplock_chart::charts::task;
use gaplock_types::{api, ids, wire};

use super::Partition;
use crate::state::{Job, Task};

impl Partition {
    /// Returns the status of a job and of each of its tasks.
    pub(super) fn status_of(&self, id: ids::JobId, job: &Job) -> api::JobStatus {
        let row = |(i, t): (usize, &Task)| api::TaskStatus {
            task: ids::TaskId { job: id, index: i as u32 },
            state: t.is.name().to_string(),
            worker: t.place.as_ref().map(|p| p.worker.clone()),
            attempts: t.attempt.0,
            evictions: t.evictions,
            why: self.explain_task(ids::TaskId { job: id, index: i as u32 }, t),
        };
        let history = self.history.get(&id);
        api::JobStatus {
            job: id,
            partner: job.partner.clone(),
            kind: job.kind.clone(),
            tasks: job.tasks.iter().enumerate().map(row).collect(),
            ended: job.ended(),
            history: history.map(|lines| lines.iter().cloned().collect()).unwrap_or_default(),
        }
    }

    /// Returns the state of an assigned task on its worker, or why another task waits or has ended.
    pub fn explain_task(&self, id: ids::TaskId, t: &Task) -> String {
        let Some(place) = &t.place else { return t.why.clone() };
        if let Some(to) = place.lent {
            return format!("it is lent to {to}, which had room");
        }
        let run = wire::Run { task: id, attempt: t.attempt };
        let Some(link) = self.links.get(&place.worker) else {
            return format!("{} is not in the host list; its leases must end", place.worker);
        };
        let Some(view) = link.runs.get(&run) else {
            return format!("{} is {} and has not been asked yet", place.worker, link.is);
        };
        if link.boot.is_some_and(|b| b != place.boot) {
            return format!("{} has booted anew; the old boot's leases must end", place.worker);
        }
        match (view.started, &view.refused, &view.evicting) {
            (_, _, Some(why)) => format!("it is being moved away: {why}"),
            (true, ..) => format!("it runs; {} ms of work are done", view.progress_ms),
            (false, Some(verdict), _) => format!("{} refused it: {verdict:?}", place.worker),
            (false, None, _) => format!("its start is on its way; {} is {}", place.worker, link.is),
        }
    }

    /// Returns the number of waiting tasks of each partner that has any.
    pub fn waiting_counts(&self) -> impl Iterator<Item = (&ids::PartnerId, usize)> {
        self.state.waiting_partners().map(|p| (p, self.state.waiting(p).count()))
    }

    /// Returns the boots of a worker that this owner knows: the one the worker reported, and those
    /// that tasks are assigned to.
    pub(super) fn known_boots<'a>(
        &'a self,
        worker: &'a ids::WorkerId,
    ) -> impl Iterator<Item = wire::Boot> + 'a {
        let reported = self.links.get(worker).and_then(|l| l.boot);
        let place = |id| self.state.task(id).and_then(|t| t.place.as_ref());
        let stored = self.state.on_worker(worker).filter_map(place).map(|p| p.boot);
        reported.into_iter().chain(stored)
    }

    /// Returns a summary of the partition's jobs and workers.
    pub fn summary(&self) -> api::PartitionSummary {
        let workers = self.links.iter().map(|(worker, link)| api::WorkerRow {
            worker: worker.clone(),
            boot: self.known_boots(worker).next(),
            domain: link.host.domain.clone(),
            partition: self.id,
            owner: self.me.entry.clone(),
            state: link.is.name().to_string(),
            used: self.state.reserved(worker),
            capacity: link.host.capacity,
            tasks: self.state.on_worker(worker).count() as u32,
        });
        let jobs = self.state.jobs.iter().map(|(number, job)| {
            let id = ids::JobId { home: self.id, number: *number };
            job_row(id, job)
        });
        api::PartitionSummary { workers: workers.collect(), jobs: jobs.collect() }
    }
}

fn job_row(id: ids::JobId, job: &Job) -> api::JobRow {
    let count =
        |wanted: &[task::State]| job.tasks.iter().filter(|t| wanted.contains(&t.is)).count() as u32;
    api::JobRow {
        job: id,
        partner: job.partner.clone(),
        kind: wire::TaskKind::clone(&job.kind),
        queued: count(&[task::State::Queued]),
        running: count(&[task::State::Assigned]),
        done: count(&[task::State::Done]),
        lost: count(&[task::State::Failed, task::State::Cancelled]),
    }
}
