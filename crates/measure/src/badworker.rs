//! Measures how many task runs are lost to a worker that fails everything it starts, against a first-fit
//! baseline that ignores failures.

use gaplock_policy::{health, interference, placement};
use gaplock_types::{ids, sizes, time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::Report;

/// The simulated time, in milliseconds.
const RUN_MS: u64 = 600_000;
/// The length of a simulation step, in milliseconds.
const STEP_MS: u64 = 500;
/// The number of workers in a partition; one decision considers only these.
const WORKERS_PER_PARTITION: usize = 16;
/// The index of the worker that fails everything.
const BAD_WORKER: usize = 3;
/// The capacity of each worker.
const CAPACITY: sizes::Resources = sizes::Resources::new(16_000, 60 * 1024, 0);
/// One job in this many is itself broken and fails on every worker.
const BROKEN_JOB_INTERVAL: u64 = 200;

struct Outcome {
    lost: u64,
    good_workers_quarantined: u64,
    broken_failed: u64,
    broken: u64,
}

/// Measures the lost task runs for fleets of 50 to 1,300 workers.
pub fn measure(seed: u64) -> Report {
    let mut rows = Vec::new();
    let mut worst = 0;
    for workers in [50, 200, 650, 1_300] {
        let ours = run(workers, seed, true);
        let plain = run(workers, seed, false);
        worst = worst.max(ours.lost);
        rows.push(vec![
            workers.to_string(),
            ours.lost.to_string(),
            plain.lost.to_string(),
            ours.good_workers_quarantined.to_string(),
            format!("{} of {}", ours.broken_failed, ours.broken),
        ]);
    }
    Report {
        name: "badworker",
        seed,
        headings: vec![
            "workers",
            "ours lost",
            "first fit lost",
            "good workers quarantined",
            "broken jobs given up",
        ],
        rows,
        findings: vec![format!(
            "at most {worst} task runs lost to the bad worker in {} minutes at any size (aim under \
             10)",
            RUN_MS / 60_000
        )],
    }
}

struct Running {
    job: u64,
    ends_ms: u64,
    demand: sizes::Resources,
}

/// A fleet with one worker that fails every task it starts.
struct Fleet {
    ours: bool,
    running: Vec<Vec<Running>>,
    quarantined: Vec<bool>,
    health: health::HealthTracker,
    waiting: Vec<u64>,
    out: Outcome,
}

fn run(workers: usize, seed: u64, ours: bool) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut next_job = 0_u64;
    let mut fleet = Fleet {
        ours,
        running: (0..workers).map(|_| Vec::new()).collect(),
        quarantined: vec![false; workers],
        health: health::HealthTracker::default(),
        waiting: Vec::new(),
        out: Outcome { lost: 0, good_workers_quarantined: 0, broken_failed: 0, broken: 0 },
    };
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        for i in 0..workers {
            fleet.end_runs(i, now);
        }
        // About one start per second for every eight workers keeps the fleet two thirds full.
        for _ in 0..(workers as u64 * STEP_MS).div_ceil(8_000) {
            next_job += 1;
            fleet.out.broken += u64::from(next_job.is_multiple_of(BROKEN_JOB_INTERVAL));
            fleet.waiting.push(next_job);
        }
        fleet.place_jobs(now, &mut rng);
    }
    fleet.out
}

impl Fleet {
    /// Ends the runs of worker `i` whose time is over, and its quarantine when it is due to end.
    fn end_runs(&mut self, i: usize, now: u64) {
        let at = time::Instant(now);
        let worker = ids::WorkerId(format!("w{i}"));
        let running = std::mem::take(&mut self.running[i]).into_iter();
        let (ended, left): (Vec<Running>, Vec<Running>) = running.partition(|r| r.ends_ms <= now);
        self.running[i] = left;
        for r in ended {
            if self.end_run(i, at, &worker, &r) {
                self.waiting.push(r.job);
            }
        }
        if self.quarantined[i] && self.health.end_quarantine_if_due(at, &worker) {
            self.quarantined[i] = false;
        }
    }

    /// Handles the end of a run. Returns whether its job must run again.
    fn end_run(
        &mut self,
        i: usize,
        at: time::Instant,
        worker: &ids::WorkerId,
        r: &Running,
    ) -> bool {
        let broken = r.job.is_multiple_of(BROKEN_JOB_INTERVAL);
        let job = job_id(r.job);
        if i != BAD_WORKER && !broken {
            self.health.record_success(worker, job);
            return false;
        }
        self.out.lost += u64::from(i == BAD_WORKER && !broken);
        match self.health.record_failure(at, worker, job) {
            health::FailureAction::FailJob if broken && self.ours => {
                self.out.broken_failed += 1;
                return false;
            }
            health::FailureAction::Quarantine if self.ours => {
                self.quarantined[i] = true;
                self.out.good_workers_quarantined += u64::from(i != BAD_WORKER);
            }
            _ => {}
        }
        true
    }

    /// Starts each waiting job for which a worker is found.
    fn place_jobs(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        for job in std::mem::take(&mut self.waiting) {
            let chosen = choose(&self.running, &self.quarantined, &self.health, self.ours, rng);
            let Some((i, demand)) = chosen else {
                self.waiting.push(job);
                continue;
            };
            let broken = job.is_multiple_of(BROKEN_JOB_INTERVAL);
            let runs_ms =
                if i == BAD_WORKER || broken { 200 } else { rng.random_range(20_000..60_000) };
            self.running[i].push(Running { job, ends_ms: now + runs_ms, demand });
        }
    }
}

fn job_id(number: u64) -> ids::JobId {
    ids::JobId { home: ids::PartitionId(0), number }
}

fn choose(
    fleet: &[Vec<Running>],
    quarantined: &[bool],
    health: &health::HealthTracker,
    ours: bool,
    rng: &mut ChaCha8Rng,
) -> Option<(usize, sizes::Resources)> {
    let demand = sizes::Resources::new(rng.random_range(1_000..3_000), 2_048, 0);
    let used =
        |i: usize| fleet[i].iter().fold(sizes::Resources::default(), |sum, r| sum.plus(&r.demand));
    if !ours {
        let fits = |i: &usize| CAPACITY.holds(&used(*i).plus(&demand));
        return (0..fleet.len()).find(fits).map(|i| (i, demand));
    }
    let partitions = fleet.len().div_ceil(WORKERS_PER_PARTITION);
    let p = rng.random_range(0..partitions);
    let range = p * WORKERS_PER_PARTITION..((p + 1) * WORKERS_PER_PARTITION).min(fleet.len());
    let usable: Vec<usize> = range
        .filter(|i| {
            let worker = ids::WorkerId(format!("w{i}"));
            !quarantined[*i] && (!health.on_probation(&worker) || fleet[*i].is_empty())
        })
        .collect();
    let candidates: Vec<placement::Candidate> = usable
        .iter()
        .map(|i| placement::Candidate {
            capacity: CAPACITY,
            used: used(*i),
            batch_cpu: used(*i).cpu,
            rack: ids::RackId::default(),
            services: Vec::new(),
            shares: Vec::new(),
            throttled: false,
            unknown_tasks: 0,
        })
        .collect();
    let class = ids::BatchClass::from("bundle");
    let want =
        placement::BatchDemand { class: &class, demand, batch_cpu_percent: 100, tail_weight: 1.0 };
    let choice =
        placement::for_batch(&candidates, &want, &interference::InterferenceModel::default())?;
    Some((usable[choice], demand))
}
