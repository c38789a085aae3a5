//! Learns how much each batch class disturbs each service, from measurements that come late.
//!
//! The model of one service on one worker is `p99 = alone * (1 + sum over classes of coefficient *
//! share of the processors that the class took)`. Coefficients belong to a pair and a load band.
//! They are fitted by normalised least mean squares, which needs no stored samples. A measurement
//! is matched to what ran when it was taken: [`Exposures`] keeps what ran, by the worker's clock.

use std::collections::VecDeque;

use gaplock_types::{ids, wire};
use rustc_hash::FxHashMap;

/// How many load bands are told apart.
pub const LOAD_BANDS: usize = 4;
/// Coefficient assumed for a pair that was never measured; high, so that it is tried carefully.
pub const UNKNOWN_COEFFICIENT: f64 = 2.0;
/// Measurements after which a pair counts as known.
pub const KNOWN_AFTER: u32 = 8;

const LEARNING_RATE: f64 = 0.3;
const ALONE_SMOOTHING: f64 = 0.05;
const MAX_COEFFICIENT: f64 = 50.0;
const EXPOSURE_KEEP: usize = 256;

/// A band of a service's request rate relative to its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Band(pub u8);

impl Band {
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
pub struct Pairing {
    pairs: FxHashMap<(ids::ServiceId, ids::BatchClass, Band), Coefficient>,
    alone_us: FxHashMap<(ids::ServiceId, Band), f64>,
}

/// The processors' share that each batch class takes on one worker.
pub type Shares = Vec<(ids::BatchClass, f64)>;

impl Pairing {
    fn coefficient(&self, s: &ids::ServiceId, c: &ids::BatchClass, band: Band) -> Coefficient {
        self.pairs
            .get(&(s.clone(), c.clone(), band))
            .copied()
            .unwrap_or(Coefficient { value: UNKNOWN_COEFFICIENT, samples: 0 })
    }

    /// Tells whether a pair has been measured often enough to trust its coefficient.
    pub fn knows(&self, service: &ids::ServiceId, class: &ids::BatchClass, band: Band) -> bool {
        self.coefficient(service, class, band).samples >= KNOWN_AFTER
    }

    /// Predicts by which factor the 99th percentile of `service` grows beside `shares`.
    pub fn slowdown(&self, service: &ids::ServiceId, shares: &Shares, band: Band) -> f64 {
        let disturbance: f64 = shares
            .iter()
            .map(|(class, share)| self.coefficient(service, class, band).value * share)
            .sum();
        1.0 + disturbance
    }

    /// Returns the learnt 99th percentile of the service alone, in microseconds.
    pub fn alone_us(&self, service: &ids::ServiceId, band: Band) -> Option<f64> {
        self.alone_us.get(&(service.clone(), band)).copied()
    }

    /// Predicts the 99th percentile of `service` beside `shares`, in microseconds.
    pub fn predict_us(&self, service: &ids::ServiceId, shares: &Shares, band: Band) -> Option<f64> {
        Some(self.alone_us(service, band)? * self.slowdown(service, shares, band))
    }

    /// Takes in that `service` had `p99_us` while `shares` ran beside it.
    pub fn observe(&mut self, service: &ids::ServiceId, shares: &Shares, band: Band, p99_us: f64) {
        let power: f64 = shares.iter().map(|(_, share)| share * share).sum();
        let alone_key = (service.clone(), band);
        if power < 1e-6 {
            let alone = self.alone_us.entry(alone_key).or_insert(p99_us);
            *alone += ALONE_SMOOTHING * (p99_us - *alone);
            return;
        }
        // Without a reading of the service alone, the first one stands in, less the unknown pair's
        // assumed share, so that the estimate starts near and moves from there.
        let assumed = p99_us / self.slowdown(service, shares, band);
        let alone = *self.alone_us.entry(alone_key).or_insert(assumed);
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
pub struct Exposures {
    past: VecDeque<(wire::WorkerClock, Shares)>,
}

impl Exposures {
    /// Notes what runs from `at` on.
    pub fn record(&mut self, at: wire::WorkerClock, shares: Shares) {
        if self.past.back().is_some_and(|(_, last)| *last == shares) {
            return;
        }
        self.past.push_back((at, shares));
        if self.past.len() > EXPOSURE_KEEP {
            self.past.pop_front();
        }
    }

    /// Returns what ran during the whole window that ended at `taken`, or none if that changed
    /// within the window or is no longer known: such a measurement teaches nothing.
    pub fn during(&self, taken: wire::WorkerClock, window_ms: u64) -> Option<&Shares> {
        let begin = wire::WorkerClock(taken.0.saturating_sub(window_ms));
        let at = |clock| self.past.iter().rposition(|(from, _)| *from <= clock);
        let (first, last) = (at(begin)?, at(taken)?);
        (first == last).then(|| &self.past[last].1)
    }
}
