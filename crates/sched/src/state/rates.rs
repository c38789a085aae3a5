//! How fast runs make progress, and what that says about the speed of their workers.

use gaplock_types::time::{Instant, Millis};

/// The progress of a run that has finished its work, in percent.
pub const COMPLETE_PERCENT: u32 = 100;

/// A sample of a run's progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressSample {
    /// When it was taken.
    pub at: Instant,
    /// The progress in percent.
    pub percent: u32,
}

/// How many tasks' rates are kept for a step; more would hardly change the median.
const MAX_RATES_PER_STEP: usize = 15;

/// The number of tasks from which the median is meaningful: with fewer, one slow worker decides it.
const MIN_RATES_FOR_MEDIAN: usize = 4;

/// The latest rates of some tasks of a step, in percent a second at full pace.
#[derive(Debug, Clone, Default)]
pub struct StepRates {
    latest: Vec<(u32, f64)>,
    next_replaced: usize,
    /// The median of `latest`, which is read far more often than it changes.
    median: Option<f64>,
}

impl StepRates {
    /// Records a task's rate.
    pub fn record(&mut self, index: u32, rate: f64) {
        if let Some((_, known)) = self.latest.iter_mut().find(|(task, _)| *task == index) {
            *known = rate;
        } else if self.latest.len() < MAX_RATES_PER_STEP {
            self.latest.push((index, rate));
        } else {
            self.latest[self.next_replaced] = (index, rate);
            self.next_replaced = (self.next_replaced + 1) % MAX_RATES_PER_STEP;
        }
        self.median = self.compute_median();
    }

    /// Returns the median rate, once enough tasks are known.
    pub fn median(&self) -> Option<f64> {
        self.median
    }

    /// Returns the rate that was last recorded of a task, if it is among those that are kept.
    pub fn of_task(&self, index: u32) -> Option<f64> {
        self.latest.iter().find(|(task, _)| *task == index).map(|(_, rate)| *rate)
    }

    fn compute_median(&self) -> Option<f64> {
        if self.latest.len() < MIN_RATES_FOR_MEDIAN {
            return None;
        }
        let mut rates: Vec<f64> = self.latest.iter().map(|(_, rate)| *rate).collect();
        let middle = rates.len() / 2;
        let (_, median, _) = rates.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median).filter(|rate| *rate > 0.0)
    }
}

/// The speed of a worker relative to others.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    relative: f64,
    at: Instant,
}

impl Default for Speed {
    fn default() -> Self {
        Self { relative: 1.0, at: Instant(0) }
    }
}

/// The weight of one reading in a worker's speed: two slow runs in a row show a slow worker.
const SPEED_GAIN: f64 = 0.5;

/// The relative speed below which a worker is slow. On the users' sites healthy runs lie between
/// 0.6 and 1.5 of their step's median, and those on slow workers between 0.1 and 0.3. Where the
/// tasks of one step differ by a third, long ones come down to a half.
const SLOW_RELATIVE_SPEED: f64 = 0.4;

/// How long a worker's speed is valid without a new reading.
const SPEED_VALID_FOR: Millis = Millis(3_000);

impl Speed {
    /// Records the rate of a run on the worker relative to the median of its step.
    pub fn record(&mut self, now: Instant, relative: f64) {
        let known = self.relative(now);
        self.relative = known + SPEED_GAIN * (relative.min(1.0) - known);
        self.at = now;
    }

    /// Returns the worker's relative speed; 1 if nothing is known.
    pub fn relative(&self, now: Instant) -> f64 {
        if now.since(self.at) > SPEED_VALID_FOR {
            return 1.0;
        }
        self.relative
    }

    /// Returns whether the worker is much slower than others.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.relative(now) < SLOW_RELATIVE_SPEED
    }
}
