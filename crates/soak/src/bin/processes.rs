//! `gaplock-soak-processes`: soaks the real daemon in processes of its own and prints one line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use gaplock_settings::{setting, Kind, Setting};
use gaplock_soak::processes::{run, Report};

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
    let (from, seeds) = (values.number("from"), values.number("seeds"));
    let program = PathBuf::from(values.text("program"));
    let next = AtomicU64::new(from);
    let reports: Mutex<Vec<Report>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..values.number("threads") {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + seeds {
                    return;
                }
                let report = run(program.clone(), seed).unwrap_or_else(|e| Report {
                    seed,
                    violations: vec![format!("the seed could not be run: {e}")],
                    ..Report::default()
                });
                reports.lock().expect("no holder of the lock panics").push(report);
            });
        }
    });
    let mut reports = reports.into_inner().expect("no holder of the lock panics");
    reports.sort_by_key(|r| r.seed);
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
