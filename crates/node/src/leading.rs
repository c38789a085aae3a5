//! One leadership from its claim to its end: restores the state, runs the engine, then hands over.

use std::collections::BTreeSet;
use std::sync::Arc;

use async_std::task;
use gaplock_jobs::progress::Progress;
use gaplock_platform::directory;
use gaplock_platform::store::{Item, Listed, Revision, StoreError, Txn};
use gaplock_remote::clock;
use gaplock_sched::takeover::{self, Stored};
use gaplock_sched::{Context, Event};
use gaplock_types::time::Instant;

use crate::engine;
use crate::feeds::Handed;
use crate::leadership::{Claim, Right, Standing};
use crate::ledger::{self, RosterEntry};
use crate::node::{Node, Role};
use crate::peers::Invitation;
use crate::{feeds, following, keeping, keys};

/// What was read at the beginning of a leadership.
struct Read {
    stored: Stored,
    inbox: Revision,
    directory: Listed,
}

/// Leads until the leadership is over.
pub async fn lead(node: &Arc<Node>, claim: Claim, sent: Instant) {
    let standing = Standing::open(sent);
    node.handover.forget_followers();
    keeping::spawn(node, &standing, claim, sent);
    let read = read_all(node, &standing).await;
    if let Some(read) = read {
        node.metrics.terms.inc();
        run(node, claim, &standing, read).await;
    }
    standing.lose();
    hand_over(node, claim).await;
}

/// How many followers are invited at most before the claim is simply given back.
const MOST_INVITED: usize = 3;

/// Lets the best follower claim the leadership at once, or else gives the claim back.
async fn hand_over(node: &Arc<Node>, claim: Claim) {
    node.set_role(Role::Follower(None));
    for candidate in node.handover.successors(clock::now()).iter().take(MOST_INVITED) {
        let invitation = Invitation { claim: claim.revision.0 };
        let answered = node.leader.invite(&candidate.addr, invitation).await;
        tracing::info!(event = "successor_invited", host = %candidate.host, term = claim.term,
            leads = answered.as_ref().is_ok_and(|leads| *leads));
        if answered == Ok(true) {
            return;
        }
    }
    resign(node, claim).await;
}

/// Reads everything, again and again while the store does not answer.
async fn read_all(node: &Arc<Node>, standing: &Standing) -> Option<Read> {
    while standing.right(clock::now()) != Right::Lost && !node.is_stopping() {
        match read_once(node).await {
            Ok(read) => return Some(read),
            Err(e) => {
                tracing::info!(event = "restore_delayed", error = %e);
                task::sleep(feeds::STORE_PAUSE).await;
            }
        }
    }
    None
}

/// Reads everything once.
async fn read_once(node: &Arc<Node>) -> Result<Read, StoreError> {
    following::read_config(node).await;
    let inbox = node.store.list(keys::INBOX).await?;
    let progress = node.store.list(keys::PROGRESS).await?;
    let roster = node.store.list(keys::ROSTER).await?;
    let directory = node.store.list(directory::PREFIX).await?;
    let learnt = node.store.get(keys::LEARNT).await?;
    let waves = match node.installation.has_duties {
        true => node.store.list(keys::WAVES).await?.items,
        false => Vec::new(),
    };
    node.store_answered();
    let mut stored = Stored::default();
    sort_inbox(&inbox.items, &mut stored);
    let read = progress.items.iter().filter_map(ledger::decode::<Progress>);
    stored.progress = read.map(|p| (p.key, p)).collect();
    let entries = roster.items.iter().filter_map(ledger::decode::<RosterEntry>);
    stored.roster = entries.map(RosterEntry::info).collect();
    stored.learnt = learnt.as_ref().and_then(ledger::decode).unwrap_or_default();
    stored.waves = waves.iter().filter_map(ledger::decode).collect();
    Ok(Read { stored, inbox: inbox.revision, directory })
}

/// Sorts what callers' hosts have stored into jobs and cancellations.
fn sort_inbox(items: &[Item], stored: &mut Stored) {
    for item in items {
        match feeds::read_inbox(item) {
            Some(Handed::Job(job)) => stored.jobs.push(job),
            Some(Handed::Cancel(key)) => stored.cancelled.push(key),
            None => tracing::warn!(event = "inbox_malformed", key = item.key),
        }
    }
}

/// Builds the engine from what was read, and feeds it until the leadership is over.
async fn run(node: &Arc<Node>, claim: Claim, standing: &Arc<Standing>, read: Read) {
    let ledger = ledger::open(Arc::clone(&node.store), claim.revision, claim.mark);
    let term = engine::term(claim.term, claim.revision);
    let (now, unix_ms) = (clock::now(), clock::unix_ms());
    let mut cx = Context::open(node.settings(), term, now, unix_ms);
    if let Some(config) = node.config() {
        cx.handle(now, unix_ms, Event::Config(config));
    }
    takeover::restore(&mut cx, read.stored);
    let mut known = BTreeSet::new();
    for event in feeds::directory_events(&read.directory.items, &mut known) {
        cx.handle(now, unix_ms, event);
    }
    let driver = engine::open(node, cx, Arc::clone(standing), ledger);
    let engine = driver.engine();
    node.set_role(Role::Leader(Arc::clone(&engine)));
    let seen = feeds::Seen { inbox: read.inbox, directory: read.directory.revision, known };
    let feeds = feeds::open(node, &engine, seen);
    driver.run().await;
    for feed in feeds {
        feed.cancel().await;
    }
}

/// Gives the claim back, so that another host need not wait for the lease's end.
async fn resign(node: &Node, claim: Claim) {
    let txn = Txn {
        expected: vec![(keys::LEADER.to_string(), claim.revision)],
        set: Vec::new(),
        remove: vec![keys::LEADER.to_string()],
    };
    if let Err(e) = node.store.commit(&txn).await {
        tracing::info!(event = "resignation_failed", term = claim.term, error = %e);
    }
}
