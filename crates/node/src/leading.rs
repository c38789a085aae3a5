//! One leadership from its claim to its end: restores the state, then feeds the engine.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use gaplock_jobs::{Job, JobKey};
use gaplock_platform::directory;
use gaplock_platform::store::{Change, Item, Listed, Revision, StoreError, Txn};
use gaplock_platform::waves;
use gaplock_policy::succession;
use gaplock_remote::clock;
use gaplock_sched::takeover::{self, Stored};
use gaplock_sched::{Context, Event};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::engine::{self, Engine};
use crate::leadership::{self, Claim, Right, Standing};
use crate::ledger::{self, RosterEntry};
use crate::node::{Node, Role};
use crate::peers::Invitation;
use crate::{following, keys};

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// The pause after a watch of the inbox has answered: followers announce what they store, so the
/// watch only has to find what was not announced.
const INBOX_PAUSE: Duration = Duration::from_millis(250);

/// The pause after a watch of the directory has answered, so that one call brings many changes.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(100);

/// The pause before a failed call to the store is made again.
const STORE_PAUSE: Duration = Duration::from_millis(150);

/// What was read at the beginning of a leadership.
struct Read {
    stored: Stored,
    inbox: Revision,
    directory: Listed,
}

/// Leads until the leadership is over.
pub async fn lead(node: &Arc<Node>, claim: Claim, sent: Instant) {
    let standing = Standing::open(sent);
    node.forget_followers();
    let keeper = task::spawn(keep(Arc::clone(node), Arc::clone(&standing), claim, sent));
    let read = read_all(node, &standing).await;
    if let Some(read) = read {
        node.metrics.terms.inc();
        run(node, claim, &standing, read).await;
    }
    keeper.cancel().await;
    hand_over(node, claim).await;
}

/// How many followers are invited at most before the claim is simply given back.
const MOST_INVITED: usize = 3;

/// Lets the best follower claim the leadership at once, or else gives the claim back.
async fn hand_over(node: &Arc<Node>, claim: Claim) {
    node.set_role(Role::Follower(None));
    for candidate in node.successors().iter().take(MOST_INVITED) {
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
                task::sleep(STORE_PAUSE).await;
            }
        }
    }
    None
}

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
    for item in &inbox.items {
        match read_inbox(item) {
            Some(Handed::Job(job)) => stored.jobs.push(job),
            Some(Handed::Cancel(key)) => stored.cancelled.push(key),
            None => tracing::warn!(event = "inbox_malformed", key = item.key),
        }
    }
    let read = progress.items.iter().filter_map(|item| ledger::decode_progress(&item.value));
    stored.progress = read.map(|p| (p.key, p)).collect();
    let entries = roster.items.iter();
    let entries = entries.filter_map(|i| serde_json::from_slice::<RosterEntry>(&i.value).ok());
    stored.roster = entries.map(RosterEntry::info).collect();
    let learnt = learnt.and_then(|item| serde_json::from_slice(&item.value).ok());
    stored.learnt = learnt.unwrap_or_default();
    stored.waves = waves.iter().filter_map(|i| serde_json::from_slice(&i.value).ok()).collect();
    Ok(Read { stored, inbox: inbox.revision, directory })
}

enum Handed {
    Job(Arc<Job>),
    Cancel(JobKey),
}

fn read_inbox(item: &Item) -> Option<Handed> {
    if let Some(key) = item.key.strip_prefix(keys::CANCELS) {
        return key.parse().ok().map(Handed::Cancel);
    }
    serde_json::from_slice(&item.value).ok().map(|job| Handed::Job(Arc::new(job)))
}

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
    for event in directory_events(&read.directory.items, &mut known) {
        cx.handle(now, unix_ms, event);
    }
    let driver = engine::open(node, cx, Arc::clone(standing), ledger);
    let engine = driver.engine();
    node.set_role(Role::Leader(Arc::clone(&engine)));
    let mut feeds: Vec<JoinHandle<()>> = vec![
        task::spawn(feed_inbox(Arc::clone(node), Arc::clone(&engine), read.inbox)),
        task::spawn(feed_directory(
            Arc::clone(node),
            Arc::clone(&engine),
            read.directory.revision,
            known,
        )),
    ];
    if node.installation.has_duties {
        feeds.push(task::spawn(feed_waves(Arc::clone(node), engine)));
    }
    driver.run().await;
    for feed in feeds {
        feed.cancel().await;
    }
}

/// Renews the lease and makes sure of the claim, and reads the configuration along with it.
async fn keep(node: Arc<Node>, standing: Arc<Standing>, claim: Claim, sent: Instant) {
    loop {
        if node.is_stopping() || makes_way(&node, sent) {
            standing.lose();
            return;
        }
        following::confirm(&node, &standing, claim.revision).await;
        match node.store.keep(claim.lease).await {
            Ok(()) => node.store_answered(),
            Err(StoreError::Gone) => {
                tracing::warn!(event = "leadership_lost", why = "the lease is over");
                standing.lose();
                return;
            }
            Err(e) => tracing::debug!(event = "store_silent", error = %e),
        }
        following::read_config(&node).await;
        task::sleep(leadership::RENEW_EVERY).await;
    }
}

/// How long a process leads at least before it makes way, so that hosts do not take turns.
const LEADS_AT_LEAST: Millis = Millis(3_000);

/// Tells whether a much stronger host should lead instead of this one.
fn makes_way(node: &Node, since: Instant) -> bool {
    let successors = node.successors();
    let best = successors.first();
    let way = clock::now().since(since) >= LEADS_AT_LEAST
        && succession::should_make_way(node.strength, best);
    if let Some(best) = best.filter(|_| way) {
        tracing::info!(event = "makes_way", host = %best.host, strength = best.strength.0,
            own = node.strength.0);
    }
    way
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

async fn feed_inbox(node: Arc<Node>, engine: Arc<Engine>, from: Revision) {
    let mut from = from;
    loop {
        match node.store.watch(keys::INBOX, from, WATCH_WAIT).await {
            Ok(watched) => {
                node.store_answered();
                from = watched.revision;
                for change in &watched.changes {
                    if let Change::Set(item) = change {
                        hand_in(&engine, item);
                    }
                }
                task::sleep(INBOX_PAUSE).await;
            }
            Err(StoreError::Gone) => match node.store.list(keys::INBOX).await {
                Ok(listed) => {
                    from = listed.revision;
                    listed.items.iter().for_each(|item| hand_in(&engine, item));
                }
                Err(_) => task::sleep(STORE_PAUSE).await,
            },
            Err(e) => {
                tracing::debug!(event = "watch_cut", error = %e);
                task::sleep(STORE_PAUSE).await;
            }
        }
    }
}

fn hand_in(engine: &Engine, item: &Item) {
    match read_inbox(item) {
        Some(Handed::Job(job)) => engine.send(Event::Job(job)),
        Some(Handed::Cancel(key)) => engine.send(Event::Cancel(key)),
        None => tracing::warn!(event = "inbox_malformed", key = item.key),
    }
}

async fn feed_directory(
    node: Arc<Node>,
    engine: Arc<Engine>,
    from: Revision,
    mut known: BTreeSet<ids::WorkerId>,
) {
    let mut from = from;
    let mut away = false;
    loop {
        match node.store.watch(directory::PREFIX, from, WATCH_WAIT).await {
            Ok(watched) => {
                node.store_answered();
                back(&engine, &mut away);
                from = watched.revision;
                for change in &watched.changes {
                    if let Some(event) = directory_event(change, &mut known) {
                        engine.send(event);
                    }
                }
                task::sleep(DIRECTORY_PAUSE).await;
            }
            Err(StoreError::Gone) => match node.store.list(directory::PREFIX).await {
                Ok(listed) => {
                    back(&engine, &mut away);
                    from = listed.revision;
                    directory_events(&listed.items, &mut known)
                        .into_iter()
                        .for_each(|event| engine.send(event));
                }
                Err(e) => {
                    tracing::debug!(event = "store_silent", error = %e);
                    away = true;
                    task::sleep(STORE_PAUSE).await;
                }
            },
            Err(e) => {
                tracing::debug!(event = "watch_cut", error = %e);
                away = true;
                task::sleep(STORE_PAUSE).await;
            }
        }
    }
}

/// Tells the engine, once, that the directory can be read again.
fn back(engine: &Engine, away: &mut bool) {
    if std::mem::take(away) {
        engine.send(Event::DirectoryBack);
    }
}

fn directory_event(change: &Change, known: &mut BTreeSet<ids::WorkerId>) -> Option<Event> {
    match change {
        Change::Removed(key) => {
            let id = directory::worker_of(key)?;
            known.remove(&id);
            Some(Event::Unlisted(id))
        }
        Change::Set(item) => {
            let id = directory::worker_of(&item.key)?;
            match directory::decode(id.clone(), &item.value) {
                Ok(info) => {
                    known.insert(id);
                    Some(Event::Listed(info))
                }
                Err(e) => {
                    tracing::warn!(event = "directory_malformed", worker = %id, error = %e);
                    None
                }
            }
        }
    }
}

/// Turns a whole listing into events: what is listed, and what no longer is.
fn directory_events(items: &[Item], known: &mut BTreeSet<ids::WorkerId>) -> Vec<Event> {
    let before = std::mem::take(known);
    let mut events: Vec<Event> = Vec::new();
    for item in items {
        events.extend(directory_event(&Change::Set(item.clone()), known));
    }
    let gone = before.difference(known);
    events.extend(gone.map(|id| Event::Unlisted(id.clone())));
    events
}

/// Tells the engine of waves of upkeep: those that are there, then each that is asked for.
async fn feed_waves(node: Arc<Node>, engine: Arc<Engine>) {
    let mut from = None;
    loop {
        let Some(after) = from else {
            from = list_waves(&node, &engine).await;
            continue;
        };
        match node.store.watch(waves::PREFIX, after, WATCH_WAIT).await {
            Ok(watched) => {
                from = Some(watched.revision);
                for change in &watched.changes {
                    if let Change::Set(item) = change {
                        tell_wave(&engine, item);
                    }
                }
            }
            Err(StoreError::Gone) => from = None,
            Err(e) => {
                tracing::debug!(event = "watch_cut", error = %e);
                task::sleep(STORE_PAUSE).await;
            }
        }
    }
}

async fn list_waves(node: &Node, engine: &Engine) -> Option<Revision> {
    match node.store.list(waves::PREFIX).await {
        Ok(listed) => {
            listed.items.iter().for_each(|item| tell_wave(engine, item));
            Some(listed.revision)
        }
        Err(e) => {
            tracing::debug!(event = "store_silent", error = %e);
            task::sleep(STORE_PAUSE).await;
            None
        }
    }
}

fn tell_wave(engine: &Engine, item: &Item) {
    match waves::decode(&item.value) {
        Ok(wave) => engine.send(Event::Wave(wave)),
        Err(e) => tracing::warn!(event = "wave_malformed", key = item.key, error = %e),
    }
}
