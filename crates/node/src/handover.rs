//! What this host knows about the next leader.
//!
//! A leader tracks its followers by their heartbeats and names the best one as its successor. A
//! follower records whether it was named, and queues an invitation to lead until its main task
//! handles it. `gaplock_policy::succession` and `gaplock_policy::followers` choose the successor.

use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use gaplock_policy::authority::Contact;
use gaplock_policy::followers::{self, Followers};
use gaplock_policy::succession::{Candidate, LeaderCapacity};
use gaplock_types::time::{Instant, Millis};

use crate::peers::{Heartbeat, Invitation};

/// What this host knows about the next leader.
pub struct Handover {
    /// While this host leads: its followers, by their last heartbeats.
    followers: Mutex<Followers>,
    /// Whether the leader named this host to claim first if the leader is lost.
    named: AtomicBool,
    /// The largest leader capacity of any host that the leader reported; 0 for none.
    best_leader_capacity: AtomicU16,
    /// The pause between heartbeats that the leader last asked for, in milliseconds; 0 for none.
    heartbeat_pause_ms: AtomicU64,
    /// Whether the leader asked this host to check the store.
    check_wanted: AtomicBool,
    /// Whether the leader asked this host to check the store at once.
    check_now: AtomicBool,
    /// The last contact with a leader.
    contact: Mutex<Option<Contact>>,
    /// The term of the leadership that this host followed last.
    followed_term: AtomicU64,
    /// Until when this host lets other hosts claim first, in milliseconds of its clock.
    defer_claims_until_ms: AtomicU64,
    /// The queue of invitations to claim the leadership.
    invitations: (Sender<PendingInvitation>, Receiver<PendingInvitation>),
}

/// An invitation to lead whose sender waits for an answer.
pub struct PendingInvitation {
    /// The invitation that the leader sent.
    pub invitation: Invitation,
    /// The channel for the answer: whether this host leads now.
    pub answer: Sender<bool>,
}

/// How many invitations may wait for the main task. Only one leader can invite at a time, so
/// further invitations are declined at once.
const MAX_PENDING_INVITATIONS: usize = 1;

const LOCK: &str = "no holder of the lock panics";

impl Default for Handover {
    fn default() -> Self {
        Self {
            followers: Mutex::default(),
            named: AtomicBool::new(false),
            best_leader_capacity: AtomicU16::new(0),
            heartbeat_pause_ms: AtomicU64::new(0),
            check_wanted: AtomicBool::new(false),
            check_now: AtomicBool::new(false),
            contact: Mutex::default(),
            followed_term: AtomicU64::new(0),
            defer_claims_until_ms: AtomicU64::new(0),
            invitations: async_channel::bounded(MAX_PENDING_INVITATIONS),
        }
    }
}

impl Handover {
    /// Records whether the leader named this host to claim first.
    pub fn set_named_successor(&self, named: bool) {
        self.named.store(named, Ordering::Relaxed);
    }

    /// Returns whether the last leader named this host to claim first.
    pub fn is_named_successor(&self) -> bool {
        self.named.load(Ordering::Relaxed)
    }

    /// Records the largest leader capacity that the leader knows of.
    pub fn set_best_leader_capacity(&self, capacity: LeaderCapacity) {
        self.best_leader_capacity.store(capacity.0, Ordering::Relaxed);
    }

    /// Returns the largest leader capacity that a leader has reported, if any.
    pub fn best_leader_capacity(&self) -> Option<LeaderCapacity> {
        let capacity = self.best_leader_capacity.load(Ordering::Relaxed);
        (capacity > 0).then_some(LeaderCapacity(capacity))
    }

    /// Records which leadership is followed; returns whether it differs from the previous one.
    pub fn set_followed_term(&self, term: u64) -> bool {
        self.followed_term.swap(term, Ordering::Relaxed) != term
    }

    /// Lets other hosts claim first until the given time.
    pub fn defer_claims(&self, until: Instant) {
        self.defer_claims_until_ms.store(until.0, Ordering::Relaxed);
    }

    /// Returns whether this host lets other hosts claim first.
    pub fn defers_claims(&self, now: Instant) -> bool {
        now.0 < self.defer_claims_until_ms.load(Ordering::Relaxed)
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
    pub fn heartbeat_interval(&self, now: Instant) -> Millis {
        self.followers.lock().expect(LOCK).heartbeat_interval(now)
    }

    /// Returns whether a follower should check now whether the store answers it.
    pub fn should_check_store(&self, now: Instant, beat: &Heartbeat) -> bool {
        let mut followers = self.followers.lock().expect(LOCK);
        followers.should_check_store(now, beat.strength, beat.store_age)
    }

    /// Records whether the leader asked this host to check the store.
    pub fn set_check_wanted(&self, wanted: bool) {
        self.check_wanted.store(wanted, Ordering::Relaxed);
    }

    /// Returns whether the leader asked this host to check the store, and clears the request.
    pub fn take_check_wanted(&self) -> bool {
        self.check_wanted.swap(false, Ordering::Relaxed)
    }

    /// Records whether the leader asked this host to check the store at once.
    pub fn set_check_now(&self, wanted: bool) {
        self.check_now.store(wanted, Ordering::Relaxed);
    }

    /// Returns whether the leader asked this host to check the store at once, and clears the
    /// request.
    pub fn take_check_now(&self) -> bool {
        self.check_now.swap(false, Ordering::Relaxed)
    }

    /// Records a contact with a leader.
    pub fn record_contact(&self, contact: Contact) {
        *self.contact.lock().expect(LOCK) = Some(contact);
    }

    /// Returns the last contact with a leader.
    pub fn contact(&self) -> Option<Contact> {
        *self.contact.lock().expect(LOCK)
    }

    /// Records the pause between heartbeats that the leader asked for.
    pub fn set_heartbeat_pause(&self, pause: Millis) {
        self.heartbeat_pause_ms.store(pause.0, Ordering::Relaxed);
    }

    /// Returns the pause until this host's next heartbeat.
    pub fn heartbeat_pause(&self) -> Millis {
        Millis(self.heartbeat_pause_ms.load(Ordering::Relaxed)).max(followers::HEARTBEAT_INTERVAL)
    }

    /// Forgets the followers of an earlier leadership.
    pub fn forget_followers(&self) {
        self.followers.lock().expect(LOCK).clear();
    }

    /// Records a follower's heartbeat.
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

    /// Passes an invitation to this host's main task; returns whether this host leads now.
    pub async fn handle_invitation(&self, invitation: Invitation) -> bool {
        let (answer, rx) = async_channel::bounded(1);
        if self.invitations.0.try_send(PendingInvitation { invitation, answer }).is_err() {
            return false;
        }
        rx.recv().await.unwrap_or(false)
    }

    /// Waits for the next invitation.
    pub async fn next_invitation(&self) -> Option<PendingInvitation> {
        self.invitations.1.recv().await.ok()
    }
}
