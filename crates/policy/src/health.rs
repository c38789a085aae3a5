//! Tells a worker that fails everything from a job that fails everywhere.
//!
//! A worker is suspected by failures in a row over different jobs; a job is suspected by failures
//! on different workers. A failure counts against the worker only while its job has not failed
//! elsewhere, so one bad job cannot empty a fleet.

use gaplock_types::{ids, time};
use rustc_hash::{FxHashMap, FxHashSet};

/// Failures in a row, of different jobs or of one job that runs elsewhere, before quarantine.
pub const WORKER_FAILURE_LIMIT: u32 = 3;
/// Different workers on which a task must have failed before its job is given up.
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

/// What a failure led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAction {
    /// Nothing yet.
    None,
    /// The worker gets no new work for a while.
    Quarantine,
    /// The job fails everywhere and is given up.
    FailJob,
}

/// Failures by worker and by job.
#[derive(Debug, Default)]
pub struct HealthTracker {
    workers: FxHashMap<ids::WorkerId, WorkerHealth>,
    jobs: FxHashMap<ids::JobId, FxHashSet<ids::WorkerId>>,
}

impl HealthTracker {
    /// Takes in that a task of `job` ended well on `worker`.
    pub fn record_success(&mut self, worker: &ids::WorkerId, job: ids::JobId) {
        if let Some(w) = self.workers.get_mut(worker) {
            *w = WorkerHealth::default();
        }
        self.jobs.remove(&job);
    }

    /// Takes in that a task of `job` failed on `worker`.
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

    /// Tells whether `worker`'s quarantine has ended; it then gets one task as a trial.
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

    /// Tells whether `worker` may hold only one task, as a trial after its quarantine.
    pub fn on_probation(&self, worker: &ids::WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|w| w.on_probation)
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: ids::JobId) {
        self.jobs.remove(&job);
    }
}
