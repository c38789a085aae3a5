//! Instants and durations for the sans-I/O code.
//!
//! An [`Instant`] counts milliseconds of a monotonic clock that keeps running while a process is
//! frozen (see `docs/DESIGN.md`, section Time). Instants of two processes are never compared.

use std::fmt;
use std::ops;

/// A point on one process's monotonic clock, in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

/// A span of time in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

/// The assumed upper bound on how much the clock rates of two hosts differ, in parts per thousand.
pub const DEFAULT_DRIFT_PER_MILLE: u64 = 10;

impl Millis {
    /// Extends a span by the assumed clock drift, rounding up.
    pub fn with_drift(self, drift_per_mille: u64) -> Self {
        Self(self.0 + (self.0 * drift_per_mille).div_ceil(1000))
    }

    /// Converts to the standard library's type.
    pub fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Instant {
    /// Returns the span since `earlier`, or zero if `earlier` is after `self`.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Millis> for Instant {
    type Output = Self;
    fn add(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "@{}ms", self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
