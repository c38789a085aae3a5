//! Reports to the engine the operators' instructions for queues.
//!
//! The records are read at intervals. A watch is not used: instructions are few, and a watch that
//! broke unnoticed would delay one for as long.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_overload::steer;
use gaplock_platform::store::{Item, StoreError};
use gaplock_sched::message::Steering;
use gaplock_sched::Event;

use crate::engine::Engine;
use crate::node::Node;

/// The pause between two reads; an operator sees an instruction take effect within about a second.
const READ_PAUSE: Duration = Duration::from_secs(1);

/// Feeds the engine during a leadership.
pub async fn feed(node: Arc<Node>, engine: Arc<Engine>) {
    let mut refused = BTreeSet::new();
    loop {
        task::sleep(READ_PAUSE).await;
        match read(&node, &mut refused).await {
            Ok(steering) => engine.send(Event::Steered(steering)),
            Err(e) => tracing::debug!(event = "store_silent", error = %e),
        }
    }
}

/// Reads the instructions. A malformed record is logged once and kept in `refused`.
///
/// # Errors
/// Returns the store's error.
pub async fn read(node: &Node, refused: &mut BTreeSet<String>) -> Result<Steering, StoreError> {
    let listed = node.store.list_small_prefix(steer::PREFIX).await?;
    let mut unreadable = BTreeSet::new();
    let mut queues = BTreeMap::new();
    for Item { key, value, .. } in listed.items {
        match steer::decode(steer::queue_of(&key), &value) {
            Ok(record) => {
                queues.insert(record.queue, record.current);
            }
            Err(e) => {
                if !refused.contains(&key) {
                    tracing::warn!(event = "steering_malformed", key, error = %e);
                }
                unreadable.insert(key);
            }
        }
    }
    *refused = unreadable;
    Ok(Steering { revision: listed.revision.0, queues })
}
