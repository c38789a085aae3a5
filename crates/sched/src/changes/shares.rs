//! Enforces the shares of classes of work in a pool: holds long-running starts back and preempts
//! long-running tasks while short tasks wait for capacity that their class is entitled to.
//!
//! [`crate::decisions::shares`] says what each class is entitled to and which tasks are preempted.
//! A check costs one pass over the workers and the waiting steps. It is made only while short tasks
//! find no capacity, at most once per [`CHECK_INTERVAL`].

use gaplock_jobs::TaskKey;
use gaplock_overload::summary::WorkClass;
use gaplock_types::ids;
use gaplock_types::sizes::MilliCores;
use gaplock_types::time::{Instant, Millis};

use crate::changes::{lifecycle, trace};
use crate::decisions::shares::{self, PoolLoad};
use crate::interface::message::WorkerIx;
use crate::state::class_shares::{Enforcement, PoolShares, Preemption, WorkRate};
use crate::state::job_table;
use crate::state::State;

/// How often shares are checked. Housekeeping runs twice as often.
const CHECK_INTERVAL: Millis = Millis(100);

/// For how long after the last dispatch pass in which a short task found no capacity such tasks
/// count as waiting. Passes over a large fleet are up to 0.1 s apart.
const SCARCE_FOR: Millis = Millis(300);

/// How long shares stay enforced after short tasks have last waited. Short jobs come in bursts, and
/// a long-running task that starts between two of them stays for minutes.
const ENFORCED_FOR: Millis = Millis(1_000);

/// Checks the shares of all pools in which short tasks find no capacity or shares are enforced.
pub fn check(cx: &mut State) {
    if cx.now.since(cx.class_shares.checked_at) < CHECK_INTERVAL {
        return;
    }
    cx.class_shares.checked_at = cx.now;
    if !cx.settings.class_shares || cx.recovery_scan.is_some() || cx.freshness.is_behind() {
        return lift_all(cx);
    }
    forget_ended(cx);
    let pools = pools_to_check(cx);
    if pools.is_empty() {
        return;
    }
    let mut loads = shares::pool_loads(cx);
    for pool in pools {
        let load = loads.remove(&pool).unwrap_or_default();
        check_pool(cx, &pool, &load);
    }
}

/// Records the start of a task: short work that gets through, or processors that a long-running
/// task takes of what its class may still take.
pub fn note_start(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    if !cx.settings.class_shares {
        return;
    }
    let now = cx.now;
    let Some(entry) = cx.jobs.get(&key.job) else { return };
    let Some(step) = entry.step(key) else { return };
    let (class, priority) = (job_table::work_class(step), entry.priority);
    let (cpu, estimate) = (step.demand.cpu, step.estimate.min(shares::MAX_ESTIMATE));
    let pool = cx.class_shares.pool_mut(&cx.workers[ix.0 as usize].info.service);
    match class {
        WorkClass::Short => {
            let work = f64::from(cpu.0) * estimate.0 as f64 / 1_000.0;
            let zero = WorkRate::zero(now);
            pool.short_started.entry(priority).or_insert(zero).add(now, work);
        }
        WorkClass::LongRunning => {
            let headroom = pool.enforcement.as_mut().and_then(|e| e.headroom.get_mut(&priority));
            if let Some(headroom) = headroom {
                *headroom = headroom.saturating_sub(u64::from(cpu.0));
            }
        }
        WorkClass::BestEffort => {}
    }
}

/// Ends the enforcement in all pools.
fn lift_all(cx: &mut State) {
    let now = cx.now;
    for (pool, shares) in &mut cx.class_shares.pools {
        if let Some(enforcement) = shares.enforcement.take() {
            trace::shares_lifted(pool, now.since(enforcement.since), enforcement.preempted);
            cx.pass_wanted = true;
        }
    }
}

/// Drops preemptions whose run is gone from its worker, and cool-downs that are over.
fn forget_ended(cx: &mut State) {
    let now = cx.now;
    let workers = &cx.workers;
    for shares in cx.class_shares.pools.values_mut() {
        shares.under_way.retain(|stop| {
            let slot = workers[stop.worker.0 as usize].slots.get(&stop.task);
            slot.is_some_and(|slot| slot.run == stop.run)
        });
        shares.preempted_at.retain(|_, at| now.since(*at) < shares::JOB_COOL_DOWN);
    }
}

/// Lists the pools in which short tasks find no capacity or shares are enforced.
fn pools_to_check(cx: &State) -> Vec<ids::ServiceId> {
    let enforced = cx.class_shares.pools.iter().filter(|(_, shares)| shares.enforcement.is_some());
    let mut pools: Vec<ids::ServiceId> = enforced.map(|(pool, _)| pool.clone()).collect();
    let scarce = cx.short_task_waited_at.keys().filter(|pool| is_scarce(cx, pool));
    pools.extend(scarce.cloned());
    pools.sort();
    pools.dedup();
    pools
}

/// Returns whether a short task of a pool found no capacity in a recent dispatch pass.
fn is_scarce(cx: &State, pool: &ids::ServiceId) -> bool {
    let waited_at = cx.short_task_waited_at.get(pool);
    waited_at.is_some_and(|&at| cx.now.since(at) < SCARCE_FOR)
}

/// Begins, updates or ends the enforcement in a pool, and preempts tasks if that is needed.
fn check_pool(cx: &mut State, pool: &ids::ServiceId, load: &PoolLoad) {
    let now = cx.now;
    let waits = is_scarce(cx, pool) && load.short.longest_wait >= shares::SHORT_WAIT_LIMIT;
    let shares = cx.class_shares.pool_mut(pool);
    let balance = shares::balance(load, &shares.under_way);
    let must_enforce = waits && !balance.excess.is_empty() && load.is_half_used();
    if must_enforce && shares.enforcement.is_none() {
        shares.enforcement = Some(Enforcement {
            since: now,
            short_waited_at: now,
            short_waits_since: Some(now),
            headroom: balance.headroom.clone(),
            smallest_waiting: MilliCores(0),
            preempted: 0,
        });
        trace::shares_enforced(pool, load, balance.excess.values().sum());
    }
    let Some(enforcement) = &mut shares.enforcement else { return };
    enforcement.headroom = balance.headroom;
    if waits && load.is_half_used() {
        enforcement.short_waited_at = now;
        enforcement.short_waits_since.get_or_insert(now);
        enforcement.smallest_waiting = load.short.smallest.unwrap_or_default();
    } else {
        enforcement.short_waits_since = None;
    }
    if now.since(enforcement.short_waited_at) >= ENFORCED_FOR {
        trace::shares_lifted(pool, now.since(enforcement.since), enforcement.preempted);
        shares.enforcement = None;
        cx.pass_wanted = true;
        return;
    }
    if must_enforce {
        let wanted = wanted_millicores(load, shares, now, cx.settings.stop_limit);
        if wanted > 0 {
            let shares = cx.class_shares.pools.get(pool).expect("the pool was just checked");
            let limits = (wanted, &balance.excess);
            let chosen = shares::choose_preemptions(cx, pool, load, shares, limits);
            for candidate in chosen {
                preempt(cx, pool, &candidate, load);
            }
        }
    }
}

/// Returns how many processors are to be freed for short tasks beside those that stops under way
/// free, in thousandths of a core.
fn wanted_millicores(
    load: &PoolLoad,
    shares: &PoolShares,
    now: Instant,
    stop_limit: Millis,
) -> u64 {
    let expected = shares.under_way.iter().filter(|stop| stop.is_expected(now, stop_limit));
    let expected: u64 = expected.map(|stop| u64::from(stop.reservation.cpu.0)).sum();
    let since = shares.enforcement.as_ref().and_then(|e| e.short_waits_since);
    let lasted = since.map_or(Millis(0), |since| now.since(since));
    let wanted = load.worth_freeing(lasted, stop_limit);
    wanted.saturating_sub(expected)
}

/// Stops a long-running task, so that short tasks get its room.
fn preempt(cx: &mut State, pool: &ids::ServiceId, candidate: &shares::Candidate, load: &PoolLoad) {
    let now = cx.now;
    let &shares::Candidate { worker, task, run, priority, reservation, .. } = candidate;
    trace::task_preempted((task, run), &cx.worker(worker).info.id, reservation.cpu, load);
    lifecycle::order_stop(cx, worker, task, run, "short tasks wait for its room");
    cx.worker_mut(worker).preempted_at = Some(now);
    let shares = cx.class_shares.pool_mut(pool);
    let stop = Preemption { worker, task, run, priority, reservation, ordered_at: now };
    shares.under_way.push(stop);
    shares.preempted_at.insert(task.job, now);
    if let Some(enforcement) = &mut shares.enforcement {
        enforcement.preempted += 1;
    }
}
