//! Randomised fault tests of the real daemon, which runs in processes of its own.
//!
//! Faults are injected from outside: signals to the daemons; links to the store and to workers that are
//! delayed, reset, silenced or cut in one direction; workers that crash, answer late or are overloaded; and a
//! store that writes late, loses answers or refuses transactions. Some seeds add directory entries written by
//! other programs, workers whose capacity shrinks and grows, hosts that are suspended for longer than their
//! leases, workers that restart under their names, and workers that all crash together while jobs are
//! cancelled soon after submission, sites that are partitioned while hosts join, and queues that are removed and
//! renamed, connections that go silent, hosts whose processor is throttled, and crowds of clients outside the limits.
//! Faults come in series and overlap.
//!
//! The checks compare what callers and workers observe with the documented guarantees. No task runs twice at
//! one time, or again after its end was acknowledged, or from progress that it has not saved. A task that
//! crashes its workers fails, and no other task does. A refused job never runs, a cancelled job stops, and an
//! accepted job ends and its end is shown. At the end of the quiet phase no task that fits is still waiting:
//! jobs that end by themselves have ended, and long-running jobs run.

mod callers;
mod cancels;
mod crowds;
mod environment;
mod faults;
mod large_configurations;
mod partitions;
mod queues;
mod restarts;
mod silences;
mod throttles;

use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use std::{io, thread};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::checker;
use gaplock_platform_standin::site::{self, Output, Plan, Site};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use callers::JobFact;
use faults::ExtraFaults;

/// The result of one seed.
#[derive(Debug, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Number of injected faults.
    pub faults: u64,
    /// Number of checks made.
    pub checks: u64,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
    /// Number of starts that resumed from a checkpoint.
    pub resumed: u64,
    /// For each start that discarded saved work: how much, and a description. This violates no guarantee.
    pub thrown_away: Vec<(Duration, String)>,
}

/// Settings that differ from those of the tests.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long faults are injected and jobs are submitted.
    pub fault_time: Duration,
    /// Number of workers; `None` for the number drawn from the seed.
    pub workers: Option<usize>,
    /// Number of threads of each daemon; `None` for the default of its runtime library.
    pub threads: Option<u64>,
}

impl Default for Options {
    fn default() -> Self {
        Self { fault_time: FAULT_DURATION, workers: None, threads: None }
    }
}

/// Which faults a seed injects in addition to those of processes and links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FaultProfile {
    /// Workers carry orders out late and are overloaded.
    late_orders: bool,
    /// The store writes late, loses answers and refuses transactions.
    late_writes: bool,
    /// There are as many hosts as one machine can run.
    many_hosts: bool,
    /// Workers crash, leave or are partitioned more often, so that tasks resume from checkpoints.
    worker_losses: bool,
    /// One in this many fault times also injects a single fault.
    single_fault_one_in: u32,
    /// How long faults are injected and jobs are submitted.
    faulty: Duration,
}

impl FaultProfile {
    /// Returns whether only single faults are injected.
    fn only_single_faults(self) -> bool {
        !self.late_orders && !self.late_writes
    }
}

/// One in this many seeds has many hosts.
const MANY_HOSTS_EVERY_SEEDS: u64 = 16;

/// How long faults are injected and jobs are submitted by default.
const FAULT_DURATION: Duration = Duration::from_secs(8);

/// How long accepted jobs may take to end once all faults are over: a lease of 6 s, a change of
/// leader, and twice their own work. Time during which every worker is full does not count.
const JOB_END_LIMIT: Duration = Duration::from_secs(25);

/// How long all workers may be full: a small number of workers gets more work than it can do in
/// [`JOB_END_LIMIT`].
const JOB_END_LIMIT_WHILE_FULL: Duration = Duration::from_secs(90);

/// How long the checker watches the quiet phase after the faults where orders come late: the rest
/// of the 6 s by which the last one is late, 3 s to see its run, 0.9 s to stop it, and a margin.
const QUIET_WATCH_TIME: Duration = Duration::from_millis(7_000);

/// How long runs of cancelled jobs may still exist after all other checks: a start that was carried out late at
/// the end of the watched quiet phase is stopped within that time.
const CANCELLED_STOP_LIMIT: Duration = checker::CANCELLED_RUN_LIMIT;

/// Number of worker incarnations that must have ended under a task before the task may fail as one that crashes
/// workers. It counts only in seeds where all workers crash together: there an innocent task cannot be
/// distinguished from one that crashes them.
const MIN_LOSSES_TO_FAIL: u32 = 3;

/// How long the hosts may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// The answer to a question about a job that is not stored.
const GONE: u16 = 410;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const LOCK: &str = "no holder of the lock panics";

/// Returns the faults of a seed. The remainder of the seed selects single faults only, late orders,
/// late writes, or both. Seeds with late calls have fewer single faults, since a leader must live long
/// enough to mistake a late write for another one.
fn fault_profile(seed: u64, faulty: Duration, rng: &mut ChaCha8Rng) -> FaultProfile {
    let kind = seed % 4;
    let single_fault_one_in = if kind == 1 { 1 } else { rng.random_range(2..7) };
    FaultProfile {
        late_orders: kind == 2 || kind == 0,
        late_writes: kind == 3 || kind == 0,
        many_hosts: seed.is_multiple_of(MANY_HOSTS_EVERY_SEEDS),
        worker_losses: seed >= callers::FIRST_SEED_WITH_CHECKPOINTS,
        single_fault_one_in,
        faulty,
    }
}

/// Runs one seed.
///
/// # Errors
/// Returns an error if the site could not be started or its processes could not be controlled.
pub fn run(program: PathBuf, seed: u64) -> io::Result<Report> {
    run_with(program, seed, Options::default())
}

/// Runs one seed with settings that differ from those of the tests.
///
/// # Errors
/// Returns an error if the site could not be started or its processes could not be controlled.
pub fn run_with(program: PathBuf, seed: u64, options: Options) -> io::Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let profile = fault_profile(seed, options.fault_time, &mut rng);
    let plan = plan(program, seed, profile, options, &mut rng);
    let mut report = Report { seed, ..Report::default() };
    let mut links = large_configurations::links(seed, plan.hosts);
    links.extend(silences::links(seed, plan.hosts));
    let site = Mutex::new(site::open_on_links(&plan, &links)?);
    let wrong_answers = large_configurations::WrongAnswers::default();
    let overruns = crowds::Overruns::default();
    faults::prepare(&site.lock().expect(LOCK), seed, profile, &mut rng);
    let extra = ExtraFaults {
        environment: environment::prepare(&site.lock().expect(LOCK), seed),
        restarts: restarts::prepare(seed),
        crashes: cancels::JointCrashes::prepare(seed),
        partitions: partitions::prepare(seed),
        queues: queues::prepare(seed),
        large: large_configurations::prepare(seed, &wrong_answers),
        silences: silences::prepare(seed),
        throttles: throttles::prepare(seed),
        crowds: crowds::prepare(seed, &overruns),
    };
    wait(READY_LIMIT, || site.lock().expect(LOCK).hosts.iter().any(site::Host::is_ready));
    let jobs: Mutex<Vec<(JobKey, JobFact)>> = Mutex::default();
    report.faults = thread::scope(|scope| {
        for caller in 0..callers::CALLERS {
            let (site, jobs) = (&site, &jobs);
            scope.spawn(move || callers::run_caller(site, jobs, caller, seed, profile.faulty));
        }
        faults::inject(&site, profile, extra, &mut rng)
    })?;
    let mut jobs = jobs.into_inner().expect(LOCK);
    let site = site.into_inner().expect(LOCK);
    if cancels::applies_to(seed) {
        wait(READY_LIMIT, || site.leader().is_some_and(|leader| site.hosts[leader].is_ready()));
        cancels::crash_and_cancel(&site, &mut jobs, &mut rng);
    }
    watch_quiet_phase(&site, profile);
    check(&site, &jobs, &mut report);
    report.violations.extend(overruns.lock().expect(LOCK).iter().cloned());
    report.violations.append(&mut wrong_answers.lock().expect(LOCK));
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&plan.dir)?;
    } else {
        report.violations.push(format!("logs are kept in {}", plan.dir.display()));
    }
    Ok(report)
}

/// Draws the hosts, workers and task lengths of a seed's site.
fn plan(
    program: PathBuf,
    seed: u64,
    profile: FaultProfile,
    options: Options,
    rng: &mut ChaCha8Rng,
) -> Plan {
    let hosts = if profile.many_hosts { rng.random_range(16..21) } else { rng.random_range(2..6) };
    let max_workers = if cancels::applies_to(seed) { cancels::MAX_WORKERS } else { usize::MAX };
    let workers = rng.random_range(2..9).min(max_workers);
    Plan {
        program,
        dir: std::env::temp_dir().join(format!("gaplock-soak-{}-{seed}", std::process::id())),
        hosts,
        workers: options.workers.unwrap_or(workers),
        work: Duration::from_millis(rng.random_range(100..1_500)),
        output: Output::default(),
        threads: options.threads,
        status_s: silences::status_s(seed),
        limits: crowds::limits(seed),
    }
}

/// Lets the checker watch the site without faults, once one host is its leader.
fn watch_quiet_phase(site: &Site, profile: FaultProfile) {
    wait(READY_LIMIT, || site.leader().is_some_and(|leader| site.hosts[leader].is_ready()));
    site.fleet.note_no_faults();
    if profile.late_orders {
        thread::sleep(QUIET_WATCH_TIME);
    } else {
        thread::sleep(checker::CANCELLED_RUN_LIMIT + POLL_INTERVAL);
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

/// How long jobs may still take to end, over all checks.
struct WaitBudget {
    /// Time left while some worker has free capacity.
    left: Duration,
    /// Time left while no worker has any.
    full: Duration,
}

impl WaitBudget {
    /// Waits until the condition is met or the time is over; evaluates it at least twice.
    fn wait(&mut self, site: &Site, mut met: impl FnMut() -> bool) -> bool {
        loop {
            if met() {
                return true;
            }
            let left = if site.fleet.has_capacity() { &mut self.left } else { &mut self.full };
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
    let has_fact = |key: JobKey, what: JobFact| jobs.contains(&(key, what));
    let mut keys: Vec<JobKey> = jobs.iter().map(|(key, _)| *key).collect();
    keys.sort_unstable();
    keys.dedup();
    let mut budget = WaitBudget { left: JOB_END_LIMIT, full: JOB_END_LIMIT_WHILE_FULL };
    for &key in &keys {
        report.checks += 1;
        if has_fact(key, JobFact::Refused) && site.has_started(key) {
            let starts = site.fleet.starts_of(key).join("; ");
            report.violations.push(format!("{key} was refused and ran: {starts}"));
        }
        let ends = !has_fact(key, JobFact::LongRunning) || has_fact(key, JobFact::Cancelled);
        if has_fact(key, JobFact::Accepted) && ends {
            let end = if has_fact(key, JobFact::Crashes) { "failed" } else { "completed" };
            let tasks = jobs.iter().find_map(|(of, fact)| match fact {
                JobFact::Tasks(tasks) if *of == key => Some(*tasks),
                _ => None,
            });
            let may_be_cancelled =
                has_fact(key, JobFact::Cancelled) || has_fact(key, JobFact::OutcomeUnknown);
            let has_ended =
                |site: &Site| may_be_cancelled || tasks == Some(site.fleet.tasks_done(key));
            check_ended(site, key, end, &has_ended, &mut budget, report);
        }
        let may_be_cancelled =
            has_fact(key, JobFact::Cancelled) || has_fact(key, JobFact::OutcomeUnknown);
        if has_fact(key, JobFact::Accepted)
            && has_fact(key, JobFact::NotCancelled)
            && !may_be_cancelled
        {
            check_runs(site, key, &mut budget, report);
        }
    }
    check_cancelled(site, report);
    report.violations.extend(site.fleet.violations());
    report.resumed = site.fleet.resumed();
    report.thrown_away = site.fleet.discarded_work();
}

/// Checks that no task of a cancelled job runs at the end of the quiet phase. Starts that were carried out late
/// have been stopped by then.
fn check_cancelled(site: &Site, report: &mut Report) {
    report.checks += 1;
    wait(CANCELLED_STOP_LIMIT, || site.fleet.cancelled_runs().is_empty());
    report.violations.extend(site.fleet.cancelled_runs());
}

/// Checks that all tasks of a long-running job run; there is enough capacity for them.
fn check_runs(site: &Site, key: JobKey, budget: &mut WaitBudget, report: &mut Report) {
    let wanted = site::LONG_RUNNING_TASKS;
    if !budget.wait(site, || site.fleet.running_of(key) == wanted) {
        let running = site.fleet.running_of(key);
        report.violations.push(format!("{key} lasts, and {running} of its {wanted} tasks run"));
    }
}

/// Checks that an accepted job ends or is cancelled, and that its state is shown to its caller.
fn check_ended(
    site: &Site,
    key: JobKey,
    end: &str,
    has_ended: &dyn Fn(&Site) -> bool,
    budget: &mut WaitBudget,
    report: &mut Report,
) {
    let mut last = None;
    let may_fail = cancels::applies_to(report.seed)
        && site.fleet.most_lost_incarnations(key) >= MIN_LOSSES_TO_FAIL;
    let ended = budget.wait(site, || {
        last = site.hosts.iter().find_map(|h| h.state(key));
        let word = last.as_ref().map(|(_, word)| word.as_str());
        // Where states are kept for a short time, an ended job is removed.
        let is_gone = last.as_ref().is_some_and(|(status, _)| *status == GONE)
            && silences::applies_to(report.seed);
        word == Some(end)
            || word == Some("canceled")
            || (may_fail && word == Some("failed"))
            || (is_gone && (may_fail || has_ended(site)))
    });
    let word = last.map(|(status, word)| format!("{status} {word}")).unwrap_or_default();
    if !ended {
        report.violations.push(format!("{key} was accepted and is shown as `{word}`"));
    }
}
