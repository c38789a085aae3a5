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
const WITHOUT_CRASHES: std::ops::Range<u64> = 7_000..8_000;
const WITH_CRASHES: std::ops::Range<u64> = 9_000..30_000;

/// The sequence of a seed that is drawn from.
const STREAM: u64 = 1 << 32;

/// Pauses between two such faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..1_000;

/// How long an entry stands, in milliseconds.
const STANDS_MS: std::ops::Range<u64> = 200..5_000;

/// How long a room is small, in milliseconds: mostly longer than a leader has to hear of it.
const SMALL_MS: std::ops::Range<u64> = 2_500..8_000;

/// Rooms that workers shrink to, in thousandths of a core; their whole room is 16,000.
const ROOMS: [u32; 4] = [0, 1_000, 1_000, 4_000];
const WHOLE_ROOM: u32 = 16_000;

/// How long a host is suspended, in milliseconds: from just over a leader's lease in the store to over the
/// leases of what runs at workers.
const SUSPENDED_MS: std::ops::Range<u64> = 2_100..7_000;

/// How long it is awake between two suspensions of a series, in milliseconds.
const AWAKE_MS: std::ops::Range<u64> = 20..600;

/// The longest series.
const SERIES: u32 = 3;

/// How long the store is away beside a suspension, in milliseconds.
const ABSENT_MS: std::ops::Range<u64> = 500..3_000;

/// Something that is on for a while.
#[derive(Debug, Clone, Copy)]
struct Spell {
    what: What,
    from: Instant,
    over: Instant,
    begun: bool,
}

#[derive(Debug, Clone, Copy)]
enum What {
    /// A worker's entry is overwritten, by the entry of this number.
    Entry(usize, usize),
    /// A worker has this room.
    Room(usize, u32),
    /// A host is suspended, also if something else wakes it.
    Suspended(usize),
    /// The store refuses all calls.
    StoreAway,
}

impl What {
    /// Tells whether both are of one kind at one place.
    fn is_like(self, other: What) -> bool {
        match (self, other) {
            (Self::Entry(a, _), Self::Entry(b, _)) => a == b,
            (Self::Room(a, _), Self::Room(b, _)) => a == b,
            (Self::Suspended(a), Self::Suspended(b)) => a == b,
            (Self::StoreAway, Self::StoreAway) => true,
            _ => false,
        }
    }
}

/// All that is on or to come.
#[derive(Debug)]
pub(super) struct Wider {
    rng: ChaCha8Rng,
    spells: Vec<Spell>,
    next: Instant,
}

/// Prepares what a seed plays besides, if it does; half of these seeds have workers that do not guard their
/// room.
pub(super) fn prepare(site: &Site, seed: u64) -> Option<Wider> {
    if !WITHOUT_CRASHES.contains(&seed) && !WITH_CRASHES.contains(&seed) {
        return None;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    if rng.random_range(0..2) == 0 {
        site.leave_room_unguarded();
    }
    Some(Wider { rng, spells: Vec::new(), next: Instant::now() })
}

impl Wider {
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
            site.fleet.set_room(worker, WHOLE_ROOM);
        }
        site.note_readable();
    }

    fn end_due(&mut self, site: &mut Site, now: Instant) {
        let over: Vec<Spell> = self.spells.iter().filter(|s| s.over <= now).copied().collect();
        self.spells.retain(|s| s.over > now);
        // One that ends leaves another of its kind at the same place alone.
        let on = |what: What| self.spells.iter().any(|s| s.begun && s.what.is_like(what));
        for spell in over.iter().filter(|s| s.begun && !on(s.what)) {
            match spell.what {
                What::Entry(worker, _) => site.fleet.enter_again(worker),
                What::Room(worker, _) => site.fleet.set_room(worker, WHOLE_ROOM),
                What::Suspended(host) => site.hosts[host].signal(Signal::CONT),
                What::StoreAway => site.store.set_down(false),
            }
        }
    }

    fn add(&mut self, site: &mut Site, now: Instant) -> io::Result<u64> {
        let worker = self.rng.random_range(0..site.fleet.len());
        match self.rng.random_range(0..10) {
            0..3 => {
                let entry =
                    self.rng.random_range(0..foreign::entries(&site.fleet.entry(worker)).len());
                let over = now + millis(&mut self.rng, STANDS_MS);
                self.on(What::Entry(worker, entry), now, over);
            }
            3..6 => self.shrink(site, now),
            6..8 => self.write_key(site, worker),
            _ => return self.suspend(site, now),
        }
        Ok(1)
    }

    fn on(&mut self, what: What, from: Instant, over: Instant) {
        self.spells.push(Spell { what, from, over, begun: false });
    }

    /// Lets about half of the workers have a small room.
    fn shrink(&mut self, site: &Site, now: Instant) {
        for worker in 0..site.fleet.len() {
            let room = *ROOMS.choose(&mut self.rng).unwrap_or(&WHOLE_ROOM);
            let over = now + millis(&mut self.rng, SMALL_MS);
            if self.rng.random_range(0..2) == 0 {
                self.on(What::Room(worker, room), now, over);
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
        let times = self.rng.random_range(1..=SERIES);
        let mut from = now;
        for _ in 0..times {
            let over = from + millis(&mut self.rng, SUSPENDED_MS) / times;
            self.on(What::Suspended(host), from, over);
            from = over + millis(&mut self.rng, AWAKE_MS);
        }
        let (kills, away) = (self.rng.random_range(0..3) == 0, self.rng.random_range(0..4) == 0);
        if kills && any != host {
            site.hosts[any].kill()?;
        }
        if away {
            let over = now + millis(&mut self.rng, ABSENT_MS);
            self.on(What::StoreAway, now, over);
        }
        Ok(u64::from(times) + u64::from(kills && any != host) + u64::from(away))
    }
}

/// Begins a spell, or sees to it that a host which should be suspended still is.
fn begin(site: &mut Site, what: What, first: bool) {
    match what {
        What::Suspended(host) => site.hosts[host].signal(Signal::STOP),
        _ if !first => {}
        What::Entry(worker, entry) => {
            let all = foreign::entries(&site.fleet.entry(worker));
            site.fleet.overwrite(worker, &all[entry].1);
        }
        What::Room(worker, room) => site.fleet.set_room(worker, room),
        What::StoreAway => site.store.set_down(true),
    }
}
