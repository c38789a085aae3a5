//! Guards a service's tail latency on one worker: throttle batch first, then checkpoint and move.
//!
//! Measurements come late, so a decision must not be repeated before its effect can be seen:
//! after each step the guard waits for the lag and one whole window. The size of a step follows
//! from the measurement: disturbance is in proportion to batch's speed. Batch returns by itself
//! once the service is well below its ceiling.

use gaplock_types::{time, wire};

/// The full speed of a batch task, in thousandths.
pub const FULL_SPEED_PER_MILLE: u32 = 1000;
/// The lowest speed to which batch is throttled, in thousandths.
pub const MIN_SPEED_PER_MILLE: u32 = 100;

/// Above this share of the ceiling, batch is slowed.
const HIGH_WATER: f64 = 1.0;
/// Below this share of the ceiling, batch may return.
const LOW_WATER: f64 = 0.8;
/// Where a step aims, as a share of the ceiling.
const TARGET_SHARE: f64 = 0.9;
/// The largest steps down and up, as factors on the speed.
const MIN_SPEED_FACTOR: f64 = 0.3;
const MAX_SPEED_FACTOR: f64 = 1.5;
const MIN_INCREASE_FACTOR: f64 = 1.05;
/// Steps at the lowest speed after which a task is moved away.
const STEPS_AT_MIN_SPEED_BEFORE_EVICTION: u32 = 2;

/// The guard's memory for one worker.
#[derive(Debug, Clone)]
pub struct TailGuard {
    /// The speed of batch on the worker, in thousandths.
    pub speed: u32,
    last_step_at: wire::WorkerClock,
    steps_at_min_speed: u32,
}

/// What a measurement showed of the worst service, in shares of its ceiling.
#[derive(Debug, Clone, Copy)]
pub struct TailMeasurement {
    /// Its 99th percentile.
    pub worst: f64,
    /// What its 99th percentile would be without batch, as learnt.
    pub baseline: f64,
}

impl TailMeasurement {
    /// Returns by which factor batch must be faster or slower to bring the service to the aim,
    /// given that the disturbance is in proportion to the speed.
    fn factor(&self) -> f64 {
        let disturbance = (self.worst - self.baseline).max(0.01);
        ((TARGET_SHARE - self.baseline) / disturbance).clamp(MIN_SPEED_FACTOR, MAX_SPEED_FACTOR)
    }
}

/// What the guard wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GuardAction {
    /// Nothing changes.
    Nothing,
    /// All batch on the worker runs at this many thousandths.
    Speed(u32),
    /// One batch task is to be moved away.
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
    /// Judges a measurement that was taken over `window` up to `taken`.
    ///
    /// `now` is the worker's clock as last read.
    pub fn evaluate(
        &mut self,
        now: wire::WorkerClock,
        taken: wire::WorkerClock,
        window: time::Millis,
        seen: TailMeasurement,
    ) -> GuardAction {
        let window_began = taken.0.saturating_sub(window.0);
        if window_began < self.last_step_at.0 {
            return GuardAction::Nothing;
        }
        let wish = if seen.worst > HIGH_WATER {
            self.slow_down(seen.factor())
        } else if seen.worst < LOW_WATER && self.speed < FULL_SPEED_PER_MILLE {
            self.steps_at_min_speed = 0;
            self.scale(seen.factor().clamp(MIN_INCREASE_FACTOR, MAX_SPEED_FACTOR))
        } else {
            GuardAction::Nothing
        };
        if wish != GuardAction::Nothing {
            self.last_step_at = now;
        }
        wish
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

/// A batch task that could be moved away.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Victim {
    /// Work since its last checkpoint, in milliseconds.
    pub unsaved_ms: u64,
    /// How often it has been evicted.
    pub evictions: u32,
    /// Whether it is urgent.
    pub urgent: bool,
    /// How much it disturbs the worst service, by the learnt pairing.
    pub interference: f64,
}

/// Chooses the task whose move costs least for the relief that it brings.
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
