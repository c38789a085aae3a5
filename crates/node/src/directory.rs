//! Reports changes of the directory of workers to the engine: workers that appear, change and
//! disappear.
//!
//! This runs on a separate thread. The thread that runs all other tasks has thousands of calls
//! under way; each part of a large answer would be queued behind them, and the view of the
//! directory would become stale.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_platform::directory;
use gaplock_platform::store::{Revision, StoreError};
use gaplock_policy::authority::Authority;
use gaplock_remote::clock;
use gaplock_sched::freshness::DirectoryRead;
use gaplock_sched::Event;

use crate::engine::Engine;
use crate::entries::Entries;
use crate::node::Node;
use crate::{feeds, threads};

/// How long a watch of the directory waits. A silent connection is noticed only when the watch
/// ends, and what workers write until then is not read.
const DIRECTORY_WAIT: Duration = Duration::from_millis(500);

/// The pause after a watch of the directory has answered, so that one call returns many changes.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(100);

/// The number of changes in one answer from which more changes are assumed to be waiting: the store
/// returns some 500 at a time. The feed does not pause after such an answer: with a pause it would
/// fall behind for good where workers write faster than it reads.
const FULL_ANSWER_CHANGES: usize = 400;

/// The thread's name.
const THREAD: &str = "directory";

/// Starts to feed the engine; ends when the leadership is lost.
pub fn spawn(node: &Arc<Node>, engine: &Arc<Engine>, from: Revision, entries: Entries) {
    let feed = feed(Arc::clone(node), Arc::clone(engine), from, entries);
    if let Err(e) = threads::spawn(THREAD, feed) {
        tracing::warn!(event = "leadership_lost", why = "no thread to read the directory", error = %e);
        engine.leadership.lose();
    }
}

/// Reports workers that appear, change and disappear to the engine.
async fn feed(node: Arc<Node>, engine: Arc<Engine>, from: Revision, mut entries: Entries) {
    let mut from = from;
    let mut interrupted = false;
    while engine.leadership.authority(clock::now()) != Authority::Lost {
        let sent = clock::now();
        match node.store.watch(directory::PREFIX, from, DIRECTORY_WAIT).await {
            Ok(watched) => {
                node.record_store_answer();
                report_directory_recovered(&engine, &mut interrupted);
                from = watched.revision;
                for change in &watched.changes {
                    entries.apply_change(change).into_iter().for_each(|event| engine.send(event));
                }
                let complete = watched.changes.len() < FULL_ANSWER_CHANGES;
                let read = DirectoryRead { sent, revision: from.0, complete };
                engine.send(Event::DirectoryRead(read));
                if complete {
                    task::sleep(DIRECTORY_PAUSE).await;
                }
            }
            Err(StoreError::Gone) => match node.store.list_for_watch(directory::PREFIX).await {
                Ok(listed) => {
                    report_directory_recovered(&engine, &mut interrupted);
                    from = listed.revision;
                    let events = entries.apply_listing(&listed.items);
                    events.into_iter().for_each(|event| engine.send(event));
                    let read = DirectoryRead { sent, revision: from.0, complete: true };
                    engine.send(Event::DirectoryRead(read));
                }
                Err(e) => {
                    tracing::debug!(event = "store_silent", error = %e);
                    interrupted = true;
                    task::sleep(feeds::STORE_RETRY_PAUSE).await;
                }
            },
            Err(e) => {
                tracing::debug!(event = "watch_cut", error = %e);
                interrupted = true;
                task::sleep(feeds::STORE_RETRY_PAUSE).await;
            }
        }
    }
}

/// Reports once to the engine that the directory can be read again.
fn report_directory_recovered(engine: &Engine, interrupted: &mut bool) {
    if std::mem::take(interrupted) {
        engine.send(Event::DirectoryRecovered);
    }
}
