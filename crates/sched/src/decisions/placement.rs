//! Chooses a worker for a task.

use gaplock_jobs::config::Advice;
use gaplock_jobs::{Step, TaskKey};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

use crate::decisions::free_capacity;
use crate::decisions::interference;
use crate::interface::message::{StepKey, WorkerIx};
use crate::state::job_table;
use crate::state::worker::{TaskRole, Worker};
use crate::state::State;

/// What is asked of a worker.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The pool.
    pub service: &'a ids::ServiceId,
    /// The step.
    pub step: &'a Step,
    /// The task.
    pub task: TaskKey,
    /// The worker on which the task failed last.
    pub avoid: Option<WorkerIx>,
    /// How long the task has waited.
    pub waited: Millis,
    /// Whether it may have been at work before.
    pub may_have_run: bool,
    /// Set where only workers of one rack will do.
    pub only_rack: Option<&'a String>,
    /// Set where another service says which workers may run the step.
    pub advice: Option<&'a Advice>,
}

/// Worth of running in the rack that holds the data, in whole workers of free room: above any fit (1) and
/// [`COLOCATION_COST`] in sum, so that the data decides among sound workers, and below [`SLOW_COST`] less a
/// fit, so that no slow one is taken for it.
const RACK_BONUS: f64 = 4.0;

/// Cost of the worker on which the task failed last, in whole workers of free room: above
/// [`RACK_BONUS`] and [`SLOW_COST`], since a start on any other worker tells more. That order gave the figure.
const FAILED_HERE_COST: f64 = 8.0;

/// Why a worker does not get a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnfitReason {
    /// It belongs to another pool, or is gone.
    OtherPool,
    /// It is draining, unlisted, silent, avoided or kept for a task that may crash it, or has many
    /// starts to answer.
    NotTaking,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It has no room.
    Full,
    /// Its tasks come along much slower than elsewhere.
    Slow,
    /// It has room, but that is kept for short tasks.
    Reserved,
    /// It lacks the label.
    LabelMissing,
    /// It runs as many tasks of the step as it may, or another run of this one.
    TooManyOfStep,
    /// Nothing says that the step may run there.
    NotPermitted,
    /// The task would disturb what is served there.
    Interferes,
}

/// How many workers do not get a task, by reason; for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UnfitCounts {
    /// Workers that are draining, unlisted, silent or avoided, or have many starts to answer.
    pub not_taking: u32,
    /// Workers of evacuated failure domains.
    pub evacuated: u32,
    /// Workers without room.
    pub full: u32,
    /// Slow workers.
    pub slow: u32,
    /// Workers whose room is reserved.
    pub reserved: u32,
    /// Workers without the label.
    pub label: u32,
    /// Workers that run enough of the step.
    pub spread: u32,
    /// Workers without a permission for the step.
    pub not_permitted: u32,
    /// Workers on which the task would disturb.
    pub disturbs: u32,
    /// Full workers that have the processors but not the memory.
    pub no_memory: u32,
    /// Full workers that would have room without the tasks that fill there.
    pub if_emptied: u32,
    /// The most processor room that a worker of the pool has, in thousandths of a core.
    pub most_free: u32,
    /// The processor room of the pool in sum, in thousandths of a core.
    pub free_in_all: u64,
}

impl UnfitCounts {
    /// Counts a worker without room, and what would make it.
    fn count_full(&mut self, worker: &Worker, step: &Step) {
        let takes = job_table::reservation(step);
        let room = worker.info.capacity.minus(&worker.used);
        self.full += 1;
        self.no_memory += u32::from(room.cpu >= takes.cpu);
        self.if_emptied += u32::from(room.plus(&best_effort_usage(worker)).holds(&takes));
    }
}

/// Returns the room that filling tasks take of a worker.
fn best_effort_usage(worker: &Worker) -> Resources {
    let filling = worker.slots.values().filter(|slot| matches!(slot.role, TaskRole::Filling(_)));
    filling.fold(Resources::default(), |sum, slot| sum.plus(&slot.reservation))
}

/// Counts why no worker gets a task.
pub fn count_unfit(cx: &State, wanted: &PlacementRequest<'_>) -> UnfitCounts {
    let mut counts = UnfitCounts::default();
    for (at, worker) in cx.workers.iter().enumerate() {
        let unfit = match check_fit(cx, WorkerIx(at as u32), wanted) {
            Err(unfit) => unfit,
            Ok(()) if score(cx, WorkerIx(at as u32), worker, wanted).is_none() => {
                UnfitReason::Interferes
            }
            Ok(()) => continue,
        };
        let free = worker.info.capacity.minus(&worker.used).cpu.0;
        match unfit {
            UnfitReason::OtherPool => continue,
            UnfitReason::NotTaking => counts.not_taking += 1,
            UnfitReason::Evacuated => {
                counts.evacuated += 1;
                continue;
            }
            UnfitReason::Full => counts.count_full(worker, wanted.step),
            UnfitReason::Slow => counts.slow += 1,
            UnfitReason::Reserved => counts.reserved += 1,
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

/// Finds the best worker that has room, if any.
pub fn best_worker(cx: &State, wanted: &PlacementRequest<'_>) -> Option<WorkerIx> {
    let mut best: Option<(f64, WorkerIx)> = None;
    for ix in (0..cx.workers.len() as u32).map(WorkerIx) {
        let Some(score) = score_if_fit(cx, ix, wanted) else { continue };
        if best.is_none_or(|(other, _)| score > other) {
            best = Some((score, ix));
        }
    }
    best.map(|(_, ix)| ix)
}

/// Returns how good a place a worker is for a task, or nothing where it cannot start there now.
pub fn score_if_fit(cx: &State, ix: WorkerIx, wanted: &PlacementRequest<'_>) -> Option<f64> {
    check_fit(cx, ix, wanted).ok()?;
    score(cx, ix, cx.worker(ix), wanted)
}

/// Finds a worker that is not `here` on which a task that runs there could start at once.
pub fn find_other_worker(cx: &State, here: WorkerIx, key: TaskKey) -> Option<WorkerIx> {
    let entry = cx.jobs.get(&key.job)?;
    let step = entry.step(key)?;
    let queue = cx.config.as_ref()?.queue(&entry.job.queue)?;
    let (service, advice) = (&queue.service, queue.advice.as_ref());
    let (avoid, waited, again, only_rack) = (Some(here), Millis(0), true, None);
    best_worker(
        cx,
        &PlacementRequest {
            service,
            step,
            task: key,
            avoid,
            waited,
            may_have_run: again,
            only_rack,
            advice,
        },
    )
    .filter(|ix| *ix != here)
}

/// Checks whether a worker may and can run the task.
pub fn check_fit(
    cx: &State,
    ix: WorkerIx,
    wanted: &PlacementRequest<'_>,
) -> Result<(), UnfitReason> {
    let worker = cx.worker(ix);
    let takes = job_table::reservation(wanted.step);
    if worker.terminated || worker.info.service != *wanted.service {
        return Err(UnfitReason::OtherPool);
    }
    if worker.evacuated {
        return Err(UnfitReason::Evacuated);
    }
    if !worker.accepts_tasks(cx.now) || cx.is_worker_at_start_limit(ix) {
        return Err(UnfitReason::NotTaking);
    }
    if worker.trial.is_some_and(|trial| trial.excludes(wanted.task, cx.now)) {
        return Err(UnfitReason::NotTaking);
    }
    let taken = worker.used.plus(&takes);
    if !worker.info.capacity.holds(&taken) {
        return Err(UnfitReason::Full);
    }
    let step = wanted.step;
    if !step.lasting
        && wanted.waited < MAX_WAIT_WITHOUT_SLOW_WORKERS
        && worker.speed.is_slow(cx.now)
    {
        return Err(UnfitReason::Slow);
    }
    let ticket = || cx.permits.ticket(StepKey::of(wanted.task), ix, cx.now);
    if wanted.advice.is_some() && ticket().is_none() {
        return Err(UnfitReason::NotPermitted);
    }
    let rack = wanted.only_rack.map(String::as_str);
    if rack.is_some() && rack != worker.info.rack() {
        return Err(UnfitReason::LabelMissing);
    }
    if step.label.as_ref().is_some_and(|label| !worker.info.labels.contains(label)) {
        return Err(UnfitReason::LabelMissing);
    }
    if worker.slots.contains_key(&wanted.task) {
        return Err(UnfitReason::TooManyOfStep);
    }
    if step.most_per_worker.is_some_and(|most| count_same_step(worker, wanted.task) >= most) {
        return Err(UnfitReason::TooManyOfStep);
    }
    let may_take_kept =
        !step.lasting || free_capacity::may_use_reserved(wanted.waited, wanted.may_have_run);
    if !may_take_kept && free_capacity::is_reserved(cx, worker) {
        return Err(UnfitReason::Reserved);
    }
    Ok(())
}

/// How long a task waits for a worker that is not slow: about what a short task loses on a slow one.
const MAX_WAIT_WITHOUT_SLOW_WORKERS: Millis = Millis(1_000);

/// Cost of a slow worker, in whole workers of free room: above [`RACK_BONUS`] and any fit (1) in sum, so that
/// neither makes up for it.
const SLOW_COST: f64 = 6.0;

/// The part of a lasting step's tasks, as a divisor, that one worker takes before its other tasks go
/// elsewhere: they all go down with it, and leave it one by one where few of them may be missed.
const COLOCATION_DIVISOR: u32 = 3;

/// Cost of that part being there already, in whole workers of free room: more than any fit is worth (1), less
/// than what gathering an image is (3).
const COLOCATION_COST: f64 = 1.5;

/// Counts the tasks of the same step and round at a worker.
fn count_same_step(worker: &Worker, task: TaskKey) -> u32 {
    let same = |key: &&TaskKey| (key.job, key.round, key.step) == (task.job, task.round, task.step);
    worker.slots.keys().filter(same).count() as u32
}

/// Returns the share of a worker's processors that is neither taken nor wanted by what fills there;
/// what fills goes where most of it is left.
fn unclaimed_share(worker: &Worker) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    (cores - f64::from(worker.used.cpu.0) - f64::from(worker.best_effort_millicores)) / cores
}

/// Returns how good a place a worker is for the task, in whole workers, or nothing
/// where the task would disturb too much yet.
fn score(cx: &State, ix: WorkerIx, worker: &Worker, wanted: &PlacementRequest<'_>) -> Option<f64> {
    let mut score = if wanted.step.fills {
        unclaimed_share(worker)
    } else {
        free_capacity::best_fit_score(worker, wanted.step)
    };
    let in_rack = |rack: &String| worker.info.labels.contains(rack);
    if wanted.step.rack.as_ref().is_some_and(in_rack) {
        score += RACK_BONUS;
    }
    if wanted.avoid == Some(ix) {
        score -= FAILED_HERE_COST;
    }
    if wanted.step.lasting
        && count_same_step(worker, wanted.task) * COLOCATION_DIVISOR >= wanted.step.count
    {
        score -= COLOCATION_COST;
    }
    if worker.speed.is_slow(cx.now) {
        score -= SLOW_COST;
    }
    let disturbed = interference::placement_cost(cx, worker, wanted.step, wanted.waited)?;
    Some(score - disturbed)
}
