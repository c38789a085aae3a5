//! Prints the story of one job from the logs of all hosts; see `docs/OPERATIONS.md`.

use std::fs;
use std::io::Read;
use std::process::ExitCode;

const USAGE: &str =
    "gaplock-explain JOB [FILE...] - prints one job's story from logs or standard input";
const WRONG_USE: u8 = 2;
const NOT_FOUND: u8 = 3;

fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("", "json", "print JSON");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("error: {e}");
            return ExitCode::from(WRONG_USE);
        }
    };
    let Some((job, files)) = matches.free.split_first().filter(|_| !matches.opt_present("help"))
    else {
        println!("{}", options.usage(USAGE));
        return ExitCode::from(if matches.opt_present("help") { 0 } else { WRONG_USE });
    };
    let log = match read(files) {
        Ok(log) => log,
        Err(e) => {
            eprintln!("error: {e}");
            return ExitCode::from(WRONG_USE);
        }
    };
    let story = gaplock_explain::story(&log, job);
    if story.is_empty() {
        eprintln!("no line names job {job}");
        return ExitCode::from(NOT_FOUND);
    }
    if matches.opt_present("json") {
        println!("{}", gaplock_explain::to_json(&story));
    } else {
        print!("{}", gaplock_explain::render(&story));
    }
    ExitCode::SUCCESS
}

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
