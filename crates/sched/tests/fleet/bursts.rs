//! Bursts of starts, on virtual time: a leader has no more starts in flight than it can handle the answers of.

use crate::simulation::{assert_no_violations, job, step, Simulation};

const WORKERS: usize = 60;

/// How many tasks fill all workers, which have eight cores each.
const TASKS: usize = WORKERS * 8;

/// How many starts the leader may have in flight.
const MAX_STARTS_IN_FLIGHT: usize = 32;

#[test]
fn starts_in_flight_stay_limited_in_a_burst_and_all_tasks_start() {
    let mut world = Simulation::open(91, WORKERS);
    world.work_ms = 60_000;
    world.settings.max_starts_in_flight = MAX_STARTS_IN_FLIGHT;
    world.start_new_leader();
    world.run(1_000);
    for key in 0..12 {
        world.submit(job(key, vec![step(TASKS as u32 / 12, &[])]));
    }
    let mut max_in_flight = 0;
    for _ in 0..500 {
        world.run(1);
        max_in_flight = max_in_flight.max(world.starts_under_way());
    }
    assert!(
        max_in_flight <= MAX_STARTS_IN_FLIGHT,
        "{max_in_flight} starts in flight at one time, expected at most {MAX_STARTS_IN_FLIGHT}"
    );
    let running: usize = (0..12).map(|key| world.running_of(key)).sum();
    assert_eq!(running, TASKS);
    assert_no_violations(&world);
}

#[test]
fn silent_workers_do_not_use_up_the_limit_of_starts_in_flight() {
    let mut world = Simulation::open(92, WORKERS);
    world.work_ms = 60_000;
    world.settings.max_starts_in_flight = MAX_STARTS_IN_FLIGHT;
    world.start_new_leader();
    world.run(1_000);
    for worker in 0..10 {
        world.crash(worker);
    }
    world.submit(job(1, vec![step(200, &[])]));
    world.run(1_500);
    let running = world.running_of(1);
    assert!(
        running >= 160,
        "only {running} of 200 tasks run while 10 workers are silent, expected at least 160"
    );
    assert_no_violations(&world);
}
