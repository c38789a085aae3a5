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

/// Tells whether a task that can resume elsewhere would find a worker at once that is not this one.
fn has_better_place(cx: &Context, here: WorkerIx, key: TaskKey) -> bool {
    let Some(entry) = cx.jobs.get(&key.job) else { return false };
    let Some(step) = entry.step(key) else { return false };
    if step.gang || !step.checkpoints {
        return false;
    }
    let queue = cx.config.as_ref().and_then(|c| c.queue(&entry.job.queue));
    let Some(service) = queue.map(|q| &q.service) else { return false };
    let advice = queue.and_then(|q| q.advice.as_ref());
    let (avoid, waited) = (Some(here), Millis(0));
    let wanted = placement::Wanted { service, step, task: key, avoid, waited, advice };
    placement::choose(cx, &wanted).is_some_and(|ix| ix != here)
}
