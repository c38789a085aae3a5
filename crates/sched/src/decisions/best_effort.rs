//! Views of the tasks on a worker that interfere with each other: serving tasks and best-effort
//! tasks.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::interface::message::Run;
use crate::state::interference_model::{Column, ServingTask};
use crate::state::pace_orders::FULL_PACE;
use crate::state::worker::{Phase, Slot, TaskRole, Worker};

/// How long a worker's readings may include a best-effort task that has ended, or miss a part of
/// one that has begun. Readings cover the last half second.
pub const READING_WINDOW: Millis = Millis(650);

/// Returns what the interference model needs to know about a serving task, or `None` for any other
/// task.
pub fn as_serving_task(key: TaskKey, slot: &Slot) -> Option<ServingTask> {
    match slot.role {
        TaskRole::Serving { row, target_ms } => {
            Some(ServingTask { job: key.job, row, target_ms: f64::from(target_ms.max(1)) })
        }
        _ => None,
    }
}

/// A best-effort task on a worker.
#[derive(Debug, Clone, Copy)]
pub struct BestEffortTask {
    /// The task.
    pub key: TaskKey,
    /// The run.
    pub run: Run,
    /// The model's column for its image.
    pub column: Column,
    /// The share of the worker's processors that it uses at full pace.
    pub share: f64,
    /// The pace that is in force or wanted, in percent of full speed.
    pub pace: u32,
    /// The highest pace among the orders without an answer. It may take effect whatever is ordered
    /// later.
    pub max_unanswered_pace: u32,
}

impl BestEffortTask {
    /// Returns its image and the share of the worker's processors that it uses at full pace.
    pub fn at_full_pace(&self) -> (Column, f64) {
        (self.column, self.share)
    }

    /// Returns its image and the share of the worker's processors that it uses at the highest pace
    /// that may be in force.
    pub fn at_worst_pace(&self) -> (Column, f64) {
        (self.column, self.share * f64::from(self.worst_pace()) / 100.0)
    }

    /// Returns the highest pace that may be in force once [`Self::pace`] has been ordered.
    pub fn worst_pace(&self) -> u32 {
        self.pace.max(self.max_unanswered_pace)
    }
}

/// Lists the best-effort tasks on a worker that are not being stopped.
pub fn list_best_effort(worker: &Worker, now: Instant) -> Vec<BestEffortTask> {
    let running = worker.slots.iter().filter(|(_, slot)| slot.phase != Phase::Stopping);
    let best_effort = running.filter_map(|(key, slot)| match slot.role {
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
    best_effort.collect()
}

/// Returns the share of the worker's processors that a best-effort task uses at full pace: by its
/// reading where that is reliable, otherwise by its demand.
fn share_at_full_pace(slot: &Slot, worker: &Worker, now: Instant) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let demanded = f64::from(slot.best_effort_millicores) / cores;
    let settled = slot.confirmed.is_some_and(|at| now.since(at) >= READING_WINDOW);
    // A reading shows the use at full pace only if the run certainly works at full pace.
    let certain = slot.pace == FULL_PACE && slot.pace_orders.is_certain();
    match slot.reading {
        Some(used) if settled && certain && used > 0 => f64::from(used) / cores,
        _ => demanded,
    }
}
