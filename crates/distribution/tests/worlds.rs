//! Random installations on virtual time, with configurations of up to the store's longest value, links
//! of 10 Mbit/s and more, an absent, slow or refusing store, and leaders that are lost.
//!
//! No host ever answers by a version that a newer one has replaced for longer than the bound, and each
//! version is at each host within the bound while the store answers that host.

use gaplock_distribution::knowledge::{Knowledge, News, Step, Version, WATCH_WAIT};
use gaplock_policy::refusals::StoreRevision;
use gaplock_types::time::{Instant, Millis};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How long a world is played, and how fine.
const END: u64 = 60_000;
const TICK: u64 = 5;

const BOUND: Millis = Millis(3_000);

/// What the transport allows: a call without any byte, and a part of a message.
const SILENCE_LIMIT: u64 = 900;
const PART_LIMIT: u64 = 700;

const HEARTBEAT_INTERVAL: u64 = 400;
const ROUND_TRIP: u64 = 10;

/// How long it takes until another host leads.
const SUCCESSION: u64 = 2_500;

/// The ratio of a version to the message that brings it.
const COMPRESSION: u64 = 6;

/// The size of a change up to which it is read from a watch.
const SMALL_CHANGE_BYTES: u64 = 48 << 10;

/// The store's longest value.
const MAX_VALUE: u64 = 1 << 20;

#[derive(Debug, Clone, Copy)]
struct Stored {
    version: u64,
    revision: u64,
    at: u64,
    bytes: u64,
}

/// A call that is under way.
#[derive(Debug, Clone)]
enum Call {
    /// To the store; `answered` is when it began to answer, with the version and revision then.
    Store {
        sent: u64,
        wait_until: u64,
        after: Option<u64>,
        answer: Option<(u64, u64, u64)>,
    },
    /// To another host; it brings a version and the time at which that was the newest there.
    Fetch {
        from: usize,
        version: u64,
        ends: u64,
        fails: bool,
    },
    Pause {
        ends: u64,
    },
}

struct Host {
    knowledge: Knowledge,
    bits_per_ms: u64,
    call: Option<Call>,
    next_heartbeat: u64,
    /// The last time at which the host started, or at which the store did not answer it promptly.
    disturbed_at: u64,
    refused_until: u64,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    history: Vec<Stored>,
    revision: u64,
    /// Watches from before this revision are refused.
    forgotten: u64,
    hosts: Vec<Host>,
    leader: Option<usize>,
    next_leader_at: u64,
    down_until: u64,
    slow_until: u64,
}

fn world(seed: u64) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let n = rng.random_range(1..8);
    let host = |rng: &mut ChaCha8Rng| Host {
        knowledge: Knowledge::default(),
        bits_per_ms: [10_000, 10_000, 20_000, 200_000][rng.random_range(0..4)],
        call: None,
        next_heartbeat: rng.random_range(0..HEARTBEAT_INTERVAL),
        disturbed_at: 0,
        refused_until: 0,
    };
    let hosts = (0..n).map(|_| host(&mut rng)).collect();
    let history = vec![Stored { version: 1, revision: 1, at: 0, bytes: 1_000 }];
    let (leader, next_leader_at) = (Some(0), 0);
    let (down_until, slow_until) = (0, 0);
    let (now, revision, forgotten) = (0, 1, 0);
    World {
        rng,
        now,
        history,
        revision,
        forgotten,
        hosts,
        leader,
        next_leader_at,
        down_until,
        slow_until,
    }
}

impl World {
    fn newest(&self) -> Stored {
        *self.history.last().expect("there is a first version")
    }

    fn instant(&self) -> Instant {
        Instant(self.now)
    }

    fn hits(&mut self, mean_interval: u64) -> bool {
        self.rng.random_range(0..mean_interval) < TICK
    }

    /// Lets the operators change the configuration, sometimes in a quick series.
    fn change(&mut self) {
        let last = self.newest();
        let follows = !last.version.is_multiple_of(3) && self.now - last.at > 1_000;
        if !(self.hits(6_000) || (follows && self.hits(500))) {
            return;
        }
        self.revision += 1;
        let bytes = match self.rng.random_range(0..3) {
            0 => last.bytes,
            1 => self.rng.random_range(1_000..MAX_VALUE),
            _ => (last.bytes + 280_000).min(MAX_VALUE),
        };
        let version = last.version + self.rng.random_range(1..4);
        self.history.push(Stored { version, revision: self.revision, at: self.now, bytes });
    }

    fn disturb(&mut self) {
        let now = self.now;
        if self.hits(3_000) {
            self.revision += 1;
        }
        if self.hits(20_000) {
            self.down_until = now + self.rng.random_range(500..5_000);
        }
        if self.hits(20_000) {
            self.slow_until = now + self.rng.random_range(500..5_000);
        }
        if self.hits(10_000) {
            self.forgotten = self.revision;
        }
        let n = self.rng.random_range(0..self.hosts.len());
        if self.hits(8_000) {
            self.hosts[n].refused_until = now + self.rng.random_range(500..6_000);
        }
        if self.hits(15_000) {
            let host = &mut self.hosts[n];
            host.knowledge = Knowledge::default();
            host.call = None;
            host.disturbed_at = now;
        }
        if self.hits(7_000) {
            self.leader = None;
            self.next_leader_at = now + SUCCESSION;
        }
        if self.leader.is_none() && now >= self.next_leader_at {
            self.leader = Some(n);
        }
        for host in &mut self.hosts {
            if now < host.refused_until.max(self.down_until).max(self.slow_until) {
                host.disturbed_at = now;
            }
        }
    }

    fn heartbeats(&mut self) {
        let Some(leader) = self.leader else { return };
        for n in (0..self.hosts.len()).filter(|&n| n != leader) {
            if self.now < self.hosts[n].next_heartbeat {
                continue;
            }
            self.hosts[n].next_heartbeat = self.now + HEARTBEAT_INTERVAL;
            let of_leader = &self.hosts[leader].knowledge;
            let age = of_leader.age(self.instant());
            let news = News {
                version: of_leader.held(),
                newest_at: Some(Instant(self.now.saturating_sub(age.0))),
                revision: of_leader.position().map(|p| p.revision),
            };
            let reported =
                News { version: self.hosts[n].knowledge.held(), newest_at: None, revision: None };
            let now = self.instant();
            self.hosts[n].knowledge.note_news(now, news, &leader.to_string());
            self.hosts[leader].knowledge.note_news(now, reported, &n.to_string());
            if matches!(self.hosts[n].call, Some(Call::Pause { .. })) {
                self.hosts[n].call = None;
            }
        }
    }

    fn begin(&self, n: usize) -> Call {
        let (now, host) = (self.now, &self.hosts[n]);
        let store = |after: Option<StoreRevision>, wait: u64| {
            let after = after.map(|r| r.0);
            Call::Store { sent: now, wait_until: now + wait, after, answer: None }
        };
        match host.knowledge.next_step(self.instant(), self.leader == Some(n), BOUND) {
            Step::Watch(after) => store(Some(after), WATCH_WAIT.0),
            Step::Check(after) => store(Some(after), 0),
            Step::Read => store(None, 0),
            Step::Pause(pause) => Call::Pause { ends: now + pause.0.max(1) },
            Step::Fetch(addr) => {
                let from: usize = addr.parse().expect("addresses are numbers");
                let has = self.hosts[from].knowledge.held();
                let bytes = self.history.iter().find(|s| s.version == has.0).map_or(0, |s| s.bytes);
                let takes = ROUND_TRIP + bytes * 8 / COMPRESSION / host.bits_per_ms * 4 / 3;
                let fails = has <= host.knowledge.held() || self.leader.is_none();
                let takes = if fails { PART_LIMIT } else { takes };
                Call::Fetch { from, version: has.0, ends: now + takes, fails }
            }
        }
    }

    /// Carries a host's call on; returns it if it goes on.
    fn carry_on(&mut self, n: usize, call: Call) -> Option<Call> {
        let now = self.now;
        match call {
            Call::Pause { ends } => (now < ends).then_some(call),
            Call::Fetch { ends, .. } if now < ends => Some(call),
            Call::Fetch { from, version, fails, .. } => {
                let knowledge = &mut self.hosts[n].knowledge;
                if fails || from == n {
                    knowledge.note_fetch_failed(Instant(now));
                } else {
                    knowledge.take(Version(version));
                }
                None
            }
            Call::Store { sent, wait_until, after, answer } => {
                self.carry_on_store(n, sent, wait_until, after, answer)
            }
        }
    }

    fn carry_on_store(
        &mut self,
        n: usize,
        sent: u64,
        wait_until: u64,
        after: Option<u64>,
        answer: Option<(u64, u64, u64)>,
    ) -> Option<Call> {
        let (now, newest) = (self.now, self.newest());
        let at = Instant(now);
        let is_refused = now < self.hosts[n].refused_until || now < self.down_until;
        if let Some((ends, version, revision)) = answer {
            if now < ends {
                return Some(Call::Store { sent, wait_until, after, answer });
            }
            let knowledge = &mut self.hosts[n].knowledge;
            knowledge.note_store_outcome(at, true);
            knowledge.take(Version(version));
            knowledge.note_newest(Instant(sent), Some(StoreRevision(revision)));
            return None;
        }
        if is_refused {
            if now < wait_until.max(sent) + SILENCE_LIMIT {
                return Some(Call::Store { sent, wait_until, after, answer });
            }
            self.hosts[n].knowledge.note_store_outcome(at, false);
            return None;
        }
        let delay = if now < self.slow_until { 400 } else { 4 };
        if now < sent + delay {
            return Some(Call::Store { sent, wait_until, after, answer });
        }
        if after.is_some_and(|after| after < self.forgotten) {
            self.hosts[n].knowledge.forget_position();
            return None;
        }
        let changed = after.is_none_or(|after| newest.revision > after);
        if !changed && now < wait_until {
            return Some(Call::Store { sent, wait_until, after, answer });
        }
        let sent_values = self.history.iter().filter(|s| after.is_some_and(|a| s.revision > a));
        let bytes: u64 = match after {
            Some(_) => sent_values.map(|s| s.bytes).sum(),
            None => newest.bytes,
        };
        if after.is_some() && bytes > SMALL_CHANGE_BYTES {
            // The host reads the newest version instead.
            return Some(Call::Store { sent: now, wait_until: now, after: None, answer: None });
        }
        let ends = now + ROUND_TRIP + bytes * 4 / 3 * 8 / self.hosts[n].bits_per_ms;
        let answer = Some((ends, newest.version, self.revision));
        Some(Call::Store { sent, wait_until, after, answer })
    }

    fn check(&self, seed: u64) {
        for (n, host) in self.hosts.iter().enumerate() {
            let held = host.knowledge.held().0;
            let replaced_at = self.history.iter().find(|s| s.version > held).map(|s| s.at);
            let Some(replaced_for) = replaced_at.map(|at| self.now - at) else { continue };
            let at = self.instant();
            let answers =
                host.knowledge.may_answer(at, BOUND) || host.knowledge.may_deny_queue(at, BOUND);
            assert!(
                !answers || replaced_for <= BOUND.0,
                "seed {seed}, {} ms: host {n} answers by version {held}, replaced for {replaced_for} ms",
                self.now
            );
            let undisturbed_for = self.now - host.disturbed_at;
            assert!(
                replaced_for <= BOUND.0 || undisturbed_for <= 2 * BOUND.0,
                "seed {seed}, {} ms: host {n} has version {held}, replaced for {replaced_for} ms, \
                 undisturbed for {undisturbed_for} ms",
                self.now
            );
        }
    }
}

fn play(seed: u64) {
    let mut world = world(seed);
    while world.now < END {
        world.change();
        world.disturb();
        world.heartbeats();
        for n in 0..world.hosts.len() {
            let call = world.hosts[n].call.take().unwrap_or_else(|| world.begin(n));
            world.hosts[n].call = world.carry_on(n, call);
        }
        world.check(seed);
        world.now += TICK;
    }
}

/// The number of worlds; `CONFIG_SEEDS` sets another one.
fn seeds() -> u64 {
    std::env::var("CONFIG_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(100)
}

#[test]
fn each_version_is_in_force_in_time_and_no_host_answers_by_an_older_one() {
    (0..seeds()).for_each(play);
}
