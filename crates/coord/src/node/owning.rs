//! Determines which partitions this entry claims, releases and hands over, and what each is to run.
//!
//! Each entry computes the same assignment from the entries that it sees alive. The journal decides
//! if their views differ.

use std::collections::BTreeMap;

use gaplock_chart::charts::ownership;
use gaplock_types::{api, ids, wire};

use super::Node;
use crate::action::Action;
use crate::assign;
use crate::context::Context;
use crate::partition::Partition;

impl Node {
    pub(super) fn update_ownership(&mut self, cx: &mut Context) {
        let store_ok = self.store_ok(cx);
        let entries = self.members.eligible_owners(cx.now, &cx.timing, store_ok, self.stopping);
        if entries != self.eligible_entries {
            self.eligible_entries.clone_from(&entries);
            self.eligible_since = cx.now;
        }
        let settled = cx.now.since(self.eligible_since).0 >= cx.timing.member_ttl.0 / 3;
        let wanted = assign::assign_owners(&self.layout, &entries);
        let ids: Vec<ids::PartitionId> = self.partitions.keys().copied().collect();
        for id in ids {
            let want = wanted.get(&id);
            let mine = want == Some(&self.me.entry);
            let owns = self.partitions.get(&id).is_some_and(Partition::owns);
            // Without the store, a release cannot be stored, and meanwhile the owner could not
            // start anything. So it keeps the partition, unless this process stops.
            if owns && !mine && ((settled && store_ok) || self.stopping) {
                self.release(cx, id, want.cloned());
            } else if !owns && mine && store_ok && settled && self.may_claim(cx, id) {
                if let Some(p) = self.partitions.get_mut(&id) {
                    p.begin_claim(cx);
                }
            }
        }
    }

    /// Returns whether this entry may claim a partition that it should own: no living peer owns it,
    /// or the owner has not reached the store for a membership lease.
    pub(super) fn may_claim(&self, cx: &Context, id: ids::PartitionId) -> bool {
        let started = self.started_at.unwrap_or(cx.now);
        if cx.now.since(started) < cx.timing.member_ttl {
            return false;
        }
        match self.members.owner_of(cx.now, &cx.timing, id) {
            None => true,
            // A living owner hands over on its own, unless it does not reach the store.
            Some((entry, _)) => self.members.peers.get(&entry).is_some_and(|p| {
                p.store_unreachable_since
                    .is_some_and(|since| cx.now.since(since) >= cx.timing.member_ttl)
            }),
        }
    }

    pub(super) fn release(
        &mut self,
        cx: &mut Context,
        id: ids::PartitionId,
        to: Option<ids::EntryId>,
    ) {
        if let Some(p) = self.partitions.get_mut(&id) {
            p.release(cx);
            self.pending_handovers.extend(to.map(|to| (id, to)));
        }
    }

    pub(super) fn hand_over_released(&mut self, cx: &mut Context) {
        let partitions = &self.partitions;
        let released = |id: &ids::PartitionId| {
            partitions.get(id).is_some_and(|p| p.ownership_state() == ownership::State::Other)
        };
        let done: Vec<ids::PartitionId> =
            self.pending_handovers.keys().copied().filter(released).collect();
        for id in done {
            if let Some(to) = self.pending_handovers.remove(&id) {
                cx.actions.push(Action::HandOver { to, partition: id });
            }
        }
    }

    pub(super) fn distribute_shares(&mut self, cx: &mut Context) {
        cx.fleet = self.hosts.iter().map(|h| h.capacity).collect();
        cx.fleet_capacity = assign::total_capacity(&self.hosts);
        let shares = assign::shares(&self.layout, &cx.config, &self.hosts);
        let mut by_partition: BTreeMap<ids::PartitionId, Vec<wire::Host>> = BTreeMap::new();
        for host in &self.hosts {
            if let Some(id) = self.layout.partition_of(host) {
                by_partition.entry(id).or_default().push(host.clone());
            }
        }
        for (id, p) in &mut self.partitions {
            let hosts = by_partition.remove(id).unwrap_or_default();
            p.set_hosts(cx, &hosts, shares.get(id).cloned().unwrap_or_default());
        }
    }

    pub(super) fn free_capacity(&self) -> Vec<api::FreeCapacity> {
        let report = |p: &Partition| {
            p.lendable_capacity().map(|free| api::FreeCapacity { partition: p.id, free })
        };
        self.partitions.values().filter_map(report).collect()
    }

    /// Collects the partitions that could take lent tasks, of this entry and of its peers.
    pub(super) fn collect_free_capacity(&mut self, cx: &mut Context) {
        cx.free_capacity =
            self.free_capacity().into_iter().map(|r| (r.partition, r.free)).collect();
        for (entry, peer) in &self.members.peers {
            let heard = self.members.heard(cx.now, &cx.timing, entry);
            let reports = peer.heartbeat.iter().filter(|_| heard).flat_map(|b| b.rooms.iter());
            cx.free_capacity.extend(reports.map(|r| (r.partition, r.free)));
        }
    }
}
