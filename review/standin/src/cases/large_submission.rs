//! One requester submits a job that repeats so often that its stored progress exceeds the longest
//! value that the store takes.

use std::io;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::cases::{self, Chain};
use crate::site::{self, Plan, Route};
use crate::{Outcome, Setup};

const CHECKS: Route = Route { name: "checks", host: "checks.example", prefix: "/checks/" };

const BUNDLES: Route = Route { name: "bundles", host: "bundles.example", prefix: "/bundles/" };

/// Two steps of two tasks, each of which runs for 300 ms.
const BODY: &str = r#"{"Spec":"work=300 cpu=1000","Steps":[{"Count":2,"Cpu":1000,"MemMb":256,"EstimateMs":300},{"Count":2,"Cpu":1000,"MemMb":256,"EstimateMs":300,"After":[0]}]}"#;

const REPEATING: &str = "5c0e7a21d94b36ff";

const HOSTS: [usize; 2] = [0, 1];

/// How often the large job runs: every 3 s for a day.
const LARGE_TIMES: u64 = 28_800;

/// How often the job in its place runs without the disruption, as on the pages' sheets.
const USUAL_TIMES: u64 = 4;

const INTERVAL_MS: u64 = 3_000;

/// When the repeating job is submitted, after the start of the traffic.
const REPEATING_AT: Duration = Duration::from_secs(8);

/// How long ordinary submissions are made.
const TRAFFIC: Duration = Duration::from_secs(30);

/// Returns a job of one short task that runs every 3 s, `times` times until now.
fn repeating_job(times: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let first = now.as_millis() as u64 - times * INTERVAL_MS;
    format!(
        r#"{{"Spec":"work=20 cpu=100","Steps":[{{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":20}}],"Times":{times},"InitialDelayMs":{first},"IntervalMs":{INTERVAL_MS}}}"#
    )
}

/// Runs the case.
pub fn run(setup: &Setup) -> io::Result<Outcome> {
    let site = site::open(&Plan {
        root: setup.root.clone(),
        folder: setup.folder.clone(),
        hosts: vec!["hall-a", "hall-b"],
        workers: vec!["hall-a", "hall-a", "hall-b", "hall-b"],
        store: "hall-a",
        routes: vec![CHECKS, BUNDLES],
        is_recorded: |task| !task.starts_with(REPEATING),
    })?;
    for host in HOSTS {
        site.start_host(host)?;
    }
    if !HOSTS.iter().all(|&host| site.wait_until_ready(host))
        || !site.wait_until_workers_are_known()
    {
        return Ok(Outcome::NotRun);
    }
    let times = if setup.trouble { LARGE_TIMES } else { USUAL_TIMES };
    let mut chains: Vec<Chain> = Vec::new();
    let began = site.record.now();
    let mut repeating_sent = false;
    while site.record.now() - began < TRAFFIC {
        if !repeating_sent && site.record.now() - began >= REPEATING_AT {
            repeating_sent = true;
            if !site.submit(&HOSTS, BUNDLES, REPEATING, &repeating_job(times)) {
                return Ok(Outcome::NotRun);
            }
        }
        let id = format!("{:016x}", 0x1a00_0000_0000_0000 + chains.len() as u64);
        if site.submit(&HOSTS, CHECKS, &id, BODY) {
            chains.push(Chain::new(&id, &[2, 2]));
        }
        thread::sleep(Duration::from_secs(1));
    }
    site.record.line("the traffic ends");
    thread::sleep(cases::FINISH);
    cases::watch(&site, &mut chains);
    let runs = site.runs.all();
    let mut completed = 0;
    for chain in &chains {
        let done = if chain.is_done(&runs) { "done" } else { "not done" };
        let state = site.state(&HOSTS, CHECKS, &chain.id).unwrap_or_default();
        completed += usize::from(state == "completed");
        site.record.line(&format!("at the end: {} is {done}, shown as {state}", chain.id));
    }
    let (all, starved) = (chains.len(), chains.iter().filter(|chain| chain.starved).count());
    let oversized = site.store.oversized();
    site.record.line(&format!(
        "{completed} of {all} ordinary submissions are shown as completed; {starved} were starved \
         for 3 s; the store refused {oversized} transactions with a value over ValueBytes"
    ));
    Ok(if starved > 0 { Outcome::Broken } else { Outcome::Held })
}
