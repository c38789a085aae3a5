//! A randomised soak of the real daemon in processes of its own.
//!
//! Faults come from outside: signals, links to the store and to workers that are delayed, reset, silenced
//! or cut one way, workers that crash, answer late or are unwell, and a store that writes late, loses
//! answers or refuses. Some seeds also play entries of other writers, rooms that shrink and grow, hosts
//! that are suspended for longer than their leases, workers that start again under their names, and workers that crash
//! together beside jobs that are cancelled soon after their hand-in. All come in series and overlap.
//!
//! What callers and workers see is checked against the promises of the users' pages: nothing runs twice at
//! one time, or again after its end was acknowledged, or from what its task has not saved; a task that
//! crashes its workers is given up and no other one is; what was refused never runs, what was cancelled
//! stops, and what was accepted comes to an end and is shown. At the quiet end nothing that fits still waits: what
//! ends by itself has ended, and what lasts runs.

mod callers;
mod cancels;
mod faults;
mod restarts;
mod wider;

use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use std::{io, thread};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::judge;
use gaplock_platform_standin::site::{self, Output, Plan, Site};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use callers::JobFact;
use faults::ExtraFaults;

/// What a seed led to.
#[derive(Debug, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: u64,
    /// Checks that were made.
    pub checks: u64,
    /// Broken promises, in words.
    pub violations: Vec<String>,
    /// Starts that resumed from a checkpoint.
    pub resumed: u64,
    /// How much saved work each start threw away that did, with its story; that breaks no promise.
    pub thrown_away: Vec<(Duration, String)>,
}

/// What differs from the plays of the tests.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long faults and jobs come.
    pub faulty: Duration,
    /// How many workers there are, if not as many as the seed says.
    pub workers: Option<usize>,
    /// How many threads each daemon has, if not as many as its library likes.
    pub threads: Option<u64>,
}

impl Default for Options {
    fn default() -> Self {
        Self { faulty: FAULT_DURATION, workers: None, threads: None }
    }
}

/// What a seed plays besides harm to processes and links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FaultProfile {
    /// Workers that carry orders out late and are unwell.
    orders: bool,
    /// A store that writes late, loses answers and refuses.
    writes: bool,
    /// As many hosts as one machine bears.
    many: bool,
    /// Workers that crash, leave or are cut off more often, so that tasks resume.
    losses: bool,
    /// Every so many moments one brings a single fault besides.
    single_one_of: u32,
    /// How long faults and jobs come.
    faulty: Duration,
}

impl FaultProfile {
    /// Tells whether nothing but single faults is played.
    fn only_single_faults(self) -> bool {
        !self.orders && !self.writes
    }
}

/// Every so many seeds one has many hosts.
const MANY_HOSTS_EVERY_SEEDS: u64 = 16;

/// How long faults and jobs come where nothing else is said.
const FAULT_DURATION: Duration = Duration::from_secs(8);

/// How long accepted jobs may take to end once everything is whole again: a lease of 6 s, a change
/// of leader, and their own work twice over. It does not count while every worker is full.
const JOB_END_LIMIT: Duration = Duration::from_secs(25);

/// How long that may be: few workers get more work than they can do in that time.
const JOB_END_LIMIT_WHILE_FULL: Duration = Duration::from_secs(90);

/// How long the judge looks at the calm after the faults where orders come late: what is left of
/// the 6 s by which the last one is late, 3 s to see its run, 0.9 s to stop it, and a little more.
const QUIET_WATCH_TIME: Duration = Duration::from_millis(7_000);

/// How long runs of cancelled jobs may be there after all else is checked: a start that was carried out late at
/// the end of the watched calm is stopped in that time.
const CANCELLED_STOP_LIMIT: Duration = judge::OUTSTAY_LIMIT;

/// How many starts of workers may end under a task before it may be given up as one that crashes them; counted only
/// where all workers crash together, beside which an innocent task cannot be told from others.
const MIN_LOSSES_TO_FAIL: u32 = 3;

/// How long the hosts may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const LOCK: &str = "no holder of the lock panics";

/// Returns what a seed plays: by its remainder nothing more, late orders, late writes, or both.
/// Where more is played, there are fewer single faults: a leader must live to take a late write for
/// another.
fn fault_profile(seed: u64, faulty: Duration, rng: &mut ChaCha8Rng) -> FaultProfile {
    let kind = seed % 4;
    let single_one_of = if kind == 1 { 1 } else { rng.random_range(2..7) };
    FaultProfile {
        orders: kind == 2 || kind == 0,
        writes: kind == 3 || kind == 0,
        many: seed.is_multiple_of(MANY_HOSTS_EVERY_SEEDS),
        losses: seed >= callers::FIRST_SEED_WITH_CHECKPOINTS,
        single_one_of,
        faulty,
    }
}

/// Runs one seed.
///
/// # Errors
/// Returns why the site could not be started or its processes not be handled.
pub fn run(program: PathBuf, seed: u64) -> io::Result<Report> {
    run_with(program, seed, Options::default())
}

/// Runs one seed with what differs from the plays of the tests.
///
/// # Errors
/// Returns why the site could not be started or its processes not be handled.
pub fn run_with(program: PathBuf, seed: u64, options: Options) -> io::Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let play = fault_profile(seed, options.faulty, &mut rng);
    let plan = plan(program, seed, play, options, &mut rng);
    let mut report = Report { seed, ..Report::default() };
    let site = Mutex::new(site::open(&plan)?);
    faults::prepare(&site.lock().expect(LOCK), seed, play, &mut rng);
    let besides = ExtraFaults {
        wider: wider::prepare(&site.lock().expect(LOCK), seed),
        restarts: restarts::prepare(seed),
        crashes: cancels::JointCrashes::prepare(seed),
    };
    wait(READY_LIMIT, || site.lock().expect(LOCK).hosts.iter().any(site::Host::is_ready));
    let jobs: Mutex<Vec<(JobKey, JobFact)>> = Mutex::default();
    report.faults = thread::scope(|scope| {
        for caller in 0..callers::CALLERS {
            let (site, jobs) = (&site, &jobs);
            scope.spawn(move || callers::run_caller(site, jobs, caller, seed, play.faulty));
        }
        faults::inject(&site, play, besides, &mut rng)
    })?;
    let mut jobs = jobs.into_inner().expect(LOCK);
    let site = site.into_inner().expect(LOCK);
    if cancels::applies_to(seed) {
        wait(READY_LIMIT, || site.leader().is_some_and(|leader| site.hosts[leader].is_ready()));
        cancels::crash_and_cancel(&site, &mut jobs, &mut rng);
    }
    watch_quiet_phase(&site, play);
    check(&site, &jobs, &mut report);
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&plan.dir)?;
    } else {
        report.violations.push(format!("logs are kept in {}", plan.dir.display()));
    }
    Ok(report)
}

/// Draws what a seed's site consists of.
fn plan(
    program: PathBuf,
    seed: u64,
    play: FaultProfile,
    options: Options,
    rng: &mut ChaCha8Rng,
) -> Plan {
    let hosts = if play.many { rng.random_range(16..21) } else { rng.random_range(2..6) };
    let most = if cancels::applies_to(seed) { cancels::MAX_WORKERS } else { usize::MAX };
    let workers = rng.random_range(2..9).min(most);
    Plan {
        program,
        dir: std::env::temp_dir().join(format!("gaplock-soak-{}-{seed}", std::process::id())),
        hosts,
        workers: options.workers.unwrap_or(workers),
        work: Duration::from_millis(rng.random_range(100..1_500)),
        output: Output::default(),
        threads: options.threads,
    }
}

/// Lets the judge look at a site that nothing harms, once a host leads it.
fn watch_quiet_phase(site: &Site, play: FaultProfile) {
    wait(READY_LIMIT, || site.leader().is_some_and(|leader| site.hosts[leader].is_ready()));
    site.fleet.note_calm();
    if play.orders {
        thread::sleep(QUIET_WATCH_TIME);
    } else {
        thread::sleep(judge::OUTSTAY_LIMIT + POLL_INTERVAL);
    }
}

fn wait(limit: Duration, mut met: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if met() {
            return true;
        }
        thread::sleep(POLL_INTERVAL);
    }
    false
}

/// How long jobs may still take to settle, over all checks.
struct WaitBudget {
    /// While a worker has room.
    left: Duration,
    /// While none has.
    full: Duration,
}

impl WaitBudget {
    /// Waits until something is met; looks twice at least.
    fn wait(&mut self, site: &Site, mut met: impl FnMut() -> bool) -> bool {
        loop {
            if met() {
                return true;
            }
            let left = if site.fleet.has_room() { &mut self.left } else { &mut self.full };
            let before = Instant::now();
            thread::sleep(POLL_INTERVAL);
            *left = left.saturating_sub(before.elapsed());
            if left.is_zero() {
                return met();
            }
        }
    }
}

fn check(site: &Site, jobs: &[(JobKey, JobFact)], report: &mut Report) {
    let told = |key: JobKey, what: JobFact| jobs.contains(&(key, what));
    let mut keys: Vec<JobKey> = jobs.iter().map(|(key, _)| *key).collect();
    keys.sort_unstable();
    keys.dedup();
    let mut patience = WaitBudget { left: JOB_END_LIMIT, full: JOB_END_LIMIT_WHILE_FULL };
    for &key in &keys {
        report.checks += 1;
        if told(key, JobFact::Refused) && site.has_started(key) {
            let starts = site.fleet.starts_of(key).join("; ");
            report.violations.push(format!("{key} was refused and ran: {starts}"));
        }
        let ends = !told(key, JobFact::Lasts) || told(key, JobFact::Cancelled);
        if told(key, JobFact::Accepted) && ends {
            let end = if told(key, JobFact::Crashes) { "failed" } else { "completed" };
            check_ended(site, key, end, &mut patience, report);
        }
        let may_be_cancelled = told(key, JobFact::Cancelled) || told(key, JobFact::OutcomeUnknown);
        if told(key, JobFact::Accepted) && told(key, JobFact::NotCancelled) && !may_be_cancelled {
            check_runs(site, key, &mut patience, report);
        }
    }
    check_cancelled(site, report);
    report.violations.extend(site.fleet.violations());
    report.resumed = site.fleet.resumed();
    report.thrown_away = site.fleet.thrown_away();
}

/// Checks that nothing of a cancelled job runs at the quiet end, where late starts have been carried out and stopped.
fn check_cancelled(site: &Site, report: &mut Report) {
    report.checks += 1;
    wait(CANCELLED_STOP_LIMIT, || site.fleet.cancelled_runs().is_empty());
    report.violations.extend(site.fleet.cancelled_runs());
}

/// Checks that all tasks of a job that lasts are at work, for which there is room.
fn check_runs(site: &Site, key: JobKey, patience: &mut WaitBudget, report: &mut Report) {
    let wanted = site::LASTING_TASKS;
    if !patience.wait(site, || site.fleet.running_of(key) == wanted) {
        let running = site.fleet.running_of(key);
        report.violations.push(format!("{key} lasts, and {running} of its {wanted} tasks run"));
    }
}

/// Checks that an accepted job comes to its end, or is cancelled, and that its caller is shown that.
fn check_ended(
    site: &Site,
    key: JobKey,
    end: &str,
    patience: &mut WaitBudget,
    report: &mut Report,
) {
    let mut last = None;
    let may_fail =
        cancels::applies_to(report.seed) && site.fleet.most_lost(key) >= MIN_LOSSES_TO_FAIL;
    let ended = patience.wait(site, || {
        last = site.hosts.iter().find_map(|h| h.state(key));
        let word = last.as_ref().map(|(_, word)| word.as_str());
        word == Some(end) || word == Some("canceled") || (may_fail && word == Some("failed"))
    });
    let word = last.map(|(status, word)| format!("{status} {word}")).unwrap_or_default();
    if !ended {
        report.violations.push(format!("{key} was accepted and is shown as `{word}`"));
    }
}
