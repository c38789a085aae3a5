//! Tests of the search for a period and of the forecast, on series of samples whose true load is known.

use std::f64::consts::TAU;

use gaplock_forecast::period::{PeriodChange, PeriodSearch, SeriesId};
use gaplock_forecast::series::Series;
use gaplock_types::time::{Instant, Millis};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The interval between the samples of one series: a job's tasks are read some seven times a second.
const SAMPLE_EVERY_MS: u64 = 140;

/// The standard deviation of a sample, against a sine wave of amplitude 0.2. It leaves a quarter of the variance
/// unexplained, within the 7 to 38 % of the users' serving jobs.
const NOISE: f64 = 0.08;

/// Several series that are searched together, with samples of a known load.
struct Group {
    search: PeriodSearch,
    series: Vec<Series>,
    now: Instant,
    rng: ChaCha8Rng,
    changes: Vec<PeriodChange>,
}

impl Group {
    fn open(seed: u64, series: usize) -> Self {
        Self {
            search: PeriodSearch::open(None),
            series: vec![Series::default(); series],
            now: Instant(10_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            changes: Vec::new(),
        }
    }

    /// Returns noise with the given standard deviation.
    fn noise(&mut self, deviation: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        (sum - 6.0) * deviation
    }

    /// Feeds all series for a while; `load` is the true load of a series at a time.
    fn feed(&mut self, ms: u64, noise: f64, load: impl Fn(usize, u64) -> f64) {
        let until = self.now + Millis(ms);
        while self.now < until {
            self.now = self.now + Millis(SAMPLE_EVERY_MS);
            for at in 0..self.series.len() {
                let value = load(at, self.now.0) + self.noise(noise);
                let period = self.search.period();
                if let Some(bin) = self.series[at].observe(self.now, value, 1.0, period) {
                    self.search.add(SeriesId(at as u64), &bin);
                }
            }
            self.changes.extend(self.search.update(self.now));
        }
    }

    /// Returns the root of the mean squared error of the forecasts `ahead` from now.
    fn error_ahead(&self, ahead: Millis, load: impl Fn(usize, u64) -> f64) -> f64 {
        let errors = self.series.iter().enumerate().map(|(at, series)| {
            let later = self.now + ahead;
            let expected = series.highest(later, Millis(0)).expect("the series has a fit");
            (expected - load(at, later.0)).powi(2)
        });
        (errors.sum::<f64>() / self.series.len() as f64).sqrt()
    }
}

/// Returns a load with a period of its own phase for each series.
fn sine(period_ms: f64) -> impl Fn(usize, u64) -> f64 + Copy {
    move |series, at| 0.45 + 0.2 * ((at as f64 / period_ms + series as f64 * 0.37) * TAU).sin()
}

fn assert_near(period: Option<Millis>, expected_ms: f64, what: &str) {
    let found = period.map_or(0.0, |period| period.0 as f64);
    assert!((found / expected_ms - 1.0).abs() < 0.04, "{what}: found {found}, true {expected_ms}");
}

/// Guards against a period that is found only without noise, or only with one phase.
#[test]
fn the_period_of_series_with_different_phases_is_found_among_noise() {
    for (seed, period_ms) in [(1, 4_000.0), (2, 7_300.0), (3, 10_000.0), (4, 21_000.0)] {
        let mut group = Group::open(seed, 12);
        group.feed(period_ms as u64 * 2 + 8_000, NOISE, sine(period_ms));
        assert_near(group.search.period(), period_ms, "12 series");
        let error = group.error_ahead(Millis(2_000), sine(period_ms));
        assert!(error < 0.04, "period {period_ms}: forecasts 2 s ahead are off by {error}");
        assert_eq!(group.changes.len(), 1, "another period came first: {:?}", group.changes);
    }
}

/// Guards against a period that a single job cannot confirm, and against one confirmed from less than one and a
/// half cycles, in which a drift looks the same.
#[test]
fn one_series_confirms_a_period_after_one_and_a_half_cycles() {
    let mut group = Group::open(5, 1);
    group.feed(14_000, NOISE / 2.0, sine(10_000.0));
    assert_eq!(group.search.period(), None, "confirmed before one and a half periods");
    group.feed(8_000, NOISE / 2.0, sine(10_000.0));
    assert_near(group.search.period(), 10_000.0, "one series");
}

/// Guards against a period that is confirmed late although many series show it, so that a load of minutes is
/// served without a forecast.
#[test]
fn many_series_confirm_a_period_within_one_cycle() {
    let mut group = Group::open(6, 16);
    group.feed(10_500, NOISE, sine(10_000.0));
    let found = group.search.period().map_or(0.0, |period| period.0 as f64);
    assert!((found / 10_000.0 - 1.0).abs() < 0.25, "found {found} within one cycle");
    group.feed(20_000, NOISE, sine(10_000.0));
    assert_near(group.search.period(), 10_000.0, "after three cycles");
}

/// Guards against false periods of many series, which need fewer cycles.
#[test]
fn many_drifting_or_noisy_series_confirm_no_period() {
    for seed in 40..50 {
        let mut noisy = Group::open(seed, 16);
        noisy.feed(60_000, NOISE, |_, _| 0.45);
        assert_eq!(noisy.changes, [], "noise, seed {seed}");
        let mut drifting = Group::open(seed, 16);
        let mut walk = ChaCha8Rng::seed_from_u64(seed);
        let mut load = [0.45; 16];
        for _ in 0..120 {
            load.iter_mut().for_each(|load| *load += walk.random_range(-0.05..0.05));
            drifting.feed(500, NOISE / 4.0, |at, _| load[at]);
        }
        assert_eq!(drifting.changes, [], "a drifting load, seed {seed}");
    }
}

/// Guards against false periods: they would keep tasks from starting for a peak that does not come.
#[test]
fn no_period_is_found_in_noise_a_constant_load_or_a_drift() {
    for seed in 10..25 {
        let mut noisy = Group::open(seed, 1);
        noisy.feed(90_000, NOISE, |_, _| 0.45);
        assert_eq!(noisy.changes, [], "noise, seed {seed}");
        let mut constant = Group::open(seed, 4);
        constant.feed(90_000, 0.0, |_, _| 0.45);
        assert_eq!(constant.changes, [], "a constant load, seed {seed}");
        let mut drifting = Group::open(seed, 4);
        let mut walk = ChaCha8Rng::seed_from_u64(seed);
        let mut load = [0.45; 4];
        for _ in 0..180 {
            load.iter_mut().for_each(|load| *load += walk.random_range(-0.05..0.05));
            drifting.feed(500, NOISE / 4.0, |at, _| load[at]);
        }
        assert_eq!(drifting.changes, [], "a drifting load, seed {seed}");
    }
}

/// Guards against a confirmed period that stays when the users' habits change.
#[test]
fn a_changed_period_replaces_the_confirmed_one_and_noise_drops_it() {
    let mut group = Group::open(30, 12);
    group.feed(30_000, NOISE, sine(10_000.0));
    group.feed(60_000, NOISE, sine(6_000.0));
    assert_near(group.search.period(), 6_000.0, "after a change of the period");
    group.feed(120_000, NOISE, |_, _| 0.45);
    assert_eq!(group.search.period(), None, "the period stays in noise");
    let last = group.changes.last();
    assert!(matches!(last, Some(PeriodChange::Dropped { .. })), "the last change is {last:?}");
}

/// Guards against forecasts that end with one lost reading, and against old ones that never end.
#[test]
fn a_forecast_outlives_missing_samples_for_one_period() {
    let mut group = Group::open(40, 12);
    group.feed(30_000, NOISE, sine(10_000.0));
    let error = group.error_ahead(Millis(9_000), sine(10_000.0));
    assert!(error < 0.08, "after 9 s without samples forecasts are off by {error}");
    let late = group.now + Millis(11_000);
    assert!(group.series.iter().all(|series| series.highest(late, Millis(0)).is_none()));
    group.now = late;
    group.feed(2_000, NOISE, sine(10_000.0));
    assert_near(group.search.period(), 10_000.0, "after a gap of 11 s");
    let error = group.error_ahead(Millis(1_000), sine(10_000.0));
    assert!(error < 0.06, "2 s after the gap forecasts are off by {error}");
}

/// Guards against a successor that waits for one and a half periods although it knows the period, and against
/// forecasts from less than half a period.
#[test]
fn with_a_known_period_half_of_it_determines_a_series() {
    let mut group = Group::open(50, 12);
    group.search = PeriodSearch::open(Some(Millis(10_000)));
    group.feed(4_000, NOISE, sine(10_000.0));
    assert!(group.series.iter().all(|series| series.highest(group.now, Millis(0)).is_none()));
    group.feed(3_000, NOISE, sine(10_000.0));
    let error = group.error_ahead(Millis(2_000), sine(10_000.0));
    assert!(error < 0.1, "forecasts after 7 s are off by {error}");
    assert_eq!(group.changes, [], "the known period was confirmed or dropped again");
}

/// Guards against a peak that is overlooked because it lies within the time ahead and not at its end.
#[test]
fn the_highest_load_within_a_time_ahead_includes_a_peak_inside_it() {
    let mut group = Group::open(60, 1);
    // Ends in the trough of the wave, which rises for 5 s.
    group.feed(47_500, 0.0, |_, at| sine(10_000.0)(0, at));
    let highest = |ms| group.series[0].highest(group.now, Millis(ms)).expect("there is a fit");
    assert!(highest(1_000) < 0.35, "1 s after the trough: {}", highest(1_000));
    assert!((0.4..0.5).contains(&highest(2_500)), "at the middle: {}", highest(2_500));
    for ms in [6_000, 10_000, 1_000_000] {
        assert!((0.62..0.68).contains(&highest(ms)), "within {ms} ms: {}", highest(ms));
    }
}

/// Guards against arithmetic that overflows or yields no number on values from outside.
#[test]
fn extreme_input_yields_finite_forecasts_and_no_period() {
    for restored in [0, 1, 2_999, 40_001, u64::MAX] {
        assert_eq!(PeriodSearch::open(Some(Millis(restored))).period(), None);
    }
    let mut search = PeriodSearch::open(None);
    let mut series = Series::default();
    let values = [f64::NAN, f64::INFINITY, f64::MAX, -f64::MAX, f64::MIN_POSITIVE, 0.0];
    let weights = [f64::NAN, -1.0, 0.0, f64::MIN_POSITIVE, 1.0, f64::MAX];
    for n in 0..2_000_u64 {
        let at = match n % 500 {
            499 => Instant(u64::MAX - n),
            _ => Instant(n * 400),
        };
        let (value, weight) = (values[n as usize % 6], weights[n as usize / 6 % 6]);
        let period =
            [None, Some(Millis(0)), Some(Millis(1)), Some(Millis(u64::MAX))][n as usize % 4];
        if let Some(bin) = series.observe(at, value, weight, period) {
            search.add(SeriesId(n % 40), &bin);
        }
        assert_eq!(search.update(at), None);
        let within = Millis(if n % 2 == 0 { u64::MAX } else { 0 });
        assert!(series.highest(at, within).is_none_or(f64::is_finite), "sample {n}");
    }
}
