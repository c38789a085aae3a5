//! Compares two runs of the same patterns seed by seed: the difference that a change makes, and its standard
//! error. Both runs draw the same load for a seed, so the error is only that of the differences.

use super::lines::Line;
use super::table::{self, mean_and_error};
use crate::report::Report;

/// Compares results with those of an earlier run.
///
/// # Errors
/// Returns an error if the runs have no pattern and seed in common.
pub fn report(before: &[Line], now: &[Line], seed: u64) -> Result<Report, String> {
    let names = table::patterns(now).into_iter();
    let rows: Vec<Vec<String>> = names.filter_map(|name| row(&name, before, now)).collect();
    if rows.is_empty() {
        return Err("the earlier run has none of these patterns with the same seeds".to_string());
    }
    let headings =
        vec!["pattern", "pairs", "worth", "se", "short", "se", "batch", "se", "lasting", "se"];
    let findings = vec!["differences by pair, now less before, with their standard error".into()];
    Ok(Report { name: "against", seed, headings, rows, findings })
}

/// Returns the mean difference of a value over the pairs of a pattern, its standard error, and the number of
/// pairs. A pair is the results of one seed in both runs.
pub fn difference(
    name: &str,
    before: &[Line],
    now: &[Line],
    value: impl Fn(&Line) -> f64,
) -> (f64, f64, usize) {
    let differences = now.iter().filter(|l| l.pattern == name).filter_map(|line| {
        let same = |l: &&Line| l.pattern == line.pattern && l.seed == line.seed;
        before.iter().find(same).map(|was| value(line) - value(was))
    });
    let differences: Vec<f64> = differences.collect();
    let (mean, error) = mean_and_error(&differences);
    (mean, error, differences.len())
}

fn row(name: &str, before: &[Line], now: &[Line]) -> Option<Vec<String>> {
    let values: [fn(&Line) -> f64; 4] = [
        |l| l.outcome.worth.mean,
        |l| l.outcome.worth.short,
        |l| l.outcome.worth.batch,
        |l| l.outcome.worth.lasting,
    ];
    let (_, _, pairs) = difference(name, before, now, values[0]);
    if pairs == 0 {
        return None;
    }
    let mut cells = vec![name.to_string(), pairs.to_string()];
    for value in values {
        let (mean, error, _) = difference(name, before, now, value);
        // Rounds away tiny differences between equal figures, which arise when one was written to a file and
        // read again.
        let mean = (mean * 1e4).round() / 1e4 + 0.0;
        cells.extend([format!("{mean:+.4}"), format!("{error:.4}")]);
    }
    Some(cells)
}
