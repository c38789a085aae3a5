//! Workers that become slow, on virtual time.

use crate::simulation::{assert_no_violations, job, step, Simulation};
use gaplock_jobs::{JobKey, Step};
use gaplock_types::time::Millis;

/// How many times as long work takes on a slow worker, as in the users' trouble scenarios.
const SLOWDOWN_FACTOR: u64 = 8;

/// Builds a simulation whose tasks work for one second, and whose first worker is slow.
fn simulation_with_slow_worker(seed: u64) -> Simulation {
    let mut sim = Simulation::open(seed, 4);
    sim.work_ms = 1_000;
    sim.workers[0].slowness = SLOWDOWN_FACTOR;
    sim
}

fn wide_step() -> Step {
    step(24, &[])
}

#[test]
fn tasks_on_a_slow_worker_are_started_again_elsewhere() {
    let mut sim = simulation_with_slow_worker(31);
    sim.submit(job(1, vec![wide_step()]));
    sim.run(4_500);
    assert!(sim.is_completed(1), "the step waited for its slow tasks");
    assert_no_violations(&sim);
}

#[test]
fn a_step_that_allows_speculative_copies_keeps_the_slow_run_until_the_copy_is_done() {
    let mut sim = simulation_with_slow_worker(32);
    let copies = Step { duplicates: true, ..wide_step() };
    sim.submit(job(1, vec![copies]));
    sim.run(3_500);
    assert!(sim.is_completed(1), "the step waited for its slow tasks");
    sim.run(1_500);
    assert_eq!(sim.running_of(1), 0, "a slow run continues beside its finished speculative copy");
    assert_no_violations(&sim);
}

#[test]
fn a_slow_worker_gets_no_tasks_while_others_have_free_capacity() {
    let mut sim = simulation_with_slow_worker(33);
    sim.submit(job(1, vec![wide_step()]));
    sim.run(3_000);
    let before = sim.tasks_given_to(0);
    sim.submit(job(2, vec![step(8, &[])]));
    sim.run(200);
    assert_eq!(sim.tasks_given_to(0), before);
}

#[test]
fn a_worker_that_is_fast_again_gets_tasks_again() {
    let mut sim = simulation_with_slow_worker(34);
    sim.submit(job(1, vec![wide_step()]));
    sim.run(3_000);
    sim.workers[0].slowness = 1;
    sim.run(4_000);
    let before = sim.tasks_given_to(0);
    sim.submit(job(2, vec![wide_step()]));
    sim.run(200);
    assert!(sim.tasks_given_to(0) > before);
    sim.run(3_000);
    assert!(sim.is_completed(2));
    assert_no_violations(&sim);
}

#[test]
fn a_serving_task_leaves_a_slow_worker() {
    let mut sim = Simulation::open(35, 4);
    let serving = Step { lasting: true, tail_target: Some(Millis(50)), ..step(8, &[]) };
    sim.readings.insert(JobKey(1), 15);
    sim.submit(job(1, vec![serving]));
    sim.run(4_000);
    assert!(sim.running_at(0) > 0);
    sim.workers[0].slowness = SLOWDOWN_FACTOR;
    sim.run(5_000);
    assert_eq!(sim.running_at(0), 0, "tasks stay over their target on a slow worker");
    assert_eq!(sim.running_of(1), 8);
    assert_no_violations(&sim);
}

/// A long-running task reaches 100 % while it starts and makes no progress from then on.
#[test]
fn ready_long_running_tasks_do_not_make_their_worker_look_slow() {
    let mut sim = Simulation::open(56, 1);
    let mut long_running = step(6, &[]);
    long_running.lasting = true;
    sim.submit(job(1, vec![long_running]));
    sim.run(5_000);
    let cx = sim.cx.as_ref().expect("the leader is running");
    assert!(!cx.workers[0].speed.is_slow(cx.now));
    assert_no_violations(&sim);
}
