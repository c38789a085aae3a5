//! Crowds of clients that ignore the limits, against a real daemon on each of its listeners.
//!
//! The checks do not depend on the machine's speed: the process lives, its memory and its open
//! descriptors stay within the limits of its settings, endless input ends with a closed connection,
//! and ordinary requests are answered while the crowd keeps its connections open.

mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::crowd::{self, Misbehaviour};
use gaplock_platform_standin::site::{self, call, two_steps, Output, Plan, ProcessLimits, Site};
use support::{open_plan, plan, wait_for};

/// What the daemon is told that it may use.
const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 64, descriptors: 400 };

/// How many clients send at a time.
const CLIENTS: usize = 40;

/// How much each of them sends at most.
const CLIENT_BYTES: usize = 3 << 20;

/// How many clients fall silent, each holding a body of the largest size.
const CLIENTS_WITH_BODIES: usize = 300;

/// How many clients fall silent within their head: more than the daemon may have descriptors.
const SILENT_CLIENTS: usize = 500;

/// How many crowds send header values that are not ASCII.
const NON_ASCII_ROUNDS: usize = 15;

/// How long a connection may take to be closed; a bound on a hanging test, not on the daemon.
const CLOSE_LIMIT: Duration = Duration::from_secs(60);

/// One crowd at a time, so that none of them slows another down.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn open_site() -> (Site, MutexGuard<'static, ()>) {
    let guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let work = Duration::from_millis(50);
    let plan = Plan { limits: Some(LIMITS), ..plan(1, 2, work, Output::File) };
    (open_plan(&plan), guard)
}

/// Sends a crowd to one listener of the site's host and checks the host beside it.
fn withstand(site: &mut Site, addr: &str, kind: Misbehaviour, clients: usize) {
    let mut crowd = crowd::send(addr, kind, clients, CLIENT_BYTES);
    check_limits(site, kind);
    answers(site);
    if kind.is_endless() {
        assert_eq!(crowd.wait_closed(CLOSE_LIMIT), 0, "{kind}: open connections at {addr}");
    }
    drop(crowd);
    answers(site);
    check_limits(site, kind);
}

/// Checks that the site's host runs and is within its limits.
fn check_limits(site: &mut Site, kind: Misbehaviour) {
    let host = &mut site.hosts[0];
    assert!(host.runs(), "{kind}: the process has ended");
    let descriptors = host.open_descriptors().expect("the process runs");
    assert!(descriptors <= LIMITS.descriptors as usize, "{kind}: {descriptors} descriptors");
    let listeners = [&host.callers, &host.readiness, &host.metrics(), &host.peers];
    let unread: u64 = listeners.into_iter().map(|addr| crowd::unread_bytes(addr)).sum();
    let memory = host.peak_memory().expect("the process runs") + unread;
    assert!(memory <= LIMITS.memory_mb * 1_000_000, "{kind}: {memory} bytes of memory");
}

/// Waits until one ordinary request is answered on each listener.
fn answers(site: &Site) {
    let host = &site.hosts[0];
    wait_for("an ordinary request", || host.submit(JobKey(1), &two_steps()) == Some(200));
    wait_for("readiness", || host.is_ready());
    wait_for("metrics", || host.metric("gaplock_config_version").is_some());
    wait_for("another host", || site::connect_as_peer(&host.peers).is_some());
}

/// Sends a crowd to each listener that speaks HTTP, one after the other.
fn withstand_at_each_listener(kind: Misbehaviour, clients: usize) {
    let (mut site, _guard) = open_site();
    let host = &site.hosts[0];
    let listeners = [host.callers.clone(), host.readiness.clone(), host.metrics()];
    for addr in listeners {
        withstand(&mut site, &addr, kind, clients);
    }
}

/// Sends a crowd to the listener for other hosts.
fn withstand_as_peers(kind: Misbehaviour, clients: usize) {
    let (mut site, _guard) = open_site();
    let addr = site.hosts[0].peers.clone();
    withstand(&mut site, &addr, kind, clients);
}

#[test]
fn request_lines_without_end() {
    withstand_at_each_listener(Misbehaviour::RequestLine, CLIENTS);
}

#[test]
fn a_header_without_end() {
    withstand_at_each_listener(Misbehaviour::Header, CLIENTS);
}

#[test]
fn headers_without_end() {
    withstand_at_each_listener(Misbehaviour::Headers, CLIENTS);
}

#[test]
fn empty_lines_without_end() {
    withstand_at_each_listener(Misbehaviour::EmptyLines, CLIENTS);
    withstand_at_each_listener(Misbehaviour::LineFeeds, CLIENTS);
}

#[test]
fn a_body_that_is_announced_far_above_the_limit() {
    withstand_at_each_listener(Misbehaviour::AnnouncedBody, CLIENTS);
}

#[test]
fn a_body_that_is_just_sent() {
    withstand_at_each_listener(Misbehaviour::UnannouncedBody, CLIENTS);
}

#[test]
fn a_chunk_far_above_the_limit() {
    withstand_at_each_listener(Misbehaviour::LargeChunk, CLIENTS);
}

#[test]
fn chunks_without_end() {
    withstand_at_each_listener(Misbehaviour::Chunks, CLIENTS);
}

#[test]
fn chunk_extensions_and_trailers_without_end() {
    withstand_at_each_listener(Misbehaviour::ChunkExtension, CLIENTS);
    withstand_at_each_listener(Misbehaviour::Trailers, CLIENTS);
}

#[test]
fn bodies_that_stop_before_their_end() {
    withstand_at_each_listener(Misbehaviour::StalledBody, CLIENTS_WITH_BODIES);
}

#[test]
fn jobs_of_the_largest_size_with_many_steps() {
    let (mut site, _guard) = open_site();
    let addr = site.hosts[0].callers.clone();
    withstand(&mut site, &addr, Misbehaviour::EmptySteps, CLIENTS);
    withstand(&mut site, &addr, Misbehaviour::SmallSteps, CLIENTS);
}

#[test]
fn heads_that_stop_before_their_end() {
    withstand_at_each_listener(Misbehaviour::StalledHead, SILENT_CLIENTS);
}

#[test]
fn answers_that_are_not_read() {
    withstand_at_each_listener(Misbehaviour::UnreadAnswers, CLIENTS);
}

/// More such requests than a listener has connections, so that one that is lost track of shows.
#[test]
fn header_values_that_are_not_ascii() {
    let (mut site, _guard) = open_site();
    let addr = site.hosts[0].callers.clone();
    for _ in 0..NON_ASCII_ROUNDS {
        withstand(&mut site, &addr, Misbehaviour::NonAsciiHeader, CLIENTS_WITH_BODIES);
    }
}

#[test]
fn heads_without_end_at_the_listener_for_hosts() {
    withstand_as_peers(Misbehaviour::RequestLine, CLIENTS);
    withstand_as_peers(Misbehaviour::Header, CLIENTS);
}

#[test]
fn silent_connections_at_the_listener_for_hosts() {
    withstand_as_peers(Misbehaviour::StalledHead, SILENT_CLIENTS);
}

#[test]
fn messages_of_hosts_that_stop_before_their_end() {
    withstand_as_peers(Misbehaviour::StalledMessage, CLIENTS);
}

#[test]
fn messages_of_hosts_without_end() {
    withstand_as_peers(Misbehaviour::Fragments, CLIENTS);
}

/// Submits a job with a head of `len` bytes; returns the status.
fn submit_with_head_of(site: &Site, key: JobKey, len: usize) -> Option<u16> {
    let body = two_steps();
    let path = site::path(key);
    let fixed = format!(
        "POST {path} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\nX-Filler: \r\n\r\n",
        site::HOST,
        body.len()
    );
    let filler = "x".repeat(len - fixed.len());
    let head = fixed.replace("X-Filler: ", &format!("X-Filler: {filler}"));
    let text = site::exchange(&site.hosts[0].callers, &format!("{head}{body}"))?;
    text.split(' ').nth(1)?.parse().ok()
}

#[test]
fn heads_up_to_the_configured_limit_are_served() {
    let (site, _guard) = open_site();
    for (key, len) in [(1, 7_000), (2, 10_000), (3, 16_000), (4, 16_384)] {
        assert_eq!(submit_with_head_of(&site, JobKey(key), len), Some(200), "{len} bytes");
    }
    let answer = call(&site.hosts[0].callers, "GET", &site::path(JobKey(1)), "");
    assert_eq!(answer.map(|a| a.status), Some(200));
}

#[test]
fn limits_that_the_operators_change_are_in_force_at_once() {
    let (site, _guard) = open_site();
    let host = &site.hosts[0];
    site.set_request_limits(2, 40_000, 300_000);
    wait_for("the new version", || host.metric("gaplock_config_version") == Some(2));
    assert_eq!(submit_with_head_of(&site, JobKey(1), 40_000), Some(200));
    let padded = |len: usize| " ".repeat(len - two_steps().len()) + &two_steps();
    assert_eq!(host.submit(JobKey(2), &padded(300_000)), Some(200));
    assert_eq!(host.submit(JobKey(3), &padded(300_001)), Some(413));
    site.set_request_limits(3, 1_000, 10_000);
    wait_for("the next version", || host.metric("gaplock_config_version") == Some(3));
    assert_eq!(host.submit(JobKey(4), &padded(10_001)), Some(413));
    assert_eq!(submit_with_head_of(&site, JobKey(5), 1_000), Some(200));
    assert_eq!(submit_with_head_of(&site, JobKey(6), 40_000), Some(431));
}
