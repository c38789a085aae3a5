//! `gaplock`: the command line for operators.
//!
//! Exit codes: 0 success, 1 refused by an entry, 2 wrong usage, 3 no entry could be reached,
//! 4 stale plan.

mod commands;
mod server;
mod table;

use std::process::ExitCode;

use async_std::task;
use gaplock_settings::{setting, Kind, Setting};

const ABOUT: &str = "\
the command line for operators

Commands:
  plan FILE            say what the intent in FILE (TOML or JSON) would change; with --out, keep it
  confirm FILE         put the plan in FILE in force; may be repeated
  undo                 plan the way back to the configuration before the one in force
  status               how far the newest configuration has come
  config get|history   the configuration in force, or the past ones
  workers              every worker with its owner
  jobs                 every job
  why JOB              why a job waits, where it ran, each decision's reason
  cancel JOB           cancel a job
  confirm-dead WORKER  declare a silent worker's host switched off
  report               the entries' own counters of services

Examples:
  export GAPLOCK_KEY=... GAPLOCK_ENTRY=127.0.0.1:8080
  gaplock plan intent.toml --out plan.json && gaplock confirm plan.json
  gaplock why j3-17 --json";

const TABLE: &[Setting] = &[
    setting("entry", Kind::List, "ADDRS", None, "Callers' addresses of entries, tried in turn."),
    setting("health", Kind::Text, "ADDRS", Some(""), "Health addresses of entries, for `report`."),
    setting("key", Kind::Secret, "FILE", None, "The operator's key."),
    setting("out", Kind::Text, "FILE", Some(""), "Where `plan` and `undo` keep the plan."),
    setting("json", Kind::Switch, "", None, "Print JSON for programs instead of tables."),
];

/// How a command exits; `main` maps each variant to an exit code.
pub enum Exit {
    /// The command succeeded.
    Done,
    /// An entry refused the command or parts of its plan; holds the refusal's text.
    Refused(String),
    /// The arguments or a given file are invalid.
    Usage(String),
    /// No entry could be reached, or the one that was called gave no complete answer.
    Unreachable(String),
    /// The plan has expired, is based on an older configuration, or a newer plan replaced it.
    Stale(String),
}

fn main() -> ExitCode {
    let values = gaplock_settings::read_or_exit("gaplock", ABOUT, TABLE);
    let (code, message) = match task::block_on(commands::run(&values)) {
        Exit::Done => return ExitCode::SUCCESS,
        Exit::Refused(message) => (1, message),
        Exit::Usage(message) => (2, message),
        Exit::Unreachable(message) => (3, message),
        Exit::Stale(message) => (4, message),
    };
    eprintln!("error: {message}");
    ExitCode::from(code)
}
