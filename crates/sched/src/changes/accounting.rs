//! Feeds the load account from the changes of jobs and tasks.
//!
//! The sums of the account are functions of the jobs that have not ended and of the runs at
//! workers: whatever is added here when a task or a run enters a state is taken away when it leaves
//! that state. `tests/fleet/accounts.rs` computes them again from jobs and workers and compares.
//!
//! A round of a repeated job is work from when it begins; rounds in the future are none.

use gaplock_jobs::{Job, JobKey, Step, TaskKey};
use gaplock_overload::account::{ClassIx, CoreMillis, LoadAccount, QueueIx};
use gaplock_overload::summary::WorkClass;
use gaplock_types::time::{Instant, Millis};

use crate::changes::trace;
use crate::decisions::load;
use crate::interface::message::{StoredLoad, MAX_STORED_LOADS};
use crate::state::job_table::{self, JobEntry, Round};
use crate::state::worker::Slot;
use crate::state::State;

/// Returns the classes of work that a job has.
fn classes(job: &Job) -> impl Iterator<Item = WorkClass> + '_ {
    let all = [WorkClass::Short, WorkClass::BestEffort, WorkClass::LongRunning];
    all.into_iter().filter(|&class| job.steps.iter().any(|s| job_table::work_class(s) == class))
}

/// Returns where the tasks of a step count.
fn class_of(queue: QueueIx, step: &Step) -> ClassIx {
    queue.class(job_table::work_class(step))
}

/// Returns the demand of `count` tasks of a step together, in thousandths of a core.
fn demand(step: &Step, count: u64) -> u64 {
    u64::from(step.demand.cpu.0) * count
}

/// Returns the work of the tasks of a round that are not done, by step.
fn work_left<'a>(
    entry: &'a JobEntry,
    round: &'a Round,
) -> impl Iterator<Item = (ClassIx, CoreMillis)> + 'a {
    entry.job.steps.iter().zip(&round.steps).map(|(step, state)| {
        let left = job_table::task_work(step).times(u64::from(state.unfinished));
        (class_of(entry.load_queue, step), left)
    })
}

/// Enters a job into its queue's accounts; its rounds follow as they begin.
pub fn job_accepted(cx: &mut State, key: JobKey) {
    let Some(entry) = cx.jobs.get_mut(&key) else { return };
    entry.load_queue = cx.load.queue(&entry.job.queue);
    if entry.state.is_final() {
        return;
    }
    for class in classes(&entry.job) {
        cx.load.job_accepted(entry.load_queue.class(class), entry.objective);
    }
}

/// Enters the work of a round that begins.
pub fn round_arrived(cx: &mut State, key: JobKey, number: u32) {
    let Some(entry) = cx.jobs.get(&key) else { return };
    let Some(round) = entry.round(number) else { return };
    for (at, work) in work_left(entry, round) {
        cx.load.work_arrived(at, cx.now, work);
    }
}

/// Enters a job of a previous leader with the rounds that have begun. It counts among the arrivals
/// of the time when it was accepted, also if it has ended since.
pub fn job_restored(cx: &mut State, key: JobKey) {
    job_accepted(cx, key);
    let Some(entry) = cx.jobs.get(&key) else { return };
    if entry.job.repeat.is_none() {
        let age = Millis(cx.unix_ms.saturating_sub(entry.job.accepted_unix_ms));
        for step in &entry.job.steps {
            let work = job_table::task_work(step).times(u64::from(step.count));
            cx.load.work_arrived_before(class_of(entry.load_queue, step), cx.now, age, work);
        }
    }
    for round in &entry.rounds {
        for (at, work) in work_left(entry, round) {
            cx.load.work_restored(at, work);
        }
    }
}

/// Takes a job that ends out of the accounts, with its waiting tasks and the work that is left.
pub(super) fn job_ended(load: &mut LoadAccount, entry: &JobEntry) {
    for class in classes(&entry.job) {
        load.job_ended(entry.load_queue.class(class), entry.objective);
    }
    for round in &entry.rounds {
        for (at, work) in work_left(entry, round) {
            load.work_dropped(at, work);
        }
        for (step, state) in entry.job.steps.iter().zip(&round.steps) {
            let millicores = demand(step, state.pending.len() as u64);
            load.tasks_wait_no_longer(class_of(entry.load_queue, step), millicores);
        }
    }
}

/// Enters a task that waits for a worker.
pub(super) fn task_waits(load: &mut LoadAccount, entry: &JobEntry, key: TaskKey) {
    let Some(step) = entry.step(key) else { return };
    load.tasks_wait(class_of(entry.load_queue, step), demand(step, 1));
}

/// Takes out a task that no longer waits for a worker.
pub(super) fn task_waits_no_longer(load: &mut LoadAccount, entry: &JobEntry, key: TaskKey) {
    let Some(step) = entry.step(key) else { return };
    load.tasks_wait_no_longer(class_of(entry.load_queue, step), demand(step, 1));
}

/// Enters a run that is at a worker.
pub(super) fn task_started(load: &mut LoadAccount, slot: &Slot) {
    load.task_started(slot.load_class, u64::from(slot.demand().0));
}

/// Takes out a run that is no longer at a worker.
pub(super) fn task_stopped(load: &mut LoadAccount, slot: &Slot) {
    load.task_stopped(slot.load_class, u64::from(slot.demand().0));
}

/// Restores what a previous leader stored of the load.
pub fn restore(cx: &mut State, stored: &StoredLoad) {
    if !cx.settings.load_account {
        return;
    }
    for queue in stored.queues.iter().take(MAX_STORED_LOADS) {
        let (name, rate) = (&queue.queue, queue.completed_core_ms_per_s);
        cx.load.restore_completed(name, queue.class, cx.now, rate);
        if let Some(ratio) = queue.estimate_ratio {
            cx.estimate_ratios.restore(name, queue.class, ratio);
        }
    }
}

/// How often the queues that do not keep up are logged.
const LOG_BACKLOGS_INTERVAL: Millis = Millis(2_000);

/// Logs the queues whose backlog takes longer to drain than their jobs may take, at intervals.
pub fn log_backlogs(cx: &mut State) {
    if cx.now.since(cx.backlogs_logged_at) < LOG_BACKLOGS_INTERVAL {
        return;
    }
    cx.backlogs_logged_at = cx.now;
    load::backlogged(cx).iter().for_each(trace::queue_backlogged);
}

/// Records that a task is done. If it is not known what it took, the estimate counts.
pub(super) fn task_done(
    load: &mut LoadAccount,
    now: Instant,
    entry: &JobEntry,
    key: TaskKey,
    took: Option<CoreMillis>,
) {
    let Some(step) = entry.step(key) else { return };
    let estimated = job_table::task_work(step);
    load.task_done(class_of(entry.load_queue, step), now, estimated, took.unwrap_or(estimated));
}
