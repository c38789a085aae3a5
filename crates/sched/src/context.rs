//! The state that one leader owns, and the entry point for events.

use std::collections::BTreeSet;
use std::sync::Arc;

use gaplock_jobs::{config, JobKey, Step, TaskKey};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use rustc_hash::FxHashMap;

use crate::commits::{self, Commits};
use crate::crashes::Crashes;
use crate::directory::Unnamed;
use crate::evacuation::{self, Evacuated};
use crate::freshness::{self, Freshness};
use crate::message::{Action, Event, FencingToken, Run, WorkerIx};
use crate::pacing::{self, Pacing};
use crate::permits::{self, Permits};
use crate::settings::Settings;
use crate::table::{Entry, ReadyStep, StepState, Task};
use crate::takeover::{self, Survey};
use crate::upkeep::{self, Upkeep};
use crate::worker::Worker;
use crate::{
    crashes, directory, dispatch, drain, intake, leases, orders, renewals, roster, stragglers,
};

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

/// How often a dispatch pass may run while events pour in; a pass looks at every ready step.
const PASS_EVERY: Millis = Millis(4);

/// A pass goes over all workers, so on large fleets it runs less often: once in a millisecond for
/// so many of them. At 3,000 workers a pass takes some 0.1 ms (`scripts/measure leader`).
const WORKERS_PER_MS: u64 = 150;

/// A pass that held many waiting steps against many workers is followed by a longer pause: one
/// millisecond for so many looks at a worker, each of which takes some 0.05 us. Without that the
/// passes of a full installation leave no processor time for its renewals (`docs/DECISIONS.md`).
const LOOKS_PER_MS: u64 = 2_000;

/// The part of all starts under way that one worker may have, as a divisor. What takes processors goes
/// to the fullest worker that holds it, so without a bound a few workers that have just fallen silent
/// would take up all of them.
const STARTS_SHARE: usize = 16;

/// The starts that one worker may have under way on the weakest of leaders.
const STARTS_LEAST: usize = 2;

/// How often due renewals are looked for while events pour in; a look goes over all workers.
const RENEWALS_EVERY: Millis = Millis(2);

/// How often bounds of time are checked.
const HOUSEKEEPING_EVERY: Millis = Millis(50);

/// How often better places are looked for: each look goes over all workers for every image that is
/// stuck, and moves one task to a worker.
const REARRANGE_EVERY: Millis = Millis(200);

/// Everything that a leader knows.
#[derive(Debug)]
pub struct Context {
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
    /// All workers ever seen by this leader.
    pub workers: Vec<Worker>,
    /// Workers by their incarnation.
    pub by_id: FxHashMap<ids::WorkerId, WorkerIx>,
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
    pub pacing: Pacing,
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
    last_pass: Instant,
    last_renewals: Instant,
    /// Set when renewals may be due that were not looked for.
    renewals_left: bool,
    last_housekeeping: Instant,
    last_rearranged: Instant,
}

impl Context {
    /// Builds the state of a leader that knows nothing yet; [`takeover::restore`] fills it.
    pub fn open(settings: Settings, term: Term, now: Instant, unix_ms: u64) -> Self {
        Self {
            settings,
            config: None,
            term,
            now,
            unix_ms,
            jobs: FxHashMap::default(),
            workers: Vec::new(),
            by_id: FxHashMap::default(),
            unnamed: Unnamed::default(),
            evacuated: Evacuated::default(),
            freshness: Freshness::default(),
            ready: BTreeSet::new(),
            survey: None,
            commits: Commits::default(),
            pacing: Pacing::default(),
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
            last_pass: Instant(0),
            last_renewals: Instant(0),
            renewals_left: false,
            last_housekeeping: Instant(0),
            last_rearranged: Instant(0),
        }
    }

    /// Takes in what happened at `now`; actions gather in [`Context::actions`].
    pub fn handle(&mut self, now: Instant, unix_ms: u64, event: Event) {
        self.now = now;
        self.unix_ms = unix_ms;
        match event {
            Event::Tick => {}
            Event::Settings(settings) => self.settings = *settings,
            Event::Config(config) => intake::config(self, config),
            Event::Job(job) => intake::job(self, job),
            Event::Cancel(key) => intake::cancel(self, key),
            Event::Listed(info) => directory::listed(self, info),
            Event::Unreadable(id) => directory::unreadable(self, &id),
            Event::Unlisted(id) => directory::unlisted(self, &id),
            Event::DirectoryBack => self.directory_back = now,
            Event::DirectoryRead(read) => freshness::read(self, read),
            Event::StoreAt(mark) => freshness::marked(self, mark),
            Event::Evacuated(evacuated) => evacuation::read(self, evacuated),
            Event::Renewed { worker, sent, outcome } => {
                renewals::renewed(self, worker, sent, outcome);
            }
            Event::Started { worker, task, run, outcome } => {
                self.start_answered(worker);
                orders::started(self, worker, task, run, outcome);
            }
            Event::Stopped { worker, task, run, outcome } => {
                orders::stopped(self, worker, task, run, outcome);
            }
            Event::Paced { worker, task, run, percent, fate } => {
                pacing::paced(self, worker, task, run, percent, fate);
            }
            Event::Advised { step, asked, sent, answer } => {
                permits::advised(self, step, &asked, sent, answer);
            }
            Event::Wave(request) => upkeep::asked(self, request),
            Event::Hosts { sent, hosts } => upkeep::listed(self, sent, hosts),
            Event::Upkeep { wave, host, answer } => {
                upkeep::answered(self, wave, &host, answer);
            }
            Event::Committed => commits::committed(self),
            Event::CommitFailed => commits::failed(self),
        }
        self.settle();
    }

    /// Does what time alone calls for, then starts what can start.
    fn settle(&mut self) {
        if self.now.since(self.last_housekeeping) >= HOUSEKEEPING_EVERY {
            self.last_housekeeping = self.now;
            takeover::check_survey(self);
            freshness::check(self);
            intake::begin_due_rounds(self);
            leases::check(self);
            roster::check(self);
            orders::check(self);
            crashes::check(self);
            upkeep::check(self);
            drain::check(self);
            self.rearrange();
            pacing::keep_learnt(self);
            intake::forget_finished(self);
            self.pass_wanted |= !self.ready.is_empty();
        }
        self.renewals_left = self.now.since(self.last_renewals) < RENEWALS_EVERY;
        if !self.renewals_left {
            self.last_renewals = self.now;
            renewals::send_due(self);
        }
        if self.pass_wanted && self.now.since(self.last_pass) >= self.pass_every() {
            self.last_pass = self.now;
            self.pass_wanted = false;
            if !self.freshness.is_behind() {
                dispatch::pass(self);
            }
        }
    }

    /// Takes in that one start fewer is under way; steps may have waited for that.
    fn start_answered(&mut self, ix: WorkerIx) {
        let waited_for = self.has_most_starts() || self.has_most_starts_at(ix);
        self.pass_wanted |= waited_for && !self.ready.is_empty();
        self.starts_under_way = self.starts_under_way.saturating_sub(1);
        let worker = self.worker_mut(ix);
        worker.starts_under_way = worker.starts_under_way.saturating_sub(1);
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

    /// Looks now and then for better places for what runs.
    fn rearrange(&mut self) {
        if self.now.since(self.last_rearranged) < REARRANGE_EVERY {
            return;
        }
        self.last_rearranged = self.now;
        self.places_searched = pacing::check(self) + stragglers::check(self);
    }

    /// Returns the least time between two passes.
    fn pass_every(&self) -> Millis {
        let by_fleet = Millis(self.workers.len() as u64 / WORKERS_PER_MS);
        let by_looks = Millis(self.pass_looks as u64 / LOOKS_PER_MS);
        PASS_EVERY.max(by_fleet).max(by_looks)
    }

    /// Returns when [`Event::Tick`] is wanted next.
    pub fn next_wake(&self) -> Instant {
        let pass = self.last_pass + self.pass_every();
        let mut wake = self.last_housekeeping + HOUSEKEEPING_EVERY;
        if self.pass_wanted {
            wake = wake.min(pass);
        }
        if self.renewals_left {
            wake = wake.min(self.last_renewals + RENEWALS_EVERY);
        }
        wake
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

    /// Lists the positions of all workers that may still run something.
    pub fn worker_ixs(&self) -> Vec<WorkerIx> {
        let all = 0..self.workers.len() as u32;
        all.map(WorkerIx).filter(|&ix| !self.worker(ix).gone).collect()
    }

    /// Derives the number of a task's run from how often this leader has started it.
    pub fn run_number(&self, starts: u32) -> Run {
        Run(self.term.number * RUNS_PER_TERM + u64::from(starts))
    }

    /// Takes the actions that have gathered.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
