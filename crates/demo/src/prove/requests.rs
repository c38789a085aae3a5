//! Promises 4 to 6: whole answers, "not run" means not run, at most once.

use std::io;
use std::time::Duration;

use async_std::{future, task};
use futures::future::join_all;
use gaplock_types::{api, codes};
use serde_json::json;

use super::{Site, Verdict};
use crate::cluster::Plan;
use crate::load::{self, LoadSpec};

/// Promise 4: every caller receives the whole answer to its own request.
pub async fn whole_answers() -> io::Result<Verdict> {
    let mut v = Verdict::default();
    let site = Site::open(Plan::default()).await?;
    let small = load::spawn(&site.balancer, &LoadSpec { callers: 16, ..LoadSpec::default() });
    let large = LoadSpec { callers: 2, padding: 700_000, prefix: "large", ..LoadSpec::default() };
    let large = load::spawn(&site.balancer, &large);
    // Callers that leave before their answer.
    for i in 0..60 {
        let wish = LoadSpec { prefix: "left", ..LoadSpec::default() };
        let op = format!("left-{i}");
        let body = json!({"op": op});
        let Some(addr) = site.balancer.next() else { continue };
        let sending = load::send_to(&addr, &wish, &op, &body);
        if future::timeout(Duration::from_millis(2), sending).await.is_err() {
            v.faults += 1;
        }
    }
    // Workers whose answers are cut short.
    for i in 0..4 {
        site.cluster.send_to_worker(i, "/set-cut", json!(true)).await?;
        v.faults += 1;
    }
    task::sleep(Duration::from_millis(1_500)).await;
    for i in 0..4 {
        site.cluster.send_to_worker(i, "/set-cut", json!(false)).await?;
    }
    // An entry's connections to its peers are cut while answers are on their way.
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
    v.check(!large.answered.is_empty(), || "no large answer came".to_string());
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

/// Promise 5: when a refusal says "not run", the work did not run.
pub async fn not_run() -> io::Result<Verdict> {
    let mut v = Verdict::default();
    let plan = Plan { service_us: 40_000, ..Plan::default() };
    let mut site = Site::open(plan).await?;
    // Far more callers than slots, with deadlines that cannot all be met.
    let hurried = LoadSpec {
        callers: 120,
        pause: Duration::from_millis(1),
        deadline_ms: 90,
        prefix: "hurried",
        ..LoadSpec::default()
    };
    let hurried = load::spawn(&site.balancer, &hurried);
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
    let (hurried, once) = (hurried.stop().await, once.stop().await);
    site.cluster.replace_worker(5)?;
    let findings = site.cluster.collect_findings().await?;
    v.check_tally(&hurried, &findings);
    v.check_tally(&once, &findings);
    v.check(!hurried.not_run.is_empty(), || "nothing was refused".to_string());
    let refused = hurried.not_run.len() + once.not_run.len();
    v.add_figure(format!("{refused} refusals as not run, codes {:?}", hurried.codes));
    v.violations.extend(findings.violations);
    Ok(v)
}

/// Promise 6: a request that must not be repeated runs at most once.
pub async fn at_most_once() -> io::Result<Verdict> {
    let mut v = Verdict::default();
    let mut site = Site::open(Plan::default()).await?;
    let mut answered = Vec::new();
    let mut ops = Vec::new();
    for round in 0..5 {
        begin_round(&mut site, &mut v, round).await?;
        // While the store is down each claim waits for its limit, so there are fewer of them.
        let count = if round == 3 { 8 } else { 40 };
        for i in 0..count {
            let op = format!("hold-{round}-{i}");
            let told = send_everywhere(&site, &op, round, &mut v).await;
            if told.contains(&codes::Code::Ok) {
                answered.push(op.clone());
            }
            ops.push(op);
        }
        end_round(&mut site, round).await?;
    }
    // Every key once more, when all faults are over: still never again.
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

async fn begin_round(site: &mut Site, v: &mut Verdict, round: usize) -> io::Result<()> {
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

async fn end_round(site: &mut Site, round: usize) -> io::Result<()> {
    site.cluster.set_store_faults(json!({})).await?;
    if round == 4 {
        for i in 0..8 {
            site.cluster.send_to_worker(i, "/set-cut", json!(false)).await?;
        }
    }
    Ok(())
}

/// Sends one key to every entry at once; returns what was told.
async fn send_everywhere(site: &Site, op: &str, round: usize, v: &mut Verdict) -> Vec<codes::Code> {
    // While the store is down a claim waits for its limit; fewer at once keep the proof short.
    let deadline_ms = if round == 3 { 500 } else { 3_000 };
    let wish = LoadSpec { once: true, deadline_ms, ..LoadSpec::default() };
    let body = json!({"op": op});
    let sent = site.cluster.entries.iter().map(|e| load::send_to(&e.callers, &wish, op, &body));
    let mut told = Vec::new();
    for answer in join_all(sent).await.into_iter().flatten() {
        if answer.status == 200 {
            let own = answer.json::<serde_json::Value>().as_ref() == Some(&body);
            v.check(own, || format!("{op}: another's answer"));
            told.push(codes::Code::Ok);
        } else if let Some(refusal) = answer.json::<api::Refusal>() {
            told.push(refusal.result_code());
        }
    }
    told
}
