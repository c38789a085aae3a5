//! Everything that one leader knows, as plain data.

pub mod abandoned_start;
pub mod answer_times;
pub mod checkpoint;
pub mod class_shares;
pub mod commits;
pub mod crash_evidence;
pub mod delay;
pub mod freshness;
pub mod inbox;
pub mod interference_model;
pub mod job_table;
pub mod maintenance;
pub mod pace_orders;
pub mod permits;
pub mod rates;
pub mod recovery_scan;
pub mod renewal_queue;
pub mod trial;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaplock_jobs::{config, JobKey, Step, TaskKey};
use gaplock_overload::account::LoadAccount;
use gaplock_overload::budget::{Limit, Observation};
use gaplock_overload::estimates::EstimateRatios;
use gaplock_types::ids;
use gaplock_types::time::Instant;
use rustc_hash::FxHashMap;

use crate::interface::message::{
    Action, Evacuated, FencingToken, Run, Steering, WorkerInfo, WorkerIx,
};
use crate::interface::settings::Settings;

use answer_times::AnswerTimes;
use class_shares::ClassShares;
use commits::Commits;
use crash_evidence::CrashTracker;
use delay::Delay;
use freshness::Freshness;
use inbox::Inbox;
use interference_model::InterferenceModel;
use job_table::{JobEntry, ReadyStep, StepState, Task, TaskState};
use maintenance::Maintenance;
use permits::Permits;
use recovery_scan::RecoveryScan;
use renewal_queue::RenewalQueue;
use worker::{Renewal, Worker};

/// Valid directory entries whose pool the configuration does not name; a later configuration may.
pub type UnknownPoolWorkers = BTreeMap<ids::WorkerId, WorkerInfo>;

/// A leadership: its rising number and the token that fences all earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Counts leaderships of the installation, from 1; run numbers are derived from it.
    pub number: u64,
    /// The token that workers compare.
    pub token: FencingToken,
}

/// The number of runs that one leader may give a task. A run's number is the term's number times
/// this, plus the count of starts, so two leaders never use the same number.
const MAX_RUNS_PER_TERM: u64 = 1 << 12;

/// The part of all starts in flight that one worker may have, as a divisor. Tasks that take
/// processors go to the fullest worker with enough capacity, so without this limit a few workers
/// that have just stopped answering would use up all starts.
const WORKER_STARTS_DIVISOR: usize = 16;

/// The number of starts that one worker may have in flight even under the leader with the least
/// capacity.
const MIN_STARTS_PER_WORKER: usize = 2;

/// A queue that the configuration in force no longer has.
#[derive(Debug, Clone)]
pub struct RetiredQueue {
    /// The queue as it was last known.
    pub queue: Arc<config::Queue>,
    /// The queue that now has its host name and path prefix, if there is one. Callers of the former
    /// queue address that one.
    pub replaced_by: Option<String>,
}

/// Everything that a leader knows.
#[derive(Debug)]
pub struct State {
    /// Limits and intervals.
    pub settings: Settings,
    /// The configuration in force.
    pub config: Option<Arc<config::Config>>,
    /// The queues that the configuration in force no longer has and that jobs still need, by name.
    pub retired_queues: BTreeMap<String, RetiredQueue>,
    /// The leadership under which all orders are sent.
    pub term: Term,
    /// Set while another host may lead without this one noticing. The silence of a worker then does
    /// not prove that the leases there are over, since that host may have renewed them.
    pub may_be_superseded: bool,
    /// The time of the event that is being handled.
    pub now: Instant,
    /// The wall clock at that time, in milliseconds since 1970.
    pub unix_ms: u64,
    /// All jobs whose state is still kept.
    pub jobs: FxHashMap<JobKey, JobEntry>,
    /// How far the inbox has been read, and what its reports are checked against.
    pub inbox: Inbox,
    /// All workers that this leader has ever seen, with one element for each incarnation.
    pub workers: Vec<Worker>,
    /// When the renewals of workers are due.
    pub renewal_queue: RenewalQueue,
    /// How long workers take to answer orders.
    pub answer_times: AnswerTimes,
    /// How far this leader is behind.
    pub delay: Delay,
    /// How many readings of workers were not used because this leader was behind.
    pub readings_put_off: u64,
    /// How many of the workers are terminated.
    pub terminated_count: usize,
    /// Workers by the id of their incarnation.
    pub by_id: FxHashMap<ids::WorkerId, WorkerIx>,
    /// The latest incarnation of each worker.
    pub by_name: FxHashMap<ids::WorkerName, WorkerIx>,
    /// Entries of the directory whose pool the configuration does not name.
    pub unknown_pool_workers: UnknownPoolWorkers,
    /// The failure domains whose workers get no new tasks.
    pub evacuated: Evacuated,
    /// The operators' instructions for queues.
    pub steering: Steering,
    /// How old the view of the directory is.
    pub freshness: Freshness,
    /// Steps with pending tasks.
    pub ready: BTreeSet<ReadyStep>,
    /// Set while the leader looks for runs of previous leaders.
    pub recovery_scan: Option<RecoveryScan>,
    /// What is to be stored.
    pub commits: Commits,
    /// How far callers' estimates of the duration of tasks are off.
    pub estimate_ratios: EstimateRatios,
    /// The limit on the best-effort demand at work in each pool, and what was last observed there;
    /// empty unless the setting is on.
    pub best_effort_limits: BTreeMap<ids::ServiceId, (Limit, Observation)>,
    /// When pools were last observed.
    pub pools_observed_at: Instant,
    /// How many dispatch passes were made.
    pub passes: u64,
    /// The learned interference between tasks.
    pub interference: InterferenceModel,
    /// The load of each queue and class of work.
    pub load: LoadAccount,
    /// Where steps may run whose queue asks an external service.
    pub permits: Permits,
    /// Tasks that were running on workers when these were lost, and may have crashed them.
    pub crashes: CrashTracker,
    /// Maintenance waves.
    pub maintenance: Maintenance,
    /// The actions for the driver.
    pub actions: Vec<Action>,
    /// How many starts are in flight: sent, and neither answered nor known to be unanswered.
    pub starts_in_flight: usize,
    /// Set when a dispatch pass could find something to start.
    pub pass_wanted: bool,
    /// How many candidate evaluations the last dispatch pass made.
    pub pass_evaluations: usize,
    /// The workers at which the next check for better workers begins: for tasks that are slowed
    /// down, and for tasks on slow workers.
    pub rebalance_cursors: (WorkerIx, WorkerIx),
    /// How many searches over all workers the last check for better workers made.
    pub rebalance_searches: usize,
    /// When a short task last found no free capacity, by pool.
    pub short_task_waited_at: FxHashMap<ids::ServiceId, Instant>,
    /// The shares of classes of work in each pool, and what is done to enforce them.
    pub class_shares: ClassShares,
    /// When the directory could be read again after the last outage, or was first read.
    pub directory_recovered_at: Instant,
    /// When the learned interference was last stored.
    pub learned_stored_at: Instant,
    /// When the load was last stored.
    pub load_stored_at: Instant,
    /// When queues that do not keep up were last logged.
    pub backlogs_logged_at: Instant,
    /// How many runs were listed although their job had ended before and no stop was on its way.
    pub runs_after_end: u64,
}

impl State {
    /// Creates the state of a leader that knows nothing yet; [`crate::changes::takeover::restore`]
    /// fills it.
    pub fn open(settings: Settings, term: Term, now: Instant, unix_ms: u64) -> Self {
        Self {
            config: None,
            term,
            may_be_superseded: false,
            retired_queues: BTreeMap::new(),
            now,
            unix_ms,
            jobs: FxHashMap::default(),
            inbox: Inbox::default(),
            workers: Vec::new(),
            renewal_queue: RenewalQueue::default(),
            answer_times: AnswerTimes::default(),
            delay: Delay::default(),
            readings_put_off: 0,
            terminated_count: 0,
            by_id: FxHashMap::default(),
            by_name: FxHashMap::default(),
            unknown_pool_workers: UnknownPoolWorkers::default(),
            evacuated: Evacuated::default(),
            steering: Steering::default(),
            freshness: Freshness::default(),
            ready: BTreeSet::new(),
            recovery_scan: None,
            commits: Commits::default(),
            estimate_ratios: EstimateRatios::default(),
            best_effort_limits: BTreeMap::new(),
            pools_observed_at: Instant(0),
            passes: 0,
            interference: InterferenceModel::open(settings.forecasts_load),
            load: LoadAccount::open(now),
            permits: Permits::default(),
            crashes: CrashTracker::default(),
            maintenance: Maintenance::default(),
            actions: Vec::new(),
            starts_in_flight: 0,
            pass_wanted: false,
            pass_evaluations: 0,
            rebalance_cursors: (WorkerIx(0), WorkerIx(0)),
            rebalance_searches: 0,
            short_task_waited_at: FxHashMap::default(),
            class_shares: ClassShares::default(),
            directory_recovered_at: now,
            learned_stored_at: now,
            load_stored_at: now,
            backlogs_logged_at: now,
            runs_after_end: 0,
            settings,
        }
    }

    /// Returns whether no more starts may be in flight.
    pub fn is_at_start_limit(&self) -> bool {
        self.starts_in_flight >= self.settings.max_starts_in_flight
    }

    /// Returns whether no more starts may be in flight to a worker.
    pub fn is_worker_at_start_limit(&self, ix: WorkerIx) -> bool {
        let limit =
            (self.settings.max_starts_in_flight / WORKER_STARTS_DIVISOR).max(MIN_STARTS_PER_WORKER);
        self.worker(ix).starts_in_flight >= limit
    }

    /// Returns a worker.
    pub fn worker(&self, ix: WorkerIx) -> &Worker {
        &self.workers[ix.0 as usize]
    }

    /// Returns a task, if its job is known.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.jobs.get(&key.job)?.task(key)
    }

    /// Returns a task for modification, if its job is known.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.jobs.get_mut(&key.job)?.task_mut(key)
    }

    /// Returns whether a task is believed to be at a worker under this run.
    pub fn is_active(&self, key: TaskKey, worker: WorkerIx, run: Run) -> bool {
        let state = self.task(key).map(|t| t.state);
        state == Some(TaskState::Active { worker, run })
    }

    /// Returns the description of a task's step.
    pub fn step(&self, key: TaskKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.step(key)
    }

    /// Returns the state of a task's step.
    pub fn step_state(&self, key: TaskKey) -> Option<&StepState> {
        let round = self.jobs.get(&key.job)?.round(key.round)?;
        round.steps.get(usize::from(key.step))
    }

    /// Returns the state of a task's step for modification.
    pub fn step_state_mut(&mut self, key: TaskKey) -> Option<&mut StepState> {
        let round = self.jobs.get_mut(&key.job)?.round_mut(key.round)?;
        round.steps.get_mut(usize::from(key.step))
    }

    /// Returns a worker for modification.
    pub fn worker_mut(&mut self, ix: WorkerIx) -> &mut Worker {
        &mut self.workers[ix.0 as usize]
    }

    /// Sets when a worker's next renewal is due.
    pub fn set_due(&mut self, ix: WorkerIx, at: Instant) {
        self.worker_mut(ix).renewal = Renewal::Due(at);
        self.renewal_queue.add(at, ix);
    }

    /// Makes a worker's next renewal due now, unless one is in flight.
    pub fn expedite_renewal(&mut self, ix: WorkerIx) {
        let now = self.now;
        if matches!(self.worker(ix).renewal, Renewal::Due(at) if at > now) {
            self.set_due(ix, now);
        }
    }

    /// Returns how many workers may still run something.
    pub fn fleet_size(&self) -> usize {
        self.workers.len() - self.terminated_count
    }

    /// Records that a worker is terminated, or is not after all; returns whether that changed.
    pub fn set_terminated(&mut self, ix: WorkerIx, terminated: bool) -> bool {
        let changed =
            std::mem::replace(&mut self.worker_mut(ix).terminated, terminated) != terminated;
        if changed && terminated {
            self.terminated_count += 1;
        } else if changed {
            self.terminated_count -= 1;
            if let Renewal::Due(at) = self.worker(ix).renewal {
                self.renewal_queue.add(at, ix);
            }
        }
        changed
    }

    /// Returns the positions of all workers that may still run something.
    pub fn worker_ixs(&self) -> Vec<WorkerIx> {
        let all = 0..self.workers.len() as u32;
        all.map(WorkerIx).filter(|&ix| !self.worker(ix).terminated).collect()
    }

    /// Returns the number of a run from how often this leader has started its task.
    pub fn run_number(&self, starts: u32) -> Run {
        Run(self.term.number * MAX_RUNS_PER_TERM + u64::from(starts))
    }
}
