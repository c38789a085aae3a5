//! Workers that drain, or that the directory no longer lists, on virtual time.

use gaplock_jobs::Job;

use crate::simulation::{assert_no_violations, job, step, Simulation};

#[test]
fn a_draining_worker_is_emptied_and_gets_no_tasks() {
    let mut world = Simulation::open(5, 3);
    world.work_ms = 60_000;
    let mut long_running = step(6, &[]);
    long_running.lasting = true;
    world.submit(job(1, vec![long_running]));
    world.run(2_000);
    world.drain(0, 6_000);
    world.run(3_000);
    assert_eq!(world.running_at(0), 0);
    assert_eq!(world.running_of(1), 6);
    assert_no_violations(&world);
}

/// Builds a job of one step of `count` long-running tasks.
fn long_running_job(key: u64, count: u32) -> Job {
    let mut long_running = step(count, &[]);
    long_running.lasting = true;
    job(key, vec![long_running])
}

#[test]
fn a_worker_that_leaves_the_directory_without_draining_is_emptied() {
    let mut world = Simulation::open(21, 3);
    world.work_ms = 60_000;
    world.submit(long_running_job(1, 6));
    world.run(4_000);
    world.unlist(0);
    world.run(1_500);
    assert_eq!(world.running_at(0), 0);
    assert_eq!(world.running_of(1), 6);
    assert_no_violations(&world);
}

#[test]
fn a_worker_whose_entry_lapsed_in_an_outage_keeps_its_tasks_if_it_comes_back_in_time() {
    let mut world = Simulation::open(22, 3);
    world.work_ms = 60_000;
    world.submit(long_running_job(1, 6));
    world.run(4_000);
    let before = world.running_at(0);
    world.recover_directory();
    world.unlist(0);
    world.run(2_000);
    world.list_again(0);
    world.run(3_000);
    assert_eq!(world.running_at(0), before);
    assert_eq!(world.starts, 6, "a task was moved although its worker came back in time");
    assert_no_violations(&world);
}

#[test]
fn a_worker_still_missing_after_an_outage_is_emptied() {
    let mut world = Simulation::open(23, 3);
    world.work_ms = 60_000;
    world.submit(long_running_job(1, 6));
    world.run(4_000);
    world.recover_directory();
    world.unlist(0);
    world.run(5_000);
    assert_eq!(world.running_at(0), 0);
    assert_eq!(world.running_of(1), 6);
    assert_no_violations(&world);
}

#[test]
fn tasks_with_a_miss_limit_leave_an_unlisted_worker_one_by_one() {
    let mut world = Simulation::open(24, 3);
    world.work_ms = 60_000;
    let mut long_running = step(9, &[]);
    long_running.lasting = true;
    long_running.may_miss = Some(1);
    world.submit(job(1, vec![long_running]));
    world.run(4_000);
    assert!(world.running_at(0) > 1);
    world.unlist(0);
    let mut fewest_running = 9;
    for _ in 0..600 {
        world.run(10);
        fewest_running = fewest_running.min(world.running_of(1));
    }
    assert_eq!(fewest_running, 8, "fewest tasks running at one time, one of nine may be missed");
    assert_eq!(world.running_at(0), 0);
    assert_no_violations(&world);
}

/// Guards against tasks that are started again after their recorded ends, seen on a day on which a
/// third of the workers restarted under their names. The numbers of a restarted worker's ends begin
/// at 1 again. The leader knew a worker by its name alone, so it skipped each number up to the last
/// one that it knew, and yet acknowledged up to that one. The log showed `end_passed_over` for each
/// such run here, and on that day releases as not listed on just the restarted workers, until their
/// numbers had caught up.
#[test]
fn ends_of_a_worker_that_restarts_under_its_id_are_not_taken_for_old_ones() {
    let mut world = Simulation::open(914, 1);
    world.work_ms = 2_000;
    world.submit(job(1, vec![step(8, &[])]));
    world.run(5_000);
    assert!(world.is_completed(1));
    world.restart_worker(0);
    world.submit(job(2, vec![step(4, &[])]));
    world.run(20_000);
    assert_no_violations(&world);
    assert!(world.is_completed(2));
}
