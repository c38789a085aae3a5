//! Shares capacity between partners: weighted dominant resource fairness with quotas, urgent work
//! first.
//!
//! The next task comes from the partner whose dominant share, divided by its weight, is lowest.
//! A partner that submits a flood of jobs only lengthens its own queue, and one that cancels many
//! jobs only shortens it.

use gaplock_types::{ids, sizes, time};

/// The resource use of one partner within a partition, and its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct PartnerShare {
    /// The partner.
    pub partner: ids::PartnerId,
    /// The resources that its running tasks hold.
    pub held: sizes::Resources,
    /// The maximum resources that its running tasks may hold.
    pub quota: sizes::Resources,
    /// Its weight relative to the other partners.
    pub weight: u32,
    /// Demand of its first waiting task, and whether that task is urgent.
    pub next: Option<(sizes::Resources, bool)>,
}

/// Work counts as urgent only while its partner holds at most this many times its fair share.
const MAX_URGENT_FAIR_SHARES: f64 = 2.0;

/// Returns the index of the partner whose task is placed next, or `None` if no partner has a
/// waiting task that its quota allows.
///
/// `total` is the partition's capacity. Partners with an urgent task come first, the one with the
/// lowest share before the others; then come all other partners. Work counts as urgent only while
/// its partner holds at most twice its fair share, so that a partner gains little by marking all
/// its work as urgent.
pub fn next_partner(shares: &[PartnerShare], total: &sizes::Resources) -> Option<usize> {
    let weights: f64 = shares.iter().map(|s| f64::from(s.weight.max(1))).sum();
    let rank = |share: &PartnerShare| {
        let (_, urgent) = share.next?;
        let weighted = share.held.dominant_share(total) / f64::from(share.weight.max(1));
        let goes_first = urgent && weighted <= MAX_URGENT_FAIR_SHARES / weights;
        Some((!goes_first, weighted))
    };
    shares
        .iter()
        .enumerate()
        .filter(|(_, share)| within_quota(share))
        .filter_map(|(i, share)| rank(share).map(|r| (r, i)))
        .min_by(|(a, i), (b, j)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(i.cmp(j)))
        .map(|(_, i)| i)
}

/// Holds capacity that becomes free for an urgent task that did not fit anywhere.
///
/// Without the hold, smaller ordinary tasks would take all capacity as soon as it becomes free.
#[derive(Debug, Clone, Copy, Default)]
pub struct UrgentHold {
    since: Option<time::Instant>,
}

/// Ordinary work waits at most this long for one urgent task.
const MAX_HOLD: time::Millis = time::Millis(5_000);
/// Once an urgent task has waited this long, an ordinary task is evicted to free capacity.
const EVICT_AFTER: time::Millis = time::Millis(300);

impl UrgentHold {
    /// Records whether an urgent task found no free capacity in this scheduling round.
    pub fn record(&mut self, now: time::Instant, urgent_waits: bool) {
        match (urgent_waits, self.since) {
            (false, _) => self.since = None,
            (true, None) => self.since = Some(now),
            (true, Some(_)) => {}
        }
    }

    /// Returns whether ordinary work must wait in a round in which an urgent task found no free
    /// capacity.
    pub fn blocks_ordinary_work(&self, now: time::Instant) -> bool {
        self.since.is_none_or(|since| now.since(since) < MAX_HOLD)
    }

    /// Returns whether an ordinary task should be evicted now.
    pub fn should_evict(&self, now: time::Instant) -> bool {
        self.since.is_some_and(|since| now.since(since) >= EVICT_AFTER)
    }
}

fn within_quota(share: &PartnerShare) -> bool {
    match share.next {
        Some((demand, _)) => share.quota.holds(&share.held.plus(&demand)),
        None => false,
    }
}

/// Returns the part of a partner's quota that applies in one partition, in proportion to the
/// partition's part of the whole capacity.
///
/// A part smaller than one task would starve the partner in this partition, so the caller passes
/// the smallest waiting demand as `min_demand`.
pub fn partition_quota(
    quota: &sizes::Resources,
    part: &sizes::Resources,
    whole: &sizes::Resources,
    min_demand: &sizes::Resources,
) -> sizes::Resources {
    let scale = |quota: u32, part: u32, whole: u32, min_demand: u32| {
        if whole == 0 {
            return quota.min(min_demand);
        }
        let scaled = u64::from(quota) * u64::from(part) / u64::from(whole);
        (scaled as u32).max(min_demand.min(quota))
    };
    sizes::Resources::new(
        scale(quota.cpu.0, part.cpu.0, whole.cpu.0, min_demand.cpu.0),
        scale(quota.mem.0, part.mem.0, whole.mem.0, min_demand.mem.0),
        scale(quota.acc, part.acc, whole.acc, min_demand.acc),
    )
}
