//! The keys under which the installation's state is stored in the platform's store.
//!
//! `docs/PLATFORM.md` has the table of which record is stored before which.

use gaplock_jobs::JobKey;
use gaplock_sched::message::WaveNumber;
use gaplock_types::ids;

/// The claim of the leader; stored under the leader's lease.
pub const LEADER: &str = "gaplock/leader";

/// The last claim, whether or not its lease has expired. A successor learns from it whom to ask
/// whether the former leader has stopped.
pub const LAST_CLAIM: &str = "gaplock/last-claim";

/// The number of the leadership and of its last commit. Every commit expects the last value and
/// replaces it, so that a commit whose answer was lost can never be carried out after a later one.
pub const COMMITS: &str = "gaplock/commits";

/// Jobs and cancellations of callers; the leader watches them.
pub const INBOX: &str = "gaplock/in/";

/// Accepted jobs.
pub const JOBS: &str = "gaplock/in/job/";

/// Cancelled jobs.
pub const CANCELS: &str = "gaplock/in/cancel/";

/// The progress of jobs; written by the leader only.
pub const PROGRESS: &str = "gaplock/progress/";

/// Workers that may run tasks; written by the leader only.
pub const ROSTER: &str = "gaplock/roster/";

/// The learned interference model: how images interfere with each other; written by the leader
/// only.
pub const LEARNED: &str = "gaplock/learnt";

/// What is known of the load that a new leader cannot learn at once; written by the leader only.
pub const LOAD: &str = "gaplock/load";

/// The progress of maintenance waves; written by the leader only.
pub const WAVES: &str = "gaplock/wave/";

/// Markers of refused jobs, each under a lease; written by any host before it refuses a job.
pub const REFUSED: &str = "gaplock/refused/";

/// Returns the key of the marker of a refused job.
pub fn refused(key: JobKey) -> String {
    format!("{REFUSED}{key}")
}

/// Returns the key of a wave's progress.
pub fn wave(number: WaveNumber) -> String {
    format!("{WAVES}{}", number.0)
}

/// Returns the key of an accepted job.
pub fn job(key: JobKey) -> String {
    format!("{JOBS}{key}")
}

/// Returns the key of a cancellation.
pub fn cancel(key: JobKey) -> String {
    format!("{CANCELS}{key}")
}

/// Returns the key of a job's progress.
pub fn progress(key: JobKey) -> String {
    format!("{PROGRESS}{key}")
}

/// Returns the job that a key of a progress record names, if it names one.
pub fn job_of_progress(key: &str) -> Option<JobKey> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}

/// Returns the worker that a key of the roster names, if it names one.
pub fn worker_of(key: &str) -> Option<ids::WorkerId> {
    key.strip_prefix(ROSTER)?.parse().ok()
}

/// Returns the key of a worker's record in the roster.
pub fn roster(id: &ids::WorkerId) -> String {
    format!("{ROSTER}{id}")
}
