//! Plays one case of the review against the project's daemons; see `review/REPORT.md`.
//!
//! Usage: `review-standin CASE FOLDER`, in the root of the repository. It writes `record.txt` into
//! FOLDER and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment it plays the case without the disruption.

mod base64;
mod cases;
mod http;
mod json;
mod network;
mod record;
mod site;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::{self, ExitCode};
use std::thread;
use std::time::Duration;

/// What a case found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

/// What a case is run with.
#[derive(Debug)]
pub struct Setup {
    /// The root of the repository.
    pub root: PathBuf,
    /// The folder of the case.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// After how long a case that has not ended is given up.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let Ok(root) = std::env::current_dir() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = Setup { root, folder: PathBuf::from(folder), trouble };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case did not end in time");
        site::kill_all();
        process::exit(2);
    });
    match cases::run(&case, &setup) {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Ok(Outcome::NotRun) => ExitCode::from(2),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
