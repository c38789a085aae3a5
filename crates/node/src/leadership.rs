//! Who leads: a key under a lease in the platform's store, taken by compare-and-swap.
//!
//! The lease only says when others may claim. What makes two leaders harmless is the fencing
//! token, which is the revision of the claim, and the condition on every write.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use gaplock_platform::store::{LeaseId, Revision, Store, StoreError, Txn};
use gaplock_policy::attempts::Execution;
use gaplock_sched::claims::{self, LeaderRecord};
use gaplock_sched::commit_writer::CommitId;
use gaplock_types::time::{Instant, Millis};

use crate::keys;
use crate::{records, store_writer};

/// How long the store keeps a leader that does not renew. A shorter lease finds a dead host
/// sooner; a store that answers a hundred times slower than usual must still fit in.
pub const LEASE: Millis = Millis(2_000);

/// How often the leader renews its lease and makes sure of its key.
pub const RENEW_EVERY: Duration = Duration::from_millis(500);

/// How long before the lease could be over a leader without confirmation stops acting.
const LEASE_MARGIN: Millis = Millis(300);

/// How long the word of another host about the store counts.
const PEER_REPORT_MAX_AGE: Millis = Millis(2_000);

/// How much later than to us the store must have answered another host before that host's word
/// ends our leadership: more than the time between two of our own confirmations.
const CONFIRMATION_OVERDUE_AFTER: Millis = Millis(700);

/// A leadership that this process holds.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// Its number.
    pub term: u64,
    /// The revision of the claim; also the fencing token.
    pub revision: Revision,
    /// The lease of the leader's key.
    pub lease: LeaseId,
    /// The mark of the first commit.
    pub mark: CommitId,
}

/// Who holds the leadership.
#[derive(Debug)]
pub enum Holder {
    /// A host, by its claim at this revision.
    Host(LeaderRecord, Revision),
    /// Nobody; it is claimed over what lies there at this revision.
    Nobody(Revision),
}

/// Reads who leads. What lies under no lease is no claim of ours and would never go away by itself; a claim
/// under a lease that cannot be read may be of a newer version, and is waited for.
///
/// # Errors
/// Returns the store's error.
pub async fn current(store: &Store) -> Result<Holder, StoreError> {
    let Some(item) = store.get(keys::LEADER).await? else {
        return Ok(Holder::Nobody(Revision(0)));
    };
    if item.lease.is_none() {
        tracing::warn!(
            event = "record_malformed",
            key = item.key,
            error = "it lies under no lease"
        );
        return Ok(Holder::Nobody(item.revision));
    }
    let record = records::decode(&item).ok_or(StoreError::Unclear)?;
    Ok(Holder::Host(record, item.revision))
}

/// Reads the revision of the claim and, where it is named, the store's at that time.
///
/// # Errors
/// Returns the store's error.
pub async fn revisions(store: &Store) -> Result<Option<(Revision, Option<Revision>)>, StoreError> {
    let found = store.get_at(keys::LEADER).await?;
    Ok(found.map(|(item, at)| (item.revision, at)))
}

/// Claims the leadership over the claim at `seen`, or over none where it is the zero revision.
///
/// # Errors
/// [`StoreError::Conflict`] where another host was faster, or an earlier try of this one; otherwise
/// the store's error. After [`StoreError::Unclear`] the claim may be stored later, under a lease
/// that nobody renews: it is then replaced, or gone with its lease.
pub async fn claim(store: &Store, me: &LeaderRecord, seen: Revision) -> Result<Claim, StoreError> {
    let (lease, last) = futures::join!(
        Box::pin(store.lease(LEASE.as_duration())),
        Box::pin(store.get(keys::COMMITS))
    );
    let (lease, last) = (lease?, last?);
    let commits = last.as_ref().map_or(Revision(0), |item| item.revision);
    let term =
        last.and_then(|item| store_writer::decode_mark(&item.value)).map_or(1, |m| m.term + 1);
    let mark = CommitId { term, number: 0 };
    let record = LeaderRecord { term, lease: lease.0, ..me.clone() };
    let txn = Txn {
        expected: vec![(keys::LEADER.to_string(), seen), (keys::COMMITS.to_string(), commits)],
        set: vec![
            (keys::LEADER.to_string(), store_writer::encode(&record), Some(lease)),
            (keys::COMMITS.to_string(), store_writer::encode(&mark), None),
        ],
        remove: Vec::new(),
    };
    match store.commit(&txn).await {
        Ok(revision) => Ok(Claim { term, revision, lease, mark }),
        Err(StoreError::Unclear) => {
            // No answer to the look leaves the try as open as it was.
            let found = current(store).await.map_err(|_| StoreError::Unclear)?;
            match found {
                Holder::Host(stored, revision)
                    if claims::execution_of_unanswered(&record, &stored) == Execution::Done =>
                {
                    Ok(Claim { term, revision, lease, mark })
                }
                _ => Err(StoreError::Unclear),
            }
        }
        Err(e) => Err(e),
    }
}

/// What a leader knows of its own standing; shared by all its tasks.
#[derive(Debug, Default)]
pub struct LeadershipStatus {
    /// When the last confirmation was asked for, in milliseconds of our clock.
    confirmed: AtomicU64,
    /// When another host last had an answer of the store.
    peer_store_answered_at_ms: AtomicU64,
    /// When another host last called.
    peer_heard_at_ms: AtomicU64,
    lost: AtomicBool,
}

/// Whether a leader may act now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// It may.
    Act,
    /// It may not, but may again once the store confirms it.
    Wait,
    /// It never may again.
    Lost,
}

impl LeadershipStatus {
    /// Builds the standing of a claim that was sent at `sent`.
    pub fn open(sent: Instant) -> Arc<Self> {
        let standing = Self::default();
        standing.confirmed.store(sent.0, Ordering::SeqCst);
        Arc::new(standing)
    }

    /// Takes in that the store confirmed the leadership when asked at `sent`.
    pub fn confirm(&self, sent: Instant) {
        self.confirmed.fetch_max(sent.0, Ordering::SeqCst);
    }

    /// Returns when the last confirmation was asked for.
    pub fn confirmed(&self) -> Instant {
        Instant(self.confirmed.load(Ordering::SeqCst))
    }

    /// Tells whether a confirmation is overdue, so that the word of other hosts about the store is needed.
    pub fn is_confirmation_overdue(&self, now: Instant) -> bool {
        now.since(self.confirmed()) >= CONFIRMATION_OVERDUE_AFTER
    }

    /// Takes in another host's word: how long ago the store last answered it.
    pub fn record_peer_report(&self, now: Instant, store_age: Millis) {
        self.peer_heard_at_ms.fetch_max(now.0, Ordering::SeqCst);
        self.peer_store_answered_at_ms
            .fetch_max(now.0.saturating_sub(store_age.0), Ordering::SeqCst);
    }

    /// Gives the leadership up.
    pub fn lose(&self) {
        self.lost.store(true, Ordering::SeqCst);
    }

    /// Tells whether the leader may act. Without a fresh confirmation it may go on only while
    /// other hosts say that the store does not answer them either: nobody can claim then.
    pub fn authority(&self, now: Instant) -> Authority {
        if self.lost.load(Ordering::SeqCst) {
            return Authority::Lost;
        }
        let confirmed = self.confirmed();
        let unconfirmed = now.since(confirmed);
        if unconfirmed.0 + LEASE_MARGIN.0 < LEASE.0 {
            return Authority::Act;
        }
        let heard = Instant(self.peer_heard_at_ms.load(Ordering::SeqCst));
        let peers_store = Instant(self.peer_store_answered_at_ms.load(Ordering::SeqCst));
        if peers_store > confirmed + CONFIRMATION_OVERDUE_AFTER {
            return Authority::Lost;
        }
        if now.since(heard) < PEER_REPORT_MAX_AGE {
            return Authority::Act;
        }
        Authority::Wait
    }
}
