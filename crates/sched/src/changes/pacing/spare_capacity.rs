//! The room that serving tasks leave on a worker for filling ones.

use crate::decisions::best_effort::{self, BestEffortTask};
use crate::decisions::interference::MAX_BEST_EFFORT_SHARE;
use crate::interface::message::WorkerIx;
use crate::state::interference_model::Row;
use crate::state::worker::{TaskRole, Worker};
use crate::state::State;

/// Part of its target that a serving task's expected tail may reach when a task is placed beside
/// it: lower than for what already runs, so that what was just placed is not slowed down at once.
const PLACEMENT_TAIL_SHARE: f64 = 0.95;

/// How far ahead the load is looked at when a task is placed, in seconds: most of a filling task's
/// time on the users' sites.
const PLACEMENT_LOOKAHEAD_S: f64 = 1.0;

/// The share of a worker's processors that a filling task takes in the mean, by which workers are compared:
/// about two of sixteen to twenty-four cores on the users' sites.
const TYPICAL_TASK_SHARE: f64 = 0.1;

/// Recomputes how much more pressure the serving tasks on a worker bear, by their image. What is slowed
/// down counts with its full pace, to which it is to come back before others join it.
pub fn refresh_spare_capacity(cx: &mut State, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker(ix);
    let tasks = best_effort::list_best_effort(worker, now);
    let mut spare: Vec<(Row, f64)> = Vec::new();
    for (key, slot) in &worker.slots {
        let Some(served) = best_effort::as_serving_task(*key, slot) else { continue };
        let pressure = cx
            .interference
            .interference(served.row, tasks.iter().map(BestEffortTask::at_full_pace));
        let bearable = cx.interference.tolerable_interference(
            &served,
            PLACEMENT_TAIL_SHARE,
            now,
            PLACEMENT_LOOKAHEAD_S,
        );
        let left = bearable - pressure;
        match spare.iter_mut().find(|(row, _)| *row == served.row) {
            Some((_, known)) => *known = known.min(left),
            None => spare.push((served.row, left)),
        }
    }
    let left = spare_filling(cx, worker);
    let openness = if left < TYPICAL_TASK_SHARE {
        0.0
    } else {
        cx.interference.fitting_image_share(&spare, TYPICAL_TASK_SHARE)
    };
    let worker = cx.worker_mut(ix);
    worker.fitting_image_share = openness;
    worker.spare_interference = spare;
    worker.spare_best_effort_share = left;
}

/// Returns the share of a worker's processors that more filling tasks may use: what serving tasks
/// at their expected load, short tasks and filling tasks leave.
fn spare_filling(cx: &State, worker: &Worker) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let mut busy = 0.0;
    for (key, slot) in &worker.slots {
        let takes = f64::from(slot.reservation.cpu.0);
        busy += match slot.role {
            TaskRole::Serving { .. } => {
                takes * cx.interference.load(key.job, cx.now, PLACEMENT_LOOKAHEAD_S)
            }
            TaskRole::Plain => takes,
            TaskRole::Filling(_) => 0.0,
        };
    }
    let tasks = best_effort::list_best_effort(worker, cx.now);
    let used: f64 = tasks.iter().map(|f| f.share).sum();
    let left = 1.0 - busy / cores;
    left.min(MAX_BEST_EFFORT_SHARE) - used
}
