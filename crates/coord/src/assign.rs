//! Assigns workers to partitions and partitions to entries.
//!
//! Both are pure functions of what every entry knows, so entries agree without exchanging messages.
//! All workers of a rack are in one partition, so that a single owner sees a fault of the rack.

use std::collections::BTreeMap;

use gaplock_types::{config, ids, sizes, wire};

use crate::context::Shares;

/// The fixed layout of an installation's partitions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// Failure domains in their fixed order; new ones are added at the end.
    pub domains: Vec<ids::DomainId>,
    /// Partitions in each failure domain.
    pub slices: u32,
}

fn mix_bits(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes text to a number that is the same in all processes and versions.
pub fn stable_hash(text: &str) -> u64 {
    let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    mix_bits(text.bytes().fold(0xcbf2_9ce4_8422_2325, fold))
}

impl Layout {
    /// Returns how many partitions there are.
    pub fn count(&self) -> u32 {
        self.domains.len() as u32 * self.slices
    }

    /// Returns all partitions.
    pub fn partitions(&self) -> impl Iterator<Item = ids::PartitionId> {
        (0..self.count()).map(ids::PartitionId)
    }

    /// Returns a host's partition, or none where its failure domain is not part of the layout.
    pub fn partition_of(&self, host: &wire::Host) -> Option<ids::PartitionId> {
        let domain = self.domains.iter().position(|d| *d == host.domain)? as u32;
        let slice = (stable_hash(host.rack.as_str()) % u64::from(self.slices)) as u32;
        Some(ids::PartitionId(domain * self.slices + slice))
    }

    /// Returns the partition that holds a partner's request key.
    pub fn home_of(&self, partner: &ids::PartnerId, key: &ids::RequestKey) -> ids::PartitionId {
        let hash = stable_hash(&format!("{partner}/{key}"));
        ids::PartitionId((hash % u64::from(self.count().max(1))) as u32)
    }
}

/// Assigns each partition to the entry with the highest hash for it (rendezvous hashing), among the
/// entries that do not have their full share yet.
pub fn assign_owners(
    layout: &Layout,
    entries: &[ids::EntryId],
) -> BTreeMap<ids::PartitionId, ids::EntryId> {
    let mut owned = BTreeMap::new();
    if entries.is_empty() {
        return owned;
    }
    let limit = (layout.count() as usize).div_ceil(entries.len());
    let mut counts = vec![0_usize; entries.len()];
    for id in layout.partitions() {
        let weight = |entry: &ids::EntryId| stable_hash(&format!("{entry}#{id}"));
        let best = (0..entries.len())
            .filter(|i| counts[*i] < limit)
            .max_by_key(|i| weight(&entries[*i]))
            .expect("the entries' limits add up to at least the number of partitions");
        counts[best] += 1;
        owned.insert(id, entries[best].clone());
    }
    owned
}

/// Computes what each partition is to run: the replicas of each service, apportioned by the number
/// of usable workers with the largest-remainder method, and the partition's capacity.
pub fn shares(
    layout: &Layout,
    config: &config::Config,
    hosts: &[wire::Host],
) -> BTreeMap<ids::PartitionId, Shares> {
    let mut all: BTreeMap<ids::PartitionId, Shares> = BTreeMap::new();
    for host in hosts {
        if let Some(id) = layout.partition_of(host) {
            let s = all.entry(id).or_default();
            s.capacity = s.capacity.plus(&host.capacity);
        }
    }
    for p in &config.placements {
        let counts = workers_by_partition(layout, p, hosts);
        for s in &p.services {
            for (id, replicas) in apportion(s.replicas, &counts) {
                all.entry(id).or_default().replicas.insert(s.id.clone(), replicas);
            }
        }
    }
    all
}

fn workers_by_partition(
    layout: &Layout,
    p: &config::Placement,
    hosts: &[wire::Host],
) -> BTreeMap<ids::PartitionId, u32> {
    let mut counts = BTreeMap::new();
    let usable = hosts
        .iter()
        .filter(|h| !h.leaving && (p.domains.is_empty() || p.domains.contains(&h.domain)));
    for id in usable.filter_map(|h| layout.partition_of(h)) {
        *counts.entry(id).or_default() += 1;
    }
    counts
}

fn apportion(
    replicas: u32,
    counts: &BTreeMap<ids::PartitionId, u32>,
) -> BTreeMap<ids::PartitionId, u32> {
    let total: u64 = counts.values().map(|c| u64::from(*c)).sum();
    if total == 0 {
        return BTreeMap::new();
    }
    let scaled = |count: u32| u64::from(replicas) * u64::from(count);
    let mut parts: BTreeMap<ids::PartitionId, u32> =
        counts.iter().map(|(id, c)| (*id, (scaled(*c) / total) as u32)).collect();
    let mut left = replicas - parts.values().sum::<u32>();
    let mut by_remainder: Vec<(u64, ids::PartitionId)> =
        counts.iter().map(|(id, c)| (scaled(*c) % total, *id)).collect();
    by_remainder.sort_by_key(|(remainder, id)| (std::cmp::Reverse(*remainder), *id));
    for (_, id) in by_remainder {
        if left == 0 {
            break;
        }
        *parts.entry(id).or_default() += 1;
        left -= 1;
    }
    parts
}

/// Sums capacities.
pub fn total_capacity(hosts: &[wire::Host]) -> sizes::Resources {
    hosts.iter().fold(sizes::Resources::default(), |sum, h| sum.plus(&h.capacity))
}
