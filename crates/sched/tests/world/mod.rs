//! A fleet on virtual time: workers with leases and lists of ends, a store, and calls that arrive
//! late, get lost, or are carried out after newer ones. It checks the promises while it runs.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaplock_jobs::config::{Advice, CallerLimits, Config, Pool, Queue};
use gaplock_jobs::progress::{JobState, Progress};
use gaplock_jobs::{Job, JobKey, Step, TaskKey};
use gaplock_sched::context::Term;
use gaplock_sched::message::{
    Account, End, EndSeq, FencingToken, How, Outcome, Permit, Record, Refusal, Run, RunningTask,
    WorkerClock, WorkerInfo, WorkerIx,
};
use gaplock_sched::permits::StepKey;
use gaplock_sched::takeover::{self, Stored};
use gaplock_sched::{commits, Action, Context, Event, Settings};
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};
use gaplock_types::{ids, sizes};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The pool that every worker belongs to.
pub const SERVICE: &str = "coldtrace";
/// The queue that every job goes to.
pub const QUEUE: &str = "checks";
/// How many failed runs a task may have.
pub const MAX_ATTEMPTS: u32 = 3;
const UNIX_BASE: u64 = 1_700_000_000_000;
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
}

#[derive(Debug, Clone)]
struct SimRun {
    run: Run,
    ends_at: Option<u64>,
    fails: bool,
    pace: u32,
}

/// One worker's incarnation.
#[derive(Debug)]
pub struct SimWorker {
    pub info: WorkerInfo,
    pub up: bool,
    /// No call gets through, in either direction.
    pub cut: bool,
    /// Every run fails.
    pub failing: bool,
    running: BTreeMap<TaskKey, SimRun>,
    ends: Vec<End>,
    next_seq: u64,
    token: u64,
    lease_until: u64,
    last_ended: BTreeMap<TaskKey, Run>,
    clock_offset: u64,
}

#[derive(Debug, Clone)]
enum Call {
    Renew { stored: EndSeq, until: Option<WorkerClock>, wait: u64, sent: Instant },
    Start { task: TaskKey, run: Run, until: WorkerClock, work: Work },
    Stop { task: TaskKey, run: Run },
    Pace { task: TaskKey, run: Run, percent: u32 },
}

#[derive(Debug, Clone, Copy)]
struct Work {
    takes: Resources,
    lasting: bool,
    ms: u64,
}

#[derive(Debug, Clone)]
enum Delivery {
    ToWorker { worker: usize, call: Call, token: u64, answered: bool, leader: u64 },
    ToLeader { event: Event, leader: u64 },
    Held { worker: usize, sent: Instant, leader: u64, answered: bool },
    Stored { records: Vec<Record>, leader: u64 },
}

/// The whole world.
pub struct World {
    pub now: u64,
    pub cx: Option<Context>,
    pub workers: Vec<SimWorker>,
    pub faults: Faults,
    pub settings: Settings,
    /// Broken promises, in words.
    pub violations: Vec<String>,
    /// Starts that workers carried out.
    pub starts: u64,
    /// Whether commits are refused.
    pub store_down: bool,
    /// The length of each task's work.
    pub work_ms: u64,
    /// How the service that says where steps may run is asked, if at all.
    pub advice: Option<Advice>,
    /// What workers read of each job's tasks.
    pub readings: BTreeMap<JobKey, u32>,
    rng: ChaCha8Rng,
    term: u64,
    token: u64,
    deliveries: BTreeMap<(u64, u64), Delivery>,
    next_delivery: u64,
    jobs: BTreeMap<JobKey, Arc<Job>>,
    cancelled: BTreeSet<JobKey>,
    progress: BTreeMap<JobKey, Progress>,
    roster: BTreeMap<ids::WorkerId, WorkerInfo>,
    noted_done: BTreeSet<TaskKey>,
    done: BTreeSet<TaskKey>,
    noted_failed: BTreeMap<TaskKey, u32>,
    failed: BTreeMap<TaskKey, u32>,
}

/// Builds a configuration with one queue.
pub fn config(advice: Option<Advice>) -> Arc<Config> {
    Arc::new(Config {
        version: 1,
        queues: vec![Queue {
            name: QUEUE.into(),
            host: "h".into(),
            prefix: "/q/".into(),
            service: SERVICE.into(),
            priority: 0,
            max_attempts: MAX_ATTEMPTS,
            stretch: 1.5,
            slack: Millis(250),
            advice,
        }],
        pools: vec![Pool { service: SERVICE.into(), guards_capacity: true, headroom: false }],
        limits: CallerLimits { body_bytes: 1 << 18, header: Millis(3_000), idle: Millis(15_000) },
    })
}

/// Builds a step of `count` tasks of one core each.
pub fn step(count: u32, after: &[u16]) -> Step {
    Step {
        count,
        demand: Resources::new(1_000, 512, 0),
        estimate: Millis(500),
        after: after.to_vec(),
        ..Step::default()
    }
}

/// Builds a job.
pub fn job(key: u64, steps: Vec<Step>) -> Job {
    Job {
        key: JobKey(key),
        queue: QUEUE.into(),
        spec: "spec".into(),
        steps,
        repeat: None,
        accepted_unix_ms: UNIX_BASE,
    }
}

impl World {
    /// Builds a world of `workers` workers of 8 cores, led from the start.
    pub fn open(seed: u64, workers: usize) -> Self {
        let mut world = Self {
            now: START_MS,
            cx: None,
            workers: Vec::new(),
            faults: Faults::default(),
            settings: Settings::default(),
            violations: Vec::new(),
            starts: 0,
            store_down: false,
            work_ms: 500,
            advice: None,
            readings: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            term: 0,
            token: 0,
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            progress: BTreeMap::new(),
            roster: BTreeMap::new(),
            noted_done: BTreeSet::new(),
            done: BTreeSet::new(),
            noted_failed: BTreeMap::new(),
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
        let info = WorkerInfo {
            id: id.into(),
            addr: format!("{id}:1"),
            service: SERVICE.into(),
            domain: "hall".into(),
            labels: vec![format!("r{}", self.workers.len() / 4)],
            capacity: sizes::Resources::new(8_000, 16_000, 0),
            draining: false,
            remaining: None,
        };
        self.workers.push(SimWorker {
            info: info.clone(),
            up: true,
            cut: false,
            failing: false,
            running: BTreeMap::new(),
            ends: Vec::new(),
            next_seq: 1,
            token: 0,
            lease_until: 0,
            last_ended: BTreeMap::new(),
            clock_offset: 5_000 * self.workers.len() as u64,
        });
        self.event(Event::Listed(info));
        self.workers.len() - 1
    }

    /// Replaces the leader by a new one that knows only the store.
    pub fn take_over(&mut self) {
        self.term += 1;
        self.token += 10;
        let term = Term { number: self.term, token: FencingToken(self.token) };
        let mut cx = Context::open(self.settings.clone(), term, self.instant(), self.unix());
        cx.handle(self.instant(), self.unix(), Event::Config(config(self.advice)));
        let stored = Stored {
            jobs: self.jobs.values().cloned().collect(),
            progress: self.progress.clone(),
            cancelled: self.cancelled.iter().copied().collect(),
            roster: self.roster.values().cloned().collect(),
            learnt: Default::default(),
        };
        takeover::restore(&mut cx, stored);
        for worker in self.workers.iter().filter(|w| w.up) {
            cx.handle(self.instant(), self.unix(), Event::Listed(worker.info.clone()));
        }
        self.cx = Some(cx);
        self.act();
    }

    /// Ends the leader without a successor.
    pub fn lose_leader(&mut self) {
        self.cx = None;
    }

    /// Hands in a job.
    pub fn submit(&mut self, job: Job) {
        let job = Arc::new(job);
        self.jobs.insert(job.key, Arc::clone(&job));
        self.event(Event::Job(job));
    }

    /// Cancels a job.
    pub fn cancel(&mut self, key: u64) {
        self.cancelled.insert(JobKey(key));
        self.event(Event::Cancel(JobKey(key)));
    }

    /// Crashes a worker; nothing says so but its silence.
    pub fn crash(&mut self, worker: usize) {
        self.workers[worker].up = false;
        self.workers[worker].running.clear();
    }

    /// Takes a worker off the directory.
    pub fn unlist(&mut self, worker: usize) {
        let id = self.workers[worker].info.id.clone();
        self.event(Event::Unlisted(id));
    }

    /// Lists a worker as draining.
    pub fn drain(&mut self, worker: usize, remaining: u64) {
        let info = &mut self.workers[worker].info;
        info.draining = true;
        info.remaining = Some(Millis(remaining));
        let info = info.clone();
        self.event(Event::Listed(info));
    }

    /// Tells whether a job is stored as completed.
    pub fn is_completed(&self, key: u64) -> bool {
        let state = self.progress.get(&JobKey(key)).map(|p| p.state);
        state == Some(JobState::Completed)
    }

    /// Returns a job's stored state.
    pub fn state(&self, key: u64) -> Option<JobState> {
        self.progress.get(&JobKey(key)).map(|p| p.state)
    }

    /// Returns the worker at which the n-th run of a job's only task ended.
    pub fn worker_of_run(&self, key: u64, n: usize) -> usize {
        let task = TaskKey { job: JobKey(key), round: 0, step: 0, index: 0 };
        let ended = self.workers.iter().enumerate();
        let mut runs: Vec<(Run, usize)> =
            ended.filter_map(|(at, w)| Some((*w.last_ended.get(&task)?, at))).collect();
        runs.sort();
        runs[n].1
    }

    /// Returns how many failures of a job's tasks are stored.
    pub fn stored_failures(&self, key: u64) -> u32 {
        let rounds = self.progress.get(&JobKey(key)).into_iter().flat_map(|p| &p.rounds);
        let notes = rounds.flat_map(|r| &r.steps).flat_map(|s| &s.notes);
        notes.map(|n| n.failed).sum()
    }

    /// Returns how many runs of a task's job are at a worker.
    pub fn running_at(&self, worker: usize) -> usize {
        self.workers[worker].running.len()
    }

    /// Returns on how many workers that are up a job's tasks run.
    pub fn running_of(&self, key: u64) -> usize {
        let of = |w: &SimWorker| w.running.keys().filter(|t| t.job == JobKey(key)).count();
        self.workers.iter().map(of).sum()
    }

    /// Returns the paces of a job's running tasks.
    pub fn paces_of(&self, key: u64) -> Vec<u32> {
        let all = self.workers.iter().flat_map(|w| w.running.iter());
        all.filter(|(t, _)| t.job == JobKey(key)).map(|(_, r)| r.pace).collect()
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
            self.step_workers();
            while let Some(entry) = self.deliveries.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let delivery = entry.remove();
                self.deliver(delivery);
            }
            if self.cx.as_ref().is_some_and(|cx| cx.next_wake().0 <= self.now) {
                self.event(Event::Tick);
            }
            self.commit();
        }
    }

    fn instant(&self) -> Instant {
        Instant(self.now)
    }

    fn unix(&self) -> u64 {
        UNIX_BASE + self.now - START_MS
    }

    fn event(&mut self, event: Event) {
        let (now, unix) = (self.instant(), self.unix());
        if let Some(cx) = &mut self.cx {
            cx.handle(now, unix, event);
            self.act();
        }
    }

    fn send(&mut self, after: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.deliveries.insert((self.now + after, self.next_delivery), delivery);
    }

    fn act(&mut self) {
        let Some(cx) = &mut self.cx else { return };
        let actions = cx.take_actions();
        let now = Instant(self.now);
        for action in actions {
            let (worker, call) = match action {
                Action::Renew { worker, stored, until, wait } => {
                    (worker, Call::Renew { stored, until, wait: wait.0, sent: now })
                }
                Action::Start { worker, task, run, job, until, .. } => {
                    let step = &job.steps[usize::from(task.step)];
                    let work = Work { takes: step.demand, lasting: step.lasting, ms: self.work_ms };
                    (worker, Call::Start { task, run, until, work })
                }
                Action::Stop { worker, task, run } => (worker, Call::Stop { task, run }),
                Action::Pace { worker, task, run, percent } => {
                    (worker, Call::Pace { task, run, percent })
                }
                Action::Advise { step, workers } => {
                    self.advise(step, workers);
                    continue;
                }
                Action::ConfirmLeadership => continue,
            };
            self.call(worker, call);
        }
    }

    /// Answers which workers may run a step: those with an even position.
    fn advise(&mut self, step: StepKey, asked: Vec<WorkerIx>) {
        let even = asked.iter().filter(|ix| ix.0 % 2 == 0);
        let permits = even.map(|&worker| Permit { worker, ticket: "t".into() }).collect();
        let (sent, leader) = (self.instant(), self.term);
        let answer = Some((permits, Millis(3_000)));
        let event = Event::Advised { step, asked, sent, answer };
        self.send(40, Delivery::ToLeader { event, leader });
    }

    /// Finds the simulated worker behind a position in the leader's table.
    fn worker_of(&self, ix: WorkerIx) -> usize {
        let id = &self.cx.as_ref().expect("only a leader calls").worker(ix).info.id;
        self.workers.iter().position(|w| w.info.id == *id).expect("workers are never removed")
    }

    fn call(&mut self, ix: WorkerIx, call: Call) {
        let worker = self.worker_of(ix);
        let (token, leader) = (self.token, self.term);
        let roll = self.rng.random_range(0..1_000);
        let f = self.faults;
        let reached = self.workers[worker].up && !self.workers[worker].cut;
        let lost = roll < f.lost_per_mille || !reached;
        let late = roll >= f.lost_per_mille && roll < f.lost_per_mille + f.late_per_mille;
        let unanswered = lost || late || self.rng.random_range(0..1_000) < f.unanswered_per_mille;
        if unanswered {
            let event = no_answer(ix, &call);
            self.send(400, Delivery::ToLeader { event, leader });
        }
        if lost {
            return;
        }
        let after = if late { 2_000 + self.rng.random_range(0..10_000) } else { 1 };
        let answered = !unanswered;
        self.send(after, Delivery::ToWorker { worker, call, token, answered, leader });
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToLeader { event, leader } if leader == self.term => self.event(event),
            Delivery::Stored { records, leader } if leader == self.term => {
                self.store(records);
                self.event(Event::Committed);
            }
            Delivery::ToLeader { .. } | Delivery::Stored { .. } => {}
            Delivery::ToWorker { worker, call, token, answered, leader } => {
                self.at_worker(worker, call, token, answered, leader);
            }
            Delivery::Held { worker, sent, leader, answered } => {
                self.answer_renewal(worker, sent, leader, answered);
            }
        }
    }

    /// Lets a call end without an answer that lost its worker on the way.
    fn time_out(&mut self, at: usize, call: &Call, answered: bool, leader: u64) {
        if let Some(ix) = self.ix_of(at).filter(|_| answered) {
            let event = no_answer(ix, call);
            self.send(400, Delivery::ToLeader { event, leader });
        }
    }

    fn ix_of(&self, worker: usize) -> Option<WorkerIx> {
        let id = &self.workers[worker].info.id;
        self.cx.as_ref().and_then(|cx| cx.by_id.get(id).copied())
    }

    fn at_worker(&mut self, at: usize, call: Call, token: u64, answered: bool, leader: u64) {
        if !self.workers[at].up || self.workers[at].cut {
            return self.time_out(at, &call, answered, leader);
        }
        let clock = self.now + self.workers[at].clock_offset;
        let fenced = token < self.workers[at].token;
        self.workers[at].token = self.workers[at].token.max(token);
        if let Call::Renew { stored, until, wait, sent } = call {
            return self.renew(at, stored, until, wait, sent, fenced, answered, leader);
        }
        let outcome = if fenced { Err(Refusal::Fenced) } else { self.order(at, &call, clock) };
        let Some(ix) = self.ix_of(at).filter(|_| answered) else { return };
        let outcome = match outcome {
            Ok(()) => Outcome::Done(WorkerClock(clock)),
            Err(refusal) => Outcome::Refused(refusal),
        };
        let event = answer(ix, &call, outcome);
        self.send(1, Delivery::ToLeader { event, leader });
    }

    #[allow(clippy::too_many_arguments)]
    fn renew(
        &mut self,
        at: usize,
        stored: EndSeq,
        until: Option<WorkerClock>,
        wait: u64,
        sent: Instant,
        fenced: bool,
        answered: bool,
        leader: u64,
    ) {
        if fenced {
            if let Some(worker) = self.ix_of(at).filter(|_| answered) {
                let outcome = Outcome::Refused(Refusal::Fenced);
                let event = Event::Renewed { worker, sent, outcome };
                self.send(1, Delivery::ToLeader { event, leader });
            }
            return;
        }
        self.acknowledge(at, stored);
        if let Some(until) = until {
            self.grant(at, until);
        }
        let wait = if self.workers[at].ends.is_empty() { wait } else { 0 };
        self.send(wait, Delivery::Held { worker: at, sent, leader, answered });
    }

    fn acknowledge(&mut self, at: usize, stored: EndSeq) {
        let ends = std::mem::take(&mut self.workers[at].ends);
        let (noted, left): (Vec<End>, Vec<End>) = ends.into_iter().partition(|e| e.seq <= stored);
        self.workers[at].ends = left;
        for end in noted {
            match end.how {
                How::Done => {
                    self.noted_done.insert(end.task);
                }
                How::Failed => *self.noted_failed.entry(end.task).or_default() += 1,
                _ => {}
            }
        }
    }

    fn grant(&mut self, at: usize, until: WorkerClock) {
        let worker = &mut self.workers[at];
        let clock = self.now + worker.clock_offset;
        let most = clock + self.settings.lease_max.0;
        worker.lease_until = worker.lease_until.max(until.0.min(most));
    }

    fn answer_renewal(&mut self, at: usize, sent: Instant, leader: u64, answered: bool) {
        let worker = &self.workers[at];
        if !worker.up || worker.cut {
            let call = Call::Renew { stored: EndSeq(0), until: None, wait: 0, sent };
            return self.time_out(at, &call, answered, leader);
        }
        let Some(ix) = self.ix_of(at).filter(|_| answered) else { return };
        let running = worker.running.iter().map(|(task, r)| RunningTask {
            task: *task,
            run: r.run,
            checkpoint: None,
            percent: if r.ends_at.is_none() { 100 } else { 50 },
            reading: self.readings.get(&task.job).copied(),
        });
        let account = Account {
            clock: WorkerClock(self.now + worker.clock_offset),
            running: running.collect(),
            ends: worker.ends.clone(),
        };
        let event = Event::Renewed { worker: ix, sent, outcome: Outcome::Done(account) };
        self.send(1, Delivery::ToLeader { event, leader });
    }

    fn order(&mut self, at: usize, call: &Call, clock: u64) -> Result<(), Refusal> {
        match call {
            Call::Start { task, run, until, work } => {
                self.grant(at, *until);
                self.start(at, *task, *run, *until, *work, clock)
            }
            Call::Stop { task, run } => {
                let worker = &mut self.workers[at];
                let last = worker.last_ended.entry(*task).or_default();
                *last = (*last).max(*run);
                if worker.running.get(task).is_some_and(|r| r.run == *run) {
                    self.end(at, *task, How::Stopped);
                }
                Ok(())
            }
            Call::Pace { task, run, percent } => {
                let running = self.workers[at].running.get_mut(task);
                if let Some(r) = running.filter(|r| r.run == *run) {
                    r.pace = *percent;
                }
                Ok(())
            }
            Call::Renew { .. } => Ok(()),
        }
    }

    fn start(
        &mut self,
        at: usize,
        task: TaskKey,
        run: Run,
        until: WorkerClock,
        work: Work,
        clock: u64,
    ) -> Result<(), Refusal> {
        let worker = &self.workers[at];
        if worker.running.get(&task).is_some_and(|r| r.run == run) {
            return Ok(());
        }
        if until.0 <= clock {
            return Err(Refusal::Late);
        }
        let old = worker.last_ended.get(&task).is_some_and(|last| run <= *last);
        if old || worker.running.contains_key(&task) {
            return Err(Refusal::OldRun);
        }
        let cores = worker.running.len() as u32 * work.takes.cpu.0 + work.takes.cpu.0;
        if cores > worker.info.capacity.cpu.0 {
            return Err(Refusal::Room);
        }
        self.check_start(at, task);
        self.starts += 1;
        let fails = self.workers[at].failing
            || self.rng.random_range(0..1_000) < self.faults.failing_per_mille;
        let ends_at = if work.lasting { None } else { Some(self.now + work.ms) };
        let ends_at = if fails { Some(self.now + 50) } else { ends_at };
        let sim = SimRun { run, ends_at, fails, pace: 100 };
        self.workers[at].running.insert(task, sim);
        Ok(())
    }

    /// Checks what must hold when a worker carries a start out.
    fn check_start(&mut self, at: usize, task: TaskKey) {
        let now = self.now;
        for (other, worker) in self.workers.iter().enumerate() {
            if other != at && worker.up && worker.running.contains_key(&task) {
                self.violations.push(format!("{now}: {task} twice, at {other} and {at}"));
            }
        }
        if self.noted_done.contains(&task) {
            self.violations.push(format!("{now}: {task} starts after its end was noted"));
        }
        if self.noted_failed.get(&task).copied().unwrap_or(0) >= MAX_ATTEMPTS
            && !self.jobs[&task.job].steps[usize::from(task.step)].lasting
        {
            self.violations.push(format!("{now}: {task} starts after all its attempts"));
        }
        let job = &self.jobs[&task.job];
        for &before in &job.steps[usize::from(task.step)].after {
            let count = job.steps[usize::from(before)].count;
            let done = |index| self.done.contains(&TaskKey { step: before, index, ..task });
            if !(0..count).all(done) {
                self.violations.push(format!("{now}: {task} starts before step {before} is done"));
            }
        }
    }

    fn end(&mut self, at: usize, task: TaskKey, how: How) {
        let worker = &mut self.workers[at];
        let Some(sim) = worker.running.remove(&task) else { return };
        let last = worker.last_ended.entry(task).or_default();
        *last = (*last).max(sim.run);
        let seq = EndSeq(worker.next_seq);
        worker.next_seq += 1;
        worker.ends.push(End { seq, task, run: sim.run, how, checkpoint: None });
        match how {
            How::Done => {
                self.done.insert(task);
            }
            How::Failed => *self.failed.entry(task).or_default() += 1,
            _ => {}
        }
    }

    fn step_workers(&mut self) {
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if !worker.up {
                continue;
            }
            let lapsed = self.now + worker.clock_offset >= worker.lease_until;
            let over = worker
                .running
                .iter()
                .filter(|(_, r)| lapsed || r.ends_at.is_some_and(|end| end <= self.now));
            let over: Vec<(TaskKey, bool)> = over.map(|(t, r)| (*t, r.fails)).collect();
            let waited = !over.is_empty();
            for (task, fails) in over {
                let how = match (lapsed, fails) {
                    (true, _) => How::Lapsed,
                    (false, true) => How::Failed,
                    (false, false) => How::Done,
                };
                self.end(at, task, how);
            }
            if waited {
                self.wake_renewal(at);
            }
        }
    }

    /// Lets a waiting renewal answer now.
    fn wake_renewal(&mut self, at: usize) {
        let waiting = self
            .deliveries
            .iter()
            .find(|(_, d)| matches!(d, Delivery::Held { worker, .. } if *worker == at));
        let Some(key) = waiting.map(|(key, _)| *key) else { return };
        if let Some(delivery) = self.deliveries.remove(&key) {
            self.send(0, delivery);
        }
    }

    fn commit(&mut self) {
        let now = Instant(self.now);
        let Some(cx) = &mut self.cx else { return };
        let Some(records) = commits::take(cx, now) else { return };
        let leader = self.term;
        if self.store_down {
            let event = Event::CommitFailed;
            return self.send(200, Delivery::ToLeader { event, leader });
        }
        self.send(4, Delivery::Stored { records, leader });
    }

    /// Checks that a job which is shown as failed has a task that failed often enough.
    fn check_failed(&mut self, progress: &Progress) {
        let worn =
            |(task, &failed): (&TaskKey, &u32)| task.job == progress.key && failed >= MAX_ATTEMPTS;
        if progress.state == JobState::Failed && !self.failed.iter().any(worn) {
            let violation = format!("{}: {} failed without cause", self.now, progress.key);
            self.violations.push(violation);
        }
    }

    fn store(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::Progress(progress) => {
                    self.check_failed(&progress);
                    self.progress.insert(progress.key, progress);
                }
                Record::Forget(key) => {
                    self.progress.remove(&key);
                    self.jobs.remove(&key);
                }
                Record::Worker(info) => {
                    self.roster.insert(info.id.clone(), info);
                }
                Record::ForgetWorker(id) => {
                    self.roster.remove(&id);
                }
                Record::Learnt(_) => {}
            }
        }
    }
}

fn no_answer(worker: WorkerIx, call: &Call) -> Event {
    match call {
        Call::Renew { sent, .. } => {
            Event::Renewed { worker, sent: *sent, outcome: Outcome::Unclear }
        }
        other => answer(worker, other, Outcome::Unclear),
    }
}

fn answer(worker: WorkerIx, call: &Call, outcome: Outcome<WorkerClock>) -> Event {
    match call {
        Call::Start { task, run, .. } => Event::Started { worker, task: *task, run: *run, outcome },
        Call::Stop { task, run } => Event::Stopped { worker, task: *task, run: *run, outcome },
        Call::Pace { task, run, percent } => Event::Paced {
            worker,
            task: *task,
            run: *run,
            percent: *percent,
            applied: matches!(outcome, Outcome::Done(_)),
        },
        Call::Renew { .. } => unreachable!("a renewal is answered with an account"),
    }
}
