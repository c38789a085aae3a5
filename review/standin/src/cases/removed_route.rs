//! The operator removes a route, and gives another one a new name, while submissions that they
//! accepted are under way.

use std::io;
use std::thread;
use std::time::Duration;

use crate::cases::{self, Chain};
use crate::site::{self, Plan, Route};
use crate::{Outcome, Setup};

const CHECKS: Route = Route { name: "checks", host: "checks.example", prefix: "/checks/" };

/// The route that is removed.
const REPORTS: Route = Route { name: "reports", host: "reports.example", prefix: "/reports/" };

/// The route that is removed and added again under another name.
const BUNDLES: Route = Route { name: "bundles", host: "bundles.example", prefix: "/bundles/" };

const RENAMED: Route = Route { name: "bundles-2", ..BUNDLES };

/// How many submissions each of the two routes accepts.
const SUBMISSIONS: u64 = 2;

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
        routes: vec![CHECKS, REPORTS, BUNDLES],
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
    for (at, route) in [REPORTS, BUNDLES].into_iter().enumerate() {
        for number in 0..SUBMISSIONS {
            let id = format!("{:016x}", 0x5c0e_7a21_d94b_3600 + 16 * at as u64 + number);
            if !site.submit(&HOSTS, route, &id, BODY) {
                return Ok(Outcome::NotRun);
            }
            chains.push(Chain::new(&id, &[2, 2]));
        }
    }
    thread::sleep(Duration::from_millis(500));
    if setup.trouble {
        site.store.put("op/config", &site::configuration(2, &[CHECKS, RENAMED]));
        site.record.line(
            "operator: version 2, without the route reports, and with bundles-2 in place of \
             bundles (same host, prefix and service); it is confirmed",
        );
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
    for (at, chain) in chains.iter().enumerate() {
        let route = if (at as u64) < SUBMISSIONS { REPORTS } else { BUNDLES };
        site.state(&HOSTS, route, &chain.id);
    }
    site.state(&HOSTS, CHECKS, &other.id);
    if !other.is_done(&runs) {
        return Ok(Outcome::NotRun);
    }
    Ok(if chains.iter().any(|chain| chain.starved) { Outcome::Broken } else { Outcome::Held })
}
