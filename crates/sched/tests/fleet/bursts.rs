//! Bursts of starts, on virtual time: a leader sends no more at one time than it can hear of.

use crate::world::{assert_kept, job, step, World};

const WORKERS: usize = 60;

/// Tasks that fill every worker of eight cores.
const TASKS: usize = WORKERS * 8;

const MOST: usize = 32;

#[test]
fn a_burst_is_sent_in_turn_and_still_all_started() {
    let mut world = World::open(91, WORKERS);
    world.work_ms = 60_000;
    world.settings.max_starts_in_flight = MOST;
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
    assert!(most <= MOST, "{most} starts were under way at one time");
    let running: usize = (0..12).map(|key| world.running_of(key)).sum();
    assert_eq!(running, TASKS);
    assert_kept(&world);
}

#[test]
fn silent_workers_do_not_take_up_all_the_starts_that_may_be_under_way() {
    let mut world = World::open(92, WORKERS);
    world.work_ms = 60_000;
    world.settings.max_starts_in_flight = MOST;
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
