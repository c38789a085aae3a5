//! A zone in which two hosts stand is partitioned from the others, with the leader in it.

use std::io;
use std::thread;
use std::time::Duration;

use crate::site::{self, Plan, Route};
use crate::worker::Run;
use crate::{Outcome, Setup};

const CHECKS: Route = Route { name: "checks", host: "checks.example", prefix: "/checks/" };

/// The number of tasks of each submission.
const TASKS: usize = 4;

/// Returns a submission whose tasks run for 60 s, near the data in a zone's rack.
fn submission(zone: &str) -> String {
    format!(
        r#"{{"Spec":"work=60000 cpu=1000","Steps":[{{"Count":{TASKS},"Cpu":1000,"MemMb":256,"EstimateMs":60000,"Affinity":"r-{zone}"}}]}}"#
    )
}

/// How long the zone is partitioned.
const PARTITION: Duration = Duration::from_secs(12);

/// When a host is added in the other zone, after the partition has begun.
const ADDED_AFTER: Duration = Duration::from_millis(2_500);

/// Runs the case.
pub fn run(setup: &Setup) -> io::Result<Outcome> {
    let site = site::open(&Plan {
        root: setup.root.clone(),
        folder: setup.folder.clone(),
        hosts: vec!["hall-a", "hall-a", "hall-b"],
        workers: vec!["hall-a", "hall-a", "hall-b", "hall-b"],
        store: "hall-b",
        routes: vec![CHECKS],
        is_recorded: |_| true,
    })?;
    for host in [0, 1] {
        site.start_host(host)?;
    }
    if ![0, 1].iter().all(|&host| site.wait_until_ready(host))
        || !site.wait_until_workers_are_known()
    {
        return Ok(Outcome::NotRun);
    }
    for (id, zone) in [("5c0e7a21d94b36f8", "hall-a"), ("5c0e7a21d94b36f9", "hall-b")] {
        if !site.submit(&[0, 1], CHECKS, id, &submission(zone)) {
            return Ok(Outcome::NotRun);
        }
    }
    let running = || site.runs.all().iter().filter(|run| run.ended.is_none()).count();
    if !site.wait_until(Duration::from_secs(5), || running() == 2 * TASKS) {
        return Ok(Outcome::NotRun);
    }
    thread::sleep(Duration::from_secs(2));
    if setup.trouble {
        site.network.partition("hall-a");
        site.record.line("hall-a is partitioned from hall-b");
    }
    thread::sleep(ADDED_AFTER);
    site.start_host(2)?;
    thread::sleep(PARTITION - ADDED_AFTER);
    let runs = site.runs.all();
    if setup.trouble {
        site.network.heal();
        site.record.line("the partition has ended");
    }
    thread::sleep(Duration::from_secs(3));
    let mut broken = false;
    for (at, one) in runs.iter().enumerate() {
        for other in runs[..at].iter().filter(|other| overlap(other, one)) {
            broken = true;
            site.record.line(&format!(
                "TWICE: {} runs on worker {} (run {}, since {:.3} s) and on worker {} (run {}, \
                 since {:.3} s)",
                one.task,
                site.workers[other.worker].id,
                other.run,
                other.began.as_secs_f64(),
                site.workers[one.worker].id,
                one.run,
                one.began.as_secs_f64()
            ));
        }
    }
    Ok(if broken { Outcome::Broken } else { Outcome::Held })
}

/// Returns whether two runs of one task were under way at the same time; `later` began later.
fn overlap(earlier: &Run, later: &Run) -> bool {
    earlier.task == later.task && earlier.ended.is_none_or(|(at, _)| at > later.began)
}
