//! Checks the guarantees of a cancellation: a leader that knows of it starts no task of the job, and every
//! run of the job is stopped soon, on whichever worker it is and however it got there.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaplock_jobs::progress::JobState;
use gaplock_jobs::{Job, JobKey, TaskKey};
use gaplock_sched::message::Run;

use super::checks::end_faults_and_settle;
use super::Simulation;

/// How long a run of a cancelled job may go on without any faults, in milliseconds: the time for the worker
/// report that shows the run, and for a stop.
const STOPPED_WITHIN_MS: u64 = 2_000;

/// The time between two checks of all runs, in milliseconds.
const CHECK_EVERY_MS: u64 = 20;

/// A cancellation that is stored.
#[derive(Debug, Clone, Copy)]
struct Cancellation {
    /// When it was stored.
    at: u64,
    /// The first term whose leader knows of the cancellation, and since when it does.
    known_from_term: u64,
    known_since: u64,
}

/// The stored cancellations, and the faults that delay their execution.
#[derive(Debug, Default)]
pub struct Cancellations {
    stored: BTreeMap<JobKey, Cancellation>,
    /// The end of the last fault of each worker, or of calls to it.
    faulty_until: BTreeMap<usize, u64>,
    /// When the present leader began, or, without a leader, the present time.
    led_since: u64,
    /// Runs that have been reported as a violation.
    reported: BTreeSet<(usize, TaskKey, Run)>,
    /// Descriptions of violated guarantees of cancellations.
    violations: Vec<String>,
}

/// Ends all faults, lets the simulation settle, and fails the test if a guarantee of a cancellation was
/// violated; other violations are not considered.
pub fn assert_cancellation_guarantees(simulation: &mut Simulation) {
    end_faults_and_settle(simulation);
    assert!(
        simulation.cancellations.violations.is_empty(),
        "{:#?}",
        simulation.cancellations.violations
    );
    assert_no_runs_of_finished_jobs(simulation);
}

/// Fails the test if a run goes on whose job has ended.
pub(super) fn assert_no_runs_of_finished_jobs(simulation: &Simulation) {
    let left = simulation.runs_of_finished_jobs();
    assert!(
        left.is_empty(),
        "{} runs of jobs that have ended go on (worker, task, run): {left:?}",
        left.len()
    );
}

impl Cancellations {
    /// Returns the time by which the runs of a cancelled job at a worker must be stopped. After a fault there,
    /// a run may go on until its lease ends.
    fn stopped_by(&self, job: JobKey, at: usize, lease_ms: u64, term: u64) -> Option<u64> {
        let cancellation = self.stored.get(&job).filter(|c| c.known_from_term <= term)?;
        let leases_over_at = self.faulty_until.get(&at).map_or(0, |until| until + lease_ms);
        Some(cancellation.known_since.max(leases_over_at).max(self.led_since) + STOPPED_WITHIN_MS)
    }
}

impl Simulation {
    /// Cancels a job that is reported to the leader only `gap` milliseconds after its cancellation.
    pub fn cancel_before_submit(&mut self, job: Job, gap: u64) {
        self.store_cancelled_before_reported(&Arc::new(job), gap);
    }

    /// Records that a cancellation is stored.
    pub(super) fn record_cancelled(&mut self, key: JobKey) {
        // A leader that does not hear of it is followed by one that reads it.
        let cancellation =
            Cancellation { at: self.now, known_from_term: self.term + 1, known_since: self.now };
        self.cancelled.insert(key);
        self.cancellations.stored.entry(key).or_insert(cancellation);
    }

    /// Records that the present leader hears of a cancellation.
    pub(super) fn record_cancellation_heard(&mut self, key: JobKey) {
        let (term, now) = (self.term, self.now);
        let unheard = self.cancellations.stored.get_mut(&key).filter(|c| c.known_from_term > term);
        if let Some(cancellation) = unheard {
            (cancellation.known_from_term, cancellation.known_since) = (term, now);
        }
    }

    /// Drops the cancellation of a job that is no longer stored.
    pub(super) fn forget_cancellation(&mut self, key: JobKey) {
        self.cancellations.stored.remove(&key);
    }

    /// Records a fault of a worker, or of calls to it, that lasts for so many milliseconds.
    pub(super) fn record_fault(&mut self, at: usize, for_ms: u64) {
        let until = self.cancellations.faulty_until.entry(at).or_default();
        *until = (*until).max(self.now + for_ms);
    }

    /// Records that another leader begins, or that there is none.
    pub(super) fn record_leader_change(&mut self) {
        self.cancellations.led_since = self.now;
    }

    /// Checks that the leader does not send a start of a job that it knows to be cancelled.
    pub(super) fn check_sent(&mut self, at: usize, task: TaskKey, run: Run) {
        let known = self.cancellations.stored.get(&task.job).copied();
        let Some(known) = known.filter(|c| c.known_from_term <= self.term) else { return };
        let (now, ago) = (self.now, self.now - known.at);
        let text = format!(
            "{now}: start of {task}, run {}, sent to worker {at} {ago} ms after its cancellation",
            run.0
        );
        self.record_violation(text);
    }

    /// Checks that no run of a cancelled job goes on longer than faults explain.
    pub(super) fn check_runs(&mut self) {
        if self.cx.is_none() {
            return self.record_leader_change();
        }
        if self.cancellations.stored.is_empty() || !self.now.is_multiple_of(CHECK_EVERY_MS) {
            return;
        }
        let lease = self.settings.lease_max.0;
        let mut overdue = Vec::new();
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.up) {
            for (task, sim_run) in &worker.running {
                let stopped_by = self.cancellations.stopped_by(task.job, at, lease, self.term);
                if stopped_by.is_some_and(|by| by + worker.stop_ms < self.now) {
                    overdue.push((at, *task, sim_run.run));
                }
            }
        }
        for (at, task, run) in overdue {
            if self.cancellations.reported.insert((at, task, run)) {
                let ago = self.now - self.cancellations.stored[&task.job].at;
                let now = self.now;
                let text = format!(
                    "{now}: {task}, run {}, goes on at worker {at} {ago} ms after its cancellation",
                    run.0
                );
                self.record_violation(text);
            }
        }
    }

    fn record_violation(&mut self, text: String) {
        self.cancellations.violations.push(text.clone());
        self.violations.push(text);
    }

    /// Returns whether a job is cancelled, has ended otherwise, or has been removed from the store.
    pub(super) fn is_over(&self, job: JobKey) -> bool {
        let state = self.progress.get(&job).map(|progress| progress.state);
        let ended = self.cancelled.contains(&job) || state.is_some_and(JobState::is_final);
        ended || self.forgotten.contains(&job)
    }

    /// Lists the runs of jobs that have ended, with the workers on which they go on.
    fn runs_of_finished_jobs(&self) -> Vec<(usize, TaskKey, Run)> {
        let up = self.workers.iter().enumerate().filter(|(_, w)| w.up);
        let runs =
            up.flat_map(|(at, w)| w.running.iter().map(move |(t, sim_run)| (at, *t, sim_run.run)));
        runs.filter(|(_, task, _)| self.is_over(task.job)).collect()
    }
}
