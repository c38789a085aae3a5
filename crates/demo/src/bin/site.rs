//! `gaplock-site [SECONDS]`: runs an installation for trials: stand-ins, 8 workers, 3 entries.
//!
//! Prints the environment variables that `gaplock` and `gaplock-burn` need, and ends after the
//! given time.

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use async_std::task;
use gaplock_demo::cluster::{Cluster, Plan};
use gaplock_demo::site;

/// Bounds the wait for each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const DEFAULT_SECONDS: u64 = 900;

fn main() -> ExitCode {
    let seconds = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(DEFAULT_SECONDS);
    match task::block_on(run(seconds)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(seconds: u64) -> io::Result<()> {
    let cluster = Cluster::start(Plan::default()).await?;
    for i in 0..cluster.entries.len() {
        cluster.wait_ready(i, STEP_TIMEOUT).await?;
    }
    let join = |pick: fn(&gaplock_demo::cluster::Entry) -> &str| {
        cluster.entries.iter().map(pick).collect::<Vec<_>>().join(",")
    };
    println!("export GAPLOCK_ENTRY={}", join(|e| &e.callers));
    println!("export GAPLOCK_HEALTH={}", join(|e| &e.health));
    println!(
        "export GAPLOCK_KEY={}   # until examples/ljubljana.toml is in force",
        site::BOOTSTRAP_KEY
    );
    println!("# afterwards: export GAPLOCK_KEY={}", site::OPERATOR_KEY);
    println!("# it ends by itself after {seconds} s, or with Ctrl-C");
    task::sleep(Duration::from_secs(seconds)).await;
    Ok(())
}
