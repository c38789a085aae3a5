//! Prints the timeline of one job from the logs of all hosts; see `docs/OPERATIONS.md`.

use std::fs;
use std::io::Read;
use std::process::ExitCode;

const USAGE: &str =
    "gaplock-explain JOB [FILE...] - prints one job's story from logs or standard input";

/// The exit code for invalid options and files that cannot be read.
const EXIT_USAGE: u8 = 2;

/// The exit code if no line names the job.
const EXIT_NOT_FOUND: u8 = 3;

fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("", "json", "print JSON");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => return fail(&e),
    };
    let help = matches.opt_present("help");
    let Some((job, files)) = matches.free.split_first().filter(|_| !help) else {
        println!("{}", options.usage(USAGE));
        return ExitCode::from(if help { 0 } else { EXIT_USAGE });
    };
    match read(files) {
        Ok(log) => print_timeline(&log, job, matches.opt_present("json")),
        Err(e) => fail(&e),
    }
}

fn fail(e: &dyn std::error::Error) -> ExitCode {
    eprintln!("error: {e}");
    ExitCode::from(EXIT_USAGE)
}

fn print_timeline(log: &str, job: &str, json: bool) -> ExitCode {
    let timeline = gaplock_explain::timeline(log, job);
    if timeline.is_empty() {
        eprintln!("no line names job {job}");
        return ExitCode::from(EXIT_NOT_FOUND);
    }
    if json {
        println!("{}", gaplock_explain::to_json(&timeline));
    } else {
        print!("{}", gaplock_explain::render(&timeline));
    }
    ExitCode::SUCCESS
}

/// Reads and concatenates all files, or reads standard input if none is given.
fn read(files: &[String]) -> std::io::Result<String> {
    let mut log = String::new();
    if files.is_empty() {
        std::io::stdin().read_to_string(&mut log)?;
    }
    for file in files {
        log.push_str(&fs::read_to_string(file)?);
        log.push('\n');
    }
    Ok(log)
}
