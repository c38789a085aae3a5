//! Starts a whole installation as processes and calls its interfaces.

use std::io;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_remote::http::Answer;
use gaplock_standin::checker::{CheckerReport, Findings};
use gaplock_types::{api, sizes, wire};
use http_types::Method;
use serde_json::Value;

use crate::calls::{ask, call, put, timed_out, wait_until};
use crate::process::Process;
use crate::relay::{self, Relay};
use crate::site;

/// The parts and settings of an installation.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The number of entries.
    pub entries: usize,
    /// The number of workers.
    pub workers: usize,
    /// The number of partitions in each failure domain.
    pub slices: u32,
    /// A service's response time without interference, in microseconds.
    pub service_us: u64,
    /// The capacity of each worker.
    pub capacity: sizes::Resources,
    /// The number of workers in each stand-in process; more than one for large fleets.
    pub workers_per_process: usize,
    /// Further settings for the entries.
    pub settings: Vec<(&'static str, String)>,
}

/// Timing settings with which a failure test takes seconds. The ratios of the defaults are kept.
pub const FAST_TIMING: [(&str, &str); 14] = [
    ("tick", "20"),
    ("lease-every", "300"),
    ("task-ttl", "3000"),
    ("silent-limit", "12000"),
    ("renew-right", "5000"),
    ("confirm-every", "500"),
    ("beat-every", "150"),
    ("member-ttl", "900"),
    ("member-refresh", "400"),
    ("config-wait", "1000"),
    ("config-max-age", "3000"),
    ("hosts-every", "300"),
    ("store-limit", "500"),
    ("worker-limit", "500"),
];

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 3,
            workers: 8,
            slices: 1,
            service_us: 4_000,
            capacity: sizes::Resources::new(16_000, 60 * 1024, 0),
            workers_per_process: 1,
            settings: FAST_TIMING.iter().map(|(k, v)| (*k, (*v).to_string())).collect(),
        }
    }
}

/// The process of an entry and its addresses.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub process: Process,
    /// The entry's name.
    pub name: String,
    /// The address for callers.
    pub callers: String,
    /// The address for health checks and metrics.
    pub health: String,
    /// The relay through which it reaches the store.
    pub store_relay: Relay,
    /// The relay through which its peers connect to it.
    pub peer_relay: Relay,
}

/// A running installation.
pub struct Cluster {
    plan: Plan,
    /// The store's process.
    pub store: Process,
    /// The store's address.
    pub store_addr: String,
    /// The host list's process.
    pub host_list: Process,
    hosts_addr: String,
    /// The workers' processes.
    pub workers: Vec<Process>,
    /// The workers' addresses.
    pub worker_addrs: Vec<String>,
    /// The hosts to publish to the host list.
    pub hosts: Vec<wire::Host>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// How many entries have been started, including those that were removed since.
    entries_started: usize,
}

/// How long a confirmation is repeated while the entry answers with 503.
const CONFIRM_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two such attempts.
const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl Cluster {
    /// Starts the stand-ins and the entries.
    ///
    /// # Errors
    /// Returns the error of the first process that did not start.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let mut store = Process::spawn("standin-store", &[], &[])?;
        let mut host_list = Process::spawn("standin-hosts", &[], &[])?;
        let mut workers = Vec::new();
        let mut worker_addrs = Vec::new();
        while worker_addrs.len() < plan.workers {
            let mut worker = spawn_worker(&plan, None)?;
            for n in 0..plan.workers_per_process.min(plan.workers - worker_addrs.len()) {
                worker_addrs.push(worker.wait_for("listening", n)?);
            }
            workers.push(worker);
        }
        let store_addr = store.wait_for("listening", 0)?;
        let hosts_addr = host_list.wait_for("listening", 0)?;
        let hosts = site::hosts(&worker_addrs, plan.capacity);
        let mut cluster = Self {
            plan,
            store,
            store_addr,
            host_list,
            hosts_addr,
            workers,
            worker_addrs,
            hosts,
            entries: Vec::new(),
            entries_started: 0,
        };
        cluster.publish_hosts().await?;
        for _ in 0..cluster.plan.entries {
            cluster.add_entry().await?;
        }
        Ok(cluster)
    }

    /// Starts one more entry and returns its index.
    ///
    /// # Errors
    /// Returns why it did not start.
    pub async fn add_entry(&mut self) -> io::Result<usize> {
        let name = format!("entry-{}", self.entries_started);
        let port = free_port()?;
        let store_relay = relay::spawn(self.store_addr.clone()).await?;
        let peer_relay = relay::spawn(format!("127.0.0.1:{port}")).await?;
        let mut args: Vec<String> = Vec::new();
        let mut arg = |name: &str, value: &str| {
            args.push(format!("--{name}"));
            args.push(value.to_string());
        };
        arg("name", &name);
        arg("domain", site::DOMAINS[self.entries_started % site::DOMAINS.len()]);
        arg("domains", &site::DOMAINS.join(","));
        arg("slices", &self.plan.slices.to_string());
        arg("store", &store_relay.addr());
        arg("hosts", &self.hosts_addr);
        arg("listen-peers", &format!("127.0.0.1:{port}"));
        arg("advertise-peers", &peer_relay.addr());
        for (key, value) in &self.plan.settings {
            arg(key, value);
        }
        let env = [
            ("GAPLOCK_PEER_SECRET", site::PEER_SECRET),
            ("GAPLOCK_BOOTSTRAP_KEY", site::BOOTSTRAP_KEY),
        ];
        let mut process = Process::spawn("gaplock-entry", &args, &env)?;
        let callers = process.wait_for("callers", 0)?;
        let health = process.wait_for("health", 0)?;
        self.entries_started += 1;
        self.entries.push(Entry { process, name, callers, health, store_relay, peer_relay });
        Ok(self.entries.len() - 1)
    }

    /// Replaces a worker with a new process at the same address.
    ///
    /// # Errors
    /// Returns why it did not start.
    pub fn replace_worker(&mut self, i: usize) -> io::Result<()> {
        self.workers[i].kill();
        let began = Instant::now();
        loop {
            let mut worker = spawn_worker(&self.plan, Some(&self.worker_addrs[i]))?;
            match worker.wait_for("listening", 0) {
                Ok(_) => {
                    self.workers[i] = worker;
                    return Ok(());
                }
                Err(e) if began.elapsed() > Duration::from_secs(5) => return Err(e),
                Err(_) => std::thread::sleep(Duration::from_millis(100)),
            }
        }
    }

    /// Publishes `hosts` to the host list.
    ///
    /// # Errors
    /// Returns an error if the host list did not answer.
    pub async fn publish_hosts(&self) -> io::Result<()> {
        let body = serde_json::to_vec(&self.hosts).expect("a host list always serializes to JSON");
        put(&self.hosts_addr, "/set", body).await.map(drop)
    }

    /// Makes the host list hang, or answer again.
    ///
    /// # Errors
    /// Returns an error if the host list did not answer.
    pub async fn set_host_list_down(&self, down: bool) -> io::Result<()> {
        put(&self.hosts_addr, "/down", down.to_string().into_bytes()).await.map(drop)
    }

    /// Sets the store's faults, for example `{"down":true}`.
    ///
    /// # Errors
    /// Returns an error if the store did not answer.
    pub async fn set_store_faults(&self, faults: Value) -> io::Result<()> {
        put(&self.store_addr, "/faults", faults.to_string().into_bytes()).await.map(drop)
    }

    /// Sends a request directly to a worker stand-in, not through an entry.
    ///
    /// # Errors
    /// Returns an error if the worker did not answer.
    pub async fn send_to_worker(&self, i: usize, path: &str, body: Value) -> io::Result<()> {
        put(&self.worker_addrs[i], path, body.to_string().into_bytes()).await.map(drop)
    }

    /// Reads the report of every worker's checker and combines them.
    ///
    /// # Errors
    /// Returns the error of the first worker that did not answer.
    pub async fn collect_findings(&self) -> io::Result<Findings> {
        let mut reports = Vec::new();
        for addr in &self.worker_addrs {
            let answer = call(addr, Method::Get, "/judge", &[], Vec::new(), 10_000).await?;
            let report: Option<CheckerReport> = answer.json();
            reports
                .push(report.ok_or_else(|| io::Error::other("cannot parse a checker's report"))?);
        }
        Ok(Findings::of(&reports, gaplock_remote::clock::now().0))
    }

    /// Sends a request with a key to an entry's listener for callers.
    ///
    /// # Errors
    /// Returns an error if no complete answer arrives.
    pub async fn ask(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: Value,
    ) -> io::Result<Answer> {
        let addr = self.entries[entry].callers.clone();
        ask(&addr, method, path, key, headers, body).await
    }

    /// Posts an intent and confirms the resulting plan.
    ///
    /// # Errors
    /// Returns the text of the refusal.
    pub async fn apply_intent(&self, entry: usize, key: &str, intent: Value) -> io::Result<Value> {
        let plan = self.ask(entry, Method::Post, "/v1/intents", key, &[], intent).await?;
        if plan.status != 200 {
            return Err(io::Error::other(String::from_utf8_lossy(&plan.body).into_owned()));
        }
        let plan: api::Plan = plan.json().ok_or_else(|| timed_out("a plan"))?;
        let done = self.confirm(entry, key, &plan).await?;
        if done.status >= 300 {
            return Err(io::Error::other(String::from_utf8_lossy(&done.body).into_owned()));
        }
        done.json().ok_or_else(|| timed_out("a confirmation"))
    }

    /// Confirms a plan, and repeats that while the entry answers with 503 ("not run, try again").
    ///
    /// # Errors
    /// Returns an error if no complete answer arrives.
    pub async fn confirm(&self, entry: usize, key: &str, plan: &api::Plan) -> io::Result<Answer> {
        let body = serde_json::to_value(plan).expect("a plan always serializes to JSON");
        let began = Instant::now();
        loop {
            let path = "/v1/plans/confirm";
            let done = self.ask(entry, Method::Post, path, key, &[], body.clone()).await?;
            if done.status != 503 || began.elapsed() > CONFIRM_RETRY_TIMEOUT {
                return Ok(done);
            }
            task::sleep(CONFIRM_RETRY_INTERVAL).await;
        }
    }

    /// Waits until an entry reports that it is ready.
    ///
    /// # Errors
    /// Returns an error if that takes longer than `timeout`.
    pub async fn wait_ready(&self, entry: usize, timeout: Duration) -> io::Result<Duration> {
        let addr = self.entries[entry].health.clone();
        wait_until(timeout, "readiness", || async {
            let answer = call(&addr, Method::Get, "/ready", &[], Vec::new(), 500).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await
    }

    /// Returns the list of workers that an entry serves.
    ///
    /// # Errors
    /// Returns an error if the list cannot be read.
    pub async fn worker_rows(&self, entry: usize) -> io::Result<Vec<api::WorkerRow>> {
        let path = "/v1/workers";
        let answer =
            self.ask(entry, Method::Get, path, site::OPERATOR_KEY, &[], Value::Null).await?;
        answer.json().ok_or_else(|| io::Error::other("cannot parse the list of workers"))
    }

    /// Waits until an entry lists at least `count` workers as usable under some owner.
    ///
    /// # Errors
    /// Returns an error if that takes longer than `timeout`.
    pub async fn wait_usable(
        &self,
        entry: usize,
        count: usize,
        timeout: Duration,
    ) -> io::Result<Duration> {
        wait_until(timeout, "usable workers", || async {
            let rows = self.worker_rows(entry).await.unwrap_or_default();
            rows.iter().filter(|r| r.state == "usable").count() >= count
        })
        .await
    }

    /// Waits until service requests are answered through an entry.
    ///
    /// # Errors
    /// Returns an error if that takes longer than `timeout`.
    pub async fn wait_serving(&self, entry: usize, timeout: Duration) -> io::Result<Duration> {
        let key = site::PARTNER_KEYS[0].1;
        let path = format!("/v1/services/{}/check", site::SERVICE);
        wait_until(timeout, "a served request", || async {
            let body = serde_json::json!({"warm": true});
            let answer = self.ask(entry, Method::Post, &path, key, &[], body).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await
    }

    /// Returns the value of an entry's metric, summed over its labels.
    ///
    /// # Errors
    /// Returns an error if the metrics cannot be read.
    pub async fn metric(&self, entry: usize, name: &str) -> io::Result<f64> {
        let addr = self.entries[entry].health.clone();
        let answer = call(&addr, Method::Get, "/metrics", &[], Vec::new(), 2_000).await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let value = |line: &str| line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
        let lines = text.lines().filter(|l| l.split(['{', ' ']).next() == Some(name));
        Ok(lines.filter_map(value).sum())
    }
}

fn spawn_worker(plan: &Plan, addr: Option<&str>) -> io::Result<Process> {
    let mut args = vec![
        "--cpu".to_string(),
        plan.capacity.cpu.0.to_string(),
        "--mem".to_string(),
        plan.capacity.mem.0.to_string(),
        "--service-us".to_string(),
        plan.service_us.to_string(),
        "--usage-lag-ms".to_string(),
        "500".to_string(),
        "--count".to_string(),
        plan.workers_per_process.to_string(),
    ];
    if let Some(addr) = addr {
        args.extend(["--listen".to_string(), addr.to_string()]);
    }
    Process::spawn("standin-worker", &args, &[])
}

fn free_port() -> io::Result<u16> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}
