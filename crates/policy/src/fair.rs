//! Shares between partners: weighted dominant resource fairness with quotas, urgent work first.
//!
//! The next task comes from the partner whose dominant share, divided by its weight, is lowest.
//! A flood only lengthens the flooder's own queue, and a cancellation wave only shortens it.

use gaplock_types::{ids, sizes, time};

/// What one partner holds and is allowed to hold within a partition.
#[derive(Debug, Clone, PartialEq)]
pub struct PartnerShare {
    /// The partner.
    pub partner: ids::PartnerId,
    /// What its running tasks hold.
    pub held: sizes::Resources,
    /// The most that they may hold.
    pub quota: sizes::Resources,
    /// Its weight.
    pub weight: u32,
    /// Demand of its first waiting task, and whether that task is urgent.
    pub next: Option<(sizes::Resources, bool)>,
}

/// Work counts as urgent while its partner holds at most this many times its fair part.
const MAX_URGENT_FAIR_SHARES: f64 = 2.0;

/// Returns the index of the partner whose task goes next, or none if nobody's may.
///
/// `total` is the partition's capacity. Among partners with an urgent task the lowest share goes
/// first; only then the others. Work is urgent only while its partner holds at most twice its fair
/// part, so that calling everything urgent gains little.
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

/// Keeps room that comes free for urgent work which found none.
///
/// Without it, smaller ordinary tasks would take every bit that comes free.
#[derive(Debug, Clone, Copy, Default)]
pub struct UrgentHold {
    since: Option<time::Instant>,
}

/// Ordinary work is held back at most this long for one urgent task.
const MAX_HOLD: time::Millis = time::Millis(5_000);
/// After this long, an ordinary task is moved away to make room.
const EVICT_AFTER: time::Millis = time::Millis(300);

impl UrgentHold {
    /// Takes in whether urgent work found no room in this round.
    pub fn record(&mut self, now: time::Instant, urgent_waits: bool) {
        match (urgent_waits, self.since) {
            (false, _) => self.since = None,
            (true, None) => self.since = Some(now),
            (true, Some(_)) => {}
        }
    }

    /// Tells whether ordinary work must wait now.
    pub fn blocks_ordinary_work(&self, now: time::Instant) -> bool {
        self.since.is_none_or(|since| now.since(since) < MAX_HOLD)
    }

    /// Tells whether an ordinary task should be moved away now.
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

/// Returns a partition's part of a partner's quota, by its part of the whole capacity.
///
/// A part smaller than one task would starve the partner here, so the caller passes the smallest
/// waiting demand as `floor`.
pub fn partition_quota(
    quota: &sizes::Resources,
    part: &sizes::Resources,
    whole: &sizes::Resources,
    floor: &sizes::Resources,
) -> sizes::Resources {
    let scale = |quota: u32, part: u32, whole: u32, floor: u32| {
        if whole == 0 {
            return quota.min(floor);
        }
        let scaled = u64::from(quota) * u64::from(part) / u64::from(whole);
        (scaled as u32).max(floor.min(quota))
    };
    sizes::Resources::new(
        scale(quota.cpu.0, part.cpu.0, whole.cpu.0, floor.cpu.0),
        scale(quota.mem.0, part.mem.0, whole.mem.0, floor.mem.0),
        scale(quota.acc, part.acc, whole.acc, floor.acc),
    )
}
