//! One run: a phase with faults, a quiet phase, and the final checks.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::check;
use crate::clients::Clients;
use crate::faults::{Enabled, Fault};
use crate::simulation::{SimMillis, Simulation};

/// Length of the phase with faults.
const FAULTY_MS: SimMillis = 40_000;
/// Length of the phase without faults, in which all work must finish.
const QUIET_MS: SimMillis = 45_000;
/// How often faults and requests are drawn and callers act.
const SLICE_MS: SimMillis = 50;
const ENTRIES: usize = 3;
const WORKERS: usize = 4;

/// The result of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Number of handled events.
    pub steps: u64,
    /// Number of injected faults.
    pub faults: u64,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
    /// The most recent trace lines.
    pub trace: Vec<String>,
}

/// Runs a seed with the enabled kinds of faults.
pub fn run(seed: u64, enabled: Enabled) -> Report {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut w = Simulation::open(rng, ENTRIES, WORKERS, enabled);
    let mut clients = Clients::default();
    let mut until = 0;
    while until < FAULTY_MS + QUIET_MS {
        until += SLICE_MS;
        while w.step(until) {}
        w.now = until;
        if until == FAULTY_MS {
            end_faults(&mut w);
        }
        if w.faulty {
            inject_faults(&mut w);
            add_requests(&mut w, &mut clients);
        }
        let unconfigured = until > FAULTY_MS + 3_000 && until % 1_000 == 0 && generation(&w) == 0;
        if unconfigured {
            clients.confirm(&mut w);
        }
        recover(&mut w);
        clients.act(&mut w);
    }
    let violations = check::violations(&mut w, &clients);
    let trace = w.trace.iter().cloned().collect();
    Report { seed, steps: w.steps, faults: w.faults, violations, trace }
}

fn generation(w: &Simulation) -> u64 {
    let in_force = w.entries.iter().flat_map(|e| e.in_force.iter());
    in_force.map(|(generation, _)| generation.0).max().unwrap_or(0)
}

/// Disables kinds of faults one by one, keeping each one disabled if the seed still fails without it.
pub fn narrow(seed: u64, mut enabled: Enabled) -> (Enabled, Report) {
    let mut report = run(seed, enabled.clone());
    for fault in enabled.clone().kinds() {
        let fewer = enabled.without(*fault);
        let without = run(seed, fewer.clone());
        if !without.violations.is_empty() {
            enabled = fewer;
            report = without;
        }
    }
    (enabled, report)
}

fn add_requests(w: &mut Simulation, clients: &mut Clients) {
    if w.rng.random_ratio(1, 12) {
        clients.add_job(w);
    }
    if w.rng.random_ratio(1, 16) {
        clients.add_once(w);
    }
    let first = w.now >= 1_500 && clients.confirmations.len() < 3 && w.rng.random_ratio(1, 4);
    if first || w.rng.random_ratio(1, 90) {
        clients.confirm(w);
    }
}

fn draw_fault(w: &mut Simulation, fault: Fault, one_in: u32) -> bool {
    let happens = w.enabled.has(fault) && w.rng.random_ratio(1, one_in);
    w.faults += u64::from(happens);
    happens
}

/// Injects faults of entries, workers and the store, as drawn; the message faults are drawn when a
/// message is sent.
fn inject_faults(w: &mut Simulation) {
    inject_entry_faults(w);
    inject_worker_faults(w);
    if draw_fault(w, Fault::StoreDown, 250) {
        let duration = w.rng.random_range(200..7_000);
        w.store_down_until = w.now + duration;
        w.note(format!("the store is down for {duration}"));
    }
    if draw_fault(w, Fault::StoreLoses, 200) {
        w.store.faults.lose_percent = w.rng.random_range(0..40);
    }
}

fn inject_entry_faults(w: &mut Simulation) {
    let i = w.rng.random_range(0..w.entries.len());
    if draw_fault(w, Fault::KillEntry, 150) {
        w.kill_entry(i);
    }
    if draw_fault(w, Fault::FreezeEntry, 150) {
        let duration = w.rng.random_range(100..9_000);
        w.note(format!("e{i} is frozen for {duration}"));
        w.entries[i].frozen_until = w.now + duration;
    }
    if draw_fault(w, Fault::StopEntry, 200) && w.entries[i].stopping_since.is_none() {
        w.note(format!("e{i} is told to stop"));
        w.entries[i].stopping_since = Some(w.now);
        w.handle(i, gaplock_coord::node::Event::Stop);
    }
    if draw_fault(w, Fault::CutStore, 150) {
        let duration = w.rng.random_range(100..8_000);
        w.note(format!("e{i} is cut from the store for {duration}"));
        w.entries[i].cut_store_until = w.now + duration;
    }
    let j = (i + 1) % w.entries.len();
    if draw_fault(w, Fault::CutPeers, 120) {
        let until = w.now + w.rng.random_range(100..8_000);
        w.note(format!("e{i} and e{j} are cut until {until}"));
        w.peer_cuts.insert((i.min(j), i.max(j)), until);
    }
    let k = w.rng.random_range(0..w.workers.len());
    if draw_fault(w, Fault::CutWorker, 100) {
        let until = w.now + w.rng.random_range(100..9_000);
        w.note(format!("e{i} and w{k} are cut until {until}"));
        w.worker_cuts.insert((i, k), until);
    }
}

fn inject_worker_faults(w: &mut Simulation) {
    let k = w.rng.random_range(0..w.workers.len());
    if draw_fault(w, Fault::FreezeWorker, 150) {
        let until = w.now + w.rng.random_range(100..9_000);
        w.note(format!("w{k} is frozen until {until}"));
        w.workers[k].frozen_until = until;
    }
    if draw_fault(w, Fault::ReplaceWorker, 250) {
        w.note(format!("w{k} is replaced"));
        w.replace_worker(k);
    }
    if draw_fault(w, Fault::LeaveWorker, 250) {
        let leaving = !w.hosts[k].leaving;
        set_leaving(w, k, leaving);
    }
}

fn set_leaving(w: &mut Simulation, k: usize, leaving: bool) {
    w.note(format!("w{k} leaving: {leaving}"));
    let now = w.worker_clock(k);
    w.workers[k].model.set_leaving(now, leaving);
    w.hosts[k].leaving = leaving;
    w.publish_hosts();
}

/// Restarts entries that have died, resumes workers whose suspension is over, and ends planned stops.
fn recover(w: &mut Simulation) {
    for i in 0..w.entries.len() {
        let dead = w.entries[i].node.is_none();
        if dead && (!w.faulty || w.rng.random_ratio(1, 40)) {
            w.start_entry(i);
        }
        let over = w.entries[i].stopping_since.is_some_and(|since| w.now > since + 4_000);
        if over && w.entries[i].node.is_some() {
            w.kill_entry(i);
        }
    }
    for k in 0..w.workers.len() {
        let until = w.workers[k].frozen_until;
        if until > 0 && until <= w.now {
            w.resume_worker(k);
        }
    }
}

/// Ends all faults.
fn end_faults(w: &mut Simulation) {
    w.faulty = false;
    w.note("faults end".to_string());
    w.store.faults.lose_percent = 0;
    w.store_down_until = w.now;
    w.peer_cuts.clear();
    w.worker_cuts.clear();
    for e in &mut w.entries {
        e.cut_store_until = 0;
        e.frozen_until = e.frozen_until.min(w.now);
    }
    for k in 0..w.workers.len() {
        w.resume_worker(k);
        if w.hosts[k].leaving {
            set_leaving(w, k, false);
        }
    }
}
