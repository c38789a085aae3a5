//! The limit on the best-effort demand that is at work in a pool at one time.
//!
//! Best-effort tasks use the processors that serving tasks leave. When too many of them are at
//! work, serving tasks exceed their targets, best-effort tasks are halted for them, and jobs end
//! late because of their slowest task. How much work a pool can hold changes with the load of its
//! serving tasks within seconds and cannot be computed in advance, so it is found by feedback:
//! additive increase while work waits and the pool is calm, multiplicative decrease when too many
//! serving tasks are over their target or too much best-effort demand is halted.

use gaplock_types::time::{Instant, Millis};

/// What is observed of a pool. Processors are in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Observation {
    /// The processors of the workers that accept tasks.
    pub capacity: u64,
    /// The processors that are reserved, or demanded by best-effort tasks at workers.
    pub in_use: u64,
    /// The best-effort demand at workers that is not halted.
    pub at_work: u64,
    /// The best-effort demand at workers that is halted.
    pub halted: u64,
    /// The part of the best-effort demand at workers whose tasks have saved progress.
    pub with_progress: u64,
    /// Serving tasks with a reading.
    pub serving: u32,
    /// Serving tasks over their target beside best-effort tasks that are at work.
    pub over_target: u32,
    /// Serving tasks near or over their target beside best-effort tasks that are at work.
    pub near_target: u32,
    /// Whether best-effort tasks wait for a worker.
    pub has_waiting: bool,
}

/// What an observation changed about the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The limit came into force.
    Imposed,
    /// It was lowered.
    Lowered,
    /// It was raised.
    Raised,
    /// It is no longer in force.
    Lifted,
}

/// The share of the serving tasks that may be over their target beside best-effort tasks. With a
/// tenth, a serving job of 14 tasks has about one of them over its target at a time. A twentieth
/// lets clearly less best-effort work be on time (`docs/design/hard-load.md`).
const MAX_OVER_TARGET_SHARE: f64 = 0.1;

/// The share of the best-effort demand that may be halted. With a twentieth halted, 0.36 of the
/// steps of 20 tasks have no halted task; with a tenth, 0.12.
const MAX_HALTED_SHARE: f64 = 0.05;

/// The share of serving tasks near or over their target up to which the limit is raised.
const MAX_NEAR_TARGET_SHARE: f64 = 0.2;

/// The factor by which the limit is lowered.
const DECREASE_FACTOR: f64 = 0.9;

/// The time between two decreases: until tasks have ended that were at work at the first one, and
/// readings show the effect.
const DECREASE_INTERVAL: Millis = Millis(1_000);

/// How far above the limit the demand at work may be, as a factor, for the limit to be lowered
/// further. Above that, the last decrease has not had its effect yet: nothing is stopped for the
/// limit, so tasks have to end first.
const DRAINING_FACTOR: f64 = 1.1;

/// By which share of the pool's processors the limit is raised per second: a fifth of them within
/// 5 s, half of the period with which the load of serving tasks varies.
const INCREASE_SHARE_PER_S: f64 = 0.04;

/// The share of the limit that must be in use for a raise. Otherwise something else than the limit
/// keeps work waiting, and the limit would grow without effect.
const MIN_USED_SHARE: f64 = 0.9;

/// The share of a pool's processors that best-effort work may always use, so that none starves.
const MIN_LIMIT_SHARE: f64 = 0.05;

/// How long nothing waits before the limit is lifted: a burst of work comes in several waves.
const LIFT_AFTER: Millis = Millis(5_000);

/// The limit of one pool. It is not in force until a pool is overloaded while work waits.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Limit {
    /// The limit in force, in thousandths of a core.
    millicores: Option<f64>,
    observed_at: Instant,
    lowered_at: Instant,
    waited_at: Instant,
}

impl Limit {
    /// Returns the limit in thousandths of a core, if one is in force.
    pub fn millicores(&self) -> Option<u64> {
        self.millicores.map(|limit| limit as u64)
    }

    /// Adjusts the limit to what is observed of the pool, and returns what changed.
    pub fn observe(&mut self, now: Instant, seen: &Observation) -> Option<Change> {
        let elapsed = now.since(std::mem::replace(&mut self.observed_at, now));
        if seen.has_waiting {
            self.waited_at = now;
        }
        if !may_limit(seen) || now.since(self.waited_at) >= LIFT_AFTER {
            return self.millicores.take().map(|_| Change::Lifted);
        }
        // Nothing is stopped for the limit, so tasks with saved progress keep what they use.
        let floor = (seen.with_progress as f64).max(seen.capacity as f64 * MIN_LIMIT_SHARE);
        let Some(limit) = self.millicores else {
            if !is_overloaded(seen) || !seen.has_waiting {
                return None;
            }
            self.lowered_at = now;
            self.millicores = Some((seen.at_work as f64 * DECREASE_FACTOR).max(floor));
            return Some(Change::Imposed);
        };
        let limit = limit.max(floor);
        self.millicores = Some(limit);
        if is_overloaded(seen) {
            let at_work = seen.at_work as f64;
            let is_draining = at_work > limit * DRAINING_FACTOR;
            if is_draining || now.since(self.lowered_at) < DECREASE_INTERVAL {
                return None;
            }
            self.lowered_at = now;
            let lowered = (at_work.min(limit) * DECREASE_FACTOR).max(floor);
            self.millicores = Some(lowered);
            return (lowered < limit).then_some(Change::Lowered);
        }
        if seen.has_waiting && is_calm(seen) && seen.at_work as f64 >= limit * MIN_USED_SHARE {
            let per_s = seen.capacity as f64 * INCREASE_SHARE_PER_S;
            let raise = per_s * elapsed.0 as f64 / 1_000.0;
            self.millicores = Some(limit + raise);
            return Some(Change::Raised);
        }
        None
    }
}

/// Returns whether a pool may have a limit: it runs serving tasks, and half of it is in use. With
/// more free than that, a job must not wait without any running task.
fn may_limit(seen: &Observation) -> bool {
    seen.serving > 0 && seen.in_use * 2 >= seen.capacity
}

/// Returns whether too many serving tasks are over their target, or too much demand is halted.
fn is_overloaded(seen: &Observation) -> bool {
    share(seen.over_target, seen.serving) > MAX_OVER_TARGET_SHARE
        || halted_share(seen) > MAX_HALTED_SHARE
}

/// Returns whether more best-effort work can be expected to fit.
fn is_calm(seen: &Observation) -> bool {
    share(seen.near_target, seen.serving) <= MAX_NEAR_TARGET_SHARE
}

fn halted_share(seen: &Observation) -> f64 {
    let total = seen.at_work + seen.halted;
    if total == 0 {
        return 0.0;
    }
    seen.halted as f64 / total as f64
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
