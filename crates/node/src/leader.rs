//! Runs one leadership from its claim to its end: restores the state, runs the engine, then hands
//! over.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_platform::store::Txn;
use gaplock_policy::authority::Authority;
use gaplock_remote::clock;
use gaplock_sched::claims::{FormerLeaders, LeaderRecord};
use gaplock_sched::freshness::DirectoryRead;
use gaplock_sched::{takeover, Context, Event};
use gaplock_types::time::Instant;

use crate::engine::Engine;
use crate::leadership::{self, Claim, LeadershipStatus};
use crate::node::{Node, Role};
use crate::peers::{Invitation, PeerClient, Superseded};
use crate::{engine, entries, feeds, follower, keys, lease_renewal, state_reader, store_writer};

/// Leads until the leadership is over.
pub async fn lead(node: &Arc<Node>, claim: Claim, sent: Instant) {
    let leadership = leadership::open(claim.term, node.place(), sent);
    node.set_leadership(&leadership);
    node.handover.forget_followers();
    lease_renewal::spawn(node, &leadership, claim.clone(), sent);
    let state = state_reader::read_all(node, &leadership).await;
    if let Some(mut state) = state {
        node.metrics.terms.inc();
        state.stored.former_leaders = claim.inherited.former_leaders;
        log_unseen_leaders(&claim);
        run(node, &claim, &leadership, state).await;
    }
    leadership.lose();
    hand_over(node, &claim).await;
}

/// Logs the former leaders that may act on.
fn log_unseen_leaders(claim: &Claim) {
    let FormerLeaders::UnseenUntil(until) = claim.inherited.former_leaders else { return };
    let hosts: Vec<&str> = claim.inherited.to_ask.iter().map(|r| r.host.0.as_str()).collect();
    let wait_ms = until.since(clock::now()).0;
    tracing::warn!(event = "former_leaders_unseen", term = claim.term, hosts = ?hosts, wait_ms);
}

/// The pause between notices to a former leader that has not answered.
const NOTICE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Notifies the hosts of former leaders that may act on, until each of them has stopped or this
/// leadership is over, and reports the former to the engine.
async fn stop_former_leaders(former: Vec<LeaderRecord>, term: u64, engine: Arc<Engine>) {
    let stops = former.iter().map(|former| stop_former_leader(former, term, &engine));
    futures::future::join_all(stops).await;
    if engine.leadership.authority(clock::now()) != Authority::Lost {
        engine.send(Event::FormerLeadersStopped);
    }
}

/// Notifies the host of a former leader until it answers, its process has ended or this leadership
/// is over.
async fn stop_former_leader(former: &LeaderRecord, term: u64, engine: &Engine) {
    let client = PeerClient::default();
    while engine.leadership.authority(clock::now()) != Authority::Lost {
        let has_stopped = match client.notify_superseded(&former.addr, Superseded { term }).await {
            // Another host may have the address by now.
            Ok(host) => host == former.host,
            Err(_) => follower::process_is_dead(&former.addr).await,
        };
        if has_stopped {
            return;
        }
        task::sleep(NOTICE_RETRY_PAUSE).await;
    }
}

/// The maximum number of followers that are invited to lead before the claim is removed instead.
const MAX_INVITED: usize = 3;

/// Invites the best followers to claim the leadership at once. If none does, removes the claim.
async fn hand_over(node: &Arc<Node>, claim: &Claim) {
    node.set_role(Role::Follower(None));
    for candidate in node.handover.successor_candidates(clock::now()).iter().take(MAX_INVITED) {
        let invitation = Invitation { claim: claim.revision.0 };
        let answered = node.peer_client.invite(&candidate.addr, invitation).await;
        tracing::info!(event = "successor_invited", host = %candidate.host, term = claim.term,
            leads = answered.as_ref().is_ok_and(|leads| *leads));
        if answered == Ok(true) {
            return;
        }
    }
    resign(node, claim).await;
}

/// Builds the engine from the stored state and feeds it until the leadership is over.
async fn run(
    node: &Arc<Node>,
    claim: &Claim,
    leadership: &Arc<LeadershipStatus>,
    state: state_reader::LoadedState,
) {
    let writer = store_writer::open(Arc::clone(&node.store), Arc::clone(leadership), claim);
    let term = engine::term(claim.term, claim.revision);
    let (now, unix_ms) = (clock::now(), clock::unix_ms());
    let mut cx = Context::open(node.settings(), term, now, unix_ms);
    if let Some(config) = node.config() {
        cx.handle(now, unix_ms, Event::Config(config));
    }
    takeover::restore(&mut cx, state.stored);
    let mut entries = entries::open(node.metrics.unreadable_entries.clone());
    for event in entries.apply_listing(&state.directory.items) {
        cx.handle(now, unix_ms, event);
    }
    let read = DirectoryRead {
        sent: state.directory_read_started,
        revision: state.directory.revision.0,
        complete: true,
    };
    cx.handle(now, unix_ms, Event::DirectoryRead(read));
    let driver = engine::open(node, cx, Arc::clone(leadership), writer);
    let engine = driver.engine();
    node.set_role(Role::Leader(Arc::clone(&engine)));
    let start =
        feeds::FeedStart { inbox: state.inbox, directory: state.directory.revision, entries };
    let feeds = feeds::open(node, &engine, start);
    let to_ask = &claim.inherited.to_ask;
    if !to_ask.is_empty() {
        task::spawn(stop_former_leaders(to_ask.clone(), claim.term, Arc::clone(&engine)));
    }
    driver.run().await;
    for feed in feeds {
        feed.cancel().await;
    }
}

/// Removes the claim, so that other hosts need not wait until its lease expires.
async fn resign(node: &Node, claim: &Claim) {
    let txn = Txn {
        expected: vec![(keys::LEADER.to_string(), claim.revision)],
        set: Vec::new(),
        remove: vec![keys::LEADER.to_string()],
    };
    if let Err(e) = node.store.commit(&txn).await {
        tracing::info!(event = "resignation_failed", term = claim.term, error = %e);
    }
}
