//! Best-effort tasks beside serving tasks, on virtual time.

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_sched::pacing::{Learned, LearnedFactor, LearnedImage};
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Simulation};

/// The tail target of the serving tasks, in milliseconds.
const TAIL_TARGET_MS: u64 = 50;

/// Builds a job of one serving task, which runs until it is cancelled.
fn serving_job(key: u64) -> Job {
    let tail_target = Some(Millis(TAIL_TARGET_MS));
    let image = Some("serving".to_string());
    job(key, vec![Step { lasting: true, tail_target, image, ..step(1, &[]) }])
}

/// Builds a job of `count` best-effort tasks.
fn best_effort_job(key: u64, count: u32) -> Job {
    let image = Some("filling".to_string());
    job(key, vec![Step { fills: true, image, ..step(count, &[]) }])
}

#[test]
fn halted_tasks_free_no_capacity_for_others() {
    let mut sim = Simulation::open(101, 1);
    sim.work_ms = 60_000;
    sim.submit(serving_job(1));
    sim.run(500);
    sim.submit(best_effort_job(2, 4));
    sim.run(500);
    assert_eq!(sim.running_of(2), 4);
    // The tail of the serving task stays over its target, so the best-effort tasks beside it are
    // halted.
    sim.readings.insert(JobKey(1), 4 * TAIL_TARGET_MS as u32);
    sim.run(3_000);
    sim.submit(best_effort_job(3, 4));
    sim.run(10_000);
    assert_eq!(sim.running_of(3), 0, "other tasks were placed beside halted ones");
    assert_no_violations(&sim);
}

/// The tail of a serving task under light load, in milliseconds.
const LIGHT_LOAD_TAIL_MS: u32 = 10;

/// The pool has plenty of best-effort work beside serving tasks under light load. Six of eight
/// cores are used; only four were while best-effort tasks had to leave two fifths of the processors
/// unused.
#[test]
fn best_effort_tasks_use_most_of_a_lightly_loaded_worker() {
    let mut sim = Simulation::open(104, 1);
    sim.work_ms = 60_000;
    sim.submit(serving_job(1));
    sim.readings.insert(JobKey(1), LIGHT_LOAD_TAIL_MS);
    sim.run(3_000);
    sim.submit(best_effort_job(2, 12));
    sim.run(1_000);
    let running = sim.running_of(2);
    assert!(
        (6..=7).contains(&running),
        "best-effort tasks use {running} of eight cores, expected 6 or 7"
    );
    assert_no_violations(&sim);
}

/// The tail of a serving task under so high a load that an image that interferes with it does not
/// fit beside it, but one that does not interfere does, in milliseconds.
const HIGH_LOAD_TAIL_MS: u32 = 30;

/// Builds a learned interference model of two serving images: `sturdy` tolerates everything,
/// `touchy` does not tolerate the best-effort image `heavy`. The best-effort image `light`
/// interferes with neither.
fn learned_model() -> Learned {
    let factor = |image: &str, factor| LearnedFactor { image: image.into(), factor, variance: 0.1 };
    let image = |image: &str, heavy| LearnedImage {
        image: image.into(),
        lowest_ms: f64::from(LIGHT_LOAD_TAIL_MS),
        factors: vec![factor("heavy", heavy), factor("light", 0.0)],
    };
    Learned { images: vec![image("sturdy", 0.0), image("touchy", 4.0)], ..Learned::default() }
}

/// Builds a job of `count` tasks of an image, either best-effort or serving ones.
fn image_job(key: u64, image: &str, count: u32, best_effort: bool) -> Job {
    let tail_target = Some(Millis(TAIL_TARGET_MS)).filter(|_| !best_effort);
    let image = Some(image.to_string());
    job(
        key,
        vec![Step {
            lasting: !best_effort,
            fills: best_effort,
            tail_target,
            image,
            ..step(count, &[])
        }],
    )
}

/// Builds a fleet of two workers: one runs a `sturdy` serving task under light load, which
/// tolerates everything, the other a `touchy` one under high load, which tolerates only the image
/// `light`.
fn sturdy_beside_touchy(seed: u64) -> Simulation {
    let mut sim = Simulation::open(seed, 2);
    sim.work_ms = 60_000;
    sim.learned = learned_model();
    sim.start_new_leader();
    sim.submit(image_job(1, "sturdy", 1, false));
    sim.run(500);
    sim.submit(image_job(2, "touchy", 1, false));
    sim.readings.insert(JobKey(1), LIGHT_LOAD_TAIL_MS);
    sim.readings.insert(JobKey(2), HIGH_LOAD_TAIL_MS);
    sim.run(3_000);
    sim
}

/// Images that interfere with nothing are submitted first and could run anywhere; images that
/// interfere with most serving tasks come after them. Spread evenly, the first images left capacity
/// for only three or four of the six other tasks.
#[test]
fn images_that_run_anywhere_leave_tolerant_workers_to_those_that_interfere() {
    let mut sim = sturdy_beside_touchy(105);
    sim.submit(image_job(3, "light", 4, true));
    sim.run(1_000);
    sim.submit(image_job(4, "heavy", 6, true));
    sim.run(1_000);
    assert_eq!((sim.running_of(3), sim.running_of(4)), (4, 6));
    assert_no_violations(&sim);
}

/// The two workers together have capacity for ten tasks. The worker that fewer images could use is
/// filled first, but is not overfilled while the other has free capacity.
#[test]
fn no_worker_is_overfilled_while_another_has_free_capacity() {
    let mut sim = sturdy_beside_touchy(106);
    sim.submit(image_job(3, "light", 8, true));
    sim.run(1_000);
    let most = sim.running_at(0).max(sim.running_at(1)) - 1;
    assert!(most <= 5, "{most} of eight best-effort tasks are on one worker, at most 5 expected");
    assert_no_violations(&sim);
}

/// The tail of a serving task that leaves no capacity for best-effort tasks beside it, in
/// milliseconds.
const NEAR_TARGET_TAIL_MS: u32 = 48;

/// More work waits than the pool can run, for longer than a job's whole objective. Tasks that were
/// placed after 8 s wherever they interfered least were halted there at once, and kept others out.
#[test]
fn a_best_effort_task_that_would_be_halted_waits_but_not_for_ever() {
    let mut sim = Simulation::open(103, 1);
    sim.work_ms = 60_000;
    sim.submit(serving_job(1));
    sim.readings.insert(JobKey(1), NEAR_TARGET_TAIL_MS);
    sim.run(3_000);
    sim.submit(best_effort_job(2, 4));
    sim.run(15_000);
    assert_eq!(sim.running_of(2), 0, "tasks were placed where they would only be halted");
    sim.run(20_000);
    assert!(sim.running_of(2) > 0, "no task was placed within 35 s");
    assert_no_violations(&sim);
}

#[test]
fn a_shared_worker_gets_several_renewals_a_second() {
    let mut sim = Simulation::open(102, 1);
    sim.work_ms = 60_000;
    sim.submit(serving_job(1));
    sim.readings.insert(JobKey(1), 10);
    sim.run(2_000);
    let alone = sim.renewals_within(3_000);
    sim.submit(best_effort_job(2, 2));
    sim.run(2_000);
    let shared = sim.renewals_within(3_000);
    assert!(alone <= 4, "{alone} renewals in 3 s without best-effort tasks, at most 4 expected");
    assert!(
        shared >= 8,
        "{shared} renewals in 3 s where readings must be fresh, at least 8 expected"
    );
    assert_no_violations(&sim);
}
