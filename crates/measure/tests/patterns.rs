//! The patterns: the same seed gives the same result, and what is worse shows as worse.

use gaplock_measure::patterns::shape::{self, Faults, Pattern, Shape};
use gaplock_measure::patterns::{self, bound, compare, lines, load, losses, RunOptions};
use gaplock_sched::Settings;
use gaplock_types::time::Millis;

/// How many seeds each comparison plays.
const SEEDS: u64 = 4;

/// A known pattern on a quarter of its workers, so that tests without optimisation stay short.
fn quarter(name: &str) -> Pattern {
    let pattern = shape::find(name).expect("the pattern is known");
    let workers = pattern.shape.workers / 4;
    Pattern { shape: Shape { workers, ..pattern.shape }, ..*pattern }
}

fn run(pattern: &Pattern, settings: &Settings) -> Vec<lines::Line> {
    let asked = RunOptions { first_seed: 1, seeds: SEEDS, threads: 2, ..RunOptions::default() };
    patterns::run_all(&[pattern], &asked, settings)
}

fn worth(lines: &[lines::Line]) -> f64 {
    lines.iter().map(|l| l.outcome.worth.mean).sum::<f64>() / lines.len() as f64
}

#[test]
fn the_same_seed_gives_the_same_result() {
    for name in ["leader-changes", "domain-lost"] {
        let pattern = quarter(name);
        let first = patterns::run(&pattern, 7, &Settings::default());
        assert_eq!(patterns::run(&pattern, 7, &Settings::default()), first);
        assert_ne!(patterns::run(&pattern, 8, &Settings::default()).outcome, first.outcome);
    }
}

#[test]
fn results_come_in_order_however_many_are_played_at_one_time() {
    let pattern = quarter("half-load");
    let one = RunOptions { first_seed: 3, seeds: 3, threads: 1, ..RunOptions::default() };
    let alone = patterns::run_all(&[&pattern], &one, &Settings::default());
    let many = RunOptions { threads: 3, ..one };
    assert_eq!(patterns::run_all(&[&pattern], &many, &Settings::default()), alone);
    assert_eq!(alone.iter().map(|l| l.seed).collect::<Vec<_>>(), [3, 4, 5]);
}

#[test]
fn half_the_load_earns_nearly_all() {
    let lines = run(&quarter("half-load"), &Settings::default());
    assert!(worth(&lines) > 0.98, "{}", worth(&lines));
}

/// Half of the load, with images whose runs all fail.
fn with_failing_images() -> Pattern {
    let trouble = Faults { failing_images: true, ..Faults::default() };
    Pattern { faults: trouble, ..quarter("half-load") }
}

/// A leader that gives a worker nothing for long after each failure punishes workers for images.
#[test]
fn a_worse_policy_shows_as_worse() {
    let pattern = with_failing_images();
    let ours = run(&pattern, &Settings::default());
    let worse =
        Settings { max_worker_failures: 1, quarantine: Millis(30_000), ..Settings::default() };
    let theirs = run(&pattern, &worse);
    let (mean, error, pairs) =
        compare::difference(pattern.name, &ours, &theirs, |l| l.outcome.worth.mean);
    assert_eq!(pairs, SEEDS as usize);
    assert!(mean < -0.1 && mean < -2.0 * error, "{mean} with a standard error of {error}");
}

#[test]
fn trouble_costs_worth() {
    let calm = worth(&run(&quarter("small"), &Settings::default()));
    for name in ["uneven", "domain-lost", "leader-changes"] {
        let troubled = worth(&run(&quarter(name), &Settings::default()));
        assert!(troubled < calm, "{name}: {troubled}, without trouble {calm}");
    }
}

/// Where what fails is hardly tried again, the others earn all that they are owed, and that is all there is.
#[test]
fn images_that_fail_are_owed_nothing() {
    let seldom = Settings {
        retry_pause: Millis(20_000),
        retry_pause_max: Millis(40_000),
        ..Settings::default()
    };
    let lines = run(&with_failing_images(), &seldom);
    assert!(worth(&lines) > 0.98, "{}", worth(&lines));
}

/// The clairvoyant packing is held against this scheduler and against a worse one.
#[test]
fn no_policy_gets_more_than_what_is_possible() {
    let worse = Settings { max_worker_failures: 1, max_starts_in_flight: 1, ..Settings::default() };
    for pattern in ["small", "more-load", "uneven"].map(quarter) {
        for settings in [Settings::default(), worse.clone()] {
            for line in run(&pattern, &settings) {
                let (got, possible) = (line.outcome.worth.mean, line.possible);
                assert!(got <= possible, "{}, seed {}: {got}", line.pattern, line.seed);
            }
        }
    }
}

#[test]
fn the_losses_and_the_worth_add_up() {
    let pattern = quarter("leader-changes");
    let line = patterns::run(&pattern, 3, &Settings::default());
    let l = losses::attribute(&pattern, &line, &Settings::default());
    let sum = l.no_capacity + l.faults + l.interference + l.policy + line.outcome.worth.mean;
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    assert!(l.faults > 0.0, "{l:?}");
    assert!(l.policy >= 0.0, "{l:?}");
}

#[test]
fn less_is_possible_where_the_load_is_too_much() {
    let half = bound::estimate(&load::draw(&quarter("half-load"), 1));
    assert!(half > 0.99, "{half}");
    let pattern = Pattern { load: 2.0, ..quarter("small") };
    let twice = bound::estimate(&load::draw(&pattern, 1));
    assert!(twice < 0.8, "{twice}");
}

#[test]
fn a_run_differs_in_nothing_from_its_own_lines() {
    let now = run(&quarter("small"), &Settings::default());
    let before = lines::parse(&lines::write(&now)).expect("own lines can be read");
    let report = compare::report(&before, &now, 1).expect("the seeds are the same");
    let figures = &report.rows[0][2..];
    assert!(figures.iter().all(|f| f == "+0.0000" || f == "0.0000"), "{figures:?}");
}

#[test]
fn other_seeds_are_not_compared() {
    let now = vec![patterns::run(&quarter("half-load"), 1, &Settings::default())];
    let before = vec![lines::Line { seed: 2, ..now[0].clone() }];
    assert!(compare::report(&before, &now, 1).is_err());
}

#[test]
fn a_line_that_cannot_be_read_is_named() {
    let now = vec![patterns::run(&quarter("half-load"), 1, &Settings::default())];
    let text = lines::write(&now) + "{\"pattern\":1}\n";
    let why = lines::parse(&text).expect_err("the second line is wrong");
    assert!(why.starts_with("line 2: "), "{why}");
}

#[test]
fn an_unknown_pattern_is_refused() {
    let asked =
        RunOptions { names: vec!["none".into()], seeds: 1, threads: 1, ..RunOptions::default() };
    let why = patterns::run_and_print(&asked).expect_err("there is no such pattern");
    assert!(why.contains("leader-changes"), "{why}");
}
