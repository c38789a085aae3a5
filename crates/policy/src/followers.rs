//! A leader's followers, by their last heartbeats, and which of them is named to lead next.
//!
//! Every answer to a heartbeat names the successor. A choice goes over all followers, so a choice for each answer
//! would cost the square of their number; one choice serves all answers for a while
//! (`docs/design/whole-fleet.md`).

use std::collections::BTreeMap;

use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::succession::{self, Candidate};

/// How old a choice may be. A successor that was named this much too late claims as any other host does.
const CHOICE_MAX_AGE: Millis = Millis(100);

/// The followers of a leader.
#[derive(Debug, Default)]
pub struct Followers {
    known: BTreeMap<ids::EntryId, Candidate>,
    choice: Option<Choice>,
    examined: u64,
}

/// What one look at all followers has found.
#[derive(Debug)]
struct Choice {
    at: Instant,
    best: Option<Candidate>,
}

impl Followers {
    /// Takes in a follower's heartbeat.
    pub fn note(&mut self, candidate: Candidate) {
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
    pub fn in_order(&self, now: Instant) -> Vec<Candidate> {
        let order = succession::order(self.known.values(), now);
        order.into_iter().cloned().collect()
    }

    /// Returns the follower that should lead next.
    pub fn best(&mut self, now: Instant) -> Option<&Candidate> {
        self.look(now);
        self.choice.as_ref()?.best.as_ref()
    }

    /// Looks at all followers, unless the last look is recent.
    fn look(&mut self, now: Instant) {
        if self.choice.as_ref().is_some_and(|c| now.since(c.at) < CHOICE_MAX_AGE) {
            return;
        }
        self.examined += self.known.len() as u64;
        let best = succession::order(self.known.values(), now).into_iter().next().cloned();
        self.choice = Some(Choice { at: now, best });
    }

    /// Returns how many followers were examined for all choices so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }
}
