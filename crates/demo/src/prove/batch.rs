//! Proofs of promises 1 to 3: capacity, no concurrent runs of a task, exactly one resumption.

use std::io;
use std::time::Duration;

use async_std::task;
use gaplock_standin::checker::Findings;
use gaplock_types::api::JobStatus;
use gaplock_types::sizes;
use http_types::Method;
use serde_json::{json, Value};

use super::{ProofResult, Site};
use crate::cluster::Plan;
use crate::{load, site};

/// How long the submitted jobs may take to end.
const JOBS_END_TIMEOUT: Duration = Duration::from_secs(40);

/// Promise 1: no worker receives more work than its capacity allows.
pub async fn capacity() -> io::Result<ProofResult> {
    let mut v = ProofResult::default();
    let plan = Plan {
        service_us: 30_000,
        capacity: sizes::Resources::new(6_000, 24 * 1024, 0),
        ..Plan::default()
    };
    let mut site = Site::open(plan).await?;
    let spec =
        load::LoadSpec { callers: 40, pause: Duration::from_millis(1), ..Default::default() };
    let load = load::spawn(&site.balancer, &spec);
    let mut jobs = Vec::new();
    for i in 0..16 {
        jobs.push(site.submit(i % 2, &format!("fill-{i}"), 1_500, 4, 900).await?);
    }
    // An owner is paused for longer than its lease, so that another takes over, and resumes.
    let paused = site.owner_other_than(0).await?;
    site.cluster.entries[paused].process.pause();
    v.faults += 1;
    task::sleep(Duration::from_millis(2_500)).await;
    site.cluster.entries[paused].process.resume();
    v.faults += 1;
    // A worker is replaced by a new process at the same address.
    site.cluster.replace_worker(3)?;
    v.faults += 1;
    task::sleep(Duration::from_millis(500)).await;
    // An owner is partitioned from the store but still reaches its workers.
    let partitioned = site.owner_other_than(0).await?;
    site.cluster.entries[partitioned].store_relay.set_partitioned(true);
    v.faults += 1;
    task::sleep(Duration::from_millis(2_500)).await;
    site.cluster.entries[partitioned].store_relay.set_partitioned(false);
    let statuses = site.wait_ended(0, &jobs, JOBS_END_TIMEOUT).await?;
    let tally = load.stop().await;
    let findings = site.cluster.collect_findings().await?;
    v.check_tally(&tally, &findings);
    for s in &statuses {
        v.check(s.tasks.iter().all(|t| t.state == "done"), || format!("{} lost tasks", s.job));
    }
    v.add_figure(format!("{} requests, {} starts", tally.total(), findings.starts));
    v.add_findings(findings);
    site.check_entries(&mut v, &[0, 1, 2]).await?;
    Ok(v)
}

/// Promise 2: no task runs in two places at the same time.
pub async fn no_concurrent_runs() -> io::Result<ProofResult> {
    let mut v = ProofResult::default();
    let mut site = Site::open(Plan::default()).await?;
    let mut jobs = Vec::new();
    for i in 0..10 {
        jobs.push(site.submit(i % 3, &format!("one-{i}"), 4_000, 3, 1_000).await?);
    }
    // Further jobs are submitted all the time, so that the kill, the pause and the partition happen
    // between decision, commit, start and acknowledgement of some of them.
    for round in 0..3_u64 {
        v.faults += 1;
        disrupt_owner(&mut site, round).await?;
        site.update_balancer();
        for i in 0..4 {
            let key = format!("one-{round}-{i}");
            jobs.push(site.submit(i % 2, &key, 400, 2, 500).await?);
        }
    }
    // A worker is paused for longer than its tasks' leases. The tasks end there and run again, on
    // another worker or this one, but never in two places at the same time.
    for i in 0..6 {
        jobs.push(site.submit(i % 2, &format!("long-{i}"), 3_500, 4, 1_000).await?);
    }
    task::sleep(Duration::from_millis(500)).await;
    site.cluster.workers[1].pause();
    v.faults += 1;
    task::sleep(Duration::from_millis(4_000)).await;
    site.cluster.workers[1].resume();
    site.wait_ended(0, &jobs, JOBS_END_TIMEOUT).await?;
    remove_failure_domain(&mut site, &mut v, &mut jobs).await?;
    let statuses = site.wait_ended(0, &jobs, JOBS_END_TIMEOUT).await?;
    let attempts: u32 = statuses.iter().flat_map(|s| &s.tasks).map(|t| t.attempts).sum();
    let tasks: usize = statuses.iter().map(|s| s.tasks.len()).sum();
    check_done(&mut v, &statuses);
    v.add_figure(format!("{tasks} tasks in {attempts} attempts"));
    v.add_findings(site.cluster.collect_findings().await?);
    site.check_entries(&mut v, &[0, 1, 2]).await?;
    Ok(v)
}

/// Kills an owner (round 0), pauses one (round 1), or partitions one from a store that loses
/// answers (later rounds).
async fn disrupt_owner(site: &mut Site, round: u64) -> io::Result<()> {
    let victim = site.owner_other_than(0).await?;
    match round {
        0 => {
            site.cluster.entries[victim].process.kill();
            site.cluster.entries.remove(victim);
            site.cluster.add_entry().await?;
        }
        1 => {
            site.cluster.entries[victim].process.pause();
            task::sleep(Duration::from_millis(2_000)).await;
            site.cluster.entries[victim].process.resume();
        }
        _ => {
            site.cluster.set_store_faults(json!({"lose_percent": 30})).await?;
            site.cluster.entries[victim].store_relay.set_partitioned(true);
            task::sleep(Duration::from_millis(2_000)).await;
            site.cluster.entries[victim].store_relay.set_partitioned(false);
            site.cluster.set_store_faults(json!({})).await?;
        }
    }
    Ok(())
}

/// Checks that every task is done and none was lost.
fn check_done(v: &mut ProofResult, statuses: &[JobStatus]) {
    for s in statuses {
        v.check(s.tasks.iter().all(|t| t.state == "done"), || format!("{} lost tasks", s.job));
    }
}

/// Removes all workers of a failure domain; the tasks of its partition must run in other domains.
async fn remove_failure_domain(
    site: &mut Site,
    v: &mut ProofResult,
    jobs: &mut Vec<String>,
) -> io::Result<()> {
    let lost = site.cluster.hosts[3].domain.clone();
    site.cluster.hosts.retain(|h| h.domain != lost);
    site.cluster.publish_hosts().await?;
    v.faults += 1;
    // Jobs are distributed over all partitions by their keys, so some belong to the partition
    // without workers.
    for i in 0..16 {
        jobs.push(site.submit(i % 2, &format!("lost-{i}"), 300, 2, 500).await?);
    }
    Ok(())
}

/// Checks that each run of a task resumes from the last checkpoint of the previous run.
fn check_resumed(v: &mut ProofResult, findings: &Findings) {
    for (task, intervals) in &findings.by_task {
        for pair in intervals.windows(2).filter(|pair| !pair[0].service) {
            let resumed = pair[1].resume_ms;
            let checkpoint = pair[0].checkpoint_ms;
            v.check(resumed == checkpoint, || {
                format!("{task}: last checkpoint at {checkpoint} ms, resumed from {resumed} ms")
            });
        }
    }
}

/// Promise 3: an evicted task resumes exactly once, from its checkpoint.
pub async fn resume_once() -> io::Result<ProofResult> {
    let mut v = ProofResult::default();
    let mut site = Site::open(Plan::default()).await?;
    let mut jobs = Vec::new();
    for i in 0..8 {
        jobs.push(site.submit(i % 3, &format!("evict-{i}"), 5_000, 3, 1_000).await?);
    }
    task::sleep(Duration::from_millis(1_500)).await;
    // Two workers leave, so that their tasks are evicted. Then they return and two others leave, so
    // that some tasks are evicted twice in a row. In each round a job is cancelled meanwhile, and
    // in the second an owner is killed.
    for (round, leaving) in [[0_usize, 1], [2, 3]].iter().enumerate() {
        for i in leaving {
            site.cluster.send_to_worker(*i, "/set-leaving", json!(true)).await?;
            site.cluster.hosts[*i].leaving = true;
            v.faults += 1;
        }
        site.cluster.publish_hosts().await?;
        let cancelled = jobs.remove(0);
        let path = format!("/v1/jobs/{cancelled}");
        let key = site::PARTNER_KEYS[0].1;
        site.cluster.ask(0, Method::Delete, &path, key, &[], Value::Null).await?;
        v.faults += 1;
        if round == 1 {
            let victim = site.owner_other_than(0).await?;
            site.cluster.entries[victim].process.kill();
            site.cluster.entries.remove(victim);
            site.cluster.add_entry().await?;
            v.faults += 1;
        }
        task::sleep(Duration::from_millis(1_500)).await;
        for i in leaving {
            site.cluster.send_to_worker(*i, "/set-leaving", json!(false)).await?;
            site.cluster.hosts[*i].leaving = false;
        }
        site.cluster.publish_hosts().await?;
    }
    let statuses = site.wait_ended(0, &jobs, JOBS_END_TIMEOUT).await?;
    let findings = site.cluster.collect_findings().await?;
    let evictions: u32 = statuses.iter().flat_map(|s| &s.tasks).map(|t| t.evictions).sum();
    v.check(evictions > 0, || "no task was evicted".to_string());
    check_done(&mut v, &statuses);
    check_resumed(&mut v, &findings);
    v.add_figure(format!("{evictions} evictions"));
    v.add_findings(findings);
    site.check_entries(&mut v, &[0, 1, 2]).await?;
    Ok(v)
}
