//! Runs of cancelled jobs: none continues or begins, whichever leader started it and however late its worker
//! carried out the start.

use gaplock_jobs::progress::JobState;
use gaplock_jobs::{JobKey, Step};
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Simulation};

/// How long after the first worker reports a run of a cancelled job may continue, in milliseconds: the time of a
/// stop, and of the report that lists the run.
const STOPPED_WITHIN_MS: u64 = 2_000;

/// Builds a simulation whose leader has started tasks that run for a minute, and is lost before their job is
/// cancelled.
fn cancelled_without_a_leader(seed: u64) -> Simulation {
    let mut sim = Simulation::open(seed, 4);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![step(12, &[])]));
    sim.run(1_000);
    assert_eq!(sim.running_of(1), 12);
    sim.lose_leader();
    sim.cancel(1);
    sim
}

#[test]
fn runs_started_by_a_removed_leader_end_when_their_job_is_cancelled() {
    let mut sim = cancelled_without_a_leader(401);
    sim.run(500);
    sim.start_new_leader();
    sim.run(STOPPED_WITHIN_MS);
    for _ in 0..10 {
        assert_eq!(sim.running_of(1), 0, "a run of a cancelled job continues");
        sim.run(1_000);
    }
    assert_no_violations(&sim);
}

#[test]
fn a_late_start_of_a_removed_leader_ends_when_its_job_is_cancelled() {
    let mut sim = Simulation::open(402, 2);
    sim.work_ms = 60_000;
    sim.run(100);
    for worker in &mut sim.workers {
        worker.next_start_delay_ms = Some(3_000);
    }
    sim.submit(job(1, vec![step(2, &[])]));
    sim.run(50);
    sim.lose_leader();
    sim.cancel(1);
    sim.start_new_leader();
    // Either the worker refuses the late start because of the successor's token, or its report to the successor
    // lists the run.
    sim.run(3_000 + STOPPED_WITHIN_MS);
    for _ in 0..10 {
        assert_eq!(sim.running_of(1), 0, "a run of a cancelled job continues");
        sim.run(1_000);
    }
    assert_no_violations(&sim);
}

#[test]
fn a_worker_that_was_silent_when_the_job_was_cancelled_stops_its_runs_once_it_answers() {
    let mut sim = cancelled_without_a_leader(403);
    let partitioned =
        (0..4).find(|&at| sim.running_at(at) > 0).expect("twelve tasks run on four workers");
    sim.workers[partitioned].partitioned = true;
    sim.start_new_leader();
    let silent = Millis(sim.settings.lease_max.0 / 2);
    sim.run(silent.0);
    sim.workers[partitioned].partitioned = false;
    sim.run(STOPPED_WITHIN_MS);
    assert_eq!(
        sim.running_of(1),
        0,
        "a run of a cancelled job continues at a worker that answers again"
    );
    assert_no_violations(&sim);
}

/// Builds a simulation of eight workers, each with a long-running task of job 1. One worker has restarted twice, the
/// last time `after` milliseconds ago: its task is a suspect and waits for an empty worker.
fn with_a_waiting_suspect(seed: u64, after: u64) -> Simulation {
    let mut sim = Simulation::open(seed, 8);
    sim.crashes.restart_under_same_name = true;
    let apart = Step { lasting: true, most_per_worker: Some(1), ..step(8, &[]) };
    sim.submit(job(1, vec![apart]));
    sim.run(2_000);
    sim.crash_and_replace(0);
    sim.run(4_000);
    assert_eq!(sim.running_of(1), 8);
    sim.crash_and_replace(0);
    sim.run(after);
    sim
}

/// Guards against the start of a suspect for its trial after its job was cancelled.
#[test]
fn a_suspect_that_waits_for_its_trial_is_not_started_once_its_job_is_cancelled() {
    let mut started = Vec::new();
    for after in (0..2_000).step_by(20) {
        let mut sim = with_a_waiting_suspect(410, after);
        sim.cancel(1);
        let before = sim.starts;
        sim.run(STOPPED_WITHIN_MS);
        if sim.starts != before || sim.running_of(1) > 0 {
            started.push(after);
        }
        assert_no_violations(&sim);
    }
    assert!(
        started.is_empty(),
        "started after a cancellation {started:?} ms after the second restart"
    );
}

/// Guards against a run that continues because no stop was sent when its job ended: the next worker report that lists
/// it must cause one.
#[test]
fn a_reported_run_of_an_ended_job_is_stopped() {
    let mut sim = Simulation::open(412, 2);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![step(4, &[])]));
    sim.run(1_000);
    assert_eq!(sim.running_of(1), 4);
    let cx = sim.cx.as_mut().expect("the simulation has a leader");
    let entry = cx.jobs.get_mut(&JobKey(1)).expect("the leader knows job 1");
    entry.state = JobState::Cancelled;
    entry.rounds.clear();
    sim.run(STOPPED_WITHIN_MS);
    assert_eq!(sim.running_of(1), 0, "a run of an ended job continues");
    assert_eq!(
        sim.cx.map(|cx| cx.runs_after_end),
        Some(4),
        "runs after the end of their job, as counted for the operators"
    );
}

/// Guards against a member of a gang that continues after its step is done, and for which the cancellation of its
/// job sends no stop.
#[test]
fn a_member_of_a_gang_that_outlives_its_step_is_stopped_by_the_cancellation() {
    let mut sim = Simulation::open(413, 4);
    sim.work_ms = 1_000;
    sim.workers[0].slowness = 30;
    let gang = Step { gang: true, most_per_worker: Some(1), ..step(4, &[]) };
    sim.submit(job(1, vec![gang, Step { lasting: true, ..step(1, &[0]) }]));
    sim.run(3_000);
    assert_eq!(sim.running_of(1), 2, "expected one member of the gang and the next step's task");
    sim.cancel(1);
    sim.run(STOPPED_WITHIN_MS);
    assert_eq!(sim.running_of(1), 0, "a run of a cancelled job continues");
    assert_eq!(sim.cx.map(|cx| cx.runs_after_end), Some(0), "the cancellation sent it no stop");
}
