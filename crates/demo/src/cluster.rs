//! A whole installation of processes, with calls to its interfaces.

use std::io;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_remote::http::Answer;
use gaplock_standin::judge::{Findings, Verdicts};
use gaplock_types::{api, sizes, wire};
use http_types::Method;
use serde_json::Value;

use crate::calls::{ask, call, put, timed_out, wait_until};
use crate::process::Process;
use crate::relay::{self, Relay};
use crate::site;

/// What an installation consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Entries.
    pub entries: usize,
    /// Workers.
    pub workers: usize,
    /// Partitions in each failure domain.
    pub slices: u32,
    /// A service's time alone, in microseconds.
    pub service_us: u64,
    /// Each worker's capacity.
    pub capacity: sizes::Resources,
    /// Workers in each stand-in process; more than one for large fleets.
    pub workers_per_process: usize,
    /// Further settings of the entries.
    pub settings: Vec<(&'static str, String)>,
}

/// Timing that lets a failure test run in seconds; every ratio of the defaults is kept.
pub const FAST: [(&str, &str); 14] = [
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
            settings: FAST.iter().map(|(k, v)| (*k, (*v).to_string())).collect(),
        }
    }
}

/// An entry's process with its addresses.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub process: Process,
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub callers: String,
    /// Where health is served.
    pub health: String,
    /// The relay to the store.
    pub store_relay: Relay,
    /// The relay that peers connect through.
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
    /// The workers' own addresses.
    pub worker_addrs: Vec<String>,
    /// The hosts as last told to the host list.
    pub hosts: Vec<wire::Host>,
    /// The entries.
    pub entries: Vec<Entry>,
    started: usize,
}

const CONFIRM_LIMIT: Duration = Duration::from_secs(5);
const CONFIRM_AGAIN: Duration = Duration::from_millis(200);

impl Cluster {
    /// Starts the stand-ins and the entries.
    ///
    /// # Errors
    /// Returns the first process that did not start.
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
            started: 0,
        };
        cluster.publish_hosts().await?;
        for _ in 0..cluster.plan.entries {
            cluster.add_entry().await?;
        }
        Ok(cluster)
    }

    /// Starts one more entry.
    ///
    /// # Errors
    /// Returns why it did not start.
    pub async fn add_entry(&mut self) -> io::Result<usize> {
        let name = format!("entry-{}", self.started);
        let port = free_port()?;
        let store_relay = relay::spawn(self.store_addr.clone()).await?;
        let peer_relay = relay::spawn(format!("127.0.0.1:{port}")).await?;
        let mut args: Vec<String> = Vec::new();
        let mut arg = |name: &str, value: &str| {
            args.push(format!("--{name}"));
            args.push(value.to_string());
        };
        arg("name", &name);
        arg("domain", site::DOMAINS[self.started % site::DOMAINS.len()]);
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
        self.started += 1;
        self.entries.push(Entry { process, name, callers, health, store_relay, peer_relay });
        Ok(self.entries.len() - 1)
    }

    /// Replaces a worker by a new process under the same address.
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

    /// Tells the host list which hosts there are.
    ///
    /// # Errors
    /// Returns why the list did not take it.
    pub async fn publish_hosts(&self) -> io::Result<()> {
        let body = serde_json::to_vec(&self.hosts).expect("plain data serialises");
        put(&self.hosts_addr, "/set", body).await.map(drop)
    }

    /// Lets the host list hang, or answer again.
    ///
    /// # Errors
    /// Returns why the list did not take it.
    pub async fn set_host_list_down(&self, down: bool) -> io::Result<()> {
        put(&self.hosts_addr, "/down", down.to_string().into_bytes()).await.map(drop)
    }

    /// Sets the store's faults, as `{"down":true}`.
    ///
    /// # Errors
    /// Returns why the store did not take them.
    pub async fn set_store_faults(&self, faults: Value) -> io::Result<()> {
        put(&self.store_addr, "/faults", faults.to_string().into_bytes()).await.map(drop)
    }

    /// Sends something to a worker stand-in, past gaplock.
    ///
    /// # Errors
    /// Returns why the worker did not take it.
    pub async fn send_to_worker(&self, i: usize, path: &str, body: Value) -> io::Result<()> {
        put(&self.worker_addrs[i], path, body.to_string().into_bytes()).await.map(drop)
    }

    /// Reads every worker's judge.
    ///
    /// # Errors
    /// Returns the first worker that did not answer.
    pub async fn collect_findings(&self) -> io::Result<Findings> {
        let mut all = Vec::new();
        for addr in &self.worker_addrs {
            let answer = call(addr, Method::Get, "/judge", &[], Vec::new(), 10_000).await?;
            let verdicts: Option<Verdicts> = answer.json();
            all.push(verdicts.ok_or_else(|| io::Error::other("the judge cannot be read"))?);
        }
        Ok(Findings::of(&all, gaplock_remote::clock::now().0))
    }

    /// Sends a request to an entry's callers' listener with a key.
    ///
    /// # Errors
    /// Returns an error where no whole answer came.
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

    /// States an intent, and confirms its plan.
    ///
    /// # Errors
    /// Returns the refusal as text.
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

    /// Confirms a plan; while the entry says "not run, come back", does so.
    ///
    /// # Errors
    /// Returns an error where no whole answer came.
    pub async fn confirm(&self, entry: usize, key: &str, plan: &api::Plan) -> io::Result<Answer> {
        let body = serde_json::to_value(plan).expect("plain data serialises");
        let began = Instant::now();
        loop {
            let path = "/v1/plans/confirm";
            let done = self.ask(entry, Method::Post, path, key, &[], body.clone()).await?;
            if done.status != 503 || began.elapsed() > CONFIRM_LIMIT {
                return Ok(done);
            }
            task::sleep(CONFIRM_AGAIN).await;
        }
    }

    /// Waits until an entry says that it is ready.
    ///
    /// # Errors
    /// Returns an error after `limit`.
    pub async fn wait_ready(&self, entry: usize, limit: Duration) -> io::Result<Duration> {
        let addr = self.entries[entry].health.clone();
        wait_until(limit, "readiness", || async {
            let answer = call(&addr, Method::Get, "/ready", &[], Vec::new(), 500).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await
    }

    /// Returns the rows of every worker as an entry lists them.
    ///
    /// # Errors
    /// Returns an error where the list cannot be read.
    pub async fn worker_rows(&self, entry: usize) -> io::Result<Vec<api::WorkerRow>> {
        let path = "/v1/workers";
        let answer =
            self.ask(entry, Method::Get, path, site::OPERATOR_KEY, &[], Value::Null).await?;
        answer.json().ok_or_else(|| io::Error::other("the workers cannot be read"))
    }

    /// Waits until `count` workers are usable under some owner, by an entry's list.
    ///
    /// # Errors
    /// Returns an error after `limit`.
    pub async fn wait_usable(
        &self,
        entry: usize,
        count: usize,
        limit: Duration,
    ) -> io::Result<Duration> {
        wait_until(limit, "usable workers", || async {
            let rows = self.worker_rows(entry).await.unwrap_or_default();
            rows.iter().filter(|r| r.state == "usable").count() >= count
        })
        .await
    }

    /// Waits until requests are answered through an entry.
    ///
    /// # Errors
    /// Returns an error after `limit`.
    pub async fn wait_serving(&self, entry: usize, limit: Duration) -> io::Result<Duration> {
        let key = site::PARTNER_KEYS[0].1;
        let path = format!("/v1/services/{}/check", site::SERVICE);
        wait_until(limit, "a served request", || async {
            let body = serde_json::json!({"warm": true});
            let answer = self.ask(entry, Method::Post, &path, key, &[], body).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await
    }

    /// Reads a metric's value at an entry, summed over its labels.
    ///
    /// # Errors
    /// Returns an error where the metrics cannot be read.
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
