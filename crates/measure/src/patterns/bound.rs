//! Estimates the most that a pattern's load could earn, by a clairvoyant packing of the same jobs.
//!
//! The packing knows each job's true sizes and ends. It assumes that there are no faults, that images do not
//! interfere, and that orders take no time. Tasks that reserve processors are packed onto the true workers,
//! large ones first, each by best fit. Best-effort tasks may use the sum of all idle processors, as if these
//! were divisible at will. The packing is tried with several shares of the fleet reserved for short tasks (not
//! used by long-running ones), with and without preemption of long-running tasks for short ones, and the best result
//! counts. What a policy earns less is its loss.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_jobs::JobKey;

use super::load::{Class, Load, TrueJob, BEGIN_MS, COOL_DOWN_MS, TRAFFIC_MS};
use super::tally::{self, ByClass};

/// The length of a time step, in milliseconds: well below the time to carry out an order and record its outcome.
const SLICE_MS: u64 = 10;

/// The shares of the workers that are reserved for short tasks; one packing is tried for each.
const RESERVED_SHARES: [f64; 5] = [0.0, 0.05, 0.1, 0.15, 0.2];

/// Returns an estimate of the most that the load could earn, as the mean over the three classes of the share of
/// the worth owed. It comes from a heuristic packing and is not a proven bound: tests check that policies do
/// not exceed it.
pub fn estimate(load: &Load) -> f64 {
    let mut best = 0.0_f64;
    for (reserved, preempts) in RESERVED_SHARES.into_iter().flat_map(|r| [(r, false), (r, true)]) {
        if best < 1.0 {
            best = best.max(Packing::new(load, reserved, preempts).run().mean);
        }
    }
    best
}

/// The free processors of some workers, in thousandths of a core, ordered by amount, each with its worker.
#[derive(Debug, Default)]
struct FreeCapacity(BTreeSet<(u32, usize)>);

impl FreeCapacity {
    /// Returns the worker with the least free processors that are enough for `cpu`, preceded by their amount.
    fn best_fit(&self, cpu: u32) -> Option<(u32, usize)> {
        self.0.range((cpu, 0)..).next().copied()
    }
}

/// A task that reserves processors. Tasks are placed in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReservingTask {
    /// Whether the task can no longer end before its job is due; such tasks are placed after all others.
    misses_due: bool,
    /// The processors that it asks for, in thousandths of a core; larger ones are placed first.
    cpu: std::cmp::Reverse<u32>,
    job: JobKey,
    step: usize,
    index: usize,
}

/// A running step of a best-effort job.
#[derive(Debug)]
struct BestEffortStep {
    job: JobKey,
    step: usize,
    left_core_ms: f64,
    cores: f64,
    /// The earliest time at which its longest task can end.
    not_before: u64,
}

/// One attempt to pack the load, with one share of reserved workers.
struct Packing<'a> {
    load: &'a Load,
    /// Whether a short task that fits nowhere displaces a long-running one.
    preempts: bool,
    now: u64,
    /// The free capacity for all tasks, and that which is reserved for short tasks.
    open: FreeCapacity,
    reserved: FreeCapacity,
    is_reserved: Vec<bool>,
    /// The free processors of each worker, in thousandths of a core.
    free: Vec<u32>,
    /// Waiting short and long-running tasks.
    short: BTreeSet<ReservingTask>,
    lasting: BTreeSet<ReservingTask>,
    /// Running tasks by their end, with their worker.
    ends: BTreeMap<(u64, ReservingTask), usize>,
    /// The number of unfinished tasks of each step of each job.
    left: Vec<Vec<u32>>,
    /// The number of each job's running tasks that reserve processors.
    running: Vec<u32>,
    best_effort: Vec<BestEffortStep>,
    completed: Vec<Option<u64>>,
    next_job: usize,
    capacity_changed: bool,
    earned: f64,
    owed: f64,
}

impl<'a> Packing<'a> {
    fn new(load: &'a Load, reserved: f64, preempts: bool) -> Self {
        // Reserved workers are spread evenly, so that all sizes of worker are among them.
        let is_reserved =
            |n: usize| ((n + 1) as f64 * reserved) as usize > (n as f64 * reserved) as usize;
        let is_reserved: Vec<bool> = (0..load.workers.len()).map(is_reserved).collect();
        let free_capacity = |reserved: bool| {
            let workers =
                load.workers.iter().enumerate().filter(|(n, _)| is_reserved[*n] == reserved);
            FreeCapacity(workers.map(|(n, w)| (w.capacity.cpu.0, n)).collect())
        };
        let steps = |job: &TrueJob| job.job.steps.iter().map(|s| s.count).collect();
        Self {
            load,
            preempts,
            now: BEGIN_MS,
            open: free_capacity(false),
            reserved: free_capacity(true),
            is_reserved,
            free: load.workers.iter().map(|w| w.capacity.cpu.0).collect(),
            short: BTreeSet::new(),
            lasting: BTreeSet::new(),
            ends: BTreeMap::new(),
            left: load.jobs.iter().map(steps).collect(),
            running: vec![0; load.jobs.len()],
            best_effort: Vec::new(),
            completed: vec![None; load.jobs.len()],
            next_job: 0,
            capacity_changed: false,
            earned: 0.0,
            owed: 0.0,
        }
    }

    fn run(mut self) -> ByClass {
        while self.now < BEGIN_MS + TRAFFIC_MS + COOL_DOWN_MS {
            self.end_tasks();
            self.submit_jobs();
            if self.capacity_changed {
                self.place();
            }
            self.run_best_effort();
            self.sample();
            self.now += SLICE_MS;
        }
        let (mut earned, mut owed) = tally::worth_of_finite_jobs(self.load, &self.completed);
        earned[Class::Lasting as usize] = self.earned;
        owed[Class::Lasting as usize] = self.owed;
        ByClass::shares(&earned, &owed)
    }

    /// Ends the tasks whose time is over.
    fn end_tasks(&mut self) {
        while let Some(entry) = self.ends.first_entry().filter(|e| e.key().0 <= self.now) {
            let ((at, task), worker) = entry.remove_entry();
            self.capacity_changed = true;
            self.set_free(worker, self.free[worker] + task.cpu.0);
            let key = task.job.0 as usize;
            self.running[key] -= 1;
            if self.load.jobs[key].class == Class::Lasting {
                continue;
            }
            self.left[key][task.step] -= 1;
            if self.left[key][task.step] == 0 {
                self.step_done(task.job, task.step, at);
            }
        }
    }

    /// Sets the free processors of a worker, in thousandths of a core.
    fn set_free(&mut self, worker: usize, free: u32) {
        let workers = if self.is_reserved[worker] { &mut self.reserved } else { &mut self.open };
        workers.0.remove(&(self.free[worker], worker));
        workers.0.insert((free, worker));
        self.free[worker] = free;
    }

    fn submit_jobs(&mut self) {
        while let Some(job) = self.load.jobs.get(self.next_job).filter(|j| j.arrives <= self.now) {
            self.next_job += 1;
            if !job.fails {
                self.begin(job.job.key, 0);
            }
        }
    }

    fn begin(&mut self, key: JobKey, step: usize) {
        self.capacity_changed = true;
        let job = self.load.job(key);
        let (spec, work_ms) = (&job.job.steps[step], &job.work_ms[step]);
        if job.class == Class::Batch {
            let cores = f64::from(spec.demand.cpu.0) / 1e3;
            let left_core_ms = work_ms.iter().sum::<u64>() as f64 * cores;
            let not_before = self.now + work_ms.iter().max().copied().unwrap_or(0);
            let cores = cores * f64::from(spec.count);
            self.best_effort.push(BestEffortStep {
                job: key,
                step,
                left_core_ms,
                cores,
                not_before,
            });
            return;
        }
        let cpu = std::cmp::Reverse(spec.demand.cpu.0);
        let tasks = (0..work_ms.len()).map(|index| ReservingTask {
            misses_due: false,
            cpu,
            job: key,
            step,
            index,
        });
        match job.class {
            Class::Lasting => self.lasting.extend(tasks),
            _ => self.short.extend(tasks),
        }
    }

    fn step_done(&mut self, key: JobKey, step: usize, at: u64) {
        let steps = &self.load.job(key).job.steps;
        let next = step + 1;
        if next < steps.len() {
            self.begin(key, next);
        } else {
            self.completed[key.0 as usize] = Some(at);
        }
    }

    /// Places waiting tasks: short ones on all workers, then long-running ones on those not reserved.
    fn place(&mut self) {
        self.capacity_changed = false;
        for task in std::mem::take(&mut self.short) {
            let job = self.load.job(task.job);
            let end = self.now + job.work_ms[task.step][task.index];
            let (open, reserved) =
                (self.open.best_fit(task.cpu.0), self.reserved.best_fit(task.cpu.0));
            let chosen = open.into_iter().chain(reserved).min();
            let chosen = chosen.or_else(|| self.preempt_for(task.cpu.0));
            if !self.place_at(task, chosen, end) {
                self.short.insert(ReservingTask { misses_due: end > job.due, ..task });
            }
        }
        for task in std::mem::take(&mut self.lasting) {
            let leaves = self.load.job(task.job).leaves;
            let chosen = self.open.best_fit(task.cpu.0);
            if leaves > self.now && !self.place_at(task, chosen, leaves) {
                self.lasting.insert(task);
            }
        }
    }

    /// Displaces the smallest long-running task that makes room for `cpu` on its worker, and returns that worker
    /// preceded by its free processors. The displaced task waits again, at no cost.
    fn preempt_for(&mut self, cpu: u32) -> Option<(u32, usize)> {
        if !self.preempts {
            return None;
        }
        let lasting = self.ends.iter().filter(|((_, task), &worker)| {
            self.load.job(task.job).class == Class::Lasting && self.free[worker] + task.cpu.0 >= cpu
        });
        let (&(end, task), &worker) = lasting.min_by_key(|((_, task), _)| task.cpu.0)?;
        self.ends.remove(&(end, task));
        self.running[task.job.0 as usize] -= 1;
        self.lasting.insert(task);
        let free = self.free[worker] + task.cpu.0;
        self.set_free(worker, free);
        Some((free, worker))
    }

    fn place_at(&mut self, task: ReservingTask, chosen: Option<(u32, usize)>, end: u64) -> bool {
        let Some((free, worker)) = chosen else { return false };
        self.set_free(worker, free - task.cpu.0);
        self.ends.insert((end, task), worker);
        self.running[task.job.0 as usize] += 1;
        true
    }

    /// Divides the idle processors of the fleet among best-effort steps, in the order in which their jobs are due.
    fn run_best_effort(&mut self) {
        let mut left = self.spare_cores() * SLICE_MS as f64;
        let load = self.load;
        self.best_effort.sort_by_key(|f| load.job(f.job).due);
        let mut done = Vec::new();
        for f in &mut self.best_effort {
            let used = (f.cores * SLICE_MS as f64).min(f.left_core_ms).min(left);
            left -= used;
            f.left_core_ms -= used;
            if f.left_core_ms <= 0.0 && f.not_before <= self.now + SLICE_MS {
                done.push((f.job, f.step));
            }
        }
        self.best_effort.retain(|f| !done.contains(&(f.job, f.step)));
        for (job, step) in done {
            self.step_done(job, step, self.now + SLICE_MS);
        }
    }

    /// Returns the idle processors of the whole fleet in cores, including those that long-running tasks reserve
    /// but do not use.
    fn spare_cores(&self) -> f64 {
        let free: u32 = self.free.iter().sum();
        let idle = |(n, &count): (usize, &u32)| {
            let job = &self.load.jobs[n];
            let reserved = f64::from(count * job.job.steps[0].demand.cpu.0) / 1e3;
            reserved * (1.0 - job.load_oscillation.at(self.now))
        };
        let lasting =
            |(n, count): &(usize, &u32)| **count > 0 && self.load.jobs[*n].class == Class::Lasting;
        let running = self.running[..self.next_job].iter().enumerate();
        f64::from(free) / 1e3 + running.filter(lasting).map(idle).sum::<f64>()
    }

    /// Samples the running long-running tasks at the same times as a simulation does.
    fn sample(&mut self) {
        if !tally::is_sample_due(self.now) {
            return;
        }
        let known = &self.load.jobs[..self.next_job];
        for (n, job) in known.iter().enumerate().filter(|(_, j)| tally::is_owed(j, self.now)) {
            self.owed += job.weight;
            self.earned += f64::from(self.running[n]);
        }
    }
}
