//! Tests of the learned interference model: it is fed with tail latencies of a simulated queue whose true load
//! and interference factors are known, and must estimate them.

use gaplock_jobs::JobKey;
use gaplock_sched::pacing::{Column, InterferenceModel, Learned, PoolIx, Row, ServingTask};
use gaplock_types::time::Instant;

/// The tail latency of the service at a utilization of 0.
const UNLOADED_TAIL_MS: f64 = 10.0;
const TAIL_TARGET_MS: f64 = 50.0;
const READING_EVERY_MS: u64 = 160;

/// The model, and the simulated service whose readings it learns from.
struct SimulatedService {
    /// The model under test.
    model: InterferenceModel,
    /// The pool of the service.
    pool: PoolIx,
    /// The image of the service.
    row: Row,
    /// A best-effort image with a true interference factor of 2.
    heavy: Column,
    /// A best-effort image that does not interfere.
    light: Column,
    /// The time in milliseconds.
    now: u64,
}

fn serving_task(job: u64, row: Row) -> ServingTask {
    ServingTask { job: JobKey(job), row, target_ms: TAIL_TARGET_MS }
}

fn simulated_service() -> SimulatedService {
    let mut model = InterferenceModel::default();
    let pool = model.pool(&"pool".into());
    let row = model.row("serving");
    let heavy = model.column("heavy");
    let light = model.column("light");
    SimulatedService { model, pool, row, heavy, light, now: 1_000 }
}

/// Returns the true load: it oscillates between 0.2 and 0.7 with a period of 14 s.
fn load_at(ms: u64) -> f64 {
    0.45 + 0.22 * (ms as f64 / 14_000.0 * std::f64::consts::TAU).sin()
}

impl SimulatedService {
    /// Lets the model learn one reading of the tail while the heavy and the light image use the given shares
    /// of the worker's processors. The true factor is 2 for the heavy image and 0 for the light one.
    fn learn_reading(&mut self, heavy: f64, light: f64) {
        let utilization = load_at(self.now) * (1.0 + 2.0 * heavy);
        let tail = (UNLOADED_TAIL_MS / (1.0 - utilization).max(0.01)).round();
        let best_effort: Vec<(Column, f64)> = [(self.heavy, heavy), (self.light, light)]
            .into_iter()
            .filter(|(_, share)| *share > 0.0)
            .collect();
        let task = serving_task(1, self.row);
        self.model.learn(&task, self.pool, &best_effort, tail, Instant(self.now));
        self.now += READING_EVERY_MS;
    }

    /// Lets the model learn many readings beside changing shares of both images.
    fn learn_readings(&mut self, readings: usize) {
        for n in 0..readings {
            let heavy = if n % 3 == 0 { 0.12 } else { 0.0 };
            let light = if n % 4 < 2 { 0.2 } else { 0.0 };
            self.learn_reading(heavy, light);
        }
    }
}

#[test]
fn the_factor_of_a_heavy_image_is_learned_apart_from_a_light_one() {
    let mut service = simulated_service();
    service.learn_readings(400);
    let heavy = service.model.factor(service.row, Some(service.heavy));
    let light = service.model.factor(service.row, Some(service.light));
    assert!(
        (1.2..3.0).contains(&heavy),
        "the true factor of the heavy image is 2, learned {heavy}"
    );
    assert!(light < 0.3, "the true factor of the light image is 0, learned {light}");
}

#[test]
fn the_estimate_follows_an_oscillating_load() {
    let mut service = simulated_service();
    service.learn_readings(400);
    let mut worst: f64 = 0.0;
    for _ in 0..90 {
        service.learn_reading(0.0, 0.1);
        let expected = service.model.load(JobKey(1), Instant(service.now));
        worst = worst.max((expected - load_at(service.now)).abs());
    }
    assert!(worst < 0.15, "the estimated load is off by up to {worst}");
}

#[test]
fn tolerable_interference_falls_as_the_load_rises() {
    let mut service = simulated_service();
    service.learn_readings(400);
    let task = serving_task(1, service.row);
    let mut tolerable = Vec::new();
    for _ in 0..90 {
        service.learn_reading(0.0, 0.0);
        let at = Instant(service.now);
        let load = load_at(service.now);
        tolerable.push((
            load,
            service.model.tolerable_interference(&task, 1.0, service.model.load(JobKey(1), at)),
        ));
    }
    let mean = |low: f64, high: f64| {
        let within: Vec<f64> =
            tolerable.iter().filter(|(l, _)| (low..high).contains(l)).map(|(_, b)| *b).collect();
        within.iter().sum::<f64>() / within.len() as f64
    };
    assert!(
        mean(0.2, 0.35) > 0.8,
        "the mean tolerable interference under a low load is {}, expected more than 0.8",
        mean(0.2, 0.35)
    );
    assert!(
        mean(0.6, 0.7) < 0.4,
        "the mean tolerable interference under a high load is {}, expected less than 0.4",
        mean(0.6, 0.7)
    );
}

#[test]
fn an_unknown_image_is_assumed_to_interfere() {
    let mut service = simulated_service();
    let factor = service.model.factor(service.row, None);
    assert!(factor > 0.0);
    service.learn_readings(10);
    assert!(service.model.factor(service.row, None) > 0.0);
}

#[test]
fn a_successor_restores_the_learned_factors() {
    let mut service = simulated_service();
    service.learn_readings(400);
    let heavy = service.model.factor(service.row, Some(service.heavy));
    let stored = service.model.learned();
    let mut successor = InterferenceModel::default();
    // A successor may encounter the images in another order.
    successor.column("another");
    successor.column("light");
    successor.restore(&stored);
    let row = successor.known_row("serving").expect("the serving image is among the restored ones");
    let kept = successor.factor(row, successor.known_column("heavy"));
    assert!((kept - heavy).abs() < 0.01, "the restored factor is {kept}, learned was {heavy}");
    assert_eq!(successor.learned().images[0].lowest_ms, stored.images[0].lowest_ms);
}

/// Guards against a leader that reads nothing of what an earlier version has learned.
#[test]
fn a_learned_model_of_an_earlier_version_has_no_period() {
    let stored: Learned = serde_json::from_str(r#"{"images":[]}"#).expect("the record is read");
    assert_eq!(stored, Learned::default());
}
