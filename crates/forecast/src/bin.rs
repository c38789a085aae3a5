//! Samples gathered into bins of fixed length, so that the cost of a fit does not grow with the
//! rate of samples.

use gaplock_types::time::Instant;

/// The length of a bin in milliseconds: twelve for the shortest period that is searched for.
pub const BIN_MS: u64 = 250;

/// The weighted mean of the samples of one bin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bin {
    /// The position: the time divided by [`BIN_MS`].
    pub index: u64,
    /// The weighted mean.
    pub value: f64,
    /// The weight, at most 1.
    pub weight: f64,
}

impl Bin {
    /// Returns the middle of the bin, in milliseconds.
    pub fn middle_ms(&self) -> f64 {
        (self.index as f64 + 0.5) * BIN_MS as f64
    }
}

/// Returns the position of the bin that contains a time.
pub fn index_of(at: Instant) -> u64 {
    at.0 / BIN_MS
}

/// The bin that is being filled.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpenBin {
    index: u64,
    sum: f64,
    weight: f64,
}

impl OpenBin {
    /// Adds a sample and returns the previous bin if the sample begins a new one. A sample that is
    /// older than the open bin counts in the open bin.
    pub fn add(&mut self, at: Instant, value: f64, weight: f64) -> Option<Bin> {
        let index = index_of(at).max(self.index);
        let closed = (index > self.index && self.weight > 0.0).then(|| Bin {
            index: self.index,
            value: self.sum / self.weight,
            weight: self.weight.min(1.0),
        });
        if index > self.index {
            *self = Self { index, ..Self::default() };
        }
        self.sum += value * weight;
        self.weight += weight;
        closed
    }
}
