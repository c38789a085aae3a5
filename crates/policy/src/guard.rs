//! Protects a service's tail latency on one worker: throttles batch work first, then checkpoints a
//! batch task and moves it away.
//!
//! Measurements arrive late, so a step must not be repeated before its effect can be measured: after
//! each step the guard waits for the measurement lag and one whole window. The size of a step
//! follows from the measurement, since interference is proportional to the speed of batch work. The
//! guard speeds batch work up again once the service is well below its ceiling.

use gaplock_types::{time, wire};

/// The full speed of a batch task, in thousandths.
pub const FULL_SPEED_PER_MILLE: u32 = 1000;
/// The lowest speed to which batch work is throttled, in thousandths.
pub const MIN_SPEED_PER_MILLE: u32 = 100;

/// Batch work is slowed down while the service's 99th percentile is above this share of its
/// ceiling.
const HIGH_WATER: f64 = 1.0;
/// Batch work is sped up again below this share of the ceiling.
const LOW_WATER: f64 = 0.8;
/// The 99th percentile that a step aims for, as a share of the ceiling.
const TARGET_SHARE: f64 = 0.9;
/// Bounds on the factor by which one step changes the speed.
const MIN_SPEED_FACTOR: f64 = 0.3;
const MAX_SPEED_FACTOR: f64 = 1.5;
const MIN_INCREASE_FACTOR: f64 = 1.05;
/// Number of measurements above [`HIGH_WATER`] at the lowest speed after which a task is evicted.
const STEPS_AT_MIN_SPEED_BEFORE_EVICTION: u32 = 2;

/// The guard's state for one worker.
#[derive(Debug, Clone)]
pub struct TailGuard {
    /// The speed of batch tasks on the worker, in thousandths.
    pub speed: u32,
    last_step_at: wire::WorkerClock,
    steps_at_min_speed: u32,
}

/// The measured tail latency of the worst service, in shares of its ceiling.
#[derive(Debug, Clone, Copy)]
pub struct TailMeasurement {
    /// Its 99th percentile.
    pub worst: f64,
    /// Its 99th percentile without batch, as learned.
    pub baseline: f64,
}

impl TailMeasurement {
    /// Returns the factor by which the speed of batch work must change to bring the service to
    /// [`TARGET_SHARE`], given that interference is proportional to the speed.
    fn factor(&self) -> f64 {
        let interference = (self.worst - self.baseline).max(0.01);
        ((TARGET_SHARE - self.baseline) / interference).clamp(MIN_SPEED_FACTOR, MAX_SPEED_FACTOR)
    }
}

/// What the guard decides after a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GuardAction {
    /// Change nothing.
    Nothing,
    /// Run all batch tasks on the worker at this speed, in thousandths.
    Speed(u32),
    /// Evict one batch task.
    EvictOne,
}

impl Default for TailGuard {
    fn default() -> Self {
        Self {
            speed: FULL_SPEED_PER_MILLE,
            last_step_at: wire::WorkerClock(0),
            steps_at_min_speed: 0,
        }
    }
}

impl TailGuard {
    /// Decides on a measurement that was taken over `window` up to `taken`.
    ///
    /// `now` is the worker's clock as last read.
    pub fn evaluate(
        &mut self,
        now: wire::WorkerClock,
        taken: wire::WorkerClock,
        window: time::Millis,
        measured: TailMeasurement,
    ) -> GuardAction {
        let window_began = taken.0.saturating_sub(window.0);
        if window_began < self.last_step_at.0 {
            return GuardAction::Nothing;
        }
        let action = if measured.worst > HIGH_WATER {
            self.slow_down(measured.factor())
        } else if measured.worst < LOW_WATER && self.speed < FULL_SPEED_PER_MILLE {
            self.steps_at_min_speed = 0;
            self.scale(measured.factor().clamp(MIN_INCREASE_FACTOR, MAX_SPEED_FACTOR))
        } else {
            GuardAction::Nothing
        };
        if action != GuardAction::Nothing {
            self.last_step_at = now;
        }
        action
    }

    fn scale(&mut self, factor: f64) -> GuardAction {
        let scaled = (f64::from(self.speed) * factor) as u32;
        self.speed = scaled.clamp(MIN_SPEED_PER_MILLE, FULL_SPEED_PER_MILLE);
        GuardAction::Speed(self.speed)
    }

    fn slow_down(&mut self, factor: f64) -> GuardAction {
        if self.speed > MIN_SPEED_PER_MILLE {
            return self.scale(factor.clamp(MIN_SPEED_FACTOR, 1.0 / MIN_INCREASE_FACTOR));
        }
        self.steps_at_min_speed += 1;
        if self.steps_at_min_speed < STEPS_AT_MIN_SPEED_BEFORE_EVICTION {
            return GuardAction::Nothing;
        }
        self.steps_at_min_speed = 0;
        GuardAction::EvictOne
    }
}

/// A batch task that could be evicted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Victim {
    /// Work since its last checkpoint, in milliseconds.
    pub unsaved_ms: u64,
    /// How often it has been evicted.
    pub evictions: u32,
    /// Whether it is urgent.
    pub urgent: bool,
    /// How much it interferes with the worst service, by the learned interference model.
    pub interference: f64,
}

/// Chooses the task whose eviction costs least in proportion to the interference that it removes.
pub fn choose_victim(victims: &[Victim], eviction_weight: f64) -> Option<usize> {
    let cost = |v: &Victim| {
        let lost_s = v.unsaved_ms as f64 / 1000.0;
        let fairness = 1.0 + eviction_weight * f64::from(v.evictions);
        (1.0 + lost_s) * fairness / v.interference.max(0.01)
    };
    victims
        .iter()
        .enumerate()
        .filter(|(_, v)| !v.urgent)
        .min_by(|(i, a), (j, b)| cost(a).total_cmp(&cost(b)).then(i.cmp(j)))
        .map(|(i, _)| i)
}
