//! A leader's followers, by their last heartbeats: how often they send one, when they check the store, and which of
//! them is named to lead next.
//!
//! Every answer to a heartbeat names the successor. A choice goes over all followers, so a choice for each answer
//! would cost the square of their number; one choice serves all answers for a while
//! (`docs/design/whole-fleet.md`).

use std::collections::BTreeMap;

use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::succession::{self, Candidate, LeaderCapacity};

/// How old a choice may be. A successor that was named this much too late claims as any other host does.
const CHOICE_MAX_AGE: Millis = Millis(100);

/// The pause between heartbeats on a small installation.
pub const HEARTBEAT_INTERVAL: Millis = Millis(400);

/// The longest pause between heartbeats: with the time of a call it stays below the age at which a follower is no
/// longer named, and below that at which the leader's counts are too old to be shown.
const MAX_HEARTBEAT_INTERVAL: Millis = Millis(1_000);

/// How many heartbeats a leader takes in each second before followers are told to send fewer.
const MAX_HEARTBEATS_PER_SECOND: u64 = 500;

/// How often a follower that may lead next makes sure that the store answers it, and every one of a small
/// installation.
const STORE_CHECK_INTERVAL: Millis = Millis(1_000);

/// The longest time between two checks of a follower that may not lead next.
const MAX_STORE_CHECK_INTERVAL: Millis = Millis(5_000);

/// How many of these checks all followers together make in each second.
const MAX_STORE_CHECKS_PER_SECOND: u64 = 100;

/// Returns the time between two checks of a follower that may not lead next, by the number of followers.
pub fn store_check_interval(followers: usize) -> Millis {
    let needed = Millis(followers as u64 * 1_000 / MAX_STORE_CHECKS_PER_SECOND);
    needed.clamp(STORE_CHECK_INTERVAL, MAX_STORE_CHECK_INTERVAL)
}

/// Returns the pause between two heartbeats of a follower, by the number of followers.
pub fn heartbeat_interval(followers: usize) -> Millis {
    let needed = Millis(followers as u64 * 1_000 / MAX_HEARTBEATS_PER_SECOND);
    needed.clamp(HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
}

/// The followers of a leader.
#[derive(Debug, Default)]
pub struct Followers {
    known: BTreeMap<ids::EntryId, Candidate>,
    choice: Option<Choice>,
    examined: u64,
}

/// What was found when all followers were last examined.
#[derive(Debug)]
struct Choice {
    at: Instant,
    best: Option<Candidate>,
    heard: usize,
}

impl Followers {
    /// Takes in a follower's heartbeat.
    pub fn record(&mut self, candidate: Candidate) {
        match self.known.get_mut(&candidate.host) {
            Some(known) => *known = candidate,
            None => {
                self.known.insert(candidate.host.clone(), candidate);
            }
        }
    }

    /// Forgets all followers.
    pub fn clear(&mut self) {
        self.known.clear();
        self.choice = None;
    }

    /// Returns the followers that could lead now, the best one first.
    pub fn ranked(&self, now: Instant) -> Vec<Candidate> {
        let order = succession::rank_candidates(self.known.values(), now);
        order.into_iter().cloned().collect()
    }

    /// Returns the follower that should lead next.
    pub fn best(&mut self, now: Instant) -> Option<&Candidate> {
        self.refresh_choice(now);
        self.choice.as_ref()?.best.as_ref()
    }

    /// Returns the pause after which a follower is to send its next heartbeat.
    pub fn heartbeat_interval(&mut self, now: Instant) -> Millis {
        self.refresh_choice(now);
        heartbeat_interval(self.choice.as_ref().map_or(0, |choice| choice.heard))
    }

    /// Tells whether a follower should make sure that the store answers it before it sends its next heartbeat, which
    /// tells the store's age. Only followers that may lead next need to know by the second.
    pub fn should_check_store(
        &mut self,
        now: Instant,
        strength: LeaderCapacity,
        store_age: Millis,
    ) -> bool {
        let then = Millis(store_age.0 + self.heartbeat_interval(now).0);
        let Some(choice) = &self.choice else { return then >= STORE_CHECK_INTERVAL };
        let strongest = choice.best.as_ref().map_or(LeaderCapacity(0), |best| best.leader_capacity);
        let every = match succession::has_much_less_capacity(strength, strongest) {
            true => store_check_interval(choice.heard),
            false => STORE_CHECK_INTERVAL,
        };
        then >= every
    }

    /// Chooses anew among all followers, unless the last choice is recent.
    fn refresh_choice(&mut self, now: Instant) {
        if self.choice.as_ref().is_some_and(|c| now.since(c.at) < CHOICE_MAX_AGE) {
            return;
        }
        self.examined += self.known.len() as u64;
        let best =
            succession::rank_candidates(self.known.values(), now).into_iter().next().cloned();
        let heard =
            self.known.values().filter(|c| succession::has_recent_heartbeat(c, now)).count();
        self.choice = Some(Choice { at: now, best, heard });
    }

    /// Returns how many followers were examined for all choices so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }
}
