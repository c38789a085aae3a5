//! Trials of tasks that may crash their workers: each runs alone on a worker for a while.

use gaplock_jobs::TaskKey;
use gaplock_types::time::Instant;

/// The trial of one task on a worker that is reserved for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The task.
    pub task: TaskKey,
    /// When it began.
    pub began: Instant,
    /// When tasks of other jobs may start there again, even if the task still runs.
    pub until: Instant,
}

impl Trial {
    /// Returns whether the trial excludes a task of another job from the worker.
    pub fn excludes(&self, task: TaskKey, now: Instant) -> bool {
        self.until > now && self.task.job != task.job
    }
}
