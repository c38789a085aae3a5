//! Gives operators' instructions for queues; see `docs/OPERATIONS.md`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use async_std::task;
use gaplock_platform::{installation, store};

const USAGE: &str = "gaplock-steer COMMAND QUEUE ... - holds, caps or guarantees work of a queue

  show QUEUE
  plan QUEUE hold|cap|floor [CORES] --for SECONDS
  confirm QUEUE hold|cap|floor [CORES] --until UNIX_MS --revision N
  undo QUEUE --revision N

It reads the settings file of the host's daemon, gaplock-node.";

/// The exit code for input that cannot be used.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut flags = getopts::Options::new();
    flags.optflag("h", "help", "print this help");
    flags.optopt("", "for", "how long the instruction lasts", "SECONDS");
    flags.optopt("", "until", "the end, as a plan printed it", "UNIX_MS");
    flags.optopt("", "revision", "the revision, as a plan printed it", "N");
    let matches = match flags.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => return fail(&e, EXIT_USAGE),
    };
    if matches.opt_present("help") || matches.free.is_empty() {
        println!("{}", flags.usage(USAGE));
        return ExitCode::from(if matches.opt_present("help") { 0 } else { EXIT_USAGE });
    }
    let options = gaplock_steer::Options {
        duration: matches.opt_str("for"),
        until: matches.opt_str("until"),
        revision: matches.opt_str("revision"),
    };
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let command = match gaplock_steer::parse(&matches.free, &options, unix_ms) {
        Ok(command) => command,
        Err(e) => return fail(&e, EXIT_USAGE),
    };
    let path = std::env::var(installation::SETTINGS_PATH_VARIABLE).unwrap_or_default();
    let installation = match installation::load(&PathBuf::from(path)) {
        Ok(installation) => installation,
        Err(e) => return fail(&e, EXIT_USAGE),
    };
    let store = store::open(&installation.store_addr, installation.link_mbps);
    match task::block_on(gaplock_steer::carry_out(&store, &command, unix_ms)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => fail(&e, 1),
    }
}

fn fail(e: &dyn std::error::Error, code: u8) -> ExitCode {
    eprintln!("error: {e}");
    ExitCode::from(code)
}
