//! Maintenance waves, on virtual time.

use gaplock_jobs::Step;

use crate::simulation::{assert_no_violations, job, step, Simulation};

#[test]
fn every_host_of_a_wave_goes_down_once_and_never_too_many_at_once() {
    let mut world = Simulation::open(41, 6);
    world.request_wave(1, 4, 20_000, 2);
    world.run(20_000);
    assert!(world.is_wave_completed(1));
    assert_eq!(world.hosts.maintenances.len(), 4);
    assert_eq!(world.hosts.max_hosts_down, 2);
    assert_no_violations(&world);
}

#[test]
fn long_running_tasks_leave_a_host_before_it_goes_down_within_their_miss_limit() {
    let mut world = Simulation::open(42, 4);
    world.work_ms = 60_000;
    let long_running = Step { lasting: true, may_miss: Some(1), ..step(9, &[]) };
    world.submit(job(1, vec![long_running]));
    world.run(4_000);
    world.request_wave(1, 4, 60_000, 1);
    let mut fewest_running = 9;
    for _ in 0..4_000 {
        world.run(10);
        fewest_running = fewest_running.min(world.running_of(1));
    }
    assert!(world.is_wave_completed(1));
    assert_eq!(fewest_running, 8, "fewest tasks running at one time, one of nine may be missed");
    assert_no_violations(&world);
}

#[test]
fn short_tasks_end_before_their_host_goes_down() {
    let mut world = Simulation::open(43, 3);
    world.work_ms = 1_500;
    world.submit(job(1, vec![step(20, &[])]));
    world.run(200);
    world.request_wave(1, 1, 60_000, 1);
    world.run(10_000);
    assert!(world.is_completed(1));
    assert_eq!(world.starts, 20, "a task was started again");
    assert!(world.is_wave_completed(1));
    assert_no_violations(&world);
}

#[test]
fn a_successor_continues_a_wave_and_repeats_nothing() {
    let mut world = Simulation::open(44, 6);
    world.request_wave(1, 6, 40_000, 1);
    world.run(4_000);
    let before = world.hosts.maintenances.len();
    assert!((1..6).contains(&before), "{before} hosts have gone down, expected 1 to 5");
    world.change_leader(1_000);
    world.run(30_000);
    assert!(world.is_wave_completed(1));
    assert_eq!(world.hosts.maintenances.len(), 6);
    assert_eq!(world.hosts.max_hosts_down, 1);
    assert_no_violations(&world);
}

#[test]
fn no_host_goes_down_before_the_wave_is_stored() {
    let mut world = Simulation::open(45, 3);
    world.run(500);
    world.store_down = true;
    world.request_wave(1, 3, 20_000, 1);
    world.run(3_000);
    assert!(world.hosts.maintenances.is_empty(), "a host went down before the wave was stored");
    world.store_down = false;
    world.run(15_000);
    assert!(world.is_wave_completed(1));
}
