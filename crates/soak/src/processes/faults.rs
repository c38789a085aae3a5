//! Faults from outside: single ones, and spells of trouble at workers and the store that overlap
//! with them.

use std::sync::Mutex;
use std::time::{Duration, Instant};
use std::{io, thread};

use gaplock_platform_standin::judge;
use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::{self, Site};
use gaplock_platform_standin::trouble::{Lateness, StoreTrouble, WorkerTrouble};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::cancels::JointCrashes;
use super::restarts::Restarts;
use super::wider::EnvironmentFaults;
use super::{FaultProfile, LOCK, POLL_INTERVAL};

/// How long a process that was told to stop may take, by the sites' settings.
const STOP_LIMIT: Duration = Duration::from_millis(3_500);

/// How long a spell lasts, in milliseconds: up to half of the faulty time.
const FAULT_PERIOD_MS: std::ops::Range<u64> = 500..4_000;

/// The shares of calls that are in trouble during a spell, in percent.
const CALL_PERCENT: std::ops::Range<u32> = 5..40;

/// The share of transactions that are late; the repeat of a late one is often late too.
const LATE_WRITE_PERCENT: std::ops::Range<u32> = 15..60;

/// How long the store writes late before it refuses, and how long it refuses then, in milliseconds:
/// a commit is sent again for about a second, and is late by up to 6 s.
const LATE_WRITES_MS: std::ops::Range<u64> = 300..1_200;
const REFUSING_MS: std::ops::Range<u64> = 2_000..5_000;

/// How long after that the leader is killed, in milliseconds: what it learnt in between must be
/// stored.
const LEADER_KILL_DELAY_MS: std::ops::Range<u64> = 100..1_500;

/// How long a worker is cut off, in milliseconds: its leases lapse in most of it.
const NETWORK_CUT_MS: std::ops::Range<u64> = 3_000..9_000;

/// How long a worker has left that announces that it leaves, in milliseconds.
const LEAVING_NOTICE_MS: std::ops::Range<u64> = 500..3_000;

/// A spell of trouble, from its beginning to its end.
#[derive(Debug, Clone, Copy)]
struct FaultPeriod {
    trouble: PeriodFault,
    from: Instant,
    over: Instant,
    begun: bool,
}

/// What trouble there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeriodFault {
    Worker(usize, WorkerTrouble),
    /// The store writes late and loses answers, by a seed.
    Writes(StoreTrouble, u64),
    /// The store refuses transactions.
    Refusals,
    /// The leader is killed.
    KillLeader,
    /// Nothing passes on the way to a worker.
    NetworkCut(usize),
}

/// All spells that are on or to come.
#[derive(Debug, Default)]
struct FaultPeriods {
    list: Vec<FaultPeriod>,
}

/// Gives each worker a way of judging lateness, and a time that its runs take to stop. A seed of
/// single faults only draws nothing here, and so keeps the course that it had before there were
/// others.
pub(super) fn prepare(site: &Site, seed: u64, play: FaultProfile, rng: &mut ChaCha8Rng) {
    site.fleet.seed(seed);
    for worker in 0..site.fleet.len() {
        let by_leases = !play.only_single_faults() && rng.random_range(0..2) == 0;
        let lateness = if by_leases { Lateness::ByLeases } else { Lateness::ByStart };
        site.fleet.set_lateness(worker, lateness);
        site.fleet.set_trouble(worker, healthy_worker(worker));
    }
}

/// A worker in no trouble; its runs take a time of its own to stop, at most half of what they may,
/// every third refuses checkpoints that it cannot use, and every second lists a text beside tasks that save
/// nothing, too.
fn healthy_worker(n: usize) -> WorkerTrouble {
    let stop_takes = judge::STOP_LIMIT * (n as u32 % 4) / 6;
    let (refuses_checkpoints, lists_unsaved) = (n % 3 == 1, n.is_multiple_of(2));
    WorkerTrouble { stop_takes, refuses_checkpoints, lists_unsaved, ..WorkerTrouble::default() }
}

/// Injects faults until the faulty time and the store's trouble are over, then makes everything
/// whole again.
pub(super) fn inject(
    site: &Mutex<Site>,
    play: FaultProfile,
    mut besides: ExtraFaults,
    rng: &mut ChaCha8Rng,
) -> io::Result<u64> {
    let began = Instant::now();
    let (mut faults, mut next) = (0, began);
    let mut spells = FaultPeriods::default();
    let faulty =
        |spells: &FaultPeriods| began.elapsed() < play.faulty || spells.store_fault_pending();
    while faulty(&spells) {
        let mut locked = site.lock().expect(LOCK);
        spells.tick(&mut locked)?;
        if Instant::now() >= next && began.elapsed() < play.faulty {
            faults += inject_due(&mut locked, play, &mut spells, rng)?;
            next = Instant::now() + millis(rng, 50..900);
        }
        faults += besides.tick(&mut locked, began.elapsed() < play.faulty)?;
        drop(locked);
        thread::sleep(POLL_INTERVAL);
    }
    let mut locked = site.lock().expect(LOCK);
    end_all_faults(&mut locked)?;
    if let Some(wider) = &mut besides.wider {
        wider.end(&mut locked);
    }
    Ok(faults)
}

/// What a seed plays besides, each from a sequence of its own.
#[derive(Debug)]
pub(super) struct ExtraFaults {
    pub(super) wider: Option<EnvironmentFaults>,
    pub(super) restarts: Option<Restarts>,
    pub(super) crashes: Option<JointCrashes>,
}

impl ExtraFaults {
    /// Does what is due; returns how many faults were added.
    fn tick(&mut self, site: &mut Site, more: bool) -> io::Result<u64> {
        let mut faults = 0;
        if let Some(wider) = &mut self.wider {
            faults += wider.tick(site, more)?;
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

/// Injects what is due at one moment and returns how many faults that were.
fn inject_due(
    site: &mut Site,
    play: FaultProfile,
    spells: &mut FaultPeriods,
    rng: &mut ChaCha8Rng,
) -> io::Result<u64> {
    let before = spells.list.len();
    if play.orders && rng.random_range(0..2) == 0 {
        spells.add_worker_faults(site.fleet.len(), rng);
    }
    if play.writes && !spells.store_fault_pending() && rng.random_range(0..2) == 0 {
        spells.add_store_faults(rng);
    }
    let mut faults = (spells.list.len() - before) as u64;
    if play.losses && rng.random_range(0..3) == 0 {
        lose_worker(site, spells, rng);
        faults += 1;
    }
    if play.only_single_faults() || rng.random_range(0..play.single_one_of) == 0 {
        inject_single_fault(site, rng)?;
        faults += 1;
    }
    Ok(faults)
}

/// Draws a time.
pub(super) fn millis(rng: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

impl FaultPeriods {
    fn add(&mut self, trouble: PeriodFault, from: Instant, over: Instant) {
        self.list.push(FaultPeriod { trouble, from, over, begun: false });
    }

    /// Begins and ends what is due.
    fn tick(&mut self, site: &mut Site) -> io::Result<()> {
        let now = Instant::now();
        let over: Vec<FaultPeriod> = self.list.iter().filter(|s| s.over <= now).copied().collect();
        self.list.retain(|s| s.over > now);
        over.iter().filter(|s| s.begun).for_each(|s| self.end(site, s.trouble));
        for spell in self.list.iter_mut().filter(|s| s.from <= now && !s.begun) {
            spell.begun = true;
            begin(site, spell.trouble)?;
        }
        Ok(())
    }

    /// Ends a spell, unless another one of its kind is on at the same place.
    fn end(&self, site: &Site, trouble: PeriodFault) {
        let on =
            |is: &dyn Fn(PeriodFault) -> bool| self.list.iter().any(|s| s.begun && is(s.trouble));
        match trouble {
            PeriodFault::Worker(n, _)
                if !on(&|t| matches!(t, PeriodFault::Worker(m, _) if m == n)) =>
            {
                site.fleet.set_trouble(n, healthy_worker(n));
            }
            PeriodFault::Writes(..) if !on(&|t| matches!(t, PeriodFault::Writes(..))) => {
                site.store.set_trouble(StoreTrouble::default(), 0);
            }
            PeriodFault::NetworkCut(n) if !on(&|t| t == trouble) => {
                site.fleet.set_link(n, Mode::Pass)
            }
            PeriodFault::Refusals if !on(&|t| t == PeriodFault::Refusals) => {
                site.store.set_writes_refused(false);
            }
            _ => {}
        }
    }

    /// Tells whether the store is in trouble or will be.
    fn store_fault_pending(&self) -> bool {
        let of_workers = |t| matches!(t, PeriodFault::Worker(..) | PeriodFault::NetworkCut(_));
        self.list.iter().any(|s| !of_workers(s.trouble))
    }

    /// Lets some workers carry orders out late and be unwell.
    fn add_worker_faults(&mut self, workers: usize, rng: &mut ChaCha8Rng) {
        let one_of = rng.random_range(1..4);
        for worker in 0..workers {
            if rng.random_range(0..one_of) != 0 {
                continue;
            }
            let (late, unwell) = (rng.random_range(CALL_PERCENT), rng.random_range(CALL_PERCENT));
            let trouble = WorkerTrouble { late, unwell, ..healthy_worker(worker) };
            let over = Instant::now() + millis(rng, FAULT_PERIOD_MS);
            self.add(PeriodFault::Worker(worker, trouble), Instant::now(), over);
        }
    }

    /// Lets the store write late and lose answers, then often refuse transactions, and then often
    /// has the leader killed.
    fn add_store_faults(&mut self, rng: &mut ChaCha8Rng) {
        let now = Instant::now();
        let late = rng.random_range(LATE_WRITE_PERCENT);
        let lost = if rng.random_range(0..3) == 0 { rng.random_range(CALL_PERCENT) } else { 0 };
        let refusing_from = now + millis(rng, LATE_WRITES_MS);
        self.add(
            PeriodFault::Writes(StoreTrouble { late, lost }, rng.random()),
            now,
            refusing_from,
        );
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

fn begin(site: &mut Site, trouble: PeriodFault) -> io::Result<()> {
    match trouble {
        PeriodFault::Worker(n, trouble) => site.fleet.set_trouble(n, trouble),
        PeriodFault::Writes(trouble, seed) => site.store.set_trouble(trouble, seed),
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

/// Makes everything whole again.
fn end_all_faults(site: &mut Site) -> io::Result<()> {
    site.store.set_down(false);
    site.store.set_writes_refused(false);
    site.store.set_trouble(StoreTrouble::default(), 0);
    for worker in 0..site.fleet.len() {
        site.fleet.set_link(worker, Mode::Pass);
        site.fleet.set_trouble(worker, healthy_worker(worker));
    }
    for host in &mut site.hosts {
        host.store_link.set(Mode::Pass);
        host.signal(Signal::CONT);
    }
    // The platform starts again what has ended, also a process that is still stopping now.
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
        9 => site.hosts[at].store_link.silence_open(),
        _ => return repair_host(site, rng),
    }
    // Half of the time something else is mended meanwhile, so that faults overlap but do not pile
    // up until nothing runs.
    if rng.random_range(0..2) == 0 {
        repair_host(site, rng)?;
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

/// Crashes a worker, lets it leave, or cuts it off for a while.
fn lose_worker(site: &Site, spells: &mut FaultPeriods, rng: &mut ChaCha8Rng) {
    let (at, now) = (rng.random_range(0..site.fleet.len()), Instant::now());
    match rng.random_range(0..3) {
        0 => site.fleet.crash(at),
        1 => site.fleet.leave(at, millis(rng, LEAVING_NOTICE_MS)),
        _ => spells.add(PeriodFault::NetworkCut(at), now, now + millis(rng, NETWORK_CUT_MS)),
    }
}

fn repair_host(site: &mut Site, rng: &mut ChaCha8Rng) -> io::Result<()> {
    let at = rng.random_range(0..site.hosts.len());
    site.hosts[at].store_link.set(Mode::Pass);
    site.hosts[at].signal(Signal::CONT);
    site.hosts[at].restart()
}
