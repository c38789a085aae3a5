//! The leadership: a key under a lease in the platform's store, claimed by compare-and-swap.
//!
//! The lease only determines when other hosts may claim. `gaplock_policy::authority` decides for
//! how long a leader may act while the store does not confirm its claim.

use std::future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use gaplock_platform::store::{LeaseId, Revision, Store, StoreError, Txn};
use gaplock_policy::attempts::Execution;
use gaplock_policy::authority::{self, Authority, Basis, Contact, Place, Report, Reports};
use gaplock_remote::clock;
use gaplock_sched::claims::{self, Inherited, LeaderRecord};
use gaplock_sched::commit_writer::CommitId;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::keys;
use crate::{records, store_writer};

/// How often the leader renews its lease and confirms its claim.
pub const RENEW_EVERY: Duration = Duration::from_millis(500);

/// How long the basis of an unconfirmed authority is reused; finding it goes over all followers.
const BASIS_MAX_AGE: Millis = Millis(20);

const LOCK: &str = "no holder of the lock panics";

/// A leadership that this process holds.
#[derive(Debug, Clone)]
pub struct Claim {
    /// The number of the leadership.
    pub term: u64,
    /// The revision of the claim; also the fencing token.
    pub revision: Revision,
    /// The lease of the leader's key.
    pub lease: LeaseId,
    /// The ID that the claim has stored as that of its first commit.
    pub commit_id: CommitId,
    /// The claim as it is stored.
    pub record: LeaderRecord,
    /// What is to be allowed for of former leaders.
    pub inherited: Inherited,
}

/// What a host knows of the leader that it replaces when it sends its claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Former {
    /// Its process has ended, or it has given the leadership up.
    Stopped,
    /// Its lease has expired, but it may not know that. This was the last contact with any leader.
    MayAct(Option<Contact>),
}

impl Former {
    /// Returns by when the leader of a term has stopped, as far as a host knows that sends its
    /// claim at `claimed`.
    fn stopped_by(self, claimed: Instant, term: u64) -> Option<Instant> {
        match self {
            Self::Stopped => Some(claimed),
            Self::MayAct(contact) => authority::stopped_by(claimed, term, contact),
        }
    }
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
/// claim. `former` is what is known of the leader before.
///
/// # Errors
/// [`StoreError::Conflict`] if another host, or an earlier attempt of this one, claimed first;
/// otherwise the store's error. After [`StoreError::Unclear`] the claim may be stored later, under
/// a lease that nobody renews: it is then replaced, or expires with its lease.
pub async fn claim(
    store: &Store,
    own_record: &LeaderRecord,
    seen: Revision,
    former: Former,
) -> Result<Claim, StoreError> {
    let claimed = clock::now();
    let (lease, last, last_claim) = futures::join!(
        Box::pin(store.grant_lease(authority::LEASE.as_duration())),
        Box::pin(store.get(keys::COMMITS)),
        Box::pin(store.get(keys::LAST_CLAIM))
    );
    let (lease, last, last_claim) = (lease?, last?, last_claim?);
    let commits = last.as_ref().map_or(Revision(0), |item| item.revision);
    let term =
        last.and_then(|item| store_writer::decode_commit_id(&item.value)).map_or(1, |m| m.term + 1);
    let commit_id = CommitId { term, number: 0 };
    let record = LeaderRecord { term, lease: lease.0, ..own_record.clone() };
    let inherited = if term == 1 {
        Inherited::nothing()
    } else {
        let last_claim = last_claim.as_ref().and_then(records::decode);
        let stopped_by = former.stopped_by(claimed, term - 1);
        claims::inherit(last_claim.as_ref(), &record.host, claimed, stopped_by)
    };
    let last_claim = inherited.last_claim(record.clone(), claimed);
    let claim = |revision| Claim {
        term,
        revision,
        lease,
        commit_id,
        record: record.clone(),
        inherited: inherited.clone(),
    };
    let txn = Txn {
        expected: vec![(keys::LEADER.to_string(), seen), (keys::COMMITS.to_string(), commits)],
        set: vec![
            (keys::LEADER.to_string(), store_writer::encode(&record), Some(lease)),
            (keys::LAST_CLAIM.to_string(), store_writer::encode(&last_claim), None),
            (keys::COMMITS.to_string(), store_writer::encode(&commit_id), None),
        ],
        remove: Vec::new(),
    };
    match store.commit(&txn).await {
        Ok(revision) => Ok(claim(revision)),
        Err(StoreError::Unclear) => {
            // If this read gets no answer either, the outcome of the claim stays unknown.
            let found = current_holder(store).await.map_err(|_| StoreError::Unclear)?;
            match found {
                Holder::Host(stored, revision)
                    if claims::execution_of_unanswered(&record, &stored) == Execution::Done =>
                {
                    Ok(claim(revision))
                }
                _ => Err(StoreError::Unclear),
            }
        }
        Err(e) => Err(e),
    }
}

/// What a leader knows about its own leadership; shared by all its tasks.
#[derive(Debug)]
pub struct LeadershipStatus {
    /// The number of the leadership.
    pub term: u64,
    place: Place,
    /// When the last successful confirmation was sent, in milliseconds of this host's clock.
    confirmed_at_ms: AtomicU64,
    lost: AtomicBool,
    reports: Mutex<Reports>,
    /// The basis that the followers' reports last gave, and when.
    found: Mutex<Option<(Instant, Basis)>>,
    /// The queue of requests to confirm the claim at once.
    confirm_now: (Sender<()>, Receiver<()>),
}

/// Opens the status of a leadership whose claim was sent at `sent`.
pub fn open(term: u64, place: Place, sent: Instant) -> Arc<LeadershipStatus> {
    Arc::new(LeadershipStatus {
        term,
        place,
        confirmed_at_ms: AtomicU64::new(sent.0),
        lost: AtomicBool::new(false),
        reports: Mutex::default(),
        found: Mutex::default(),
        confirm_now: async_channel::bounded(1),
    })
}

impl LeadershipStatus {
    /// Records that the store confirmed the leadership in answer to a call sent at `sent`.
    pub fn record_confirmation(&self, sent: Instant) {
        self.confirmed_at_ms.fetch_max(sent.0, Ordering::SeqCst);
        *self.found.lock().expect(LOCK) = None;
    }

    /// Returns when the last successful confirmation was sent.
    pub fn confirmed_at(&self) -> Instant {
        Instant(self.confirmed_at_ms.load(Ordering::SeqCst))
    }

    /// Returns whether a confirmation is overdue, so that reports of other hosts about the store
    /// are needed.
    pub fn is_confirmation_overdue(&self, now: Instant) -> bool {
        now.since(self.confirmed_at()) >= authority::CONFIRMATION_OVERDUE_AFTER
    }

    /// Returns whether a follower should call the store at once: the confirmation is overdue, and
    /// no call of the follower has failed since the last one.
    pub fn needs_check_of(&self, now: Instant, report: &Report) -> bool {
        self.is_confirmation_overdue(now)
            && report.store_failed_at.is_none_or(|at| at < self.confirmed_at())
    }

    /// Records a follower's report that is answered at `now`.
    pub fn record_report(&self, now: Instant, report: Report) {
        let mut reports = self.reports.lock().expect(LOCK);
        reports.record(now, report);
        let is_confirmed = authority::is_confirmed(self.confirmed_at(), now);
        if !is_confirmed && reports.is_contradicted(self.confirmed_at()) {
            self.request_confirmation();
        }
    }

    /// Records at `now` that the store has answered this host, or that something is known to be
    /// stored. If the claim is not confirmed, this has it confirmed at once; until then the leader
    /// does not act.
    pub fn record_store_answer(&self, now: Instant) {
        if authority::is_confirmed(self.confirmed_at(), now) {
            return;
        }
        self.reports.lock().expect(LOCK).record_store_answer(now);
        *self.found.lock().expect(LOCK) = None;
        self.request_confirmation();
    }

    /// Has the claim confirmed at once.
    fn request_confirmation(&self) {
        // A full queue already holds such a request.
        let _ignored = self.confirm_now.0.try_send(());
    }

    /// Ends the leadership if the store answers other hosts, but not the attempt to confirm the claim
    /// that began at `began`.
    pub fn lose_if_contradicted(&self, began: Instant) {
        let confirmed = self.confirmed_at();
        let is_contradicted = self.reports.lock().expect(LOCK).is_contradicted(confirmed);
        if confirmed < began && is_contradicted && !self.lost.swap(true, Ordering::SeqCst) {
            tracing::warn!(event = "leadership_lost", why = "the store answers only other hosts");
        }
    }

    /// Waits until the claim has to be confirmed at once.
    pub async fn confirmation_wanted(&self) {
        if self.confirm_now.1.recv().await.is_err() {
            future::pending::<()>().await;
        }
    }

    /// Forgets a follower whose process has ended.
    pub fn forget_follower(&self, host: &ids::EntryId) {
        self.reports.lock().expect(LOCK).forget(host);
    }

    /// Returns the followers whose silence keeps the leader from acting without confirmation, with
    /// their addresses.
    pub fn silent_followers(&self, now: Instant) -> Vec<(ids::EntryId, String)> {
        self.reports.lock().expect(LOCK).silent(self.confirmed_at(), now)
    }

    /// Marks the leadership as lost, for good.
    pub fn lose(&self) {
        self.lost.store(true, Ordering::SeqCst);
    }

    /// Returns whether the leader may act.
    pub fn authority(&self, now: Instant) -> Authority {
        self.basis(now).authority()
    }

    /// Returns what the leader's authority rests on.
    pub fn basis(&self, now: Instant) -> Basis {
        if self.lost.load(Ordering::SeqCst) {
            return Basis::Lost;
        }
        if authority::is_confirmed(self.confirmed_at(), now) {
            return Basis::Confirmed;
        }
        let mut found = self.found.lock().expect(LOCK);
        if let Some((at, basis)) = *found {
            if now.since(at) < BASIS_MAX_AGE {
                return basis;
            }
        }
        let reports = self.reports.lock().expect(LOCK);
        let basis = reports.basis(&self.place, self.confirmed_at(), now);
        *found = Some((now, basis));
        basis
    }
}
