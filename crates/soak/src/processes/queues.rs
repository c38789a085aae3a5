//! Additional faults of some seeds: the operators remove the queue, rename it and add it again.
//!
//! They draw from a random sequence of their own, so that the other faults of a seed do not change. At the end the
//! queue has another name at its old address, so that callers still find jobs that the former names accepted.

use std::io;
use std::time::Instant;

use gaplock_platform_standin::site::{Site, QUEUE};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::millis;

/// The seeds with these faults.
const SEEDS: std::ops::Range<u64> = 70_000..80_000;

/// The random stream of these faults.
const STREAM: u64 = 1 << 36;

/// Pauses between two versions of the configuration, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..2_500;

/// The names of the queue, and how often it is removed.
const NAMES: [Option<&str>; 5] = [Some(QUEUE), Some("checks-2"), Some("checks-3"), None, None];

/// The name of the queue once faults are over.
const LAST_NAME: &str = "checks-last";

/// The changes of the queue in a seed.
#[derive(Debug)]
pub(super) struct QueueChanges {
    rng: ChaCha8Rng,
    next: Instant,
    version: u64,
    is_over: bool,
}

/// Draws the time of the first change; `None` if the seed has none.
pub(super) fn prepare(seed: u64) -> Option<QueueChanges> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    SEEDS.contains(&seed).then(|| {
        let next = Instant::now() + millis(&mut rng, PAUSE_MS);
        QueueChanges { rng, next, version: 1, is_over: false }
    })
}

impl QueueChanges {
    /// Puts the next version into force if that is due. Returns the number of changes.
    pub(super) fn tick(&mut self, site: &Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        if self.is_over || (more && now < self.next) {
            return Ok(0);
        }
        self.version += self.rng.random_range(1..4);
        if more {
            let name = NAMES[self.rng.random_range(0..NAMES.len())];
            site.set_queue(self.version, name);
            self.next = now + millis(&mut self.rng, PAUSE_MS);
        } else {
            self.end(site);
        }
        Ok(1)
    }

    /// Gives the queue its last name.
    pub(super) fn end(&mut self, site: &Site) {
        if !self.is_over {
            self.is_over = true;
            site.set_queue(self.version + 1, Some(LAST_NAME));
        }
    }
}
