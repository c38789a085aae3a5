//! A job as its caller described it.

use std::fmt;
use std::str;

use gaplock_types::{ids, sizes, time};

use crate::config::Queue;

/// The identifier that a caller chose for a job: sixteen hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u64);

const JOB_KEY_DIGITS: usize = 16;

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for JobKey {
    type Err = ids::ParseError;
    fn from_str(text: &str) -> Result<Self, ids::ParseError> {
        let lower = text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        let fail = |why| ids::ParseError { text: text.to_string(), kind: "job key", why };
        if text.len() != JOB_KEY_DIGITS || !lower {
            return Err(fail("sixteen lower-case hexadecimal digits were expected"));
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| fail("it is not a number"))
    }
}

/// One task: a job, the round of a repeated job, the step, and the index within the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// The round; 0 unless the job repeats.
    pub round: u32,
    /// The step's position.
    pub step: u16,
    /// The task's position in its step.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.round, self.step, self.index)
    }
}

impl str::FromStr for TaskKey {
    type Err = ids::ParseError;
    fn from_str(text: &str) -> Result<Self, ids::ParseError> {
        let parse = || {
            let mut parts = text.split('.');
            let job = parts.next()?.parse().ok()?;
            let round = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let index = parts.next()?.parse().ok()?;
            parts.next().is_none().then_some(Self { job, round, step, index })
        };
        parse().ok_or_else(|| ids::ParseError {
            text: text.to_string(),
            kind: "task key",
            why: "`JOB.ROUND.STEP.INDEX` was expected",
        })
    }
}

gaplock_types::serde_by_text!(JobKey);
gaplock_types::serde_by_text!(TaskKey);

/// What all tasks of a step have in common.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks the step has.
    pub count: u32,
    /// The resources that each task needs.
    pub demand: sizes::Resources,
    /// The caller's rough estimate of the duration of one task.
    pub estimate: time::Millis,
    /// Earlier steps whose tasks must all be done before this step starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// Whether tasks write checkpoints from which they can resume.
    pub checkpoints: bool,
    /// Whether the tasks can only run together, under one run number.
    pub gang: bool,
    /// Whether a gang runs slower when it spans racks.
    pub same_rack: bool,
    /// A label that the worker must carry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// The rack that holds the data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rack: Option<String>,
    /// The maximum number of tasks of the step on one worker; `None` sets no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most_per_worker: Option<u32>,
    /// Whether speculative copies of one task may run at the same time.
    pub duplicates: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    pub lasting: bool,
    /// The image that the tasks run; tasks with the same image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// The upper bound on the tail latency of a serving task.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_target: Option<time::Millis>,
    /// Whether the tasks are best-effort: they use only the processor time that others leave idle,
    /// so that their demand is not counted against the worker's processors.
    pub fills: bool,
    /// For a long-running step, how many tasks may be down at the same time because the scheduler
    /// stopped them; `None` sets no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub may_miss: Option<u32>,
}

/// The schedule of a job that repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Repeat {
    /// The number of rounds.
    pub times: u32,
    /// When round 0 is due, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// The interval from one round to the next.
    pub every: time::Millis,
}

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Job {
    /// The caller's identifier.
    pub key: JobKey,
    /// The queue that accepted the job.
    pub queue: String,
    /// The caller's own text, passed to each task unchanged.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// The schedule of a job that repeats; `None` for a job that runs once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
    /// When the job was accepted, by the accepting host's wall clock.
    pub accepted_unix_ms: u64,
    /// The queue as it was when it accepted the job. It holds for the job once the configuration has
    /// no queue of that name any more. `None` in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepting_queue: Option<Queue>,
}

/// Why a job is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum JobError {
    /// The job has no step.
    #[display("a job needs at least one step")]
    NoSteps,
    /// A step has no task.
    #[display("a step needs at least one task")]
    EmptyStep,
    /// A step depends on itself or on a later one.
    #[display("a step may only follow earlier steps")]
    InvalidStepOrder,
    /// The job has more than [`MAX_TASKS_PER_JOB`] tasks.
    #[display("a job may have at most {MAX_TASKS_PER_JOB} tasks")]
    TooManyTasks,
    /// The spec is longer than [`SPEC_MAX_BYTES`].
    #[display("the spec is longer than {SPEC_MAX_BYTES} bytes")]
    SpecTooLong,
}

/// The maximum length of a spec in bytes, as the callers' interface defines it.
pub const SPEC_MAX_BYTES: usize = 4_000;

/// The maximum number of tasks that the steps of one job may have together; the users' widest jobs
/// have some hundred tasks. It bounds how much state one request makes the leader keep.
pub const MAX_TASKS_PER_JOB: u64 = 20_000;

/// Checks the properties of a job that the scheduler relies on.
///
/// # Errors
/// Returns the first error found.
pub fn validate(job: &Job) -> Result<(), JobError> {
    if job.spec.len() > SPEC_MAX_BYTES {
        return Err(JobError::SpecTooLong);
    }
    let tasks: u64 = job.steps.iter().map(|step| u64::from(step.count)).sum();
    if tasks > MAX_TASKS_PER_JOB {
        return Err(JobError::TooManyTasks);
    }
    if job.steps.is_empty() {
        return Err(JobError::NoSteps);
    }
    for (at, step) in job.steps.iter().enumerate() {
        if step.count == 0 {
            return Err(JobError::EmptyStep);
        }
        if step.after.iter().any(|&before| usize::from(before) >= at) {
            return Err(JobError::InvalidStepOrder);
        }
    }
    Ok(())
}
