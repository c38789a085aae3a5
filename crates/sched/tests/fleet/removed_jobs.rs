//! Jobs that the leader removes from the store once their state has been kept long enough, while the inbox
//! still reports them: in a listing, by a repeated notice, or to a successor.
//!
//! Guards against jobs that run a second time. The leader dropped a job before its removal was stored, and a
//! listing after the loss of the store's history brought it back as a new one.

use std::env;

use gaplock_jobs::progress::JobState;
use gaplock_jobs::JobKey;
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Simulation, WriteFaults};

/// How long a final state is kept, in milliseconds.
const RETENTION_MS: u64 = 1_000;

/// How long a task works, in milliseconds.
const WORK_MS: u64 = 100;

/// Opens a simulation whose leader keeps final states for a short time.
fn open(seed: u64) -> Simulation {
    let mut sim = Simulation::open(seed, 3);
    sim.settings.finished_job_retention = Millis(RETENTION_MS);
    sim.work_ms = WORK_MS;
    sim.start_new_leader();
    sim.run(500);
    sim
}

/// Opens a simulation in which a job of four tasks has ended and its removal is due.
fn with_a_removal_due(seed: u64) -> Simulation {
    let mut sim = open(seed);
    sim.submit(job(1, vec![step(4, &[])]));
    sim.run(WORK_MS + 400);
    assert!(sim.is_completed(1));
    sim.run(RETENTION_MS - 400);
    assert!(sim.is_completed(1), "the job was removed early");
    sim
}

fn assert_ran_once(sim: &Simulation, what: &str) {
    assert_eq!(sim.starts, 4, "{what}: tasks of a removed job were started again");
    assert_no_violations(sim);
}

#[test]
fn a_job_is_not_started_again_when_it_is_listed_before_its_removal_is_stored() {
    let mut sim = with_a_removal_due(501);
    sim.store_down = true;
    for _ in 0..10 {
        sim.forget_history(0);
        sim.run(150);
    }
    assert!(sim.leader_knows(1), "the leader forgot a job that the store holds");
    assert_ran_once(&sim, "removal refused");
    sim.store_down = false;
    sim.run(1_000);
    assert!(!sim.leader_knows(1));
    assert_ran_once(&sim, "removal stored");
}

#[test]
fn a_listing_that_was_read_before_a_removal_does_not_bring_the_job_back() {
    for pause in [20, 100, 300, 700, 1_500] {
        for key in [1, 2] {
            let mut sim = open(502);
            sim.submit(job(key, vec![step(4, &[])]));
            sim.run(WORK_MS + RETENTION_MS);
            for _ in 0..30 {
                sim.forget_history(pause);
                sim.run(20);
            }
            sim.run(2 * pause);
            assert!(!sim.leader_knows(key));
            assert_ran_once(&sim, &format!("job {key}, {pause} ms"));
        }
    }
}

#[test]
fn a_late_notice_of_a_removed_job_does_not_bring_it_back() {
    for watch_is_silent in [false, true] {
        let mut sim = open(503);
        sim.inbox.watch_is_silent = watch_is_silent;
        sim.submit(job(1, vec![step(4, &[])]));
        sim.inbox.notice_delay_ms = RETENTION_MS + 1_000;
        sim.repeat_notice(1);
        sim.run(RETENTION_MS + 800);
        assert!(!sim.leader_knows(1), "the job is not removed yet");
        sim.run(2_000);
        assert_ran_once(&sim, &format!("watch silent: {watch_is_silent}"));
        sim.inbox.watch_is_silent = false;
        sim.read_watch();
        sim.run(1_000);
        assert_ran_once(&sim, &format!("watch reported late: {watch_is_silent}"));
    }
}

#[test]
fn a_successor_beside_a_removal_starts_nothing_again() {
    let late = WriteFaults { late_per_mille: 1_000, ..WriteFaults::default() };
    let unanswered = WriteFaults { unanswered_per_mille: 1_000, ..WriteFaults::default() };
    for (faults, gap) in [(late, 0), (late, 300), (unanswered, 0), (unanswered, 1_200)] {
        let mut sim = with_a_removal_due(504);
        sim.write_faults = faults;
        sim.run(200);
        sim.change_leader(gap);
        sim.write_faults = WriteFaults::default();
        for _ in 0..20 {
            sim.forget_history(50);
            sim.run(500);
        }
        assert!(!sim.leader_knows(1));
        assert_ran_once(&sim, &format!("{faults:?}, {gap} ms without a leader"));
    }
}

/// Guards against a job that is taken for a removed one which had the same key.
#[test]
fn a_job_that_is_submitted_under_the_key_of_a_removed_one_runs() {
    for watch_is_silent in [false, true] {
        let mut sim = open(505);
        sim.submit(job(1, vec![step(4, &[])]));
        sim.run(WORK_MS + RETENTION_MS + 1_000);
        assert!(!sim.leader_knows(1));
        sim.clear_history_of(1);
        sim.inbox.watch_is_silent = watch_is_silent;
        sim.submit(job(1, vec![step(4, &[])]));
        sim.run(3_000);
        assert_eq!(sim.starts, 8, "watch silent: {watch_is_silent}");
    }
}

/// Guards against a cancellation that outlives its job and cancels the next one under the same key.
#[test]
fn a_job_is_not_cancelled_by_the_cancellation_of_a_removed_one() {
    let mut sim = open(506);
    sim.submit(job(1, vec![step(4, &[])]));
    sim.cancel(1);
    sim.inbox.notice_delay_ms = RETENTION_MS + 1_500;
    sim.repeat_cancel_notice(1);
    sim.run(RETENTION_MS + 1_000);
    assert!(!sim.leader_knows(1));
    sim.clear_history_of(1);
    sim.inbox.notice_delay_ms = 0;
    let before = sim.starts;
    sim.submit(job(1, vec![step(4, &[])]));
    sim.run(700);
    assert_eq!(sim.leader_state(1), Some(JobState::Completed));
    assert_eq!(sim.starts, before + 4, "the second job did not run");
}

/// Guards against a job that becomes known while the removal of an earlier one under its key is not confirmed, and
/// is dropped with that one.
#[test]
fn a_job_that_replaces_one_whose_removal_is_unconfirmed_is_kept() {
    let mut sim = with_a_removal_due(507);
    sim.write_faults = WriteFaults { unanswered_per_mille: 1_000, ..WriteFaults::default() };
    sim.run(300);
    assert!(sim.leader_knows(1) && !sim.is_stored(1), "the removal is stored and not confirmed");
    sim.clear_history_of(1);
    sim.submit(job(1, vec![step(4, &[])]));
    sim.write_faults = WriteFaults::default();
    sim.run(2_500);
    assert_eq!(sim.starts, 8, "the second job did not run");
}

/// How many seeds are run unless `REMOVAL_SEEDS` gives another number.
const SEEDS: u64 = 12;

/// The first seed unless `REMOVAL_FROM` gives another one.
const FIRST_SEED: u64 = 7_000;

/// How many jobs are submitted in a random simulation.
const JOBS: u64 = 40;

/// Makes the store forget its history, silences the watch or the notices, repeats a notice, refuses writes, or changes
/// the leader.
fn inject_fault(sim: &mut Simulation, submitted: u64) {
    let (long, short) = (sim.draw(2_500), sim.draw(400));
    let earlier = sim.draw(submitted + 1);
    match sim.draw(12) {
        0..4 => sim.forget_history(short),
        4 => sim.inbox.watch_is_silent ^= true,
        5 => sim.inbox.notices_are_lost ^= true,
        6 => sim.inbox.notice_delay_ms = if sim.inbox.notice_delay_ms == 0 { long } else { 0 },
        7 => sim.repeat_notice(earlier),
        8 => sim.repeat_cancel_notice(earlier),
        9 => sim.store_down ^= true,
        10 => sim.change_leader(long),
        _ => {
            sim.write_faults = WriteFaults {
                lost_per_mille: 50,
                unanswered_per_mille: 150,
                late_per_mille: 150,
                refused_per_mille: 150,
            }
        }
    }
    if !sim.inbox.watch_is_silent {
        sim.read_watch();
    }
}

/// Guards against a job that runs again or is lost after some sequence of lost history, silent channels, refused
/// writes and changes of the leader, while states are kept for a short time.
#[test]
fn jobs_run_once_while_the_store_forgets_its_history_and_states_are_short_lived() {
    let number = |name: &str| env::var(name).ok().and_then(|n| n.parse().ok());
    let from = number("REMOVAL_FROM").unwrap_or(FIRST_SEED);
    for seed in from..from + number("REMOVAL_SEEDS").unwrap_or(SEEDS) {
        let mut sim = open(seed);
        let retention = 200 + sim.draw(1_200);
        sim.change_settings(|settings| settings.finished_job_retention = Millis(retention));
        for key in 0..JOBS {
            sim.submit(job(key, vec![step(3, &[]), step(2, &[0])]));
            if sim.draw(5) == 0 {
                sim.cancel(key);
            }
            for _ in 0..3 {
                inject_fault(&mut sim, key);
                let pause = sim.draw(250);
                sim.run(pause);
            }
        }
        sim.store_down = false;
        sim.write_faults = WriteFaults::default();
        sim.inbox.watch_is_silent = false;
        sim.inbox.notices_are_lost = false;
        sim.forget_history(0);
        sim.run(20_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:#?}", sim.violations);
        let left: Vec<JobKey> = sim.stored_job_keys();
        assert!(
            left.is_empty(),
            "seed {seed}: jobs that never ended, or were not removed: {left:?}"
        );
    }
}
