//! Keys of steps.

use gaplock_jobs::{JobKey, TaskKey};

/// A step in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// The round.
    pub round: u32,
    /// The step.
    pub step: u16,
}

impl StepKey {
    /// Returns the step that a task belongs to.
    pub fn of(task: TaskKey) -> Self {
        Self { job: task.job, round: task.round, step: task.step }
    }
}
