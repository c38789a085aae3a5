//! A randomised soak of the real daemon in processes of its own.
//!
//! Faults come from outside: signals, links to the store and to workers that are delayed, reset,
//! silenced or cut one way, workers that crash, and a store that refuses. They come in series and
//! overlap. What callers and workers see is checked against the promises of the users' pages:
//! nothing runs twice at one time, what was refused never runs, and what was accepted comes to an
//! end and is shown.

use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use std::{io, thread};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::{self, two_steps, Output, Plan, Site};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

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
}

/// What the callers of one job were told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Accepted,
    Refused,
    Unclear,
    Cancelled,
}

/// How long faults and jobs come.
const FAULTY_TIME: Duration = Duration::from_secs(8);

/// How long accepted jobs may take to end once everything is whole again: a lease of 6 s, a change
/// of leader, and their own work twice over.
const SETTLE_LIMIT: Duration = Duration::from_secs(25);

/// How long a process that was told to stop may take, by the sites' settings.
const STOP_LIMIT: Duration = Duration::from_millis(3_500);

/// How long the hosts may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// How many hosts a caller tries for one job.
const TRIES: usize = 4;

const POLL: Duration = Duration::from_millis(50);
const LOCK: &str = "no holder of the lock panics";

/// Runs one seed.
///
/// # Errors
/// Returns why the site could not be started or its processes not be handled.
pub fn run(program: PathBuf, seed: u64) -> io::Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan {
        program,
        dir: std::env::temp_dir().join(format!("gaplock-soak-{}-{seed}", std::process::id())),
        hosts: rng.random_range(2..6),
        workers: rng.random_range(2..9),
        work: Duration::from_millis(rng.random_range(100..1_500)),
        output: Output::default(),
    };
    let mut report = Report { seed, ..Report::default() };
    let site = Mutex::new(site::open(&plan)?);
    wait(READY_LIMIT, || site.lock().expect(LOCK).hosts.iter().any(site::Host::is_ready));
    let jobs: Mutex<Vec<(JobKey, Told)>> = Mutex::default();
    let callers_rng = ChaCha8Rng::seed_from_u64(seed ^ u64::MAX);
    let addrs: Vec<String> =
        site.lock().expect(LOCK).hosts.iter().map(|h| h.callers.clone()).collect();
    let faults = thread::scope(|scope| {
        scope.spawn(|| call(&addrs, &jobs, callers_rng));
        inject(&site, &mut rng)
    })?;
    report.faults = faults;
    let jobs = jobs.into_inner().expect(LOCK);
    let site = site.into_inner().expect(LOCK);
    check(&site, &jobs, &mut report);
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&plan.dir)?;
    } else {
        report.violations.push(format!("logs are kept in {}", plan.dir.display()));
    }
    Ok(report)
}

fn wait(limit: Duration, mut met: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if met() {
            return true;
        }
        thread::sleep(POLL);
    }
    false
}

/// Hands in and cancels jobs until the faulty time is over.
fn call(addrs: &[String], jobs: &Mutex<Vec<(JobKey, Told)>>, mut rng: ChaCha8Rng) {
    let began = Instant::now();
    let mut next = 1;
    while began.elapsed() < FAULTY_TIME {
        let key = JobKey(next);
        next += 1;
        let told = submit(addrs, key, &mut rng);
        jobs.lock().expect(LOCK).push((key, told));
        if told == Told::Accepted && rng.random_range(0..8) == 0 {
            let at = rng.random_range(0..addrs.len());
            let answer = site::cancel(&addrs[at], key);
            let told = if answer == Some(200) { Told::Cancelled } else { Told::Unclear };
            jobs.lock().expect(LOCK).push((key, told));
        }
        thread::sleep(Duration::from_millis(rng.random_range(20..150)));
    }
}

/// Sends a job to one host after the other, as a caller does.
fn submit(addrs: &[String], key: JobKey, rng: &mut ChaCha8Rng) -> Told {
    let mut told = Told::Refused;
    for _ in 0..TRIES {
        let at = rng.random_range(0..addrs.len());
        match site::submit(&addrs[at], key, &two_steps()) {
            Some(200) => return Told::Accepted,
            Some(503 | 429) => {}
            _ => told = Told::Unclear,
        }
    }
    told
}

/// Injects faults until the faulty time is over, then makes everything whole again.
fn inject(site: &Mutex<Site>, rng: &mut ChaCha8Rng) -> io::Result<u64> {
    let began = Instant::now();
    let mut faults = 0;
    while began.elapsed() < FAULTY_TIME {
        one_fault(&mut site.lock().expect(LOCK), rng)?;
        faults += 1;
        thread::sleep(Duration::from_millis(rng.random_range(50..900)));
    }
    let mut site = site.lock().expect(LOCK);
    site.store.set_down(false);
    for worker in 0..site.fleet.len() {
        site.fleet.set_link(worker, Mode::Pass);
    }
    for host in &mut site.hosts {
        host.store_link.set(Mode::Pass);
        host.signal(Signal::CONT);
    }
    // The platform starts again what has ended, also a process that is still stopping now.
    let began = Instant::now();
    while began.elapsed() < STOP_LIMIT {
        site.hosts.iter_mut().try_for_each(site::Host::restart)?;
        thread::sleep(POLL);
    }
    Ok(faults)
}

fn one_fault(site: &mut Site, rng: &mut ChaCha8Rng) -> io::Result<()> {
    let leader = site.leader();
    let any = rng.random_range(0..site.hosts.len());
    let at = leader.filter(|_| rng.random_range(0..2) == 0).unwrap_or(any);
    if rng.random_range(0..4) == 0 {
        worker_fault(site, rng);
        return Ok(());
    }
    match rng.random_range(0..11) {
        0 | 1 => site.hosts[at].kill()?,
        2 => site.hosts[at].signal(Signal::STOP),
        3 => site.hosts[at].signal(Signal::TERM),
        4 => site.hosts[at].store_link.set(Mode::Silent),
        5 => site.hosts[at].store_link.set(Mode::Reset),
        6 => site.hosts[at].store_link.set(Mode::OneWay),
        7 => site.hosts[at].store_link.set(Mode::Delay),
        8 => site.store.set_down(rng.random_range(0..2) == 0),
        9 => site.hosts[at].store_link.silence_open(),
        _ => return mend(site, rng),
    }
    // Half of the time something else is mended meanwhile, so that faults overlap but do not pile
    // up until nothing runs.
    if rng.random_range(0..2) == 0 {
        mend(site, rng)?;
    }
    Ok(())
}

/// Crashes a worker, or harms the way to it; about half of the ways are whole at any time.
fn worker_fault(site: &Site, rng: &mut ChaCha8Rng) {
    let at = rng.random_range(0..site.fleet.len());
    match rng.random_range(0..10) {
        0 => site.fleet.crash(at),
        1 => site.fleet.set_link(at, Mode::Silent),
        2 => site.fleet.set_link(at, Mode::Reset),
        3 => site.fleet.set_link(at, Mode::OneWay),
        4 => site.fleet.set_link(at, Mode::Delay),
        5 => site.fleet.silence_open(at),
        _ => site.fleet.set_link(at, Mode::Pass),
    }
}

fn mend(site: &mut Site, rng: &mut ChaCha8Rng) -> io::Result<()> {
    let at = rng.random_range(0..site.hosts.len());
    site.hosts[at].store_link.set(Mode::Pass);
    site.hosts[at].signal(Signal::CONT);
    site.hosts[at].restart()
}

fn check(site: &Site, jobs: &[(JobKey, Told)], report: &mut Report) {
    let told = |key: JobKey, what: Told| jobs.contains(&(key, what));
    let keys: Vec<JobKey> = jobs.iter().map(|(key, _)| *key).collect();
    let until = Instant::now() + SETTLE_LIMIT;
    for &key in &keys {
        report.checks += 1;
        if told(key, Told::Refused) && site.has_started(key) {
            report.violations.push(format!("{key} was refused and ran"));
        }
        if told(key, Told::Accepted) {
            check_ended(site, key, until, report);
        }
    }
    report.checks += 1;
    for task in site.twice() {
        report.violations.push(format!("{task} ran twice at one time"));
    }
}

/// Checks that an accepted job comes to an end that its caller is shown.
fn check_ended(site: &Site, key: JobKey, until: Instant, report: &mut Report) {
    let mut last = None;
    let left = until.saturating_duration_since(Instant::now()).max(POLL * 2);
    let ended = wait(left, || {
        last = site.hosts.iter().find_map(|h| h.state(key));
        let word = last.as_ref().map(|(_, word)| word.as_str());
        word == Some("completed") || word == Some("canceled")
    });
    let word = last.map(|(status, word)| format!("{status} {word}")).unwrap_or_default();
    if !ended {
        report.violations.push(format!("{key} was accepted and is shown as `{word}`"));
    }
}
