//! The callers, which submit jobs and cancel some of them on connections that they keep open.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::caller::Caller;
use gaplock_platform_standin::checker::acknowledges;
use gaplock_platform_standin::fleet::Acknowledgements;
use gaplock_platform_standin::gangs;
use gaplock_platform_standin::site::{self, crashing, gang, long_running, saving, two_steps, Site};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cancels::{self, EarlyCancellations};
use super::{restarts, LOCK};

/// What is known of a job: how its calls were answered, and what kind of job it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobFact {
    Accepted,
    Refused,
    OutcomeUnknown,
    Cancelled,
    /// The tasks of the job run until it is cancelled.
    LongRunning,
    /// The caller does not cancel the job.
    NotCancelled,
    /// One of the tasks crashes its workers.
    Crashes,
    /// How many tasks the job has, in all rounds, if they end by themselves.
    Tasks(usize),
}

/// Number of callers. There are several, so that one that waits for a frozen host does not hold up the others.
pub(super) const CALLERS: u64 = 3;

/// Difference between the first job keys of two callers.
const KEY_DISTANCE: u64 = 1_000_000;

/// Maximum number of attempts for one call, each at a random host.
const MAX_ATTEMPTS: usize = 4;

/// One in this many jobs is long-running.
const LONG_RUNNING_EVERY: u64 = 6;

/// First seed that also submits jobs that crash workers. Earlier seeds keep their sequence of events.
const FIRST_SEED_WITH_CRASHES: u64 = 8_000;

/// One in this many jobs of these seeds crashes workers, beginning with the fourth.
const CRASHES_EVERY: u64 = 9;

/// First seed that also submits jobs that save checkpoints.
pub(super) const FIRST_SEED_WITH_CHECKPOINTS: u64 = 20_000;

/// One in this many jobs of these seeds saves checkpoints, beginning with the second. Every other one of
/// them is a gang, and of the rest every other one runs twice.
const CHECKPOINTS_EVERY: u64 = 3;

/// First seed that submits no jobs that crash workers: with such jobs, whole sites wait for trial runs.
const FIRST_SEED_WITHOUT_CRASHES: u64 = 30_000;

/// One in this many jobs that end by themselves is cancelled.
const CANCEL_ONE_IN: u32 = 8;

/// Pauses between two jobs of one caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..450;

/// The kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    TwoSteps,
    Checkpoints,
    CheckpointsTwice,
    Gang,
    LongRunning,
    Crashes,
}

/// Returns the kind of a caller's job from its number.
fn kind(seed: u64, n: u64) -> Kind {
    let crashes = (FIRST_SEED_WITH_CRASHES..FIRST_SEED_WITHOUT_CRASHES).contains(&seed);
    if crashes && n % CRASHES_EVERY == 4 {
        return Kind::Crashes;
    }
    let long_running_every =
        if cancels::applies_to(seed) { cancels::LONG_RUNNING_EVERY } else { LONG_RUNNING_EVERY };
    if n.is_multiple_of(long_running_every) {
        return Kind::LongRunning;
    }
    let checkpoints = seed >= FIRST_SEED_WITH_CHECKPOINTS && n % CHECKPOINTS_EVERY == 2;
    match n / CHECKPOINTS_EVERY % 4 {
        _ if !checkpoints => Kind::TwoSteps,
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
        Kind::LongRunning => long_running(),
        Kind::Crashes => crashing(),
    }
}

/// Submits and cancels jobs until the fault phase is over, then cancels the long-running jobs.
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
    // Obtained once, since the site stays locked for seconds while its faults are ended.
    let acknowledgements = site.lock().expect(LOCK).fleet.acknowledgements();
    let record = |key, outcome| jobs.lock().expect(LOCK).push((key, outcome));
    let began = Instant::now();
    let mut long_running_jobs = Vec::new();
    let mut early = EarlyCancellations::prepare(seed, caller);
    for n in 1.. {
        if began.elapsed() >= faulty {
            break;
        }
        let key = JobKey(caller * KEY_DISTANCE + n);
        let kind = kind(seed, n);
        let outcome = submit(&mut hosts, key, &body(kind), &mut rng);
        record(key, outcome);
        record(key, known_fact(kind));
        if kind == Kind::LongRunning {
            long_running_jobs.push((key, outcome));
        }
        let one_of = if kind == Kind::LongRunning && early.is_none() { 2 } else { CANCEL_ONE_IN };
        if outcome == JobFact::Accepted && rng.random_range(0..one_of) == 0 {
            record(key, cancel(&acknowledgements, &mut hosts, (key, outcome), &mut rng));
        }
        if let Some(early) = &mut early {
            for key in early.take_due((outcome == JobFact::Accepted).then_some(key)) {
                record(
                    key,
                    cancel(&acknowledgements, &mut hosts, (key, JobFact::Accepted), &mut rng),
                );
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
    // One job of each caller runs to the end, where all of its tasks must run. This does not apply to seeds in which
    // all workers crash at the end, since a task may fail because of that.
    let kept =
        long_running_jobs.pop_if(|_| restarts::applies_to(seed) && !cancels::applies_to(seed));
    kept.into_iter().for_each(|(key, _)| record(key, JobFact::NotCancelled));
    // Seeds with joint crashes cancel their remaining jobs at their end.
    for (key, outcome) in long_running_jobs.into_iter().filter(|_| !cancels::applies_to(seed)) {
        record(key, cancel(&acknowledgements, &mut hosts, (key, outcome), &mut rng));
    }
}

/// Returns what is known of a job from its kind.
fn known_fact(kind: Kind) -> JobFact {
    match kind {
        Kind::Crashes => JobFact::Crashes,
        Kind::LongRunning => JobFact::LongRunning,
        Kind::TwoSteps => JobFact::Tasks(site::TWO_STEPS_TASKS),
        Kind::Checkpoints => JobFact::Tasks(site::SAVING_TASKS),
        Kind::CheckpointsTwice => JobFact::Tasks(2 * site::SAVING_TASKS),
        Kind::Gang => JobFact::Tasks(gangs::MEMBERS as usize),
    }
}

/// Submits a job to random hosts until one accepts it or the attempts are used up.
fn submit(hosts: &mut [Caller], key: JobKey, body: &str, rng: &mut ChaCha8Rng) -> JobFact {
    let mut outcome = JobFact::Refused;
    for _ in 0..MAX_ATTEMPTS {
        let at = rng.random_range(0..hosts.len());
        match hosts[at].submit(key, body) {
            Some(200) => return JobFact::Accepted,
            Some(503 | 429) => {}
            _ => outcome = JobFact::OutcomeUnknown,
        }
    }
    outcome
}

/// Sends a cancellation to random hosts and reports the first acknowledgement to the checker. Where it is not
/// known whether the job is stored, an answer that there is no such job does not count: the submission may
/// still be stored later.
fn cancel(
    acknowledgements: &Acknowledgements,
    hosts: &mut [Caller],
    (key, submitted): (JobKey, JobFact),
    rng: &mut ChaCha8Rng,
) -> JobFact {
    for _ in 0..MAX_ATTEMPTS {
        let at = rng.random_range(0..hosts.len());
        let answer = hosts[at].cancel(key);
        let is_known = answer == Some(200) || submitted == JobFact::Accepted;
        if is_known && answer.is_some_and(acknowledges) {
            acknowledgements.note_cancelled(key);
            return JobFact::Cancelled;
        }
    }
    JobFact::OutcomeUnknown
}
