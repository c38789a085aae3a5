//! Turns entries of the directory of workers into events for the scheduler.
//!
//! Writers other than workers may write to the directory, so an entry can have any content. An
//! entry that cannot be read is logged once and counted. Until it is valid again, its worker gets
//! no new tasks.
//!
//! Each worker writes its entry about once a second, and nearly always only a counter has changed.
//! Such writes are not passed to the scheduler: with 3,000 workers there are some 2,700 of them a
//! second.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_platform::directory;
use gaplock_platform::store::{Change, Item};
use gaplock_sched::message::WorkerInfo;
use gaplock_sched::Event;
use gaplock_types::ids;
use prometheus_client::metrics::gauge::Gauge;

/// The content of the directory, as far as it was read.
#[derive(Debug)]
pub struct Entries {
    /// Workers whose existing entry could be read at some time, with its last readable content.
    last_readable: BTreeMap<ids::WorkerName, WorkerInfo>,
    /// The workers whose entry cannot be read now.
    unreadable: BTreeSet<ids::WorkerName>,
    /// The metric that shows how many entries cannot be read.
    unreadable_gauge: Gauge,
}

/// Builds the state of an empty directory.
pub fn open(unreadable_gauge: Gauge) -> Entries {
    Entries { last_readable: BTreeMap::new(), unreadable: BTreeSet::new(), unreadable_gauge }
}

impl Entries {
    /// Turns one change into events. A key that belongs to no worker is ignored, and an entry with
    /// the same content as before is no change.
    pub fn apply_change(&mut self, change: &Change) -> Vec<Event> {
        let events = match change {
            Change::Removed(key) => directory::parse_key(key).map(|name| self.remove_entry(&name)),
            Change::Set(item) => {
                directory::parse_key(&item.key).map(|name| self.apply_entry(name, item))
            }
        };
        self.unreadable_gauge.set(self.unreadable.len() as i64);
        events.unwrap_or_default()
    }

    fn remove_entry(&mut self, name: &ids::WorkerName) -> Vec<Event> {
        self.unreadable.remove(name);
        self.last_readable.remove(name).map(|info| Event::Unlisted(info.id)).into_iter().collect()
    }

    /// Applies an entry. If the worker has restarted, the entry replaces that of its previous
    /// incarnation.
    fn apply_entry(&mut self, name: ids::WorkerName, item: &Item) -> Vec<Event> {
        let info = match directory::decode(&name, &item.value) {
            Ok(info) => info,
            Err(e) => return self.mark_unreadable(name, &e),
        };
        let was_unreadable = self.unreadable.remove(&name);
        let before = self.last_readable.insert(name, info.clone());
        if !was_unreadable && before.as_ref() == Some(&info) {
            return Vec::new();
        }
        let previous = before.filter(|before| before.id != info.id);
        let unlisted = previous.map(|before| Event::Unlisted(before.id));
        unlisted.into_iter().chain([Event::Listed(info)]).collect()
    }

    fn mark_unreadable(&mut self, name: ids::WorkerName, e: &directory::EntryError) -> Vec<Event> {
        let known = self.last_readable.get(&name).map(|info| Event::Unreadable(info.id.clone()));
        if !self.unreadable.contains(&name) {
            tracing::warn!(event = "directory_malformed", worker = %name, error = %e);
            self.unreadable.insert(name);
        }
        known.into_iter().collect()
    }

    /// Turns a complete listing into events: for the entries listed, and for those that have
    /// disappeared.
    pub fn apply_listing(&mut self, items: &[Item]) -> Vec<Event> {
        let listed: BTreeSet<ids::WorkerName> =
            items.iter().filter_map(|item| directory::parse_key(&item.key)).collect();
        let known = self.last_readable.keys().chain(&self.unreadable);
        let removed: BTreeSet<ids::WorkerName> =
            known.filter(|name| !listed.contains(*name)).cloned().collect();
        let set = |item: &Item| self.apply_change(&Change::Set(item.clone()));
        let mut events: Vec<Event> = items.iter().flat_map(set).collect();
        events.extend(removed.iter().flat_map(|name| self.remove_entry(name)));
        self.unreadable_gauge.set(self.unreadable.len() as i64);
        events
    }
}
