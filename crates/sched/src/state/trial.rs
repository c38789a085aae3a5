//! Trials of tasks that may crash their workers.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Instant;

/// A worker that one task has to itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The task.
    pub task: TaskKey,
    /// When it began.
    pub began: Instant,
    /// When others may start there again, if the task still runs.
    pub until: Instant,
}

impl Trial {
    /// Tells whether the worker is kept from a task of another job.
    pub fn excludes(&self, task: TaskKey, now: Instant) -> bool {
        self.until > now && self.task.job != task.job
    }
}
