//! Weighted max-min fair shares of a capacity.
//!
//! Each claim is entitled to the smaller of its demand and its weighted share. What a claim leaves
//! unused is divided among the others by their weights, so the whole capacity is given out as long
//! as any claim demands more than it is entitled to.

/// The importance of a claim relative to others; at least 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(u64);

/// The number of steps of priority that differ in weight. Further steps have the smallest weight,
/// which is less than one part in 60,000 of that of priority 0.
const WEIGHTED_PRIORITIES: u32 = 16;

impl Weight {
    /// Returns the weight of work of a priority. Priority 0 has the largest weight, and each step
    /// halves it.
    pub fn of_priority(priority: u32) -> Self {
        Self(1 << WEIGHTED_PRIORITIES.saturating_sub(priority))
    }
}

/// What one class of work asks of a capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Its weight.
    pub weight: Weight,
    /// How much of the capacity it can use.
    pub demand: u64,
}

/// Returns how much of `capacity` each claim is entitled to, in the order of the claims.
///
/// The claims are served in the order of demand per weight. The one that demands least per weight
/// gets the smaller of its demand and its share of what is left, which leaves at least their share
/// to the others. Rounding goes to the claims that are served last.
pub fn max_min(capacity: u64, claims: &[Claim]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (claims[a], claims[b]);
        let per_weight = u128::from(a.demand) * u128::from(b.weight.0);
        let other = u128::from(b.demand) * u128::from(a.weight.0);
        per_weight.cmp(&other).then(a.weight.cmp(&b.weight))
    });
    let mut entitled = vec![0; claims.len()];
    let mut left = capacity;
    let mut weight_left: u128 = claims.iter().map(|claim| u128::from(claim.weight.0)).sum();
    for &at in &order {
        let claim = claims[at];
        let share = u128::from(left) * u128::from(claim.weight.0) / weight_left.max(1);
        entitled[at] = claim.demand.min(u64::try_from(share).unwrap_or(u64::MAX));
        left -= entitled[at];
        weight_left -= u128::from(claim.weight.0);
    }
    // Rounding down may leave a few units over.
    for &at in &order {
        let more = left.min(claims[at].demand - entitled[at]);
        entitled[at] += more;
        left -= more;
    }
    entitled
}
