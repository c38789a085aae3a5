//! Faults injected from outside: single ones, and overlapping periods of faults at workers and the
//! store.

use std::sync::Mutex;
use std::time::{Duration, Instant};
use std::{io, thread};

use gaplock_platform_standin::checker;
use gaplock_platform_standin::faults::{Lateness, StoreFaults, WorkerFaults};
use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::{self, Site};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::cancels::JointCrashes;
use super::crowds::Crowds;
use super::environment::EnvironmentFaults;
use super::large_configurations::LargeConfigurations;
use super::partitions::Partitions;
use super::queues::QueueChanges;
use super::restarts::Restarts;
use super::silences::Silences;
use super::throttles::Throttles;
use super::{FaultProfile, LOCK, POLL_INTERVAL};

/// How long a process may take to stop after a signal, by the settings of the sites.
const STOP_LIMIT: Duration = Duration::from_millis(3_500);

/// How long a fault period lasts, in milliseconds: up to half of the fault phase.
const FAULT_PERIOD_MS: std::ops::Range<u64> = 500..4_000;

/// The percentage of calls that fail or are late during a fault period.
const CALL_PERCENT: std::ops::Range<u32> = 5..40;

/// The percentage of transactions that are late. The repeat of a late one is often late too.
const LATE_WRITE_PERCENT: std::ops::Range<u32> = 15..60;

/// How long the store writes late before it refuses transactions, in milliseconds.
const LATE_WRITES_MS: std::ops::Range<u64> = 300..1_200;

/// How long it then refuses them, in milliseconds: longer than a commit is repeated (about a
/// second), and less than the longest time by which a commit is late (6 s).
const REFUSING_MS: std::ops::Range<u64> = 2_000..5_000;

/// How long after that the leader is killed, in milliseconds: what it learned in between must be
/// stored.
const LEADER_KILL_DELAY_MS: std::ops::Range<u64> = 100..1_500;

/// How long a worker is partitioned, in milliseconds: its leases expire during most of these times.
const NETWORK_CUT_MS: std::ops::Range<u64> = 3_000..9_000;

/// How long a worker still runs after it announces that it leaves, in milliseconds.
const LEAVING_NOTICE_MS: std::ops::Range<u64> = 500..3_000;

/// A fault that lasts for a period.
#[derive(Debug, Clone, Copy)]
struct FaultPeriod {
    fault: PeriodFault,
    from: Instant,
    until: Instant,
    active: bool,
}

/// The fault of a period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeriodFault {
    /// A worker carries orders out late or is overloaded.
    Worker(usize, WorkerFaults),
    /// The store writes late and loses answers, as drawn from a seed.
    Writes(StoreFaults, u64),
    /// The store refuses transactions.
    Refusals,
    /// The leader is killed.
    KillLeader,
    /// No data passes on the link to a worker.
    NetworkCut(usize),
}

/// All active and pending fault periods.
#[derive(Debug, Default)]
struct FaultPeriods {
    list: Vec<FaultPeriod>,
}

/// Sets for each worker how it decides whether an order is too late, and how long its runs take to
/// stop. A seed with only single faults draws nothing here, so that its sequence of events stays the
/// same as before the other faults existed.
pub(super) fn prepare(site: &Site, seed: u64, profile: FaultProfile, rng: &mut ChaCha8Rng) {
    site.fleet.seed(seed);
    for worker in 0..site.fleet.len() {
        let by_leases = !profile.only_single_faults() && rng.random_range(0..2) == 0;
        let lateness = if by_leases { Lateness::ByLeases } else { Lateness::ByStart };
        site.fleet.set_lateness(worker, lateness);
        site.fleet.set_faults(worker, healthy_worker(worker));
    }
}

/// Returns the settings of a worker without faults. How long its runs take to stop depends on the
/// worker and is at most half of the limit. Every third worker refuses checkpoints that it cannot use, and
/// every second one also lists a checkpoint text for tasks that save nothing.
fn healthy_worker(n: usize) -> WorkerFaults {
    let stop_takes = checker::STOP_LIMIT * (n as u32 % 4) / 6;
    let (refuses_checkpoints, lists_unsaved) = (n % 3 == 1, n.is_multiple_of(2));
    WorkerFaults { stop_takes, refuses_checkpoints, lists_unsaved, ..WorkerFaults::default() }
}

/// Injects faults until the fault phase and the faults of the store are over, then ends all faults.
/// Returns the number of injected faults.
pub(super) fn inject(
    site: &Mutex<Site>,
    profile: FaultProfile,
    mut extra: ExtraFaults,
    rng: &mut ChaCha8Rng,
) -> io::Result<u64> {
    let began = Instant::now();
    let (mut faults, mut next) = (0, began);
    let mut periods = FaultPeriods::default();
    let faulty =
        |periods: &FaultPeriods| began.elapsed() < profile.faulty || periods.store_fault_pending();
    while faulty(&periods) {
        let mut locked = site.lock().expect(LOCK);
        periods.tick(&mut locked)?;
        let is_paused = extra.partitions.as_ref().is_some_and(Partitions::pauses_others);
        if Instant::now() >= next && began.elapsed() < profile.faulty && !is_paused {
            faults += inject_due(&mut locked, profile, &mut periods, rng)?;
            next = Instant::now() + millis(rng, 50..900);
        }
        faults += extra.tick(&mut locked, began.elapsed() < profile.faulty)?;
        drop(locked);
        thread::sleep(POLL_INTERVAL);
    }
    let mut locked = site.lock().expect(LOCK);
    locked.heal();
    end_all_faults(&mut locked)?;
    if let Some(environment) = &mut extra.environment {
        environment.end(&mut locked);
    }
    if let Some(queues) = &mut extra.queues {
        queues.end(&locked);
    }
    Ok(faults)
}

/// The additional faults of a seed, each drawn from a random sequence of its own.
#[derive(Debug)]
pub(super) struct ExtraFaults {
    pub(super) environment: Option<EnvironmentFaults>,
    pub(super) restarts: Option<Restarts>,
    pub(super) crashes: Option<JointCrashes>,
    pub(super) partitions: Option<Partitions>,
    pub(super) queues: Option<QueueChanges>,
    pub(super) large: Option<LargeConfigurations>,
    pub(super) silences: Option<Silences>,
    pub(super) throttles: Option<Throttles>,
    pub(super) crowds: Option<Crowds>,
}

impl ExtraFaults {
    /// Injects the additional faults that are due and returns their number.
    fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let mut faults = 0;
        if let Some(partitions) = &mut self.partitions {
            faults += partitions.tick(site, more)?;
            if partitions.pauses_others() {
                return Ok(faults);
            }
        }
        if let Some(queues) = &mut self.queues {
            faults += queues.tick(site, more)?;
        }
        if let Some(large) = &mut self.large {
            faults += large.tick(site, more)?;
        }
        if let Some(silences) = &mut self.silences {
            faults += silences.tick(site, more)?;
        }
        if let Some(throttles) = &mut self.throttles {
            faults += throttles.tick(site, more)?;
        }
        if let Some(crowds) = &mut self.crowds {
            faults += crowds.tick(site, more)?;
        }
        if let Some(environment) = &mut self.environment {
            faults += environment.tick(site, more)?;
        }
        if let Some(restarts) = &mut self.restarts {
            faults += restarts.tick(site, more)?;
        }
        if let Some(crashes) = &mut self.crashes {
            faults += crashes.tick(site, more)?;
        }
        Ok(faults)
    }
}

/// Injects the faults drawn for one moment and returns their number.
fn inject_due(
    site: &mut Site,
    profile: FaultProfile,
    periods: &mut FaultPeriods,
    rng: &mut ChaCha8Rng,
) -> io::Result<u64> {
    let before = periods.list.len();
    if profile.late_orders && rng.random_range(0..2) == 0 {
        periods.add_worker_faults(site.fleet.len(), rng);
    }
    if profile.late_writes && !periods.store_fault_pending() && rng.random_range(0..2) == 0 {
        periods.add_store_faults(rng);
    }
    let mut faults = (periods.list.len() - before) as u64;
    if profile.worker_losses && rng.random_range(0..3) == 0 {
        lose_worker(site, periods, rng);
        faults += 1;
    }
    if profile.only_single_faults() || rng.random_range(0..profile.single_fault_one_in) == 0 {
        inject_single_fault(site, rng)?;
        faults += 1;
    }
    Ok(faults)
}

/// Draws a duration in milliseconds from a range.
pub(super) fn millis(rng: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

impl FaultPeriods {
    fn add(&mut self, fault: PeriodFault, from: Instant, until: Instant) {
        self.list.push(FaultPeriod { fault, from, until, active: false });
    }

    /// Begins and ends the periods that are due.
    fn tick(&mut self, site: &mut Site) -> io::Result<()> {
        let now = Instant::now();
        let ended: Vec<FaultPeriod> =
            self.list.iter().filter(|s| s.until <= now).copied().collect();
        self.list.retain(|s| s.until > now);
        ended.iter().filter(|s| s.active).for_each(|s| self.end(site, s.fault));
        for period in self.list.iter_mut().filter(|s| s.from <= now && !s.active) {
            period.active = true;
            begin(site, period.fault)?;
        }
        Ok(())
    }

    /// Ends a fault, unless another one of its kind is active at the same place.
    fn end(&self, site: &Site, fault: PeriodFault) {
        let other_active =
            |is: &dyn Fn(PeriodFault) -> bool| self.list.iter().any(|s| s.active && is(s.fault));
        match fault {
            PeriodFault::Worker(n, _)
                if !other_active(&|t| matches!(t, PeriodFault::Worker(m, _) if m == n)) =>
            {
                site.fleet.set_faults(n, healthy_worker(n));
            }
            PeriodFault::Writes(..) if !other_active(&|t| matches!(t, PeriodFault::Writes(..))) => {
                site.store.set_faults(StoreFaults::default(), 0);
            }
            PeriodFault::NetworkCut(n) if !other_active(&|t| t == fault) => {
                site.fleet.set_link(n, Mode::Pass)
            }
            PeriodFault::Refusals if !other_active(&|t| t == PeriodFault::Refusals) => {
                site.store.set_writes_refused(false);
            }
            _ => {}
        }
    }

    /// Returns whether a fault of the store or a kill of the leader is active or pending.
    fn store_fault_pending(&self) -> bool {
        let of_workers = |t| matches!(t, PeriodFault::Worker(..) | PeriodFault::NetworkCut(_));
        self.list.iter().any(|s| !of_workers(s.fault))
    }

    /// Adds periods in which some workers carry orders out late and are overloaded.
    fn add_worker_faults(&mut self, workers: usize, rng: &mut ChaCha8Rng) {
        let one_of = rng.random_range(1..4);
        for worker in 0..workers {
            if rng.random_range(0..one_of) != 0 {
                continue;
            }
            let (late, unwell) = (rng.random_range(CALL_PERCENT), rng.random_range(CALL_PERCENT));
            let fault = WorkerFaults { late, overloaded: unwell, ..healthy_worker(worker) };
            let until = Instant::now() + millis(rng, FAULT_PERIOD_MS);
            self.add(PeriodFault::Worker(worker, fault), Instant::now(), until);
        }
    }

    /// Adds a period in which the store writes late and loses answers, often followed by one in which
    /// it refuses transactions, and often then by a kill of the leader.
    fn add_store_faults(&mut self, rng: &mut ChaCha8Rng) {
        let now = Instant::now();
        let late = rng.random_range(LATE_WRITE_PERCENT);
        let lost = if rng.random_range(0..3) == 0 { rng.random_range(CALL_PERCENT) } else { 0 };
        let refusing_from = now + millis(rng, LATE_WRITES_MS);
        self.add(PeriodFault::Writes(StoreFaults { late, lost }, rng.random()), now, refusing_from);
        if rng.random_range(0..4) == 0 {
            return;
        }
        let served_from = refusing_from + millis(rng, REFUSING_MS);
        self.add(PeriodFault::Refusals, refusing_from, served_from);
        if rng.random_range(0..4) != 0 {
            let killed = served_from + millis(rng, LEADER_KILL_DELAY_MS);
            self.add(PeriodFault::KillLeader, killed, killed + POLL_INTERVAL * 4);
        }
    }
}

fn begin(site: &mut Site, fault: PeriodFault) -> io::Result<()> {
    match fault {
        PeriodFault::Worker(n, fault) => site.fleet.set_faults(n, fault),
        PeriodFault::Writes(fault, seed) => site.store.set_faults(fault, seed),
        PeriodFault::Refusals => site.store.set_writes_refused(true),
        PeriodFault::NetworkCut(n) => site.fleet.set_link(n, Mode::Silent),
        PeriodFault::KillLeader => {
            if let Some(leader) = site.leader() {
                site.hosts[leader].kill()?;
            }
        }
    }
    Ok(())
}

/// Ends all faults and restarts all hosts.
fn end_all_faults(site: &mut Site) -> io::Result<()> {
    site.store.set_down(false);
    site.store.set_writes_refused(false);
    site.store.set_faults(StoreFaults::default(), 0);
    for worker in 0..site.fleet.len() {
        site.fleet.set_link(worker, Mode::Pass);
        site.fleet.set_faults(worker, healthy_worker(worker));
    }
    for host in &mut site.hosts {
        host.store_link.set(Mode::Pass);
        host.signal(Signal::CONT);
    }
    // The platform restarts every process that has ended, including those that are still stopping.
    let began = Instant::now();
    while began.elapsed() < STOP_LIMIT {
        site.hosts.iter_mut().try_for_each(site::Host::restart)?;
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn inject_single_fault(site: &mut Site, rng: &mut ChaCha8Rng) -> io::Result<()> {
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
        9 => site.hosts[at].store_link.silence_open_connections(),
        _ => return repair_host(site, rng),
    }
    // Half of the time another fault is repaired, so that faults overlap but do not accumulate until
    // nothing runs.
    if rng.random_range(0..2) == 0 {
        repair_host(site, rng)?;
    }
    Ok(())
}

/// Crashes a worker or injects a fault into the link to it. About half of the links are free of faults
/// at any time.
fn worker_fault(site: &Site, rng: &mut ChaCha8Rng) {
    let at = rng.random_range(0..site.fleet.len());
    match rng.random_range(0..10) {
        0 => site.fleet.crash(at),
        1 => site.fleet.set_link(at, Mode::Silent),
        2 => site.fleet.set_link(at, Mode::Reset),
        3 => site.fleet.set_link(at, Mode::OneWay),
        4 => site.fleet.set_link(at, Mode::Delay),
        5 => site.fleet.silence_open_connections(at),
        _ => site.fleet.set_link(at, Mode::Pass),
    }
}

/// Crashes a worker, lets it leave, or partitions it for a while.
fn lose_worker(site: &Site, periods: &mut FaultPeriods, rng: &mut ChaCha8Rng) {
    let (at, now) = (rng.random_range(0..site.fleet.len()), Instant::now());
    match rng.random_range(0..3) {
        0 => site.fleet.crash(at),
        1 => site.fleet.drain(at, millis(rng, LEAVING_NOTICE_MS)),
        _ => periods.add(PeriodFault::NetworkCut(at), now, now + millis(rng, NETWORK_CUT_MS)),
    }
}

fn repair_host(site: &mut Site, rng: &mut ChaCha8Rng) -> io::Result<()> {
    let at = rng.random_range(0..site.hosts.len());
    site.hosts[at].store_link.set(Mode::Pass);
    site.hosts[at].signal(Signal::CONT);
    site.hosts[at].restart()
}
