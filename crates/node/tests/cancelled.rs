//! Cancelled jobs, tested with real daemon processes: none of their tasks is started again, and
//! those that run are stopped.
//!
//! Guards against runs of cancelled jobs that go on forever, which users saw. A task suspected of
//! crashing its worker was started after the cancellation of its job, and nothing stopped a run of
//! a job that had ended.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::checker::{acknowledges, CANCELLED_RUN_LIMIT};
use gaplock_platform_standin::faults::{Lateness, Stops, WorkerFaults};
use gaplock_platform_standin::site::{self, gang, long_running, two_steps, Site};
use support::{open_site, wait_for};

/// How long a task takes; no task ends by itself in these tests.
const TASK_DURATION: Duration = Duration::from_secs(60);

/// A little more than the checker tolerates.
const MARGIN: Duration = Duration::from_millis(200);

/// A little more than the longest delay of a late order.
const LONGEST_ORDER_DELAY: Duration = Duration::from_millis(6_300);

/// How many tasks of a job of two steps run at first.
const FIRST_TASKS: u64 = 6;

/// Where accepted jobs are stored.
const JOBS: &str = "gaplock/in/job/";

/// The status that a caller gets if the outcome is unknown.
const OUTCOME_UNKNOWN_STATUS: u16 = 504;

/// Opens a site whose leader knows the workers; returns that leader too.
fn open(hosts: usize, workers: usize) -> (Site, usize) {
    let site = open_site(hosts, workers, TASK_DURATION);
    wait_for("the workers to be known", || site.has_stored_workers());
    let leader = site.leader().expect("there is a leader");
    (site, leader)
}

/// Submits jobs and waits until their first tasks run.
fn run_jobs(site: &Site, host: usize, keys: &[u64]) {
    for &key in keys {
        assert_eq!(site.hosts[host].submit(JobKey(key), &two_steps()), Some(200));
    }
    let wanted = keys.len() as u64 * FIRST_TASKS;
    wait_for("the first starts", || site.fleet.starts() >= wanted);
}

/// Cancels jobs at a host, and notifies the checker of each once its cancellation is acknowledged.
fn cancel(site: &Site, host: usize, keys: &[u64]) {
    for &key in keys {
        let acknowledged = || site.hosts[host].cancel(JobKey(key)).is_some_and(acknowledges);
        wait_for("the acknowledgement", acknowledged);
        site.fleet.note_cancelled(JobKey(key));
    }
}

/// Runs the checker for a while without injected faults, and checks that the jobs are shown as
/// cancelled and that nothing of them runs.
fn assert_nothing_runs(site: &Site, host: usize, keys: &[u64]) {
    assert_nothing_runs_after(site, host, keys, Duration::ZERO);
}

/// As [`assert_nothing_runs`], but starts may still be carried out during the first `late`.
fn assert_nothing_runs_after(site: &Site, host: usize, keys: &[u64], late: Duration) {
    site.fleet.note_no_faults();
    let began = Instant::now();
    while began.elapsed() < late + CANCELLED_RUN_LIMIT + MARGIN {
        assert!(site.fleet.violations().is_empty(), "{:#?}", site.fleet.violations());
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(site.fleet.cancelled_runs(), Vec::<String>::new());
    for &key in keys {
        let state = site.hosts[host].state(JobKey(key)).map(|(_, shown)| shown);
        assert_eq!(state.as_deref(), Some("canceled"), "job {key}");
    }
}

fn crash_all(site: &Site) {
    (0..site.fleet.len()).for_each(|worker| site.fleet.crash(worker));
}

fn set_trouble_on_all(site: &Site, trouble: WorkerFaults) {
    (0..site.fleet.len()).for_each(|worker| site.fleet.set_faults(worker, trouble));
}

/// Guards against suspect tasks that are tried after the cancellation of their jobs and then run
/// forever.
#[test]
fn suspects_of_cancelled_jobs_are_not_tried() {
    let (site, leader) = open(2, 3);
    let keys = [1, 2, 3];
    run_jobs(&site, leader, &keys);
    crash_all(&site);
    wait_for("the next starts", || site.fleet.starts() >= 2 * 3 * FIRST_TASKS);
    let before = site.fleet.starts();
    crash_all(&site);
    // After two losses of its worker each task is tried alone, and all others wait.
    wait_for("a trial", || site.fleet.starts() > before);
    cancel(&site, leader, &keys);
    assert_nothing_runs(&site, leader, &keys);
}

/// Guards against suspect tasks that are started between the crash and the leader's next check for
/// suspects.
#[test]
fn jobs_cancelled_right_after_a_crash_of_their_workers_are_stopped() {
    let (site, leader) = open(2, 2);
    let keys = [1, 2, 3, 4];
    run_jobs(&site, leader, &keys);
    for key in keys {
        site.fleet.crash(key as usize % 2);
        cancel(&site, leader, &[key]);
    }
    assert_nothing_runs(&site, leader, &keys);
}

/// Guards against tasks that are started again because the next incarnation of their worker does
/// not know them.
#[test]
fn jobs_cancelled_while_their_workers_restart_under_their_names_are_stopped() {
    let (site, leader) = open(2, 2);
    let keys = [1, 2, 3];
    run_jobs(&site, leader, &keys);
    cancel(&site, leader, &keys[..1]);
    (0..site.fleet.len()).for_each(|worker| site.fleet.restart_in_place(worker));
    cancel(&site, leader, &keys[1..2]);
    wait_for("the restart to be noticed", || site.fleet.starts() > 3 * FIRST_TASKS);
    cancel(&site, leader, &keys[2..]);
    assert_nothing_runs(&site, leader, &keys);
}

/// Guards against a successor that adopts the runs of a job cancelled while nobody led.
#[test]
fn a_job_cancelled_while_nobody_leads_is_stopped_under_the_successor() {
    let (mut site, first) = open(3, 3);
    let other = (first + 1) % 3;
    run_jobs(&site, other, &[1, 2]);
    site.hosts[first].kill().expect("the process runs");
    cancel(&site, other, &[1, 2]);
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    assert_nothing_runs(&site, other, &[1, 2]);
}

/// Guards against a successor that adopts runs which the previous leader was killed before it could
/// stop.
#[test]
fn a_job_whose_leader_is_killed_after_the_acknowledgement_is_stopped_under_the_successor() {
    let (mut site, first) = open(3, 3);
    let other = (first + 1) % 3;
    run_jobs(&site, first, &[1, 2]);
    set_trouble_on_all(&site, WorkerFaults { stops: Stops::Lost, ..WorkerFaults::default() });
    cancel(&site, first, &[1, 2]);
    site.hosts[first].kill().expect("the process runs");
    set_trouble_on_all(&site, WorkerFaults::default());
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    assert_nothing_runs(&site, other, &[1, 2]);
}

/// Guards against a cancellation that only the host that acknowledged it knows.
#[test]
fn a_job_is_stopped_although_the_host_that_acknowledged_its_cancellation_is_removed() {
    let (mut site, leader) = open(3, 3);
    let other = (leader + 1) % 3;
    run_jobs(&site, leader, &[1, 2]);
    cancel(&site, other, &[1, 2]);
    site.hosts[other].kill().expect("the process runs");
    assert_nothing_runs(&site, leader, &[1, 2]);
}

/// Guards against stops that are not retried after a worker has refused them.
#[test]
fn refused_stops_are_sent_again() {
    assert_stopped_despite(Stops::Refused);
}

/// Guards against stops that are assumed to be carried out although no answer came.
#[test]
fn lost_stops_are_sent_again() {
    assert_stopped_despite(Stops::Lost);
}

fn assert_stopped_despite(stops: Stops) {
    let (site, leader) = open(2, 2);
    run_jobs(&site, leader, &[1, 2]);
    set_trouble_on_all(&site, WorkerFaults { stops, ..WorkerFaults::default() });
    cancel(&site, leader, &[1, 2]);
    wait_for("a stop of each run", || site.fleet.stops_arrived() >= 2 * FIRST_TASKS);
    assert_eq!(site.fleet.cancelled_runs().len() as u64, 2 * FIRST_TASKS);
    set_trouble_on_all(&site, WorkerFaults::default());
    assert_nothing_runs(&site, leader, &[1, 2]);
}

/// Guards against starts without an answer that are forgotten with their job and carried out
/// seconds later.
#[test]
fn starts_that_are_carried_out_after_the_cancellation_are_stopped() {
    let (site, leader) = open(2, 2);
    let late = WorkerFaults { late_starts: 100, ..WorkerFaults::default() };
    set_trouble_on_all(&site, late);
    (0..site.fleet.len()).for_each(|n| site.fleet.set_lateness(n, Lateness::ByLeases));
    for key in [1, 2] {
        assert_eq!(site.hosts[leader].submit(JobKey(key), &long_running()), Some(200));
    }
    wait_for("the starts to arrive", || site.fleet.starts_arrived() >= 4);
    cancel(&site, leader, &[1, 2]);
    set_trouble_on_all(&site, WorkerFaults::default());
    assert_nothing_runs_after(&site, leader, &[1, 2], LONGEST_ORDER_DELAY);
}

/// Guards against members of a gang that are started again with the others after the cancellation.
#[test]
fn gangs_cancelled_while_running_or_after_the_loss_of_a_member_are_stopped() {
    let (site, leader) = open(2, 4);
    for key in [1, 2, 3] {
        assert_eq!(site.hosts[leader].submit(JobKey(key), &gang()), Some(200));
    }
    wait_for("the first starts", || site.fleet.starts() >= 9);
    cancel(&site, leader, &[1]);
    crash_all(&site);
    cancel(&site, leader, &[2]);
    wait_for("the next starts", || site.fleet.starts() > 9);
    cancel(&site, leader, &[3]);
    assert_nothing_runs(&site, leader, &[1, 2, 3]);
}

/// Guards against cancellations that reach the leader before their jobs and are dropped.
#[test]
fn jobs_cancelled_at_another_host_right_after_their_submission_are_stopped() {
    let (site, leader) = open(3, 3);
    let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let keys: Vec<u64> = (1..=40).collect();
    for &key in &keys {
        assert_eq!(site.hosts[one].submit(JobKey(key), &long_running()), Some(200));
        cancel(&site, other, &[key]);
    }
    assert_nothing_runs(&site, leader, &keys);
}

/// Guards against a submission with an unknown outcome that is stored, and whose tasks run forever,
/// after its caller was notified that there is no such job to cancel.
#[test]
fn a_hand_in_that_is_stored_after_its_cancellation_starts_nothing() {
    let (site, leader) = open(2, 2);
    let job = JobKey(1);
    let other = &site.hosts[1 - leader];
    site.store.hold_back_next(JOBS);
    let callers = other.callers.clone();
    let submission = thread::spawn(move || site::submit(&callers, job, &long_running()));
    wait_for("a submission without an answer", || site.store.has_held_back());
    site.store.set_writes_refused(true);
    assert_eq!(submission.join().expect("the caller does not panic"), Some(OUTCOME_UNKNOWN_STATUS));
    site.store.set_writes_refused(false);
    cancel(&site, leader, &[1]);
    site.store.carry_out_held();
    site.fleet.note_no_faults();
    let began = Instant::now();
    while began.elapsed() < CANCELLED_RUN_LIMIT + MARGIN {
        assert_eq!(site.fleet.starts_of(job), Vec::<String>::new());
        thread::sleep(Duration::from_millis(20));
    }
}
