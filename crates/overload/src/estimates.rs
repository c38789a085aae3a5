//! How far callers' estimates of the duration of a task are off.
//!
//! The correction is the ratio of the actual to the estimated time of completed tasks, each
//! weighted by its estimate, so that corrected estimates of a queue add up to the time that its
//! work takes. A mean of the ratios of single tasks would be too high where estimates are off in
//! both directions.

use std::collections::BTreeMap;

use gaplock_types::time::Millis;

use crate::summary::WorkClass;

/// The smallest and the largest correction, also of a single task. One task with a meaningless
/// estimate must not decide the correction of its queue.
const BOUNDS: (f64, f64) = (0.25, 4.0);

/// The number of completed tasks after which a task has half of its first weight. Tasks of one step
/// end together and share their error, so the average spans several jobs of 20 to 40 tasks.
const HALF_LIFE_TASKS: f64 = 200.0;

/// The number of tasks that the assumption of exact estimates counts for, so that the first few
/// tasks of a queue do not decide its correction.
const PRIOR_TASKS: f64 = 5.0;

/// The estimate of one task that stands for those of a previous leader, in milliseconds: about that
/// of batch tasks on the users' sites.
const RESTORED_TASK_MS: f64 = 2_000.0;

/// The decayed sums over the completed tasks of one queue and class.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    tasks: f64,
    estimated_ms: f64,
    actual_ms: f64,
}

impl Sums {
    fn record(&mut self, estimated_ms: f64, actual_ms: f64) {
        let kept = 0.5_f64.powf(1.0 / HALF_LIFE_TASKS);
        self.tasks = self.tasks * kept + 1.0;
        self.estimated_ms = self.estimated_ms * kept + estimated_ms;
        self.actual_ms = self.actual_ms * kept + actual_ms;
    }

    /// Returns the weighted ratio, or 1 if nothing is known.
    fn ratio(&self) -> f64 {
        if self.tasks <= 0.0 {
            return 1.0;
        }
        let prior_ms = PRIOR_TASKS * self.estimated_ms / self.tasks;
        (self.actual_ms + prior_ms) / (self.estimated_ms + prior_ms)
    }
}

/// The corrections of the estimates of each queue and class of work.
#[derive(Debug, Clone, Default)]
pub struct EstimateRatios {
    queues: BTreeMap<String, BTreeMap<WorkClass, Sums>>,
}

impl EstimateRatios {
    /// Records a completed task: its caller's estimate, and the time that it took at full speed.
    pub fn record(&mut self, queue: &str, class: WorkClass, estimate: Millis, actual: Millis) {
        let estimated_ms = estimate.0.max(1) as f64;
        let (min, max) = BOUNDS;
        let actual_ms = (actual.0 as f64).clamp(estimated_ms * min, estimated_ms * max);
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_string(), BTreeMap::new());
        }
        if let Some(classes) = self.queues.get_mut(queue) {
            classes.entry(class).or_default().record(estimated_ms, actual_ms);
        }
    }

    /// Restores a correction that a previous leader has learned. It counts as much as
    /// [`PRIOR_TASKS`] tasks, so that new tasks soon outweigh it. A value that is not finite is
    /// ignored.
    pub fn restore(&mut self, queue: &str, class: WorkClass, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        let (min, max) = BOUNDS;
        let estimated_ms = PRIOR_TASKS * RESTORED_TASK_MS;
        // The ratio includes the assumption of exact estimates, which would lower it once more.
        let actual_ms = estimated_ms * (2.0 * ratio.clamp(min, max) - 1.0).clamp(min, 2.0 * max);
        let sums = Sums { tasks: PRIOR_TASKS, estimated_ms, actual_ms };
        self.queues.entry(queue.to_string()).or_default().insert(class, sums);
    }

    /// Returns the factor by which estimates of a queue and class are to be multiplied.
    pub fn ratio(&self, queue: &str, class: WorkClass) -> f64 {
        let sums = self.queues.get(queue).and_then(|classes| classes.get(&class));
        let (min, max) = BOUNDS;
        sums.map_or(1.0, |sums| sums.ratio().clamp(min, max))
    }

    /// Drops the queues that a new configuration no longer names.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.queues.retain(|queue, _| is_kept(queue));
    }
}
