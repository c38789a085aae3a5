//! What some seeds play besides: entries of other writers, rooms that shrink and grow, and hosts that are
//! suspended for longer than their leases, in series and beside kills and an absent store.
//!
//! It draws from a sequence of its own, so that what else a seed plays stays as it is without it.

use std::io;
use std::time::Instant;

use gaplock_platform_standin::foreign;
use gaplock_platform_standin::site::Site;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::faults::millis;

/// The seeds that play this, without jobs that crash workers and with them. Above them neither is played, so that
/// tasks which save their progress get far enough to resume.
const SEEDS_WITHOUT_CRASHES: std::ops::Range<u64> = 7_000..8_000;
const SEEDS_WITH_CRASHES: std::ops::Range<u64> = 9_000..30_000;

/// The sequence of a seed that is drawn from.
const STREAM: u64 = 1 << 32;

/// Pauses between two such faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..1_000;

/// How long an entry stands, in milliseconds.
const FOREIGN_ENTRY_MS: std::ops::Range<u64> = 200..5_000;

/// How long a room is small, in milliseconds: mostly longer than a leader has to hear of it.
const SMALL_CAPACITY_MS: std::ops::Range<u64> = 2_500..8_000;

/// Rooms that workers shrink to, in thousandths of a core; their whole room is 16,000.
const SMALL_CAPACITIES_MILLICORES: [u32; 4] = [0, 1_000, 1_000, 4_000];
const FULL_CAPACITY_MILLICORES: u32 = 16_000;

/// How long a host is suspended, in milliseconds: from just over a leader's lease in the store to over the
/// leases of what runs at workers.
const SUSPENDED_MS: std::ops::Range<u64> = 2_100..7_000;

/// How long it is awake between two suspensions of a series, in milliseconds.
const AWAKE_MS: std::ops::Range<u64> = 20..600;

/// The longest series.
const MAX_SUSPENSIONS: u32 = 3;

/// How long the store is away beside a suspension, in milliseconds.
const STORE_UNAVAILABLE_MS: std::ops::Range<u64> = 500..3_000;

/// Something that is on for a while.
#[derive(Debug, Clone, Copy)]
struct FaultPeriod {
    what: EnvironmentFault,
    from: Instant,
    over: Instant,
    begun: bool,
}

#[derive(Debug, Clone, Copy)]
enum EnvironmentFault {
    /// A worker's entry is overwritten, by the entry of this number.
    ForeignEntry(usize, usize),
    /// A worker has this room.
    Capacity(usize, u32),
    /// A host is suspended, also if something else wakes it.
    Suspended(usize),
    /// The store refuses all calls.
    StoreUnavailable,
}

impl EnvironmentFault {
    /// Tells whether both are of one kind at one place.
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

/// All that is on or to come.
#[derive(Debug)]
pub(super) struct EnvironmentFaults {
    rng: ChaCha8Rng,
    spells: Vec<FaultPeriod>,
    next: Instant,
}

/// Prepares what a seed plays besides, if it does; half of these seeds have workers that do not guard their
/// room.
pub(super) fn prepare(site: &Site, seed: u64) -> Option<EnvironmentFaults> {
    if !SEEDS_WITHOUT_CRASHES.contains(&seed) && !SEEDS_WITH_CRASHES.contains(&seed) {
        return None;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    if rng.random_range(0..2) == 0 {
        site.leave_room_unguarded();
    }
    Some(EnvironmentFaults { rng, spells: Vec::new(), next: Instant::now() })
}

impl EnvironmentFaults {
    /// Begins and ends what is due, and adds to it where more faults are to come; returns how many it added.
    pub(super) fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        let mut added = 0;
        if more && now >= self.next {
            added = self.add(site, now)?;
            self.next = now + millis(&mut self.rng, PAUSE_MS);
        }
        self.end_due(site, now);
        for spell in self.spells.iter_mut().filter(|s| s.from <= now) {
            begin(site, spell.what, !spell.begun);
            spell.begun = true;
        }
        site.note_readable();
        Ok(added)
    }

    /// Ends everything.
    pub(super) fn end(&mut self, site: &mut Site) {
        self.spells.clear();
        for worker in 0..site.fleet.len() {
            site.fleet.set_room(worker, FULL_CAPACITY_MILLICORES);
        }
        site.note_readable();
    }

    fn end_due(&mut self, site: &mut Site, now: Instant) {
        let over: Vec<FaultPeriod> =
            self.spells.iter().filter(|s| s.over <= now).copied().collect();
        self.spells.retain(|s| s.over > now);
        // One that ends leaves another of its kind at the same place alone.
        let on = |what: EnvironmentFault| {
            self.spells.iter().any(|s| s.begun && s.what.same_target(what))
        };
        for spell in over.iter().filter(|s| s.begun && !on(s.what)) {
            match spell.what {
                EnvironmentFault::ForeignEntry(worker, _) => site.fleet.enter_again(worker),
                EnvironmentFault::Capacity(worker, _) => {
                    site.fleet.set_room(worker, FULL_CAPACITY_MILLICORES)
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
                let over = now + millis(&mut self.rng, FOREIGN_ENTRY_MS);
                self.schedule(EnvironmentFault::ForeignEntry(worker, entry), now, over);
            }
            3..6 => self.shrink_capacity(site, now),
            6..8 => self.write_key(site, worker),
            _ => return self.suspend(site, now),
        }
        Ok(1)
    }

    fn schedule(&mut self, what: EnvironmentFault, from: Instant, over: Instant) {
        self.spells.push(FaultPeriod { what, from, over, begun: false });
    }

    /// Lets about half of the workers have a small room.
    fn shrink_capacity(&mut self, site: &Site, now: Instant) {
        for worker in 0..site.fleet.len() {
            let room = *SMALL_CAPACITIES_MILLICORES
                .choose(&mut self.rng)
                .unwrap_or(&FULL_CAPACITY_MILLICORES);
            let over = now + millis(&mut self.rng, SMALL_CAPACITY_MS);
            if self.rng.random_range(0..2) == 0 {
                self.schedule(EnvironmentFault::Capacity(worker, room), now, over);
            }
        }
    }

    /// Writes a key that is nobody's.
    fn write_key(&mut self, site: &Site, worker: usize) {
        let mut keys = foreign::own_keys();
        keys.extend(foreign::directory_keys(&site.fleet.entry(worker)));
        if let Some(found) = keys.choose(&mut self.rng) {
            site.store.put_bytes(&found.key, &found.value);
        }
    }

    /// Suspends a host, often the leader, once or in series, at times beside a kill or an absent store.
    fn suspend(&mut self, site: &mut Site, now: Instant) -> io::Result<u64> {
        let any = self.rng.random_range(0..site.hosts.len());
        let host = site.leader().filter(|_| self.rng.random_range(0..3) != 0).unwrap_or(any);
        let times = self.rng.random_range(1..=MAX_SUSPENSIONS);
        let mut from = now;
        for _ in 0..times {
            let over = from + millis(&mut self.rng, SUSPENDED_MS) / times;
            self.schedule(EnvironmentFault::Suspended(host), from, over);
            from = over + millis(&mut self.rng, AWAKE_MS);
        }
        let (kills, away) = (self.rng.random_range(0..3) == 0, self.rng.random_range(0..4) == 0);
        if kills && any != host {
            site.hosts[any].kill()?;
        }
        if away {
            let over = now + millis(&mut self.rng, STORE_UNAVAILABLE_MS);
            self.schedule(EnvironmentFault::StoreUnavailable, now, over);
        }
        Ok(u64::from(times) + u64::from(kills && any != host) + u64::from(away))
    }
}

/// Begins a spell, or sees to it that a host which should be suspended still is.
fn begin(site: &mut Site, what: EnvironmentFault, first: bool) {
    match what {
        EnvironmentFault::Suspended(host) => site.hosts[host].signal(Signal::STOP),
        _ if !first => {}
        EnvironmentFault::ForeignEntry(worker, entry) => {
            let all = foreign::entries(&site.fleet.entry(worker));
            site.fleet.overwrite(worker, &all[entry].1);
        }
        EnvironmentFault::Capacity(worker, room) => site.fleet.set_room(worker, room),
        EnvironmentFault::StoreUnavailable => site.store.set_down(true),
    }
}
