//! The cost of the interference that a placement would cause, for the choice of a worker.
//!
//! This handles the following situation: in a pool near its capacity some best-effort images
//! interfere with most serving images, and others with few. Spread evenly, tasks of the images that
//! interfere little occupy the only workers that tolerate the other images, whose tasks then wait
//! for seconds beside free capacity. So a best-effort task goes to the worker that tolerates its
//! image and the fewest others (`COMPATIBILITY_COST`).

use gaplock_jobs::Step;
use gaplock_types::time::Millis;

use crate::decisions::run_times::RunTimeClass;
use crate::state::interference_model::MIN_INTERFERENCE;
use crate::state::worker::{TaskRole, Worker};
use crate::state::State;

/// The share of a worker's processors in use by best-effort tasks alone from which on these, of any
/// image, interfere with the serving tasks there, because all tasks together exhaust the
/// processors. Readings beyond it say nothing about pairs of images.
pub const CONTENTION_SHARE: f64 = 0.6;

/// The share of a worker's processors that best-effort tasks may use. A tenth is left for changes
/// of the serving load within the half second that a reading is old. At 0.6, from where on
/// contention for the processors is felt, full pools serve 0.04 less; 0.75 closes half of that gap,
/// and 1.2 is no better (`docs/design/shifted-work.md`).
pub const MAX_BEST_EFFORT_SHARE: f64 = 0.9;

/// Returns the cost of the interference that placing a step's task on a worker would cause, in
/// workers of free capacity, or `None` where the task must not be placed yet.
pub fn placement_cost(
    cx: &State,
    worker: &Worker,
    step: &Step,
    waited: Millis,
    run_time: RunTimeClass,
) -> Option<f64> {
    if step.fills {
        return best_effort_cost(cx, worker, step, waited, run_time);
    }
    if step.tail_target.is_some() {
        return Some(serving_cost(cx, worker, step));
    }
    Some(0.0)
}

/// How long a best-effort task waits for a worker where it interferes with no serving task. After
/// that it is placed where it interferes least, and slowed down as far as needed. A task that is
/// placed only to be halted takes capacity from others, so this limit only keeps a task from
/// waiting forever: on full pools 20 s are worth 0.016 more than 8 s, and 2.5 s are worth 0.12 less
/// (`docs/design/shifted-work.md`).
const MAX_WAIT_WITHOUT_INTERFERENCE: Millis = Millis(30_000);

/// Returns whether a best-effort task has waited so long that it may interfere.
pub fn may_interfere(waited: Millis) -> bool {
    waited >= MAX_WAIT_WITHOUT_INTERFERENCE
}

/// Cost of one unit of interference beyond what is tolerable, in workers of free capacity.
const EXCESS_INTERFERENCE_COST: f64 = 20.0;

/// Cost of a worker that could take a task of every known best-effort image, in workers of free
/// capacity. On full pools 1 is worth 0.027 and 3 is worth 0.018 (`docs/design/shifted-work.md`).
const COMPATIBILITY_COST: f64 = 1.0;

/// Cost, in whole workers of free capacity, of best-effort tasks that use 100 % of a worker's
/// processors beyond [`CONTENTION_SHARE`]; less in proportion. It keeps the processors of a worker
/// from being contended as long as another worker is as good. It raises the worth by 0.009 on eight
/// pairs of four deployments (`docs/design/shifted-work.md`).
const CONTENTION_COST: f64 = 3.0;

/// Cost of one unit of tolerable interference, in workers of free capacity.
const INTERFERENCE_COST: f64 = 6.0;

/// Returns the cost of placing a best-effort task, due to its interference with serving tasks.
/// Returns `None` where the task must not be placed yet.
fn best_effort_cost(
    cx: &State,
    worker: &Worker,
    step: &Step,
    waited: Millis,
    run_time: RunTimeClass,
) -> Option<f64> {
    let image = step.image.as_deref().unwrap_or_default();
    let column = cx.interference.known_column(image);
    let share = f64::from(step.demand.cpu.0) / f64::from(worker.info.capacity.cpu.0.max(1));
    let spare_share = worker.spare_best_effort_share[run_time.index()];
    if !worker.spare_interference.is_empty() && share > spare_share {
        return None;
    }
    let mut cost = worker.fitting_image_share * COMPATIBILITY_COST;
    if !worker.spare_interference.is_empty() {
        let left = spare_share - share;
        cost += (MAX_BEST_EFFORT_SHARE - CONTENTION_SHARE - left).max(0.0) * CONTENTION_COST;
    }
    for &(row, spare) in &worker.spare_interference {
        let spare = spare[run_time.index()];
        let interference = cx.interference.factor(row, column) * share;
        if interference < MIN_INTERFERENCE {
            continue;
        }
        let excess = interference - spare;
        if excess > 0.0 {
            if !may_interfere(waited) {
                return None;
            }
            cost += excess * EXCESS_INTERFERENCE_COST;
        }
        cost += interference * INTERFERENCE_COST;
    }
    Some(cost)
}

/// Bonus for serving tasks of one image that share a worker, in workers of free capacity: fewer
/// workers are then closed to the best-effort tasks that interfere with the image.
const SAME_IMAGE_BONUS: f64 = 3.0;

/// Returns the cost of placing a serving task, due to interference from best-effort tasks. It is
/// negative beside tasks of its own image.
fn serving_cost(cx: &State, worker: &Worker, step: &Step) -> f64 {
    let image = step.image.as_deref().unwrap_or_default();
    let row = cx.interference.known_row(image);
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let (mut serving, mut same_image) = (0.0, 0.0);
    let mut interference = 0.0;
    for slot in worker.slots.values() {
        match slot.role {
            TaskRole::Serving { row: other, .. } => {
                serving += 1.0;
                same_image += f64::from(u8::from(Some(other) == row));
            }
            TaskRole::Filling(column) => {
                let share = f64::from(slot.best_effort_millicores) / cores;
                interference +=
                    row.map_or(0.0, |r| cx.interference.factor(r, Some(column))) * share;
            }
            TaskRole::Plain => {}
        }
    }
    let same_image_bonus =
        if serving == 0.0 { 0.0 } else { (2.0 * same_image / serving - 1.0) * SAME_IMAGE_BONUS };
    interference * INTERFERENCE_COST - same_image_bonus
}
