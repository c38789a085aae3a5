//! The result table of a measurement, printed as text and optionally as JSON.

use serde::Serialize;

/// A measurement's result.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The name of the measurement.
    pub name: &'static str,
    /// The first seed that was used.
    pub seed: u64,
    /// Column headings.
    pub headings: Vec<&'static str>,
    /// Table rows, each with one cell for each heading.
    pub rows: Vec<Vec<String>>,
    /// Conclusions from the figures, for example how they compare with the aim; one sentence each.
    pub findings: Vec<String>,
}

impl Report {
    /// Prints the table and the findings, followed by JSON if `json` is set.
    pub fn print(&self, json: bool) {
        let width = |c: usize| {
            let cells = self.rows.iter().map(|r| r[c].len());
            cells.chain([self.headings[c].len()]).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.headings.len()).map(width).collect();
        let line = |cells: Vec<&str>| {
            let padded = cells.iter().zip(&widths).map(|(cell, w)| format!("{cell:<w$}"));
            println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
        };
        println!("{} (seed {})", self.name, self.seed);
        line(self.headings.clone());
        for row in &self.rows {
            line(row.iter().map(String::as_str).collect());
        }
        for finding in &self.findings {
            println!("- {finding}");
        }
        if json {
            println!(
                "{}",
                serde_json::to_string(self)
                    .expect("a report holds only strings and integers, which always serialise")
            );
        }
    }
}
