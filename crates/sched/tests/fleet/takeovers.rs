//! What a new leader waits for after it has taken over, on virtual time.

use gaplock_jobs::progress::JobState;
use gaplock_sched::claims::FormerLeaders;
use gaplock_sched::Event;
use gaplock_types::time::Instant;

use crate::simulation::{assert_no_violations, job, long_running_step, step, Simulation};

/// Longer than the leader takes to notice that a worker is silent, and shorter than the worker's
/// lease, in milliseconds.
const SILENCE_NOTICED_MS: u64 = 3_000;

#[test]
fn a_successor_delays_only_tasks_that_a_silent_worker_may_run() {
    let mut sim = Simulation::open(81, 3);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![step(12, &[])]));
    sim.run(1_000);
    sim.crash(0);
    sim.run(SILENCE_NOTICED_MS);
    let still_running = sim.running_of(1);
    assert!(still_running < 12, "no task ran at the lost worker");
    // Tasks that wait for free capacity when the leader is lost are at no worker.
    sim.work_ms = 1_000;
    sim.submit(job(2, vec![step(16, &[])]));
    sim.run(100);
    let before = sim.starts;
    sim.start_new_leader();
    sim.run(1_500);
    assert!(sim.starts > before, "the successor started no task");
    assert_eq!(
        sim.running_of(1),
        still_running,
        "the successor started a task that a silent worker may still run"
    );
    sim.work_ms = 60_000;
    sim.run(8_000);
    assert_eq!(sim.running_of(1), 12);
    assert_no_violations(&sim);
}

#[test]
fn a_successor_does_not_wait_for_a_worker_that_left_empty() {
    let mut sim = Simulation::open(82, 3);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![step(6, &[])]));
    sim.run(1_000);
    sim.drain(0, 4_000);
    sim.run(4_500);
    assert_eq!(sim.running_at(0), 0);
    sim.unlist(0);
    sim.crash(0);
    sim.run(300);
    sim.start_new_leader();
    sim.submit(job(2, vec![step(2, &[])]));
    sim.run(200);
    assert!(!sim.in_recovery_scan(), "the successor waits for a worker that ran no task");
    assert_no_violations(&sim);
}

/// Guards against a progress record that cannot be read being taken for a missing one: the
/// successor started all tasks again, also those whose ends were acknowledged.
#[test]
fn a_job_whose_progress_cannot_be_read_is_not_started_again() {
    let mut sim = Simulation::open(951, 2);
    sim.work_ms = 2_000;
    sim.submit(job(1, vec![step(2, &[]), step(6, &[0])]));
    sim.submit(job(2, vec![long_running_step(2)]));
    sim.run(2_800);
    let starts = sim.starts;
    assert_eq!(sim.running_of(1), 6);
    sim.make_progress_unreadable(1);
    sim.make_progress_unreadable(2);
    sim.change_leader(200);
    sim.run(500);
    assert_eq!(sim.running_of(1), 6, "running tasks must be left to end");
    sim.submit(job(3, vec![step(4, &[])]));
    sim.run(9_000);
    assert_eq!((sim.running_of(1), sim.running_of(2)), (0, 2));
    assert!(sim.is_completed(3));
    assert_eq!(sim.starts, starts + 4);
    assert_no_violations(&sim);
}

#[test]
fn a_job_whose_progress_cannot_be_read_can_be_cancelled() {
    let mut sim = Simulation::open(952, 2);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![step(6, &[])]));
    sim.run(2_000);
    sim.make_progress_unreadable(1);
    sim.change_leader(200);
    sim.run(1_000);
    assert_eq!(sim.running_of(1), 6);
    sim.cancel(1);
    sim.run(2_000);
    assert_eq!(sim.running_of(1), 0);
    assert_eq!(sim.state(1), Some(JobState::Cancelled));
    sim.change_leader(200);
    sim.run(2_000);
    assert_eq!(sim.running_of(1), 0);
    assert_no_violations(&sim);
}

/// How long the former leader may act on, in milliseconds.
const UNSEEN_FOR_MS: u64 = 20_000;

/// Longer than the recovery scan of a successor whose former leader stopped before the claim.
const SCAN_MS: u64 = 7_500;

/// Opens a simulation in which worker 0 is silent, and whose new leader does not know whether the
/// former one acts on.
fn takeover_from_an_unseen_leader(seed: u64) -> Simulation {
    let mut sim = Simulation::open(seed, 3);
    sim.work_ms = 120_000;
    sim.submit(job(1, vec![step(12, &[])]));
    sim.run(1_000);
    sim.crash(0);
    sim.former_leaders = FormerLeaders::UnseenUntil(Instant(sim.now + UNSEEN_FOR_MS));
    sim.start_new_leader();
    sim
}

/// Guards against a successor that starts the tasks of a worker whose leases a former leader on
/// the other side of a partition still renews.
#[test]
fn a_successor_waits_for_a_former_leader_that_may_act_on() {
    let mut sim = takeover_from_an_unseen_leader(91);
    let found = sim.running_of(1);
    sim.run(UNSEEN_FOR_MS);
    assert!(sim.in_recovery_scan());
    assert_eq!(sim.running_of(1), found, "a task was started that may run at the silent worker");
    sim.run(SCAN_MS);
    assert!(!sim.in_recovery_scan());
    assert_eq!(sim.running_of(1), 12);
    assert_eq!(sim.former_leaders, FormerLeaders::default(), "the next leader would wait again");
    assert_no_violations(&sim);
}

#[test]
fn a_successor_waits_for_the_leases_only_once_the_former_leader_has_stopped() {
    let mut sim = takeover_from_an_unseen_leader(92);
    let found = sim.running_of(1);
    sim.run(2_000);
    sim.notify_leader(Event::FormerLeadersStopped);
    sim.run(5_000);
    assert_eq!(sim.running_of(1), found, "a task was started that may run at the silent worker");
    sim.run(SCAN_MS - 5_000);
    assert_eq!(sim.running_of(1), 12);
    assert_no_violations(&sim);
}

/// Guards against a leader without confirmation that takes a worker's silence for the end of its
/// leases, though a successor may have renewed them.
#[test]
fn a_leader_that_may_be_superseded_keeps_the_runs_of_silent_workers() {
    let mut sim = Simulation::open(93, 3);
    sim.work_ms = 120_000;
    sim.submit(job(1, vec![step(12, &[])]));
    sim.run(1_000);
    sim.set_may_be_superseded(true);
    sim.crash(0);
    let left = sim.running_of(1);
    sim.run(UNSEEN_FOR_MS);
    assert_eq!(sim.running_of(1), left, "the tasks of the silent worker were started again");
    sim.set_may_be_superseded(false);
    sim.run(SCAN_MS);
    assert_eq!(sim.running_of(1), 12);
    assert_no_violations(&sim);
}
