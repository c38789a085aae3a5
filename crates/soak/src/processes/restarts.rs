//! Additional faults of some seeds: workers that restart under their names, one by one or most of them at once,
//! sometimes together with the loss of the leader.
//!
//! They draw from a random sequence of their own, so that the other faults of a seed do not change.

use std::io;
use std::time::Instant;

use gaplock_platform_standin::site::Site;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::millis;

/// First seed with these faults.
const FIRST_SEED: u64 = 40_000;

/// The random stream of these faults.
const STREAM: u64 = 1 << 33;

/// Pauses between two such faults, in milliseconds. Shorter ones would fail innocent tasks: a task fails if three or
/// four worker incarnations end under it.
const PAUSE_MS: std::ops::Range<u64> = 1_500..4_500;

/// The pending restarts of workers.
#[derive(Debug)]
pub(super) struct Restarts {
    rng: ChaCha8Rng,
    next: Instant,
}

/// Returns whether a seed has these faults.
pub(super) fn applies_to(seed: u64) -> bool {
    seed >= FIRST_SEED
}

/// Draws the time of the first restart; `None` if the seed has none.
pub(super) fn prepare(seed: u64) -> Option<Restarts> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    applies_to(seed).then(|| {
        let next = Instant::now() + millis(&mut rng, PAUSE_MS);
        Restarts { rng, next }
    })
}

impl Restarts {
    /// Restarts workers if that is due and faults are still injected. Returns the number of faults.
    pub(super) fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        if !more || now < self.next {
            return Ok(0);
        }
        self.next = now + millis(&mut self.rng, PAUSE_MS);
        let workers = site.fleet.len();
        let many = self.rng.random_range(0..5) == 0;
        for _ in 0..if many { workers } else { 1 } {
            site.fleet.restart_in_place(self.rng.random_range(0..workers));
        }
        let leader = site.leader().filter(|_| self.rng.random_range(0..6) == 0);
        if let Some(leader) = leader {
            site.hosts[leader].kill()?;
        }
        Ok(1 + u64::from(leader.is_some()))
    }
}
