//! What becomes of a suspicion: taken back, forgotten, or proven.

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

/// How long the directory may go on listing a silent worker that has crashed: its entry lapses after
/// three heartbeats, and a change takes half a second to reach us.
const MAX_LISTING_LAG: Millis = Millis(10_000);

/// How long a silent worker that the directory lists speaks against its tasks. It is most likely cut off
/// from here; but what crashed it would be started without end if its silence were forgotten soon.
const SILENCE_EXPIRY: Millis = Millis(600_000);

/// Takes in that a worker's incarnation is over of which nothing was known but its silence.
pub fn worker_terminated(cx: &mut State, ix: WorkerIx) {
    if !losses::was_leaving(cx.worker(ix)) {
        resolve(cx, ix, true);
    }
}

/// Takes in that a worker answers: it did not crash.
pub fn worker_answers(cx: &mut State, ix: WorkerIx) {
    resolve(cx, ix, false);
}

/// Settles the losses of a worker, one way or the other, for all tasks that it ran.
fn resolve(cx: &mut State, ix: WorkerIx, crashed: bool) {
    let id = cx.worker(ix).info.id.clone();
    for key in cx.crashes.by_worker.get(&id).cloned().unwrap_or_default() {
        resolve_for(cx, key, &id, crashed);
    }
}

fn resolve_for(cx: &mut State, key: TaskKey, worker: &ids::WorkerId, crashed: bool) {
    let now = cx.now;
    let Some(suspicion) = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut()) else { return };
    let stored = suspicion.to_store();
    if !suspicion.resolve(worker, crashed) {
        return;
    }
    let level = suspicion.possible_losses();
    if suspicion.to_store() != stored {
        suspicion.saved = Saved::No;
        commits::mark_dirty(&mut cx.commits, now, key.job);
    }
    trace::suspicion_settled(key, worker, crashed, level);
    if level == 0 {
        clear(cx, key);
    }
}

/// Drops all suspicion of a task.
fn clear(cx: &mut State, key: TaskKey) {
    cx.crashes.suspects.remove(&key);
    if let Some(task) = cx.task_mut(key) {
        task.crash_evidence = None;
    }
    cx.pass_wanted = true;
}

/// How often suspects are looked at; none of them starts meanwhile that must not.
const CHECK_EVERY: Millis = Millis(200);

/// Does what time alone calls for: judges silent workers, clears tasks that have been at work for long,
/// and fails the jobs of those that have crashed too many workers.
pub fn check(cx: &mut State) {
    if cx.now.since(cx.crashes.last_checked) < CHECK_EVERY {
        return;
    }
    cx.crashes.last_checked = cx.now;
    cx.crashes.evict_old(cx.now);
    let suspects: Vec<TaskKey> = cx.crashes.suspects.iter().copied().collect();
    for key in suspects {
        resolve_silent(cx, key);
        let live = cx.jobs.get(&key.job).is_some_and(|entry| !entry.state.is_final());
        let task = cx.task(key).filter(|t| live && t.state != TaskState::Done);
        let Some(suspicion) = task.and_then(|t| t.crash_evidence.as_ref()) else {
            cx.crashes.suspects.remove(&key);
            continue;
        };
        let crashes = suspicion.crashed.len();
        if suspicion.is_proven() {
            trace::crashes_used_up(key, crashes);
            lifecycle::end_job(cx, key.job, JobState::Failed);
        } else if has_run_long_enough(cx, key) {
            trace::task_cleared(key, crashes);
            clear(cx, key);
            commits::mark_dirty(&mut cx.commits, cx.now, key.job);
        }
    }
}

/// Decides about workers that have been silent for so long that the directory tells what became of them.
fn resolve_silent(cx: &mut State, key: TaskKey) {
    let now = cx.now;
    let Some(suspicion) = cx.task(key).and_then(|t| t.crash_evidence.as_ref()) else { return };
    let mut crashed: Vec<ids::WorkerId> = Vec::new();
    let mut forgotten: Vec<ids::WorkerId> = Vec::new();
    for (id, since) in &suspicion.silent {
        let for_so_long = now.since((*since).max(cx.directory_recovered_at));
        let worker = cx.by_id.get(id).map(|&ix| cx.worker(ix));
        if for_so_long >= SILENCE_EXPIRY || worker.is_some_and(losses::was_leaving) {
            forgotten.push(id.clone());
        } else if for_so_long >= MAX_LISTING_LAG && !worker.is_some_and(is_listed) {
            crashed.push(id.clone());
        }
    }
    crashed.iter().for_each(|id| resolve_for(cx, key, id, true));
    forgotten.iter().for_each(|id| resolve_for(cx, key, id, false));
}

fn is_listed(worker: &Worker) -> bool {
    !worker.terminated && !worker.is_absent()
}

/// Tells whether a task's run has been at work for so long that it speaks for the task.
fn has_run_long_enough(cx: &State, key: TaskKey) -> bool {
    let Some(TaskState::Active { worker, .. }) = cx.task(key).map(|t| t.state) else {
        return false;
    };
    let worker = cx.worker(worker);
    let heard = worker.clock.map(|(heard, _)| heard);
    worker.slots.get(&key).is_some_and(|slot| losses::known_runtime(slot, heard) >= CLEARED_AFTER)
}
