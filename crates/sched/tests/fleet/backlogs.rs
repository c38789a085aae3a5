//! What a backlog of waiting steps costs the leader, on virtual time.

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_types::time::Millis;

use crate::world::{assert_kept, job, step, World};

const WORKERS: usize = 20;

/// Jobs that wait; more than any pass may hold against all workers one by one.
const WAITING: u64 = 200;

/// How many workers a pass may look at where all waiting steps ask for the same: a search or two.
const LOOKS: usize = 2 * WORKERS;

/// A job of one task that serves until it is cancelled.
fn serving_job(key: u64, count: u32) -> Job {
    let (tail_target, image) = (Some(Millis(50)), Some("serving".to_string()));
    job(key, vec![Step { lasting: true, tail_target, image, ..step(count, &[]) }])
}

#[test]
fn lasting_steps_that_find_no_room_are_not_each_held_against_all_workers() {
    let mut world = World::open(111, WORKERS);
    world.work_ms = 60_000;
    // Seven of eight cores are taken; the last one is kept for short tasks for a while.
    world.submit(job(1, vec![step(7 * WORKERS as u32, &[])]));
    world.run(1_000);
    for key in 0..WAITING {
        world.submit(serving_job(10 + key, 1));
    }
    world.run(1_000);
    assert!(world.looks() <= LOOKS, "{} looks in one pass", world.looks());
    assert_kept(&world);
}

#[test]
fn filling_steps_that_would_disturb_are_not_each_held_against_all_workers() {
    let mut world = World::open(112, WORKERS);
    world.work_ms = 60_000;
    world.submit(serving_job(1, WORKERS as u32));
    world.readings.insert(JobKey(1), 200);
    world.run(3_000);
    for key in 0..WAITING {
        let image = Some("filling".to_string());
        world.submit(job(10 + key, vec![Step { fills: true, image, ..step(6, &[]) }]));
    }
    world.run(1_000);
    assert!(world.looks() <= LOOKS, "{} looks in one pass", world.looks());
    assert_kept(&world);
}
