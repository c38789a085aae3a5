//! Hosts whose processes are suspended for longer than their leases and then continue with the work
//! they had queued before.

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::{two_steps, Site};
use rustix::process::Signal;
use support::{open_site, wait_for};

/// Longer than a leader's lease in the store, and longer than a successor takes to start leading.
const SUSPENSION: Duration = Duration::from_millis(3_500);

/// Longer than the leases of the runs at workers.
const BEYOND_LEASES: Duration = Duration::from_millis(6_800);

fn completed(site: &Site, host: usize, key: u64) -> bool {
    site.hosts[host].state(JobKey(key)).is_some_and(|(_, shown)| shown == "completed")
}

/// Submits jobs through a host and suspends the leader after a while, in the middle of their
/// starts.
fn suspend_during_starts(site: &mut Site, via: usize, keys: std::ops::Range<u64>, after_ms: u64) {
    for key in keys {
        assert_eq!(site.hosts[via].submit(JobKey(key), &two_steps()), Some(200));
    }
    thread::sleep(Duration::from_millis(after_ms));
    let leader = site.leader().expect("there is a leader");
    site.hosts[leader].signal(Signal::STOP);
}

fn wait_for_all(site: &Site, host: usize, keys: std::ops::Range<u64>) {
    for key in keys {
        wait_for("completion", || completed(site, host, key));
    }
}

fn assert_no_violations(site: &Site) {
    assert!(site.fleet.violations().is_empty(), "{:?}", site.fleet.violations());
}

#[test]
fn leaders_suspended_in_turn_during_their_starts_start_nothing_twice() {
    let mut site = open_site(3, 4, Duration::from_millis(400));
    wait_for("the workers to be known", || site.has_stored_workers());
    for (round, after_ms) in [0, 4, 9, 15].into_iter().enumerate() {
        let first = site.leader().expect("there is a leader");
        let via = (first + 1) % 3;
        let keys = 10 * round as u64..10 * round as u64 + 3;
        suspend_during_starts(&mut site, via, keys.clone(), after_ms);
        wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
        thread::sleep(SUSPENSION / 4);
        site.hosts[first].signal(Signal::CONT);
        wait_for_all(&site, via, keys);
    }
    assert_no_violations(&site);
}

#[test]
fn a_leader_suspended_beyond_all_leases_during_a_store_outage_and_a_kill_starts_nothing_twice() {
    let mut site = open_site(3, 3, Duration::from_millis(1_500));
    wait_for("the workers to be known", || site.has_stored_workers());
    let first = site.leader().expect("there is a leader");
    let (via, killed) = ((first + 1) % 3, (first + 2) % 3);
    suspend_during_starts(&mut site, via, 1..4, 8);
    site.store.set_down(true);
    site.hosts[killed].kill().expect("the process runs");
    thread::sleep(BEYOND_LEASES);
    // The leader resumes while no host can report to it that its claim has expired.
    site.hosts[first].signal(Signal::CONT);
    thread::sleep(Duration::from_millis(700));
    site.store.set_down(false);
    site.hosts[killed].restart().expect("the process can be started");
    wait_for_all(&site, via, 1..4);
    assert_no_violations(&site);
}

#[test]
fn a_site_whose_every_process_was_suspended_goes_on() {
    let mut site = open_site(2, 3, Duration::from_millis(800));
    wait_for("the workers to be known", || site.has_stored_workers());
    let first = site.leader().expect("there is a leader");
    suspend_during_starts(&mut site, 1 - first, 1..3, 20);
    site.hosts[1 - first].signal(Signal::STOP);
    thread::sleep(BEYOND_LEASES);
    site.hosts.iter_mut().for_each(|host| host.signal(Signal::CONT));
    wait_for_all(&site, first, 1..3);
    assert_no_violations(&site);
}

/// The orders to a worker that no successor could reach arrive seconds later, when the tasks run
/// elsewhere and the suspended leader has resumed.
#[test]
fn orders_that_arrive_after_the_leases_of_a_suspended_leader_start_nothing_twice() {
    let mut site = open_site(2, 2, Duration::from_secs(60));
    wait_for("the workers to be known", || site.has_stored_workers());
    let first = site.leader().expect("there is a leader");
    site.fleet.set_link(0, Mode::Silent);
    suspend_during_starts(&mut site, 1 - first, 1..4, 60);
    wait_for("another leader", || site.leader() == Some(1 - first));
    wait_for("starts at the other worker", || site.fleet.running_at(1) == 16);
    site.hosts[first].signal(Signal::CONT);
    site.fleet.set_link(0, Mode::Pass);
    wait_for("all starts", || site.fleet.running_at(0) + site.fleet.running_at(1) == 18);
    thread::sleep(SUSPENSION);
    assert_eq!(site.fleet.running_at(0) + site.fleet.running_at(1), 18);
    assert_no_violations(&site);
}
