//! Draws random values from the distributions that the measurements use.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Draws from the exponential distribution with the given mean.
pub fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    -mean * unit.ln()
}

/// Draws from the standard normal distribution.
pub fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln()).sqrt();
    radius * (rng.random_range(0.0..std::f64::consts::TAU)).cos()
}
