//! What some seeds play besides: workers that start again under their names, one by one and most of them at one
//! time, at times beside the loss of the leader.
//!
//! It draws from a sequence of its own, so that what else a seed plays stays as it is without it.

use std::io;
use std::time::Instant;

use gaplock_platform_standin::site::Site;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::millis;

/// The seeds that play this.
const FIRST_SEED: u64 = 40_000;

/// The sequence of a seed that is drawn from.
const STREAM: u64 = 1 << 33;

/// Pauses between two such faults, in milliseconds: a task under which three or four starts of workers end is given
/// up, and so would be an innocent one.
const PAUSE_MS: std::ops::Range<u64> = 1_500..4_500;

/// Workers that start again, to come.
#[derive(Debug)]
pub(super) struct Restarts {
    rng: ChaCha8Rng,
    next: Instant,
}

/// Tells whether a seed plays this.
pub(super) fn applies_to(seed: u64) -> bool {
    seed >= FIRST_SEED
}

/// Prepares what a seed plays besides, if it does.
pub(super) fn prepare(seed: u64) -> Option<Restarts> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    applies_to(seed).then(|| {
        let next = Instant::now() + millis(&mut rng, PAUSE_MS);
        Restarts { rng, next }
    })
}

impl Restarts {
    /// Does what is due where more faults are to come; returns how many faults that were.
    pub(super) fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        if !more || now < self.next {
            return Ok(0);
        }
        self.next = now + millis(&mut self.rng, PAUSE_MS);
        let workers = site.fleet.len();
        let many = self.rng.random_range(0..5) == 0;
        for _ in 0..if many { workers } else { 1 } {
            site.fleet.start_over(self.rng.random_range(0..workers));
        }
        let leader = site.leader().filter(|_| self.rng.random_range(0..6) == 0);
        if let Some(leader) = leader {
            site.hosts[leader].kill()?;
        }
        Ok(1 + u64::from(leader.is_some()))
    }
}
