//! `gaplock`: the command line for operators.
//!
//! Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no entry could be reached, 4 stale plan.

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

/// How a command ended.
pub enum Exit {
    /// Done.
    Done,
    /// Refused by gaplock, with the refusal as text.
    Refused(String),
    /// The command or a file is wrong.
    Usage(String),
    /// No entry answered.
    Unreachable(String),
    /// The plan is stale.
    Stale(String),
}

fn main() -> ExitCode {
    let values = gaplock_settings::read_or_exit("gaplock", ABOUT, TABLE);
    let (code, why) = match task::block_on(commands::run(&values)) {
        Exit::Done => return ExitCode::SUCCESS,
        Exit::Refused(why) => (1, why),
        Exit::Usage(why) => (2, why),
        Exit::Unreachable(why) => (3, why),
        Exit::Stale(why) => (4, why),
    };
    eprintln!("error: {why}");
    ExitCode::from(code)
}
