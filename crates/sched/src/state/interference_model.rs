//! The learned interference model, which has the form of a queueing model.
//!
//! A serving task's tail latency is `unloaded / (1 - utilization)`. Its utilization is the load of
//! its job, which varies within seconds, times one plus the interference of the best-effort tasks
//! beside it. The interference is the sum, over these tasks, of the share of the processors that
//! each of them uses times a factor that depends on the pair of images; for most pairs the factor
//! is zero. Fitted to 24,000 readings of one calm day this explains 84 to 88 % of their variance
//! (`docs/MEASUREMENTS.md`, section Disturbance).
//!
//! Where the load of a pool's jobs has a confirmed period, a job's load is forecast from its
//! amplitude and phase (`crates/forecast`). Everywhere else it is extrapolated by its slope.

use gaplock_forecast::period::{PeriodChange, PeriodSearch, SeriesId};
use gaplock_forecast::series::Series;
use gaplock_jobs::JobKey;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use rustc_hash::FxHashMap;

use crate::interface::message::{Learned, LearnedFactor, LearnedImage, LearnedPeriod};

/// A serving image by its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Row(pub u16);

/// A best-effort image by its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Column(pub u16);

/// A best-effort task that interferes less than this with a serving image is ignored.
pub const MIN_INTERFERENCE: f64 = 0.02;

/// The number of best-effort images that are told apart; further ones share the last column.
const MAX_COLUMNS: usize = 48;

/// A factor's value before the first reading; measured factors are 0 or 1 to 4.
const FACTOR_PRIOR: f64 = 0.4;

/// How uncertain that value is, as a variance.
const FACTOR_PRIOR_VARIANCE: f64 = 1.5;

/// The variance of one utilization around the model.
const UTILIZATION_NOISE_VARIANCE: f64 = 0.02;

/// How much weight earlier readings keep at each reading; half of it is gone after some 1,400
/// readings.
const FORGETTING_FACTOR: f64 = 0.9995;

/// The utilization from which a reading is only a lower bound: tails far above the target vary
/// widely.
const SATURATED_UTILIZATION: f64 = 0.93;

/// A job's load before its first reading: the middle of measured loads.
const LOAD_PRIOR: f64 = 0.5;

/// The bounds of a job's load, somewhat wider than measured loads.
const LOAD_RANGE: (f64, f64) = (0.05, 0.9);

/// The weight of one reading's residual in its job's load, without interference. A job has some six
/// tasks, each of which is read about once a second.
const LOAD_GAIN: f64 = 0.3;

/// The weight of one reading's residual in the slope of its job's load, per second.
const SLOPE_GAIN: f64 = 0.05;

/// The steepest slope of a load, per second; measured slopes reach 0.1.
const MAX_SLOPE_PER_S: f64 = 0.12;

/// How far a slope is extrapolated without a reading, in seconds.
const SLOPE_HORIZON_S: f64 = 2.0;

/// The load at which the lowest tail is assumed to have been read: measured loads never fell far
/// below it.
const LOAD_AT_LOWEST_TAIL: f64 = 0.2;

/// The largest share of its target that an image's unloaded tail is assumed to be, until lower
/// tails have been read.
const MAX_UNLOADED_SHARE_OF_TARGET: f64 = 0.25;

/// The factor by which the lowest tail grows at each reading, so that old values are forgotten.
const LOWEST_TAIL_GROWTH: f64 = 1.0002;

/// What is learned about one serving image.
#[derive(Debug, Clone)]
struct ServingImage {
    lowest_ms: f64,
    factors: Vec<f64>,
    covariance: Vec<Vec<f64>>,
}

impl ServingImage {
    fn unloaded_ms(&self) -> f64 {
        self.lowest_ms * (1.0 - LOAD_AT_LOWEST_TAIL)
    }

    fn grow(&mut self, size: usize) {
        while self.factors.len() < size {
            for row in &mut self.covariance {
                row.push(0.0);
            }
            let mut row = vec![0.0; self.factors.len()];
            row.push(FACTOR_PRIOR_VARIANCE);
            self.covariance.push(row);
            self.factors.push(FACTOR_PRIOR);
        }
    }

    fn factor(&self, column: Column) -> f64 {
        self.factors.get(usize::from(column.0)).copied().unwrap_or(FACTOR_PRIOR).max(0.0)
    }

    /// Performs one step of recursive least squares.
    fn update(&mut self, inputs: &[f64], output: f64) {
        let gains: Vec<f64> = self.covariance.iter().map(|row| dot(row, inputs)).collect();
        let scale = UTILIZATION_NOISE_VARIANCE + dot(inputs, &gains);
        let residual = output - dot(&self.factors, inputs);
        for (factor, gain) in self.factors.iter_mut().zip(&gains) {
            *factor += gain / scale * residual;
        }
        for (row, gain) in self.covariance.iter_mut().zip(&gains) {
            for (cell, other) in row.iter_mut().zip(&gains) {
                *cell = (*cell - gain * other / scale) / FORGETTING_FACTOR;
            }
        }
        self.bound_covariance();
    }

    /// Limits the variances, which forgetting would otherwise let grow without bound for images
    /// that are not seen for long.
    fn bound_covariance(&mut self) {
        for at in 0..self.factors.len() {
            let variance = self.covariance[at][at];
            if variance <= FACTOR_PRIOR_VARIANCE {
                continue;
            }
            let shrink = (FACTOR_PRIOR_VARIANCE / variance).sqrt();
            for other in 0..self.factors.len() {
                self.covariance[at][other] *= shrink;
                self.covariance[other][at] *= shrink;
            }
        }
    }
}

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(x, y)| x * y).sum()
}

/// A pool of workers by its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PoolIx(u16);

/// How far ahead a load is wanted.
#[derive(Debug, Clone, Copy)]
pub struct Lookahead {
    /// How far ahead the slope is extrapolated, in seconds, where the load has no confirmed period.
    pub slope_s: f64,
    /// The time from now within which the highest load counts, where the load has one.
    pub highest_within: Millis,
}

/// The load of a long-running job, which all its tasks share.
#[derive(Debug, Clone)]
struct Load {
    value: f64,
    slope: f64,
    at: Instant,
    /// The pool whose period the series is fitted to.
    pool: PoolIx,
    series: Series,
}

impl Load {
    fn open(pool: PoolIx, now: Instant) -> Self {
        Self { value: LOAD_PRIOR, slope: 0.0, at: now, pool, series: Series::default() }
    }

    /// Returns the load expected `ahead_s` seconds after `now`.
    fn expected(&self, now: Instant, ahead_s: f64) -> f64 {
        let age_s = now.since(self.at).0 as f64 / 1_000.0 + ahead_s;
        let value = self.value + self.slope * age_s.min(SLOPE_HORIZON_S);
        value.clamp(LOAD_RANGE.0, LOAD_RANGE.1)
    }
}

/// The properties of a serving task that the model needs.
#[derive(Debug, Clone, Copy)]
pub struct ServingTask {
    /// The long-running job.
    pub job: JobKey,
    /// The image.
    pub row: Row,
    /// The target for the tail in milliseconds.
    pub target_ms: f64,
}

/// The least variance of a factor after a change of leader: the factor may have changed in the
/// meantime.
const MIN_RESTORED_VARIANCE: f64 = 0.1;

/// What is known about the interference between images.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    rows: FxHashMap<String, Row>,
    columns: FxHashMap<String, Column>,
    images: Vec<ServingImage>,
    loads: FxHashMap<JobKey, Load>,
    /// Whether loads are forecast by their period.
    forecasts_load: bool,
    pools: FxHashMap<ids::ServiceId, PoolIx>,
    periods: Vec<PeriodSearch>,
}

impl InterferenceModel {
    /// Creates a model that knows nothing yet.
    pub fn open(forecasts_load: bool) -> Self {
        Self { forecasts_load, ..Self::default() }
    }

    /// Returns a pool's position, adding one for a new pool.
    pub fn pool(&mut self, service: &ids::ServiceId) -> PoolIx {
        match self.pools.get(service) {
            Some(&pool) => pool,
            None => self.add_pool(service, None),
        }
    }

    fn add_pool(&mut self, service: &ids::ServiceId, period: Option<Millis>) -> PoolIx {
        let pool = PoolIx(self.periods.len() as u16);
        self.periods.push(PeriodSearch::open(period));
        self.pools.insert(service.clone(), pool);
        pool
    }

    /// Looks for the period of a pool's loads, and returns whether the confirmed one has changed.
    pub fn update_period(&mut self, pool: PoolIx, now: Instant) -> Option<PeriodChange> {
        self.periods[usize::from(pool.0)].update(now)
    }

    /// Lists the pools whose loads have a confirmed period.
    pub fn confirmed_periods(&self) -> impl Iterator<Item = (&ids::ServiceId, Millis)> {
        self.pools.iter().filter_map(|(pool, ix)| Some((pool, self.period(*ix)?)))
    }

    /// Returns the confirmed period of a pool's loads.
    pub fn confirmed_period(&self, service: &ids::ServiceId) -> Option<Millis> {
        self.period(*self.pools.get(service)?)
    }

    fn period(&self, pool: PoolIx) -> Option<Millis> {
        self.periods[usize::from(pool.0)].period()
    }

    /// Returns a serving image's row, adding one for a new image.
    pub fn row(&mut self, image: &str) -> Row {
        if let Some(&row) = self.rows.get(image) {
            return row;
        }
        let row = Row(self.images.len() as u16);
        let (factors, covariance) = (Vec::new(), Vec::new());
        self.images.push(ServingImage { lowest_ms: f64::INFINITY, factors, covariance });
        self.rows.insert(image.to_string(), row);
        row
    }

    /// Returns a best-effort image's column, adding one for a new image.
    pub fn column(&mut self, image: &str) -> Column {
        if let Some(&column) = self.columns.get(image) {
            return column;
        }
        let column = Column(self.columns.len().min(MAX_COLUMNS - 1) as u16);
        self.columns.insert(image.to_string(), column);
        column
    }

    /// Returns a serving image's row, if it has been seen.
    pub fn known_row(&self, image: &str) -> Option<Row> {
        self.rows.get(image).copied()
    }

    /// Returns a best-effort image's column, if it has been seen.
    pub fn known_column(&self, image: &str) -> Option<Column> {
        self.columns.get(image).copied()
    }

    /// Returns what has been learned, rounded, for the next leader.
    pub fn learned(&self) -> Learned {
        let round = |x: f64| (x * 100.0).round() / 100.0;
        let mut images: Vec<LearnedImage> = Vec::new();
        for (name, row) in &self.rows {
            let image = &self.images[usize::from(row.0)];
            if !image.lowest_ms.is_finite() {
                continue;
            }
            let known = self.columns.iter().filter(|(_, c)| usize::from(c.0) < image.factors.len());
            let mut factors: Vec<LearnedFactor> = known
                .map(|(name, column)| LearnedFactor {
                    image: name.clone(),
                    factor: round(image.factor(*column)),
                    variance: round(image.covariance[usize::from(column.0)][usize::from(column.0)]),
                })
                .collect();
            factors.sort_by(|a, b| a.image.cmp(&b.image));
            let lowest_ms = round(image.lowest_ms);
            images.push(LearnedImage { image: name.clone(), lowest_ms, factors });
        }
        images.sort_by(|a, b| a.image.cmp(&b.image));
        let mut periods: Vec<LearnedPeriod> = self
            .confirmed_periods()
            .map(|(pool, period)| LearnedPeriod { pool: pool.clone(), period })
            .collect();
        periods.sort_by(|a, b| a.pool.cmp(&b.pool));
        Learned { images, periods }
    }

    /// Restores what a previous leader has learned.
    pub fn restore(&mut self, learned: &Learned) {
        if self.forecasts_load {
            for known in &learned.periods {
                if !self.pools.contains_key(&known.pool) {
                    self.add_pool(&known.pool, Some(known.period));
                }
            }
        }
        for known in &learned.images {
            let row = self.row(&known.image);
            for factor in &known.factors {
                self.column(&factor.image);
            }
            let columns = self.columns.len().min(MAX_COLUMNS);
            let placed: Vec<(usize, &LearnedFactor)> = known
                .factors
                .iter()
                .filter_map(|f| Some((usize::from(self.known_column(&f.image)?.0), f)))
                .collect();
            let image = &mut self.images[usize::from(row.0)];
            image.lowest_ms = known.lowest_ms;
            image.grow(columns);
            for (at, factor) in placed {
                image.factors[at] = factor.factor;
                image.covariance[at][at] =
                    factor.variance.clamp(MIN_RESTORED_VARIANCE, FACTOR_PRIOR_VARIANCE);
            }
        }
    }

    /// Returns the interference of a best-effort image with a serving one, per share of the
    /// worker's processors that it uses, where 1 is all of them.
    pub fn factor(&self, row: Row, column: Option<Column>) -> f64 {
        column.map_or(FACTOR_PRIOR, |c| self.images[usize::from(row.0)].factor(c))
    }

    /// Returns the interference of best-effort tasks with a serving image.
    pub fn interference(&self, row: Row, best_effort: impl Iterator<Item = (Column, f64)>) -> f64 {
        let image = &self.images[usize::from(row.0)];
        best_effort.map(|(column, share)| image.factor(column) * share).sum()
    }

    /// Returns the share of the known best-effort images of which one more task, using `share` of a
    /// worker's processors, is tolerable beside serving images with this much spare interference.
    pub fn fitting_image_share(&self, spare: &[(Row, f64)], share: f64) -> f64 {
        let columns = self.columns.len().min(MAX_COLUMNS);
        if columns == 0 {
            return 1.0;
        }
        let tolerable = |column: Column| {
            let interference = |row: Row| self.factor(row, Some(column)) * share;
            spare.iter().all(|&(row, left)| {
                interference(row) < MIN_INTERFERENCE || interference(row) <= left
            })
        };
        let fitting = (0..columns as u16).filter(|&c| tolerable(Column(c))).count();
        fitting as f64 / columns as f64
    }

    /// Returns a job's expected load now.
    pub fn load(&self, job: JobKey, now: Instant) -> f64 {
        self.load_ahead(job, now, Lookahead { slope_s: 0.0, highest_within: Millis(0) })
    }

    /// Returns a job's expected load: the highest one within the lookahead where the load has a
    /// confirmed period, otherwise the one at its end.
    pub fn load_ahead(&self, job: JobKey, now: Instant, ahead: Lookahead) -> f64 {
        let Some(load) = self.loads.get(&job) else { return LOAD_PRIOR };
        let period = self.period(load.pool);
        let forecast = period.and_then(|_| load.series.highest(now, ahead.highest_within));
        match forecast {
            Some(highest) => highest.clamp(LOAD_RANGE.0, LOAD_RANGE.1),
            None => load.expected(now, ahead.slope_s),
        }
    }

    /// Forgets a job's load.
    pub fn forget(&mut self, job: JobKey) {
        self.loads.remove(&job);
    }

    /// Returns the highest interference at which a serving task's expected tail is still within
    /// `share` of its target under a load; negative if the load alone exceeds that.
    pub fn tolerable_interference(&self, task: &ServingTask, share: f64, load: f64) -> f64 {
        self.utilization(task, task.target_ms * share) / load - 1.0
    }

    /// Returns the utilization that a tail implies.
    pub fn utilization(&self, task: &ServingTask, tail_ms: f64) -> f64 {
        let max_unloaded = task.target_ms * MAX_UNLOADED_SHARE_OF_TARGET;
        let unloaded = self.images[usize::from(task.row.0)].unloaded_ms().min(max_unloaded);
        (1.0 - unloaded / tail_ms.max(1.0)).max(0.0)
    }

    /// Learns from one reading of a serving task's tail beside best-effort tasks.
    pub fn learn(
        &mut self,
        task: &ServingTask,
        pool: PoolIx,
        best_effort: &[(Column, f64)],
        tail_ms: f64,
        now: Instant,
    ) {
        let columns = self.columns.len().min(MAX_COLUMNS);
        let image = &mut self.images[usize::from(task.row.0)];
        image.lowest_ms = (image.lowest_ms * LOWEST_TAIL_GROWTH).min(tail_ms);
        image.grow(columns);
        let utilization = self.utilization(task, tail_ms);
        let interference = self.interference(task.row, best_effort.iter().copied());
        let load = self.load(task.job, now);
        let expected = load * (1.0 + interference);
        let saturated = utilization >= SATURATED_UTILIZATION;
        if saturated && expected >= SATURATED_UTILIZATION {
            return;
        }
        if !best_effort.is_empty() {
            let mut inputs = vec![0.0; columns];
            for (column, share) in best_effort {
                inputs[usize::from(column.0)] += share * load;
            }
            self.images[usize::from(task.row.0)].update(&inputs, utilization - load);
        }
        self.update_load((task.job, pool), utilization, interference, now);
    }

    /// Updates a job's load from a reading, which counts less the more interference there is.
    fn update_load(
        &mut self,
        (job, pool): (JobKey, PoolIx),
        utilization: f64,
        interference: f64,
        now: Instant,
    ) {
        let load = self.loads.entry(job).or_insert_with(|| Load::open(pool, now));
        let value = load.expected(now, 0.0);
        let weight = 1.0 / ((1.0 + interference) * (1.0 + 2.0 * interference));
        let measured = utilization / (1.0 + interference);
        let residual = measured - value;
        let slope = load.slope + SLOPE_GAIN * weight * residual;
        load.value = (value + LOAD_GAIN * weight * residual).clamp(LOAD_RANGE.0, LOAD_RANGE.1);
        load.slope = slope.clamp(-MAX_SLOPE_PER_S, MAX_SLOPE_PER_S);
        load.at = now;
        if self.forecasts_load {
            let search = &mut self.periods[usize::from(load.pool.0)];
            if let Some(bin) = load.series.observe(now, measured, weight, search.period()) {
                search.add(SeriesId(job.0), &bin);
            }
        }
    }

    /// Describes the learned factors, for the log.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for (image, row) in &self.rows {
            let learned = &self.images[usize::from(row.0)];
            text.push_str(&format!("{image} unloaded {:.1} ms:", learned.unloaded_ms()));
            for (other, column) in &self.columns {
                text.push_str(&format!(" factor of {other} {:.1}", learned.factor(*column)));
            }
            text.push_str("; ");
        }
        text
    }
}
