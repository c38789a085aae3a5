//! Compares a worker's report with what the leader believes to run there, and applies the
//! differences.

use gaplock_jobs::progress::JobState;
use gaplock_jobs::TaskKey;
use gaplock_types::time::Instant;

use crate::changes::lifecycle::Occupant;
use crate::changes::{checkpoints, ends, intake, lifecycle, speed, trace};
use crate::interface::message::{Action, Run, RunningTask, WorkerIx, WorkerReport};
use crate::interface::proof::ReleaseProof;
use crate::state::job_table::TaskState;
use crate::state::worker::{Phase, Slot, READY_PERCENT};
use crate::state::State;

/// Applies the report that answers a renewal sent at `sent`.
pub fn apply(cx: &mut State, ix: WorkerIx, sent: Instant, report: &WorkerReport) {
    ends::apply(cx, ix, &report.ends);
    for row in &report.running {
        apply_running(cx, ix, row);
    }
    release_missing(cx, ix, sent, report);
}

/// Applies one entry of a worker's list of running tasks.
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
    let is_best_effort = cx.step(row.task).is_some_and(|step| step.fills);
    let Some(step) = cx.step_state_mut(row.task) else { return };
    if is_best_effort {
        step.record_progress(now, row.task.index, row.progress_percent);
    }
    let Some(task) = step.tasks.get_mut(row.task.index as usize) else { return };
    if row.progress_percent >= READY_PERCENT {
        task.consecutive_failures = 0;
    }
}

/// Stops a run whose job has ended, unless its stop was already ordered. The members of a gang may
/// end a little later than the member whose end completed the job.
fn stop_after_end(cx: &mut State, ix: WorkerIx, row: &RunningTask) {
    let Some(entry) = cx.jobs.get(&row.task.job).filter(|entry| entry.state.is_final()) else {
        return;
    };
    let is_gang_member =
        entry.state == JobState::Completed && entry.step(row.task).is_some_and(|step| step.gang);
    let slot = cx.worker(ix).slots.get(&row.task);
    if slot.is_none_or(|slot| slot.phase == Phase::Stopping) {
        return;
    }
    if !is_gang_member {
        cx.runs_after_end += 1;
        trace::run_after_end(row.task, row.run, &cx.worker(ix).info.id);
    }
    lifecycle::order_stop(cx, ix, row.task, row.run, "its job has ended");
}

/// Decides about a run that this leader did not start or has released: it is kept if its task is
/// free, and stopped otherwise.
fn apply_unknown_run(cx: &mut State, ix: WorkerIx, row: &RunningTask) {
    let key = row.task;
    let Some(entry) = cx.jobs.get(&key.job) else {
        return stop_orphaned(cx, ix, row, "its job is not known");
    };
    let is_live = !entry.state.is_final();
    if is_live && entry.unreadable {
        return place_reported_run(cx, ix, row);
    }
    let state = entry.task(key).map(|t| t.state);
    match state {
        Some(TaskState::Unknown | TaskState::Pending | TaskState::Waiting) if is_live => {
            lifecycle::leave_pending(cx, key);
            adopt(cx, ix, row);
        }
        Some(TaskState::Active { run, .. }) if run == row.run => {
            trace::run_passed_over(key, run, &cx.worker(ix).info.id);
        }
        _ => stop_orphaned(cx, ix, row, "the task is done, ended or elsewhere"),
    }
}

/// Keeps a run that was found at its worker, such as one that a previous leader started.
fn adopt(cx: &mut State, ix: WorkerIx, row: &RunningTask) {
    let key = row.task;
    place_reported_run(cx, ix, row);
    let Some(task) = cx.task_mut(key) else { return };
    task.state = TaskState::Active { worker: ix, run: row.run };
    checkpoints::apply(cx, ix, key, row.run, row.checkpoint.as_deref());
    trace::run_adopted(key, row.run, &cx.worker(ix).info.id);
    let service = cx.worker(ix).info.service.clone();
    intake::infer_queue(cx, key.job, &service);
}

/// Puts a reported run on its worker, in place of any other run of the task that the leader
/// believed to be there.
fn place_reported_run(cx: &mut State, ix: WorkerIx, row: &RunningTask) {
    if let Some(old) = cx.worker(ix).slots.get(&row.task).map(|slot| slot.run) {
        lifecycle::vacate(cx, ix, row.task, old);
    }
    let (run, phase) = (row.run, Phase::Running);
    let (percent, reading, resumes_from) = (row.progress_percent, row.reading, None);
    lifecycle::occupy(cx, ix, row.task, Occupant { run, resumes_from, phase, percent, reading });
}

/// Stops an orphaned run. Its capacity stays reserved as long as its job is known.
fn stop_orphaned(cx: &mut State, ix: WorkerIx, row: &RunningTask, why: &'static str) {
    let held = cx.worker(ix).slots.get(&row.task).map(|s| s.run);
    if held == Some(row.run) {
        return;
    }
    // The slot of another run is never released for this run, because the start of that other run
    // may be in flight.
    if held.is_some() || !cx.jobs.contains_key(&row.task.job) {
        trace::stop_ordered(row.task, row.run, &cx.worker(ix).info.id, why);
        cx.actions.push(Action::Stop { worker: ix, task: row.task, run: row.run });
        return;
    }
    place_reported_run(cx, ix, row);
    lifecycle::order_stop(cx, ix, row.task, row.run, why);
}

/// Releases the runs that the worker had confirmed before this renewal was sent and that it lists
/// neither as running nor as ended.
fn release_missing(cx: &mut State, ix: WorkerIx, sent: Instant, report: &WorkerReport) {
    if report.ends.len() >= MAX_ENDS_PER_REPORT {
        return;
    }
    let listed = |key: &TaskKey, run: Run| {
        report.running.iter().any(|row| row.task == *key && row.run == run)
    };
    let worker = cx.worker(ix);
    let before_renewal = |at: Option<Instant>| at.is_some_and(|at| at < sent);
    let must_be_listed = |slot: &Slot| match slot.phase {
        Phase::Running => before_renewal(slot.confirmed),
        Phase::Stopping => {
            (before_renewal(slot.confirmed) || before_renewal(slot.stop_confirmed))
                && slot.ordered_at < sent
        }
        Phase::Starting | Phase::Uncertain => false,
    };
    let missing: Vec<(TaskKey, Run)> = worker
        .slots
        .iter()
        .filter(|(key, slot)| must_be_listed(slot) && !listed(key, slot.run))
        .map(|(key, slot)| (*key, slot.run))
        .collect();
    for (key, run) in missing {
        lifecycle::requeue(cx, ix, key, run, ReleaseProof::NotListed);
    }
}

/// The most ends that a worker lists in one report. A report with that many may have left out
/// further ends.
const MAX_ENDS_PER_REPORT: usize = 500;
