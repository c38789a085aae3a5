//! Maintenance waves, on virtual time.

use gaplock_jobs::Step;

use crate::simulation::{assert_no_violations, job, step, Simulation};

#[test]
fn every_host_of_a_wave_goes_down_once_and_never_too_many_at_once() {
    let mut sim = Simulation::open(41, 6);
    sim.request_wave(1, 4, 20_000, 2);
    sim.run(20_000);
    assert!(sim.is_wave_completed(1));
    assert_eq!(sim.hosts.maintenances.len(), 4);
    assert_eq!(sim.hosts.max_hosts_down, 2);
    assert_no_violations(&sim);
}

#[test]
fn long_running_tasks_leave_a_host_before_it_goes_down_within_their_miss_limit() {
    let mut sim = Simulation::open(42, 4);
    sim.work_ms = 60_000;
    let long_running = Step { lasting: true, may_miss: Some(1), ..step(9, &[]) };
    sim.submit(job(1, vec![long_running]));
    sim.run(4_000);
    sim.request_wave(1, 4, 60_000, 1);
    let mut fewest_running = 9;
    for _ in 0..4_000 {
        sim.run(10);
        fewest_running = fewest_running.min(sim.running_of(1));
    }
    assert!(sim.is_wave_completed(1));
    assert_eq!(fewest_running, 8, "fewest tasks running at one time, one of nine may be missed");
    assert_no_violations(&sim);
}

#[test]
fn short_tasks_end_before_their_host_goes_down() {
    let mut sim = Simulation::open(43, 3);
    sim.work_ms = 1_500;
    sim.submit(job(1, vec![step(20, &[])]));
    sim.run(200);
    sim.request_wave(1, 1, 60_000, 1);
    sim.run(10_000);
    assert!(sim.is_completed(1));
    assert_eq!(sim.starts, 20, "a task was started again");
    assert!(sim.is_wave_completed(1));
    assert_no_violations(&sim);
}

#[test]
fn a_successor_continues_a_wave_and_repeats_nothing() {
    let mut sim = Simulation::open(44, 6);
    sim.request_wave(1, 6, 40_000, 1);
    sim.run(4_000);
    let before = sim.hosts.maintenances.len();
    assert!((1..6).contains(&before), "{before} hosts have gone down, expected 1 to 5");
    sim.change_leader(1_000);
    sim.run(30_000);
    assert!(sim.is_wave_completed(1));
    assert_eq!(sim.hosts.maintenances.len(), 6);
    assert_eq!(sim.hosts.max_hosts_down, 1);
    assert_no_violations(&sim);
}

#[test]
fn no_host_goes_down_before_the_wave_is_stored() {
    let mut sim = Simulation::open(45, 3);
    sim.run(500);
    sim.store_down = true;
    sim.request_wave(1, 3, 20_000, 1);
    sim.run(3_000);
    assert!(sim.hosts.maintenances.is_empty(), "a host went down before the wave was stored");
    sim.store_down = false;
    sim.run(15_000);
    assert!(sim.is_wave_completed(1));
}
