//! Workers that become slow, on virtual time.

use crate::simulation::{assert_no_violations, job, step, Simulation};
use gaplock_jobs::{JobKey, Step};
use gaplock_types::time::Millis;

/// How many times as long work takes on a slow worker, as in the users' trouble scenarios.
const SLOWDOWN_FACTOR: u64 = 8;

/// Builds a simulation whose tasks work for one second, and whose first worker is slow.
fn simulation_with_slow_worker(seed: u64) -> Simulation {
    let mut world = Simulation::open(seed, 4);
    world.work_ms = 1_000;
    world.workers[0].slowness = SLOWDOWN_FACTOR;
    world
}

fn wide_step() -> Step {
    step(24, &[])
}

#[test]
fn tasks_on_a_slow_worker_are_started_again_elsewhere() {
    let mut world = simulation_with_slow_worker(31);
    world.submit(job(1, vec![wide_step()]));
    world.run(4_500);
    assert!(world.is_completed(1), "the step waited for its slow tasks");
    assert_no_violations(&world);
}

#[test]
fn a_step_that_allows_speculative_copies_keeps_the_slow_run_until_the_copy_is_done() {
    let mut world = simulation_with_slow_worker(32);
    let copies = Step { duplicates: true, ..wide_step() };
    world.submit(job(1, vec![copies]));
    world.run(3_500);
    assert!(world.is_completed(1), "the step waited for its slow tasks");
    world.run(1_500);
    assert_eq!(world.running_of(1), 0, "a slow run continues beside its finished speculative copy");
    assert_no_violations(&world);
}

#[test]
fn a_slow_worker_gets_no_tasks_while_others_have_free_capacity() {
    let mut world = simulation_with_slow_worker(33);
    world.submit(job(1, vec![wide_step()]));
    world.run(3_000);
    let before = world.tasks_given_to(0);
    world.submit(job(2, vec![step(8, &[])]));
    world.run(200);
    assert_eq!(world.tasks_given_to(0), before);
}

#[test]
fn a_worker_that_is_fast_again_gets_tasks_again() {
    let mut world = simulation_with_slow_worker(34);
    world.submit(job(1, vec![wide_step()]));
    world.run(3_000);
    world.workers[0].slowness = 1;
    world.run(4_000);
    let before = world.tasks_given_to(0);
    world.submit(job(2, vec![wide_step()]));
    world.run(200);
    assert!(world.tasks_given_to(0) > before);
    world.run(3_000);
    assert!(world.is_completed(2));
    assert_no_violations(&world);
}

#[test]
fn a_serving_task_leaves_a_slow_worker() {
    let mut world = Simulation::open(35, 4);
    let serving = Step { lasting: true, tail_target: Some(Millis(50)), ..step(8, &[]) };
    world.readings.insert(JobKey(1), 15);
    world.submit(job(1, vec![serving]));
    world.run(4_000);
    assert!(world.running_at(0) > 0);
    world.workers[0].slowness = SLOWDOWN_FACTOR;
    world.run(5_000);
    assert_eq!(world.running_at(0), 0, "tasks stay over their target on a slow worker");
    assert_eq!(world.running_of(1), 8);
    assert_no_violations(&world);
}

/// A long-running task reaches 100 % while it starts and makes no progress from then on.
#[test]
fn ready_long_running_tasks_do_not_make_their_worker_look_slow() {
    let mut world = Simulation::open(56, 1);
    let mut long_running = step(6, &[]);
    long_running.lasting = true;
    world.submit(job(1, vec![long_running]));
    world.run(5_000);
    let cx = world.cx.as_ref().expect("the leader is running");
    assert!(!cx.workers[0].speed.is_slow(cx.now));
    assert_no_violations(&world);
}
