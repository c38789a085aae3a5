//! Whether a leader may act while the store does not confirm its claim, and from when its successor
//! may rely on it having stopped.
//!
//! A leader that the store does not answer cannot tell an outage of the store, in which nobody can
//! claim the leadership, from a partition, in which a host on the other side can. Hosts on its own
//! side see the same in both cases. So it counts a host of another failure domain as evidence of an
//! outage, and the silence of a whole failure domain as evidence of a partition.
//! `docs/design/leadership.md` has the argument and the bounds.

use std::collections::BTreeMap;

use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

/// How long the store keeps the claim of a leader that does not renew its lease. With a shorter
/// lease a dead host is noticed sooner, but renewals must still succeed while the store answers a
/// hundred times slower than usual.
pub const LEASE: Millis = Millis(2_000);

/// How long before the possible end of its lease a leader without confirmation stops acting.
const LEASE_MARGIN: Millis = Millis(300);

/// How long after the last confirmation the next one is overdue: longer than the time between two
/// confirmations. If the store has answered another host later than that, the leader has one more
/// attempt to confirm its claim.
pub const CONFIRMATION_OVERDUE_AFTER: Millis = Millis(700);

/// How long a follower's pledge lasts: it runs from the leader's answer that the heartbeat returns.
/// The follower does not rely on the leader having stopped before it is over.
pub const PLEDGE: Millis = Millis(2_000);

/// A follower belongs to the hosts whose pledges matter if the leader answered it at most this long
/// before the last confirmation.
const KNOWN_FOR: Millis = Millis(6_000);

/// How long after the last confirmation pledges must come with a failed call to the store. Before
/// that, a follower may still wait for the store's answer.
const STORE_FAILURE_DUE_AFTER: Millis = Millis(3_500);

/// How old a follower's last failed call to the store may be; it calls every second or two.
const STORE_FAILURE_MAX_AGE: Millis = Millis(4_000);

/// How long a leader may act without confirmation if all hosts that it knows are in its own failure
/// domain. A successor that knows nothing of it waits as long.
pub const MAX_UNCONFIRMED: Millis = Millis(30_000);

/// What a leader may do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// It may act.
    Act,
    /// It may act, but the silence of a worker does not prove that the leases there are over: a
    /// host that it does not know may lead and have renewed them.
    Hold,
    /// It may not act now, but may again later.
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
    /// The store answers no host that the leader knows, in this failure domain and in others.
    #[display("store_silent")]
    StoreSilent,
    /// The store answers no host that the leader knows, but all of them are in its own domain.
    #[display("own_domain_only")]
    OwnDomainOnly,
    /// The store does not answer, and too many hosts are silent as well.
    #[display("unconfirmed")]
    Unconfirmed,
    /// The claim is gone, or only other hosts are answered by the store.
    #[display("lost")]
    Lost,
}

impl Basis {
    /// Returns what a leader with this basis may do.
    pub fn authority(self) -> Authority {
        match self {
            Self::Confirmed | Self::StoreSilent => Authority::Act,
            Self::OwnDomainOnly => Authority::Hold,
            Self::Unconfirmed => Authority::Wait,
            Self::Lost => Authority::Lost,
        }
    }
}

/// Where a leader's host is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Its failure domain.
    pub domain: ids::DomainId,
    /// Whether the installation has no other failure domain, so that no partition can separate it
    /// from one.
    pub is_only_domain: bool,
}

/// What a follower's heartbeat says, in times of the leader's clock, none of which is too late if it
/// returns an answer of the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The follower's host.
    pub host: ids::EntryId,
    /// Its failure domain.
    pub domain: ids::DomainId,
    /// The address at which it answers other hosts.
    pub addr: String,
    /// When the leader gave the answer that the heartbeat returns; `None` if it returns none of
    /// this leadership.
    pub pledged_at: Option<Instant>,
    /// When the store last answered the follower.
    pub store_answered_at: Instant,
    /// When the follower's last call to the store failed, if none has succeeded since.
    pub store_failed_at: Option<Instant>,
}

/// The last report of a follower, and when it was answered.
#[derive(Debug)]
struct Known {
    report: Report,
    answered_at: Instant,
}

impl Known {
    /// Returns whether the pledge of the follower holds at `now`. Its call to the store must have
    /// failed after `confirmed`, once such a call must have had an outcome.
    fn vouches(&self, confirmed: Instant, now: Instant) -> bool {
        let is_bound = self.report.pledged_at.is_some_and(|at| now.since(at) < PLEDGE);
        let store_failed = self
            .report
            .store_failed_at
            .is_some_and(|at| at >= confirmed && now.since(at) < STORE_FAILURE_MAX_AGE);
        is_bound && (store_failed || now.since(confirmed) < STORE_FAILURE_DUE_AFTER)
    }
}

/// How many hosts of a failure domain matter, and how many of them vouch for the leader.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    known: usize,
    vouching: usize,
}

/// The last reports of a leader's followers.
#[derive(Debug, Default)]
pub struct Reports {
    followers: BTreeMap<ids::EntryId, Known>,
    /// When the store last answered any follower.
    store_answered_at: Instant,
    /// When the leader last heard of something stored by anyone.
    stored_at: Instant,
}

impl Reports {
    /// Records the report in a heartbeat that is answered at `now`. A pledge of an older answer
    /// does not replace that of a newer one. Without a pledge nothing tells for how long the
    /// heartbeat was under way, so its times may be too late.
    pub fn record(&mut self, now: Instant, report: Report) {
        if report.pledged_at.is_some() {
            self.store_answered_at = self.store_answered_at.max(report.store_answered_at);
        }
        let earlier = self.followers.get(&report.host).and_then(|known| known.report.pledged_at);
        let report = Report { pledged_at: report.pledged_at.max(earlier), ..report };
        self.followers.insert(report.host.clone(), Known { report, answered_at: now });
    }

    /// Records at `now` that the store has answered the leader's host, or that the leader has heard of
    /// something that was stored. If the claim is not confirmed, the outage may be over, and another
    /// host may have claimed.
    pub fn record_store_answer(&mut self, now: Instant) {
        self.stored_at = now;
    }

    /// Forgets a follower whose process has ended. A process that starts there later knows nothing
    /// of this leadership.
    pub fn forget(&mut self, host: &ids::EntryId) {
        self.followers.remove(host);
    }

    /// Returns whether the store has answered a follower while a confirmation of the leader was
    /// overdue. Unless the store confirms the claim at the next attempt, the leadership is over.
    pub fn is_contradicted(&self, confirmed: Instant) -> bool {
        self.store_answered_at > confirmed + CONFIRMATION_OVERDUE_AFTER
    }

    /// Returns the hosts that matter and do not vouch for the leader, with their addresses.
    pub fn silent(&self, confirmed: Instant, now: Instant) -> Vec<(ids::EntryId, String)> {
        let silent = self.known(confirmed).filter(|known| !known.vouches(confirmed, now));
        silent.map(|known| (known.report.host.clone(), known.report.addr.clone())).collect()
    }

    /// Returns what the authority of a leader rests on whose claim was last confirmed at
    /// `confirmed`.
    pub fn basis(&self, place: &Place, confirmed: Instant, now: Instant) -> Basis {
        if is_confirmed(confirmed, now) {
            return Basis::Confirmed;
        }
        let unconfirmed = now.since(confirmed);
        if self.is_contradicted(confirmed) || !is_confirmed(confirmed, self.stored_at) {
            return Basis::Unconfirmed;
        }
        let mut domains: BTreeMap<&ids::DomainId, Count> = BTreeMap::new();
        for known in self.known(confirmed) {
            let count = domains.entry(&known.report.domain).or_default();
            count.known += 1;
            count.vouching += usize::from(known.vouches(confirmed, now));
        }
        // A partition separates whole failure domains. Single hosts may be down or suspended.
        let all_heard = domains.values().all(|count| 2 * count.vouching >= count.known);
        if domains.is_empty() || !all_heard {
            return Basis::Unconfirmed;
        }
        if place.is_only_domain || domains.keys().any(|domain| **domain != place.domain) {
            Basis::StoreSilent
        } else if unconfirmed < MAX_UNCONFIRMED {
            Basis::OwnDomainOnly
        } else {
            Basis::Unconfirmed
        }
    }

    /// Returns the followers that matter: those that the leader answered shortly before the store
    /// last confirmed its claim, or later.
    fn known(&self, confirmed: Instant) -> impl Iterator<Item = &Known> {
        self.followers.values().filter(move |known| known.answered_at + KNOWN_FOR >= confirmed)
    }
}

/// Returns whether a confirmation that was asked for at `confirmed` still suffices.
pub fn is_confirmed(confirmed: Instant, now: Instant) -> bool {
    now.since(confirmed).0 + LEASE_MARGIN.0 < LEASE.0
}

/// A host's last contact with a leader that it followed, in times of its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// The number of the leadership.
    pub term: u64,
    /// When the host sent the heartbeat.
    pub sent_at: Instant,
    /// When the leader's answer came.
    pub answered_at: Instant,
    /// The reading of the leader's clock in that answer.
    pub leader_clock: Instant,
}

/// Returns by when the leader of the term `former` has certainly stopped acting, for a successor
/// that sent its claim at `claimed` and had this last contact with a leader. Returns `None` if the
/// former leader may not know the successor, so that it may not miss its heartbeats.
pub fn stopped_by(claimed: Instant, former: u64, contact: Option<Contact>) -> Option<Instant> {
    let contact = contact.filter(|contact| contact.term == former)?;
    let is_known = claimed.since(contact.sent_at) < KNOWN_FOR;
    is_known.then(|| claimed.max(contact.answered_at + PLEDGE))
}

/// Returns by when any former leader has stopped acting that a successor knows nothing of.
pub fn stopped_unseen_by(claimed: Instant) -> Instant {
    claimed + MAX_UNCONFIRMED
}
