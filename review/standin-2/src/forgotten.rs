//! The platform's store forgets its history while the states of submissions that ended long ago are
//! dropped.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use serde_json::json;

use crate::deployment::{self, CannotRun, Changes, Record};

const HOSTS: usize = 3;
const WORKERS: usize = 4;
const WORK: Duration = Duration::from_millis(100);

/// How long a state is to be shown, by this deployment's settings.
const STATUS_S: u64 = 15;

/// How many submissions come, one after the other with a pause.
const SUBMISSIONS: u64 = 500;
const PAUSE: Duration = Duration::from_millis(20);

/// The pauses after each time that the history is forgotten, in milliseconds.
const GAPS_MS: [u64; 8] = [900, 1270, 830, 1410, 1130, 970, 1350, 1000];

/// How long before the middle of the submissions the first time is.
const LEAD: Duration = Duration::from_millis(4_300);

/// How long after the end of the submissions in the middle the history is forgotten. The daemons keep
/// a state for 30 s longer than they have to.
const FORGET_AFTER: Duration = Duration::from_secs(STATUS_S + 30);

/// How long runs are watched after that.
const WATCHED: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, CannotRun> {
    let changes = Changes { bounds: vec![("status_s", json!(STATUS_S))], ..Changes::default() };
    let mut deployment = deployment::open_with(HOSTS, WORKERS, WORK, &changes)?;
    deployment.record = record.clone();
    let body = json!({"Spec": "text", "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 64, "EstimateMs": 100}]}).to_string();
    let began = Instant::now();
    let mut accepted = Vec::new();
    for n in 0..SUBMISSIONS {
        let key = JobKey(0x10_0000 + n);
        if deployment.submit_quietly(n as usize % HOSTS, key, &body) == Some(200) {
            accepted.push((key, Instant::now()));
        }
        thread::sleep(PAUSE);
    }
    record.note(format!(
        "{} of {SUBMISSIONS} submissions were accepted within {:?}",
        accepted.len(),
        began.elapsed()
    ));
    let (middle, middle_at) = accepted[accepted.len() / 2];
    while middle_at.elapsed() + LEAD < FORGET_AFTER + WORK {
        thread::sleep(Duration::from_millis(100));
        if middle_at.elapsed().as_millis() % 10_000 < 100 {
            deployment.state(0, middle);
        }
    }
    let forgotten_at = Instant::now();
    for gap in GAPS_MS {
        if trouble {
            deployment.store.discard_history();
            record.note("the store forgets its history");
        }
        thread::sleep(Duration::from_millis(gap));
    }
    thread::sleep(WATCHED);
    let mut broken = Vec::new();
    let mut starts: BTreeMap<usize, usize> = BTreeMap::new();
    for (key, _) in &accepted {
        for (task, runs) in deployment.fleet.runs_of(*key) {
            *starts.entry(runs.len()).or_default() += 1;
            let mut done = None;
            for run in &runs {
                if let (Some((number, at)), true) = (done, run.began > forgotten_at) {
                    let after = run.began.saturating_duration_since(at);
                    broken.push(format!("TWICE: {task} ended `done` as run {number} and was started again as run {} at {}, {after:?} later", run.run, run.worker));
                }
                done = run
                    .ended
                    .filter(|(how, _)| *how == "done")
                    .map(|(_, at)| (run.run, at))
                    .or(done);
            }
        }
    }
    record.note(format!("tasks by their number of starts: {starts:?}"));
    for violation in deployment.fleet.violations() {
        record.note(format!("the checker of the project's stand-ins: {violation}"));
    }
    if let Some(leader) = deployment.leader() {
        deployment.record_log(leader, &["leadership_claimed", "leadership_lost", "commit_slow"]);
    }
    Ok(broken)
}
