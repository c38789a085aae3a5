//! Turns a service-wide tail latency objective into an allowance for each worker.
//!
//! The objective applies to the 99th percentile over all of a service's requests. Holding every
//! worker to it would waste the margin that fast workers leave. The ceiling on each worker is
//! therefore the objective times an allowance, and the allowance follows the share of all requests
//! that miss the objective. That share is estimated from the median and 99th percentile of each
//! late measurement, assuming a log-normal distribution.

use gaplock_types::time;

/// The target share of requests above a 99th percentile objective: 1 %, less a margin.
const TARGET_MISSED_SHARE: f64 = 0.008;
const MIN_ALLOWANCE: f64 = 0.7;
const MAX_ALLOWANCE: f64 = 1.8;
/// Weight of one measurement in the estimate.
const SMOOTHING: f64 = 0.01;
/// The largest change of the allowance in one adjustment.
const MAX_ALLOWANCE_STEP: f64 = 0.01;
const ADJUST_INTERVAL: time::Millis = time::Millis(1_000);
/// The standard normal distribution's 99th percentile.
const NORMAL_P99: f64 = 2.326;
const MIN_SIGMA: f64 = 0.05;

/// Adjusts the allowance of one service.
#[derive(Debug, Clone)]
pub struct TailController {
    missed_share: f64,
    allowance: f64,
    adjusted_at: time::Instant,
}

impl Default for TailController {
    fn default() -> Self {
        Self { missed_share: TARGET_MISSED_SHARE, allowance: 1.0, adjusted_at: time::Instant(0) }
    }
}

/// Returns the probability that a standard normal value exceeds `z`.
///
/// The approximation is Abramowitz and Stegun's 26.2.17; its error is below one in ten million.
fn normal_tail(z: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.231_641_9 * z.abs());
    let poly = t
        * (0.319_381_53
            + t * (-0.356_563_782
                + t * (1.781_477_937 + t * (-1.821_255_978 + t * 1.330_274_429))));
    let tail = (-z * z / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt() * poly;
    if z >= 0.0 {
        tail
    } else {
        1.0 - tail
    }
}

/// Estimates the share of requests above `objective_us` from a measured median and 99th
/// percentile.
pub fn missed_share(p50_us: f64, p99_us: f64, objective_us: f64) -> f64 {
    if p50_us <= 0.0 || p99_us <= 0.0 {
        return 0.0;
    }
    let sigma = ((p99_us / p50_us).ln() / NORMAL_P99).max(MIN_SIGMA);
    normal_tail((objective_us / p50_us).ln() / sigma)
}

impl TailController {
    /// Returns the factor that turns the objective into the ceiling of each worker.
    pub fn allowance(&self) -> f64 {
        self.allowance
    }

    /// Records one worker's measurement and adjusts the allowance if that is due.
    pub fn observe(&mut self, now: time::Instant, p50_us: f64, p99_us: f64, objective_us: f64) {
        let missed = missed_share(p50_us, p99_us, objective_us);
        self.missed_share += SMOOTHING * (missed - self.missed_share);
        if now.since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let margin =
            ((TARGET_MISSED_SHARE - self.missed_share) / TARGET_MISSED_SHARE).clamp(-1.0, 1.0);
        self.allowance =
            (self.allowance + MAX_ALLOWANCE_STEP * margin).clamp(MIN_ALLOWANCE, MAX_ALLOWANCE);
    }
}
