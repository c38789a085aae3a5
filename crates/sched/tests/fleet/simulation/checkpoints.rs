//! Simulates the checkpoints that runs save, and checks that each start carries one of its own task or none.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use gaplock_jobs::{Step, TaskKey};
use gaplock_sched::message::{EndCause, Run};

use super::worker::SimRun;
use super::Simulation;

/// The checkpoint that a start carries, if any.
pub type StartCheckpoint = Option<String>;

/// How much work lies between two checkpoints of a run, in milliseconds.
const CHECKPOINT_EVERY_MS: u64 = 200;

/// The length of the progress at the head of a checkpoint's text, in hexadecimal digits.
const PROGRESS_DIGITS: usize = 8;

/// The part of a run's state that concerns checkpoints.
#[derive(Debug, Clone)]
pub(super) struct CheckpointState {
    /// How much of the work was done already when the run began, in milliseconds.
    pub(super) from_ms: u64,
    /// The checkpoint that its start carried.
    start_checkpoint: StartCheckpoint,
    /// How many milliseconds one millisecond of work takes on its worker.
    slowness: u64,
}

/// The checkpoints that tasks have saved and that starts have carried.
#[derive(Debug, Default)]
pub struct Checkpoints {
    /// Workers list a checkpoint also for tasks of steps that save no progress.
    pub list_for_all_steps: bool,
    /// How much work that was saved and listed to a leader is done again, in milliseconds.
    pub repeated_work_ms: u64,
    /// How many starts carried a checkpoint.
    pub starts_with_checkpoint: u64,
    /// All checkpoints that each task has saved.
    saved: BTreeMap<TaskKey, BTreeSet<String>>,
    /// The checkpoint that the starts of each run carried; it must be the same for all of them.
    by_run: BTreeMap<(TaskKey, Run), StartCheckpoint>,
    /// The progress of the furthest checkpoint of each task that was listed to a leader.
    furthest_ms: BTreeMap<TaskKey, u64>,
}

/// Builds the checkpoint that a task saves after so much work; no other task saves the same text.
fn text(task: TaskKey, done_ms: u64) -> String {
    let mut hasher = DefaultHasher::new();
    (task, done_ms).hash(&mut hasher);
    format!("{done_ms:08x}{:08x}", hasher.finish() as u32)
}

/// Returns how much work was done according to a checkpoint, in milliseconds.
fn done_ms(text: &str) -> u64 {
    text.get(..PROGRESS_DIGITS).and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or(0)
}

impl CheckpointState {
    /// Returns how much work is done at `now`, in milliseconds.
    fn done_ms(&self, began: u64, now: u64) -> u64 {
        self.from_ms + (now - began) / self.slowness
    }
}

impl Simulation {
    fn step_of(&self, task: TaskKey) -> &Step {
        &self.jobs[&task.job].steps[usize::from(task.step)]
    }

    /// Returns the tasks whose checkpoints a start of a task may carry: the task itself or all of its gang.
    fn checkpoint_sources(&self, task: TaskKey) -> Vec<TaskKey> {
        let step = self.step_of(task);
        if !step.gang {
            return vec![task];
        }
        (0..step.count).map(|index| TaskKey { index, ..task }).collect()
    }

    /// Checks that a start carries no checkpoint or one that its task or gang has saved, and the same one as
    /// every other start of the task or gang under its run number.
    pub(super) fn check_start_checkpoint(
        &mut self,
        task: TaskKey,
        run: Run,
        carried: &StartCheckpoint,
    ) {
        let now = self.now;
        for member in self.checkpoint_sources(task) {
            let first = self.checkpoints.by_run.get(&(member, run));
            if let Some(first) = first.filter(|first| *first != carried) {
                let text = format!(
                    "{now}: {task}, {run:?}: starts carry {carried:?} and, of {member}, {first:?}"
                );
                self.violations.push(text);
            }
        }
        self.checkpoints.by_run.insert((task, run), carried.clone());
        let Some(text) = carried else { return };
        self.checkpoints.starts_with_checkpoint += 1;
        let sources = self.checkpoint_sources(task);
        let saved = sources.iter().filter_map(|member| self.checkpoints.saved.get(member));
        if !self.step_of(task).checkpoints || !saved.into_iter().any(|texts| texts.contains(text)) {
            self.violations.push(format!(
                "{now}: start of {task}, {run:?}, carries {text}, which the task has not saved"
            ));
        }
    }

    /// Begins a run at the progress of its checkpoint, and counts the listed work that it does again.
    pub(super) fn resume(
        &mut self,
        task: TaskKey,
        carried: &StartCheckpoint,
        slowness: u64,
    ) -> CheckpointState {
        let from_ms = carried.as_deref().map_or(0, done_ms);
        let furthest = self.checkpoints.furthest_ms.get(&task).copied().unwrap_or(0);
        self.checkpoints.repeated_work_ms += furthest.saturating_sub(from_ms);
        CheckpointState { from_ms, start_checkpoint: carried.clone(), slowness }
    }

    /// Returns the checkpoint that a worker lists for a run, and records it as saved.
    pub(super) fn listed_checkpoint(&mut self, task: TaskKey, sim_run: &SimRun) -> StartCheckpoint {
        let done = sim_run.checkpoint_state.done_ms(sim_run.began, self.now);
        let saved = done / CHECKPOINT_EVERY_MS * CHECKPOINT_EVERY_MS;
        if saved <= sim_run.checkpoint_state.from_ms {
            return sim_run.checkpoint_state.start_checkpoint.clone();
        }
        self.save(task, saved)
    }

    /// Returns the checkpoint that a worker lists with the end of a run; a stop saves all work that was done.
    pub(super) fn last_checkpoint(
        &mut self,
        task: TaskKey,
        sim_run: &SimRun,
        cause: EndCause,
    ) -> StartCheckpoint {
        match cause {
            EndCause::Done => None,
            EndCause::Stopped => {
                self.save(task, sim_run.checkpoint_state.done_ms(sim_run.began, self.now))
            }
            _ => self.listed_checkpoint(task, sim_run),
        }
    }

    fn save(&mut self, task: TaskKey, saved_ms: u64) -> StartCheckpoint {
        let text = text(task, saved_ms);
        if !self.step_of(task).checkpoints {
            return self.checkpoints.list_for_all_steps.then_some(text);
        }
        self.checkpoints.saved.entry(task).or_default().insert(text.clone());
        Some(text)
    }

    /// Records that a checkpoint is listed to a leader.
    pub(super) fn record_listed(&mut self, task: TaskKey, checkpoint: &StartCheckpoint) {
        let furthest = self.checkpoints.furthest_ms.entry(task).or_default();
        *furthest = (*furthest).max(checkpoint.as_deref().map_or(0, done_ms));
    }
}
