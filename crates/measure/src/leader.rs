//! Measures the time of the leader's operations by the size of the fleet: handling a worker report, starting a
//! task, checking for due renewals, a dispatch pass in which no step finds capacity, the periodic checks, handling
//! a follower's heartbeat, and making the load summary.

use std::sync::Arc;
use std::time::Instant as StdInstant;

use gaplock_jobs::config::{CallerLimits, Config, Index, Pool, Queue};
use gaplock_jobs::{Job, JobKey, Step, TaskKey};
use gaplock_policy::followers::Followers;
use gaplock_policy::succession::{self, Candidate};
use gaplock_sched::context::Term;
use gaplock_sched::message::{
    Action, FencingToken, Outcome, Run, RunningTask, StoreRevision, WorkerClock, WorkerInfo,
    WorkerIx, WorkerReport,
};
use gaplock_sched::{commits, load, renewals, Context, Event, Settings};
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};
use gaplock_types::{ids, sizes};

use crate::report::Report;

/// The numbers of workers to measure: the users' sites, the size planned for in two years, the largest size in
/// the users' sweep, their whole fleet, and twice that.
const FLEET_SIZES: [usize; 6] = [66, 490, 1_300, 3_000, 6_000, 12_000];

/// The number of workers for each host on the users' larger sites.
const WORKERS_PER_HOST: usize = 10;

const SERVICE: &str = "pool";
const QUEUE: &str = "queue";

/// The number of long-running tasks on each worker; together they reserve all its processors.
const TASKS_PER_WORKER: usize = 4;

/// The number of steps that wait for capacity during a dispatch pass, as on a full pool of the users' sites.
const WAITING_STEPS: u64 = 30;

/// How often an operation is repeated for one figure.
const REPETITIONS: usize = 2_000;

/// Measures the time of each operation for each fleet size.
pub fn measure(seed: u64) -> Report {
    let rows = FLEET_SIZES.iter().map(|&workers| row(workers)).collect();
    let headings = vec![
        "workers",
        "account us",
        "start us",
        "look us",
        "pass us",
        "checks us",
        "heartbeat us",
        "load us",
    ];
    Report { name: "leader", seed, headings, rows, findings: Vec::new() }
}

fn row(workers: usize) -> Vec<String> {
    let mut fleet = open(workers);
    let report = time(REPETITIONS, |n| fleet.report(n % workers));
    let start = fleet.start_cost();
    let renewal_check = fleet.renewal_check_cost();
    let dispatch_pass = fleet.dispatch_pass_cost();
    let periodic_checks = fleet.periodic_checks_cost();
    let heartbeat = heartbeat_cost(workers / WORKERS_PER_HOST);
    let summary = time(REPETITIONS, |n| drop(load::summary(&fleet.cx, n as u64)));
    let figures =
        [report, start, renewal_check, dispatch_pass, periodic_checks, heartbeat, summary]
            .map(|us| format!("{us:.1}"));
    [vec![workers.to_string()], figures.to_vec()].concat()
}

/// Returns the mean time of `f` in microseconds.
fn time(times: usize, mut f: impl FnMut(usize)) -> f64 {
    let began = StdInstant::now();
    for n in 0..times {
        f(n);
    }
    began.elapsed().as_secs_f64() * 1e6 / times as f64
}

/// The interval between two heartbeats of one host, in milliseconds.
const HEARTBEAT_INTERVAL_MS: usize = 400;

/// Returns the mean time to record a heartbeat of one of `hosts` hosts and to choose a successor.
fn heartbeat_cost(hosts: usize) -> f64 {
    let heartbeat = |n: usize, ms: usize| Candidate {
        host: ids::EntryId(format!("host-{n:05}")),
        addr: format!("10.0.0.1:{n}"),
        leader_capacity: succession::FULL_LEADER_CAPACITY,
        running_for: Millis(ms as u64),
        store_age: Millis(100),
        heard_at: Instant(ms as u64),
    };
    let mut followers = Followers::default();
    (0..hosts).for_each(|n| followers.record(heartbeat(n, 0)));
    time(REPETITIONS, |n| {
        let ms = n * HEARTBEAT_INTERVAL_MS / hosts;
        followers.record(heartbeat(n % hosts, ms));
        followers.best(Instant(ms as u64));
    })
}

/// A leader whose workers are filled with long-running tasks.
struct Fleet {
    cx: Context,
    now: u64,
    next_job: u64,
}

fn config() -> Arc<Config> {
    let queue = Queue {
        name: QUEUE.into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: SERVICE.into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        slack: Millis(250),
        advice: None,
    };
    let pool = Pool { service: SERVICE.into(), guards_capacity: true, headroom: false };
    let limits = CallerLimits {
        header_bytes: 1 << 14,
        body_bytes: 1 << 18,
        header: Millis(3_000),
        idle: Millis(15_000),
    };
    Arc::new(Config {
        version: 1,
        queues: vec![queue],
        pools: vec![pool],
        limits,
        index: Index::default(),
    })
}

fn worker(n: usize) -> WorkerInfo {
    WorkerInfo {
        id: ids::WorkerId(format!("w{n}")),
        addr: format!("w{n}:1"),
        service: SERVICE.into(),
        domain: "hall".into(),
        labels: vec!["a".into(), format!("r{}", n / 12)],
        capacity: Resources::new(16_000, 64_000, 0),
        draining: false,
        remaining: None,
    }
}

/// Builds a leader whose long-running tasks reserve all processors of the fleet.
fn open(workers: usize) -> Fleet {
    let term = Term { number: 1, token: FencingToken(1) };
    let now = 10_000;
    // No limit on starts in flight, so that one dispatch pass performs all starts that are measured.
    let settings = Settings { max_starts_in_flight: usize::MAX, ..Settings::default() };
    let cx = Context::open(settings, term, Instant(now), now);
    let mut fleet = Fleet { cx, now, next_job: 1 };
    fleet.handle_event(Event::Config(config()));
    for n in 0..workers {
        fleet.handle_event(Event::Listed(worker(n)));
    }
    fleet.store();
    for n in 0..workers {
        fleet.report(n);
    }
    let long_running = Step { lasting: true, ..step(workers * TASKS_PER_WORKER, 4_000) };
    fleet.submit(long_running);
    fleet.run(3_000);
    fleet
}

fn step(count: usize, cpu: u32) -> Step {
    let demand: sizes::Resources = Resources::new(cpu, 1_000, 0);
    Step { count: count as u32, demand, estimate: Millis(1_000), ..Step::default() }
}

impl Fleet {
    fn handle_event(&mut self, event: Event) {
        self.cx.handle(Instant(self.now), self.now, event);
    }

    fn submit(&mut self, step: Step) -> JobKey {
        let key = JobKey(self.next_job);
        self.next_job += 1;
        let (queue, spec) = (QUEUE.to_string(), String::new());
        let accepted_unix_ms = self.now;
        let job = Job {
            key,
            queue,
            spec,
            steps: vec![step],
            repeat: None,
            accepted_unix_ms,
            accepting_queue: None,
        };
        self.handle_event(Event::Job(Arc::new(job), StoreRevision(key.0)));
        key
    }

    /// Answers every start that the leader has ordered as carried out.
    fn answer(&mut self) {
        for action in self.cx.take_actions() {
            if let Action::Start { worker, task, run, .. } = action {
                let outcome = Outcome::Done(WorkerClock(self.now));
                self.handle_event(Event::Started { worker, task, run, outcome });
            }
        }
    }

    fn store(&mut self) {
        if commits::take(&mut self.cx, Instant(self.now + 1_000)).is_some() {
            self.handle_event(Event::Committed);
        }
    }

    /// Advances the time by `ms` and answers all orders at once.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += 50;
            self.handle_event(Event::Tick);
            self.answer();
            self.store();
        }
    }

    /// Handles a report of one worker.
    fn report(&mut self, n: usize) {
        let worker = WorkerIx(n as u32);
        let slots = self.cx.worker(worker).slots.iter();
        let running = slots.map(|(task, slot)| running(*task, slot.run)).collect();
        let clock = WorkerClock(self.now);
        let outcome =
            Outcome::Done(WorkerReport { worker: None, clock, running, ends: Vec::new() });
        let sent = Instant(self.now);
        self.handle_event(Event::Renewed { worker, sent, outcome });
        self.cx.take_actions();
    }

    /// Returns the time to start one short task, including the choice among all workers.
    fn start_cost(&mut self) -> f64 {
        let count = self.cx.workers.len().min(REPETITIONS);
        self.now += 100;
        let short = Step { fills: true, ..step(count, 100) };
        let began = StdInstant::now();
        let key = self.submit(short);
        let us = began.elapsed().as_secs_f64() * 1e6 / count as f64;
        let ordered = self.cx.actions.iter().filter(|a| matches!(a, Action::Start { .. })).count();
        assert_eq!(ordered, count, "the fleet must have capacity for every short task");
        self.answer();
        self.handle_event(Event::Cancel(key, StoreRevision(u64::MAX)));
        us
    }

    /// Returns the time of a check for due renewals that finds none.
    fn renewal_check_cost(&mut self) -> f64 {
        renewals::send_due(&mut self.cx);
        self.cx.take_actions();
        time(REPETITIONS, |_| renewals::send_due(&mut self.cx))
    }

    /// Returns the time of one dispatch pass in which no step finds capacity.
    fn dispatch_pass_cost(&mut self) -> f64 {
        for n in 0..WAITING_STEPS {
            // Each step asks for less than the one before. Otherwise the pass would skip it, since a smaller
            // demand has already found no capacity.
            self.submit(Step { lasting: true, ..step(2, 15_000 - n as u32 * 10) });
        }
        let passes = 50;
        time(passes, |_| {
            self.now += 10;
            self.cx.pass_wanted = true;
            self.handle_event(Event::Tick);
        })
    }

    /// Returns the time of the checks that run twenty times a second, including a dispatch pass.
    fn periodic_checks_cost(&mut self) -> f64 {
        time(50, |_| {
            self.now += 60;
            self.handle_event(Event::Tick);
            self.cx.take_actions();
        })
    }
}

fn running(task: TaskKey, run: Run) -> RunningTask {
    RunningTask { task, run, checkpoint: None, progress_percent: 100, reading: Some(10) }
}
