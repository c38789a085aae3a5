//! Additional faults of some seeds: directory entries and keys written by other programs, workers whose capacity
//! shrinks and grows, and hosts that are suspended for longer than their leases, in series and together with kills
//! and an unavailable store.
//!
//! They draw from a random sequence of their own, so that the other faults of a seed do not change.

use std::io;
use std::time::Instant;

use gaplock_platform_standin::foreign;
use gaplock_platform_standin::site::Site;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::faults::millis;

/// The seeds with these faults, first without jobs that crash workers and then with them. Higher seeds have
/// neither, so that tasks with checkpoints get far enough to resume.
const SEEDS_WITHOUT_CRASHES: std::ops::Range<u64> = 7_000..8_000;
const SEEDS_WITH_CRASHES: std::ops::Range<u64> = 9_000..30_000;

/// The random stream of these faults.
const STREAM: u64 = 1 << 32;

/// Pauses between two such faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..1_000;

/// How long a foreign entry replaces a worker's own, in milliseconds.
const FOREIGN_ENTRY_MS: std::ops::Range<u64> = 200..5_000;

/// How long a capacity is small, in milliseconds: mostly longer than a leader may take to learn of it.
const SMALL_CAPACITY_MS: std::ops::Range<u64> = 2_500..8_000;

/// Capacities that workers shrink to, in thousandths of a core. Their full capacity is 16,000.
const SMALL_CAPACITIES_MILLICORES: [u32; 4] = [0, 1_000, 1_000, 4_000];
const FULL_CAPACITY_MILLICORES: u32 = 16_000;

/// How long a host is suspended, in milliseconds: from just over a leader's lease in the store to over the
/// leases of what runs at workers.
const SUSPENDED_MS: std::ops::Range<u64> = 2_100..7_000;

/// How long a host runs between two suspensions of a series, in milliseconds.
const AWAKE_MS: std::ops::Range<u64> = 20..600;

/// Maximum number of suspensions in a series.
const MAX_SUSPENSIONS: u32 = 3;

/// How long the store is unavailable together with a suspension, in milliseconds.
const STORE_UNAVAILABLE_MS: std::ops::Range<u64> = 500..3_000;

/// A fault that lasts for a period.
#[derive(Debug, Clone, Copy)]
struct FaultPeriod {
    fault: EnvironmentFault,
    from: Instant,
    until: Instant,
    active: bool,
}

/// A fault of the environment.
#[derive(Debug, Clone, Copy)]
enum EnvironmentFault {
    /// A worker's directory entry is overwritten with the foreign entry of this index.
    ForeignEntry(usize, usize),
    /// A worker has this capacity, in thousandths of a core.
    Capacity(usize, u32),
    /// A host is suspended, and suspended again if another fault resumes it.
    Suspended(usize),
    /// The store refuses all calls.
    StoreUnavailable,
}

impl EnvironmentFault {
    /// Returns whether both are faults of one kind at the same worker or host.
    fn same_target(self, other: EnvironmentFault) -> bool {
        match (self, other) {
            (Self::ForeignEntry(a, _), Self::ForeignEntry(b, _)) => a == b,
            (Self::Capacity(a, _), Self::Capacity(b, _)) => a == b,
            (Self::Suspended(a), Self::Suspended(b)) => a == b,
            (Self::StoreUnavailable, Self::StoreUnavailable) => true,
            _ => false,
        }
    }
}

/// All active and pending faults of the environment.
#[derive(Debug)]
pub(super) struct EnvironmentFaults {
    rng: ChaCha8Rng,
    periods: Vec<FaultPeriod>,
    next: Instant,
}

/// Creates the faults of a seed; `None` if it has none. In half of these seeds the workers do not enforce their
/// capacity.
pub(super) fn prepare(site: &Site, seed: u64) -> Option<EnvironmentFaults> {
    if !SEEDS_WITHOUT_CRASHES.contains(&seed) && !SEEDS_WITH_CRASHES.contains(&seed) {
        return None;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    if rng.random_range(0..2) == 0 {
        site.disable_capacity_checks();
    }
    Some(EnvironmentFaults { rng, periods: Vec::new(), next: Instant::now() })
}

impl EnvironmentFaults {
    /// Begins and ends the faults that are due, and adds new ones while faults are still injected. Returns the
    /// number of added faults.
    pub(super) fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        let mut added = 0;
        if more && now >= self.next {
            added = self.add(site, now)?;
            self.next = now + millis(&mut self.rng, PAUSE_MS);
        }
        self.end_due(site, now);
        for period in self.periods.iter_mut().filter(|s| s.from <= now) {
            begin(site, period.fault, !period.active);
            period.active = true;
        }
        site.note_directory_readable();
        Ok(added)
    }

    /// Ends all faults.
    pub(super) fn end(&mut self, site: &mut Site) {
        self.periods.clear();
        for worker in 0..site.fleet.len() {
            site.fleet.set_capacity(worker, FULL_CAPACITY_MILLICORES);
        }
        site.note_directory_readable();
    }

    fn end_due(&mut self, site: &mut Site, now: Instant) {
        let ended: Vec<FaultPeriod> =
            self.periods.iter().filter(|s| s.until <= now).copied().collect();
        self.periods.retain(|s| s.until > now);
        // A fault that ends does not end an active one of its kind at the same place.
        let other_active = |fault: EnvironmentFault| {
            self.periods.iter().any(|s| s.active && s.fault.same_target(fault))
        };
        for period in ended.iter().filter(|s| s.active && !other_active(s.fault)) {
            match period.fault {
                EnvironmentFault::ForeignEntry(worker, _) => site.fleet.register_again(worker),
                EnvironmentFault::Capacity(worker, _) => {
                    site.fleet.set_capacity(worker, FULL_CAPACITY_MILLICORES)
                }
                EnvironmentFault::Suspended(host) => site.hosts[host].signal(Signal::CONT),
                EnvironmentFault::StoreUnavailable => site.store.set_down(false),
            }
        }
    }

    fn add(&mut self, site: &mut Site, now: Instant) -> io::Result<u64> {
        let worker = self.rng.random_range(0..site.fleet.len());
        match self.rng.random_range(0..10) {
            0..3 => {
                let entry =
                    self.rng.random_range(0..foreign::entries(&site.fleet.entry(worker)).len());
                let until = now + millis(&mut self.rng, FOREIGN_ENTRY_MS);
                self.schedule(EnvironmentFault::ForeignEntry(worker, entry), now, until);
            }
            3..6 => self.shrink_capacity(site, now),
            6..8 => self.write_key(site, worker),
            _ => return self.suspend(site, now),
        }
        Ok(1)
    }

    fn schedule(&mut self, fault: EnvironmentFault, from: Instant, until: Instant) {
        self.periods.push(FaultPeriod { fault, from, until, active: false });
    }

    /// Gives about half of the workers a small capacity.
    fn shrink_capacity(&mut self, site: &Site, now: Instant) {
        for worker in 0..site.fleet.len() {
            let capacity = *SMALL_CAPACITIES_MILLICORES
                .choose(&mut self.rng)
                .unwrap_or(&FULL_CAPACITY_MILLICORES);
            let until = now + millis(&mut self.rng, SMALL_CAPACITY_MS);
            if self.rng.random_range(0..2) == 0 {
                self.schedule(EnvironmentFault::Capacity(worker, capacity), now, until);
            }
        }
    }

    /// Writes a key that no part of the system uses.
    fn write_key(&mut self, site: &Site, worker: usize) {
        let mut keys = foreign::foreign_keys_under_daemon_prefix();
        keys.extend(foreign::directory_keys(&site.fleet.entry(worker)));
        if let Some(found) = keys.choose(&mut self.rng) {
            site.store.put_bytes(&found.key, &found.value);
        }
    }

    /// Suspends a host, often the leader, once or in series, sometimes together with a kill or an unavailable store.
    fn suspend(&mut self, site: &mut Site, now: Instant) -> io::Result<u64> {
        let any = self.rng.random_range(0..site.hosts.len());
        let host = site.leader().filter(|_| self.rng.random_range(0..3) != 0).unwrap_or(any);
        let times = self.rng.random_range(1..=MAX_SUSPENSIONS);
        let mut from = now;
        for _ in 0..times {
            let until = from + millis(&mut self.rng, SUSPENDED_MS) / times;
            self.schedule(EnvironmentFault::Suspended(host), from, until);
            from = until + millis(&mut self.rng, AWAKE_MS);
        }
        let (kills, store_unavailable) =
            (self.rng.random_range(0..3) == 0, self.rng.random_range(0..4) == 0);
        if kills && any != host {
            site.hosts[any].kill()?;
        }
        if store_unavailable {
            let until = now + millis(&mut self.rng, STORE_UNAVAILABLE_MS);
            self.schedule(EnvironmentFault::StoreUnavailable, now, until);
        }
        Ok(u64::from(times) + u64::from(kills && any != host) + u64::from(store_unavailable))
    }
}

/// Begins a fault, or suspends again a host that should still be suspended.
fn begin(site: &mut Site, fault: EnvironmentFault, first: bool) {
    match fault {
        EnvironmentFault::Suspended(host) => site.hosts[host].signal(Signal::STOP),
        _ if !first => {}
        EnvironmentFault::ForeignEntry(worker, entry) => {
            let all = foreign::entries(&site.fleet.entry(worker));
            site.fleet.overwrite(worker, &all[entry].1);
        }
        EnvironmentFault::Capacity(worker, capacity) => site.fleet.set_capacity(worker, capacity),
        EnvironmentFault::StoreUnavailable => site.store.set_down(true),
    }
}
