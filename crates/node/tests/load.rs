//! The load summary that the leader sends to the other hosts, and operators' instructions for
//! queues, on real processes.

mod support;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gaplock_jobs::JobKey;
use gaplock_overload::steer::{self, Instruction, Steer};
use gaplock_platform_standin::site::{two_steps, Site};
use support::{open_site, wait_for};

/// The demand of the job's first step: six tasks of one core.
const RUNNING_MILLICORES: u64 = 6_000;

/// The estimated work of that step: six tasks of half a core second.
const BACKLOG_CORE_S: u64 = 3;

/// Returns whether all these hosts show the load of the job.
fn all_show_load(site: &Site, hosts: &[usize]) -> bool {
    hosts.iter().map(|&host| &site.hosts[host]).all(|host| {
        host.metric("gaplock_queue_running_millicores{") == Some(RUNNING_MILLICORES)
            && host.metric("gaplock_queue_backlog_core_s{") == Some(BACKLOG_CORE_S)
            && host.metric("gaplock_load_summary_age_ms").is_some_and(|age| age < 2_000)
    })
}

/// Guards against followers that have no summary or an old one, above all after a change of leader,
/// whose summaries begin at number 1 again.
#[test]
fn all_hosts_know_the_load_under_each_leader() {
    let mut site = open_site(3, 2, Duration::from_secs(60));
    wait_for("the workers to be known", || site.has_stored_workers());
    assert_eq!(site.hosts[0].submit(JobKey(1), &two_steps()), Some(200));
    wait_for("the load at all hosts", || all_show_load(&site, &[0, 1, 2]));
    let first = site.leader().expect("there is a leader");
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    let others: Vec<usize> = (0..3).filter(|&host| host != first).collect();
    // A summary of the first leader is no longer shown after this time.
    std::thread::sleep(Duration::from_secs(3));
    wait_for("the load under the next leader", || all_show_load(&site, &others));
    assert!(site.fleet.violations().is_empty(), "{:?}", site.fleet.violations());
}

/// Guards against an instruction that a leader or its successor does not read, and against a
/// malformed one that keeps others from being read.
#[test]
fn each_leader_reads_the_instructions_for_queues() {
    let mut site = open_site(3, 2, Duration::from_secs(60));
    wait_for("the workers to be known", || site.has_stored_workers());
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
    let until_unix_ms = unix_ms.as_millis() as u64 + 600_000;
    let hold = Steer { instruction: Instruction::Hold, until_unix_ms };
    let record = steer::replaced(None, "checks", hold, 0);
    let value = serde_json::to_value(record).expect("the record can be encoded");
    site.store.put_bytes(&steer::key("broken"), b"{");
    site.store.put(&steer::key("checks"), &value);
    let first = site.leader().expect("there is a leader");
    wait_for("the instruction", || !site.hosts[first].logged("queue_steered").is_empty());
    assert_eq!(site.hosts[first].logged("steering_malformed").len(), 1);
    site.hosts[first].kill().expect("the process runs");
    let next = || site.leader().filter(|leader| *leader != first);
    wait_for("another leader", || next().is_some());
    let next = next().expect("there is another leader");
    wait_for("the instruction", || !site.hosts[next].logged("queue_steered").is_empty());
}
