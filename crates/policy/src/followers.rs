//! A leader's followers, by their last heartbeats: how often they send heartbeats, when they check
//! the store, and which of them is named as successor.
//!
//! Every answer to a heartbeat names the successor. Choosing it examines all followers, so a choice
//! for each answer would cost the square of their number. One choice is therefore reused for all
//! answers within a short time (`docs/design/whole-fleet.md`).

use std::collections::BTreeMap;

use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::succession::{self, Candidate, LeaderCapacity};

/// How long a choice is reused. A successor that is named this much too late claims the leadership
/// as any other host does.
const CHOICE_MAX_AGE: Millis = Millis(100);

/// The interval between the heartbeats of a follower in a small installation.
pub const HEARTBEAT_INTERVAL: Millis = Millis(400);

/// The longest interval between heartbeats. Together with the duration of a call it stays below the
/// age at which a follower is no longer named as successor, and below the age at which the leader's
/// counts are too old to be shown.
const MAX_HEARTBEAT_INTERVAL: Millis = Millis(1_000);

/// How many heartbeats per second a leader receives before its followers are told to send fewer.
const MAX_HEARTBEATS_PER_SECOND: u64 = 500;

/// How often a follower that may lead next checks that the store answers it. In a small
/// installation every follower does so.
const STORE_CHECK_INTERVAL: Millis = Millis(1_000);

/// The longest interval between the store checks of a follower that may not lead next.
const MAX_STORE_CHECK_INTERVAL: Millis = Millis(5_000);

/// How many of these checks all followers together make per second.
const MAX_STORE_CHECKS_PER_SECOND: u64 = 100;

/// Returns the interval between the store checks of a follower that may not lead next, for this
/// number of followers.
pub fn store_check_interval(followers: usize) -> Millis {
    let needed = Millis(followers as u64 * 1_000 / MAX_STORE_CHECKS_PER_SECOND);
    needed.clamp(STORE_CHECK_INTERVAL, MAX_STORE_CHECK_INTERVAL)
}

/// Returns the interval between the heartbeats of a follower, for this number of followers.
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

/// The result of the last examination of all followers.
#[derive(Debug)]
struct Choice {
    at: Instant,
    best: Option<Candidate>,
    /// How many followers have sent a heartbeat recently.
    live: usize,
}

impl Followers {
    /// Records a follower's heartbeat.
    pub fn record(&mut self, candidate: Candidate) {
        match self.known.get_mut(&candidate.host) {
            Some(known) => *known = candidate,
            None => {
                self.known.insert(candidate.host.clone(), candidate);
            }
        }
    }

    /// Removes all followers.
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

    /// Returns the interval after which a follower should send its next heartbeat.
    pub fn heartbeat_interval(&mut self, now: Instant) -> Millis {
        self.refresh_choice(now);
        heartbeat_interval(self.choice.as_ref().map_or(0, |choice| choice.live))
    }

    /// Returns whether a follower should check that the store answers it before it sends its next
    /// heartbeat, which reports the age of the store's last answer. Only followers that may lead
    /// next need to check every second.
    pub fn should_check_store(
        &mut self,
        now: Instant,
        capacity: LeaderCapacity,
        store_age: Millis,
    ) -> bool {
        let age_then = Millis(store_age.0 + self.heartbeat_interval(now).0);
        let Some(choice) = &self.choice else { return age_then >= STORE_CHECK_INTERVAL };
        let highest = choice.best.as_ref().map_or(LeaderCapacity(0), |best| best.leader_capacity);
        let interval = match succession::has_much_less_capacity(capacity, highest) {
            true => store_check_interval(choice.live),
            false => STORE_CHECK_INTERVAL,
        };
        age_then >= interval
    }

    /// Chooses again among all followers, unless the last choice is recent.
    fn refresh_choice(&mut self, now: Instant) {
        if self.choice.as_ref().is_some_and(|c| now.since(c.at) < CHOICE_MAX_AGE) {
            return;
        }
        self.examined += self.known.len() as u64;
        let best =
            succession::rank_candidates(self.known.values(), now).into_iter().next().cloned();
        let live = self.known.values().filter(|c| succession::has_recent_heartbeat(c, now)).count();
        self.choice = Some(Choice { at: now, best, live });
    }

    /// Returns how many followers all choices so far have examined.
    pub fn examined(&self) -> u64 {
        self.examined
    }
}
