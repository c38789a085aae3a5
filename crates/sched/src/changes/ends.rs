//! Applies the ends of runs that workers list to the task, the job and the worker.

use gaplock_jobs::progress::JobState;
use gaplock_jobs::TaskKey;
use gaplock_overload::account::CoreMillis;
use gaplock_types::time::Millis;

use crate::changes::{checkpoints, commits, lifecycle, speed, trace};
use crate::interface::message::{EndCause, Run, RunEnd, WorkerIx};
use crate::state::job_table::TaskState;
use crate::state::State;

/// Applies those of a worker's listed ends that are new.
pub fn apply(cx: &mut State, ix: WorkerIx, ends: &[RunEnd]) {
    for end in ends {
        let worker = cx.worker(ix);
        if end.seq <= worker.recorded_up_to {
            if worker.slots.get(&end.task).is_some_and(|slot| slot.run == end.run) {
                trace::end_passed_over(end, &worker.info.id, worker.recorded_up_to);
            }
            continue;
        }
        cx.worker_mut(ix).recorded_up_to = end.seq;
        apply_end(cx, ix, end);
    }
}

/// Releases the capacity of a run that ended, and decides what happens to its task.
fn apply_end(cx: &mut State, ix: WorkerIx, end: &RunEnd) {
    let was_active = cx.is_active(end.task, ix, end.run);
    let saved = checkpoints::apply(cx, ix, end.task, end.run, end.checkpoint.as_deref());
    let slot = lifecycle::vacate(cx, ix, end.task, end.run);
    let work = slot.as_ref().and_then(|slot| slot.work_done(cx.now));
    if let Some(slot) = slot.filter(|_| end.cause == EndCause::Done) {
        speed::observe_end(cx, ix, end.task, &slot);
        speed::record_estimate_ratio(cx, end.task, &slot);
    }
    trace::run_ended(end, &cx.worker(ix).info.id, was_active);
    let Some(entry) = cx.jobs.get(&end.task.job) else { return };
    if entry.state.is_final() {
        return;
    }
    if saved {
        // The worker drops the checkpoint once the end is acknowledged, so it must be stored even
        // if a newer run of the task is running.
        commits::mark_dirty(&mut cx.commits, cx.now, end.task.job);
    }
    match end.cause {
        EndCause::Done => apply_done(cx, ix, (end.task, end.run), work),
        EndCause::Failed => apply_failed(cx, ix, end.task, end.run, was_active),
        EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {
            if was_active {
                lifecycle::make_pending(cx, end.task, Millis(0));
            }
        }
    }
}

/// Marks a task as done, together with its whole gang, and stops other runs of it. `work` is the
/// work that the run took, if it is known.
fn apply_done(cx: &mut State, ix: WorkerIx, (key, run): (TaskKey, Run), work: Option<CoreMillis>) {
    let worker = cx.worker_mut(ix);
    worker.failures = 0;
    worker.quarantines = 0;
    let Some(step) = cx.step(key) else { return };
    if step.lasting {
        // A long-running task is started again however it ends.
        if cx.is_active(key, ix, run) {
            lifecycle::make_pending(cx, key, Millis(0));
        }
        return;
    }
    let gang = step.gang;
    let members = if gang { step.count } else { 0 };
    stop_other_runs(cx, ix, key, run);
    lifecycle::finish_task(cx, key, work);
    // The members of a gang end together, so the end of one counts for all of them.
    for index in 0..members {
        lifecycle::finish_task(cx, TaskKey { index, ..key }, work);
    }
}

/// Stops the other runs of a task.
fn stop_other_runs(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run) {
    let Some(task) = cx.task(key) else { return };
    let active = match task.state {
        TaskState::Active { worker, run } => Some((worker, run)),
        _ => None,
    };
    for (worker, other) in [active, task.slow_run].into_iter().flatten() {
        if (worker, other) != (ix, run) {
            lifecycle::order_stop(cx, worker, key, other, "done elsewhere");
        }
    }
}

/// Counts a failure, only once even if several leaders see it, and ends the job or starts the task
/// again.
fn apply_failed(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run, was_active: bool) {
    let Some(entry) = cx.jobs.get_mut(&key.job) else { return };
    let (long_running, max_attempts) =
        (entry.step(key).is_some_and(|s| s.lasting), entry.max_attempts);
    let Some(task) = entry.task_mut(key) else { return };
    if task.state == TaskState::Done || task.counted_runs.contains(&run) {
        return;
    }
    if task.counted_runs.len() == MAX_COUNTED_RUNS_PER_TASK {
        task.counted_runs.remove(0);
    }
    task.counted_runs.push(run);
    let is_first_in_row = task.consecutive_failures == 0;
    task.failed += 1;
    task.consecutive_failures += 1;
    task.failed_on = Some(ix);
    let (failed, consecutive) = (task.failed, task.consecutive_failures);
    commits::mark_dirty(&mut cx.commits, cx.now, key.job);
    // A task that can never succeed fails on every worker, so only its first failure in a row
    // counts against the worker.
    if is_first_in_row {
        count_worker_failure(cx, ix);
    }
    if !long_running && failed >= max_attempts {
        trace::attempts_used_up(key, failed, max_attempts);
        lifecycle::end_job(cx, key.job, JobState::Failed);
    } else if was_active {
        let pause = lifecycle::retry_backoff(cx, consecutive);
        lifecycle::make_pending(cx, key, pause);
    }
}

/// How many counted failed runs are remembered per task. A task that is not long-running has fewer
/// attempts. A long-running task fails without limit, but the ends of its old runs have long been
/// acknowledged.
const MAX_COUNTED_RUNS_PER_TASK: usize = 8;

/// How often the quarantine of a worker is doubled at most.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

/// Counts a failure against a worker. After several failures the worker is quarantined: it gets no
/// new tasks for a while.
fn count_worker_failure(cx: &mut State, ix: WorkerIx) {
    let (now, limit, quarantine) =
        (cx.now, cx.settings.max_worker_failures, cx.settings.quarantine);
    let worker = cx.worker_mut(ix);
    worker.failures += 1;
    if worker.failures < limit {
        return;
    }
    worker.failures = 0;
    let span = Millis(quarantine.0 << worker.quarantines.min(MAX_QUARANTINE_DOUBLINGS));
    worker.quarantines += 1;
    worker.avoid_until = now + span;
    trace::worker_quarantined(&worker.info.id, span);
}
