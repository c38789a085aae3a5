//! Promises 1 to 3: capacity, one place, exactly one resumption.

use std::io;
use std::time::Duration;

use async_std::task;
use gaplock_standin::judge::Findings;
use gaplock_types::api::JobStatus;
use gaplock_types::sizes;
use http_types::Method;
use serde_json::{json, Value};

use super::{Site, Verdict};
use crate::cluster::Plan;
use crate::{load, site};

const ENDED_LIMIT: Duration = Duration::from_secs(40);

/// Promise 1: no worker gets more than it can carry.
pub async fn capacity() -> io::Result<Verdict> {
    let mut v = Verdict::default();
    let plan = Plan {
        service_us: 30_000,
        capacity: sizes::Resources::new(6_000, 24 * 1024, 0),
        ..Plan::default()
    };
    let mut site = Site::open(plan).await?;
    let wish =
        load::LoadSpec { callers: 40, pause: Duration::from_millis(1), ..Default::default() };
    let load = load::spawn(&site.balancer, &wish);
    let mut jobs = Vec::new();
    for i in 0..16 {
        jobs.push(site.submit(i % 2, &format!("fill-{i}"), 1_500, 4, 900).await?);
    }
    // An owner is frozen across its lease, while another takes over, and thaws.
    let frozen = site.owner_other_than(0).await?;
    site.cluster.entries[frozen].process.pause();
    v.faults += 1;
    task::sleep(Duration::from_millis(2_500)).await;
    site.cluster.entries[frozen].process.resume();
    v.faults += 1;
    // A worker is replaced under the same address.
    site.cluster.replace_worker(3)?;
    v.faults += 1;
    task::sleep(Duration::from_millis(500)).await;
    // An owner does not reach the store, but its workers.
    let cut = site.owner_other_than(0).await?;
    site.cluster.entries[cut].store_relay.set_partitioned(true);
    v.faults += 1;
    task::sleep(Duration::from_millis(2_500)).await;
    site.cluster.entries[cut].store_relay.set_partitioned(false);
    let statuses = site.wait_ended(0, &jobs, ENDED_LIMIT).await?;
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

/// Promise 2: no task runs in two places.
pub async fn no_concurrent_runs() -> io::Result<Verdict> {
    let mut v = Verdict::default();
    let mut site = Site::open(Plan::default()).await?;
    let mut jobs = Vec::new();
    for i in 0..10 {
        jobs.push(site.submit(i % 3, &format!("one-{i}"), 4_000, 3, 1_000).await?);
    }
    // Kills, freezes and cuts fall between decision, commit, start and acknowledgement, since
    // further jobs are submitted all the while.
    for round in 0..3_u64 {
        v.faults += 1;
        harm_an_owner(&mut site, round).await?;
        site.update_balancer();
        for i in 0..4 {
            let key = format!("one-{round}-{i}");
            jobs.push(site.submit(i % 2, &key, 400, 2, 500).await?);
        }
    }
    // A worker is frozen longer than its tasks' leases: they end there and run elsewhere or
    // there again, never at once.
    for i in 0..6 {
        jobs.push(site.submit(i % 2, &format!("long-{i}"), 3_500, 4, 1_000).await?);
    }
    task::sleep(Duration::from_millis(500)).await;
    site.cluster.workers[1].pause();
    v.faults += 1;
    task::sleep(Duration::from_millis(4_000)).await;
    site.cluster.workers[1].resume();
    site.wait_ended(0, &jobs, ENDED_LIMIT).await?;
    lose_a_failure_domain(&mut site, &mut v, &mut jobs).await?;
    let statuses = site.wait_ended(0, &jobs, ENDED_LIMIT).await?;
    let attempts: u32 = statuses.iter().flat_map(|s| &s.tasks).map(|t| t.attempts).sum();
    let tasks: usize = statuses.iter().map(|s| s.tasks.len()).sum();
    check_done(&mut v, &statuses);
    v.add_figure(format!("{tasks} tasks in {attempts} attempts"));
    v.add_findings(site.cluster.collect_findings().await?);
    site.check_entries(&mut v, &[0, 1, 2]).await?;
    Ok(v)
}

/// Kills, freezes or cuts off an owner, by the round.
async fn harm_an_owner(site: &mut Site, round: u64) -> io::Result<()> {
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

/// Checks that no task of a job was lost.
fn check_done(v: &mut Verdict, statuses: &[JobStatus]) {
    for s in statuses {
        v.check(s.tasks.iter().all(|t| t.state == "done"), || format!("{} lost tasks", s.job));
    }
}

/// A failure domain loses all its workers: what its partition holds runs in others.
async fn lose_a_failure_domain(
    site: &mut Site,
    v: &mut Verdict,
    jobs: &mut Vec<String>,
) -> io::Result<()> {
    let lost = site.cluster.hosts[3].domain.clone();
    site.cluster.hosts.retain(|h| h.domain != lost);
    site.cluster.publish_hosts().await?;
    v.faults += 1;
    // Jobs spread over every partition by their keys, so some belong to the one without workers.
    for i in 0..16 {
        jobs.push(site.submit(i % 2, &format!("lost-{i}"), 300, 2, 500).await?);
    }
    Ok(())
}

/// Checks that each run of a task begins where the one before left off.
fn check_resumed(v: &mut Verdict, findings: &Findings) {
    for (task, stretches) in &findings.by_task {
        for pair in stretches.windows(2).filter(|pair| !pair[0].service) {
            let resumed = pair[1].resume_ms;
            let left = pair[0].checkpoint_ms;
            v.check(resumed == left, || format!("{task}: left {left}, resumed from {resumed}"));
        }
    }
}

/// Promise 3: evicted work resumes exactly once, from its checkpoint.
pub async fn resume_once() -> io::Result<Verdict> {
    let mut v = Verdict::default();
    let mut site = Site::open(Plan::default()).await?;
    let mut jobs = Vec::new();
    for i in 0..8 {
        jobs.push(site.submit(i % 3, &format!("evict-{i}"), 5_000, 3, 1_000).await?);
    }
    task::sleep(Duration::from_millis(1_500)).await;
    // Two workers leave, so that their tasks are evicted; meanwhile jobs are cancelled and an
    // owner is killed. Then the workers come back and others leave: tasks move twice in a row.
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
    let statuses = site.wait_ended(0, &jobs, ENDED_LIMIT).await?;
    let findings = site.cluster.collect_findings().await?;
    let evictions: u32 = statuses.iter().flat_map(|s| &s.tasks).map(|t| t.evictions).sum();
    v.check(evictions > 0, || "nothing was evicted".to_string());
    check_done(&mut v, &statuses);
    check_resumed(&mut v, &findings);
    v.add_figure(format!("{evictions} evictions"));
    v.add_findings(findings);
    site.check_entries(&mut v, &[0, 1, 2]).await?;
    Ok(v)
}
