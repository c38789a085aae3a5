//! Which tasks a worker's crash is counted against, on virtual time: a job whose tasks crash no worker must not fail
//! beside jobs whose tasks do.

use gaplock_jobs::progress::JobState;

use crate::simulation::{assert_no_violations, job, step, Simulation};

/// How long after its start a crashing task crashes its worker, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;

/// Guards against the failure of a job none of whose tasks crashes a worker, as seen in the soak test of processes on
/// two workers, beside a dozen crashing tasks and lost leaders. Here its task runs once, at 10.0 s, and is lost with
/// the other tasks of its worker. Two more losses are then counted against it although it only waits: each of two
/// successors finds a worker gone and 125 and 243 tasks at no worker, and counts a possible crash that was recorded
/// before. The next loss together with other tasks is the fourth.
#[test]
fn lost_workers_are_not_counted_against_a_waiting_task() {
    let mut sim = Simulation::open(20_002, 2);
    sim.work_ms = 700;
    let crashes_workers = |key: u64| key % 3 == 1;
    (0..36)
        .filter(|key| crashes_workers(*key))
        .for_each(|key| sim.make_task_crash_workers(key, 0, CRASH_DELAY_MS));
    for key in 0..36 {
        let harmless = vec![step(6, &[]), step(4, &[0])];
        let steps = if crashes_workers(key) { vec![step(3, &[])] } else { harmless };
        sim.submit(job(key, steps));
        let pause = 50 + sim.draw(300);
        sim.run(pause);
        if sim.draw(12) == 0 {
            let gap = sim.draw(1_500);
            sim.change_leader(gap);
        }
    }
    sim.run(60_000);
    let harmless = (0..36).filter(|key| !crashes_workers(*key));
    let failed: Vec<u64> =
        harmless.filter(|&key| sim.state(key) == Some(JobState::Failed)).collect();
    assert!(failed.is_empty(), "jobs {failed:?} failed, but none of their tasks crashes a worker");
    assert_no_violations(&sim);
}

/// Guards against crashes that are lost with the leader. A successor that finds a worker gone uses what is stored, so
/// a crash after a start that is not stored would never be counted. The leader is lost before it knows of the second
/// crash, and only the stored start shows which task ran there.
#[test]
fn the_start_of_a_suspect_is_stored_before_it_is_sent() {
    let mut sim = Simulation::open(20_301, 16);
    sim.make_task_crash_workers(1, 0, CRASH_DELAY_MS);
    sim.submit(job(1, vec![step(1, &[])]));
    sim.run_until_crashes(1, 2, 15_000);
    assert_eq!(sim.stored_crashes(1), 1, "the leader must not know of the second crash yet");
    assert_eq!(sim.stored_starts(1), 1, "the start was sent before it was stored");
    sim.lose_leader();
    sim.run(700);
    sim.start_new_leader();
    sim.run(8_000);
    assert!(sim.stored_crashes(1) >= 2, "the successor has not counted the second crash");
    sim.run(40_000);
    assert_eq!(sim.state(1), Some(JobState::Failed));
    assert!(sim.crashes.of(1) <= 4, "{} workers crashed, expected at most 4", sim.crashes.of(1));
    assert_no_violations(&sim);
}
