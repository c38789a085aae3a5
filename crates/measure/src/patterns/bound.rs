//! What a pattern's load would earn at best: a clairvoyant packing of the same jobs.
//!
//! It knows each job's true sizes and ends, nothing goes wrong, no image disturbs another, and orders take no
//! time. What reserves processors is packed onto the true workers, large pieces first, each into the smallest
//! room that holds it; what fills is a fluid in whatever the fleet leaves in sum. How much of the fleet to keep
//! from lasting tasks for short ones is tried, and the best counts. What a policy earns less is its loss.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_jobs::JobKey;

use super::load::{Class, Load, TrueJob, BEGIN_MS, COOL_DOWN_MS, TRAFFIC_MS};
use super::tally::{self, ByClass};

/// How finely time goes on, in milliseconds: well below what an order takes to be carried out and noted.
const SLICE_MS: u64 = 10;

/// The parts of the workers that are kept from lasting tasks, one try each.
const RESERVED_SHARES: [f64; 5] = [0.0, 0.05, 0.1, 0.15, 0.2];

/// Returns the best that the load could earn, as the mean share of what is owed to the three classes. It is a
/// packing and no proof: tests hold it against what policies get.
pub fn estimate(load: &Load) -> f64 {
    let mut best = 0.0_f64;
    for kept in RESERVED_SHARES {
        if best < 1.0 {
            best = best.max(Packing::new(load, kept).run().mean);
        }
    }
    best
}

/// The free processors of some workers, in thousandths of a core, by size.
#[derive(Debug, Default)]
struct FreeCapacity(BTreeSet<(u32, usize)>);

impl FreeCapacity {
    /// Finds the smallest room that holds so much.
    fn best_fit(&self, cpu: u32) -> Option<(u32, usize)> {
        self.0.range((cpu, 0)..).next().copied()
    }
}

/// A task that wants processors of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Piece {
    /// Set where the job is late whatever is done: then others go first.
    misses_due: bool,
    /// What it asks for, the most first.
    cpu: std::cmp::Reverse<u32>,
    job: JobKey,
    step: usize,
    index: usize,
}

/// A step of a filling job that is under way.
#[derive(Debug)]
struct BestEffortStep {
    job: JobKey,
    step: usize,
    left_core_ms: f64,
    cores: f64,
    /// Its longest task ends then at the earliest.
    not_before: u64,
}

/// One try.
struct Packing<'a> {
    load: &'a Load,
    now: u64,
    /// The room for all, and that which is kept for short tasks.
    open: FreeCapacity,
    kept: FreeCapacity,
    is_kept: Vec<bool>,
    /// What is free on each worker, in thousandths of a core.
    free: Vec<u32>,
    /// Short and lasting tasks that wait.
    short: BTreeSet<Piece>,
    lasting: BTreeSet<Piece>,
    /// Tasks at work by their end, with their worker.
    ends: BTreeMap<(u64, Piece), usize>,
    /// How many tasks of each job's steps are not done.
    left: Vec<Vec<u32>>,
    /// How many of each job's tasks that reserve processors are at work.
    at_work: Vec<u32>,
    best_effort: Vec<BestEffortStep>,
    completed: Vec<Option<u64>>,
    next_job: usize,
    capacity_changed: bool,
    earned: f64,
    owed: f64,
}

impl<'a> Packing<'a> {
    fn new(load: &'a Load, kept: f64) -> Self {
        // Every so many workers one is kept, so that all sizes are among them.
        let is_kept = |n: usize| ((n + 1) as f64 * kept) as usize > (n as f64 * kept) as usize;
        let is_kept: Vec<bool> = (0..load.workers.len()).map(is_kept).collect();
        let room = |of: bool| {
            let workers = load.workers.iter().enumerate().filter(|(n, _)| is_kept[*n] == of);
            FreeCapacity(workers.map(|(n, w)| (w.capacity.cpu.0, n)).collect())
        };
        let steps = |job: &TrueJob| job.job.steps.iter().map(|s| s.count).collect();
        Self {
            load,
            now: BEGIN_MS,
            open: room(false),
            kept: room(true),
            is_kept,
            free: load.workers.iter().map(|w| w.capacity.cpu.0).collect(),
            short: BTreeSet::new(),
            lasting: BTreeSet::new(),
            ends: BTreeMap::new(),
            left: load.jobs.iter().map(steps).collect(),
            at_work: vec![0; load.jobs.len()],
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

    /// Ends what is over by now.
    fn end_tasks(&mut self) {
        while let Some(entry) = self.ends.first_entry().filter(|e| e.key().0 <= self.now) {
            let ((at, piece), worker) = entry.remove_entry();
            self.capacity_changed = true;
            self.set_free(worker, self.free[worker] + piece.cpu.0);
            let key = piece.job.0 as usize;
            self.at_work[key] -= 1;
            if self.load.jobs[key].class == Class::Lasting {
                continue;
            }
            self.left[key][piece.step] -= 1;
            if self.left[key][piece.step] == 0 {
                self.step_done(piece.job, piece.step, at);
            }
        }
    }

    /// Changes how much is free on a worker.
    fn set_free(&mut self, worker: usize, free: u32) {
        let room = if self.is_kept[worker] { &mut self.kept } else { &mut self.open };
        room.0.remove(&(self.free[worker], worker));
        room.0.insert((free, worker));
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
        let (of, works) = (&job.job.steps[step], &job.work_ms[step]);
        if job.class == Class::Batch {
            let cores = f64::from(of.demand.cpu.0) / 1e3;
            let left_core_ms = works.iter().sum::<u64>() as f64 * cores;
            let not_before = self.now + works.iter().max().copied().unwrap_or(0);
            let cores = cores * f64::from(of.count);
            self.best_effort.push(BestEffortStep {
                job: key,
                step,
                left_core_ms,
                cores,
                not_before,
            });
            return;
        }
        let cpu = std::cmp::Reverse(of.demand.cpu.0);
        let pieces =
            (0..works.len()).map(|index| Piece { misses_due: false, cpu, job: key, step, index });
        match job.class {
            Class::Lasting => self.lasting.extend(pieces),
            _ => self.short.extend(pieces),
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

    /// Places what waits: short tasks in all rooms, then lasting ones where they may.
    fn place(&mut self) {
        self.capacity_changed = false;
        for piece in std::mem::take(&mut self.short) {
            let job = self.load.job(piece.job);
            let end = self.now + job.work_ms[piece.step][piece.index];
            let (open, kept) = (self.open.best_fit(piece.cpu.0), self.kept.best_fit(piece.cpu.0));
            let chosen = open.into_iter().chain(kept).min();
            if !self.place_at(piece, chosen, end) {
                self.short.insert(Piece { misses_due: end > job.due, ..piece });
            }
        }
        for piece in std::mem::take(&mut self.lasting) {
            let leaves = self.load.job(piece.job).leaves;
            let chosen = self.open.best_fit(piece.cpu.0);
            if leaves > self.now && !self.place_at(piece, chosen, leaves) {
                self.lasting.insert(piece);
            }
        }
    }

    fn place_at(&mut self, piece: Piece, chosen: Option<(u32, usize)>, end: u64) -> bool {
        let Some((free, worker)) = chosen else { return false };
        self.set_free(worker, free - piece.cpu.0);
        self.ends.insert((end, piece), worker);
        self.at_work[piece.job.0 as usize] += 1;
        true
    }

    /// Lets what fills use what is left in sum, the job that is due first before others.
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

    /// Returns the processors that nothing uses in the whole fleet, in cores.
    fn spare_cores(&self) -> f64 {
        let free: u32 = self.free.iter().sum();
        let idle = |(n, &count): (usize, &u32)| {
            let job = &self.load.jobs[n];
            let reserved = f64::from(count * job.job.steps[0].demand.cpu.0) / 1e3;
            reserved * (1.0 - job.swing.at(self.now))
        };
        let lasting =
            |(n, count): &(usize, &u32)| **count > 0 && self.load.jobs[*n].class == Class::Lasting;
        let at_work = self.at_work[..self.next_job].iter().enumerate();
        f64::from(free) / 1e3 + at_work.filter(lasting).map(idle).sum::<f64>()
    }

    /// Counts the lasting tasks at work as often as in a play.
    fn sample(&mut self) {
        if !tally::is_sample_due(self.now) {
            return;
        }
        let known = &self.load.jobs[..self.next_job];
        for (n, job) in known.iter().enumerate().filter(|(_, j)| tally::is_owed(j, self.now)) {
            self.owed += job.weight;
            self.earned += f64::from(self.at_work[n]);
        }
    }
}
