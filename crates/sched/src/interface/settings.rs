//! Bounds and intervals of the scheduler. Those that an installation sets come from its settings;
//! the others are our own, each with the reason for its value.

use gaplock_types::time::Millis;

/// Bounds and intervals, see each field for unit and origin.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The longest lease that a worker grants; set by the installation.
    pub lease_max: Millis,
    /// The longest time that a stop takes at a worker; set by the installation.
    pub stop_limit: Millis,
    /// How long a draining worker serves at least; set by the installation.
    pub min_drain: Millis,
    /// How much slower than ours a worker's clock may run, in parts per thousand; the workers'
    /// interface names 2 %.
    pub clock_drift_per_mille: u64,
    /// How long a renewal of leases may wait at a worker for a task's end. Shorter waits cost a
    /// call each, longer ones let readings of serving tasks grow old.
    pub renew_wait: Millis,
    /// The wait used while uncommitted ends keep a worker from answering late: a plain poll.
    pub poll_every: Millis,
    /// How long after a renewal without an answer the next one is sent.
    pub renew_retry: Millis,
    /// How often a worker without tasks is asked, for its clock's sake.
    pub idle_renew_every: Millis,
    /// How many times a start without an answer is sent again before it is stopped instead.
    pub max_start_attempts: u32,
    /// How many starts may be under way at one time; set from the host's share of a processor. More
    /// at once than a host can send and hear of delays the renewals behind them.
    pub max_starts_in_flight: usize,
    /// How long an ordered stop may go unanswered or unlisted before it is sent again.
    pub stop_retry: Millis,
    /// How long ends are gathered into one commit.
    pub commit_delay: Millis,
    /// The first pause before a task that failed starts again; it doubles with each failure.
    pub retry_pause: Millis,
    /// The longest pause before a task that failed starts again; below the time within which the
    /// installation expects a lasting task to be at work again.
    pub retry_pause_max: Millis,
    /// How many runs in a row a worker may fail before it gets no new tasks for a while.
    pub max_worker_failures: u32,
    /// How long a worker that fails what it starts gets no new tasks; doubles with each time.
    pub quarantine: Millis,
    /// How long a worker that refused a task for want of room is not offered tasks.
    pub full_pause: Millis,
    /// How long a serving task may exceed its target at a stretch; set by the installation.
    pub max_tail_excess: Millis,
    /// How long a successor waits for workers that do not answer, beyond the longest lease.
    pub takeover_margin: Millis,
    /// How long a finished job's state is kept; set by the installation, with a margin.
    pub finished_job_retention: Millis,
}

/// The longest lease that is asked for, whatever workers would grant. A task at a worker that is lost
/// starts elsewhere only once its lease is over, and a successor that cannot reach a worker starts
/// nothing for as long; the users expect lasting tasks at work again some 7 s after trouble has ended.
/// A change of leader takes up to 3 s.
const MAX_LEASE_REQUESTED: Millis = Millis(6_000);

impl Settings {
    /// Returns the length of the leases that are asked for.
    pub fn lease(&self) -> Millis {
        self.lease_max.min(MAX_LEASE_REQUESTED)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_max: Millis(6_000),
            stop_limit: Millis(900),
            min_drain: Millis(2_000),
            clock_drift_per_mille: 20,
            renew_wait: Millis(1_000),
            poll_every: Millis(250),
            renew_retry: Millis(200),
            idle_renew_every: Millis(4_000),
            max_start_attempts: 3,
            max_starts_in_flight: 256,
            stop_retry: Millis(400),
            commit_delay: Millis(60),
            retry_pause: Millis(100),
            retry_pause_max: Millis(1_500),
            max_worker_failures: 3,
            quarantine: Millis(3_000),
            full_pause: Millis(300),
            max_tail_excess: Millis(4_000),
            takeover_margin: Millis(500),
            finished_job_retention: Millis(150_000),
        }
    }
}
