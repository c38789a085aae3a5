//! Invariants of the scheduler that hold under any faults, on virtual time.

use crate::simulation::{
    self, assert_no_violations, job, run_twenty_jobs, step, Faults, Simulation,
};
use gaplock_jobs::config::Advice;
use gaplock_jobs::progress::JobState;
use gaplock_jobs::JobKey;
use gaplock_types::time::Millis;

#[test]
fn a_job_of_two_steps_completes() {
    let mut world = Simulation::open(1, 3);
    world.submit(job(1, vec![step(6, &[]), step(4, &[0])]));
    world.run(3_000);
    assert!(world.is_completed(1));
    assert_eq!(world.starts, 10);
    assert_no_violations(&world);
}

#[test]
fn a_successor_starts_no_running_task_again() {
    let mut world = Simulation::open(2, 3);
    world.work_ms = 4_000;
    world.submit(job(1, vec![step(6, &[]), step(4, &[0])]));
    world.run(1_000);
    world.change_leader(2_500);
    world.run(9_000);
    assert!(world.is_completed(1));
    assert_eq!(world.starts, 10, "the successor started tasks again");
    assert_no_violations(&world);
}

#[test]
fn a_successor_waits_for_the_leases_of_a_silent_worker() {
    let mut world = Simulation::open(3, 3);
    world.work_ms = 30_000;
    world.submit(job(1, vec![step(9, &[])]));
    world.run(1_000);
    let at_risk = world.running_at(0);
    assert!(at_risk > 0);
    world.workers[0].partitioned = true;
    world.start_new_leader();
    world.run(5_500);
    assert_eq!(world.starts, 9, "a task was started although its lease may not have ended");
    world.run(4_000);
    assert_eq!(
        world.starts,
        9 + at_risk as u64,
        "the tasks of a lost worker were not started elsewhere"
    );
    assert_no_violations(&world);
}

#[test]
fn a_worker_that_answers_again_after_its_leases_end_runs_no_task_twice() {
    let mut world = Simulation::open(4, 3);
    world.work_ms = 9_000;
    world.submit(job(1, vec![step(9, &[])]));
    world.run(500);
    world.workers[1].partitioned = true;
    world.run(8_000);
    world.workers[1].partitioned = false;
    world.run(20_000);
    assert!(world.is_completed(1));
    assert_no_violations(&world);
}

#[test]
fn a_cancelled_job_stops_and_never_starts_again() {
    let mut world = Simulation::open(6, 2);
    world.work_ms = 60_000;
    world.submit(job(1, vec![step(20, &[])]));
    world.run(1_000);
    world.cancel(1);
    world.run(2_000);
    assert_eq!(world.running_of(1), 0);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    world.start_new_leader();
    world.run(3_000);
    assert_eq!(world.running_of(1), 0);
    assert_no_violations(&world);
}

#[test]
fn a_task_that_always_fails_fails_its_job() {
    let mut world = Simulation::open(7, 3);
    world.faults.failing_per_mille = 1_000;
    world.submit(job(1, vec![step(1, &[])]));
    world.run(4_000);
    assert_eq!(world.state(1), Some(JobState::Failed));
    assert_eq!(world.starts, u64::from(simulation::MAX_ATTEMPTS));
}

#[test]
fn a_worker_that_fails_everything_is_avoided() {
    let mut world = Simulation::open(8, 4);
    world.workers[0].failing = true;
    for key in 0..10 {
        world.submit(job(key, vec![step(4, &[])]));
        world.run(300);
    }
    world.run(3_000);
    let completed = (0..10).filter(|&key| world.is_completed(key)).count();
    assert_eq!(completed, 10, "jobs failed because of one failing worker");
    assert_no_violations(&world);
}

#[test]
fn a_final_state_is_stored_before_an_end_is_acknowledged() {
    let mut world = Simulation::open(9, 2);
    world.submit(job(1, vec![step(4, &[])]));
    world.run(300);
    world.store_down = true;
    world.run(2_000);
    assert!(!world.is_completed(1));
    world.start_new_leader();
    world.run(1_000);
    assert_eq!(world.starts, 4, "an end that was not stored was lost");
    world.store_down = false;
    world.run(1_000);
    assert!(world.is_completed(1));
    assert_no_violations(&world);
}

#[test]
fn lost_and_late_calls_run_no_task_twice() {
    for seed in 0..30 {
        let mut world = Simulation::open(seed, 6);
        world.faults = Faults {
            lost_per_mille: 20,
            unanswered_per_mille: 50,
            late_per_mille: 50,
            failing_per_mille: 20,
            unhealthy_per_mille: 0,
        };
        run_twenty_jobs(&mut world, seed);
    }
}

/// Guards against renewals without an answer that extend the assumed end of a lease for ever
/// (`scale-2 --seed 34871394740` of Klang Valley).
#[test]
fn tasks_of_a_worker_lost_for_good_start_elsewhere_after_its_leases_end() {
    let mut world = Simulation::open(10, 3);
    world.work_ms = 60_000;
    world.submit(job(1, vec![step(9, &[])]));
    world.run(1_000);
    let lost = world.running_at(0);
    assert!(lost > 0);
    world.crash(0);
    world.run(3_300);
    world.unlist(0);
    world.run(4_000);
    assert_eq!(world.running_of(1), 9, "tasks of a lost worker were not started again");
    assert_no_violations(&world);
}

/// Guards against best-effort tasks that keep running beside a serving task over its target. The
/// serving task was over its target for 4 s, but rough readings fell just below it now and then,
/// which ended the excess too early (`scale-2 --seed 677558841639` of Ljubljana).
#[test]
fn best_effort_tasks_are_halted_beside_a_tail_that_stays_over_its_target() {
    let mut world = Simulation::open(11, 1);
    world.work_ms = 60_000;
    let mut serving = step(1, &[]);
    serving.lasting = true;
    serving.image = Some("serves".into());
    serving.tail_target = Some(Millis(50));
    world.submit(job(1, vec![serving]));
    let mut best_effort = step(2, &[]);
    best_effort.fills = true;
    best_effort.image = Some("fills".into());
    world.submit(job(2, vec![best_effort]));
    // The tail stays low for long beside the best-effort tasks, so that the model learns no
    // interference.
    world.readings.insert(JobKey(1), 14);
    world.readings.insert(JobKey(2), 500);
    world.run(20_000);
    assert_eq!(world.paces_of(2), [100, 100]);
    for n in 0..7 {
        world.readings.insert(JobKey(1), if n % 2 == 0 { 60 } else { 47 });
        world.run(500);
    }
    assert_eq!(
        world.paces_of(2),
        [0, 0],
        "best-effort tasks kept running beside a tail over its target"
    );
    world.readings.insert(JobKey(1), 14);
    world.readings.insert(JobKey(2), 0);
    world.run(3_000);
    assert_eq!(world.paces_of(2), [100, 100], "best-effort tasks stayed halted");
}

/// Guards against a failure that is counted by two leaders: the worker listed it until the second
/// leader acknowledged it (`trouble-2 --seed 411911639069` of Klang Valley).
#[test]
fn a_failure_is_counted_once_across_leaders() {
    let mut world = Simulation::open(12, 2);
    world.faults.failing_per_mille = 1_000;
    world.submit(job(1, vec![step(1, &[])]));
    while world.stored_failures(1) == 0 {
        world.run(1);
    }
    // The failure is stored but not yet acknowledged to the worker, which lists it again.
    world.faults.failing_per_mille = 0;
    for count in 1..4 {
        world.workers.iter_mut().for_each(|w| w.partitioned = true);
        world.run(2);
        world.workers.iter_mut().for_each(|w| w.partitioned = false);
        world.start_new_leader();
        for _ in 0..100 {
            if world.stored_failures(1) == count {
                world.run(1);
            }
        }
    }
    world.run(3_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_no_violations(&world);
}

#[test]
fn a_step_runs_only_where_it_is_permitted() {
    let mut world = Simulation::open(13, 4);
    let interval = Millis(10);
    world.advice = Some(Advice { decide: interval, each: interval, valid: Millis(3_000) });
    world.start_new_leader();
    world.work_ms = 20_000;
    world.submit(job(1, vec![step(10, &[])]));
    world.run(2_000);
    assert_eq!(world.running_of(1), 10);
    assert_eq!((world.running_at(1), world.running_at(3)), (0, 0));
    assert_no_violations(&world);
}

/// Guards against a failure that is never counted: of two failures that were not stored, a
/// successor received the later one first and took the earlier one for counted (`trouble-3` of the
/// grown site in Klang Valley).
#[test]
fn failures_are_counted_in_whatever_order_workers_answer() {
    let mut world = Simulation::open(14, 4);
    world.run(200);
    world.faults.failing_per_mille = 1_000;
    world.store_down = true;
    world.submit(job(1, vec![step(1, &[])]));
    world.run(3_000);
    assert_eq!(world.starts, u64::from(simulation::MAX_ATTEMPTS));
    world.store_down = false;
    let first = world.worker_of_run(1, 0);
    world.workers[first].partitioned = true;
    world.start_new_leader();
    world.run(500);
    world.workers[first].partitioned = false;
    world.run(3_000);
    assert_eq!(
        world.starts,
        u64::from(simulation::MAX_ATTEMPTS),
        "the task was started more often than its allowed attempts"
    );
    assert_eq!(world.state(1), Some(JobState::Failed));
    assert_no_violations(&world);
}

/// Guards against a waiting long-running task that left capacity free for short tasks, yet kept
/// larger short tasks from being tried at all (seen on quiet days of Ljubljana).
#[test]
fn a_waiting_long_running_task_does_not_block_short_tasks_from_capacity_kept_for_them() {
    let mut world = Simulation::open(15, 1);
    let long_running = |count| gaplock_jobs::Step { lasting: true, ..step(count, &[]) };
    let short = || {
        let mut short = step(1, &[]);
        short.demand.cpu.0 = 2_000;
        short
    };
    world.submit(job(1, vec![long_running(6)]));
    world.run(300);
    // The second of two short tasks has had to wait for the capacity, so that capacity is kept for
    // short tasks.
    world.submit(job(3, vec![short()]));
    world.submit(job(4, vec![short()]));
    world.run(1_200);
    world.submit(job(2, vec![long_running(1)]));
    world.run(100);
    assert_eq!((world.running_of(1), world.running_of(2)), (6, 0));
    assert!(world.is_completed(3) && world.is_completed(4));
    world.submit(job(5, vec![short()]));
    world.run(300);
    assert_eq!(world.running_of(5), 1, "the capacity kept for short tasks was not used");
}

/// Guards against a successor that starts nothing for too long. Workers there grant leases of 10 s,
/// and a successor that could not reach five workers started nothing for 10.7 s (`mix --seed
/// 901004260944` of Klang Valley).
#[test]
fn a_successor_waits_no_longer_for_silent_workers_where_they_grant_long_leases() {
    let mut world = Simulation::open(61, 3);
    world.settings.lease_max = Millis(10_000);
    world.work_ms = 30_000;
    world.start_new_leader();
    world.submit(job(1, vec![step(9, &[])]));
    world.run(1_000);
    let at_risk = world.running_at(0);
    assert!(at_risk > 0);
    world.workers[0].partitioned = true;
    world.start_new_leader();
    world.run(7_000);
    assert_eq!(
        world.starts,
        9 + at_risk as u64,
        "the tasks of a lost worker were not started elsewhere"
    );
    assert_no_violations(&world);
}
