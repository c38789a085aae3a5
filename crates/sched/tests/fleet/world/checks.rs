//! The promises that are checked while a world runs; a broken one is kept in words.

use gaplock_jobs::progress::{JobState, Progress};
use gaplock_jobs::{Job, TaskKey};

use super::builders::{job, step};
use super::cancellations::assert_no_runs_of_finished_jobs;
use super::worker::SimWorker;
use super::{Faults, World, WriteFaults, MAX_ATTEMPTS};

/// Fails the test if a promise was broken while the world ran.
pub fn assert_kept(world: &World) {
    assert!(world.violations.is_empty(), "{:#?}", world.violations);
}

/// Plays twenty jobs of two steps with changes of leader between, and checks how they end.
pub fn play(world: &mut World, seed: u64) {
    for key in 0..20 {
        world.submit(job(key, vec![step(5, &[]), step(3, &[0])]));
        world.run(200);
        if world.draw(10) == 0 {
            let gap = world.draw(3_000);
            world.change_leader(gap);
        }
    }
    assert_all_end(world, seed);
}

/// Ends all faults, and fails the test if a promise was broken or one of twenty jobs never ends.
pub fn assert_all_end(world: &mut World, seed: u64) {
    world.faults = Faults::default();
    world.write_faults = WriteFaults::default();
    world.run(40_000);
    assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    let left = (0..20).filter(|&key| world.state(key).is_none_or(|s| !s.is_final())).count();
    assert_eq!(left, 0, "seed {seed}: jobs never ended");
    assert_nothing_waits(world);
}

/// Ends all faults and, once it has been quiet for a while, fails the test if a task waits that could run, or runs
/// though its job is over.
pub fn assert_nothing_waits(world: &mut World) {
    end_faults_and_settle(world);
    let waiting = world.waiting();
    assert!(waiting.is_empty(), "{} could run and wait: {waiting:?}", waiting.len());
    assert_no_runs_of_finished_jobs(world);
}

/// Ends all faults and lets so much time pass that nothing waits any more that fits.
pub(super) fn end_faults_and_settle(world: &mut World) {
    world.faults = Faults::default();
    world.write_faults = WriteFaults::default();
    world.workers.iter_mut().for_each(SimWorker::recover);
    world.run(SETTLE_MS);
}

/// How long it is quiet before nothing waits any more that fits: the longest lease, and the time for what was
/// held back by crashes to be tried.
const SETTLE_MS: u64 = 20_000;

impl World {
    /// Lists the tasks whose turn has come by their workers' word, that run nowhere, and for which a worker has
    /// room.
    fn waiting(&self) -> Vec<TaskKey> {
        let live = self.jobs.values().filter(|job| job.repeat.is_none() && !self.is_over(job.key));
        live.flat_map(|job| self.waiting_of(job)).collect()
    }

    fn waiting_of(&self, job: &Job) -> Vec<TaskKey> {
        let task = |step: u16, index| TaskKey { job: job.key, round: 0, step, index };
        let is_done = |step: &u16| {
            let count = job.steps[usize::from(*step)].count;
            (0..count).all(|index| self.done.contains(&task(*step, index)))
        };
        let runs = |key: &TaskKey| self.workers.iter().any(|w| w.running.contains_key(key));
        let mut found = Vec::new();
        for (at, step) in job.steps.iter().enumerate() {
            if !step.after.iter().all(is_done)
                || !self.workers.iter().any(|w| w.has_capacity_for(step))
            {
                continue;
            }
            let keys = (0..step.count).map(|index| task(at as u16, index));
            let is_over = |key: &TaskKey| !step.lasting && self.done.contains(key);
            found.extend(keys.filter(|key| !is_over(key) && !runs(key)));
        }
        found
    }

    /// Checks what must hold when a worker carries a start out.
    pub(super) fn check_start(&mut self, at: usize, task: TaskKey) {
        let now = self.now;
        self.started_at.insert(task, now);
        for (other, worker) in self.workers.iter().enumerate() {
            let copies = self.jobs[&task.job].steps[usize::from(task.step)].duplicates;
            if !copies && other != at && worker.up && worker.running.contains_key(&task) {
                self.violations.push(format!("{now}: {task} twice, at {other} and {at}"));
            }
        }
        if self.recorded_done.contains(&task) {
            self.violations.push(format!("{now}: {task} starts after its end was noted"));
        }
        if self.recorded_failed.get(&task).copied().unwrap_or(0) >= MAX_ATTEMPTS
            && !self.jobs[&task.job].steps[usize::from(task.step)].lasting
        {
            self.violations.push(format!("{now}: {task} starts after all its attempts"));
        }
        let job = &self.jobs[&task.job];
        for &before in &job.steps[usize::from(task.step)].after {
            let count = job.steps[usize::from(before)].count;
            let done = |index| self.done.contains(&TaskKey { step: before, index, ..task });
            if !(0..count).all(done) {
                self.violations.push(format!("{now}: {task} starts before step {before} is done"));
            }
        }
    }

    /// Tells whether copies of a task may run.
    pub(super) fn allows_copies(&self, task: TaskKey) -> bool {
        self.jobs[&task.job].steps[usize::from(task.step)].duplicates
    }

    /// Checks that a job which is shown as failed has a task that failed often enough.
    pub(super) fn check_failed(&mut self, progress: &Progress) {
        let worn =
            |(task, &failed): (&TaskKey, &u32)| task.job == progress.key && failed >= MAX_ATTEMPTS;
        let culprit = self.crashes.has_crashing_task(progress.key);
        if progress.state == JobState::Failed && !culprit && !self.failed.iter().any(worn) {
            let violation = format!("{}: {} failed without cause", self.now, progress.key);
            self.violations.push(violation);
        }
    }
}
