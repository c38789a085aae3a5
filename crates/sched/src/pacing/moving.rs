//! Moves filling tasks that are slowed down for long.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Millis;

use crate::context::Context;
use crate::message::{Run, WorkerIx};
use crate::worker::{Phase, Slot};
use crate::{lifecycle, placement};

/// How long a filling task is slowed down before it is moved.
const MOVE_AFTER: Millis = Millis(1_200);

/// Moves filling tasks that have been slowed down for long to a worker where they disturb nobody.
pub fn check(cx: &mut Context) {
    let now = cx.now;
    for ix in cx.worker_ixs() {
        let worker = cx.worker(ix);
        let slow = |slot: &Slot| {
            slot.phase == Phase::Running
                && slot.slowed.is_some_and(|since| now.since(since) >= MOVE_AFTER)
        };
        let stuck: Vec<(TaskKey, Run)> = worker
            .slots
            .iter()
            .filter(|(_, slot)| slow(slot))
            .map(|(key, slot)| (*key, slot.run))
            .collect();
        for (key, run) in stuck {
            if has_better_place(cx, ix, key) {
                lifecycle::order_stop(cx, ix, key, run, "it disturbs what is served here");
            }
        }
    }
}

/// Tells whether a task that can resume elsewhere would find another worker at once.
fn has_better_place(cx: &Context, here: WorkerIx, key: TaskKey) -> bool {
    let can_resume = cx.step(key).is_some_and(|step| !step.gang && step.checkpoints);
    can_resume && placement::elsewhere(cx, here, key).is_some()
}
