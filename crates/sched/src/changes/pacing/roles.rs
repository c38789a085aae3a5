//! What tasks are to each other on a worker.

use gaplock_jobs::Step;

use crate::state::worker::TaskRole;
use crate::state::State;

/// Returns what a step's tasks are to each other on a worker.
pub fn role_of(cx: &mut State, step: &Step) -> TaskRole {
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
