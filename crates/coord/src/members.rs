//! Which entries there are, and which of them live.
//!
//! An entry is alive while it is heard from directly or while its record in the store changes, so
//! neither a cut between two entries nor an outage of the store alone takes an entry's partitions
//! away. Liveness only decides who should claim; safety rests on the journal's fence.

use std::collections::BTreeMap;

use gaplock_types::{api, ids, time};
use serde::{Deserialize, Serialize};

use crate::context::Timing;

/// An entry's record in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The entry's process.
    pub member: ids::Member,
    /// Where its peers reach it.
    pub addr: String,
    /// Its failure domain.
    pub domain: ids::DomainId,
    /// Rises with each refresh.
    pub beat: u64,
}

/// A peer as this entry knows it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its record.
    pub record: MemberRecord,
    /// The record's index in the store.
    pub index: ids::StoreIndex,
    /// When the record was last seen to change.
    pub changed_at: time::Instant,
    /// Its last heartbeat.
    pub beat: Option<api::Heartbeat>,
    /// When that came.
    pub heartbeat_at: time::Instant,
    /// Since when its heartbeats say that it does not reach the store.
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
    /// Builds the view of an entry that knows no other yet.
    pub fn open(me: ids::Member) -> Self {
        Self { me, peers: BTreeMap::new() }
    }

    /// Takes in the records in the store.
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
                beat: None,
                heartbeat_at: time::Instant(0),
                store_unreachable_since: None,
            });
            if peer.index != index {
                peer.changed_at = now;
                peer.index = index;
            }
            if peer.record.member != record.member {
                peer.beat = None;
                peer.store_unreachable_since = None;
            }
            peer.record = record;
        }
    }

    /// Takes in a heartbeat.
    pub fn handle_heartbeat(&mut self, now: time::Instant, beat: api::Heartbeat) {
        let Some(peer) = self.peers.get_mut(&beat.from.entry) else { return };
        peer.store_unreachable_since = match (beat.store_ok, peer.store_unreachable_since) {
            (true, _) => None,
            (false, None) => Some(now),
            (false, since) => since,
        };
        peer.heartbeat_at = now;
        peer.beat = Some(beat);
    }

    /// Tells whether a peer was heard directly within the lease.
    pub fn heard(&self, now: time::Instant, timing: &Timing, entry: &ids::EntryId) -> bool {
        self.peers
            .get(entry)
            .is_some_and(|p| p.beat.is_some() && now.since(p.heartbeat_at) < timing.member_ttl)
    }

    /// Tells whether an entry lives, by its heartbeats or by its record in the store.
    pub fn alive(&self, now: time::Instant, timing: &Timing, entry: &ids::EntryId) -> bool {
        if *entry == self.me.entry || self.heard(now, timing, entry) {
            return true;
        }
        let record_ttl = timing.member_ttl.0 + 2 * timing.member_refresh.0;
        // A peer that has been heard before and fell silent gets no benefit of an old record.
        let Some(peer) = self.peers.get(entry) else { return false };
        let since = now.since(peer.changed_at).0;
        match peer.beat {
            Some(_) => since < timing.member_ttl.0.min(timing.member_refresh.0 * 3 / 2),
            None => since < record_ttl,
        }
    }

    /// Returns the entries that may own partitions, this one among them, in a fixed order.
    ///
    /// `store_ok` tells whether this entry reaches the store; if so, peers that have not reached
    /// it for a whole lease are left out.
    pub fn eligible_owners(
        &self,
        now: time::Instant,
        timing: &Timing,
        store_ok: bool,
        me_stopping: bool,
    ) -> Vec<ids::EntryId> {
        let cut = |p: &Peer| {
            store_ok
                && p.store_unreachable_since
                    .is_some_and(|since| now.since(since) >= timing.member_ttl)
        };
        let stopping = |p: &Peer| p.beat.as_ref().is_some_and(|b| b.stopping);
        let peers = self
            .peers
            .iter()
            .filter(|(entry, p)| self.alive(now, timing, entry) && !cut(p) && !stopping(p))
            .map(|(entry, _)| entry.clone());
        let mut all: Vec<ids::EntryId> = peers.collect();
        if !me_stopping {
            all.push(self.me.entry.clone());
        }
        all.sort();
        all
    }

    /// Tells whether more than half of all known entries, this one included, are heard directly.
    pub fn hears_majority(&self, now: time::Instant, timing: &Timing) -> bool {
        let heard = self.peers.keys().filter(|e| self.heard(now, timing, e)).count() + 1;
        2 * heard > self.peers.len() + 1
    }

    /// Returns the living peer that owns a partition, by the highest epoch that was heard.
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
                let owned = &p.beat.as_ref()?.owned;
                owned.iter().find(|(part, _)| *part == id).map(|(_, e)| (entry.clone(), *e))
            })
            .max_by_key(|(_, epoch)| *epoch)
    }

    /// Returns the records that have not changed for so long that they may be removed.
    pub fn stale(
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
