//! The entries of the directory of workers, turned into events for the scheduler.
//!
//! Others than workers may write there, so an entry may be anything. One that cannot be read is said so
//! once, counted, and names no worker until it is sound again.
//!
//! Each worker writes its entry about once a second, and nearly every time nothing but a counter has changed.
//! The scheduler does not hear of those: on 3,000 workers they are some 2,700 a second.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_platform::directory;
use gaplock_platform::store::{Change, Item};
use gaplock_sched::message::WorkerInfo;
use gaplock_sched::Event;
use gaplock_types::ids;
use prometheus_client::metrics::gauge::Gauge;

/// What the directory holds, as far as it was heard of.
#[derive(Debug)]
pub struct Entries {
    /// All workers with an entry, with what it last said; nothing where it cannot be read.
    there: BTreeMap<ids::WorkerId, Option<WorkerInfo>>,
    /// Those whose entry cannot be read.
    unreadable: BTreeSet<ids::WorkerId>,
    /// How many these are, for the metrics.
    shown: Gauge,
}

/// Begins with an empty directory.
pub fn open(shown: Gauge) -> Entries {
    Entries { there: BTreeMap::new(), unreadable: BTreeSet::new(), shown }
}

impl Entries {
    /// Turns one change into an event. A key that is no worker's means nothing, and an entry that says the
    /// same as before is no change.
    pub fn changed(&mut self, change: &Change) -> Option<Event> {
        let event = match change {
            Change::Removed(key) => self.removed(directory::worker_of(key)?),
            Change::Set(item) => self.set(directory::worker_of(&item.key)?, item)?,
        };
        self.shown.set(self.unreadable.len() as i64);
        Some(event)
    }

    fn removed(&mut self, id: ids::WorkerId) -> Event {
        self.there.remove(&id);
        self.unreadable.remove(&id);
        Event::Unlisted(id)
    }

    fn set(&mut self, id: ids::WorkerId, item: &Item) -> Option<Event> {
        match directory::decode(id.clone(), &item.value) {
            Ok(info) => {
                self.unreadable.remove(&id);
                let before = self.there.insert(id, Some(info.clone())).flatten();
                (before.as_ref() != Some(&info)).then_some(Event::Listed(info))
            }
            Err(e) => {
                self.there.insert(id.clone(), None);
                if self.unreadable.insert(id.clone()) {
                    tracing::warn!(event = "directory_malformed", worker = %id, error = %e);
                }
                Some(Event::Unreadable(id))
            }
        }
    }

    /// Turns a whole listing into events: what is there, and what no longer is.
    pub fn listed(&mut self, items: &[Item]) -> Vec<Event> {
        let listed: BTreeSet<ids::WorkerId> =
            items.iter().filter_map(|item| directory::worker_of(&item.key)).collect();
        let gone = self.there.keys().filter(|id| !listed.contains(*id));
        let gone: Vec<ids::WorkerId> = gone.cloned().collect();
        let set = |item: &Item| self.changed(&Change::Set(item.clone()));
        let mut events: Vec<Event> = items.iter().filter_map(set).collect();
        events.extend(gone.into_iter().map(|id| self.removed(id)));
        self.shown.set(self.unreadable.len() as i64);
        events
    }
}
