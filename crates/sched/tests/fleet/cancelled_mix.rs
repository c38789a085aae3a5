//! Jobs of every kind that are cancelled while all kinds of faults occur, in random simulations.

use std::env;
use std::ops::Range;

use gaplock_jobs::job::Repeat;
use gaplock_jobs::{Job, Step};
use gaplock_types::time::Millis;

use crate::simulation::{
    assert_cancellation_guarantees, assert_no_runnable_task_waits, job, long_running_step, step,
    Faults, Simulation,
};

/// How many seeds are run unless `CANCEL_SEEDS` gives another number.
const SEEDS: u64 = 12;

/// The first seed unless `CANCEL_FROM` gives another one.
const FIRST_SEED: u64 = 4_000;

/// Seeds that once failed, when the scheduler kept the tasks of cancelled jobs: a suspect's trial (the first three)
/// or a late start at the next incarnation of its worker outlived the cancellation.
const REGRESSION_SEEDS: [u64; 5] = [4_084, 4_370, 4_452, 4_080, 4_206];

/// How many workers a simulation has.
const WORKERS: u64 = 10;

/// How many jobs are submitted.
const JOBS: u64 = 24;

/// One job of this many crashes the workers that run its first task.
const CRASHING_JOB_EVERY: usize = 6;

/// How long after its start a crashing task crashes its worker, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;

/// Builds a job of a random kind; the kinds differ in which tasks run, and where.
fn random_job(sim: &mut Simulation, key: u64) -> Job {
    let speculative = Step { duplicates: true, ..step(4, &[]) };
    let gang = Step { gang: true, ..step(4, &[]) };
    match sim.draw(7) {
        0 => job(key, vec![long_running_step(4)]),
        1 => job(key, vec![gang]),
        2 => job(key, vec![speculative, step(2, &[0])]),
        3 => {
            let repeat = Some(Repeat { times: 6, first_unix_ms: 0, every: Millis(400) });
            Job { repeat, ..job(key, vec![step(3, &[]), step(2, &[0])]) }
        }
        4 => job(key, vec![step(3, &[]), long_running_step(2)]),
        _ => job(key, vec![step(5, &[]), step(3, &[0])]),
    }
}

/// Submits a random job and cancels it soon or not at all; may also cancel an earlier one.
fn submit_random_job(sim: &mut Simulation, key: u64) {
    let job = random_job(sim, key);
    let pause = sim.draw(500);
    match sim.draw(8) {
        0..4 => {
            sim.submit(job);
            sim.run(pause);
            sim.cancel(key);
        }
        _ => sim.submit(job),
    }
    if key >= 6 && sim.draw(2) == 0 {
        let earlier = key - 1 - sim.draw(6);
        sim.cancel(earlier);
    }
}

/// Injects a random fault that makes runs hard to stop or to find, or none.
fn inject_fault(sim: &mut Simulation) {
    let at = sim.draw(WORKERS) as usize;
    let (ms, gap) = (sim.draw(4_000), sim.draw(2_500));
    match sim.draw(16) {
        0 | 1 => sim.workers[at].partitioned ^= true,
        2 => sim.change_leader(gap),
        3 => sim.workers[at].next_start_delay_ms = Some(ms),
        4 => sim.workers[at].refuses_stops ^= true,
        5 => sim.workers[at].slowness = if sim.workers[at].slowness == 1 { 6 } else { 1 },
        6 => sim.workers[at].stop_ms = ms / 5,
        7 => sim.workers[at].checks_own_lease ^= true,
        _ => {}
    }
}

/// Loses workers that are up after certain jobs were submitted: no more than two under one task, since its job fails
/// after three.
fn lose_workers(sim: &mut Simulation, key: u64, start_over: fn(&mut Simulation, usize)) {
    let one = sim.draw(WORKERS) as usize;
    let (lost, lose): (Vec<usize>, fn(&mut Simulation, usize)) = match key {
        6 => (vec![one], Simulation::crash_and_replace),
        12 => ((0..3).collect(), Simulation::crash_and_replace),
        18 => ((0..WORKERS as usize).collect(), start_over),
        _ => return,
    };
    for at in lost {
        if sim.workers[at].up {
            lose(sim, at);
        }
    }
}

/// Runs jobs that are cancelled while faults occur.
fn run_jobs_amid_faults(sim: &mut Simulation, seed: u64, start_over: fn(&mut Simulation, usize)) {
    sim.work_ms = 1_500;
    sim.crashes.restart_under_same_name = seed.is_multiple_of(2);
    sim.faults = Faults {
        lost_per_mille: 20,
        unanswered_per_mille: 50,
        late_per_mille: 30,
        failing_per_mille: 10,
        unhealthy_per_mille: 30,
    };
    for key in 0..JOBS {
        submit_random_job(sim, key);
        inject_fault(sim);
        let pause = sim.draw(500);
        sim.run(pause);
        lose_workers(sim, key, start_over);
    }
}

/// Returns the seeds to run.
fn seeds() -> Range<u64> {
    let number = |name: &str| env::var(name).ok().and_then(|n| n.parse().ok());
    let from = number("CANCEL_FROM").unwrap_or(FIRST_SEED);
    from..from + number("CANCEL_SEEDS").unwrap_or(SEEDS)
}

/// Guards against a run of a cancelled job that continues or begins after some sequence of faults.
#[test]
fn no_run_of_a_cancelled_job_continues_under_any_fault() {
    for seed in seeds() {
        let mut sim = Simulation::open(seed, WORKERS as usize);
        run_jobs_amid_faults(&mut sim, seed, Simulation::restart_worker);
        assert_no_runnable_task_waits(&mut sim);
        assert!(sim.violations.is_empty(), "seed {seed}: {:#?}", sim.violations);
    }
}

/// The same beside tasks that crash their workers, and where late starts reach the next incarnation of their worker,
/// which no longer has the stops that would make it refuse them. Such a start may run a task of another job twice,
/// and a crashing task may make other jobs fail, so only cancellations are checked.
#[test]
fn no_run_of_a_cancelled_job_continues_in_the_next_incarnation_of_its_worker() {
    for seed in seeds().chain(REGRESSION_SEEDS) {
        println!("seed {seed}");
        let mut sim = Simulation::open(seed, WORKERS as usize);
        (0..JOBS)
            .step_by(CRASHING_JOB_EVERY)
            .for_each(|key| sim.make_task_crash_workers(key, 0, CRASH_DELAY_MS));
        run_jobs_amid_faults(&mut sim, seed, Simulation::restart_worker_keeping_calls);
        assert_cancellation_guarantees(&mut sim);
    }
}
