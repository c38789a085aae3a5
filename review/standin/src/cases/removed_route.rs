//! The operator removes a route while submissions that it accepted are under way.

use std::io;
use std::thread;
use std::time::Duration;

use crate::cases::{self, Chain};
use crate::site::{self, Plan, Route};
use crate::{Outcome, Setup};

const CHECKS: Route = Route { name: "checks", host: "checks.example", prefix: "/checks/" };

const BUNDLES: Route = Route { name: "bundles", host: "bundles.example", prefix: "/bundles/" };

/// Two steps of two tasks, each of which runs for 2 s.
const BODY: &str = r#"{"Spec":"work=2000 cpu=1000","Steps":[{"Count":2,"Cpu":1000,"MemMb":256,"EstimateMs":2000},{"Count":2,"Cpu":1000,"MemMb":256,"EstimateMs":2000,"After":[0]}]}"#;

const HOSTS: [usize; 2] = [0, 1];

/// Runs the case.
pub fn run(setup: &Setup) -> io::Result<Outcome> {
    let site = site::open(&Plan {
        root: setup.root.clone(),
        folder: setup.folder.clone(),
        hosts: vec!["hall-a", "hall-b"],
        workers: vec!["hall-a", "hall-a", "hall-b", "hall-b"],
        store: "hall-a",
        routes: vec![CHECKS, BUNDLES],
        is_recorded: |_| true,
    })?;
    for host in HOSTS {
        site.start_host(host)?;
    }
    if !HOSTS.iter().all(|&host| site.wait_until_ready(host))
        || !site.wait_until_workers_are_known()
    {
        return Ok(Outcome::NotRun);
    }
    let mut chains = Vec::new();
    for number in 0..3_u64 {
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_3600 + number);
        if !site.submit(&HOSTS, BUNDLES, &id, BODY) {
            return Ok(Outcome::NotRun);
        }
        chains.push(Chain::new(&id, &[2, 2]));
    }
    thread::sleep(Duration::from_millis(500));
    if setup.trouble {
        site.store.put("op/config", &site::configuration(2, &[CHECKS]));
        site.record.line("operator: version 2 removes the route bundles; it is confirmed");
    }
    // A submission of the remaining route shows that the installation works on.
    let id = "5c0e7a21d94b36ff";
    if !site.submit(&HOSTS, CHECKS, id, BODY) {
        return Ok(Outcome::NotRun);
    }
    let other = Chain::new(id, &[2, 2]);
    site.record.line("the traffic ends");
    thread::sleep(cases::FINISH);
    chains.push(other);
    cases::watch(&site, &mut chains);
    let runs = site.runs.all();
    for chain in &chains {
        let done = if chain.is_done(&runs) { "done" } else { "not done" };
        site.record.line(&format!("at the end: {} is {done}", chain.id));
    }
    let Some(other) = chains.pop() else { return Ok(Outcome::NotRun) };
    for (chain, route) in chains.iter().map(|c| (c, BUNDLES)).chain([(&other, CHECKS)]) {
        site.state(&HOSTS, route, &chain.id);
    }
    if !other.is_done(&runs) {
        return Ok(Outcome::NotRun);
    }
    Ok(if chains.iter().any(|chain| chain.starved) { Outcome::Broken } else { Outcome::Held })
}
