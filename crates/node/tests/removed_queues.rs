//! Accepted jobs whose queue the operators remove or rename, with real processes.

mod support;

use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::site::{long_running, two_steps, Site, LONG_RUNNING_TASKS, QUEUE};
use support::{open_site, wait_for};

/// Opens a site with a job of two steps under way and one of long-running tasks.
fn open_with_jobs() -> Site {
    let site = open_site(2, 3, Duration::from_millis(1_500));
    wait_for("the workers to be known", || site.has_stored_workers());
    assert_eq!(site.hosts[0].submit(JobKey(1), &two_steps()), Some(200));
    assert_eq!(site.hosts[1].submit(JobKey(2), &long_running()), Some(200));
    wait_for("starts", || site.fleet.running_of(JobKey(1)) == 6);
    wait_for("starts", || site.fleet.running_of(JobKey(2)) == LONG_RUNNING_TASKS);
    site
}

fn shows_completed(site: &Site, key: u64) -> bool {
    let shown = site.hosts.iter().find_map(|host| host.state(JobKey(key)));
    shown.is_some_and(|(_, state)| state == "completed")
}

/// Guards against accepted jobs that are never finished once the operator has renamed their queue.
#[test]
fn jobs_of_a_renamed_queue_are_finished_and_shown() {
    let site = open_with_jobs();
    site.set_queue(2, Some("checks-2"));
    wait_for("completion", || shows_completed(&site, 1));
    (0..3).for_each(|worker| site.fleet.crash(worker));
    wait_for("restarts", || site.fleet.running_of(JobKey(2)) == LONG_RUNNING_TASKS);
    assert!(site.fleet.violations().is_empty(), "{:?}", site.fleet.violations());
}

/// Guards against accepted jobs that a new leader does not finish since it never knew their queue.
#[test]
fn jobs_of_a_removed_queue_are_finished_under_a_new_leader() {
    let mut site = open_with_jobs();
    site.set_queue(2, None);
    wait_for("the version", || {
        site.hosts.iter().all(|host| host.metric("gaplock_config_version") == Some(2))
    });
    let leader = site.leader().expect("there is a leader");
    site.hosts[leader].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|now| now != leader));
    site.hosts[leader].restart().expect("the process can be started");
    wait_for("the second step", || site.fleet.runs_of(JobKey(1)).len() == 10);
    (0..3).for_each(|worker| site.fleet.crash(worker));
    wait_for("restarts", || site.fleet.running_of(JobKey(2)) == LONG_RUNNING_TASKS);
    site.set_queue(3, Some(QUEUE));
    wait_for("completion", || shows_completed(&site, 1));
    assert!(site.fleet.violations().is_empty(), "{:?}", site.fleet.violations());
}
