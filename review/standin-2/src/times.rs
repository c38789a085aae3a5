//! One submission with many times, all of which are due, is accepted beside the usual ones.

use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use serde_json::json;

use crate::deployment::{self, wait, CannotRun, Record};

const HOSTS: usize = 3;
const WORKERS: usize = 4;

/// How many tasks of these submissions a worker holds.
const SLOTS: usize = 16;

const WORK: Duration = Duration::from_millis(300);

/// The default of `Times`: every hour of a year.
const TIMES: u32 = 8_760;

/// The tasks of the submission that lasts, and how many of them may be away at a time.
const LASTING: usize = 4;
const MAY_MISS: usize = 1;

/// How long a submission may have nothing running although there is room, where the time before
/// that is calm: 3 s after 4 s.
const IDLE: Duration = Duration::from_millis(3_000);
const CALM: Duration = Duration::from_millis(4_000);

const WATCHED: Duration = Duration::from_secs(20);
const SAMPLE: Duration = Duration::from_millis(100);

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, CannotRun> {
    let times = TIMES;
    let mut deployment = deployment::open(HOSTS, WORKERS, WORK)?;
    deployment.record = record.clone();
    let (lasting, many, small) = (JobKey(0x61), JobKey(0x62), JobKey(0x63));
    let step = |count: usize| json!({"Count": count, "Cpu": 1000, "MemMb": 64, "EstimateMs": 300});
    let mut lasting_step = step(LASTING);
    lasting_step["Perpetual"] = json!(true);
    lasting_step["MayMiss"] = json!(MAY_MISS);
    let body = json!({"Spec": "lasting", "Steps": [lasting_step]}).to_string();
    if deployment.submit(0, lasting, &body) != Some(200)
        || !wait(Duration::from_secs(5), || deployment.fleet.running_of(lasting) == LASTING)
    {
        return Err(CannotRun("the submission that lasts did not start".to_string()));
    }
    thread::sleep(CALM + Duration::from_secs(1));
    if trouble {
        let body = json!({"Spec": "text", "Times": times, "InitialDelayMs": 0,
            "IntervalMs": 3_600_000, "Steps": [step(1)]});
        if deployment.submit(0, many, &body.to_string()) != Some(200) {
            return Err(CannotRun("the submission with many times was not accepted".to_string()));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let body = json!({"Spec": "text", "Steps": [step(2)]}).to_string();
    if deployment.submit(0, small, &body) != Some(200) {
        return Err(CannotRun("the small submission was not accepted".to_string()));
    }
    let handed_in = Instant::now();
    let (mut idle_since, mut longest_idle) = (None, Duration::ZERO);
    let mut shown_use = usize::MAX;
    while handed_in.elapsed() < WATCHED {
        let in_use: usize = (0..WORKERS).map(|n| deployment.fleet.running_at(n)).sum();
        let lasting_runs = deployment.fleet.running_of(lasting);
        if in_use != shown_use && (in_use == 0 || shown_use == usize::MAX || lasting_runs == in_use)
        {
            record.note(format!("{in_use} tasks run on {WORKERS} workers with room for {}, {lasting_runs} of them last", WORKERS * SLOTS));
            shown_use = in_use;
        }
        let has_room = 2 * in_use < WORKERS * SLOTS;
        let is_idle = has_room && !deployment.fleet.has_started(small);
        idle_since = if is_idle { idle_since.or(Some(Instant::now())) } else { None };
        longest_idle = longest_idle.max(idle_since.map_or(Duration::ZERO, |at| at.elapsed()));
        thread::sleep(SAMPLE);
    }
    for key in [lasting, many, small] {
        deployment.state(0, key);
    }
    let mut broken = Vec::new();
    let mut lapsed: Vec<Instant> = Vec::new();
    for (task, runs) in deployment.fleet.runs_of(lasting) {
        for run in runs {
            if let Some((how, at)) = run.ended {
                let after = at.saturating_duration_since(handed_in);
                record.note(format!(
                    "{task} run {} at {} ended `{how}` {after:?} after the last POST",
                    run.run, run.worker
                ));
                if how == "lapsed" {
                    lapsed.push(at);
                }
            }
        }
    }
    record.note(format!("the small submission had nothing running for {longest_idle:?} while under half of the workers' room was in use"));
    if let Some(leader) = deployment.leader() {
        deployment.record_log(
            leader,
            &[
                "leadership_claimed",
                "leadership_lost",
                "job_known",
                "step_waits",
                "queue_backlogged",
            ],
        );
    }
    if longest_idle > IDLE {
        broken.push(format!("LOST: an accepted submission had nothing running for {longest_idle:?} with room for it twice over"));
    }
    if lapsed.len() > MAY_MISS {
        broken.push(format!(
            "AVAIL: the leases of {} of {LASTING} tasks lapsed, and {MAY_MISS} may be away",
            lapsed.len()
        ));
    }
    Ok(broken)
}
