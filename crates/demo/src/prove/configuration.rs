//! Proof of promise 9: an accepted configuration is in force everywhere within seconds and never
//! reverts.

use std::io;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_types::api;
use http_types::Method;
use serde_json::{json, Value};

use super::{ProofResult, Site, STEP_TIMEOUT};
use crate::calls::wait_until;
use crate::cluster::Plan;
use crate::site;

const KEY: &str = site::OPERATOR_KEY;

/// Promise 9: runs all cases, one after the other, on one installation.
pub async fn configuration_in_force() -> io::Result<ProofResult> {
    let mut v = ProofResult::default();
    let mut site = Site::open(Plan::default()).await?;
    concurrent_confirmations(&site, &mut v).await?;
    stale_plan_is_refused(&site, &mut v).await?;
    lost_write_answer(&site, &mut v).await?;
    partition_from_store(&site, &mut v).await?;
    start_during_store_outage(&mut site, &mut v).await?;
    partition_from_store_and_peers(&site, &mut v).await?;
    Ok(v)
}

fn intent(replicas: u32) -> Value {
    let mut intent = site::first_intent(replicas);
    intent.as_object_mut().expect("an intent is a JSON object").remove("partners");
    intent.as_object_mut().expect("an intent is a JSON object").remove("operators");
    intent
}

async fn plan(site: &Site, entry: usize, key: &str, replicas: u32) -> io::Result<api::Plan> {
    let path = "/v1/intents";
    let answer = site.cluster.ask(entry, Method::Post, path, key, &[], intent(replicas)).await?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    answer.json().ok_or_else(|| io::Error::other(text))
}

async fn generation(site: &Site, entry: usize) -> Option<u64> {
    let path = "/v1/config/status";
    let answer = site.cluster.ask(entry, Method::Get, path, KEY, &[], Value::Null).await.ok()?;
    answer.json::<api::ConfigStatus>().map(|s| s.generation.0)
}

/// Two operators confirm different plans with the same base at two entries at the same time: one
/// plan is accepted and the other refused.
async fn concurrent_confirmations(site: &Site, v: &mut ProofResult) -> io::Result<()> {
    for round in 0..4 {
        let a = plan(site, 0, KEY, 3 + round).await?;
        let b = plan(site, 1, site::SECOND_OPERATOR_KEY, 6 + round).await?;
        let (first, second) = futures::future::join(
            site.cluster.confirm(0, KEY, &a),
            site.cluster.confirm(1, site::SECOND_OPERATOR_KEY, &b),
        )
        .await;
        let statuses = [first?.status, second?.status];
        v.faults += 1;
        let accepted = statuses.iter().filter(|s| **s < 300).count();
        let refused = statuses.iter().filter(|s| **s == 409).count();
        v.check(accepted == 1 && refused == 1, || {
            format!("concurrent confirmations, round {round}: statuses {statuses:?}")
        });
    }
    Ok(())
}

/// A plan that became stale before its confirmation is refused, and the refusal names the
/// difference.
async fn stale_plan_is_refused(site: &Site, v: &mut ProofResult) -> io::Result<()> {
    let old = plan(site, 0, KEY, 4).await?;
    let fresh = plan(site, 1, KEY, 5).await?;
    let done = site.cluster.confirm(1, KEY, &fresh).await?;
    v.check(done.status == 200, || format!("confirmation of a fresh plan: status {}", done.status));
    let refused = site.cluster.confirm(0, KEY, &old).await?;
    let text = String::from_utf8_lossy(&refused.body).into_owned();
    v.check(refused.status == 409 && text.contains("replicas"), || {
        format!("confirmation of a stale plan: status {} {text}", refused.status)
    });
    // A confirmation may be repeated.
    let again = site.cluster.confirm(2, KEY, &fresh).await?;
    v.check(again.status == 200, || format!("repeated confirmation: status {}", again.status));
    Ok(())
}

/// The store loses the answer to the write: the confirming entry reads the stored document back and
/// recognizes its own write.
async fn lost_write_answer(site: &Site, v: &mut ProofResult) -> io::Result<()> {
    for round in 0..3 {
        let base = generation(site, 0).await;
        let p = plan(site, 0, KEY, 6 + round).await?;
        site.cluster.set_store_faults(json!({"lose_percent": 100})).await?;
        let done = site.cluster.confirm(0, KEY, &p).await?;
        site.cluster.set_store_faults(json!({})).await?;
        v.faults += 1;
        v.check(done.status == 200, || {
            format!("confirmation while the store loses answers: status {}", done.status)
        });
        let now = generation(site, 1).await;
        v.check(now == base.map(|g| g + 1), || {
            format!("lost answer: generation {base:?} before the confirmation, {now:?} after it")
        });
    }
    Ok(())
}

/// An entry that reaches its peers but not the store receives a new generation within seconds.
async fn partition_from_store(site: &Site, v: &mut ProofResult) -> io::Result<()> {
    site.cluster.entries[2].store_relay.set_partitioned(true);
    v.faults += 1;
    task::sleep(Duration::from_millis(500)).await;
    let p = plan(site, 0, KEY, 5).await?;
    let began = Instant::now();
    let done = site.cluster.confirm(0, KEY, &p).await?;
    v.check(done.status == 200, || {
        format!("confirmation with entry 2 partitioned from the store: status {}", done.status)
    });
    v.add_figure(format!(
        "in force at all entries, one cut from the store, after {:?}",
        began.elapsed()
    ));
    v.check(generation(site, 2).await == Some(p.base.0 + 1), || {
        "entry 2, partitioned from the store, has an old generation".to_string()
    });
    site.cluster.entries[2].store_relay.set_partitioned(false);
    task::sleep(Duration::from_millis(800)).await;
    Ok(())
}

/// An entry that starts while the store is down serves the newest generation or none.
async fn start_during_store_outage(site: &mut Site, v: &mut ProofResult) -> io::Result<()> {
    let newest = generation(site, 0).await;
    let with_store = {
        let began = Instant::now();
        let i = site.cluster.add_entry().await?;
        site.cluster.wait_ready(i, STEP_TIMEOUT).await?;
        began.elapsed()
    };
    site.cluster.set_store_faults(json!({"down": true})).await?;
    v.faults += 1;
    let began = Instant::now();
    let i = site.cluster.add_entry().await?;
    task::sleep(Duration::from_millis(2_000)).await;
    let has = generation(site, i).await;
    v.check(has.is_none() || has == newest, || {
        format!("an entry that started in the outage serves generation {has:?}")
    });
    // The other entries continue to serve meanwhile, since they hear from a majority.
    task::sleep(Duration::from_millis(2_500)).await;
    v.check(generation(site, 0).await == newest, || {
        "entry 0 stopped serving during the outage".to_string()
    });
    site.cluster.set_store_faults(json!({})).await?;
    site.cluster.wait_ready(i, STEP_TIMEOUT).await?;
    v.add_figure(format!(
        "start with the store up {with_store:?}, in an outage ready {:?} after it began",
        began.elapsed()
    ));
    v.check(generation(site, i).await == newest, || {
        "the new entry has an old generation after the outage".to_string()
    });
    Ok(())
}

/// An entry that reaches neither the store nor its peers stops serving before its configuration
/// could be outdated for long.
async fn partition_from_store_and_peers(site: &Site, v: &mut ProofResult) -> io::Result<()> {
    let isolated = 2;
    for (i, entry) in site.cluster.entries.iter().enumerate() {
        if i != isolated {
            // The isolated entry can still connect to its peers; they cannot reach it through its
            // own relay.
            entry.peer_relay.set_partitioned(false);
        }
    }
    site.cluster.entries[isolated].store_relay.set_partitioned(true);
    site.cluster.entries[isolated].peer_relay.set_partitioned(true);
    // Its own calls to its peers go through their relays, which stay open, since the peers need
    // them.
    v.faults += 1;
    task::sleep(Duration::from_millis(1_200)).await;
    let p = plan(site, 0, KEY, 7).await?;
    let done = site.cluster.confirm(0, KEY, &p).await?;
    v.check(done.status < 300, || {
        format!("confirmation with entry {isolated} isolated: status {}", done.status)
    });
    let began = Instant::now();
    let newest = p.base.0 + 1;
    let silent_or_current =
        wait_until(Duration::from_secs(6), "the end of serving at the isolated entry", || async {
            match generation(site, isolated).await {
                None => true,
                Some(has) => has >= newest,
            }
        })
        .await;
    v.check(silent_or_current.is_ok(), || {
        "the isolated entry continued to serve an old generation".to_string()
    });
    v.add_figure(format!(
        "the isolated entry refused requests or had the newest generation after {:?}",
        began.elapsed()
    ));
    site.cluster.entries[isolated].store_relay.set_partitioned(false);
    site.cluster.entries[isolated].peer_relay.set_partitioned(false);
    site.cluster.wait_ready(isolated, STEP_TIMEOUT).await?;
    let caught_up = wait_until(STEP_TIMEOUT, "the isolated entry's return", || async {
        generation(site, isolated).await.is_some_and(|has| has >= newest)
    })
    .await;
    v.check(caught_up.is_ok(), || {
        "the isolated entry did not receive the new generation".to_string()
    });
    Ok(())
}
