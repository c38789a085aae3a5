//! One series of samples with its level, amplitude and phase.

use std::collections::VecDeque;
use std::f64::consts::TAU;

use gaplock_types::time::{Instant, Millis};

use crate::bin::{Bin, OpenBin, BIN_MS};
use crate::harmonic::{self, Fit, Harmonic};

/// The number of bins that a series keeps, from which it is fitted to a new period: 40 s, the
/// longest period that is searched for.
const MAX_BINS: usize = 160;

/// The time constant of the forgetting, in periods: 12 s at a period of 10 s, with which a trial of
/// a fixed period halved the time over target.
const FORGETTING_PERIODS: f64 = 1.2;

/// The shortest time constant of the forgetting, in milliseconds. Shorter periods are fitted over
/// more cycles, since a cycle then has few bins.
const MIN_FORGETTING_MS: f64 = 8_000.0;

/// The time constant in which a deviation from the fit dies away, in milliseconds.
const RESIDUAL_MS: f64 = 1_000.0;

/// The weight of one sample's deviation from the forecast.
const RESIDUAL_GAIN: f64 = 0.3;

/// The largest magnitude of a value, so that squares and sums of values stay finite.
const MAX_VALUE: f64 = 1e6;

/// The part of a period that a series must have been observed for, as a divisor. A fit to half a
/// period determines amplitude and phase.
const MIN_SPAN_DIVISOR: u64 = 2;

/// Returns the part of a sample's weight that is left after one bin.
pub(crate) fn keep_per_bin(period_ms: f64) -> f64 {
    (-(BIN_MS as f64) / (FORGETTING_PERIODS * period_ms).max(MIN_FORGETTING_MS)).exp()
}

/// The fit of a series to one period.
#[derive(Debug, Clone, Copy)]
struct PeriodFit {
    period: Millis,
    keep: f64,
    sums: Fit,
    harmonic: Harmonic,
    last_index: u64,
}

impl PeriodFit {
    fn open(period: Millis, first_index: u64) -> Self {
        let keep = keep_per_bin(period.0 as f64);
        let (sums, harmonic) = (Fit::default(), Harmonic::default());
        Self { period, keep, sums, harmonic, last_index: first_index }
    }

    fn add(&mut self, bin: &Bin) {
        let gap = bin.index.saturating_sub(self.last_index);
        self.sums.decay(self.keep.powi(gap.min(MAX_GAP) as i32));
        self.last_index = bin.index;
        let angle = harmonic::angle(bin.middle_ms(), self.period.0 as f64);
        self.sums.add(angle.sin_cos(), bin.value, bin.weight);
    }

    fn solve(&mut self) {
        if let Some(harmonic) = self.sums.solve() {
            self.harmonic = harmonic;
        }
    }
}

/// The longest gap that is told apart, in bins; after it nothing of the earlier samples is left.
const MAX_GAP: u64 = 100_000;

/// One series of samples.
#[derive(Debug, Clone, Default)]
pub struct Series {
    open: OpenBin,
    bins: VecDeque<Bin>,
    fit: Option<PeriodFit>,
    residual: f64,
    last_sample: Instant,
}

impl Series {
    /// Adds a sample and fits the series to the period, if there is one. Returns the bin that the
    /// sample completes, for the search for the period. Samples that are not finite or have no
    /// weight are ignored.
    pub fn observe(
        &mut self,
        at: Instant,
        value: f64,
        weight: f64,
        period: Option<Millis>,
    ) -> Option<Bin> {
        if !value.is_finite() || !weight.is_finite() || weight <= 0.0 {
            return None;
        }
        let (value, weight) = (value.clamp(-MAX_VALUE, MAX_VALUE), weight.min(1.0));
        let closed = self.open.add(at, value, weight);
        if let Some(bin) = closed {
            self.close(bin);
        }
        self.fit_to(period.filter(|period| period.0 > 0));
        self.update_residual(at, value, weight);
        closed
    }

    fn close(&mut self, bin: Bin) {
        if self.bins.len() == MAX_BINS {
            self.bins.pop_front();
        }
        self.bins.push_back(bin);
        if let Some(fit) = &mut self.fit {
            fit.add(&bin);
            fit.solve();
        }
    }

    /// Fits all kept bins if the period has changed.
    fn fit_to(&mut self, period: Option<Millis>) {
        if self.fit.as_ref().map(|fit| fit.period) == period {
            return;
        }
        self.residual = 0.0;
        self.fit = period.map(|period| {
            let mut fit = PeriodFit::open(period, self.bins.front().map_or(0, |bin| bin.index));
            for bin in &self.bins {
                fit.add(bin);
            }
            fit.solve();
            fit
        });
    }

    fn update_residual(&mut self, at: Instant, value: f64, weight: f64) {
        if let Some(fit) = &self.fit {
            let residual = self.residual_at(at);
            let expected = fit.harmonic.at(angle_at(fit, at)) + residual;
            self.residual = residual + RESIDUAL_GAIN * weight * (value - expected);
        }
        self.last_sample = self.last_sample.max(at);
    }

    fn residual_at(&self, at: Instant) -> f64 {
        let age_ms = at.since(self.last_sample).0 as f64;
        self.residual * (-age_ms / RESIDUAL_MS).exp()
    }

    /// Returns the highest value expected from `from` until `within` later, or `None` while the
    /// series has no fit: without a period, before half a period was observed, and after a whole
    /// period without a sample. `within` is bounded to one period.
    pub fn highest(&self, from: Instant, within: Millis) -> Option<f64> {
        let fit = self.fit.as_ref().filter(|fit| self.covers(fit, from))?;
        let within = within.min(fit.period);
        let until = from + within;
        let at = |time: Instant| fit.harmonic.at(angle_at(fit, time)) + self.residual_at(time);
        let ends = at(from).max(at(until));
        let to_peak = (fit.harmonic.peak_angle() - angle_at(fit, from)).rem_euclid(TAU);
        let peak_in = Millis((to_peak / TAU * fit.period.0 as f64) as u64);
        if peak_in > within {
            return Some(ends);
        }
        Some(ends.max(fit.harmonic.peak() + self.residual_at(from + peak_in)))
    }

    /// Returns whether the samples determine a fit at `now`.
    fn covers(&self, fit: &PeriodFit, now: Instant) -> bool {
        let (Some(first), Some(last)) = (self.bins.front(), self.bins.back()) else { return false };
        let span_ms = (last.index - first.index + 1).saturating_mul(BIN_MS);
        span_ms.saturating_mul(MIN_SPAN_DIVISOR) >= fit.period.0
            && now.since(self.last_sample) <= fit.period
    }
}

fn angle_at(fit: &PeriodFit, at: Instant) -> f64 {
    harmonic::angle(at.0 as f64, fit.period.0 as f64)
}
