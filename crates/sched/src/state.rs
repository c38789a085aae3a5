//! All that one leader knows, as plain data.

pub mod checkpoint;
pub mod commits;
pub mod doubt;
pub mod due;
pub mod freshness;
pub mod model;
pub mod paces;
pub mod permits;
pub mod rates;
pub mod survey;
pub mod suspicion;
pub mod table;
pub mod trial;
pub mod upkeep;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaplock_jobs::{config, JobKey, Step, TaskKey};
use gaplock_types::ids;
use gaplock_types::time::Instant;
use rustc_hash::FxHashMap;

use crate::interface::message::{Action, Evacuated, FencingToken, Run, WorkerInfo, WorkerIx};
use crate::interface::settings::Settings;

use commits::Commits;
use due::DueRenewals;
use freshness::Freshness;
use model::Model;
use permits::Permits;
use survey::Survey;
use suspicion::Crashes;
use table::{Entry, ReadyStep, StepState, Task, TaskState};
use upkeep::Upkeep;
use worker::{Renewal, Worker};

/// Sound entries whose pool the configuration does not name; a later one may.
pub type Unnamed = BTreeMap<ids::WorkerId, WorkerInfo>;

/// A leadership: its rising number and the token that fences every earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Counts leaderships of the installation, from 1; run numbers are derived from it.
    pub number: u64,
    /// What workers compare.
    pub token: FencingToken,
}

/// Runs that one leader may give a task; a run's number is the term's number times this, plus the
/// count of starts. Two leaders therefore never use the same number.
const RUNS_PER_TERM: u64 = 1 << 12;

/// The part of all starts under way that one worker may have, as a divisor. What takes processors goes
/// to the fullest worker that holds it, so without a bound a few workers that have just fallen silent
/// would take up all of them.
const STARTS_SHARE: usize = 16;

/// The starts that one worker may have under way on the weakest of leaders.
const STARTS_LEAST: usize = 2;

/// Everything that a leader knows.
#[derive(Debug)]
pub struct State {
    /// Bounds and intervals.
    pub settings: Settings,
    /// The configuration in force.
    pub config: Option<Arc<config::Config>>,
    /// The leadership under which all orders go out.
    pub term: Term,
    /// The time of the event in hand.
    pub now: Instant,
    /// The wall clock at that time, in milliseconds since 1970.
    pub unix_ms: u64,
    /// All jobs whose state is still kept.
    pub jobs: FxHashMap<JobKey, Entry>,
    /// All workers ever seen by this leader, each start for itself.
    pub workers: Vec<Worker>,
    /// When their renewals fall due.
    pub due: DueRenewals,
    /// How many of them are gone.
    pub gone: usize,
    /// Workers by their start.
    pub by_id: FxHashMap<ids::WorkerId, WorkerIx>,
    /// The last start of each worker.
    pub by_name: FxHashMap<ids::WorkerName, WorkerIx>,
    /// Entries of the directory whose pool the configuration does not name.
    pub unnamed: Unnamed,
    /// The failure domains to whose workers nothing new goes.
    pub evacuated: Evacuated,
    /// How old the view of the directory is.
    pub freshness: Freshness,
    /// Steps with pending tasks.
    pub ready: BTreeSet<ReadyStep>,
    /// Set while former leaders' runs are being searched for.
    pub survey: Option<Survey>,
    /// What is to be stored.
    pub commits: Commits,
    /// What is known of how tasks disturb each other.
    pub pacing: Model,
    /// Where steps may run whose queue asks another service.
    pub permits: Permits,
    /// Tasks under which workers were lost.
    pub crashes: Crashes,
    /// Waves of upkeep.
    pub upkeep: Upkeep,
    /// What is to be done.
    pub actions: Vec<Action>,
    /// How many starts have been sent whose answer, or the lack of one, is not known yet.
    pub starts_under_way: usize,
    /// Set when a dispatch pass could find something to start.
    pub pass_wanted: bool,
    /// How many looks at a worker the last dispatch pass took.
    pub pass_looks: usize,
    /// The worker with which the next look for better places begins: for what is slowed down, and for what
    /// runs on a slow worker.
    pub places_from: (WorkerIx, WorkerIx),
    /// How many searches over all workers the last look for better places made.
    pub places_searched: usize,
    /// When a short task last found no room, by pool.
    pub short_waited: FxHashMap<ids::ServiceId, Instant>,
    /// When the directory could be read again after the last outage, or was first read.
    pub directory_back: Instant,
    /// When what was learnt was last stored.
    pub learnt_kept: Instant,
    /// How many listed runs were found of jobs that had ended before, without a stop on its way.
    pub runs_after_end: u64,
}

impl State {
    /// Builds the state of a leader that knows nothing yet; [`crate::changes::takeover::restore`] fills it.
    pub fn open(settings: Settings, term: Term, now: Instant, unix_ms: u64) -> Self {
        Self {
            settings,
            config: None,
            term,
            now,
            unix_ms,
            jobs: FxHashMap::default(),
            workers: Vec::new(),
            due: DueRenewals::default(),
            gone: 0,
            by_id: FxHashMap::default(),
            by_name: FxHashMap::default(),
            unnamed: Unnamed::default(),
            evacuated: Evacuated::default(),
            freshness: Freshness::default(),
            ready: BTreeSet::new(),
            survey: None,
            commits: Commits::default(),
            pacing: Model::default(),
            permits: Permits::default(),
            crashes: Crashes::default(),
            upkeep: Upkeep::default(),
            actions: Vec::new(),
            starts_under_way: 0,
            pass_wanted: false,
            pass_looks: 0,
            places_from: (WorkerIx(0), WorkerIx(0)),
            places_searched: 0,
            short_waited: FxHashMap::default(),
            directory_back: now,
            learnt_kept: now,
            runs_after_end: 0,
        }
    }

    /// Tells whether as many starts are under way as may be.
    pub fn has_most_starts(&self) -> bool {
        self.starts_under_way >= self.settings.starts_under_way_most
    }

    /// Tells whether as many starts are under way to a worker as may be.
    pub fn has_most_starts_at(&self, ix: WorkerIx) -> bool {
        let most = (self.settings.starts_under_way_most / STARTS_SHARE).max(STARTS_LEAST);
        self.worker(ix).starts_under_way >= most
    }

    /// Returns a worker.
    pub fn worker(&self, ix: WorkerIx) -> &Worker {
        &self.workers[ix.0 as usize]
    }

    /// Finds a task of a job that is known.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.jobs.get(&key.job)?.task(key)
    }

    /// Finds a task of a job that is known.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.jobs.get_mut(&key.job)?.task_mut(key)
    }

    /// Tells whether a task is held to be at a worker under a run.
    pub fn is_active(&self, key: TaskKey, worker: WorkerIx, run: Run) -> bool {
        let state = self.task(key).map(|t| t.state);
        state == Some(TaskState::Active { worker, run })
    }

    /// Finds the description of a task's step.
    pub fn step(&self, key: TaskKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.step(key)
    }

    /// Finds the state of a task's step.
    pub fn step_state(&self, key: TaskKey) -> Option<&StepState> {
        let round = self.jobs.get(&key.job)?.round(key.round)?;
        round.steps.get(usize::from(key.step))
    }

    /// Finds the state of a task's step, for a change.
    pub fn step_state_mut(&mut self, key: TaskKey) -> Option<&mut StepState> {
        let round = self.jobs.get_mut(&key.job)?.round_mut(key.round)?;
        round.steps.get_mut(usize::from(key.step))
    }

    /// Returns a worker.
    pub fn worker_mut(&mut self, ix: WorkerIx) -> &mut Worker {
        &mut self.workers[ix.0 as usize]
    }

    /// Sets when a worker's next renewal is due.
    pub fn set_due(&mut self, ix: WorkerIx, at: Instant) {
        self.worker_mut(ix).renewal = Renewal::Due(at);
        self.due.add(at, ix);
    }

    /// Makes a worker's next renewal due now, unless one is in flight.
    pub fn hasten_renewal(&mut self, ix: WorkerIx) {
        let now = self.now;
        if matches!(self.worker(ix).renewal, Renewal::Due(at) if at > now) {
            self.set_due(ix, now);
        }
    }

    /// Returns how many workers may still run something.
    pub fn fleet_size(&self) -> usize {
        self.workers.len() - self.gone
    }

    /// Notes that a worker is gone, or is there again; whether that is new.
    pub fn set_gone(&mut self, ix: WorkerIx, gone: bool) -> bool {
        let changed = std::mem::replace(&mut self.worker_mut(ix).gone, gone) != gone;
        if changed && gone {
            self.gone += 1;
        } else if changed {
            self.gone -= 1;
            if let Renewal::Due(at) = self.worker(ix).renewal {
                self.due.add(at, ix);
            }
        }
        changed
    }

    /// Lists the positions of all workers that may still run something.
    pub fn worker_ixs(&self) -> Vec<WorkerIx> {
        let all = 0..self.workers.len() as u32;
        all.map(WorkerIx).filter(|&ix| !self.worker(ix).gone).collect()
    }

    /// Derives the number of a task's run from how often this leader has started it.
    pub fn run_number(&self, starts: u32) -> Run {
        Run(self.term.number * RUNS_PER_TERM + u64::from(starts))
    }
}
