//! Which host leads next.

use gaplock_policy::succession::{self, Candidate, LeaderCapacity};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

const NOW: Instant = Instant(100_000);

fn candidate(host: &str, strength: u16, running_for: u64) -> Candidate {
    Candidate {
        host: ids::EntryId(host.to_string()),
        addr: format!("{host}:1"),
        leader_capacity: LeaderCapacity(strength),
        running_for: Millis(running_for),
        store_age: Millis(100),
        heard_at: Instant(NOW.0 - 100),
    }
}

fn names(candidates: &[Candidate]) -> Vec<String> {
    let order = succession::rank_candidates(candidates.iter(), NOW);
    order.iter().map(|c| c.host.to_string()).collect()
}

#[test]
fn the_weaker_of_processor_and_link_decides() {
    assert_eq!(succession::leader_capacity(0.5, 200.0), succession::FULL_LEADER_CAPACITY);
    assert_eq!(succession::leader_capacity(0.25, 1_000.0), LeaderCapacity(500));
    assert_eq!(succession::leader_capacity(0.5, 10.0), LeaderCapacity(100));
    assert!(succession::leader_capacity(0.12, 10.0) < succession::leader_capacity(0.12, 200.0));
}

#[test]
fn the_strongest_leads_next_and_among_equals_the_latest_started() {
    let all = [
        candidate("weak-and-new", 100, 1_000),
        candidate("old", 1_000, 60_000),
        candidate("restarted", 1_000, 5_000),
    ];
    assert_eq!(names(&all), ["restarted", "old", "weak-and-new"]);
}

#[test]
fn a_silent_host_and_one_without_the_store_cannot_lead() {
    let mut silent = candidate("silent", 1_000, 1_000);
    silent.heard_at = Instant(NOW.0 - 3_000);
    let mut cut = candidate("cut", 1_000, 1_000);
    cut.store_age = Millis(5_000);
    assert_eq!(names(&[silent, cut, candidate("able", 900, 1_000)]), ["able"]);
}

#[test]
fn a_much_weaker_host_is_not_named_where_a_stronger_one_lives() {
    let mut strong = candidate("strong", 1_000, 1_000);
    strong.store_age = Millis(4_000);
    assert_eq!(names(&[strong, candidate("weak", 100, 1_000)]), [""; 0]);
}

#[test]
fn a_leader_makes_way_only_for_a_much_stronger_host() {
    let strong = candidate("strong", 1_000, 1_000);
    let way = |own| succession::should_step_down(LeaderCapacity(own), Some(&strong));
    assert!(way(100));
    assert!(!way(900));
    assert!(!succession::should_step_down(LeaderCapacity(100), None));
}

#[test]
fn the_weaker_a_host_the_later_it_claims() {
    let pause =
        |own| succession::claim_delay(LeaderCapacity(own), Some(succession::FULL_LEADER_CAPACITY));
    assert_eq!(pause(succession::FULL_LEADER_CAPACITY.0), Millis(0));
    assert!(pause(100) > pause(500));
    assert!(pause(100) >= Millis(900), "a host ten times weaker overtakes a slow store's claim");
    assert_eq!(succession::claim_delay(LeaderCapacity(500), None), pause(500));
}

#[test]
fn a_host_as_strong_as_any_it_has_heard_of_claims_at_once() {
    let strongest = Some(LeaderCapacity(500));
    assert_eq!(succession::claim_delay(LeaderCapacity(500), strongest), Millis(0));
    assert_eq!(succession::claim_delay(LeaderCapacity(900), strongest), Millis(0));
}
