//! The model of disturbance, fed with readings of queues whose true figures are known.

use gaplock_jobs::JobKey;
use gaplock_sched::pacing::{Column, InterferenceModel, Row, ServingTask};
use gaplock_types::time::Instant;

const UNLOADED_MS: f64 = 10.0;
const TARGET_MS: f64 = 50.0;
const READING_EVERY_MS: u64 = 160;

struct Truth {
    model: InterferenceModel,
    row: Row,
    heavy: Column,
    light: Column,
    now: u64,
}

fn served(job: u64, row: Row) -> ServingTask {
    ServingTask { job: JobKey(job), row, target_ms: TARGET_MS }
}

fn truth() -> Truth {
    let mut model = InterferenceModel::default();
    let row = model.row("serving");
    let heavy = model.column("heavy");
    let light = model.column("light");
    Truth { model, row, heavy, light, now: 1_000 }
}

/// A load between 0.2 and 0.7 that swings every 14 s.
fn load_at(ms: u64) -> f64 {
    0.45 + 0.22 * (ms as f64 / 14_000.0 * std::f64::consts::TAU).sin()
}

impl Truth {
    /// Feeds one reading beside shares of the heavy and the light image; the heavy one's factor is
    /// 2, the light one's is nothing.
    fn read(&mut self, heavy: f64, light: f64) {
        let utilisation = load_at(self.now) * (1.0 + 2.0 * heavy);
        let tail = (UNLOADED_MS / (1.0 - utilisation).max(0.01)).round();
        let filling: Vec<(Column, f64)> = [(self.heavy, heavy), (self.light, light)]
            .into_iter()
            .filter(|(_, share)| *share > 0.0)
            .collect();
        let served = served(1, self.row);
        self.model.learn(&served, &filling, tail, Instant(self.now));
        self.now += READING_EVERY_MS;
    }

    fn day(&mut self, readings: usize) {
        for n in 0..readings {
            let heavy = if n % 3 == 0 { 0.12 } else { 0.0 };
            let light = if n % 4 < 2 { 0.2 } else { 0.0 };
            self.read(heavy, light);
        }
    }
}

#[test]
fn a_heavy_pair_is_told_from_a_light_one() {
    let mut truth = truth();
    truth.day(400);
    let heavy = truth.model.factor(truth.row, Some(truth.heavy));
    let light = truth.model.factor(truth.row, Some(truth.light));
    assert!((1.2..3.0).contains(&heavy), "the heavy factor came out as {heavy}");
    assert!(light < 0.3, "the light factor came out as {light}");
}

#[test]
fn a_swinging_load_is_followed() {
    let mut truth = truth();
    truth.day(400);
    let mut worst: f64 = 0.0;
    for _ in 0..90 {
        truth.read(0.0, 0.1);
        let expected = truth.model.load(JobKey(1), Instant(truth.now), 0.0);
        worst = worst.max((expected - load_at(truth.now)).abs());
    }
    assert!(worst < 0.15, "the load was missed by {worst}");
}

#[test]
fn what_is_bearable_shrinks_with_the_load() {
    let mut truth = truth();
    truth.day(400);
    let served = served(1, truth.row);
    let mut bearable = Vec::new();
    for _ in 0..90 {
        truth.read(0.0, 0.0);
        let at = Instant(truth.now);
        let load = load_at(truth.now);
        bearable.push((load, truth.model.tolerable_interference(&served, 1.0, at, 0.0)));
    }
    let mean = |low: f64, high: f64| {
        let within: Vec<f64> =
            bearable.iter().filter(|(l, _)| (low..high).contains(l)).map(|(_, b)| *b).collect();
        within.iter().sum::<f64>() / within.len() as f64
    };
    assert!(mean(0.2, 0.35) > 0.8, "a low load bears {}", mean(0.2, 0.35));
    assert!(mean(0.6, 0.7) < 0.4, "a high load bears {}", mean(0.6, 0.7));
}

#[test]
fn an_unknown_pair_is_held_to_be_somewhat_disturbing() {
    let mut truth = truth();
    let factor = truth.model.factor(truth.row, None);
    assert!(factor > 0.0);
    truth.day(10);
    assert!(truth.model.factor(truth.row, None) > 0.0);
}

#[test]
fn what_was_learnt_outlives_its_leader() {
    let mut truth = truth();
    truth.day(400);
    let heavy = truth.model.factor(truth.row, Some(truth.heavy));
    let stored = truth.model.learned();
    let mut successor = InterferenceModel::default();
    // A successor may meet the images in another order.
    successor.column("another");
    successor.column("light");
    successor.restore(&stored);
    let row = successor.known_row("serving").expect("the image is known");
    let kept = successor.factor(row, successor.known_column("heavy"));
    assert!((kept - heavy).abs() < 0.01, "{kept} instead of {heavy}");
    assert_eq!(successor.learned().images[0].lowest_ms, stored.images[0].lowest_ms);
}
