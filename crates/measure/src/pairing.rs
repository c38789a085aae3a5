//! Measures batch throughput and evictions while a service must keep its latency objective, for the
//! scheduler's policy and four baselines.

use gaplock_policy::{guard, interference, placement, tail};
use gaplock_types::{ids, sizes, time, wire};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::Report;
use crate::site::{self, Deployment, Reading, Site, Task, WINDOW_MS};

/// The simulated time, in milliseconds.
const RUN_MS: u64 = 900_000;
/// A step stops placing tasks once this many have found no worker.
const MAX_UNPLACED_PER_STEP: usize = 24;
/// The number of workers in a partition; one decision considers only these.
const WORKERS_PER_PARTITION: usize = 16;
/// The caps tried for the baselines with a static cap, in per cent of the processors. The best one counts.
const STATIC_CAPS_PERCENT: [u32; 9] = [3, 6, 10, 15, 20, 30, 45, 60, 75];
/// Latency objectives as multiples of the unloaded 99th percentile.
const OBJECTIVE_FACTORS: [f64; 3] = [1.6, 2.0, 3.0];

/// A placement and throttling policy. The report prints the variant names.
#[derive(Debug, Clone, Copy)]
enum Policy {
    /// Placement by learned interference, and a guard that accounts for the delay of measurements.
    Ours,
    /// First fit by declared size; batch tasks may reserve at most this percentage of the processors.
    FirstFit(u32),
    /// The less loaded of two random workers, with the same cap as for `FirstFit`.
    RandomOfTwo(u32),
    /// First fit; each delayed measurement close to or above the objective immediately slows tasks or evicts one.
    RawReadings,
    /// First fit and the guard, without learned interference.
    GuardOnly,
}

struct PolicyResult {
    name: String,
    p99_us: u64,
    work_core_s: f64,
    evictions: u64,
    finished: u64,
}

/// The interference model and the controllers of `Policy::Ours` and `Policy::GuardOnly`.
struct LearnedState {
    pairing: interference::InterferenceModel,
    exposures: Vec<interference::ExposureHistory>,
    guards: Vec<guard::TailGuard>,
    tail: tail::TailController,
}

impl LearnedState {
    fn ceiling_us(&self, site: &Site) -> f64 {
        site.deployment.objective_us * self.tail.allowance()
    }
}

/// Measures both deployments at three objectives.
pub fn measure(seed: u64) -> Report {
    let mut rows = Vec::new();
    let mut findings = Vec::new();
    for objective_factor in OBJECTIVE_FACTORS {
        for d in site::deployments(objective_factor) {
            compare(&d, objective_factor, seed, &mut rows, &mut findings);
        }
    }
    Report {
        name: "pairing",
        seed,
        headings: vec![
            "deployment",
            "objective/alone",
            "policy",
            "p99/objective",
            "core hours",
            "evictions",
            "tasks",
        ],
        rows,
        findings,
    }
}

fn compare(
    d: &Deployment,
    objective_factor: f64,
    seed: u64,
    rows: &mut Vec<Vec<String>>,
    findings: &mut Vec<String>,
) {
    let ours = run(d, seed, Policy::Ours);
    let raw = run(d, seed, Policy::RawReadings);
    let guard_only = run(d, seed, Policy::GuardOnly);
    let best = |make: fn(u32) -> Policy| {
        let runs = STATIC_CAPS_PERCENT.iter().map(|cap| run(d, seed, make(*cap)));
        let within_objective = runs.filter(|r| r.p99_us as f64 <= d.objective_us);
        within_objective.max_by(|a, b| a.work_core_s.total_cmp(&b.work_core_s))
    };
    let first_fit = best(Policy::FirstFit);
    let random = best(Policy::RandomOfTwo);
    let best_runs = [&first_fit, &random].into_iter().flatten();
    let baseline = best_runs.map(|r| r.work_core_s).fold(0.0, f64::max);
    let more = match baseline > 0.0 {
        true => format!("{:.0}% more batch than", (ours.work_core_s / baseline - 1.0) * 100.0),
        false => "batch, and not one static cap keeps the objective as".to_string(),
    };
    findings.push(format!(
        "{} at {objective_factor}x alone: {more} the best baseline that keeps the objective (aim 30%); p99 \
         {:.2} of the objective; evictions {:.2} of raw readings' (aim under 0.5)",
        d.name,
        ours.p99_us as f64 / d.objective_us,
        ours.evictions as f64 / raw.evictions.max(1) as f64,
    ));
    let all = [Some(ours), first_fit, random, Some(guard_only), Some(raw)];
    rows.extend(all.into_iter().flatten().map(|r| row(d, objective_factor, &r)));
}

fn row(d: &Deployment, objective_factor: f64, r: &PolicyResult) -> Vec<String> {
    vec![
        d.name.to_string(),
        format!("{objective_factor}"),
        r.name.clone(),
        format!("{:.2}", r.p99_us as f64 / d.objective_us),
        format!("{:.1}", r.work_core_s / 3600.0),
        r.evictions.to_string(),
        r.finished.to_string(),
    ]
}

fn run(d: &Deployment, seed: u64, policy: Policy) -> PolicyResult {
    let mut site = Site::open(d, seed, ChaCha8Rng::seed_from_u64(seed));
    let mut learned = LearnedState {
        pairing: interference::InterferenceModel::default(),
        exposures: (0..d.workers).map(|_| interference::ExposureHistory::default()).collect(),
        guards: vec![guard::TailGuard::default(); d.workers],
        tail: tail::TailController::default(),
    };
    while site.now_ms < RUN_MS {
        let readings = site.step();
        for (worker, reading) in readings {
            react(&mut site, &mut learned, policy, worker, &reading);
        }
        place_all(&mut site, &learned, policy);
        for i in 0..d.workers {
            let shares = site.shares(i);
            learned.exposures[i].record(wire::WorkerClock(site.now_ms), shares);
        }
    }
    PolicyResult {
        name: format!("{policy:?}"),
        p99_us: site.totals.latency_us.value_at_quantile(0.99),
        work_core_s: site.totals.work_core_s,
        evictions: site.totals.evictions,
        finished: site.totals.finished,
    }
}

fn react(site: &mut Site, learned: &mut LearnedState, policy: Policy, worker: usize, r: &Reading) {
    match policy {
        Policy::FirstFit(_) | Policy::RandomOfTwo(_) => {}
        Policy::RawReadings => react_raw(site, worker, r),
        Policy::Ours | Policy::GuardOnly => {
            let service = site.deployment.service.clone();
            let band = interference::LoadBand::of(r.load);
            if let Some(shares) = learned.exposures[worker].during(r.taken, WINDOW_MS) {
                learned.pairing.observe(&service, shares, band, r.p99_us);
            }
            let now = time::Instant(site.now_ms);
            learned.tail.observe(now, r.p50_us, r.p99_us, site.deployment.objective_us);
            react_guarded(site, learned, worker, r, band);
        }
    }
}

/// Reacts as the `RawReadings` baseline, which treats each delayed measurement as current.
fn react_raw(site: &mut Site, worker: usize, r: &Reading) {
    let high = r.p99_us > site.deployment.objective_us * 0.95;
    let speeds: Vec<u32> = site.workers[worker].tasks.iter().map(|t| t.speed).collect();
    let all_slow = speeds.iter().all(|s| *s <= 100);
    if high && all_slow && !speeds.is_empty() {
        site.evict(worker, 0, true);
    }
    for t in &mut site.workers[worker].tasks {
        t.speed = if high { (t.speed / 2).max(100) } else { (t.speed + 150).min(1000) };
    }
}

fn react_guarded(
    site: &mut Site,
    learned: &mut LearnedState,
    worker: usize,
    r: &Reading,
    band: interference::LoadBand,
) {
    let ceiling_us = learned.ceiling_us(site);
    let service = site.deployment.service.clone();
    let alone_us = learned.pairing.baseline_us(&service, band).unwrap_or(0.0);
    let seen =
        guard::TailMeasurement { worst: r.p99_us / ceiling_us, baseline: alone_us / ceiling_us };
    let guard = &mut learned.guards[worker];
    if site.workers[worker].tasks.is_empty() {
        guard.speed = guard::FULL_SPEED_PER_MILLE;
        return;
    }
    let now = wire::WorkerClock(site.now_ms);
    match guard.evaluate(now, r.taken, time::Millis(WINDOW_MS), seen) {
        guard::GuardAction::Nothing => {}
        guard::GuardAction::Speed(speed) => {
            site.workers[worker].tasks.iter_mut().for_each(|t| t.speed = speed);
        }
        guard::GuardAction::EvictOne => {
            let victims: Vec<guard::Victim> = site.workers[worker]
                .tasks
                .iter()
                .map(|t| victim(t, &service, &site.workers[worker].capacity, learned, band))
                .collect();
            if let Some(choice) = guard::choose_victim(&victims, 1.0) {
                site.evict(worker, choice, true);
            }
        }
    }
}

fn victim(
    t: &Task,
    service: &ids::ServiceId,
    capacity: &sizes::Resources,
    learned: &LearnedState,
    band: interference::LoadBand,
) -> guard::Victim {
    let share = f64::from(t.demand.cpu.0) / f64::from(capacity.cpu.0);
    let shares = vec![(t.class.clone(), share)];
    guard::Victim {
        unsaved_ms: (t.done_ms - t.saved_ms) as u64,
        evictions: t.evictions,
        urgent: false,
        interference: learned.pairing.slowdown(service, &shares, band) - 1.0,
    }
}

/// Places tasks until [`MAX_UNPLACED_PER_STEP`] of them have found no worker. Under every policy, a task is
/// skipped if one of the same class and of no greater demand has already failed in the same step.
fn place_all(site: &mut Site, learned: &LearnedState, policy: Policy) {
    let mut unplaced: Vec<Task> = Vec::new();
    while unplaced.len() < MAX_UNPLACED_PER_STEP {
        let task = site.next_task();
        let already_failed =
            unplaced.iter().any(|m| m.class == task.class && task.demand.holds(&m.demand));
        let chosen = if already_failed { None } else { choose(site, learned, policy, &task) };
        let Some(worker) = chosen else {
            unplaced.push(task);
            continue;
        };
        let mut task = task;
        task.speed = match policy {
            Policy::Ours | Policy::GuardOnly => learned.guards[worker].speed,
            _ => guard::FULL_SPEED_PER_MILLE,
        };
        site.workers[worker].tasks.push(task);
    }
    for task in unplaced {
        site.put_back(task);
    }
}

fn choose(site: &mut Site, learned: &LearnedState, policy: Policy, task: &Task) -> Option<usize> {
    let fits = |site: &Site, i: usize, cap: u32| {
        let batch: u32 = site.workers[i].tasks.iter().map(|t| t.demand.cpu.0).sum();
        let limit = u64::from(site.workers[i].capacity.cpu.0) * u64::from(cap) / 100;
        u64::from(batch + task.demand.cpu.0) <= limit
            && site.workers[i].capacity.holds(&site.used(i).plus(&task.demand))
    };
    match policy {
        Policy::FirstFit(cap) => (0..site.workers.len()).find(|i| fits(site, *i, cap)),
        Policy::RawReadings => (0..site.workers.len()).find(|i| fits(site, *i, 100)),
        Policy::GuardOnly => (0..site.workers.len()).find(|i| {
            learned.guards[*i].speed == guard::FULL_SPEED_PER_MILLE && fits(site, *i, 100)
        }),
        Policy::RandomOfTwo(cap) => {
            let count = site.workers.len();
            let two = [site.rng.random_range(0..count), site.rng.random_range(0..count)];
            let fitting = two.into_iter().filter(|i| fits(site, *i, cap));
            fitting.min_by_key(|i| site.used(*i).cpu)
        }
        Policy::Ours => choose_ours(site, learned, task),
    }
}

fn choose_ours(site: &mut Site, learned: &LearnedState, task: &Task) -> Option<usize> {
    let partitions = site.workers.len().div_ceil(WORKERS_PER_PARTITION);
    let partition = site.rng.random_range(0..partitions);
    let range = partition * WORKERS_PER_PARTITION
        ..((partition + 1) * WORKERS_PER_PARTITION).min(site.workers.len());
    let candidates: Vec<placement::Candidate> =
        range.clone().map(|i| candidate(site, learned, i)).collect();
    let want = placement::BatchDemand {
        class: &task.class,
        demand: task.demand,
        batch_cpu_percent: 100,
        tail_weight: 1.0,
    };
    placement::for_batch(&candidates, &want, &learned.pairing).map(|i| range.start + i)
}

fn candidate(site: &Site, learned: &LearnedState, i: usize) -> placement::Candidate {
    let w = &site.workers[i];
    let service = site.deployment.service.clone();
    let band = interference::LoadBand::of(site.load(i));
    let whole = f64::from(w.capacity.cpu.0);
    let mut shares = interference::BatchCpuShares::new();
    for t in &w.tasks {
        let share = f64::from(t.demand.cpu.0) / whole;
        match shares.iter_mut().find(|(class, _)| *class == t.class) {
            Some((_, sum)) => *sum += share,
            None => shares.push((t.class.clone(), share)),
        }
    }
    let unknown = w.tasks.iter().filter(|t| !learned.pairing.is_known(&service, &t.class, band));
    placement::Candidate {
        capacity: w.capacity,
        used: site.used(i),
        batch_cpu: sizes::MilliCores(w.tasks.iter().map(|t| t.demand.cpu.0).sum()),
        rack: ids::RackId::default(),
        unknown_tasks: unknown.count() as u32,
        services: vec![(service, band, learned.ceiling_us(site))],
        shares,
        throttled: learned.guards[i].speed < guard::FULL_SPEED_PER_MILLE,
    }
}
