//! Workers whose capacity shrinks and grows while they run, and which do not enforce it themselves.

use gaplock_jobs::Step;
use gaplock_types::sizes::Resources;

use crate::simulation::{
    assert_all_jobs_end, assert_no_violations, job, long_running_step, step, Faults, Simulation,
};

/// Builds a simulation whose workers carry out every start, even beyond their capacity.
fn with_unguarded_workers(seed: u64, workers: usize) -> Simulation {
    let mut sim = Simulation::open(seed, workers);
    for worker in &mut sim.workers {
        worker.ignores_capacity = true;
    }
    sim
}

#[test]
fn nothing_starts_beyond_a_reduced_capacity() {
    let mut sim = with_unguarded_workers(611, 3);
    sim.submit(job(1, vec![long_running_step(12)]));
    sim.run(1_000);
    let before = sim.running_at(0);
    sim.resize(0, Resources::new(2_000, 16_000, 0));
    sim.submit(job(2, vec![long_running_step(20)]));
    sim.run(8_000);
    sim.submit(job(3, vec![step(4, &[])]));
    sim.run(2_000);
    assert_eq!(
        sim.running_at(0),
        before,
        "runs were started or stopped at the worker of reduced capacity"
    );
    assert_no_violations(&sim);
}

#[test]
fn restored_capacity_is_used() {
    let mut sim = with_unguarded_workers(612, 1);
    sim.resize(0, Resources::new(1_000, 16_000, 0));
    sim.submit(job(1, vec![long_running_step(6)]));
    sim.run(2_000);
    assert_eq!(sim.running_of(1), 1);
    sim.resize(0, Resources::new(8_000, 16_000, 0));
    sim.run(2_000);
    assert_eq!(sim.running_of(1), 6);
    assert_no_violations(&sim);
}

/// Guards against a successor that uses the capacity stored in the roster instead of the one that the directory shows
/// now.
#[test]
fn a_successor_uses_the_reduced_capacity() {
    let mut sim = with_unguarded_workers(613, 2);
    sim.submit(job(1, vec![long_running_step(6)]));
    sim.run(1_000);
    sim.resize(0, Resources::new(1_000, 16_000, 0));
    sim.resize(1, Resources::new(1_000, 16_000, 0));
    sim.run(300);
    sim.change_leader(500);
    sim.submit(job(2, vec![step(8, &[])]));
    sim.run(4_000);
    assert!(!sim.is_completed(2), "job 2 ran on workers whose capacity is in use");
    assert_no_violations(&sim);
}

/// A run that is being stopped uses capacity until a worker report shows that it is over.
#[test]
fn capacity_of_stopping_runs_is_not_reused() {
    let mut sim = with_unguarded_workers(614, 1);
    sim.workers[0].stop_ms = 900;
    sim.submit(job(1, vec![long_running_step(8)]));
    sim.run(1_000);
    sim.cancel(1);
    sim.submit(job(2, vec![step(8, &[])]));
    sim.run(4_000);
    assert!(sim.is_completed(2), "job 2 has not completed 4 s after job 1 was cancelled");
    assert_no_violations(&sim);
}

/// Gangs and single tasks run while capacities change all the time, answers are lost and the leader changes.
#[test]
fn changing_capacities_beside_other_faults() {
    for seed in 620..640 {
        let mut sim = with_unguarded_workers(seed, 8);
        sim.faults = Faults {
            lost_per_mille: 20,
            unanswered_per_mille: 40,
            late_per_mille: 20,
            unhealthy_per_mille: 20,
            ..Faults::default()
        };
        for key in 0..20 {
            let gang = Step { gang: true, ..step(5, &[]) };
            let steps = if key % 3 == 0 { vec![gang] } else { vec![step(5, &[]), step(3, &[0])] };
            sim.submit(job(key, steps));
            sim.run(200);
            let (at, cores) = (sim.draw(8) as usize, 1 + sim.draw(8) as u32);
            sim.resize(at, Resources::new(cores * 1_000, 16_000, 0));
            if sim.draw(10) == 0 {
                sim.change_leader(300);
            }
        }
        for at in 0..8 {
            sim.resize(at, Resources::new(8_000, 16_000, 0));
        }
        assert_all_jobs_end(&mut sim, seed);
    }
}
