//! Learns how much each batch class interferes with each service, from measurements that arrive
//! late.
//!
//! The model of one service on one worker is
//! `p99 = baseline * (1 + sum over classes of coefficient * share of the processors that the class
//! used)`. There is one coefficient for each pair of a service and a batch class in each load band.
//! Coefficients are fitted by normalized least mean squares, which needs no stored samples. A
//! measurement is matched to what ran when it was taken: [`ExposureHistory`] records what ran, by
//! the worker's clock.

use std::collections::VecDeque;

use gaplock_types::{ids, wire};
use rustc_hash::FxHashMap;

/// The number of load bands.
pub const LOAD_BANDS: usize = 4;
/// Coefficient assumed for a pair that was never measured; high, so that such a pair is placed
/// carefully.
pub const UNKNOWN_COEFFICIENT: f64 = 2.0;
/// Number of measurements after which a pair counts as known.
pub const KNOWN_AFTER_SAMPLES: u32 = 8;

const LEARNING_RATE: f64 = 0.3;
/// The weight of one measurement in the baseline.
const BASELINE_SMOOTHING: f64 = 0.05;
const MAX_COEFFICIENT: f64 = 50.0;
/// How many changes of what ran on a worker are kept.
const MAX_EXPOSURES: usize = 256;

/// A band of a service's request rate relative to its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct LoadBand(pub u8);

impl LoadBand {
    /// Returns the band of a service that uses `load` (0 to 1) of its capacity.
    pub fn of(load: f64) -> Self {
        let band = (load.clamp(0.0, 1.0) * LOAD_BANDS as f64) as usize;
        Self(band.min(LOAD_BANDS - 1) as u8)
    }
}

#[derive(Debug, Clone, Copy)]
struct Coefficient {
    value: f64,
    samples: u32,
}

/// The learned interference of every pair of a service and a batch class.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    pairs: FxHashMap<(ids::ServiceId, ids::BatchClass, LoadBand), Coefficient>,
    baseline_us: FxHashMap<(ids::ServiceId, LoadBand), f64>,
}

/// The share of one worker's processors that each batch class uses.
pub type BatchCpuShares = Vec<(ids::BatchClass, f64)>;

impl InterferenceModel {
    fn coefficient(&self, s: &ids::ServiceId, c: &ids::BatchClass, band: LoadBand) -> Coefficient {
        self.pairs
            .get(&(s.clone(), c.clone(), band))
            .copied()
            .unwrap_or(Coefficient { value: UNKNOWN_COEFFICIENT, samples: 0 })
    }

    /// Returns whether a pair has been measured often enough to trust its coefficient.
    pub fn is_known(
        &self,
        service: &ids::ServiceId,
        class: &ids::BatchClass,
        band: LoadBand,
    ) -> bool {
        self.coefficient(service, class, band).samples >= KNOWN_AFTER_SAMPLES
    }

    /// Predicts the factor by which the 99th percentile of `service` grows beside `shares`.
    pub fn slowdown(
        &self,
        service: &ids::ServiceId,
        shares: &BatchCpuShares,
        band: LoadBand,
    ) -> f64 {
        let interference: f64 = shares
            .iter()
            .map(|(class, share)| self.coefficient(service, class, band).value * share)
            .sum();
        1.0 + interference
    }

    /// Returns the learned 99th percentile of the service without batch, in microseconds.
    pub fn baseline_us(&self, service: &ids::ServiceId, band: LoadBand) -> Option<f64> {
        self.baseline_us.get(&(service.clone(), band)).copied()
    }

    /// Predicts the 99th percentile of `service` beside `shares`, in microseconds.
    pub fn predict_us(
        &self,
        service: &ids::ServiceId,
        shares: &BatchCpuShares,
        band: LoadBand,
    ) -> Option<f64> {
        Some(self.baseline_us(service, band)? * self.slowdown(service, shares, band))
    }

    /// Records that `service` had `p99_us` while `shares` ran beside it.
    pub fn observe(
        &mut self,
        service: &ids::ServiceId,
        shares: &BatchCpuShares,
        band: LoadBand,
        p99_us: f64,
    ) {
        let squared_norm: f64 = shares.iter().map(|(_, share)| share * share).sum();
        let key = (service.clone(), band);
        if squared_norm < 1e-6 {
            let baseline = self.baseline_us.entry(key).or_insert(p99_us);
            *baseline += BASELINE_SMOOTHING * (p99_us - *baseline);
            return;
        }
        // Without a measurement of the service alone, the baseline is this measurement divided by
        // the predicted slowdown, for which unknown pairs count with their assumed coefficient. The
        // estimate thus starts near the real value and moves from there.
        let assumed = p99_us / self.slowdown(service, shares, band);
        let baseline = *self.baseline_us.entry(key).or_insert(assumed);
        let error = p99_us / baseline - self.slowdown(service, shares, band);
        for (class, share) in shares {
            let mut c = self.coefficient(service, class, band);
            c.value += LEARNING_RATE * error * share / squared_norm;
            c.value = c.value.clamp(0.0, MAX_COEFFICIENT);
            c.samples += 1;
            self.pairs.insert((service.clone(), class.clone(), band), c);
        }
    }
}

/// What ran on one worker recently, by the worker's clock.
#[derive(Debug, Default)]
pub struct ExposureHistory {
    past: VecDeque<(wire::WorkerClock, BatchCpuShares)>,
}

impl ExposureHistory {
    /// Records what runs from `at` on.
    pub fn record(&mut self, at: wire::WorkerClock, shares: BatchCpuShares) {
        if self.past.back().is_some_and(|(_, last)| *last == shares) {
            return;
        }
        self.past.push_back((at, shares));
        if self.past.len() > MAX_EXPOSURES {
            self.past.pop_front();
        }
    }

    /// Returns what ran during the whole window that ended at `taken`, or `None` if that changed
    /// within the window or is no longer known: nothing can be learned from such a measurement.
    pub fn during(&self, taken: wire::WorkerClock, window_ms: u64) -> Option<&BatchCpuShares> {
        let begin = wire::WorkerClock(taken.0.saturating_sub(window_ms));
        let at = |clock| self.past.iter().rposition(|(from, _)| *from <= clock);
        let (first, last) = (at(begin)?, at(taken)?);
        (first == last).then(|| &self.past[last].1)
    }
}
