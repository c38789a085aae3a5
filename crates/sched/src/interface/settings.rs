//! Limits and intervals of the scheduler. Some of them come from the installation's settings; the
//! others are fixed here, each with the reason for its value.

use gaplock_types::time::Millis;

/// Limits and intervals. Fields that the installation sets say so.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The longest lease that a worker grants; set by the installation.
    pub lease_max: Millis,
    /// The longest time that a worker takes to stop a run; set by the installation.
    pub stop_limit: Millis,
    /// How long an order to take a host down keeps other leaders from ordering it; set by the
    /// installation.
    pub order_lease: Millis,
    /// The shortest time for which a draining worker keeps running; set by the installation.
    pub min_drain: Millis,
    /// How much slower than the leader's clock a worker's clock may run, in parts per thousand. The
    /// workers' interface specifies 2 %.
    pub clock_drift_per_mille: u64,
    /// How long a renewal of leases may wait at a worker for a task to end. Shorter waits cost more
    /// calls; longer ones let the readings of serving tasks become stale.
    pub renew_wait: Millis,
    /// The interval between renewals of a worker while some of its ends are not stored. These
    /// renewals are plain polls: they do not wait at the worker.
    pub poll_every: Millis,
    /// How long after an unanswered renewal the next one is sent.
    pub renew_retry: Millis,
    /// The interval between renewals of a worker without tasks; they keep the reading of its clock
    /// recent.
    pub idle_renew_every: Millis,
    /// How many times a start is sent without an answer before the run is stopped instead.
    pub max_start_attempts: u32,
    /// How many starts may be in flight at one time; set from the host's share of a processor. More
    /// starts than a host can send and process would delay the renewals queued behind them.
    pub max_starts_in_flight: usize,
    /// How long a stop may go unanswered, or the end of its run unlisted, before the stop is sent
    /// again.
    pub stop_retry: Millis,
    /// How long ends are collected before they are stored in one commit.
    pub commit_delay: Millis,
    /// The first pause before a failed task is started again; it doubles with each failure.
    pub retry_pause: Millis,
    /// The longest pause before a failed task is started again. It is shorter than the time within
    /// which the installation expects a long-running task to be ready again.
    pub retry_pause_max: Millis,
    /// How many runs in a row may fail on a worker before it gets no new tasks for a while.
    pub max_worker_failures: u32,
    /// How long a worker on which runs keep failing gets no new tasks; it doubles each time.
    pub quarantine: Millis,
    /// How long no tasks are offered to a worker that refused one for lack of capacity.
    pub full_pause: Millis,
    /// How long a serving task may continuously exceed its target; set by the installation.
    pub max_tail_excess: Millis,
    /// Whether the load of serving tasks is forecast by its period, once one is confirmed; set by
    /// the installation. A leader uses the value that it began with.
    pub forecasts_load: bool,
    /// How long beyond the longest lease a new leader waits for workers that do not answer.
    pub takeover_margin: Millis,
    /// Whether paces, moves and starts of best-effort tasks depend on the time that their jobs have
    /// left; set by the daemon's flags.
    pub pace_by_slack: bool,
    /// Whether the best-effort demand that is at work at one time in a pool is limited; set by the
    /// daemon's flags.
    pub limit_best_effort: bool,
    /// Whether long-running tasks are kept to their class's share of a pool while short tasks wait
    /// for capacity; set by the daemon's settings.
    pub class_shares: bool,
    /// How long a finished job's state is kept; set by the installation, with a margin.
    pub finished_job_retention: Millis,
    /// Whether the load of the queues is shown, logged, stored and shared with the other hosts.
    pub load_account: bool,
}

/// The longest lease that is requested, whatever workers would grant. A task at a lost worker
/// starts elsewhere only after its lease has expired, and a new leader that cannot reach a worker
/// starts nothing for as long. The users expect long-running tasks to be ready again some 7 s after
/// a fault has ended. A change of leader takes up to 3 s.
const MAX_LEASE_REQUESTED: Millis = Millis(6_000);

impl Settings {
    /// Returns the length of the leases that are requested.
    pub fn lease(&self) -> Millis {
        self.lease_max.min(MAX_LEASE_REQUESTED)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_max: Millis(6_000),
            stop_limit: Millis(900),
            order_lease: Millis(3_000),
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
            forecasts_load: true,
            takeover_margin: Millis(500),
            pace_by_slack: true,
            limit_best_effort: false,
            class_shares: false,
            finished_job_retention: Millis(150_000),
            load_account: true,
        }
    }
}
