//! Learns how much each batch class disturbs each service, from measurements that come late.
//!
//! The model of one service on one worker is `p99 = alone * (1 + sum over classes of coefficient *
//! share of the processors that the class took)`. Coefficients belong to a pair and a load band.
//! They are fitted by normalised least mean squares, which needs no stored samples. A measurement
//! is matched to what ran when it was taken: [`ExposureHistory`] keeps what ran, by the worker's clock.

use std::collections::VecDeque;

use gaplock_types::{ids, wire};
use rustc_hash::FxHashMap;

/// How many load bands are told apart.
pub const LOAD_BANDS: usize = 4;
/// Coefficient assumed for a pair that was never measured; high, so that it is tried carefully.
pub const UNKNOWN_COEFFICIENT: f64 = 2.0;
/// Measurements after which a pair counts as known.
pub const KNOWN_AFTER_SAMPLES: u32 = 8;

const LEARNING_RATE: f64 = 0.3;
const BASELINE_SMOOTHING: f64 = 0.05;
const MAX_COEFFICIENT: f64 = 50.0;
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

/// The learnt disturbance of every pair.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    pairs: FxHashMap<(ids::ServiceId, ids::BatchClass, LoadBand), Coefficient>,
    baseline_us: FxHashMap<(ids::ServiceId, LoadBand), f64>,
}

/// The processors' share that each batch class takes on one worker.
pub type BatchCpuShares = Vec<(ids::BatchClass, f64)>;

impl InterferenceModel {
    fn coefficient(&self, s: &ids::ServiceId, c: &ids::BatchClass, band: LoadBand) -> Coefficient {
        self.pairs
            .get(&(s.clone(), c.clone(), band))
            .copied()
            .unwrap_or(Coefficient { value: UNKNOWN_COEFFICIENT, samples: 0 })
    }

    /// Tells whether a pair has been measured often enough to trust its coefficient.
    pub fn is_known(
        &self,
        service: &ids::ServiceId,
        class: &ids::BatchClass,
        band: LoadBand,
    ) -> bool {
        self.coefficient(service, class, band).samples >= KNOWN_AFTER_SAMPLES
    }

    /// Predicts by which factor the 99th percentile of `service` grows beside `shares`.
    pub fn slowdown(
        &self,
        service: &ids::ServiceId,
        shares: &BatchCpuShares,
        band: LoadBand,
    ) -> f64 {
        let disturbance: f64 = shares
            .iter()
            .map(|(class, share)| self.coefficient(service, class, band).value * share)
            .sum();
        1.0 + disturbance
    }

    /// Returns the learnt 99th percentile of the service alone, in microseconds.
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

    /// Takes in that `service` had `p99_us` while `shares` ran beside it.
    pub fn observe(
        &mut self,
        service: &ids::ServiceId,
        shares: &BatchCpuShares,
        band: LoadBand,
        p99_us: f64,
    ) {
        let power: f64 = shares.iter().map(|(_, share)| share * share).sum();
        let alone_key = (service.clone(), band);
        if power < 1e-6 {
            let alone = self.baseline_us.entry(alone_key).or_insert(p99_us);
            *alone += BASELINE_SMOOTHING * (p99_us - *alone);
            return;
        }
        // Without a reading of the service alone, the first one stands in, less the unknown pair's
        // assumed share, so that the estimate starts near and moves from there.
        let assumed = p99_us / self.slowdown(service, shares, band);
        let alone = *self.baseline_us.entry(alone_key).or_insert(assumed);
        let error = p99_us / alone - self.slowdown(service, shares, band);
        for (class, share) in shares {
            let mut c = self.coefficient(service, class, band);
            c.value += LEARNING_RATE * error * share / power;
            c.value = c.value.clamp(0.0, MAX_COEFFICIENT);
            c.samples += 1;
            self.pairs.insert((service.clone(), class.clone(), band), c);
        }
    }
}

/// What ran on one worker over the last while, by the worker's clock.
#[derive(Debug, Default)]
pub struct ExposureHistory {
    past: VecDeque<(wire::WorkerClock, BatchCpuShares)>,
}

impl ExposureHistory {
    /// Notes what runs from `at` on.
    pub fn record(&mut self, at: wire::WorkerClock, shares: BatchCpuShares) {
        if self.past.back().is_some_and(|(_, last)| *last == shares) {
            return;
        }
        self.past.push_back((at, shares));
        if self.past.len() > MAX_EXPOSURES {
            self.past.pop_front();
        }
    }

    /// Returns what ran during the whole window that ended at `taken`, or none if that changed
    /// within the window or is no longer known: such a measurement teaches nothing.
    pub fn during(&self, taken: wire::WorkerClock, window_ms: u64) -> Option<&BatchCpuShares> {
        let begin = wire::WorkerClock(taken.0.saturating_sub(window_ms));
        let at = |clock| self.past.iter().rposition(|(from, _)| *from <= clock);
        let (first, last) = (at(begin)?, at(taken)?);
        (first == last).then(|| &self.past[last].1)
    }
}
