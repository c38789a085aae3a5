//! The callers: they hand in jobs and cancel some, on connections that they keep open.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::caller::Caller;
use gaplock_platform_standin::fleet::Acknowledgements;
use gaplock_platform_standin::judge::acknowledges;
use gaplock_platform_standin::site::{crashing, gang, lasting, saving, two_steps, Site};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cancels::{self, Cancels};
use super::{restarts, LOCK};

/// What the callers of one job were told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Told {
    Accepted,
    Refused,
    Unclear,
    Cancelled,
    /// Its tasks run until it is cancelled.
    Lasts,
    /// It is not cancelled.
    Kept,
    /// One of its tasks crashes its workers.
    Crashes,
}

/// How many callers there are: one that waits for a frozen host leaves the others to go on.
pub(super) const COUNT: u64 = 3;

/// The distance between the first jobs of two callers.
const KEYS: u64 = 1_000_000;

/// How many hosts a caller tries for one call.
const TRIES: usize = 4;

/// Every so many jobs one lasts.
const LASTS_EVERY: u64 = 6;

/// Seeds from here on also hand in jobs that crash workers; earlier ones keep the course that they had.
const FIRST_WITH_CRASHES: u64 = 8_000;

/// Every so many jobs of theirs one is such a job, beginning with the fourth.
const CRASHES_EVERY: u64 = 9;

/// Seeds from here on also hand in jobs that save their progress.
pub(super) const FIRST_WITH_SAVES: u64 = 20_000;

/// Every so many jobs of theirs one is such a job, beginning with the second; every other one is a gang,
/// and of the rest every other one runs twice.
const SAVES_EVERY: u64 = 3;

/// Seeds from here on hand in no jobs that crash workers, beside which whole sites wait for trials.
const FIRST_WITHOUT_CRASHES: u64 = 30_000;

/// Every so many jobs that end by themselves one is cancelled.
const CANCELLED_EVERY: u32 = 8;

/// Pauses between two jobs of one caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..450;

/// What a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    TwoSteps,
    Saves,
    SavesTwice,
    Gang,
    Lasts,
    Crashes,
}

/// Returns what a caller's job is by its number.
fn kind(seed: u64, n: u64) -> Kind {
    let crashes = (FIRST_WITH_CRASHES..FIRST_WITHOUT_CRASHES).contains(&seed);
    if crashes && n % CRASHES_EVERY == 4 {
        return Kind::Crashes;
    }
    let lasts_every = if cancels::plays(seed) { cancels::LASTS_EVERY } else { LASTS_EVERY };
    if n.is_multiple_of(lasts_every) {
        return Kind::Lasts;
    }
    let saves = seed >= FIRST_WITH_SAVES && n % SAVES_EVERY == 2;
    match n / SAVES_EVERY % 4 {
        _ if !saves => Kind::TwoSteps,
        0 => Kind::Saves,
        2 => Kind::SavesTwice,
        _ => Kind::Gang,
    }
}

fn body(kind: Kind) -> String {
    match kind {
        Kind::TwoSteps => two_steps(),
        Kind::Saves => saving(0),
        Kind::SavesTwice => saving(2),
        Kind::Gang => gang(),
        Kind::Lasts => lasting(),
        Kind::Crashes => crashing(),
    }
}

/// Hands in and cancels jobs until the faulty time is over; then cancels what lasts.
pub(super) fn call(
    site: &Mutex<Site>,
    jobs: &Mutex<Vec<(JobKey, Told)>>,
    caller: u64,
    seed: u64,
    faulty: Duration,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ u64::MAX);
    rng.set_stream(caller);
    let open = |site: &Site| site.hosts.iter().map(|h| Caller::new(&h.callers)).collect();
    let mut hosts: Vec<Caller> = open(&site.lock().expect(LOCK));
    // The site itself is locked for seconds when it is made whole.
    let judge = site.lock().expect(LOCK).fleet.acknowledgements();
    let note = |key, told| jobs.lock().expect(LOCK).push((key, told));
    let began = Instant::now();
    let mut lasting_jobs = Vec::new();
    let mut soon = Cancels::prepare(seed, caller);
    for n in 1.. {
        if began.elapsed() >= faulty {
            break;
        }
        let key = JobKey(caller * KEYS + n);
        let kind = kind(seed, n);
        let told = submit(&mut hosts, key, &body(kind), &mut rng);
        note(key, told);
        traits(kind).into_iter().for_each(|what| note(key, what));
        if kind == Kind::Lasts {
            lasting_jobs.push((key, told));
        }
        let one_of = if kind == Kind::Lasts && soon.is_none() { 2 } else { CANCELLED_EVERY };
        if told == Told::Accepted && rng.random_range(0..one_of) == 0 {
            note(key, cancel(&judge, &mut hosts, (key, told), &mut rng));
        }
        if let Some(soon) = &mut soon {
            for key in soon.take_due((told == Told::Accepted).then_some(key)) {
                note(key, cancel(&judge, &mut hosts, (key, Told::Accepted), &mut rng));
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
    // One job of each caller goes on to the end, where all of its tasks must run; not where all workers crash at the
    // end, under which a task may be given up.
    let kept = lasting_jobs.pop_if(|_| restarts::plays(seed) && !cancels::plays(seed));
    kept.into_iter().for_each(|(key, _)| note(key, Told::Kept));
    // What these seeds leave is cancelled at their end.
    for (key, told) in lasting_jobs.into_iter().filter(|_| !cancels::plays(seed)) {
        note(key, cancel(&judge, &mut hosts, (key, told), &mut rng));
    }
}

/// Returns what more is told of a job, by its kind.
fn traits(kind: Kind) -> Option<Told> {
    match kind {
        Kind::Crashes => Some(Told::Crashes),
        Kind::Lasts => Some(Told::Lasts),
        Kind::TwoSteps | Kind::Saves | Kind::SavesTwice | Kind::Gang => None,
    }
}

/// Sends a job to one host after the other.
fn submit(hosts: &mut [Caller], key: JobKey, body: &str, rng: &mut ChaCha8Rng) -> Told {
    let mut told = Told::Refused;
    for _ in 0..TRIES {
        let at = rng.random_range(0..hosts.len());
        match hosts[at].submit(key, body) {
            Some(200) => return Told::Accepted,
            Some(503 | 429) => {}
            _ => told = Told::Unclear,
        }
    }
    told
}

/// Sends a cancellation to one host after the other, and tells the judge of the first acknowledgement. Where it
/// isn't known whether the job is stored, the answer that there is none tells nothing of a hand-in still to come.
fn cancel(
    judge: &Acknowledgements,
    hosts: &mut [Caller],
    (key, handed_in): (JobKey, Told),
    rng: &mut ChaCha8Rng,
) -> Told {
    for _ in 0..TRIES {
        let at = rng.random_range(0..hosts.len());
        let answer = hosts[at].cancel(key);
        let is_known = answer == Some(200) || handed_in == Told::Accepted;
        if is_known && answer.is_some_and(acknowledges) {
            judge.note_cancelled(key);
            return Told::Cancelled;
        }
    }
    Told::Unclear
}
