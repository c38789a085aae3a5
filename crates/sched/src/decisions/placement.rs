//! Chooses a worker for a task.

use gaplock_jobs::config::Advice;
use gaplock_jobs::{Step, TaskKey};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

use crate::decisions::free_capacity::{self, RoomAccess};
use crate::decisions::interference;
use crate::decisions::run_times::{self, RunTimeClass};
use crate::interface::message::{StepKey, WorkerIx};
use crate::state::job_table;
use crate::state::worker::{TaskRole, Worker};
use crate::state::State;

/// What a task requires of a worker.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service whose pool of workers runs the task.
    pub service: &'a ids::ServiceId,
    /// The step.
    pub step: &'a Step,
    /// The task.
    pub task: TaskKey,
    /// The worker on which the task failed last.
    pub avoid: Option<WorkerIx>,
    /// How long the task has waited.
    pub waited: Millis,
    /// How long a best-effort task is expected to run.
    pub run_time: RunTimeClass,
    /// Whether the task may have run before.
    pub may_have_run: bool,
    /// Which rooms it may take while shares of classes are enforced.
    pub access: RoomAccess,
    /// Set if only workers of this rack are allowed.
    pub only_rack: Option<&'a String>,
    /// Set if another service decides which workers may run the step.
    pub advice: Option<&'a Advice>,
}

/// Bonus for a worker in the rack that holds the data, in whole workers of free capacity. It is
/// above the best fit (1) and [`COLOCATION_COST`] in sum, so that the data decides among workers of
/// normal speed, and below [`SLOW_COST`] less a fit, so that no slow worker is chosen for the data.
const RACK_BONUS: f64 = 4.0;

/// Cost of the worker on which the task failed last, in whole workers of free capacity. It is above
/// [`RACK_BONUS`] and [`SLOW_COST`], since a start on any other worker tells more about the cause.
const FAILED_HERE_COST: f64 = 8.0;

/// Why a worker cannot get a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnfitReason {
    /// It belongs to another pool, or has terminated.
    OtherPool,
    /// It is draining, unlisted, silent, avoided or reserved for the trial of another job's task,
    /// or has too many starts in flight.
    NotTaking,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It has too little free capacity.
    Full,
    /// Its tasks make progress much more slowly than elsewhere.
    Slow,
    /// It has free capacity, but that is reserved for short tasks.
    Reserved,
    /// It has free capacity, but the task's class holds its share of the pool.
    OverShare,
    /// It lacks a required label, or is not in the required rack.
    LabelMissing,
    /// It runs as many tasks of the step as it may, or another run of this task.
    TooManyOfStep,
    /// The service that decides where the step may run has not permitted this worker.
    NotPermitted,
    /// The task would interfere too much with the serving tasks there.
    Interferes,
}

/// How many workers cannot get a task, by reason; for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UnfitCounts {
    /// Workers that are draining, unlisted, silent, avoided or reserved for a trial, or have too
    /// many starts in flight.
    pub not_taking: u32,
    /// Workers of evacuated failure domains.
    pub evacuated: u32,
    /// Workers with too little free capacity.
    pub full: u32,
    /// Slow workers.
    pub slow: u32,
    /// Workers whose free capacity is reserved for short tasks.
    pub reserved: u32,
    /// Workers whose free capacity the task may not take, because its class holds its share.
    pub over_share: u32,
    /// Workers without a required label, or not in the required rack.
    pub label: u32,
    /// Workers that run as many tasks of the step as they may.
    pub spread: u32,
    /// Workers without a permission for the step.
    pub not_permitted: u32,
    /// Workers on which the task would interfere too much.
    pub disturbs: u32,
    /// Full workers that have enough free processors but not enough free memory.
    pub no_memory: u32,
    /// Full workers that would have enough free capacity without their best-effort tasks.
    pub if_emptied: u32,
    /// The most free processors on one worker of the pool, in thousandths of a core.
    pub most_free: u32,
    /// The free processors of the pool in total, in thousandths of a core.
    pub free_in_all: u64,
}

impl UnfitCounts {
    /// Counts a worker with too little free capacity, and what would make enough.
    fn count_full(&mut self, worker: &Worker, step: &Step) {
        let reservation = job_table::reservation(step);
        let free = worker.info.capacity.minus(&worker.used);
        self.full += 1;
        self.no_memory += u32::from(free.cpu >= reservation.cpu);
        self.if_emptied += u32::from(free.plus(&best_effort_usage(worker)).holds(&reservation));
    }
}

/// Returns the capacity that best-effort tasks take on a worker.
fn best_effort_usage(worker: &Worker) -> Resources {
    let best_effort =
        worker.slots.values().filter(|slot| matches!(slot.role, TaskRole::Filling(_)));
    best_effort.fold(Resources::default(), |sum, slot| sum.plus(&slot.reservation))
}

/// Counts the workers that cannot get a task, by reason.
pub fn count_unfit(cx: &State, request: &PlacementRequest<'_>) -> UnfitCounts {
    let mut counts = UnfitCounts::default();
    for (at, worker) in cx.workers.iter().enumerate() {
        let reason = match check_fit(cx, WorkerIx(at as u32), request) {
            Err(reason) => reason,
            Ok(()) if score(cx, WorkerIx(at as u32), worker, request).is_none() => {
                UnfitReason::Interferes
            }
            Ok(()) => continue,
        };
        let free = worker.info.capacity.minus(&worker.used).cpu.0;
        match reason {
            UnfitReason::OtherPool => continue,
            UnfitReason::NotTaking => counts.not_taking += 1,
            UnfitReason::Evacuated => {
                counts.evacuated += 1;
                continue;
            }
            UnfitReason::Full => counts.count_full(worker, request.step),
            UnfitReason::Slow => counts.slow += 1,
            UnfitReason::Reserved => counts.reserved += 1,
            UnfitReason::OverShare => counts.over_share += 1,
            UnfitReason::LabelMissing => counts.label += 1,
            UnfitReason::TooManyOfStep => counts.spread += 1,
            UnfitReason::NotPermitted => counts.not_permitted += 1,
            UnfitReason::Interferes => counts.disturbs += 1,
        }
        counts.most_free = counts.most_free.max(free);
        counts.free_in_all += u64::from(free);
    }
    counts
}

/// Returns the worker with the highest score on which the task could start now, if any.
pub fn best_worker(cx: &State, request: &PlacementRequest<'_>) -> Option<WorkerIx> {
    let mut best: Option<(f64, WorkerIx)> = None;
    for ix in (0..cx.workers.len() as u32).map(WorkerIx) {
        let Some(score) = score_if_fit(cx, ix, request) else { continue };
        if best.is_none_or(|(other, _)| score > other) {
            best = Some((score, ix));
        }
    }
    best.map(|(_, ix)| ix)
}

/// Returns the score of a worker for a task, or `None` if the task could not start there now.
pub fn score_if_fit(cx: &State, ix: WorkerIx, request: &PlacementRequest<'_>) -> Option<f64> {
    check_fit(cx, ix, request).ok()?;
    score(cx, ix, cx.worker(ix), request)
}

/// Returns the score of a worker for the tasks of a step. A worker that holds another run of the
/// task itself must still be excluded by [`check_fit`].
pub fn score_for_step(cx: &State, ix: WorkerIx, request: &PlacementRequest<'_>) -> Option<f64> {
    check_fit_of_step(cx, ix, request).ok()?;
    score(cx, ix, cx.worker(ix), request)
}

/// Finds a worker other than `here` on which a task that runs on `here` could start at once.
pub fn find_other_worker(cx: &State, here: WorkerIx, key: TaskKey) -> Option<WorkerIx> {
    let entry = cx.jobs.get(&key.job)?;
    let step = entry.step(key)?;
    let queue = entry.queue.as_deref()?;
    let (service, advice) = (&queue.service, queue.advice.as_ref());
    let run_time = run_times::run_time_class(cx, service, step, key);
    let (avoid, waited, may_have_run, only_rack) = (Some(here), Millis(0), true, None);
    let (of, wait) = ((step, entry.priority), (waited, may_have_run));
    let access = free_capacity::room_access(cx, service, of, wait, false);
    best_worker(
        cx,
        &PlacementRequest {
            service,
            step,
            task: key,
            avoid,
            waited,
            run_time,
            may_have_run,
            access,
            only_rack,
            advice,
        },
    )
    .filter(|ix| *ix != here)
}

/// Checks whether a worker may run the task and has the capacity for it.
pub fn check_fit(
    cx: &State,
    ix: WorkerIx,
    request: &PlacementRequest<'_>,
) -> Result<(), UnfitReason> {
    check_fit_of_step(cx, ix, request)?;
    if cx.worker(ix).slots.contains_key(&request.task) {
        return Err(UnfitReason::TooManyOfStep);
    }
    Ok(())
}

/// Checks the same, except whether the worker holds another run of this very task: all tasks of a
/// step that have waited alike fit alike, so one evaluation of all workers serves the whole step.
fn check_fit_of_step(
    cx: &State,
    ix: WorkerIx,
    request: &PlacementRequest<'_>,
) -> Result<(), UnfitReason> {
    let worker = cx.worker(ix);
    let reservation = job_table::reservation(request.step);
    if worker.terminated || worker.info.service != *request.service {
        return Err(UnfitReason::OtherPool);
    }
    if worker.evacuated {
        return Err(UnfitReason::Evacuated);
    }
    if !worker.accepts_tasks(cx.now) || cx.is_worker_at_start_limit(ix) {
        return Err(UnfitReason::NotTaking);
    }
    if worker.trial.is_some_and(|trial| trial.excludes(request.task, cx.now)) {
        return Err(UnfitReason::NotTaking);
    }
    let used_with_task = worker.used.plus(&reservation);
    if !worker.info.capacity.holds(&used_with_task) {
        return Err(UnfitReason::Full);
    }
    let step = request.step;
    if !step.lasting
        && request.waited < MAX_WAIT_WITHOUT_SLOW_WORKERS
        && worker.speed.is_slow(cx.now)
    {
        return Err(UnfitReason::Slow);
    }
    let ticket = || cx.permits.ticket(StepKey::of(request.task), ix, cx.now);
    if request.advice.is_some() && ticket().is_none() {
        return Err(UnfitReason::NotPermitted);
    }
    let rack = request.only_rack.map(String::as_str);
    if rack.is_some() && rack != worker.info.rack() {
        return Err(UnfitReason::LabelMissing);
    }
    if step.label.as_ref().is_some_and(|label| !worker.info.labels.contains(label)) {
        return Err(UnfitReason::LabelMissing);
    }
    if step.most_per_worker.is_some_and(|most| count_same_step(worker, request.task) >= most) {
        return Err(UnfitReason::TooManyOfStep);
    }
    let may_use_reserved =
        !step.lasting || free_capacity::may_use_reserved(request.waited, request.may_have_run);
    if !may_use_reserved && free_capacity::is_reserved(cx, worker) {
        return Err(UnfitReason::Reserved);
    }
    if !free_capacity::may_take_room(cx, worker, step, request.access) {
        return Err(UnfitReason::OverShare);
    }
    Ok(())
}

/// How long a task waits for a worker that is not slow: about as long as a short task loses on a
/// slow one.
const MAX_WAIT_WITHOUT_SLOW_WORKERS: Millis = Millis(1_000);

/// Cost of a slow worker, in whole workers of free capacity. It is above [`RACK_BONUS`] and the
/// best fit (1) in sum, so that these do not make up for it.
const SLOW_COST: f64 = 6.0;

/// One worker takes one part in this many of a long-running step's tasks before the step's other
/// tasks go elsewhere. All of them go down with the worker, and where only few of them may be
/// unavailable they leave it one by one.
const COLOCATION_DIVISOR: u32 = 3;

/// Cost of a worker that already runs that part of the step's tasks, in whole workers of free
/// capacity. It is more than the best fit is worth (1), and less than the bonus for sharing a
/// worker with tasks of the same image (3).
const COLOCATION_COST: f64 = 1.5;

/// Counts the tasks of the same step and round on a worker.
fn count_same_step(worker: &Worker, task: TaskKey) -> u32 {
    let same = |key: &&TaskKey| (key.job, key.round, key.step) == (task.job, task.round, task.step);
    worker.slots.keys().filter(same).count() as u32
}

/// Returns the share of a worker's processors that is neither reserved nor demanded by best-effort
/// tasks. A best-effort task goes where most of it is left.
fn unclaimed_share(worker: &Worker) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    (cores - f64::from(worker.used.cpu.0) - f64::from(worker.best_effort_millicores)) / cores
}

/// Returns the score of a worker for the task, in whole workers of free capacity, or `None` where
/// the task would still interfere too much.
fn score(cx: &State, ix: WorkerIx, worker: &Worker, request: &PlacementRequest<'_>) -> Option<f64> {
    let mut score = if request.step.fills {
        unclaimed_share(worker)
    } else {
        free_capacity::best_fit_score(worker, request.step)
    };
    let in_rack = |rack: &String| worker.info.labels.contains(rack);
    if request.step.rack.as_ref().is_some_and(in_rack) {
        score += RACK_BONUS;
    }
    if request.avoid == Some(ix) {
        score -= FAILED_HERE_COST;
    }
    if request.step.lasting
        && count_same_step(worker, request.task) * COLOCATION_DIVISOR >= request.step.count
    {
        score -= COLOCATION_COST;
    }
    if worker.speed.is_slow(cx.now) {
        score -= SLOW_COST;
    }
    let interference_cost =
        interference::placement_cost(cx, worker, request.step, request.waited, request.run_time)?;
    Some(score - interference_cost)
}
