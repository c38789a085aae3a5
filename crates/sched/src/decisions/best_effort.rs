//! The tasks that disturb each other on a worker: those that serve, and those that fill.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::interface::message::Run;
use crate::state::interference_model::{Column, ServingTask};
use crate::state::pace_orders::FULL_PACE;
use crate::state::worker::{Phase, Slot, TaskRole, Worker};

/// Readings cover the last half second; a worker on which a filling task has ended within this
/// time shows what that task did, but no longer the task.
pub const READING_WINDOW: Millis = Millis(650);

/// Returns what the model needs of a serving task, and nothing for any other.
pub fn as_serving_task(key: TaskKey, slot: &Slot) -> Option<ServingTask> {
    match slot.role {
        TaskRole::Serving { row, target_ms } => {
            Some(ServingTask { job: key.job, row, target_ms: f64::from(target_ms.max(1)) })
        }
        _ => None,
    }
}

/// A filling task at a worker.
#[derive(Debug, Clone, Copy)]
pub struct BestEffortTask {
    /// The task.
    pub key: TaskKey,
    /// The run.
    pub run: Run,
    /// Its image.
    pub column: Column,
    /// Share of the worker's processors at full pace.
    pub share: f64,
    /// The pace that is in force or wanted, in percent of full speed.
    pub pace: u32,
    /// The highest pace that may come into force whatever is ordered, by an order without an
    /// answer.
    pub max_unanswered_pace: u32,
}

impl BestEffortTask {
    /// Returns its image and the share of the worker's processors that it uses at full pace.
    pub fn at_full_pace(&self) -> (Column, f64) {
        (self.column, self.share)
    }

    /// Returns its image and the share of the worker's processors that it uses at the worst of the
    /// paces that may be in force.
    pub fn at_worst_pace(&self) -> (Column, f64) {
        (self.column, self.share * f64::from(self.worst_pace()) / 100.0)
    }

    /// Returns the highest pace that may be in force once its own is ordered.
    pub fn worst_pace(&self) -> u32 {
        self.pace.max(self.max_unanswered_pace)
    }
}

/// Lists the filling tasks on a worker that are not being stopped.
pub fn list_best_effort(worker: &Worker, now: Instant) -> Vec<BestEffortTask> {
    let running = worker.slots.iter().filter(|(_, slot)| slot.phase != Phase::Stopping);
    let filling = running.filter_map(|(key, slot)| match slot.role {
        TaskRole::Filling(column) => Some(BestEffortTask {
            key: *key,
            run: slot.run,
            column,
            share: share_at_full_pace(slot, worker, now),
            pace: slot.pace,
            max_unanswered_pace: slot.pace_orders.max_unanswered_percent(),
        }),
        _ => None,
    });
    filling.collect()
}

/// Returns the share of the worker's processors that a filling task uses at full pace.
fn share_at_full_pace(slot: &Slot, worker: &Worker, now: Instant) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let wanted = f64::from(slot.best_effort_millicores) / cores;
    let settled = slot.confirmed.is_some_and(|at| now.since(at) >= READING_WINDOW);
    // What a run uses tells of its full pace only where it is certain to work at it.
    let certain = slot.pace == FULL_PACE && slot.pace_orders.is_certain();
    match slot.reading {
        Some(used) if settled && certain && used > 0 => f64::from(used) / cores,
        _ => wanted,
    }
}
