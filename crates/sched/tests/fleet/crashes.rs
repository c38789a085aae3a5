//! Tasks that crash the workers which run them.
//!
//! Seen: a task took down one worker after the other, every 3.6 s for two minutes and under three
//! leaders, with 6 to 18 runs of other jobs each time. How it came about: a run that goes with its
//! worker leaves no listed end; it is released by a proof that it is over, and its task was ready
//! again at once, beside the same neighbours. Cause: only listed failures were counted, so a lost
//! worker said nothing about what ran there. Proved by these tests, which failed on that code.

use gaplock_jobs::progress::JobState;

use crate::world::{assert_kept, job, step, World};

/// How long after its start a task crashes its worker, in milliseconds: as seen.
const AT_ONCE_MS: u64 = 10;

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut world = World::open(301, 12);
    world.crash_under(1, 0, AT_ONCE_MS);
    world.submit(job(1, vec![step(1, &[])]));
    world.run(60_000);
    assert_eq!(world.state(1), Some(JobState::Failed), "{} workers crashed", world.crashes.of(1));
    assert!(world.crashes.of(1) <= 3, "{} workers crashed", world.crashes.of(1));
    assert_kept(&world);
}

/// Jobs whose tasks start beside the crashing one complete, and few of their runs go down with it.
#[test]
fn neighbours_of_a_crashing_task_are_spared() {
    let mut world = World::open(302, 12);
    world.work_ms = 2_000;
    world.crash_under(1, 0, AT_ONCE_MS);
    for key in 1..=6 {
        world.submit(job(key, vec![step(4, &[])]));
    }
    world.run(40_000);
    let left: Vec<u64> = (2..=6).filter(|&key| !world.is_completed(key)).collect();
    assert!(left.is_empty(), "not completed: {left:?}");
    let lost = world.crashes.innocent_runs;
    assert!(lost <= 12, "{lost} runs of other tasks lost");
    assert_eq!(world.state(1), Some(JobState::Failed));
    assert_kept(&world);
}

/// What is known of a task's crashes outlives the leader that saw them.
#[test]
fn crashes_are_counted_over_changes_of_leader() {
    let mut world = World::open(303, 16);
    world.crash_under(1, 0, AT_ONCE_MS);
    world.submit(job(1, vec![step(1, &[])]));
    for _ in 0..20 {
        world.run(3_000);
        world.lose_leader();
        world.run(500);
        world.take_over();
    }
    world.run(20_000);
    assert_eq!(world.state(1), Some(JobState::Failed), "{} workers crashed", world.crashes.of(1));
    assert_kept(&world);
}
