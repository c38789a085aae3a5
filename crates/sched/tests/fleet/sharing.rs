//! Tasks that fill beside tasks that serve, on virtual time.

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_sched::pacing::{Learned, LearnedFactor, LearnedImage};
use gaplock_types::time::Millis;

use crate::world::{assert_kept, job, step, World};

/// The bound on the tail of what serves, in milliseconds.
const TARGET_MS: u64 = 50;

/// A job of one task that serves until it is cancelled.
fn serving_job(key: u64) -> Job {
    let tail_target = Some(Millis(TARGET_MS));
    let image = Some("serving".to_string());
    job(key, vec![Step { lasting: true, tail_target, image, ..step(1, &[]) }])
}

/// A job of `count` tasks that use what the others leave.
fn filling_job(key: u64, count: u32) -> Job {
    let image = Some("filling".to_string());
    job(key, vec![Step { fills: true, image, ..step(count, &[]) }])
}

#[test]
fn tasks_that_are_slowed_down_make_no_room_for_more() {
    let mut world = World::open(101, 1);
    world.work_ms = 60_000;
    world.submit(serving_job(1));
    world.run(500);
    world.submit(filling_job(2, 4));
    world.run(500);
    assert_eq!(world.running_of(2), 4);
    // Its tail stays over the target, so what fills beside it is halted.
    world.readings.insert(JobKey(1), 4 * TARGET_MS as u32);
    world.run(3_000);
    world.submit(filling_job(3, 4));
    world.run(10_000);
    assert_eq!(world.running_of(3), 0, "halted tasks were joined by others");
    assert_kept(&world);
}

/// A reading of a serving task that has little to do, in milliseconds.
const CALM_MS: u32 = 10;

/// The pattern: the pool is full of work that fills beside what serves at low load. Six of eight cores are
/// used; four were while filling tasks had to leave two fifths of the processors alone.
#[test]
fn filling_tasks_use_most_of_what_a_calm_worker_has() {
    let mut world = World::open(104, 1);
    world.work_ms = 60_000;
    world.submit(serving_job(1));
    world.readings.insert(JobKey(1), CALM_MS);
    world.run(3_000);
    world.submit(filling_job(2, 12));
    world.run(1_000);
    let filling = world.running_of(2);
    assert!((6..=7).contains(&filling), "{filling} of eight cores are used");
    assert_kept(&world);
}

/// A reading of a serving task with so much to do that a pressing image does not go beside it, and one that
/// presses on nothing does, in milliseconds.
const BUSY_MS: u32 = 30;

/// What a leader has learnt of two serving images, of which one bears everything, and of two filling images,
/// of which one presses on the other serving image.
fn learnt() -> Learned {
    let factor = |image: &str, factor| LearnedFactor { image: image.into(), factor, variance: 0.1 };
    let image = |image: &str, heavy| LearnedImage {
        image: image.into(),
        lowest_ms: f64::from(CALM_MS),
        factors: vec![factor("heavy", heavy), factor("light", 0.0)],
    };
    Learned { images: vec![image("sturdy", 0.0), image("touchy", 4.0)] }
}

/// A job of a serving task of an image, or of `count` filling ones.
fn job_of(key: u64, image: &str, count: u32, fills: bool) -> Job {
    let tail_target = Some(Millis(TARGET_MS)).filter(|_| !fills);
    let image = Some(image.to_string());
    job(key, vec![Step { lasting: !fills, fills, tail_target, image, ..step(count, &[]) }])
}

/// A fleet of two workers: a calm serving task that bears everything on one, a busy one that bears only the
/// light image on the other.
fn sturdy_beside_touchy(seed: u64) -> World {
    let mut world = World::open(seed, 2);
    world.work_ms = 60_000;
    world.learnt = learnt();
    world.take_over();
    world.submit(job_of(1, "sturdy", 1, false));
    world.run(500);
    world.submit(job_of(2, "touchy", 1, false));
    world.readings.insert(JobKey(1), CALM_MS);
    world.readings.insert(JobKey(2), BUSY_MS);
    world.run(3_000);
    world
}

/// The pattern: images that press on nothing come first and could go anywhere, those that press on most of
/// what serves come after them. Spread evenly, the first left room for three or four of the six others.
#[test]
fn images_that_go_anywhere_leave_the_open_workers_to_those_that_do_not() {
    let mut world = sturdy_beside_touchy(105);
    world.submit(job_of(3, "light", 4, true));
    world.run(1_000);
    world.submit(job_of(4, "heavy", 6, true));
    world.run(1_000);
    assert_eq!((world.running_of(3), world.running_of(4)), (4, 6));
    assert_kept(&world);
}

/// Room for ten tasks is on both workers together; the one that fewer images could use comes first, but is
/// not crowded while the other has room.
#[test]
fn no_worker_is_crowded_while_another_has_room() {
    let mut world = sturdy_beside_touchy(106);
    world.submit(job_of(3, "light", 8, true));
    world.run(1_000);
    let most = world.running_at(0).max(world.running_at(1)) - 1;
    assert!(most <= 5, "{most} of eight filling tasks are on one worker");
    assert_kept(&world);
}

/// A reading that leaves no room beside what serves, in milliseconds.
const NEAR_TARGET_MS: u32 = 48;

/// The pattern: more work waits than the pool bears, for longer than a job's whole objective. Tasks that were
/// placed after 8 s wherever they disturbed least were halted there at once, and kept others out.
#[test]
fn a_filling_task_that_would_only_be_halted_goes_on_waiting_but_not_for_ever() {
    let mut world = World::open(103, 1);
    world.work_ms = 60_000;
    world.submit(serving_job(1));
    world.readings.insert(JobKey(1), NEAR_TARGET_MS);
    world.run(3_000);
    world.submit(filling_job(2, 4));
    world.run(15_000);
    assert_eq!(world.running_of(2), 0, "placed where they can only be halted");
    world.run(20_000);
    assert!(world.running_of(2) > 0, "they wait for ever");
    assert_kept(&world);
}

#[test]
fn a_shared_worker_is_asked_several_times_a_second() {
    let mut world = World::open(102, 1);
    world.work_ms = 60_000;
    world.submit(serving_job(1));
    world.readings.insert(JobKey(1), 10);
    world.run(2_000);
    let alone = world.renewals_within(3_000);
    world.submit(filling_job(2, 2));
    world.run(2_000);
    let shared = world.renewals_within(3_000);
    assert!(alone <= 4, "{alone} renewals in 3 s where nothing is shared");
    assert!(shared >= 8, "{shared} renewals in 3 s where readings must be fresh");
    assert_kept(&world);
}
