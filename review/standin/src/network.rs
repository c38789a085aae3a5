//! The simulated network between the hosts, the store and the workers: which zones are partitioned.

use std::sync::Mutex;

/// The state of the network.
#[derive(Debug, Default)]
pub struct Network {
    /// The zone that is partitioned from all others.
    partitioned: Mutex<Option<&'static str>>,
}

impl Network {
    /// Partitions a zone from all others.
    pub fn partition(&self, zone: &'static str) {
        *self.partitioned.lock().unwrap() = Some(zone);
    }

    /// Ends the partition.
    pub fn heal(&self) {
        *self.partitioned.lock().unwrap() = None;
    }

    /// Returns whether packets pass between two zones.
    pub fn passes(&self, from: &str, to: &str) -> bool {
        let partitioned = *self.partitioned.lock().unwrap();
        partitioned.is_none_or(|zone| (from == zone) == (to == zone))
    }
}
