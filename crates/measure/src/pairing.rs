//! Batch throughput and evictions at the service's objective, ours against four baselines.

use gaplock_policy::{guard, interference, placement, tail};
use gaplock_types::{ids, sizes, time, wire};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::Report;
use crate::site::{self, Deployment, Reading, Site, Task, WINDOW_MS};

const RUN_MS: u64 = 900_000;
/// Waiting tasks that a step looks at.
const MAX_UNPLACED_PER_STEP: usize = 24;
/// Workers of one partition; a decision looks at no others.
const WORKERS_PER_PARTITION: usize = 16;
const STATIC_CAPS_PERCENT: [u32; 9] = [3, 6, 10, 15, 20, 30, 45, 60, 75];
/// Objectives as multiples of the 99th percentile alone.
const OBJECTIVE_FACTORS: [f64; 3] = [1.6, 2.0, 3.0];

/// A way to decide.
#[derive(Debug, Clone, Copy)]
enum Policy {
    /// Learnt pairs, lag-aware guard.
    Ours,
    /// First fit by declared size, batch capped at a share of the processors.
    FirstFit(u32),
    /// The emptier of two random workers, capped likewise.
    RandomOfTwo(u32),
    /// First fit, and each late reading above the objective slows or evicts at once.
    RawReadings,
    /// The guard alone, without knowledge of pairs.
    GuardOnly,
}

struct Result {
    name: String,
    p99_us: u64,
    work_core_s: f64,
    evictions: u64,
    finished: u64,
}

/// What `Policy::Ours` has learnt.
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
    for room in OBJECTIVE_FACTORS {
        for d in site::deployments(room) {
            compare(&d, room, seed, &mut rows, &mut findings);
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
    room: f64,
    seed: u64,
    rows: &mut Vec<Vec<String>>,
    findings: &mut Vec<String>,
) {
    let ours = run(d, seed, Policy::Ours);
    let raw = run(d, seed, Policy::RawReadings);
    let guard_only = run(d, seed, Policy::GuardOnly);
    let best = |make: fn(u32) -> Policy| {
        let runs = STATIC_CAPS_PERCENT.iter().map(|cap| run(d, seed, make(*cap)));
        let kept = runs.filter(|r| r.p99_us as f64 <= d.objective_us);
        kept.max_by(|a, b| a.work_core_s.total_cmp(&b.work_core_s))
    };
    let first_fit = best(Policy::FirstFit);
    let random = best(Policy::RandomOfTwo);
    let kept = [&first_fit, &random].into_iter().flatten();
    let baseline = kept.map(|r| r.work_core_s).fold(0.0, f64::max);
    let more = match baseline > 0.0 {
        true => format!("{:.0}% more batch than", (ours.work_core_s / baseline - 1.0) * 100.0),
        false => "batch, and not one static cap keeps the objective as".to_string(),
    };
    findings.push(format!(
        "{} at {room}x alone: {more} the best baseline that keeps the objective (aim 30%); p99 \
         {:.2} of the objective; evictions {:.2} of raw readings' (aim under 0.5)",
        d.name,
        ours.p99_us as f64 / d.objective_us,
        ours.evictions as f64 / raw.evictions.max(1) as f64,
    ));
    let all = [Some(ours), first_fit, random, Some(guard_only), Some(raw)];
    rows.extend(all.into_iter().flatten().map(|r| row(d, room, &r)));
}

fn row(d: &Deployment, room: f64, r: &Result) -> Vec<String> {
    vec![
        d.name.to_string(),
        format!("{room}"),
        r.name.clone(),
        format!("{:.2}", r.p99_us as f64 / d.objective_us),
        format!("{:.1}", r.work_core_s / 3600.0),
        r.evictions.to_string(),
        r.finished.to_string(),
    ]
}

fn run(d: &Deployment, seed: u64, policy: Policy) -> Result {
    let mut site = Site::open(d, seed, ChaCha8Rng::seed_from_u64(seed));
    let mut learnt = LearnedState {
        pairing: interference::InterferenceModel::default(),
        exposures: (0..d.workers).map(|_| interference::ExposureHistory::default()).collect(),
        guards: vec![guard::TailGuard::default(); d.workers],
        tail: tail::TailController::default(),
    };
    while site.now_ms < RUN_MS {
        let readings = site.step();
        for (worker, reading) in readings {
            react(&mut site, &mut learnt, policy, worker, &reading);
        }
        place_all(&mut site, &learnt, policy);
        for i in 0..d.workers {
            let shares = site.shares(i);
            learnt.exposures[i].record(wire::WorkerClock(site.now_ms), shares);
        }
    }
    Result {
        name: format!("{policy:?}"),
        p99_us: site.totals.latency_us.value_at_quantile(0.99),
        work_core_s: site.totals.work_core_s,
        evictions: site.totals.evictions,
        finished: site.totals.finished,
    }
}

fn react(site: &mut Site, learnt: &mut LearnedState, policy: Policy, worker: usize, r: &Reading) {
    match policy {
        Policy::FirstFit(_) | Policy::RandomOfTwo(_) => {}
        Policy::RawReadings => react_raw(site, worker, r),
        Policy::Ours | Policy::GuardOnly => {
            let service = site.deployment.service.clone();
            let band = interference::LoadBand::of(r.load);
            if let Some(shares) = learnt.exposures[worker].during(r.taken, WINDOW_MS) {
                learnt.pairing.observe(&service, shares, band, r.p99_us);
            }
            let now = time::Instant(site.now_ms);
            learnt.tail.observe(now, r.p50_us, r.p99_us, site.deployment.objective_us);
            react_guarded(site, learnt, worker, r, band);
        }
    }
}

/// The baseline that believes each late reading at once.
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
    learnt: &mut LearnedState,
    worker: usize,
    r: &Reading,
    band: interference::LoadBand,
) {
    let ceiling_us = learnt.ceiling_us(site);
    let service = site.deployment.service.clone();
    let alone_us = learnt.pairing.baseline_us(&service, band).unwrap_or(0.0);
    let seen =
        guard::TailMeasurement { worst: r.p99_us / ceiling_us, baseline: alone_us / ceiling_us };
    let guard = &mut learnt.guards[worker];
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
                .map(|t| victim(t, &service, &site.workers[worker].capacity, learnt, band))
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
    learnt: &LearnedState,
    band: interference::LoadBand,
) -> guard::Victim {
    let share = f64::from(t.demand.cpu.0) / f64::from(capacity.cpu.0);
    let shares = vec![(t.class.clone(), share)];
    guard::Victim {
        unsaved_ms: (t.done_ms - t.saved_ms) as u64,
        evictions: t.evictions,
        urgent: false,
        interference: learnt.pairing.slowdown(service, &shares, band) - 1.0,
    }
}

/// Places tasks until as many as the queue shows have found no place. A shape that found none is
/// not tried again in the same step, for every policy alike.
fn place_all(site: &mut Site, learnt: &LearnedState, policy: Policy) {
    let mut misses: Vec<Task> = Vec::new();
    while misses.len() < MAX_UNPLACED_PER_STEP {
        let task = site.next_task();
        let known = misses.iter().any(|m| m.class == task.class && task.demand.holds(&m.demand));
        let chosen = if known { None } else { choose(site, learnt, policy, &task) };
        let Some(worker) = chosen else {
            misses.push(task);
            continue;
        };
        let mut task = task;
        task.speed = match policy {
            Policy::Ours | Policy::GuardOnly => learnt.guards[worker].speed,
            _ => guard::FULL_SPEED_PER_MILLE,
        };
        site.workers[worker].tasks.push(task);
    }
    for task in misses {
        site.put_back(task);
    }
}

fn choose(site: &mut Site, learnt: &LearnedState, policy: Policy, task: &Task) -> Option<usize> {
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
            learnt.guards[*i].speed == guard::FULL_SPEED_PER_MILLE && fits(site, *i, 100)
        }),
        Policy::RandomOfTwo(cap) => {
            let count = site.workers.len();
            let two = [site.rng.random_range(0..count), site.rng.random_range(0..count)];
            let fitting = two.into_iter().filter(|i| fits(site, *i, cap));
            fitting.min_by_key(|i| site.used(*i).cpu)
        }
        Policy::Ours => choose_ours(site, learnt, task),
    }
}

fn choose_ours(site: &mut Site, learnt: &LearnedState, task: &Task) -> Option<usize> {
    let partitions = site.workers.len().div_ceil(WORKERS_PER_PARTITION);
    let partition = site.rng.random_range(0..partitions);
    let range = partition * WORKERS_PER_PARTITION
        ..((partition + 1) * WORKERS_PER_PARTITION).min(site.workers.len());
    let candidates: Vec<placement::Candidate> =
        range.clone().map(|i| candidate(site, learnt, i)).collect();
    let want = placement::BatchDemand {
        class: &task.class,
        demand: task.demand,
        batch_cpu_percent: 100,
        tail_weight: 1.0,
    };
    placement::for_batch(&candidates, &want, &learnt.pairing).map(|i| range.start + i)
}

fn candidate(site: &Site, learnt: &LearnedState, i: usize) -> placement::Candidate {
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
    let unknown = w.tasks.iter().filter(|t| !learnt.pairing.is_known(&service, &t.class, band));
    placement::Candidate {
        capacity: w.capacity,
        used: site.used(i),
        batch_cpu: sizes::MilliCores(w.tasks.iter().map(|t| t.demand.cpu.0).sum()),
        rack: ids::RackId::default(),
        unknown_tasks: unknown.count() as u32,
        services: vec![(service, band, learnt.ceiling_us(site))],
        shares,
        throttled: learnt.guards[i].speed < guard::FULL_SPEED_PER_MILLE,
    }
}
