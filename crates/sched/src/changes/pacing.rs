//! How filling tasks disturb serving ones on the same worker, and what is done about it.
//!
//! The model (`state/model.rs`) says what pairs of images do to each other. Placement keeps apart what cannot live
//! together (`decisions/disturbance.rs`), the pace of what presses is lowered only as far as the serving
//! tasks need (`decisions/paces.rs`), and what stays slow for long is moved (`moving.rs`).

mod paces;
mod readings;
mod roles;
mod spare_capacity;

use crate::changes::trace;
use crate::interface::message::WorkerIx;
use crate::state::State;

pub use crate::interface::message::{Learned, LearnedFactor, LearnedImage};
pub use crate::state::interference_model::{Column, InterferenceModel, Row, ServingTask};
pub use crate::state::pace_orders::{PaceOrders, FULL_PACE};

pub use paces::{handle_pace_outcome, order_paces};
pub use readings::store_learned;
pub use roles::role_of;
pub use spare_capacity::refresh_spare_capacity;

/// Takes in a worker's fresh readings: learns from them, then sets the paces that they ask for.
pub fn handle_readings(cx: &mut State, ix: WorkerIx) {
    readings::learn(cx, ix);
    refresh_spare_capacity(cx, ix);
    paces::track_target_excess(cx, ix);
    order_paces(cx, ix);
    if tracing::enabled!(tracing::Level::DEBUG) {
        trace::readings(cx, ix);
    }
}
