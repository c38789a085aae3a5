//! Measures what two processes on the path cost: `gaplock-load` directly and through the entries,
//! in one run on one installation. Prints the load program's JSON.

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use async_std::task;
use gaplock_demo::cluster::{Cluster, Plan};
use gaplock_demo::process::Process;
use gaplock_demo::site;

const LIMIT: Duration = Duration::from_secs(20);
const RATE: &str = "300";
const SECONDS: u64 = 16;

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
        cluster.wait_ready(i, LIMIT).await?;
    }
    cluster.apply_intent(0, site::BOOTSTRAP_KEY, site::first_intent(8)).await?;
    cluster.wait_usable(0, 8, LIMIT).await?;
    for i in 0..3 {
        cluster.wait_serving(i, LIMIT).await?;
    }
    let entries: Vec<String> = cluster.entries.iter().map(|e| e.callers.clone()).collect();
    let seconds = SECONDS.to_string();
    let args: Vec<String> = [
        "--entries",
        &entries.join(","),
        "--direct",
        &cluster.worker_addrs.join(","),
        "--service",
        site::SERVICE,
        "--rate",
        RATE,
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
    let ended = load.wait(Duration::from_secs(SECONDS + 20));
    if ended != Some(0) {
        return Err(io::Error::other("the load program failed"));
    }
    load.drain();
    println!("{}", load.printed.join("\n"));
    Ok(())
}
