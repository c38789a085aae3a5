//! Cancelled jobs, with real daemons in processes: nothing of them is started again, and what runs of them ends.
//!
//! Users saw runs of cancelled jobs go on for good. Cause: a task that was suspected of crashing its worker was
//! started after the cancellation of its job, and nothing stops a run of a job that has ended.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use gaplock_jobs::JobKey;
use gaplock_platform_standin::judge::{acknowledges, OUTSTAY_LIMIT};
use gaplock_platform_standin::site::{self, gang, lasting, two_steps, Site};
use gaplock_platform_standin::trouble::{Lateness, Stops, WorkerTrouble};
use support::{open_site, wait_for};

/// What a task takes; none ends by itself in a test.
const LONG: Duration = Duration::from_secs(60);

/// A little more than what the judge lets pass.
const MARGIN: Duration = Duration::from_millis(200);

/// The longest that a late order is late, and a little more.
const LATEST: Duration = Duration::from_millis(6_300);

/// How many tasks a job of two steps has at work at first.
const FIRST_TASKS: u64 = 6;

/// Where accepted jobs are stored.
const JOBS: &str = "gaplock/in/job/";

/// What a caller is told whose outcome is not known.
const UNKNOWN: u16 = 504;

/// Opens a site whose workers are known to its leader, and returns that leader.
fn open(hosts: usize, workers: usize) -> (Site, usize) {
    let site = open_site(hosts, workers, LONG);
    wait_for("the workers to be known", || site.knows_workers());
    let leader = site.leader().expect("there is a leader");
    (site, leader)
}

/// Hands in jobs and waits until their first tasks run.
fn run_jobs(site: &Site, host: usize, keys: &[u64]) {
    for &key in keys {
        assert_eq!(site.hosts[host].submit(JobKey(key), &two_steps()), Some(200));
    }
    let wanted = keys.len() as u64 * FIRST_TASKS;
    wait_for("the first starts", || site.fleet.starts() >= wanted);
}

/// Cancels jobs at a host, and tells the judge once that is acknowledged.
fn cancel(site: &Site, host: usize, keys: &[u64]) {
    for &key in keys {
        let acknowledged = || site.hosts[host].cancel(JobKey(key)).is_some_and(acknowledges);
        wait_for("the acknowledgement", acknowledged);
        site.fleet.note_cancelled(JobKey(key));
    }
}

/// Lets the judge look at a site that nothing harms, and checks that jobs are shown as cancelled and nothing runs.
fn assert_gone(site: &Site, host: usize, keys: &[u64]) {
    assert_gone_after(site, host, keys, Duration::ZERO);
}

/// The same where starts may be carried out for a while.
fn assert_gone_after(site: &Site, host: usize, keys: &[u64], late: Duration) {
    site.fleet.note_calm();
    let began = Instant::now();
    while began.elapsed() < late + OUTSTAY_LIMIT + MARGIN {
        assert!(site.fleet.violations().is_empty(), "{:#?}", site.fleet.violations());
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(site.fleet.cancelled_runs(), Vec::<String>::new());
    for &key in keys {
        let state = site.hosts[host].state(JobKey(key)).map(|(_, word)| word);
        assert_eq!(state.as_deref(), Some("canceled"), "job {key}");
    }
}

fn crash_all(site: &Site) {
    (0..site.fleet.len()).for_each(|worker| site.fleet.crash(worker));
}

fn trouble_all(site: &Site, trouble: WorkerTrouble) {
    (0..site.fleet.len()).for_each(|worker| site.fleet.set_trouble(worker, trouble));
}

/// Guards against suspects that are tried, and run for good, after the cancellation of their jobs.
#[test]
fn suspects_of_cancelled_jobs_are_not_tried() {
    let (site, leader) = open(2, 3);
    let keys = [1, 2, 3];
    run_jobs(&site, leader, &keys);
    crash_all(&site);
    wait_for("the next starts", || site.fleet.starts() >= 2 * 3 * FIRST_TASKS);
    let before = site.fleet.starts();
    crash_all(&site);
    // With two losses each task is tried alone, and all others wait.
    wait_for("a trial", || site.fleet.starts() > before);
    cancel(&site, leader, &keys);
    assert_gone(&site, leader, &keys);
}

/// Guards against suspects that are started between the crash and the leader's next look at them.
#[test]
fn jobs_cancelled_right_after_a_crash_of_their_workers_are_gone() {
    let (site, leader) = open(2, 2);
    let keys = [1, 2, 3, 4];
    run_jobs(&site, leader, &keys);
    for key in keys {
        site.fleet.crash(key as usize % 2);
        cancel(&site, leader, &[key]);
    }
    assert_gone(&site, leader, &keys);
}

/// Guards against tasks that are started again since their worker's next start knows nothing of them.
#[test]
fn jobs_cancelled_while_their_workers_start_again_under_their_names_are_gone() {
    let (site, leader) = open(2, 2);
    let keys = [1, 2, 3];
    run_jobs(&site, leader, &keys);
    cancel(&site, leader, &keys[..1]);
    (0..site.fleet.len()).for_each(|worker| site.fleet.start_over(worker));
    cancel(&site, leader, &keys[1..2]);
    wait_for("the restart to be heard", || site.fleet.starts() > 3 * FIRST_TASKS);
    cancel(&site, leader, &keys[2..]);
    assert_gone(&site, leader, &keys);
}

/// Guards against a successor that adopts the runs of a job cancelled while nobody led.
#[test]
fn a_job_cancelled_while_nobody_leads_is_gone_under_the_successor() {
    let (mut site, first) = open(3, 3);
    let other = (first + 1) % 3;
    run_jobs(&site, other, &[1, 2]);
    site.hosts[first].kill().expect("it runs");
    cancel(&site, other, &[1, 2]);
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    assert_gone(&site, other, &[1, 2]);
}

/// Guards against a successor that adopts runs which the leader was killed before it could stop.
#[test]
fn a_job_whose_leader_is_killed_after_the_acknowledgement_is_gone_under_the_successor() {
    let (mut site, first) = open(3, 3);
    let other = (first + 1) % 3;
    run_jobs(&site, first, &[1, 2]);
    trouble_all(&site, WorkerTrouble { stops: Stops::Lost, ..WorkerTrouble::default() });
    cancel(&site, first, &[1, 2]);
    site.hosts[first].kill().expect("it runs");
    trouble_all(&site, WorkerTrouble::default());
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    assert_gone(&site, other, &[1, 2]);
}

/// Guards against a cancellation that is known to nobody but the host that acknowledged it.
#[test]
fn a_job_is_gone_though_the_host_that_acknowledged_its_cancellation_is_removed() {
    let (mut site, leader) = open(3, 3);
    let other = (leader + 1) % 3;
    run_jobs(&site, leader, &[1, 2]);
    cancel(&site, other, &[1, 2]);
    site.hosts[other].kill().expect("it runs");
    assert_gone(&site, leader, &[1, 2]);
}

/// Guards against stops that are given up when a worker refuses them.
#[test]
fn refused_stops_are_sent_again() {
    assert_stopped_in_spite_of(Stops::Refused);
}

/// Guards against stops that are taken for done when no answer came.
#[test]
fn lost_stops_are_sent_again() {
    assert_stopped_in_spite_of(Stops::Lost);
}

fn assert_stopped_in_spite_of(stops: Stops) {
    let (site, leader) = open(2, 2);
    run_jobs(&site, leader, &[1, 2]);
    trouble_all(&site, WorkerTrouble { stops, ..WorkerTrouble::default() });
    cancel(&site, leader, &[1, 2]);
    wait_for("a stop of each run", || site.fleet.stops_arrived() >= 2 * FIRST_TASKS);
    assert_eq!(site.fleet.cancelled_runs().len() as u64, 2 * FIRST_TASKS);
    trouble_all(&site, WorkerTrouble::default());
    assert_gone(&site, leader, &[1, 2]);
}

/// Guards against starts without an answer that are forgotten with their job and carried out seconds later.
#[test]
fn starts_that_are_carried_out_after_the_cancellation_are_stopped() {
    let (site, leader) = open(2, 2);
    let late = WorkerTrouble { late_starts: 100, ..WorkerTrouble::default() };
    trouble_all(&site, late);
    (0..site.fleet.len()).for_each(|n| site.fleet.set_lateness(n, Lateness::ByLeases));
    for key in [1, 2] {
        assert_eq!(site.hosts[leader].submit(JobKey(key), &lasting()), Some(200));
    }
    wait_for("the starts to arrive", || site.fleet.arrived() >= 4);
    cancel(&site, leader, &[1, 2]);
    trouble_all(&site, WorkerTrouble::default());
    assert_gone_after(&site, leader, &[1, 2], LATEST);
}

/// Guards against members of a gang that are started again with the others after the cancellation.
#[test]
fn gangs_cancelled_at_work_or_after_the_loss_of_a_member_are_gone() {
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
    assert_gone(&site, leader, &[1, 2, 3]);
}

/// Guards against cancellations that the leader hears of before the jobs, and forgets.
#[test]
fn jobs_cancelled_at_another_host_right_after_their_hand_in_are_gone() {
    let (site, leader) = open(3, 3);
    let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let keys: Vec<u64> = (1..=40).collect();
    for &key in &keys {
        assert_eq!(site.hosts[one].submit(JobKey(key), &lasting()), Some(200));
        cancel(&site, other, &[key]);
    }
    assert_gone(&site, leader, &keys);
}

/// Guards against a hand-in without an outcome that is stored, and runs for good, after its caller was told that
/// there is no such job to cancel.
#[test]
fn a_hand_in_that_is_stored_after_its_cancellation_starts_nothing() {
    let (site, leader) = open(2, 2);
    let job = JobKey(1);
    let other = &site.hosts[1 - leader];
    site.store.hold_next(JOBS);
    let callers = other.callers.clone();
    let asked = thread::spawn(move || site::submit(&callers, job, &lasting()));
    wait_for("a hand-in without an answer", || site.store.holds_one());
    site.store.set_writes_refused(true);
    assert_eq!(asked.join().expect("the caller does not panic"), Some(UNKNOWN));
    site.store.set_writes_refused(false);
    cancel(&site, leader, &[1]);
    site.store.carry_out_held();
    site.fleet.note_calm();
    let began = Instant::now();
    while began.elapsed() < OUTSTAY_LIMIT + MARGIN {
        assert_eq!(site.fleet.starts_of(job), Vec::<String>::new());
        thread::sleep(Duration::from_millis(20));
    }
}
