//! A level and one sine wave, fitted by least squares with exponential forgetting.

use std::f64::consts::TAU;

/// The weight of the assumption that sine and cosine are zero, in samples of weight 1. It keeps a
/// fit to a fraction of a period from extrapolating to extreme amplitudes.
const RIDGE: f64 = 1.0;

/// Returns the angle of a time within a period, in radians.
pub fn angle(at_ms: f64, period_ms: f64) -> f64 {
    (at_ms % period_ms) / period_ms * TAU
}

/// A level and one sine wave.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Harmonic {
    level: f64,
    sine: f64,
    cosine: f64,
}

impl Harmonic {
    /// Returns the value at an angle.
    pub fn at(&self, angle: f64) -> f64 {
        let (sin, cos) = angle.sin_cos();
        self.at_sin_cos(sin, cos)
    }

    /// Returns the value at an angle given by its sine and cosine.
    pub fn at_sin_cos(&self, sin: f64, cos: f64) -> f64 {
        self.level + self.sine * sin + self.cosine * cos
    }

    /// Returns the angle of the highest value.
    pub fn peak_angle(&self) -> f64 {
        self.sine.atan2(self.cosine)
    }

    /// Returns the highest value.
    pub fn peak(&self) -> f64 {
        self.level + self.sine.hypot(self.cosine)
    }
}

/// The sums of a weighted least-squares fit of a [`Harmonic`].
#[derive(Debug, Clone, Copy, Default)]
pub struct Fit {
    weight: f64,
    sin: f64,
    cos: f64,
    sin_sin: f64,
    sin_cos: f64,
    cos_cos: f64,
    value: f64,
    value_sin: f64,
    value_cos: f64,
}

impl Fit {
    /// Reduces the weight of all earlier samples to the share `keep`.
    pub fn decay(&mut self, keep: f64) {
        for sum in [
            &mut self.weight,
            &mut self.sin,
            &mut self.cos,
            &mut self.sin_sin,
            &mut self.sin_cos,
            &mut self.cos_cos,
            &mut self.value,
            &mut self.value_sin,
            &mut self.value_cos,
        ] {
            *sum *= keep;
        }
    }

    /// Adds a sample at an angle given by its sine and cosine.
    pub fn add(&mut self, (sin, cos): (f64, f64), value: f64, weight: f64) {
        self.weight += weight;
        self.sin += weight * sin;
        self.cos += weight * cos;
        self.sin_sin += weight * sin * sin;
        self.sin_cos += weight * sin * cos;
        self.cos_cos += weight * cos * cos;
        self.value += weight * value;
        self.value_sin += weight * value * sin;
        self.value_cos += weight * value * cos;
    }

    /// Returns the best fit, or `None` without samples.
    pub fn solve(&self) -> Option<Harmonic> {
        if self.weight <= f64::EPSILON {
            return None;
        }
        let (sin, cos, value) =
            (self.sin / self.weight, self.cos / self.weight, self.value / self.weight);
        let sin_sin = self.sin_sin - self.sin * sin + RIDGE;
        let cos_cos = self.cos_cos - self.cos * cos + RIDGE;
        let sin_cos = self.sin_cos - self.sin * cos;
        let value_sin = self.value_sin - self.value * sin;
        let value_cos = self.value_cos - self.value * cos;
        let determinant = sin_sin * cos_cos - sin_cos * sin_cos;
        let sine = (value_sin * cos_cos - value_cos * sin_cos) / determinant;
        let cosine = (value_cos * sin_sin - value_sin * sin_cos) / determinant;
        Some(Harmonic { level: value - sine * sin - cosine * cos, sine, cosine })
    }
}
