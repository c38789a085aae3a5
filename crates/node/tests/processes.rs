//! The real daemon in several processes, against stand-ins of the platform.

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_platform_standin::store::{self, Store};
use gaplock_platform_standin::worker::{self, Fleet, SERVICE};
use serde_json::{json, Value};

const HOST: &str = "jobs.example";
const PREFIX: &str = "/checks/";
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A site of several hosts; their processes end with it.
struct Site {
    store: Store,
    fleet: Fleet,
    hosts: Vec<Host>,
}

struct Host {
    name: String,
    callers: String,
    readiness: String,
    process: Child,
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Err(e) = host.process.kill() {
                eprintln!("{} had ended: {e}", host.name);
            }
            host.process.wait().expect("a child can be waited for");
        }
    }
}

/// Returns an address whose port was free a moment ago.
fn free_addr() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the kernel has a free port");
    listener.local_addr().expect("it is bound").to_string()
}

fn port_of(addr: &str) -> u16 {
    addr.rsplit(':').next().and_then(|p| p.parse().ok()).expect("it has a port")
}

fn spawn_host(n: usize, store: &Store) -> Host {
    let name = format!("edge-{n}");
    let (callers, readiness, peers) = (free_addr(), free_addr(), port_of(&free_addr()));
    let text = json!({
        "NodeName": name, "Ip": "127.0.0.1", "Zone": "hall",
        "Listen": {"Front": callers, "Readiness": readiness},
        "PortRange": [peers, peers + 1], "Limits": {"CpuShare": 0.25},
        "Bounds": {"GraceS": 3}, "platform": {"Address": store.addr().to_string(), "MinTtlMs": 1000},
    });
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("{}-{}.json", name, port_of(&callers)));
    fs::write(&path, text.to_string()).expect("the settings can be written");
    let metrics = port_of(&free_addr()).to_string();
    let process = Command::new(env!("CARGO_BIN_EXE_gaplock-node"))
        .args(["--metrics-port", &metrics])
        .env("GAPLOCK_CONFIG", &path)
        .stdout(Stdio::null())
        .spawn()
        .expect("the daemon starts");
    Host { name, callers, readiness, process }
}

fn open_site(hosts: usize, workers: usize, work: Duration) -> Site {
    let store = task::block_on(store::bind()).expect("the store binds");
    let fleet = task::block_on(worker::spawn(&store, workers, work)).expect("workers bind");
    let route = json!({"Name": "checks", "Host": HOST, "PathPrefix": PREFIX, "TimeoutMs": 3000,
        "TargetLatencyMs": 250, "Priority": 0, "Service": SERVICE, "MaxAttempts": 3,
        "Extension": 1.5});
    let limits = json!({"MaxBodyBytes": 262_144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000});
    let services = json!([{"Name": SERVICE, "Preconditions": true}]);
    let config = json!({"Version": 1, "Routes": [route], "Services": services, "Limits": limits});
    store.put("op/config", &config);
    let hosts = (0..hosts).map(|n| spawn_host(n, &store)).collect();
    let site = Site { store, fleet, hosts };
    for host in &site.hosts {
        wait_for("readiness", || status(&host.readiness, "GET", "/ready", "") == Some(200));
    }
    site
}

fn wait_for(what: &str, mut met: impl FnMut() -> bool) {
    let began = Instant::now();
    while !met() {
        assert!(began.elapsed() < WAIT_LIMIT, "waited too long for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends one request and returns status and body.
fn call(addr: &str, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n");
    let len = body.len();
    write!(stream, "{head}Content-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}")
        .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let code = text.split(' ').nth(1)?.parse().ok()?;
    let rest = text.split("\r\n\r\n").nth(1).unwrap_or_default().to_string();
    Some((code, rest))
}

fn status(addr: &str, method: &str, path: &str, body: &str) -> Option<u16> {
    call(addr, method, path, body).map(|(code, _)| code)
}

fn job_path(key: u64) -> String {
    format!("{PREFIX}{key:016x}")
}

fn two_steps() -> String {
    let step = json!({"Count": 6, "Cpu": 1000, "MemMb": 256, "EstimateMs": 500});
    let second = json!({"Count": 4, "Cpu": 1000, "MemMb": 256, "After": [0]});
    json!({"Spec": "text", "Steps": [step, second]}).to_string()
}

fn state(site: &Site, host: usize, key: u64) -> Option<String> {
    let (code, body) = call(&site.hosts[host].callers, "GET", &job_path(key), "")?;
    let answer: Value = serde_json::from_str(&body).ok()?;
    (code == 200).then(|| answer["State"].as_str().map(str::to_string))?
}

fn is_completed(site: &Site, host: usize, key: u64) -> bool {
    state(site, host, key).as_deref() == Some("completed")
}

/// Returns the position of the host that leads.
fn leader(site: &Site) -> usize {
    let record = site.store.get("gaplock/leader").expect("there is a leader");
    let name = record["host"].as_str().expect("the record names a host");
    site.hosts.iter().position(|h| h.name == name).expect("it is one of ours")
}

#[test]
fn a_job_handed_to_any_host_completes_and_is_shown_by_all() {
    let site = open_site(3, 4, Duration::from_millis(200));
    for host in 0..3 {
        let key = 10 + host as u64;
        let addr = &site.hosts[host].callers;
        assert_eq!(status(addr, "POST", &job_path(key), &two_steps()), Some(200));
        assert_eq!(status(addr, "POST", &job_path(key), &two_steps()), Some(200), "sent again");
    }
    for host in 0..3 {
        for key in 10..13 {
            wait_for("completion", || is_completed(&site, host, key));
        }
    }
    assert_eq!(site.fleet.starts(), 30);
    assert!(site.fleet.twice().is_empty());
    let addr = &site.hosts[0].callers;
    assert_eq!(status(addr, "GET", &job_path(99), ""), Some(410));
    assert_eq!(status(addr, "GET", "/nowhere/", ""), Some(404));
    assert_eq!(call(addr, "GET", PREFIX, "").map(|(_, b)| b).as_deref(), Some(r#"{"Pending":0}"#));
}

#[test]
fn tasks_survive_their_leader() {
    let mut site = open_site(3, 4, Duration::from_millis(3_000));
    let first = leader(&site);
    let other = (first + 1) % 3;
    let addr = site.hosts[other].callers.clone();
    assert_eq!(status(&addr, "POST", &job_path(1), &two_steps()), Some(200));
    wait_for("the first starts", || site.fleet.starts() == 6);
    site.hosts[first].process.kill().expect("it runs");
    wait_for("another leader", || {
        site.store.get("gaplock/leader").is_some() && leader(&site) != first
    });
    wait_for("completion", || is_completed(&site, other, 1));
    assert_eq!(site.fleet.starts(), 10, "a task was started again");
    assert!(site.fleet.twice().is_empty());
}

#[test]
fn a_job_is_refused_at_once_while_the_store_is_away() {
    let site = open_site(2, 2, Duration::from_millis(300));
    let addr = &site.hosts[0].callers;
    assert_eq!(status(addr, "POST", &job_path(1), &two_steps()), Some(200));
    site.store.set_down(true);
    let began = Instant::now();
    assert_eq!(status(addr, "POST", &job_path(2), &two_steps()), Some(503));
    assert!(began.elapsed() < Duration::from_millis(1_000), "the refusal was held back");
    wait_for("what was accepted to run on", || site.fleet.starts() == 10);
    site.store.set_down(false);
    wait_for("completion", || is_completed(&site, 0, 1));
    assert_eq!(status(addr, "GET", &job_path(2), ""), Some(410), "a refused job is known");
    assert_eq!(status(addr, "POST", &job_path(2), &two_steps()), Some(200));
    wait_for("completion", || is_completed(&site, 1, 2));
    assert_eq!(site.fleet.starts(), 20);
}

#[test]
fn a_cancelled_job_is_shown_as_such_and_stops() {
    let site = open_site(2, 2, Duration::from_secs(30));
    let addr = &site.hosts[1].callers;
    assert_eq!(status(addr, "POST", &job_path(1), &two_steps()), Some(200));
    wait_for("the first starts", || site.fleet.starts() == 6);
    assert_eq!(status(addr, "DELETE", &job_path(1), ""), Some(200));
    assert_eq!(status(addr, "DELETE", &job_path(5), ""), Some(410));
    wait_for("the state", || state(&site, 0, 1).as_deref() == Some("canceled"));
    assert_eq!(site.fleet.starts(), 6);
}
