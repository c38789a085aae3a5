//! The simulation: a fleet on virtual time, with workers that hold leases and list the ends of their runs,
//! a store, and calls that arrive late, get lost, or are carried out after newer ones. It checks the
//! scheduler's guarantees while it runs and collects violations.
//!
//! This file holds the state of the simulation, the actions of tests, and the loop that advances the time.
//! The other modules:
//!
//! - [`calls`] transports what the leader sends to workers, and the answers.
//! - [`worker`] carries out calls at a worker; [`renewals`] answers renewals of leases.
//! - [`writes`] transports the leader's commits to the [`store`], from which a successor restores its state.
//! - [`evacuations`] holds which failure domains the operators have evacuated.
//! - [`directory`] delays the leader's view of the directory of workers.
//! - [`hosts`] holds the hosts of the workers, which go down for maintenance.
//! - [`inbox`] holds what callers submit and cancel, and reports it to the leader.
//! - [`configuration`] holds the configuration of the operators.
//! - [`crashes`] crashes workers.
//! - [`checkpoints`] records what runs save and which checkpoint a start carries.
//! - [`checks`] and [`cancellations`] check the guarantees, [`accounts`] the load account.
//! - [`views`] returns state to tests.
//! - [`processor`] charges the leader for its work.
//! - [`builders`] builds configurations and jobs, and [`log`] prints the scheduler's log.
//!
//! In all these modules, `at` is the position of a worker in the list of simulated workers.

mod accounts;
mod builders;
mod calls;
mod cancellations;
mod checkpoints;
mod checks;
mod configuration;
mod crashes;
mod directory;
mod evacuations;
mod hosts;
mod inbox;
mod log;
mod processor;
mod renewals;
mod store;
mod views;
mod worker;
mod writes;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaplock_jobs::config::{Advice, Config};
use gaplock_jobs::progress::Progress;
use gaplock_jobs::{Job, JobKey, TaskKey};
use gaplock_overload::steer::{Instruction, Steer};
use gaplock_sched::claims::FormerLeaders;
use gaplock_sched::message::{
    Outcome, RosterEntry, Steering, StoredLoad, WaveNumber, WaveProgress, WorkerReport,
};
use gaplock_sched::pacing::Learned;
use gaplock_sched::{Context, Event, Settings};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use builders::{job, long_running_step, step};
use calls::Delivery;
pub use cancellations::assert_cancellation_guarantees;
use cancellations::Cancellations;
use checkpoints::Checkpoints;
pub use checks::{
    assert_all_jobs_end, assert_no_runnable_task_waits, assert_no_violations, run_twenty_jobs,
};
use crashes::Crashes;
use directory::Directory;
pub use directory::DirectoryReads;
use evacuations::EvacuationRequests;
use hosts::Hosts;
pub use hosts::{host_name, OrderOutcome};
use inbox::Inbox;
use processor::Processor;
pub use processor::{Cost, Discipline, ALLOWANCE_PERIOD_MS};
use worker::SimWorker;
pub use writes::WriteFaults;
use writes::Writes;

/// The pool that every worker belongs to.
pub const SERVICE: &str = "coldtrace";

/// The queue that every job goes to.
pub const QUEUE: &str = "checks";

/// A job fails once this many runs of one of its tasks have failed.
pub const MAX_ATTEMPTS: u32 = 3;

/// The wall clock at the start of a simulation, in milliseconds since 1970; any time would do.
const UNIX_BASE: u64 = 1_700_000_000_000;

/// The virtual clock at the start of a simulation, in milliseconds: above 0, so that a time of 0, which stands
/// for "never", lies in the past.
const START_MS: u64 = 10_000;

/// The faults of calls to workers and of runs, each as its share of calls or runs in a thousand.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Calls that never arrive and get no answer.
    pub lost_per_mille: u32,
    /// Calls whose answer is lost.
    pub unanswered_per_mille: u32,
    /// Calls that get no answer and arrive seconds late.
    pub late_per_mille: u32,
    /// Runs that fail.
    pub failing_per_mille: u32,
    /// Calls that a worker refuses because it is unhealthy.
    pub unhealthy_per_mille: u32,
}

/// The simulated fleet, its store, and the leader under test.
pub struct Simulation {
    /// The virtual clock, in milliseconds.
    pub now: u64,
    /// The present leader, if there is one.
    pub cx: Option<Context>,
    pub workers: Vec<SimWorker>,
    pub faults: Faults,
    pub write_faults: WriteFaults,
    pub settings: Settings,
    /// Descriptions of violated guarantees.
    pub violations: Vec<String>,
    /// When each renewal was sent, and to which worker.
    pub renewals: Vec<(u64, usize)>,
    /// How many orders to change the pace of a run were sent.
    pub paces_ordered: u64,
    /// How many starts workers have carried out.
    pub starts: u64,
    /// Whether commits are refused.
    pub store_down: bool,
    /// How long each task's work takes, in milliseconds.
    pub work_ms: u64,
    /// The settings for asking the advice service on which workers steps may run, if it is used.
    pub advice: Option<Advice>,
    /// The learned interference model that a successor finds in the store.
    pub learned: Learned,
    /// What is stored of the load.
    pub load: StoredLoad,
    /// Whether hosts of an earlier version accept the jobs, which store only the queue's name.
    pub hosts_are_old: bool,
    /// The configuration in force, if it is not the one that a simulation begins with.
    config: Option<Arc<Config>>,
    /// What a successor knows of former leaders.
    pub former_leaders: FormerLeaders,
    /// The operators' instructions that are stored.
    steering: Steering,
    /// The tail reading that workers report of each job's tasks.
    pub readings: BTreeMap<JobKey, u32>,
    /// The hosts on which the workers run.
    pub hosts: Hosts,
    /// Which tasks crash their workers.
    pub crashes: Crashes,
    /// The checkpoints that tasks save and that starts carry.
    pub checkpoints: Checkpoints,
    /// The directory of workers as the leader reads it.
    pub directory: Directory,
    /// Which failure domains the operators have evacuated.
    evacuation_requests: EvacuationRequests,
    rng: ChaCha8Rng,
    /// The term of the present or the last leader.
    term: u64,
    /// The fencing token of that leader.
    token: u64,
    /// What happens later, ordered by time and then by a serial number.
    deliveries: BTreeMap<(u64, u64), Delivery>,
    /// The serial number of the last delivery.
    next_delivery: u64,
    /// The jobs and cancellations that hosts store for the leader.
    pub inbox: Inbox,
    /// All jobs that were ever submitted.
    jobs: BTreeMap<JobKey, Arc<Job>>,
    cancelled: BTreeSet<JobKey>,
    /// Jobs that the store no longer holds; calls may still refer to them.
    forgotten: BTreeSet<JobKey>,
    /// The processor of the leader's host; unset if its work has no cost.
    pub processor: Option<Processor>,
    /// What the checks of cancellations need to know.
    cancellations: Cancellations,
    /// The stored progress of each job.
    progress: BTreeMap<JobKey, Progress>,
    /// Jobs whose stored progress is unreadable.
    unreadable: BTreeSet<JobKey>,
    /// The stored roster of workers.
    roster: BTreeMap<ids::WorkerId, RosterEntry>,
    /// The stored progress of each maintenance wave.
    wave_progress: BTreeMap<WaveNumber, WaveProgress>,
    writes: Writes,
    /// Tasks whose successful end the leader has acknowledged as stored.
    recorded_done: BTreeSet<TaskKey>,
    /// When each task was last started.
    started_at: BTreeMap<TaskKey, u64>,
    /// Tasks that have ended successfully at a worker.
    done: BTreeSet<TaskKey>,
    /// How many failed runs of each task the leader has acknowledged as stored.
    recorded_failed: BTreeMap<TaskKey, u32>,
    /// How many runs of each task have failed at workers.
    failed: BTreeMap<TaskKey, u32>,
}

impl Simulation {
    /// Builds a simulation of `workers` workers with 8 cores each, which has a leader from the start.
    pub fn open(seed: u64, workers: usize) -> Self {
        log::open();
        let mut simulation = Self {
            now: START_MS,
            cx: None,
            workers: Vec::new(),
            faults: Faults::default(),
            write_faults: WriteFaults::default(),
            writes: Writes::default(),
            settings: Settings::default(),
            violations: Vec::new(),
            renewals: Vec::new(),
            paces_ordered: 0,
            starts: 0,
            store_down: false,
            work_ms: 500,
            advice: None,
            learned: Learned::default(),
            load: StoredLoad::default(),
            hosts_are_old: false,
            config: None,
            former_leaders: FormerLeaders::default(),
            steering: Steering::default(),
            readings: BTreeMap::new(),
            hosts: Hosts::default(),
            crashes: Crashes::default(),
            checkpoints: Checkpoints::default(),
            directory: Directory::default(),
            evacuation_requests: EvacuationRequests::default(),
            wave_progress: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            term: 0,
            token: 0,
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            inbox: Inbox::default(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            forgotten: BTreeSet::new(),
            processor: None,
            cancellations: Cancellations::default(),
            progress: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            roster: BTreeMap::new(),
            recorded_done: BTreeSet::new(),
            started_at: BTreeMap::new(),
            done: BTreeSet::new(),
            recorded_failed: BTreeMap::new(),
            failed: BTreeMap::new(),
        };
        for n in 0..workers {
            simulation.add_worker(&format!("w{n}"));
        }
        simulation.start_new_leader();
        simulation
    }

    /// Adds a worker and lists it in the directory.
    pub fn add_worker(&mut self, id: &str) -> usize {
        let at = self.add_unlisted_worker(id);
        let info = self.workers[at].info.clone();
        self.notify_leader(Event::Listed(info));
        at
    }

    /// Adds a worker that the directory does not list yet.
    fn add_unlisted_worker(&mut self, id: &str) -> usize {
        let at = self.workers.len();
        self.workers.push(SimWorker::new(id, at));
        self.add_host(at);
        at
    }

    /// Ends the leader without a successor.
    pub fn lose_leader(&mut self) {
        self.cx = None;
        self.clear_processor();
    }

    /// Sets whether another host may lead without the leader's noticing.
    pub fn set_may_be_superseded(&mut self, may_be: bool) {
        self.cx.as_mut().expect("there is a leader").may_be_superseded = may_be;
    }

    /// Submits a job.
    pub fn submit(&mut self, job: Job) {
        let job = Arc::new(self.accepted(job));
        self.store_submitted(&job);
    }

    /// Submits a job that is accepted now, or `ago` milliseconds ago.
    pub fn submit_accepted(&mut self, mut job: Job, ago: u64) {
        job.accepted_unix_ms = self.unix() - ago;
        self.submit(job);
    }

    /// Changes the settings of this leader and of its successors.
    pub fn change_settings(&mut self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.settings);
        self.notify_leader(Event::Settings(Box::new(self.settings.clone())));
    }

    /// Stores an instruction for the only queue that ends after `ms` milliseconds.
    pub fn steer(&mut self, instruction: Instruction, ms: u64) {
        let steer = Steer { instruction, until_unix_ms: self.unix() + ms };
        self.steering.revision += 1;
        self.steering.queues.insert(QUEUE.into(), steer);
        self.notify_leader(Event::Steered(self.steering.clone()));
    }

    /// Removes the instruction for the only queue.
    pub fn end_steering(&mut self) {
        self.steering.revision += 1;
        self.steering.queues.clear();
        self.notify_leader(Event::Steered(self.steering.clone()));
    }

    /// Cancels a job. A host refuses to cancel a job that is not stored.
    pub fn cancel(&mut self, key: u64) {
        if !self.is_stored(key) {
            return;
        }
        self.record_cancelled(JobKey(key));
        self.store_cancelled(JobKey(key));
    }

    /// Crashes a worker. The leader can tell only from missing answers.
    pub fn crash(&mut self, worker: usize) {
        self.workers[worker].up = false;
        self.workers[worker].running.clear();
    }

    /// Delivers an earlier worker report to the leader, as the answer to a renewal that was sent at `sent`.
    pub fn deliver_report(&mut self, worker: usize, sent: Instant, report: WorkerReport) {
        let id = &self.workers[worker].info.id;
        let ix = self.cx.as_ref().and_then(|cx| cx.by_id.get(id).copied());
        let worker = ix.expect("the leader knows the worker whose report arrives");
        self.notify_leader(Event::Renewed { worker, sent, outcome: Outcome::Done(report) });
    }

    /// Removes a worker from the directory.
    pub fn unlist(&mut self, worker: usize) {
        let id = self.workers[worker].info.id.clone();
        self.notify_leader(Event::Unlisted(id));
    }

    /// Adds a worker of another pool and lists it.
    pub fn add_worker_of_pool(&mut self, id: &str, pool: &str) {
        let at = self.add_unlisted_worker(id);
        self.workers[at].info.service = pool.into();
        self.list_again(at);
    }

    /// Changes a worker's capacity and lists the worker with it.
    pub fn resize(&mut self, worker: usize, capacity: Resources) {
        self.workers[worker].info.capacity = capacity;
        self.workers[worker].resized = self.now;
        self.list_again(worker);
    }

    /// Makes a worker's entry in the directory unreadable.
    pub fn make_entry_unreadable(&mut self, worker: usize) {
        let id = self.workers[worker].info.id.clone();
        self.notify_leader(Event::Unreadable(id));
    }

    /// Lists a worker at another address, as another process that writes to the directory may do.
    pub fn change_listed_address(&mut self, worker: usize, addr: &str) {
        let mut info = self.workers[worker].info.clone();
        info.addr = addr.to_string();
        self.notify_leader(Event::Listed(info));
    }

    /// Lists a worker again with its present entry.
    pub fn list_again(&mut self, worker: usize) {
        let info = self.workers[worker].info.clone();
        self.notify_leader(Event::Listed(info));
    }

    /// Notifies the leader that the directory is readable again after an outage.
    pub fn recover_directory(&mut self) {
        self.notify_leader(Event::DirectoryRecovered);
    }

    /// Lists a worker as draining, with `remaining` milliseconds left.
    pub fn drain(&mut self, worker: usize, remaining: u64) {
        let info = &mut self.workers[worker].info;
        info.draining = true;
        info.remaining = Some(Millis(remaining));
        let info = info.clone();
        self.notify_leader(Event::Listed(info));
    }

    /// Draws a random number below `bound`.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// Lets `ms` milliseconds pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 1;
            log::set_now(self.now);
            self.step_workers();
            self.step_hosts();
            self.read_evacuations();
            self.read_directory();
            while let Some(entry) = self.deliveries.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let delivery = entry.remove();
                self.deliver(delivery);
            }
            if self.cx.as_ref().is_some_and(|cx| cx.next_wake().0 <= self.now) {
                self.notify_leader(Event::Tick);
            }
            self.run_processor();
            self.commit();
            self.check_runs();
            self.check_accounts();
        }
    }

    /// Returns the virtual time as the leader sees it.
    fn instant(&self) -> Instant {
        Instant(self.now)
    }

    /// Returns the wall clock in milliseconds since 1970.
    pub fn unix(&self) -> u64 {
        UNIX_BASE + self.now - START_MS
    }

    /// Hands an event to the leader, if there is one, and carries out the actions that follow.
    pub fn notify_leader(&mut self, event: Event) {
        let Some(event) = self.wait_for_processor(event) else { return };
        let (now, unix) = (self.instant(), self.unix());
        if let (Event::Cancel(key, _), true) = (&event, self.cx.is_some()) {
            self.record_cancellation_heard(*key);
        }
        if let Some(cx) = &mut self.cx {
            cx.handle(now, unix, event);
            self.carry_out_actions();
        }
    }
}
