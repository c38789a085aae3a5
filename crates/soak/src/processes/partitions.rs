//! Additional faults of some seeds: the hosts of the leader's failure domain, with half of the workers, are
//! partitioned from the store and the other workers, and a host that knows none of them joins on the other side. One
//! domain at a time is cut off, as installations tolerate.
//!
//! They draw from a random sequence of their own, so that the other faults of a seed do not change.

use std::io;
use std::time::Instant;

use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::Site;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::faults::millis;

/// The seeds with these faults.
const SEEDS: std::ops::Range<u64> = 60_000..70_000;

/// The random stream of these faults.
const STREAM: u64 = 1 << 35;

/// Pauses before and between partitions, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1_500..4_000;

/// How long a partition lasts, in milliseconds: mostly longer than it takes until a host has joined and the recovery
/// scan is over of a successor that counts the leases of runs from its own claim.
const PARTITION_MS: std::ops::Range<u64> = 8_000..15_000;

/// When a host joins after the begin of a partition, in milliseconds: once the lease of the claim is over. Before, it
/// would find the leader's address in the store, and the links between daemons pass no relay.
const JOINS_AFTER_MS: std::ops::Range<u64> = 2_600..4_000;

/// The failure domains of the hosts that join, one after the other; the first hosts are in another one. A host never
/// joins the domain that is cut off.
const DOMAINS: [&str; 3] = ["annex", "yard", "dock"];

#[derive(Debug)]
enum State {
    Whole { until: Instant },
    Partitioned { cut_off: Vec<usize>, joins_at: Option<Instant>, until: Instant },
}

/// The partitions of a seed.
#[derive(Debug)]
pub(super) struct Partitions {
    rng: ChaCha8Rng,
    state: State,
    joined: usize,
    /// Whether the other faults pause during partitions, so that both sides keep their leaders.
    alone: bool,
}

/// Returns whether a seed has these faults.
pub(super) fn applies_to(seed: u64) -> bool {
    SEEDS.contains(&seed)
}

/// Draws the time of the first partition; `None` if the seed has none.
pub(super) fn prepare(seed: u64) -> Option<Partitions> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    applies_to(seed).then(|| {
        let until = Instant::now() + millis(&mut rng, PAUSE_MS);
        Partitions { rng, state: State::Whole { until }, joined: 0, alone: !seed.is_multiple_of(4) }
    })
}

impl Partitions {
    /// Begins and ends partitions and lets hosts join, as far as that is due. Returns the number of faults.
    pub(super) fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        match &mut self.state {
            State::Whole { until } if more && now >= *until => {
                let cut_off = site.partition(site.fleet.len() / 2);
                if cut_off.is_empty() {
                    return Ok(0);
                }
                let joins = self.joined < DOMAINS.len();
                let joins_at = joins.then(|| now + millis(&mut self.rng, JOINS_AFTER_MS));
                let until = now + millis(&mut self.rng, PARTITION_MS);
                self.state = State::Partitioned { cut_off, joins_at, until };
                Ok(1)
            }
            State::Partitioned { until, .. } if now >= *until || !more => {
                self.heal(site);
                Ok(0)
            }
            State::Partitioned { joins_at, .. } if joins_at.is_some_and(|at| now >= at) => {
                *joins_at = None;
                site.add_host(DOMAINS[self.joined])?;
                self.joined += 1;
                Ok(1)
            }
            State::Partitioned { cut_off, .. } => {
                // Repairs of single hosts do not end the partition.
                cut_off.iter().for_each(|&n| site.hosts[n].store_link.set(Mode::Silent));
                Ok(0)
            }
            State::Whole { .. } => Ok(0),
        }
    }

    /// Returns whether other faults are to pause.
    pub(super) fn pauses_others(&self) -> bool {
        self.alone && matches!(self.state, State::Partitioned { .. })
    }

    /// Ends a partition, if there is one.
    fn heal(&mut self, site: &Site) {
        site.heal();
        self.state = State::Whole { until: Instant::now() + millis(&mut self.rng, PAUSE_MS) };
    }
}
