//! Starts that are carried out late, after the refusal of a repeat or after the end of their
//! leases.
//!
//! Seen: a task ran again after its end as done had been acknowledged; the second start was an
//! order carried out seconds late. A start without an answer had been sent again, the worker had
//! refused that second try, and the refusal was taken for the fate of both. Cause: an answer to a
//! repeated call says nothing of the earlier tries. Proved by the logs of fifteen days played
//! again: of the runs released by a refusal, those with an unanswered try were listed by their
//! worker afterwards in two cases of five, the others never
//! (`docs/incidents/twice-after-late-call.md`).

use crate::world::{assert_kept, job, play, step, Faults, World};

/// How late a start arrives, in milliseconds: after its task has ended elsewhere, within its lease.
const LATE_MS: u64 = 3_000;

/// How late a start arrives, in milliseconds: after the lease that it carries.
const AFTER_LEASE_MS: u64 = 10_500;

/// Opens a world of two workers in which the start of a job's only task gets no answer and arrives
/// after `late_ms`; returns it with the worker that was asked.
fn with_late_start(seed: u64, late_ms: u64, work_ms: u64) -> (World, usize) {
    let mut world = World::open(seed, 2);
    world.work_ms = work_ms;
    world.run(100);
    for worker in &mut world.workers {
        worker.delays_start = Some(late_ms);
    }
    world.submit(job(1, vec![step(1, &[])]));
    world.run(1);
    let asked = world.workers.iter().position(|w| w.delays_start.is_none());
    let asked = asked.expect("the task was ordered to a worker");
    world.workers[1 - asked].delays_start = None;
    (world, asked)
}

#[test]
fn a_start_carried_out_after_its_repeat_was_refused_doubles_nothing() {
    let (mut world, first) = with_late_start(81, LATE_MS, 500);
    world.workers[first].unwell = true;
    world.run(1_000);
    world.workers[first].unwell = false;
    world.run(9_000);
    assert!(world.is_completed(1));
    assert_kept(&world);
}

#[test]
fn a_start_that_outlives_its_lease_doubles_nothing_once_its_worker_is_back() {
    let (mut world, first) = with_late_start(82, AFTER_LEASE_MS, 500);
    world.workers[first].late_by_own_lease = true;
    world.workers[first].cut = true;
    world.run(8_500);
    assert!(world.is_completed(1), "the task did not go elsewhere after the end of its lease");
    world.workers[first].cut = false;
    world.run(1_000);
    // Other work brings the worker new leases, under which a late start would find itself in time.
    world.submit(job(2, vec![step(12, &[])]));
    world.run(5_000);
    assert!(world.is_completed(2));
    assert_kept(&world);
}

#[test]
fn a_start_carried_out_after_its_job_was_cancelled_does_not_run_on() {
    let (mut world, first) = with_late_start(83, LATE_MS, 60_000);
    world.workers[first].unwell = true;
    world.run(600);
    world.cancel(1);
    world.run(400);
    world.workers[first].unwell = false;
    for _ in 0..10 {
        world.run(1_000);
        assert_eq!(world.running_of(1), 0, "a task runs whose job was cancelled");
    }
    assert_kept(&world);
}

#[test]
fn starts_that_come_late_to_workers_that_refuse_calls_double_nothing() {
    for seed in 200..240 {
        let mut world = World::open(seed, 6);
        world.faults = Faults {
            lost_per_mille: 10,
            unanswered_per_mille: 50,
            late_per_mille: 200,
            failing_per_mille: 20,
            unwell_per_mille: 300,
        };
        for worker in &mut world.workers {
            worker.late_by_own_lease = seed % 2 == 0;
        }
        play(&mut world, seed);
    }
}
