//! Jobs with figures far beyond what any caller needs: what they cost a leader must be bounded.
//!
//! Guards against two faults: a repeating job had all its due rounds begun at once, so that one
//! request could take all memory of the leader and of each leader after it; and an estimate near
//! the largest number overflowed, which put the job before all others.

use gaplock_jobs::job::Repeat;
use gaplock_jobs::{Job, JobKey};
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Simulation};

fn repeating_job(times: u32, every: u64) -> Job {
    let repeat = Some(Repeat { times, first_unix_ms: 0, every: Millis(every) });
    Job { repeat, ..job(1, vec![step(2, &[])]) }
}

#[test]
fn rounds_that_are_due_at_once_do_not_all_begin_at_once() {
    let mut sim = Simulation::open(701, 4);
    sim.submit(repeating_job(60_000, 0));
    assert!(
        sim.rounds_under_way(1) <= 10_000,
        "{} rounds are under way, at most 10,000 allowed",
        sim.rounds_under_way(1)
    );
    sim.submit(job(2, vec![step(2, &[])]));
    sim.run(100);
    assert!(sim.rounds_under_way(1) <= 10_000);
    sim.start_new_leader();
    assert!(
        sim.rounds_under_way(1) <= 10_000,
        "{} rounds are under way, at most 10,000 allowed",
        sim.rounds_under_way(1)
    );
    assert_no_violations(&sim);
}

#[test]
fn rounds_that_had_to_wait_start_once_earlier_ones_finish() {
    let mut sim = Simulation::open(702, 40);
    sim.work_ms = 1;
    let mut wide = repeating_job(3, 0);
    wide.steps = vec![step(9_000, &[])];
    sim.submit(wide);
    assert_eq!(sim.rounds_under_way(1), 2);
    while sim.rounds_finished(1) == 0 && sim.now < 60_000 {
        sim.run(10);
    }
    sim.run(100);
    assert_eq!((sim.rounds_finished(1), sim.rounds_under_way(1)), (1, 2));
    assert_no_violations(&sim);
}

#[test]
fn a_round_whose_due_time_overflows_is_not_due_now() {
    let mut sim = Simulation::open(703, 2);
    sim.submit(repeating_job(3, u64::MAX / 2 + 1));
    sim.run(2_000);
    assert_eq!(sim.rounds_finished(1), 1);
    assert_no_violations(&sim);
}

#[test]
fn the_largest_estimate_puts_a_job_last() {
    let mut sim = Simulation::open(704, 1);
    let mut long = job(1, vec![step(8, &[]), step(1, &[0])]);
    for step in &mut long.steps {
        step.estimate = Millis(u64::MAX);
    }
    sim.submit(long);
    sim.submit(job(2, vec![step(1, &[])]));
    let cx = sim.cx.as_ref().expect("the leader is running");
    let due = |key| cx.jobs[&JobKey(key)].due;
    assert!(due(1) > due(2));
    sim.run(3_000);
    assert!(sim.is_completed(1) && sim.is_completed(2));
}

#[test]
fn a_start_that_every_worker_refuses_as_invalid_is_repeated_with_growing_pauses() {
    let mut sim = Simulation::open(95, 4);
    sim.workers.iter_mut().for_each(|w| w.refuses_starts = true);
    sim.submit(job(1, vec![step(1, &[])]));
    sim.run(20_000);
    let refused: u64 = sim.workers.iter().map(|w| w.invalid_starts).sum();
    assert!(refused <= 20, "the start was sent {refused} times in 20 s, at most 20 allowed");
    sim.workers.iter_mut().for_each(|w| w.refuses_starts = false);
    sim.run(6_000);
    assert!(sim.is_completed(1));
    assert_no_violations(&sim);
}
