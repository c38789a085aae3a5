//! The open channels of the leader's machine go silent, without a reset, while new ones work. A
//! submission is cancelled at another machine just after that.

use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use serde_json::json;

use crate::deployment::{self, wait, CannotRun, Record};

const HOSTS: usize = 3;
const WORKERS: usize = 4;

/// How long each task runs.
const WORK: Duration = Duration::from_millis(5_000);

/// `cancel_ms` and `StopMs` of the sheet.
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(900);

/// `ContactMs` of the sheet: from then on after the disruption all machines are in touch.
const CONTACT: Duration = Duration::from_millis(3_000);

/// How long after the submission the channels go silent.
const AFTER_START: Duration = Duration::from_millis(700);

const WATCHED: Duration = Duration::from_secs(9);

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, CannotRun> {
    let mut deployment = deployment::open(HOSTS, WORKERS, WORK)?;
    deployment.record = record.clone();
    // The hosts settle on a leader.
    thread::sleep(Duration::from_secs(4));
    let leader = deployment.leader().ok_or_else(|| CannotRun("no leader".to_string()))?;
    let other = (leader + 1) % HOSTS;
    record.note(format!("{} leads", deployment.hosts[leader].name));
    let step = |after: &[u32]| json!({"Count": 2, "Cpu": 1000, "MemMb": 256, "EstimateMs": 5000, "After": after});
    let body = json!({"Spec": "text", "Steps": [step(&[]), step(&[0])]}).to_string();
    let key = JobKey(0x51);
    if deployment.submit(other, key, &body) != Some(200)
        || !wait(Duration::from_secs(3), || deployment.fleet.running_of(key) == 2)
    {
        return Err(CannotRun("the first step did not start".to_string()));
    }
    thread::sleep(AFTER_START);
    let silenced_at = Instant::now();
    if trouble {
        deployment.hosts[leader].store_link.silence_open_connections();
        for host in &deployment.hosts {
            let to_leader = host.peer_links.iter().filter(|(at, _)| *at == leader);
            to_leader.for_each(|(_, link)| link.silence_open_connections());
        }
        for (_, link) in &deployment.hosts[leader].peer_links {
            link.silence_open_connections();
        }
        for n in 0..WORKERS {
            deployment.fleet.silence_open_connections(n);
        }
        record.note(format!("the open channels of {} go silent", deployment.hosts[leader].name));
    }
    let status = deployment.cancel(other, key);
    let acknowledged_at = Instant::now();
    if !status.is_some_and(|status| (200..300).contains(&status)) {
        return Err(CannotRun(format!("the cancellation was not acknowledged: {status:?}")));
    }
    thread::sleep(WATCHED);
    deployment.state(other, key);
    let last_leader = deployment.leader().map(|at| deployment.hosts[at].name.clone());
    record.note(format!("{last_leader:?} leads"));
    let mut broken = Vec::new();
    for (task, runs) in deployment.fleet.runs_of(key) {
        for run in runs {
            let since = |at: Instant| at.saturating_duration_since(acknowledged_at);
            let (began, ended) = (since(run.began), run.ended.map(|(how, at)| (how, since(at))));
            record.note(format!(
                "{task} run {} at {}: began {began:?} after the acknowledgement, ended {ended:?}",
                run.run, run.worker
            ));
            let in_touch = run.began.saturating_duration_since(silenced_at) > CONTACT;
            if began > CANCEL && in_touch {
                broken.push(format!(
                    "UNASKED: {task} was started {began:?} after the cancelling was acknowledged"
                ));
            }
            let overdue = CANCEL + STOP;
            if ended.is_none_or(|(_, at)| at > overdue) {
                record.note(format!("{task} still ran {overdue:?} after the acknowledgement"));
            }
        }
    }
    deployment.record_log(
        leader,
        &["job_cancelled", "cancelled_unknown", "job_ended", "start_ordered", "leadership_lost"],
    );
    deployment.record_log(other, &["announce_failed", "job_cancelled"]);
    Ok(broken)
}
