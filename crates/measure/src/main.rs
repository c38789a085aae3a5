//! `gaplock-measure NAME`: measures the decisions against plain baselines, in one run.
//!
//! Virtual time and seeds: the same command gives the same table. The baselines live here and
//! nowhere else. `docs/MEASUREMENTS.md` holds the results with their commands.

mod badworker;
mod draw;
mod fairness;
mod leader;
mod overload;
mod pairing;
mod report;
mod scale;
mod site;

use std::process::ExitCode;

use gaplock_settings::{setting, Kind, Setting};

const ABOUT: &str = "measures pairing, overload, fairness, badworker, scale or leader";
const TABLE: &[Setting] = &[
    setting("seed", Kind::Number { min: 0, max: u64::MAX }, "N", Some("1"), "The seed."),
    setting("json", Kind::Switch, "", None, "Print JSON besides the table."),
];

fn main() -> ExitCode {
    let values = gaplock_settings::read_or_exit("gaplock-measure", ABOUT, TABLE);
    let seed = values.number("seed");
    let name = values.free.first().map(String::as_str).unwrap_or_default();
    let report = match name {
        "pairing" => pairing::measure(seed),
        "overload" => overload::measure(seed),
        "fairness" => fairness::measure(seed),
        "badworker" => badworker::measure(seed),
        "scale" => scale::measure(seed),
        "leader" => leader::measure(seed),
        other => {
            eprintln!(
                "error: `{other}` is none of pairing, overload, fairness, badworker, scale, leader"
            );
            return ExitCode::from(2);
        }
    };
    report.print(values.switch("json"));
    ExitCode::SUCCESS
}
