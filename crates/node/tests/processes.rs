//! Tests of the real daemon in several processes, with stand-ins for the platform.

mod support;

use std::time::{Duration, Instant};

use gaplock_jobs::{JobKey, TaskKey};
use gaplock_platform_standin::checker::SeenRun;
use gaplock_platform_standin::cloud;
use gaplock_platform_standin::faults::WorkerFaults;
use gaplock_platform_standin::relay::Mode;
use gaplock_platform_standin::site::{
    call, connect_as_peer, gang, saving, two_steps, Output, Site, PREFIX,
};
use gaplock_types::ids;
use rustix::process::Signal;
use serde_json::{json, Value};
use support::{open_site, open_site_with, wait_for};

fn shows(site: &Site, host: usize, key: u64, state: &str) -> bool {
    site.hosts[host].state(JobKey(key)).is_some_and(|(_, shown)| shown == state)
}

fn submit(site: &Site, host: usize, key: u64) -> Option<u16> {
    site.hosts[host].submit(JobKey(key), &two_steps())
}

#[test]
fn a_job_submitted_to_any_host_completes_and_is_shown_by_all() {
    let site = open_site(3, 4, Duration::from_millis(200));
    for host in 0..3 {
        let key = 10 + host as u64;
        assert_eq!(submit(&site, host, key), Some(200));
        assert_eq!(submit(&site, host, key), Some(200), "sent again");
    }
    for host in 0..3 {
        for key in 10..13 {
            wait_for("completion", || shows(&site, host, key, "completed"));
        }
    }
    assert_eq!(site.fleet.starts(), 30);
    assert!(site.tasks_run_concurrently().is_empty());
    let host = &site.hosts[0];
    assert_eq!(host.state(JobKey(99)).map(|(status, _)| status), Some(410));
    assert_eq!(call(&host.callers, "GET", "/nowhere/", "").map(|a| a.status), Some(404));
    let count = call(&host.callers, "GET", PREFIX, "").map(|a| a.body);
    assert_eq!(count.as_deref(), Some(r#"{"Pending":0}"#));
}

#[test]
fn tasks_survive_their_leader() {
    let mut site = open_site(3, 4, Duration::from_millis(3_000));
    let first = site.leader().expect("there is a leader");
    let other = (first + 1) % 3;
    assert_eq!(submit(&site, other, 1), Some(200));
    wait_for("the first starts", || site.fleet.starts() == 6);
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    wait_for("completion", || shows(&site, other, 1, "completed"));
    assert_eq!(site.fleet.starts(), 10, "a task was started again");
    assert!(site.tasks_run_concurrently().is_empty());
}

/// The three tasks of the first step run for 6 s, and each loses its worker under the second
/// leader.
#[test]
fn saved_work_is_kept_over_a_change_of_leader_and_crashes_of_workers() {
    let mut site = open_site(3, 4, Duration::from_secs(2));
    let first = site.leader().expect("there is a leader");
    let other = (first + 1) % 3;
    assert_eq!(site.hosts[other].submit(JobKey(1), &saving(0)), Some(200));
    wait_for("the first starts", || site.fleet.starts() == 3);
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    let next = site.leader().expect("there is a leader");
    wait_for("the runs to be found", || site.hosts[next].logged("run_adopted").len() == 3);
    // Meanwhile several checkpoints are made and listed.
    std::thread::sleep(Duration::from_millis(1_500));
    (0..site.fleet.len()).for_each(|worker| site.fleet.crash(worker));
    wait_for("the next starts", || site.fleet.starts() == 6);
    assert_eq!(site.fleet.resumed(), 3);
    wait_for("completion", || shows(&site, other, 1, "completed"));
    assert!(site.fleet.violations().is_empty(), "{:#?}", site.fleet.violations());
    let discarded: Vec<_> =
        site.fleet.discarded_work().into_iter().map(|(_, timeline)| timeline).collect();
    assert!(discarded.is_empty(), "saved work was discarded: {discarded:#?}");
}

/// Guards against starts with checkpoints of other tasks, which workers of the users received:
/// whatever a worker listed beside a task was sent with the task's next start, also for tasks of
/// steps that save nothing.
#[test]
fn a_checkpoint_listed_for_a_task_that_saves_nothing_is_not_sent() {
    let site = open_site(2, 3, Duration::from_secs(1));
    let lists_unsaved = WorkerFaults { lists_unsaved: true, ..WorkerFaults::default() };
    (0..site.fleet.len()).for_each(|worker| site.fleet.set_faults(worker, lists_unsaved));
    assert_eq!(site.hosts[0].submit(JobKey(1), &saving(0)), Some(200));
    wait_for("the later steps", || site.fleet.starts() == 7);
    let busy = (0..site.fleet.len()).filter(|&worker| site.fleet.running_at(worker) > 0);
    for worker in busy.collect::<Vec<_>>() {
        site.fleet.drain(worker, Duration::from_millis(1_700));
    }
    wait_for("the next starts", || site.fleet.starts() > 7);
    wait_for("completion", || shows(&site, 0, 1, "completed"));
    assert!(site.fleet.violations().is_empty(), "{:#?}", site.fleet.violations());
}

/// The gang's members are on two workers or more, and the checkpoints that these list last were
/// made at different times.
#[test]
fn a_gang_that_loses_a_worker_resumes_from_one_checkpoint() {
    let site = open_site(2, 4, Duration::from_secs(2));
    assert_eq!(site.hosts[0].submit(JobKey(1), &gang()), Some(200));
    wait_for("the first starts", || site.fleet.starts() == 3);
    std::thread::sleep(Duration::from_millis(1_500));
    for worker in 0..site.fleet.len() {
        site.fleet.crash(worker);
        std::thread::sleep(Duration::from_millis(500));
        if site.fleet.starts() > 3 {
            break;
        }
    }
    wait_for("completion", || shows(&site, 1, 1, "completed"));
    assert!(site.fleet.resumed() >= 3, "{} starts resumed", site.fleet.resumed());
    assert!(site.fleet.violations().is_empty(), "{:#?}", site.fleet.violations());
}

/// Returns whether a run was withdrawn because its worker had restarted: the start order named the
/// previous incarnation, whose end the leader learned of only later, and the next incarnation was
/// ordered to stop the run.
fn was_withdrawn(
    site: &Site,
    previous: &[ids::WorkerId],
    (task, run): (TaskKey, &SeenRun),
) -> bool {
    let lines = |event: &str| site.hosts.iter().flat_map(|h| h.logged(event)).collect::<Vec<_>>();
    let of_run = |line: &Value| line["task"] == task.to_string() && line["run"] == run.run;
    let ordered: Vec<Value> = lines("start_ordered").into_iter().filter(of_run).collect();
    let names_previous = |line: &Value| previous.iter().any(|id| line["worker"] == id.to_string());
    let stopped = lines("stop_ordered").into_iter().filter(of_run);
    let mut why = stopped.filter(|line| line["why"] == "its worker has started again");
    run.ended.is_some_and(|(how, _)| how == "stopped")
        && matches!(&ordered[..], [order] if names_previous(order))
        && why.next().is_some()
}

/// Asserts that each of a job's tasks ran to its end once, and that each earlier run was withdrawn
/// and over before the next one began.
fn assert_ran_once(site: &Site, key: u64, previous: &[ids::WorkerId]) {
    let tasks = site.fleet.runs_of(JobKey(key));
    assert_eq!(tasks.len(), 10, "tasks of job {key}");
    for (task, runs) in tasks {
        let (last, earlier) = runs.split_last().expect("each task has at least one run");
        let is_done = last.ended.is_some_and(|(how, _)| how == "done");
        assert!(is_done, "{task} did not end as done: {runs:#?}");
        for (run, next) in earlier.iter().zip(&runs[1..]) {
            let is_over = run.ended.is_some_and(|(_, at)| at <= next.began);
            assert!(is_over, "{task} ran twice at one time: {runs:#?}");
            let withdrawn = was_withdrawn(site, previous, (task, run));
            assert!(withdrawn, "{task} was started again: {runs:#?}");
        }
    }
}

/// The workers' next incarnations list their ends under numbers that the leader has already
/// handled. A start that is under way when the leader learns of the restart is withdrawn, and the
/// task may be started elsewhere.
#[test]
fn tasks_at_workers_that_restart_under_their_ids_run_once() {
    let site = open_site(3, 2, Duration::from_millis(300));
    let via = site.leader().expect("there is a leader");
    assert_eq!(submit(&site, via, 1), Some(200));
    wait_for("completion", || shows(&site, via, 1, "completed"));
    let workers = 0..site.fleet.len();
    let previous: Vec<_> =
        workers.clone().map(|worker| site.fleet.current_incarnation(worker)).collect();
    workers.for_each(|worker| site.fleet.restart_in_place(worker));
    assert_eq!(submit(&site, via, 2), Some(200));
    wait_for("completion after the restart", || shows(&site, via, 2, "completed"));
    assert_ran_once(&site, 1, &[]);
    assert_ran_once(&site, 2, &previous);
    assert!(site.fleet.violations().is_empty(), "{:#?}", site.fleet.violations());
}

#[test]
fn a_leader_that_stops_hands_over_to_a_follower() {
    let mut site = open_site(3, 4, Duration::from_millis(300));
    let first = site.leader().expect("there is a leader");
    // The leader knows a follower from its first heartbeat on.
    std::thread::sleep(Duration::from_millis(1_000));
    site.hosts[first].signal(Signal::TERM);
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    assert_eq!(site.leader_claims_lost(), 0, "nobody led for a while");
    let other = (first + 1) % 3;
    assert_eq!(submit(&site, other, 1), Some(200));
    wait_for("completion", || shows(&site, other, 1, "completed"));
    assert!(site.tasks_run_concurrently().is_empty());
}

#[test]
fn a_maintenance_wave_is_carried_out_and_reported_over_a_change_of_leader() {
    let mut site = open_site(3, 4, Duration::from_millis(300));
    let first = site.leader().expect("there is a leader");
    let hosts: Vec<String> = (0..4).map(cloud::host_name).collect();
    let wave = json!({"Wave": 1, "Machines": hosts, "DurationS": 30, "Maximum": 1});
    site.store.put("op/wave/1", &wave);
    let state = |site: &Site| site.store.get("status/wave/1").map(|s| s["State"].clone());
    wait_for("the first maintenance", || site.cloud.hosts_taken_down() > 0);
    assert_eq!(state(&site), Some(json!("active")));
    site.hosts[first].kill().expect("the process runs");
    wait_for("the end of the wave", || state(&site) == Some(json!("completed")));
    assert_eq!((site.cloud.hosts_taken_down(), site.cloud.most_hosts_down()), (4, 1));
}

/// How long a successor may take to read the state, in milliseconds, where each call to the store
/// takes 300 ms: its eight parts take 2,400 ms one after the other, and nothing starts during that
/// time.
const MAX_READ_MS: u64 = 1_200;

#[test]
fn a_successor_reads_the_parts_of_the_state_concurrently() {
    let mut site = open_site(2, 4, Duration::from_millis(300));
    let first = site.leader().expect("there is a leader");
    assert_eq!(submit(&site, first, 1), Some(200));
    for host in &site.hosts {
        host.store_link.set(Mode::Delay);
    }
    site.hosts[first].kill().expect("the process runs");
    let successor = &site.hosts[1 - first];
    wait_for("a successor", || !successor.logged("state_read").is_empty());
    let took =
        successor.logged("state_read")[0]["took_ms"].as_u64().expect("`took_ms` is a number");
    assert!(took <= MAX_READ_MS, "the state was read in {took} ms");
}

#[test]
fn an_evacuated_domain_gets_nothing_over_a_change_of_leader() {
    let mut site = open_site(3, 4, Duration::from_millis(300));
    let first = site.leader().expect("there is a leader");
    let other = (first + 1) % 3;
    let runs = "gaplock_evacuated_domain_runs{domain=\"hall\"}";
    site.store.put("op/evacuate/", &json!({}));
    site.store.put("op/evacuate/nowhere", &json!([7]));
    site.store.put("op/evacuate/hall", &json!({}));
    wait_for("the leader to read the evacuation", || site.hosts[first].metric(runs) == Some(0));
    assert_eq!(submit(&site, other, 1), Some(200));
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader().is_some_and(|leader| leader != first));
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(site.fleet.starts(), 0);
    assert!(shows(&site, other, 1, "queued"));
    site.store.remove("op/evacuate/hall");
    wait_for("completion", || shows(&site, other, 1, "completed"));
    assert!(site.tasks_run_concurrently().is_empty());
}

#[test]
fn a_leader_shows_how_many_events_wait_for_it() {
    let site = open_site(2, 2, Duration::from_millis(300));
    wait_for("the workers to be known", || site.has_stored_workers());
    assert_eq!(submit(&site, 0, 1), Some(200));
    wait_for("completion", || shows(&site, 0, 1, "completed"));
    let leader = site.leader().expect("there is a leader");
    let waiting = site.hosts[leader].metric("gaplock_waiting_events");
    assert!(waiting.is_some_and(|events| events < 1_000), "{waiting:?} events wait");
}

#[test]
fn a_job_is_refused_at_once_while_the_store_is_unavailable() {
    let site = open_site(2, 2, Duration::from_millis(300));
    // Hosts are ready before one of them leads; workers that no leader has stored get no tasks.
    wait_for("the workers to be known", || site.has_stored_workers());
    assert_eq!(submit(&site, 0, 1), Some(200));
    site.store.set_down(true);
    let began = Instant::now();
    assert_eq!(submit(&site, 0, 2), Some(503));
    assert!(began.elapsed() < Duration::from_millis(1_000), "the refusal was delayed");
    wait_for("what was accepted to run on", || site.fleet.starts() == 10);
    site.store.set_down(false);
    wait_for("completion", || shows(&site, 0, 1, "completed"));
    let known = site.hosts[0].state(JobKey(2)).map(|(status, _)| status);
    assert_eq!(known, Some(410), "a refused job is known");
    assert_eq!(submit(&site, 0, 2), Some(200));
    wait_for("completion", || shows(&site, 1, 2, "completed"));
    assert_eq!(site.fleet.starts(), 20);
}

#[test]
fn a_cancelled_job_is_shown_as_such_and_stops() {
    let site = open_site(2, 2, Duration::from_secs(30));
    assert_eq!(submit(&site, 1, 1), Some(200));
    wait_for("the first starts", || site.fleet.starts() == 6);
    assert_eq!(site.hosts[1].cancel(JobKey(1)), Some(200));
    assert_eq!(site.hosts[1].cancel(JobKey(5)), Some(410));
    wait_for("the state", || shows(&site, 0, 1, "canceled"));
    assert_eq!(site.fleet.starts(), 6);
}

/// Each job logs some 40 lines at its leader; a pipe that is not read holds 64 KiB.
#[test]
fn an_unread_standard_output_stops_nothing() {
    let site = open_site_with(2, 4, Duration::from_millis(50), Output::BlockedPipe);
    wait_for("the workers to be known", || site.has_stored_workers());
    for key in 1..=60 {
        assert_eq!(submit(&site, key as usize % 2, key), Some(200));
    }
    for key in 1..=60 {
        wait_for("completion", || shows(&site, 0, key, "completed"));
    }
    assert_eq!(site.fleet.starts(), 600);
    let mut next = 60;
    wait_for("dropped lines to be counted", || {
        next += 1;
        submit(&site, 0, next);
        site.hosts.iter().any(|h| h.metric("gaplock_log_lines_dropped") > Some(0))
    });
}

/// Guards against a leader that accepts only 100 connections of other hosts and refuses the rest,
/// as was seen with 300 hosts.
#[test]
fn a_host_takes_the_connections_of_hundreds_of_others() {
    let site = open_site(1, 1, Duration::from_millis(100));
    let open: Vec<_> = (0..300).map_while(|_| connect_as_peer(&site.hosts[0].peers)).collect();
    assert_eq!(open.len(), 300, "a host was turned away");
}

#[test]
fn connections_that_become_silent_without_a_reset_neither_end_a_leadership_nor_stop_work() {
    let site = open_site(2, 2, Duration::from_millis(100));
    wait_for("the workers to be known", || site.has_stored_workers());
    let first = site.leader().expect("there is a leader");
    for key in 1..=4 {
        assert_eq!(submit(&site, key as usize % 2, key), Some(200));
    }
    wait_for("completion", || (1..=4).all(|key| shows(&site, first, key, "completed")));
    site.hosts.iter().for_each(|host| host.store_link.silence_open_connections());
    (0..site.fleet.len()).for_each(|worker| site.fleet.silence_open_connections(worker));
    // Longer than the leader's lease in the store.
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(site.leader(), Some(first), "the leader lost its leadership");
    assert_eq!(submit(&site, 0, 5), Some(200));
    wait_for("completion", || shows(&site, first, 5, "completed"));
    assert!(site.tasks_run_concurrently().is_empty());
}
