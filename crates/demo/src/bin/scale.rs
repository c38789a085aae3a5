//! `gaplock-scale [WORKERS...]`: measures what fleets of several sizes cost the entries, with real
//! processes.
//!
//! For each fleet size it measures the processor time, memory and store calls of the entries, idle
//! and under a known rate of task starts, with the default timing. It also measures how long urgent
//! work takes to start on a full fleet. Prints a table and the slopes.

use std::collections::BTreeMap;
use std::io;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_demo::calls::call;
use gaplock_demo::cluster::{Cluster, Plan};
use gaplock_demo::site;
use gaplock_remote::clock;
use gaplock_standin::store::Counts;
use gaplock_types::sizes;
use http_types::Method;
use serde_json::json;

/// Bounds the wait for each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(40);
/// The length of each measurement.
const MEASURED_SPAN: Duration = Duration::from_secs(10);
const ENTRIES: usize = 3;
const TASKS_PER_JOB: u32 = 8;
const JOBS_PER_S: u64 = 8;
const URGENT_JOBS: usize = 20;
/// The unit of processor times in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// The unit of memory sizes in `/proc/PID/statm`.
const PAGE_BYTES: f64 = 4_096.0;

/// What an entry used during a measurement, as the mean over all entries.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    cpu_percent: f64,
    rss_mb: f64,
    store_writes_per_s: f64,
    store_reads_per_s: f64,
    written_bytes_per_s: f64,
}

/// The results for one fleet size.
#[derive(Debug)]
struct FleetResult {
    workers: usize,
    idle: Cost,
    loaded: Cost,
    starts_per_s: f64,
    urgent_ms: Vec<u64>,
}

fn main() -> ExitCode {
    let sizes_given: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let fleets = if sizes_given.is_empty() { vec![48, 144, 288] } else { sizes_given };
    let mut costs = Vec::new();
    println!(
        "workers  idle cpu%  idle MB  idle w/s  idle r/s  loaded cpu%  loaded MB  loaded w/s  \
         written B/s  starts/s  urgent p50 ms  urgent max ms"
    );
    for workers in fleets {
        match task::block_on(measure(workers)) {
            Ok(cost) => {
                print_row(&cost);
                costs.push(cost);
            }
            Err(e) => {
                eprintln!("error: {workers} workers: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    print_slopes(&costs);
    ExitCode::SUCCESS
}

fn print_row(s: &FleetResult) {
    let median = s.urgent_ms.get(s.urgent_ms.len() / 2).copied().unwrap_or(0);
    let longest = s.urgent_ms.last().copied().unwrap_or(0);
    println!(
        "{:>7}  {:>9.2}  {:>7.1}  {:>8.1}  {:>8.1}  {:>11.2}  {:>9.1}  {:>10.1}  {:>11.0}  \
         {:>8.1}  {median:>13}  {longest:>13}",
        s.workers,
        s.idle.cpu_percent,
        s.idle.rss_mb,
        s.idle.store_writes_per_s,
        s.idle.store_reads_per_s,
        s.loaded.cpu_percent,
        s.loaded.rss_mb,
        s.loaded.store_writes_per_s,
        s.loaded.written_bytes_per_s,
        s.starts_per_s
    );
}

/// Prints the slopes between the smallest and the largest fleet.
fn print_slopes(costs: &[FleetResult]) {
    let (Some(first), Some(last)) = (costs.first(), costs.last()) else { return };
    if first.workers == last.workers {
        return;
    }
    let workers_per_entry = |s: &FleetResult| s.workers as f64 / ENTRIES as f64;
    let span = workers_per_entry(last) - workers_per_entry(first);
    let cpu = (last.idle.cpu_percent - first.idle.cpu_percent) / span;
    let memory = (last.idle.rss_mb - first.idle.rss_mb) / span;
    let per_start =
        (last.loaded.cpu_percent - last.idle.cpu_percent) / (last.starts_per_s / ENTRIES as f64);
    println!("slope: {cpu:.4}% of a core and {memory:.3} MB for each worker that an entry owns");
    println!("slope: {per_start:.4}% of a core for each start a second that an entry makes");
}

async fn measure(workers: usize) -> io::Result<FleetResult> {
    let plan = Plan {
        entries: ENTRIES,
        workers,
        slices: 2,
        workers_per_process: 48,
        capacity: sizes::Resources::new(8_000, 32 * 1024, 0),
        settings: Vec::new(),
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await?;
    for i in 0..ENTRIES {
        cluster.wait_ready(i, STEP_TIMEOUT).await?;
    }
    let intent = site::first_intent(workers as u32);
    cluster.apply_intent(0, site::BOOTSTRAP_KEY, intent).await?;
    cluster.wait_usable(0, workers, STEP_TIMEOUT).await?;
    task::sleep(Duration::from_secs(5)).await;
    let idle = measure_cost(&cluster, || task::sleep(MEASURED_SPAN)).await?;
    let before = cluster.collect_findings().await?.starts;
    let loaded = measure_cost(&cluster, || submit_steadily(&cluster)).await?;
    let starts = cluster.collect_findings().await?.starts - before;
    let urgent_ms = measure_urgent_starts(&cluster).await?;
    let starts_per_s = starts as f64 / MEASURED_SPAN.as_secs_f64();
    Ok(FleetResult { workers, idle, loaded, starts_per_s, urgent_ms })
}

/// Returns the processor time of a process in seconds and its resident memory in megabytes.
fn process_cost(pid: u32) -> io::Result<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages: f64 = statm.split_whitespace().nth(1).and_then(|f| f.parse().ok()).unwrap_or(0.0);
    Ok(((ticks(11) + ticks(12)) / TICKS_PER_S, pages * PAGE_BYTES / 1e6))
}

async fn store_counts(cluster: &Cluster) -> io::Result<Counts> {
    let addr = &cluster.store_addr;
    let answer = call(addr, Method::Get, "/counts", &[], Vec::new(), 2_000).await?;
    answer.json().ok_or_else(|| io::Error::other("cannot parse the store's counts"))
}

/// Returns what the entries use while `during` runs.
async fn measure_cost<F>(cluster: &Cluster, during: impl FnOnce() -> F) -> io::Result<Cost>
where
    F: std::future::Future<Output = ()>,
{
    let pids: Vec<u32> = cluster.entries.iter().map(|e| e.process.id()).collect();
    let cpu = |pids: &[u32]| -> io::Result<f64> {
        pids.iter().map(|pid| process_cost(*pid).map(|(cpu, _)| cpu)).sum()
    };
    let (cpu_before, store_before, began) =
        (cpu(&pids)?, store_counts(cluster).await?, Instant::now());
    during().await;
    let took = began.elapsed().as_secs_f64();
    let (cpu_after, store_after) = (cpu(&pids)?, store_counts(cluster).await?);
    let memory: io::Result<f64> = pids.iter().map(|pid| process_cost(*pid).map(|(_, m)| m)).sum();
    let per_s = |after: u64, before: u64| (after - before) as f64 / took;
    Ok(Cost {
        cpu_percent: 100.0 * (cpu_after - cpu_before) / took / pids.len() as f64,
        rss_mb: memory? / pids.len() as f64,
        store_writes_per_s: per_s(store_after.writes, store_before.writes),
        store_reads_per_s: per_s(store_after.reads, store_before.reads),
        written_bytes_per_s: per_s(store_after.written_bytes, store_before.written_bytes),
    })
}

/// Submits a job; returns its id, or `None` if it was not accepted.
async fn submit(
    cluster: &Cluster,
    key: &str,
    urgent: bool,
    work_ms: u64,
    tasks: u32,
) -> Option<String> {
    let spec = json!({
        "class": "bundle", "demand": {"cpu": 500, "mem": 256},
        "work_ms": work_ms, "tasks": tasks, "urgent": urgent,
    });
    let headers = [("idempotency-key", key)];
    let (_, partner) = site::PARTNER_KEYS[usize::from(urgent)];
    let entry = key.len() % ENTRIES;
    let answer =
        cluster.ask(entry, Method::Post, "/v1/jobs", partner, &headers, spec).await.ok()?;
    answer.json::<serde_json::Value>()?["job"].as_str().map(String::from)
}

/// Submits jobs at a constant rate during a measurement.
async fn submit_steadily(cluster: &Cluster) {
    let began = Instant::now();
    let mut n = 0;
    while began.elapsed() < MEASURED_SPAN {
        let due = began + Duration::from_millis(n * 1000 / JOBS_PER_S);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        if submit(cluster, &format!("steady-{n}"), false, 500, TASKS_PER_JOB).await.is_none() {
            eprintln!("note: a steady job was refused");
        }
        n += 1;
    }
}

/// Fills the fleet with long ordinary tasks, then measures the time from the submission of urgent
/// tasks to their starts, in milliseconds.
async fn measure_urgent_starts(cluster: &Cluster) -> io::Result<Vec<u64>> {
    let slots = cluster.worker_addrs.len() * 12;
    for n in 0..slots.div_ceil(200) {
        submit(cluster, &format!("fill-{n}"), false, 120_000, 200).await;
    }
    task::sleep(Duration::from_secs(6)).await;
    let mut sent = BTreeMap::new();
    for n in 0..URGENT_JOBS {
        let at = clock::now().0;
        if let Some(job) = submit(cluster, &format!("urgent-{n}"), true, 1_000, 1).await {
            sent.insert(job, at);
        }
        task::sleep(Duration::from_millis(250)).await;
    }
    task::sleep(Duration::from_secs(4)).await;
    let findings = cluster.collect_findings().await?;
    let mut waits: Vec<u64> = findings
        .by_task
        .iter()
        .filter_map(|(task, runs)| {
            let at = sent.get(&task.job.to_string())?;
            Some(runs.first()?.from_ms.saturating_sub(*at))
        })
        .collect();
    waits.sort_unstable();
    if waits.len() < sent.len() {
        eprintln!(
            "note: {} of {} urgent tasks have not started",
            sent.len() - waits.len(),
            sent.len()
        );
    }
    Ok(waits)
}
