//! How filling tasks disturb serving ones on the same worker, and what is done about it.
//!
//! The model (`state/model.rs`) says what pairs of images do to each other. Placement keeps apart what cannot live
//! together (`placing`), the pace of what presses is lowered only as far as the serving tasks
//! need (`paces`), and what stays slow for long is moved (`moving`).

mod filling;
mod moving;
mod paces;
mod placing;
mod readings;

use gaplock_types::time::Millis;

use crate::message::WorkerIx;
use crate::state::State;
use crate::trace;

pub use crate::message::{Learnt, LearntFactor, LearntImage};
pub use crate::state::model::{Column, Model, Row, Served};
pub use crate::state::paces::{GivenPaces, FULL_PACE};

pub use filling::part_of;
pub use moving::check;
pub use paces::{paced, set_paces};
pub use placing::{is_impatient, placement_cost, refresh};
pub use readings::keep_learnt;

/// Readings cover the last half second; a worker on which a filling task has ended within this
/// time shows what that task did, but no longer the task.
const SETTLE: Millis = Millis(650);

/// The share of a worker's processors from which filling tasks of any image disturb what is served
/// there, because the processors are used up; as measured. Readings beyond it teach nothing of pairs.
const CROWDED_SHARE: f64 = 0.6;

/// Takes in a worker's fresh readings: learns from them, then sets the paces that they ask for.
pub fn observe(cx: &mut State, ix: WorkerIx) {
    readings::learn(cx, ix);
    refresh(cx, ix);
    paces::watch_targets(cx, ix);
    set_paces(cx, ix);
    if tracing::enabled!(tracing::Level::DEBUG) {
        trace::readings(cx, ix);
    }
}
