//! Moves best-effort tasks that have been slowed down for long.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Millis;
use rustc_hash::FxHashSet;

use crate::changes::lifecycle;
use crate::decisions::placement;
use crate::decisions::run_times::{self, RunTimeClass};
use crate::interface::message::{Run, WorkerIx};
use crate::interface::search_budget::{self, SearchBudget};
use crate::state::interference_model::Column;
use crate::state::worker::{Phase, Slot, TaskRole};
use crate::state::State;

/// How long a best-effort task is slowed down before it is moved.
const MOVE_AFTER: Millis = Millis(1_200);

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

/// Moves best-effort tasks that have been slowed down for long to a worker where they interfere
/// with no serving task. Returns how many searches over all workers that took.
pub fn check(cx: &mut State) -> usize {
    let budget = search_budget::open(cx.workers.len());
    let mut search = Search { budget, taken: FxHashSet::default(), unplaceable: Vec::new() };
    for ix in search_budget::rotated_to(cx.worker_ixs(), cx.rebalance_cursors.0) {
        for (key, run, need) in slowed_tasks(cx, ix) {
            if search.budget.is_exhausted() {
                cx.rebalance_cursors.0 = ix;
                return search.budget.made();
            }
            if search.finds_better_place(cx, ix, key, need) {
                lifecycle::order_stop(cx, ix, key, run, "it disturbs what is served here");
            }
        }
    }
    search.budget.made()
}

/// Lists the best-effort tasks on a worker that have been slowed down for long, with what each of
/// them needs elsewhere.
fn slowed_tasks(cx: &State, ix: WorkerIx) -> Vec<(TaskKey, Run, Need)> {
    let now = cx.now;
    let service = &cx.worker(ix).info.service;
    let is_slowed = |slot: &Slot| {
        slot.phase == Phase::Running
            && slot.slowed_since.is_some_and(|since| now.since(since) >= MOVE_AFTER)
    };
    let slots = cx.worker(ix).slots.iter().filter(|(_, slot)| is_slowed(slot));
    let best_effort = slots.filter_map(|(key, slot)| match slot.role {
        TaskRole::Filling(image) => {
            let run_time = run_times::run_time_class(cx, service, cx.step(*key)?, *key);
            let need = Need { image, millicores: slot.best_effort_millicores, run_time };
            Some((*key, slot.run, need))
        }
        _ => None,
    });
    best_effort.collect()
}

impl Search {
    /// Returns whether a task can resume elsewhere and would find another worker at once.
    fn finds_better_place(&mut self, cx: &State, here: WorkerIx, key: TaskKey, need: Need) -> bool {
        let can_resume = cx.step(key).is_some_and(|step| !step.gang && step.checkpoints);
        if !can_resume || self.unplaceable.iter().any(|known| known.covers(&need)) {
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
