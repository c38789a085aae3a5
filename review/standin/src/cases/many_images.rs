//! Submissions name many images, so that what the leader learns of them exceeds the longest value
//! that the store takes.

use std::io;
use std::thread;
use std::time::Duration;

use crate::cases::{self, Chain};
use crate::site::{self, Plan, Route, Site};
use crate::{Outcome, Setup};

const CHECKS: Route = Route { name: "checks", host: "checks.example", prefix: "/checks/" };

const BUNDLES: Route = Route { name: "bundles", host: "bundles.example", prefix: "/bundles/" };

const LISTENERS: Route = Route { name: "listen", host: "listen.example", prefix: "/listen/" };

/// An ordinary submission: ten tasks, then two, each of which runs for 100 ms.
const BODY: &str = r#"{"Spec":"work=100 cpu=100","Steps":[{"Count":10,"Cpu":100,"MemMb":64,"EstimateMs":100},{"Count":2,"Cpu":100,"MemMb":64,"EstimateMs":100,"After":[0]}]}"#;

const HOSTS: [usize; 2] = [0, 1];

/// The number of submissions whose task lasts and serves users, and how many images they name: one
/// each, or as many as on the pages' sheets.
const SERVING: u64 = 30;
const USUAL_SERVING_IMAGES: u64 = 5;

/// The number of submissions whose task fills, and how many images they name: one each, or as many
/// as on the pages' sheets.
const FILLING: u64 = 360;
const USUAL_FILLING_IMAGES: u64 = 9;

/// How many submissions that fill come between two pauses.
const BETWEEN_PAUSES: u64 = 30;

/// How long ordinary submissions go on after the last one that names an image.
const TRAFFIC: Duration = Duration::from_secs(30);

/// Returns the name of an image, as registries have them.
fn image(kind: &str, number: u64) -> String {
    format!("registry.coldtrace.example/partner-{number:03}/{kind}:2026.11.{:02}-r1", number % 30)
}

fn serving(image: &str) -> String {
    format!(
        r#"{{"Spec":"cpu=100 tail=4","Steps":[{{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":500,"Perpetual":true,"Image":"{image}","TargetMs":50}}]}}"#
    )
}

fn filling(image: &str) -> String {
    format!(
        r#"{{"Spec":"work=100 cpu=100","Steps":[{{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":100,"Image":"{image}","Fills":true}}]}}"#
    )
}

/// Submits one ordinary submission.
fn submit_ordinary(site: &Site, chains: &mut Vec<Chain>) {
    let id = format!("{:016x}", 0x1a00_0000_0000_0000 + chains.len() as u64);
    if site.submit(&HOSTS, CHECKS, &id, BODY) {
        chains.push(Chain::new(&id, &[10, 2]));
    }
}

/// Runs the case.
pub fn run(setup: &Setup) -> io::Result<Outcome> {
    let site = site::open(&Plan {
        root: setup.root.clone(),
        folder: setup.folder.clone(),
        hosts: vec!["hall-a", "hall-b"],
        workers: vec!["hall-a", "hall-b"],
        store: "hall-a",
        routes: vec![CHECKS, BUNDLES, LISTENERS],
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
    let kinds = |all, usual| if setup.trouble { all } else { usual };
    for number in 0..SERVING {
        let id = format!("{:016x}", 0x3c00_0000_0000_0000 + number);
        let image = image("sensor-feed", number % kinds(SERVING, USUAL_SERVING_IMAGES));
        if !site.submit(&HOSTS, LISTENERS, &id, &serving(&image)) {
            return Ok(Outcome::NotRun);
        }
    }
    let mut chains = Vec::new();
    for number in 0..FILLING {
        let id = format!("{:016x}", 0x2b00_0000_0000_0000 + number);
        let image = image("audit-bundle", number % kinds(FILLING, USUAL_FILLING_IMAGES));
        if !site.submit(&HOSTS, BUNDLES, &id, &filling(&image)) {
            return Ok(Outcome::NotRun);
        }
        thread::sleep(Duration::from_millis(60));
        if number % BETWEEN_PAUSES == BETWEEN_PAUSES - 1 {
            submit_ordinary(&site, &mut chains);
            thread::sleep(Duration::from_millis(1_200));
        }
    }
    let began = site.record.now();
    while site.record.now() - began < TRAFFIC {
        submit_ordinary(&site, &mut chains);
        thread::sleep(Duration::from_millis(150));
    }
    site.record.line("the traffic ends");
    thread::sleep(cases::FINISH);
    cases::watch(&site, &mut chains);
    let runs = site.runs.all();
    let mut completed = 0;
    for chain in &chains {
        let state = site.state(&HOSTS, CHECKS, &chain.id).unwrap_or_default();
        completed += usize::from(state == "completed");
    }
    let (all, starved) = (chains.len(), chains.iter().filter(|chain| chain.starved).count());
    let done = chains.iter().filter(|chain| chain.is_done(&runs)).count();
    let oversized = site.store.oversized();
    site.record.line(&format!(
        "of {all} ordinary submissions all tasks of {done} are done, {completed} are shown as \
         completed, {starved} were starved for 3 s; the store refused {oversized} transactions \
         with a value over ValueBytes"
    ));
    Ok(if starved > 0 { Outcome::Broken } else { Outcome::Held })
}
