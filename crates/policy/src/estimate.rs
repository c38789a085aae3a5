//! Corrects declared processor demand by what was observed, with its uncertainty.
//!
//! Declared sizes are often far off. Memory and accelerators stay hard limits as declared; for
//! processors the reservation follows the observed ratio of use to declaration of the same class,
//! plus a margin that shrinks as observations gather.

use gaplock_types::{ids, sizes};
use rustc_hash::FxHashMap;

const SMOOTHING: f64 = 0.05;
const MARGIN_DEVIATIONS: f64 = 3.0;
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
    /// Takes in that a run of `class` which declared `declared` used `used`.
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
        // The first samples count in full, so that the starting guess is forgotten.
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
