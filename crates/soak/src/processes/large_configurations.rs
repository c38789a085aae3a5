//! Additional faults of some seeds: the operators change a configuration of up to thousands of queues, in quick
//! series, while hosts have links of different bandwidths.
//!
//! The checks ask each host for a queue that all versions since longer than the bound have, and for one that none
//! of them has: no host may deny the first or know the second, whatever else happens to it.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use gaplock_platform_standin::site::{self, Site, CONFIG_BOUND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::millis;

/// The seeds with these faults.
const SEEDS: std::ops::Range<u64> = 80_000..90_000;

/// The random stream of these faults.
const STREAM: u64 = 1 << 37;

/// The bandwidths of hosts' links, in Mbit/s.
const LINKS: [f64; 4] = [10.0, 10.0, 20.0, 200.0];

/// How many queues there are at most besides the one that jobs go to; the store takes no more.
const MAX_QUEUES: usize = 4_800;

/// Pauses between two versions within a series, and after it, in milliseconds.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 200..1_500;
const PAUSE_MS: std::ops::Range<u64> = 3_500..6_000;

const NOT_FOUND: u16 = 404;
const OK: u16 = 200;

const LOCK: &str = "no holder of the lock panics";

/// The wrong answers of hosts.
pub(super) type WrongAnswers = Arc<Mutex<Vec<String>>>;

/// Draws the bandwidths of a seed's links; none if they have no limit.
pub(super) fn links(seed: u64, hosts: usize) -> Vec<f64> {
    let mut rng = random(seed);
    let count = if SEEDS.contains(&seed) { hosts } else { 0 };
    (0..count).map(|_| LINKS[rng.random_range(0..LINKS.len())]).collect()
}

fn random(seed: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    rng
}

/// The changes of the configuration in a seed.
#[derive(Debug)]
pub(super) struct LargeConfigurations {
    rng: ChaCha8Rng,
    next: Instant,
    version: u64,
    /// When the last versions were confirmed, and how many additional queues they have.
    versions: Vec<(Instant, usize)>,
    wrong: WrongAnswers,
}

/// Draws the time of the first change; `None` if the seed has none.
pub(super) fn prepare(seed: u64, wrong: &WrongAnswers) -> Option<LargeConfigurations> {
    SEEDS.contains(&seed).then(|| {
        let mut rng = random(seed);
        let now = Instant::now();
        let next = now + millis(&mut rng, PAUSE_MS);
        let (versions, wrong) = (vec![(now, 0)], Arc::clone(wrong));
        LargeConfigurations { rng, next, version: 1, versions, wrong }
    })
}

impl LargeConfigurations {
    /// Puts the next version into force if that is due, else checks the hosts' answers. Returns the number of
    /// changes.
    pub(super) fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        if !more || now < self.next {
            self.check(site);
            return Ok(0);
        }
        let last = self.versions.last().map_or(0, |(_, queues)| *queues);
        let queues = match self.rng.random_range(0..4) {
            0 => last,
            1 => self.rng.random_range(0..MAX_QUEUES),
            _ => (last + 1_400).min(MAX_QUEUES),
        };
        self.version += self.rng.random_range(1..4);
        site.set_queues(self.version, queues);
        let confirmed = Instant::now();
        self.versions.push((confirmed, queues));
        let pause = if self.rng.random_range(0..2) == 0 { SERIES_PAUSE_MS } else { PAUSE_MS };
        self.next = confirmed + millis(&mut self.rng, pause);
        Ok(1)
    }

    /// Asks one host for a queue that it must not deny, and for one that it must not know.
    fn check(&mut self, site: &mut Site) {
        // The last version that is older than the bound, and all later ones, may be in force.
        let asked = Instant::now();
        let is_old = |confirmed: &Instant| asked.duration_since(*confirmed) > CONFIG_BOUND;
        let Some(from) = self.versions.iter().rposition(|(at, _)| is_old(at)) else { return };
        self.versions.drain(..from);
        let counts = || self.versions.iter().map(|(_, queues)| *queues);
        let (fewest, most) = (counts().min().unwrap_or(0), counts().max().unwrap_or(0));
        let n = self.rng.random_range(0..site.hosts.len());
        let host = &mut site.hosts[n];
        if !host.reaches_store() {
            return;
        }
        let status = |prefix: &str| site::call(&host.callers, "GET", prefix, "").map(|a| a.status);
        let version = self.version;
        let mut wrong = self.wrong.lock().expect(LOCK);
        if fewest > 0 && status(&site::extra_prefix(fewest - 1)) == Some(NOT_FOUND) {
            wrong.push(format!("{}: denies queue {fewest} before version {version}", host.name));
        }
        if status(&site::extra_prefix(most)) == Some(OK) {
            wrong.push(format!("{}: knows queue {most} before version {version}", host.name));
        }
    }
}
