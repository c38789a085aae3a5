//! The progress of a job: the part of the scheduler's state that is stored.

use gaplock_types::ids;

use crate::config::Queue;
use crate::job::JobKey;

/// A job's state as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Active,
    /// Every task has succeeded.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the state can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// What is stored about a task that is not done but has failed runs, a checkpoint or worker
/// crashes.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskRecord {
    /// The task's index in its step.
    pub index: u32,
    /// How many runs have failed.
    #[serde(default)]
    pub failed: u32,
    /// The last runs that were counted as failed, in the order of counting. A worker lists an end
    /// until it is acknowledged, so a new leader may be notified of it again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub counted_runs: Vec<u64>,
    /// The last checkpoint of a run that no worker lists any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// The run that saved the checkpoint; 0 if no checkpoint is stored.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub checkpoint_run: u64,
    /// The workers that crashed while they ran the task; a few at most.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<ids::WorkerId>,
    /// One more worker that may have crashed while it ran the task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub perhaps_crashed: Option<ids::WorkerId>,
    /// The workers at which the task may be running. `None` if its starts have not been stored
    /// since the last of these crashes was recorded; it may then be running at any worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<Vec<ids::WorkerId>>,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Progress of one step in one round.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct StepProgress {
    /// Done tasks as inclusive ranges of indices, in ascending order.
    pub done: Vec<(u32, u32)>,
    /// Tasks that are not done but have failed runs, a checkpoint or worker crashes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<TaskRecord>,
}

/// Progress of one round of a job.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RoundProgress {
    /// The round's number.
    pub round: u32,
    /// Whether every task of the round is done; then `steps` is empty.
    #[serde(default)]
    pub finished: bool,
    /// One entry for each step.
    pub steps: Vec<StepProgress>,
}

/// The stored progress of a job.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// The job.
    pub key: JobKey,
    /// The state that callers may be shown.
    pub state: JobState,
    /// When the job ended, in milliseconds since 1970; 0 until then.
    #[serde(default)]
    pub ended_unix_ms: u64,
    /// Rounds that have started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rounds: Vec<RoundProgress>,
    /// The job's queue as a leader last knew it, if the job's own record names no queue or another
    /// pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<Queue>,
}

/// Packs ascending indices into inclusive ranges.
pub fn pack(indices: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for index in indices {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == index => *last = index,
            _ => ranges.push((index, index)),
        }
    }
    ranges
}

/// Unpacks inclusive ranges into indices.
pub fn unpack(ranges: &[(u32, u32)]) -> impl Iterator<Item = u32> + '_ {
    ranges.iter().flat_map(|&(first, last)| first..=last)
}
