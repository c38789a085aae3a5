//! The known entries, and which of them are alive.
//!
//! An entry is alive while its heartbeats arrive or while its record in the store changes. So an
//! entry keeps its partitions through a network partition between two entries, and through an
//! outage of the store alone. Liveness only determines who should claim a partition; safety depends
//! on the journal's fencing.

use std::collections::BTreeMap;

use gaplock_types::{api, ids, time};
use serde::{Deserialize, Serialize};

use crate::context::Timing;

/// An entry's membership record in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The entry and the incarnation of its process.
    pub member: ids::Member,
    /// The address at which its peers reach it.
    pub addr: String,
    /// Its failure domain.
    pub domain: ids::DomainId,
    /// A counter that increases with each refresh of the record.
    pub beat: u64,
}

/// A peer as this entry knows it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its record in the store.
    pub record: MemberRecord,
    /// The modification index of the record.
    pub index: ids::StoreIndex,
    /// When this entry last saw the record change.
    pub changed_at: time::Instant,
    /// Its last heartbeat.
    pub heartbeat: Option<api::Heartbeat>,
    /// When the last heartbeat arrived.
    pub heartbeat_at: time::Instant,
    /// Since when its heartbeats report that it cannot reach the store.
    pub store_unreachable_since: Option<time::Instant>,
}

/// Every known entry besides this one.
#[derive(Debug)]
pub struct Members {
    me: ids::Member,
    /// The peers by name.
    pub peers: BTreeMap<ids::EntryId, Peer>,
}

impl Members {
    /// Builds the view of an entry that knows no peers yet.
    pub fn open(me: ids::Member) -> Self {
        Self { me, peers: BTreeMap::new() }
    }

    /// Updates the peers from the records in the store.
    pub fn update_records(
        &mut self,
        now: time::Instant,
        records: Vec<(MemberRecord, ids::StoreIndex)>,
    ) {
        self.peers.retain(|entry, _| records.iter().any(|(r, _)| r.member.entry == *entry));
        for (record, index) in records {
            if record.member.entry == self.me.entry {
                continue;
            }
            let entry = record.member.entry.clone();
            let peer = self.peers.entry(entry).or_insert_with(|| Peer {
                record: record.clone(),
                index,
                changed_at: now,
                heartbeat: None,
                heartbeat_at: time::Instant(0),
                store_unreachable_since: None,
            });
            if peer.index != index {
                peer.changed_at = now;
                peer.index = index;
            }
            if peer.record.member != record.member {
                peer.heartbeat = None;
                peer.store_unreachable_since = None;
            }
            peer.record = record;
        }
    }

    /// Handles a heartbeat; one of an entry without a record is ignored.
    pub fn handle_heartbeat(&mut self, now: time::Instant, beat: api::Heartbeat) {
        let Some(peer) = self.peers.get_mut(&beat.from.entry) else { return };
        peer.store_unreachable_since = match (beat.store_ok, peer.store_unreachable_since) {
            (true, _) => None,
            (false, None) => Some(now),
            (false, since) => since,
        };
        peer.heartbeat_at = now;
        peer.heartbeat = Some(beat);
    }

    /// Returns whether a heartbeat of a peer arrived within the membership lease.
    pub fn heard(&self, now: time::Instant, timing: &Timing, entry: &ids::EntryId) -> bool {
        self.peers
            .get(entry)
            .is_some_and(|p| p.heartbeat.is_some() && now.since(p.heartbeat_at) < timing.member_ttl)
    }

    /// Returns whether an entry is alive, by its heartbeats or by its record in the store.
    pub fn alive(&self, now: time::Instant, timing: &Timing, entry: &ids::EntryId) -> bool {
        if *entry == self.me.entry || self.heard(now, timing, entry) {
            return true;
        }
        let record_ttl = timing.member_ttl.0 + 2 * timing.member_refresh.0;
        // A peer that sent heartbeats before and stopped must have a recently changed record: the
        // longer limit is only for peers that have sent none yet.
        let Some(peer) = self.peers.get(entry) else { return false };
        let since = now.since(peer.changed_at).0;
        match peer.heartbeat {
            Some(_) => since < timing.member_ttl.0.min(timing.member_refresh.0 * 3 / 2),
            None => since < record_ttl,
        }
    }

    /// Returns the entries that may own partitions, this one among them, in a fixed order.
    ///
    /// `store_ok` says whether this entry reaches the store. If it does, peers that have not
    /// reached the store for a whole membership lease are left out.
    pub fn eligible_owners(
        &self,
        now: time::Instant,
        timing: &Timing,
        store_ok: bool,
        me_stopping: bool,
    ) -> Vec<ids::EntryId> {
        let without_store = |p: &Peer| {
            store_ok
                && p.store_unreachable_since
                    .is_some_and(|since| now.since(since) >= timing.member_ttl)
        };
        let stopping = |p: &Peer| p.heartbeat.as_ref().is_some_and(|b| b.stopping);
        let peers = self
            .peers
            .iter()
            .filter(|(entry, p)| {
                self.alive(now, timing, entry) && !without_store(p) && !stopping(p)
            })
            .map(|(entry, _)| entry.clone());
        let mut all: Vec<ids::EntryId> = peers.collect();
        if !me_stopping {
            all.push(self.me.entry.clone());
        }
        all.sort();
        all
    }

    /// Returns whether heartbeats arrive from more than half of all known entries. This entry
    /// itself counts as heard.
    pub fn hears_majority(&self, now: time::Instant, timing: &Timing) -> bool {
        let heard = self.peers.keys().filter(|e| self.heard(now, timing, e)).count() + 1;
        2 * heard > self.peers.len() + 1
    }

    /// Returns the peer that owns a partition, by its heartbeats. If several report that they own
    /// it, the one with the highest epoch is returned.
    pub fn owner_of(
        &self,
        now: time::Instant,
        timing: &Timing,
        id: ids::PartitionId,
    ) -> Option<(ids::EntryId, ids::Epoch)> {
        self.peers
            .iter()
            .filter(|(entry, _)| self.heard(now, timing, entry))
            .filter_map(|(entry, p)| {
                let owned = &p.heartbeat.as_ref()?.owned;
                owned.iter().find(|(part, _)| *part == id).map(|(_, e)| (entry.clone(), *e))
            })
            .max_by_key(|(_, epoch)| *epoch)
    }

    /// Returns the records that may be removed, because they have not changed for ten membership
    /// leases and no heartbeat of their entry arrives.
    pub fn stale_records(
        &self,
        now: time::Instant,
        timing: &Timing,
    ) -> Vec<(ids::EntryId, ids::StoreIndex)> {
        let limit = timing.member_ttl.0 * 10;
        self.peers
            .iter()
            .filter(|(entry, p)| {
                now.since(p.changed_at).0 >= limit && !self.heard(now, timing, entry)
            })
            .map(|(entry, p)| (entry.clone(), p.index))
            .collect()
    }
}
