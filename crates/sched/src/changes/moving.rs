//! Moves best-effort tasks that have been slowed down for long.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Millis;
use rustc_hash::FxHashSet;

use crate::changes::lifecycle;
use crate::decisions::{placement, steering};
use crate::interface::message::{Run, WorkerIx};
use crate::interface::search_budget::{self, SearchBudget};
use crate::state::interference_model::Column;
use crate::state::worker::{Phase, Slot, TaskRole};
use crate::state::State;

/// How long a best-effort task is slowed down before it is moved.
const MOVE_AFTER: Millis = Millis(1_200);

/// What one check knows, so that it need not evaluate all workers for each slowed task.
#[derive(Debug)]
struct Search {
    /// How many more times the check may search all workers.
    budget: SearchBudget,
    /// Workers to which a task is already moving: each takes one at a time.
    taken: FxHashSet<WorkerIx>,
    /// Images and processor demands for which no worker outside of `taken` was found. The same
    /// image with a larger demand finds none either.
    unplaceable: Vec<(Column, u32)>,
}

/// Moves best-effort tasks that have been slowed down for long to a worker where they interfere
/// with no serving task. Returns how many searches over all workers that took.
pub fn check(cx: &mut State) -> usize {
    let budget = search_budget::open(cx.workers.len());
    let mut search = Search { budget, taken: FxHashSet::default(), unplaceable: Vec::new() };
    for ix in search_budget::rotated_to(cx.worker_ixs(), cx.rebalance_cursors.0) {
        for (key, run, column, demand) in slowed_tasks(cx, ix) {
            if search.budget.is_exhausted() {
                cx.rebalance_cursors.0 = ix;
                return search.budget.made();
            }
            if search.finds_better_place(cx, ix, key, (column, demand)) {
                lifecycle::order_stop(cx, ix, key, run, "it disturbs what is served here");
            }
        }
    }
    search.budget.made()
}

/// Lists the best-effort tasks on a worker that have been slowed down for long, with the image and
/// the processor demand of each.
fn slowed_tasks(cx: &State, ix: WorkerIx) -> Vec<(TaskKey, Run, Column, u32)> {
    let now = cx.now;
    let is_slowed = |slot: &Slot| {
        slot.phase == Phase::Running
            && slot.slowed_since.is_some_and(|since| now.since(since) >= MOVE_AFTER)
    };
    let slots = cx.worker(ix).slots.iter().filter(|(_, slot)| is_slowed(slot));
    let best_effort = slots.filter_map(|(key, slot)| match slot.role {
        TaskRole::Filling(column) => Some((*key, slot.run, column, slot.best_effort_millicores)),
        _ => None,
    });
    best_effort.collect()
}

impl Search {
    /// Returns whether a task can resume elsewhere and would find another worker at once.
    fn finds_better_place(
        &mut self,
        cx: &State,
        here: WorkerIx,
        key: TaskKey,
        image_demand: (Column, u32),
    ) -> bool {
        let can_resume = cx.step(key).is_some_and(|step| !step.gang && step.checkpoints);
        let covers = |&(column, demand): &(Column, u32)| {
            column == image_demand.0 && demand <= image_demand.1
        };
        if !can_resume || steering::is_held(cx, key) || self.unplaceable.iter().any(covers) {
            return false;
        }
        self.budget.spend_one();
        let place = placement::find_other_worker(cx, here, key);
        let found = place.is_some_and(|place| self.taken.insert(place));
        if !found {
            self.unplaceable.push(image_demand);
        }
        found
    }
}
