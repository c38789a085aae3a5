//! Computes the capacity that serving tasks leave on a worker for best-effort tasks.

use crate::decisions::best_effort::{self, BestEffortTask};
use crate::decisions::interference::MAX_BEST_EFFORT_SHARE;
use crate::interface::message::WorkerIx;
use crate::state::interference_model::Row;
use crate::state::worker::{TaskRole, Worker};
use crate::state::State;

/// The share of its target that a serving task's expected tail latency may reach when a task is
/// placed beside it. It is lower than for tasks that already run, so that a task is not slowed down
/// as soon as it was placed.
const PLACEMENT_TAIL_SHARE: f64 = 0.95;

/// How far ahead the load is predicted when a task is placed, in seconds: most of a best-effort
/// task's run time on the users' sites.
const PLACEMENT_LOOKAHEAD_S: f64 = 1.0;

/// The mean share of a worker's processors that a best-effort task takes, by which workers are
/// compared: about two of sixteen to twenty-four cores on the users' sites.
const TYPICAL_TASK_SHARE: f64 = 0.1;

/// Recomputes how much more interference the serving tasks on a worker tolerate, by their image. A
/// task that is slowed down counts with its full pace, to which it is to return before other tasks
/// join it.
pub fn refresh_spare_capacity(cx: &mut State, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker(ix);
    let tasks = best_effort::list_best_effort(worker, now);
    let mut spare: Vec<(Row, f64)> = Vec::new();
    for (key, slot) in &worker.slots {
        let Some(serving) = best_effort::as_serving_task(*key, slot) else { continue };
        let interference = cx
            .interference
            .interference(serving.row, tasks.iter().map(BestEffortTask::at_full_pace));
        let tolerable = cx.interference.tolerable_interference(
            &serving,
            PLACEMENT_TAIL_SHARE,
            now,
            PLACEMENT_LOOKAHEAD_S,
        );
        let left = tolerable - interference;
        match spare.iter_mut().find(|(row, _)| *row == serving.row) {
            Some((_, least)) => *least = least.min(left),
            None => spare.push((serving.row, left)),
        }
    }
    let left = spare_best_effort(cx, worker);
    let fitting_share = if left < TYPICAL_TASK_SHARE {
        0.0
    } else {
        cx.interference.fitting_image_share(&spare, TYPICAL_TASK_SHARE)
    };
    let worker = cx.worker_mut(ix);
    worker.fitting_image_share = fitting_share;
    worker.spare_interference = spare;
    worker.spare_best_effort_share = left;
}

/// Returns the share of a worker's processors that more best-effort tasks may use: what serving
/// tasks at their expected load, short tasks and the present best-effort tasks leave.
fn spare_best_effort(cx: &State, worker: &Worker) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let mut busy = 0.0;
    for (key, slot) in &worker.slots {
        let reserved = f64::from(slot.reservation.cpu.0);
        busy += match slot.role {
            TaskRole::Serving { .. } => {
                reserved * cx.interference.load(key.job, cx.now, PLACEMENT_LOOKAHEAD_S)
            }
            TaskRole::Plain => reserved,
            TaskRole::Filling(_) => 0.0,
        };
    }
    let tasks = best_effort::list_best_effort(worker, cx.now);
    let used: f64 = tasks.iter().map(|task| task.share).sum();
    let left = 1.0 - busy / cores;
    left.min(MAX_BEST_EFFORT_SHARE) - used
}
