//! A store that forgets its history early, and one that refuses some hosts while it serves the others.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::{self, two_steps};
use support::wait_for;

const ACCEPTED: u16 = 200;

/// How many tasks a job has.
const TASKS: u64 = 10;

fn completed(host: &site::Host, job: JobKey) -> bool {
    host.state(job).is_some_and(|(_, word)| word == "completed")
}

/// Starts a site of three hosts and returns it with its leader, once the others have heard of that one. A host that
/// the store refuses before that knows no leader, and is not ready.
fn open_site_with_leader() -> (site::Site, usize) {
    let site = support::open_site(3, 2, Duration::from_millis(200));
    wait_for("the workers to be known", || site.knows_workers());
    let leader = site.leader().expect("there is a leader");
    let follows = |host: &site::Host| !host.logged("following").is_empty();
    wait_for("the others to follow", || {
        site.hosts.iter().enumerate().all(|(at, host)| at == leader || follows(host))
    });
    (site, leader)
}

#[test]
fn a_leader_whose_watches_ask_for_forgotten_history_misses_no_job_and_no_worker() {
    let site = support::open_site(2, 2, Duration::from_millis(200));
    wait_for("the workers to be known", || site.knows_workers());
    let other = 1 - site.leader().expect("there is a leader");
    for n in 1..=5 {
        let job = JobKey(n);
        site.store.forget_history();
        assert_eq!(site.hosts[other].submit(job, &two_steps()), Some(ACCEPTED));
        site.store.forget_history();
        wait_for("completion", || completed(&site.hosts[other], job));
    }
    assert!(site.store.watches_gone() > 0, "no watch asked for what was forgotten");
    assert_eq!(site.fleet.starts(), 5 * TASKS);
    assert!(site.twice().is_empty());
}

#[test]
fn a_host_that_the_store_refuses_takes_jobs_by_way_of_the_leader() {
    let (site, leader) = open_site_with_leader();
    let refused = (leader + 1) % 3;
    for (n, mode) in [(1, Mode::Reset), (2, Mode::Silent)] {
        let job = JobKey(n);
        site.hosts[refused].store_link.set(mode);
        wait_for("the job to be taken", || {
            site.hosts[refused].submit(job, &two_steps()) == Some(ACCEPTED)
        });
        wait_for("completion", || completed(&site.hosts[refused], job));
        site.hosts[refused].store_link.set(Mode::Pass);
    }
    assert_eq!(site.leader(), Some(leader), "the leader was given up though the store serves it");
    assert_eq!(site.fleet.starts(), 2 * TASKS);
}

#[test]
fn a_host_that_the_store_is_silent_to_stays_ready_and_in_touch_with_the_leader() {
    let (site, leader) = open_site_with_leader();
    let cut = &site.hosts[(leader + 1) % 3];
    cut.store_link.set(Mode::Silent);
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        assert!(cut.is_ready(), "it takes no callers though the leader answers it");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(cut.submit(JobKey(1), &two_steps()), Some(ACCEPTED));
    wait_for("completion", || completed(cut, JobKey(1)));
}

#[test]
fn a_leader_that_the_store_refuses_makes_way_for_one_that_it_serves() {
    let (site, leader) = open_site_with_leader();
    let job = JobKey(1);
    site.hosts[leader].store_link.set(Mode::Silent);
    wait_for("another leader", || site.leader().is_some_and(|host| host != leader));
    let next = site.leader().expect("there is a leader");
    assert_eq!(site.hosts[next].submit(job, &two_steps()), Some(ACCEPTED));
    wait_for("completion", || completed(&site.hosts[next], job));
    assert_eq!(site.fleet.starts(), TASKS);
    assert!(site.twice().is_empty());
}
