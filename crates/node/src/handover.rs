//! What this host knows of who leads next.
//!
//! A leader keeps its followers by their heartbeats and names the best one; a follower remembers
//! whether that was itself, and holds an invitation to lead until its main task takes it.
//! `gaplock_policy::succession` makes the choice.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use gaplock_policy::succession::{self, Candidate};
use gaplock_types::ids;
use gaplock_types::time::Instant;

use crate::peers::{Heartbeat, Invitation};

/// What this host knows of who leads next.
pub struct Handover {
    /// While this host leads: the others, by their last heartbeats.
    followers: Mutex<BTreeMap<ids::EntryId, Candidate>>,
    /// Whether the leader named this host to claim first if the leader is lost.
    named: AtomicBool,
    /// Invitations to claim the leadership, each with the way to answer it.
    invitations: (Sender<Invited>, Receiver<Invited>),
}

/// An invitation that waits for its answer: whether this host leads now.
pub struct Invited {
    /// What the leader said.
    pub invitation: Invitation,
    /// Takes the answer.
    pub answer: Sender<bool>,
}

/// How many invitations may wait for the main task; there is one leader to invite, so more are
/// declined at once.
const MOST_WAITING: usize = 1;

const LOCK: &str = "no holder of the lock panics";

impl Default for Handover {
    fn default() -> Self {
        Self {
            followers: Mutex::default(),
            named: AtomicBool::new(false),
            invitations: async_channel::bounded(MOST_WAITING),
        }
    }
}

impl Handover {
    /// Remembers whether the leader named this host to claim first.
    pub fn set_named(&self, named: bool) {
        self.named.store(named, Ordering::Relaxed);
    }

    /// Tells whether the last leader named this host to claim first.
    pub fn is_named(&self) -> bool {
        self.named.load(Ordering::Relaxed)
    }

    /// Returns the followers that could lead now, the best one first.
    pub fn successors(&self, now: Instant) -> Vec<Candidate> {
        let followers = self.followers.lock().expect(LOCK);
        let order = succession::order(followers.values(), now);
        order.into_iter().cloned().collect()
    }

    /// Forgets the followers of an earlier leadership.
    pub fn forget_followers(&self) {
        self.followers.lock().expect(LOCK).clear();
    }

    /// Takes in a follower's heartbeat.
    pub fn note_follower(&self, now: Instant, beat: &Heartbeat) {
        let candidate = Candidate {
            host: beat.host.clone(),
            addr: beat.addr.clone(),
            strength: beat.strength,
            running_for: beat.running_for,
            store_age: beat.store_age,
            heard: now,
        };
        self.followers.lock().expect(LOCK).insert(beat.host.clone(), candidate);
    }

    /// Hands an invitation to this host's main task, and returns whether this host leads now.
    pub async fn invited(&self, invitation: Invitation) -> bool {
        let (answer, rx) = async_channel::bounded(1);
        if self.invitations.0.try_send(Invited { invitation, answer }).is_err() {
            return false;
        }
        rx.recv().await.unwrap_or(false)
    }

    /// Waits for an invitation.
    pub async fn next_invitation(&self) -> Option<Invited> {
        self.invitations.1.recv().await.ok()
    }
}
