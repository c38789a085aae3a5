//! Where the worth goes: the same load played again without one cause after the other.
//!
//! What is missing without trouble and disturbance, against what is possible, is left to the policy itself: the
//! order in which it starts what waits, the pieces in which it leaves room, and the time that orders and
//! news take.

use std::sync::Arc;

use gaplock_sched::Settings;

use super::lines::Line;
use super::load::{self, Load};
use super::shape::{Faults, Pattern};
use super::table::mean_and_error;
use super::{simulation, RunOptions};
use crate::report::Report;

/// What is missing of all that a load is worth, by cause; with the worth itself the parts add up to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Losses {
    /// No packing could get it.
    pub no_capacity: f64,
    /// It goes to the pattern's trouble, estimates that are off among it.
    pub faults: f64,
    /// It goes to images that disturb each other, and to filling less for their sake.
    pub interference: f64,
    /// It goes to order, pieces and delays.
    pub policy: f64,
}

/// Finds where the worth of a result went.
pub fn attribute(pattern: &Pattern, line: &Line, settings: &Settings) -> Losses {
    let calm = Pattern { faults: Faults::default(), ..*pattern };
    let worth = |load: &Arc<Load>| simulation::run(&calm, load, line.seed, settings).worth.mean;
    let load = load::draw(&calm, line.seed);
    let gentle = Arc::new(load.clone().without_interference());
    let (calm, gentle) = (worth(&Arc::new(load)), worth(&gentle));
    Losses {
        no_capacity: 1.0 - line.possible,
        faults: calm - line.outcome.worth.mean,
        interference: gentle - calm,
        policy: line.possible - gentle,
    }
}

/// Builds the table of patterns and causes, each with the standard error of its mean.
pub fn report(patterns: &[&Pattern], lines: &[Line], asked: &RunOptions) -> Report {
    let of_line = |n: usize| {
        let line: &Line = &lines[n];
        let pattern = patterns.iter().find(|p| p.name == line.pattern);
        pattern.map(|p| attribute(p, line, &Settings::default()))
    };
    let losses = super::run_concurrently(lines.len(), asked.threads, of_line);
    let rows = patterns.iter().map(|p| {
        let own = lines.iter().zip(&losses).filter(|(line, _)| line.pattern == p.name);
        let own: Vec<Losses> = own.filter_map(|(_, losses)| *losses).collect();
        row(p.name, &own)
    });
    let headings =
        vec!["pattern", "no room", "se", "trouble", "se", "disturbance", "se", "policy", "se"];
    let findings = vec!["with the worth the parts add up to 1".to_string()];
    let rows = rows.collect();
    Report { name: "losses", seed: asked.first_seed, headings, rows, findings }
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
