//! The racks in which gangs run, on virtual time.

use gaplock_jobs::Step;

use crate::simulation::{assert_no_violations, job, step, Simulation};

#[test]
fn a_same_rack_gang_runs_in_one_rack() {
    // Four workers of eight cores share a rack.
    let mut sim = Simulation::open(51, 12);
    sim.work_ms = 3_000;
    sim.submit(job(1, vec![step(30, &[])]));
    sim.run(300);
    let gang = Step { gang: true, same_rack: true, ..step(10, &[]) };
    sim.submit(job(2, vec![gang]));
    sim.run(300);
    let racks = sim.racks_of(2);
    assert_eq!(racks.len(), 1, "the gang runs in racks {racks:?}, expected one");
    assert_eq!(sim.running_of(2), 10);
    assert_no_violations(&sim);
}

#[test]
fn a_same_rack_gang_that_fits_into_no_rack_runs_in_several() {
    let mut sim = Simulation::open(52, 12);
    sim.work_ms = 3_000;
    let gang = Step { gang: true, same_rack: true, ..step(40, &[]) };
    sim.submit(job(1, vec![gang]));
    sim.run(300);
    assert_eq!(sim.running_of(1), 40);
    assert!(sim.racks_of(1).len() > 1);
    assert_no_violations(&sim);
}
