//! Checkpoints: what runs save, and whether each start brings one of its own task's.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use gaplock_jobs::{Step, TaskKey};
use gaplock_sched::message::{EndCause, Run};

use super::worker::SimRun;
use super::World;

/// What a start brings.
pub type StartCheckpoint = Option<String>;

/// How much work lies between two checkpoints of a run, in milliseconds.
const CHECKPOINT_EVERY_MS: u64 = 200;

/// How many digits of a checkpoint tell how far the work had come.
const PROGRESS_DIGITS: usize = 8;

/// What a run has to do with checkpoints.
#[derive(Debug, Clone)]
pub(super) struct CheckpointState {
    /// How much of the work was done when the run began, in milliseconds.
    pub(super) from_ms: u64,
    /// What its start brought.
    brought: StartCheckpoint,
    /// How many milliseconds one millisecond of work takes.
    slowness: u64,
}

/// What all tasks have saved, and what starts brought.
#[derive(Debug, Default)]
pub struct Checkpoints {
    /// Workers list a text also for tasks of steps that save no progress.
    pub lists_all: bool,
    /// How much work was saved and listed and is done again, in milliseconds.
    pub thrown_away_ms: u64,
    /// How many starts brought a checkpoint.
    pub brought: u64,
    made: BTreeMap<TaskKey, BTreeSet<String>>,
    /// The text that each run was first started with.
    of_first_start: BTreeMap<(TaskKey, Run), StartCheckpoint>,
    /// How far each task had come by what was listed.
    furthest_ms: BTreeMap<TaskKey, u64>,
}

/// Builds the text that a task saves after so much work; no other task saves the same.
fn text(task: TaskKey, done_ms: u64) -> String {
    let mut hasher = DefaultHasher::new();
    (task, done_ms).hash(&mut hasher);
    format!("{done_ms:08x}{:08x}", hasher.finish() as u32)
}

/// Reads from a text how much work was done.
fn done_ms(text: &str) -> u64 {
    text.get(..PROGRESS_DIGITS).and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or(0)
}

impl CheckpointState {
    /// Returns how much work is done at `now`, in milliseconds.
    fn done_ms(&self, began: u64, now: u64) -> u64 {
        self.from_ms + (now - began) / self.slowness
    }
}

impl World {
    fn step_of(&self, task: TaskKey) -> &Step {
        &self.jobs[&task.job].steps[usize::from(task.step)]
    }

    /// Returns the tasks whose checkpoints serve for a task: its own, or those of its gang.
    fn checkpoint_sources(&self, task: TaskKey) -> Vec<TaskKey> {
        let step = self.step_of(task);
        if !step.gang {
            return vec![task];
        }
        (0..step.count).map(|index| TaskKey { index, ..task }).collect()
    }

    /// Checks that a start brings nothing, or what its task has saved, and the same as every other
    /// start under its run number.
    pub(super) fn check_start_checkpoint(
        &mut self,
        task: TaskKey,
        run: Run,
        brought: &StartCheckpoint,
    ) {
        let now = self.now;
        for member in self.checkpoint_sources(task) {
            let first = self.checkpoints.of_first_start.get(&(member, run));
            if let Some(first) = first.filter(|first| *first != brought) {
                let text =
                    format!("{now}: {task} run {run:?} brings {brought:?}, {member} {first:?}");
                self.violations.push(text);
            }
        }
        self.checkpoints.of_first_start.insert((task, run), brought.clone());
        let Some(text) = brought else { return };
        self.checkpoints.brought += 1;
        let served_by = self.checkpoint_sources(task);
        let made = served_by.iter().filter_map(|member| self.checkpoints.made.get(member));
        if !self.step_of(task).checkpoints || !made.into_iter().any(|texts| texts.contains(text)) {
            self.violations.push(format!("{now}: {task} run {run:?} brings {text}, not its own"));
        }
    }

    /// Begins a run where its checkpoint says, and counts the listed work that it does again.
    pub(super) fn resume(
        &mut self,
        task: TaskKey,
        brought: &StartCheckpoint,
        slowness: u64,
    ) -> CheckpointState {
        let from_ms = brought.as_deref().map_or(0, done_ms);
        let furthest = self.checkpoints.furthest_ms.get(&task).copied().unwrap_or(0);
        self.checkpoints.thrown_away_ms += furthest.saturating_sub(from_ms);
        CheckpointState { from_ms, brought: brought.clone(), slowness }
    }

    /// Returns the checkpoint that a worker lists of a run, and notes what was saved.
    pub(super) fn listed_checkpoint(&mut self, task: TaskKey, sim: &SimRun) -> StartCheckpoint {
        let done = sim.checkpoint_state.done_ms(sim.began, self.now);
        let saved = done / CHECKPOINT_EVERY_MS * CHECKPOINT_EVERY_MS;
        if saved <= sim.checkpoint_state.from_ms {
            return sim.checkpoint_state.brought.clone();
        }
        self.save(task, saved)
    }

    /// Returns the checkpoint that a worker lists with an end; a stop saves all that was done.
    pub(super) fn last_checkpoint(
        &mut self,
        task: TaskKey,
        sim: &SimRun,
        how: EndCause,
    ) -> StartCheckpoint {
        match how {
            EndCause::Done => None,
            EndCause::Stopped => self.save(task, sim.checkpoint_state.done_ms(sim.began, self.now)),
            _ => self.listed_checkpoint(task, sim),
        }
    }

    fn save(&mut self, task: TaskKey, saved_ms: u64) -> StartCheckpoint {
        let text = text(task, saved_ms);
        if !self.step_of(task).checkpoints {
            return self.checkpoints.lists_all.then_some(text);
        }
        self.checkpoints.made.entry(task).or_default().insert(text.clone());
        Some(text)
    }

    /// Takes in that a leader is told of a checkpoint.
    pub(super) fn record_listed(&mut self, task: TaskKey, checkpoint: &StartCheckpoint) {
        let furthest = self.checkpoints.furthest_ms.entry(task).or_default();
        *furthest = (*furthest).max(checkpoint.as_deref().map_or(0, done_ms));
    }
}
