//! Tests what a leader's followers cost it, and which of them it names as successor.

use gaplock_policy::followers::{self, Followers};
use gaplock_policy::succession::{Candidate, LeaderCapacity};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

/// The interval between two heartbeats of one follower, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 400;

fn candidate(host: usize, capacity: u16, heard_ms: u64) -> Candidate {
    Candidate {
        host: ids::EntryId(format!("host-{host:05}")),
        addr: format!("host-{host:05}:1"),
        leader_capacity: LeaderCapacity(capacity),
        running_for: Millis(heard_ms),
        store_age: Millis(100),
        heard_at: Instant(heard_ms),
    }
}

/// Simulates two seconds of heartbeats, each of which is answered with the successor's name.
/// Returns how many candidates were examined for the answers.
fn examined(hosts: usize) -> u64 {
    let mut followers = Followers::default();
    (0..hosts).for_each(|host| followers.record(candidate(host, 100, 0)));
    for ms in 0..2_000_u64 {
        for host in
            (0..hosts).filter(|&host| (ms + host as u64).is_multiple_of(HEARTBEAT_INTERVAL_MS))
        {
            followers.record(candidate(host, 100, ms));
            assert!(followers.best(Instant(ms)).is_some());
        }
    }
    followers.examined()
}

#[test]
fn naming_a_successor_costs_no_more_for_each_host_of_a_larger_fleet() {
    let (small, large) = (examined(600), examined(1_200));
    let per_host = |all: u64, hosts: u64| all as f64 / hosts as f64;
    let ratio = per_host(large, 1_200) / per_host(small, 600);
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
fn a_new_follower_is_named_with_the_next_choice() {
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
fn a_leader_receives_as_many_heartbeats_per_second_from_twice_the_hosts() {
    let per_second =
        |hosts: usize| hosts as f64 * 1_000.0 / followers::heartbeat_interval(hosts).0 as f64;
    assert_eq!(
        followers::heartbeat_interval(100),
        Millis(400),
        "the interval of a small installation"
    );
    let ratio = per_second(500) / per_second(250);
    assert!(
        (0.9..1.1).contains(&ratio),
        "twice the hosts cause {ratio:.2} times the heartbeats; expected about as many"
    );
}

#[test]
fn the_heartbeat_interval_depends_on_the_followers_with_recent_heartbeats() {
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
fn a_host_that_waits_for_the_longest_interval_is_still_named() {
    let mut followers = Followers::default();
    let interval = followers::heartbeat_interval(usize::MAX >> 20);
    followers.record(candidate(1, 1_000, 0));
    assert!(
        followers.best(Instant(interval.0 + 200)).is_some(),
        "its next heartbeat is on its way"
    );
}

/// Simulates a minute in which `able` followers have enough leader capacity to lead next and
/// `others` do not. Returns how often followers of either kind checked the store; each check is
/// made before the heartbeat after the one whose answer asked for it.
fn checks(able: usize, others: usize) -> (usize, usize) {
    let mut followers = Followers::default();
    let mut checked = vec![0_u64; able + others];
    let (mut by_able, mut by_others) = (0, 0);
    let interval = followers::heartbeat_interval(able + others).0;
    for ms in (0..60_000_u64).step_by(interval as usize) {
        for (host, last) in checked.iter_mut().enumerate() {
            let capacity = LeaderCapacity(if host < able { 1_000 } else { 200 });
            followers.record(candidate(host, capacity.0, ms));
            if followers.should_check_store(Instant(ms), capacity, Millis(ms - *last)) {
                *last = ms + interval;
                let by = if host < able { &mut by_able } else { &mut by_others };
                *by += 1;
            }
        }
    }
    (by_able, by_others)
}

#[test]
fn hosts_with_little_capacity_of_twice_the_fleet_make_as_many_store_checks_in_total() {
    let ((_, small), (_, large)) = (checks(4, 200), checks(4, 400));
    let ratio = large as f64 / small as f64;
    assert!(ratio < 1.2, "{ratio:.2} times the checks, {small} and {large}");
}

#[test]
fn a_host_that_may_lead_next_checks_the_store_every_second() {
    // Between heartbeats of 0.4 s a check is due with every third one.
    let (able, _) = checks(4, 400);
    assert!(able >= 4 * 37, "{able} checks in a minute by four able hosts");
    let (able, _) = checks(4, 0);
    assert!(able >= 4 * 37, "{able} checks in a minute by four able hosts without others");
    let (_, others) = checks(0, 4);
    assert!(others >= 4 * 37, "{others} checks in a minute by four hosts of equal capacity");
}
