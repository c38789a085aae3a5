//! Workers that are reserved for suspects, which are tasks under which several workers were lost,
//! on a pool of few workers.
//!
//! Guards against short tasks that wait while suspects reserve all workers. In a run of real
//! processes on a pool of two workers, four long-running tasks, innocent neighbors of tasks that
//! crash, reserved both workers for 9 s at a time while twenty short tasks waited beside 27 free
//! cores. The cause: each task under which several workers were lost reserved a worker, whatever
//! was left for the others.

use gaplock_jobs::Step;

use crate::simulation::{assert_no_violations, job, step, Simulation};

/// How long short tasks may wait while suspects run alone, in milliseconds: the second for which
/// each suspect runs alone in any case, and the time that orders and ends take.
const MAX_WAIT_MS: u64 = 1_800;

/// How long a short task runs, in milliseconds.
const SHORT_TASK_MS: u64 = 300;

/// Builds a fleet of `workers` workers, each of which was lost twice under long-running tasks of
/// one job.
fn pool_lost_twice(seed: u64, workers: usize) -> Simulation {
    let mut sim = Simulation::open(seed, workers);
    sim.work_ms = SHORT_TASK_MS;
    let long_running =
        Step { lasting: true, most_per_worker: Some(1), ..step(workers as u32, &[]) };
    sim.submit(job(1, vec![long_running]));
    sim.run(2_000);
    for round in 0..2 {
        for _ in 0..workers {
            let running = |at: &usize| sim.workers[*at].up && sim.running_at(*at) > 0;
            let at = (0..sim.workers.len()).find(running).expect("a worker that is up runs a task");
            sim.crash_and_replace(at);
            sim.run(200);
        }
        sim.run(if round == 0 { 12_000 } else { 0 });
    }
    while sim.running_of(1) < workers {
        sim.run(20);
    }
    sim
}

/// Submits a short job every quarter of a second for a while, and returns how long the slowest
/// took, in milliseconds.
fn slowest_short_job(sim: &mut Simulation) -> u64 {
    let (every, jobs) = (250, 40);
    let mut slowest = 0;
    let mut waiting: Vec<(u64, u64)> = Vec::new();
    for key in 100..100 + jobs {
        sim.submit(job(key, vec![step(4, &[])]));
        waiting.push((key, sim.now));
        sim.run(every);
        waiting.retain(|&(key, since)| {
            slowest = slowest.max(sim.now - since);
            !sim.is_completed(key)
        });
    }
    slowest
}

#[test]
fn suspects_do_not_reserve_all_workers_of_a_pool_of_two() {
    let mut sim = pool_lost_twice(901, 2);
    let slowest = slowest_short_job(&mut sim);
    assert!(
        slowest <= MAX_WAIT_MS + SHORT_TASK_MS,
        "a short job took {slowest} ms, expected at most {MAX_WAIT_MS} + {SHORT_TASK_MS} ms"
    );
    assert_eq!(sim.running_of(1), 2);
    assert_no_violations(&sim);
}

#[test]
fn a_suspect_does_not_reserve_the_only_worker_for_long() {
    let mut sim = pool_lost_twice(902, 1);
    let slowest = slowest_short_job(&mut sim);
    assert!(
        slowest <= MAX_WAIT_MS + SHORT_TASK_MS,
        "a short job took {slowest} ms, expected at most {MAX_WAIT_MS} + {SHORT_TASK_MS} ms"
    );
    assert_eq!(sim.running_of(1), 1);
    assert_no_violations(&sim);
}
