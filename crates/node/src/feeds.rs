//! Feeds the engine with changes in the store while this host leads: the inbox, the directory of
//! workers, the operators' evacuations and their maintenance waves.
//!
//! Each feed is a task that watches a prefix. If the store no longer has the history that a watch
//! needs, the feed lists the prefix again. Feeds run for one leadership and are ended by `leader`,
//! except that of the directory, which ends by itself.

use std::sync::Arc;
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use gaplock_jobs::{Job, JobKey};
use gaplock_platform::store::{Change, Item, Revision, StoreError};
use gaplock_platform::waves;
use gaplock_policy::announcements;
use gaplock_policy::refusals::StoreRevision;
use gaplock_remote::clock;
use gaplock_sched::Event;
use gaplock_types::time::Instant;

use crate::engine::Engine;
use crate::entries::Entries;
use crate::node::Node;
use crate::{directory, evacuations, keys, records, steering};

/// The pause after a watch of the inbox has answered. Followers announce what they store, so the
/// watch only has to find what was not announced.
const INBOX_PAUSE: Duration = Duration::from_millis(250);

/// The pause before a failed call to the store is retried.
pub const STORE_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The state from which the feeds start: what the restored state already contains.
pub struct FeedStart {
    /// The revision at which the inbox was read.
    pub inbox: Revision,
    /// The revision at which the directory was read.
    pub directory: Revision,
    /// The entries that the directory listed.
    pub entries: Entries,
}

/// Starts the feeds of a leadership. Evacuations are read only if the installation sets a bound for
/// them, waves only if it has maintenance duties.
pub fn open(node: &Arc<Node>, engine: &Arc<Engine>, start: FeedStart) -> Vec<JoinHandle<()>> {
    directory::spawn(node, engine, start.directory, start.entries);
    let inbox = feed_inbox(Arc::clone(node), Arc::clone(engine), start.inbox);
    let mut feeds = vec![task::spawn(inbox)];
    feeds.push(task::spawn(steering::feed(Arc::clone(node), Arc::clone(engine))));
    if let Some(bound) = node.installation.bounds.evacuation_limit {
        let feed = evacuations::feed(Arc::clone(node), Arc::clone(engine), bound);
        feeds.push(task::spawn(feed));
    }
    if node.installation.has_maintenance_waves {
        feeds.push(task::spawn(feed_waves(Arc::clone(node), Arc::clone(engine))));
    }
    feeds
}

/// An item that a host has stored in the inbox for a caller.
pub enum InboxItem {
    /// A job.
    Job(Arc<Job>),
    /// The cancellation of a job.
    Cancel(JobKey),
}

/// Decodes an item of the inbox.
pub fn decode_inbox_item(item: &Item) -> Option<InboxItem> {
    if let Some(key) = item.key.strip_prefix(keys::CANCELS) {
        return key.parse().ok().map(InboxItem::Cancel);
    }
    records::job(item).map(|job| InboxItem::Job(Arc::new(job)))
}

/// Returns how long a watch waits for a change. A silent connection is noticed only when the watch
/// ends.
fn watch_wait(node: &Node) -> Duration {
    announcements::watch_wait(node.installation.bounds.cancel_limit).as_duration()
}

/// Converts a revision of the store for the scheduler.
pub fn stored_at(revision: Revision) -> StoreRevision {
    StoreRevision(revision.0)
}

/// Passes the jobs and cancellations that are stored in the inbox to the engine.
async fn feed_inbox(node: Arc<Node>, engine: Arc<Engine>, from: Revision) {
    let mut from = from;
    let mut last_read = LastRead { at: clock::now(), interrupted: false };
    let wait = watch_wait(&node);
    loop {
        match node.store.watch(keys::INBOX, from, wait).await {
            Ok(watched) => {
                node.record_store_answer();
                last_read.succeeded();
                from = watched.revision;
                for change in &watched.changes {
                    if let Change::Set(item) = change {
                        send_inbox_item(&engine, item);
                    }
                }
                engine.send(Event::InboxRead(stored_at(from)));
                task::sleep(INBOX_PAUSE).await;
            }
            Err(StoreError::Gone) => match node.store.list_for_watch(keys::INBOX).await {
                Ok(listed) => {
                    last_read.succeeded();
                    from = listed.revision;
                    in_write_order(&listed.items).for_each(|item| send_inbox_item(&engine, item));
                    engine.send(Event::InboxRead(stored_at(from)));
                }
                Err(e) => {
                    last_read.failed(e);
                    task::sleep(STORE_RETRY_PAUSE).await;
                }
            },
            Err(e) => {
                last_read.failed(e);
                task::sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }
}

/// When the inbox was last read, for the log.
struct LastRead {
    at: Instant,
    interrupted: bool,
}

impl LastRead {
    fn succeeded(&mut self) {
        let now = clock::now();
        if std::mem::take(&mut self.interrupted) {
            tracing::info!(event = "inbox_read_again", unread_ms = now.since(self.at).0);
        }
        self.at = now;
    }

    fn failed(&mut self, e: StoreError) {
        if !std::mem::replace(&mut self.interrupted, true) {
            let unread_ms = clock::now().since(self.at).0;
            tracing::info!(event = "inbox_unread", unread_ms, error = %e);
        }
    }
}

/// Iterates over listed items in the order in which they were written, as a watch reports them. In
/// key order, cancellations come before the jobs that they cancel.
fn in_write_order(items: &[Item]) -> impl Iterator<Item = &Item> {
    let mut items: Vec<&Item> = items.iter().collect();
    items.sort_by_key(|item| item.revision);
    items.into_iter()
}

/// Sends a stored job or cancellation to the engine.
fn send_inbox_item(engine: &Engine, item: &Item) {
    match decode_inbox_item(item) {
        Some(InboxItem::Job(job)) => engine.send(Event::Job(job, stored_at(item.revision))),
        Some(InboxItem::Cancel(key)) => engine.send(Event::Cancel(key, stored_at(item.revision))),
        None => tracing::warn!(event = "inbox_malformed", key = item.key),
    }
}

/// Sends maintenance waves to the engine: first those already stored, then each new one.
async fn feed_waves(node: Arc<Node>, engine: Arc<Engine>) {
    let mut from = None;
    let wait = watch_wait(&node);
    loop {
        let Some(after) = from else {
            from = list_waves(&node, &engine).await;
            continue;
        };
        match node.store.watch(waves::PREFIX, after, wait).await {
            Ok(watched) => {
                from = Some(watched.revision);
                for change in &watched.changes {
                    if let Change::Set(item) = change {
                        send_wave(&engine, item);
                    }
                }
            }
            Err(StoreError::Gone) => from = None,
            Err(e) => {
                tracing::debug!(event = "watch_cut", error = %e);
                task::sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }
}

/// Sends all stored waves to the engine; returns the revision from which the watch continues.
async fn list_waves(node: &Node, engine: &Engine) -> Option<Revision> {
    match node.store.list(waves::PREFIX).await {
        Ok(listed) => {
            listed.items.iter().for_each(|item| send_wave(engine, item));
            Some(listed.revision)
        }
        Err(e) => {
            tracing::debug!(event = "store_silent", error = %e);
            task::sleep(STORE_RETRY_PAUSE).await;
            None
        }
    }
}

/// Sends one wave to the engine.
fn send_wave(engine: &Engine, item: &Item) {
    match waves::decode(&item.value) {
        Ok(wave) => engine.send(Event::Wave(wave)),
        Err(e) => tracing::warn!(event = "wave_malformed", key = item.key, error = %e),
    }
}
