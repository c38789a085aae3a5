//! `gaplock-soak-processes`: runs randomised fault tests against real daemon processes and prints a
//! summary line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use gaplock_settings::{setting, Kind, Setting};
use gaplock_soak::processes::{run_with, Options, Report};
use gaplock_soak::seeds::{self, Seeds};

const ANY_NUMBER: Kind = Kind::Number { min: 0, max: u64::MAX };
const TABLE: &[Setting] = &[
    setting("seeds", ANY_NUMBER, "N", Some("4"), "How many seeds are run."),
    setting("from", ANY_NUMBER, "S", Some("1"), "The first seed."),
    setting("program", Kind::Text, "PATH", Some("target/release/gaplock-node"), "The daemon."),
    setting("seconds", ANY_NUMBER, "N", Some("8"), "How long faults and jobs come."),
    setting(
        "workers",
        ANY_NUMBER,
        "N",
        Some("0"),
        "How many workers there are; 0: as the seed says.",
    ),
    setting(
        "node-threads",
        ANY_NUMBER,
        "N",
        Some("0"),
        "Threads of each daemon; 0: as its library likes.",
    ),
    setting("stories", Kind::Switch, "", None, "Tell of each start that threw saved work away."),
    setting("threads", Kind::Number { min: 1, max: 16 }, "N", Some("2"), "Seeds run at once."),
];

fn main() -> ExitCode {
    let about = "a randomised soak of the daemon in processes of its own";
    let values = gaplock_settings::read_or_exit("gaplock-soak-processes", about, TABLE);
    let program = PathBuf::from(values.text("program"));
    let seeds = Seeds {
        from: values.number("from"),
        count: values.number("seeds"),
        threads: values.number("threads"),
    };
    let given = |name| Some(values.number(name)).filter(|n| *n > 0);
    let options = Options {
        fault_time: Duration::from_secs(values.number("seconds")),
        workers: given("workers").map(|n| n as usize),
        threads: given("node-threads"),
    };
    let reports = seeds::run_each(seeds, |seed| {
        run_with(program.clone(), seed, options).unwrap_or_else(|e| Report {
            seed,
            violations: vec![format!("the seed could not be run: {e}")],
            ..Report::default()
        })
    });
    reports.iter().for_each(|r| print_checkpoint_use(r, values.switch("stories")));
    summarise(&reports)
}

/// Prints how many starts of one seed resumed from a checkpoint and how many discarded saved work.
fn print_checkpoint_use(report: &Report, stories: bool) {
    let (seed, resumed, discarded) = (report.seed, report.resumed, &report.thrown_away);
    if resumed == 0 && discarded.is_empty() {
        return;
    }
    let ms: u128 = discarded.iter().map(|(lost, _)| lost.as_millis()).sum();
    let starts = discarded.len();
    println!("saved work: seed={seed} resumed={resumed} threw_away={starts} ms={ms}");
    for (_, story) in discarded.iter().filter(|_| stories) {
        println!("saved work: seed={seed} {story}");
    }
}

fn summarise(reports: &[Report]) -> ExitCode {
    let mut violations = 0;
    for report in reports {
        violations += report.violations.len();
        for violation in &report.violations {
            println!("seed {}: {violation}", report.seed);
        }
    }
    let faults: u64 = reports.iter().map(|r| r.faults).sum();
    let checks: u64 = reports.iter().map(|r| r.checks).sum();
    let seeds = reports.len();
    println!(
        "soak: processes seeds={seeds} faults={faults} checks={checks} violations={violations}"
    );
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
