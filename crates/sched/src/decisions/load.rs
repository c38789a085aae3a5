//! The load of all queues and pools: as the leader shares it with the other hosts, as it is stored
//! for the next leader, and the queues that do not keep up.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use gaplock_overload::account::{self, ClassLoad};
use gaplock_overload::summary::{LoadSummary, PoolLoad, QueueLoad, WorkClass};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

use crate::decisions::slack::{self, Slack, Usefulness};
use crate::interface::message::{
    StoredLoad, StoredQueueLoad, MAX_STORED_LOADS, MAX_STORED_NAME_BYTES,
};
use crate::state::{job_table, State};

/// The largest number of queue entries of a summary.
const MAX_QUEUE_LOADS: usize = 64;

/// Returns the present load.
pub fn summary(cx: &State, sequence: u64) -> LoadSummary {
    LoadSummary {
        term: cx.term.number,
        sequence,
        age: Millis(0),
        queues: queues(cx),
        pools: pools(cx),
    }
}

/// Returns the load of the queues that have any, the largest backlogs first; none while the account
/// is turned off.
pub fn queues(cx: &State) -> Vec<QueueLoad> {
    if !cx.settings.load_account {
        return Vec::new();
    }
    let late = late_demands(cx);
    let queue = |load: ClassLoad| {
        let late = late.get(&(load.queue, load.class)).copied();
        queue(cx, &load, late.unwrap_or(0))
    };
    let mut loads: Vec<QueueLoad> = cx.load.loads(cx.now).map(queue).collect();
    loads.retain(has_load);
    let demand = |load: &QueueLoad| load.running_millicores + load.waiting_millicores;
    loads.sort_by_key(|load| Reverse((load.backlog_core_ms, demand(load))));
    loads.truncate(MAX_QUEUE_LOADS);
    loads
}

fn has_load(load: &QueueLoad) -> bool {
    load.jobs > 0
        || load.running_millicores > 0
        || load.arriving_core_ms_per_s > 0
        || load.completed_core_ms_per_s > 0
}

/// Returns the demand of waiting tasks, by queue and class, whose jobs can no longer be on time: a job
/// that arrives goes before them, unless slack decides nothing.
fn late_demands(cx: &State) -> BTreeMap<(&str, WorkClass), u64> {
    let mut demands = BTreeMap::new();
    if !cx.settings.pace_by_slack {
        return demands;
    }
    for ready in &cx.ready {
        let Some(entry) = cx.jobs.get(&ready.job) else { continue };
        let step = entry.job.steps.get(usize::from(ready.step)).filter(|step| !step.lasting);
        let state = entry.round(ready.round).and_then(|r| r.steps.get(usize::from(ready.step)));
        let (Some(step), Some(state)) = (step, state) else { continue };
        let is_late = |slack: Slack| slack.usefulness != Usefulness::OnTime;
        if slack::slack_of_step(cx, ready).is_some_and(is_late) {
            let demand = u64::from(step.demand.cpu.0) * state.pending.len() as u64;
            let of = (entry.job.queue.as_str(), job_table::work_class(step));
            *demands.entry(of).or_default() += demand;
        }
    }
    demands
}

/// Returns the ratio of actual to estimated work of a class of a queue.
fn estimate_ratio(cx: &State, load: &ClassLoad) -> f64 {
    cx.estimate_ratios.ratio(load.queue, load.class)
}

/// Returns the load of one class of work of one queue.
fn queue(cx: &State, load: &ClassLoad, late_millicores: u64) -> QueueLoad {
    let in_force = cx.config.as_ref().and_then(|config| config.queue(load.queue));
    let retired = || cx.retired_queues.get(load.queue).map(|retired| &*retired.queue);
    let config = in_force.or_else(retired);
    let ratio = estimate_ratio(cx, load);
    QueueLoad {
        queue: load.queue.to_string(),
        // A queue that no job needs any more belongs to no pool.
        pool: config.map_or_else(|| ids::ServiceId(String::new()), |queue| queue.service.clone()),
        class: load.class,
        priority: config.map_or(0, |queue| queue.priority),
        jobs: load.sums.jobs,
        running_millicores: load.sums.running_millicores,
        waiting_millicores: load.sums.waiting_millicores,
        preceding_millicores: load.sums.waiting_millicores.saturating_sub(late_millicores),
        backlog_core_ms: account::corrected(load.sums.backlog.0 as f64, ratio),
        arriving_core_ms_per_s: account::corrected(load.arriving, ratio),
        completed_core_ms_per_s: load.completed as u64,
    }
}

/// A class of work of a queue whose backlog takes longer to drain than its jobs may take.
#[derive(Debug, Clone, PartialEq)]
pub struct Backlogged {
    /// Its load.
    pub load: QueueLoad,
    /// The time to drain.
    pub drain: Millis,
    /// The mean objective of its jobs.
    pub objective: Millis,
}

/// Returns the classes of work whose time to drain is over the mean objective of their jobs; none
/// while the account is turned off.
pub fn backlogged(cx: &State) -> Vec<Backlogged> {
    if !cx.settings.load_account {
        return Vec::new();
    }
    let judged = cx.load.loads(cx.now).filter(|load| load.sums.jobs > 0).filter_map(|load| {
        let objective = Millis(load.sums.objectives_ms / u64::from(load.sums.jobs));
        let load = queue(cx, &load, 0);
        let drain = load.time_to_drain()?;
        Some(Backlogged { load, drain, objective })
    });
    judged.filter(|judged| judged.drain > judged.objective).collect()
}

/// Returns what the next leader needs to know of the load; `None` if there is nothing.
pub fn to_store(cx: &State) -> Option<StoredLoad> {
    let is_stored = |load: &QueueLoad| {
        load.completed_core_ms_per_s > 0 && load.queue.len() <= MAX_STORED_NAME_BYTES
    };
    let queues = queues(cx).into_iter().filter(is_stored).take(MAX_STORED_LOADS);
    let queues: Vec<StoredQueueLoad> = queues
        .map(|load| StoredQueueLoad {
            estimate_ratio: Some(cx.estimate_ratios.ratio(&load.queue, load.class)),
            queue: load.queue,
            class: load.class,
            completed_core_ms_per_s: load.completed_core_ms_per_s,
        })
        .collect();
    (!queues.is_empty()).then_some(StoredLoad { queues, pools: Vec::new() })
}

/// Returns the capacity of all pools.
fn pools(cx: &State) -> Vec<PoolLoad> {
    let mut pools: BTreeMap<&ids::ServiceId, PoolLoad> = BTreeMap::new();
    for worker in &cx.workers {
        let pool = &worker.info.service;
        let load = pools.entry(pool).or_insert_with(|| PoolLoad {
            pool: pool.clone(),
            capacity_millicores: 0,
            largest: Resources::default(),
        });
        if worker.accepts_tasks(cx.now) {
            load.capacity_millicores += u64::from(worker.info.capacity.cpu.0);
        }
        load.largest = load.largest.max_of_each(&worker.largest);
    }
    pools.into_values().collect()
}
