//! What a new leader waits for after it has taken over, on virtual time.

use gaplock_jobs::progress::JobState;

use crate::simulation::{assert_no_violations, job, long_running_step, step, Simulation};

/// Longer than the leader takes to notice that a worker is silent, and shorter than the worker's
/// lease, in milliseconds.
const SILENCE_NOTICED_MS: u64 = 3_000;

#[test]
fn a_successor_delays_only_tasks_that_a_silent_worker_may_run() {
    let mut world = Simulation::open(81, 3);
    world.work_ms = 60_000;
    world.submit(job(1, vec![step(12, &[])]));
    world.run(1_000);
    world.crash(0);
    world.run(SILENCE_NOTICED_MS);
    let still_running = world.running_of(1);
    assert!(still_running < 12, "no task ran at the lost worker");
    // Tasks that wait for free capacity when the leader is lost are at no worker.
    world.work_ms = 1_000;
    world.submit(job(2, vec![step(16, &[])]));
    world.run(100);
    let before = world.starts;
    world.start_new_leader();
    world.run(1_500);
    assert!(world.starts > before, "the successor started no task");
    assert_eq!(
        world.running_of(1),
        still_running,
        "the successor started a task that a silent worker may still run"
    );
    world.work_ms = 60_000;
    world.run(8_000);
    assert_eq!(world.running_of(1), 12);
    assert_no_violations(&world);
}

#[test]
fn a_successor_does_not_wait_for_a_worker_that_left_empty() {
    let mut world = Simulation::open(82, 3);
    world.work_ms = 60_000;
    world.submit(job(1, vec![step(6, &[])]));
    world.run(1_000);
    world.drain(0, 4_000);
    world.run(4_500);
    assert_eq!(world.running_at(0), 0);
    world.unlist(0);
    world.crash(0);
    world.run(300);
    world.start_new_leader();
    world.submit(job(2, vec![step(2, &[])]));
    world.run(200);
    assert!(!world.in_recovery_scan(), "the successor waits for a worker that ran no task");
    assert_no_violations(&world);
}

/// Guards against a progress record that cannot be read being taken for a missing one: the
/// successor started all tasks again, also those whose ends were acknowledged.
#[test]
fn a_job_whose_progress_cannot_be_read_is_not_started_again() {
    let mut world = Simulation::open(951, 2);
    world.work_ms = 2_000;
    world.submit(job(1, vec![step(2, &[]), step(6, &[0])]));
    world.submit(job(2, vec![long_running_step(2)]));
    world.run(2_800);
    let starts = world.starts;
    assert_eq!(world.running_of(1), 6);
    world.make_progress_unreadable(1);
    world.make_progress_unreadable(2);
    world.change_leader(200);
    world.run(500);
    assert_eq!(world.running_of(1), 6, "running tasks must be left to end");
    world.submit(job(3, vec![step(4, &[])]));
    world.run(9_000);
    assert_eq!((world.running_of(1), world.running_of(2)), (0, 2));
    assert!(world.is_completed(3));
    assert_eq!(world.starts, starts + 4);
    assert_no_violations(&world);
}

#[test]
fn a_job_whose_progress_cannot_be_read_can_be_cancelled() {
    let mut world = Simulation::open(952, 2);
    world.work_ms = 60_000;
    world.submit(job(1, vec![step(6, &[])]));
    world.run(2_000);
    world.make_progress_unreadable(1);
    world.change_leader(200);
    world.run(1_000);
    assert_eq!(world.running_of(1), 6);
    world.cancel(1);
    world.run(2_000);
    assert_eq!(world.running_of(1), 0);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    world.change_leader(200);
    world.run(2_000);
    assert_eq!(world.running_of(1), 0);
    assert_no_violations(&world);
}
