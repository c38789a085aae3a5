//! Properties of weighted max-min shares.

use gaplock_overload::share::{max_min, Claim, Weight};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, ProptestConfig, Strategy};

fn claims(max_demand: u64) -> impl Strategy<Value = Vec<Claim>> {
    let claim = (0u32..20, 0..=max_demand)
        .prop_map(|(priority, demand)| Claim { weight: Weight::of_priority(priority), demand });
    proptest::collection::vec(claim, 0..8)
}

/// Sorts claims with their entitlements, so that results can be compared whatever the input order.
fn sorted(claims: &[Claim], entitled: &[u64]) -> Vec<(Weight, u64, u64)> {
    let rows = claims.iter().zip(entitled).map(|(claim, &e)| (claim.weight, claim.demand, e));
    let mut rows: Vec<_> = rows.collect();
    rows.sort_unstable();
    rows
}

/// The weight of a priority, as a plain number.
fn weight(claim: &Claim) -> u128 {
    (0..=16).find(|&p| Weight::of_priority(p) == claim.weight).map_or(1, |p| 1 << (16 - p))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against capacity that is left unused while a claim demands it, and against more being
    /// given out than there is.
    #[test]
    fn shares_are_work_conserving(claims in claims(100_000), capacity in 0u64..200_000) {
        let entitled = max_min(capacity, &claims);
        let demand: u64 = claims.iter().map(|claim| claim.demand).sum();
        prop_assert_eq!(entitled.iter().sum::<u64>(), demand.min(capacity));
    }

    /// Guards against a claim that is entitled to less than it would get if all others took their
    /// full share.
    #[test]
    fn no_claim_gets_less_than_its_weighted_share(
        claims in claims(100_000),
        capacity in 0u64..200_000,
    ) {
        let total: u128 = claims.iter().map(weight).sum();
        for (claim, entitled) in claims.iter().zip(max_min(capacity, &claims)) {
            let share = u128::from(capacity) * weight(claim) / total;
            prop_assert!(u128::from(entitled) >= share.min(u128::from(claim.demand)));
            prop_assert!(entitled <= claim.demand);
        }
    }

    /// Guards against an entitlement that depends on the order in which classes are listed.
    #[test]
    fn the_order_of_claims_is_irrelevant(claims in claims(1_000), capacity in 0u64..3_000) {
        let reversed: Vec<Claim> = claims.iter().rev().copied().collect();
        let (one, other) = (max_min(capacity, &claims), max_min(capacity, &reversed));
        prop_assert_eq!(sorted(&claims, &one), sorted(&reversed, &other));
    }

    /// Guards against arithmetic overflow with the largest values.
    #[test]
    fn extreme_values_do_not_overflow(claims in claims(u64::MAX), capacity in any::<u64>()) {
        let entitled = max_min(capacity, &claims);
        let sum: u128 = entitled.iter().map(|&e| u128::from(e)).sum();
        prop_assert!(sum <= u128::from(capacity));
    }
}

/// Guards against a division by zero and against entitlements without capacity.
#[test]
fn nothing_is_given_out_without_capacity() {
    let claim = Claim { weight: Weight::of_priority(0), demand: 5 };
    assert_eq!(max_min(0, &[claim, claim]), [0, 0]);
    assert_eq!(max_min(7, &[]), [0; 0]);
}

/// Guards against weights that do not halve with each step of priority.
#[test]
fn a_step_of_priority_halves_the_share() {
    let claim = |priority| Claim { weight: Weight::of_priority(priority), demand: 100 };
    assert_eq!(max_min(30, &[claim(0), claim(1)]), [20, 10]);
}
