//! The daemon that runs on every host of an installation; see `docs/PLATFORM.md`.

mod callers;
mod engine;
mod following;
mod inbox;
mod keys;
mod leadership;
mod leading;
mod ledger;
mod metrics;
mod node;
mod peers;
mod reloading;
mod serving;
mod settings;

use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task;
use futures::StreamExt;
use gaplock_platform::{installation, store};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

const PROGRAM: &str = "gaplock-node";
const ABOUT: &str = "takes in jobs and runs them on the installation's workers";

fn main() -> ExitCode {
    let values = gaplock_settings::read_or_exit(PROGRAM, ABOUT, settings::TABLE);
    let logs = match gaplock_settings::logs::start_bounded(values.text(settings::LOG)) {
        Ok(logs) => logs,
        Err(why) => {
            eprintln!("error: {why}");
            return ExitCode::from(2);
        }
    };
    let code = task::block_on(run(&values));
    drop(logs);
    code
}

async fn run(values: &gaplock_settings::Values) -> ExitCode {
    let path = std::env::var(installation::PATH_VARIABLE).unwrap_or_default();
    let installation = match installation::open(&PathBuf::from(&path)) {
        Ok(installation) => installation,
        Err(e) => {
            tracing::error!(event = "cannot_start", path, error = %e);
            return ExitCode::from(2);
        }
    };
    let cfg = settings::scheduler(values, &installation);
    let peer_addr = format!("{}:{}", installation.ip, installation.peer_ports.0);
    let store = store::open(&installation.store_addr);
    tracing::info!(event = "started", host = %installation.host, domain = %installation.domain);
    let node = node::open(installation, cfg, peer_addr, store);
    let (ip, port) = (values.text(settings::METRICS_IP), values.number(settings::METRICS_PORT));
    let serving = match serving::bind(&node, &format!("{ip}:{port}")).await {
        Ok(serving) => serving,
        Err(e) => {
            tracing::error!(event = "cannot_start", error = %e);
            return ExitCode::FAILURE;
        }
    };
    let following = task::spawn(following::run(node.clone()));
    task::spawn(reloading::run(node.clone(), PathBuf::from(path)));
    if let Err(e) = wait_for_stop().await {
        tracing::error!(event = "no_signals", error = %e);
        return ExitCode::FAILURE;
    }
    tracing::info!(event = "stopping");
    node.stop();
    let cut_off = serving.stop(&node).await;
    following.await;
    tracing::info!(event = "stopped", cut_off);
    ExitCode::SUCCESS
}

/// Waits for a signal to stop. A signal to reload needs no act of its own: the settings file is
/// read every second.
async fn wait_for_stop() -> std::io::Result<()> {
    let mut signals = signal_hook_async_std::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    while let Some(signal) = signals.next().await {
        if signal != SIGHUP {
            return Ok(());
        }
        tracing::info!(event = "reload_signal");
    }
    Ok(())
}
