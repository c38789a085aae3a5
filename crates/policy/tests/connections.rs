//! Tests how many idle connections a leader keeps, at the fleet sizes that it must support.

use gaplock_policy::connections;

/// The minimum number of descriptors that files and other peers need.
const OTHER_DESCRIPTORS: usize = 400;

#[test]
fn a_small_fleet_keeps_connections_for_orders() {
    assert_eq!(connections::idle_connections_per_worker(4_100, 66), 4);
    assert_eq!(connections::idle_connections_per_worker(8_192, 890), 4);
}

#[test]
fn the_connections_of_a_large_fleet_fit_the_descriptors() {
    for (descriptors, workers) in [(4_100, 890), (4_100, 1_300), (8_192, 1_300), (8_192, 3_000)] {
        let kept = connections::idle_connections_per_worker(descriptors, workers);
        let taken = workers * (kept + 1);
        assert!(
            taken + OTHER_DESCRIPTORS <= descriptors,
            "{taken} of {descriptors} for {workers} workers"
        );
    }
}

#[test]
fn one_connection_per_worker_is_kept_whatever_the_fleet_and_descriptor_limit() {
    assert_eq!(connections::idle_connections_per_worker(1_024, 10_000), 1);
    assert_eq!(connections::idle_connections_per_worker(0, 0), 1);
}
