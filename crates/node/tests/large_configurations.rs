//! Configurations of thousands of queues on hosts with slow network links: they are in force in
//! time, and a host that does not have the newest version does not answer by an older one.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::{self, Site, CONFIG_BOUND};
use support::wait_for;

const ACCEPTED: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// The link of the weakest hosts, and of a host with twenty times as much, in Mbit/s.
const SLOW: f64 = 10.0;
const FAST: f64 = 200.0;

/// How many queues a large configuration has; the store takes some 5,000 of them.
const MANY: usize = 4_500;

const WORK: Duration = Duration::from_millis(200);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The status of a question for the number of waiting jobs at a path prefix.
fn count_status(host: &site::Host, prefix: &str) -> Option<u16> {
    site::call(&host.callers, "GET", prefix, "").map(|answer| answer.status)
}

/// The versions that the hosts have in force.
fn versions(site: &Site) -> Vec<Option<u64>> {
    site.hosts.iter().map(|host| host.metric("gaplock_config_version")).collect()
}

/// Waits until the bound after a change is over, and fails the test if a host then does not have the version or
/// does not know a queue of it.
fn assert_in_force_within_bound(site: &Site, version: u64, queues: usize, confirmed: Instant) {
    while confirmed.elapsed() < CONFIG_BOUND
        && versions(site).iter().any(|known| *known != Some(version))
    {
        thread::sleep(POLL_INTERVAL);
    }
    assert_eq!(versions(site), vec![Some(version); site.hosts.len()]);
    let last = site::extra_prefix(queues - 1);
    for host in &site.hosts {
        assert_eq!(count_status(host, &last), Some(ACCEPTED), "{}", host.name);
    }
}

/// Guards against reads of the configuration that are given up after a fixed time: on a slow link a
/// large one takes longer, so weak hosts never had it and refused requests for its queues.
#[test]
fn a_large_configuration_is_in_force_at_hosts_with_slow_links_in_time() {
    let site = support::open_site_on_links(&[FAST, SLOW, SLOW], 2, WORK);
    wait_for("the strong host to lead", || site.leader() == Some(0));
    wait_for("the workers to be known", || site.has_stored_workers());
    for (version, queues) in [(2, MANY), (3, MANY), (4, MANY + 100)] {
        let confirmed = Instant::now();
        site.set_queues(version, queues);
        assert_in_force_within_bound(&site, version, queues, confirmed);
    }
    let weak = &site.hosts[1];
    let job = JobKey(1);
    assert_eq!(weak.submit(job, &site::two_steps()), Some(ACCEPTED));
    wait_for("completion", || weak.state(job).is_some_and(|(_, state)| state == "completed"));
}

/// Guards against a leader whose own link is slow and that gives up each read of the configuration.
#[test]
fn a_large_configuration_is_in_force_at_a_leader_with_a_slow_link_in_time() {
    let site = support::open_site_on_links(&[SLOW], 2, WORK);
    wait_for("the workers to be known", || site.has_stored_workers());
    let confirmed = Instant::now();
    site.set_queues(2, MANY);
    assert_in_force_within_bound(&site, 2, MANY, confirmed);
    assert_eq!(site.leader_claims_lost(), 0, "the leader lost its claim");
}

/// Guards against 404 for a queue that a newer version may have: a host without news of the
/// configuration does not know whether there is none.
#[test]
fn a_host_without_news_of_the_configuration_does_not_deny_a_queue() {
    let site = support::open_site_on_links(&[FAST, SLOW], 2, WORK);
    wait_for("the strong host to lead", || site.leader() == Some(0));
    let weak = &site.hosts[1];
    assert_eq!(count_status(weak, &site::extra_prefix(0)), Some(NOT_FOUND));
    weak.store_link.set(Mode::Silent);
    weak.peer_links.iter().for_each(|link| link.set(Mode::Silent));
    let confirmed = Instant::now();
    site.set_queues(2, 10);
    thread::sleep(CONFIG_BOUND.saturating_sub(confirmed.elapsed()));
    assert_eq!(count_status(weak, &site::extra_prefix(0)), Some(UNAVAILABLE));
    weak.store_link.set(Mode::Pass);
    weak.peer_links.iter().for_each(|link| link.set(Mode::Pass));
    wait_for("the version", || weak.metric("gaplock_config_version") == Some(2));
    // The count comes from the leader, which may answer later than the store.
    wait_for("the count", || {
        let status = count_status(weak, &site::extra_prefix(0));
        assert_ne!(status, Some(NOT_FOUND), "the host denies a queue of its version");
        status == Some(ACCEPTED)
    });
}
