//! Additional faults of some seeds: crowds of clients that ignore the limits, at any listener of any host. They come
//! in series, overlap, and keep their connections open for seconds. Their hosts have little memory and few
//! descriptors; exceeding either is a violation.
//!
//! They draw from a random sequence of their own, so that the other faults of a seed do not change.

use std::collections::BTreeSet;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use gaplock_platform_standin::crowd::{self, Misbehaviour};
use gaplock_platform_standin::site::{Host, ProcessLimits, Site};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::millis;
use super::{LOCK, POLL_INTERVAL};

/// The seeds with these faults.
const SEEDS: std::ops::Range<u64> = 110_000..120_000;

/// The random stream of these faults.
const STREAM: u64 = 1 << 40;

/// What the hosts are told that they may use.
const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 96, descriptors: 1_000 };

/// How many clients a crowd has, and how much each of them sends at most, in bytes.
const CLIENTS: std::ops::Range<usize> = 10..80;
const CLIENT_BYTES: std::ops::Range<usize> = 100_000..4_000_000;

/// The most crowds at a time.
const MAX_CROWDS: usize = 3;

/// How long a crowd keeps its connections, and the pause before the next one, in milliseconds.
const KEPT_MS: std::ops::Range<u64> = 200..6_000;
const PAUSE_MS: std::ops::Range<u64> = 100..900;

const HTTP_KINDS: [Misbehaviour; 15] = [
    Misbehaviour::RequestLine,
    Misbehaviour::Header,
    Misbehaviour::Headers,
    Misbehaviour::EmptyLines,
    Misbehaviour::LineFeeds,
    Misbehaviour::AnnouncedBody,
    Misbehaviour::UnannouncedBody,
    Misbehaviour::LargeChunk,
    Misbehaviour::Chunks,
    Misbehaviour::ChunkExtension,
    Misbehaviour::Trailers,
    Misbehaviour::StalledBody,
    Misbehaviour::StalledHead,
    Misbehaviour::UnreadAnswers,
    Misbehaviour::NonAsciiHeader,
];

const PEER_KINDS: [Misbehaviour; 5] = [
    Misbehaviour::RequestLine,
    Misbehaviour::Header,
    Misbehaviour::StalledHead,
    Misbehaviour::StalledMessage,
    Misbehaviour::Fragments,
];

/// Returns whether a seed has these faults.
fn applies_to(seed: u64) -> bool {
    SEEDS.contains(&seed)
}

/// Returns the limits of a seed's hosts, if they have any.
pub(super) fn limits(seed: u64) -> Option<ProcessLimits> {
    applies_to(seed).then_some(LIMITS)
}

/// The crowds of a seed.
#[derive(Debug)]
pub(super) struct Crowds {
    rng: ChaCha8Rng,
    next: Instant,
    /// When each of the present crowds closes its connections.
    ends: Vec<Instant>,
    /// Whether all crowds close their connections at once.
    over: Arc<AtomicBool>,
    overruns: Overruns,
}

/// Which hosts have exceeded their limits.
pub(super) type Overruns = Arc<Mutex<BTreeSet<String>>>;

/// Draws the time of the first crowd; `None` if the seed has none.
pub(super) fn prepare(seed: u64, overruns: &Overruns) -> Option<Crowds> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STREAM);
    applies_to(seed).then(|| {
        let next = Instant::now() + millis(&mut rng, PAUSE_MS);
        Crowds { rng, next, ends: Vec::new(), over: Arc::default(), overruns: Arc::clone(overruns) }
    })
}

impl Crowds {
    /// Sends the crowd that is due and lets others go. Returns the number of new crowds.
    pub(super) fn tick(&mut self, site: &Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        self.overruns.lock().expect(LOCK).extend(site.hosts.iter().flat_map(overruns_of));
        self.ends.retain(|&end| now < end);
        if !more {
            self.over.store(true, Ordering::Relaxed);
        }
        if !more || now < self.next || self.ends.len() >= MAX_CROWDS {
            return Ok(0);
        }
        self.next = now + millis(&mut self.rng, PAUSE_MS);
        let host = &site.hosts[self.rng.random_range(0..site.hosts.len())];
        let (addr, kind) = self.target(host);
        let clients = self.rng.random_range(CLIENTS);
        let bytes = self.rng.random_range(CLIENT_BYTES);
        let end = now + millis(&mut self.rng, KEPT_MS);
        let over = Arc::clone(&self.over);
        thread::Builder::new().spawn(move || {
            let crowd = crowd::send(&addr, kind, clients, bytes);
            while Instant::now() < end && !over.load(Ordering::Relaxed) {
                thread::sleep(POLL_INTERVAL);
            }
            drop(crowd);
        })?;
        self.ends.push(end);
        Ok(1)
    }

    /// Draws a listener and what is sent to it.
    fn target(&mut self, host: &Host) -> (String, Misbehaviour) {
        let http = |rng: &mut ChaCha8Rng| HTTP_KINDS[rng.random_range(0..HTTP_KINDS.len())];
        match self.rng.random_range(0..6) {
            0 => (host.readiness.clone(), http(&mut self.rng)),
            1 => (host.metrics(), http(&mut self.rng)),
            2 => {
                let kind = PEER_KINDS.choose(&mut self.rng).copied();
                (host.peers.clone(), kind.unwrap_or(Misbehaviour::StalledHead))
            }
            _ => (host.callers.clone(), http(&mut self.rng)),
        }
    }
}

/// Returns which limits a host has exceeded since its process was started.
fn overruns_of(host: &Host) -> Vec<String> {
    let memory = host.peak_memory().filter(|&bytes| bytes > LIMITS.memory_mb * 1_000_000);
    let open = host.open_descriptors().filter(|&open| open as u64 > LIMITS.descriptors);
    let memory = memory.map(|_| format!("{} has exceeded its memory", host.name));
    memory
        .into_iter()
        .chain(open.map(|_| format!("{} has exceeded its descriptors", host.name)))
        .collect()
}
