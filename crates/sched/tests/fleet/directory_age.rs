//! A leader whose reads of the directory are stale, on virtual time.
//!
//! Guards against starts at workers that are leaving. On 3,000 workers the leader learned only after 7 s that workers
//! were leaving, and still started tasks there, while the store answered each of its other calls at once. The tests
//! of late and of unanswered reads failed when a dispatch pass did not check the age of the directory.

use crate::simulation::{assert_no_violations, job, step, DirectoryReads, Simulation};

/// How many workers a simulation has.
const WORKERS: usize = 12;

/// How many of the workers leave.
const LEAVING: usize = 6;

/// Builds a simulation whose directory is read without delay for 1 s, and then as `reading` says.
fn open_with_reading(seed: u64, reading: DirectoryReads) -> Simulation {
    let mut sim = Simulation::open(seed, WORKERS);
    sim.directory.reads = Some(DirectoryReads::Stale(0));
    sim.run(1_000);
    sim.directory.reads = Some(reading);
    sim
}

/// Submits a job of short tasks every 200 ms for `ms` milliseconds, with keys from `first` on. Returns the next key.
fn submit_jobs_for(sim: &mut Simulation, first: u64, ms: u64) -> u64 {
    let jobs = ms / 200;
    for key in first..first + jobs {
        sim.submit(job(key, vec![step(8, &[])]));
        sim.run(200);
    }
    first + jobs
}

/// Counts the completed jobs with keys below `jobs`.
fn count_completed(sim: &Simulation, jobs: u64) -> usize {
    (0..jobs).filter(|&key| sim.is_completed(key)).count()
}

/// Lets half of the workers announce that they leave while the directory is read as `reading` says. Checks that
/// nothing starts there, and that all jobs complete once the reads are up to date.
fn check_leaving_workers(seed: u64, reading: DirectoryReads) {
    let mut sim = open_with_reading(seed, reading);
    (0..LEAVING).for_each(|at| sim.announce_drain(at, 20_000));
    let jobs = submit_jobs_for(&mut sim, 0, 6_000);
    sim.directory.reads = Some(DirectoryReads::Stale(100));
    sim.run(6_000);
    assert_eq!(count_completed(&sim, jobs), jobs as usize);
    assert_no_violations(&sim);
}

#[test]
fn stale_directory_reads_hold_starts_back_until_they_catch_up() {
    check_leaving_workers(901, DirectoryReads::Stale(7_000));
}

#[test]
fn unanswered_directory_reads_soon_hold_starts_back() {
    check_leaving_workers(902, DirectoryReads::NoAnswer);
}

#[test]
fn slightly_stale_directory_reads_hold_nothing_back() {
    let mut late = open_with_reading(903, DirectoryReads::Stale(400));
    let mut fresh = open_with_reading(903, DirectoryReads::Stale(0));
    let jobs = submit_jobs_for(&mut late, 0, 6_000);
    submit_jobs_for(&mut fresh, 0, 6_000);
    assert_eq!(count_completed(&late, jobs), count_completed(&fresh, jobs));
    assert_no_violations(&late);
}

#[test]
fn an_unchanged_directory_holds_nothing_back() {
    let mut quiet = open_with_reading(904, DirectoryReads::NoChanges);
    let mut fresh = open_with_reading(904, DirectoryReads::Stale(0));
    let jobs = submit_jobs_for(&mut quiet, 0, 6_000);
    submit_jobs_for(&mut fresh, 0, 6_000);
    assert_eq!(count_completed(&quiet, jobs), count_completed(&fresh, jobs));
}

#[test]
fn tasks_start_while_the_store_answers_nothing_at_all() {
    let mut sim = open_with_reading(905, DirectoryReads::Stale(0));
    sim.work_ms = 300;
    sim.submit(job(1, vec![step(8, &[]), step(8, &[0]), step(8, &[1]), step(8, &[2])]));
    sim.run(100);
    sim.store_down = true;
    sim.run(6_000);
    assert_eq!(sim.starts, 32);
}

#[test]
fn a_successor_measures_the_directory_age_from_its_own_reads() {
    let mut sim = open_with_reading(906, DirectoryReads::Stale(0));
    sim.run(4_000);
    sim.change_leader(100);
    let jobs = submit_jobs_for(&mut sim, 0, 4_000);
    sim.run(3_000);
    assert_eq!(count_completed(&sim, jobs), jobs as usize);
    assert_no_violations(&sim);
}
