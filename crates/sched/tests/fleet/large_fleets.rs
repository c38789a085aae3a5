//! The load of a large fleet: thousands of workers, jobs of many tasks, and leaders that are lost
//! in series.
//!
//! The leader's work per worker must not grow with the number of workers: a change of leader asks
//! each worker once, and tasks make progress again within the time that this takes.

use crate::simulation::{
    assert_no_runnable_task_waits, assert_no_violations, job, long_running_step, step, Simulation,
};

/// Builds a fleet on which long-running tasks take a part of each worker while short tasks come and
/// go.
fn loaded_fleet(seed: u64, workers: usize) -> Simulation {
    let mut sim = Simulation::open(seed, workers);
    sim.work_ms = 1_500;
    sim.submit(job(1, vec![long_running_step(workers as u32)]));
    sim.run(1_000);
    for key in 2..6 {
        sim.submit(job(key, vec![step(workers as u32 / 2, &[]), step(workers as u32 / 4, &[0])]));
    }
    sim.run(400);
    sim
}

/// Returns the number of renewals per worker within two seconds after a change of leader.
fn renewals_per_worker_after_leader_change(workers: usize) -> f64 {
    let mut sim = loaded_fleet(501, workers);
    sim.lose_leader();
    sim.run(500);
    sim.start_new_leader();
    let renewals = sim.renewals_within(2_000);
    assert_no_violations(&sim);
    renewals as f64 / workers as f64
}

#[test]
fn a_leader_change_costs_no_more_renewals_per_worker_on_a_larger_fleet() {
    let (small, large) = (
        renewals_per_worker_after_leader_change(150),
        renewals_per_worker_after_leader_change(600),
    );
    let ratio = large / small;
    assert!(
        ratio < 1.2,
        "{small:.2} renewals per worker, {large:.2} on a fleet four times as large"
    );
}

#[test]
fn leaders_lost_in_series_during_recovery_scans_run_no_task_twice_and_lose_none() {
    let mut sim = loaded_fleet(502, 800);
    for gap in [40, 200, 5, 700] {
        sim.change_leader(gap);
        sim.run(60);
    }
    sim.run(6_000);
    for key in 2..6 {
        assert!(sim.is_completed(key), "job {key} has not completed");
    }
    assert_no_runnable_task_waits(&mut sim);
    assert_no_violations(&sim);
}
