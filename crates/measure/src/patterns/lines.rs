//! Results as JSON Lines, one for each pattern and seed.

use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::tally::Outcome;

/// One result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The pattern.
    pub pattern: String,
    /// The seed.
    pub seed: u64,
    /// What its load could earn at best.
    pub possible: f64,
    /// What came of it.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Writes results, a line each.
pub fn write(lines: &[Line]) -> String {
    let one = |line| serde_json::to_string(line).expect("plain data serialises") + "\n";
    lines.iter().map(one).collect()
}

/// Reads the results of an earlier run.
///
/// # Errors
/// Returns which file, and which line of it, can't be read.
pub fn read(path: &Path) -> Result<Vec<Line>, String> {
    let text = fs::read_to_string(path).map_err(|e| e.to_string());
    text.and_then(|text| parse(&text)).map_err(|why| format!("{}: {why}", path.display()))
}

/// Parses results.
///
/// # Errors
/// Returns which line can't be read.
pub fn parse(text: &str) -> Result<Vec<Line>, String> {
    let one = |(n, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| format!("line {}: {e}", n + 1))
    };
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines.map(one).collect()
}
