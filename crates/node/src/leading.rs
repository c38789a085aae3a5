//! One leadership from its claim to its end: restores the state, runs the engine, then hands over.

use std::collections::BTreeSet;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::{select, Either};
use gaplock_jobs::progress::Progress;
use gaplock_platform::directory;
use gaplock_platform::store::{Item, Listed, Reading, Revision, StoreError, Txn};
use gaplock_remote::clock;
use gaplock_sched::takeover::{self, Stored};
use gaplock_sched::{Context, Event};
use gaplock_types::time::{Instant, Millis};

use crate::engine;
use crate::feeds::Handed;
use crate::leadership::{Claim, Right, Standing};
use crate::ledger::{self, RosterRecord};
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

/// How long a claim may take to read the state before it is given back, so that another host may
/// try: a state of 10 MB takes 8 s on the narrowest link of the users' sites, 10 Mbit/s.
const READ_LIMIT: Millis = Millis(12_000);

/// How long a host that could not read the state in time stands behind the others.
const STANDS_BACK: Millis = Millis(10_000);

/// What has been read so far of each part of the stored state; kept over failed calls.
#[derive(Default)]
struct Readings {
    inbox: Reading,
    progress: Reading,
    roster: Reading,
    directory: Reading,
}

impl Readings {
    fn pages(&self) -> u32 {
        self.inbox.pages + self.progress.pages + self.roster.pages + self.directory.pages
    }

    fn bytes(&self) -> usize {
        self.inbox.bytes + self.progress.bytes + self.roster.bytes + self.directory.bytes
    }
}

/// Reads everything; after a failed call it goes on where it stopped.
async fn read_all(node: &Arc<Node>, standing: &Standing) -> Option<Read> {
    let began = clock::now();
    let mut readings = Readings::default();
    while standing.right(clock::now()) != Right::Lost && !node.is_stopping() {
        let read = read_while_standing(node, standing, &mut readings).await?;
        let took = clock::now().since(began);
        let (pages, bytes) = (readings.pages(), readings.bytes());
        match read {
            Ok((learnt, waves)) => {
                tracing::info!(event = "state_read", took_ms = took.0, pages, bytes);
                return Some(sorted(readings, learnt, &waves));
            }
            Err(e) => {
                tracing::info!(event = "restore_delayed", error = %e, pages, bytes);
            }
        }
        if took >= READ_LIMIT {
            tracing::warn!(event = "claim_given_back", why = "the state was not read in time");
            node.handover.stand_back(clock::now() + STANDS_BACK);
            return None;
        }
        task::sleep(feeds::STORE_PAUSE).await;
    }
    None
}

/// What a reading of the state gives besides what it keeps in [`Readings`]: what was learnt, and waves.
type ReadOn = Result<(Option<Item>, Vec<Item>), StoreError>;

/// Reads on until a call fails or all is read; gives up where the leadership is lost.
async fn read_while_standing(
    node: &Arc<Node>,
    standing: &Standing,
    readings: &mut Readings,
) -> Option<ReadOn> {
    match select(pin!(read_on(node, readings)), pin!(lost(standing))).await {
        Either::Left((read, _)) => Some(read),
        Either::Right(_) => None,
    }
}

/// How often a reading of the state looks whether the leadership still stands.
const STANDING_EVERY: Duration = Duration::from_millis(50);

/// Waits until the leadership is lost.
async fn lost(standing: &Standing) {
    while standing.right(clock::now()) != Right::Lost {
        task::sleep(STANDING_EVERY).await;
    }
}

/// Reads what is still missing of everything.
async fn read_on(node: &Arc<Node>, readings: &mut Readings) -> ReadOn {
    following::read_config(node).await;
    node.store.read_on(keys::ROSTER, &mut readings.roster).await?;
    node.store.read_on(directory::PREFIX, &mut readings.directory).await?;
    node.store.read_on(keys::PROGRESS, &mut readings.progress).await?;
    node.store.read_on(keys::INBOX, &mut readings.inbox).await?;
    let learnt = node.store.get(keys::LEARNT).await?;
    let waves = match node.installation.has_duties {
        true => node.store.list(keys::WAVES).await?.items,
        false => Vec::new(),
    };
    node.store_answered();
    Ok((learnt, waves))
}

/// Decodes what was read.
fn sorted(readings: Readings, learnt: Option<Item>, waves: &[Item]) -> Read {
    let inbox = readings.inbox.listed();
    let progress = readings.progress.listed();
    let roster = readings.roster.listed();
    let mut stored = Stored::default();
    sort_inbox(&inbox.items, &mut stored);
    let read = progress.items.iter().filter_map(ledger::decode::<Progress>);
    stored.progress = read.map(|p| (p.key, p)).collect();
    let entries = roster.items.iter().filter_map(ledger::decode::<RosterRecord>);
    stored.roster = entries.map(RosterRecord::entry).collect();
    stored.learnt = learnt.as_ref().and_then(ledger::decode).unwrap_or_default();
    stored.waves = waves.iter().filter_map(ledger::decode).collect();
    Read { stored, inbox: inbox.revision, directory: readings.directory.listed() }
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
