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
/// unexplained, as measured.
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

#[test]
fn the_period_of_series_with_different_phases_is_found_among_noise() {
    for (seed, period_ms) in [(1, 4_000.0), (2, 7_300.0), (3, 10_000.0), (4, 21_000.0)] {
        let mut group = Group::open(seed, 12);
        group.feed(period_ms as u64 * 2 + 8_000, NOISE, sine(period_ms));
        assert_near(group.search.period(), period_ms, "12 series");
        let error = group.error_ahead(Millis(2_000), sine(period_ms));
        println!("{period_ms} {error} {:?}", group.changes);
        assert!(error < 0.06, "period {period_ms}: forecasts 2 s ahead are off by {error}");
    }
}
