//! A short seeded run of the soak of processes; longer ones are run by hand with `scripts/soak`.

use std::path::PathBuf;

use gaplock_soak::processes;

#[test]
fn short_seeds_break_no_promise() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_gaplock-node"));
    for seed in [1, 2] {
        let report = processes::run(program.clone(), seed).expect("the seed can be run");
        assert!(report.checks > 10, "seed {seed} checked next to nothing");
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    }
}
