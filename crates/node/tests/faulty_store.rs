//! A store that drops its history early, and one that refuses some hosts while it serves the
//! others.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::{self, long_running, two_steps};
use serde_json::Value;
use support::wait_for;

const ACCEPTED: u16 = 200;

/// Where jobs and cancellations are stored.
const JOBS: &str = "gaplock/in/job/";
const CANCELS: &str = "gaplock/in/cancel/";

/// How many tasks a job has.
const TASKS: u64 = 10;

fn completed(host: &site::Host, job: JobKey) -> bool {
    host.state(job).is_some_and(|(_, shown)| shown == "completed")
}

/// Opens a site of three hosts and returns it with its leader, once the other hosts follow that
/// leader. A host that the store refuses before that knows no leader and is not ready.
fn open_site_with_leader() -> (site::Site, usize) {
    let site = support::open_site(3, 2, Duration::from_millis(200));
    wait_for("the workers to be known", || site.has_stored_workers());
    let leader = site.leader().expect("there is a leader");
    let follows = |host: &site::Host| !host.logged("following").is_empty();
    wait_for("the others to follow", || {
        site.hosts.iter().enumerate().all(|(at, host)| at == leader || follows(host))
    });
    (site, leader)
}

#[test]
fn a_leader_whose_watches_ask_for_dropped_history_misses_no_job_and_no_worker() {
    let site = support::open_site(2, 2, Duration::from_millis(200));
    wait_for("the workers to be known", || site.has_stored_workers());
    let other = 1 - site.leader().expect("there is a leader");
    for n in 1..=5 {
        let job = JobKey(n);
        site.store.discard_history();
        assert_eq!(site.hosts[other].submit(job, &two_steps()), Some(ACCEPTED));
        site.store.discard_history();
        wait_for("completion", || completed(&site.hosts[other], job));
    }
    assert!(site.store.watches_refused() > 0, "no watch asked for dropped history");
    assert_eq!(site.fleet.starts(), 5 * TASKS);
    assert!(site.tasks_run_concurrently().is_empty());
}

/// Guards against a cancellation that is listed before its job, in key order, and is then dropped:
/// the job went on running although its caller was notified that it is cancelled.
#[test]
fn a_cancellation_that_is_listed_together_with_its_job_takes_effect() {
    let site = support::open_site(1, 2, Duration::from_secs(60));
    wait_for("the workers to be known", || site.has_stored_workers());
    let host = &site.hosts[0];
    for n in 1..=3 {
        let (known, listed) = (JobKey(n), JobKey(100 + n));
        assert_eq!(host.submit(known, &long_running()), Some(ACCEPTED));
        wait_for("a start", || site.has_started(known));
        let record = site.store.get(&format!("{JOBS}{known}")).expect("the job is stored");
        let record = record.to_string().replace(&known.to_string(), &listed.to_string());
        assert!(record.contains(&listed.to_string()), "{record}");
        // The leader's watch has just been answered, and the leader pauses before the next one.
        site.store.put_bytes(&format!("{JOBS}{listed}"), record.as_bytes());
        site.store.put_bytes(&format!("{CANCELS}{listed}"), b"{}");
        site.store.discard_history();
        let state = || host.state(listed).map(|(_, shown)| shown);
        let is_known = |line: &Value| line["job"] == listed.to_string();
        wait_for("the job to be known", || host.logged("job_known").iter().any(is_known));
        wait_for("the cancellation to take effect", || {
            state().is_some_and(|state| state == "canceled")
        });
    }
    assert!(site.store.watches_refused() > 0, "no watch asked for dropped history");
}

#[test]
fn a_host_that_the_store_refuses_accepts_jobs_through_the_leader() {
    let (site, leader) = open_site_with_leader();
    let refused = (leader + 1) % 3;
    for (n, mode) in [(1, Mode::Reset), (2, Mode::Silent)] {
        let job = JobKey(n);
        site.hosts[refused].store_link.set(mode);
        wait_for("the job to be accepted", || {
            site.hosts[refused].submit(job, &two_steps()) == Some(ACCEPTED)
        });
        wait_for("completion", || completed(&site.hosts[refused], job));
        site.hosts[refused].store_link.set(Mode::Pass);
    }
    assert_eq!(
        site.leader(),
        Some(leader),
        "the leader lost its leadership although the store serves it"
    );
    assert_eq!(site.fleet.starts(), 2 * TASKS);
}

#[test]
fn a_host_that_the_store_does_not_answer_stays_ready_and_in_contact_with_the_leader() {
    let (site, leader) = open_site_with_leader();
    let cut = &site.hosts[(leader + 1) % 3];
    cut.store_link.set(Mode::Silent);
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        assert!(cut.is_ready(), "the host accepts no callers although the leader answers it");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(cut.submit(JobKey(1), &two_steps()), Some(ACCEPTED));
    wait_for("completion", || completed(cut, JobKey(1)));
}

#[test]
fn a_leader_that_the_store_refuses_steps_down_for_one_that_it_serves() {
    let (site, leader) = open_site_with_leader();
    let job = JobKey(1);
    site.hosts[leader].store_link.set(Mode::Silent);
    wait_for("another leader", || site.leader().is_some_and(|host| host != leader));
    let next = site.leader().expect("there is a leader");
    assert_eq!(site.hosts[next].submit(job, &two_steps()), Some(ACCEPTED));
    wait_for("completion", || completed(&site.hosts[next], job));
    assert_eq!(site.fleet.starts(), TASKS);
    assert!(site.tasks_run_concurrently().is_empty());
}
