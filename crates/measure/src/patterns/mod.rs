//! Runs the scheduler against seeded load patterns on virtual time, to measure what a change of its
//! decisions is worth.
//!
//! A [`shape::Pattern`] describes a fleet, its load and its faults. [`load`] draws the details from a seed,
//! including those that the scheduler does not know. [`simulation`] runs the load and [`tally`] counts the
//! results. The same seed gives the same load under every policy, so two policies can be compared seed by seed
//! ([`compare`]). [`bound`] estimates the most that a load could earn.

pub mod bound;
mod calls;
pub mod compare;
mod faults;
pub mod lines;
pub mod load;
pub mod losses;
pub mod plots;
pub mod shape;
mod simulation;
pub mod table;
pub mod tally;
mod worker;

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::{fs, thread};

use gaplock_sched::Settings;

use lines::Line;
use shape::{Pattern, PATTERNS};

/// Which patterns and seeds are run, and where the results go.
#[derive(Debug, Clone, Default)]
pub struct RunOptions {
    /// The names of the patterns; all patterns if empty.
    pub names: Vec<String>,
    /// The first seed.
    pub first_seed: u64,
    /// The number of consecutive seeds.
    pub seeds: u64,
    /// The number of simulations that run concurrently.
    pub threads: usize,
    /// Whether the patterns are run again to attribute lost worth to its causes.
    pub losses: bool,
    /// Whether to print JSON Lines to standard output too.
    pub json: bool,
    /// The file to write JSON Lines to.
    pub out: Option<PathBuf>,
    /// The file with the JSON Lines of an earlier run to compare with.
    pub against: Option<PathBuf>,
    /// The file to write the plots to.
    pub svg: Option<PathBuf>,
}

/// Runs one pattern with one seed.
pub fn run(pattern: &Pattern, seed: u64, settings: &Settings) -> Line {
    let load = Arc::new(load::draw(pattern, seed));
    let outcome = simulation::run(pattern, &load, seed, settings);
    let possible = bound::estimate(&load);
    Line { pattern: pattern.name.to_string(), seed, possible, outcome }
}

/// Runs patterns with all their seeds, several concurrently. The results are in the order of patterns and seeds.
pub fn run_all(patterns: &[&Pattern], options: &RunOptions, settings: &Settings) -> Vec<Line> {
    let seeds = options.first_seed..options.first_seed + options.seeds;
    let pairs = patterns.iter().flat_map(|&p| seeds.clone().map(move |seed| (p, seed)));
    let pairs: Vec<(&Pattern, u64)> = pairs.collect();
    run_concurrently(pairs.len(), options.threads, |n| run(pairs[n].0, pairs[n].1, settings))
}

/// Calls `f` with 0 to `count - 1` on up to `threads` threads and returns the results in order.
fn run_concurrently<T: Send>(
    count: usize,
    threads: usize,
    f: impl Fn(usize) -> T + Sync,
) -> Vec<T> {
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let work = || loop {
        let n = next.fetch_add(1, Ordering::Relaxed);
        if n >= count {
            break;
        }
        let result = f(n);
        done.lock().expect("a panic of any thread ends the whole run").push((n, result));
    };
    thread::scope(|scope| {
        for _ in 0..threads.clamp(1, count.max(1)) {
            scope.spawn(work);
        }
    });
    let mut done = done.into_inner().expect("a panic of any thread ends the whole run");
    done.sort_by_key(|(n, _)| *n);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Runs the requested patterns, and prints and writes the results.
///
/// # Errors
/// Returns an error if a pattern is unknown, the earlier run has no pattern and seed in common with this one,
/// or a file can't be read or written.
pub fn run_and_print(options: &RunOptions) -> Result<(), String> {
    let patterns = find_patterns(&options.names)?;
    let before = options.against.as_deref().map(lines::read).transpose()?;
    let results = run_all(&patterns, options, &Settings::default());
    table::build(&results, options.first_seed).print(false);
    if options.losses {
        println!();
        losses::report(&patterns, &results, options).print(false);
    }
    if let Some(before) = before {
        println!();
        compare::report(&before, &results, options.first_seed)?.print(false);
    }
    let text = lines::write(&results);
    if options.json {
        print!("{text}");
    }
    let write = |path: &PathBuf, text: &str| {
        fs::write(path, text).map_err(|e| format!("can't write results to {}: {e}", path.display()))
    };
    if let Some(path) = &options.out {
        write(path, &text)?;
    }
    if let Some(path) = &options.svg {
        write(path, &plots::page(&results)?)?;
    }
    Ok(())
}

fn find_patterns(names: &[String]) -> Result<Vec<&'static Pattern>, String> {
    if names.is_empty() {
        return Ok(PATTERNS.iter().collect());
    }
    let known = || PATTERNS.iter().map(|p| p.name).collect::<Vec<_>>().join(", ");
    let one = |name: &String| {
        shape::find(name)
            .ok_or_else(|| format!("unknown pattern `{name}`; expected one of {}", known()))
    };
    names.iter().map(one).collect()
}
