//! One function for each kind of log line about a decision.
//!
//! `docs/OPERATIONS.md` lists the lines. A line names the job or task, the inputs of the decision
//! and its outcome, but never text supplied by the caller.

use gaplock_forecast::period::PeriodChange;
use gaplock_jobs::progress::JobState;
use gaplock_jobs::{config, JobKey, TaskKey};
use gaplock_overload::budget::{Change, Observation};
use gaplock_overload::steer::{Instruction, Steer};
use gaplock_policy::attempts::CallAttempts;
use gaplock_types::ids;
use gaplock_types::sizes::{MilliCores, Resources};
use gaplock_types::time::{Instant, Millis};
use tracing::{debug, info, warn};

use crate::decisions::load::Backlogged;
use crate::decisions::losses::Loss;
use crate::decisions::placement::UnfitCounts;
use crate::decisions::shares::PoolLoad;
use crate::interface::message::{
    EndSeq, MaintenanceAnswer, Outcome, Run, RunEnd, StoreRevision, WaveNumber, WaveRequest,
    WorkerClock, WorkerInfo, WorkerIx,
};
use crate::interface::proof::ReleaseProof;
use crate::state::checkpoint::Checkpoint;
use crate::state::job_table::JobEntry;
use crate::state::worker::{Listing, Slot, Worker};
use crate::state::State;

/// Logs that the leader has learned of a job.
pub fn job_known(entry: &JobEntry, inbox_read_up_to: StoreRevision) {
    let tasks: u32 = entry.job.steps.iter().map(|s| s.count).sum();
    info!(event = "job_known", job = %entry.job.key, queue = %entry.job.queue, tasks,
        steps = entry.job.steps.len(), priority = entry.priority, due = entry.due.0,
        stored_at = entry.stored_at.0, inbox_read_up_to = inbox_read_up_to.0);
}

/// Logs that a job is dropped because its removal from the store is stored.
pub fn job_removed(job: JobKey, stored_at: StoreRevision) {
    info!(event = "job_removed", %job, stored_at = stored_at.0);
}

/// Logs that a job was reported, or its cancellation, that has been removed.
pub fn removed_job_reported(job: JobKey) {
    info!(event = "removed_job_reported", %job);
}

/// Logs that a job's stored progress cannot be read, so that none of its tasks is started.
pub fn job_set_aside(job: JobKey) {
    warn!(event = "job_set_aside", %job);
}

/// Logs that a job has reached a final state. Callers see the state once it is stored.
pub fn job_ended(job: JobKey, state: JobState, still_running: usize) {
    info!(event = "job_ended", %job, ?state, still_running);
}

/// Logs that a queue's backlog of one class of work takes longer to drain than its jobs may take.
pub fn queue_backlogged(backlogged: &Backlogged) {
    let Backlogged { load, drain, objective } = backlogged;
    info!(event = "queue_backlogged", queue = %load.queue, class = load.class.name(),
        jobs = load.jobs, drain_ms = drain.0, objective_ms = objective.0,
        backlog_core_s = load.backlog_core_ms / 1_000,
        arriving_core_ms_per_s = load.arriving_core_ms_per_s,
        completed_core_ms_per_s = load.completed_core_ms_per_s,
        running_millicores = load.running_millicores,
        waiting_millicores = load.waiting_millicores);
}

/// Logs that an operator's instruction for a queue is in force, and until when.
pub fn queue_steered(queue: &str, steer: &Steer) {
    info!(event = "queue_steered", queue, instruction = %steer.instruction,
        until_unix_ms = steer.until_unix_ms);
}

/// Logs that an operator's instruction for its queue keeps a step's tasks from starting.
pub fn step_held(task: TaskKey, pending: usize, waited: Millis, instruction: Instruction) {
    info!(event = "step_held", %task, pending, waited_ms = waited.0, %instruction);
}

/// Logs that no operator's instruction for a queue is in force any more.
pub fn queue_steering_ended(queue: &str) {
    info!(event = "queue_steering_ended", queue);
}

/// Logs that the start of a task at a worker was ordered.
pub fn start_ordered(task: TaskKey, run: Run, worker: &ids::WorkerId, waited: Millis) {
    info!(event = "start_ordered", %task, run = run.0, %worker, waited_ms = waited.0);
}

/// Logs that an attempt of a start carries a checkpoint: the run and the worker that saved it, and
/// its first characters.
pub fn start_resumes(
    cx: &State,
    (task, run): (TaskKey, Run),
    ix: WorkerIx,
    attempt: u32,
    checkpoint: &Checkpoint,
) {
    let worker = &cx.worker(ix).info.id;
    let (saved_at, text) = (reporting_worker(cx, checkpoint), text_prefix(checkpoint));
    info!(event = "start_resumes", %task, run = run.0, %worker, attempt, saved_by = checkpoint.run.0,
        saved_at, text);
}

/// Logs why the text that a worker lists as a run's checkpoint is not accepted as one. The level is
/// debug, because the worker's lists repeat the text.
pub fn checkpoint_passed_over(task: TaskKey, run: Run, worker: &ids::WorkerId, why: &'static str) {
    debug!(event = "checkpoint_passed_over", %task, run = run.0, %worker, why);
}

/// Logs that a worker refused a start with a checkpoint as invalid. No later start carries that
/// checkpoint.
pub fn checkpoint_refused(cx: &State, task: TaskKey, ix: WorkerIx, checkpoint: &Checkpoint) {
    let worker = &cx.worker(ix).info.id;
    let (saved_at, text) = (reporting_worker(cx, checkpoint), text_prefix(checkpoint));
    warn!(event = "checkpoint_refused", %task, %worker, saved_by = checkpoint.run.0, saved_at, text);
}

/// Returns the worker that reported a checkpoint to this leader, if one did.
fn reporting_worker<'a>(cx: &'a State, checkpoint: &Checkpoint) -> Option<&'a str> {
    checkpoint.worker.map(|ix| cx.worker(ix).info.id.as_str())
}

/// Returns the first characters of a checkpoint.
fn text_prefix(checkpoint: &Checkpoint) -> String {
    checkpoint.text.chars().take(CHECKPOINT_PREFIX_CHARS).collect()
}

/// How many characters of a checkpoint a log line shows. The checkpoints that workers write have
/// sixteen.
const CHECKPOINT_PREFIX_CHARS: usize = 32;

/// Logs a start that was not simply carried out: the attempt that the answer belongs to, and the
/// number of unanswered attempts.
pub fn start_answered(
    task: TaskKey,
    run: Run,
    worker: &ids::WorkerId,
    attempts: CallAttempts,
    outcome: &Outcome<WorkerClock>,
) {
    if !matches!(outcome, Outcome::Done(_)) {
        info!(event = "start_not_done", %task, run = run.0, %worker, attempt = attempts.sent(),
            open = attempts.unanswered(), ?outcome);
    }
}

/// Logs that no worker was found for the next task of a step, and why workers were unfit.
pub fn step_waits(
    task: TaskKey,
    pending: usize,
    waited: Millis,
    demand: &Resources,
    unfit: &UnfitCounts,
) {
    info!(event = "step_waits", %task, pending, waited_ms = waited.0, %demand,
        not_taking = unfit.not_taking, evacuated = unfit.evacuated, full = unfit.full, reserved = unfit.reserved,
        over_share = unfit.over_share,
        slow = unfit.slow, label = unfit.label, spread = unfit.spread, disturbs = unfit.disturbs,
        not_permitted = unfit.not_permitted,
        no_memory = unfit.no_memory, if_emptied = unfit.if_emptied,
        most_free = unfit.most_free, free_in_all = unfit.free_in_all);
}

/// Logs that the stop of a run was ordered.
pub fn stop_ordered(task: TaskKey, run: Run, worker: &ids::WorkerId, why: &'static str) {
    info!(event = "stop_ordered", %task, run = run.0, %worker, why);
}

/// Logs that long-running tasks of a pool are held to their share, because short tasks wait.
pub fn shares_enforced(pool: &ids::ServiceId, load: &PoolLoad, excess: u64) {
    info!(event = "shares_enforced", %pool, capacity = load.capacity, used = load.used,
        fragmented = load.fragmented, excess, waiting = load.short.millicores,
        waited_ms = load.short.longest_wait.0);
}

/// Logs that long-running tasks of a pool are no longer held to their share.
pub fn shares_lifted(pool: &ids::ServiceId, lasted: Millis, preempted: u32) {
    info!(event = "shares_lifted", %pool, lasted_ms = lasted.0, preempted);
}

/// Logs that a long-running task is stopped to make room for short tasks.
pub fn task_preempted(
    (task, run): (TaskKey, Run),
    worker: &ids::WorkerId,
    frees: MilliCores,
    load: &PoolLoad,
) {
    info!(event = "task_preempted", %task, run = run.0, %worker, frees = frees.0,
        waiting = load.short.millicores, waited_ms = load.short.longest_wait.0,
        predicted_wait_ms = load.predicted_wait().map(|wait| wait.0));
}

/// Logs that a speculative copy of a task is wanted because its worker is slow.
pub fn copy_wanted(task: TaskKey, run: Run, worker: &ids::WorkerId) {
    info!(event = "copy_wanted", %task, run = run.0, %worker);
}

/// Logs that a worker listed the end of a run.
pub fn run_ended(end: &RunEnd, worker: &ids::WorkerId, expected: bool) {
    info!(event = "run_ended", task = %end.task, run = end.run.0, %worker, how = ?end.cause,
        seq = end.seq.0, expected);
}

/// Logs that a listed end was ignored because its number is already recorded, although the leader
/// believes that the run is still at the worker.
pub fn end_passed_over(end: &RunEnd, worker: &ids::WorkerId, recorded_up_to: EndSeq) {
    warn!(event = "end_passed_over", task = %end.task, run = end.run.0, %worker, how = ?end.cause,
        seq = end.seq.0, noted = recorded_up_to.0);
}

/// Logs that a worker lists a run that the leader believes to be at another worker.
pub fn run_passed_over(task: TaskKey, run: Run, worker: &ids::WorkerId) {
    warn!(event = "run_passed_over", %task, run = run.0, %worker);
}

/// Logs that a worker lists a run of a job that has ended, although no stop of the run was ordered.
pub fn run_after_end(task: TaskKey, run: Run, worker: &ids::WorkerId) {
    warn!(event = "run_after_end", %task, run = run.0, %worker);
}

/// Logs the cancellation of a job that the leader does not know.
pub fn cancelled_unknown(job: JobKey) {
    info!(event = "cancelled_unknown", %job);
}

/// Logs that a run was released from its worker without a listed end, so that its task may be
/// started elsewhere: the proof, and what is known of the attempts of its start.
pub fn run_released(
    task: TaskKey,
    run: Run,
    worker: &ids::WorkerId,
    proof: ReleaseProof,
    released: Option<(&Slot, Instant)>,
) {
    let slot = released.map(|(slot, _)| slot);
    let attempts = slot.map(|s| s.attempts).unwrap_or_default();
    let confirmed = slot.is_some_and(|s| s.confirmed.is_some());
    let held_ms = released.and_then(|(s, now)| s.confirmed.map(|at| now.since(at).0));
    info!(event = "run_released", %task, run = run.0, %worker, ?proof, phase = ?slot.map(|s| s.phase),
        tries = attempts.sent(), open = attempts.unanswered(), confirmed, held_ms);
}

/// Logs that all runs at a worker are released: how the directory listed the worker, for how long
/// it had not answered, and how many runs it had.
pub fn worker_lost(worker: &Worker, now: Instant, proof: ReleaseProof) {
    let silent_ms = worker.clock.map(|(answered, _)| now.since(answered).0);
    info!(event = "worker_lost", worker = %worker.info.id, addr = %worker.info.addr, ?proof,
        listing = ?worker.listing, missed = worker.unanswered_renewals, silent_ms, runs = worker.slots.len());
}

/// Logs that a worker was lost while it ran a task: how it was lost, how many workers have crashed
/// while they ran the task, how long the run had been running, and how many runs were lost
/// together.
pub fn task_suspected(
    task: TaskKey,
    worker: &ids::WorkerId,
    loss: Loss,
    crashes: usize,
    run_duration: Millis,
    together: usize,
) {
    info!(event = "task_suspected", %task, %worker, ?loss, crashes, lived_ms = run_duration.0,
        together);
}

/// Logs that a task may have crashed a worker. Either the worker was lost during a change of leader
/// and the task was found nowhere, or the worker was lost together with many others.
pub fn task_doubted(task: TaskKey, worker: &ids::WorkerId) {
    info!(event = "task_doubted", %task, %worker);
}

/// Logs that it is now known what became of a worker that went silent while it ran a task.
pub fn suspicion_settled(task: TaskKey, worker: &ids::WorkerId, crashed: bool, losses: usize) {
    info!(event = "suspicion_settled", %task, %worker, crashed, losses);
}

/// Logs that a task has been running for so long that its crashes are forgotten.
pub fn task_cleared(task: TaskKey, crashes: usize) {
    info!(event = "task_cleared", %task, crashes);
}

/// Logs that a task has crashed as many workers as it may.
pub fn crashes_used_up(task: TaskKey, crashes: usize) {
    warn!(event = "crashes_used_up", %task, crashes);
}

/// Logs that the configuration in force has no queue of this name any more, though jobs need it,
/// and which queue callers now find at its address.
pub fn queue_retired(queue: &config::Queue, replaced_by: Option<&str>) {
    info!(event = "queue_retired", queue = %queue.name, pool = %queue.service,
        replaced_by = replaced_by.unwrap_or_default());
}

/// Logs that nothing is known of a job's queue, so that its tasks wait.
pub fn queue_unknown(job: JobKey, queue: &str) {
    warn!(event = "queue_unknown", %job, queue);
}

/// Logs that a step waits because nothing is known of its job's queue.
pub fn step_without_pool(task: TaskKey, pending: usize, waited: Millis, queue: &str) {
    warn!(event = "step_without_pool", %task, pending, waited_ms = waited.0, queue);
}

/// Logs that a job's pool was inferred from a worker that runs one of its tasks.
pub fn queue_inferred(job: JobKey, queue: &str, pool: &ids::ServiceId) {
    info!(event = "queue_inferred", %job, queue, %pool);
}

/// Logs that a run of a previous leader was found and kept.
pub fn run_adopted(task: TaskKey, run: Run, worker: &ids::WorkerId) {
    info!(event = "run_adopted", %task, run = run.0, %worker);
}

/// Logs that a task has failed as often as its queue allows.
pub fn attempts_used_up(task: TaskKey, failed: u32, most: u32) {
    info!(event = "attempts_used_up", %task, failed, most);
}

/// Logs that the directory's listing of a worker has changed.
pub fn worker_listed(info: &WorkerInfo, listing: Listing) {
    info!(event = "worker_listed", worker = %info.id, addr = %info.addr, ?listing);
}

/// Logs that a worker's capacity has shrunk below what it runs. No run is stopped for that, because
/// it would lose its work while the worker could have continued it.
pub fn worker_overfull(worker: &Worker) {
    info!(event = "worker_overfull", worker = %worker.info.id, capacity = %worker.info.capacity,
        used = %worker.used);
}

/// Logs that the view of the directory is too old for anything to be started.
pub fn directory_behind(lag: Millis) {
    warn!(event = "directory_behind", lag_ms = lag.0);
}

/// Logs that the view of the directory is fresh enough again.
pub fn directory_caught_up(took: Millis) {
    info!(event = "directory_caught_up", took_ms = took.0);
}

/// Logs that the operators have evacuated a failure domain, and how many tasks run on its workers.
pub fn domain_evacuated(domain: &ids::DomainId, running: usize) {
    info!(event = "domain_evacuated", %domain, running);
}

/// Logs that the operators have put an evacuated failure domain back into service.
pub fn domain_taken_back(domain: &ids::DomainId) {
    info!(event = "domain_taken_back", %domain);
}

/// Logs that a worker did not answer.
pub fn worker_silent(worker: &ids::WorkerId) {
    warn!(event = "worker_silent", %worker);
}

/// Logs that a silent worker answers again.
pub fn worker_back(worker: &ids::WorkerId, missed: u32) {
    info!(event = "worker_back", %worker, missed);
}

/// Logs that a worker has restarted under the same name.
pub fn worker_restarted(previous: &ids::WorkerId, worker: &ids::WorkerId) {
    info!(event = "worker_restarted", former = %previous, %worker);
}

/// Logs that an incarnation of a worker is over.
pub fn worker_gone(worker: &ids::WorkerId, why: &'static str) {
    info!(event = "worker_gone", %worker, why);
}

/// Logs that a worker gets no tasks for a while, because the tasks started there fail.
pub fn worker_quarantined(worker: &ids::WorkerId, span: Millis) {
    warn!(event = "worker_quarantined", %worker, span_ms = span.0);
}

/// Logs that a configuration is in force.
pub fn config_in_force(version: u64, queues: usize) {
    info!(event = "config_in_force", version, queues);
}

/// Logs that a new leader has read the store.
pub fn takeover_began(term: u64, jobs: usize, workers: usize, closed: usize) {
    info!(event = "takeover_began", term, jobs, workers, closed);
}

/// Logs that from now on only the tasks that unanswered closed workers may hold have an unknown
/// state.
pub fn survey_narrowed(took: Millis, closed: usize) {
    info!(event = "survey_narrowed", took_ms = took.0, closed);
}

/// Logs that the recovery scan is over.
pub fn survey_ended(took: Millis, silent: usize) {
    info!(event = "survey_ended", took_ms = took.0, silent);
}

/// Logs that all former leaders have stopped, and how long the leases that they granted still hold
/// up the recovery scan at most.
pub fn former_leaders_stopped(term: u64, wait: Millis) {
    info!(event = "former_leaders_stopped", term, wait_ms = wait.0);
}

/// Logs that a commit failed and has to be made again.
pub fn commit_failed(jobs: usize, other: usize) {
    warn!(event = "commit_failed", jobs, other);
}

/// Logs that the service that decides where a step may run has answered.
pub fn advised(job: JobKey, step: u16, asked: usize, permitted: usize) {
    info!(event = "advised", %job, step, asked, permitted);
}

/// Logs that a worker gets no tasks until it is stored as open again.
pub fn worker_closed(worker: &ids::WorkerId, holds: usize) {
    info!(event = "worker_closed", %worker, holds);
}

/// Logs that the service that decides where a step may run has not answered.
pub fn advice_missing(job: JobKey, step: u16, asked: usize) {
    warn!(event = "advice_missing", %job, step, asked);
}

/// Logs that the operators have requested a maintenance wave.
pub fn wave_known(wave: &WaveRequest, begun: usize) {
    info!(
        event = "wave_known",
        wave = wave.number.0,
        hosts = wave.hosts.len(),
        begun,
        within_ms = wave.within.0,
        at_once = wave.at_once
    );
}

/// Logs that a host is empty enough and was ordered down for its maintenance.
pub fn upkeep_ordered(wave: WaveNumber, host: &ids::HostId) {
    info!(event = "upkeep_ordered", wave = wave.0, %host);
}

/// Logs how the platform answered such an order, or that it did not.
pub fn upkeep_answered(
    wave: WaveNumber,
    host: &ids::HostId,
    answer: MaintenanceAnswer,
    attempts: CallAttempts,
) {
    let (attempt, open) = (attempts.sent(), attempts.unanswered());
    info!(event = "upkeep_answered", wave = wave.0, %host, ?answer, attempt, open);
}

/// Logs that the maintenance of every host of a wave has begun.
pub fn wave_completed(wave: WaveNumber, begun: usize) {
    info!(event = "wave_completed", wave = wave.0, begun);
}

/// Logs that a pace of a best-effort task was ordered, either a new one or the current one again.
pub fn pace_ordered(task: TaskKey, slot: &Slot, worker: &ids::WorkerId, to: u32) {
    let (run, from, open) = (slot.run.0, slot.pace, slot.pace_orders.unanswered());
    info!(event = "pace_ordered", %task, run, %worker, from, to, open);
}

/// Logs that the period of the loads of a pool's jobs was confirmed or dropped.
pub fn period_changed(pool: &ids::ServiceId, change: PeriodChange) {
    match change {
        PeriodChange::Confirmed { period, previous } => {
            let former_ms = previous.map(|period| period.0);
            info!(event = "load_period_confirmed", %pool, period_ms = period.0, former_ms);
        }
        PeriodChange::Dropped { previous } => {
            info!(event = "load_period_dropped", %pool, former_ms = previous.0);
        }
    }
}

/// Logs that the limit on a pool's best-effort demand changed; raises are frequent and small.
pub fn best_effort_limit_changed(
    pool: &ids::ServiceId,
    change: Change,
    limit: Option<u64>,
    seen: &Observation,
) {
    if change == Change::Raised {
        debug!(event = "best_effort_limit", %pool, ?change, limit, ?seen);
    } else {
        info!(event = "best_effort_limit", %pool, ?change, limit, ?seen);
    }
}

/// Logs what runs on a worker, with the readings and the model's estimates.
pub fn readings(cx: &State, ix: WorkerIx) {
    let worker = cx.worker(ix);
    for (task, slot) in &worker.slots {
        let reading = slot.reading.unwrap_or(0);
        let image = cx.step(*task).and_then(|s| s.image.as_deref());
        debug!(event = "reading", worker = %worker.info.id, %task, image, part = ?slot.role,
            reading, pace = slot.pace, load = cx.interference.load(task.job, cx.now), phase = ?slot.phase,
            percent = slot.progress_percent, wants = slot.best_effort_millicores);
    }
    debug!(event = "pressure", worker = %worker.info.id, spare = ?worker.spare_interference,
        factors = cx.interference.describe());
}
