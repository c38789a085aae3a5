//! `gaplock-measure NAME`: measures scheduling decisions against simple baseline policies in one run.
//!
//! `docs/MEASUREMENTS.md` lists the results with the commands that produced them.

use std::process::ExitCode;

use gaplock_measure::patterns::{self, RunOptions};
use gaplock_settings::{setting, Kind, Setting, Values};

const ABOUT: &str =
    "measures pairing, overload, fairness, badworker, scale, leader, or patterns [PATTERN...]";
const TABLE: &[Setting] = &[
    setting("seed", Kind::Number { min: 0, max: u64::MAX }, "N", Some("1"), "The (first) seed."),
    setting("json", Kind::Switch, "", None, "Print JSON besides the table."),
    setting(
        "seeds",
        Kind::Number { min: 1, max: 1_000 },
        "N",
        Some("5"),
        "patterns: how many seeds are played.",
    ),
    setting(
        "threads",
        Kind::Number { min: 1, max: 256 },
        "N",
        Some("4"),
        "patterns: how many worlds are played at one time.",
    ),
    setting("losses", Kind::Switch, "", None, "patterns: find where the worth goes."),
    setting("out", Kind::Text, "FILE", Some(""), "patterns: write JSON Lines there."),
    setting(
        "against",
        Kind::Text,
        "FILE",
        Some(""),
        "patterns: compare with the JSON Lines of an earlier run, seed by seed.",
    ),
    setting("svg", Kind::Text, "FILE", Some(""), "patterns: draw plots there."),
];

fn main() -> ExitCode {
    let values = gaplock_settings::read_or_exit("gaplock-measure", ABOUT, TABLE);
    let name = values.positional.first().map(String::as_str).unwrap_or_default();
    if name == "patterns" {
        return run_patterns(&values);
    }
    let Some(report) = gaplock_measure::measure(name, values.number("seed")) else {
        eprintln!(
            "error: unknown measurement `{name}`; expected one of {}, patterns",
            gaplock_measure::NAMES
        );
        return ExitCode::from(2);
    };
    report.print(values.switch("json"));
    ExitCode::SUCCESS
}

fn run_patterns(values: &Values) -> ExitCode {
    let file = |name| Some(values.text(name)).filter(|text| !text.is_empty()).map(Into::into);
    let options = RunOptions {
        names: values.positional[1..].to_vec(),
        first_seed: values.number("seed"),
        seeds: values.number("seeds"),
        threads: values.number("threads") as usize,
        losses: values.switch("losses"),
        json: values.switch("json"),
        out: file("out"),
        against: file("against"),
        svg: file("svg"),
    };
    match patterns::run_and_print(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("error: {why}");
            ExitCode::from(2)
        }
    }
}
