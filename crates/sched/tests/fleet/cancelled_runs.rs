//! One test for each way in which a task of a cancelled job could continue or begin.

use gaplock_jobs::job::Repeat;
use gaplock_jobs::progress::JobState;
use gaplock_jobs::{Job, Step};
use gaplock_types::time::Millis;

use crate::simulation::{
    assert_no_runnable_task_waits, assert_no_violations, job, long_running_step, step, Simulation,
};

/// How long a run may continue once its job is cancelled and its worker answers, in milliseconds.
const RUNS_END_WITHIN_MS: u64 = 2_000;

/// How long after that no run may appear, in milliseconds: longer than all leases and late calls last.
const NO_RUN_FOR_MS: u64 = 10_000;

/// How long after its start a crashing task crashes its worker, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;

/// Fails the test if job 1 has a run within the next [`NO_RUN_FOR_MS`].
fn assert_no_run_reappears(sim: &mut Simulation, case: &str) {
    let until = sim.now + NO_RUN_FOR_MS;
    while sim.now < until {
        assert_eq!(sim.running_of(1), 0, "{case}: the cancelled job has a run at {} ms", sim.now);
        sim.run(100);
    }
    assert!(sim.violations.is_empty(), "{case}: {:#?}", sim.violations);
}

/// Fails the test if job 1 still has a run, or has one again, after [`RUNS_END_WITHIN_MS`].
fn assert_runs_end(sim: &mut Simulation, case: &str) {
    sim.run(RUNS_END_WITHIN_MS);
    assert_no_run_reappears(sim, case);
}

/// Builds a simulation of four workers whose tasks take a minute, where job 1 of `steps` has run for a second.
fn with_running_tasks(seed: u64, steps: Vec<Step>) -> Simulation {
    let mut sim = Simulation::open(seed, 4);
    sim.work_ms = 60_000;
    sim.submit(job(1, steps));
    sim.run(1_000);
    assert!(sim.running_of(1) > 0, "no task of job 1 runs after 1 s");
    sim
}

/// Builds a simulation where each worker carries out its next start `late_ms` milliseconds late, and submits job 1.
fn with_late_starts(seed: u64, late_ms: u64) -> Simulation {
    let mut sim = Simulation::open(seed, 3);
    sim.work_ms = 60_000;
    sim.run(100);
    sim.workers.iter_mut().for_each(|w| w.next_start_delay_ms = Some(late_ms));
    sim.submit(job(1, vec![step(6, &[])]));
    sim
}

/// Guards against a stop that is sent only once and lost.
#[test]
fn a_run_whose_stop_was_lost_ends() {
    for lost_ms in [1, 100, 700] {
        let mut sim = with_running_tasks(410, vec![step(12, &[])]);
        sim.faults.lost_per_mille = 1_000;
        sim.cancel(1);
        sim.run(lost_ms);
        sim.faults.lost_per_mille = 0;
        assert_runs_end(&mut sim, &format!("lost for {lost_ms} ms"));
    }
}

/// Guards against a leader that does not send a refused stop again.
#[test]
fn a_run_whose_stop_was_refused_for_a_while_ends() {
    for refused_ms in [10, 400, 1_500, 4_000] {
        let mut sim = with_running_tasks(411, vec![step(12, &[]), long_running_step(4)]);
        sim.workers.iter_mut().for_each(|w| w.refuses_stops = true);
        sim.cancel(1);
        sim.run(refused_ms);
        sim.workers.iter_mut().for_each(|w| w.refuses_stops = false);
        assert_runs_end(&mut sim, &format!("refused for {refused_ms} ms"));
    }
}

/// Guards against a start without an answer, or the next attempt of it, that begins the task after the cancellation.
#[test]
fn a_start_in_flight_at_the_cancel_leaves_no_run() {
    for late_ms in [200, 600, 1_200, 3_000] {
        for after in [0, 1, 150, 399, 401, 450, 850, 1_300] {
            let mut sim = with_late_starts(412, late_ms);
            sim.run(after);
            sim.cancel(1);
            assert_runs_end(&mut sim, &format!("{late_ms} ms late, cancelled after {after} ms"));
        }
    }
}

/// Guards against a start without an answer that its worker carries out seconds late, after a worker report that did
/// not list the run.
#[test]
fn a_run_that_began_seconds_late_ends() {
    for own_lease in [false, true] {
        for late_ms in [2_000, 4_500, 5_900, 8_000] {
            let mut sim = with_late_starts(413, late_ms);
            sim.workers.iter_mut().for_each(|w| w.checks_own_lease = own_lease);
            sim.workers.iter_mut().for_each(|w| w.unhealthy = true);
            sim.run(600);
            sim.cancel(1);
            sim.run(300);
            sim.workers.iter_mut().for_each(|w| w.unhealthy = false);
            // Another job makes the leader renew the workers' leases, so that a late start may still begin.
            sim.submit(job(2, vec![long_running_step(6)]));
            assert_runs_end(&mut sim, &format!("{late_ms} ms late, own lease: {own_lease}"));
        }
    }
}

/// The workers restart before, during and after the cancellation.
#[test]
fn a_run_whose_worker_restarts_ends() {
    for (restart, cancel) in [(0, 0), (0, 1), (0, 300), (0, 900), (1, 0), (300, 0), (900, 0)] {
        let mut sim = with_running_tasks(414, vec![step(6, &[]), long_running_step(6)]);
        for at in 0..1_000 {
            if at == restart {
                (0..3).for_each(|worker| sim.restart_worker(worker));
            }
            if at == cancel {
                sim.cancel(1);
            }
            sim.run(1);
        }
        let case = format!("restart after {restart} ms, cancel after {cancel} ms");
        assert_runs_end(&mut sim, &case);
    }
}

/// Guards against a late start that reaches the next incarnation of its worker, which no longer has the stop that would
/// make it refuse the start.
#[test]
fn a_late_start_at_a_worker_restarted_after_the_cancel_leaves_no_run() {
    for late_ms in [700, 1_500, 3_000, 5_000] {
        for (cancel, restart) in [(0, 100), (50, 450), (450, 200), (900, 900), (900, 1_800)] {
            let mut sim = with_late_starts(415, late_ms);
            sim.run(cancel);
            sim.cancel(1);
            sim.run(restart);
            (0..3).for_each(|worker| sim.restart_worker_keeping_calls(worker));
            sim.run(late_ms);
            let case = format!("{late_ms} ms late, restart {restart} ms after {cancel} ms");
            // A worker without tasks is sent renewals only this often.
            let idle = sim.settings.idle_renew_every.0;
            sim.run(idle);
            assert_runs_end(&mut sim, &case);
        }
    }
}

/// A worker restarts while a late start is in flight to it, and the job is cancelled after that.
#[test]
fn a_late_start_at_a_worker_restarted_before_the_cancel_leaves_no_run() {
    for late_ms in [500, 1_500, 3_000] {
        for (restart, cancel) in [(50, 0), (50, 100), (450, 500), (450, 1_200), (900, 3_000)] {
            let mut sim = with_late_starts(416, late_ms);
            sim.run(restart);
            (0..3).for_each(|worker| sim.restart_worker_keeping_calls(worker));
            sim.run(cancel);
            sim.cancel(1);
            sim.run(late_ms);
            let case = format!("{late_ms} ms late, cancel {cancel} ms after {restart} ms");
            assert_runs_end(&mut sim, &case);
        }
    }
}

/// A worker is partitioned when the job is cancelled and gets no stop. Guards against a leader that sends it none once
/// the partition heals.
#[test]
fn a_run_whose_worker_was_partitioned_ends() {
    for before in [0, 500, 2_500] {
        for after in [1, 800, 3_000, 5_000, 9_000] {
            let mut sim = with_running_tasks(417, vec![step(8, &[]), long_running_step(4)]);
            sim.workers[..2].iter_mut().for_each(|w| w.partitioned = true);
            sim.run(before);
            sim.cancel(1);
            sim.run(after);
            sim.workers[..2].iter_mut().for_each(|w| w.partitioned = false);
            assert_runs_end(&mut sim, &format!("cut {before} ms before to {after} ms after"));
        }
    }
}

/// Guards against a start of a removed leader that its worker carries out late, after the job was cancelled.
#[test]
fn a_late_start_of_a_removed_leader_leaves_no_run() {
    for late_ms in [300, 1_500, 5_000] {
        for gap in [0, 300, 2_000] {
            let mut sim = with_late_starts(418, late_ms);
            sim.run(100);
            sim.lose_leader();
            sim.run(gap / 2);
            sim.cancel(1);
            sim.run(gap / 2);
            sim.start_new_leader();
            sim.run(late_ms);
            assert_runs_end(&mut sim, &format!("{late_ms} ms late, no leader for {gap} ms"));
        }
    }
}

/// The job is cancelled at the moment when a new leader adopts its runs.
#[test]
fn a_run_adopted_by_a_successor_ends() {
    for after in [0, 1, 2, 3, 5, 20, 300, 1_000] {
        let mut sim = with_running_tasks(419, vec![step(6, &[]), long_running_step(6)]);
        sim.workers[0].partitioned = true;
        sim.change_leader(500);
        sim.run(after);
        sim.cancel(1);
        sim.run(after);
        sim.workers[0].partitioned = false;
        assert_runs_end(&mut sim, &format!("cancelled {after} ms after the takeover"));
    }
}

/// The leader is lost right after it handled the cancellation, before the last run has ended.
#[test]
fn a_run_whose_leader_is_lost_after_the_cancel_ends() {
    for after in [0, 1, 2, 50, 500] {
        let mut sim = with_running_tasks(420, vec![step(6, &[]), long_running_step(6)]);
        sim.workers.iter_mut().for_each(|w| w.stop_ms = 800);
        sim.workers[0].refuses_stops = true;
        sim.cancel(1);
        sim.run(after);
        sim.change_leader(700);
        sim.workers[0].refuses_stops = false;
        assert_runs_end(&mut sim, &format!("leader lost {after} ms after the cancel"));
    }
}

/// A gang is cancelled while another member starts late, has failed, or is at a partitioned worker.
#[test]
fn all_members_of_a_cancelled_gang_end() {
    for (case, late, failing, cut) in [
        ("all running", None, false, false),
        ("one starts late", Some(1_500), false, false),
        ("one fails", None, true, false),
        ("one is partitioned", None, false, true),
    ] {
        for after in [0, 20, 60, 300, 1_000] {
            let mut sim = Simulation::open(421, 4);
            sim.work_ms = 60_000;
            sim.run(100);
            (sim.workers[1].next_start_delay_ms, sim.workers[1].failing) = (late, failing);
            let gang = Step { gang: true, most_per_worker: Some(2), ..step(7, &[]) };
            sim.submit(job(1, vec![gang]));
            sim.run(10);
            sim.workers[1].partitioned = cut;
            sim.run(after);
            sim.cancel(1);
            sim.run(if cut { 3_000 } else { 0 });
            sim.workers[1].partitioned = false;
            assert_runs_end(&mut sim, &format!("{case}, cancelled after {after} ms"));
        }
    }
}

/// A failed task waits for its next attempt when its job is cancelled.
#[test]
fn a_failed_task_of_a_cancelled_job_is_not_retried() {
    for after in [49, 51, 52, 53, 55, 100, 150, 160, 210, 400] {
        let mut sim = Simulation::open(422, 3);
        sim.work_ms = 60_000;
        sim.run(100);
        sim.workers.iter_mut().for_each(|w| w.failing = true);
        sim.submit(job(1, vec![step(3, &[]), long_running_step(3)]));
        sim.run(after);
        sim.cancel(1);
        sim.workers.iter_mut().for_each(|w| w.failing = false);
        assert_runs_end(&mut sim, &format!("cancelled {after} ms after the first start"));
    }
}

/// Builds a simulation of two workers, each of which was lost twice under the tasks of job 1: some tasks run their
/// trials, and the others wait for an empty worker.
fn with_waiting_suspects(seed: u64) -> Simulation {
    let mut sim = Simulation::open(seed, 2);
    sim.submit(job(1, vec![long_running_step(12)]));
    sim.run(2_000);
    for pause in [12_000, 0] {
        for _ in 0..2 {
            let at = sim.busy_worker();
            sim.crash_and_replace(at);
            sim.run(200);
        }
        sim.run(pause);
    }
    while sim.running_of(1) == 0 {
        sim.run(1);
    }
    assert!(sim.suspects() > sim.running_of(1), "all suspects run, expected some to wait");
    sim
}

/// Guards against a cancellation that leaves out suspects: they wait for trials of their own, not in the queue of the
/// other tasks.
#[test]
fn waiting_suspects_of_a_cancelled_job_get_no_trial() {
    for after in (0..1_500).step_by(100) {
        let mut sim = with_waiting_suspects(423);
        sim.run(after);
        sim.cancel(1);
        // The stops of the suspects in their trials leave empty workers, for which the others wait.
        assert_runs_end(&mut sim, &format!("cancelled {after} ms after the first trial"));
    }
}

/// The job is cancelled around the moment when a suspect's trial begins.
#[test]
fn a_suspect_in_its_trial_ends() {
    for after in (0..400).step_by(40) {
        let mut sim = Simulation::open(424, 6);
        sim.make_task_crash_workers(1, 0, CRASH_DELAY_MS);
        sim.submit(job(1, vec![step(4, &[])]));
        sim.run_until_crashes(1, 1, 5_000);
        sim.run(3_000 + 10 * after);
        sim.cancel(1);
        assert_runs_end(
            &mut sim,
            &format!("cancelled 10 * {after} ms later than 3 s after the crash"),
        );
    }
}

/// Guards against a leader that stops only one of a task's two runs, the slow one and its speculative copy.
#[test]
fn a_slow_run_and_its_speculative_copy_end() {
    for after in (0..2_000).step_by(200) {
        for cut in [false, true] {
            let mut sim = Simulation::open(425, 4);
            sim.work_ms = 2_000;
            sim.workers[0].slowness = 8;
            sim.submit(job(1, vec![Step { duplicates: true, ..step(24, &[]) }]));
            sim.run(1_000 + after);
            sim.workers[0].partitioned = cut;
            sim.cancel(1);
            sim.run(1_000);
            sim.workers[0].partitioned = false;
            assert_runs_end(&mut sim, &format!("cancelled after {after} ms, slow one cut: {cut}"));
        }
    }
}

/// The leader handles the cancellation of a job before it knows the job.
#[test]
fn a_job_received_after_its_cancellation_starts_nothing() {
    for gap in [0, 1, 100, 3_000] {
        let mut sim = Simulation::open(426, 3);
        sim.work_ms = 60_000;
        sim.run(100);
        sim.cancel_before_submit(job(1, vec![step(4, &[]), long_running_step(2)]), gap);
        assert_no_run_reappears(&mut sim, &format!("{gap} ms"));
        assert_eq!(sim.state(1), Some(JobState::Cancelled), "{gap} ms");
    }
}

/// One round is due after the cancellation, and one is running.
#[test]
fn no_round_of_a_cancelled_job_begins() {
    for after in [0, 100, 299, 300, 301, 500, 850] {
        let mut sim = Simulation::open(427, 3);
        sim.work_ms = 700;
        let repeat = Some(Repeat { times: 50, first_unix_ms: 0, every: Millis(300) });
        sim.submit(Job { repeat, ..job(1, vec![step(3, &[]), step(2, &[0])]) });
        sim.run(1_000 + after);
        sim.cancel(1);
        let starts = sim.starts;
        assert_runs_end(&mut sim, &format!("cancelled after {after} ms"));
        assert_eq!(sim.starts, starts, "{after} ms");
    }
}

/// The job is cancelled while its tasks are moved off workers that leave: one is draining, one is no longer listed.
#[test]
fn a_task_that_is_being_moved_ends() {
    for after in [0, 1, 3, 100, 900, 2_500] {
        let mut sim = with_running_tasks(428, vec![step(8, &[]), long_running_step(8)]);
        sim.workers.iter_mut().for_each(|w| w.stop_ms = 300);
        sim.drain(0, 4_000);
        sim.unlist(1);
        sim.run(after);
        sim.cancel(1);
        assert_runs_end(&mut sim, &format!("cancelled {after} ms after workers leave"));
    }
}

/// The leader forgets a job some time after its end, while a worker that refused all stops still runs its tasks.
#[test]
fn a_run_of_a_forgotten_job_ends() {
    let mut sim = Simulation::open(429, 3);
    sim.settings.finished_job_retention = Millis(500);
    sim.start_new_leader();
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![step(6, &[])]));
    sim.run(1_000);
    sim.workers[0].refuses_stops = true;
    sim.cancel(1);
    sim.run(3_000);
    assert_eq!(sim.state(1), None, "job 1 is still stored 3 s after its cancellation");
    sim.workers[0].refuses_stops = false;
    assert_runs_end(&mut sim, "forgotten");
}

/// Guards against a failed job that leaves runs of its other tasks and steps.
#[test]
fn runs_of_a_failed_job_end() {
    for cut in [false, true] {
        let mut sim = Simulation::open(430, 4);
        sim.work_ms = 60_000;
        sim.submit(job(1, vec![long_running_step(8)]));
        sim.submit(job(2, vec![step(8, &[]), long_running_step(8)]));
        sim.run(500);
        sim.faults.failing_per_mille = 1_000;
        sim.submit(job(3, vec![step(1, &[])]));
        (0..2).for_each(|at| sim.restart_worker(at));
        sim.run(2_500);
        sim.faults.failing_per_mille = 0;
        sim.workers[2].partitioned = cut;
        sim.run(4_000);
        sim.workers[2].partitioned = false;
        sim.run(4_000);
        assert_no_violations(&sim);
        assert_no_runnable_task_waits(&mut sim);
    }
}
