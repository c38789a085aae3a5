//! What a placement would disturb: the cost that the choice of a worker counts.
//!
//! The pattern: a pool near its capacity in which some filling images press on most of what serves and
//! others on little. Spread evenly, those that press on little take the workers that alone bear the others,
//! which then wait for seconds beside room. So an image goes to the least open worker that bears it
//! ([`COMPATIBILITY_COST`]): to the one that the fewest images could use.

use gaplock_jobs::Step;
use gaplock_types::time::Millis;

use crate::state::interference_model::MIN_INTERFERENCE;
use crate::state::worker::{TaskRole, Worker};
use crate::state::State;

/// The share of a worker's processors from which filling tasks of any image disturb what is served
/// there, because the processors are used up; as measured. Readings beyond it teach nothing of pairs.
pub const CONTENTION_SHARE: f64 = 0.6;

/// The share of a worker's processors that filling tasks may use: a tenth is left for the swing of what
/// serves within the half second that a reading is old. At 0.6, from where on the processors' use itself is
/// felt, full pools serve 0.04 less; 0.75 is half way, 1.2 no better (`docs/design/shifted-work.md`).
pub const MAX_BEST_EFFORT_SHARE: f64 = 0.9;

/// Returns how much placing a step's task on a worker would disturb, against one worker of free
/// room, or nothing where it must not be placed there yet.
pub fn placement_cost(cx: &State, worker: &Worker, step: &Step, waited: Millis) -> Option<f64> {
    if step.fills {
        return best_effort_cost(cx, worker, step, waited);
    }
    if step.tail_target.is_some() {
        return Some(serving_cost(cx, worker, step));
    }
    Some(0.0)
}

/// How long a filling task waits for a worker where it disturbs nobody before it is placed where
/// it disturbs least, slowed down as far as needed. One that is placed only to be halted takes the room
/// of others, so this bound only keeps a task from waiting for ever: on full pools 20 s are worth 0.016 more
/// than 8 s and 2.5 s 0.12 less (`docs/design/shifted-work.md`).
const MAX_WAIT_WITHOUT_INTERFERENCE: Millis = Millis(30_000);

/// Tells whether a filling task has waited so long that it may disturb.
pub fn may_interfere(waited: Millis) -> bool {
    waited >= MAX_WAIT_WITHOUT_INTERFERENCE
}

/// Cost of a unit of pressure beyond what is bearable, against one worker of free room.
const EXCESS_INTERFERENCE_COST: f64 = 20.0;

/// Cost of a worker on which every known filling image would find a place, against one worker of free room.
/// On full pools 1 is worth 0.027 and 3 is worth 0.018 (`docs/design/shifted-work.md`).
const COMPATIBILITY_COST: f64 = 1.0;

/// Cost of each whole share of a worker's processors that is filled beyond [`CONTENTION_SHARE`], against one
/// worker of free room: as long as another worker is as good, none is crowded. Worth 0.009 on eight pairs of
/// four deployments (`docs/design/shifted-work.md`).
const CONTENTION_COST: f64 = 3.0;

/// Cost of a unit of bearable pressure, against one worker of free room.
const INTERFERENCE_COST: f64 = 6.0;

/// Returns what placing a filling task costs by its push on what serves there.
fn best_effort_cost(cx: &State, worker: &Worker, step: &Step, waited: Millis) -> Option<f64> {
    let image = step.image.as_deref().unwrap_or_default();
    let column = cx.interference.known_column(image);
    let share = f64::from(step.demand.cpu.0) / f64::from(worker.info.capacity.cpu.0.max(1));
    if !worker.spare_interference.is_empty() && share > worker.spare_best_effort_share {
        return None;
    }
    let mut cost = worker.fitting_image_share * COMPATIBILITY_COST;
    if !worker.spare_interference.is_empty() {
        let left = worker.spare_best_effort_share - share;
        cost += (MAX_BEST_EFFORT_SHARE - CONTENTION_SHARE - left).max(0.0) * CONTENTION_COST;
    }
    for &(row, spare) in &worker.spare_interference {
        let push = cx.interference.factor(row, column) * share;
        if push < MIN_INTERFERENCE {
            continue;
        }
        let excess = push - spare;
        if excess > 0.0 {
            if !may_interfere(waited) {
                return None;
            }
            cost += excess * EXCESS_INTERFERENCE_COST;
        }
        cost += push * INTERFERENCE_COST;
    }
    Some(cost)
}

/// Worth of serving tasks of one image sharing a worker: fewer workers are then closed to the
/// filling tasks that disturb the image. Against one worker of free room.
const SAME_IMAGE_BONUS: f64 = 3.0;

/// Returns what placing a serving task costs by the push of what fills there; negative beside
/// tasks of its own image.
fn serving_cost(cx: &State, worker: &Worker, step: &Step) -> f64 {
    let image = step.image.as_deref().unwrap_or_default();
    let row = cx.interference.known_row(image);
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let (mut all, mut same_image) = (0.0, 0.0);
    let mut pressed = 0.0;
    for slot in worker.slots.values() {
        match slot.role {
            TaskRole::Serving { row: there, .. } => {
                all += 1.0;
                same_image += f64::from(u8::from(Some(there) == row));
            }
            TaskRole::Filling(column) => {
                let share = f64::from(slot.best_effort_millicores) / cores;
                pressed += row.map_or(0.0, |r| cx.interference.factor(r, Some(column))) * share;
            }
            TaskRole::Plain => {}
        }
    }
    let alike = if all == 0.0 { 0.0 } else { (2.0 * same_image / all - 1.0) * SAME_IMAGE_BONUS };
    pressed * INTERFERENCE_COST - alike
}
