//! Records under the daemon's own prefix that cannot be decoded, as another writer or another
//! version may have left them.
//!
//! Guards against three faults. A claim that could not be decoded kept every host from leading
//! forever. Tasks that had ended as done were started again by a successor that could not decode
//! the progress of their job. Tasks ran twice if the successor could not decode the record of their
//! worker.

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::{two_steps, Site};
use support::{open_site, wait_for};

const LEADER: &str = "gaplock/leader";
const COMMITS: &str = "gaplock/commits";
const LEARNED: &str = "gaplock/learnt";
const LOAD: &str = "gaplock/load";
const ROSTER: &str = "gaplock/roster/";

/// Bytes that no version of the daemon wrote.
const MALFORMED: &[u8] = b"{\"host\":7}";

fn submit(site: &Site, host: usize, key: u64) {
    assert_eq!(site.hosts[host].submit(JobKey(key), &two_steps()), Some(200));
}

fn completed(site: &Site, host: usize, key: u64) -> bool {
    site.hosts[host].state(JobKey(key)).is_some_and(|(_, shown)| shown == "completed")
}

/// Kills the leader and waits for the next one; returns the index of a host that was not killed.
fn change_leader(site: &mut Site) -> usize {
    let first = site.leader().expect("there is a leader");
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    (first + 1) % site.hosts.len()
}

fn assert_no_violations(site: &Site) {
    assert!(site.fleet.violations().is_empty(), "{:?}", site.fleet.violations());
}

/// A claim that no process of ours wrote has no lease, so it never expires.
#[test]
fn a_malformed_claim_does_not_keep_hosts_from_leading_forever() {
    let site = open_site(2, 2, Duration::from_millis(300));
    wait_for("the workers to be known", || site.has_stored_workers());
    submit(&site, 0, 1);
    site.store.put_bytes(LEADER, MALFORMED);
    wait_for("a leader", || site.leader().is_some());
    submit(&site, 0, 2);
    for key in 1..3 {
        wait_for("completion", || completed(&site, 0, key));
    }
    assert_no_violations(&site);
}

#[test]
fn malformed_learned_state_and_a_malformed_commit_id_stop_nothing() {
    let mut site = open_site(3, 2, Duration::from_millis(300));
    wait_for("the workers to be known", || site.has_stored_workers());
    submit(&site, 0, 1);
    site.store.put_bytes(COMMITS, MALFORMED);
    site.store.put_bytes(LEARNED, MALFORMED);
    site.store.put_bytes(LOAD, MALFORMED);
    wait_for("completion", || completed(&site, 0, 1));
    site.store.put_bytes(COMMITS, MALFORMED);
    site.store.put_bytes(LEARNED, MALFORMED);
    site.store.put_bytes(LOAD, MALFORMED);
    wait_for("a leader", || site.leader().is_some());
    let other = change_leader(&mut site);
    submit(&site, other, 2);
    wait_for("completion under the next leader", || completed(&site, other, 2));
    assert_eq!(site.fleet.starts(), 20, "a task was started again");
    assert_no_violations(&site);
}

#[test]
fn tasks_that_were_done_are_not_started_again_if_their_jobs_record_is_malformed() {
    let mut site = open_site(3, 2, Duration::from_millis(300));
    wait_for("the workers to be known", || site.has_stored_workers());
    let via = site.leader().expect("there is a leader");
    submit(&site, via, 1);
    wait_for("completion", || completed(&site, via, 1));
    // By then the ends of the tasks are stored and acknowledged.
    thread::sleep(Duration::from_millis(500));
    let record = format!("gaplock/progress/{}", JobKey(1));
    assert!(site.store.get(&record).is_some(), "there is no record of the job");
    site.store.put_bytes(&record, MALFORMED);
    let other = change_leader(&mut site);
    submit(&site, other, 2);
    wait_for("completion under the next leader", || completed(&site, other, 2));
    assert_eq!(site.fleet.starts(), 20, "{:?}", site.fleet.violations());
    assert_no_violations(&site);
}

/// Opens a site with six running tasks and overwrites the record of a worker that runs some of
/// them; returns that worker's index too.
fn open_with_malformed_record() -> (Site, usize) {
    let site = open_site(3, 2, Duration::from_secs(60));
    wait_for("the workers to be known", || site.has_stored_workers());
    let via = site.leader().expect("there is a leader");
    submit(&site, via, 1);
    wait_for("the first starts", || site.fleet.starts() == 6);
    let holder = usize::from(site.fleet.running_at(0) == 0);
    site.store.put_bytes(&format!("{ROSTER}{}", site.fleet.current_incarnation(holder)), MALFORMED);
    (site, holder)
}

#[test]
fn tasks_at_a_worker_with_a_malformed_record_do_not_run_twice() {
    let (mut site, _) = open_with_malformed_record();
    change_leader(&mut site);
    thread::sleep(Duration::from_secs(4));
    assert_eq!(site.fleet.starts(), 6, "{:?}", site.fleet.violations());
    assert_no_violations(&site);
}

/// The same while the worker does not answer for a time shorter than its leases.
#[test]
fn tasks_at_a_silent_worker_with_a_malformed_record_do_not_run_twice() {
    let (mut site, holder) = open_with_malformed_record();
    site.fleet.set_link(holder, Mode::Silent);
    change_leader(&mut site);
    thread::sleep(Duration::from_millis(1_500));
    site.fleet.set_link(holder, Mode::Pass);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(site.fleet.starts(), 6, "{:?}", site.fleet.violations());
    assert_no_violations(&site);
}

/// The same if the worker's directory entry cannot be read either, so that its address is unknown.
#[test]
fn tasks_at_a_worker_without_an_address_do_not_run_twice() {
    let (mut site, holder) = open_with_malformed_record();
    site.fleet.overwrite(holder, b"{");
    change_leader(&mut site);
    thread::sleep(Duration::from_secs(9));
    assert_eq!(site.fleet.running_at(0) + site.fleet.running_at(1), 6);
    assert_no_violations(&site);
    site.fleet.register_again(holder);
    let via = site.leader().expect("there is a leader");
    (2..6).for_each(|key| submit(&site, via, key));
    wait_for("starts at both workers", || {
        site.fleet.running_at(0) + site.fleet.running_at(1) == 30
    });
    assert_no_violations(&site);
}
