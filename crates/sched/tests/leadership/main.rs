//! Tests leaderships of many hosts on virtual time: no two leaders run the same task, and tasks go on
//! while the store is away.

mod world;

use world::{Faults, World};

/// How many worlds each test runs.
fn worlds() -> u64 {
    std::env::var("LEADERSHIP_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60)
}

/// Guards against two leaders that run the same tasks on both sides of a partition.
#[test]
fn no_task_runs_twice_while_domains_are_partitioned_and_hosts_join_fail_and_stop() {
    let mut partitions = 0;
    for seed in 0..worlds() {
        let mut world = World::open(seed, Faults::All);
        world.run(90_000);
        partitions += world.partitions;
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
    assert!(partitions > worlds(), "{partitions} partitions");
}

#[test]
fn no_run_lapses_while_the_store_alone_is_away() {
    for seed in 0..worlds() {
        let mut world = World::open(seed, Faults::StoreOnly);
        world.run(90_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert_eq!(world.lapsed, 0, "seed {seed}");
    }
}
