//! One function for each kind of log line about a decision.
//!
//! `docs/OPERATIONS.md` lists them. A line names the job or task, the inputs that decided, and the
//! outcome; never the caller's text.

use gaplock_jobs::progress::JobState;
use gaplock_jobs::{JobKey, TaskKey};
use gaplock_policy::attempts::CallAttempts;
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};
use tracing::{debug, info, warn};

use crate::decisions::losses::Loss;
use crate::decisions::placement::UnfitCounts;
use crate::interface::message::{
    EndSeq, MaintenanceAnswer, Outcome, Run, RunEnd, WaveNumber, WaveRequest, WorkerClock,
    WorkerInfo, WorkerIx,
};
use crate::interface::proof::ReleaseProof;
use crate::state::checkpoint::Checkpoint;
use crate::state::job_table::JobEntry;
use crate::state::worker::{Listing, Slot, Worker};
use crate::state::State;

/// The leader has heard of a job.
pub fn job_known(entry: &JobEntry) {
    let tasks: u32 = entry.job.steps.iter().map(|s| s.count).sum();
    info!(event = "job_known", job = %entry.job.key, queue = %entry.job.queue, tasks,
        steps = entry.job.steps.len(), priority = entry.priority, due = entry.due.0);
}

/// A job's stored progress cannot be read, so none of its tasks is started.
pub fn job_set_aside(job: JobKey) {
    warn!(event = "job_set_aside", %job);
}

/// A job has come to a final state; it is shown once that is stored.
pub fn job_ended(job: JobKey, state: JobState, still_running: usize) {
    info!(event = "job_ended", %job, ?state, still_running);
}

/// A task was ordered to a worker.
pub fn start_ordered(task: TaskKey, run: Run, worker: &ids::WorkerId, waited: Millis) {
    info!(event = "start_ordered", %task, run = run.0, %worker, waited_ms = waited.0);
}

/// A try of a start brings a checkpoint: by which run and worker it was saved, and its first signs.
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

/// A worker lists a text as the checkpoint of a run that is not taken for one, and why (debug: a list repeats
/// it).
pub fn checkpoint_passed_over(task: TaskKey, run: Run, worker: &ids::WorkerId, why: &'static str) {
    debug!(event = "checkpoint_passed_over", %task, run = run.0, %worker, why);
}

/// A worker refused a start as invalid that brought a checkpoint, which nothing brings again.
pub fn checkpoint_refused(cx: &State, task: TaskKey, ix: WorkerIx, checkpoint: &Checkpoint) {
    let worker = &cx.worker(ix).info.id;
    let (saved_at, text) = (reporting_worker(cx, checkpoint), text_prefix(checkpoint));
    warn!(event = "checkpoint_refused", %task, %worker, saved_by = checkpoint.run.0, saved_at, text);
}

/// Returns the worker that listed a checkpoint to this leader.
fn reporting_worker<'a>(cx: &'a State, checkpoint: &Checkpoint) -> Option<&'a str> {
    checkpoint.worker.map(|ix| cx.worker(ix).info.id.as_str())
}

/// Returns a checkpoint's first signs.
fn text_prefix(checkpoint: &Checkpoint) -> String {
    checkpoint.text.chars().take(CHECKPOINT_PREFIX_CHARS).collect()
}

/// How many signs of a checkpoint a log line shows; the workers' own have sixteen.
const CHECKPOINT_PREFIX_CHARS: usize = 32;

/// A start was not simply carried out: which try that speaks of, and how many earlier ones are
/// open.
pub fn start_answered(
    task: TaskKey,
    run: Run,
    worker: &ids::WorkerId,
    tries: CallAttempts,
    outcome: &Outcome<WorkerClock>,
) {
    if !matches!(outcome, Outcome::Done(_)) {
        info!(event = "start_not_done", %task, run = run.0, %worker, attempt = tries.sent(),
            open = tries.unanswered(), ?outcome);
    }
}

/// A step's next task finds no worker.
pub fn step_waits(
    task: TaskKey,
    pending: usize,
    waited: Millis,
    demand: &Resources,
    unfit: &UnfitCounts,
) {
    info!(event = "step_waits", %task, pending, waited_ms = waited.0, %demand,
        not_taking = unfit.not_taking, evacuated = unfit.evacuated, full = unfit.full, reserved = unfit.reserved,
        slow = unfit.slow, label = unfit.label, spread = unfit.spread, disturbs = unfit.disturbs,
        not_permitted = unfit.not_permitted,
        no_memory = unfit.no_memory, if_emptied = unfit.if_emptied,
        most_free = unfit.most_free, free_in_all = unfit.free_in_all);
}

/// A run was ordered to stop.
pub fn stop_ordered(task: TaskKey, run: Run, worker: &ids::WorkerId, why: &'static str) {
    info!(event = "stop_ordered", %task, run = run.0, %worker, why);
}

/// A copy of a task is wanted, because its worker is slow.
pub fn copy_wanted(task: TaskKey, run: Run, worker: &ids::WorkerId) {
    info!(event = "copy_wanted", %task, run = run.0, %worker);
}

/// A worker listed an end.
pub fn run_ended(end: &RunEnd, worker: &ids::WorkerId, expected: bool) {
    info!(event = "run_ended", task = %end.task, run = end.run.0, %worker, how = ?end.cause,
        seq = end.seq.0, expected);
}

/// A worker lists an end under a number that is known, of a run that is held to be there.
pub fn end_passed_over(end: &RunEnd, worker: &ids::WorkerId, noted: EndSeq) {
    warn!(event = "end_passed_over", task = %end.task, run = end.run.0, %worker, how = ?end.cause,
        seq = end.seq.0, noted = noted.0);
}

/// A worker lists a run that is held to be elsewhere.
pub fn run_passed_over(task: TaskKey, run: Run, worker: &ids::WorkerId) {
    warn!(event = "run_passed_over", %task, run = run.0, %worker);
}

/// A worker lists a run of a job that has ended, and no stop of it was ordered.
pub fn run_after_end(task: TaskKey, run: Run, worker: &ids::WorkerId) {
    warn!(event = "run_after_end", %task, run = run.0, %worker);
}

/// A job that is not known is cancelled.
pub fn cancelled_unknown(job: JobKey) {
    info!(event = "cancelled_unknown", %job);
}

/// A run is taken off its worker without a listed end, so that its task may go elsewhere: by which
/// proof, and what is known of the tries of its start.
pub fn run_released(
    task: TaskKey,
    run: Run,
    worker: &ids::WorkerId,
    proof: ReleaseProof,
    released: Option<(&Slot, Instant)>,
) {
    let slot = released.map(|(slot, _)| slot);
    let tries = slot.map(|s| s.attempts).unwrap_or_default();
    let confirmed = slot.is_some_and(|s| s.confirmed.is_some());
    let held_ms = released.and_then(|(s, now)| s.confirmed.map(|at| now.since(at).0));
    info!(event = "run_released", %task, run = run.0, %worker, ?proof, phase = ?slot.map(|s| s.phase),
        tries = tries.sent(), open = tries.unanswered(), confirmed, held_ms);
}

/// All runs at a worker are given up: how the directory showed it, since when it had not answered,
/// and how many runs go together.
pub fn worker_lost(worker: &Worker, now: Instant, proof: ReleaseProof) {
    let silent_ms = worker.clock.map(|(answered, _)| now.since(answered).0);
    info!(event = "worker_lost", worker = %worker.info.id, addr = %worker.info.addr, ?proof,
        listing = ?worker.listing, missed = worker.unanswered_renewals, silent_ms, runs = worker.slots.len());
}

/// A worker was lost under a task: how, how many have crashed under it, how long the run had been at
/// work, and how many runs were lost together.
pub fn task_suspected(
    task: TaskKey,
    worker: &ids::WorkerId,
    loss: Loss,
    crashes: usize,
    lived: Millis,
    together: usize,
) {
    info!(event = "task_suspected", %task, %worker, ?loss, crashes, lived_ms = lived.0, together);
}

/// A worker may have crashed under a task: it was lost at a change of leader, and the task was found
/// nowhere, or it was lost together with many others.
pub fn task_doubted(task: TaskKey, worker: &ids::WorkerId) {
    info!(event = "task_doubted", %task, %worker);
}

/// It is known what became of a worker that was silent under a task.
pub fn suspicion_settled(task: TaskKey, worker: &ids::WorkerId, crashed: bool, losses: usize) {
    info!(event = "suspicion_settled", %task, %worker, crashed, losses);
}

/// A task has been at work for so long that its crashes are forgotten.
pub fn task_cleared(task: TaskKey, crashes: usize) {
    info!(event = "task_cleared", %task, crashes);
}

/// A task has crashed as many workers as it may.
pub fn crashes_used_up(task: TaskKey, crashes: usize) {
    warn!(event = "crashes_used_up", %task, crashes);
}

/// A run of a former leader was found and kept.
pub fn run_adopted(task: TaskKey, run: Run, worker: &ids::WorkerId) {
    info!(event = "run_adopted", %task, run = run.0, %worker);
}

/// A task has failed as often as its queue allows.
pub fn attempts_used_up(task: TaskKey, failed: u32, most: u32) {
    info!(event = "attempts_used_up", %task, failed, most);
}

/// The directory shows a worker differently.
pub fn worker_listed(info: &WorkerInfo, listing: Listing) {
    info!(event = "worker_listed", worker = %info.id, addr = %info.addr, ?listing);
}

/// A worker's room has shrunk below what it runs. Nothing is stopped for that: the worker goes on, and
/// whatever was stopped would lose its work.
pub fn worker_overfull(worker: &Worker) {
    info!(event = "worker_overfull", worker = %worker.info.id, capacity = %worker.info.capacity,
        used = %worker.used);
}

/// The view of the directory is too old for anything to be started.
pub fn directory_behind(lag: Millis) {
    warn!(event = "directory_behind", lag_ms = lag.0);
}

/// The view of the directory is fresh enough again.
pub fn directory_caught_up(took: Millis) {
    info!(event = "directory_caught_up", took_ms = took.0);
}

/// The operators have evacuated a failure domain, at whose workers so many tasks run.
pub fn domain_evacuated(domain: &ids::DomainId, running: usize) {
    info!(event = "domain_evacuated", %domain, running);
}

/// The operators have taken an evacuated failure domain back.
pub fn domain_taken_back(domain: &ids::DomainId) {
    info!(event = "domain_taken_back", %domain);
}

/// A worker did not answer.
pub fn worker_silent(worker: &ids::WorkerId) {
    warn!(event = "worker_silent", %worker);
}

/// A silent worker answers again.
pub fn worker_back(worker: &ids::WorkerId, missed: u32) {
    info!(event = "worker_back", %worker, missed);
}

/// A worker has started again under its name.
pub fn worker_restarted(former: &ids::WorkerId, worker: &ids::WorkerId) {
    info!(event = "worker_restarted", %former, %worker);
}

/// A worker's incarnation is over.
pub fn worker_gone(worker: &ids::WorkerId, why: &'static str) {
    info!(event = "worker_gone", %worker, why);
}

/// A worker fails what it starts and gets nothing for a while.
pub fn worker_quarantined(worker: &ids::WorkerId, span: Millis) {
    warn!(event = "worker_quarantined", %worker, span_ms = span.0);
}

/// A configuration is in force.
pub fn config_in_force(version: u64, queues: usize) {
    info!(event = "config_in_force", version, queues);
}

/// A new leader has read the store.
pub fn takeover_began(term: u64, jobs: usize, workers: usize, closed: usize) {
    info!(event = "takeover_began", term, jobs, workers, closed);
}

/// Only the tasks that silent, closed workers may hold are in doubt from now on.
pub fn survey_narrowed(took: Millis, closed: usize) {
    info!(event = "survey_narrowed", took_ms = took.0, closed);
}

/// The search for former runs is over.
pub fn survey_ended(took: Millis, silent: usize) {
    info!(event = "survey_ended", took_ms = took.0, silent);
}

/// A commit has to be made again.
pub fn commit_failed(jobs: usize, other: usize) {
    warn!(event = "commit_failed", jobs, other);
}

/// The service that decides where a step may run has answered.
pub fn advised(job: JobKey, step: u16, asked: usize, permitted: usize) {
    info!(event = "advised", %job, step, asked, permitted);
}

/// A worker gets no tasks until it is stored as open again.
pub fn worker_closed(worker: &ids::WorkerId, holds: usize) {
    info!(event = "worker_closed", %worker, holds);
}

/// The service that decides where a step may run has not answered.
pub fn advice_missing(job: JobKey, step: u16, asked: usize) {
    warn!(event = "advice_missing", %job, step, asked);
}

/// The operators ask for a wave of upkeep.
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

/// A host is empty enough to go down.
pub fn upkeep_ordered(wave: WaveNumber, host: &ids::HostId) {
    info!(event = "upkeep_ordered", wave = wave.0, %host);
}

/// The platform has answered such an order, or not.
pub fn upkeep_answered(
    wave: WaveNumber,
    host: &ids::HostId,
    answer: MaintenanceAnswer,
    tries: CallAttempts,
) {
    let (attempt, open) = (tries.sent(), tries.unanswered());
    info!(event = "upkeep_answered", wave = wave.0, %host, ?answer, attempt, open);
}

/// The upkeep of every host of a wave has begun.
pub fn wave_completed(wave: WaveNumber, begun: usize) {
    info!(event = "wave_completed", wave = wave.0, begun);
}

/// A filling task's pace is ordered: changed, or put in force again.
pub fn pace_ordered(task: TaskKey, slot: &Slot, worker: &ids::WorkerId, to: u32) {
    let (run, from, open) = (slot.run.0, slot.pace, slot.pace_orders.unanswered());
    info!(event = "pace_ordered", %task, run, %worker, from, to, open);
}

/// Writes down what runs on a worker, with its readings and what the model makes of them.
pub fn readings(cx: &State, ix: WorkerIx) {
    let worker = cx.worker(ix);
    for (task, slot) in &worker.slots {
        let reading = slot.reading.unwrap_or(0);
        let image = cx.step(*task).and_then(|s| s.image.as_deref());
        debug!(event = "reading", worker = %worker.info.id, %task, image, part = ?slot.role,
            reading, pace = slot.pace, load = cx.interference.load(task.job, cx.now, 0.0), phase = ?slot.phase,
            percent = slot.progress_percent, wants = slot.best_effort_millicores);
    }
    debug!(event = "pressure", worker = %worker.info.id, spare = ?worker.spare_interference,
        factors = cx.interference.describe());
}
