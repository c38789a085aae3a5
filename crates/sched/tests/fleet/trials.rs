//! Workers that are kept for tasks under which others were lost, on a pool that has few.
//!
//! Seen in a run of real processes: on a pool of two workers four lasting tasks, innocent neighbours of
//! tasks that crash, kept both for 9 s at a time, while twenty short tasks waited beside 27 free cores. Cause:
//! each task under which several workers were lost kept a worker, whatever was left for the others.

use gaplock_jobs::Step;

use crate::world::{assert_kept, job, step, World};

/// How long short tasks may wait while suspects are tried, in milliseconds: the second for which each is tried
/// alone in any case, and what orders and ends take.
const WAITS_MOST_MS: u64 = 1_800;

/// How long a short task works, in milliseconds.
const SHORT_MS: u64 = 300;

/// A fleet of so many workers, each of which was lost twice under lasting tasks of one job.
fn twice_lost(seed: u64, workers: usize) -> World {
    let mut world = World::open(seed, workers);
    world.work_ms = SHORT_MS;
    let lasting = Step { lasting: true, most_per_worker: Some(1), ..step(workers as u32, &[]) };
    world.submit(job(1, vec![lasting]));
    world.run(2_000);
    for round in 0..2 {
        for _ in 0..workers {
            let running = |at: &usize| world.workers[*at].up && world.running_at(*at) > 0;
            let at = (0..world.workers.len()).find(running).expect("one runs a task");
            world.crash_and_return(at);
            world.run(200);
        }
        world.run(if round == 0 { 12_000 } else { 0 });
    }
    while world.running_of(1) < workers {
        world.run(20);
    }
    world
}

/// Hands in a short job every quarter of a second for a while, and returns how long the slowest took.
fn slowest_short_job(world: &mut World) -> u64 {
    let (every, jobs) = (250, 40);
    let mut slowest = 0;
    let mut waiting: Vec<(u64, u64)> = Vec::new();
    for key in 100..100 + jobs {
        world.submit(job(key, vec![step(4, &[])]));
        waiting.push((key, world.now));
        world.run(every);
        waiting.retain(|&(key, since)| {
            slowest = slowest.max(world.now - since);
            !world.is_completed(key)
        });
    }
    slowest
}

#[test]
fn suspects_do_not_keep_a_whole_pool_of_two_to_themselves() {
    let mut world = twice_lost(901, 2);
    let slowest = slowest_short_job(&mut world);
    assert!(slowest <= WAITS_MOST_MS + SHORT_MS, "a short job took {slowest} ms");
    assert_eq!(world.running_of(1), 2);
    assert_kept(&world);
}

#[test]
fn a_suspect_does_not_keep_the_only_worker_for_long() {
    let mut world = twice_lost(902, 1);
    let slowest = slowest_short_job(&mut world);
    assert!(slowest <= WAITS_MOST_MS + SHORT_MS, "a short job took {slowest} ms");
    assert_eq!(world.running_of(1), 1);
    assert_kept(&world);
}
