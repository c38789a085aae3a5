//! Corrects the declared processor demand of tasks by their observed use.
//!
//! Declared sizes are often far off. Memory and accelerators stay hard limits as declared. For
//! processors the reservation follows the observed ratio of use to declaration in the same batch
//! class, plus a margin for uncertainty that shrinks with more observations.

use gaplock_types::{ids, sizes};
use rustc_hash::FxHashMap;

/// The smallest weight of one observation in the averages.
const SMOOTHING: f64 = 0.05;
/// The margin above the mean ratio, in mean absolute deviations.
const MARGIN_DEVIATIONS: f64 = 3.0;
/// With fewer observations, the declaration is reserved.
const MIN_SAMPLES: u32 = 20;
/// A reservation never falls below this share of the declaration.
const MIN_RATIO: f64 = 0.25;
/// A reservation never rises above this multiple of the declaration.
const MAX_RATIO: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
struct UsageRatio {
    mean: f64,
    deviation: f64,
    samples: u32,
}

/// Observed ratios of use to declaration, by batch class.
#[derive(Debug, Default)]
pub struct Estimator {
    ratios: FxHashMap<ids::BatchClass, UsageRatio>,
}

impl Estimator {
    /// Records that a run of `class` that declared `declared` used `used`.
    pub fn observe(
        &mut self,
        class: &ids::BatchClass,
        declared: sizes::MilliCores,
        used: sizes::MilliCores,
    ) {
        if declared.0 == 0 {
            return;
        }
        let ratio = f64::from(used.0) / f64::from(declared.0);
        let r = self.ratios.entry(class.clone()).or_insert(UsageRatio {
            mean: ratio,
            deviation: ratio / 2.0,
            samples: 0,
        });
        r.samples += 1;
        // The first samples have more weight, so that the initial deviation, which is a guess, is
        // forgotten.
        let rate = SMOOTHING.max(1.0 / f64::from(r.samples));
        let error = ratio - r.mean;
        r.mean += rate * error;
        r.deviation += rate * (error.abs() - r.deviation);
    }

    /// Returns what to reserve for a task of `class` that declares `declared`.
    pub fn reserve(
        &self,
        class: &ids::BatchClass,
        declared: &sizes::Resources,
    ) -> sizes::Resources {
        let Some(r) = self.ratios.get(class).filter(|r| r.samples >= MIN_SAMPLES) else {
            return *declared;
        };
        let ratio = (r.mean + MARGIN_DEVIATIONS * r.deviation).clamp(MIN_RATIO, MAX_RATIO);
        let cpu = (f64::from(declared.cpu.0) * ratio).ceil() as u32;
        sizes::Resources { cpu: sizes::MilliCores(cpu), ..*declared }
    }
}
