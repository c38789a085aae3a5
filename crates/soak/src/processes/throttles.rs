//! Additional faults of some seeds: hosts, mostly the leader, whose processor is throttled for seconds. They run for a
//! part of each fifth of a second only, in series and beside lost leaders.
//!
//! They draw from a random sequence of their own, so that the other faults of a seed do not change.

use std::io;
use std::time::Instant;

use gaplock_platform_standin::site::Site;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::faults::millis;

/// The seeds with these faults.
const SEEDS: std::ops::Range<u64> = 100_000..110_000;

/// The random stream of these faults.
const STREAM: u64 = 1 << 39;

/// The length of a cycle, in checks of the faults.
const CYCLE: u32 = 4;

/// How long a host is throttled, and the pause before the next one, in milliseconds.
const THROTTLED_MS: std::ops::Range<u64> = 1_000..5_000;
const PAUSE_MS: std::ops::Range<u64> = 200..1_500;

/// Returns whether a seed has these faults.
fn applies_to(seed: u64) -> bool {
    SEEDS.contains(&seed)
}

/// A host that is throttled.
#[derive(Debug)]
struct Throttle {
    host: usize,
    /// In how many checks of a cycle the host does not run.
    stopped: u32,
    /// How many checks have passed.
    checks: u32,
    until: Instant,
}

/// The throttled host and the next one.
#[derive(Debug)]
pub(super) struct Throttles {
    rng: ChaCha8Rng,
    next: Instant,
    active: Option<Throttle>,
}

/// Draws the time of the first fault; `None` if the seed has none.
pub(super) fn prepare(seed: u64) -> Option<Throttles> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    applies_to(seed).then(|| {
        let next = Instant::now() + millis(&mut rng, PAUSE_MS);
        Throttles { rng, next, active: None }
    })
}

impl Throttles {
    /// Throttles the host whose turn it is, and begins and ends its turn. Returns the number of new faults.
    pub(super) fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        if let Some(active) = &mut self.active {
            let is_over = !more || now >= active.until;
            let stops = !is_over && active.checks % CYCLE < active.stopped;
            site.hosts[active.host].signal(if stops { Signal::STOP } else { Signal::CONT });
            active.checks += 1;
            if is_over {
                self.active = None;
                self.next = now + millis(&mut self.rng, PAUSE_MS);
            }
            return Ok(0);
        }
        if !more || now < self.next {
            return Ok(0);
        }
        self.begin(site, now)
    }

    /// Begins to throttle a host, mostly the leader; now and then kills another host as well.
    fn begin(&mut self, site: &mut Site, now: Instant) -> io::Result<u64> {
        let any = self.rng.random_range(0..site.hosts.len());
        let host = site.leader().filter(|_| self.rng.random_range(0..4) != 0).unwrap_or(any);
        let stopped = self.rng.random_range(1..CYCLE);
        let until = now + millis(&mut self.rng, THROTTLED_MS);
        self.active = Some(Throttle { host, stopped, checks: 0, until });
        let kills = self.rng.random_range(0..4) == 0 && any != host;
        if kills {
            site.hosts[any].kill()?;
        }
        Ok(1 + u64::from(kills))
    }
}
