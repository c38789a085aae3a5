//! Faults from outside: single ones, and spells of trouble at workers and the store that overlap with them.

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

use super::{Play, FAULTY_TIME, LOCK, POLL};

/// How long a process that was told to stop may take, by the sites' settings.
const STOP_LIMIT: Duration = Duration::from_millis(3_500);

/// How long a spell lasts, in milliseconds: up to half of the faulty time.
const SPELL_MS: std::ops::Range<u64> = 500..4_000;

/// The shares of calls that are in trouble during a spell, in percent.
const SHARE: std::ops::Range<u32> = 5..40;

/// A spell of trouble, and when it is over.
#[derive(Debug)]
struct Spell {
    at: Place,
    over: Instant,
}

/// Where trouble is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Worker(usize),
    /// The store writes late and loses answers.
    Writes,
    /// The store refuses transactions.
    Refusals,
}

/// Gives each worker a way of judging lateness, and a time that its runs take to stop.
pub(super) fn prepare(site: &Site, seed: u64, rng: &mut ChaCha8Rng) {
    site.fleet.seed(seed);
    for worker in 0..site.fleet.len() {
        let by_leases = rng.random_range(0..2) == 0;
        let lateness = if by_leases { Lateness::ByLeases } else { Lateness::ByStart };
        site.fleet.set_lateness(worker, lateness);
        site.fleet.set_trouble(worker, calm_worker(rng));
    }
}

/// A worker in no trouble; its runs take their time to stop all the same.
fn calm_worker(rng: &mut ChaCha8Rng) -> WorkerTrouble {
    let limit_ms = judge::STOP_LIMIT.as_millis() as u64;
    let stop_takes = Duration::from_millis(rng.random_range(0..limit_ms / 2));
    WorkerTrouble { stop_takes, ..WorkerTrouble::default() }
}

/// Injects faults until the faulty time is over, then makes everything whole again.
pub(super) fn inject(site: &Mutex<Site>, play: Play, rng: &mut ChaCha8Rng) -> io::Result<u64> {
    let began = Instant::now();
    let mut faults = 0;
    let mut spells: Vec<Spell> = Vec::new();
    while began.elapsed() < FAULTY_TIME {
        {
            let mut site = site.lock().expect(LOCK);
            end_spells(&site, &mut spells, rng);
            if play.orders && rng.random_range(0..2) == 0 {
                trouble_workers(&site, &mut spells, rng);
                faults += 1;
            }
            if play.writes && rng.random_range(0..2) == 0 {
                trouble_store(&site, &mut spells, rng);
                faults += 1;
            }
            if !(play.orders || play.writes) || rng.random_range(0..2) == 0 {
                one_fault(&mut site, rng)?;
                faults += 1;
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(50..900)));
    }
    make_whole(&mut site.lock().expect(LOCK), rng)?;
    Ok(faults)
}

/// Ends the spells whose time is over, but where another one has begun at the same place.
fn end_spells(site: &Site, spells: &mut Vec<Spell>, rng: &mut ChaCha8Rng) {
    let now = Instant::now();
    let (over, on): (Vec<Spell>, Vec<Spell>) = spells.drain(..).partition(|s| s.over <= now);
    *spells = on;
    for spell in over {
        if spells.iter().any(|s| s.at == spell.at) {
            continue;
        }
        match spell.at {
            Place::Worker(n) => site.fleet.set_trouble(n, calm_worker(rng)),
            Place::Writes => site.store.set_trouble(StoreTrouble::default(), 0),
            Place::Refusals => site.store.set_writes_refused(false),
        }
    }
}

fn spell(at: Place, rng: &mut ChaCha8Rng) -> Spell {
    Spell { at, over: Instant::now() + Duration::from_millis(rng.random_range(SPELL_MS)) }
}

/// Lets some workers carry orders out late and be unwell.
fn trouble_workers(site: &Site, spells: &mut Vec<Spell>, rng: &mut ChaCha8Rng) {
    let one_of = rng.random_range(1..4);
    for worker in 0..site.fleet.len() {
        if rng.random_range(0..one_of) != 0 {
            continue;
        }
        let (late, unwell) = (rng.random_range(SHARE), rng.random_range(SHARE));
        let trouble = WorkerTrouble { late, unwell, ..calm_worker(rng) };
        site.fleet.set_trouble(worker, trouble);
        spells.push(spell(Place::Worker(worker), rng));
    }
}

/// Lets the store write late and lose answers, refuse transactions, or both.
fn trouble_store(site: &Site, spells: &mut Vec<Spell>, rng: &mut ChaCha8Rng) {
    let which = rng.random_range(0..3);
    if which != 0 {
        let (late, lost) = (rng.random_range(SHARE), rng.random_range(SHARE));
        site.store.set_trouble(StoreTrouble { late, lost }, rng.random());
        spells.push(spell(Place::Writes, rng));
    }
    if which != 1 {
        site.store.set_writes_refused(true);
        spells.push(spell(Place::Refusals, rng));
    }
}

/// Makes everything whole again.
fn make_whole(site: &mut Site, rng: &mut ChaCha8Rng) -> io::Result<()> {
    site.store.set_down(false);
    site.store.set_writes_refused(false);
    site.store.set_trouble(StoreTrouble::default(), 0);
    for worker in 0..site.fleet.len() {
        site.fleet.set_link(worker, Mode::Pass);
        site.fleet.set_trouble(worker, calm_worker(rng));
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
    Ok(())
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
