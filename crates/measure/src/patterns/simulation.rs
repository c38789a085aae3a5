//! A discrete-event simulation of a fleet that carries out what the scheduler orders.
//!
//! It is simpler than the simulation in the scheduler's own tests: a call arrives unless its worker is down,
//! and nothing checks the scheduler's guarantees. It adds facts that a policy does not know: how long tasks
//! work, how loads vary, and which images interfere with each other.

use std::collections::BTreeMap;
use std::sync::Arc;

use gaplock_jobs::config::{CallerLimits, Config, Index, Pool, Queue};
use gaplock_jobs::progress::{JobState, Progress};
use gaplock_jobs::{Job, JobKey, TaskKey};
use gaplock_sched::context::Term;
use gaplock_sched::message::{
    EndCause, FencingToken, Record, RosterEntry, Run, StoreRevision, StoredLoad, WorkerClock,
    WorkerInfo,
};
use gaplock_sched::pacing::Learned;
use gaplock_sched::takeover::{self, StoredState};
use gaplock_sched::{commits, Context, Event, Settings};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use super::calls::{Call, CallRoute};
use super::faults;
use super::load::{Load, BEGIN_MS, CLASSES, COOL_DOWN_MS, TRAFFIC_MS, UNIX_BASE_MS};
use super::shape::Pattern;
use super::tally::{Outcome, Tally, SAMPLE_INTERVAL_MS};
use super::worker::Worker;

/// The pool that every worker belongs to.
pub const POOL: &str = "pool";

/// The time that the store takes to store a commit, in milliseconds.
const STORE_MS: u64 = 4;

/// An event of the simulation, scheduled for a point in virtual time.
#[derive(Debug, Clone)]
pub enum SimEvent {
    /// A job is submitted.
    JobArrives(usize),
    /// A job is cancelled.
    JobCancelled(JobKey),
    /// A call arrives at a worker.
    CallArrives(CallRoute, Call),
    /// An answer arrives at the leader of this term; it is dropped if another leader has taken over.
    AnswerArrives(u64, Event),
    /// The wait limit of the renewal that was sent at this time is over.
    RenewalWaitOver(usize, Instant),
    /// A run ends, unless its rate has changed since this event was scheduled.
    RunMayEnd(usize, TaskKey, Run),
    /// A worker has finished stopping a run.
    RunStopped(usize, TaskKey, Run),
    /// A worker's leases end, unless they were renewed since this event was scheduled.
    LeaseMayEnd(usize),
    /// The records of a commit are stored.
    CommitStored(u64, Vec<Record>),
    /// The state of the fleet is sampled.
    Sample,
    /// A worker crashes.
    WorkerCrashes(usize),
    /// The directory removes a crashed worker.
    WorkerUnlisted(usize),
    /// A new worker replaces a crashed one on its host.
    WorkerReplaced(usize),
    /// The leader is lost.
    LeaderLost,
    /// A new leader takes over.
    LeaderTakesOver,
}

/// The state of the simulation.
pub struct Simulation {
    pub(super) now: u64,
    pub(super) load: Arc<Load>,
    pub(super) cx: Option<Context>,
    pub(super) workers: Vec<Worker>,
    pub(super) term: u64,
    pub(super) tally: Tally,
    /// The workers in the order of the leader's table.
    pub(super) by_ix: Vec<usize>,
    pub(super) by_id: BTreeMap<ids::WorkerId, usize>,
    settings: Settings,
    pending_events: BTreeMap<(u64, u64), SimEvent>,
    serial: u64,
    jobs: BTreeMap<JobKey, (Arc<Job>, StoreRevision)>,
    /// The revision of the last stored job or cancellation.
    revision: StoreRevision,
    /// The revision of each stored cancellation.
    cancelled: BTreeMap<JobKey, StoreRevision>,
    progress: BTreeMap<JobKey, Progress>,
    roster: BTreeMap<ids::WorkerId, RosterEntry>,
    learned: Learned,
    stored_load: StoredLoad,
}

/// Runs a pattern's load under the scheduler with these settings.
pub fn run(pattern: &Pattern, load: &Arc<Load>, seed: u64, settings: &Settings) -> Outcome {
    let mut simulation = Simulation::open(Arc::clone(load), settings.clone());
    faults::plan(&mut simulation, &pattern.faults, seed);
    simulation.run();
    simulation.tally.outcome(&simulation.load)
}

impl Simulation {
    fn open(load: Arc<Load>, settings: Settings) -> Self {
        let mut simulation = Self {
            now: BEGIN_MS,
            tally: Tally::new(&load),
            cx: None,
            workers: Vec::new(),
            term: 0,
            by_ix: Vec::new(),
            by_id: BTreeMap::new(),
            settings,
            pending_events: BTreeMap::new(),
            serial: 0,
            jobs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            revision: StoreRevision(0),
            progress: BTreeMap::new(),
            roster: BTreeMap::new(),
            learned: Learned::default(),
            stored_load: StoredLoad::default(),
            load,
        };
        for at in 0..simulation.load.workers.len() {
            let truth = simulation.load.workers[at];
            let info = WorkerInfo {
                id: ids::WorkerId(format!("w{at}")),
                addr: format!("w{at}:1"),
                service: POOL.into(),
                domain: ids::DomainId(format!("domain-{}", truth.domain)),
                labels: vec![format!("rack-{}", at / 8)],
                capacity: truth.capacity,
                draining: false,
                remaining: None,
            };
            simulation.add_worker(Worker::new(info, truth));
        }
        let load = Arc::clone(&simulation.load);
        for (at, job) in load.jobs.iter().enumerate() {
            simulation.schedule(job.arrives, SimEvent::JobArrives(at));
            if job.leaves < u64::MAX {
                simulation.schedule(job.leaves, SimEvent::JobCancelled(job.job.key));
            }
        }
        simulation.schedule(BEGIN_MS + SAMPLE_INTERVAL_MS, SimEvent::Sample);
        simulation.take_over();
        simulation
    }

    pub(super) fn add_worker(&mut self, worker: Worker) {
        self.by_id.insert(worker.info.id.clone(), self.workers.len());
        self.workers.push(worker);
    }

    /// Schedules an event, at the current time at the earliest.
    pub(super) fn schedule(&mut self, at: u64, event: SimEvent) {
        self.serial += 1;
        self.pending_events.insert((at.max(self.now), self.serial), event);
    }

    fn run(&mut self) {
        let end = BEGIN_MS + TRAFFIC_MS + COOL_DOWN_MS;
        while self.now < end {
            let next = self.pending_events.first_key_value().map_or(u64::MAX, |(key, _)| key.0);
            let wake = self.cx.as_ref().map_or(u64::MAX, |cx| cx.next_wake().0.max(self.now + 1));
            self.now = next.min(wake);
            if next <= wake {
                if let Some((_, event)) = self.pending_events.pop_first() {
                    self.handle_sim_event(event);
                }
            } else {
                self.notify_leader(Event::Tick);
            }
        }
    }

    fn handle_sim_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::JobArrives(at) => self.submit_job(at),
            SimEvent::JobCancelled(key) => {
                self.revision.0 += 1;
                self.cancelled.insert(key, self.revision);
                self.notify_leader(Event::Cancel(key, self.revision));
            }
            SimEvent::CallArrives(route, call) => self.deliver_call(route, call),
            SimEvent::AnswerArrives(term, event) if term == self.term => self.notify_leader(event),
            SimEvent::AnswerArrives(..) => {}
            SimEvent::RenewalWaitOver(at, sent) => self.end_renewal_wait(at, sent),
            SimEvent::RunMayEnd(at, task, run) => self.end_run_if_due(at, task, run),
            SimEvent::RunStopped(at, task, run) => {
                if self.workers[at].running.get(&task).is_some_and(|r| r.run == run) {
                    self.end(at, task, EndCause::Stopped);
                }
            }
            SimEvent::LeaseMayEnd(at) => self.end_runs_if_lease_over(at),
            SimEvent::CommitStored(term, records) => {
                self.store(records);
                if term == self.term {
                    self.notify_leader(Event::Committed);
                }
            }
            SimEvent::Sample => self.sample(),
            SimEvent::WorkerCrashes(at) => self.crash(at),
            SimEvent::WorkerUnlisted(at) => {
                self.notify_leader(Event::Unlisted(self.workers[at].info.id.clone()));
            }
            SimEvent::WorkerReplaced(at) => self.replace_worker(at),
            SimEvent::LeaderLost => self.cx = None,
            SimEvent::LeaderTakesOver => self.take_over(),
        }
    }

    /// Passes an event to the leader, if there is one, and carries out what it orders.
    pub(super) fn notify_leader(&mut self, event: Event) {
        let now = Instant(self.now);
        let Some(cx) = &mut self.cx else { return };
        cx.handle(now, UNIX_BASE_MS + self.now, event);
        let actions = cx.take_actions();
        if let Some(records) = commits::take(cx, now) {
            let stored = SimEvent::CommitStored(self.term, records);
            self.schedule(self.now + STORE_MS, stored);
        }
        for action in actions {
            self.carry_out_action(action);
        }
    }

    fn submit_job(&mut self, at: usize) {
        let job = Arc::clone(&self.load.jobs[at].job);
        self.revision.0 += 1;
        self.jobs.insert(job.key, (Arc::clone(&job), self.revision));
        self.notify_leader(Event::Job(job, self.revision));
    }

    /// Starts the next leader, which knows only what is stored.
    fn take_over(&mut self) {
        self.term += 1;
        self.by_ix.clear();
        let term = Term { number: self.term, token: FencingToken(self.term * 10) };
        let (now, unix) = (Instant(self.now), UNIX_BASE_MS + self.now);
        let mut cx = Context::open(self.settings.clone(), term, now, unix);
        cx.handle(now, unix, Event::Config(config()));
        let stored = StoredState {
            jobs: self.jobs.values().cloned().collect(),
            progress: self.progress.clone(),
            cancelled: self.cancelled.iter().map(|(key, at)| (*key, *at)).collect(),
            inbox_read_up_to: self.revision,
            roster: self.roster.values().cloned().collect(),
            learned: self.learned.clone(),
            load: self.stored_load.clone(),
            ..StoredState::default()
        };
        takeover::restore(&mut cx, stored);
        for worker in self.workers.iter().filter(|w| w.up) {
            cx.handle(now, unix, Event::Listed(worker.info.clone()));
        }
        self.cx = Some(cx);
        self.notify_leader(Event::Tick);
    }

    fn store(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::Progress(progress) => {
                    if progress.state == JobState::Completed {
                        self.tally.completed(progress.key, self.now);
                    }
                    self.progress.insert(progress.key, progress);
                }
                Record::Forget(key) => {
                    self.progress.remove(&key);
                    self.jobs.remove(&key);
                }
                Record::Worker(entry) => {
                    self.roster.insert(entry.info.id.clone(), entry);
                }
                Record::ForgetWorker(id) => {
                    self.roster.remove(&id);
                }
                Record::Learned(learned) => self.learned = learned,
                Record::Load(load) => self.stored_load = load,
                Record::Wave(_) | Record::ClaimSettled => {}
            }
        }
    }

    /// Samples the whole fleet. Before that, it updates the rates of best-effort tasks to the current loads.
    fn sample(&mut self) {
        for at in 0..self.workers.len() {
            self.change_worker(at, |_| {});
        }
        self.tally.sample(&self.load, &self.workers, self.now);
        self.schedule(self.now + SAMPLE_INTERVAL_MS, SimEvent::Sample);
    }

    /// Changes the state of a worker, then updates the rates and expected ends of all its runs.
    pub(super) fn change_worker(&mut self, at: usize, change: impl FnOnce(&mut Worker)) {
        let (now, worker) = (self.now, &mut self.workers[at]);
        worker.update_progress(now);
        change(worker);
        for (ends_at, task) in worker.set_rates(&self.load, now) {
            let run = self.workers[at].running[&task].run;
            self.schedule(ends_at, SimEvent::RunMayEnd(at, task, run));
        }
    }

    /// Ends a run whose work is done, unless its expected end has changed since the event was scheduled.
    fn end_run_if_due(&mut self, at: usize, task: TaskKey, run: Run) {
        let worker = &self.workers[at];
        let due = worker.running.get(&task).is_some_and(|r| r.run == run && r.ends_at == self.now);
        if due {
            self.end(at, task, worker.end_cause(task));
        }
    }

    /// Ends a run, and answers the pending renewal so that the leader learns of it.
    pub(super) fn end(&mut self, at: usize, task: TaskKey, cause: EndCause) {
        let mut ended = None;
        self.change_worker(at, |worker| ended = worker.end(task, cause));
        let Some(running) = ended else { return };
        self.tally.ended(&self.load, (task, at), cause, &running, self.now);
        self.answer_pending_renewal(at);
    }

    /// Ends all runs of a worker whose leases are over; checks again later if they were renewed.
    fn end_runs_if_lease_over(&mut self, at: usize) {
        let worker = &self.workers[at];
        if worker.lease_until > self.now {
            let until = worker.lease_until;
            return self.schedule(until, SimEvent::LeaseMayEnd(at));
        }
        for task in worker.running.keys().copied().collect::<Vec<_>>() {
            self.end(at, task, EndCause::Lapsed);
        }
    }

    /// Extends a worker's leases until a time, but at most by `lease_max` from now.
    pub(super) fn extend_leases(&mut self, at: usize, until: WorkerClock) {
        let longest = self.now + self.settings.lease_max.0;
        let worker = &mut self.workers[at];
        let ran_out = worker.lease_until <= self.now;
        worker.lease_until = worker.lease_until.max(until.0.min(longest));
        if ran_out {
            let until = worker.lease_until;
            self.schedule(until, SimEvent::LeaseMayEnd(at));
        }
    }

    fn crash(&mut self, at: usize) {
        self.change_worker(at, |_| {});
        self.workers[at].up = false;
        for running in std::mem::take(&mut self.workers[at].running).into_values() {
            self.tally.crashed(&running);
        }
        self.drop_pending_renewal(at);
    }

    fn replace_worker(&mut self, at: usize) {
        let crashed = &self.workers[at];
        let mut info = crashed.info.clone();
        info.id = ids::WorkerId(format!("{}+", info.id));
        let worker = Worker::new(info.clone(), crashed.truth);
        self.add_worker(worker);
        self.notify_leader(Event::Listed(info));
    }
}

/// Builds the configuration: one queue for each class of job, all in one pool.
fn config() -> Arc<Config> {
    let queue = |class: super::load::Class| Queue {
        name: class.name().into(),
        host: "h".into(),
        prefix: format!("/{}/", class.name()),
        service: POOL.into(),
        priority: 0,
        max_attempts: 3,
        stretch: class.time_allowance().0,
        slack: Millis(class.time_allowance().1),
        advice: None,
    };
    let queues = CLASSES.into_iter().map(queue).collect();
    let pool = Pool { service: POOL.into(), guards_capacity: true, headroom: false };
    let limits = CallerLimits {
        header_bytes: 1 << 14,
        body_bytes: 1 << 18,
        header: Millis(3_000),
        idle: Millis(15_000),
    };
    Arc::new(Config { version: 1, queues, pools: vec![pool], limits, index: Index::default() })
}
