//! A leader whose reading of the directory is behind, on virtual time.
//!
//! Seen on 3,000 workers: the leader heard after 7 s of workers that had said that they leave, and went on to
//! start tasks there, while each of its other calls to the store was answered at once. The tests of a late and of
//! a silent reading failed while a pass looked at no age.

use crate::world::{assert_kept, job, step, Reading, World};

/// The workers of a world.
const WORKERS: usize = 12;

/// How many of them leave.
const LEAVING: usize = 6;

/// Builds a world whose directory is read in this way from the start.
fn open_with_reading(seed: u64, reading: Reading) -> World {
    let mut world = World::open(seed, WORKERS);
    world.directory.reading = Some(Reading::Late(0));
    world.run(1_000);
    world.directory.reading = Some(reading);
    world
}

/// Hands in a job of short tasks every now and then, for so many milliseconds.
fn submit_jobs_for(world: &mut World, first: u64, ms: u64) -> u64 {
    let jobs = ms / 200;
    for key in first..first + jobs {
        world.submit(job(key, vec![step(8, &[])]));
        world.run(200);
    }
    first + jobs
}

/// Counts the jobs that are completed.
fn completed(world: &World, jobs: u64) -> usize {
    (0..jobs).filter(|&key| world.is_completed(key)).count()
}

/// Lets half of the workers say that they leave while the directory is read in this way, and checks that nothing
/// starts there and all jobs end once the reading has caught up.
fn check_leaving_workers(seed: u64, reading: Reading) {
    let mut world = open_with_reading(seed, reading);
    (0..LEAVING).for_each(|at| world.says_it_leaves(at, 20_000));
    let jobs = submit_jobs_for(&mut world, 0, 6_000);
    world.directory.reading = Some(Reading::Late(100));
    world.run(6_000);
    assert_eq!(completed(&world, jobs), jobs as usize);
    assert_kept(&world);
}

#[test]
fn stale_directory_reads_hold_starts_back_until_they_catch_up() {
    check_leaving_workers(901, Reading::Late(7_000));
}

#[test]
fn unanswered_directory_reads_soon_hold_starts_back() {
    check_leaving_workers(902, Reading::Silent);
}

#[test]
fn slightly_stale_directory_reads_hold_nothing_back() {
    let mut late = open_with_reading(903, Reading::Late(400));
    let mut fresh = open_with_reading(903, Reading::Late(0));
    let jobs = submit_jobs_for(&mut late, 0, 6_000);
    submit_jobs_for(&mut fresh, 0, 6_000);
    assert_eq!(completed(&late, jobs), completed(&fresh, jobs));
    assert_kept(&late);
}

#[test]
fn an_unchanged_directory_holds_nothing_back() {
    let mut quiet = open_with_reading(904, Reading::Quiet);
    let mut fresh = open_with_reading(904, Reading::Late(0));
    let jobs = submit_jobs_for(&mut quiet, 0, 6_000);
    submit_jobs_for(&mut fresh, 0, 6_000);
    assert_eq!(completed(&quiet, jobs), completed(&fresh, jobs));
}

#[test]
fn tasks_start_while_the_store_answers_nothing_at_all() {
    let mut world = open_with_reading(905, Reading::Late(0));
    world.work_ms = 300;
    world.submit(job(1, vec![step(8, &[]), step(8, &[0]), step(8, &[1]), step(8, &[2])]));
    world.run(100);
    world.store_down = true;
    world.run(6_000);
    assert_eq!(world.starts, 32);
}

#[test]
fn a_successor_measures_the_directory_age_from_its_own_reads() {
    let mut world = open_with_reading(906, Reading::Late(0));
    world.run(4_000);
    world.change_leader(100);
    let jobs = submit_jobs_for(&mut world, 0, 4_000);
    world.run(3_000);
    assert_eq!(completed(&world, jobs), jobs as usize);
    assert_kept(&world);
}
