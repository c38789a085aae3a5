//! The dispatch pass, which starts all pending tasks that can start: steps in the order of priority
//! and objective, each task on the best worker.

use std::collections::BTreeSet;

use gaplock_jobs::{Job, Step, TaskKey};
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;
use gaplock_types::{ids, sizes};

use crate::changes::{gangs, pacing, permits, scarcity, starts, trace, trials};
use crate::decisions::concurrency_limit::{self, Room};
use crate::decisions::free_capacity::RoomAccess;
use crate::decisions::placement::PlacementRequest;
use crate::decisions::ranking::RankedWorkers;
use crate::decisions::requests::{self, WaitStatus};
use crate::decisions::run_times::{self, RunTimeClass};
use crate::decisions::{free_capacity, interference, order, placement, steering};
use crate::state::job_table::{self, ReadyStep};
use crate::state::State;

/// A demand for which no worker had enough free capacity in this pass. A demand that is at least as
/// large and has the same restrictions need not be tried.
#[derive(Debug)]
struct UnplacedDemand {
    service: ids::ServiceId,
    label: Option<String>,
    reservation: Resources,
    /// For a best-effort task: how far it may interfere with others.
    best_effort: Option<UnplacedBestEffort>,
    /// For a long-running task: whether it has waited so long that it may use capacity that is
    /// reserved for short tasks.
    may_use_reserved: Option<bool>,
    /// Which rooms the task may take while shares of classes are enforced.
    access: RoomAccess,
}

/// What decides, besides free capacity, whether a best-effort task finds a worker.
#[derive(Debug)]
struct UnplacedBestEffort {
    image: Option<String>,
    demand: sizes::MilliCores,
    /// Set once it has waited long enough to be placed where it interferes least.
    may_interfere: bool,
    /// How long it is expected to run: a longer one needs at least as much room.
    run_time: RunTimeClass,
}

impl UnplacedDemand {
    /// Describes the demand of a step's task that finds no worker.
    fn of(
        service: ids::ServiceId,
        step: &Step,
        wait: WaitStatus,
        access: RoomAccess,
        run_time: RunTimeClass,
    ) -> Self {
        let best_effort = step.fills.then(|| UnplacedBestEffort {
            image: step.image.clone(),
            demand: step.demand.cpu,
            may_interfere: interference::may_interfere(wait.waited),
            run_time,
        });
        let may_use_reserved =
            step.lasting.then(|| free_capacity::may_use_reserved(wait.waited, wait.may_have_run));
        Self {
            service,
            label: step.label.clone(),
            reservation: job_table::reservation(step),
            best_effort,
            may_use_reserved,
            access,
        }
    }

    /// Returns whether a task with the demand `other` finds no worker either.
    fn covers(&self, other: &Self) -> bool {
        let same_pool = self.service == other.service && self.label == other.label;
        let same_kind = self.may_use_reserved.is_some() == other.may_use_reserved.is_some();
        same_pool
            && same_kind
            && self.may_use_reserved >= other.may_use_reserved
            && self.access >= other.access
            && other.reservation.holds(&self.reservation)
            && self.best_effort_covers(other)
    }

    fn best_effort_covers(&self, other: &Self) -> bool {
        match (&self.best_effort, &other.best_effort) {
            (None, None) => true,
            (Some(known), Some(other)) => {
                known.image == other.image
                    && known.demand <= other.demand
                    && known.may_interfere >= other.may_interfere
                    && known.run_time <= other.run_time
            }
            _ => false,
        }
    }
}

/// What one pass knows, so that it need not evaluate all workers for each step.
#[derive(Debug)]
struct Pass {
    unplaced: Vec<UnplacedDemand>,
    /// The most free processors of any worker when the pass began; it only decreases.
    most_free: sizes::MilliCores,
    /// The most processors that any worker has.
    largest: sizes::MilliCores,
    /// For how many steps all workers were evaluated.
    searches: usize,
    /// How much more best-effort demand may start.
    room: Room,
}

/// Tries all ready steps once.
pub fn pass(cx: &mut State) {
    if cx.config.is_none() {
        return;
    }
    trials::end_excess_trials(cx);
    trials::start_trials(cx);
    let mut ready: Vec<ReadyStep> = cx.ready.iter().copied().collect();
    cx.passes += 1;
    if cx.settings.pace_by_slack || cx.settings.limit_best_effort {
        order::by_usefulness(cx, &mut ready);
    }
    let turns = turns(cx, &ready);
    let (most_free, largest) = most_processors(cx);
    let mut pass =
        Pass { unplaced: Vec::new(), most_free, largest, searches: 0, room: Room::open(cx) };
    for turn in turns {
        if cx.is_at_start_limit() {
            break;
        }
        start_step(cx, turn, &mut pass);
    }
    cx.pass_evaluations = pass.searches * cx.workers.len();
}

/// A step whose turn it is in a pass.
#[derive(Debug, Clone, Copy)]
struct Turn {
    step: ReadyStep,
    /// Whether the turn is before those of short steps.
    before_short: bool,
}

/// Returns the order of a pass: the steps with tasks that go before all others, then the rest.
/// Where shares of classes are enforced, the former take only large rooms at first, and have
/// another turn in the order of priority and objective.
fn turns(cx: &State, ready: &[ReadyStep]) -> Vec<Turn> {
    let mut first: Vec<Turn> = Vec::new();
    let mut last: Vec<Turn> = Vec::with_capacity(ready.len());
    for &step in ready {
        let goes_first = has_restart_priority(cx, step);
        let has_other_turn = goes_first && is_share_enforced(cx, step);
        if goes_first {
            first.push(Turn { step, before_short: true });
        }
        if !goes_first || has_other_turn {
            last.push(Turn { step, before_short: false });
        }
    }
    first.extend(last);
    first
}

/// Returns whether shares of classes are enforced in the pool of a step.
fn is_share_enforced(cx: &State, ready: ReadyStep) -> bool {
    let job = cx.jobs.get(&ready.job).map(|entry| &entry.job);
    let pool = job.and_then(|job| requests::service_of(cx, job));
    pool.is_some_and(|pool| cx.class_shares.enforcement(&pool).is_some())
}

/// Returns whether a long-running step has tasks that go before all others; few steps do.
fn has_restart_priority(cx: &State, ready: ReadyStep) -> bool {
    let Some(entry) = cx.jobs.get(&ready.job) else { return false };
    let step = &entry.job.steps[usize::from(ready.step)];
    let Some(round) = entry.round(ready.round).filter(|_| step.lasting) else { return false };
    let state = &round.steps[usize::from(ready.step)];
    let mut tasks = state.pending.iter().filter_map(|&index| state.tasks.get(index as usize));
    tasks.any(|task| {
        free_capacity::has_restart_priority(step, cx.now.since(task.since), task.may_have_run)
    })
}

/// Returns the most free processors, and the most processors in total, of any worker that accepts
/// tasks.
fn most_processors(cx: &State) -> (sizes::MilliCores, sizes::MilliCores) {
    let taking = || cx.workers.iter().filter(|w| w.accepts_tasks(cx.now));
    let free = taking().map(|w| w.info.capacity.minus(&w.used).cpu).max();
    let largest = taking().map(|w| w.info.capacity.cpu).max();
    (free.unwrap_or_default(), largest.unwrap_or_default())
}

/// Starts the tasks of one step that can start, unless a similar demand found no capacity in this
/// pass.
fn start_step(cx: &mut State, turn: Turn, pass: &mut Pass) {
    let Turn { step: ready, before_short } = turn;
    let Some(entry) = cx.jobs.get(&ready.job) else { return };
    let job = entry.job.clone();
    let Some(service) = requests::service_of(cx, &job) else {
        return log_without_pool(cx, &job, ready);
    };
    let step = &job.steps[usize::from(ready.step)];
    let Some(round) = entry.round(ready.round) else { return };
    let mut pending = start_order(cx, ready, step, &round.steps[usize::from(ready.step)].pending);
    let is_limited = step.fills && !pass.room.is_left(&service);
    if is_limited {
        pending.retain(|&index| concurrency_limit::is_exempt(cx, task_key(ready, index)));
    }
    // An instruction concerns all tasks of a step alike, so the others need not be looked at.
    let first = pending.first().map(|&first| task_key(ready, first));
    if let Some(first) = first.filter(|&first| !steering::allows_start(cx, first)) {
        return log_held(cx, &job, first, pending.len());
    }
    let Some(wait) = first_that_may_start(cx, ready, &pending) else { return };
    let run_time = run_times::run_time_class(cx, &service, step, task_key(ready, 0));
    let access = access_of(cx, &service, (step, ready.priority), wait, before_short);
    let demand = UnplacedDemand::of(service.clone(), step, wait, access, run_time);
    if pass.unplaced.iter().any(|known| known.covers(&demand)) {
        return;
    }
    if demand.reservation.cpu > pass.most_free && requests::advice_of(cx, &job).is_none() {
        note_scarcity(cx, &service, step, pass);
        return log_first_waiting(cx, &job, &service, ready, &pending);
    }
    if step.gang {
        if before_short && is_share_enforced(cx, ready) {
            // Members are placed one by one, so the large rooms that may be taken in this turn
            // cannot be told from others. The step has another turn.
            return;
        }
        gangs::start(cx, &job, &service, ready, &pending);
        return;
    }
    pass.searches += 1;
    let Some(unplaced) = start_tasks(cx, &job, &service, turn, &pending, &mut pass.room) else {
        return;
    };
    log_waiting(cx, &job, &service, unplaced, pending.len());
    note_scarcity(cx, &service, step, pass);
    if requests::advice_of(cx, &job).is_some() {
        permits::request_permits(cx, ready, pending.len());
    } else if step.most_per_worker.is_none() {
        let wait = cx.task(unplaced).map_or(wait, |t| requests::wait_status(cx, t));
        let access = access_of(cx, &service, (step, ready.priority), wait, before_short);
        pass.unplaced.push(UnplacedDemand::of(service, step, wait, access, run_time));
    }
}

/// Returns which rooms the tasks of a step with a wait status may take.
fn access_of(
    cx: &State,
    service: &ids::ServiceId,
    of: (&Step, u32),
    wait: WaitStatus,
    before_short: bool,
) -> RoomAccess {
    let wait = (wait.waited, wait.may_have_run);
    free_capacity::room_access(cx, service, of, wait, before_short)
}

/// Records that a step found too little free capacity. A short step is a sign of scarcity, unless
/// no worker could ever hold its tasks.
fn note_scarcity(cx: &mut State, pool: &ids::ServiceId, step: &Step, pass: &Pass) {
    if free_capacity::is_short(step) && step.demand.cpu <= pass.largest {
        scarcity::note_short_unplaced(cx, pool);
    }
}

/// Returns a step's pending tasks in the order in which they are tried. In a long-running step,
/// tasks that may have run before come first, the longest wait first: they may use capacity that
/// new ones may not, and the pass leaves a step at the first task that finds none.
fn start_order(cx: &State, ready: ReadyStep, step: &Step, pending: &BTreeSet<u32>) -> Vec<u32> {
    let mut order: Vec<u32> = pending.iter().copied().collect();
    if step.lasting {
        let key = |&index: &u32| task_key(ready, index);
        order.sort_by_key(|index| cx.task(key(index)).map(|t| (!t.may_have_run, t.since)));
    }
    order
}

/// Returns the key of a step's task.
fn task_key(ready: ReadyStep, index: u32) -> TaskKey {
    TaskKey { job: ready.job, round: ready.round, step: ready.step, index }
}

/// Returns the wait status of the first task of a step that may start, if there is one. The tasks
/// of a step begin to wait together, except for those that start again.
fn first_that_may_start(cx: &State, ready: ReadyStep, pending: &[u32]) -> Option<WaitStatus> {
    let mut tasks = pending.iter().map(|&index| task_key(ready, index));
    let task = tasks.find(|&task| requests::may_start(cx, task))?;
    cx.task(task).map(|t| requests::wait_status(cx, t))
}

/// Logs why the first task of a step that may start finds no worker.
fn log_first_waiting(
    cx: &mut State,
    job: &Job,
    service: &ids::ServiceId,
    ready: ReadyStep,
    pending: &[u32],
) {
    let mut tasks = pending.iter().map(|&index| task_key(ready, index));
    if let Some(task) = tasks.find(|&task| requests::may_start(cx, task)) {
        log_waiting(cx, job, service, task, pending.len());
    }
}

/// Starts pending tasks of a step one by one. Returns the first one that finds no worker.
fn start_tasks(
    cx: &mut State,
    job: &Job,
    service: &ids::ServiceId,
    Turn { step: ready, before_short }: Turn,
    pending: &[u32],
    room: &mut Room,
) -> Option<TaskKey> {
    let step = &job.steps[usize::from(ready.step)];
    // Adds the step's image to the model if it is new. This is done before the first task is
    // placed, so that all tasks of the step are evaluated alike.
    pacing::add_image_and_get_role(cx, step);
    let best_effort = job_table::best_effort_millicores(step);
    let mut ranking = RankedWorkers::default();
    for &index in pending {
        if cx.is_at_start_limit() {
            return None;
        }
        let task = task_key(ready, index);
        if !requests::may_start(cx, task) {
            continue;
        }
        if step.fills && !room.is_left(service) && !concurrency_limit::is_exempt(cx, task) {
            continue;
        }
        let Some(request) = requests::placement_request(cx, job, service, task) else {
            return Some(task);
        };
        let wait = WaitStatus { waited: request.waited, may_have_run: request.may_have_run };
        let access = access_of(cx, service, (step, ready.priority), wait, before_short);
        let request = PlacementRequest { access, ..request };
        let chosen = ranking.take_best(cx, &request);
        debug_assert_eq!(
            chosen,
            placement::best_worker(cx, &request),
            "the kept ranking yields the same worker as an evaluation of all workers"
        );
        let Some(ix) = chosen else { return Some(task) };
        starts::start_at(cx, ix, task);
        room.take(service, best_effort);
    }
    None
}

/// How often the log says why a step waits.
const WAIT_LOG_INTERVAL: Millis = Millis(2_000);

/// Returns how long a task has waited if the log is to say why its step waits: once it has waited
/// for a while, and then at intervals.
fn take_wait_to_log(cx: &mut State, task: TaskKey) -> Option<Millis> {
    let now = cx.now;
    let waited = cx.task(task).map(|t| now.since(t.since))?;
    let state = cx.step_state_mut(task)?;
    if waited < WAIT_LOG_INTERVAL || now.since(state.last_explained_at) < WAIT_LOG_INTERVAL {
        return None;
    }
    state.last_explained_at = now;
    Some(waited)
}

/// Logs that a step waits because nothing is known of its job's queue.
fn log_without_pool(cx: &mut State, job: &Job, ready: ReadyStep) {
    let Some(round) = cx.jobs.get(&ready.job).and_then(|entry| entry.round(ready.round)) else {
        return;
    };
    let pending = &round.steps[usize::from(ready.step)].pending;
    let (count, first) = (pending.len(), pending.first().copied());
    let Some(task) = first.map(|index| task_key(ready, index)) else { return };
    if let Some(waited) = take_wait_to_log(cx, task) {
        trace::step_without_pool(task, count, waited, &job.queue);
    }
}

/// Logs that an operator's instruction keeps a step's tasks from starting.
fn log_held(cx: &mut State, job: &Job, task: TaskKey, pending: usize) {
    let Some(waited) = take_wait_to_log(cx, task) else { return };
    if let Some(instruction) = steering::instruction(cx, &job.queue) {
        trace::step_held(task, pending, waited, instruction);
    }
}

/// Logs why a task finds no worker, once it has waited for a while.
fn log_waiting(cx: &mut State, job: &Job, service: &ids::ServiceId, task: TaskKey, pending: usize) {
    let Some(waited) = take_wait_to_log(cx, task) else { return };
    let Some(request) = requests::placement_request(cx, job, service, task) else { return };
    let counts = placement::count_unfit(cx, &request);
    trace::step_waits(task, pending, waited, &request.step.demand, &counts);
}
