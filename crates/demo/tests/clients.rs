//! Crowds of clients that ignore the limits, against a real `gaplock-entry` on each of its listeners.
//!
//! As in the tests of `gaplock-node`, the checks do not depend on the machine's speed.

use std::time::{Duration, Instant};
use std::{fs, thread};

use async_std::task;
use gaplock_demo::cluster::{Cluster, Plan};
use gaplock_platform_standin::crowd::{self, Misbehaviour};
use gaplock_platform_standin::site;

/// What the clients of an entry may hold, in megabytes, and its callers' connections.
const SETTINGS: [(&str, &str); 2] = [("client-memory", "16"), ("max-connections", "64")];

/// The memory that an entry must stay within: that of its clients, and three times as much of its own.
const MAX_MEMORY: u64 = 64_000_000;

/// The descriptors that it must stay within: the connections of all classes, and as many of its own.
const MAX_DESCRIPTORS: usize = 208;

/// How many clients send at a time, and how much each of them sends at most.
const CLIENTS: usize = 40;
const CLIENT_BYTES: usize = 3 << 20;

/// How many clients fall silent.
const SILENT_CLIENTS: usize = 300;

const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const CLOSE_LIMIT: Duration = Duration::from_secs(60);

fn check_limits(cluster: &Cluster, kind: Misbehaviour) {
    let proc = format!("/proc/{}", cluster.entries[0].process.id());
    let status = fs::read_to_string(format!("{proc}/status")).expect("the process runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    let memory = peak.expect("the process runs") * 1_024;
    assert!(memory <= MAX_MEMORY, "{kind}: {memory} bytes of memory");
    let open = fs::read_dir(format!("{proc}/fd")).expect("the process runs").count();
    assert!(open <= MAX_DESCRIPTORS, "{kind}: {open} descriptors");
}

/// Waits until an ordinary request is answered on each listener; one without a key gets a 401.
fn answers(cluster: &Cluster) {
    let entry = &cluster.entries[0];
    for (addr, path, status) in [(&entry.callers, "/v1/jobs", 401), (&entry.health, "/health", 200)]
    {
        let began = Instant::now();
        while site::call(addr, "GET", path, "").map(|a| a.status) != Some(status) {
            assert!(began.elapsed() < STEP_TIMEOUT, "no answer at {addr}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn withstand(cluster: &Cluster, addr: &str, kind: Misbehaviour, clients: usize) {
    let mut crowd = crowd::send(addr, kind, clients, CLIENT_BYTES);
    check_limits(cluster, kind);
    answers(cluster);
    if kind.is_endless() {
        assert_eq!(crowd.wait_closed(CLOSE_LIMIT), 0, "{kind}: open connections at {addr}");
    }
    drop(crowd);
    check_limits(cluster, kind);
}

#[test]
fn clients_outside_the_limits_end_no_entry() {
    let mut plan = Plan { entries: 1, workers: 1, ..Plan::default() };
    plan.settings.extend(SETTINGS.map(|(name, value)| (name, value.to_string())));
    let cluster = task::block_on(Cluster::start(plan)).expect("the installation starts");
    task::block_on(cluster.wait_ready(0, STEP_TIMEOUT)).expect("the entry becomes ready");
    let entry = &cluster.entries[0];
    for addr in [&entry.callers, &entry.health] {
        for kind in [
            Misbehaviour::RequestLine,
            Misbehaviour::Header,
            Misbehaviour::EmptyLines,
            Misbehaviour::AnnouncedBody,
            Misbehaviour::UnannouncedBody,
            Misbehaviour::Chunks,
        ] {
            withstand(&cluster, addr, kind, CLIENTS);
        }
        withstand(&cluster, addr, Misbehaviour::StalledBody, SILENT_CLIENTS);
    }
    let peers = entry.peer_relay.addr().to_string();
    for kind in [Misbehaviour::Header, Misbehaviour::StalledMessage, Misbehaviour::Fragments] {
        withstand(&cluster, &peers, kind, CLIENTS);
    }
}
