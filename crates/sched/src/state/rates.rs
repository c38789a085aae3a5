//! How fast runs come along, and the workers that they tell of.

use gaplock_types::time::{Instant, Millis};

/// The progress of a run that has done its work, in percent.
pub const COMPLETE_PERCENT: u32 = 100;

/// A run's progress at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressSample {
    /// When it was read.
    pub at: Instant,
    /// The progress in percent.
    pub percent: u32,
}

/// How many tasks' rates are kept of a step; more would not move the median by much.
const MAX_RATES_PER_STEP: usize = 15;

/// From how many tasks on the median says something: with fewer, one slow worker decides it.
const MIN_RATES_FOR_MEDIAN: usize = 4;

/// The latest rates of some tasks of a step, in percent a second at full pace.
#[derive(Debug, Clone, Default)]
pub struct StepRates {
    latest: Vec<(u32, f64)>,
    next: usize,
}

impl StepRates {
    /// Takes in a task's rate.
    pub fn record(&mut self, index: u32, rate: f64) {
        if let Some((_, known)) = self.latest.iter_mut().find(|(of, _)| *of == index) {
            *known = rate;
        } else if self.latest.len() < MAX_RATES_PER_STEP {
            self.latest.push((index, rate));
        } else {
            self.latest[self.next] = (index, rate);
            self.next = (self.next + 1) % MAX_RATES_PER_STEP;
        }
    }

    /// Returns the median rate, once enough tasks are known.
    pub fn median(&self) -> Option<f64> {
        if self.latest.len() < MIN_RATES_FOR_MEDIAN {
            return None;
        }
        let mut rates: Vec<f64> = self.latest.iter().map(|(_, rate)| *rate).collect();
        let middle = rates.len() / 2;
        let (_, median, _) = rates.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median).filter(|rate| *rate > 0.0)
    }
}

/// How fast a worker is against others.
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

/// How much of one reading enters a worker's speed: two slow runs in a row show a slow worker.
const SPEED_GAIN: f64 = 0.5;

/// The relative speed below which a worker is slow. On the users' sites healthy runs lie between
/// 0.6 and 1.5 of their step's median, those on slow workers between 0.1 and 0.3; where tasks of
/// one step differ by a third, long ones come down to a half.
const SLOW_RELATIVE_SPEED: f64 = 0.4;

/// How long a worker's speed is believed without a new reading.
const SPEED_VALID_FOR: Millis = Millis(3_000);

impl Speed {
    /// Takes in how fast a run on the worker was against its step.
    pub fn record(&mut self, now: Instant, relative: f64) {
        let known = self.relative(now);
        self.relative = known + SPEED_GAIN * (relative.min(1.0) - known);
        self.at = now;
    }

    /// Returns the worker's speed; 1 where nothing is known.
    pub fn relative(&self, now: Instant) -> f64 {
        if now.since(self.at) > SPEED_VALID_FOR {
            return 1.0;
        }
        self.relative
    }

    /// Tells whether the worker is much slower than others.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.relative(now) < SLOW_RELATIVE_SPEED
    }
}
