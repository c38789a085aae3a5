//! A small deployment on loopback addresses: the project's daemons as separate processes, with the
//! project's own stand-ins of the platform.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{env, fs, io, process, thread};

use async_std::task;
use gaplock_jobs::JobKey;
use gaplock_platform_standin::fleet::{self, Fleet, SERVICE};
use gaplock_platform_standin::relay::{self, Relay};
use gaplock_platform_standin::site;
use gaplock_platform_standin::store::{self, Store};
use serde_json::{json, Value};

use crate::limited;

/// The key of the leader's claim.
const LEADER_KEY: &str = "gaplock/leader";

/// The users' build.
const PROGRAM: &str = "target/release/gaplock-node";

/// Where the daemons store what they have learned.
const LEARNED_KEY: &str = "gaplock/learnt";

/// `ValueBytes` of the settings: the largest value that the platform's store takes.
pub const VALUE_BYTES: usize = 1_048_576;

/// The bounds of the sheet of `hvs-gaplock`.
const SHEET: &str = include_str!("bounds.json");

/// How long the deployment may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Why a case ended early.
#[derive(Debug)]
pub struct CannotRun(pub String);

impl From<io::Error> for CannotRun {
    fn from(e: io::Error) -> Self {
        Self(e.to_string())
    }
}

/// What was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Begins an empty record.
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.began.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        self.lines.lock().expect("no holder panics").push(line);
    }

    /// Writes the record to the file named by `RECORD`, if it is set.
    pub fn write(&self) -> io::Result<()> {
        let Ok(path) = env::var("RECORD") else { return Ok(()) };
        fs::write(path, self.lines.lock().expect("no holder panics").join("\n") + "\n")
    }
}

/// One daemon.
pub struct Host {
    pub name: String,
    pub callers: String,
    readiness: String,
    /// The channels from this host to the store.
    pub store_link: Relay,
    /// When its process was started.
    pub started_at: Instant,
    /// The channels from this host to each other host, by the position of that host.
    pub peer_links: Vec<(usize, Relay)>,
    process: Child,
    log: Arc<Mutex<Log>>,
    _view: Store,
    _limited: limited::Proxy,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ended = self.process.kill();
        let _reaped = self.process.wait();
    }
}

/// A running deployment; dropping it ends its processes.
pub struct Deployment {
    pub store: Store,
    pub fleet: Fleet,
    pub hosts: Vec<Host>,
    refused: limited::Refused,
    pub record: Record,
    dir: PathBuf,
    ips: Vec<String>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        let _removed = fs::remove_dir_all(&self.dir);
    }
}

fn route(queue: &str) -> Value {
    json!({"Name": queue, "Host": site::HOST, "PathPrefix": site::PREFIX, "TimeoutMs": 3000,
        "TargetLatencyMs": 250, "Priority": 0, "Service": SERVICE, "MaxAttempts": 3, "Extension": 1.5})
}

/// Starts the stand-ins and `count` daemons, and waits until a leader knows all workers.
pub fn open(count: usize, workers: usize, work: Duration) -> Result<Deployment, CannotRun> {
    open_with(count, workers, work, &Changes::default())
}

/// What differs from the settings of the sheet.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// Bounds with other values.
    pub bounds: Vec<(&'static str, Value)>,
    /// The host's share of a core.
    pub cpu_share: Option<f64>,
    /// The service that knows the workers' machines, if there is one.
    pub cloud: Option<Value>,
}

/// As [`open`], with other settings.
pub fn open_with(
    count: usize,
    workers: usize,
    work: Duration,
    changes: &Changes,
) -> Result<Deployment, CannotRun> {
    let program = PathBuf::from(PROGRAM);
    if !program.exists() {
        return Err(CannotRun(format!("{} is not built", program.display())));
    }
    let dir = env::temp_dir().join(format!("gaplock-review-2-{}", process::id()));
    fs::create_dir_all(&dir)?;
    let store = task::block_on(store::bind())?;
    let fleet = task::block_on(fleet::spawn(&store, workers, work))?;
    let limits = json!({"MaxBodyBytes": 262_144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000});
    store.put(
        "op/config",
        &json!({"Version": 1, "Routes": [route("checks")], "Limits": limits,
            "Services": [{"Name": SERVICE, "Preconditions": true}]}),
    );
    let refused = limited::Refused::default();
    let id = process::id();
    // One more host may be added.
    let ips: Vec<String> = (0..=count)
        .map(|n| format!("127.{}.{}.{}", 60 + id % 150, id / 150 % 250, n + 1))
        .collect();
    let mut hosts = Vec::new();
    for n in 0..count {
        hosts.push(start_host(&program, &dir, n, &ips, &store, &refused, changes)?);
    }
    let record = Record::new();
    let deployment = Deployment { store, fleet, hosts, refused, record, dir, ips };
    deployment.wait_until_ready(workers)?;
    Ok(deployment)
}

/// The ports of a daemon; each one has an address of its own.
const CALLERS: u16 = 8161;
const READINESS: u16 = 8167;
const PEERS: u16 = 7720;

fn start_host(
    program: &PathBuf,
    dir: &PathBuf,
    n: usize,
    ips: &[String],
    store: &Store,
    refused: &limited::Refused,
    changes: &Changes,
) -> Result<Host, CannotRun> {
    let ip = &ips[n];
    let mut peer_links = Vec::new();
    let mut replacements = Vec::new();
    for (at, other) in ips.iter().enumerate().filter(|(at, _)| *at != n) {
        let addr: SocketAddr = format!("{other}:{PEERS}").parse().map_err(io::Error::other)?;
        let link = task::block_on(relay::bind(addr))?;
        replacements.push((addr.to_string(), link.addr().to_string()));
        peer_links.push((at, link));
    }
    let view = task::block_on(store.bind_view(replacements))?;
    let limited = task::block_on(limited::bind(view.addr(), VALUE_BYTES, refused.clone()))?;
    let store_link = task::block_on(relay::bind(limited.addr()))?;
    let name = format!("edge-{n}");
    let (callers, readiness) = (format!("{ip}:{CALLERS}"), format!("{ip}:{READINESS}"));
    let mut bounds: Value = serde_json::from_str(SHEET).map_err(io::Error::other)?;
    for (name, value) in &changes.bounds {
        bounds[*name] = value.clone();
    }
    let cpu_share = changes.cpu_share.unwrap_or(0.25);
    let settings = json!({
        "NodeName": name, "Role": "node", "MachineClass": "edge", "Serves": ["edge"], "Ip": ip,
        "Zone": format!("hall-{}", n % 2), "Region": "ljubljana",
        "Zones": {"hall-0": "ljubljana", "hall-1": "ljubljana"},
        "Listen": {"Front": callers, "Readiness": readiness}, "PortRange": [PEERS, PEERS + 15],
        "Bootstrap": true,
        "Cloud": changes.cloud,
        "Limits": {"CpuShare": cpu_share, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0},
        "DataDir": null, "HeartbeatMs": 1100, "Bounds": bounds, "Commands": "request",
        "platform": {"Address": store_link.addr().to_string(), "form": "kv", "WritesPerS": 400,
            "ReadsPerS": 2000, "RetentionS": 20, "ValueBytes": VALUE_BYTES, "MinTtlMs": 1000},
    });
    let path = dir.join(format!("{name}.json"));
    fs::write(&path, settings.to_string())?;
    let started_at = Instant::now();
    let mut process = Command::new(program)
        .args(["--metrics-ip", ip])
        .env("GAPLOCK_CONFIG", &path)
        .env("ASYNC_STD_THREAD_COUNT", "1")
        .stdout(Stdio::piped())
        .spawn()?;
    let log = process.stdout.take().map(collect).unwrap_or_default();
    Ok(Host {
        name,
        callers,
        readiness,
        store_link,
        started_at,
        peer_links,
        process,
        log,
        _view: view,
        _limited: limited,
    })
}

impl Deployment {
    fn wait_until_ready(&self, workers: usize) -> Result<(), CannotRun> {
        let began = Instant::now();
        while began.elapsed() < READY_LIMIT {
            let ready = self.hosts.iter().all(Host::is_ready);
            if ready && self.leader().is_some() && self.knows_workers(workers) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(CannotRun("the deployment did not become ready".to_string()))
    }

    /// Adds a host, with other settings.
    pub fn add_host(&mut self, changes: &Changes) -> Result<(), CannotRun> {
        let program = PathBuf::from(PROGRAM);
        let n = self.hosts.len();
        let host =
            start_host(&program, &self.dir, n, &self.ips, &self.store, &self.refused, changes)?;
        self.hosts.push(host);
        Ok(())
    }

    /// Returns whether the leader has stored a record of each of the first `workers` workers.
    pub fn knows_workers(&self, workers: usize) -> bool {
        let key = |n| format!("gaplock/roster/{}", self.fleet.current_incarnation(n));
        (0..workers).all(|n| self.store.get(&key(n)).is_some())
    }

    /// Returns the position of the host that leads.
    pub fn leader(&self) -> Option<usize> {
        let claim = self.store.get(LEADER_KEY)?;
        self.hosts.iter().position(|host| claim["host"] == host.name.as_str())
    }

    /// Submits at a host and records the answer.
    pub fn submit(&self, host: usize, key: JobKey, body: &str) -> Option<u16> {
        let status = site::submit(&self.hosts[host].callers, key, body);
        self.record.note(format!("POST {key} at {} -> {status:?}  {body}", self.hosts[host].name));
        status
    }

    /// Submits at a host and records the answer only if it is not a 200.
    pub fn submit_quietly(&self, host: usize, key: JobKey, body: &str) -> Option<u16> {
        let status = site::submit(&self.hosts[host].callers, key, body);
        if status != Some(200) {
            self.record
                .note(format!("POST {key} at {} -> {status:?}  {body}", self.hosts[host].name));
        }
        status
    }

    /// Returns the values that were larger than the store takes.
    pub fn refused(&self) -> Vec<(String, usize)> {
        self.refused.lock().expect("no holder panics").clone()
    }

    /// Records how large the stored record of what was learned is.
    pub fn record_learned(&self) {
        let size = self.store.get(LEARNED_KEY).map_or(0, |value| value.to_string().len());
        self.record.note(format!("the value under {LEARNED_KEY} has {size} bytes"));
    }

    /// Cancels at a host and records the answer.
    pub fn cancel(&self, host: usize, key: JobKey) -> Option<u16> {
        let status = site::cancel(&self.hosts[host].callers, key);
        self.record.note(format!("DELETE {key} at {} -> {status:?}", self.hosts[host].name));
        status
    }

    /// Asks a host for a state and records the answer.
    pub fn state(&self, host: usize, key: JobKey) -> String {
        let answer = site::call(&self.hosts[host].callers, "GET", &site::path(key), "");
        let shown = answer.map(|a| format!("{} {}", a.status, a.body)).unwrap_or_default();
        self.record.note(format!("GET {key} at {} -> {shown}", self.hosts[host].name));
        shown
    }

    /// Records what a daemon logged of some events, and how much it logged.
    pub fn record_log(&self, host: usize, events: &[&str]) {
        let host = &self.hosts[host];
        let log = host.log.lock().expect("no holder panics");
        let wanted =
            |line: &&String| events.iter().any(|event| line.contains(&format!("\"{event}\"")));
        for line in log.first.iter().chain(&log.last).filter(wanted).take(8) {
            self.record.note(format!("{} logs {line}", host.name));
        }
        self.record
            .note(format!("{} has logged {} lines, {} bytes", host.name, log.lines, log.bytes));
    }
}

/// What a daemon has written: its first and its last lines, and how much it was.
#[derive(Default)]
struct Log {
    first: Vec<String>,
    last: VecDeque<String>,
    lines: u64,
    bytes: u64,
}

/// How many of the first and of the last lines are kept.
const KEPT_LINES: usize = 2_000;

impl Log {
    fn add(&mut self, line: String) {
        self.lines += 1;
        self.bytes += line.len() as u64 + 1;
        if self.first.len() < KEPT_LINES {
            self.first.push(line);
            return;
        }
        self.last.push_back(line);
        if self.last.len() > KEPT_LINES {
            self.last.pop_front();
        }
    }
}

/// Reads a daemon's output as a collector of logs does, until it ends.
fn collect(output: ChildStdout) -> Arc<Mutex<Log>> {
    let log: Arc<Mutex<Log>> = Arc::default();
    let shared = Arc::clone(&log);
    thread::spawn(move || {
        for line in BufReader::with_capacity(1 << 20, output).lines().map_while(Result::ok) {
            shared.lock().expect("no holder panics").add(line);
        }
    });
    log
}

impl Host {
    fn is_ready(&self) -> bool {
        site::call(&self.readiness, "GET", "/ready", "").is_some_and(|a| a.status == 200)
    }
}

/// Waits until a condition is met.
pub fn wait(limit: Duration, mut met: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if met() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
