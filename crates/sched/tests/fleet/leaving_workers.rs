//! Workers that drain, or that the directory no longer lists, on virtual time.

use gaplock_jobs::Job;

use crate::simulation::{assert_no_violations, job, step, Simulation};

#[test]
fn a_draining_worker_is_emptied_and_gets_no_tasks() {
    let mut sim = Simulation::open(5, 3);
    sim.work_ms = 60_000;
    let mut long_running = step(6, &[]);
    long_running.lasting = true;
    sim.submit(job(1, vec![long_running]));
    sim.run(2_000);
    sim.drain(0, 6_000);
    sim.run(3_000);
    assert_eq!(sim.running_at(0), 0);
    assert_eq!(sim.running_of(1), 6);
    assert_no_violations(&sim);
}

/// Builds a job of one step of `count` long-running tasks.
fn long_running_job(key: u64, count: u32) -> Job {
    let mut long_running = step(count, &[]);
    long_running.lasting = true;
    job(key, vec![long_running])
}

#[test]
fn a_worker_that_leaves_the_directory_without_draining_is_emptied() {
    let mut sim = Simulation::open(21, 3);
    sim.work_ms = 60_000;
    sim.submit(long_running_job(1, 6));
    sim.run(4_000);
    sim.unlist(0);
    sim.run(1_500);
    assert_eq!(sim.running_at(0), 0);
    assert_eq!(sim.running_of(1), 6);
    assert_no_violations(&sim);
}

#[test]
fn a_worker_whose_entry_lapsed_in_an_outage_keeps_its_tasks_if_it_comes_back_in_time() {
    let mut sim = Simulation::open(22, 3);
    sim.work_ms = 60_000;
    sim.submit(long_running_job(1, 6));
    sim.run(4_000);
    let before = sim.running_at(0);
    sim.recover_directory();
    sim.unlist(0);
    sim.run(2_000);
    sim.list_again(0);
    sim.run(3_000);
    assert_eq!(sim.running_at(0), before);
    assert_eq!(sim.starts, 6, "a task was moved although its worker came back in time");
    assert_no_violations(&sim);
}

#[test]
fn a_worker_still_missing_after_an_outage_is_emptied() {
    let mut sim = Simulation::open(23, 3);
    sim.work_ms = 60_000;
    sim.submit(long_running_job(1, 6));
    sim.run(4_000);
    sim.recover_directory();
    sim.unlist(0);
    sim.run(5_000);
    assert_eq!(sim.running_at(0), 0);
    assert_eq!(sim.running_of(1), 6);
    assert_no_violations(&sim);
}

#[test]
fn tasks_with_a_miss_limit_leave_an_unlisted_worker_one_by_one() {
    let mut sim = Simulation::open(24, 3);
    sim.work_ms = 60_000;
    let mut long_running = step(9, &[]);
    long_running.lasting = true;
    long_running.may_miss = Some(1);
    sim.submit(job(1, vec![long_running]));
    sim.run(4_000);
    assert!(sim.running_at(0) > 1);
    sim.unlist(0);
    let mut fewest_running = 9;
    for _ in 0..600 {
        sim.run(10);
        fewest_running = fewest_running.min(sim.running_of(1));
    }
    assert_eq!(fewest_running, 8, "fewest tasks running at one time, one of nine may be missed");
    assert_eq!(sim.running_at(0), 0);
    assert_no_violations(&sim);
}

/// Guards against tasks that are started again after their recorded ends, seen on a day on which a
/// third of the workers restarted under their names. The numbers of a restarted worker's ends begin
/// at 1 again. The leader knew a worker by its name alone, so it skipped each number up to the last
/// one that it knew, and yet acknowledged up to that one. The log showed `end_passed_over` for each
/// such run here, and on that day releases as not listed on just the restarted workers, until their
/// numbers had caught up.
#[test]
fn ends_of_a_worker_that_restarts_under_its_id_are_not_taken_for_old_ones() {
    let mut sim = Simulation::open(914, 1);
    sim.work_ms = 2_000;
    sim.submit(job(1, vec![step(8, &[])]));
    sim.run(5_000);
    assert!(sim.is_completed(1));
    sim.restart_worker(0);
    sim.submit(job(2, vec![step(4, &[])]));
    sim.run(20_000);
    assert_no_violations(&sim);
    assert!(sim.is_completed(2));
}
