//! Computes the capacity that serving tasks leave on a worker for best-effort tasks.

use gaplock_jobs::JobKey;
use gaplock_types::time::Millis;

use crate::decisions::best_effort::{self, BestEffortTask};
use crate::decisions::interference::MAX_BEST_EFFORT_SHARE;
use crate::interface::message::WorkerIx;
use crate::state::interference_model::{Lookahead, Row};
use crate::state::worker::{TaskRole, Worker, RUN_TIMES};
use crate::state::State;

/// The share of its target that a serving task's expected tail latency may reach when a task is
/// placed beside it. It is lower than for tasks that already run, so that a task is not slowed down
/// as soon as it was placed.
const PLACEMENT_TAIL_SHARE: f64 = 0.95;

/// How far ahead the load is extrapolated when a task is placed and the load has no confirmed
/// period, in seconds: most of a best-effort task's run time on the users' sites.
const PLACEMENT_LOOKAHEAD_S: f64 = 1.0;

/// The mean share of a worker's processors that a best-effort task takes, by which workers are
/// compared: about two of sixteen to twenty-four cores on the users' sites.
const TYPICAL_TASK_SHARE: f64 = 0.1;

/// The run time, by its position in [`RUN_TIMES`], of the best-effort tasks by which workers are
/// compared: that of batch tasks on the users' sites, 1.7 to 2.3 s.
const TYPICAL_RUN_TIME: usize = 1;

/// Recomputes how much more interference the serving tasks on a worker tolerate, by their image. A
/// task that is slowed down counts with its full pace, to which it is to return before other tasks
/// join it.
pub fn refresh_spare_capacity(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker(ix);
    let tasks = best_effort::list_best_effort(worker, cx.now);
    let mut spare: Vec<(Row, [f64; RUN_TIMES.len()])> = Vec::new();
    let mut busy = [0.0; RUN_TIMES.len()];
    for (key, slot) in &worker.slots {
        let reserved = f64::from(slot.reservation.cpu.0);
        let Some(serving) = best_effort::as_serving_task(*key, slot) else {
            if slot.role == TaskRole::Plain {
                busy.iter_mut().for_each(|busy| *busy += reserved);
            }
            continue;
        };
        let loads = RUN_TIMES.map(|run_time| load_during(cx, serving.job, run_time));
        busy.iter_mut().zip(loads).for_each(|(busy, load)| *busy += reserved * load);
        let interference = cx
            .interference
            .interference(serving.row, tasks.iter().map(BestEffortTask::at_full_pace));
        let left = loads.map(|load| {
            cx.interference.tolerable_interference(&serving, PLACEMENT_TAIL_SHARE, load)
                - interference
        });
        match spare.iter_mut().find(|(row, _)| *row == serving.row) {
            Some((_, least)) => least.iter_mut().zip(left).for_each(|(l, new)| *l = l.min(new)),
            None => spare.push((serving.row, left)),
        }
    }
    let left = spare_best_effort(worker, &tasks, busy);
    let fitting_share = if left[TYPICAL_RUN_TIME] < TYPICAL_TASK_SHARE {
        0.0
    } else {
        let typical: Vec<(Row, f64)> =
            spare.iter().map(|(row, left)| (*row, left[TYPICAL_RUN_TIME])).collect();
        cx.interference.fitting_image_share(&typical, TYPICAL_TASK_SHARE)
    };
    let worker = cx.worker_mut(ix);
    worker.fitting_image_share = fitting_share;
    worker.spare_interference = spare;
    worker.spare_best_effort_share = left;
}

/// Returns the load that a best-effort task with this run time has to fit beside.
fn load_during(cx: &State, job: JobKey, run_time: Millis) -> f64 {
    let ahead = Lookahead { slope_s: PLACEMENT_LOOKAHEAD_S, highest_within: run_time };
    cx.interference.load_ahead(job, cx.now, ahead)
}

/// Returns the share of a worker's processors that more best-effort tasks may use: what serving
/// tasks at their expected load, short tasks and the present best-effort tasks leave.
fn spare_best_effort(
    worker: &Worker,
    tasks: &[BestEffortTask],
    busy: [f64; RUN_TIMES.len()],
) -> [f64; RUN_TIMES.len()] {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let used: f64 = tasks.iter().map(|task| task.share).sum();
    busy.map(|busy| (1.0 - busy / cores).min(MAX_BEST_EFFORT_SHARE) - used)
}
