//! Orders of pace that are carried out without an answer, or seconds late, after newer ones.
//!
//! Found by reading the code beside the fault of `late_starts`: the pace last confirmed was taken
//! for the one in force, and nothing was sent while it was the wanted one. Cause: an order without
//! an answer may have been carried out, or may be carried out later, and a worker's account does
//! not say which pace is in force. Proved by the tests below, which stood still or went on
//! disturbing for ever.

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_types::time::Millis;

use crate::world::{assert_kept, job, step, Faults, World};

/// The bound on the tail of what serves, in milliseconds.
const TARGET_MS: u32 = 50;

/// How late an order arrives, in milliseconds: after newer ones were answered.
const LATE_MS: u64 = 6_000;

/// A job of one task that serves until it is cancelled.
fn serving_job(key: u64) -> Job {
    let tail_target = Some(Millis(u64::from(TARGET_MS)));
    let image = Some("serving".to_string());
    job(key, vec![Step { lasting: true, tail_target, image, ..step(1, &[]) }])
}

/// A job of `count` tasks that use what the others leave.
fn filling_job(key: u64, count: u32) -> Job {
    let image = Some("filling".to_string());
    job(key, vec![Step { fills: true, image, ..step(count, &[]) }])
}

/// Builds a world in which `count` tasks fill beside one that serves, on one worker.
fn shared(seed: u64, count: u32) -> World {
    let mut world = World::open(seed, 1);
    world.work_ms = 600_000;
    world.submit(serving_job(1));
    world.readings.insert(JobKey(1), 10);
    world.run(500);
    world.submit(filling_job(2, count));
    world.run(1_500);
    assert_eq!(world.paces_of(2), vec![100; count as usize]);
    world
}

/// Lets the serving task's tail be so far over its target that all that fills is halted, or as
/// short as can be.
fn press(world: &mut World, pressed: bool) {
    world.readings.insert(JobKey(1), if pressed { 4 * TARGET_MS } else { 1 });
}

/// Runs until a task that fills is halted at its worker.
fn run_until_halted(world: &mut World) {
    for _ in 0..3_000 {
        if world.paces_of(2).contains(&0) {
            return;
        }
        world.run(1);
    }
    panic!("nothing was halted: {:?}", world.paces_of(2));
}

#[test]
fn a_halt_without_an_answer_is_lifted_once_it_is_no_longer_wanted() {
    let mut world = shared(111, 1);
    world.workers[0].delays_paces.extend([1]);
    press(&mut world, true);
    run_until_halted(&mut world);
    press(&mut world, false);
    world.run(4_000);
    assert_eq!(world.paces_of(2), vec![100], "a task stands still that is held to run");
    assert_kept(&world);
}

#[test]
fn a_late_order_does_not_let_a_halted_task_go_on_beside_what_it_disturbs() {
    let mut world = shared(112, 1);
    press(&mut world, true);
    run_until_halted(&mut world);
    press(&mut world, false);
    world.workers[0].delays_paces.extend([LATE_MS]);
    while world.workers[0].delays_paces.front().is_some() {
        world.run(1);
    }
    let late_at = world.now + LATE_MS;
    world.run(LATE_MS - 2_000);
    press(&mut world, true);
    run_until_halted(&mut world);
    assert!(world.now < late_at, "the late order arrived before the task was halted");
    world.run(late_at - world.now);
    let mut working = 0;
    while working < 4_000 && world.paces_of(2).contains(&100) {
        world.run(1);
        working += 1;
    }
    let most = world.settings.max_tail_excess.0 / 2;
    assert!(working > 0, "the late order was not carried out");
    assert!(working < most, "it went on for {working} ms beside what it disturbs");
    assert_kept(&world);
}

#[test]
fn a_successor_lifts_the_halt_of_a_run_that_it_adopts() {
    let mut world = shared(113, 2);
    press(&mut world, true);
    run_until_halted(&mut world);
    world.lose_leader();
    press(&mut world, false);
    world.run(1_000);
    world.take_over();
    world.run(4_000);
    assert_eq!(world.paces_of(2), vec![100, 100], "a task stands still that is held to run");
    assert_kept(&world);
}

#[test]
fn a_survey_orders_no_paces_of_the_runs_that_it_finds() {
    let mut world = World::open(117, 24);
    world.work_ms = 600_000;
    world.submit(job(1, vec![Step { count: 24, ..serving_job(1).steps[0].clone() }]));
    world.readings.insert(JobKey(1), 10);
    world.run(500);
    world.submit(filling_job(2, 24));
    world.run(1_500);
    world.crash(0);
    world.lose_leader();
    world.take_over();
    let before = world.paces_ordered;
    world.run(1_000);
    assert!(world.in_survey(), "the silent worker's leases are not over");
    assert_eq!(world.paces_ordered, before, "paces were ordered beside the survey");
    world.run(2_000);
    assert!(world.in_survey() && world.paces_ordered > before, "a long survey keeps no run slow");
    assert_kept(&world);
}

#[test]
fn a_run_in_doubt_costs_about_one_order_a_second() {
    let mut world = shared(115, 1);
    world.workers[0].delays_paces.extend([1]);
    press(&mut world, true);
    run_until_halted(&mut world);
    press(&mut world, false);
    world.run(2_000);
    let before = world.paces_ordered;
    world.run(10_000);
    let ordered = world.paces_ordered - before;
    assert!((7..=10).contains(&ordered), "{ordered} orders in 10 s");
}

#[test]
fn a_refused_order_leaves_nothing_in_doubt() {
    let mut world = shared(114, 1);
    world.workers[0].unwell = true;
    press(&mut world, true);
    world.run(2_500);
    world.workers[0].unwell = false;
    press(&mut world, true);
    world.run(3_000);
    press(&mut world, false);
    world.run(2_000);
    assert_eq!(world.paces_of(2), vec![100]);
    let before = world.paces_ordered;
    world.run(10_000);
    assert_eq!(world.paces_ordered, before, "a pace is put in force again though none is in doubt");
    assert_kept(&world);
}

#[test]
fn every_task_runs_again_after_any_mixture_of_lost_and_late_orders() {
    for seed in 0..12 {
        let mut world = shared(120 + seed, 3);
        world.faults = Faults {
            lost_per_mille: 60,
            unanswered_per_mille: 100,
            late_per_mille: 200,
            unwell_per_mille: 100,
            ..Faults::default()
        };
        for turn in 0..6 {
            press(&mut world, turn % 2 == 0);
            let span = 500 + world.draw(2_500);
            world.run(span);
            if turn == 3 {
                world.lose_leader();
                world.take_over();
            }
        }
        press(&mut world, false);
        world.faults = Faults::default();
        // The last late order arrives within 12 s.
        world.run(16_000);
        let paces = world.paces_of(2);
        assert!(paces.iter().all(|p| *p == 100), "seed {seed}: {paces:?}");
        assert_eq!(paces.len(), 3, "seed {seed}");
    }
}

/// Returns the paces at which three tasks fill beside one that bears part of them, where the first
/// order that lifted a halt was answered or got no answer.
fn paces_beside(world: &mut World, unanswered: bool) -> Vec<u32> {
    press(world, true);
    run_until_halted(world);
    world.run(500);
    assert_eq!(world.paces_of(2), vec![0; 3]);
    if unanswered {
        world.workers[0].delays_paces.extend([60_000]);
    }
    world.readings.insert(JobKey(1), 10);
    world.run(2_500);
    assert_eq!(world.paces_of(2), vec![100; 3]);
    world.readings.insert(JobKey(1), 30);
    world.run(6_000);
    world.paces_of(2)
}

#[test]
fn what_fills_beside_a_run_in_doubt_leaves_room_for_the_worst_of_its_paces() {
    let certain = paces_beside(&mut shared(117, 3), false);
    let doubtful = paces_beside(&mut shared(117, 3), true);
    let sum = |paces: &[u32]| paces.iter().sum::<u32>();
    assert!(certain.contains(&0), "nothing is halted: {certain:?}");
    // The run in doubt is ordered to stand still, and the others make room for it working at full
    // pace.
    assert!(sum(&doubtful) + 100 <= sum(&certain) + 5, "{certain:?}, in doubt {doubtful:?}");
}

#[test]
fn a_late_halt_does_not_stay_in_force_after_what_serves_has_room_again() {
    let mut world = World::open(95, 1);
    world.work_ms = 60_000;
    world.submit(serving_job(1));
    world.run(500);
    world.submit(filling_job(2, 1));
    world.run(500);
    assert_eq!(world.paces_of(2), [100]);
    world.workers[0].delays_paces.push_back(12_000);
    press(&mut world, true);
    world.run(3_000);
    assert_eq!(world.paces_of(2), [0]);
    world.readings.insert(JobKey(1), 5);
    world.run(6_000);
    assert_eq!(world.paces_of(2), [100], "it was not raised again");
    world.run(5_000);
    let after: Vec<u32> = world.paces_of(2);
    world.run(10_000);
    assert_eq!(
        world.paces_of(2),
        [100],
        "the late pace was {after:?}, and stays in force for 10 s"
    );
}
