//! Bursts of starts, on virtual time: a leader sends no more at one time than it can hear of.

use crate::world::{assert_kept, job, step, World};

const WORKERS: usize = 60;

/// Tasks that fill every worker of eight cores.
const TASKS: usize = WORKERS * 8;

const MAX_STARTS_IN_FLIGHT: usize = 32;

#[test]
fn starts_in_flight_stay_limited_in_a_burst_and_all_tasks_start() {
    let mut world = World::open(91, WORKERS);
    world.work_ms = 60_000;
    world.settings.max_starts_in_flight = MAX_STARTS_IN_FLIGHT;
    world.take_over();
    world.run(1_000);
    for key in 0..12 {
        world.submit(job(key, vec![step(TASKS as u32 / 12, &[])]));
    }
    let mut most = 0;
    for _ in 0..500 {
        world.run(1);
        most = most.max(world.starts_under_way());
    }
    assert!(most <= MAX_STARTS_IN_FLIGHT, "{most} starts were under way at one time");
    let running: usize = (0..12).map(|key| world.running_of(key)).sum();
    assert_eq!(running, TASKS);
    assert_kept(&world);
}

#[test]
fn silent_workers_do_not_use_up_the_limit_of_starts_in_flight() {
    let mut world = World::open(92, WORKERS);
    world.work_ms = 60_000;
    world.settings.max_starts_in_flight = MAX_STARTS_IN_FLIGHT;
    world.take_over();
    world.run(1_000);
    for worker in 0..10 {
        world.crash(worker);
    }
    world.submit(job(1, vec![step(200, &[])]));
    world.run(1_500);
    let running = world.running_of(1);
    assert!(running >= 160, "only {running} of 200 tasks run beside silent workers");
    assert_kept(&world);
}
