//! Bursts of starts, on virtual time: a leader has no more starts in flight than it can handle the answers of.

use crate::simulation::{assert_no_violations, job, step, Simulation};

const WORKERS: usize = 60;

/// How many tasks fill all workers, which have eight cores each.
const TASKS: usize = WORKERS * 8;

/// How many starts the leader may have in flight.
const MAX_STARTS_IN_FLIGHT: usize = 32;

#[test]
fn starts_in_flight_stay_limited_in_a_burst_and_all_tasks_start() {
    let mut sim = Simulation::open(91, WORKERS);
    sim.work_ms = 60_000;
    sim.settings.max_starts_in_flight = MAX_STARTS_IN_FLIGHT;
    sim.start_new_leader();
    sim.run(1_000);
    for key in 0..12 {
        sim.submit(job(key, vec![step(TASKS as u32 / 12, &[])]));
    }
    let mut max_in_flight = 0;
    for _ in 0..500 {
        sim.run(1);
        max_in_flight = max_in_flight.max(sim.starts_under_way());
    }
    assert!(
        max_in_flight <= MAX_STARTS_IN_FLIGHT,
        "{max_in_flight} starts in flight at one time, expected at most {MAX_STARTS_IN_FLIGHT}"
    );
    let running: usize = (0..12).map(|key| sim.running_of(key)).sum();
    assert_eq!(running, TASKS);
    assert_no_violations(&sim);
}

#[test]
fn silent_workers_do_not_use_up_the_limit_of_starts_in_flight() {
    let mut sim = Simulation::open(92, WORKERS);
    sim.work_ms = 60_000;
    sim.settings.max_starts_in_flight = MAX_STARTS_IN_FLIGHT;
    sim.start_new_leader();
    sim.run(1_000);
    for worker in 0..10 {
        sim.crash(worker);
    }
    sim.submit(job(1, vec![step(200, &[])]));
    sim.run(1_500);
    let running = sim.running_of(1);
    assert!(
        running >= 160,
        "only {running} of 200 tasks run while 10 workers are silent, expected at least 160"
    );
    assert_no_violations(&sim);
}
