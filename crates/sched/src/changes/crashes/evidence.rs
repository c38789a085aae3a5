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

/// The loss of a worker, as it counts against one of the tasks that ran there.
#[derive(Debug, Clone)]
pub(super) struct WorkerLoss<'a> {
    pub(super) worker: &'a ids::WorkerId,
    pub(super) loss: Loss,
    /// How long the run is known to have been running.
    pub(super) known_runtime: Millis,
    /// Whether the worker ever confirmed the run. A start without an answer may not have reached
    /// the worker.
    pub(super) confirmed: bool,
    /// How many runs were lost together.
    pub(super) lost_together: usize,
    /// Whether only runs of the task's job were lost.
    pub(super) only_its_job: bool,
}

/// Handles the loss of a worker, all of whose runs are being abandoned. `terminated` says whether
/// its incarnation is certainly over.
pub fn worker_lost(cx: &mut State, ix: WorkerIx, terminated: bool) {
    let worker = cx.worker(ix);
    let Some(loss) = losses::loss_of(worker, terminated).filter(|_| !worker.slots.is_empty())
    else {
        return;
    };
    let (id, addr) = (worker.info.id.clone(), worker.info.addr.clone());
    let (lost_together, blamed) = (worker.slots.len(), losses::tasks_to_blame(worker));
    let many = losses::is_mass_loss(cx);
    if loss == Loss::Crashed {
        cx.crashes.last_crash_by_addr.insert(addr, cx.now);
    }
    for BlamedTask { key, confirmed, known_runtime } in blamed {
        if many && !cx.crashes.suspects.contains(&key) {
            // No start waits until this is stored: after the loss of a failure domain there are
            // hundreds of such tasks.
            if record_possible_crash(cx, key, &id) && known_runtime < START_CRASH_WINDOW {
                commits::mark_dirty(&mut cx.commits, cx.now, key.job);
            }
            continue;
        }
        let only_its_job = cx.worker(ix).slots.keys().all(|other| other.job == key.job);
        record_loss(
            cx,
            key,
            &WorkerLoss {
                worker: &id,
                loss,
                known_runtime,
                confirmed,
                lost_together,
                only_its_job,
            },
        );
    }
}

/// Counts the loss of a worker against a task.
pub(super) fn record_loss(cx: &mut State, key: TaskKey, worker_loss: &WorkerLoss<'_>) {
    let (now, worker, loss) = (cx.now, worker_loss.worker, worker_loss.loss);
    let is_gang = cx.step(key).is_some_and(|step| step.gang);
    let live = cx.jobs.get(&key.job).is_some_and(|entry| !entry.state.is_final());
    let Some(task) = cx.task_mut(key).filter(|t| live && t.state != TaskState::Done) else {
        return;
    };
    let evidence = task.crash_evidence.get_or_insert_default();
    if evidence.involves(worker) {
        return;
    }
    match loss {
        Loss::Crashed => evidence.crashed.push(worker.clone()),
        Loss::Silent => evidence.silent.push((worker.clone(), now)),
    }
    evidence.recorded_start = match loss {
        Loss::Crashed => RecordedStart::Nowhere,
        Loss::Silent => RecordedStart::At(worker.clone()),
    };
    let first = evidence.crashed.len() + evidence.silent.len() == 1;
    let at_start = worker_loss.confirmed && worker_loss.known_runtime < START_CRASH_WINDOW;
    evidence.all_at_start = at_start && (first || evidence.all_at_start);
    (evidence.last_run_duration, evidence.exempt_from_trial) = (worker_loss.known_runtime, is_gang);
    evidence.last_was_alone = worker_loss.only_its_job;
    let crashes = evidence.crashed.len();
    if loss == Loss::Crashed {
        evidence.saved = Saved::No;
        commits::mark_dirty_urgent(&mut cx.commits, now, key.job);
    }
    cx.crashes.add(key, worker);
    let (known_runtime, lost_together) = (worker_loss.known_runtime, worker_loss.lost_together);
    trace::task_suspected(key, worker, loss, crashes, known_runtime, lost_together);
}

/// Records that a worker may have crashed under a task. Returns whether the task may still start.
pub(super) fn record_possible_crash(cx: &mut State, key: TaskKey, worker: &ids::WorkerId) -> bool {
    let live = cx.jobs.get(&key.job).is_some_and(|entry| !entry.state.is_final());
    let Some(task) = cx.task_mut(key).filter(|t| live && t.state != TaskState::Done) else {
        return false;
    };
    let evidence = task.crash_evidence.get_or_insert_default();
    evidence.possible_crash = Some(worker.clone());
    evidence.exempt_from_trial = true;
    cx.crashes.add(key, worker);
    trace::task_doubted(key, worker);
    true
}

/// Holds a task back until the evidence against it is stored, and requires a trial for its next
/// start, unless it belongs to a gang.
pub(super) fn hold_task_until_saved(cx: &mut State, key: TaskKey) {
    let now = cx.now;
    let is_gang = cx.step(key).is_some_and(|step| step.gang);
    let Some(evidence) = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut()) else { return };
    (evidence.saved, evidence.exempt_from_trial) = (Saved::No, is_gang);
    commits::mark_dirty_urgent(&mut cx.commits, now, key.job);
}
