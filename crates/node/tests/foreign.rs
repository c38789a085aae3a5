//! Entries that another writer has put into the platform's store, tested with real daemon
//! processes.

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform::directory;
use gaplock_platform_standin::fleet::SERVICE;
use gaplock_platform_standin::foreign::{self, ForeignRecord};
use gaplock_platform_standin::site::{two_steps, Site};
use support::{open_site, wait_for};

/// How long a foreign entry stays in place: a little longer than the directory feed pauses.
const FOREIGN_ENTRY_DURATION: Duration = Duration::from_millis(120);

/// The leader's metric of workers' entries that cannot be read.
const UNREADABLE_METRIC: &str = "gaplock_unreadable_entries";

fn submit(site: &Site, host: usize, key: u64) {
    assert_eq!(site.hosts[host].submit(JobKey(key), &two_steps()), Some(200));
}

fn shows(site: &Site, host: usize, key: u64, state: &str) -> bool {
    site.hosts[host].state(JobKey(key)).is_some_and(|(_, shown)| shown == state)
}

fn put_all(site: &Site, all: &[ForeignRecord]) {
    all.iter().for_each(|f| site.store.put_bytes(&f.key, &f.value));
}

fn assert_no_violations(site: &mut Site) {
    let ended = site.hosts.iter_mut().position(|host| !host.runs());
    assert_eq!(ended, None, "a process has ended by itself");
    assert!(site.fleet.violations().is_empty(), "{:?}", site.fleet.violations());
}

#[test]
fn no_foreign_entry_names_a_worker_of_the_pool() {
    let site = open_site(1, 1, Duration::from_secs(60));
    for (what, value) in foreign::entries(&site.fleet.entry(0)) {
        let named = directory::decode(&"i-0".parse().expect("the name is valid"), &value);
        assert!(named.is_err() || named.is_ok_and(|w| w.service.0 != SERVICE), "{what}");
    }
    let keys = foreign::directory_keys(&site.fleet.entry(0));
    let named = keys.iter().filter_map(|f| directory::parse_key(&f.key));
    // `..` is a valid name, of a worker that never answers.
    assert_eq!(named.map(|id| id.to_string()).collect::<Vec<_>>(), [".."]);
}

#[test]
fn an_overwritten_entry_names_no_worker_until_it_is_valid_again() {
    let mut site = open_site(2, 2, Duration::from_secs(60));
    wait_for("the workers to be known", || site.has_stored_workers());
    let leader = site.leader().expect("there is a leader");
    submit(&site, 0, 1);
    wait_for("the first starts", || site.fleet.starts() == 6);
    let held = site.fleet.running_at(0);
    for (what, value) in foreign::entries(&site.fleet.entry(0)) {
        site.fleet.overwrite(0, &value);
        thread::sleep(FOREIGN_ENTRY_DURATION);
        assert!(site.hosts[leader].runs(), "the leader ended because of an entry {what}");
    }
    site.fleet.overwrite(0, b"{");
    wait_for("the unreadable entry to be counted", || {
        site.hosts[leader].metric(UNREADABLE_METRIC) == Some(1)
    });
    (2..6).for_each(|key| submit(&site, 0, key));
    wait_for("the other worker to be full", || site.fleet.running_at(1) == 16);
    assert_eq!(site.fleet.running_at(0), held, "tasks were started or stopped there");
    site.fleet.register_again(0);
    wait_for("all starts", || site.fleet.starts() == 30);
    assert_eq!(site.hosts[leader].metric(UNREADABLE_METRIC), Some(0));
    assert_eq!(site.leader(), Some(leader), "the leader lost its leadership");
    assert_no_violations(&mut site);
}

#[test]
fn a_successor_ignores_overwritten_entries_and_knows_what_their_workers_run() {
    let mut site = open_site(3, 2, Duration::from_secs(3));
    wait_for("the workers to be known", || site.has_stored_workers());
    let first = site.leader().expect("there is a leader");
    submit(&site, 0, 1);
    wait_for("the first starts", || site.fleet.starts() == 6);
    site.fleet.overwrite(0, b"{");
    site.fleet.overwrite(1, &[0xff]);
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    thread::sleep(Duration::from_secs(4));
    assert_eq!(site.fleet.starts(), 6, "{:?}", site.fleet.violations());
    (0..2).for_each(|worker| site.fleet.register_again(worker));
    let other = (first + 1) % 3;
    wait_for("completion", || shows(&site, other, 1, "completed"));
    assert_eq!(site.fleet.starts(), 10, "a task was started again");
    site.hosts[first].restart().expect("the process can be started");
    assert_no_violations(&mut site);
}

#[test]
fn unknown_keys_stop_neither_a_leader_nor_its_successor() {
    let mut site = open_site(3, 2, Duration::from_millis(300));
    wait_for("the workers to be known", || site.has_stored_workers());
    let first = site.leader().expect("there is a leader");
    let other = (first + 1) % 3;
    put_all(&site, &foreign::directory_keys(&site.fleet.entry(0)));
    put_all(&site, &foreign::foreign_keys_under_daemon_prefix());
    submit(&site, other, 1);
    wait_for("completion", || shows(&site, other, 1, "completed"));
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    submit(&site, other, 2);
    wait_for("completion under the next leader", || shows(&site, other, 2, "completed"));
    assert!(shows(&site, other, 1, "completed"));
    assert_eq!(site.fleet.starts(), 20, "a task was started again");
    site.hosts[first].restart().expect("the process can be started");
    assert_no_violations(&mut site);
}

/// An incarnation never changes its address, so an entry with another address was not written by
/// that worker. The other worker at that address answers that it is not the one addressed, which
/// proves nothing about the first one.
#[test]
fn an_entry_with_the_address_of_another_worker_does_not_end_what_runs() {
    let mut site = open_site(3, 2, Duration::from_secs(60));
    wait_for("the workers to be known", || site.has_stored_workers());
    let first = site.leader().expect("there is a leader");
    submit(&site, 0, 1);
    wait_for("the first starts", || site.fleet.starts() == 6);
    let holder = usize::from(site.fleet.running_at(0) == 0);
    let mut entry = site.fleet.entry(holder);
    entry["Address"] = site.fleet.entry(1 - holder)["Address"].clone();
    site.fleet.overwrite(holder, entry.to_string().as_bytes());
    thread::sleep(FOREIGN_ENTRY_DURATION * 4);
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    thread::sleep(Duration::from_secs(4));
    assert_eq!(site.fleet.starts(), 6, "{:?}", site.fleet.violations());
    site.hosts[first].restart().expect("the process can be started");
    assert_no_violations(&mut site);
}

/// A leader that first learns of a worker from an entry with a wrong address uses the right address
/// once the entry has it.
#[test]
fn a_worker_first_listed_with_a_wrong_address_is_used_once_its_entry_is_right() {
    let mut site = open_site(1, 1, Duration::from_millis(300));
    site.fleet.crash(0);
    let mut entry = site.fleet.entry(0);
    entry["Address"] = serde_json::json!("127.0.0.1:9");
    site.fleet.overwrite(0, entry.to_string().as_bytes());
    thread::sleep(FOREIGN_ENTRY_DURATION * 8);
    site.fleet.register_again(0);
    submit(&site, 0, 1);
    wait_for("completion", || shows(&site, 0, 1, "completed"));
    assert_no_violations(&mut site);
}
