//! What hosts acknowledge and how the leader hears of it, on virtual time: connections go silent for good and
//! in series, and leaders are lost. The leader must know of each cancellation within the bound, counted
//! from the later one of the acknowledgement and the last fault.

use gaplock_policy::announcements::{self, Announcements, Step};
use gaplock_types::time::{Instant, Millis};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The bounds of the installations, in milliseconds.
const LIMITS_MS: [u64; 3] = [3_000, 4_000, 5_000];

/// How long a call to another host is awaited, in milliseconds, as in the daemon.
const CALL_TIMEOUT_MS: u64 = 700;

/// How long a call takes that is answered, in milliseconds.
const CALL_MS: u64 = 5;

/// How much longer than its wait a silent watch lasts, and the pauses after a failed watch and after an answered
/// one, in milliseconds, as in the daemon.
const WATCH_MARGIN_MS: u64 = 1_000;
const WATCH_RETRY_PAUSE_MS: u64 = 150;
const WATCH_PAUSE_MS: u64 = 250;

/// How long the store takes at most to answer where it is slow, in milliseconds.
const SLOW_STORE_MS: u64 = 400;

/// How long a simulation lasts, in milliseconds.
const LENGTH_MS: u64 = 60_000;

/// What a cancellation is to reach the leader by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Notices,
    Watch,
}

/// A call whose result is known at `ends`.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    ends: u64,
    heard: bool,
}

/// A host that acknowledges cancellations.
struct Host {
    announcements: Announcements<usize>,
    /// When its connection to the leader was opened.
    connected: u64,
    /// The first attempts of notices, and the repeated one that is under way.
    first_attempts: Vec<(usize, u64, PendingCall)>,
    repeated: Option<(usize, u64, PendingCall)>,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    limit: u64,
    way: Way,
    hosts: Vec<Host>,
    /// When all connections went silent for the last time.
    silenced: u64,
    /// Since when the present leader leads; without a leader, when the next one does.
    leads_from: u64,
    /// The leader's watch: when it ends, and whether its connection is silent then.
    watch: Option<(u64, bool)>,
    watch_connected: u64,
    next_watch: u64,
    /// When each cancellation was acknowledged, and when a leader heard of it.
    cancelled: Vec<(u64, Option<u64>)>,
    last_fault: u64,
    worst: u64,
}

impl World {
    fn open(seed: u64, limit: u64, way: Way) -> Self {
        let host = |_| Host {
            announcements: announcements::open(Millis(limit)),
            connected: 1,
            first_attempts: Vec::new(),
            repeated: None,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1,
            limit,
            way,
            hosts: (0..4).map(host).collect(),
            silenced: 0,
            leads_from: 0,
            watch: None,
            watch_connected: 1,
            next_watch: 0,
            cancelled: Vec::new(),
            last_fault: 0,
            worst: 0,
        }
    }

    fn has_leader(&self) -> bool {
        self.leads_from <= self.now
    }

    /// Calls the leader; the connection is replaced after a call without an answer.
    fn call(&mut self, host: usize) -> PendingCall {
        if !self.has_leader() {
            return PendingCall { ends: self.now + CALL_MS, heard: false };
        }
        let is_silent = self.hosts[host].connected <= self.silenced;
        let takes = if is_silent { CALL_TIMEOUT_MS } else { CALL_MS };
        PendingCall { ends: self.now + takes, heard: !is_silent }
    }

    /// Ends a call. It fails if the connection has gone silent or the leader was lost meanwhile.
    fn end_call(&mut self, host: usize, began: u64, call: PendingCall) -> bool {
        let heard = call.heard && self.silenced < began && self.leads_from < began;
        if !heard {
            self.hosts[host].connected = self.now;
        }
        heard
    }

    fn hear(&mut self, cancellation: usize) {
        self.cancelled[cancellation].1.get_or_insert(self.now);
    }

    fn step(&mut self) {
        self.now += 1;
        match self.rng.random_range(0..8_000) {
            0..3 => self.silence(),
            3 => self.lose_leader(),
            4..24 => self.cancel(),
            _ => {}
        }
        (0..self.hosts.len()).for_each(|host| self.step_host(host));
        self.step_watch();
        self.check();
    }

    /// Silences all open connections, sometimes several times in short succession.
    fn silence(&mut self) {
        (self.silenced, self.last_fault) = (self.now, self.last_fault.max(self.now));
    }

    /// Loses the leader; the next one reads the inbox before it leads.
    fn lose_leader(&mut self) {
        self.leads_from = self.now + self.rng.random_range(300..4_000);
        self.last_fault = self.last_fault.max(self.leads_from);
        self.watch = None;
        self.next_watch = self.leads_from;
        self.watch_connected = self.leads_from;
        // A connection to the former leader is of no use.
        self.hosts.iter_mut().for_each(|host| host.connected = 0);
    }

    fn cancel(&mut self) {
        let cancellation = self.cancelled.len();
        self.cancelled.push((self.now, None));
        if self.way == Way::Notices {
            let host = self.rng.random_range(0..self.hosts.len());
            let call = self.call(host);
            self.hosts[host].first_attempts.push((cancellation, self.now, call));
        }
    }

    fn step_host(&mut self, host: usize) {
        let now = self.now;
        let attempts = std::mem::take(&mut self.hosts[host].first_attempts);
        for (cancellation, began, call) in attempts {
            if call.ends > now {
                self.hosts[host].first_attempts.push((cancellation, began, call));
            } else if self.end_call(host, began, call) {
                self.hear(cancellation);
            } else {
                self.hosts[host].announcements.add(Instant(began), cancellation);
            }
        }
        let ended = self.hosts[host].repeated.filter(|(_, _, call)| call.ends <= now);
        if let Some((cancellation, began, call)) = ended {
            let heard = self.end_call(host, began, call);
            self.hosts[host].repeated = None;
            self.hosts[host].announcements.answered(Instant(now), heard);
            if heard {
                self.hear(cancellation);
            }
        }
        if self.hosts[host].repeated.is_none() {
            if let Step::Send(cancellation) = self.hosts[host].announcements.next_step(Instant(now))
            {
                let call = self.call(host);
                self.hosts[host].repeated = Some((cancellation, now, call));
            }
        }
    }

    fn step_watch(&mut self) {
        if self.way != Way::Watch || !self.has_leader() {
            return;
        }
        let wait = announcements::watch_wait(Millis(self.limit)).0;
        match self.watch {
            None if self.now >= self.next_watch => {
                let is_silent = self.watch_connected <= self.silenced;
                let answer = self.rng.random_range(4..SLOW_STORE_MS);
                let takes = wait + if is_silent { WATCH_MARGIN_MS } else { answer };
                self.watch = Some((self.now + takes, is_silent));
            }
            // A watch that goes silent lasts until its time-out.
            Some((ends, false)) if self.silenced == self.now => {
                self.watch = Some((ends + WATCH_MARGIN_MS, true));
            }
            Some((ends, is_silent)) if ends <= self.now => {
                self.watch = None;
                if is_silent {
                    self.watch_connected = self.now;
                    self.next_watch = self.now + WATCH_RETRY_PAUSE_MS;
                } else {
                    self.next_watch = self.now + WATCH_PAUSE_MS;
                    (0..self.cancelled.len()).for_each(|cancellation| self.hear(cancellation));
                }
            }
            _ => {}
        }
    }

    fn check(&mut self) {
        // A new leader has read the inbox.
        if self.leads_from == self.now {
            (0..self.cancelled.len()).for_each(|cancellation| self.hear(cancellation));
        }
        let last_fault = self.last_fault;
        for &(acknowledged, heard) in &self.cancelled {
            let since = self.now.saturating_sub(acknowledged.max(last_fault));
            if heard.is_none() {
                assert!(
                    since < self.limit,
                    "{:?}: at {} ms the leader does not know a cancellation of {acknowledged} ms, {since} ms after it; silence {}, leads from {}",
                    self.way, self.now, self.silenced, self.leads_from
                );
                self.worst = self.worst.max(since);
            }
        }
    }
}

/// Guards against cancellations that reach the leader too late because a notice was sent once, or because a watch on a
/// silent connection outlasts the bound. Each way has to suffice alone.
#[test]
fn a_leader_knows_each_acknowledged_cancellation_in_time() {
    for way in [Way::Notices, Way::Watch] {
        for limit in LIMITS_MS {
            let mut worst = 0;
            for seed in 0..12 {
                let mut world = World::open(seed, limit, way);
                while world.now < LENGTH_MS {
                    world.step();
                }
                worst = worst.max(world.worst);
            }
            println!("{way:?}, bound {limit} ms: at most {worst} ms");
        }
    }
}

/// Guards against notices that are repeated forever, or one after the other at the pace of time-outs.
#[test]
fn notices_are_repeated_one_at_a_time_until_they_are_too_old() {
    let mut list = announcements::open(Millis(3_000));
    (0..100).for_each(|n| list.add(Instant(1_000), n));
    assert_eq!(list.next_step(Instant(1_000)), Step::Send(0));
    assert!(list.answered(Instant(1_700), false).is_empty());
    assert!(matches!(list.next_step(Instant(1_700)), Step::WaitUntil(_)));
    for n in 0..50 {
        assert_eq!(list.next_step(Instant(2_000 + n)), Step::Send(n));
        list.answered(Instant(2_001 + n), true);
    }
    assert_eq!(list.next_step(Instant(30_300)), Step::Send(50));
    assert_eq!(list.answered(Instant(31_000), false).len(), 50);
    assert!(list.is_empty());
    assert_eq!(list.next_step(Instant(31_000)), Step::Idle);
}
