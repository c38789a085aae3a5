//! A few submissions are handed in whose gangs have to wait for room: all workers together could hold
//! one, but for the tasks of a submission that lasts. Small submissions come beside them.

use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::{JobKey, TaskKey};
use serde_json::json;

use crate::deployment::{self, wait, CannotRun, Record};

const HOSTS: usize = 3;
const WORKERS: usize = 40;

/// How many tasks of one core a worker holds.
const SLOTS: usize = 16;

const WORK: Duration = Duration::from_millis(300);

/// The submissions that wait, and the width of each one's gang.
const WAITING: u64 = 10;
const WIDTH: usize = 636;

/// The pause between two small submissions.
const SMALL_GAP: Duration = Duration::from_secs(3);

/// How long a submission may have nothing running although there is room.
const IDLE: Duration = Duration::from_secs(3);

/// The tasks of the submission that lasts, and how many of them may be away at a time.
const LASTING: usize = 6;
const MAY_MISS: usize = 1;

/// How long the deployment runs undisturbed before, and how long it is watched after that.
const CALM: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(40);

/// The time at which a run of a task began, and how and when it ended.
type Span = (Instant, Option<(&'static str, Instant)>);

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, CannotRun> {
    let mut deployment = deployment::open(HOSTS, WORKERS, WORK)?;
    deployment.record = record.clone();
    let lasting = JobKey(0x41);
    let step = json!({"Count": LASTING, "Cpu": 1000, "MemMb": 64, "EstimateMs": 300,
        "Perpetual": true, "MayMiss": MAY_MISS, "AntiAffinity": 1});
    let body = json!({"Spec": "lasting", "Steps": [step]}).to_string();
    if deployment.submit(0, lasting, &body) != Some(200)
        || !wait(Duration::from_secs(5), || deployment.fleet.running_of(lasting) == LASTING)
    {
        return Err(CannotRun("the submission that lasts did not start".to_string()));
    }
    thread::sleep(CALM);
    if trouble {
        record.note(format!("the workers have room for {} tasks together", WORKERS * SLOTS));
        let step =
            json!({"Count": WIDTH, "Cpu": 1000, "MemMb": 64, "EstimateMs": 300, "Gang": true});
        let body = json!({"Spec": "text", "Steps": [step]}).to_string();
        for n in 0..WAITING {
            deployment.submit((n as usize) % HOSTS, JobKey(0x4200 + n), &body);
        }
    }
    let watched_from = Instant::now();
    let mut last = usize::MAX;
    let small = json!({"Spec": "text", "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 64, "EstimateMs": 300}]}).to_string();
    let mut accepted: Vec<(JobKey, Instant)> = Vec::new();
    let mut last_busy = None;
    let mut next_small = watched_from;
    while watched_from.elapsed() < WATCHED {
        let runs = deployment.fleet.running_of(lasting);
        if runs != last {
            record.note(format!("{runs} of {LASTING} tasks of {lasting} run"));
            last = runs;
        }
        let in_use: usize = (0..WORKERS).map(|n| deployment.fleet.running_at(n)).sum();
        if 2 * in_use >= WORKERS * SLOTS {
            last_busy = Some(Instant::now());
        }
        if next_small.elapsed() >= SMALL_GAP {
            next_small = Instant::now();
            let key = JobKey(0x4300 + watched_from.elapsed().as_millis() as u64);
            if deployment.submit(0, key, &small) == Some(200) {
                accepted.push((key, Instant::now()));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    deployment.state(0, lasting);
    if let Some(at) = last_busy {
        let after = at.saturating_duration_since(watched_from);
        record.note(format!("half of the room was in use, last {after:?} after the last POST"));
    }
    let mut starved = Vec::new();
    for (key, since) in accepted {
        let runs = deployment.fleet.runs_of(key);
        let began = runs.values().flatten().map(|run| run.began).min();
        // Only the time counts in which under half of the room was in use.
        let since = last_busy.map_or(since, |at| since.max(at));
        let waited = began.unwrap_or_else(Instant::now).saturating_duration_since(since);
        record.note(format!("{key} had nothing running for {waited:?} after its acceptance"));
        if waited > IDLE {
            starved.push((key, waited));
        }
    }
    let mut spans: Vec<(TaskKey, Vec<Span>)> = Vec::new();
    for (task, runs) in deployment.fleet.runs_of(lasting) {
        for run in &runs {
            let since = |at: Instant| at.saturating_duration_since(watched_from);
            let ended = run.ended.map(|(how, at)| (how, since(at)));
            let (number, worker, began) = (run.run, &run.worker, since(run.began));
            record.note(format!("{task} run {number} at {worker}: began {began:?}, ended {ended:?} after the last POST"));
        }
        spans.push((task, runs.iter().map(|run| (run.began, run.ended)).collect()));
    }
    if let Some(leader) = deployment.leader() {
        deployment.record_log(
            leader,
            &[
                "leadership_claimed",
                "leadership_lost",
                "job_known",
                "worker_lost",
                "directory_behind",
            ],
        );
    }
    let mut found = broken(&spans, watched_from);
    found.extend(starved.iter().map(|(key, waited)| {
        format!("LOST: the small submission {key} had nothing running for {waited:?} while under half of the room was in use")
    }));
    Ok(found)
}

/// Returns the tasks whose leases lapsed while as many others of their step as may be away were away
/// by the same cause. No disturbance was near, so that a lapse counts as an order.
fn broken(spans: &[(TaskKey, Vec<Span>)], from: Instant) -> Vec<String> {
    let lapsed_at = |span: &Span| span.1.filter(|(how, _)| *how == "lapsed").map(|(_, at)| at);
    let is_away = |runs: &[Span], at: Instant| {
        let before = runs.iter().rfind(|(began, _)| *began <= at);
        before.and_then(lapsed_at).is_some_and(|end| end <= at)
    };
    let mut found = Vec::new();
    for (task, runs) in spans {
        for at in runs.iter().filter_map(lapsed_at) {
            let others = spans.iter().filter(|(other, runs)| other != task && is_away(runs, at));
            let away = others.count();
            if away >= MAY_MISS {
                let after = at.saturating_duration_since(from);
                found.push(format!(
                    "AVAIL: the lease of {task} lapsed {after:?} after the last POST while {away} others of its step were away by the same cause"
                ));
            }
        }
    }
    found
}
