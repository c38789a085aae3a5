//! What the shares of classes of work in a pool depend on and cause: which class reserves the
//! processors of a worker, how much short work gets through, and where shares are enforced.

use std::collections::BTreeMap;

use gaplock_jobs::{JobKey, TaskKey};
use gaplock_overload::summary::WorkClass;
use gaplock_types::ids;
use gaplock_types::sizes::{MilliCores, Resources};
use gaplock_types::time::{Instant, Millis};
use rustc_hash::FxHashMap;

use crate::interface::message::{Run, WorkerIx};

/// Work of one class and priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassPriority {
    /// The class.
    pub class: WorkClass,
    /// The priority of the queue; 0 goes first.
    pub priority: u32,
}

/// The processors that the runs on a worker reserve, in thousandths of a core; one entry for each
/// class and priority that occurs there.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ReservedCpu(Vec<(ClassPriority, u64)>);

impl ReservedCpu {
    /// Adds the reservation of a run.
    pub fn add(&mut self, of: ClassPriority, cpu: MilliCores) {
        if cpu.0 == 0 {
            return;
        }
        match self.0.iter_mut().find(|(known, _)| *known == of) {
            Some((_, sum)) => *sum += u64::from(cpu.0),
            None => self.0.push((of, u64::from(cpu.0))),
        }
    }

    /// Removes the reservation of a run.
    pub fn remove(&mut self, of: ClassPriority, cpu: MilliCores) {
        for (known, sum) in &mut self.0 {
            if *known == of {
                *sum = sum.saturating_sub(u64::from(cpu.0));
            }
        }
        self.0.retain(|(_, sum)| *sum > 0);
    }

    /// Iterates over the sums.
    pub fn iter(&self) -> impl Iterator<Item = (ClassPriority, u64)> + '_ {
        self.0.iter().copied()
    }

    /// Returns the sum of a class over all priorities.
    pub fn of_class(&self, class: WorkClass) -> u64 {
        self.iter().filter(|(of, _)| of.class == class).map(|(_, sum)| sum).sum()
    }
}

/// The time after which started work counts half in the average. It is somewhat longer than a short
/// task runs, so that a pool that lost workers is seen to be slower within about a second.
const RATE_HALF_LIFE_S: f64 = 1.0;

/// A moving average of work per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkRate {
    core_ms_per_s: f64,
    at: Instant,
}

impl WorkRate {
    /// Creates the average of a time in which nothing happened.
    pub fn zero(now: Instant) -> Self {
        Self { core_ms_per_s: 0.0, at: now }
    }

    /// Adds work, in core milliseconds.
    pub fn add(&mut self, now: Instant, core_ms: f64) {
        let added = core_ms * std::f64::consts::LN_2 / RATE_HALF_LIFE_S;
        *self = Self { core_ms_per_s: self.core_ms_per_s(now) + added, at: now };
    }

    /// Returns the average in core milliseconds per second, which is also the mean number of
    /// processors in use, in thousandths of a core.
    pub fn core_ms_per_s(&self, now: Instant) -> f64 {
        let half_lives = now.since(self.at).0 as f64 / 1_000.0 / RATE_HALF_LIFE_S;
        self.core_ms_per_s * (-half_lives).exp2()
    }
}

/// The time for which shares of a pool are enforced.
#[derive(Debug, Clone)]
pub struct Enforcement {
    /// When it began.
    pub since: Instant,
    /// When short tasks were last found to have waited too long.
    pub short_waited_at: Instant,
    /// Since when each check has found that short tasks had waited too long.
    pub short_waits_since: Option<Instant>,
    /// How many more processors long-running tasks of each priority may take, in thousandths of a
    /// core; updated by each check, and reduced by each start.
    pub headroom: BTreeMap<u32, u64>,
    /// The smallest demand of a short task that had waited too long when such tasks last waited.
    pub smallest_waiting: MilliCores,
    /// How many tasks have been preempted.
    pub preempted: u32,
}

/// A stop of a long-running task that makes room for short tasks and has not ended.
#[derive(Debug, Clone, Copy)]
pub struct Preemption {
    /// The worker.
    pub worker: WorkerIx,
    /// The task.
    pub task: TaskKey,
    /// The run that is being stopped.
    pub run: Run,
    /// The priority of its queue.
    pub priority: u32,
    /// What it reserves.
    pub reservation: Resources,
    /// When the stop was ordered.
    pub ordered_at: Instant,
}

/// The shares of one pool.
#[derive(Debug, Clone, Default)]
pub struct PoolShares {
    /// The short work that was started, by priority.
    pub short_started: BTreeMap<u32, WorkRate>,
    /// Set while shares are enforced.
    pub enforcement: Option<Enforcement>,
    /// The preemptions whose stop has not ended.
    pub under_way: Vec<Preemption>,
    /// When a task of each job was last preempted; dropped after the cool-down.
    pub preempted_at: FxHashMap<JobKey, Instant>,
}

/// The shares of all pools.
#[derive(Debug, Default)]
pub struct ClassShares {
    /// The pools in which a short task has started or shares were enforced.
    pub pools: FxHashMap<ids::ServiceId, PoolShares>,
    /// When they were last checked.
    pub checked_at: Instant,
}

impl ClassShares {
    /// Returns the enforcement of a pool's shares, while there is one.
    pub fn enforcement(&self, pool: &ids::ServiceId) -> Option<&Enforcement> {
        self.pools.get(pool)?.enforcement.as_ref()
    }

    /// Returns a pool for modification.
    pub fn pool_mut(&mut self, pool: &ids::ServiceId) -> &mut PoolShares {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), PoolShares::default());
        }
        self.pools.get_mut(pool).expect("the pool was just added")
    }
}

/// How much longer than the longest stop a preemption is expected to free processors.
const STOP_MARGIN: Millis = Millis(1_000);

impl Preemption {
    /// Returns whether the stop may still be expected to end soon. A worker that does not answer or
    /// refuses the stop keeps the run for longer.
    pub fn is_expected(&self, now: Instant, stop_limit: Millis) -> bool {
        now.since(self.ordered_at).0 < stop_limit.0 + STOP_MARGIN.0
    }
}
