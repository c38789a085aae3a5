//! What a successor finds out about crashes under its predecessors.

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

/// How many tasks may be held back for the loss of a worker of which nobody knows what it ran. Where more
/// could have been there, nothing waits for the doubt to be stored.
const MAX_HELD_BACK: usize = 64;

/// How many tasks may be doubted for such a loss: each changes its job's record. Where more could have
/// been there, the loss says nothing of any of them.
const MAX_POSSIBLE_CRASHES: usize = 1_000;

/// Puts what a former leader stored of a task's crashes back.
pub fn restore_suspicion(note: &TaskRecord) -> Option<Box<CrashEvidence>> {
    let (crashed, perhaps) = (note.crashed.clone(), note.perhaps_crashed.clone());
    if crashed.is_empty() && perhaps.is_none() {
        return None;
    }
    let started = match &note.started {
        None => RecordedStart::Unrecorded,
        Some(workers) => workers.first().cloned().map_or(RecordedStart::Nowhere, RecordedStart::At),
    };
    Some(Box::new(CrashEvidence {
        crashed,
        possible_crash: perhaps,
        recorded_start: started,
        ..CrashEvidence::default()
    }))
}

/// Finds the suspects of a job that was restored.
pub fn register_suspects(cx: &mut State, job: JobKey) {
    let Some(entry) = cx.jobs.get_mut(&job) else { return };
    let gangs: Vec<bool> = entry.job.steps.iter().map(|step| step.gang).collect();
    for (key, task) in entry.keyed_tasks_mut() {
        let Some(suspicion) = &mut task.crash_evidence else { continue };
        suspicion.exempt_from_trial = gangs[usize::from(key.step)];
        for worker in suspicion.crashed.iter().chain(&suspicion.possible_crash) {
            cx.crashes.add(key, worker);
        }
    }
}

/// Counts a worker that a successor could not find against the tasks that it is known to have held.
pub fn count_loss_of_holder(cx: &mut State, ix: WorkerIx, held: &[TaskKey], gone: bool) {
    if losses::was_leaving(cx.worker(ix)) {
        return;
    }
    let id = cx.worker(ix).info.id.clone();
    let loss = if gone { Loss::Crashed } else { Loss::Silent };
    let worker_loss = WorkerLoss { worker: &id, loss, ..crash_of_unknown_runtime(&id, held.len()) };
    for &key in held {
        if cx.task(key).is_some_and(|t| t.state == TaskState::Unknown) {
            record_loss(cx, key, &worker_loss);
        }
    }
}

/// Builds the evidence of a crash whose runs a former leader started: how long they lived is not known.
fn crash_of_unknown_runtime(worker: &ids::WorkerId, together: usize) -> WorkerLoss<'_> {
    let (loss, lived, confirmed, alone) = (Loss::Crashed, START_CRASH_WINDOW, false, false);
    WorkerLoss {
        worker,
        loss,
        known_runtime: lived,
        confirmed,
        lost_together: together,
        only_its_job: alone,
    }
}

/// Takes in that a successor has found workers gone that may have run any task, and these tasks at no
/// other one: each of them may have been there, or may have waited. Of a suspect whose starts are stored it
/// is known. Another one of which that has been supposed once is counted the second time, so that no more
/// than one crash is forgotten.
pub fn count_losses_without_holder(
    cx: &mut State,
    lost: &[WorkerIx],
    unfound: &FxHashSet<TaskKey>,
) {
    let unfound = count_recorded_starts(cx, lost, unfound);
    let crashed = lost.iter().find(|&&ix| !losses::was_leaving(cx.worker(ix)));
    let Some(&ix) = crashed else { return };
    let id = cx.worker(ix).info.id.clone();
    let doubted = |key: &TaskKey| {
        let suspicion = cx.task(*key).and_then(|t| t.crash_evidence.as_ref());
        suspicion.is_some_and(|s| s.possible_crash.is_some())
    };
    let (twice, others): (Vec<TaskKey>, Vec<TaskKey>) =
        unfound.iter().partition(|key| doubted(key));
    let worker_loss = crash_of_unknown_runtime(&id, unfound.len());
    twice.into_iter().for_each(|key| record_loss(cx, key, &worker_loss));
    let (few, too_many) = (others.len() <= MAX_HELD_BACK, others.len() > MAX_POSSIBLE_CRASHES);
    for key in others {
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

/// Counts workers that are gone against the suspects that are stored as started there, and returns the tasks of
/// which nothing is stored.
fn count_recorded_starts(
    cx: &mut State,
    lost: &[WorkerIx],
    unfound: &FxHashSet<TaskKey>,
) -> FxHashSet<TaskKey> {
    let crashed = lost.iter().map(|&ix| cx.worker(ix)).filter(|w| !losses::was_leaving(w));
    let crashed: Vec<ids::WorkerId> = crashed.map(|w| w.info.id.clone()).collect();
    let mut unknown = FxHashSet::default();
    for &key in unfound {
        let suspicion = cx.task(key).and_then(|t| t.crash_evidence.as_ref());
        match suspicion.map(|s| s.recorded_start.clone()).unwrap_or_default() {
            RecordedStart::Unrecorded => {
                unknown.insert(key);
            }
            RecordedStart::At(id) if crashed.contains(&id) => {
                record_loss(cx, key, &crash_of_unknown_runtime(&id, 1));
            }
            RecordedStart::Nowhere | RecordedStart::At(_) => {}
        }
    }
    unknown
}

/// Notes that a suspect waits, so that its next start is stored before it is sent.
fn mark_not_started(cx: &mut State, key: TaskKey) {
    if let Some(suspicion) = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut()) {
        suspicion.recorded_start = RecordedStart::Nowhere;
    }
}
