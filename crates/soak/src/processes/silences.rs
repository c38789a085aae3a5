//! Additional faults of some seeds: open connections that go silent for good while new ones work, in series, and a
//! store that forgets its history, beside lost leaders. States of ended jobs are kept for a short time, so that in a
//! long run jobs are removed meanwhile.
//!
//! They draw from a random sequence of their own, so that the other faults of a seed do not change.

use std::io;
use std::time::Instant;

use gaplock_platform_standin::site::{Host, Site};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::millis;

/// The seeds with these faults.
const SEEDS: std::ops::Range<u64> = 90_000..100_000;

/// The random stream of these faults.
const STREAM: u64 = 1 << 38;

/// The bandwidth of each host's link, in Mbit/s. Hosts on links reach one another through relays.
const LINK_MBPS: f64 = 1_000.0;

/// For how long the daemons are told to show the states of ended jobs, in seconds; they add a margin of 30 s.
const STATUS_S: u64 = 0;

/// Pauses between two of these faults, in milliseconds: from one time-out of a call between hosts on.
const PAUSE_MS: std::ops::Range<u64> = 1_200..3_500;

/// Returns whether a seed has these faults.
pub(super) fn applies_to(seed: u64) -> bool {
    SEEDS.contains(&seed)
}

/// Returns for how long states are shown in a seed, in seconds, if not for the usual time.
pub(super) fn status_s(seed: u64) -> Option<u64> {
    applies_to(seed).then_some(STATUS_S)
}

/// Returns the bandwidths of a seed's links; none if they have no limit.
pub(super) fn links(seed: u64, hosts: usize) -> Vec<f64> {
    if applies_to(seed) {
        vec![LINK_MBPS; hosts]
    } else {
        Vec::new()
    }
}

/// The pending faults.
#[derive(Debug)]
pub(super) struct Silences {
    rng: ChaCha8Rng,
    next: Instant,
}

/// Draws the time of the first fault; `None` if the seed has none.
pub(super) fn prepare(seed: u64) -> Option<Silences> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    applies_to(seed).then(|| {
        let next = Instant::now() + millis(&mut rng, PAUSE_MS);
        Silences { rng, next }
    })
}

fn silence_store(host: &Host) {
    host.store_link.silence_open_connections();
}

fn silence_peers(host: &Host) {
    host.peer_links.iter().for_each(|link| link.silence_open_connections());
}

impl Silences {
    /// Injects a fault if that is due and faults are still injected. Returns the number of faults.
    pub(super) fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        if !more || now < self.next {
            return Ok(0);
        }
        self.next = now + millis(&mut self.rng, PAUSE_MS);
        let any = self.rng.random_range(0..site.hosts.len());
        let at = site.leader().filter(|_| self.rng.random_range(0..2) == 0).unwrap_or(any);
        let mut faults = 1;
        match self.rng.random_range(0..6) {
            0 | 1 => {
                site.hosts.iter().for_each(silence_store);
                site.hosts.iter().for_each(silence_peers);
                (0..site.fleet.len()).for_each(|n| site.fleet.silence_open_connections(n));
            }
            2 => site.hosts.iter().for_each(silence_peers),
            3 => site.hosts.iter().for_each(silence_store),
            4 => {
                silence_store(&site.hosts[at]);
                silence_peers(&site.hosts[at]);
            }
            _ => (0..site.fleet.len()).for_each(|n| site.fleet.silence_open_connections(n)),
        }
        if self.rng.random_range(0..2) == 0 {
            site.store.discard_history();
            faults += 1;
        }
        let leader = site.leader().filter(|_| self.rng.random_range(0..6) == 0);
        if let Some(leader) = leader {
            site.hosts[leader].kill()?;
            faults += 1;
        }
        Ok(faults)
    }
}
