//! `gaplock-soak-processes`: soaks the real daemon in processes of its own and prints one line.

use std::path::PathBuf;
use std::process::ExitCode;

use gaplock_settings::{setting, Kind, Setting};
use gaplock_soak::processes::{run, Report};
use gaplock_soak::seeds::{self, Seeds};

const ANY: Kind = Kind::Number { min: 0, max: u64::MAX };
const TABLE: &[Setting] = &[
    setting("seeds", ANY, "N", Some("4"), "How many seeds are run."),
    setting("from", ANY, "S", Some("1"), "The first seed."),
    setting("program", Kind::Text, "PATH", Some("target/release/gaplock-node"), "The daemon."),
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
    let reports = seeds::run_each(seeds, |seed| {
        run(program.clone(), seed).unwrap_or_else(|e| Report {
            seed,
            violations: vec![format!("the seed could not be run: {e}")],
            ..Report::default()
        })
    });
    summarise(&reports)
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
