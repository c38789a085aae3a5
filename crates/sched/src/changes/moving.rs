//! Moves filling tasks that are slowed down for long.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Millis;
use rustc_hash::FxHashSet;

use crate::changes::lifecycle;
use crate::decisions::placement;
use crate::interface::message::{Run, WorkerIx};
use crate::interface::search_budget::{self, SearchBudget};
use crate::state::interference_model::Column;
use crate::state::worker::{Phase, Slot, TaskRole};
use crate::state::State;

/// How long a filling task is slowed down before it is moved.
const MOVE_AFTER: Millis = Millis(1_200);

/// What one check knows, so that it need not go over all workers for each task that is stuck.
#[derive(Debug)]
struct Search {
    /// How many more times it may go over all workers.
    searches: SearchBudget,
    /// Workers to which a task moves already: each takes one at a time.
    taken: FxHashSet<WorkerIx>,
    /// Images and processor demands for which no worker was found that is not taken; larger ones find none
    /// either.
    unplaceable: Vec<(Column, u32)>,
}

/// Moves filling tasks that have been slowed down for long to a worker where they disturb nobody. Returns
/// how many searches that took.
pub fn check(cx: &mut State) -> usize {
    let searches = search_budget::open(cx.workers.len());
    let mut search = Search { searches, taken: FxHashSet::default(), unplaceable: Vec::new() };
    for ix in search_budget::rotated_to(cx.worker_ixs(), cx.rebalance_cursors.0) {
        for (key, run, column, demand) in slowed_tasks(cx, ix) {
            if search.searches.is_exhausted() {
                cx.rebalance_cursors.0 = ix;
                return search.searches.made();
            }
            if search.finds_better_place(cx, ix, key, (column, demand)) {
                lifecycle::order_stop(cx, ix, key, run, "it disturbs what is served here");
            }
        }
    }
    search.searches.made()
}

/// Lists the filling tasks at a worker that have been slowed down for long, with what they press with.
fn slowed_tasks(cx: &State, ix: WorkerIx) -> Vec<(TaskKey, Run, Column, u32)> {
    let now = cx.now;
    let slow = |slot: &Slot| {
        slot.phase == Phase::Running
            && slot.slowed_since.is_some_and(|since| now.since(since) >= MOVE_AFTER)
    };
    let slots = cx.worker(ix).slots.iter().filter(|(_, slot)| slow(slot));
    let filling = slots.filter_map(|(key, slot)| match slot.role {
        TaskRole::Filling(column) => Some((*key, slot.run, column, slot.best_effort_millicores)),
        _ => None,
    });
    filling.collect()
}

impl Search {
    /// Tells whether a task that can resume elsewhere would find another worker at once.
    fn finds_better_place(
        &mut self,
        cx: &State,
        here: WorkerIx,
        key: TaskKey,
        pressing: (Column, u32),
    ) -> bool {
        let can_resume = cx.step(key).is_some_and(|step| !step.gang && step.checkpoints);
        let larger =
            |&(column, demand): &(Column, u32)| column == pressing.0 && demand <= pressing.1;
        if !can_resume || self.unplaceable.iter().any(larger) {
            return false;
        }
        self.searches.spend_one();
        let place = placement::find_other_worker(cx, here, key);
        let found = place.is_some_and(|place| self.taken.insert(place));
        if !found {
            self.unplaceable.push(pressing);
        }
        found
    }
}
