//! Accounts for the load of each queue and class of work, from the events of jobs and tasks.
//!
//! Each event costs a constant time. Sums are whole numbers, and each amount that an event adds is
//! taken away unchanged by a later one, so that no error builds up. Only the averages over recent
//! seconds are floating-point numbers.
//!
//! The backlog is kept as callers estimated it and corrected when it is read ([`corrected`]). A
//! better estimate ratio then applies to all waiting work at once, and no event has to remember
//! the ratio with which it added work.

use std::collections::BTreeMap;
use std::f64::consts::LN_2;

use gaplock_types::sizes::MilliCores;
use gaplock_types::time::{Instant, Millis};

use crate::summary::WorkClass;

/// The time after which an event counts half in an average. Bursts last 4 to 6 s, so an average
/// follows one while it lasts, and single jobs of 500 core seconds hardly show in it.
pub const HALF_LIFE: Millis = Millis(5_000);

/// How long an average must have been observed before it counts as complete: until then it is
/// computed as if it had been observed for this long, so that the first event is not taken for a
/// high rate.
const MIN_OBSERVED: Millis = Millis(1_000);

/// The bounds of the ratio of actual to estimated work.
const RATIO_BOUNDS: (f64, f64) = (0.25, 4.0);

/// The most work that one task is taken to be: two years of one core. The sum over 200 million
/// tasks, more than a leader has memory for, then fits whatever callers estimate.
const MAX_TASK_WORK: u64 = 1 << 36;

/// How many queues get accounts of their own. Queues come from the configuration; further ones
/// share the last account, so that no sequence of configurations takes up unbounded memory.
const MAX_QUEUES: usize = 256;

/// The classes of work, in the order of [`class_index`].
const CLASSES: [WorkClass; 3] = [WorkClass::Short, WorkClass::BestEffort, WorkClass::LongRunning];

/// Work in core milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct CoreMillis(pub u64);

impl CoreMillis {
    /// Returns the work of a task that uses `cpu` for `time`.
    pub fn of_task(cpu: MilliCores, time: Millis) -> Self {
        Self((u64::from(cpu.0).saturating_mul(time.0) / 1_000).min(MAX_TASK_WORK))
    }

    /// Returns the work of `count` such tasks.
    pub fn times(self, count: u64) -> Self {
        Self(self.0.saturating_mul(count))
    }
}

/// Returns work as callers estimated it, corrected by the ratio of actual to estimated work.
pub fn corrected(estimated: f64, ratio: f64) -> u64 {
    (estimated * ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1)) as u64
}

/// An amount per second, averaged over recent seconds with [`HALF_LIFE`].
#[derive(Debug, Clone, Copy, PartialEq)]
struct Average {
    /// The decayed sum, per second.
    per_s: f64,
    /// The share of the average that has been observed; the rest lies before the first observation.
    observed: f64,
    /// When both were last brought up to date.
    at: Instant,
}

/// Returns by which factor the past has decayed after `span`.
fn decay(span: Millis) -> f64 {
    (-(span.0 as f64) / HALF_LIFE.0 as f64).exp2()
}

impl Average {
    /// Begins to observe.
    fn open(now: Instant) -> Self {
        Self { per_s: 0.0, observed: 0.0, at: now }
    }

    /// Continues an average that was observed before.
    fn restored(now: Instant, per_s: f64) -> Self {
        Self { per_s, observed: 1.0, at: now }
    }

    /// Returns the sum and the observed share at a time.
    fn at(&self, now: Instant) -> (f64, f64) {
        let kept = decay(now.since(self.at));
        (self.per_s * kept, 1.0 - (1.0 - self.observed) * kept)
    }

    /// Adds an amount now.
    fn add(&mut self, now: Instant, amount: CoreMillis) {
        self.add_past(now, Millis(0), amount);
    }

    /// Adds an amount that was due `age` ago, and counts the time since then as observed.
    fn add_past(&mut self, now: Instant, age: Millis, amount: CoreMillis) {
        let (per_s, observed) = self.at(now);
        let weight = LN_2 / (HALF_LIFE.0 as f64 / 1_000.0) * decay(age);
        let observed = observed.max(1.0 - decay(age));
        *self = Self { per_s: per_s + amount.0 as f64 * weight, observed, at: now };
    }

    /// Returns the amount per second.
    fn get(&self, now: Instant) -> f64 {
        let (per_s, observed) = self.at(now);
        per_s / observed.max(1.0 - decay(MIN_OBSERVED))
    }
}

/// One queue in the account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QueueIx(u32);

/// One class of work of one queue in the account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassIx {
    queue: QueueIx,
    class: WorkClass,
}

impl QueueIx {
    /// Returns one class of work of the queue.
    pub fn class(self, class: WorkClass) -> ClassIx {
        ClassIx { queue: self, class }
    }
}

/// Returns the position of a class among the classes of a queue.
fn class_index(class: WorkClass) -> usize {
    match class {
        WorkClass::Short => 0,
        WorkClass::BestEffort => 1,
        WorkClass::LongRunning => 2,
    }
}

/// The sums of one class of work of one queue; they can be computed again from its jobs and tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassSums {
    /// Jobs that have been accepted and have not ended.
    pub jobs: u32,
    /// The time objectives of these jobs together, in milliseconds.
    pub objectives_ms: u64,
    /// The demand of all tasks that are at workers, in thousandths of a core.
    pub running_millicores: u64,
    /// The demand of all tasks that wait for a worker, in thousandths of a core.
    pub waiting_millicores: u64,
    /// The estimated work of all tasks that are not done.
    pub backlog: CoreMillis,
}

/// The account of one class of work of one queue.
#[derive(Debug, Clone, Copy)]
struct ClassAccount {
    sums: ClassSums,
    arriving: Average,
    completed: Average,
}

/// The load of one class of work of one queue at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassLoad<'a> {
    /// The queue.
    pub queue: &'a str,
    /// The class of work.
    pub class: WorkClass,
    /// Its sums, with the work as callers estimated it.
    pub sums: ClassSums,
    /// The estimated work that arrives, in core milliseconds per second.
    pub arriving: f64,
    /// The work that is completed, in core milliseconds per second.
    pub completed: f64,
}

/// The account of all queues.
#[derive(Debug)]
pub struct LoadAccount {
    opened_at: Instant,
    queues: BTreeMap<String, QueueIx>,
    names: Vec<String>,
    /// One element for each queue and class.
    accounts: Vec<ClassAccount>,
}

/// Subtracts an amount that was added before.
fn take_away(sum: &mut u64, amount: u64) {
    debug_assert!(*sum >= amount, "{amount} of {sum} is taken away");
    *sum = sum.saturating_sub(amount);
}

impl LoadAccount {
    /// Opens the account of a leader that knows no job yet.
    pub fn open(now: Instant) -> Self {
        Self { opened_at: now, queues: BTreeMap::new(), names: Vec::new(), accounts: Vec::new() }
    }

    /// Returns the position of a queue, which is added if it is new.
    pub fn queue(&mut self, name: &str) -> QueueIx {
        if let Some(&ix) = self.queues.get(name) {
            return ix;
        }
        if self.names.len() == MAX_QUEUES {
            return QueueIx(MAX_QUEUES as u32 - 1);
        }
        let ix = QueueIx(self.names.len() as u32);
        let average = Average::open(self.opened_at);
        let sums = ClassSums::default();
        let account = ClassAccount { sums, arriving: average, completed: average };
        self.accounts.extend([account; CLASSES.len()]);
        self.names.push(name.to_string());
        self.queues.insert(name.to_string(), ix);
        ix
    }

    fn position(at: ClassIx) -> usize {
        at.queue.0 as usize * CLASSES.len() + class_index(at.class)
    }

    fn account(&mut self, at: ClassIx) -> &mut ClassAccount {
        &mut self.accounts[Self::position(at)]
    }

    /// A job that has tasks of this class was accepted.
    pub fn job_accepted(&mut self, at: ClassIx, objective: Millis) {
        let sums = &mut self.account(at).sums;
        sums.jobs += 1;
        sums.objectives_ms += objective.0;
    }

    /// Such a job has ended.
    pub fn job_ended(&mut self, at: ClassIx, objective: Millis) {
        let sums = &mut self.account(at).sums;
        sums.jobs = sums.jobs.saturating_sub(1);
        take_away(&mut sums.objectives_ms, objective.0);
    }

    /// Work has arrived.
    pub fn work_arrived(&mut self, at: ClassIx, now: Instant, work: CoreMillis) {
        let account = self.account(at);
        account.sums.backlog.0 += work.0;
        account.arriving.add(now, work);
    }

    /// Work arrived `age` ago under a previous leader.
    pub fn work_arrived_before(
        &mut self,
        at: ClassIx,
        now: Instant,
        age: Millis,
        work: CoreMillis,
    ) {
        self.account(at).arriving.add_past(now, age, work);
    }

    /// Work that arrived under a previous leader is not done yet.
    pub fn work_restored(&mut self, at: ClassIx, work: CoreMillis) {
        self.account(at).sums.backlog.0 += work.0;
    }

    /// Work will not be done, since its job has ended.
    pub fn work_dropped(&mut self, at: ClassIx, work: CoreMillis) {
        take_away(&mut self.account(at).sums.backlog.0, work.0);
    }

    /// Tasks with this demand together wait for a worker.
    pub fn tasks_wait(&mut self, at: ClassIx, millicores: u64) {
        self.account(at).sums.waiting_millicores += millicores;
    }

    /// Such tasks no longer wait.
    pub fn tasks_wait_no_longer(&mut self, at: ClassIx, millicores: u64) {
        take_away(&mut self.account(at).sums.waiting_millicores, millicores);
    }

    /// A task is at a worker.
    pub fn task_started(&mut self, at: ClassIx, millicores: u64) {
        self.account(at).sums.running_millicores += millicores;
    }

    /// A task is no longer at a worker.
    pub fn task_stopped(&mut self, at: ClassIx, millicores: u64) {
        take_away(&mut self.account(at).sums.running_millicores, millicores);
    }

    /// A task is done: how much work was estimated, and how much it took.
    pub fn task_done(
        &mut self,
        at: ClassIx,
        now: Instant,
        estimated: CoreMillis,
        took: CoreMillis,
    ) {
        let account = self.account(at);
        take_away(&mut account.sums.backlog.0, estimated.0);
        account.completed.add(now, took);
    }

    /// Restores the completion rate that a previous leader stored, in core milliseconds per second.
    pub fn restore_completed(&mut self, queue: &str, class: WorkClass, now: Instant, rate: u64) {
        let ix = self.queue(queue).class(class);
        self.account(ix).completed = Average::restored(now, rate as f64);
    }

    /// Returns the demand of all tasks at workers, in thousandths of a core.
    pub fn running_millicores(&self, at: ClassIx) -> u64 {
        self.accounts[Self::position(at)].sums.running_millicores
    }

    /// Returns the load of each class of work of each queue.
    pub fn loads(&self, now: Instant) -> impl Iterator<Item = ClassLoad<'_>> {
        let accounts = self.accounts.iter().enumerate();
        accounts.map(move |(at, account)| ClassLoad {
            queue: &self.names[at / CLASSES.len()],
            class: CLASSES[at % CLASSES.len()],
            sums: account.sums,
            arriving: account.arriving.get(now),
            completed: account.completed.get(now),
        })
    }
}
