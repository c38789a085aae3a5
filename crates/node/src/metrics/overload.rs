//! Metrics of overload control: the load of queues and pools, what limits it, and refusals.

use gaplock_overload::summary::{QueueLoad, WorkClass};
use gaplock_sched::shares::ClassShare;
use gaplock_types::ids;
use gaplock_types::time::Millis;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::node::KnownLoad;

/// A class of work of a queue as a label.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueueClassLabel {
    queue: String,
    class: String,
}

/// The metrics of one class of work of one queue.
struct QueueMetrics {
    backlog_core_s: Family<QueueClassLabel, Gauge>,
    drain_ms: Family<QueueClassLabel, Gauge>,
    arriving: Family<QueueClassLabel, Gauge>,
    completed: Family<QueueClassLabel, Gauge>,
    running: Family<QueueClassLabel, Gauge>,
    waiting: Family<QueueClassLabel, Gauge>,
}

impl QueueMetrics {
    fn open(registry: &mut Registry) -> Self {
        let mut family = |name: &str, help: &str| {
            let family = Family::<QueueClassLabel, Gauge>::default();
            registry.register(name, help, family.clone());
            family
        };
        let help = "Estimated work that is left of a queue's accepted jobs, in core seconds";
        Self {
            backlog_core_s: family("queue_backlog_core_s", help),
            drain_ms: family("queue_drain_ms", "Time to drain a queue's backlog; -1 for none"),
            arriving: family("queue_arriving_core_ms_per_s", "Work that arrives per second"),
            completed: family("queue_completed_core_ms_per_s", "Work that is done per second"),
            running: family("queue_running_millicores", "Demand of the tasks at workers"),
            waiting: family("queue_waiting_millicores", "Demand of the tasks that wait"),
        }
    }

    fn families(&self) -> [&Family<QueueClassLabel, Gauge>; 6] {
        let Self { backlog_core_s, drain_ms, arriving, completed, running, waiting } = self;
        [backlog_core_s, drain_ms, arriving, completed, running, waiting]
    }

    /// Shows the load of these queues and of no others; the summary bounds their number.
    fn show(&self, queues: &[QueueLoad]) {
        self.families().into_iter().for_each(Family::clear);
        for load in queues {
            let label =
                QueueClassLabel { queue: load.queue.clone(), class: load.class.name().to_string() };
            let set = |family: &Family<QueueClassLabel, Gauge>, value: u64| {
                family.get_or_create(&label).set(i64::try_from(value).unwrap_or(i64::MAX));
            };
            set(&self.backlog_core_s, load.backlog_core_ms / 1_000);
            set(&self.arriving, load.arriving_core_ms_per_s);
            set(&self.completed, load.completed_core_ms_per_s);
            set(&self.running, load.running_millicores);
            set(&self.waiting, load.waiting_millicores);
            match load.time_to_drain() {
                Some(drain) => set(&self.drain_ms, drain.0),
                None => {
                    self.drain_ms.get_or_create(&label).set(-1);
                }
            }
        }
    }
}

/// A pool as a label.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PoolLabel {
    pool: String,
}

/// The age from which a load summary is no longer shown. Hosts act as if they had none from then
/// on, too.
const LOAD_SHOWN_FOR: Millis = Millis(2_000);

/// A class of work in a pool as a label.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabel {
    pool: String,
    class: &'static str,
}

/// A queue as a label; the configuration bounds their number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueueLabel {
    queue: String,
}

/// A queue and the reason of a refusal as labels.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    queue: String,
    reason: String,
}

/// The maximum number of pools that are shown: a limit whatever the configuration names.
const MAX_POOLS_SHOWN: usize = 64;
/// The maximum number of classes of work that are shown, over all pools: a limit whatever the
/// configuration names.
const MAX_CLASSES_SHOWN: usize = 64;

/// The metrics of overload control.
pub struct OverloadMetrics {
    load_periods: Family<PoolLabel, Gauge>,
    best_effort_limit: Family<PoolLabel, Gauge>,
    best_effort_at_work: Family<PoolLabel, Gauge>,
    class_entitled: Family<ClassLabel, Gauge>,
    class_in_use: Family<ClassLabel, Gauge>,
    refused_jobs: Family<RefusalLabel, Counter>,
    returned_jobs: Family<QueueLabel, Counter>,
    load_summary_age_ms: Gauge,
    pool_millicores: Family<PoolLabel, Gauge>,
    queues: QueueMetrics,
}

/// Builds and registers the metrics.
pub fn open(registry: &mut Registry) -> OverloadMetrics {
    let load_periods = Family::<PoolLabel, Gauge>::default();
    let help = "Confirmed period of the load of a pool's serving jobs";
    registry.register("load_period_ms", help, load_periods.clone());
    let best_effort_limit = Family::<PoolLabel, Gauge>::default();
    let help = "Limit on the best-effort demand at work in a pool, while one is in force";
    registry.register("best_effort_limit_millicores", help, best_effort_limit.clone());
    let best_effort_at_work = Family::<PoolLabel, Gauge>::default();
    let help = "Best-effort demand of a pool that is at a worker and not halted";
    registry.register("best_effort_at_work_millicores", help, best_effort_at_work.clone());
    let pool_millicores = Family::<PoolLabel, Gauge>::default();
    let help = "Processors of all workers of a pool that accept tasks, by this host's load summary";
    registry.register("pool_millicores", help, pool_millicores.clone());
    let queues = QueueMetrics::open(registry);
    let class_entitled = Family::<ClassLabel, Gauge>::default();
    let help = "Processors that a class of work is entitled to in a pool";
    registry.register("class_entitled_millicores", help, class_entitled.clone());
    let class_in_use = Family::<ClassLabel, Gauge>::default();
    let help = "Processors that a class of work reserves in a pool";
    registry.register("class_used_millicores", help, class_in_use.clone());
    let refused_jobs = Family::<RefusalLabel, Counter>::default();
    let help = "Jobs refused by admission control, by queue and reason";
    registry.register("refused_jobs", help, refused_jobs.clone());
    let returned_jobs = Family::<QueueLabel, Counter>::default();
    let help = "Jobs that were refused before and were admitted when their callers returned";
    registry.register("returned_jobs", help, returned_jobs.clone());
    let load_summary_age_ms = Gauge::default();
    let help = "Age of the newest load summary; -1 for none";
    registry.register("load_summary_age_ms", help, load_summary_age_ms.clone());
    OverloadMetrics {
        load_periods,
        best_effort_limit,
        best_effort_at_work,
        class_entitled,
        class_in_use,
        refused_jobs,
        returned_jobs,
        load_summary_age_ms,
        pool_millicores,
        queues,
    }
}

impl OverloadMetrics {
    /// Counts a job that admission control refused.
    pub fn count_refusal(&self, queue: &str, reason: &str) {
        let label = RefusalLabel { queue: queue.to_string(), reason: reason.to_string() };
        self.refused_jobs.get_or_create(&label).inc();
    }

    /// Counts a job that was admitted when its refused caller returned.
    pub fn count_returned(&self, queue: &str) {
        self.returned_jobs.get_or_create(&QueueLabel { queue: queue.to_string() }).inc();
    }

    /// Shows the confirmed periods of pools' loads. Pools without one are not shown.
    pub fn show_load_periods<'a>(
        &self,
        periods: impl Iterator<Item = (&'a ids::ServiceId, Millis)>,
    ) {
        self.load_periods.clear();
        for (pool, period) in periods.take(MAX_POOLS_SHOWN) {
            let label = PoolLabel { pool: pool.to_string() };
            self.load_periods.get_or_create(&label).set(period.0 as i64);
        }
    }

    /// Shows the best-effort demand at work in each pool, and its limit if one is in force.
    pub fn show_best_effort<'a>(
        &self,
        pools: impl Iterator<Item = (&'a ids::ServiceId, u64, Option<u64>)>,
    ) {
        self.best_effort_limit.clear();
        self.best_effort_at_work.clear();
        for (pool, at_work, limit) in pools.take(MAX_POOLS_SHOWN) {
            let label = PoolLabel { pool: pool.to_string() };
            self.best_effort_at_work.get_or_create(&label).set(at_work as i64);
            if let Some(limit) = limit {
                self.best_effort_limit.get_or_create(&label).set(limit as i64);
            }
        }
    }

    /// Shows the newest load summary of this host. All hosts show the same load, so values of
    /// several hosts are not added up.
    pub fn show_load(&self, load: Option<&KnownLoad>) {
        self.load_summary_age_ms.set(load.map_or(-1, |load| load.age.0 as i64));
        let load = load.filter(|load| load.age <= LOAD_SHOWN_FOR);
        self.queues.show(load.map_or(&[], |load| &load.summary.queues));
        self.pool_millicores.clear();
        let Some(load) = load else { return };
        for pool in load.summary.pools.iter().take(MAX_POOLS_SHOWN) {
            let label = PoolLabel { pool: pool.pool.to_string() };
            self.pool_millicores.get_or_create(&label).set(pool.capacity_millicores as i64);
        }
    }

    /// Shows what each class of work is entitled to and uses in each pool.
    pub fn show_class_shares<'a>(
        &self,
        shares: impl Iterator<Item = (&'a ids::ServiceId, WorkClass, ClassShare)>,
    ) {
        self.class_entitled.clear();
        self.class_in_use.clear();
        for (pool, class, share) in shares.take(MAX_CLASSES_SHOWN) {
            let label = ClassLabel { pool: pool.to_string(), class: class.name() };
            self.class_entitled.get_or_create(&label).set(share.entitled as i64);
            self.class_in_use.get_or_create(&label).set(share.in_use as i64);
        }
    }
}
