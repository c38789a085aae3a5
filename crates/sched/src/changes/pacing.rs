//! Limits the interference of best-effort tasks with serving tasks on the same worker.
//!
//! The model (`state/interference_model.rs`) holds how much pairs of images interfere. Placement
//! keeps incompatible images apart (`decisions/interference.rs`), the pace of interfering tasks is
//! lowered only as far as the serving tasks need (`decisions/paces.rs`), and tasks that stay slowed
//! down for long are moved (`moving.rs`).

mod paces;
mod readings;
mod roles;
mod spare_capacity;

use crate::changes::trace;
use crate::interface::message::WorkerIx;
use crate::state::State;

pub use crate::interface::message::{Learned, LearnedFactor, LearnedImage, LearnedPeriod};
pub use crate::state::interference_model::{
    Column, InterferenceModel, Lookahead, PoolIx, Row, ServingTask,
};
pub use crate::state::pace_orders::{PaceOrders, FULL_PACE};

pub use paces::{handle_pace_outcome, order_paces};
pub use readings::store_learned;
pub use roles::add_image_and_get_role;
pub use spare_capacity::refresh_spare_capacity;

/// Handles a worker's new readings: learns from them, then orders the paces that they require.
pub fn handle_readings(cx: &mut State, ix: WorkerIx) {
    readings::learn(cx, ix);
    refresh_spare_capacity(cx, ix);
    paces::track_target_excess(cx, ix);
    order_paces(cx, ix);
    if tracing::enabled!(tracing::Level::DEBUG) {
        trace::readings(cx, ix);
    }
}
