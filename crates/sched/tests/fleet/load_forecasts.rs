//! Best-effort tasks beside serving tasks whose load has a period, on virtual time.

use std::f64::consts::TAU;

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_sched::pacing::{Learned, LearnedFactor, LearnedImage};
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Simulation, SERVICE};

/// The tail target of the serving task, in milliseconds.
const TAIL_TARGET_MS: u64 = 50;

/// The tail of the serving task without load, in milliseconds.
const UNLOADED_TAIL_MS: f64 = 8.0;

/// The period of the load, in milliseconds.
const PERIOD_MS: u64 = 8_000;

/// The lowest and the highest load. One best-effort task, whose interference is 0.5, fits beside a load of up to 0.55.
const LOAD: (f64, f64) = (0.25, 0.7);

/// The interference of one best-effort task, which takes one of eight cores.
const INTERFERENCE: f64 = 0.5;

/// A time within which the period is confirmed.
const CONFIRMED_WITHIN_MS: u64 = 24_000;

/// Returns a load that begins to rise from its trough at each multiple of the period.
fn load_at(now: u64) -> f64 {
    let swing = (1.0 - (now as f64 / PERIOD_MS as f64 * TAU).cos()) / 2.0;
    LOAD.0 + (LOAD.1 - LOAD.0) * swing
}

/// Builds a fleet of four workers, each with a task of a serving job whose load has a period. One worker alone is
/// read only once a second.
fn fleet(seed: u64, forecasts_load: bool) -> Simulation {
    let mut sim = Simulation::open(seed, 4);
    sim.settings.forecasts_load = forecasts_load;
    let factor =
        LearnedFactor { image: "filling".into(), factor: INTERFERENCE * 8.0, variance: 0.1 };
    let lowest_ms = UNLOADED_TAIL_MS / 0.8;
    let serving = LearnedImage { image: "serving".into(), lowest_ms, factors: vec![factor] };
    sim.learned = Learned { images: vec![serving], ..Learned::default() };
    sim.start_new_leader();
    let tail_target = Some(Millis(TAIL_TARGET_MS));
    let image = Some("serving".to_string());
    sim.submit(job(
        1,
        vec![Step { lasting: true, tail_target, image, most_per_worker: Some(1), ..step(4, &[]) }],
    ));
    sim
}

/// Builds a job of one best-effort task.
fn best_effort_job(key: u64, estimate: u64) -> Job {
    let (image, estimate) = (Some("filling".to_string()), Millis(estimate));
    job(key, vec![Step { fills: true, image, estimate, ..step(1, &[]) }])
}

/// Lets time pass while the workers report the tails that the load causes.
fn run(sim: &mut Simulation, ms: u64) {
    for _ in 0..ms / 50 {
        let tail = UNLOADED_TAIL_MS / (1.0 - load_at(sim.now));
        sim.readings.insert(JobKey(1), tail.round() as u32);
        sim.run(50);
    }
}

/// Runs until the load begins to rise from its trough.
fn run_to_trough(sim: &mut Simulation) {
    run(sim, PERIOD_MS - sim.now % PERIOD_MS);
}

fn period(sim: &Simulation) -> Option<Millis> {
    sim.cx.as_ref().and_then(|cx| cx.interference.confirmed_period(&SERVICE.into()))
}

/// A task of 0.9 s is done before the next peak, one of 9 s is not: placed by the load one second ahead, both
/// began in the trough, and the long one was halted at each peak. Guards also against a pass that skips the short
/// one because a long one of its image has found no room.
#[test]
fn a_short_task_starts_in_the_trough_and_a_long_one_does_not() {
    let mut sim = fleet(201, true);
    run(&mut sim, CONFIRMED_WITHIN_MS);
    let found = period(&sim).expect("the period is confirmed");
    assert!(found.0.abs_diff(PERIOD_MS) < PERIOD_MS / 20, "found a period of {found}");
    run_to_trough(&mut sim);
    sim.work_ms = 900;
    sim.submit(best_effort_job(2, 9_000));
    for _ in 0..2 * PERIOD_MS / 50 {
        run(&mut sim, 50);
        assert_eq!(
            sim.running_of(2),
            0,
            "the long task started although the load rises while it runs"
        );
    }
    // Its objective is later than that of the long task, which is tried first and finds no room.
    let mut short = best_effort_job(3, 900);
    short.accepted_unix_ms += sim.now;
    sim.submit(short);
    run(&mut sim, 500);
    assert_eq!(sim.running_of(3), 1, "the short task did not start in the trough");
    assert_eq!(sim.running_of(2), 0, "the long task started although the load rises while it runs");
    assert_no_violations(&sim);
}

/// A successor knows the period from the store. It places by the peak as soon as it has seen half a period, where
/// it would otherwise need one and a half to confirm one.
#[test]
fn a_successor_keeps_the_period_and_relearns_the_phase_in_half_of_it() {
    let mut sim = fleet(202, true);
    run(&mut sim, CONFIRMED_WITHIN_MS);
    let found = period(&sim).expect("the period is confirmed");
    run_to_trough(&mut sim);
    run(&mut sim, PERIOD_MS / 4);
    sim.start_new_leader();
    assert_eq!(period(&sim), Some(found), "the successor does not know the period");
    run_to_trough(&mut sim);
    sim.work_ms = 9_000;
    sim.submit(best_effort_job(2, 9_000));
    run(&mut sim, 2_000);
    assert_eq!(sim.running_of(2), 0, "the successor placed a long task by the load in the trough");
    assert_no_violations(&sim);
}

/// What a run of a simulation led to, over time.
fn outcomes(forecasts_load: bool, readings: impl Fn(u64) -> u32) -> Vec<(u64, u64, usize, usize)> {
    let mut sim = fleet(203, forecasts_load);
    sim.work_ms = 1_500;
    let mut outcomes = Vec::new();
    for n in 0..400 {
        if n % 20 == 0 {
            sim.submit(best_effort_job(10 + n, if n % 40 == 0 { 1_500 } else { 12_000 }));
        }
        sim.readings.insert(JobKey(1), readings(sim.now));
        sim.run(100);
        outcomes.push((sim.starts, sim.paces_ordered, sim.slots_held(), sim.renewals.len()));
    }
    assert_no_violations(&sim);
    outcomes
}

/// Returns a tail that a pseudo-random load causes.
fn aperiodic_tail(now: u64) -> u32 {
    let random = (now / 500).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    9 + (random % 25) as u32
}

/// Guards against a forecast that decides before a period is confirmed: decisions are those of the slope model.
#[test]
fn without_a_confirmed_period_decisions_are_those_without_forecasts() {
    let (on, off) = (outcomes(true, aperiodic_tail), outcomes(false, aperiodic_tail));
    assert!(
        on.last().is_some_and(|last| last.0 > 10 && last.1 > 10),
        "too little happened: {on:?}"
    );
    assert_eq!(on, off);
}

/// Guards against a period that is looked for, stored or used although the setting is off.
#[test]
fn with_the_setting_off_no_period_is_confirmed_or_restored() {
    let mut sim = fleet(204, true);
    run(&mut sim, CONFIRMED_WITHIN_MS);
    assert!(period(&sim).is_some(), "the period is confirmed with the setting on");
    sim.settings.forecasts_load = false;
    sim.start_new_leader();
    assert_eq!(period(&sim), None, "the period was restored");
    run(&mut sim, CONFIRMED_WITHIN_MS);
    assert_eq!(period(&sim), None, "a period was confirmed");
    run_to_trough(&mut sim);
    sim.work_ms = 9_000;
    sim.submit(best_effort_job(2, 9_000));
    run(&mut sim, 2_000);
    assert_eq!(sim.running_of(2), 1, "the slope model starts a long task in the trough");
    assert_no_violations(&sim);
}
