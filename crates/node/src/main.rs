//! The daemon that runs on every host of an installation; see `docs/PLATFORM.md`.

mod actions;
mod admission;
mod announcements;
mod callers;
mod configuration;
mod directory;
mod engine;
mod entries;
mod evacuations;
mod feeds;
mod follower;
mod handover;
mod inbox;
mod keys;
mod leader;
mod leadership;
mod lease_renewal;
mod listeners;
mod messages;
mod metrics;
mod node;
mod peer_server;
mod peers;
mod records;
mod settings;
mod settings_reload;
mod state_reader;
mod steering;
mod store_writer;
mod threads;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::StreamExt;
use gaplock_platform::{installation, store};
use gaplock_settings::logs::{ErrorCounter, LogGuard};
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
    let code = task::block_on(run(&values, &logs));
    drop(logs);
    code
}

async fn run(values: &gaplock_settings::Values, logs: &LogGuard) -> ExitCode {
    let path = std::env::var(installation::SETTINGS_PATH_VARIABLE).unwrap_or_default();
    let installation = match installation::load(&PathBuf::from(&path)) {
        Ok(installation) => installation,
        Err(e) => {
            tracing::error!(event = "cannot_start", path, error = %e);
            return ExitCode::from(2);
        }
    };
    let cfg = settings::scheduler(values, &installation);
    let peer_addr = format!("{}:{}", installation.ip, installation.peer_ports.0);
    let store = store::open(&installation.store_addr, installation.link_mbps);
    tracing::info!(event = "started", host = %installation.host, domain = %installation.domain);
    let node = node::open(installation, cfg, peer_addr, store, settings::admission_control(values));
    let (ip, port) = (values.text(settings::METRICS_IP), values.number(settings::METRICS_PORT));
    let listeners = match listeners::bind(&node, &format!("{ip}:{port}")).await {
        Ok(listeners) => listeners,
        Err(e) => {
            tracing::error!(event = "cannot_start", error = %e);
            return ExitCode::FAILURE;
        }
    };
    if let Err(e) = configuration::spawn(&node) {
        tracing::error!(event = "cannot_start", error = %e);
        return ExitCode::FAILURE;
    }
    let follower = task::spawn(follower::run(node.clone()));
    task::spawn(settings_reload::run(node.clone(), PathBuf::from(path)));
    task::spawn(announcements::repeat_unanswered(node.clone()));
    task::spawn(count_dropped_lines(node.clone(), logs.dropped()));
    if let Err(e) = wait_for_stop().await {
        tracing::error!(event = "no_signals", error = %e);
        return ExitCode::FAILURE;
    }
    tracing::info!(event = "stopping");
    node.stop();
    let cut_off = listeners.stop(&node).await;
    follower.await;
    tracing::info!(event = "stopped", cut_off);
    ExitCode::SUCCESS
}

/// How often the metric of dropped log lines is updated.
const COUNT_DROPPED_EVERY: Duration = Duration::from_secs(1);

/// Periodically copies the count of dropped log lines to the metrics.
async fn count_dropped_lines(node: Arc<node::Node>, dropped: ErrorCounter) {
    loop {
        task::sleep(COUNT_DROPPED_EVERY).await;
        node.metrics.log_lines_dropped.set(dropped.dropped_lines() as i64);
    }
}

/// Waits for SIGTERM or SIGINT. SIGHUP is only logged: the settings file is read every second
/// anyway.
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
