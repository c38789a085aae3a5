//! Resolves the evidence against suspects: it is taken back, expires, or proves that the task
//! crashes its workers.

use gaplock_jobs::progress::JobState;
use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::Millis;

use crate::changes::{commits, lifecycle, trace};
use crate::decisions::losses::{self, CLEARED_AFTER};
use crate::interface::message::WorkerIx;
use crate::state::crash_evidence::Saved;
use crate::state::job_table::TaskState;
use crate::state::worker::Worker;
use crate::state::State;

/// How long the directory may go on listing a silent worker that has crashed. Its entry lapses
/// after three heartbeats, and a change takes half a second to reach the scheduler.
const MAX_LISTING_LAG: Millis = Millis(10_000);

/// How long a silent worker that the directory lists counts against its tasks. It is most likely
/// partitioned from this leader. But if its silence were forgotten soon, a task that did crash it
/// would be started again without end.
const SILENCE_EXPIRY: Millis = Millis(600_000);

/// Handles the termination of a worker of which only its silence was known.
pub fn worker_terminated(cx: &mut State, ix: WorkerIx) {
    if !losses::was_leaving(cx.worker(ix)) {
        resolve(cx, ix, true);
    }
}

/// Handles an answer of a worker: it did not crash.
pub fn worker_answers(cx: &mut State, ix: WorkerIx) {
    resolve(cx, ix, false);
}

/// Resolves the losses of a worker as crashes or not, for all tasks that it ran.
fn resolve(cx: &mut State, ix: WorkerIx, crashed: bool) {
    let id = cx.worker(ix).info.id.clone();
    for key in cx.crashes.by_worker.get(&id).cloned().unwrap_or_default() {
        resolve_for(cx, key, &id, crashed);
    }
}

fn resolve_for(cx: &mut State, key: TaskKey, worker: &ids::WorkerId, crashed: bool) {
    let now = cx.now;
    let Some(evidence) = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut()) else { return };
    let stored = evidence.to_store();
    if !evidence.resolve(worker, crashed) {
        return;
    }
    let remaining_losses = evidence.possible_losses();
    if evidence.to_store() != stored {
        evidence.saved = Saved::No;
        commits::mark_dirty(&mut cx.commits, now, key.job);
    }
    trace::suspicion_settled(key, worker, crashed, remaining_losses);
    if remaining_losses == 0 {
        clear(cx, key);
    }
}

/// Drops all evidence against a task.
fn clear(cx: &mut State, key: TaskKey) {
    cx.crashes.suspects.remove(&key);
    if let Some(task) = cx.task_mut(key) {
        task.crash_evidence = None;
    }
    cx.pass_wanted = true;
}

/// How often suspects are checked. A suspect that must not start does not start between two checks
/// either.
const CHECK_INTERVAL: Millis = Millis(200);

/// Resolves workers that have been silent for long, clears tasks that have been running for long,
/// and fails the jobs of tasks that have crashed too many workers.
pub fn check(cx: &mut State) {
    if cx.now.since(cx.crashes.last_checked) < CHECK_INTERVAL {
        return;
    }
    cx.crashes.last_checked = cx.now;
    cx.crashes.evict_old(cx.now);
    let suspects: Vec<TaskKey> = cx.crashes.suspects.iter().copied().collect();
    for key in suspects {
        resolve_silent(cx, key);
        let live = cx.jobs.get(&key.job).is_some_and(|entry| !entry.state.is_final());
        let task = cx.task(key).filter(|t| live && t.state != TaskState::Done);
        let Some(evidence) = task.and_then(|t| t.crash_evidence.as_ref()) else {
            cx.crashes.suspects.remove(&key);
            continue;
        };
        let crashes = evidence.crashed.len();
        if evidence.is_proven() {
            trace::crashes_used_up(key, crashes);
            lifecycle::end_job(cx, key.job, JobState::Failed);
        } else if has_run_long_enough(cx, key) {
            trace::task_cleared(key, crashes);
            clear(cx, key);
            commits::mark_dirty(&mut cx.commits, cx.now, key.job);
        }
    }
}

/// Resolves workers that have been silent for so long that the directory shows what became of them.
fn resolve_silent(cx: &mut State, key: TaskKey) {
    let now = cx.now;
    let Some(evidence) = cx.task(key).and_then(|t| t.crash_evidence.as_ref()) else { return };
    let mut crashed: Vec<ids::WorkerId> = Vec::new();
    let mut expired: Vec<ids::WorkerId> = Vec::new();
    for (id, since) in &evidence.silent {
        let silent_for = now.since((*since).max(cx.directory_recovered_at));
        let worker = cx.by_id.get(id).map(|&ix| cx.worker(ix));
        if silent_for >= SILENCE_EXPIRY || worker.is_some_and(losses::was_leaving) {
            expired.push(id.clone());
        } else if silent_for >= MAX_LISTING_LAG && !worker.is_some_and(is_listed) {
            crashed.push(id.clone());
        }
    }
    crashed.iter().for_each(|id| resolve_for(cx, key, id, true));
    expired.iter().for_each(|id| resolve_for(cx, key, id, false));
}

fn is_listed(worker: &Worker) -> bool {
    !worker.terminated && !worker.is_absent()
}

/// Returns whether a task's run has been running for long enough to clear the task.
fn has_run_long_enough(cx: &State, key: TaskKey) -> bool {
    let Some(TaskState::Active { worker, .. }) = cx.task(key).map(|t| t.state) else {
        return false;
    };
    let worker = cx.worker(worker);
    let last_answer = worker.clock.map(|(last_answer, _)| last_answer);
    worker
        .slots
        .get(&key)
        .is_some_and(|slot| losses::known_runtime(slot, last_answer) >= CLEARED_AFTER)
}
