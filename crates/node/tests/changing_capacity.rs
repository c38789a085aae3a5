//! Workers whose capacity shrinks and grows again, and which carry out every order.
//!
//! They report their capacity in the directory only. The stand-ins' checker counts runs that are
//! being stopped, and allows a leader some time to read a changed capacity.

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::capacity::CAPACITY_KNOWN_WITHIN;
use gaplock_platform_standin::site::{two_steps, Site};
use support::{open_site, wait_for};

/// Longer than any of these tests.
const TASK_DURATION: Duration = Duration::from_secs(90);

/// Long enough to see starts that must not happen.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// How many tasks of a job of two steps can start at once.
const FIRST_TASKS: u64 = 6;

fn open_unguarded(hosts: usize, workers: usize) -> Site {
    let site = open_site(hosts, workers, TASK_DURATION);
    site.disable_capacity_checks();
    wait_for("the workers to be known", || site.has_stored_workers());
    site
}

fn submit(site: &Site, host: usize, keys: std::ops::Range<u64>) {
    for key in keys {
        assert_eq!(site.hosts[host].submit(JobKey(key), &two_steps()), Some(200));
    }
}

#[test]
fn nothing_starts_beyond_a_shrunk_capacity_and_capacity_that_grows_again_is_used() {
    let site = open_unguarded(2, 1);
    submit(&site, 0, 1..2);
    wait_for("the first starts", || site.fleet.starts() == FIRST_TASKS);
    site.fleet.set_capacity(0, 2_000);
    thread::sleep(CAPACITY_KNOWN_WITHIN);
    submit(&site, 0, 2..5);
    thread::sleep(SETTLE_TIME);
    assert_eq!(site.fleet.starts(), FIRST_TASKS, "{:?}", site.fleet.violations());
    assert_eq!(site.fleet.running_at(0), FIRST_TASKS as usize, "runs were stopped");
    site.fleet.set_capacity(0, 9_000);
    wait_for("what fits now", || site.fleet.starts() == 9);
    thread::sleep(SETTLE_TIME);
    assert_eq!(site.fleet.starts(), 9, "{:?}", site.fleet.violations());
    site.fleet.set_capacity(0, 40_000);
    wait_for("all starts", || site.fleet.starts() == 4 * FIRST_TASKS);
    assert!(site.fleet.violations().is_empty(), "{:?}", site.fleet.violations());
}

#[test]
fn a_successor_respects_a_capacity_that_shrank_under_its_predecessor() {
    let mut site = open_unguarded(3, 2);
    submit(&site, 0, 1..3);
    wait_for("the first starts", || site.fleet.starts() == 2 * FIRST_TASKS);
    let first = site.leader().expect("there is a leader");
    // The first starts may all be at one worker; the other one must not get any either.
    site.fleet.set_capacity(0, 0);
    site.fleet.set_capacity(1, 0);
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    thread::sleep(CAPACITY_KNOWN_WITHIN);
    submit(&site, (first + 1) % 3, 3..6);
    thread::sleep(SETTLE_TIME);
    assert_eq!(site.fleet.starts(), 2 * FIRST_TASKS, "{:?}", site.fleet.violations());
    assert_eq!(site.fleet.running_at(0) + site.fleet.running_at(1), 2 * FIRST_TASKS as usize);
    assert!(site.fleet.violations().is_empty(), "{:?}", site.fleet.violations());
}
