//! Markers of refused jobs, tested with real daemon processes.
//!
//! Guards against a job that runs although its caller was told that it does not, because an earlier
//! attempt to store it was still on its way to the store. The tests write the marker of the host
//! that refuses into the store themselves.

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::site::{self, two_steps, Site};
use serde_json::json;
use support::wait_for;

const JOB: JobKey = JobKey(1);
const JOBS: &str = "gaplock/in/job/";
const REFUSED: &str = "gaplock/refused/";

/// Longer than it takes until all hosts have learned of a revision of the store.
const REVISION_SPREAD: Duration = Duration::from_millis(2_500);

fn open() -> (Site, usize) {
    let site = support::open_site(2, 2, Duration::from_millis(200));
    wait_for("the workers to be known", || site.has_stored_workers());
    let follower = 1 - site.leader().expect("there is a leader");
    (site, follower)
}

fn store_marker(site: &Site) {
    site.store.put(&format!("{REFUSED}{JOB}"), &json!({"writer": 7}));
}

/// Submits the job at the follower, whose write gets no answer, and has another host refuse the job
/// before the follower sends it again; returns the status that the caller gets.
fn submit_while_refused(site: &Site, follower: usize, before_repeat: impl Fn()) -> Option<u16> {
    site.store.hold_back_next(JOBS);
    let callers = site.hosts[follower].callers.clone();
    let submission = thread::spawn(move || site::submit(&callers, JOB, &two_steps()));
    wait_for("a write without an answer", || site.store.has_held_back());
    store_marker(site);
    before_repeat();
    submission.join().expect("the caller does not panic")
}

fn assert_not_run(site: &Site, host: usize) {
    thread::sleep(Duration::from_secs(1));
    assert!(!site.has_started(JOB), "a refused job runs");
    assert_eq!(site.hosts[host].state(JOB).map(|(status, _)| status), Some(410));
    assert_eq!(site.hosts[host].cancel(JOB), Some(410), "a refused job is not an unknown one");
}

/// Guards against the write of an attempt without an answer that is carried out after the refusal,
/// and against a host that admits a job while another host refuses it.
#[test]
fn a_write_that_is_carried_out_after_the_refusal_starts_nothing() {
    let (site, follower) = open();
    assert_eq!(submit_while_refused(&site, follower, || {}), Some(503));
    assert!(!site.store.carry_out_held(), "the late write took effect");
    assert_not_run(&site, follower);
}

/// Guards against a refusal whose own marker may not be stored: the marker that it relies on may
/// end, or be removed by the host that wrote it.
#[test]
fn a_job_whose_marker_may_not_be_stored_is_not_refused() {
    let (site, follower) = open();
    let status = submit_while_refused(&site, follower, || site.store.hold_back_next(REFUSED));
    assert_eq!(status, Some(504));
    site.store.carry_out_held();
    assert_not_run(&site, follower);
}

/// Guards against a caller that is refused for as long as the marker of its refusal lasts, and
/// against a stored job that is refused when it is sent again.
#[test]
fn a_caller_that_returns_after_its_refusal_is_admitted_at_any_host() {
    let (site, follower) = open();
    store_marker(&site);
    thread::sleep(REVISION_SPREAD);
    assert_eq!(site.hosts[follower].submit(JOB, &two_steps()), Some(200));
    assert_eq!(site.store.get(&format!("{REFUSED}{JOB}")), None);
    assert_eq!(site.hosts[1 - follower].submit(JOB, &two_steps()), Some(200));
    let completed = || site.hosts[follower].state(JOB).is_some_and(|(_, s)| s == "completed");
    wait_for("completion", completed);
    assert_eq!(site.fleet.starts(), 10);
}
