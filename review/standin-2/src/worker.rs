//! A small worker for the cases in which tasks share a machine: its rows of `Running` carry the rough
//! figure of the last half second, which the project's own stand-in leaves out.
//!
//! It knows tasks by their `Spec`: those that serve or last run until they are stopped, all others
//! are done after a while. It grants leases, checks fences and instances, and lists ends until they
//! are acknowledged, as the pages say.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_platform_standin::fleet::SERVICE;
use gaplock_platform_standin::store::Store;
use gaplock_serve::{FullRequest, Limits, Listener};
use http_types::Response;
use serde_json::{json, Value};

/// The `Spec` of tasks that serve users of their own, and of tasks that fill beside them.
pub const SERVES: &str = "serves";
pub const FILLS: &str = "fills";

const HOLD_MAX_MS: u64 = 6_000;
const MAX_LISTED_ENDS: usize = 500;
const CORES: u32 = 16_000;
const MEM_MB: u32 = 64_000;

/// The figures: the tail of a task that serves in milliseconds, and the `Cpu` that another one uses.
const TAIL_MS: u32 = 9;
const USED_CPU: u32 = 60;

const POLL: Duration = Duration::from_millis(5);
const LOCK: &str = "no holder panics";

struct Run {
    run: u64,
    spec: String,
    began: Instant,
}

#[derive(Default)]
struct State {
    id: String,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// How many ends were listed, and how many of them acknowledged, in all its lives.
    listed: u64,
    acknowledged: u64,
}

/// A running worker.
pub struct Worker {
    n: usize,
    life: usize,
    state: Arc<Mutex<State>>,
    born: Instant,
    work: Duration,
    _listener: Listener,
    addr: String,
}

/// Starts a worker and puts it into the directory.
pub async fn spawn(store: &Store, n: usize, work: Duration) -> io::Result<Worker> {
    let state: Arc<Mutex<State>> = Arc::default();
    let born = Instant::now();
    let shared = Arc::clone(&state);
    let listener = gaplock_serve::bind("127.0.0.1:0", Limits::default(), move |request| {
        answer(Arc::clone(&shared), born, work, request)
    })
    .await?;
    let addr = listener.addr().to_string();
    let worker = Worker { n, life: 0, state, born, work, _listener: listener, addr };
    worker.state.lock().expect(LOCK).id = worker.id();
    worker.register(store);
    Ok(worker)
}

impl Worker {
    fn id(&self) -> String {
        format!("w-{}-{}", self.n, self.life)
    }

    /// Writes the worker's entry, as each worker does about every second.
    pub fn register(&self, store: &Store) {
        store.put(
            &format!("servers/{}", self.id()),
            &json!({"Service": SERVICE, "Address": self.addr, "Zone": "hall-0", "Version": "v1",
                "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Sequence": 1,
                "Capacity": {"Cpu": CORES, "MemMb": MEM_MB, "Gpu": 0}, "Labels": ["a", "r1"]}),
        );
    }

    /// Crashes the worker: everything on it dies, and it is back at once with a new id.
    pub fn crash(&mut self, store: &Store) -> String {
        let old = self.id();
        self.life += 1;
        {
            let mut state = self.state.lock().expect(LOCK);
            let (listed, acknowledged) = (state.listed, state.acknowledged);
            *state = State { id: self.id(), listed, acknowledged, ..State::default() };
        }
        store.remove(&format!("servers/{old}"));
        self.register(store);
        self.id()
    }

    /// Returns how many tasks run here.
    pub fn running(&self) -> usize {
        let mut state = self.state.lock().expect(LOCK);
        state.end_due(clock(self.born), self.work);
        state.running.len()
    }

    /// Returns how many ends were listed, and how many of them were acknowledged.
    pub fn ends(&self) -> (u64, u64) {
        let state = self.state.lock().expect(LOCK);
        (state.listed, state.acknowledged)
    }

    /// Returns the tasks that run here.
    pub fn tasks(&self) -> Vec<String> {
        let mut state = self.state.lock().expect(LOCK);
        state.end_due(clock(self.born), self.work);
        state.running.keys().cloned().collect()
    }
}

fn clock(born: Instant) -> u64 {
    born.elapsed().as_millis() as u64
}

impl State {
    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else { return };
        self.refuse(task, run.run);
        self.next_end += 1;
        self.listed += 1;
        self.ends.push((self.next_end, task.to_string(), run.run, how));
    }

    fn refuse(&mut self, task: &str, run: u64) {
        let highest = self.highest.entry(task.to_string()).or_default();
        *highest = (*highest).max(run);
    }

    fn end_due(&mut self, now_ms: u64, work: Duration) {
        let lapsed = now_ms >= self.lease_until_ms;
        let is_done = |run: &Run| run.spec != SERVES && run.began.elapsed() >= work;
        let due = self.running.iter().filter(|(_, run)| lapsed || is_done(run));
        let due: Vec<(String, &str)> =
            due.map(|(task, _)| (task.clone(), if lapsed { "lapsed" } else { "done" })).collect();
        due.iter().for_each(|(task, how)| self.end(task, how));
    }

    fn extend(&mut self, now_ms: u64, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(now_ms + HOLD_MAX_MS));
    }

    fn start(&mut self, now_ms: u64, order: &Value) -> Result<(), &'static str> {
        let (task, run) = (text(order, "Task"), number(order, "RunId"));
        let until_ms = number(order, "DeadlineMs");
        self.extend(now_ms, until_ms);
        if self.running.get(&task).is_some_and(|known| known.run == run) {
            return Ok(());
        }
        if until_ms <= now_ms {
            return Err("late");
        }
        let highest = self.highest.get(&task).copied().unwrap_or_default();
        if run <= highest || self.running.contains_key(&task) {
            return Err("old");
        }
        self.running.insert(task, Run { run, spec: text(order, "Spec"), began: Instant::now() });
        Ok(())
    }

    fn report(&self, now_ms: u64) -> Value {
        let figure = |run: &Run| if run.spec == SERVES { TAIL_MS } else { USED_CPU };
        let running = self.running.iter().map(|(task, r)| json!([task, r.run, "", 100, figure(r)]));
        let ends = self.ends.iter().take(MAX_LISTED_ENDS);
        let ends = ends.map(|(n, task, run, how)| json!([n, task, run, how, ""]));
        let (running, ends): (Vec<Value>, Vec<Value>) = (running.collect(), ends.collect());
        json!({"ClockMs": now_ms, "Running": running, "Finished": ends})
    }
}

fn text(order: &Value, field: &str) -> String {
    order[field].as_str().unwrap_or_default().to_string()
}

fn number(order: &Value, field: &str) -> u64 {
    order[field].as_u64().unwrap_or_default()
}

fn reply(status: u16, body: Value) -> Response {
    gaplock_serve::json_response(status, body.to_string().into_bytes())
}

async fn answer(
    shared: Arc<Mutex<State>>,
    born: Instant,
    work: Duration,
    request: FullRequest,
) -> Response {
    let order: Value = match request.body.map(|body| serde_json::from_slice(&body)) {
        Ok(Ok(order)) => order,
        _ => return reply(400, json!({})),
    };
    let expected = request.req.header("x-expect-instance").map(|v| v.last().as_str().to_string());
    {
        let now_ms = clock(born);
        let mut state = shared.lock().expect(LOCK);
        if expected.is_some_and(|expected| expected != state.id) {
            return reply(421, json!({}));
        }
        state.end_due(now_ms, work);
        let token = number(&order, "FencingToken");
        if token < state.token {
            return reply(409, json!({"ClockMs": now_ms, "Reason": "fence"}));
        }
        state.token = token;
        match request.req.url().path() {
            "/run-start" => {
                return match state.start(now_ms, &order) {
                    Ok(()) => reply(200, json!({"ClockMs": now_ms})),
                    Err(reason) => reply(409, json!({"ClockMs": now_ms, "Reason": reason})),
                };
            }
            "/run-stop" => {
                let (task, run) = (text(&order, "Task"), number(&order, "RunId"));
                state.refuse(&task, run);
                if state.running.get(&task).is_some_and(|known| known.run == run) {
                    state.end(&task, "stopped");
                }
                return reply(200, json!({"ClockMs": now_ms}));
            }
            "/pace" => return reply(200, json!({"ClockMs": now_ms})),
            "/hold" => {
                if let Some(until_ms) = order["DeadlineMs"].as_u64() {
                    state.extend(now_ms, until_ms);
                }
                let seen = number(&order, "LastSeen");
                let before = state.ends.len();
                state.ends.retain(|(n, ..)| *n > seen);
                state.acknowledged += (before - state.ends.len()) as u64;
            }
            _ => return reply(404, json!({})),
        }
    }
    let until = Instant::now() + Duration::from_millis(number(&order, "WaitMs").min(2_000));
    loop {
        {
            let mut state = shared.lock().expect(LOCK);
            state.end_due(clock(born), work);
            if !state.ends.is_empty() || Instant::now() >= until {
                return reply(200, state.report(clock(born)));
            }
        }
        task::sleep(POLL).await;
    }
}
