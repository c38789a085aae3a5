//! The jobs that the leader knows, down to the state of each task.

use std::collections::BTreeSet;
use std::sync::Arc;

use gaplock_jobs::config::Queue;
use gaplock_jobs::job::{self, Repeat};
use gaplock_jobs::progress::JobState;
use gaplock_jobs::{Job, JobKey, Step, TaskKey};
use gaplock_overload::account::{CoreMillis, QueueIx};
use gaplock_overload::summary::WorkClass;
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};

use crate::interface::message::{Run, StoreRevision, WorkerIx};
use crate::state::checkpoint::Checkpoint;
use crate::state::crash_evidence::CrashEvidence;
use crate::state::rates::StepRates;

/// The state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Earlier steps are not done, or its round is not due yet.
    Waiting,
    /// It may start once its pause is over.
    Pending,
    /// A start order for it was sent to a worker, and it may run there.
    Active {
        /// The worker.
        worker: WorkerIx,
        /// The run.
        run: Run,
    },
    /// A previous leader may have started it on a worker that has not answered yet.
    Unknown,
    /// It ended successfully.
    Done,
}

/// One task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Its state.
    pub state: TaskState,
    /// How many runs this leader has started.
    pub starts: u32,
    /// How many runs have failed.
    pub failed: u32,
    /// The runs that were last counted as failed, in the order of counting.
    pub counted_runs: Vec<Run>,
    /// Failures since the progress of a run last reached 100 %, which determine the pause before
    /// the next start.
    pub consecutive_failures: u32,
    /// Starts in a row that were refused as invalid, which determine the pause before the next one.
    pub consecutive_invalid_starts: u32,
    /// The task is not started before this time.
    pub not_before: Instant,
    /// The progress of its run, or that from which the next run resumes, in percent.
    pub progress_percent: u32,
    /// The checkpoint from which the next run resumes.
    pub checkpoint: Option<Checkpoint>,
    /// The worker on which the last run failed; the next run avoids it.
    pub failed_on: Option<WorkerIx>,
    /// When the task became pending.
    pub since: Instant,
    /// Whether it may have run before: a start order for it was sent to a worker, possibly by a
    /// previous leader.
    pub may_have_run: bool,
    /// A run on a slow worker that continues while a speculative copy is started elsewhere.
    pub slow_run: Option<(WorkerIx, Run)>,
    /// The evidence against it, if workers were lost while they ran it; few tasks have any.
    pub crash_evidence: Option<Box<CrashEvidence>>,
}

impl Task {
    fn new() -> Self {
        Self {
            state: TaskState::Waiting,
            starts: 0,
            failed: 0,
            counted_runs: Vec::new(),
            consecutive_failures: 0,
            consecutive_invalid_starts: 0,
            not_before: Instant(0),
            progress_percent: 0,
            checkpoint: None,
            failed_on: None,
            since: Instant(0),
            may_have_run: false,
            slow_run: None,
            crash_evidence: None,
        }
    }
}

/// One step in one round.
#[derive(Debug, Clone)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// How many tasks are not done.
    pub unfinished: u32,
    /// The indices of pending tasks.
    pub pending: BTreeSet<u32>,
    /// When the log last said why its tasks wait.
    pub last_explained_at: Instant,
    /// How fast its tasks make progress.
    pub rates: StepRates,
    /// The least progress of any task that is not done, in percent, and when it was determined; kept
    /// for best-effort steps only.
    pub least_progress: (Instant, u32),
}

/// How often the least progress of a step is determined again. It is read for every task whose pace
/// is computed, and changes as fast as workers report.
const LEAST_PROGRESS_INTERVAL: Millis = Millis(200);

impl StepState {
    /// Records a task's progress, and that of the slowest task of the step from time to time.
    pub fn record_progress(&mut self, now: Instant, index: u32, percent: u32) {
        if let Some(task) = self.tasks.get_mut(index as usize) {
            task.progress_percent = percent;
        }
        if now.since(self.least_progress.0) >= LEAST_PROGRESS_INTERVAL {
            let unfinished = self.tasks.iter().filter(|task| task.state != TaskState::Done);
            let least = unfinished.map(|task| task.progress_percent).min();
            self.least_progress = (now, least.unwrap_or(0));
        }
    }
}

/// One round of a job; a job that does not repeat has round 0 only.
#[derive(Debug, Clone)]
pub struct Round {
    /// The round's number.
    pub number: u32,
    /// The state of each step.
    pub steps: Vec<StepState>,
}

impl Round {
    /// Creates a round in which nothing has run.
    pub fn new(number: u32, job: &Job) -> Self {
        let step = |s: &Step| StepState {
            tasks: vec![Task::new(); s.count as usize],
            unfinished: s.count,
            pending: BTreeSet::new(),
            last_explained_at: Instant(0),
            rates: StepRates::default(),
            least_progress: (Instant(0), 0),
        };
        Self { number, steps: job.steps.iter().map(step).collect() }
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|s| s.unfinished == 0)
    }

    /// Returns whether the steps that `step` comes after are done.
    pub fn may_begin(&self, step: &Step) -> bool {
        step.after.iter().all(|&before| self.steps[usize::from(before)].unfinished == 0)
    }
}

/// A job with its progress.
#[derive(Debug, Clone)]
pub struct JobEntry {
    /// The job as submitted.
    pub job: Arc<Job>,
    /// The revision at which the store holds the job.
    pub stored_at: StoreRevision,
    /// Whether the removal of the job from the store has been requested. The entry is kept until the
    /// removal is stored.
    pub removal_requested: bool,
    /// The job's state as far as this leader knows.
    pub state: JobState,
    /// The state that is stored and may be shown to callers.
    pub stored_state: JobState,
    /// Rounds that have begun and are not finished; none once the job has ended.
    pub rounds: Vec<Round>,
    /// Numbers of finished rounds.
    pub finished_rounds: BTreeSet<u32>,
    /// The next round to begin; equal to the count of rounds once all have begun.
    pub next_round: u32,
    /// When the job ended, in milliseconds since 1970.
    pub ended_unix_ms: u64,
    /// The job's objective as a time of the leader's clock, for ordering.
    pub due: Instant,
    /// The time from the job's acceptance to its objective.
    pub objective: Millis,
    /// For each step, the estimated time of the longest chain of steps that come after it.
    pub chain_after: Vec<Millis>,
    /// The job's queue: as the configuration in force has it, or else as it was last known. `None`
    /// if nothing is known of it.
    pub queue: Option<Arc<Queue>>,
    /// The queue's priority; 0 goes first.
    pub priority: u32,
    /// The queue in the load account; valid once the job has been entered there.
    pub load_queue: QueueIx,
    /// How many failed runs a task may have.
    pub max_attempts: u32,
    /// Set if the stored progress cannot be read, so that it is not known which tasks are done. No
    /// task is started, and running ones may end.
    pub unreadable: bool,
}

impl JobEntry {
    /// Returns the queue to store with the job's progress: without it, a new leader might not learn
    /// which pool runs the job. Progress that cannot be read is not replaced.
    pub fn queue_to_store(&self) -> Option<Queue> {
        let queue = self.queue.as_deref().filter(|_| !self.unreadable)?;
        let accepting = self.job.accepting_queue.as_ref();
        accepting.is_none_or(|q| q.service != queue.service).then(|| queue.clone())
    }

    /// Returns how many rounds the job has in total.
    pub fn total_rounds(&self) -> u32 {
        self.job.repeat.map_or(1, |r| r.times)
    }

    /// Returns when a round is due, in milliseconds since 1970; 0 for a job that does not repeat.
    pub fn due_unix_ms(&self, round: u32) -> u64 {
        let offset = |r: Repeat| u64::from(round).saturating_mul(r.every.0);
        self.job.repeat.map_or(0, |r| r.first_unix_ms.saturating_add(offset(r)))
    }

    /// Returns whether no more rounds may be in progress. Together the rounds may have no more
    /// tasks than one job may have, so that no request makes a leader keep more.
    pub fn is_at_round_limit(&self) -> bool {
        let tasks: u64 = self.job.steps.iter().map(|step| u64::from(step.count)).sum();
        self.rounds.len() as u64 >= (job::MAX_TASKS_PER_JOB / tasks.max(1)).max(1)
    }

    /// Iterates over all tasks of the rounds in progress.
    pub fn tasks_mut(&mut self) -> impl Iterator<Item = &mut Task> {
        self.rounds.iter_mut().flat_map(|r| &mut r.steps).flat_map(|s| &mut s.tasks)
    }

    /// Iterates over all tasks of the rounds in progress, with their keys.
    pub fn keyed_tasks_mut(&mut self) -> impl Iterator<Item = (TaskKey, &mut Task)> {
        let job = self.job.key;
        self.rounds.iter_mut().flat_map(move |round| {
            let number = round.number;
            let steps = round.steps.iter_mut().enumerate();
            steps.flat_map(move |(step, state)| {
                let tasks = state.tasks.iter_mut().enumerate();
                tasks.map(move |(index, task)| (task_key(job, number, step, index), task))
            })
        })
    }

    /// Returns a round that is in progress.
    pub fn round(&self, number: u32) -> Option<&Round> {
        self.rounds.iter().find(|r| r.number == number)
    }

    /// Returns a round that is in progress, for modification.
    pub fn round_mut(&mut self, number: u32) -> Option<&mut Round> {
        self.rounds.iter_mut().find(|r| r.number == number)
    }

    /// Returns a task.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        let round = self.round(key.round)?;
        round.steps.get(usize::from(key.step))?.tasks.get(key.index as usize)
    }

    /// Returns a task for modification.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let round = self.round_mut(key.round)?;
        round.steps.get_mut(usize::from(key.step))?.tasks.get_mut(key.index as usize)
    }

    /// Returns the description of a task's step.
    pub fn step(&self, key: TaskKey) -> Option<&Step> {
        self.job.steps.get(usize::from(key.step))
    }

    /// Returns every run that is at a worker, with its task.
    pub fn active(&self) -> Vec<(TaskKey, WorkerIx, Run)> {
        let mut found = Vec::new();
        for_each_task(self, |key, task| {
            if let TaskState::Active { worker, run } = task.state {
                found.push((key, worker, run));
            }
            found.extend(task.slow_run.map(|(worker, run)| (key, worker, run)));
        });
        found
    }
}

/// Calls `f` for every task of the rounds in progress.
fn for_each_task(entry: &JobEntry, mut f: impl FnMut(TaskKey, &Task)) {
    for round in &entry.rounds {
        for (step, state) in round.steps.iter().enumerate() {
            for (index, task) in state.tasks.iter().enumerate() {
                f(task_key(entry.job.key, round.number, step, index), task);
            }
        }
    }
}

/// Builds the key of a task from its position in a job.
pub fn task_key(job: JobKey, round: u32, step: usize, index: usize) -> TaskKey {
    TaskKey { job, round, step: step as u16, index: index as u32 }
}

/// A step with pending tasks. Steps are dispatched in the order of this type.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadyStep {
    /// The queue's priority; 0 goes first.
    pub priority: u32,
    /// The job's objective as a time of the leader's clock.
    pub due: Instant,
    /// The job.
    pub job: JobKey,
    /// The round.
    pub round: u32,
    /// The step.
    pub step: u16,
}

/// Returns how the tasks of a step use processors.
pub fn work_class(step: &Step) -> WorkClass {
    match (step.fills, step.lasting) {
        (true, _) => WorkClass::BestEffort,
        (false, true) => WorkClass::LongRunning,
        (false, false) => WorkClass::Short,
    }
}

/// Returns the estimated work of one task; 0 for a long-running one, which is never done.
pub fn task_work(step: &Step) -> CoreMillis {
    if step.lasting {
        return CoreMillis(0);
    }
    CoreMillis::of_task(step.demand.cpu, step.estimate)
}

/// Returns the resources that a task reserves on a worker; a best-effort task reserves no
/// processors.
pub fn reservation(step: &Step) -> Resources {
    if step.fills {
        return Resources::new(0, step.demand.mem.0, step.demand.acc);
    }
    step.demand
}

/// Returns the processor demand of a best-effort task in thousandths of a core, and 0 for any
/// other.
pub fn best_effort_millicores(step: &Step) -> u32 {
    if step.fills {
        return step.demand.cpu.0;
    }
    0
}
