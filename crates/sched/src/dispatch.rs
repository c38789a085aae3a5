//! Starts what can start: steps in the order of priority and objective, tasks on the best worker.

use std::collections::BTreeSet;

use gaplock_jobs::config::Advice;
use gaplock_jobs::{Job, Step, TaskKey};
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;
use gaplock_types::{ids, sizes};

use crate::choices::Choices;
use crate::context::Context;
use crate::lifecycle::Occupant;
use crate::message::{Run, WorkerIx};
use crate::placement::{self, Wanted};
use crate::table::{self, ReadyStep, TaskState};
use crate::worker::Phase;
use crate::{gangs, lifecycle, orders, pacing, permits, trace};

/// A demand for which no worker had room in this pass; a demand at least as large with the same
/// restrictions need not be tried.
#[derive(Debug)]
struct Blocked {
    service: ids::ServiceId,
    label: Option<String>,
    takes: Resources,
    /// For a filling task: how far it may disturb others.
    filling: Option<BlockedFilling>,
    /// For a lasting task: whether it has waited so long that it may take what is kept for short ones.
    lasting: Option<bool>,
}

/// What decides, besides its room, whether a filling task finds a worker.
#[derive(Debug)]
struct BlockedFilling {
    image: Option<String>,
    demand: sizes::MilliCores,
    /// Set once it has waited long enough to be placed wherever it disturbs least.
    impatient: bool,
}

impl Blocked {
    /// Builds what is known once a task of a step has found no worker.
    fn of(service: ids::ServiceId, step: &Step, waited: Millis) -> Self {
        let filling = step.fills.then(|| BlockedFilling {
            image: step.image.clone(),
            demand: step.demand.cpu,
            impatient: pacing::is_impatient(waited),
        });
        let lasting = step.lasting.then(|| placement::may_take_all(waited));
        Self { service, label: step.label.clone(), takes: table::takes(step), filling, lasting }
    }

    /// Tells whether a task that is asked for now finds no worker either.
    fn covers(&self, wanted: &Self) -> bool {
        let alike = self.service == wanted.service && self.label == wanted.label;
        let lasts = self.lasting.is_some() == wanted.lasting.is_some();
        alike
            && lasts
            && self.lasting >= wanted.lasting
            && wanted.takes.holds(&self.takes)
            && self.disturbs_less_than(wanted)
    }

    fn disturbs_less_than(&self, wanted: &Self) -> bool {
        match (&self.filling, &wanted.filling) {
            (None, None) => true,
            (Some(known), Some(wanted)) => {
                known.image == wanted.image
                    && known.demand <= wanted.demand
                    && known.impatient >= wanted.impatient
            }
            _ => false,
        }
    }
}

/// What one pass knows, so that it need not go over all workers for each step.
#[derive(Debug)]
struct Pass {
    blocked: Vec<Blocked>,
    /// The most free processors of any worker when the pass began; it only gets less.
    most_free: sizes::MilliCores,
    /// How many steps were held against all workers.
    searches: usize,
}

/// Goes once over all ready steps.
pub fn pass(cx: &mut Context) {
    if cx.config.is_none() {
        return;
    }
    let ready: Vec<ReadyStep> = cx.ready.iter().copied().collect();
    let mut pass = Pass { blocked: Vec::new(), most_free: most_free(cx), searches: 0 };
    for step in ready {
        if cx.has_most_starts() {
            break;
        }
        start_step(cx, step, &mut pass);
    }
    cx.pass_looks = pass.searches * cx.workers.len();
}

/// Returns the most free processors of any worker that takes tasks.
fn most_free(cx: &Context) -> sizes::MilliCores {
    let taking = cx.workers.iter().filter(|w| w.takes_tasks(cx.now));
    taking.map(|w| w.info.capacity.minus(&w.used).cpu).max().unwrap_or_default()
}

/// Starts what it can of one step, unless a demand like it found no room in this pass.
fn start_step(cx: &mut Context, ready: ReadyStep, pass: &mut Pass) {
    let Some(entry) = cx.jobs.get(&ready.job) else { return };
    let job = entry.job.clone();
    let Some(service) = service_of(cx, &job) else { return };
    let step = &job.steps[usize::from(ready.step)];
    let Some(round) = entry.round(ready.round) else { return };
    let pending = &round.steps[usize::from(ready.step)].pending;
    let Some(waited) = longest_wait(cx, ready, pending) else { return };
    let wanted = Blocked::of(service.clone(), step, waited);
    if pass.blocked.iter().any(|b| b.covers(&wanted)) {
        return;
    }
    let pending: Vec<u32> = pending.iter().copied().collect();
    if wanted.takes.cpu > pass.most_free && advice_of(cx, &job).is_none() {
        return explain_first(cx, &job, &service, ready, &pending);
    }
    if step.gang {
        gangs::start(cx, &job, &service, ready, &pending);
        return;
    }
    pass.searches += 1;
    let Some(unplaced) = start_tasks(cx, &job, &service, ready, &pending) else { return };
    explain(cx, &job, &service, unplaced, pending.len());
    if advice_of(cx, &job).is_some() {
        permits::ask(cx, ready, pending.len());
    } else if step.most_per_worker.is_none() {
        let waited = cx.task(unplaced).map_or(Millis(0), |t| cx.now.since(t.since));
        pass.blocked.push(Blocked::of(service, step, waited));
    }
}

/// Returns how long the first task of a step that may start has waited, if there is one. Tasks of one
/// step begin to wait together, but for those that start again.
fn longest_wait(cx: &Context, ready: ReadyStep, pending: &BTreeSet<u32>) -> Option<Millis> {
    let key = |&index| TaskKey { job: ready.job, round: ready.round, step: ready.step, index };
    let mut tasks = pending.iter().map(key).filter(|&task| may_start(cx, task));
    tasks.next().and_then(|task| cx.task(task)).map(|t| cx.now.since(t.since))
}

/// Logs why the first task of a step that may start finds no worker.
fn explain_first(
    cx: &mut Context,
    job: &Job,
    service: &ids::ServiceId,
    ready: ReadyStep,
    pending: &[u32],
) {
    let key = |&index| TaskKey { job: ready.job, round: ready.round, step: ready.step, index };
    if let Some(task) = pending.iter().map(key).find(|&task| may_start(cx, task)) {
        explain(cx, job, service, task, pending.len());
    }
}

/// Starts pending tasks of a step one by one; returns the first that finds no worker.
fn start_tasks(
    cx: &mut Context,
    job: &Job,
    service: &ids::ServiceId,
    ready: ReadyStep,
    pending: &[u32],
) -> Option<TaskKey> {
    // An image counts as known from its first task on, so that all tasks of the step find the same.
    pacing::part_of(cx, &job.steps[usize::from(ready.step)]);
    let mut choices = Choices::default();
    for &index in pending {
        if cx.has_most_starts() {
            return None;
        }
        let task = TaskKey { job: ready.job, round: ready.round, step: ready.step, index };
        if !may_start(cx, task) {
            continue;
        }
        let Some(wanted) = wanted(cx, job, service, task) else { return Some(task) };
        let chosen = choices.take(cx, &wanted);
        debug_assert_eq!(chosen, placement::choose(cx, &wanted), "the kept order is another one");
        let Some(ix) = chosen else { return Some(task) };
        let run = next_run(cx, task);
        reserve(cx, ix, task, run);
        orders::send_start(cx, ix, task, run);
    }
    None
}

/// Returns the pool of workers that runs a job.
fn service_of(cx: &Context, job: &Job) -> Option<ids::ServiceId> {
    let config = cx.config.as_ref()?;
    config.queue(&job.queue).map(|q| q.service.clone())
}

/// Returns what the job's queue says of asking another service where steps may run.
pub fn advice_of<'a>(cx: &'a Context, job: &Job) -> Option<&'a Advice> {
    cx.config.as_ref()?.queue(&job.queue)?.advice.as_ref()
}

/// Tells whether a task is pending and its pause over.
pub fn may_start(cx: &Context, task: TaskKey) -> bool {
    let state = cx.task(task);
    state.is_some_and(|t| t.state == TaskState::Pending && t.not_before <= cx.now)
}

/// Says what a task asks of a worker.
pub fn wanted<'a>(
    cx: &'a Context,
    job: &'a Job,
    service: &'a ids::ServiceId,
    task: TaskKey,
) -> Option<Wanted<'a>> {
    let step = &job.steps[usize::from(task.step)];
    let found = cx.task(task)?;
    let (avoid, waited) = (found.failed_on, cx.now.since(found.since));
    let (advice, only_rack) = (advice_of(cx, job), None);
    Some(Wanted { service, step, task, avoid, waited, only_rack, advice })
}

/// How often the log says why a step waits.
const EXPLAIN_EVERY: Millis = Millis(2_000);

/// Logs why a task finds no worker, once it has waited for a while.
fn explain(cx: &mut Context, job: &Job, service: &ids::ServiceId, task: TaskKey, pending: usize) {
    let now = cx.now;
    let Some(waited) = cx.task(task).map(|t| now.since(t.since)) else { return };
    let round = cx.jobs.get_mut(&task.job).and_then(|e| e.round_mut(task.round));
    let Some(state) = round.map(|r| &mut r.steps[usize::from(task.step)]) else { return };
    if waited < EXPLAIN_EVERY || now.since(state.explained) < EXPLAIN_EVERY {
        return;
    }
    state.explained = now;
    let Some(wanted) = wanted(cx, job, service, task) else { return };
    let counts = placement::explain(cx, &wanted);
    trace::step_waits(task, pending, waited, &wanted.step.demand, &counts);
}

/// Counts another start of a task and returns its run.
fn next_run(cx: &mut Context, task: TaskKey) -> Run {
    let found = cx.task_mut(task);
    let starts = found.map_or(1, |t| {
        t.starts += 1;
        t.starts
    });
    cx.run_number(starts)
}

/// Takes the room for a run and holds the task to be there from now on.
pub fn reserve(cx: &mut Context, ix: WorkerIx, task: TaskKey, run: Run) {
    let now = cx.now;
    lifecycle::leave_pending(cx, task);
    let (phase, percent, reading) = (Phase::Starting, 0, None);
    lifecycle::occupy(cx, ix, task, Occupant { run, phase, percent, reading });
    let worker = cx.worker(ix).info.id.clone();
    if let Some(t) = cx.task_mut(task) {
        t.state = TaskState::Active { worker: ix, run };
        trace::start_ordered(task, run, &worker, now.since(t.since));
    }
}
