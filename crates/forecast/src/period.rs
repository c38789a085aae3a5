//! The search for the period that many series share.
//!
//! Each candidate period is fitted to each of a bounded number of series. The fits are frozen for
//! blocks of 2 s, and the errors of what they predict for the block are summed over the series. A
//! period is confirmed once its errors are clearly smaller than those of a constant level and of
//! the latest level: the first comparison rejects noise, the second a load that only drifts.

use gaplock_types::time::{Instant, Millis};

use crate::bin::{self, Bin, BIN_MS};
use crate::harmonic::{self, Fit, Harmonic};
use crate::series;

/// The shortest candidate period.
pub const MIN_PERIOD: Millis = Millis(3_000);

/// The longest candidate period.
pub const MAX_PERIOD: Millis = Millis(40_000);

/// The ratio of neighbouring candidates. A fit forgets within about a cycle, so it follows a period
/// that is off by half of this step.
const CANDIDATE_STEP: f64 = 1.05;

/// The number of series that are searched. Their phases differ, so a few cover all phases; more
/// only cost processor time.
const MAX_SERIES: usize = 16;

/// The length of the blocks for which fits are frozen, in bins: 2 s. Errors of a shorter forecast
/// tell little, since the latest level predicts as well.
const BLOCK_BINS: u64 = 8;

/// The time constant in which errors are forgotten, in blocks: 20 s.
const ERROR_BLOCKS: f64 = 10.0;

/// The time constant of the constant level, in bins: 12 s, as long as the harmonic fit at a period
/// of 10 s.
const LEVEL_BINS: f64 = 48.0;

/// The time constant of the latest level, in bins: 1 s.
const LATEST_BINS: f64 = 4.0;

/// The part of its period that a candidate must have seen of a series before its errors count.
const MIN_FITTED_PERIODS: f64 = 0.5;

/// The number of periods for which there must have been samples before a period is confirmed from
/// few series. Within one period a drift looks the same.
const MIN_OBSERVED_PERIODS: f64 = 1.5;

/// The number of series from which on [`MIN_OBSERVED_PERIODS_OF_MANY`] holds.
const MANY_SERIES: usize = 12;

/// The number of periods for which there must have been samples before a period is confirmed from
/// many series: with different phases, they show within one period what one series shows in
/// several.
const MIN_OBSERVED_PERIODS_OF_MANY: f64 = 0.8;

/// The shortest time for which there must have been samples, in milliseconds.
const MIN_OBSERVED_MS: f64 = 8_000.0;

/// The number of predicted bins, without the forgotten ones, below which errors say nothing.
const MIN_PREDICTED_BINS: f64 = 12.0;

/// The error, as a part of that of the constant level, below which a period is confirmed.
const CONFIRM_BELOW: f64 = 0.6;

/// The error, as a part of that of the latest level, below which a period is confirmed.
const CONFIRM_BELOW_LATEST: f64 = 0.9;

/// By how much both parts must be below 1 for one predicted bin; this falls with the root of their
/// number. Without it, a drifting load of one job was held to be periodic in 35 of 60 trials of two
/// minutes, with it in 9.
const MARGIN_OF_ONE_BIN: f64 = 3.0;

/// The error, as a part of that of the constant level, above which a confirmed period is dropped.
const DROP_ABOVE: f64 = 0.8;

/// The part of the confirmed period's error below which another period replaces it.
const REPLACE_BELOW: f64 = 0.8;

/// The relative change of the estimate, in thousandths, that the confirmed period follows.
const FOLLOW_FROM_PER_MILLE: u64 = 10;

/// The relative change up to which a new estimate counts as the same period, in thousandths.
const SAME_PERIOD_PER_MILLE: u64 = 100;

/// How long a series may have no samples before another series takes its place, in bins: 10 s.
const SILENT_BINS: u64 = 40;

/// Identifies a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeriesId(pub u64);

/// A change of the confirmed period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeriodChange {
    /// A period is confirmed, in place of the previous one if there was one.
    Confirmed {
        /// The confirmed period.
        period: Millis,
        /// The period before.
        previous: Option<Millis>,
    },
    /// The period no longer explains the load.
    Dropped {
        /// The period before.
        previous: Millis,
    },
}

/// A candidate period with the errors of its predictions.
#[derive(Debug, Clone)]
struct Candidate {
    period_ms: f64,
    keep: f64,
    error: f64,
    level_error: f64,
    latest_error: f64,
    bins: f64,
}

impl Candidate {
    fn open(period_ms: f64) -> Self {
        let keep = series::keep_per_bin(period_ms);
        Self { period_ms, keep, error: 0.0, level_error: 0.0, latest_error: 0.0, bins: 0.0 }
    }

    fn decay(&mut self, keep: f64) {
        self.error *= keep;
        self.level_error *= keep;
        self.latest_error *= keep;
        self.bins *= keep;
    }

    /// Returns the error as a part of that of the constant level, if enough was predicted.
    fn score(&self) -> Option<f64> {
        let enough = self.bins >= MIN_PREDICTED_BINS && self.level_error > f64::EPSILON;
        enough.then(|| self.error / self.level_error)
    }

    /// Returns the part of another error below which the error is not smaller by chance.
    fn significant(&self) -> f64 {
        1.0 - MARGIN_OF_ONE_BIN / self.bins.sqrt()
    }

    /// Returns whether the candidate explains the load clearly, and over enough of its periods.
    fn is_clear(&self, observed_ms: f64, min_periods: f64) -> bool {
        observed_ms >= (min_periods * self.period_ms).max(MIN_OBSERVED_MS)
            && self.error < self.level_error * self.significant().min(CONFIRM_BELOW)
            && self.error < self.latest_error * self.significant().min(CONFIRM_BELOW_LATEST)
    }
}

/// A mean with exponential forgetting.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, value: f64, weight: f64, keep: f64) {
        self.sum = self.sum * keep + value * weight;
        self.weight = self.weight * keep + weight;
    }

    fn value(&self) -> f64 {
        self.sum / self.weight.max(f64::EPSILON)
    }
}

/// A series that is searched, with its fits to all candidates.
#[derive(Debug, Clone)]
struct Searched {
    id: SeriesId,
    first_index: u64,
    last_index: u64,
    block: u64,
    fits: Vec<Fit>,
    /// The fits as of the beginning of the block, of candidates that have seen enough.
    frozen: Vec<Option<Harmonic>>,
    level: Mean,
    latest: Mean,
    frozen_level: f64,
    frozen_latest: f64,
}

impl Searched {
    fn open(id: SeriesId, index: u64, candidates: usize) -> Self {
        Self {
            id,
            first_index: index,
            last_index: index,
            block: index / BLOCK_BINS,
            fits: vec![Fit::default(); candidates],
            frozen: vec![None; candidates],
            level: Mean::default(),
            latest: Mean::default(),
            frozen_level: 0.0,
            frozen_latest: 0.0,
        }
    }

    fn freeze(&mut self, block: u64, candidates: &[Candidate]) {
        self.block = block;
        let span_ms = ((self.last_index - self.first_index) * BIN_MS) as f64;
        for ((frozen, fit), candidate) in self.frozen.iter_mut().zip(&self.fits).zip(candidates) {
            let fitted = span_ms >= MIN_FITTED_PERIODS * candidate.period_ms;
            *frozen = fit.solve().filter(|_| fitted);
        }
        self.frozen_level = self.level.value();
        self.frozen_latest = self.latest.value();
    }

    /// Adds the errors of what was predicted for the bin, then learns from the bin.
    fn add(&mut self, bin: &Bin, candidates: &mut [Candidate]) {
        let gap = bin.index.saturating_sub(self.last_index);
        let block = bin.index / BLOCK_BINS;
        if block != self.block {
            self.freeze(block, candidates);
        }
        let squared = |predicted: f64| (bin.value - predicted).powi(2) * bin.weight;
        let (level_error, latest_error) = (squared(self.frozen_level), squared(self.frozen_latest));
        for ((candidate, fit), frozen) in
            candidates.iter_mut().zip(&mut self.fits).zip(&self.frozen)
        {
            let (sin, cos) = harmonic::angle(bin.middle_ms(), candidate.period_ms).sin_cos();
            if let Some(frozen) = frozen {
                candidate.error += squared(frozen.at_sin_cos(sin, cos));
                candidate.level_error += level_error;
                candidate.latest_error += latest_error;
                candidate.bins += 1.0;
            }
            fit.decay(candidate.keep.powi(gap as i32));
            fit.add((sin, cos), bin.value, bin.weight);
        }
        self.level.add(bin.value, bin.weight, (-(gap as f64) / LEVEL_BINS).exp());
        self.latest.add(bin.value, bin.weight, (-(gap as f64) / LATEST_BINS).exp());
        self.last_index = self.last_index.max(bin.index);
    }
}

/// The search for the period of one group of series.
#[derive(Debug, Clone)]
pub struct PeriodSearch {
    candidates: Vec<Candidate>,
    searched: Vec<Searched>,
    period: Option<Millis>,
    first_index: Option<u64>,
    block: u64,
}

impl PeriodSearch {
    /// Creates a search. A period that a previous search has confirmed counts as confirmed from the
    /// start, if it is in the range of the candidates.
    pub fn open(confirmed: Option<Millis>) -> Self {
        let mut candidates = Vec::new();
        let mut period_ms = MIN_PERIOD.0 as f64;
        while period_ms <= MAX_PERIOD.0 as f64 {
            candidates.push(Candidate::open(period_ms));
            period_ms *= CANDIDATE_STEP;
        }
        let period = confirmed.filter(|period| (MIN_PERIOD..=MAX_PERIOD).contains(period));
        Self { candidates, searched: Vec::new(), period, first_index: None, block: 0 }
    }

    /// Returns the confirmed period.
    pub fn period(&self) -> Option<Millis> {
        self.period
    }

    /// Adds a complete bin of a series. Series beyond the bound are ignored until another one has
    /// had no samples for a while.
    pub fn add(&mut self, id: SeriesId, bin: &Bin) {
        self.first_index.get_or_insert(bin.index);
        let known = self.searched.iter().position(|searched| {
            searched.id == id && bin.index.saturating_sub(searched.last_index) <= SILENT_BINS
        });
        let at = known.or_else(|| self.place(id, bin.index));
        if let Some(at) = at {
            self.searched[at].add(bin, &mut self.candidates);
        }
    }

    /// Finds a place for a series that is new or was silent for long.
    fn place(&mut self, id: SeriesId, index: u64) -> Option<usize> {
        let fresh = Searched::open(id, index, self.candidates.len());
        let silent = self
            .searched
            .iter()
            .position(|searched| index.saturating_sub(searched.last_index) > SILENT_BINS);
        if let Some(at) = silent {
            self.searched[at] = fresh;
            return Some(at);
        }
        if self.searched.len() == MAX_SERIES {
            return None;
        }
        self.searched.push(fresh);
        Some(self.searched.len() - 1)
    }

    /// Evaluates the candidates, once in 2 s, and returns whether the confirmed period has changed.
    /// An estimate that moves a little is followed without being returned.
    pub fn update(&mut self, now: Instant) -> Option<PeriodChange> {
        let block = bin::index_of(now) / BLOCK_BINS;
        if block <= self.block {
            return None;
        }
        let keep = (-((block - self.block) as f64) / ERROR_BLOCKS).exp();
        self.block = block;
        for candidate in &mut self.candidates {
            candidate.decay(keep);
        }
        let first_index = self.first_index?;
        let observed_ms = (bin::index_of(now).saturating_sub(first_index) * BIN_MS) as f64;
        let best = self.best(observed_ms);
        let Some(current) = self.period else {
            let (period, _) = best?;
            self.period = Some(period);
            return Some(PeriodChange::Confirmed { period, previous: None });
        };
        let judged = observed_ms >= self.min_observed_periods() * current.0 as f64;
        let score = self.nearest(current).score().filter(|_| judged);
        if let Some((period, best_score)) = best {
            let difference = period.0.abs_diff(current.0) * 1_000 / current.0;
            if difference <= SAME_PERIOD_PER_MILLE {
                if difference >= FOLLOW_FROM_PER_MILLE {
                    self.period = Some(period);
                }
                return None;
            }
            if score.is_some_and(|score| best_score < score * REPLACE_BELOW) {
                self.period = Some(period);
                return Some(PeriodChange::Confirmed { period, previous: Some(current) });
            }
        }
        if score.is_some_and(|score| score > DROP_ABOVE) {
            self.period = None;
            return Some(PeriodChange::Dropped { previous: current });
        }
        None
    }

    /// Returns the period that explains the series best, with its score, if it does so clearly. While
    /// the best candidate has not been observed for long enough, there is none: a shorter one that
    /// has been would soon be replaced.
    fn best(&self, observed_ms: f64) -> Option<(Millis, f64)> {
        let scores: Vec<Option<f64>> = self.candidates.iter().map(Candidate::score).collect();
        let scored = scores.iter().enumerate().filter_map(|(at, score)| Some((at, (*score)?)));
        let (at, score) = scored.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let candidate = &self.candidates[at];
        if !candidate.is_clear(observed_ms, self.min_observed_periods()) {
            return None;
        }
        let offset = if at == 0 || at + 1 == scores.len() {
            0.0
        } else {
            // The lowest score so far is no minimum while the next candidate has none.
            vertex(scores[at - 1]?, score, scores[at + 1]?)
        };
        let period_ms = candidate.period_ms * CANDIDATE_STEP.powf(offset);
        Some((Millis(period_ms.round() as u64), score))
    }

    /// Returns for how many of its periods a candidate must have been observed.
    fn min_observed_periods(&self) -> f64 {
        if self.searched.len() < MANY_SERIES {
            return MIN_OBSERVED_PERIODS;
        }
        MIN_OBSERVED_PERIODS_OF_MANY
    }

    /// Returns the candidate that is nearest to a period.
    fn nearest(&self, period: Millis) -> &Candidate {
        let steps = (period.0 as f64 / MIN_PERIOD.0 as f64).ln() / CANDIDATE_STEP.ln();
        &self.candidates[(steps.round() as usize).min(self.candidates.len() - 1)]
    }
}

/// Returns where the parabola through three equidistant values has its lowest point, from -0.5 to
/// 0.5 steps from the middle one, which is the lowest value.
fn vertex(before: f64, middle: f64, after: f64) -> f64 {
    let curvature = before - 2.0 * middle + after;
    if curvature <= f64::EPSILON {
        return 0.0;
    }
    ((before - after) / (2.0 * curvature)).clamp(-0.5, 0.5)
}
