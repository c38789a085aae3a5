//! Tells the engine of a leadership which workers come, change and go.
//!
//! This runs on a thread of its own: where the one thread that carries all other tasks has thousands of calls under
//! way, each part of a large answer waits its turn there, and the view of the directory grows old.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_platform::directory;
use gaplock_platform::store::{Revision, StoreError};
use gaplock_remote::clock;
use gaplock_sched::freshness::DirectoryRead;
use gaplock_sched::Event;

use crate::engine::Engine;
use crate::entries::Entries;
use crate::leadership::Authority;
use crate::node::Node;
use crate::{feeds, threads};

/// How long a watch of the directory waits: one whose connection has fallen silent shows that only by its end, and
/// what workers say meanwhile is not heard.
const DIRECTORY_WAIT: Duration = Duration::from_millis(500);

/// The pause after a watch of the directory has answered, so that one call brings many changes.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(100);

/// From how many changes in an answer on more are waiting: the store gives some 500 at a time. A pause then
/// puts the feed behind for good where workers write faster than it reads.
const FULL_ANSWER_CHANGES: usize = 400;

/// The thread's name.
const THREAD: &str = "directory";

/// Begins to feed the engine; ends by itself once the leadership is lost.
pub fn spawn(node: &Arc<Node>, engine: &Arc<Engine>, from: Revision, entries: Entries) {
    let feed = feed(Arc::clone(node), Arc::clone(engine), from, entries);
    if let Err(e) = threads::spawn(THREAD, feed) {
        tracing::warn!(event = "leadership_lost", why = "no thread to read the directory", error = %e);
        engine.leadership.lose();
    }
}

/// Tells the engine which workers come, change and go.
async fn feed(node: Arc<Node>, engine: Arc<Engine>, from: Revision, mut entries: Entries) {
    let mut from = from;
    let mut away = false;
    while engine.leadership.authority(clock::now()) != Authority::Lost {
        let sent = clock::now();
        match node.store.watch(directory::PREFIX, from, DIRECTORY_WAIT).await {
            Ok(watched) => {
                node.record_store_answer();
                report_directory_back(&engine, &mut away);
                from = watched.revision;
                for change in &watched.changes {
                    entries.changed(change).into_iter().for_each(|event| engine.send(event));
                }
                let whole = watched.changes.len() < FULL_ANSWER_CHANGES;
                let read = DirectoryRead { sent, revision: from.0, complete: whole };
                engine.send(Event::DirectoryRead(read));
                if whole {
                    task::sleep(DIRECTORY_PAUSE).await;
                }
            }
            Err(StoreError::Gone) => match node.store.list(directory::PREFIX).await {
                Ok(listed) => {
                    report_directory_back(&engine, &mut away);
                    from = listed.revision;
                    let events = entries.listed(&listed.items);
                    events.into_iter().for_each(|event| engine.send(event));
                    let read = DirectoryRead { sent, revision: from.0, complete: true };
                    engine.send(Event::DirectoryRead(read));
                }
                Err(e) => {
                    tracing::debug!(event = "store_silent", error = %e);
                    away = true;
                    task::sleep(feeds::STORE_RETRY_PAUSE).await;
                }
            },
            Err(e) => {
                tracing::debug!(event = "watch_cut", error = %e);
                away = true;
                task::sleep(feeds::STORE_RETRY_PAUSE).await;
            }
        }
    }
}

/// Tells the engine, once, that the directory can be read again.
fn report_directory_back(engine: &Engine, away: &mut bool) {
    if std::mem::take(away) {
        engine.send(Event::DirectoryRecovered);
    }
}
