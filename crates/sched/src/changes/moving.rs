//! Moves best-effort tasks that have been slowed down for long.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Millis;
use rustc_hash::FxHashSet;

use crate::changes::lifecycle;
use crate::decisions::run_times::{self, RunTimeClass};
use crate::decisions::slack::{self, Slack, Usefulness};
use crate::decisions::{placement, steering};
use crate::interface::message::{Run, WorkerIx};
use crate::interface::search_budget::{self, SearchBudget};
use crate::state::interference_model::Column;
use crate::state::worker::{Phase, TaskRole};
use crate::state::State;

/// How long a best-effort task is slowed down before it is moved.
const MOVE_AFTER: Millis = Millis(1_200);

/// How long a best-effort task is slowed down before it is moved if its job will be late otherwise:
/// longer than two readings, so that one high reading of a serving task moves nothing.
const MOVE_URGENT_AFTER: Millis = Millis(500);

/// The time that a move costs in addition to the stop: orders, and loading a checkpoint.
const MOVE_OVERHEAD: Millis = Millis(600);

/// What decides whether a best-effort task finds another worker.
#[derive(Debug, Clone, Copy)]
struct Need {
    image: Column,
    millicores: u32,
    run_time: RunTimeClass,
}

impl Need {
    /// Returns whether a task that needs `other` finds no worker if one that needs this finds none.
    fn covers(&self, other: &Self) -> bool {
        self.image == other.image
            && self.millicores <= other.millicores
            && self.run_time <= other.run_time
    }
}

/// What one check knows, so that it need not evaluate all workers for each slowed task.
#[derive(Debug)]
struct Search {
    /// How many more times the check may search all workers.
    budget: SearchBudget,
    /// Workers to which a task is already moving: each takes one at a time.
    taken: FxHashSet<WorkerIx>,
    /// Needs for which no worker outside of `taken` was found.
    unplaceable: Vec<Need>,
}

/// A best-effort task that has been slowed down for long.
#[derive(Debug, Clone, Copy)]
struct SlowedTask {
    worker: WorkerIx,
    key: TaskKey,
    run: Run,
    need: Need,
    /// Unset if moves do not depend on slack.
    slack: Option<Slack>,
}

/// Moves best-effort tasks that have been slowed down for long to a worker where they interfere
/// with no serving task. Returns how many searches over all workers that took.
pub fn check(cx: &mut State) -> usize {
    let budget = search_budget::open(cx.workers.len());
    let mut search = Search { budget, taken: FxHashSet::default(), unplaceable: Vec::new() };
    if cx.settings.pace_by_slack {
        move_by_slack(cx, &mut search);
    } else {
        move_in_turn(cx, &mut search);
    }
    search.budget.made()
}

/// Moves slowed tasks of one worker after the other. The next check continues where the budget was
/// exhausted.
fn move_in_turn(cx: &mut State, search: &mut Search) {
    for ix in search_budget::rotated_to(cx.worker_ixs(), cx.rebalance_cursors.0) {
        for task in slowed_tasks(cx, ix) {
            if search.budget.is_exhausted() {
                cx.rebalance_cursors.0 = ix;
                return;
            }
            search.move_if_better(cx, &task);
        }
    }
}

/// The part of the budget, as a divisor, that is left to tasks in the order of the workers. If the
/// tasks with least slack use up the rest and find no place at every check, others still move.
const IN_TURN_DIVISOR: usize = 4;

/// Moves slowed tasks by the use of their jobs and by least slack, as far as the budget reaches.
fn move_by_slack(cx: &mut State, search: &mut Search) {
    let ixs = cx.worker_ixs().into_iter();
    let mut slowed: Vec<SlowedTask> = ixs.flat_map(|ix| slowed_tasks(cx, ix)).collect();
    let key = |task: &SlowedTask| task.slack.map(|slack| (slack.usefulness, slack.ms as i64));
    slowed.sort_by_key(|task| (key(task), task.key));
    let kept = search.budget.remaining() / IN_TURN_DIVISOR;
    let mut slowed = slowed.into_iter();
    while search.budget.remaining() > kept {
        let Some(task) = slowed.next() else { return };
        search.move_if_better(cx, &task);
    }
    let from = cx.rebalance_cursors.0;
    let mut untried: Vec<SlowedTask> = slowed.collect();
    untried.sort_by_key(|task| (task.worker < from, task.worker));
    for task in untried {
        if search.budget.is_exhausted() {
            cx.rebalance_cursors.0 = task.worker;
            return;
        }
        search.move_if_better(cx, &task);
    }
}

/// Lists the best-effort tasks on a worker that have been slowed down for long.
fn slowed_tasks(cx: &State, ix: WorkerIx) -> Vec<SlowedTask> {
    let service = &cx.worker(ix).info.service;
    let slots = cx.worker(ix).slots.iter();
    let slowed = slots.filter_map(|(key, slot)| {
        let TaskRole::Filling(image) = slot.role else { return None };
        let lasted = cx.now.since(slot.slowed_since?);
        if slot.phase != Phase::Running || lasted < MOVE_URGENT_AFTER {
            return None;
        }
        let by_slack = cx.settings.pace_by_slack;
        let slack = by_slack.then(|| slack::slack_of(cx, *key, slot.progress_percent)).flatten();
        let run_time = run_times::run_time_class(cx, service, cx.step(*key)?, *key);
        let need = Need { image, millicores: slot.best_effort_millicores, run_time };
        let task = SlowedTask { worker: ix, key: *key, run: slot.run, need, slack };
        (lasted >= move_after(cx, slack)).then_some(task)
    });
    slowed.collect()
}

/// Returns how long a task is slowed down before it is moved. It is moved early if its job can be
/// on time only then.
fn move_after(cx: &State, slack: Option<Slack>) -> Millis {
    let Some(slack) = slack else { return MOVE_AFTER };
    let move_ms = (cx.settings.stop_limit.0 + MOVE_OVERHEAD.0) as f64;
    let late_if_moved_later = move_ms + MOVE_AFTER.0 as f64;
    if slack.usefulness == Usefulness::OnTime && (move_ms..late_if_moved_later).contains(&slack.ms)
    {
        return MOVE_URGENT_AFTER;
    }
    MOVE_AFTER
}

impl Search {
    /// Stops a task if it would find a better worker at once.
    fn move_if_better(&mut self, cx: &mut State, task: &SlowedTask) {
        if self.finds_better_place(cx, task) {
            let SlowedTask { worker, key, run, .. } = *task;
            lifecycle::order_stop(cx, worker, key, run, "it disturbs what is served here");
        }
    }
    /// Returns whether a task can resume elsewhere and would find another worker at once.
    fn finds_better_place(&mut self, cx: &State, task: &SlowedTask) -> bool {
        let SlowedTask { worker: here, key, need, .. } = *task;
        let can_resume = cx.step(key).is_some_and(|step| !step.gang && step.checkpoints);
        if !can_resume
            || steering::is_held(cx, key)
            || self.unplaceable.iter().any(|known| known.covers(&need))
        {
            return false;
        }
        self.budget.spend_one();
        let place = placement::find_other_worker(cx, here, key);
        let found = place.is_some_and(|place| self.taken.insert(place));
        if !found {
            self.unplaceable.push(need);
        }
        found
    }
}
