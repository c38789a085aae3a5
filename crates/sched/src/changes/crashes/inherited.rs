//! Finds crashes that happened under previous leaders.

use gaplock_jobs::progress::TaskRecord;
use gaplock_jobs::{JobKey, TaskKey};
use gaplock_types::ids;
use rustc_hash::FxHashSet;

use super::evidence::{hold_task_until_saved, record_loss, record_possible_crash, WorkerLoss};
use crate::changes::commits;
use crate::decisions::losses::{self, Loss, START_CRASH_WINDOW};
use crate::interface::message::WorkerIx;
use crate::state::crash_evidence::{CrashEvidence, RecordedStart};
use crate::state::job_table::TaskState;
use crate::state::State;

/// How many tasks may be held back because of the loss of a worker whose tasks are unknown. If more
/// tasks could have been there, none of them waits until the possible crash is stored.
const MAX_HELD_BACK: usize = 64;

/// For how many tasks such a loss may be recorded as a possible crash: each of them changes the
/// record of its job. If more tasks could have been there, the loss says nothing about any of them.
const MAX_POSSIBLE_CRASHES: usize = 1_000;

/// Restores what a previous leader stored about a task's crashes.
pub fn restore_crash_evidence(record: &TaskRecord) -> Option<Box<CrashEvidence>> {
    let (crashed, possible_crash) = (record.crashed.clone(), record.perhaps_crashed.clone());
    if crashed.is_empty() && possible_crash.is_none() {
        return None;
    }
    let recorded_start = match &record.started {
        None => RecordedStart::Unrecorded,
        Some(workers) => workers.first().cloned().map_or(RecordedStart::Nowhere, RecordedStart::At),
    };
    Some(Box::new(CrashEvidence {
        crashed,
        possible_crash,
        recorded_start,
        ..CrashEvidence::default()
    }))
}

/// Registers the suspects of a restored job.
pub fn register_suspects(cx: &mut State, job: JobKey) {
    let Some(entry) = cx.jobs.get_mut(&job) else { return };
    let gangs: Vec<bool> = entry.job.steps.iter().map(|step| step.gang).collect();
    for (key, task) in entry.keyed_tasks_mut() {
        let Some(evidence) = &mut task.crash_evidence else { continue };
        evidence.exempt_from_trial = gangs[usize::from(key.step)];
        for worker in evidence.crashed.iter().chain(&evidence.possible_crash) {
            cx.crashes.add(key, worker);
        }
    }
}

/// Counts a worker that a new leader could not find against the tasks that it is known to have
/// held.
pub fn count_loss_of_holder(cx: &mut State, ix: WorkerIx, held: &[TaskKey], terminated: bool) {
    if losses::was_leaving(cx.worker(ix)) {
        return;
    }
    let id = cx.worker(ix).info.id.clone();
    let loss = if terminated { Loss::Crashed } else { Loss::Silent };
    let worker_loss = WorkerLoss { worker: &id, loss, ..crash_of_unknown_runtime(&id, held.len()) };
    for &key in held {
        if cx.task(key).is_some_and(|t| t.state == TaskState::Unknown) {
            record_loss(cx, key, &worker_loss);
        }
    }
}

/// Describes a crash of runs that a previous leader started: how long they ran is not known.
fn crash_of_unknown_runtime(worker: &ids::WorkerId, lost_together: usize) -> WorkerLoss<'_> {
    let (loss, known_runtime, confirmed, only_its_job) =
        (Loss::Crashed, START_CRASH_WINDOW, false, false);
    WorkerLoss { worker, loss, known_runtime, confirmed, lost_together, only_its_job }
}

/// Counts the loss of workers that may have run any task, as found by a new leader. `not_found` are
/// the tasks that it found on no other worker: each of them may have run on a lost worker, or may
/// have been waiting. For a suspect whose starts are stored it is known which. Any other task gets
/// a possible crash the first time and a counted crash the second time, so that at most one crash
/// is forgotten.
pub fn count_losses_without_holder(
    cx: &mut State,
    lost: &[WorkerIx],
    not_found: &FxHashSet<TaskKey>,
) {
    let not_found = count_recorded_starts(cx, lost, not_found);
    let crashed = lost.iter().find(|&&ix| !losses::was_leaving(cx.worker(ix)));
    let Some(&ix) = crashed else { return };
    let id = cx.worker(ix).info.id.clone();
    let has_possible_crash = |key: &TaskKey| {
        let evidence = cx.task(*key).and_then(|t| t.crash_evidence.as_ref());
        evidence.is_some_and(|s| s.possible_crash.is_some())
    };
    let (second_time, first_time): (Vec<TaskKey>, Vec<TaskKey>) =
        not_found.iter().partition(|key| has_possible_crash(key));
    let worker_loss = crash_of_unknown_runtime(&id, not_found.len());
    second_time.into_iter().for_each(|key| record_loss(cx, key, &worker_loss));
    let (few, too_many) =
        (first_time.len() <= MAX_HELD_BACK, first_time.len() > MAX_POSSIBLE_CRASHES);
    for key in first_time {
        if too_many || !record_possible_crash(cx, key, &id) {
            continue;
        }
        mark_not_started(cx, key);
        if few {
            hold_task_until_saved(cx, key);
        } else {
            commits::mark_dirty(&mut cx.commits, cx.now, key.job);
        }
    }
}

/// Counts terminated workers against the suspects that are stored as started there. Returns the
/// tasks for which no start is stored.
fn count_recorded_starts(
    cx: &mut State,
    lost: &[WorkerIx],
    not_found: &FxHashSet<TaskKey>,
) -> FxHashSet<TaskKey> {
    let crashed = lost.iter().map(|&ix| cx.worker(ix)).filter(|w| !losses::was_leaving(w));
    let crashed: Vec<ids::WorkerId> = crashed.map(|w| w.info.id.clone()).collect();
    let mut unrecorded = FxHashSet::default();
    for &key in not_found {
        let evidence = cx.task(key).and_then(|t| t.crash_evidence.as_ref());
        match evidence.map(|s| s.recorded_start.clone()).unwrap_or_default() {
            RecordedStart::Unrecorded => {
                unrecorded.insert(key);
            }
            RecordedStart::At(id) if crashed.contains(&id) => {
                record_loss(cx, key, &crash_of_unknown_runtime(&id, 1));
            }
            RecordedStart::Nowhere | RecordedStart::At(_) => {}
        }
    }
    unrecorded
}

/// Records that a suspect has not been started, so that its next start is stored before it is sent.
fn mark_not_started(cx: &mut State, key: TaskKey) {
    if let Some(evidence) = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut()) {
        evidence.recorded_start = RecordedStart::Nowhere;
    }
}
