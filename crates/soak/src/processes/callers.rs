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

use super::cancels::{self, EarlyCancellations};
use super::{restarts, LOCK};

/// What the callers of one job were told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobFact {
    Accepted,
    Refused,
    OutcomeUnknown,
    Cancelled,
    /// Its tasks run until it is cancelled.
    Lasts,
    /// It is not cancelled.
    NotCancelled,
    /// One of its tasks crashes its workers.
    Crashes,
}

/// How many callers there are: one that waits for a frozen host leaves the others to go on.
pub(super) const CALLERS: u64 = 3;

/// The distance between the first jobs of two callers.
const KEY_DISTANCE: u64 = 1_000_000;

/// How many hosts a caller tries for one call.
const MAX_ATTEMPTS: usize = 4;

/// Every so many jobs one lasts.
const LONG_RUNNING_EVERY: u64 = 6;

/// Seeds from here on also hand in jobs that crash workers; earlier ones keep the course that they had.
const FIRST_SEED_WITH_CRASHES: u64 = 8_000;

/// Every so many jobs of theirs one is such a job, beginning with the fourth.
const CRASHES_EVERY: u64 = 9;

/// Seeds from here on also hand in jobs that save their progress.
pub(super) const FIRST_SEED_WITH_CHECKPOINTS: u64 = 20_000;

/// Every so many jobs of theirs one is such a job, beginning with the second; every other one is a gang,
/// and of the rest every other one runs twice.
const CHECKPOINTS_EVERY: u64 = 3;

/// Seeds from here on hand in no jobs that crash workers, beside which whole sites wait for trials.
const FIRST_SEED_WITHOUT_CRASHES: u64 = 30_000;

/// Every so many jobs that end by themselves one is cancelled.
const CANCEL_ONE_IN: u32 = 8;

/// Pauses between two jobs of one caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..450;

/// What a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    TwoSteps,
    Checkpoints,
    CheckpointsTwice,
    Gang,
    Lasts,
    Crashes,
}

/// Returns what a caller's job is by its number.
fn kind(seed: u64, n: u64) -> Kind {
    let crashes = (FIRST_SEED_WITH_CRASHES..FIRST_SEED_WITHOUT_CRASHES).contains(&seed);
    if crashes && n % CRASHES_EVERY == 4 {
        return Kind::Crashes;
    }
    let lasts_every =
        if cancels::applies_to(seed) { cancels::LONG_RUNNING_EVERY } else { LONG_RUNNING_EVERY };
    if n.is_multiple_of(lasts_every) {
        return Kind::Lasts;
    }
    let saves = seed >= FIRST_SEED_WITH_CHECKPOINTS && n % CHECKPOINTS_EVERY == 2;
    match n / CHECKPOINTS_EVERY % 4 {
        _ if !saves => Kind::TwoSteps,
        0 => Kind::Checkpoints,
        2 => Kind::CheckpointsTwice,
        _ => Kind::Gang,
    }
}

fn body(kind: Kind) -> String {
    match kind {
        Kind::TwoSteps => two_steps(),
        Kind::Checkpoints => saving(0),
        Kind::CheckpointsTwice => saving(2),
        Kind::Gang => gang(),
        Kind::Lasts => lasting(),
        Kind::Crashes => crashing(),
    }
}

/// Hands in and cancels jobs until the faulty time is over; then cancels what lasts.
pub(super) fn run_caller(
    site: &Mutex<Site>,
    jobs: &Mutex<Vec<(JobKey, JobFact)>>,
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
    let mut soon = EarlyCancellations::prepare(seed, caller);
    for n in 1.. {
        if began.elapsed() >= faulty {
            break;
        }
        let key = JobKey(caller * KEY_DISTANCE + n);
        let kind = kind(seed, n);
        let told = submit(&mut hosts, key, &body(kind), &mut rng);
        note(key, told);
        known_facts(kind).into_iter().for_each(|what| note(key, what));
        if kind == Kind::Lasts {
            lasting_jobs.push((key, told));
        }
        let one_of = if kind == Kind::Lasts && soon.is_none() { 2 } else { CANCEL_ONE_IN };
        if told == JobFact::Accepted && rng.random_range(0..one_of) == 0 {
            note(key, cancel(&judge, &mut hosts, (key, told), &mut rng));
        }
        if let Some(soon) = &mut soon {
            for key in soon.take_due((told == JobFact::Accepted).then_some(key)) {
                note(key, cancel(&judge, &mut hosts, (key, JobFact::Accepted), &mut rng));
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
    // One job of each caller goes on to the end, where all of its tasks must run; not where all workers crash at the
    // end, under which a task may be given up.
    let kept = lasting_jobs.pop_if(|_| restarts::applies_to(seed) && !cancels::applies_to(seed));
    kept.into_iter().for_each(|(key, _)| note(key, JobFact::NotCancelled));
    // What these seeds leave is cancelled at their end.
    for (key, told) in lasting_jobs.into_iter().filter(|_| !cancels::applies_to(seed)) {
        note(key, cancel(&judge, &mut hosts, (key, told), &mut rng));
    }
}

/// Returns what more is told of a job, by its kind.
fn known_facts(kind: Kind) -> Option<JobFact> {
    match kind {
        Kind::Crashes => Some(JobFact::Crashes),
        Kind::Lasts => Some(JobFact::Lasts),
        Kind::TwoSteps | Kind::Checkpoints | Kind::CheckpointsTwice | Kind::Gang => None,
    }
}

/// Sends a job to one host after the other.
fn submit(hosts: &mut [Caller], key: JobKey, body: &str, rng: &mut ChaCha8Rng) -> JobFact {
    let mut told = JobFact::Refused;
    for _ in 0..MAX_ATTEMPTS {
        let at = rng.random_range(0..hosts.len());
        match hosts[at].submit(key, body) {
            Some(200) => return JobFact::Accepted,
            Some(503 | 429) => {}
            _ => told = JobFact::OutcomeUnknown,
        }
    }
    told
}

/// Sends a cancellation to one host after the other, and tells the judge of the first acknowledgement. Where it
/// isn't known whether the job is stored, the answer that there is none tells nothing of a hand-in still to come.
fn cancel(
    judge: &Acknowledgements,
    hosts: &mut [Caller],
    (key, handed_in): (JobKey, JobFact),
    rng: &mut ChaCha8Rng,
) -> JobFact {
    for _ in 0..MAX_ATTEMPTS {
        let at = rng.random_range(0..hosts.len());
        let answer = hosts[at].cancel(key);
        let is_known = answer == Some(200) || handed_in == JobFact::Accepted;
        if is_known && answer.is_some_and(acknowledges) {
            judge.note_cancelled(key);
            return JobFact::Cancelled;
        }
    }
    JobFact::OutcomeUnknown
}
