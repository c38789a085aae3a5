//! The leadership: a key under a lease in the platform's store, claimed by compare-and-swap.
//!
//! The lease only determines when other hosts may claim. Two leaders at one time do no harm because
//! of the fencing token, which is the revision of the claim, and the conditions on every write.

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

/// How long the store keeps the claim of a leader that does not renew its lease. With a shorter
/// lease a dead host is noticed sooner, but renewals must still succeed while the store answers a
/// hundred times slower than usual.
pub const LEASE: Millis = Millis(2_000);

/// How often the leader renews its lease and confirms its claim.
pub const RENEW_EVERY: Duration = Duration::from_millis(500);

/// How long before the possible end of its lease a leader without confirmation stops acting.
const LEASE_MARGIN: Millis = Millis(300);

/// How long another host's report about the store counts.
const PEER_REPORT_MAX_AGE: Millis = Millis(2_000);

/// How long after the last confirmation the next one is overdue: longer than the time between two
/// confirmations. If the store has answered another host later than that, the report of that host
/// ends the leadership.
const CONFIRMATION_OVERDUE_AFTER: Millis = Millis(700);

/// A leadership that this process holds.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// The number of the leadership.
    pub term: u64,
    /// The revision of the claim; also the fencing token.
    pub revision: Revision,
    /// The lease of the leader's key.
    pub lease: LeaseId,
    /// The ID that the claim has stored as that of its first commit.
    pub commit_id: CommitId,
}

/// Who holds the leadership.
#[derive(Debug)]
pub enum Holder {
    /// A host holds it, by its claim at this revision.
    Host(LeaderRecord, Revision),
    /// Nobody holds it; a claim replaces the value at this revision.
    Nobody(Revision),
}

/// Reads which host leads. A value without a lease was not written by a claim and would never
/// expire, so it counts as no claim. A claim under a lease that cannot be decoded may come from a
/// newer version; it counts as an error, so that hosts wait until it expires.
///
/// # Errors
/// Returns the store's error.
pub async fn current_holder(store: &Store) -> Result<Holder, StoreError> {
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

/// Reads the revision of the claim and, if the store reports it, the store's own revision at that
/// time.
///
/// # Errors
/// Returns the store's error.
pub async fn revisions(store: &Store) -> Result<Option<(Revision, Option<Revision>)>, StoreError> {
    let found = store.get_at(keys::LEADER).await?;
    Ok(found.map(|(item, at)| (item.revision, at)))
}

/// Claims the leadership in place of the claim at `seen`; revision zero means that there is no
/// claim.
///
/// # Errors
/// [`StoreError::Conflict`] if another host, or an earlier attempt of this one, claimed first;
/// otherwise the store's error. After [`StoreError::Unclear`] the claim may be stored later, under
/// a lease that nobody renews: it is then replaced, or expires with its lease.
pub async fn claim(
    store: &Store,
    own_record: &LeaderRecord,
    seen: Revision,
) -> Result<Claim, StoreError> {
    let (lease, last) = futures::join!(
        Box::pin(store.grant_lease(LEASE.as_duration())),
        Box::pin(store.get(keys::COMMITS))
    );
    let (lease, last) = (lease?, last?);
    let commits = last.as_ref().map_or(Revision(0), |item| item.revision);
    let term =
        last.and_then(|item| store_writer::decode_commit_id(&item.value)).map_or(1, |m| m.term + 1);
    let commit_id = CommitId { term, number: 0 };
    let record = LeaderRecord { term, lease: lease.0, ..own_record.clone() };
    let txn = Txn {
        expected: vec![(keys::LEADER.to_string(), seen), (keys::COMMITS.to_string(), commits)],
        set: vec![
            (keys::LEADER.to_string(), store_writer::encode(&record), Some(lease)),
            (keys::COMMITS.to_string(), store_writer::encode(&commit_id), None),
        ],
        remove: Vec::new(),
    };
    match store.commit(&txn).await {
        Ok(revision) => Ok(Claim { term, revision, lease, commit_id }),
        Err(StoreError::Unclear) => {
            // If this read gets no answer either, the outcome of the claim stays unknown.
            let found = current_holder(store).await.map_err(|_| StoreError::Unclear)?;
            match found {
                Holder::Host(stored, revision)
                    if claims::execution_of_unanswered(&record, &stored) == Execution::Done =>
                {
                    Ok(Claim { term, revision, lease, commit_id })
                }
                _ => Err(StoreError::Unclear),
            }
        }
        Err(e) => Err(e),
    }
}

/// What a leader knows about its own leadership; shared by all its tasks.
#[derive(Debug, Default)]
pub struct LeadershipStatus {
    /// When the last successful confirmation was sent, in milliseconds of this host's clock.
    confirmed_at_ms: AtomicU64,
    /// When the store last answered another host, in milliseconds of this host's clock.
    peer_store_answered_at_ms: AtomicU64,
    /// When another host last sent a heartbeat, in milliseconds of this host's clock.
    peer_heard_at_ms: AtomicU64,
    lost: AtomicBool,
}

/// Whether a leader may act now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// It may act.
    Act,
    /// It may not act now, but may again once the store confirms its claim.
    Wait,
    /// It may never act again.
    Lost,
}

/// What a leader's authority rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Basis {
    /// The store confirmed the claim recently.
    #[display("confirmed")]
    Confirmed,
    /// The store does not answer this host, and other hosts report the same.
    #[display("store_silent")]
    StoreSilent,
    /// Neither the store nor enough other hosts are heard.
    #[display("unconfirmed")]
    Unconfirmed,
    /// Another host reached the store, or the claim is gone.
    #[display("lost")]
    Lost,
}

impl Basis {
    /// Returns what a leader with this basis may do.
    pub fn authority(self) -> Authority {
        match self {
            Self::Confirmed | Self::StoreSilent => Authority::Act,
            Self::Unconfirmed => Authority::Wait,
            Self::Lost => Authority::Lost,
        }
    }
}

impl LeadershipStatus {
    /// Builds the status of a claim that was sent at `sent`.
    pub fn of_claim_sent_at(sent: Instant) -> Arc<Self> {
        let status = Self::default();
        status.confirmed_at_ms.store(sent.0, Ordering::SeqCst);
        Arc::new(status)
    }

    /// Records that the store confirmed the leadership in answer to a call sent at `sent`.
    pub fn record_confirmation(&self, sent: Instant) {
        self.confirmed_at_ms.fetch_max(sent.0, Ordering::SeqCst);
    }

    /// Returns when the last successful confirmation was sent.
    pub fn confirmed_at(&self) -> Instant {
        Instant(self.confirmed_at_ms.load(Ordering::SeqCst))
    }

    /// Returns whether a confirmation is overdue, so that reports of other hosts about the store
    /// are needed.
    pub fn is_confirmation_overdue(&self, now: Instant) -> bool {
        now.since(self.confirmed_at()) >= CONFIRMATION_OVERDUE_AFTER
    }

    /// Records another host's report of how long ago the store last answered it.
    pub fn record_peer_report(&self, now: Instant, store_age: Millis) {
        self.peer_heard_at_ms.fetch_max(now.0, Ordering::SeqCst);
        self.peer_store_answered_at_ms
            .fetch_max(now.0.saturating_sub(store_age.0), Ordering::SeqCst);
    }

    /// Marks the leadership as lost, for good.
    pub fn lose(&self) {
        self.lost.store(true, Ordering::SeqCst);
    }

    /// Returns whether the leader may act.
    pub fn authority(&self, now: Instant) -> Authority {
        self.basis(now).authority()
    }

    /// Returns how long ago another host was last heard.
    pub fn peer_silence(&self, now: Instant) -> Millis {
        now.since(Instant(self.peer_heard_at_ms.load(Ordering::SeqCst)))
    }

    /// Returns what the leader's authority rests on. Without a recent confirmation it may continue
    /// only while other hosts report that the store does not answer them either: no host can claim
    /// then.
    pub fn basis(&self, now: Instant) -> Basis {
        if self.lost.load(Ordering::SeqCst) {
            return Basis::Lost;
        }
        let confirmed = self.confirmed_at();
        let unconfirmed = now.since(confirmed);
        if unconfirmed.0 + LEASE_MARGIN.0 < LEASE.0 {
            return Basis::Confirmed;
        }
        let store_answered_peer = Instant(self.peer_store_answered_at_ms.load(Ordering::SeqCst));
        if store_answered_peer > confirmed + CONFIRMATION_OVERDUE_AFTER {
            return Basis::Lost;
        }
        if self.peer_silence(now) < PEER_REPORT_MAX_AGE {
            return Basis::StoreSilent;
        }
        Basis::Unconfirmed
    }
}
