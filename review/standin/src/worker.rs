//! A worker: runs tasks under leases and lists their ends until they are acknowledged.
//!
//! A task's spec says how it behaves: `work=MS` how long it runs, `cpu=N` how many thousandths of a
//! core it takes, `tail=MS` the tail of its answers' times if it serves users. Without `work` it
//! runs until it is stopped.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{object, Json};
use crate::network::Network;
use crate::record::Record;
use crate::store::Store;

/// The longest lease that a worker grants.
pub const HOLD_MAX_MS: u64 = 6_000;

/// The most ends that one answer lists.
const ENDS_LISTED: usize = 500;

/// The processors of a worker, in thousandths of a core.
pub const CPU: u64 = 16_000;

/// The memory of a worker.
pub const MEM_MB: u64 = 64_000;

/// The time between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1_100);

/// After how many missed heartbeats a worker's entry goes.
const HEARTBEATS_MISSED: u32 = 3;

/// One run of a task at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// The task.
    pub task: String,
    /// The number of the run.
    pub run: u64,
    /// The worker.
    pub worker: usize,
    /// When it began, since the start of the record.
    pub began: Duration,
    /// When it ended, and how; `None` while it goes on.
    pub ended: Option<(Duration, &'static str)>,
}

#[derive(Debug)]
struct Running {
    run: u64,
    cpu: u64,
    began: Instant,
    work: Option<Duration>,
    tail_ms: Option<u64>,
    /// Its position in the list of all runs.
    at: usize,
}

#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Debug, Default)]
struct State {
    token: u64,
    lease_until: u64,
    running: BTreeMap<String, Running>,
    ends: Vec<End>,
    last_end: u64,
    /// The highest run of each task that has ended or was stopped here.
    over: BTreeMap<String, u64>,
}

/// The runs at all workers, in the order in which they began.
#[derive(Debug, Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    /// Returns a copy of all runs.
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// A running worker.
#[derive(Debug)]
pub struct Worker {
    /// Its position among the workers.
    pub number: usize,
    /// Its id in the store.
    pub id: String,
    /// Its zone.
    pub zone: &'static str,
    addr: SocketAddr,
    rack: String,
    began: Instant,
    state: Mutex<State>,
    ended: Condvar,
    runs: Arc<Runs>,
    record: Arc<Record>,
    network: Arc<Network>,
    store: Arc<Store>,
    host_zones: Arc<Vec<&'static str>>,
    is_recorded: fn(&str) -> bool,
    /// How many heartbeats in a row did not reach the store.
    missed: AtomicU32,
}

/// What all workers share.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The runs of all workers.
    pub runs: Arc<Runs>,
    /// The record.
    pub record: Arc<Record>,
    /// The network.
    pub network: Arc<Network>,
    /// The store.
    pub store: Arc<Store>,
    /// The zones of the hosts.
    pub host_zones: Arc<Vec<&'static str>>,
    /// Whether the runs of a task get lines in the record.
    pub is_recorded: fn(&str) -> bool,
}

/// Starts a worker.
///
/// # Errors
/// Returns the error of binding.
pub fn open(
    number: usize,
    zone: &'static str,
    addr: SocketAddr,
    shared: &Shared,
) -> io::Result<Arc<Worker>> {
    let shared = shared.clone();
    let worker = Arc::new(Worker {
        number,
        id: format!("i-{number:08x}"),
        zone,
        addr,
        rack: format!("r-{zone}"),
        began: Instant::now(),
        state: Mutex::default(),
        ended: Condvar::new(),
        runs: shared.runs,
        record: shared.record,
        network: shared.network,
        store: shared.store,
        host_zones: shared.host_zones,
        is_recorded: shared.is_recorded,
        missed: AtomicU32::new(0),
    });
    let server = Arc::clone(&worker);
    http::serve(addr, move |request| server.answer(request))?;
    let clock = Arc::clone(&worker);
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(5));
        clock.end_due();
    });
    let beat = Arc::clone(&worker);
    thread::spawn(move || loop {
        beat.write_entry();
        thread::sleep(HEARTBEAT);
    });
    Ok(worker)
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Keeps the worker's entry in the store. Only changes beyond the counter of heartbeats count as
    /// changes, so the entry is written once. It goes after three heartbeats that did not arrive.
    fn write_entry(&self) {
        let key = format!("servers/{}", self.id);
        if !self.store.is_reached_from(self.zone) {
            if self.missed.fetch_add(1, Ordering::SeqCst) + 1 == HEARTBEATS_MISSED {
                self.store.remove(&key);
            }
            return;
        }
        self.missed.store(0, Ordering::SeqCst);
        if self.store.has(&key) {
            return;
        }
        let capacity =
            object([("Cpu", CPU.into()), ("MemMb", MEM_MB.into()), ("Gpu", 0_u64.into())]);
        let entry = object([
            ("Service", "coldtrace".into()),
            ("Address", self.addr.to_string().into()),
            ("Zone", self.zone.into()),
            ("Version", "v1".into()),
            ("Slots", 8_u64.into()),
            ("State", "ready".into()),
            ("ColdLeftMs", 0_u64.into()),
            ("Capacity", capacity),
            ("Labels", vec!["a".into(), self.rack.as_str().into()].into()),
            ("ClockMs", self.clock_ms().into()),
            ("Sequence", 1_u64.into()),
        ]);
        self.store.put(&key, &entry);
    }

    /// Returns the processors in use.
    pub fn used_cpu(&self) -> u64 {
        self.lock().running.values().map(|running| running.cpu).sum()
    }

    fn answer(&self, request: &Request) -> Reply {
        let body = request.json();
        let token = body.get("FencingToken").number();
        // The fencing token is the revision of the transaction by which its holder became leader.
        let sender_zone = self.store.writer(token).map(|host| self.host_zones[host]);
        let passes = || sender_zone.is_none_or(|zone| self.network.passes(zone, self.zone));
        if !passes() {
            return Reply::Silence;
        }
        if request.headers.get("x-expect-instance").is_some_and(|id| *id != self.id) {
            return http::empty(421);
        }
        let reply = match request.path.as_str() {
            "/hold" => self.hold(&body, token),
            "/run-start" => self.order(token, |state| self.start(state, &body)),
            "/run-stop" => self.order(token, |state| self.stop(state, &body)),
            "/pace" => self.order(token, |_| None),
            _ => http::empty(404),
        };
        if passes() {
            reply
        } else {
            Reply::Silence
        }
    }

    fn refusal(&self, reason: &str) -> Reply {
        http::answer(409, object([("ClockMs", self.clock_ms().into()), ("Reason", reason.into())]))
    }

    /// Carries out an order, which returns the reason of a refusal.
    fn order(&self, token: u64, order: impl Fn(&mut State) -> Option<&'static str>) -> Reply {
        let mut state = self.lock();
        self.end_due_in(&mut state);
        if token < state.token {
            return self.refusal("fence");
        }
        state.token = token;
        match order(&mut state) {
            Some(reason) => self.refusal(reason),
            None => http::answer(200, object([("ClockMs", self.clock_ms().into())])),
        }
    }

    fn extend_leases(&self, state: &mut State, deadline: &Json) {
        if !deadline.is_null() {
            let longest = self.clock_ms() + HOLD_MAX_MS;
            state.lease_until = state.lease_until.max(deadline.number().min(longest));
        }
    }

    fn start(&self, state: &mut State, body: &Json) -> Option<&'static str> {
        let (task, run) = (body.get("Task").text(), body.get("RunId").number());
        let spec = body.get("Spec").text();
        if body.get("DeadlineMs").number() <= self.clock_ms() {
            return Some("late");
        }
        self.extend_leases(state, body.get("DeadlineMs"));
        let there = state.running.get(task).map(|running| running.run);
        if there == Some(run) {
            return None;
        }
        let over = state.over.get(task).copied().unwrap_or(0);
        if run <= over || there.is_some_and(|there| run < there) {
            return Some("old");
        }
        let cpu = spec_number(spec, "cpu=").unwrap_or(1_000);
        let used: u64 = state.running.values().map(|running| running.cpu).sum();
        if there.is_some() || used + cpu > CPU {
            return Some("room");
        }
        let mut runs = self.runs.0.lock().unwrap();
        let (at, began) = (runs.len(), self.record.now());
        let (worker, ended) = (self.number, None);
        runs.push(Run { task: task.to_string(), run, worker, began, ended });
        drop(runs);
        let work = spec_number(spec, "work=").map(Duration::from_millis);
        let tail_ms = spec_number(spec, "tail=");
        let running = Running { run, cpu, began: Instant::now(), work, tail_ms, at };
        state.running.insert(task.to_string(), running);
        if (self.is_recorded)(task) {
            self.record.line(&format!("worker {} begins {task} run {run}", self.id));
        }
        None
    }

    fn stop(&self, state: &mut State, body: &Json) -> Option<&'static str> {
        let (task, run) = (body.get("Task").text(), body.get("RunId").number());
        if state.running.get(task).is_some_and(|running| running.run == run) {
            self.end(state, task, "stopped");
        }
        let over = state.over.entry(task.to_string()).or_default();
        *over = (*over).max(run);
        None
    }

    fn hold(&self, body: &Json, token: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(body.get("WaitMs").number());
        let mut state = self.lock();
        self.end_due_in(&mut state);
        if token < state.token {
            return self.refusal("fence");
        }
        state.token = token;
        self.extend_leases(&mut state, body.get("DeadlineMs"));
        let seen = body.get("LastSeen").number();
        state.ends.retain(|end| end.number > seen);
        loop {
            self.end_due_in(&mut state);
            let left = until.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                return http::answer(200, self.report(&state));
            }
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
    }

    fn report(&self, state: &State) -> Json {
        let running = state.running.iter().map(|(task, running)| {
            let done = running.began.elapsed().as_secs_f64();
            let percent = running.work.map_or(100.0, |work| {
                (100.0 * done / work.as_secs_f64().max(0.001)).min(99.0).floor()
            });
            Json::from(vec![
                task.as_str().into(),
                running.run.into(),
                "".into(),
                percent.into(),
                running.tail_ms.unwrap_or(running.cpu).into(),
            ])
        });
        let ends = state.ends.iter().take(ENDS_LISTED).map(|end| {
            Json::from(vec![
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                "".into(),
            ])
        });
        object([
            ("ClockMs", self.clock_ms().into()),
            ("Running", running.collect::<Vec<_>>().into()),
            ("Finished", ends.collect::<Vec<_>>().into()),
        ])
    }

    fn end_due(&self) {
        self.end_due_in(&mut self.lock());
    }

    /// Ends the runs that are done, and all of them once the lease is over.
    fn end_due_in(&self, state: &mut State) {
        let is_done =
            |running: &Running| running.work.is_some_and(|work| running.began.elapsed() >= work);
        let done = state.running.iter().filter(|(_, running)| is_done(running));
        let done: Vec<String> = done.map(|(task, _)| task.clone()).collect();
        done.iter().for_each(|task| self.end(state, task, "done"));
        if self.clock_ms() >= state.lease_until {
            let lapsed: Vec<String> = state.running.keys().cloned().collect();
            lapsed.iter().for_each(|task| self.end(state, task, "lapsed"));
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else { return };
        state.last_end += 1;
        let over = state.over.entry(task.to_string()).or_default();
        *over = (*over).max(running.run);
        let (number, run) = (state.last_end, running.run);
        state.ends.push(End { number, task: task.to_string(), run, how });
        self.runs.0.lock().unwrap()[running.at].ended = Some((self.record.now(), how));
        if (self.is_recorded)(task) {
            self.record.line(&format!("worker {} ends {task} run {run}: {how}", self.id));
        }
        self.ended.notify_all();
    }
}

fn spec_number(spec: &str, name: &str) -> Option<u64> {
    spec.split(' ').find_map(|word| word.strip_prefix(name)?.parse().ok())
}
