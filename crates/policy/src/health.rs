//! Distinguishes a worker on which every task fails from a job that fails on every worker.
//!
//! Consecutive failures of different jobs count against a worker; failures on different workers
//! count against a job. A failure counts against the worker only while its job has not failed on
//! another worker, so that one bad job cannot put the whole fleet into quarantine.

use gaplock_types::{ids, time};
use rustc_hash::{FxHashMap, FxHashSet};

/// Consecutive failures after which a worker is quarantined: of different jobs, or of one job that
/// does not fail on other workers.
pub const WORKER_FAILURE_LIMIT: u32 = 3;
/// Number of different workers on which tasks of a job must have failed before the job fails.
pub const JOB_FAILED_WORKER_LIMIT: usize = 3;
const INITIAL_QUARANTINE: time::Millis = time::Millis(30_000);
const MAX_QUARANTINE: time::Millis = time::Millis(1_800_000);

#[derive(Debug, Default)]
struct WorkerHealth {
    consecutive_failures: u32,
    quarantines: u32,
    quarantined_until: Option<time::Instant>,
    on_probation: bool,
}

/// What to do after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAction {
    /// Do nothing yet.
    None,
    /// Give the worker no new work until its quarantine ends.
    Quarantine,
    /// End the job as failed, since it fails on every worker.
    FailJob,
}

/// Failures by worker and by job.
#[derive(Debug, Default)]
pub struct HealthTracker {
    workers: FxHashMap<ids::WorkerId, WorkerHealth>,
    jobs: FxHashMap<ids::JobId, FxHashSet<ids::WorkerId>>,
}

impl HealthTracker {
    /// Records that a task of `job` succeeded on `worker`.
    pub fn record_success(&mut self, worker: &ids::WorkerId, job: ids::JobId) {
        if let Some(w) = self.workers.get_mut(worker) {
            *w = WorkerHealth::default();
        }
        self.jobs.remove(&job);
    }

    /// Records that a task of `job` failed on `worker`, and returns what to do about it.
    pub fn record_failure(
        &mut self,
        now: time::Instant,
        worker: &ids::WorkerId,
        job: ids::JobId,
    ) -> FailureAction {
        let failed_on = self.jobs.entry(job).or_default();
        failed_on.insert(worker.clone());
        if failed_on.len() >= JOB_FAILED_WORKER_LIMIT {
            self.jobs.remove(&job);
            return FailureAction::FailJob;
        }
        let elsewhere = failed_on.len() > 1;
        let w = self.workers.entry(worker.clone()).or_default();
        if !elsewhere {
            w.consecutive_failures += 1;
        }
        if w.consecutive_failures < WORKER_FAILURE_LIMIT && !w.on_probation {
            return FailureAction::None;
        }
        let span = INITIAL_QUARANTINE.0 << w.quarantines.min(16);
        w.quarantined_until = Some(now + time::Millis(span.min(MAX_QUARANTINE.0)));
        w.quarantines += 1;
        w.consecutive_failures = 0;
        w.on_probation = false;
        FailureAction::Quarantine
    }

    /// Returns whether `worker` is out of quarantine. A worker whose quarantine has just ended goes
    /// on probation and gets one task as a trial.
    pub fn end_quarantine_if_due(&mut self, now: time::Instant, worker: &ids::WorkerId) -> bool {
        let Some(w) = self.workers.get_mut(worker) else { return true };
        match w.quarantined_until {
            Some(until) if now < until => false,
            Some(_) => {
                w.quarantined_until = None;
                w.on_probation = true;
                true
            }
            None => true,
        }
    }

    /// Returns whether `worker` may hold only one task, as a trial after its quarantine.
    pub fn on_probation(&self, worker: &ids::WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|w| w.on_probation)
    }

    /// Removes the failures of a job that has ended.
    pub fn forget_job(&mut self, job: ids::JobId) {
        self.jobs.remove(&job);
    }
}
