//! Tests which host leads next.

use gaplock_policy::succession::{self, Candidate, LeaderCapacity};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

const NOW: Instant = Instant(100_000);

fn candidate(host: &str, capacity: u16, running_for: u64) -> Candidate {
    Candidate {
        host: ids::EntryId(host.to_string()),
        addr: format!("{host}:1"),
        leader_capacity: LeaderCapacity(capacity),
        running_for: Millis(running_for),
        store_age: Millis(100),
        heard_at: Instant(NOW.0 - 100),
    }
}

fn ranked_hosts(candidates: &[Candidate]) -> Vec<String> {
    let order = succession::rank_candidates(candidates.iter(), NOW);
    order.iter().map(|c| c.host.to_string()).collect()
}

#[test]
fn the_scarcer_of_processor_and_link_decides() {
    assert_eq!(succession::leader_capacity(0.5, 200.0), succession::FULL_LEADER_CAPACITY);
    assert_eq!(succession::leader_capacity(0.25, 1_000.0), LeaderCapacity(500));
    assert_eq!(succession::leader_capacity(0.5, 10.0), LeaderCapacity(100));
    assert!(succession::leader_capacity(0.12, 10.0) < succession::leader_capacity(0.12, 200.0));
}

#[test]
fn the_host_with_most_capacity_leads_next_and_among_equals_the_latest_started() {
    let all = [
        candidate("small-and-new", 100, 1_000),
        candidate("old", 1_000, 60_000),
        candidate("restarted", 1_000, 5_000),
    ];
    assert_eq!(ranked_hosts(&all), ["restarted", "old", "small-and-new"]);
}

#[test]
fn a_silent_host_and_one_without_the_store_cannot_lead() {
    let mut silent = candidate("silent", 1_000, 1_000);
    silent.heard_at = Instant(NOW.0 - 3_000);
    let mut partitioned = candidate("partitioned", 1_000, 1_000);
    partitioned.store_age = Millis(5_000);
    assert_eq!(ranked_hosts(&[silent, partitioned, candidate("able", 900, 1_000)]), ["able"]);
}

#[test]
fn a_host_with_much_less_capacity_is_not_named_while_a_better_one_is_live() {
    let mut large = candidate("large", 1_000, 1_000);
    large.store_age = Millis(4_000);
    assert_eq!(ranked_hosts(&[large, candidate("small", 100, 1_000)]), [""; 0]);
}

#[test]
fn a_leader_steps_down_only_for_a_host_with_much_more_capacity() {
    let large = candidate("large", 1_000, 1_000);
    let steps_down = |own| succession::should_step_down(LeaderCapacity(own), Some(&large));
    assert!(steps_down(100));
    assert!(!steps_down(900));
    assert!(!succession::should_step_down(LeaderCapacity(100), None));
}

#[test]
fn a_host_with_less_capacity_claims_later() {
    let delay =
        |own| succession::claim_delay(LeaderCapacity(own), Some(succession::FULL_LEADER_CAPACITY));
    assert_eq!(delay(succession::FULL_LEADER_CAPACITY.0), Millis(0));
    assert!(delay(100) > delay(500));
    assert!(
        delay(100) >= Millis(900),
        "a host with a tenth of the capacity claims before a slow store answers the best one"
    );
    assert_eq!(succession::claim_delay(LeaderCapacity(500), None), delay(500));
}

#[test]
fn a_host_with_the_highest_capacity_it_has_heard_of_claims_at_once() {
    let highest = Some(LeaderCapacity(500));
    assert_eq!(succession::claim_delay(LeaderCapacity(500), highest), Millis(0));
    assert_eq!(succession::claim_delay(LeaderCapacity(900), highest), Millis(0));
}
