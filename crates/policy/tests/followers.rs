//! What a leader's followers cost it, and whom it names.

use gaplock_policy::followers::{self, Followers};
use gaplock_policy::succession::{Candidate, LeaderCapacity};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

/// The pause between two heartbeats of one follower.
const BEAT_EVERY: u64 = 400;

fn candidate(host: usize, strength: u16, heard: u64) -> Candidate {
    Candidate {
        host: ids::EntryId(format!("host-{host:05}")),
        addr: format!("host-{host:05}:1"),
        leader_capacity: LeaderCapacity(strength),
        running_for: Millis(heard),
        store_age: Millis(100),
        heard_at: Instant(heard),
    }
}

/// Plays two seconds of heartbeats, each of which is answered with the successor's name; returns how many
/// candidates were examined for it.
fn examined(hosts: usize) -> u64 {
    let mut followers = Followers::default();
    (0..hosts).for_each(|host| followers.record(candidate(host, 100, 0)));
    for ms in 0..2_000_u64 {
        for host in (0..hosts).filter(|&host| (ms + host as u64).is_multiple_of(BEAT_EVERY)) {
            followers.record(candidate(host, 100, ms));
            assert!(followers.best(Instant(ms)).is_some());
        }
    }
    followers.examined()
}

#[test]
fn naming_a_successor_costs_no_more_for_each_host_of_a_larger_fleet() {
    let (small, large) = (examined(600), examined(1_200));
    let for_each = |all: u64, hosts: u64| all as f64 / hosts as f64;
    let ratio = for_each(large, 1_200) / for_each(small, 600);
    assert!(ratio < 1.2, "{ratio:.2} times the candidates for each host, {small} and {large}");
}

#[test]
fn another_successor_is_named_soon_after_the_best_one_falls_silent() {
    let mut followers = Followers::default();
    followers.record(candidate(1, 1_000, 0));
    for ms in (0..3_000).step_by(100) {
        followers.record(candidate(2, 500, ms));
        let best = followers.best(Instant(ms)).map(|c| c.leader_capacity);
        let named = if ms <= 1_300 { 1_000 } else { 500 };
        assert_eq!(best, Some(LeaderCapacity(named)), "at {ms} ms");
    }
}

#[test]
fn a_follower_that_comes_is_named_with_the_next_choice() {
    let mut followers = Followers::default();
    followers.record(candidate(1, 100, 0));
    assert_eq!(followers.best(Instant(0)).map(|c| c.leader_capacity), Some(LeaderCapacity(100)));
    followers.record(candidate(2, 1_000, 50));
    assert_eq!(
        followers.best(Instant(100)).map(|c| c.leader_capacity),
        Some(LeaderCapacity(1_000))
    );
    followers.clear();
    assert!(followers.best(Instant(101)).is_none());
}

#[test]
fn a_leader_takes_as_many_heartbeats_a_second_of_twice_the_hosts() {
    let a_second =
        |hosts: usize| hosts as f64 * 1_000.0 / followers::heartbeat_interval(hosts).0 as f64;
    assert_eq!(followers::heartbeat_interval(100), Millis(400), "a small installation hears soon");
    let ratio = a_second(500) / a_second(250);
    assert!((0.9..1.1).contains(&ratio), "{ratio:.2} times the heartbeats");
}

#[test]
fn the_pause_between_heartbeats_goes_by_the_followers_that_are_heard() {
    let mut followers = Followers::default();
    (0..400).for_each(|host| followers.record(candidate(host, 100, 0)));
    assert_eq!(followers.heartbeat_interval(Instant(0)), Millis(800));
    (0..200).for_each(|host| followers.record(candidate(host, 100, 2_000)));
    assert_eq!(
        followers.heartbeat_interval(Instant(2_000)),
        Millis(400),
        "half of them are silent"
    );
}

#[test]
fn a_host_that_waits_for_the_longest_pause_is_still_named() {
    let mut followers = Followers::default();
    let pause = followers::heartbeat_interval(usize::MAX >> 20);
    followers.record(candidate(1, 1_000, 0));
    assert!(followers.best(Instant(pause.0 + 200)).is_some(), "its next heartbeat is on its way");
}

/// Plays a minute in which `strong` of the followers could lead; returns how often strong and weak ones checked the
/// store, each before the heartbeat after the one whose answer asked for it.
fn checks(strong: usize, weak: usize) -> (usize, usize) {
    let mut followers = Followers::default();
    let mut checked = vec![0_u64; strong + weak];
    let (mut by_strong, mut by_weak) = (0, 0);
    let pause = followers::heartbeat_interval(strong + weak).0;
    for ms in (0..60_000_u64).step_by(pause as usize) {
        for (host, last) in checked.iter_mut().enumerate() {
            let strength = LeaderCapacity(if host < strong { 1_000 } else { 200 });
            followers.record(candidate(host, strength.0, ms));
            if followers.should_check_store(Instant(ms), strength, Millis(ms - *last)) {
                *last = ms + pause;
                let by = if host < strong { &mut by_strong } else { &mut by_weak };
                *by += 1;
            }
        }
    }
    (by_strong, by_weak)
}

#[test]
fn weak_hosts_of_twice_the_fleet_check_the_store_as_often_in_all() {
    let ((_, small), (_, large)) = (checks(4, 200), checks(4, 400));
    let ratio = large as f64 / small as f64;
    assert!(ratio < 1.2, "{ratio:.2} times the checks, {small} and {large}");
}

#[test]
fn a_host_that_may_lead_next_checks_the_store_by_the_second() {
    // Between heartbeats of 0.4 s every third one falls due.
    let (strong, _) = checks(4, 400);
    assert!(strong >= 4 * 37, "{strong} checks in a minute of four strong hosts");
    let (strong, _) = checks(4, 0);
    assert!(strong >= 4 * 37, "{strong} checks in a minute of four strong hosts alone");
    let (_, weak) = checks(0, 4);
    assert!(weak >= 4 * 37, "{weak} checks in a minute of four hosts none of which is stronger");
}
