//! What some seeds play besides: jobs that are cancelled soon after their hand-in, some at once, and workers that
//! crash together and again a moment later, so that what they ran waits for trials when its job is cancelled.
//!
//! Both draw from sequences of their own, so that what else a seed plays stays as it is without them.

use std::io;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::judge::acknowledges;
use gaplock_platform_standin::site::Site;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::JobFact;
use super::faults::millis;
use super::wait;

/// The seeds that play this.
const FIRST_SEED: u64 = 50_000;

/// The sequences of a seed that are drawn from; each caller has one of its own behind the second.
const CRASH_STREAM: u64 = 1 << 34;
const CANCEL_STREAM: u64 = 1 << 35;

/// Every so many jobs one lasts: only these tell of a run that is never stopped.
pub(super) const LONG_RUNNING_EVERY: u64 = 2;

/// The most workers: with more of them no suspect waits for a trial.
pub(super) const MAX_WORKERS: usize = 4;

/// How long after its hand-in a job is cancelled, in milliseconds, unless that is done at once.
const CANCEL_DELAY_MS: std::ops::Range<u64> = 20..2_500;

/// When all workers crash during the faulty time, and how much earlier they crash before that, in milliseconds. Two
/// losses let a task wait for a trial; one under which three or four workers end is given up, and so would be an
/// innocent one.
const CRASH_AT_MS: std::ops::Range<u64> = 1_000..5_000;
const EARLIER_CRASH_BY_MS: std::ops::Range<u64> = 300..900;

/// How long tasks may take to be started again after the crashes at the end.
const RESTART_LIMIT: Duration = Duration::from_secs(2);

/// Tells whether a seed plays this.
pub(super) fn applies_to(seed: u64) -> bool {
    seed >= FIRST_SEED
}

/// When one caller's jobs are cancelled.
#[derive(Debug)]
pub(super) struct EarlyCancellations {
    rng: ChaCha8Rng,
    due: Vec<(Instant, JobKey)>,
}

impl EarlyCancellations {
    /// Prepares what a caller cancels besides, if it does.
    pub(super) fn prepare(seed: u64, caller: u64) -> Option<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(CANCEL_STREAM + caller);
        applies_to(seed).then_some(Self { rng, due: Vec::new() })
    }

    /// Takes in an accepted job; two of five are cancelled, some of them at once. What lasts of the others is
    /// cancelled together at the end.
    fn schedule_cancellation(&mut self, key: JobKey) {
        let after = match self.rng.random_range(0..10) {
            0 => Duration::ZERO,
            1..4 => millis(&mut self.rng, CANCEL_DELAY_MS),
            _ => return,
        };
        self.due.push((Instant::now() + after, key));
    }

    /// Takes in a job if it was accepted, and returns those to cancel now.
    pub(super) fn take_due(&mut self, accepted: Option<JobKey>) -> Vec<JobKey> {
        accepted.into_iter().for_each(|key| self.schedule_cancellation(key));
        let now = Instant::now();
        let due = self.due.extract_if(.., |(at, _)| *at <= now);
        due.map(|(_, key)| key).collect()
    }
}

/// Crashes of all workers, to come.
#[derive(Debug)]
pub(super) struct JointCrashes {
    rng: ChaCha8Rng,
    due: Vec<Instant>,
}

impl JointCrashes {
    /// Prepares what a seed plays besides, if it does.
    pub(super) fn prepare(seed: u64) -> Option<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(CRASH_STREAM);
        let first = Instant::now() + millis(&mut rng, CRASH_AT_MS);
        let due = vec![first - millis(&mut rng, EARLIER_CRASH_BY_MS), first];
        applies_to(seed).then_some(Self { rng, due })
    }

    /// Does what is due where more faults are to come; returns how many faults that were.
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

/// Crashes all workers of a whole site twice and cancels at once what lasts: no later fault ends what is started
/// wrongly then.
pub(super) fn crash_and_cancel(
    site: &Site,
    jobs: &mut Vec<(JobKey, JobFact)>,
    rng: &mut ChaCha8Rng,
) {
    let told = |key: JobKey, what: JobFact| jobs.contains(&(key, what));
    let lasts = jobs.iter().filter(|(_, what)| *what == JobFact::Lasts).map(|(key, _)| *key);
    let open = lasts.filter(|&key| told(key, JobFact::Accepted) && !told(key, JobFact::Cancelled));
    let open: Vec<JobKey> = open.collect();
    for _ in 0..2 {
        let before = site.fleet.starts();
        (0..site.fleet.len()).for_each(|worker| site.fleet.crash(worker));
        wait(RESTART_LIMIT, || site.fleet.starts() > before);
    }
    for key in open {
        let host = rng.random_range(0..site.hosts.len());
        if site.hosts[host].cancel(key).is_some_and(acknowledges) {
            site.fleet.note_cancelled(key);
            jobs.push((key, JobFact::Cancelled));
        }
    }
}
