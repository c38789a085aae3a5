//! Directory entries that another writer has written, and workers of pools that the configuration does not name.
//!
//! Guards against two faults. After an entry that could not be read, the previous one stayed in force, so a
//! worker that the directory no longer named still got tasks. And the worker of each entry was sent renewals,
//! whatever pool the entry named. These tests failed on that code.

use crate::simulation::{assert_no_violations, job, long_running_step, step, Simulation};

#[test]
fn a_worker_whose_entry_cannot_be_read_gets_no_tasks_and_keeps_those_it_has() {
    let mut sim = Simulation::open(601, 4);
    sim.submit(job(1, vec![long_running_step(8)]));
    sim.run(1_000);
    let before = sim.running_at(0);
    sim.make_entry_unreadable(0);
    sim.submit(job(2, vec![long_running_step(24)]));
    sim.run(5_000);
    assert_eq!(sim.running_at(0), before, "tasks were started or stopped at worker 0");
    assert_eq!(sim.running_of(1), 8);
    assert_no_violations(&sim);
}

#[test]
fn a_worker_whose_entry_is_readable_again_gets_tasks() {
    let mut sim = Simulation::open(602, 1);
    sim.run(500);
    sim.make_entry_unreadable(0);
    sim.submit(job(1, vec![step(4, &[])]));
    sim.run(3_000);
    assert!(!sim.is_completed(1));
    for _ in 0..5 {
        sim.list_again(0);
        sim.make_entry_unreadable(0);
        sim.run(200);
    }
    sim.list_again(0);
    sim.run(2_000);
    assert!(sim.is_completed(1));
    assert_no_violations(&sim);
}

#[test]
fn a_worker_of_an_unknown_pool_is_sent_no_renewals() {
    let mut sim = Simulation::open(603, 2);
    sim.add_worker_of_pool("x1", "another-pool");
    sim.run(20_000);
    assert_eq!(sim.renewals_to(2), 0);
    sim.submit(job(1, vec![step(4, &[])]));
    sim.run(2_000);
    assert!(sim.is_completed(1));
    assert_no_violations(&sim);
}

#[test]
fn a_pool_that_a_later_configuration_names_is_used() {
    let mut sim = Simulation::open(604, 1);
    sim.add_worker_of_pool("x1", "another-pool");
    sim.run(1_000);
    sim.add_pool_to_config("another-pool");
    sim.run(6_000);
    assert!(sim.renewals_to(1) > 0);
}

/// The crash of a worker whose entry cannot be read is still handled once the entry has lapsed.
#[test]
fn tasks_of_a_crashed_worker_with_an_unreadable_entry_run_again() {
    let mut sim = Simulation::open(605, 3);
    sim.submit(job(1, vec![long_running_step(6)]));
    sim.run(1_000);
    sim.make_entry_unreadable(0);
    sim.crash_and_replace(0);
    sim.run(12_000);
    assert_eq!(sim.running_of(1), 6);
    assert_no_violations(&sim);
}

#[test]
fn a_busy_worker_listed_at_another_address_gets_no_tasks() {
    let mut sim = Simulation::open(606, 2);
    sim.submit(job(1, vec![long_running_step(4)]));
    sim.run(1_000);
    let before = sim.running_at(0);
    sim.change_listed_address(0, "10.0.0.99:80");
    sim.submit(job(2, vec![long_running_step(12)]));
    sim.run(3_000);
    assert_eq!(sim.running_at(0), before, "tasks were started or stopped at worker 0");
    sim.list_again(0);
    sim.run(3_000);
    assert_eq!(sim.running_of(2), 12);
    assert_no_violations(&sim);
}
