//! The entry daemon, which runs on every entry host.
//!
//! Callers and operators share one listener; health checks and peers have one each. The decisions
//! are made by `gaplock_coord::node`, which [`engine`] drives with real time and sockets. See
//! `docs/DESIGN.md` for how entries share the work and `docs/OPERATORS.md` for how to run one.

mod auth;
mod callers;
mod engine;
mod executor;
mod health;
mod metrics;
mod once;
mod operators;
mod peers;
mod plan;
mod running;
mod service;
mod settings;
mod web;

use std::process::ExitCode;

use async_std::task;
use futures::StreamExt;

const PROGRAM: &str = "gaplock-entry";
const ABOUT: &str = "routes callers' requests and schedules work beside the other entries";

fn main() -> ExitCode {
    let values = gaplock_settings::read_or_exit(PROGRAM, ABOUT, settings::TABLE);
    let cfg = match settings::parse(&values) {
        Ok(cfg) => cfg,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(2);
        }
    };
    if let Err(why) = gaplock_settings::logs::start(&cfg.log) {
        eprintln!("error: {why}");
        return ExitCode::from(2);
    }
    task::block_on(run(cfg))
}

async fn run(cfg: settings::Cfg) -> ExitCode {
    let stop_limit = cfg.stop_limit;
    let running = match running::spawn(cfg).await {
        Ok(running) => running,
        Err(e) => {
            tracing::error!(error = %e, "cannot start the entry");
            eprintln!("error: {e}");
            return ExitCode::FAILURE;
        }
    };
    println!("callers {}", running.callers.addr());
    println!("health {}", running.health.addr());
    println!("peers {}", running.peers_addr);
    let signals = [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT];
    let mut signals = match signal_hook_async_std::Signals::new(signals) {
        Ok(signals) => signals,
        Err(e) => {
            tracing::error!(error = %e, "cannot listen for signals");
            return ExitCode::FAILURE;
        }
    };
    signals.next().await;
    // Further signals are ignored: `stop_limit` bounds how long the stop takes.
    tracing::info!("stopping");
    let cut_off = running.stop(stop_limit).await;
    tracing::info!(cut_off, "stopped");
    if cut_off == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
