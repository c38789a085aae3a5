//! Tests that pattern runs are reproducible, and that worse policies and faults lower the earned worth.

use gaplock_measure::patterns::shape::{self, Faults, Pattern, Shape};
use gaplock_measure::patterns::{self, bound, compare, lines, load, losses, RunOptions};
use gaplock_sched::Settings;
use gaplock_types::time::Millis;

/// The number of seeds in each comparison.
const SEEDS: u64 = 4;

/// Returns the pattern with this name on a quarter of its workers, so that unoptimised tests stay short.
fn quarter(name: &str) -> Pattern {
    let pattern = shape::find(name).expect("the pattern exists");
    let workers = pattern.shape.workers / 4;
    Pattern { shape: Shape { workers, ..pattern.shape }, ..*pattern }
}

fn run(pattern: &Pattern, settings: &Settings) -> Vec<lines::Line> {
    let options = RunOptions { first_seed: 1, seeds: SEEDS, threads: 2, ..RunOptions::default() };
    patterns::run_all(&[pattern], &options, settings)
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
fn results_come_in_order_for_any_number_of_threads() {
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
    assert!(worth(&lines) > 0.98, "expected a worth above 0.98, got {}", worth(&lines));
}

/// Returns the pattern with half of the load, in which some images always fail.
fn with_failing_images() -> Pattern {
    let faults = Faults { failing_images: true, ..Faults::default() };
    Pattern { faults, ..quarter("half-load") }
}

/// The worse policy quarantines a worker for 30 s after every failure, so images that always fail take good
/// workers out of use.
#[test]
fn a_worse_policy_earns_less() {
    let pattern = with_failing_images();
    let ours = run(&pattern, &Settings::default());
    let worse =
        Settings { max_worker_failures: 1, quarantine: Millis(30_000), ..Settings::default() };
    let theirs = run(&pattern, &worse);
    let (mean, error, pairs) =
        compare::difference(pattern.name, &ours, &theirs, |l| l.outcome.worth.mean);
    assert_eq!(pairs, SEEDS as usize);
    assert!(
        mean < -0.1 && mean < -2.0 * error,
        "the worse policy must lose over 0.1 and two standard errors: got {mean}, error {error}"
    );
}

#[test]
fn faults_lower_the_worth() {
    let without_faults = worth(&run(&quarter("small"), &Settings::default()));
    for name in ["uneven", "domain-lost", "leader-changes"] {
        let with_faults = worth(&run(&quarter(name), &Settings::default()));
        assert!(
            with_faults < without_faults,
            "{name}: earned {with_faults}, expected less than {without_faults} without faults"
        );
    }
}

/// Failing images are rarely retried here, so the other jobs earn nearly all that they are owed. If failing
/// images were owed anything, the share would be lower.
#[test]
fn jobs_with_failing_images_are_not_owed() {
    let seldom = Settings {
        retry_pause: Millis(20_000),
        retry_pause_max: Millis(40_000),
        ..Settings::default()
    };
    let lines = run(&with_failing_images(), &seldom);
    assert!(worth(&lines) > 0.98, "expected a worth above 0.98, got {}", worth(&lines));
}

/// Checks the clairvoyant packing against the default settings and a worse policy.
#[test]
fn no_policy_gets_more_than_what_is_possible() {
    let worse = Settings { max_worker_failures: 1, max_starts_in_flight: 1, ..Settings::default() };
    for pattern in ["small", "more-load", "uneven"].map(quarter) {
        for settings in [Settings::default(), worse.clone()] {
            for line in run(&pattern, &settings) {
                let (got, possible) = (line.outcome.worth.mean, line.possible);
                assert!(
                    got <= possible,
                    "{}, seed {}: earned {got}, more than the {possible} that is possible",
                    line.pattern,
                    line.seed
                );
            }
        }
    }
}

#[test]
fn the_losses_and_the_worth_add_up() {
    let pattern = quarter("leader-changes");
    let line = patterns::run(&pattern, 3, &Settings::default());
    let l = losses::attribute_losses(&pattern, &line, &Settings::default());
    let sum = l.no_capacity + l.faults + l.interference + l.policy + line.outcome.worth.mean;
    assert!((sum - 1.0).abs() < 1e-9, "losses and worth must add up to 1, got {sum}");
    assert!(l.faults > 0.0, "faults must lower the worth: {l:?}");
    assert!(l.policy >= 0.0, "the policy can't earn more than possible: {l:?}");
}

#[test]
fn overload_lowers_the_possible_worth() {
    let half = bound::estimate(&load::draw(&quarter("half-load"), 1));
    assert!(half > 0.99, "expected above 0.99 at half load, got {half}");
    let pattern = Pattern { load: 2.0, ..quarter("small") };
    let twice = bound::estimate(&load::draw(&pattern, 1));
    assert!(twice < 0.8, "expected below 0.8 at twice the load, got {twice}");
}

#[test]
fn a_run_equals_its_own_written_lines() {
    let now = run(&quarter("small"), &Settings::default());
    let before = lines::parse(&lines::write(&now)).expect("written lines can be parsed");
    let report = compare::report(&before, &now, 1).expect("both runs have the same seeds");
    let figures = &report.rows[0][2..];
    assert!(
        figures.iter().all(|f| f == "+0.0000" || f == "0.0000"),
        "expected no differences, got {figures:?}"
    );
}

#[test]
fn runs_without_common_seeds_are_not_compared() {
    let now = vec![patterns::run(&quarter("half-load"), 1, &Settings::default())];
    let before = vec![lines::Line { seed: 2, ..now[0].clone() }];
    assert!(compare::report(&before, &now, 1).is_err());
}

#[test]
fn a_line_that_cannot_be_read_is_named() {
    let now = vec![patterns::run(&quarter("half-load"), 1, &Settings::default())];
    let text = lines::write(&now) + "{\"pattern\":1}\n";
    let why = lines::parse(&text).expect_err("the second line is invalid");
    assert!(why.starts_with("line 2: "), "the error must name line 2: {why}");
}

#[test]
fn an_unknown_pattern_is_refused() {
    let options =
        RunOptions { names: vec!["none".into()], seeds: 1, threads: 1, ..RunOptions::default() };
    let why = patterns::run_and_print(&options).expect_err("no pattern has this name");
    assert!(why.contains("leader-changes"), "the error must list the known patterns: {why}");
}
