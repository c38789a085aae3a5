//! `gaplock-soak`: runs many seeds and prints a summary line, after the trace of the first failing
//! seed if there is one.

use std::process::ExitCode;

use gaplock_settings::{setting, Kind, Setting};
use gaplock_soak::faults::Enabled;
use gaplock_soak::run::{narrow, run, Report};
use gaplock_soak::seeds::{self, Seeds};

const ANY: Kind = Kind::Number { min: 0, max: u64::MAX };
const TABLE: &[Setting] = &[
    setting("seeds", ANY, "N", Some("20"), "How many seeds are run."),
    setting("from", ANY, "S", Some("1"), "The first seed."),
    setting(
        "threads",
        Kind::Number { min: 1, max: 64 },
        "N",
        Some("4"),
        "How many seeds run at once.",
    ),
    setting(
        "late",
        Kind::Switch,
        "",
        None,
        "Carry many writes and orders out late, and refuse starts.",
    ),
    setting("trace", Kind::Switch, "", None, "Print the trace of a run that holds, too."),
];

fn main() -> ExitCode {
    let about = "long randomised runs of the coordination parts";
    let values = gaplock_settings::read_or_exit("gaplock-soak", about, TABLE);
    let seeds = Seeds {
        from: values.number("from"),
        count: values.number("seeds"),
        threads: values.number("threads"),
    };
    let enabled = if values.switch("late") { Enabled::late() } else { Enabled::all() };
    let reports = seeds::run_each(seeds, |seed| run(seed, enabled.clone()));
    if values.switch("trace") {
        for report in &reports {
            print_trace(report);
        }
    }
    summarise(&reports, &enabled)
}

fn print_trace(report: &Report) {
    for line in &report.trace {
        println!("{line}");
    }
}

fn summarise(reports: &[Report], enabled: &Enabled) -> ExitCode {
    let steps: u64 = reports.iter().map(|r| r.steps).sum();
    let faults: u64 = reports.iter().map(|r| r.faults).sum();
    let failed: Vec<&Report> = reports.iter().filter(|r| !r.violations.is_empty()).collect();
    let violations: usize = failed.iter().map(|r| r.violations.len()).sum();
    if let Some(first) = failed.first() {
        let (enabled, narrowed) = narrow(first.seed, enabled.clone());
        print_trace(&narrowed);
        println!("seed {} with only {:?}:", first.seed, enabled.kinds());
        for violation in narrowed.violations.iter().take(20) {
            println!("  {violation}");
        }
        let seeds: Vec<String> = failed.iter().map(|r| r.seed.to_string()).collect();
        println!("failing seeds: {}", seeds.join(" "));
    }
    println!("soak: seeds={} steps={steps} faults={faults} violations={violations}", reports.len());
    if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
