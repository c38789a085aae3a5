//! How much batch work slows services in the worker model.
//!
//! The scheduler knows none of these assumptions. Each pair of service and batch class has a hidden
//! coefficient between 0.2 and 6. The service time grows by the coefficient times the share of the
//! processors that the class uses. The interference varies by plus or minus half with a period of
//! one minute, with a different phase for each class. `docs/MEASUREMENTS.md` names the sweeps over
//! them.

use gaplock_coord::assign;
use gaplock_types::ids;

/// The smallest and the largest coefficient of a pair.
const MIN_COEFFICIENT: f64 = 0.2;
const MAX_COEFFICIENT: f64 = 6.0;
/// The period with which a class's interference varies.
const VARIATION_PERIOD_MS: u64 = 60_000;
/// The amplitude of that variation, relative to the mean.
const VARIATION_AMPLITUDE: f64 = 0.5;

/// Returns a pair's hidden coefficient, which depends only on `seed` and the two names.
pub fn coefficient(seed: u64, service: &ids::ServiceId, class: &ids::BatchClass) -> f64 {
    let hash = assign::stable_hash(&format!("{seed}/{service}/{class}"));
    let unit = (hash % 10_000) as f64 / 10_000.0;
    MIN_COEFFICIENT * (MAX_COEFFICIENT / MIN_COEFFICIENT).powf(unit)
}

/// Returns the factor by which a class's interference is multiplied at `now_ms`.
pub fn variation(class: &ids::BatchClass, now_ms: u64) -> f64 {
    let phase = assign::stable_hash(class.as_str()) % VARIATION_PERIOD_MS;
    let cycle = ((now_ms + phase) % VARIATION_PERIOD_MS) as f64 / VARIATION_PERIOD_MS as f64;
    1.0 + VARIATION_AMPLITUDE * (cycle * std::f64::consts::TAU).sin()
}

/// Returns the factor by which `service` is slowed by classes that use these processor shares.
pub fn slowdown(
    seed: u64,
    service: &ids::ServiceId,
    shares: &[(ids::BatchClass, f64)],
    now_ms: u64,
) -> f64 {
    let contribution = |(class, share): &(ids::BatchClass, f64)| {
        coefficient(seed, service, class) * variation(class, now_ms) * share
    };
    1.0 + shares.iter().map(contribution).sum::<f64>()
}
