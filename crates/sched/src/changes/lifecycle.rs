//! Changes of the state of tasks and jobs. Every other module makes them through these functions.

use std::sync::Arc;

use gaplock_jobs::progress::JobState;
use gaplock_jobs::{JobKey, Step, TaskKey};
use gaplock_overload::account::{ClassIx, CoreMillis};
use gaplock_policy::attempts::CallAttempts;
use gaplock_types::time::{Instant, Millis};

use crate::changes::pacing::{self, PaceOrders, FULL_PACE};
use crate::changes::{accounting, commits, scarcity, trace};
use crate::interface::message::{Action, Run, WorkerIx};
use crate::interface::proof::ReleaseProof;
use crate::state::checkpoint::Checkpoint;
use crate::state::class_shares::ClassPriority;
use crate::state::job_table::{self, JobEntry, ReadyStep, Round, Task, TaskState};
use crate::state::worker::{Phase, Slot, TaskRole};
use crate::state::State;

/// How much later than its objective a long-running step is due. Capacity that becomes free goes
/// first to work that ends soon and whose caller waits for it, as long as there is any.
const LONG_RUNNING_DUE_DELAY: Millis = Millis(600_000);

/// Builds the position of a step in the queue of steps with pending tasks.
fn ready_step(entry: &JobEntry, round: u32, step: u16) -> ReadyStep {
    let long_running = entry.job.steps.get(usize::from(step)).is_some_and(|s| s.lasting);
    let due = if long_running { entry.due + LONG_RUNNING_DUE_DELAY } else { entry.due };
    ReadyStep { priority: entry.priority, due, job: entry.job.key, round, step }
}

/// Makes a task wait for a worker, with a start after `pause` at the earliest.
pub fn make_pending(cx: &mut State, key: TaskKey, pause: Millis) {
    let now = cx.now;
    let Some(entry) = cx.jobs.get_mut(&key.job) else { return };
    if entry.state.is_final() {
        return;
    }
    let ready = ready_step(entry, key.round, key.step);
    let Some(task) = entry.task_mut(key) else { return };
    task.state = TaskState::Pending;
    task.not_before = now + pause;
    task.since = now;
    let is_suspect = task.crash_evidence.is_some();
    let has_checkpoint = task.checkpoint.is_some();
    if !has_checkpoint {
        task.progress_percent = 0;
    }
    if let Some(round) = entry.round_mut(key.round) {
        let added = round.steps[usize::from(key.step)].pending.insert(key.index);
        if added {
            accounting::task_waits(&mut cx.load, entry, key);
        }
    }
    cx.ready.insert(ready);
    cx.pass_wanted = true;
    if has_checkpoint {
        // The worker drops the checkpoint once the end of its run is acknowledged, so it must be
        // stored.
        commits::mark_dirty(&mut cx.commits, now, key.job);
    }
    if is_suspect {
        cx.crashes.note_waiting();
    }
}

/// Removes a task from the pending tasks of its step, because it is being started or was found
/// running.
pub fn leave_pending(cx: &mut State, key: TaskKey) {
    let Some(entry) = cx.jobs.get_mut(&key.job) else { return };
    let ready = ready_step(entry, key.round, key.step);
    let Some(round) = entry.round_mut(key.round) else { return };
    let step = &mut round.steps[usize::from(key.step)];
    let removed = step.pending.remove(&key.index);
    if step.pending.is_empty() {
        cx.ready.remove(&ready);
    }
    if removed {
        accounting::task_waits_no_longer(&mut cx.load, entry, key);
    }
}

/// What is known of a run when it is added to a worker.
#[derive(Debug, Clone)]
pub struct Occupant {
    /// The run.
    pub run: Run,
    /// The checkpoint that its start carries.
    pub resumes_from: Option<Checkpoint>,
    /// The phase of the run at the worker.
    pub phase: Phase,
    /// The progress of the run in percent.
    pub percent: u32,
    /// The worker's last reading of the run: tail latency in milliseconds for a serving task,
    /// processor time in use in thousandths of a core for any other.
    pub reading: Option<u32>,
}

/// Records that a run is at a worker.
pub fn occupy(cx: &mut State, worker: WorkerIx, key: TaskKey, occupant: Occupant) {
    let now = cx.now;
    let Some(entry) = cx.jobs.get_mut(&key.job) else { return };
    if entry.state == JobState::Queued {
        entry.state = JobState::Active;
        commits::mark_dirty(&mut cx.commits, now, key.job);
    }
    let (job, queue, priority) = (Arc::clone(&entry.job), entry.load_queue, entry.priority);
    let Some(step) = job.steps.get(usize::from(key.step)) else { return };
    let role = pacing::add_image_and_get_role(cx, step);
    let class = job_table::work_class(step);
    let account = (queue.class(class), ClassPriority { class, priority });
    let slot = slot_of(step, role, account, occupant, now);
    accounting::task_started(&mut cx.load, &slot);
    cx.worker_mut(worker).add_slot(key, slot);
    cx.expedite_renewal(worker);
    scarcity::note_short_change(cx, worker, key);
    pacing::refresh_spare_capacity(cx, worker);
}

fn slot_of(
    step: &Step,
    role: TaskRole,
    (load_class, class): (ClassIx, ClassPriority),
    occupant: Occupant,
    now: Instant,
) -> Slot {
    let started = occupant.phase == Phase::Starting;
    Slot {
        run: occupant.run,
        phase: occupant.phase,
        reservation: job_table::reservation(step),
        class,
        role,
        best_effort_millicores: job_table::best_effort_millicores(step),
        load_class,
        began_at: (started && occupant.resumes_from.is_none()).then_some(now),
        ordered_at: now,
        resend_stop_at: now,
        stop_refusals: 0,
        stopping_since: now,
        stop_confirmed: None,
        confirmed: (!started).then_some(now),
        resumes_from: occupant.resumes_from,
        attempts: CallAttempts::default(),
        pace: FULL_PACE,
        pace_order_in_flight: false,
        pace_orders: if started { PaceOrders::default() } else { PaceOrders::adopted() },
        progress_percent: occupant.percent,
        reading: occupant.reading,
        progress_sample: None,
        over_target_since: None,
        slowed_since: None,
    }
}

/// Records that a run is no longer at a worker.
pub fn vacate(cx: &mut State, worker: WorkerIx, key: TaskKey, run: Run) -> Option<Slot> {
    cx.pass_wanted = true;
    let slot = cx.worker_mut(worker).remove_slot(key, run)?;
    accounting::task_stopped(&mut cx.load, &slot);
    if let Some(task) = cx.task_mut(key).filter(|t| t.slow_run == Some((worker, run))) {
        task.slow_run = None;
    }
    if matches!(slot.role, TaskRole::Filling(_)) {
        let now = cx.now;
        cx.worker_mut(worker).best_effort_ended_at = now;
    }
    scarcity::note_short_change(cx, worker, key);
    pacing::refresh_spare_capacity(cx, worker);
    Some(slot)
}

/// Releases a run from a worker, given a proof that the run is not there. If the task was active
/// there, makes it pending again.
pub fn requeue(cx: &mut State, worker: WorkerIx, key: TaskKey, run: Run, proof: ReleaseProof) {
    let was_active = cx.is_active(key, worker, run);
    let slot = vacate(cx, worker, key, run);
    let released = slot.as_ref().map(|slot| (slot, cx.now));
    trace::run_released(key, run, &cx.worker(worker).info.id, proof, released);
    if was_active {
        make_pending(cx, key, Millis(0));
    }
}

/// How often a pause is doubled at most. The settings bound pauses long before.
const MAX_PAUSE_DOUBLINGS: u32 = 8;

/// Returns the pause before the next start of a task after this many consecutive failures.
pub fn retry_backoff(cx: &State, consecutive: u32) -> Millis {
    exponential_backoff(cx.settings.retry_pause, consecutive, cx.settings.retry_pause_max)
}

/// Returns a pause that begins with `first` and doubles with each further consecutive failure, up
/// to `max`.
pub fn exponential_backoff(first: Millis, consecutive: u32, max: Millis) -> Millis {
    let doublings = consecutive.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
    Millis(first.0 << doublings).min(max)
}

/// Marks a task as done and begins whatever waited for it. `work` is the work that it took, if that
/// is known.
pub fn finish_task(cx: &mut State, key: TaskKey, work: Option<CoreMillis>) {
    leave_pending(cx, key);
    let Some(entry) = cx.jobs.get_mut(&key.job) else { return };
    let Some(task) = entry.task_mut(key) else { return };
    if task.state == TaskState::Done {
        return;
    }
    task.state = TaskState::Done;
    task.checkpoint = None;
    task.crash_evidence = None;
    let Some(round) = entry.round_mut(key.round) else { return };
    let step = &mut round.steps[usize::from(key.step)];
    step.unfinished = step.unfinished.saturating_sub(1);
    let step_done = step.unfinished == 0;
    let round_done = step_done && round.is_done();
    accounting::task_done(&mut cx.load, cx.now, entry, key, work);
    commits::mark_dirty(&mut cx.commits, cx.now, key.job);
    if round_done {
        finish_round(cx, key.job, key.round);
    } else if step_done {
        begin_steps(cx, key.job, key.round);
    }
}

fn finish_round(cx: &mut State, job: JobKey, number: u32) {
    let Some(entry) = cx.jobs.get_mut(&job) else { return };
    entry.rounds.retain(|r| r.number != number);
    entry.finished_rounds.insert(number);
    if entry.finished_rounds.len() as u32 == entry.total_rounds() {
        end_job(cx, job, JobState::Completed);
    }
}

/// Makes every waiting task of a round pending whose earlier steps are done.
pub fn begin_steps(cx: &mut State, job: JobKey, number: u32) {
    let Some(entry) = cx.jobs.get(&job) else { return };
    let Some(round) = entry.round(number) else { return };
    let begin: Vec<TaskKey> = waiting_tasks(entry, round);
    for key in begin {
        make_pending(cx, key, Millis(0));
    }
}

/// Returns the waiting tasks of steps whose earlier steps are done.
fn waiting_tasks(entry: &JobEntry, round: &Round) -> Vec<TaskKey> {
    let mut found = Vec::new();
    for (at, (step, state)) in entry.job.steps.iter().zip(&round.steps).enumerate() {
        if state.unfinished == 0 || !round.may_begin(step) {
            continue;
        }
        let waiting = |t: &Task| t.state == TaskState::Waiting;
        let keys = state.tasks.iter().enumerate().filter(|(_, t)| waiting(t));
        found.extend(
            keys.map(|(index, _)| job_table::task_key(entry.job.key, round.number, at, index)),
        );
    }
    found
}

/// Puts a job into a final state and stops its runs. The entry holds no tasks from then on, so
/// nothing that refers to tasks by their keys, such as the list of suspects, finds one that could
/// be started.
pub fn end_job(cx: &mut State, job: JobKey, state: JobState) {
    let unix_ms = cx.unix_ms;
    let Some(entry) = cx.jobs.get_mut(&job) else { return };
    if entry.state.is_final() {
        return;
    }
    accounting::job_ended(&mut cx.load, entry);
    entry.state = state;
    entry.ended_unix_ms = unix_ms.max(1);
    // The tasks of an unreadable job do not show its runs, and a gang member that is done may still
    // be listed by its worker.
    let has_runs_beyond_tasks = entry.unreadable || entry.job.steps.iter().any(|step| step.gang);
    let mut active = entry.active();
    trace::job_ended(job, state, active.len());
    let ready: Vec<ReadyStep> = ready_steps(entry);
    for step in ready {
        cx.ready.remove(&step);
    }
    entry.rounds.clear();
    if has_runs_beyond_tasks {
        active = runs_of(cx, job);
    }
    for (key, worker, run) in active {
        order_stop(cx, worker, key, run, "job ended");
    }
    commits::mark_dirty_urgent(&mut cx.commits, cx.now, job);
}

/// Returns the runs of a job that the leader believes to be at workers.
fn runs_of(cx: &State, job: JobKey) -> Vec<(TaskKey, WorkerIx, Run)> {
    let mut found = Vec::new();
    for ix in cx.worker_ixs() {
        let slots = cx.worker(ix).slots.iter().filter(|(key, _)| key.job == job);
        found.extend(slots.map(|(key, slot)| (*key, ix, slot.run)));
    }
    found
}

/// Returns the queue positions of all steps of the rounds in progress.
fn ready_steps(entry: &JobEntry) -> Vec<ReadyStep> {
    let steps = entry
        .rounds
        .iter()
        .flat_map(|r| (0..r.steps.len()).map(move |step| (r.number, step as u16)));
    steps.map(|(round, step)| ready_step(entry, round, step)).collect()
}

/// Orders a run to stop. Its capacity stays reserved until its end is seen.
pub fn order_stop(cx: &mut State, worker: WorkerIx, key: TaskKey, run: Run, why: &'static str) {
    let (now, retry) = (cx.now, cx.settings.stop_retry);
    let w = cx.worker_mut(worker);
    let Some(slot) = w.slots.get_mut(&key) else { return };
    if slot.run != run || slot.phase == Phase::Stopping {
        return;
    }
    slot.phase = Phase::Stopping;
    slot.ordered_at = now;
    slot.stopping_since = now;
    slot.resend_stop_at = now + retry;
    trace::stop_ordered(key, run, &w.info.id, why);
    cx.actions.push(Action::Stop { worker, task: key, run });
}
