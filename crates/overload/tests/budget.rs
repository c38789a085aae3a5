//! Tests of the limit on best-effort demand, with a simulated pool that answers to it.

use gaplock_overload::budget::{Change, Limit, Observation};
use gaplock_types::time::Instant;

const CAPACITY: u64 = 1_000_000;

/// The best-effort demand that the simulated pool can hold.
const HOLDS: u64 = 300_000;

/// The interval between two observations, and the time that a task runs at full pace, in
/// milliseconds.
const EVERY_MS: u64 = 300;
const TASK_MS: u64 = 1_500;

/// Observes a pool in which all demand beyond what it holds is halted or puts serving tasks over
/// their target, half and half.
fn observe(at_workers: u64, holds: u64) -> Observation {
    let excess = at_workers.saturating_sub(holds);
    let over_target = (excess * 1_000 / CAPACITY) as u32;
    Observation {
        capacity: CAPACITY,
        in_use: 600_000 + at_workers,
        at_work: at_workers - excess / 2,
        halted: excess / 2,
        with_progress: 0,
        serving: 1_000,
        over_target,
        near_target: over_target,
        has_waiting: true,
    }
}

/// Runs a pool with endless waiting work for `seconds`: in each interval a part of what is at work
/// ends, and what the limit leaves starts. Returns the demand at workers after each interval.
fn run(limit: &mut Limit, start: u64, seconds: u64, holds: impl Fn(u64) -> u64) -> Vec<u64> {
    let mut at_workers = start;
    let mut seen = Vec::new();
    for n in 1..=seconds * 1_000 / EVERY_MS {
        let now = n * EVERY_MS;
        limit.observe(Instant(now), &observe(at_workers, holds(now)));
        at_workers -= at_workers * EVERY_MS / TASK_MS;
        at_workers = at_workers.max(limit.millicores().unwrap_or(CAPACITY / 2));
        seen.push(at_workers);
    }
    seen
}

fn mean(values: &[u64]) -> u64 {
    values.iter().sum::<u64>() / values.len() as u64
}

/// Load: hundreds of best-effort tasks are at work in a pool that holds far fewer; all of them run
/// slowly.
#[test]
fn the_limit_settles_near_what_the_pool_holds() {
    let mut limit = Limit::default();
    let seen = run(&mut limit, CAPACITY / 2, 60, |_| HOLDS);
    let settled = mean(&seen[seen.len() / 2..]);
    assert!(
        (HOLDS * 8 / 10..HOLDS * 13 / 10).contains(&settled),
        "{settled} at work where the pool holds {HOLDS}"
    );
}

/// Load: the load of serving tasks falls, so that the pool holds twice as much. A limit that only
/// falls would leave processors unused while work waits.
#[test]
fn the_limit_follows_when_serving_tasks_leave_more() {
    let mut limit = Limit::default();
    let seen = run(&mut limit, CAPACITY / 2, 60, |now| if now < 20_000 { 150_000 } else { HOLDS });
    let settled = mean(&seen[seen.len() * 3 / 4..]);
    assert!(settled > HOLDS * 8 / 10, "{settled} at work where the pool holds {HOLDS}");
}

#[test]
fn no_limit_is_imposed_without_serving_tasks_waiting_work_or_a_full_pool() {
    let overloaded = observe(CAPACITY / 2, HOLDS);
    let cases = [
        Observation { serving: 0, ..overloaded },
        Observation { has_waiting: false, ..overloaded },
        Observation { in_use: CAPACITY / 2 - 1, ..overloaded },
    ];
    for seen in cases {
        assert_eq!(Limit::default().observe(Instant(10_000), &seen), None, "{seen:?}");
    }
    assert_eq!(Limit::default().observe(Instant(10_000), &overloaded), Some(Change::Imposed));
}

/// Guards against a limit that keeps tasks with saved progress from resuming, or all work from
/// starting.
#[test]
fn the_limit_leaves_what_tasks_with_progress_use_and_a_small_part_of_the_pool() {
    let mut limit = Limit::default();
    let overloaded = Observation { halted: 200_000, at_work: 1_000, ..observe(1_000, HOLDS) };
    for n in 1..200 {
        limit.observe(Instant(n * EVERY_MS), &overloaded);
    }
    assert_eq!(limit.millicores(), Some(CAPACITY / 20));
    let resumed = Observation { with_progress: 250_000, ..overloaded };
    limit.observe(Instant(100_000), &resumed);
    assert_eq!(limit.millicores(), Some(250_000));
}

#[test]
fn the_limit_is_lifted_once_nothing_has_waited_for_a_while() {
    let mut limit = Limit::default();
    run(&mut limit, CAPACITY / 2, 6, |_| HOLDS);
    assert!(limit.millicores().is_some());
    let idle = Observation { has_waiting: false, ..observe(HOLDS, HOLDS) };
    assert_eq!(limit.observe(Instant(6_300), &idle), None);
    assert_eq!(limit.observe(Instant(12_000), &idle), Some(Change::Lifted));
    assert_eq!(limit.millicores(), None);
}
