//! What a cold review of the mend of late starts looked for, on virtual time.

use gaplock_jobs::Step;

use crate::world::{assert_kept, job, step, World};

/// How late a start arrives, in milliseconds.
const LATE_MS: u64 = 3_000;

fn lasting(count: u32) -> Step {
    Step { lasting: true, ..step(count, &[]) }
}

/// A worker that takes its time over a stop, as it may, is not asked for its account all the while.
#[test]
fn an_ordinary_stop_does_not_make_the_leader_ask_without_a_pause() {
    let mut world = World::open(91, 8);
    for worker in &mut world.workers {
        worker.stop_ms = 850;
    }
    world.submit(job(1, vec![lasting(32)]));
    world.run(3_000);
    let usual = world.renewals_within(850);
    world.cancel(1);
    let while_stopping = world.renewals_within(850);
    world.run(2_000);
    assert_kept(&world);
    assert!(while_stopping <= 8 * 8, "{usual} renewals before, {while_stopping} in the same time while stopping");
}

/// A worker that refuses stops but answers renewals is neither asked without a pause nor flooded with stops.
#[test]
fn a_worker_that_refuses_stops_is_not_flooded() {
    let mut world = World::open(92, 8);
    world.submit(job(1, vec![lasting(32)]));
    world.run(3_000);
    for worker in &mut world.workers {
        worker.refuses_stops = true;
    }
    world.cancel(1);
    let renewals = world.renewals_within(2_000);
    let stops: u64 = world.workers.iter().map(|w| w.stops).sum();
    assert!(renewals <= 8 * 20 && stops <= 32 * 6, "in 2 s, 8 workers, 32 runs: {renewals} renewals, {stops} stops");
}

/// A start is withdrawn at a worker that answers renewals and refuses stops: its task goes elsewhere once a
/// lease is over, not never.
#[test]
fn a_withdrawn_start_whose_stop_is_refused_does_not_hold_its_task_for_ever() {
    let mut world = World::open(93, 2);
    world.run(100);
    for worker in &mut world.workers {
        worker.delays_start = Some(60_000);
    }
    world.submit(job(1, vec![step(1, &[])]));
    world.run(1);
    let asked = world.workers.iter().position(|w| w.delays_start.is_none()).expect("asked");
    world.workers[1 - asked].delays_start = None;
    world.workers[asked].unwell = true;
    world.run(450);
    world.workers[asked].unwell = false;
    world.workers[asked].refuses_stops = true;
    world.run(30_000);
    assert!(world.is_completed(1), "the task waits 30 s for a stop, with an empty worker beside it");
    assert_kept(&world);
}

/// As before, with nothing else amiss than orders that are refused: what held before the mend.
#[test]
fn a_gang_one_of_whose_starts_is_withdrawn_is_started_anew_soon() {
    let mut world = World::open(94, 6);
    world.run(100);
    let gang = Step { gang: true, ..step(20, &[]) };
    world.workers[0].delays_start = Some(LATE_MS);
    world.submit(job(1, vec![gang]));
    world.run(1);
    world.workers[0].unwell = true;
    world.run(450);
    world.workers[0].unwell = false;
    world.run(20_000);
    assert_kept(&world);
    assert!(world.is_completed(1));
}
