//! Reads and writes results as JSON Lines, one line for each pattern and seed.

use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::tally::Outcome;

/// The result of one pattern with one seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The name of the pattern.
    pub pattern: String,
    /// The seed.
    pub seed: u64,
    /// The most that its load could earn (see [`bound`](super::bound)).
    pub possible: f64,
    /// The results of the simulation.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Formats results, one line each.
pub fn write(lines: &[Line]) -> String {
    let one =
        |line| serde_json::to_string(line).expect("a result line always serializes to JSON") + "\n";
    lines.iter().map(one).collect()
}

/// Reads the results of an earlier run.
///
/// # Errors
/// Returns an error that names the file, and the line if one can't be parsed.
pub fn read(path: &Path) -> Result<Vec<Line>, String> {
    let text = fs::read_to_string(path).map_err(|e| e.to_string());
    text.and_then(|text| parse(&text))
        .map_err(|why| format!("can't read results from {}: {why}", path.display()))
}

/// Parses results.
///
/// # Errors
/// Returns an error that names the first line that can't be parsed.
pub fn parse(text: &str) -> Result<Vec<Line>, String> {
    let one = |(n, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| format!("line {}: {e}", n + 1))
    };
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines.map(one).collect()
}
