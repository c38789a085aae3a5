//! Applies the limit on the best-effort demand that is at work in a pool: observes each pool, and
//! decides whether a waiting best-effort step may start a task now.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_jobs::TaskKey;
use gaplock_overload::budget::Observation;
use gaplock_types::ids;

use crate::state::worker::{Phase, Slot, TaskRole, Worker};
use crate::state::State;

/// The share of its target from which a serving task is near it.
const NEAR_TARGET_SHARE: f64 = 0.9;

/// Observes all pools that have workers.
pub fn observe_pools(cx: &State) -> BTreeMap<ids::ServiceId, Observation> {
    let mut pools: BTreeMap<ids::ServiceId, Observation> = BTreeMap::new();
    for worker in cx.workers.iter().filter(|w| !w.terminated) {
        if !pools.contains_key(&worker.info.service) {
            pools.insert(worker.info.service.clone(), Observation::default());
        }
        if let Some(seen) = pools.get_mut(&worker.info.service) {
            observe_worker(cx, worker, seen);
        }
    }
    for pool in waiting_pools(cx) {
        if let Some(seen) = pools.get_mut(pool) {
            seen.has_waiting = true;
        }
    }
    pools
}

/// Adds what is observed of one worker. One that does not answer has no current readings.
fn observe_worker(cx: &State, worker: &Worker, seen: &mut Observation) {
    if !worker.accepts_tasks(cx.now) {
        return;
    }
    seen.capacity += u64::from(worker.info.capacity.cpu.0);
    seen.in_use += u64::from(worker.used.cpu.0) + u64::from(worker.best_effort_millicores);
    let mut any_at_work = false;
    for (key, slot) in &worker.slots {
        if !matches!(slot.role, TaskRole::Filling(_)) || slot.phase == Phase::Stopping {
            continue;
        }
        let demand = u64::from(slot.best_effort_millicores);
        if is_at_work(slot) {
            seen.at_work += demand;
            any_at_work = true;
        } else {
            seen.halted += demand;
        }
        if cx.task(*key).is_some_and(|task| task.checkpoint.is_some()) {
            seen.with_progress += demand;
        }
    }
    for slot in worker.slots.values() {
        let (TaskRole::Serving { target_ms, .. }, Some(tail)) = (slot.role, slot.reading) else {
            continue;
        };
        let share = f64::from(tail) / f64::from(target_ms.max(1));
        seen.serving += 1;
        seen.near_target += u32::from(any_at_work && share >= NEAR_TARGET_SHARE);
        seen.over_target += u32::from(any_at_work && share > 1.0);
    }
}

/// Returns the pools for which best-effort steps wait.
fn waiting_pools(cx: &State) -> BTreeSet<&ids::ServiceId> {
    let best_effort = cx.ready.iter().filter_map(|ready| {
        let entry = cx.jobs.get(&ready.job)?;
        let step = entry.job.steps.get(usize::from(ready.step))?;
        entry.queue.as_ref().filter(|_| step.fills)
    });
    best_effort.map(|queue| &queue.service).collect()
}

/// Returns the best-effort demand that is at work in each pool, in thousandths of a core.
pub fn demand_at_work(cx: &State) -> BTreeMap<&ids::ServiceId, u64> {
    let mut pools: BTreeMap<&ids::ServiceId, u64> = BTreeMap::new();
    for worker in cx.workers.iter().filter(|w| !w.terminated) {
        let at_work = worker.slots.values().filter(|slot| is_at_work(slot));
        *pools.entry(&worker.info.service).or_default() +=
            at_work.map(|slot| u64::from(slot.best_effort_millicores)).sum::<u64>();
    }
    pools
}

/// Returns whether a run is a best-effort one that is neither halted nor being stopped.
fn is_at_work(slot: &Slot) -> bool {
    let is_best_effort = matches!(slot.role, TaskRole::Filling(_));
    is_best_effort && slot.phase != Phase::Stopping && slot.pace > 0
}

/// How much more best-effort demand may start in each limited pool, in thousandths of a core.
#[derive(Debug, Default)]
pub struct Room {
    pools: Vec<(ids::ServiceId, i64)>,
}

impl Room {
    /// Computes the room in all limited pools. Tasks that have started or ended since the pools
    /// were last observed count, and tasks that were halted then count as halted.
    pub fn open(cx: &State) -> Self {
        let mut pools = Vec::new();
        for (pool, (limit, seen)) in &cx.best_effort_limits {
            let Some(limit) = limit.millicores() else { continue };
            let workers = cx.workers.iter().filter(|w| w.info.service == *pool);
            let at_workers: u64 =
                workers.map(|worker| u64::from(worker.best_effort_millicores)).sum();
            let at_work = at_workers.saturating_sub(seen.halted);
            pools.push((pool.clone(), limit as i64 - at_work as i64));
        }
        Self { pools }
    }

    /// Returns whether one more task may start in a pool. The last one may exceed the limit, so
    /// that large tasks are not passed over for small ones.
    pub fn is_left(&self, pool: &ids::ServiceId) -> bool {
        self.pools.iter().all(|(limited, room)| limited != pool || *room > 0)
    }

    /// Records that a task with this demand has been started.
    pub fn take(&mut self, pool: &ids::ServiceId, millicores: u32) {
        if let Some((_, room)) = self.pools.iter_mut().find(|(limited, _)| limited == pool) {
            *room -= i64::from(millicores);
        }
    }
}

/// Returns whether a task is exempt from the limit because it has saved progress.
pub fn is_exempt(cx: &State, key: TaskKey) -> bool {
    cx.task(key).is_some_and(|task| task.checkpoint.is_some())
}
