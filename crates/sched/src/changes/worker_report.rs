//! A worker's account of itself, held against what the leader believes to run there.

use gaplock_jobs::progress::JobState;
use gaplock_jobs::TaskKey;
use gaplock_types::time::Instant;

use crate::changes::lifecycle::Occupant;
use crate::changes::{checkpoints, ends, lifecycle, speed, trace};
use crate::interface::message::{Action, Run, RunningTask, WorkerIx, WorkerReport};
use crate::interface::proof::ReleaseProof;
use crate::state::job_table::TaskState;
use crate::state::worker::{Phase, Slot, READY_PERCENT};
use crate::state::State;

/// Takes in the account that answers a renewal which was sent at `sent`.
pub fn apply(cx: &mut State, ix: WorkerIx, sent: Instant, account: &WorkerReport) {
    ends::apply(cx, ix, &account.ends);
    for row in &account.running {
        apply_running(cx, ix, row);
    }
    release_missing(cx, ix, sent, account);
}

/// Takes in one line of a worker's list of running tasks.
fn apply_running(cx: &mut State, ix: WorkerIx, row: &RunningTask) {
    let now = cx.now;
    let known = cx.worker(ix).slots.get(&row.task).map(|slot| slot.run);
    if known != Some(row.run) {
        return apply_unknown_run(cx, ix, row);
    }
    let worker = cx.worker_mut(ix);
    let Some(slot) = worker.slots.get_mut(&row.task) else { return };
    if matches!(slot.phase, Phase::Starting | Phase::Uncertain) {
        slot.phase = Phase::Running;
    }
    slot.confirmed.get_or_insert(now);
    slot.progress_percent = row.progress_percent;
    slot.reading = row.reading;
    speed::observe(cx, ix, row.task);
    checkpoints::apply(cx, ix, row.task, row.run, row.checkpoint.as_deref());
    stop_after_end(cx, ix, row);
    let Some(task) = cx.task_mut(row.task) else { return };
    if row.progress_percent >= READY_PERCENT {
        task.consecutive_failures = 0;
    }
}

/// Stops a run whose job has ended, unless its stop is on its way. The members of a gang may end a little after the
/// one whose end completed their job.
fn stop_after_end(cx: &mut State, ix: WorkerIx, row: &RunningTask) {
    let Some(entry) = cx.jobs.get(&row.task.job).filter(|entry| entry.state.is_final()) else {
        return;
    };
    let is_mate =
        entry.state == JobState::Completed && entry.step(row.task).is_some_and(|step| step.gang);
    let slot = cx.worker(ix).slots.get(&row.task);
    if slot.is_none_or(|slot| slot.phase == Phase::Stopping) {
        return;
    }
    if !is_mate {
        cx.runs_after_end += 1;
        trace::run_after_end(row.task, row.run, &cx.worker(ix).info.id);
    }
    lifecycle::order_stop(cx, ix, row.task, row.run, "its job has ended");
}

/// Decides about a run that this leader did not start, or has given up: kept if the task is free,
/// stopped otherwise.
fn apply_unknown_run(cx: &mut State, ix: WorkerIx, row: &RunningTask) {
    let key = row.task;
    let Some(entry) = cx.jobs.get(&key.job) else {
        return stop_orphaned(cx, ix, row, "its job is not known");
    };
    let live = !entry.state.is_final();
    if live && entry.unreadable {
        return occupy_reported(cx, ix, row);
    }
    let state = entry.task(key).map(|t| t.state);
    match state {
        Some(TaskState::Unknown | TaskState::Pending | TaskState::Waiting) if live => {
            lifecycle::leave_pending(cx, key);
            adopt(cx, ix, row);
        }
        Some(TaskState::Active { run, .. }) if run == row.run => {
            trace::run_passed_over(key, run, &cx.worker(ix).info.id);
        }
        _ => stop_orphaned(cx, ix, row, "the task is done, ended or elsewhere"),
    }
}

/// Keeps a run that a former leader started.
fn adopt(cx: &mut State, ix: WorkerIx, row: &RunningTask) {
    let key = row.task;
    occupy_reported(cx, ix, row);
    let Some(task) = cx.task_mut(key) else { return };
    task.state = TaskState::Active { worker: ix, run: row.run };
    checkpoints::apply(cx, ix, key, row.run, row.checkpoint.as_deref());
    trace::run_adopted(key, row.run, &cx.worker(ix).info.id);
}

/// Puts a listed run on its worker in place of whatever run of the task was held to be there.
fn occupy_reported(cx: &mut State, ix: WorkerIx, row: &RunningTask) {
    if let Some(old) = cx.worker(ix).slots.get(&row.task).map(|slot| slot.run) {
        lifecycle::vacate(cx, ix, row.task, old);
    }
    let (run, phase) = (row.run, Phase::Running);
    let (percent, reading, resumes_from) = (row.progress_percent, row.reading, None);
    lifecycle::occupy(cx, ix, row.task, Occupant { run, resumes_from, phase, percent, reading });
}

/// Stops a run that must not go on; its room stays taken as long as its job is known.
fn stop_orphaned(cx: &mut State, ix: WorkerIx, row: &RunningTask, why: &'static str) {
    let held = cx.worker(ix).slots.get(&row.task).map(|s| s.run);
    if held == Some(row.run) {
        return;
    }
    // A slot of another run is never given up for this one: its own start may be under way.
    if held.is_some() || !cx.jobs.contains_key(&row.task.job) {
        trace::stop_ordered(row.task, row.run, &cx.worker(ix).info.id, why);
        cx.actions.push(Action::Stop { worker: ix, task: row.task, run: row.run });
        return;
    }
    occupy_reported(cx, ix, row);
    lifecycle::order_stop(cx, ix, row.task, row.run, why);
}

/// Gives up runs that the worker had confirmed before this renewal was sent, but neither lists as
/// running nor as ended.
fn release_missing(cx: &mut State, ix: WorkerIx, sent: Instant, account: &WorkerReport) {
    if account.ends.len() >= MAX_ENDS_PER_REPORT {
        return;
    }
    let listed = |key: &TaskKey, run: Run| {
        account.running.iter().any(|row| row.task == *key && row.run == run)
    };
    let worker = cx.worker(ix);
    let before = |at: Option<Instant>| at.is_some_and(|at| at < sent);
    let settled = |slot: &Slot| match slot.phase {
        Phase::Running => before(slot.confirmed),
        Phase::Stopping => {
            (before(slot.confirmed) || before(slot.stop_confirmed)) && slot.ordered_at < sent
        }
        Phase::Starting | Phase::Uncertain => false,
    };
    let missing: Vec<(TaskKey, Run)> = worker
        .slots
        .iter()
        .filter(|(key, slot)| settled(slot) && !listed(key, slot.run))
        .map(|(key, slot)| (*key, slot.run))
        .collect();
    for (key, run) in missing {
        lifecycle::requeue(cx, ix, key, run, ReleaseProof::NotListed);
    }
}

/// A worker lists this many ends at once at most; more may follow.
const MAX_ENDS_PER_REPORT: usize = 500;
