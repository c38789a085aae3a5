//! Restarts tasks of slow workers elsewhere, if they would be done sooner there or would keep their
//! tail latency target.
//!
//! If the step allows speculative copies, the slow run continues, and the run that ends first
//! counts. Otherwise the slow run is stopped first, since two runs of one task must never overlap.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Millis;

use crate::changes::{lifecycle, trace};
use crate::decisions::{placement, slowness, steering};
use crate::interface::message::{Run, WorkerIx};
use crate::interface::search_budget;
use crate::state::job_table::TaskState;
use crate::state::State;

/// Restarts tasks elsewhere that would take much longer on their slow worker. Returns how many
/// searches over all workers that took.
pub fn check(cx: &mut State) -> usize {
    let mut budget = search_budget::open(cx.workers.len());
    for ix in search_budget::rotated_to(cx.worker_ixs(), cx.rebalance_cursors.1) {
        let worker = cx.worker(ix);
        if worker.unanswered_renewals > 0 || !worker.speed.is_slow(cx.now) {
            continue;
        }
        let slow = worker.slots.iter().filter(|(key, slot)| {
            slowness::is_straggler(cx, ix, **key, slot) && !steering::is_held(cx, **key)
        });
        let slow: Vec<(TaskKey, Run)> = slow.map(|(key, slot)| (*key, slot.run)).collect();
        for (key, run) in slow {
            if budget.is_exhausted() {
                cx.rebalance_cursors.1 = ix;
                return budget.made();
            }
            budget.spend_one();
            if placement::find_other_worker(cx, ix, key).is_some() {
                restart_elsewhere(cx, ix, key, run);
            }
        }
    }
    budget.made()
}

/// Restarts a task elsewhere: beside its slow run if speculative copies are allowed, otherwise
/// after the slow run has been stopped.
fn restart_elsewhere(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run) {
    let may_copy = cx.step(key).is_some_and(|step| step.duplicates);
    if !may_copy {
        return lifecycle::order_stop(cx, ix, key, run, "its worker is slow");
    }
    let Some(task) = cx.task_mut(key).filter(|t| t.slow_run.is_none()) else { return };
    task.slow_run = Some((ix, run));
    task.state = TaskState::Waiting;
    trace::copy_wanted(key, run, &cx.worker(ix).info.id);
    lifecycle::make_pending(cx, key, Millis(0));
}
