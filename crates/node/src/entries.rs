//! The entries of the directory of workers, turned into events for the scheduler.
//!
//! Others than workers may write there, so an entry may be anything. One that cannot be read is said so
//! once, counted, and names no worker until it is sound again.

use std::collections::BTreeSet;

use gaplock_platform::directory;
use gaplock_platform::store::{Change, Item};
use gaplock_sched::Event;
use gaplock_types::ids;
use prometheus_client::metrics::gauge::Gauge;

/// What the directory holds, as far as it was heard of.
#[derive(Debug)]
pub struct Entries {
    /// All workers with an entry, sound or not.
    there: BTreeSet<ids::WorkerId>,
    /// Those whose entry cannot be read.
    unreadable: BTreeSet<ids::WorkerId>,
    /// How many these are, for the metrics.
    shown: Gauge,
}

/// Begins with an empty directory.
pub fn open(shown: Gauge) -> Entries {
    Entries { there: BTreeSet::new(), unreadable: BTreeSet::new(), shown }
}

impl Entries {
    /// Turns one change into an event. A key that is no worker's means nothing.
    pub fn changed(&mut self, change: &Change) -> Option<Event> {
        let event = match change {
            Change::Removed(key) => self.removed(directory::worker_of(key)?),
            Change::Set(item) => self.set(directory::worker_of(&item.key)?, item),
        };
        self.shown.set(self.unreadable.len() as i64);
        Some(event)
    }

    fn removed(&mut self, id: ids::WorkerId) -> Event {
        self.there.remove(&id);
        self.unreadable.remove(&id);
        Event::Unlisted(id)
    }

    fn set(&mut self, id: ids::WorkerId, item: &Item) -> Event {
        self.there.insert(id.clone());
        match directory::decode(id.clone(), &item.value) {
            Ok(info) => {
                self.unreadable.remove(&id);
                Event::Listed(info)
            }
            Err(e) => {
                if self.unreadable.insert(id.clone()) {
                    tracing::warn!(event = "directory_malformed", worker = %id, error = %e);
                }
                Event::Unreadable(id)
            }
        }
    }

    /// Turns a whole listing into events: what is there, and what no longer is.
    pub fn listed(&mut self, items: &[Item]) -> Vec<Event> {
        let before = std::mem::take(&mut self.there);
        let set = |item: &Item| self.changed(&Change::Set(item.clone()));
        let mut events: Vec<Event> = items.iter().filter_map(set).collect();
        let gone: Vec<ids::WorkerId> = before.difference(&self.there).cloned().collect();
        events.extend(gone.into_iter().map(|id| self.removed(id)));
        self.shown.set(self.unreadable.len() as i64);
        events
    }
}
