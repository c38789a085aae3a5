//! The limit on the best-effort demand that is at work in a pool at one time.

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Simulation};

const TAIL_TARGET_MS: u64 = 50;

/// Builds a serving job of which only one fits on a worker.
fn serving_job(key: u64) -> Job {
    let tail_target = Some(Millis(TAIL_TARGET_MS));
    let image = Some(format!("serving-{key}"));
    let demand = Resources::new(4_500, 512, 0);
    job(key, vec![Step { lasting: true, tail_target, image, demand, ..step(1, &[]) }])
}

/// Builds a job of `count` best-effort tasks.
fn best_effort_job(key: u64, count: u32, millicores: u32) -> Job {
    let image = Some("filling".to_string());
    let demand = Resources::new(millicores, 512, 0);
    job(key, vec![Step { fills: true, image, demand, ..step(count, &[]) }])
}

/// Builds a pool of two workers, on one of which the tail of the serving task has been over its
/// target until half of the best-effort work was halted, while other work waits.
fn half_halted_pool(limit: bool) -> Simulation {
    let mut sim = Simulation::open(321, 2);
    sim.work_ms = 60_000;
    sim.settings.limit_best_effort = limit;
    sim.start_new_leader();
    for key in [1, 2] {
        sim.submit(serving_job(key));
        sim.readings.insert(JobKey(key), 10);
        sim.run(500);
    }
    sim.run(2_000);
    sim.submit(best_effort_job(3, 8, 500));
    sim.submit(best_effort_job(4, 1, 8_000));
    sim.run(500);
    assert_eq!((sim.running_of(3), sim.running_of(4)), (8, 0));
    sim.readings.insert(JobKey(1), 4 * TAIL_TARGET_MS as u32);
    sim.run(2_500);
    assert!(sim.paces_of(3).contains(&0), "nothing is halted");
    sim
}

/// Load: a large part of the best-effort work is halted for serving tasks. Further work was started
/// wherever it fitted, so that ever more jobs had halted tasks and all of them ended late.
#[test]
fn no_more_work_starts_while_much_of_it_is_halted() {
    let mut sim = half_halted_pool(true);
    sim.submit(best_effort_job(5, 2, 500));
    sim.run(1_000);
    assert_eq!(sim.running_of(5), 0, "work was started beyond the limit");
    assert_eq!(sim.running_of(3), 8, "work was stopped for the limit");
    sim.readings.insert(JobKey(1), 10);
    sim.run(10_000);
    assert_eq!(sim.running_of(5), 2, "the limit was not raised again");
    assert_no_violations(&sim);
}

#[test]
fn without_the_setting_work_starts_wherever_it_fits() {
    let mut sim = half_halted_pool(false);
    sim.submit(best_effort_job(5, 2, 500));
    sim.run(1_000);
    assert_eq!(sim.running_of(5), 2);
    assert_no_violations(&sim);
}
