//! The guarantees that are checked while a simulation runs. A description of each violation is kept.

use gaplock_jobs::progress::{JobState, Progress};
use gaplock_jobs::{Job, TaskKey};

use super::builders::{job, step};
use super::cancellations::assert_no_runs_of_finished_jobs;
use super::worker::SimWorker;
use super::{Faults, Simulation, WriteFaults, MAX_ATTEMPTS};

/// Fails the test if a guarantee was violated while the simulation ran.
pub fn assert_no_violations(simulation: &Simulation) {
    assert!(simulation.violations.is_empty(), "{:#?}", simulation.violations);
}

/// Runs twenty jobs of two steps with random changes of the leader in between, and checks that all of them end.
pub fn run_twenty_jobs(simulation: &mut Simulation, seed: u64) {
    for key in 0..20 {
        simulation.submit(job(key, vec![step(5, &[]), step(3, &[0])]));
        simulation.run(200);
        if simulation.draw(10) == 0 {
            let gap = simulation.draw(3_000);
            simulation.change_leader(gap);
        }
    }
    assert_all_jobs_end(simulation, seed);
}

/// Ends all faults, and fails the test if a guarantee was violated or one of twenty jobs never ends.
pub fn assert_all_jobs_end(simulation: &mut Simulation, seed: u64) {
    simulation.faults = Faults::default();
    simulation.write_faults = WriteFaults::default();
    simulation.run(40_000);
    assert!(simulation.violations.is_empty(), "seed {seed}: {:#?}", simulation.violations);
    let left = (0..20).filter(|&key| simulation.state(key).is_none_or(|s| !s.is_final())).count();
    assert_eq!(left, 0, "seed {seed}: {left} of 20 jobs never ended");
    assert_no_runnable_task_waits(simulation);
}

/// Ends all faults, lets the simulation settle, and fails the test if a task waits that could run, or a run
/// goes on whose job has ended.
pub fn assert_no_runnable_task_waits(simulation: &mut Simulation) {
    end_faults_and_settle(simulation);
    let waiting = simulation.needlessly_waiting_tasks();
    assert!(waiting.is_empty(), "{} tasks wait that could run: {waiting:?}", waiting.len());
    assert_no_runs_of_finished_jobs(simulation);
}

/// Ends all faults and lets so much time pass that every task that fits on a worker has been started.
pub(super) fn end_faults_and_settle(simulation: &mut Simulation) {
    simulation.faults = Faults::default();
    simulation.write_faults = WriteFaults::default();
    simulation.workers.iter_mut().for_each(SimWorker::recover);
    simulation.run(SETTLE_MS);
}

/// How long it takes after the last fault until every task that fits on a worker has been started, in
/// milliseconds: the longest lease, and the time for tasks that are held back after crashes to be tried again.
const SETTLE_MS: u64 = 20_000;

impl Simulation {
    /// Lists the tasks that run nowhere although the steps before theirs are done at the workers and some
    /// worker has free capacity for them.
    fn needlessly_waiting_tasks(&self) -> Vec<TaskKey> {
        let live = self.jobs.values().filter(|job| job.repeat.is_none() && !self.is_over(job.key));
        live.flat_map(|job| self.needlessly_waiting_tasks_of(job)).collect()
    }

    /// Lists these tasks of one job.
    fn needlessly_waiting_tasks_of(&self, job: &Job) -> Vec<TaskKey> {
        let task = |step: u16, index| TaskKey { job: job.key, round: 0, step, index };
        let is_step_done = |step: &u16| {
            let count = job.steps[usize::from(*step)].count;
            (0..count).all(|index| self.done.contains(&task(*step, index)))
        };
        let runs = |key: &TaskKey| self.workers.iter().any(|w| w.running.contains_key(key));
        let mut found = Vec::new();
        for (at, step) in job.steps.iter().enumerate() {
            if !step.after.iter().all(is_step_done)
                || !self.workers.iter().any(|w| w.has_capacity_for(step))
            {
                continue;
            }
            let keys = (0..step.count).map(|index| task(at as u16, index));
            let has_ended = |key: &TaskKey| !step.lasting && self.done.contains(key);
            found.extend(keys.filter(|key| !has_ended(key) && !runs(key)));
        }
        found
    }

    /// Checks what must hold when a worker carries out a start.
    pub(super) fn check_start(&mut self, at: usize, task: TaskKey) {
        let now = self.now;
        self.started_at.insert(task, now);
        for (other, worker) in self.workers.iter().enumerate() {
            let copies = self.jobs[&task.job].steps[usize::from(task.step)].duplicates;
            if !copies && other != at && worker.up && worker.running.contains_key(&task) {
                self.violations
                    .push(format!("{now}: {task} runs twice, on workers {other} and {at}"));
            }
        }
        if self.recorded_done.contains(&task) {
            self.violations.push(format!("{now}: {task} starts after its end was recorded"));
        }
        if self.recorded_failed.get(&task).copied().unwrap_or(0) >= MAX_ATTEMPTS
            && !self.jobs[&task.job].steps[usize::from(task.step)].lasting
        {
            self.violations.push(format!("{now}: {task} starts after {MAX_ATTEMPTS} failed runs"));
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

    /// Returns whether speculative copies of a task may run.
    pub(super) fn allows_copies(&self, task: TaskKey) -> bool {
        self.jobs[&task.job].steps[usize::from(task.step)].duplicates
    }

    /// Checks that a job that is stored as failed has a task that failed often enough or crashes its workers.
    pub(super) fn check_failed_job(&mut self, progress: &Progress) {
        let out_of_attempts =
            |(task, &failed): (&TaskKey, &u32)| task.job == progress.key && failed >= MAX_ATTEMPTS;
        let has_crashing_task = self.crashes.has_crashing_task(progress.key);
        if progress.state == JobState::Failed
            && !has_crashing_task
            && !self.failed.iter().any(out_of_attempts)
        {
            let violation =
                format!("{}: job {} is stored as failed without a cause", self.now, progress.key);
            self.violations.push(violation);
        }
    }
}
