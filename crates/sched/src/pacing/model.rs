//! The learnt model of disturbance: recursive least squares, one regression for each serving image.
//!
//! For a serving image, `ln(tail / target) = base + sum over filling tasks of factor * share`. The
//! regression forgets slowly, since factors shift. Images are few (some ten of each kind on the
//! users' sites), so plain dense matrices do.

use gaplock_jobs::JobKey;
use rustc_hash::FxHashMap;

/// A serving image by its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Row(pub u16);

/// A filling image by its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Column(pub u16);

/// The most filling images that are told apart; further ones share the last column.
const MOST_COLUMNS: usize = 48;

/// What a factor is held to be before anything was seen: a quarter of the pairs measured had
/// factors of 3 to 10, the others near nothing.
const FACTOR_PRIOR: f64 = 1.5;

/// How uncertain that is, as a variance.
const FACTOR_VARIANCE: f64 = 12.0;

/// What a serving task's level is held to be alone: two fifths of its target.
const BASE_PRIOR: f64 = -0.9;

/// How uncertain that is, as a variance.
const BASE_VARIANCE: f64 = 0.3;

/// The variance of one reading around the model, as measured.
const NOISE_VARIANCE: f64 = 0.4;

/// How much of the past each reading forgets; half of it after some 1,400 readings.
const KEPT: f64 = 0.9995;

/// The largest level, either way, that a reading counts as; a single wild one teaches little.
const LEVEL_MOST: f64 = 2.5;

/// How much of one reading's surprise enters its job's load: a job has some six tasks, each read
/// about once a second, and its load swings over some ten seconds.
const LOAD_GAIN: f64 = 0.25;

/// The largest effect of a job's load either way, as measured without filling tasks.
const LOAD_MOST: f64 = 0.6;

/// One serving image's regression; position 0 is the base, position `c + 1` is column `c`.
#[derive(Debug, Clone)]
struct Regression {
    weights: Vec<f64>,
    covariance: Vec<Vec<f64>>,
}

impl Regression {
    fn new() -> Self {
        Self { weights: vec![BASE_PRIOR], covariance: vec![vec![BASE_VARIANCE]] }
    }

    fn grow(&mut self, size: usize) {
        while self.weights.len() < size {
            for row in &mut self.covariance {
                row.push(0.0);
            }
            let mut row = vec![0.0; self.weights.len()];
            row.push(FACTOR_VARIANCE);
            self.covariance.push(row);
            self.weights.push(FACTOR_PRIOR);
        }
    }

    fn factor(&self, column: Column) -> f64 {
        self.weights.get(usize::from(column.0) + 1).copied().unwrap_or(FACTOR_PRIOR).max(0.0)
    }

    fn update(&mut self, inputs: &[f64], level: f64) {
        let gains: Vec<f64> = self.covariance.iter().map(|row| dot(row, inputs)).collect();
        let scale = NOISE_VARIANCE + dot(inputs, &gains);
        let surprise = level - dot(&self.weights, inputs);
        for (weight, gain) in self.weights.iter_mut().zip(&gains) {
            *weight += gain / scale * surprise;
        }
        for (row, gain) in self.covariance.iter_mut().zip(&gains) {
            for (cell, other) in row.iter_mut().zip(&gains) {
                *cell = (*cell - gain * other / scale) / KEPT;
            }
        }
        self.bound_covariance();
    }

    /// Keeps forgetting from blowing up the uncertainty of images that are not seen for long.
    fn bound_covariance(&mut self) {
        for at in 0..self.weights.len() {
            let most = if at == 0 { BASE_VARIANCE } else { FACTOR_VARIANCE };
            let variance = self.covariance[at][at];
            if variance <= most {
                continue;
            }
            let shrink = (most / variance).sqrt();
            for other in 0..self.weights.len() {
                self.covariance[at][other] *= shrink;
                self.covariance[other][at] *= shrink;
            }
        }
    }
}

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(x, y)| x * y).sum()
}

/// What is known of how images disturb each other.
#[derive(Debug, Default)]
pub struct Model {
    rows: FxHashMap<String, Row>,
    columns: FxHashMap<String, Column>,
    regressions: Vec<Regression>,
    loads: FxHashMap<JobKey, f64>,
}

impl Model {
    /// Returns a serving image's row, adding it where it is new.
    pub fn row(&mut self, image: &str) -> Row {
        if let Some(&row) = self.rows.get(image) {
            return row;
        }
        let row = Row(self.regressions.len() as u16);
        self.regressions.push(Regression::new());
        self.rows.insert(image.to_string(), row);
        row
    }

    /// Returns a filling image's column, adding it where it is new.
    pub fn column(&mut self, image: &str) -> Column {
        if let Some(&column) = self.columns.get(image) {
            return column;
        }
        let column = Column(self.columns.len().min(MOST_COLUMNS - 1) as u16);
        self.columns.insert(image.to_string(), column);
        column
    }

    /// Returns a serving image's row, if it has been seen.
    pub fn known_row(&self, image: &str) -> Option<Row> {
        self.rows.get(image).copied()
    }

    /// Returns a filling image's column, if it has been seen.
    pub fn known_column(&self, image: &str) -> Option<Column> {
        self.columns.get(image).copied()
    }

    /// Returns by how much a serving image's level grows with the processor share of a filling one.
    pub fn factor(&self, row: Row, column: Option<Column>) -> f64 {
        column.map_or(FACTOR_PRIOR, |c| self.regressions[usize::from(row.0)].factor(c))
    }

    /// Returns a serving image's expected level, `ln(tail / target)`, beside filling tasks.
    pub fn expect(&self, row: Row, filling: impl Iterator<Item = (Column, f64)>) -> f64 {
        let regression = &self.regressions[usize::from(row.0)];
        let pressed: f64 = filling.map(|(c, share)| regression.factor(c) * share).sum();
        regression.weights[0] + pressed
    }

    /// Returns how far a lasting job's load lately raised its level above its image's.
    pub fn load(&self, job: JobKey) -> f64 {
        self.loads.get(&job).copied().unwrap_or(0.0)
    }

    /// Forgets a job's load.
    pub fn forget(&mut self, job: JobKey) {
        self.loads.remove(&job);
    }

    /// Takes in one reading of a serving task's level beside filling tasks.
    pub fn learn(&mut self, job: JobKey, row: Row, filling: &[(Column, f64)], level: f64) {
        let level = level.clamp(-LEVEL_MOST, LEVEL_MOST);
        let load = self.loads.entry(job).or_insert(0.0);
        let regression = &mut self.regressions[usize::from(row.0)];
        regression.grow(self.columns.len().min(MOST_COLUMNS) + 1);
        let mut inputs = vec![0.0; regression.weights.len()];
        inputs[0] = 1.0;
        for (column, share) in filling {
            inputs[usize::from(column.0) + 1] += share;
        }
        let surprise = level - dot(&regression.weights, &inputs) - *load;
        regression.update(&inputs, level - *load);
        *load = (*load + LOAD_GAIN * surprise).clamp(-LOAD_MOST, LOAD_MOST);
    }
}

impl Model {
    /// Describes the learnt factors.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for (image, row) in &self.rows {
            let r = &self.regressions[usize::from(row.0)];
            text.push_str(&format!("{image} base {:.2}:", r.weights[0]));
            for (other, column) in &self.columns {
                text.push_str(&format!(" {other}={:.1}", r.factor(*column)));
            }
            text.push_str("; ");
        }
        text
    }
}
