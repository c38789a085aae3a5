//! The work that a backlog of waiting steps causes at the leader, on virtual time.
//!
//! A leader that evaluates all workers for each of many identical steps has no time left for anything else.

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Simulation};

const WORKERS: usize = 20;

/// How many jobs wait: more than a dispatch pass may evaluate on all workers one by one.
const WAITING_JOBS: u64 = 200;

/// How many candidate evaluations a dispatch pass may make where all waiting steps ask for the same: one or two
/// searches over all workers.
const MAX_EVALUATIONS: usize = 2 * WORKERS;

/// Builds a job of `count` serving tasks that run until it is cancelled.
fn serving_job(key: u64, count: u32) -> Job {
    let (tail_target, image) = (Some(Millis(50)), Some("serving".to_string()));
    job(key, vec![Step { lasting: true, tail_target, image, ..step(count, &[]) }])
}

#[test]
fn long_running_steps_that_do_not_fit_are_not_each_evaluated_on_all_workers() {
    let mut sim = Simulation::open(111, WORKERS);
    sim.work_ms = 60_000;
    // Seven of eight cores are in use; the last one is reserved for short tasks for a while.
    sim.submit(job(1, vec![step(7 * WORKERS as u32, &[])]));
    sim.run(1_000);
    for key in 0..WAITING_JOBS {
        sim.submit(serving_job(10 + key, 1));
    }
    sim.run(1_000);
    assert!(
        sim.evaluations() <= MAX_EVALUATIONS,
        "{} candidate evaluations in one dispatch pass, expected at most {MAX_EVALUATIONS}",
        sim.evaluations()
    );
    assert_no_violations(&sim);
}

#[test]
fn best_effort_steps_that_would_interfere_are_not_each_evaluated_on_all_workers() {
    let mut sim = Simulation::open(112, WORKERS);
    sim.work_ms = 60_000;
    sim.submit(serving_job(1, WORKERS as u32));
    sim.readings.insert(JobKey(1), 200);
    sim.run(3_000);
    for key in 0..WAITING_JOBS {
        let image = Some("filling".to_string());
        sim.submit(job(10 + key, vec![Step { fills: true, image, ..step(6, &[]) }]));
    }
    sim.run(1_000);
    assert!(
        sim.evaluations() <= MAX_EVALUATIONS,
        "{} candidate evaluations in one dispatch pass, expected at most {MAX_EVALUATIONS}",
        sim.evaluations()
    );
    assert_no_violations(&sim);
}

/// How many searches for another worker a rebalancing check may make where all paused tasks are identical: one
/// that finds the free worker, one that finds it taken.
const MAX_SEARCHES: usize = 2;

/// Guards against a leader that is busy with rebalancing only. Best-effort tasks are paused everywhere at one time,
/// and few workers could take them. Each of those tasks was evaluated on all workers five times a second, which
/// took all of the leader's time on 3,000 workers.
#[test]
fn identical_paused_tasks_are_not_each_evaluated_on_all_workers() {
    let mut sim = Simulation::open(113, WORKERS);
    sim.work_ms = 60_000;
    sim.submit(serving_job(1, WORKERS as u32));
    sim.readings.insert(JobKey(1), 10);
    sim.run(3_000);
    let image = Some("filling".to_string());
    let best_effort =
        Step { fills: true, checkpoints: true, image, ..step(4 * WORKERS as u32, &[]) };
    sim.readings.insert(JobKey(2), 1_000);
    sim.submit(job(2, vec![best_effort]));
    sim.run(1_000);
    sim.readings.insert(JobKey(1), 200);
    sim.run(3_000);
    sim.add_worker("free");
    let mut max_searches = 0;
    for _ in 0..40 {
        sim.run(50);
        max_searches = max_searches.max(sim.rebalance_searches());
    }
    assert!(max_searches > 0, "no check searched for another worker: no task was paused");
    assert!(
        max_searches <= MAX_SEARCHES,
        "{max_searches} searches in one rebalancing check, expected at most {MAX_SEARCHES}"
    );
    assert_no_violations(&sim);
}
