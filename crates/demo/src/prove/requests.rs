//! Proofs of promises 4 to 6: complete answers, "not run" means not run, at most one run.

use std::io;
use std::time::Duration;

use async_std::{future, task};
use futures::future::join_all;
use gaplock_types::{api, codes};
use serde_json::json;

use super::{ProofResult, Site};
use crate::cluster::Plan;
use crate::load::{self, LoadSpec};

/// Promise 4: every answer that a caller receives is complete and belongs to its own request.
pub async fn complete_answers() -> io::Result<ProofResult> {
    let mut v = ProofResult::default();
    let site = Site::open(Plan::default()).await?;
    let small = load::spawn(&site.balancer, &LoadSpec { callers: 16, ..LoadSpec::default() });
    let large = LoadSpec { callers: 2, padding: 700_000, prefix: "large", ..LoadSpec::default() };
    let large = load::spawn(&site.balancer, &large);
    // Callers that disconnect before they receive their answer.
    for i in 0..60 {
        let spec = LoadSpec { prefix: "left", ..LoadSpec::default() };
        let op = format!("left-{i}");
        let body = json!({"op": op});
        let Some(addr) = site.balancer.next() else { continue };
        let sending = load::send_to(&addr, &spec, &op, &body);
        if future::timeout(Duration::from_millis(2), sending).await.is_err() {
            v.faults += 1;
        }
    }
    // Workers that truncate their answers.
    for i in 0..4 {
        site.cluster.send_to_worker(i, "/set-cut", json!(true)).await?;
        v.faults += 1;
    }
    task::sleep(Duration::from_millis(1_500)).await;
    for i in 0..4 {
        site.cluster.send_to_worker(i, "/set-cut", json!(false)).await?;
    }
    // Each entry in turn is partitioned from its peers while answers are being sent.
    for i in 0..3 {
        site.cluster.entries[i].peer_relay.set_partitioned(true);
        v.faults += 1;
        task::sleep(Duration::from_millis(300)).await;
        site.cluster.entries[i].peer_relay.set_partitioned(false);
    }
    task::sleep(Duration::from_millis(500)).await;
    let (small, large) = (small.stop().await, large.stop().await);
    let findings = site.cluster.collect_findings().await?;
    v.check_tally(&small, &findings);
    v.check_tally(&large, &findings);
    v.check(!large.answered.is_empty(), || "no large request was answered".to_string());
    let answered = small.answered.len() + large.answered.len();
    v.add_figure(format!(
        "{answered} of {} answered whole, {} large",
        small.total() + large.total(),
        large.answered.len()
    ));
    v.add_findings(findings);
    site.check_entries(&mut v, &[0, 1, 2]).await?;
    Ok(v)
}

/// Promise 5: a request that is refused as "not run" did not run.
pub async fn not_run() -> io::Result<ProofResult> {
    let mut v = ProofResult::default();
    let plan = Plan { service_us: 40_000, ..Plan::default() };
    let mut site = Site::open(plan).await?;
    // There are far more callers than slots, so not all deadlines can be met.
    let short_deadline = LoadSpec {
        callers: 120,
        pause: Duration::from_millis(1),
        deadline_ms: 90,
        prefix: "hurried",
        ..LoadSpec::default()
    };
    let short_deadline = load::spawn(&site.balancer, &short_deadline);
    let once = LoadSpec { callers: 8, once: true, prefix: "once", ..LoadSpec::default() };
    let once = load::spawn(&site.balancer, &once);
    task::sleep(Duration::from_millis(1_000)).await;
    site.cluster.set_store_faults(json!({"down": true})).await?;
    v.faults += 1;
    task::sleep(Duration::from_millis(2_000)).await;
    site.cluster.set_store_faults(json!({})).await?;
    let victim = site.owner_other_than(0).await?;
    site.cluster.entries[victim].process.kill();
    v.faults += 1;
    task::sleep(Duration::from_millis(800)).await;
    for i in 0..3 {
        site.cluster.send_to_worker(i, "/set-leaving", json!(true)).await?;
        v.faults += 1;
    }
    task::sleep(Duration::from_millis(800)).await;
    site.cluster.workers[5].kill();
    v.faults += 1;
    task::sleep(Duration::from_millis(600)).await;
    let (short_deadline, once) = (short_deadline.stop().await, once.stop().await);
    site.cluster.replace_worker(5)?;
    let findings = site.cluster.collect_findings().await?;
    v.check_tally(&short_deadline, &findings);
    v.check_tally(&once, &findings);
    v.check(!short_deadline.not_run.is_empty(), || "no request was refused as not run".to_string());
    let refused = short_deadline.not_run.len() + once.not_run.len();
    v.add_figure(format!("{refused} refusals as not run, codes {:?}", short_deadline.codes));
    v.violations.extend(findings.violations);
    Ok(v)
}

/// Promise 6: a request that must not be repeated runs at most once.
pub async fn at_most_once() -> io::Result<ProofResult> {
    let mut v = ProofResult::default();
    let mut site = Site::open(Plan::default()).await?;
    let mut answered = Vec::new();
    let mut ops = Vec::new();
    for round in 0..5 {
        begin_round(&mut site, &mut v, round).await?;
        // While the store is down each claim waits until its timeout, so fewer are sent.
        let count = if round == 3 { 8 } else { 40 };
        for i in 0..count {
            let op = format!("hold-{round}-{i}");
            let codes_received = send_everywhere(&site, &op, round, &mut v).await;
            if codes_received.contains(&codes::Code::Ok) {
                answered.push(op.clone());
            }
            ops.push(op);
        }
        end_round(&mut site, round).await?;
    }
    // After all faults, every key is sent once more; none of the requests may run again.
    for op in &ops {
        send_everywhere(&site, op, 0, &mut v).await;
    }
    let mut findings = site.cluster.collect_findings().await?;
    findings.check_at_most_once(ops.iter().cloned());
    for op in &answered {
        let ran = findings.ops.get(op).copied().unwrap_or(0);
        v.check(ran == 1, || format!("{op} was answered and ran {ran} times"));
    }
    let ran = ops.iter().filter(|op| findings.ops.contains_key(*op)).count();
    v.add_figure(format!("{} keys, {ran} ran, {} answered", ops.len(), answered.len()));
    v.add_findings(findings);
    Ok(v)
}

/// Injects the round's fault: none, lost store answers, a killed owner, a store that is down, or
/// truncated answers.
async fn begin_round(site: &mut Site, v: &mut ProofResult, round: usize) -> io::Result<()> {
    v.faults += u64::from(round > 0);
    match round {
        1 => site.cluster.set_store_faults(json!({"lose_percent": 30})).await?,
        2 => {
            let victim = site.owner_other_than(0).await?;
            site.cluster.entries[victim].process.kill();
            site.cluster.entries.remove(victim);
            site.cluster.add_entry().await?;
            site.update_balancer();
        }
        3 => site.cluster.set_store_faults(json!({"down": true})).await?,
        4 => {
            for i in 0..8 {
                site.cluster.send_to_worker(i, "/set-cut", json!(true)).await?;
            }
        }
        _ => {}
    }
    Ok(())
}

/// Ends the round's fault.
async fn end_round(site: &mut Site, round: usize) -> io::Result<()> {
    site.cluster.set_store_faults(json!({})).await?;
    if round == 4 {
        for i in 0..8 {
            site.cluster.send_to_worker(i, "/set-cut", json!(false)).await?;
        }
    }
    Ok(())
}

/// Sends a request with one idempotency key to all entries at the same time; returns the result
/// codes.
async fn send_everywhere(
    site: &Site,
    op: &str,
    round: usize,
    v: &mut ProofResult,
) -> Vec<codes::Code> {
    // While the store is down a claim waits until its timeout; a short deadline keeps the proof
    // short.
    let deadline_ms = if round == 3 { 500 } else { 3_000 };
    let spec = LoadSpec { once: true, deadline_ms, ..LoadSpec::default() };
    let body = json!({"op": op});
    let sent = site.cluster.entries.iter().map(|e| load::send_to(&e.callers, &spec, op, &body));
    let mut codes_received = Vec::new();
    for answer in join_all(sent).await.into_iter().flatten() {
        if answer.status == 200 {
            let own = answer.json::<serde_json::Value>().as_ref() == Some(&body);
            v.check(own, || format!("{op}: the answer belongs to another request"));
            codes_received.push(codes::Code::Ok);
        } else if let Some(refusal) = answer.json::<api::Refusal>() {
            codes_received.push(refusal.result_code());
        }
    }
    codes_received
}
