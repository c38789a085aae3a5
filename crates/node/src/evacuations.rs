//! Reports to the engine which failure domains the operators have evacuated.
//!
//! The operators' entries are read several times within the bound that the installation sets. A
//! watch is not used: a silent connection would be noticed only after the bound.

use std::collections::BTreeSet;
use std::sync::Arc;

use async_std::task;
use gaplock_platform::evacuations;
use gaplock_platform::store::{Item, StoreError};
use gaplock_sched::evacuation::Evacuated;
use gaplock_sched::Event;
use gaplock_types::time::Millis;

use crate::engine::Engine;
use crate::node::Node;

/// How many times the operators' entries are read within the bound: several reads in a row may fail
/// or get lost.
const READS_PER_BOUND: u64 = 10;

/// The longest pause between two reads, whatever the bound.
const MAX_PAUSE: Millis = Millis(500);

/// Feeds the engine during a leadership; `bound` is the time within which an evacuation must take
/// effect.
pub async fn feed(node: Arc<Node>, engine: Arc<Engine>, bound: Millis) {
    let pause = Millis(bound.0 / READS_PER_BOUND).min(MAX_PAUSE).as_duration();
    let mut refused = BTreeSet::new();
    loop {
        match read(&node, &mut refused).await {
            Ok(evacuated) => engine.send(Event::Evacuated(evacuated)),
            Err(e) => tracing::debug!(event = "store_silent", error = %e),
        }
        task::sleep(pause).await;
    }
}

/// Reads the operators' entries. An entry that names no domain is logged once and kept in
/// `refused`.
///
/// # Errors
/// Returns the store's error.
pub async fn read(node: &Node, refused: &mut BTreeSet<String>) -> Result<Evacuated, StoreError> {
    let listed = node.store.list_small_prefix(evacuations::PREFIX).await?;
    let mut unreadable = BTreeSet::new();
    let mut domains = BTreeSet::new();
    for Item { key, value, .. } in listed.items {
        match evacuations::decode(&key, &value) {
            Ok(domain) => {
                domains.insert(domain);
            }
            Err(e) => {
                if !refused.contains(&key) {
                    tracing::warn!(event = "evacuation_malformed", key, error = %e);
                }
                unreadable.insert(key);
            }
        }
    }
    *refused = unreadable;
    Ok(Evacuated { revision: listed.revision.0, domains })
}
