//! Many teams run tasks of images of their own. What the daemons learn about the images becomes
//! larger than a value of the platform's store may be.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_jobs::JobKey;
use serde_json::json;

use crate::deployment::{self, wait, CannotRun, Record};
use crate::worker::{self, Worker};

const HOSTS: usize = 3;
const WORKERS: usize = 7;
const WORK: Duration = Duration::from_millis(1_500);

/// How many submissions serve users of their own, and how many fill beside them. Each has an image
/// of its own; without the disruption they share `SHARED_IMAGES`.
const SERVING: usize = 90;
const FILLING: usize = 90;
const SHARED_IMAGES: usize = 9;

/// The first ID of the submissions that serve.
const FIRST_SERVING: u64 = 0x1000;

/// How many tasks of the submissions that serve a worker has room for.
const SLOTS: usize = 80;

/// How long a submission of one short task may take to be shown as completed on workers with room;
/// the pages' bound for a state to be seen is `visible_ms`, 3 s, and for ends to be noted `AckMs`, 4 s.
const COMPLETES: Duration = Duration::from_secs(15);

/// How long a submission that lasts may take to run again, how long it may then have nothing running
/// although there is room, and how long it is watched in all.
const RESTARTS: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(3);
const WATCHED: Duration = Duration::from_secs(20);

/// Returns the name of an image, by its digest as registries name them.
fn image(kind: &str, n: usize) -> String {
    let digest: String = (0..8)
        .map(|part| format!("{:08x}", (n + 1) * 2_654_435_761 % 4_294_967_291 + part))
        .collect();
    format!("registry.example/team-{n:03}/{kind}@sha256:{digest}")
}

/// Returns the submission that a task belongs to.
fn submission_of(task: &str) -> Option<u64> {
    u64::from_str_radix(task.split('.').next()?, 16).ok()
}

/// Returns whether a submission is one of those that serve.
fn is_serving(key: u64) -> bool {
    (FIRST_SERVING..FIRST_SERVING + SERVING as u64).contains(&key)
}

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, CannotRun> {
    let mut deployment = deployment::open(HOSTS, 0, WORK)?;
    deployment.record = record.clone();
    let mut workers: Vec<Worker> = Vec::new();
    for n in 0..WORKERS {
        workers.push(task::block_on(worker::spawn(&deployment.store, n, WORK))?);
    }
    thread::sleep(Duration::from_secs(3));
    let submit = |key: u64, body: serde_json::Value| {
        deployment.submit_quietly(0, JobKey(key), &body.to_string()) == Some(200)
    };
    let shown_completed = |key: u64, limit: Duration| {
        wait(limit, || {
            thread::sleep(Duration::from_millis(500));
            deployment.state(0, JobKey(key)).contains("completed")
        })
    };
    let short = json!({"Spec": "short", "Steps": [{"Count": 2, "Cpu": 500, "MemMb": 64, "EstimateMs": 1500}]});
    if !submit(0x10, short.clone()) || !shown_completed(0x10, COMPLETES) {
        return Err(CannotRun("the first submission did not complete".to_string()));
    }
    let images = if trouble { SERVING } else { SHARED_IMAGES };
    let mut names = BTreeSet::new();
    for n in 0..SERVING.max(FILLING) {
        let (serving, filling) = (image("serve", n % images), image("fill", n % images));
        let serves = json!({"Spec": worker::SERVES, "Steps": [{"Count": 1, "Cpu": 200, "MemMb": 64,
            "EstimateMs": 1000, "Perpetual": true, "TargetMs": 50, "Image": serving}]});
        let fills = json!({"Spec": worker::FILLS, "Steps": [{"Count": 1, "Cpu": 500, "MemMb": 64,
            "EstimateMs": 1500, "Fills": true, "Image": filling}]});
        let accepted = (n >= SERVING || submit(FIRST_SERVING + n as u64, serves))
            && (n >= FILLING || submit(0x2000 + n as u64, fills));
        if !accepted {
            return Err(CannotRun("a submission was not accepted".to_string()));
        }
        names.extend([serving, filling]);
        thread::sleep(Duration::from_millis(50));
    }
    record.note(format!("{SERVING} submissions that serve and {FILLING} that fill were accepted; they name {} images", names.len()));
    thread::sleep(Duration::from_secs(8));
    let ends = |workers: &[Worker]| {
        let all = workers.iter().map(Worker::ends);
        all.fold((0, 0), |sum, ends| (sum.0 + ends.0, sum.1 + ends.1))
    };
    let before = ends(&workers);
    let accepted = submit(0x11, short.clone());
    let completed = accepted && shown_completed(0x11, COMPLETES);
    let after = ends(&workers);
    let (listed, noted) = (after.0 - before.0, after.1.saturating_sub(before.1));
    record.note(format!("the second submission: accepted {accepted}, shown as completed {completed}; {listed} more ends were listed and {noted} more were noted"));
    let lost: Vec<String> = workers[0].tasks();
    let lasting = lost.iter().filter(|task| submission_of(task).is_some_and(is_serving));
    let lasting: Vec<String> = lasting.cloned().collect();
    let id = workers[0].crash(&deployment.store);
    let crashed = Instant::now();
    record.note(format!(
        "a worker crashes with {} tasks, {} of which last, and is back as {id}",
        lost.len(),
        lasting.len()
    ));
    let away = |workers: &[Worker]| {
        let running: BTreeSet<String> = workers.iter().flat_map(Worker::tasks).collect();
        lasting.iter().filter(|task| !running.contains(*task)).count()
    };
    let mut last = usize::MAX;
    while crashed.elapsed() < WATCHED && last > 0 {
        let now = away(&workers);
        if now != last {
            record.note(format!(
                "{now} of these {} tasks run nowhere {:?} after the crash",
                lasting.len(),
                crashed.elapsed()
            ));
            last = now;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let idle = crashed.elapsed();
    let in_use: usize = workers.iter().map(Worker::running).sum();
    record
        .note(format!("{in_use} tasks run on {WORKERS} workers with room for {}", WORKERS * SLOTS));
    if let Some(task) = lasting.first() {
        if let Some(key) = submission_of(task) {
            deployment.state(0, JobKey(key));
        }
    }
    deployment.state(0, JobKey(0x11));
    deployment.record_learned();
    let refused = deployment.refused();
    for (key, size) in refused.iter().take(3) {
        record.note(format!(
            "the store refused a value of {size} bytes under {key}; it takes {}",
            deployment::VALUE_BYTES
        ));
    }
    record.note(format!("the store refused {} values", refused.len()));
    if let Some(leader) = deployment.leader() {
        deployment.record_log(leader, &["leadership_claimed", "commit_unclear", "commit_slow"]);
    }
    if trouble && refused.is_empty() {
        return Err(CannotRun("no value was too large".to_string()));
    }
    let mut broken = Vec::new();
    if last > 0 && idle > RESTARTS + IDLE && 2 * in_use < WORKERS * SLOTS {
        broken.push(format!("LOST: {last} accepted submissions that last have nothing running {idle:?} after their last run, with room for them"));
    }
    if !completed {
        broken.push(format!("Acks: {listed} ends were listed, {noted} of them noted; a submission whose tasks ended done is not shown as completed"));
    }
    Ok(broken)
}
