//! Counts the loss of a worker against the tasks that it ran.

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::Millis;

use crate::changes::{commits, trace};
use crate::decisions::losses::{self, BlamedTask, Loss, START_CRASH_WINDOW};
use crate::interface::message::WorkerIx;
use crate::state::crash_evidence::{RecordedStart, Saved};
use crate::state::job_table::TaskState;
use crate::state::State;

/// A worker's loss, as it speaks against one of the tasks that ran there.
#[derive(Debug, Clone)]
pub(super) struct WorkerLoss<'a> {
    pub(super) worker: &'a ids::WorkerId,
    pub(super) loss: Loss,
    /// How long the run was known to have been at work.
    pub(super) known_runtime: Millis,
    /// Whether the worker ever confirmed the run; a start without an answer may not have reached it.
    pub(super) confirmed: bool,
    /// How many runs were lost together.
    pub(super) lost_together: usize,
    /// Whether nothing but tasks of its job was lost.
    pub(super) only_its_job: bool,
}

/// Takes in that all runs at a worker are being given up; `gone` if its incarnation is certainly over.
pub fn worker_lost(cx: &mut State, ix: WorkerIx, gone: bool) {
    let worker = cx.worker(ix);
    let Some(loss) = losses::loss_of(worker, gone).filter(|_| !worker.slots.is_empty()) else {
        return;
    };
    let (id, addr) = (worker.info.id.clone(), worker.info.addr.clone());
    let (together, blamed) = (worker.slots.len(), losses::tasks_to_blame(worker));
    let many = losses::is_mass_loss(cx);
    if loss == Loss::Crashed {
        cx.crashes.last_crash_by_addr.insert(addr, cx.now);
    }
    for BlamedTask { key, confirmed, known_runtime: lived } in blamed {
        if many && !cx.crashes.suspects.contains(&key) {
            // Nothing waits for this to be stored: after the loss of a failure domain it is hundreds.
            if record_possible_crash(cx, key, &id) && lived < START_CRASH_WINDOW {
                commits::mark_dirty(&mut cx.commits, cx.now, key.job);
            }
            continue;
        }
        let alone = cx.worker(ix).slots.keys().all(|other| other.job == key.job);
        record_loss(
            cx,
            key,
            &WorkerLoss {
                worker: &id,
                loss,
                known_runtime: lived,
                confirmed,
                lost_together: together,
                only_its_job: alone,
            },
        );
    }
}

/// Counts a lost worker against a task.
pub(super) fn record_loss(cx: &mut State, key: TaskKey, worker_loss: &WorkerLoss<'_>) {
    let (now, worker, loss) = (cx.now, worker_loss.worker, worker_loss.loss);
    let is_gang = cx.step(key).is_some_and(|step| step.gang);
    let live = cx.jobs.get(&key.job).is_some_and(|entry| !entry.state.is_final());
    let Some(task) = cx.task_mut(key).filter(|t| live && t.state != TaskState::Done) else {
        return;
    };
    let suspicion = task.crash_evidence.get_or_insert_default();
    if suspicion.involves(worker) {
        return;
    }
    match loss {
        Loss::Crashed => suspicion.crashed.push(worker.clone()),
        Loss::Silent => suspicion.silent.push((worker.clone(), now)),
    }
    suspicion.recorded_start = match loss {
        Loss::Crashed => RecordedStart::Nowhere,
        Loss::Silent => RecordedStart::At(worker.clone()),
    };
    let first = suspicion.crashed.len() + suspicion.silent.len() == 1;
    let at_start = worker_loss.confirmed && worker_loss.known_runtime < START_CRASH_WINDOW;
    suspicion.all_at_start = at_start && (first || suspicion.all_at_start);
    (suspicion.last_run_duration, suspicion.exempt_from_trial) =
        (worker_loss.known_runtime, is_gang);
    suspicion.last_was_alone = worker_loss.only_its_job;
    let crashes = suspicion.crashed.len();
    if loss == Loss::Crashed {
        suspicion.saved = Saved::No;
        commits::mark_dirty_urgent(&mut cx.commits, now, key.job);
    }
    cx.crashes.add(key, worker);
    let (lived, together) = (worker_loss.known_runtime, worker_loss.lost_together);
    trace::task_suspected(key, worker, loss, crashes, lived, together);
}

/// Notes that a worker may have crashed under a task; whether the task may still start.
pub(super) fn record_possible_crash(cx: &mut State, key: TaskKey, worker: &ids::WorkerId) -> bool {
    let live = cx.jobs.get(&key.job).is_some_and(|entry| !entry.state.is_final());
    let Some(task) = cx.task_mut(key).filter(|t| live && t.state != TaskState::Done) else {
        return false;
    };
    let suspicion = task.crash_evidence.get_or_insert_default();
    suspicion.possible_crash = Some(worker.clone());
    suspicion.exempt_from_trial = true;
    cx.crashes.add(key, worker);
    trace::task_doubted(key, worker);
    true
}

/// Holds a task back until what is known of it is stored, and lets it be tried alone.
pub(super) fn hold_task_until_saved(cx: &mut State, key: TaskKey) {
    let now = cx.now;
    let is_gang = cx.step(key).is_some_and(|step| step.gang);
    let Some(suspicion) = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut()) else { return };
    (suspicion.saved, suspicion.exempt_from_trial) = (Saved::No, is_gang);
    commits::mark_dirty_urgent(&mut cx.commits, now, key.job);
}
