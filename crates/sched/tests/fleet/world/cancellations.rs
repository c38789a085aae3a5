//! What a cancellation promises: no leader that knows of it starts a task of the job, and whatever runs of the job
//! is gone soon, wherever it is and however it came there.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaplock_jobs::progress::JobState;
use gaplock_jobs::{Job, JobKey, TaskKey};
use gaplock_sched::message::Run;
use gaplock_sched::Event;

use super::checks::end_faults_and_settle;
use super::World;

/// How long a run of a cancelled job may be there where nothing goes wrong: the time of a stop, and of the account
/// that shows the run.
const STOPPED_WITHIN_MS: u64 = 2_000;

/// How often runs are looked at, in milliseconds.
const CHECK_EVERY_MS: u64 = 20;

/// A cancellation that is stored.
#[derive(Debug, Clone, Copy)]
struct Cancellation {
    at: u64,
    /// The first term whose leader knows of it.
    known_from_term: u64,
}

/// The cancellations of a world, and what hinders its leaders from carrying them out.
#[derive(Debug, Default)]
pub struct Cancellations {
    made: BTreeMap<JobKey, Cancellation>,
    /// Until when something went wrong with the calls to a worker, or with the worker.
    faulty_until: BTreeMap<usize, u64>,
    /// When the present leader began.
    led_since: u64,
    /// Runs that were found going on.
    reported: BTreeSet<(usize, TaskKey, Run)>,
    /// Broken promises of cancellations, in words.
    broken: Vec<String>,
}

/// Ends all faults and, once it has been quiet for a while, fails the test if a promise of a cancellation was broken,
/// whatever else went wrong.
pub fn assert_cancellations_kept(world: &mut World) {
    end_faults_and_settle(world);
    assert!(world.cancellations.broken.is_empty(), "{:#?}", world.cancellations.broken);
    assert_no_runs_of_finished_jobs(world);
}

/// Fails the test if something runs whose job is over.
pub(super) fn assert_no_runs_of_finished_jobs(world: &World) {
    let left = world.runs_of_finished_jobs();
    assert!(left.is_empty(), "{} runs of jobs that are over go on: {left:?}", left.len());
}

impl Cancellations {
    /// Returns by when the runs of a job at a worker must be gone. What went wrong there may have left a lease.
    fn stopped_by(&self, job: JobKey, at: usize, lease_ms: u64) -> Option<u64> {
        let made = self.made.get(&job)?;
        let calm = self.faulty_until.get(&at).map_or(0, |until| until + lease_ms);
        Some(made.at.max(calm).max(self.led_since) + STOPPED_WITHIN_MS)
    }
}

impl World {
    /// Cancels a job of which the leader hears so many milliseconds after its cancellation.
    pub fn cancel_ahead(&mut self, job: Job, gap: u64) {
        let key = job.key;
        let job = Arc::new(job);
        self.jobs.insert(key, Arc::clone(&job));
        self.cancel(key.0);
        self.run(gap);
        self.notify_leader(Event::Job(job));
    }

    /// Notes that a cancellation is stored: the leader that is told of it knows it, or else its successor.
    pub(super) fn record_cancelled(&mut self, key: JobKey) {
        let known_from = if self.cx.is_some() { self.term } else { self.term + 1 };
        let made = Cancellation { at: self.now, known_from_term: known_from };
        self.cancelled.insert(key);
        self.cancellations.made.entry(key).or_insert(made);
    }

    /// Notes that something goes wrong at a worker, or with calls to it, for so many milliseconds.
    pub(super) fn record_fault(&mut self, at: usize, for_ms: u64) {
        let until = self.cancellations.faulty_until.entry(at).or_default();
        *until = (*until).max(self.now + for_ms);
    }

    /// Notes that another leader begins, or that there is none.
    pub(super) fn record_leader_change(&mut self) {
        self.cancellations.led_since = self.now;
    }

    /// Checks that a start which the leader sends is not one of a job that it knows to be cancelled.
    pub(super) fn check_sent(&mut self, at: usize, task: TaskKey, run: Run) {
        let made = self.cancellations.made.get(&task.job).copied();
        let Some(made) = made.filter(|made| made.known_from_term <= self.term) else { return };
        let (now, ago) = (self.now, self.now - made.at);
        let said = format!(
            "{now}: start of {task}, run {}, sent to {at} {ago} ms after its cancel",
            run.0
        );
        self.broken(said);
    }

    /// Checks that no run of a cancelled job goes on where nothing hinders its stop.
    pub(super) fn check_runs(&mut self) {
        if self.cx.is_none() {
            return self.record_leader_change();
        }
        if self.cancellations.made.is_empty() || !self.now.is_multiple_of(CHECK_EVERY_MS) {
            return;
        }
        let lease = self.settings.lease_max.0;
        let mut over = Vec::new();
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.up) {
            for (task, sim) in &worker.running {
                let gone_by = self.cancellations.stopped_by(task.job, at, lease);
                if gone_by.is_some_and(|by| by + worker.stop_ms < self.now) {
                    over.push((at, *task, sim.run));
                }
            }
        }
        for (at, task, run) in over {
            if self.cancellations.reported.insert((at, task, run)) {
                let ago = self.now - self.cancellations.made[&task.job].at;
                let now = self.now;
                let said = format!(
                    "{now}: {task}, run {}, goes on at {at} {ago} ms after its cancel",
                    run.0
                );
                self.broken(said);
            }
        }
    }

    fn broken(&mut self, said: String) {
        self.cancellations.broken.push(said.clone());
        self.violations.push(said);
    }

    /// Tells whether a job is cancelled, has ended otherwise, or is forgotten.
    pub(super) fn is_over(&self, job: JobKey) -> bool {
        let state = self.progress.get(&job).map(|progress| progress.state);
        let ended = self.cancelled.contains(&job) || state.is_some_and(JobState::is_final);
        ended || self.forgotten.contains(&job)
    }

    /// Lists what runs of jobs that are over, with its workers.
    fn runs_of_finished_jobs(&self) -> Vec<(usize, TaskKey, Run)> {
        let up = self.workers.iter().enumerate().filter(|(_, w)| w.up);
        let runs = up.flat_map(|(at, w)| w.running.iter().map(move |(t, sim)| (at, *t, sim.run)));
        runs.filter(|(_, task, _)| self.is_over(task.job)).collect()
    }
}
