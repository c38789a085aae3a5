//! Pace orders that are carried out without an answer, or seconds late, after newer ones.
//!
//! Guards against tasks that stay halted or keep interfering for ever. The leader took the pace
//! that was confirmed last for the one in force, and sent no order while that was the wanted pace.
//! But an order without an answer may have been carried out or may still be carried out later, and
//! a worker's report does not say which pace is in force. `late_starts` tests the same kind of
//! fault for starts.

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Faults, Simulation};

/// The tail target of the serving tasks, in milliseconds.
const TAIL_TARGET_MS: u32 = 50;

/// How late a delayed order arrives, in milliseconds: after newer orders have been answered.
const DELIVERY_DELAY_MS: u64 = 6_000;

/// Builds a job of one serving task, which runs until it is cancelled.
fn serving_job(key: u64) -> Job {
    let tail_target = Some(Millis(u64::from(TAIL_TARGET_MS)));
    let image = Some("serving".to_string());
    job(key, vec![Step { lasting: true, tail_target, image, ..step(1, &[]) }])
}

/// Builds a job of `count` best-effort tasks.
fn best_effort_job(key: u64, count: u32) -> Job {
    let image = Some("filling".to_string());
    job(key, vec![Step { fills: true, image, ..step(count, &[]) }])
}

/// Builds a simulation of one worker that runs `count` best-effort tasks beside one serving task.
fn best_effort_beside_serving(seed: u64, count: u32) -> Simulation {
    let mut sim = Simulation::open(seed, 1);
    sim.work_ms = 600_000;
    sim.submit(serving_job(1));
    sim.readings.insert(JobKey(1), 10);
    sim.run(500);
    sim.submit(best_effort_job(2, count));
    sim.run(1_500);
    assert_eq!(sim.paces_of(2), vec![100; count as usize]);
    sim
}

/// Sets the tail of the serving task so far over its target that all best-effort tasks are halted,
/// or as low as it can be.
fn set_tail_over_target(sim: &mut Simulation, over: bool) {
    sim.readings.insert(JobKey(1), if over { 4 * TAIL_TARGET_MS } else { 1 });
}

/// Runs until a best-effort task is halted at its worker.
fn run_until_halted(sim: &mut Simulation) {
    for _ in 0..3_000 {
        if sim.paces_of(2).contains(&0) {
            return;
        }
        sim.run(1);
    }
    panic!("no best-effort task was halted within 3 s, paces: {:?}", sim.paces_of(2));
}

#[test]
fn a_halt_without_an_answer_is_lifted_once_it_is_no_longer_wanted() {
    let mut sim = best_effort_beside_serving(111, 1);
    sim.workers[0].pace_delays_ms.extend([1]);
    set_tail_over_target(&mut sim, true);
    run_until_halted(&mut sim);
    set_tail_over_target(&mut sim, false);
    sim.run(4_000);
    assert_eq!(
        sim.paces_of(2),
        vec![100],
        "a task stays halted although the leader takes it to be running"
    );
    assert_no_violations(&sim);
}

#[test]
fn a_late_order_does_not_let_a_halted_task_keep_interfering() {
    let mut sim = best_effort_beside_serving(112, 1);
    set_tail_over_target(&mut sim, true);
    run_until_halted(&mut sim);
    set_tail_over_target(&mut sim, false);
    sim.workers[0].pace_delays_ms.extend([DELIVERY_DELAY_MS]);
    while sim.workers[0].pace_delays_ms.front().is_some() {
        sim.run(1);
    }
    let late_at = sim.now + DELIVERY_DELAY_MS;
    sim.run(DELIVERY_DELAY_MS - 2_000);
    set_tail_over_target(&mut sim, true);
    run_until_halted(&mut sim);
    assert!(sim.now < late_at, "the late order arrived before the task was halted");
    sim.run(late_at - sim.now);
    let mut ran_ms = 0;
    while ran_ms < 4_000 && sim.paces_of(2).contains(&100) {
        sim.run(1);
        ran_ms += 1;
    }
    let max_interference_ms = sim.settings.max_tail_excess.0 / 2;
    assert!(ran_ms > 0, "the late order was not carried out");
    assert!(
        ran_ms < max_interference_ms,
        "the halted task ran for {ran_ms} ms, limit {max_interference_ms} ms"
    );
    assert_no_violations(&sim);
}

#[test]
fn a_successor_lifts_the_halt_of_a_run_that_it_adopts() {
    let mut sim = best_effort_beside_serving(113, 2);
    set_tail_over_target(&mut sim, true);
    run_until_halted(&mut sim);
    sim.lose_leader();
    set_tail_over_target(&mut sim, false);
    sim.run(1_000);
    sim.start_new_leader();
    sim.run(4_000);
    assert_eq!(
        sim.paces_of(2),
        vec![100, 100],
        "a task stays halted although the leader takes it to be running"
    );
    assert_no_violations(&sim);
}

#[test]
fn a_recovery_scan_delays_pace_orders_but_not_for_long() {
    let mut sim = Simulation::open(117, 24);
    sim.work_ms = 600_000;
    sim.submit(job(1, vec![Step { count: 24, ..serving_job(1).steps[0].clone() }]));
    sim.readings.insert(JobKey(1), 10);
    sim.run(500);
    sim.submit(best_effort_job(2, 24));
    sim.run(1_500);
    sim.crash(0);
    sim.lose_leader();
    sim.start_new_leader();
    let before = sim.paces_ordered;
    sim.run(1_000);
    assert!(sim.in_recovery_scan(), "the recovery scan ended before the silent worker's leases");
    assert_eq!(sim.paces_ordered, before, "paces were ordered early in the recovery scan");
    sim.run(2_000);
    assert!(
        sim.in_recovery_scan() && sim.paces_ordered > before,
        "a long recovery scan must not keep paces from being ordered"
    );
    assert_no_violations(&sim);
}

#[test]
fn a_run_with_an_uncertain_pace_costs_about_one_order_a_second() {
    let mut sim = best_effort_beside_serving(115, 1);
    sim.workers[0].pace_delays_ms.extend([1]);
    set_tail_over_target(&mut sim, true);
    run_until_halted(&mut sim);
    set_tail_over_target(&mut sim, false);
    sim.run(2_000);
    let before = sim.paces_ordered;
    sim.run(10_000);
    let ordered = sim.paces_ordered - before;
    assert!((7..=10).contains(&ordered), "{ordered} pace orders in 10 s, expected 7 to 10");
}

#[test]
fn a_refused_order_leaves_no_pace_uncertain() {
    let mut sim = best_effort_beside_serving(114, 1);
    sim.workers[0].unhealthy = true;
    set_tail_over_target(&mut sim, true);
    sim.run(2_500);
    sim.workers[0].unhealthy = false;
    set_tail_over_target(&mut sim, true);
    sim.run(3_000);
    set_tail_over_target(&mut sim, false);
    sim.run(2_000);
    assert_eq!(sim.paces_of(2), vec![100]);
    let before = sim.paces_ordered;
    sim.run(10_000);
    assert_eq!(sim.paces_ordered, before, "paces were ordered again although none is uncertain");
    assert_no_violations(&sim);
}

#[test]
fn every_task_runs_again_after_any_mixture_of_lost_and_late_orders() {
    for seed in 0..12 {
        let mut sim = best_effort_beside_serving(120 + seed, 3);
        sim.faults = Faults {
            lost_per_mille: 60,
            unanswered_per_mille: 100,
            late_per_mille: 200,
            unhealthy_per_mille: 100,
            ..Faults::default()
        };
        for turn in 0..6 {
            set_tail_over_target(&mut sim, turn % 2 == 0);
            let span = 500 + sim.draw(2_500);
            sim.run(span);
            if turn == 3 {
                sim.lose_leader();
                sim.start_new_leader();
            }
        }
        set_tail_over_target(&mut sim, false);
        sim.faults = Faults::default();
        // The last late order arrives within 12 s.
        sim.run(16_000);
        let paces = sim.paces_of(2);
        assert!(paces.iter().all(|p| *p == 100), "seed {seed}: {paces:?}");
        assert_eq!(paces.len(), 3, "seed {seed}");
    }
}

/// Returns the paces of three best-effort tasks beside a serving task that tolerates only part of
/// them, after the first order that lifted a halt was answered or got no answer.
fn paces_after_lifted_halt(sim: &mut Simulation, unanswered: bool) -> Vec<u32> {
    set_tail_over_target(sim, true);
    run_until_halted(sim);
    sim.run(500);
    assert_eq!(sim.paces_of(2), vec![0; 3]);
    if unanswered {
        sim.workers[0].pace_delays_ms.extend([60_000]);
    }
    sim.readings.insert(JobKey(1), 10);
    sim.run(2_500);
    assert_eq!(sim.paces_of(2), vec![100; 3]);
    sim.readings.insert(JobKey(1), 30);
    sim.run(6_000);
    sim.paces_of(2)
}

#[test]
fn best_effort_tasks_beside_a_run_with_an_uncertain_pace_allow_for_its_highest_pace() {
    let certain = paces_after_lifted_halt(&mut best_effort_beside_serving(117, 3), false);
    let uncertain = paces_after_lifted_halt(&mut best_effort_beside_serving(117, 3), true);
    let sum = |paces: &[u32]| paces.iter().sum::<u32>();
    assert!(certain.contains(&0), "no task is halted, paces: {certain:?}");
    // The run with the uncertain pace is ordered to halt, and the others leave as much capacity for
    // it as it uses at full pace.
    assert!(
        sum(&uncertain) + 100 <= sum(&certain) + 5,
        "paces: {certain:?} if all are certain, {uncertain:?} if one is uncertain"
    );
}

#[test]
fn a_late_halt_is_lifted_once_the_tail_is_below_its_target() {
    let mut sim = Simulation::open(95, 1);
    sim.work_ms = 60_000;
    sim.submit(serving_job(1));
    sim.run(500);
    sim.submit(best_effort_job(2, 1));
    sim.run(500);
    assert_eq!(sim.paces_of(2), [100]);
    sim.workers[0].pace_delays_ms.push_back(12_000);
    set_tail_over_target(&mut sim, true);
    sim.run(3_000);
    assert_eq!(sim.paces_of(2), [0]);
    sim.readings.insert(JobKey(1), 5);
    sim.run(6_000);
    assert_eq!(sim.paces_of(2), [100], "the task was not resumed");
    sim.run(5_000);
    let after: Vec<u32> = sim.paces_of(2);
    sim.run(10_000);
    assert_eq!(
        sim.paces_of(2),
        [100],
        "the paces were {after:?} after the late halt and stay below 100 for 10 s"
    );
}
