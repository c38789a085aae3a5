//! Attributes lost worth to causes, by running the same load again with one cause after the other removed.
//!
//! What is still missing without faults and interference, compared with the possible worth, is attributed to the
//! policy itself: the order in which it starts waiting tasks, how it fragments free capacity, and the delays
//! of orders and reports.

use std::sync::Arc;

use gaplock_sched::Settings;

use super::lines::Line;
use super::load::{self, Load};
use super::shape::{Faults, Pattern};
use super::table::mean_and_error;
use super::{simulation, RunOptions};
use crate::report::Report;

/// The lost shares of a load's worth by cause. Together with the earned share they add up to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Losses {
    /// Lost under any policy: the clairvoyant packing can't earn it either.
    pub no_capacity: f64,
    /// Lost to the pattern's faults, including wrong estimates.
    pub faults: f64,
    /// Lost to images that interfere with each other, and to running fewer best-effort tasks to avoid that.
    pub interference: f64,
    /// Lost to the order of starts, fragmented capacity and delays.
    pub policy: f64,
}

/// Attributes the lost worth of a result to its causes.
pub fn attribute_losses(pattern: &Pattern, line: &Line, settings: &Settings) -> Losses {
    let without_faults = Pattern { faults: Faults::default(), ..*pattern };
    let worth =
        |load: &Arc<Load>| simulation::run(&without_faults, load, line.seed, settings).worth.mean;
    let load = load::draw(&without_faults, line.seed);
    let without_interference = Arc::new(load.clone().without_interference());
    let (without_faults, without_both) = (worth(&Arc::new(load)), worth(&without_interference));
    Losses {
        no_capacity: 1.0 - line.possible,
        faults: without_faults - line.outcome.worth.mean,
        interference: without_both - without_faults,
        policy: line.possible - without_both,
    }
}

/// Builds the table of mean losses by pattern and cause, each with its standard error.
pub fn report(patterns: &[&Pattern], lines: &[Line], options: &RunOptions) -> Report {
    let of_line = |n: usize| {
        let line: &Line = &lines[n];
        let pattern = patterns.iter().find(|p| p.name == line.pattern);
        pattern.map(|p| attribute_losses(p, line, &Settings::default()))
    };
    let losses = super::run_concurrently(lines.len(), options.threads, of_line);
    let rows = patterns.iter().map(|p| {
        let own = lines.iter().zip(&losses).filter(|(line, _)| line.pattern == p.name);
        let own: Vec<Losses> = own.filter_map(|(_, losses)| *losses).collect();
        row(p.name, &own)
    });
    let headings =
        vec!["pattern", "no room", "se", "trouble", "se", "disturbance", "se", "policy", "se"];
    let findings = vec!["with the worth the parts add up to 1".to_string()];
    let rows = rows.collect();
    Report { name: "losses", seed: options.first_seed, headings, rows, findings }
}

fn row(name: &str, losses: &[Losses]) -> Vec<String> {
    let parts: [fn(&Losses) -> f64; 4] =
        [|l| l.no_capacity, |l| l.faults, |l| l.interference, |l| l.policy];
    let mut cells = vec![name.to_string()];
    for part in parts {
        let (mean, error) = mean_and_error(&losses.iter().map(part).collect::<Vec<f64>>());
        cells.extend([format!("{mean:.3}"), format!("{error:.3}")]);
    }
    cells
}
