//! Runs a small fixed set of seeds in CI; `scripts/soak` runs many more.

use gaplock_soak::faults::{Enabled, Fault};
use gaplock_soak::run::run;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

/// Seeds that run with many late writes, late orders and refused starts.
const LATE_SEEDS: std::ops::RangeInclusive<u64> = 1..=12;

/// Seeds that failed once and revealed a fault of the program; `docs/PROOFS.md` names each.
const REGRESSION_SEEDS: [u64; 8] = [69, 76, 159, 162, 314, 478, 515, 1070];

#[test]
fn nothing_is_violated_under_faults() {
    for seed in SEEDS.chain(REGRESSION_SEEDS) {
        let report = run(seed, Enabled::all());
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            report.faults > 50,
            "seed {seed}: expected more than 50 faults, got {}",
            report.faults
        );
    }
}

#[test]
fn nothing_is_violated_where_calls_are_carried_out_late() {
    for seed in LATE_SEEDS {
        let report = run(seed, Enabled::late());
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            report.faults > 50,
            "seed {seed}: expected more than 50 faults, got {}",
            report.faults
        );
    }
}

#[test]
fn a_seed_replays_step_by_step() {
    let (first, second) = (run(7, Enabled::all()), run(7, Enabled::all()));
    assert_eq!(first.trace, second.trace);
    assert_eq!((first.steps, first.faults), (second.steps, second.faults));
}

#[test]
fn a_run_without_faults_has_none() {
    let none = Fault::ALL.iter().fold(Enabled::all(), |left, fault| left.without(*fault));
    let report = run(3, none);
    assert_eq!(report.faults, 0);
    assert_eq!(report.violations, Vec::<String>::new());
}
