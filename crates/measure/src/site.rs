//! A simulated site on virtual time: each worker runs a service and batch tasks that interfere with it.
//!
//! The simulation rests on the following assumptions. The policies are not tuned to them, and the seed varies
//! what is drawn at random:
//! - The worker stand-in's interference model has hidden coefficients that vary over time.
//! - Without batch tasks, a service's 99th percentile grows with the square of its load.
//! - The load of each worker oscillates with a period of five minutes.
//! - Latency measurements arrive three seconds late with five per cent of noise.
//! - Tasks write a checkpoint after every thirty seconds of work.

use std::collections::VecDeque;

use gaplock_standin::interference;
use gaplock_types::{ids, sizes, wire};
use hdrhistogram::Histogram;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::draw;

/// The length of a simulation step, in milliseconds.
pub const STEP_MS: u64 = 500;
/// The window that a latency measurement covers, in milliseconds.
pub const WINDOW_MS: u64 = 1_000;
/// The delay until a measurement reaches the policy, in milliseconds.
pub const MEASUREMENT_LAG_MS: u64 = 3_000;
/// The standard deviation of the noise of a measurement, as a share of its value.
const MEASUREMENT_NOISE: f64 = 0.05;
/// The interval at which a batch task writes a checkpoint, in milliseconds of work.
const CHECKPOINT_INTERVAL_MS: f64 = 30_000.0;
/// The period in which the load of a service oscillates, in milliseconds.
const LOAD_PERIOD_MS: f64 = 300_000.0;
/// The latencies that are recorded for each worker and step.
const LATENCIES_PER_STEP: usize = 4;
/// The number of classes of batch tasks.
const BATCH_CLASSES: u64 = 6;
/// The standard deviation of the logarithm of latencies.
const LATENCY_SIGMA: f64 = 0.5;
/// The 99th percentile of the standard normal distribution.
const STANDARD_NORMAL_P99: f64 = 2.326;
/// The service's 99th percentile latency without load and without batch tasks, in microseconds.
pub const UNLOADED_P99_US: f64 = 10_000.0;

/// A batch task.
#[derive(Debug, Clone)]
pub struct Task {
    /// The batch class, which determines how much the task interferes.
    pub class: ids::BatchClass,
    /// The resources that it reserves.
    pub demand: sizes::Resources,
    /// Its total work, in milliseconds at full speed.
    pub work_ms: f64,
    /// The work done so far, in milliseconds.
    pub done_ms: f64,
    /// The work covered by its last checkpoint, in milliseconds.
    pub saved_ms: f64,
    /// How often it has been evicted.
    pub evictions: u32,
    /// Its speed, in thousandths of full speed.
    pub speed: u32,
}

/// A latency measurement of a service, which reaches the policy with a delay.
#[derive(Debug, Clone)]
pub struct Reading {
    /// When the measurement window ended, by the worker's clock.
    pub taken: wire::WorkerClock,
    /// The measured median, in microseconds.
    pub p50_us: f64,
    /// The measured 99th percentile, in microseconds.
    pub p99_us: f64,
    /// The service's load at that time, 0 to 1.
    pub load: f64,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// Its total resources.
    pub capacity: sizes::Resources,
    /// The resources that the service reserves.
    pub service: sizes::Resources,
    /// The batch tasks that it runs.
    pub tasks: Vec<Task>,
    phase: f64,
    readings: VecDeque<Reading>,
    last_reading_ms: u64,
}

/// A deployment that the project must serve: one service and its workers.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name in the report.
    pub name: &'static str,
    /// The latency-critical service on every worker.
    pub service: ids::ServiceId,
    /// The number of workers.
    pub workers: usize,
    /// The capacity of each worker.
    pub capacity: sizes::Resources,
    /// The objective for the service's 99th percentile latency, in microseconds.
    pub objective_us: f64,
}

/// Returns both required deployments at their full sizes. The latency objective is `objective_factor`
/// times the service's 99th percentile without load and without batch tasks.
pub fn deployments(objective_factor: f64) -> Vec<Deployment> {
    vec![
        Deployment {
            name: "coldtrace",
            service: "coldtrace".into(),
            workers: 65,
            capacity: sizes::Resources::new(16_000, 60 * 1024, 0),
            objective_us: UNLOADED_P99_US * objective_factor,
        },
        Deployment {
            name: "booking",
            service: "booking".into(),
            workers: 50,
            capacity: sizes::Resources::new(64_000, 250 * 1024, 0),
            objective_us: UNLOADED_P99_US * objective_factor,
        },
    ]
}

/// The totals that a run collects.
#[derive(Debug)]
pub struct Totals {
    /// Latencies of the service's requests, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Batch work done and not lost, in core seconds.
    pub work_core_s: f64,
    /// The number of evictions.
    pub evictions: u64,
    /// Batch work lost to evictions, in core seconds.
    pub lost_core_s: f64,
    /// The number of finished tasks.
    pub finished: u64,
}

/// The state of a simulated site.
pub struct Site {
    /// The deployment that the site simulates.
    pub deployment: Deployment,
    /// The virtual time, in milliseconds.
    pub now_ms: u64,
    /// All workers of the site.
    pub workers: Vec<Worker>,
    /// Tasks that wait after an eviction or because no worker had free capacity. The supply of new tasks
    /// is endless.
    pub evicted: VecDeque<Task>,
    /// The totals so far.
    pub totals: Totals,
    /// The random number generator for everything drawn at the site.
    pub rng: ChaCha8Rng,
    seed: u64,
}

impl Site {
    /// Builds a site whose workers run no batch tasks yet.
    pub fn open(deployment: &Deployment, seed: u64, mut rng: ChaCha8Rng) -> Self {
        let cpu = deployment.capacity.cpu.0;
        let service = sizes::Resources::new(cpu / 4, deployment.capacity.mem.0 / 4, 0);
        let workers = (0..deployment.workers)
            .map(|_| Worker {
                capacity: deployment.capacity,
                service,
                tasks: Vec::new(),
                phase: rng.random_range(0.0..LOAD_PERIOD_MS),
                readings: VecDeque::new(),
                last_reading_ms: 0,
            })
            .collect();
        let latency_us = Histogram::new_with_bounds(1, 60_000_000, 3)
            .expect("the histogram's constant bounds are valid");
        let totals =
            Totals { latency_us, work_core_s: 0.0, evictions: 0, lost_core_s: 0.0, finished: 0 };
        Self {
            deployment: deployment.clone(),
            now_ms: 0,
            workers,
            evicted: VecDeque::new(),
            totals,
            rng,
            seed,
        }
    }

    /// Returns the next task to place: a waiting one if there is any, otherwise a newly drawn one.
    pub fn next_task(&mut self) -> Task {
        if let Some(task) = self.evicted.pop_front() {
            return task;
        }
        let scale = self.deployment.capacity.cpu.0 / 16_000;
        let cores = self.rng.random_range(1..=4) * scale.max(1);
        let class = self.rng.random_range(0..BATCH_CLASSES);
        Task {
            class: ids::BatchClass(format!("class-{class}")),
            demand: sizes::Resources::new(cores * 1000, cores * 2048, 0),
            work_ms: self.rng.random_range(30_000.0..240_000.0),
            done_ms: 0.0,
            saved_ms: 0.0,
            evictions: 0,
            speed: 1000,
        }
    }

    /// Returns a task to the queue because no worker could run it.
    pub fn put_back(&mut self, task: Task) {
        self.evicted.push_back(task);
    }

    /// Evicts a task from a worker. If `orderly`, it writes a checkpoint first and loses no work; otherwise
    /// it falls back to its last checkpoint.
    pub fn evict(&mut self, worker: usize, index: usize, orderly: bool) {
        let mut task = self.workers[worker].tasks.swap_remove(index);
        let cores = f64::from(task.demand.cpu.0) / 1000.0;
        if orderly {
            task.saved_ms = task.done_ms;
        }
        self.totals.evictions += 1;
        self.totals.lost_core_s += (task.done_ms - task.saved_ms) / 1000.0 * cores;
        self.totals.work_core_s -= (task.done_ms - task.saved_ms) / 1000.0 * cores;
        task.done_ms = task.saved_ms;
        task.evictions += 1;
        task.speed = 1000;
        self.evicted.push_back(task);
    }

    /// Returns the current load of a worker's service, 0 to 1.
    pub fn load(&self, worker: usize) -> f64 {
        let cycles = (self.now_ms as f64 + self.workers[worker].phase) / LOAD_PERIOD_MS;
        0.45 + 0.35 * (cycles * std::f64::consts::TAU).sin()
    }

    fn p99_us(&self, worker: usize) -> f64 {
        let load = self.load(worker);
        let shares = self.shares(worker);
        let service = &self.deployment.service;
        let factor = interference::slowdown(self.seed, service, &shares, self.now_ms);
        UNLOADED_P99_US * (1.0 + 0.5 * load * load) * factor
    }

    /// Returns the share of a worker's processors that each batch class uses.
    pub fn shares(&self, worker: usize) -> Vec<(ids::BatchClass, f64)> {
        let w = &self.workers[worker];
        let whole = f64::from(w.capacity.cpu.0);
        let mut shares: Vec<(ids::BatchClass, f64)> = Vec::new();
        for t in &w.tasks {
            let share = f64::from(t.demand.cpu.0) / whole * f64::from(t.speed) / 1000.0;
            match shares.iter_mut().find(|(class, _)| *class == t.class) {
                Some((_, sum)) => *sum += share,
                None => shares.push((t.class.clone(), share)),
            }
        }
        shares
    }

    /// Advances the time by one step and returns the measurements that arrive, each with its worker.
    pub fn step(&mut self) -> Vec<(usize, Reading)> {
        self.now_ms += STEP_MS;
        let mut arrived = Vec::new();
        for i in 0..self.workers.len() {
            let p99_us = self.p99_us(i);
            self.draw_latencies(p99_us);
            self.run_tasks(i);
            if self.now_ms - self.workers[i].last_reading_ms >= WINDOW_MS {
                let noise = 1.0 + MEASUREMENT_NOISE * draw::normal(&mut self.rng);
                let taken = wire::WorkerClock(self.now_ms);
                let p99_us = p99_us * noise;
                let p50_us = p99_us / (LATENCY_SIGMA * STANDARD_NORMAL_P99).exp();
                let reading = Reading { taken, p50_us, p99_us, load: self.load(i) };
                let w = &mut self.workers[i];
                w.last_reading_ms = self.now_ms;
                w.readings.push_back(reading);
            }
            let w = &mut self.workers[i];
            let due = |r: &Reading| r.taken.0 + MEASUREMENT_LAG_MS <= self.now_ms;
            while w.readings.front().is_some_and(due) {
                arrived.extend(w.readings.pop_front().map(|r| (i, r)));
            }
        }
        arrived
    }

    /// Records latencies drawn from a log-normal distribution with the given 99th percentile.
    fn draw_latencies(&mut self, p99_us: f64) {
        let median = p99_us / (LATENCY_SIGMA * STANDARD_NORMAL_P99).exp();
        for _ in 0..LATENCIES_PER_STEP {
            let latency = median * (LATENCY_SIGMA * draw::normal(&mut self.rng)).exp();
            self.totals.latency_us.saturating_record(latency.max(1.0) as u64);
        }
    }

    fn run_tasks(&mut self, worker: usize) {
        let totals = &mut self.totals;
        self.workers[worker].tasks.retain_mut(|t| {
            let work = (STEP_MS as f64 * f64::from(t.speed) / 1000.0).min(t.work_ms - t.done_ms);
            t.done_ms += work;
            totals.work_core_s += work / 1000.0 * f64::from(t.demand.cpu.0) / 1000.0;
            t.saved_ms = t
                .saved_ms
                .max((t.done_ms / CHECKPOINT_INTERVAL_MS).floor() * CHECKPOINT_INTERVAL_MS);
            let finished = t.done_ms >= t.work_ms;
            totals.finished += u64::from(finished);
            !finished
        });
    }

    /// Returns the resources reserved on a worker by the service and the batch tasks.
    pub fn used(&self, worker: usize) -> sizes::Resources {
        let w = &self.workers[worker];
        w.tasks.iter().fold(w.service, |sum, t| sum.plus(&t.demand))
    }
}
