//! How far a leader is behind, and how far it therefore puts off what no caller waits for.
//!
//! A leader whose processor binds would otherwise spend it on readings: they come at fixed
//! intervals, however late the ends of tasks are handled.

use gaplock_types::time::{Instant, Millis};

/// The time over which the delay of events is averaged.
const WINDOW: Millis = Millis(100);

/// The average delay of events, in milliseconds, from which on optional work is put off further,
/// and up to which it is resumed. A short task waits for it three times, at its start, the answer
/// and its end, which is more than half of the 250 ms that a job may lose. Below that, older
/// readings of serving tasks cost more than the delay.
const PUT_OFF_FROM_MS: u64 = 50;
const RESUME_UP_TO_MS: u64 = 20;

/// How much the stretch grows and shrinks in one window, in percent of it.
const GROWTH_PERCENT: u32 = 125;
const SHRINKING_PERCENT: u32 = 97;

/// The stretch of a leader that keeps up, in percent.
const NO_STRETCH: u32 = 100;

/// The largest stretch, in percent.
const MAX_STRETCH: u32 = 400;

/// The delay of a leader's events, and the stretch of intervals that follows from it.
#[derive(Debug, Clone)]
pub struct Delay {
    /// When the present window began, the sum of the delays in it in milliseconds, and their number.
    window: (Instant, u64, u64),
    stretch_percent: u32,
}

impl Default for Delay {
    fn default() -> Self {
        Self { window: (Instant(0), 0, 0), stretch_percent: NO_STRETCH }
    }
}

impl Delay {
    /// Records that an event is handled at `now` after it has waited for so long.
    pub fn record(&mut self, now: Instant, waited: Millis) {
        let (began, sum, count) = self.window;
        if now.since(began) < WINDOW {
            self.window = (began, sum + waited.0, count + 1);
            return;
        }
        if let Some(average) = sum.checked_div(count) {
            self.adapt(average);
        }
        self.window = (now, waited.0, 1);
    }

    fn adapt(&mut self, average_ms: u64) {
        let percent = if average_ms >= PUT_OFF_FROM_MS {
            GROWTH_PERCENT
        } else if average_ms <= RESUME_UP_TO_MS {
            SHRINKING_PERCENT
        } else {
            return;
        };
        self.stretch_percent =
            (self.stretch_percent * percent / 100).clamp(NO_STRETCH, MAX_STRETCH);
    }

    /// Returns by how much intervals of optional work are stretched at present, in percent.
    pub fn stretch_percent(&self) -> u32 {
        self.stretch_percent
    }

    /// Returns whether optional work is put off.
    pub fn puts_off(&self) -> bool {
        self.stretch_percent > NO_STRETCH
    }

    /// Returns an interval of optional work, stretched but at most `limit`.
    pub fn stretched(&self, interval: Millis, limit: Millis) -> Millis {
        let stretched = Millis(interval.0 * u64::from(self.stretch_percent) / 100);
        stretched.min(limit.max(interval))
    }
}
