//! Connections that go silent for good, without a reset, while new ones work: what one host acknowledges
//! reaches the leader in time.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::checker::CANCEL_LIMIT;
use gaplock_platform_standin::site::Site;
use support::{open_site_on_links, wait_for};

/// How long a task takes: longer than the bound on cancellations.
const TASK_DURATION: Duration = Duration::from_secs(5);

/// How long after the start of a job its notice and its commit are over.
const SETTLED: Duration = Duration::from_millis(700);

/// The bandwidth of each host's link, in Mbit/s. Hosts on links reach one another through relays.
const LINKS: [f64; 3] = [1_000.0; 3];

/// Two steps of two tasks; the second one begins after the first one has ended.
const BODY: &str = r#"{"Spec":"text","Steps":[
    {"Count":2,"Cpu":1000,"MemMb":256,"EstimateMs":5000},
    {"Count":2,"Cpu":1000,"MemMb":256,"EstimateMs":5000,"After":[0]}]}"#;

/// What goes silent.
#[derive(Debug, Clone, Copy)]
enum Silenced {
    All,
    OnlyPeers,
    OnlyStore,
}

/// Silences the open connections of one host, of other hosts to it, and of the leader to workers.
fn silence(site: &Site, at: usize, what: Silenced) {
    let host = &site.hosts[at];
    if !matches!(what, Silenced::OnlyStore) {
        host.peer_links.iter().for_each(|link| link.silence_open_connections());
        for (n, other) in site.hosts.iter().enumerate().filter(|(n, _)| *n != at) {
            // A host has no link to itself.
            other.peer_links[if at < n { at } else { at - 1 }].silence_open_connections();
        }
    }
    if !matches!(what, Silenced::OnlyPeers) {
        host.store_link.silence_open_connections();
    }
    if matches!(what, Silenced::All) {
        (0..site.fleet.len()).for_each(|worker| site.fleet.silence_open_connections(worker));
    }
}

/// Guards against tasks that are started seconds after the cancellation of their job was acknowledged. Another host
/// had stored it; its notice went over a silent connection and was sent once, and the leader's watch waited on a
/// silent one for longer than the bound.
#[test]
fn no_task_is_started_after_a_cancellation_that_is_acknowledged_beside_silent_connections() {
    let site = open_site_on_links(&LINKS, 4, TASK_DURATION);
    wait_for("the workers to be known", || site.has_stored_workers());
    for (key, what) in [(1, Silenced::All), (2, Silenced::OnlyPeers), (3, Silenced::OnlyStore)] {
        let job = JobKey(key);
        let leader = site.leader().expect("there is a leader");
        let other = &site.hosts[(leader + 1) % site.hosts.len()];
        wait_for("acceptance", || other.submit(job, BODY) == Some(200));
        wait_for("the first step to run", || site.fleet.running_of(job) == 2);
        thread::sleep(SETTLED);
        silence(&site, leader, what);
        wait_for("the acknowledgement", || other.cancel(job) == Some(200));
        let acknowledged = Instant::now();
        site.fleet.note_cancelled(job);
        wait_for("the runs to be stopped", || {
            acknowledged.elapsed() > CANCEL_LIMIT || site.fleet.running_of(job) == 0
        });
        let took = acknowledged.elapsed();
        assert!(
            took < CANCEL_LIMIT,
            "{what:?}: tasks still run {took:?} after the acknowledgement"
        );
        assert_eq!(site.leader(), Some(leader), "{what:?}: the leader lost its leadership");
    }
    thread::sleep(TASK_DURATION);
    assert!(site.fleet.violations().is_empty(), "{:#?}", site.fleet.violations());
}
