//! Free capacity of a pool that long-running tasks nearly fill, on virtual time: which tasks get
//! it, and in what pieces.

use gaplock_jobs::{Job, Step};
use gaplock_sched::free_capacity;
use gaplock_types::sizes::{MilliCores, Resources};

use crate::simulation::{assert_no_violations, job, step, Simulation};

const WORKERS: usize = 8;

/// CPU capacity of each worker, in thousandths of a core.
const WORKER_MILLICORES: u32 = 8_000;

/// Half of the CPU capacity of all workers together, in thousandths of a core.
const HALF_FLEET_MILLICORES: u64 = WORKERS as u64 * WORKER_MILLICORES as u64 / 2;

/// How long a short task runs, in milliseconds.
const SHORT_TASK_MS: u64 = 500;

/// Within how many milliseconds of its submission a task runs if free capacity exists for it.
const PROMPT_START_MS: u64 = 100;

/// Builds a job of `count` long-running tasks of `cpu` thousandths of a core each.
fn long_running_job(key: u64, count: u32, cpu: u32) -> Job {
    let demand = Resources::new(cpu, 512, 0);
    job(key, vec![Step { lasting: true, demand, ..step(count, &[]) }])
}

/// Builds a job of `count` short tasks of `cpu` thousandths of a core each.
fn short_job(key: u64, count: u32, cpu: u32) -> Job {
    let demand = Resources::new(cpu, 512, 0);
    job(key, vec![Step { demand, ..step(count, &[]) }])
}

/// Builds a fleet whose long-running tasks leave free capacity on one worker only.
fn fleet_with_one_free_worker(seed: u64) -> Simulation {
    let mut sim = Simulation::open(seed, WORKERS);
    sim.work_ms = SHORT_TASK_MS;
    sim.submit(long_running_job(1, 2 * (WORKERS as u32 - 1), WORKER_MILLICORES / 2));
    sim.run(2_000);
    assert_eq!(sim.running_of(1), 2 * (WORKERS - 1));
    sim
}

/// The time between two short jobs, in milliseconds: their two tasks, one after the other, take one
/// second of it.
const SHORT_JOB_PERIOD_MS: u64 = 1_300;

/// Submits `rounds` short jobs, one after the other, of two tasks that take a whole worker each,
/// and returns how many jobs are completed at the end. One task of each job has to wait for the
/// other, and the capacity is idle for a moment between two jobs.
fn run_short_jobs(sim: &mut Simulation, first_key: u64, rounds: u64) -> usize {
    for key in first_key..first_key + rounds {
        sim.submit(short_job(key, 2, WORKER_MILLICORES));
        sim.run(SHORT_JOB_PERIOD_MS);
    }
    (first_key..first_key + rounds).filter(|&key| sim.is_completed(key)).count()
}

#[test]
fn long_running_tasks_leave_whole_workers_to_large_short_tasks() {
    let mut sim = Simulation::open(131, WORKERS);
    sim.work_ms = SHORT_TASK_MS;
    // The job uses half of the fleet's processors and fits on half of the workers.
    sim.submit(long_running_job(1, WORKERS as u32, WORKER_MILLICORES / 2));
    sim.run(2_000);
    let half = free_capacity::FreeCpu {
        total: HALF_FLEET_MILLICORES,
        largest: MilliCores(WORKER_MILLICORES),
    };
    assert_eq!(free_capacity::free_cpu(sim.cx.as_ref().expect("the leader is running")), half);
    sim.submit(short_job(2, WORKERS as u32 / 2, WORKER_MILLICORES));
    sim.run(PROMPT_START_MS);
    assert_eq!(sim.running_of(2), WORKERS / 2);
    assert_no_violations(&sim);
}

#[test]
fn small_short_tasks_leave_whole_workers_to_large_ones() {
    let mut sim = Simulation::open(132, WORKERS);
    sim.work_ms = 5_000;
    sim.submit(short_job(1, WORKERS as u32, WORKER_MILLICORES / 8));
    sim.run(PROMPT_START_MS);
    sim.submit(short_job(2, WORKERS as u32 - 1, WORKER_MILLICORES));
    sim.run(PROMPT_START_MS);
    assert_eq!(sim.running_of(2), WORKERS - 1);
    assert_no_violations(&sim);
}

#[test]
fn new_long_running_tasks_do_not_fragment_capacity_that_short_tasks_wait_for() {
    let mut sim = fleet_with_one_free_worker(133);
    let rounds = 15;
    run_short_jobs(&mut sim, 10, 2);
    sim.submit(long_running_job(2, 8, WORKER_MILLICORES / 4));
    let done = run_short_jobs(&mut sim, 100, rounds);
    assert!(done >= rounds as usize - 1, "only {done} of {rounds} short jobs completed");
    assert_eq!(sim.running_of(2), 0);
    assert_no_violations(&sim);
}

#[test]
fn new_long_running_tasks_get_capacity_that_short_tasks_no_longer_use() {
    let mut sim = fleet_with_one_free_worker(134);
    run_short_jobs(&mut sim, 10, 2);
    sim.submit(long_running_job(2, 4, WORKER_MILLICORES / 4));
    sim.run(4_000);
    assert_eq!(sim.running_of(2), 4);
    assert_no_violations(&sim);
}

#[test]
fn new_long_running_tasks_start_at_once_where_no_short_task_has_waited() {
    let mut sim = fleet_with_one_free_worker(135);
    sim.submit(short_job(10, 1, WORKER_MILLICORES / 2));
    sim.run(PROMPT_START_MS);
    sim.submit(long_running_job(2, 2, WORKER_MILLICORES / 4));
    sim.run(PROMPT_START_MS);
    assert_eq!(sim.running_of(10), 1);
    assert_eq!(sim.running_of(2), 2);
    assert_no_violations(&sim);
}

#[test]
fn new_long_running_tasks_are_not_delayed_for_ever() {
    let mut sim = fleet_with_one_free_worker(136);
    run_short_jobs(&mut sim, 10, 2);
    sim.submit(long_running_job(2, 4, WORKER_MILLICORES / 4));
    run_short_jobs(&mut sim, 100, 28);
    assert!(sim.running_of(2) > 0, "no long-running task started within 36 s");
    assert_no_violations(&sim);
}

/// Drains one of the workers that are full of long-running tasks, so that two of these tasks have
/// to restart while short tasks contend for the only free capacity.
fn drain_a_full_worker(sim: &mut Simulation) {
    let full = (0..WORKERS)
        .find(|&at| sim.running_at(at) == 2)
        .expect("all workers but one run two long-running tasks");
    sim.drain(full, 20_000);
}

#[test]
fn long_running_tasks_that_ran_before_run_again_within_seconds() {
    let mut sim = fleet_with_one_free_worker(137);
    run_short_jobs(&mut sim, 10, 2);
    drain_a_full_worker(&mut sim);
    run_short_jobs(&mut sim, 100, 6);
    assert_eq!(sim.running_of(1), 2 * (WORKERS - 1));
    assert_no_violations(&sim);
}

/// The time between two short jobs of an endless backlog, in milliseconds: less than each job takes
/// a whole worker for.
const BACKLOG_JOB_PERIOD_MS: u64 = 250;

/// Within how many milliseconds a long-running task that ran before must run again: the users
/// expect it back 6 s after its last run, and consider it missing after 3 s more.
const RESTART_LIMIT_MS: u64 = 9_000;

/// Guards against long-running tasks that wait too long to restart. On a pool with a quarter more
/// long-running tasks than usual, tasks whose runs had failed waited for 24 to 30 s while short
/// tasks took all capacity that became free.
#[test]
fn long_running_tasks_that_ran_before_restart_beside_an_endless_backlog() {
    let mut sim = fleet_with_one_free_worker(139);
    for key in 10..30 {
        sim.submit(short_job(key, 1, WORKER_MILLICORES));
    }
    sim.run(1_000);
    drain_a_full_worker(&mut sim);
    for key in 100..100 + RESTART_LIMIT_MS / BACKLOG_JOB_PERIOD_MS {
        sim.submit(short_job(key, 1, WORKER_MILLICORES));
        sim.run(BACKLOG_JOB_PERIOD_MS);
    }
    assert_eq!(sim.running_of(1), 2 * (WORKERS - 1));
    assert_no_violations(&sim);
}

#[test]
fn a_successor_knows_that_long_running_tasks_ran_before() {
    let mut sim = fleet_with_one_free_worker(138);
    run_short_jobs(&mut sim, 10, 2);
    sim.start_new_leader();
    sim.run(500);
    run_short_jobs(&mut sim, 50, 2);
    drain_a_full_worker(&mut sim);
    run_short_jobs(&mut sim, 100, 6);
    assert_eq!(sim.running_of(1), 2 * (WORKERS - 1));
    assert_no_violations(&sim);
}
