//! Proofs of promises 7 and 8: leaving upstreams, planned stops of entries.

use std::io;
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::json;

use super::{ProofResult, Site, STEP_TIMEOUT};
use crate::cluster::Plan;
use crate::load::{self, LoadSpec};

/// Promise 7: an upstream that is leaving receives no new work after a few seconds.
pub async fn leaving_upstream() -> io::Result<ProofResult> {
    let mut v = ProofResult::default();
    let mut site = Site::open(Plan::default()).await?;
    let load = load::spawn(&site.balancer, &LoadSpec { callers: 16, ..LoadSpec::default() });
    let mut jobs = Vec::new();
    for i in 0..6 {
        jobs.push(site.submit(i % 3, &format!("leave-{i}"), 2_000, 2, 800).await?);
    }
    // At first only the host list says that worker 0 is leaving; the worker itself does not.
    site.cluster.hosts[0].leaving = true;
    site.cluster.publish_hosts().await?;
    v.faults += 1;
    // The host list hangs, and only the worker itself says that it is leaving (worker 1).
    task::sleep(Duration::from_millis(1_200)).await;
    site.cluster.set_host_list_down(true).await?;
    site.cluster.send_to_worker(1, "/set-leaving", json!(true)).await?;
    site.cluster.send_to_worker(0, "/set-leaving", json!(true)).await?;
    v.faults += 2;
    // An owner is killed meanwhile; its successor must know that the workers are leaving as well.
    task::sleep(Duration::from_millis(1_000)).await;
    let victim = site.owner_other_than(0).await?;
    site.cluster.entries[victim].process.kill();
    v.faults += 1;
    let submitting_since = Instant::now();
    while submitting_since.elapsed() < Duration::from_millis(6_000) {
        let key = format!("leave-late-{}", submitting_since.elapsed().as_millis());
        jobs.push(site.submit(0, &key, 200, 2, 500).await?);
        task::sleep(Duration::from_millis(200)).await;
    }
    site.cluster.set_host_list_down(false).await?;
    site.wait_ended(0, &jobs, STEP_TIMEOUT).await?;
    let tally = load.stop().await;
    let findings = site.cluster.collect_findings().await?;
    v.check_tally(&tally, &findings);
    v.add_figure(format!("{} requests, {} starts", tally.total(), findings.starts));
    v.add_findings(findings);
    Ok(v)
}

/// Promise 8: a planned stop of an entry interrupts no request in flight.
pub async fn planned_stop() -> io::Result<ProofResult> {
    let mut v = ProofResult::default();
    let plan = Plan { service_us: 40_000, ..Plan::default() };
    let mut site = Site::open(plan).await?;
    let load = load::spawn(&site.balancer, &LoadSpec { callers: 24, ..LoadSpec::default() });
    task::sleep(Duration::from_millis(500)).await;
    // Each entry in turn is stopped and replaced under load.
    for round in 0..3 {
        site.cluster.add_entry().await?;
        let newest = site.cluster.entries.len() - 1;
        site.cluster.wait_ready(newest, STEP_TIMEOUT).await?;
        site.update_balancer();
        task::sleep(Duration::from_millis(400)).await;
        let began = Instant::now();
        site.cluster.entries[0].process.terminate();
        v.faults += 1;
        if round == 1 {
            // A second signal while the entry stops and its successor takes over.
            site.cluster.entries[0].process.terminate();
            v.faults += 1;
        }
        let code = site.cluster.entries[0].process.wait(STEP_TIMEOUT);
        v.check(code == Some(0), || {
            format!("round {round}: the stopped entry's exit code was {code:?}")
        });
        v.add_figure(format!("stop {round} took {:.2} s", began.elapsed().as_secs_f64()));
        site.cluster.entries.remove(0);
        site.update_balancer();
        let usable_after = site.cluster.wait_usable(0, 8, STEP_TIMEOUT).await?;
        v.add_figure(format!("workers usable again {:.2} s later", usable_after.as_secs_f64()));
    }
    let tally = load.stop().await;
    let findings = site.cluster.collect_findings().await?;
    v.check_tally(&tally, &findings);
    let failed = tally.total() - tally.answered.len();
    v.check(failed == 0, || {
        let (cut_off, messages) = (&tally.cut_off.len(), &tally.messages);
        format!(
            "{failed} of {} requests failed: {cut_off} without a complete answer, refusals \
             {messages:?}",
            tally.total()
        )
    });
    v.add_figure(format!("{} of {} answered", tally.answered.len(), tally.total()));
    v.add_findings(findings);
    Ok(v)
}
