//! The operators' instructions for queues, on virtual time.

use gaplock_jobs::{Job, Step};
use gaplock_overload::steer::Instruction;

use crate::simulation::{assert_no_violations, job, step, Simulation};

/// Builds a job of best-effort tasks of one core each.
fn best_effort_job(key: u64, count: u32) -> Job {
    job(key, vec![Step { fills: true, ..step(count, &[]) }])
}

/// Guards against a hold that stops what runs, delays other classes of work, is forgotten by a
/// successor, or outlasts its end.
#[test]
fn held_best_effort_work_starts_when_the_hold_ends() {
    let mut sim = Simulation::open(71, 4);
    sim.work_ms = 20_000;
    sim.submit(best_effort_job(1, 4));
    sim.run(500);
    sim.steer(Instruction::Hold, 6_000);
    sim.submit(best_effort_job(2, 4));
    sim.submit(job(3, vec![step(4, &[])]));
    sim.run(1_000);
    sim.lose_leader();
    sim.start_new_leader();
    sim.run(4_000);
    assert_eq!((sim.running_of(1), sim.running_of(2), sim.running_of(3)), (4, 0, 4));
    sim.run(1_500);
    assert_eq!(sim.running_of(2), 4, "the hold has ended by itself");
    assert_no_violations(&sim);
}

/// Guards against a cap that is exceeded, leaves room under it unused, or stays after it is undone.
#[test]
fn a_cap_bounds_the_best_effort_demand_at_workers() {
    let mut sim = Simulation::open(72, 4);
    sim.work_ms = 20_000;
    sim.steer(Instruction::Cap(5_500), 60_000);
    for key in 0..4 {
        sim.submit(best_effort_job(key, 3));
    }
    sim.run(2_000);
    let running = |sim: &Simulation| (0..4).map(|key| sim.running_of(key)).sum::<usize>();
    assert_eq!(running(&sim), 5);
    sim.end_steering();
    sim.run(500);
    assert_eq!(running(&sim), 12);
    assert_no_violations(&sim);
}
