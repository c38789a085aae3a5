//! Additional faults of some seeds: jobs that are cancelled soon after submission, some at once, and workers that
//! all crash together and again a moment later, so that their tasks wait for trial runs when the jobs are cancelled.
//!
//! Both draw from random sequences of their own, so that the other faults of a seed do not change.

use std::io;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::checker::acknowledges;
use gaplock_platform_standin::site::Site;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::JobFact;
use super::faults::millis;
use super::wait;

/// First seed with these faults.
const FIRST_SEED: u64 = 50_000;

/// The random streams of these faults. Each caller has a stream of its own, numbered from the second one.
const CRASH_STREAM: u64 = 1 << 34;
const CANCEL_STREAM: u64 = 1 << 35;

/// One in this many jobs is long-running: only these show that a run is never stopped.
pub(super) const LONG_RUNNING_EVERY: u64 = 2;

/// Maximum number of workers: with more of them no suspected task waits for a trial run.
pub(super) const MAX_WORKERS: usize = 4;

/// How long after its submission a job is cancelled, in milliseconds, unless it is cancelled at once.
const CANCEL_DELAY_MS: std::ops::Range<u64> = 20..2_500;

/// When all workers crash during the fault phase, and how much earlier they crash a first time, in milliseconds.
/// After two losses a task waits for a trial run. A task under which three or four workers end fails, and so would
/// an innocent one; therefore there are only two crashes.
const CRASH_AT_MS: std::ops::Range<u64> = 1_000..5_000;
const EARLIER_CRASH_BY_MS: std::ops::Range<u64> = 300..900;

/// How long the wait for a restarted task may take after each crash at the end.
const RESTART_LIMIT: Duration = Duration::from_secs(2);

/// Returns whether a seed has these faults.
pub(super) fn applies_to(seed: u64) -> bool {
    seed >= FIRST_SEED
}

/// The pending early cancellations of one caller's jobs.
#[derive(Debug)]
pub(super) struct EarlyCancellations {
    rng: ChaCha8Rng,
    due: Vec<(Instant, JobKey)>,
}

impl EarlyCancellations {
    /// Creates the cancellations of a caller; `None` if the seed has none.
    pub(super) fn prepare(seed: u64, caller: u64) -> Option<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(CANCEL_STREAM + caller);
        applies_to(seed).then_some(Self { rng, due: Vec::new() })
    }

    /// Schedules the cancellation of an accepted job. Two of five jobs are cancelled, some of them at once. The
    /// long-running jobs among the others are cancelled together at the end.
    fn schedule_cancellation(&mut self, key: JobKey) {
        let after = match self.rng.random_range(0..10) {
            0 => Duration::ZERO,
            1..4 => millis(&mut self.rng, CANCEL_DELAY_MS),
            _ => return,
        };
        self.due.push((Instant::now() + after, key));
    }

    /// Adds a job if it was accepted, and returns the jobs to cancel now.
    pub(super) fn take_due(&mut self, accepted: Option<JobKey>) -> Vec<JobKey> {
        accepted.into_iter().for_each(|key| self.schedule_cancellation(key));
        let now = Instant::now();
        let due = self.due.extract_if(.., |(at, _)| *at <= now);
        due.map(|(_, key)| key).collect()
    }
}

/// The pending crashes of all workers.
#[derive(Debug)]
pub(super) struct JointCrashes {
    rng: ChaCha8Rng,
    due: Vec<Instant>,
}

impl JointCrashes {
    /// Draws the times of the crashes; `None` if the seed has none.
    pub(super) fn prepare(seed: u64) -> Option<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(CRASH_STREAM);
        let first = Instant::now() + millis(&mut rng, CRASH_AT_MS);
        let due = vec![first - millis(&mut rng, EARLIER_CRASH_BY_MS), first];
        applies_to(seed).then_some(Self { rng, due })
    }

    /// Crashes all workers if a crash is due and faults are still injected. Returns the number of faults.
    pub(super) fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let now = Instant::now();
        let is_due = self.due.extract_if(.., |at| *at <= now).count() > 0;
        if !more || !is_due {
            return Ok(0);
        }
        let workers = site.fleet.len();
        (0..workers).for_each(|worker| site.fleet.crash(worker));
        let leader = site.leader().filter(|_| self.rng.random_range(0..6) == 0);
        if let Some(leader) = leader {
            site.hosts[leader].kill()?;
        }
        Ok(workers as u64 + u64::from(leader.is_some()))
    }
}

/// Crashes all workers of a site without other faults twice, and at once cancels the long-running jobs. No later
/// fault then ends a run that was started by mistake.
pub(super) fn crash_and_cancel(
    site: &Site,
    jobs: &mut Vec<(JobKey, JobFact)>,
    rng: &mut ChaCha8Rng,
) {
    let has_fact = |key: JobKey, fact: JobFact| jobs.contains(&(key, fact));
    let long_running =
        jobs.iter().filter(|(_, fact)| *fact == JobFact::LongRunning).map(|(key, _)| *key);
    let open = long_running
        .filter(|&key| has_fact(key, JobFact::Accepted) && !has_fact(key, JobFact::Cancelled));
    let open: Vec<JobKey> = open.collect();
    for _ in 0..2 {
        let starts_before = site.fleet.starts();
        (0..site.fleet.len()).for_each(|worker| site.fleet.crash(worker));
        wait(RESTART_LIMIT, || site.fleet.starts() > starts_before);
    }
    for key in open {
        let host = rng.random_range(0..site.hosts.len());
        if site.hosts[host].cancel(key).is_some_and(acknowledges) {
            site.fleet.note_cancelled(key);
            jobs.push((key, JobFact::Cancelled));
        }
    }
}
