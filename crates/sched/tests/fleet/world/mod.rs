//! A fleet on virtual time: workers with leases and lists of ends, a store, and calls that arrive
//! late, get lost, or are carried out after newer ones. It checks the promises while it runs.
//!
//! This file holds the world's state, what a test does to it, and the passing of time. [`calls`]
//! carries what the leader sends, [`worker`] carries it out and answers [`renewals`], [`writes`] go to the
//! [`store`], which keeps what a successor learns, [`evacuations`] are asked for by the operators, the
//! [`directory`] is read late,
//! [`hosts`] lie beneath the workers, [`crashes`] take them down, [`checkpoints`] are what runs save and starts
//! bring, [`checks`] and [`cancellations`] look for broken promises, and [`views`] tells a test what came of it
//! all.

mod builders;
mod calls;
mod cancellations;
mod checkpoints;
mod checks;
mod crashes;
mod directory;
mod evacuations;
mod hosts;
mod log;
mod renewals;
mod store;
mod views;
mod worker;
mod writes;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaplock_jobs::config::{Advice, Config, Pool};
use gaplock_jobs::progress::Progress;
use gaplock_jobs::{Job, JobKey, TaskKey};
use gaplock_sched::message::{Outcome, RosterEntry, WaveNumber, WaveProgress, WorkerReport};
use gaplock_sched::pacing::Learned;
use gaplock_sched::{Context, Event, Settings};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use builders::{job, lasting, step};
use calls::Delivery;
pub use cancellations::assert_cancellations_kept;
use cancellations::Cancellations;
use checkpoints::Checkpoints;
pub use checks::{assert_all_end, assert_kept, assert_nothing_waits, play};
use crashes::Crashes;
use directory::Directory;
pub use directory::Reading;
use evacuations::EvacuationRequests;
use hosts::Hosts;
pub use hosts::{host_name, OrderFate};
use worker::SimWorker;
pub use writes::WriteFaults;
use writes::Writes;

/// The pool that every worker belongs to.
pub const SERVICE: &str = "coldtrace";

/// The queue that every job goes to.
pub const QUEUE: &str = "checks";

/// How many failed runs a task may have.
pub const MAX_ATTEMPTS: u32 = 3;

/// The wall clock when a world begins, in milliseconds since 1970; any time would do.
const UNIX_BASE: u64 = 1_700_000_000_000;

/// The virtual clock when a world begins, in milliseconds: above 0, so that "never" lies in the
/// past.
const START_MS: u64 = 10_000;

/// What goes wrong, each as a share of calls in a thousand.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Calls that never arrive and get no answer.
    pub lost_per_mille: u32,
    /// Calls whose answer is lost.
    pub unanswered_per_mille: u32,
    /// Calls without an answer that arrive seconds later.
    pub late_per_mille: u32,
    /// Runs that fail.
    pub failing_per_mille: u32,
    /// Calls that a worker refuses because it is unwell.
    pub unwell_per_mille: u32,
}

/// The whole world.
pub struct World {
    pub now: u64,
    pub cx: Option<Context>,
    pub workers: Vec<SimWorker>,
    pub faults: Faults,
    pub write_faults: WriteFaults,
    pub settings: Settings,
    /// Broken promises, in words.
    pub violations: Vec<String>,
    /// When each renewal was sent, and to which worker.
    pub renewals: Vec<(u64, usize)>,
    /// Orders of pace that were sent.
    pub paces_ordered: u64,
    /// Starts that workers carried out.
    pub starts: u64,
    /// Whether commits are refused.
    pub store_down: bool,
    /// The length of each task's work.
    pub work_ms: u64,
    /// How the service that says where steps may run is asked, if at all.
    pub advice: Option<Advice>,
    /// What a successor finds stored of how images disturb each other.
    pub learnt: Learned,
    /// What workers read of each job's tasks.
    pub readings: BTreeMap<JobKey, u32>,
    /// What lies beneath the workers.
    pub hosts: Hosts,
    /// Which tasks crash their workers.
    pub crashes: Crashes,
    /// What tasks save, and what starts bring.
    pub checkpoints: Checkpoints,
    /// How the leader reads the directory.
    pub directory: Directory,
    /// Which failure domains the operators have evacuated.
    evacuation_requests: EvacuationRequests,
    rng: ChaCha8Rng,
    term: u64,
    token: u64,
    deliveries: BTreeMap<(u64, u64), Delivery>,
    next_delivery: u64,
    jobs: BTreeMap<JobKey, Arc<Job>>,
    cancelled: BTreeSet<JobKey>,
    /// Jobs that the store no longer holds; calls may still name them.
    forgotten: BTreeSet<JobKey>,
    /// What is judged of cancellations.
    cancellations: Cancellations,
    progress: BTreeMap<JobKey, Progress>,
    /// Jobs whose stored progress cannot be read.
    unreadable: BTreeSet<JobKey>,
    roster: BTreeMap<ids::WorkerId, RosterEntry>,
    wave_progress: BTreeMap<WaveNumber, WaveProgress>,
    writes: Writes,
    recorded_done: BTreeSet<TaskKey>,
    /// When each task was last started.
    started_at: BTreeMap<TaskKey, u64>,
    done: BTreeSet<TaskKey>,
    recorded_failed: BTreeMap<TaskKey, u32>,
    failed: BTreeMap<TaskKey, u32>,
}

impl World {
    /// Builds a world of `workers` workers of 8 cores, led from the start.
    pub fn open(seed: u64, workers: usize) -> Self {
        log::open();
        let mut world = Self {
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
            learnt: Learned::default(),
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
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            forgotten: BTreeSet::new(),
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
            world.add_worker(&format!("w{n}"));
        }
        world.take_over();
        world
    }

    /// Adds a worker and lists it.
    pub fn add_worker(&mut self, id: &str) -> usize {
        let at = self.add_unlisted_worker(id);
        let info = self.workers[at].info.clone();
        self.notify_leader(Event::Listed(info));
        at
    }

    /// Adds a worker that is not listed yet.
    fn add_unlisted_worker(&mut self, id: &str) -> usize {
        let at = self.workers.len();
        self.workers.push(SimWorker::new(id, at));
        self.add_host(at);
        at
    }

    /// Ends the leader without a successor.
    pub fn lose_leader(&mut self) {
        self.cx = None;
    }

    /// Hands in a job.
    pub fn submit(&mut self, job: Job) {
        let job = Arc::new(job);
        self.jobs.insert(job.key, Arc::clone(&job));
        self.forgotten.remove(&job.key);
        self.notify_leader(Event::Job(job));
    }

    /// Cancels a job.
    pub fn cancel(&mut self, key: u64) {
        self.record_cancelled(JobKey(key));
        self.notify_leader(Event::Cancel(JobKey(key)));
    }

    /// Crashes a worker; nothing says so but its silence.
    pub fn crash(&mut self, worker: usize) {
        self.workers[worker].up = false;
        self.workers[worker].running.clear();
    }

    /// Hands the leader an account that a worker gave before, as the answer to a renewal of that time.
    pub fn hear_of(&mut self, worker: usize, sent: Instant, account: WorkerReport) {
        let id = &self.workers[worker].info.id;
        let ix = self.cx.as_ref().and_then(|cx| cx.by_id.get(id).copied());
        let worker = ix.expect("the leader knows the worker");
        self.notify_leader(Event::Renewed { worker, sent, outcome: Outcome::Done(account) });
    }

    /// Takes a worker off the directory.
    pub fn unlist(&mut self, worker: usize) {
        let id = self.workers[worker].info.id.clone();
        self.notify_leader(Event::Unlisted(id));
    }

    /// Adds a worker of another pool and lists it.
    pub fn add_worker_of(&mut self, id: &str, pool: &str) {
        let at = self.add_unlisted_worker(id);
        self.workers[at].info.service = pool.into();
        self.list_again(at);
    }

    /// Puts a configuration into force that names one more pool.
    pub fn name_pool(&mut self, pool: &str) {
        let mut config = Config::clone(&builders::config(self.advice));
        config.version += 1;
        let named = Pool { service: pool.into(), guards_capacity: true, headroom: false };
        config.pools.push(named);
        self.notify_leader(Event::Config(Arc::new(config)));
    }

    /// Changes a worker's room, and lists it so.
    pub fn resize(&mut self, worker: usize, capacity: Resources) {
        self.workers[worker].info.capacity = capacity;
        self.workers[worker].resized = self.now;
        self.list_again(worker);
    }

    /// Puts something else into a worker's entry.
    pub fn spoil_entry(&mut self, worker: usize) {
        let id = self.workers[worker].info.id.clone();
        self.notify_leader(Event::Unreadable(id));
    }

    /// Lists a worker at another address, as another writer may do.
    pub fn list_at(&mut self, worker: usize, addr: &str) {
        let mut info = self.workers[worker].info.clone();
        info.addr = addr.to_string();
        self.notify_leader(Event::Listed(info));
    }

    /// Lists a worker again as it was.
    pub fn list_again(&mut self, worker: usize) {
        let info = self.workers[worker].info.clone();
        self.notify_leader(Event::Listed(info));
    }

    /// Says that the directory can be read again after an outage.
    pub fn directory_back(&mut self) {
        self.notify_leader(Event::DirectoryRecovered);
    }

    /// Lists a worker as draining.
    pub fn drain(&mut self, worker: usize, remaining: u64) {
        let info = &mut self.workers[worker].info;
        info.draining = true;
        info.remaining = Some(Millis(remaining));
        let info = info.clone();
        self.notify_leader(Event::Listed(info));
    }

    /// Draws a number below `most`.
    pub fn draw(&mut self, most: u64) -> u64 {
        self.rng.random_range(0..most)
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
            self.commit();
            self.check_runs();
        }
    }

    fn instant(&self) -> Instant {
        Instant(self.now)
    }

    fn unix(&self) -> u64 {
        UNIX_BASE + self.now - START_MS
    }

    fn notify_leader(&mut self, event: Event) {
        let (now, unix) = (self.instant(), self.unix());
        if let Some(cx) = &mut self.cx {
            cx.handle(now, unix, event);
            self.carry_out_actions();
        }
    }
}
