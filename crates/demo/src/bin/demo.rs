//! `gaplock-demo`: the command that the README shows.
//!
//! Runs the whole path of configuration, requests and jobs with separate processes, and kills an
//! entry meanwhile. Prints each step as a row of a table and ends with `demo: ok`.

use std::io;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_demo::calls::wait_until;
use gaplock_demo::cluster::{Cluster, Plan};
use gaplock_demo::site;
use gaplock_types::api;
use http_types::Method;
use serde_json::json;

/// Bounds the wait for each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    match task::block_on(run()) {
        Ok(()) => {
            println!("demo: ok");
            ExitCode::SUCCESS
        }
        Err(e) => {
            println!("demo: FAILED {e}");
            ExitCode::FAILURE
        }
    }
}

/// Prints a row of the table.
fn print_step(began: Instant, what: &str, result: &str) {
    println!("{:>7.2}s  {what:<38} {result}", began.elapsed().as_secs_f64());
}

/// Returns an error with the text `what` unless `holds`.
fn ensure(holds: bool, what: &str) -> io::Result<()> {
    if holds {
        Ok(())
    } else {
        Err(io::Error::other(what.to_string()))
    }
}

async fn run() -> io::Result<()> {
    let began = Instant::now();
    println!("   time  what                                   result");
    let plan = Plan { workers: 8, ..Plan::default() };
    let mut cluster = Cluster::start(plan).await?;
    print_step(began, "started", "1 store, 1 host list, 8 workers in 4 domains, 3 entries");
    for i in 0..3 {
        cluster.wait_ready(i, STEP_TIMEOUT).await?;
    }
    change_configuration(&cluster, began).await?;
    let jobs = serve_and_submit(&cluster, began).await?;
    kill_an_entry(&mut cluster, began).await?;
    finish_jobs(&cluster, began, &jobs).await?;
    check_findings(&cluster, began).await
}

async fn change_configuration(cluster: &Cluster, began: Instant) -> io::Result<()> {
    let intent = site::first_intent(8);
    let answer =
        cluster.ask(0, Method::Post, "/v1/intents", site::BOOTSTRAP_KEY, &[], intent).await?;
    let plan: api::Plan = answer
        .json()
        .ok_or_else(|| io::Error::other(String::from_utf8_lossy(&answer.body).into_owned()))?;
    print_step(
        began,
        "intent stated at entry-0",
        &format!("plan with {} changes", plan.changes.len()),
    );
    for change in &plan.changes {
        println!("          - {change}");
    }
    let done = cluster.confirm(1, site::BOOTSTRAP_KEY, &plan).await?;
    let text = String::from_utf8_lossy(&done.body).into_owned();
    ensure(done.status == 200, &format!("confirmation: {} {text}", done.status))?;
    print_step(began, "confirmed at entry-1", "in force at all 3 entries");
    cluster.wait_usable(0, 8, STEP_TIMEOUT).await?;
    for entry in 0..3 {
        cluster.wait_serving(entry, STEP_TIMEOUT).await?;
    }
    print_step(began, "8 workers usable", "replicas of coldtrace serve through every entry");
    Ok(())
}

async fn serve_and_submit(cluster: &Cluster, began: Instant) -> io::Result<Vec<String>> {
    let path = format!("/v1/services/{}/check", site::SERVICE);
    let mut answered = 0;
    for i in 0..40 {
        let (_, key) = site::PARTNER_KEYS[i % 2];
        let body = json!({"pallet": i});
        let answer = cluster.ask(i % 2, Method::Post, &path, key, &[], body.clone()).await?;
        ensure(answer.status == 200, &format!("request {i}: status {}", answer.status))?;
        ensure(
            answer.json() == Some(body),
            &format!("request {i}: the answer belongs to another request"),
        )?;
        answered += 1;
    }
    print_step(began, "callers' requests through 2 entries", &format!("{answered} whole answers"));
    let mut jobs = Vec::new();
    for i in 0..12 {
        let (_, key) = site::PARTNER_KEYS[i % 2];
        let spec = json!({
            "class": if i % 3 == 0 { "reconcile" } else { "bundle" },
            "demand": {"cpu": 1_000, "mem": 1_024}, "work_ms": 2_500, "tasks": 2,
        });
        let id = format!("demo-job-{i}");
        let headers = [("idempotency-key", id.as_str())];
        let answer = cluster.ask(i % 2, Method::Post, "/v1/jobs", key, &headers, spec).await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        ensure(answer.status == 202, &format!("job {i}: {text}"))?;
        let job =
            answer.json::<serde_json::Value>().and_then(|v| v["job"].as_str().map(String::from));
        jobs.push(
            job.ok_or_else(|| io::Error::other("the answer to a submitted job has no job id"))?,
        );
    }
    print_step(began, "batch jobs through 2 entries", "12 jobs of 2 tasks stored");
    Ok(jobs)
}

async fn kill_an_entry(cluster: &mut Cluster, began: Instant) -> io::Result<()> {
    task::sleep(Duration::from_millis(600)).await;
    cluster.entries[2].process.kill();
    print_step(began, "entry-2 killed with SIGKILL", "");
    let path = format!("/v1/services/{}/check", site::SERVICE);
    let (mut answered, mut refused) = (0, 0);
    for i in 0..60 {
        let (_, key) = site::PARTNER_KEYS[i % 2];
        let answer = cluster.ask(i % 2, Method::Post, &path, key, &[], json!({"n": i})).await?;
        match answer.status {
            200 => answered += 1,
            502 | 503 => refused += 1,
            other => return Err(io::Error::other(format!("status {other} after the kill"))),
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    print_step(
        began,
        "requests meanwhile",
        &format!("{answered} answered, {refused} refused with a code"),
    );
    let took = cluster.wait_usable(0, 8, STEP_TIMEOUT).await?;
    print_step(began, "its workers taken over", &format!("after {:.1}s more", took.as_secs_f64()));
    Ok(())
}

async fn finish_jobs(cluster: &Cluster, began: Instant, jobs: &[String]) -> io::Result<()> {
    let mut attempts = 0;
    for (i, job) in jobs.iter().enumerate() {
        let (_, key) = site::PARTNER_KEYS[i % 2];
        let path = format!("/v1/jobs/{job}");
        let status = |entry: usize| {
            let path = path.clone();
            async move {
                let answer =
                    cluster.ask(entry, Method::Get, &path, key, &[], serde_json::Value::Null).await;
                answer.ok().and_then(|a| a.json::<api::JobStatus>())
            }
        };
        wait_until(STEP_TIMEOUT, &format!("the end of {job}"), || async {
            status(0).await.is_some_and(|s| s.ended)
        })
        .await?;
        let done = status(1)
            .await
            .ok_or_else(|| io::Error::other("entry 1 returned no status of the job"))?;
        ensure(done.tasks.iter().all(|t| t.state == "done"), &format!("{job} has lost tasks"))?;
        attempts += done.tasks.iter().map(|t| t.attempts).sum::<u32>();
    }
    let tasks = jobs.len() * 2;
    print_step(began, "jobs finished", &format!("{tasks} tasks in {attempts} attempts, none lost"));
    Ok(())
}

async fn check_findings(cluster: &Cluster, began: Instant) -> io::Result<()> {
    let findings = cluster.collect_findings().await?;
    for violation in &findings.violations {
        println!("          ! {violation}");
    }
    ensure(findings.violations.is_empty(), "the workers' checkers found violations")?;
    let mut violations = 0.0;
    for entry in 0..2 {
        violations += cluster.metric(entry, "gaplock_invariant_violations_total").await?;
    }
    ensure(violations == 0.0, "an entry counted a violation of an invariant")?;
    print_step(
        began,
        "the workers' judge",
        &format!("{} starts, {} checks, 0 violations", findings.starts, findings.checks),
    );
    Ok(())
}
