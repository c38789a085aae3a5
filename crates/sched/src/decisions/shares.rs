//! Decides what the classes of work that reserve processors are entitled to in a pool, and which
//! long-running tasks are preempted while short tasks wait for their share.
//!
//! Long-running tasks hold most of a pool for minutes. If a part of its workers is lost, they hold
//! all that is left, and short tasks find room only where another short task has just ended. Then
//! the classes are held to weighted max-min shares ([`gaplock_overload::share`]).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use gaplock_jobs::config::Advice;
use gaplock_jobs::TaskKey;
use gaplock_overload::share::{self, Claim, Weight};
use gaplock_overload::summary::WorkClass;
use gaplock_types::ids;
use gaplock_types::sizes::{MilliCores, Resources};
use gaplock_types::time::{Instant, Millis};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::decisions::{availability, free_capacity, requests};
use crate::interface::message::{Run, StepKey, WorkerIx};
use crate::interface::search_budget;
use crate::state::class_shares::{ClassPriority, PoolShares, Preemption};
use crate::state::job_table::{self, ReadyStep};
use crate::state::worker::{Phase, Slot, Worker, READY_PERCENT};
use crate::state::State;

/// How long short tasks wait for capacity before shares are enforced. A shorter wait is usual where
/// a step has more tasks than the free capacity holds.
pub const SHORT_WAIT_LIMIT: Millis = Millis(100);

/// The longest estimate of a short task that counts. Estimates come from callers, and a single
/// wrong one would hide the rest of the backlog.
pub const MAX_ESTIMATE: Millis = Millis(10_000);

/// How long the start of a long-running task takes at most until it is ready.
const START_TIME: Millis = Millis(500);

/// How many waiting steps of a pool are kept as candidates for which room is made.
const MAX_WAITING_STEPS: usize = 16;

/// How long a task has run before it is preempted. A start takes up to half a second, and a task
/// that is stopped soon after its last stop is hardly available to its users. A new leader counts
/// from its takeover, so it preempts nothing while it does not know of its predecessor's stops.
const MIN_RUN_TIME: Millis = Millis(5_000);

/// How long no other task of a job is preempted after one was.
pub const JOB_COOL_DOWN: Millis = Millis(10_000);

/// The part of a pool's workers on which a check may preempt a task, as a divisor. With ten checks
/// a second and stops of 0.9 s, at most a sixth of the workers is stopping a task at a time.
const WORKERS_PER_PREEMPTION: usize = 50;

/// How many possible preemptions a check compares. It bounds the cost on large pools, where the
/// best of so many is hardly worse than the best of all.
const MAX_CANDIDATES: usize = 4_096;

/// The load of one class and priority in a pool, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassLoad {
    /// What its runs reserve on workers that accept tasks.
    pub in_use: u64,
    /// What its runs reserve on other workers.
    pub elsewhere: u64,
    /// The demand of its tasks that wait for a worker.
    pub waiting: u64,
    /// For short work: the mean number of processors that the work started lately takes.
    pub started: u64,
}

impl ClassLoad {
    /// Returns the processors that the class can use: for short work, those that it needs to keep
    /// up with what arrives and to start what waits; for long-running work, all that runs or waits.
    fn demand(&self, class: WorkClass) -> u64 {
        match class {
            WorkClass::Short => self.in_use.max(self.started) + self.waiting,
            _ => self.in_use + self.elsewhere + self.waiting,
        }
    }
}

/// The short tasks of a pool that wait for capacity.
#[derive(Debug, Clone, Default)]
pub struct ShortBacklog {
    /// Their estimated work, in core milliseconds.
    pub work_core_ms: f64,
    /// Their demand in thousandths of a core.
    pub millicores: u64,
    /// The longest wait of a step's first task.
    pub longest_wait: Millis,
    /// The smallest demand of a task that has waited for [`SHORT_WAIT_LIMIT`].
    pub smallest: Option<MilliCores>,
    /// The first steps in the order of dispatch that have waited for [`SHORT_WAIT_LIMIT`].
    pub steps: Vec<ReadyStep>,
}

/// The load of a pool.
#[derive(Debug, Clone, Default)]
pub struct PoolLoad {
    /// The processors of the workers that accept tasks, in thousandths of a core.
    pub capacity: u64,
    /// The part of it that is free in pieces that are too small for the short tasks that have
    /// waited for [`SHORT_WAIT_LIMIT`].
    pub fragmented: u64,
    /// The part of it that runs reserve.
    pub used: u64,
    /// The number of these workers.
    pub workers: usize,
    /// The classes that reserve processors.
    pub classes: BTreeMap<ClassPriority, ClassLoad>,
    /// The short tasks that wait.
    pub short: ShortBacklog,
}

impl PoolLoad {
    /// Returns what each class and priority is entitled to, in thousandths of a core. Fragments
    /// that no waiting short task fits into are not divided: they are of use to no class.
    pub fn entitlements(&self) -> BTreeMap<ClassPriority, u64> {
        let claim = |(of, load): (&ClassPriority, &ClassLoad)| Claim {
            weight: Weight::of_priority(of.priority),
            demand: load.demand(of.class),
        };
        let claims: Vec<Claim> = self.classes.iter().map(claim).collect();
        let entitled = share::max_min(self.capacity.saturating_sub(self.fragmented), &claims);
        self.classes.keys().copied().zip(entitled).collect()
    }

    /// Returns whether at least half of the pool is in use. Below that, no start is held back: a
    /// task that waits is kept from its worker by something else than the share of a class.
    pub fn is_half_used(&self) -> bool {
        self.used.saturating_mul(2) >= self.capacity
    }

    /// Returns the work that short tasks get through, in core milliseconds per second.
    fn short_rate(&self) -> u64 {
        self.classes.values().map(|load| load.started).sum()
    }

    /// Returns how long it takes until the last short task that waits now has started, at the rate
    /// at which short tasks were started lately; `None` if none was started.
    pub fn predicted_wait(&self) -> Option<Millis> {
        let rate = self.short_rate();
        (rate > 0).then(|| Millis((self.short.work_core_ms * 1_000.0 / rate as f64) as u64))
    }

    /// Returns how many processors are worth freeing for waiting short tasks, in thousandths of a
    /// core; `lasted` says for how long such tasks have been waiting without interruption.
    ///
    /// A preempted task's processors are idle during its stop and its next start. So preemption
    /// pays only if the backlog lasts longer than that: by its predicted end, or because it has
    /// lasted as long already, in which case it can be expected to last as long again. The
    /// prediction alone misses a backlog that stays short because as much arrives as is started.
    pub fn worth_freeing(&self, lasted: Millis, stop: Millis) -> u64 {
        let idle = stop.0 + START_TIME.0;
        let predicted = self.predicted_wait();
        if lasted.0 >= idle || predicted.is_none() {
            return self.short.millicores;
        }
        let Some(wait) = predicted.filter(|wait| wait.0 > idle) else { return 0 };
        let still_waiting = (wait.0 - stop.0) as f64 / wait.0 as f64;
        (self.short.millicores as f64 * still_waiting) as u64
    }
}

/// Returns the load of each pool that has workers or waiting tasks. The cost is linear in the
/// workers and in the steps with waiting tasks.
pub fn pool_loads(cx: &State) -> FxHashMap<ids::ServiceId, PoolLoad> {
    let mut loads: FxHashMap<ids::ServiceId, PoolLoad> = FxHashMap::default();
    for (pool, shares) in &cx.class_shares.pools {
        let load = loads.entry(pool.clone()).or_default();
        for (&priority, rate) in &shares.short_started {
            let of = ClassPriority { class: WorkClass::Short, priority };
            load.classes.entry(of).or_default().started = rate.core_ms_per_s(cx.now) as u64;
        }
    }
    let largest = largest_workers(cx);
    for &ready in &cx.ready {
        add_waiting(cx, ready, &largest, &mut loads);
    }
    for worker in cx.workers.iter().filter(|w| !w.terminated) {
        if !loads.contains_key(&worker.info.service) {
            loads.insert(worker.info.service.clone(), PoolLoad::default());
        }
        if let Some(load) = loads.get_mut(&worker.info.service) {
            add_worker(load, worker, cx.now);
        }
    }
    loads
}

/// Returns the most processors that any worker of each pool has.
fn largest_workers(cx: &State) -> FxHashMap<&ids::ServiceId, MilliCores> {
    let mut largest: FxHashMap<&ids::ServiceId, MilliCores> = FxHashMap::default();
    for worker in cx.workers.iter().filter(|w| w.accepts_tasks(cx.now)) {
        let most = largest.entry(&worker.info.service).or_default();
        *most = (*most).max(worker.info.capacity.cpu);
    }
    largest
}

/// Adds the waiting tasks of a step to the load of its pool, unless no worker could ever hold one.
fn add_waiting(
    cx: &State,
    ready: ReadyStep,
    largest: &FxHashMap<&ids::ServiceId, MilliCores>,
    loads: &mut FxHashMap<ids::ServiceId, PoolLoad>,
) {
    let Some(entry) = cx.jobs.get(&ready.job) else { return };
    let step = &entry.job.steps[usize::from(ready.step)];
    let Some(pool) = requests::service_of(cx, &entry.job) else { return };
    let Some(pending) = entry.round(ready.round).map(|r| &r.steps[usize::from(ready.step)].pending)
    else {
        return;
    };
    let fits = largest.get(&pool).is_some_and(|&most| step.demand.cpu <= most);
    if step.fills || !fits {
        return;
    }
    let load = loads.entry(pool).or_default();
    let (class, priority) = (job_table::work_class(step), entry.priority);
    let waiting = pending.len() as u64 * u64::from(step.demand.cpu.0);
    load.classes.entry(ClassPriority { class, priority }).or_default().waiting += waiting;
    if !free_capacity::is_short(step) {
        return;
    }
    let key =
        |&index: &u32| TaskKey { job: ready.job, round: ready.round, step: ready.step, index };
    let Some(first) = pending.iter().map(key).find(|&task| requests::may_start(cx, task)) else {
        return;
    };
    let waited = cx.task(first).map_or(Millis(0), |task| cx.now.since(task.since));
    let short = &mut load.short;
    short.millicores += waiting;
    short.work_core_ms += waiting as f64 * step.estimate.min(MAX_ESTIMATE).0 as f64 / 1_000.0;
    short.longest_wait = short.longest_wait.max(waited);
    if waited >= SHORT_WAIT_LIMIT {
        short.smallest = Some(short.smallest.map_or(step.demand.cpu, |s| s.min(step.demand.cpu)));
        if short.steps.len() < MAX_WAITING_STEPS {
            short.steps.push(ready);
        }
    }
}

/// Adds a worker to the load of its pool.
fn add_worker(load: &mut PoolLoad, worker: &Worker, now: Instant) {
    let accepts = worker.accepts_tasks(now);
    for (of, millicores) in worker.reserved_by_class.iter() {
        let class = load.classes.entry(of).or_default();
        if accepts {
            class.in_use += millicores;
        } else {
            class.elsewhere += millicores;
        }
    }
    if !accepts {
        return;
    }
    let free = worker.info.capacity.minus(&worker.used).cpu;
    load.workers += 1;
    load.capacity += u64::from(worker.info.capacity.cpu.0);
    load.used += u64::from(worker.used.cpu.0);
    if load.short.smallest.is_some_and(|smallest| free < smallest) {
        load.fragmented += u64::from(free.0);
    }
}

/// How much long-running work of each priority holds beside what it is entitled to.
#[derive(Debug, Clone, Default)]
pub struct Balance {
    /// What it may still take, in thousandths of a core.
    pub headroom: BTreeMap<u32, u64>,
    /// What it holds beyond its entitlement.
    pub excess: BTreeMap<u32, u64>,
}

/// Returns the balance of long-running work. What is being preempted counts as given back.
pub fn balance(load: &PoolLoad, under_way: &[Preemption]) -> Balance {
    let mut balance = Balance::default();
    for (of, entitled) in load.entitlements() {
        if of.class != WorkClass::LongRunning {
            continue;
        }
        let given_back = under_way.iter().filter(|stop| stop.priority == of.priority);
        let given_back: u64 = given_back.map(|stop| u64::from(stop.reservation.cpu.0)).sum();
        let in_use = load.classes[&of].in_use.saturating_sub(given_back);
        balance.headroom.insert(of.priority, entitled.saturating_sub(in_use));
        if in_use > entitled {
            balance.excess.insert(of.priority, in_use - entitled);
        }
    }
    balance
}

/// A long-running task whose stop makes room for a waiting short task.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerIx,
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: Run,
    /// The priority of its queue.
    pub priority: u32,
    /// What it reserves.
    pub reservation: Resources,
    /// How many more of the waiting tasks fit on the worker once it has stopped.
    gain: u32,
    /// The processors that stay free then, in thousandths of a core.
    left_over: u32,
}

/// What a waiting short task requires of a worker.
#[derive(Debug)]
struct Requirement<'a> {
    pool: &'a ids::ServiceId,
    step: StepKey,
    demand: Resources,
    label: Option<&'a str>,
    advice: Option<&'a Advice>,
}

/// Returns the tasks to preempt now, at most one on a worker and one of a job.
///
/// They free at most `wanted` thousandths of a core beyond the last one. Those are taken first that
/// make room for the most waiting tasks, then those that leave the least unused.
pub fn choose_preemptions(
    cx: &State,
    pool: &ids::ServiceId,
    load: &PoolLoad,
    shares: &PoolShares,
    (wanted, excess): (u64, &BTreeMap<u32, u64>),
) -> Vec<Candidate> {
    let most = (load.workers / WORKERS_PER_PREEMPTION).max(1);
    let mut excess = excess.clone();
    let mut chosen: Vec<Candidate> = Vec::new();
    let mut freed = 0;
    let mut budget = search_budget::open(cx.workers.len());
    for requirement in requirements(cx, pool, &load.short.steps) {
        if budget.is_exhausted() {
            break;
        }
        budget.spend_one();
        let mut candidates = candidates(cx, &requirement, shares, &excess);
        candidates.sort_by_key(|c| (Reverse(c.gain), c.left_over, c.worker, c.task));
        for candidate in candidates {
            if chosen.len() >= most || freed >= wanted {
                return chosen;
            }
            let conflicts = |other: &Candidate| {
                other.worker == candidate.worker || other.task.job == candidate.task.job
            };
            let over = excess.get(&candidate.priority).copied().unwrap_or(0);
            if over == 0
                || chosen.iter().any(conflicts)
                || !availability::may_preempt(cx, candidate.task)
            {
                continue;
            }
            let cpu = u64::from(candidate.reservation.cpu.0);
            excess.insert(candidate.priority, over.saturating_sub(cpu));
            freed += cpu;
            chosen.push(candidate);
        }
    }
    chosen
}

/// Returns the different demands of waiting steps for which room could be made. A gang needs
/// room for all its members at once, which single stops do not make.
fn requirements<'a>(
    cx: &'a State,
    pool: &'a ids::ServiceId,
    steps: &[ReadyStep],
) -> Vec<Requirement<'a>> {
    let mut found: Vec<Requirement<'a>> = Vec::new();
    for ready in steps {
        let Some(entry) = cx.jobs.get(&ready.job) else { continue };
        let step = &entry.job.steps[usize::from(ready.step)];
        let label = step.label.as_deref();
        let known = |r: &Requirement<'_>| r.demand == step.demand && r.label == label;
        if step.gang || step.most_per_worker.is_some() || found.iter().any(known) {
            continue;
        }
        let key = TaskKey { job: ready.job, round: ready.round, step: ready.step, index: 0 };
        let advice = requests::advice_of(cx, &entry.job);
        let (step, demand) = (StepKey::of(key), step.demand);
        found.push(Requirement { pool, step, demand, label, advice });
    }
    found
}

/// Returns the long-running tasks whose stop would make room for a task with the requirement.
fn candidates(
    cx: &State,
    requirement: &Requirement<'_>,
    shares: &PoolShares,
    excess: &BTreeMap<u32, u64>,
) -> Vec<Candidate> {
    let stopping: FxHashSet<WorkerIx> = shares.under_way.iter().map(|stop| stop.worker).collect();
    let priorities: BTreeSet<u32> = excess.keys().copied().collect();
    let mut found = Vec::new();
    for ix in (0..cx.workers.len() as u32).map(WorkerIx) {
        let worker = cx.worker(ix);
        if stopping.contains(&ix) || !could_make_room(cx, ix, worker, requirement) {
            continue;
        }
        let slots = worker.slots.iter().filter(|(key, slot)| {
            priorities.contains(&slot.class.priority)
                && is_preemptible(cx, slot)
                && !shares.preempted_at.contains_key(&key.job)
        });
        let scored = slots.filter_map(|(key, slot)| score(ix, worker, *key, slot, requirement));
        found.extend(scored);
        if found.len() >= MAX_CANDIDATES {
            break;
        }
    }
    found
}

/// Returns whether a worker could hold a task with the requirement if long-running tasks left it,
/// and cannot hold it now.
fn could_make_room(
    cx: &State,
    ix: WorkerIx,
    worker: &Worker,
    requirement: &Requirement<'_>,
) -> bool {
    let free = worker.info.capacity.minus(&worker.used);
    let held = worker.reserved_by_class.of_class(WorkClass::LongRunning);
    let labels = &worker.info.labels;
    worker.info.service == *requirement.pool
        && held > 0
        && u64::from(free.cpu.0) + held >= u64::from(requirement.demand.cpu.0)
        && !free.holds(&requirement.demand)
        && worker.accepts_tasks(cx.now)
        && worker.trial.is_none()
        && !worker.speed.is_slow(cx.now)
        && requirement.label.is_none_or(|label| labels.iter().any(|known| known == label))
        && (requirement.advice.is_none()
            || cx.permits.ticket(requirement.step, ix, cx.now).is_some())
        && worker.slots.values().all(|slot| slot.phase != Phase::Stopping)
}

/// Returns whether a run is that of a long-running task that has been ready for a while.
fn is_preemptible(cx: &State, slot: &Slot) -> bool {
    slot.class.class == WorkClass::LongRunning
        && slot.phase == Phase::Running
        && slot.progress_percent >= READY_PERCENT
        && slot.confirmed.is_some_and(|at| cx.now.since(at) >= MIN_RUN_TIME)
}

/// Returns the candidate for a run, if its stop makes room for a waiting task.
fn score(
    ix: WorkerIx,
    worker: &Worker,
    task: TaskKey,
    slot: &Slot,
    requirement: &Requirement<'_>,
) -> Option<Candidate> {
    let demand = requirement.demand;
    let free = worker.info.capacity.minus(&worker.used);
    let free_then = free.plus(&slot.reservation);
    if demand.cpu.0 == 0 || !free_then.holds(&demand) {
        return None;
    }
    let gain = free_then.cpu.0 / demand.cpu.0 - free.cpu.0 / demand.cpu.0;
    let (run, priority, reservation) = (slot.run, slot.class.priority, slot.reservation);
    let left_over = free_then.cpu.0 % demand.cpu.0;
    Some(Candidate { worker: ix, task, run, priority, reservation, gain, left_over })
}

/// What a class of work of a pool is entitled to and uses, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassShare {
    /// What it is entitled to.
    pub entitled: u64,
    /// What its runs reserve on workers that accept tasks.
    pub in_use: u64,
}

/// Returns the share of each class in each pool, over all priorities; for metrics.
pub fn class_shares(cx: &State) -> BTreeMap<(ids::ServiceId, WorkClass), ClassShare> {
    let mut shares: BTreeMap<(ids::ServiceId, WorkClass), ClassShare> = BTreeMap::new();
    for (pool, load) in pool_loads(cx) {
        for class in [WorkClass::Short, WorkClass::LongRunning] {
            shares.insert((pool.clone(), class), ClassShare::default());
        }
        for (of, entitled) in load.entitlements() {
            let share = shares.entry((pool.clone(), of.class)).or_default();
            share.entitled += entitled;
            share.in_use += load.classes[&of].in_use;
        }
    }
    shares
}
