//! Seeded loads on virtual time against the scheduler itself: what a change of its decisions is worth.
//!
//! A [`shape::Pattern`] describes a fleet, its load and its trouble; [`load`] draws it from a seed, with the
//! truth that the scheduler is not told; [`world`] plays it and [`tally`] counts. The same seed gives the
//! same load whatever the policy, so two policies are compared seed by seed ([`compare`]), and what they earn is
//! held against what the load could earn at best ([`bound`]).

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

/// What is to be played, and where the results go.
#[derive(Debug, Clone, Default)]
pub struct RunOptions {
    /// The patterns; all of them where none is named.
    pub names: Vec<String>,
    /// The first seed.
    pub first_seed: u64,
    /// How many seeds follow each other.
    pub seeds: u64,
    /// How many worlds are played at one time.
    pub threads: usize,
    /// Whether the patterns are played again to find where their worth goes.
    pub losses: bool,
    /// Whether JSON Lines go to standard output too.
    pub json: bool,
    /// Where JSON Lines are written.
    pub out: Option<PathBuf>,
    /// The JSON Lines of an earlier run.
    pub against: Option<PathBuf>,
    /// Where the plots are written.
    pub svg: Option<PathBuf>,
}

/// Plays one pattern with one seed.
pub fn run(pattern: &Pattern, seed: u64, settings: &Settings) -> Line {
    let load = Arc::new(load::draw(pattern, seed));
    let outcome = simulation::run(pattern, &load, seed, settings);
    let possible = bound::estimate(&load);
    Line { pattern: pattern.name.to_string(), seed, possible, outcome }
}

/// Plays patterns with all their seeds, some at one time, and returns the results in order.
pub fn run_all(patterns: &[&Pattern], asked: &RunOptions, settings: &Settings) -> Vec<Line> {
    let seeds = asked.first_seed..asked.first_seed + asked.seeds;
    let pairs = patterns.iter().flat_map(|&p| seeds.clone().map(move |seed| (p, seed)));
    let pairs: Vec<(&Pattern, u64)> = pairs.collect();
    run_concurrently(pairs.len(), asked.threads, |n| run(pairs[n].0, pairs[n].1, settings))
}

/// Does so many things, some at one time, and returns what came of them in order.
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
        done.lock().expect("a panic ends all").push((n, result));
    };
    thread::scope(|scope| {
        for _ in 0..threads.clamp(1, count.max(1)) {
            scope.spawn(work);
        }
    });
    let mut done = done.into_inner().expect("a panic ends all");
    done.sort_by_key(|(n, _)| *n);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Plays what was asked for and prints it.
///
/// # Errors
/// Returns why a pattern is not known, or a file can't be read or written.
pub fn run_and_print(asked: &RunOptions) -> Result<(), String> {
    let patterns = find_patterns(&asked.names)?;
    let before = asked.against.as_deref().map(lines::read).transpose()?;
    let results = run_all(&patterns, asked, &Settings::default());
    table::build(&results, asked.first_seed).print(false);
    if asked.losses {
        println!();
        losses::report(&patterns, &results, asked).print(false);
    }
    if let Some(before) = before {
        println!();
        compare::report(&before, &results, asked.first_seed)?.print(false);
    }
    let text = lines::write(&results);
    if asked.json {
        print!("{text}");
    }
    let write = |path: &PathBuf, text: &str| {
        fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
    };
    if let Some(path) = &asked.out {
        write(path, &text)?;
    }
    if let Some(path) = &asked.svg {
        write(path, &plots::page(&results)?)?;
    }
    Ok(())
}

fn find_patterns(names: &[String]) -> Result<Vec<&'static Pattern>, String> {
    if names.is_empty() {
        return Ok(PATTERNS.iter().collect());
    }
    let known = || PATTERNS.iter().map(|p| p.name).collect::<Vec<_>>().join(", ");
    let one =
        |name: &String| shape::find(name).ok_or_else(|| format!("`{name}` is none of {}", known()));
    names.iter().map(one).collect()
}
