//! `gaplock-path`: measures the latency that the entries add to a request.
//!
//! Runs `gaplock-load` directly against the workers and through the entries, in one run on one
//! installation. Prints the JSON of the load program.

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use async_std::task;
use gaplock_demo::cluster::{Cluster, Plan};
use gaplock_demo::process::Process;
use gaplock_demo::site;

/// Bounds the wait for each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// The rate of requests per second, an argument of the load program.
const REQUESTS_PER_S: &str = "300";
/// The length of the load.
const LOAD_SECONDS: u64 = 16;

fn main() -> ExitCode {
    match task::block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> io::Result<()> {
    let cluster = Cluster::start(Plan::default()).await?;
    for i in 0..3 {
        cluster.wait_ready(i, STEP_TIMEOUT).await?;
    }
    cluster.apply_intent(0, site::BOOTSTRAP_KEY, site::first_intent(8)).await?;
    cluster.wait_usable(0, 8, STEP_TIMEOUT).await?;
    for i in 0..3 {
        cluster.wait_serving(i, STEP_TIMEOUT).await?;
    }
    let entries: Vec<String> = cluster.entries.iter().map(|e| e.callers.clone()).collect();
    let seconds = LOAD_SECONDS.to_string();
    let args: Vec<String> = [
        "--entries",
        &entries.join(","),
        "--direct",
        &cluster.worker_addrs.join(","),
        "--service",
        site::SERVICE,
        "--rate",
        REQUESTS_PER_S,
        "--seconds",
        &seconds,
        "--rounds",
        "4",
    ]
    .iter()
    .map(|s| (*s).to_string())
    .collect();
    let env = [("GAPLOCK_KEY", site::PARTNER_KEYS[0].1)];
    let mut load = Process::spawn("gaplock-load", &args, &env)?;
    let exit_code = load.wait(Duration::from_secs(LOAD_SECONDS + 20));
    if exit_code != Some(0) {
        return Err(io::Error::other("gaplock-load failed or did not end in time"));
    }
    load.drain();
    println!("{}", load.printed.join("\n"));
    Ok(())
}
