//! Builds the results table, with one row for each pattern and means over its seeds.

use super::lines::Line;
use super::load::Class;
use crate::report::Report;

const HEADINGS: [&str; 17] = [
    "pattern",
    "worth",
    "se",
    "possible",
    "of it",
    "short",
    "batch",
    "lasting",
    "short p50/p99 ms",
    "batch p50/p99",
    "lasting p50/p99",
    "stops",
    "moves",
    "lost core s",
    "over target",
    "free",
    "in halves",
];

/// Builds the table of results.
pub fn build(lines: &[Line], seed: u64) -> Report {
    let rows = patterns(lines).into_iter().map(|name| row(&name, lines)).collect();
    let headings = [HEADINGS.to_vec(), vec!["largest"]].concat();
    Report { name: "patterns", seed, headings, rows, findings: Vec::new() }
}

/// Returns the names of the patterns in the order of the results, which are grouped by pattern.
pub fn patterns(lines: &[Line]) -> Vec<String> {
    let mut names: Vec<String> = lines.iter().map(|l| l.pattern.clone()).collect();
    names.dedup();
    names
}

/// Returns the mean of some values and its standard error.
pub fn mean_and_error(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    if values.len() < 2 {
        return (mean, 0.0);
    }
    let squares: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
    (mean, (squares / (n - 1.0) / n).sqrt())
}

fn row(name: &str, lines: &[Line]) -> Vec<String> {
    let of = |f: &dyn Fn(&Line) -> f64| {
        let values: Vec<f64> = lines.iter().filter(|l| l.pattern == name).map(f).collect();
        mean_and_error(&values)
    };
    let mean = |f: &dyn Fn(&Line) -> f64| of(f).0;
    let waits = |class: Class| {
        let p50 = mean(&|l| l.outcome.waits_ms[&class].p50 as f64);
        let p99 = mean(&|l| l.outcome.waits_ms[&class].p99 as f64);
        format!("{p50:.0}/{p99:.0}")
    };
    let (worth, error) = of(&|l| l.outcome.worth.mean);
    vec![
        name.to_string(),
        format!("{worth:.3}"),
        format!("{error:.3}"),
        format!("{:.3}", mean(&|l| l.possible)),
        format!("{:.3}", mean(&|l| l.outcome.worth.mean / l.possible)),
        format!("{:.3}", mean(&|l| l.outcome.worth.short)),
        format!("{:.3}", mean(&|l| l.outcome.worth.batch)),
        format!("{:.3}", mean(&|l| l.outcome.worth.lasting)),
        waits(Class::Short),
        waits(Class::Batch),
        waits(Class::Lasting),
        format!("{:.0}", mean(&|l| l.outcome.stops as f64)),
        format!("{:.0}", mean(&|l| l.outcome.moves as f64)),
        format!("{:.0}", mean(&|l| l.outcome.lost_core_s)),
        format!("{:.3}", mean(&|l| l.outcome.over_target)),
        format!("{:.3}", mean(&|l| l.outcome.free)),
        format!("{:.3}", mean(&|l| l.outcome.free_in_halves)),
        format!("{:.3}", mean(&|l| l.outcome.largest)),
    ]
}
