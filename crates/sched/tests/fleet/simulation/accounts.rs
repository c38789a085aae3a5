//! Computes the sums of the load account again from the jobs and the workers, and compares.

use std::collections::BTreeMap;
use std::sync::Arc;

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_overload::summary::{QueueLoad, WorkClass};
use gaplock_sched::job_table::{self, TaskState};
use gaplock_sched::{load, Context};

use super::Simulation;

/// How often the account is checked, in milliseconds.
const CHECK_EVERY: u64 = 100;

/// The most work that the account takes a task to be, in core milliseconds.
const MAX_TASK_WORK: u128 = 1 << 36;

/// Jobs, running demand, waiting demand and backlog.
type Sums = (u32, u64, u64, u64);

type Accounts = BTreeMap<(String, &'static str), Sums>;

impl Simulation {
    /// Checks at intervals that the load account agrees with the jobs and the workers.
    pub(super) fn check_accounts(&mut self) {
        let Some(cx) = self.cx.as_ref().filter(|_| self.now.is_multiple_of(CHECK_EVERY)) else {
            return;
        };
        let (expected, found) = (expected_accounts(cx, &self.jobs), accounts(cx));
        if expected != found {
            let now = self.now;
            let violation = format!("{now}: the accounts are {found:?}, expected {expected:?}");
            self.violations.push(violation);
        }
    }

    /// Returns the load of the only queue's short tasks as the leader accounts for it.
    pub fn short_load(&self) -> Option<QueueLoad> {
        let loads = load::queues(self.cx.as_ref()?);
        loads.into_iter().find(|load| load.class == WorkClass::Short)
    }
}

/// Returns the sums that the leader keeps, without those that are 0.
fn accounts(cx: &Context) -> Accounts {
    let loads = cx.load.loads(cx.now).map(|load| {
        let sums = load.sums;
        let (running, waiting) = (sums.running_millicores, sums.waiting_millicores);
        let key = (load.queue.to_string(), load.class.name());
        (key, (sums.jobs, running, waiting, sums.backlog.0))
    });
    loads.filter(|(_, sums)| *sums != Sums::default()).collect()
}

/// Computes the sums from the state of each task and each run.
fn expected_accounts(cx: &Context, jobs: &BTreeMap<JobKey, Arc<Job>>) -> Accounts {
    let mut found = Accounts::new();
    let key = |job: &Job, step: &Step| (job.queue.clone(), job_table::work_class(step).name());
    for entry in cx.jobs.values().filter(|entry| !entry.state.is_final()) {
        let mut keys: Vec<_> = entry.job.steps.iter().map(|step| key(&entry.job, step)).collect();
        keys.sort();
        keys.dedup();
        keys.into_iter().for_each(|key| found.entry(key).or_default().0 += 1);
        for (step, state) in
            entry.rounds.iter().flat_map(|round| entry.job.steps.iter().zip(&round.steps))
        {
            let sums = found.entry(key(&entry.job, step)).or_default();
            let count = |is: fn(&TaskState) -> bool| {
                state.tasks.iter().filter(|task| is(&task.state)).count() as u64
            };
            let pending = count(|state| *state == TaskState::Pending);
            let left = count(|state| *state != TaskState::Done);
            let work = u128::from(step.demand.cpu.0) * u128::from(step.estimate.0) / 1_000;
            let work = work.min(MAX_TASK_WORK) as u64;
            sums.2 += pending * u64::from(step.demand.cpu.0);
            sums.3 += if step.lasting { 0 } else { left * work };
        }
    }
    for (task, _) in cx.workers.iter().flat_map(|worker| &worker.slots) {
        // The leader may have forgotten the job of a run whose stop a worker refuses.
        let job = &jobs[&task.job];
        let step = &job.steps[usize::from(task.step)];
        found.entry(key(job, step)).or_default().1 += u64::from(step.demand.cpu.0);
    }
    found
}
