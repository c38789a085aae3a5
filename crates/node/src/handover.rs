//! What this host knows of who leads next.
//!
//! A leader keeps its followers by their heartbeats and names the best one; a follower remembers
//! whether that was itself, and holds an invitation to lead until its main task takes it.
//! `gaplock_policy::succession` and `gaplock_policy::followers` make the choice.

use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use gaplock_policy::followers::{self, Followers};
use gaplock_policy::succession::{Candidate, LeaderCapacity};
use gaplock_types::time::{Instant, Millis};

use crate::peers::{Heartbeat, Invitation};

/// What this host knows of who leads next.
pub struct Handover {
    /// While this host leads: the others, by their last heartbeats.
    followers: Mutex<Followers>,
    /// Whether the leader named this host to claim first if the leader is lost.
    named: AtomicBool,
    /// The strength of the strongest host that this one has heard of; 0 for none.
    strongest: AtomicU16,
    /// The pause between heartbeats that the leader asked for last, in milliseconds; 0 for none.
    beat_after: AtomicU64,
    /// Whether the leader asked this host to check the store.
    check_wanted: AtomicBool,
    /// The number of the leadership that this host followed last.
    followed_term: AtomicU64,
    /// Until when this host leaves claims to others, in milliseconds of its clock.
    stands_back: AtomicU64,
    /// Invitations to claim the leadership, each with the way to answer it.
    invitations: (Sender<PendingInvitation>, Receiver<PendingInvitation>),
}

/// An invitation that waits for its answer: whether this host leads now.
pub struct PendingInvitation {
    /// What the leader said.
    pub invitation: Invitation,
    /// Takes the answer.
    pub answer: Sender<bool>,
}

/// How many invitations may wait for the main task; there is one leader to invite, so more are
/// declined at once.
const MAX_PENDING_INVITATIONS: usize = 1;

const LOCK: &str = "no holder of the lock panics";

impl Default for Handover {
    fn default() -> Self {
        Self {
            followers: Mutex::default(),
            named: AtomicBool::new(false),
            strongest: AtomicU16::new(0),
            beat_after: AtomicU64::new(0),
            check_wanted: AtomicBool::new(false),
            followed_term: AtomicU64::new(0),
            stands_back: AtomicU64::new(0),
            invitations: async_channel::bounded(MAX_PENDING_INVITATIONS),
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

    /// Remembers the strength of the strongest host that the leader knows.
    pub fn set_best_leader_capacity(&self, strongest: LeaderCapacity) {
        self.strongest.store(strongest.0, Ordering::Relaxed);
    }

    /// Returns the strength of the strongest host that this one has heard of.
    pub fn strongest(&self) -> Option<LeaderCapacity> {
        let strongest = self.strongest.load(Ordering::Relaxed);
        (strongest > 0).then_some(LeaderCapacity(strongest))
    }

    /// Takes in which leadership is followed; tells whether it is another one than before.
    pub fn set_followed_term(&self, term: u64) -> bool {
        self.followed_term.swap(term, Ordering::Relaxed) != term
    }

    /// Leaves claims to other hosts until then.
    pub fn defer_claims(&self, until: Instant) {
        self.stands_back.store(until.0, Ordering::Relaxed);
    }

    /// Tells whether this host leaves claims to others.
    pub fn stands_back(&self, now: Instant) -> bool {
        now.0 < self.stands_back.load(Ordering::Relaxed)
    }

    /// Returns the followers that could lead now, the best one first.
    pub fn successor_candidates(&self, now: Instant) -> Vec<Candidate> {
        self.followers.lock().expect(LOCK).ranked(now)
    }

    /// Returns the follower that should lead next.
    pub fn successor(&self, now: Instant) -> Option<Candidate> {
        self.followers.lock().expect(LOCK).best(now).cloned()
    }

    /// Returns the pause after which followers are to send their next heartbeat.
    pub fn beat_every(&self, now: Instant) -> Millis {
        self.followers.lock().expect(LOCK).heartbeat_interval(now)
    }

    /// Tells whether a follower should make sure now that the store answers it.
    pub fn should_check(&self, now: Instant, beat: &Heartbeat) -> bool {
        let mut followers = self.followers.lock().expect(LOCK);
        followers.should_check_store(now, beat.strength, beat.store_age)
    }

    /// Remembers whether the leader asked this host to check the store.
    pub fn set_check_wanted(&self, wanted: bool) {
        self.check_wanted.store(wanted, Ordering::Relaxed);
    }

    /// Tells, once, whether the leader asked this host to check the store.
    pub fn take_check_wanted(&self) -> bool {
        self.check_wanted.swap(false, Ordering::Relaxed)
    }

    /// Remembers the pause between heartbeats that the leader asked for.
    pub fn set_beat_after(&self, pause: Millis) {
        self.beat_after.store(pause.0, Ordering::Relaxed);
    }

    /// Returns the pause until this host's next heartbeat.
    pub fn beat_after(&self) -> Millis {
        Millis(self.beat_after.load(Ordering::Relaxed)).max(followers::HEARTBEAT_INTERVAL)
    }

    /// Forgets the followers of an earlier leadership.
    pub fn forget_followers(&self) {
        self.followers.lock().expect(LOCK).clear();
    }

    /// Takes in a follower's heartbeat.
    pub fn record_follower(&self, now: Instant, beat: &Heartbeat) {
        let candidate = Candidate {
            host: beat.host.clone(),
            addr: beat.addr.clone(),
            leader_capacity: beat.strength,
            running_for: beat.running_for,
            store_age: beat.store_age,
            heard_at: now,
        };
        self.followers.lock().expect(LOCK).record(candidate);
    }

    /// Hands an invitation to this host's main task, and returns whether this host leads now.
    pub async fn handle_invitation(&self, invitation: Invitation) -> bool {
        let (answer, rx) = async_channel::bounded(1);
        if self.invitations.0.try_send(PendingInvitation { invitation, answer }).is_err() {
            return false;
        }
        rx.recv().await.unwrap_or(false)
    }

    /// Waits for an invitation.
    pub async fn next_invitation(&self) -> Option<PendingInvitation> {
        self.invitations.1.recv().await.ok()
    }
}
