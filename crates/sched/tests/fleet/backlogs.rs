//! What a backlog of waiting steps costs the leader, on virtual time.

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_types::time::Millis;

use crate::world::{assert_kept, job, step, World};

const WORKERS: usize = 20;

/// Jobs that wait; more than any pass may hold against all workers one by one.
const WAITING_JOBS: u64 = 200;

/// How many workers a pass may look at where all waiting steps ask for the same: a search or two.
const MAX_EVALUATIONS: usize = 2 * WORKERS;

/// A job of one task that serves until it is cancelled.
fn serving_job(key: u64, count: u32) -> Job {
    let (tail_target, image) = (Some(Millis(50)), Some("serving".to_string()));
    job(key, vec![Step { lasting: true, tail_target, image, ..step(count, &[]) }])
}

#[test]
fn long_running_steps_that_do_not_fit_are_not_each_evaluated_on_all_workers() {
    let mut world = World::open(111, WORKERS);
    world.work_ms = 60_000;
    // Seven of eight cores are taken; the last one is kept for short tasks for a while.
    world.submit(job(1, vec![step(7 * WORKERS as u32, &[])]));
    world.run(1_000);
    for key in 0..WAITING_JOBS {
        world.submit(serving_job(10 + key, 1));
    }
    world.run(1_000);
    assert!(world.looks() <= MAX_EVALUATIONS, "{} looks in one pass", world.looks());
    assert_kept(&world);
}

#[test]
fn best_effort_steps_that_would_interfere_are_not_each_evaluated_on_all_workers() {
    let mut world = World::open(112, WORKERS);
    world.work_ms = 60_000;
    world.submit(serving_job(1, WORKERS as u32));
    world.readings.insert(JobKey(1), 200);
    world.run(3_000);
    for key in 0..WAITING_JOBS {
        let image = Some("filling".to_string());
        world.submit(job(10 + key, vec![Step { fills: true, image, ..step(6, &[]) }]));
    }
    world.run(1_000);
    assert!(world.looks() <= MAX_EVALUATIONS, "{} looks in one pass", world.looks());
    assert_kept(&world);
}

/// How many searches for a better place a check may make where all that is stuck is alike: one that finds
/// the free worker, one that finds it taken.
const MAX_SEARCHES: usize = 2;

/// The pattern: what fills is halted everywhere at one time, and few workers could take it. Each of those tasks
/// was held against all workers, five times a second; on 3,000 workers the leader did nothing else.
#[test]
fn identical_paused_tasks_are_not_each_evaluated_on_all_workers() {
    let mut world = World::open(113, WORKERS);
    world.work_ms = 60_000;
    world.submit(serving_job(1, WORKERS as u32));
    world.readings.insert(JobKey(1), 10);
    world.run(3_000);
    let image = Some("filling".to_string());
    let filling = Step { fills: true, checkpoints: true, image, ..step(4 * WORKERS as u32, &[]) };
    world.readings.insert(JobKey(2), 1_000);
    world.submit(job(2, vec![filling]));
    world.run(1_000);
    world.readings.insert(JobKey(1), 200);
    world.run(3_000);
    world.add_worker("free");
    let mut most = 0;
    for _ in 0..40 {
        world.run(50);
        most = most.max(world.places_searched());
    }
    assert!(most > 0, "nothing was stuck");
    assert!(most <= MAX_SEARCHES, "{most} searches in one check");
    assert_kept(&world);
}
