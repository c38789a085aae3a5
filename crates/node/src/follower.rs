//! The main task of a host: follows the leader, and claims the leadership when there is no leader.

use std::io::ErrorKind;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_std::{future, net, task};
use futures::future::{select, Either};
use gaplock_distribution::knowledge::{News, Version};
use gaplock_platform::store::{Revision, StoreError};
use gaplock_policy::authority::{Authority, Contact};
use gaplock_policy::refusals::StoreRevision;
use gaplock_policy::succession;
use gaplock_remote::clock;
use gaplock_sched::claims::LeaderRecord;
use gaplock_sched::freshness::RevisionSample;
use gaplock_types::time::{Instant, Millis};

use crate::configuration::{self, Source};
use crate::handover::PendingInvitation;
use crate::leader;
use crate::leadership::{self, Claim, Former, Holder, LeadershipStatus};
use crate::node::{Node, Role};
use crate::peers::{Echo, Heartbeat, HeartbeatAnswer, PeerError};

/// The pause before the store is asked again who leads.
const LEADER_QUERY_PAUSE: Duration = Duration::from_millis(200);

/// The age of the leader's last news of the configuration from which a follower checks the store.
const NEWS_MAX_AGE: Millis = Millis(900);

/// The longest random pause before a claim, so that hosts do not all claim at once.
const CLAIM_SPREAD_MS: u64 = 60;

/// How long other hosts let the successor that the leader named claim first: enough for two
/// attempts, each with two store calls of 4 ms and a scheduling delay on a slow host.
const NAMED_SUCCESSOR_HEAD_START: Millis = Millis(60);

/// The pause before the claim of a host that could not read the stored state in time: longer than
/// the pause of the least capable host.
const DEFERRED_CLAIM_PAUSE: Duration = Duration::from_millis(2_500);

/// How many times an invited host attempts to claim: a last commit of the previous leader may make
/// an attempt fail.
const INVITED_CLAIM_ATTEMPTS: u32 = 8;

/// The pause between these attempts, a little longer than a commit takes.
const INVITED_CLAIM_PAUSE: Duration = Duration::from_millis(15);

/// The time limit for the connection attempt that checks whether a host's process is running.
const PROBE_LIMIT: Duration = Duration::from_millis(200);

/// How long a check of the store delays the next heartbeat. The check goes on beyond that.
const CHECK_WAIT: Duration = Duration::from_millis(150);

/// The shortest time between checks of the store that the leader wants at once.
const CHECK_NOW_INTERVAL: Millis = Millis(400);

/// Follows or leads until the process stops.
pub async fn run(node: Arc<Node>) {
    let mut last = None;
    while !node.is_stopping() {
        match leadership::current_holder(&node.store).await {
            Ok(Holder::Host(record, revision)) => {
                node.record_store_answer();
                follow(&node, &record, revision).await;
                last = Some((record, revision));
            }
            Ok(Holder::Nobody(at)) => {
                node.record_store_answer();
                claim(&node, at, Former::MayAct(node.handover.contact())).await;
            }
            Err(e) => {
                tracing::debug!(event = "store_silent", error = %e);
                node.record_store_failure();
                // The store may be refusing only this host, and the last known leader may still
                // lead.
                let last = last.as_ref().filter(|(record, _)| !is_own_claim(&node, record));
                if let Some((record, revision)) = last {
                    follow(&node, record, *revision).await;
                }
                task::sleep(LEADER_QUERY_PAUSE).await;
            }
        }
        check_store(&node).await;
    }
}

/// Builds the record with which this host claims the leadership; `leadership::claim` sets the term
/// and the lease.
fn own_leader_record(node: &Node) -> LeaderRecord {
    LeaderRecord {
        host: node.installation.host.clone(),
        addr: node.peer_addr.clone(),
        incarnation: node.incarnation,
        term: 0,
        lease: 0,
    }
}

/// Returns whether a claim belongs to this host.
fn is_own_claim(node: &Node, leader: &LeaderRecord) -> bool {
    leader.host == node.installation.host
}

/// Follows one leader for as long as it answers.
async fn follow(node: &Arc<Node>, leader: &LeaderRecord, revision: Revision) {
    if is_own_claim(node, leader) {
        // The claim belongs to a previous process of this host, or to a leadership that it has
        // given up.
        return claim(node, revision, Former::Stopped).await;
    }
    node.set_role(Role::Follower(Some(leader.addr.clone())));
    if node.handover.set_followed_term(leader.term) {
        tracing::info!(event = "following", leader = %leader.host, term = leader.term);
    }
    let mut checked_now_at = Instant(0);
    loop {
        let sent = clock::now();
        match heartbeat(node, &leader.addr).await {
            Ok(Heard::Leads) => {
                let wants_check = node.handover.take_check_now();
                if wants_check && sent.since(checked_now_at) >= CHECK_NOW_INTERVAL {
                    checked_now_at = sent;
                    start_check(node).await;
                    continue;
                }
                check_store(node).await;
                if let Some(pending) = wait_for_heartbeat_due(node).await {
                    return claim_by_invitation(node, pending).await;
                }
            }
            Ok(Heard::Waits) => {
                start_check(node).await;
                if let Some(pending) = wait_for_heartbeat_due(node).await {
                    return claim_by_invitation(node, pending).await;
                }
                if node.has_store_answered_since(sent) {
                    return;
                }
            }
            Ok(Heard::LeadsNot) => break,
            Err(e) => {
                let after_ms = clock::now().since(sent).0;
                tracing::info!(event = "leader_silent", leader = %leader.host, after_ms, error = %e);
                if process_is_dead(&leader.addr).await {
                    return claim(node, revision, Former::Stopped).await;
                }
                break;
            }
        }
        if node.is_stopping() {
            return;
        }
        // Done right before the next heartbeat, which reports the result to the leader.
        if node.handover.take_check_wanted() {
            start_check(node).await;
        }
    }
    // A leader that has just stepped down answers that it no longer leads; it may be about to
    // invite this host.
    let pending = future::timeout(LEADER_QUERY_PAUSE, node.handover.next_invitation()).await;
    if let Ok(Some(pending)) = pending {
        claim_by_invitation(node, pending).await;
    }
}

/// Waits until the next heartbeat is due or the connection to the leader is lost; returns an
/// invitation to lead if one arrived.
async fn wait_for_heartbeat_due(node: &Node) -> Option<PendingInvitation> {
    let pending = node.handover.next_invitation();
    let lost = node.peer_client.wait_until_lost();
    let (pending, lost) = (pin!(pending), pin!(lost));
    let pause = node.handover.heartbeat_pause().as_duration();
    match future::timeout(pause, select(pending, lost)).await {
        Ok(Either::Left((pending, _))) => pending,
        _ => None,
    }
}

/// Claims the leadership that its holder is giving up, and answers the holder.
async fn claim_by_invitation(node: &Arc<Node>, pending: PendingInvitation) {
    let mut seen = Revision(pending.invitation.claim);
    let sent = clock::now();
    let me = own_leader_record(node);
    for _ in 0..INVITED_CLAIM_ATTEMPTS {
        match leadership::claim(&node.store, &me, seen, Former::Stopped).await {
            Ok(claim) => {
                answer_invitation(&pending, true);
                return lead(node, claim, sent).await;
            }
            Err(e) => tracing::info!(event = "claim_failed", error = %e),
        }
        // The previous claim may no longer exist: its lease has expired, or its holder has removed
        // it.
        match leadership::current_holder(&node.store).await {
            Ok(Holder::Nobody(at)) => seen = at,
            Ok(Holder::Host(_, revision)) if revision == seen => {}
            // An earlier attempt was carried out late, under a lease that nobody renews: the next
            // attempt replaces it.
            Ok(Holder::Host(record, revision)) if record.is_same_process(&me) => seen = revision,
            Ok(Holder::Host(..)) => break,
            Err(e) => tracing::debug!(event = "store_silent", error = %e),
        }
        task::sleep(INVITED_CLAIM_PAUSE).await;
    }
    answer_invitation(&pending, false);
}

/// Answers the host that invited this one: whether this one leads now.
fn answer_invitation(pending: &PendingInvitation, leads: bool) {
    if pending.answer.try_send(leads).is_err() {
        tracing::debug!(event = "invitation_not_wanted");
    }
}

/// What the host that was last known to lead answered.
enum Heard {
    /// It leads.
    Leads,
    /// It leads, but may not act now.
    Waits,
    /// It does not lead.
    LeadsNot,
}

/// Sends a heartbeat to the host that was last known to lead.
async fn heartbeat(node: &Node, addr: &str) -> Result<Heard, PeerError> {
    let sent = clock::now();
    let beat = Heartbeat {
        host: node.installation.host.clone(),
        store_age: node.store_age(),
        config_version: node.config_version(),
        reads_parts: true,
        addr: node.peer_addr.clone(),
        strength: node.leader_capacity,
        running_for: node.running_for(),
        load: node.leader_load_version(),
        domain: Some(node.installation.domain.clone()),
        echo: node.handover.contact().map(|contact| Echo {
            term: contact.term,
            at: contact.leader_clock,
            age: sent.since(contact.answered_at),
        }),
        store_failed: node.store_failure_age(),
    };
    match node.peer_client.heartbeat(addr, &beat).await? {
        HeartbeatAnswer::NotLeader => Ok(Heard::LeadsNot),
        HeartbeatAnswer::Waiting(echo) => {
            node.handover.record_contact(contact(echo, sent));
            Ok(Heard::Waits)
        }
        HeartbeatAnswer::Leader {
            config_age,
            config_version,
            config_revision,
            store_revision,
            config,
            waiting,
            successor,
            strongest,
            beat_after,
            check_store,
            load,
            echo,
            check_now,
        } => {
            node.handover.record_contact(contact(echo, sent));
            node.handover.set_check_now(check_now);
            node.note_store_revision(Revision(store_revision));
            node.handover.set_best_leader_capacity(strongest);
            node.handover.set_heartbeat_pause(beat_after);
            node.handover.set_check_wanted(check_store);
            node.handover.set_named_successor(successor.as_ref() == Some(&node.installation.host));
            if let Some(config) = config {
                configuration::put_into_force(node, *config, Source::Host, sent);
            }
            // A leader of an earlier version names no version; it has sent any newer one.
            let version = if config_version > 0 { config_version } else { node.config_version() };
            let newest_at = Some(Instant(sent.0.saturating_sub(config_age.0)));
            let revision = config_revision.map(StoreRevision);
            let news = News { version: Version(version), newest_at, revision };
            node.configuration.note_news(news, addr);
            node.record_leader_answer(waiting);
            if let Some(load) = load {
                node.record_leader_load(sent, *load);
            }
            Ok(Heard::Leads)
        }
    }
}

/// Builds the contact with a leader that has just answered a heartbeat sent at `sent_at`.
fn contact(echo: Echo, sent_at: Instant) -> Contact {
    Contact { term: echo.term, sent_at, answered_at: clock::now(), leader_clock: echo.at }
}

/// Returns whether the address refuses connections, which the port of a running process does not.
pub async fn process_is_dead(addr: &str) -> bool {
    let probe = future::timeout(PROBE_LIMIT, net::TcpStream::connect(addr)).await;
    matches!(probe, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}

/// Checks the store if it has been unavailable, or if the leader's last news of the configuration is
/// old: it may get no answers. This also serves as the check that the leader may have requested.
async fn check_store(node: &Arc<Node>) {
    if node.is_store_unavailable() || node.configuration.age() >= NEWS_MAX_AGE {
        node.handover.take_check_wanted();
        start_check(node).await;
    }
}

/// Asks the store who leads, unless such a question is under way, and waits for the answer a little.
/// A store that does not answer must not delay the heartbeats, which the leader needs to
/// act without the store.
async fn start_check(node: &Arc<Node>) {
    if !node.begin_store_check() {
        return;
    }
    let checking = Arc::clone(node);
    let check = task::spawn(async move {
        ask_who_leads(&checking).await;
        checking.end_store_check();
    });
    if future::timeout(CHECK_WAIT, check).await.is_err() {
        tracing::debug!(event = "store_silent", error = "a check of the store goes on");
    }
}

/// Reads the leader's claim to find out whether the store answers, which is a small call whatever is
/// stored.
async fn ask_who_leads(node: &Node) {
    match leadership::revisions(&node.store).await {
        Ok(_) => node.record_store_answer(),
        Err(e) => {
            tracing::debug!(event = "store_silent", error = %e);
            node.record_store_failure();
        }
    }
}

/// Claims the leadership in place of the claim at revision `seen`, given what is known of the former
/// leader; pauses first unless that leader named this host as its successor.
async fn claim(node: &Arc<Node>, seen: Revision, former: Former) {
    if node.handover.defers_claims(clock::now()) {
        task::sleep(DEFERRED_CLAIM_PAUSE).await;
    } else if !node.handover.is_named_successor() {
        let spread = rand::random_range(0..CLAIM_SPREAD_MS);
        let capacity_delay =
            succession::claim_delay(node.leader_capacity, node.handover.best_leader_capacity());
        let pause = NAMED_SUCCESSOR_HEAD_START.0 + capacity_delay.0 + spread;
        task::sleep(Duration::from_millis(pause)).await;
    }
    if node.is_stopping() {
        return;
    }
    let sent = clock::now();
    match leadership::claim(&node.store, &own_leader_record(node), seen, former).await {
        Ok(claim) => lead(node, claim, sent).await,
        Err(StoreError::Conflict) => tracing::debug!(event = "claim_too_late"),
        Err(e) => {
            tracing::info!(event = "claim_failed", error = %e);
            task::sleep(LEADER_QUERY_PAUSE).await;
        }
    }
}

/// Leads under a new claim until the leadership is over.
async fn lead(node: &Arc<Node>, claim: Claim, sent: Instant) {
    tracing::info!(
        event = "leadership_claimed",
        term = claim.term,
        token = claim.revision.0,
        strength = node.leader_capacity.0
    );
    node.handover.set_named_successor(false);
    let term = claim.term;
    leader::lead(node, claim, sent).await;
    node.set_role(Role::Follower(None));
    tracing::info!(event = "leadership_over", term);
}

/// Asks the store whether the claim at `revision` is still stored, and records the answer.
pub async fn confirm_leadership(node: &Node, leadership: &LeadershipStatus, revision: Revision) {
    let sent = clock::now();
    match leadership::revisions(&node.store).await {
        Ok(Some((found, store))) if found == revision => {
            node.record_store_answer();
            leadership.record_confirmation(sent);
            if let Some(store) = store {
                node.report_store_revision(RevisionSample { sent, revision: store.0 });
            }
        }
        // The leadership was given up in the meantime; it is not logged as lost.
        Ok(_) if leadership.authority(sent) == Authority::Lost => {}
        Ok(_) => {
            tracing::warn!(event = "leadership_lost", why = "the claim is gone");
            leadership.lose();
        }
        Err(e) => tracing::debug!(event = "store_silent", error = %e),
    }
}
