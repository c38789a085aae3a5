//! Determines the role of tasks beside others on a worker.

use gaplock_jobs::Step;

use crate::state::worker::TaskRole;
use crate::state::State;

/// Returns the role of a step's tasks beside others on a worker. Adds the step's image to the model
/// if it is new.
pub fn add_image_and_get_role(cx: &mut State, step: &Step) -> TaskRole {
    let image = step.image.as_deref().unwrap_or_default();
    if step.fills {
        return TaskRole::Filling(cx.interference.column(image));
    }
    match step.tail_target {
        Some(target) => {
            TaskRole::Serving { row: cx.interference.row(image), target_ms: target.0 as u32 }
        }
        None => TaskRole::Plain,
    }
}
