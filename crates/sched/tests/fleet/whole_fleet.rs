//! The load of a whole fleet: thousands of workers, jobs of many tasks, and leaders that are lost in series.
//!
//! What a leader does for each worker must not grow with their number: a change of leader asks each worker once,
//! and work goes on within the time of that.

use crate::world::{assert_kept, assert_nothing_waits, job, lasting, step, World};

/// Builds a fleet on which lasting tasks take a part of each worker, and short ones come and go.
fn at_work(seed: u64, workers: usize) -> World {
    let mut world = World::open(seed, workers);
    world.work_ms = 1_500;
    world.submit(job(1, vec![lasting(workers as u32)]));
    world.run(1_000);
    for key in 2..6 {
        world.submit(job(key, vec![step(workers as u32 / 2, &[]), step(workers as u32 / 4, &[0])]));
    }
    world.run(400);
    world
}

/// Returns how many renewals each worker got within two seconds after a change of leader.
fn renewals_after_a_change(workers: usize) -> f64 {
    let mut world = at_work(501, workers);
    world.lose_leader();
    world.run(500);
    world.take_over();
    let renewals = world.renewals_within(2_000);
    assert_kept(&world);
    renewals as f64 / workers as f64
}

#[test]
fn a_change_of_leader_asks_each_worker_no_more_often_on_a_larger_fleet() {
    let (small, large) = (renewals_after_a_change(150), renewals_after_a_change(600));
    let ratio = large / small;
    assert!(ratio < 1.2, "{small:.2} renewals for each worker, {large:.2} on four times the fleet");
}

#[test]
fn leaders_lost_in_series_amid_the_survey_of_a_fleet_double_and_lose_nothing() {
    let mut world = at_work(502, 800);
    for gap in [40, 200, 5, 700] {
        world.change_leader(gap);
        world.run(60);
    }
    world.run(6_000);
    for key in 2..6 {
        assert!(world.is_completed(key), "job {key} has not ended");
    }
    assert_nothing_waits(&mut world);
    assert_kept(&world);
}
