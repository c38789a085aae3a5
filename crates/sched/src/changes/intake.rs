//! Applies configurations, and enters jobs into the table.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaplock_jobs::progress::JobState;
use gaplock_jobs::{config, Job, JobKey};
use gaplock_overload::account::QueueIx;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use rustc_hash::FxHashMap;

use crate::changes::{accounting, commits, directory, lifecycle, trace};
use crate::interface::message::StoreRevision;
use crate::state::job_table::{JobEntry, Round};
use crate::state::recovery_scan::RecoveryScan;
use crate::state::{RetiredQueue, State};

/// Puts a version of the configuration into force if it is newer than the current one.
pub fn apply_config(cx: &mut State, config: Arc<config::Config>) {
    if cx.config.as_ref().is_some_and(|c| c.version >= config.version) {
        return;
    }
    trace::config_in_force(config.version, config.queues.len());
    update_queues(cx, &config);
    cx.config = Some(config);
    retire_queues(cx);
    let State { estimate_ratios, config, retired_queues, .. } = cx;
    let is_known = |queue: &str| {
        config.as_ref().is_some_and(|c| c.queue(queue).is_some())
            || retired_queues.contains_key(queue)
    };
    estimate_ratios.retain(is_known);
    cx.pass_wanted = true;
    directory::pools_changed(cx);
}

/// Gives all jobs the queues of a new configuration. A job whose queue it does not have keeps the
/// one that it has.
fn update_queues(cx: &mut State, config: &config::Config) {
    let queues: FxHashMap<&str, Arc<config::Queue>> =
        config.queues.iter().map(|queue| (queue.name.as_str(), Arc::new(queue.clone()))).collect();
    let now = cx.now;
    let State { jobs, commits, .. } = cx;
    for entry in jobs.values_mut().filter(|entry| !entry.state.is_final()) {
        let Some(queue) = queues.get(entry.job.queue.as_str()) else { continue };
        let is_other_pool = entry.queue.as_ref().is_none_or(|q| q.service != queue.service);
        entry.max_attempts = queue.max_attempts;
        entry.queue = Some(Arc::clone(queue));
        if is_other_pool && !entry.unreadable {
            commits::mark_dirty(commits, now, entry.job.key);
        }
    }
}

/// Finds the queues that jobs need and the configuration in force does not have.
fn retire_queues(cx: &mut State) {
    let State { jobs, retired_queues, config, .. } = cx;
    retired_queues.clear();
    for entry in jobs.values().filter(|entry| !entry.state.is_final()) {
        retire_queue(retired_queues, config.as_deref(), entry);
    }
}

/// Records the queue of a job as retired if the configuration in force does not have it.
fn retire_queue(
    retired: &mut BTreeMap<String, RetiredQueue>,
    config: Option<&config::Config>,
    entry: &JobEntry,
) {
    let (Some(config), Some(queue)) = (config, &entry.queue) else { return };
    if retired.contains_key(&queue.name) || config.queue(&queue.name).is_some() {
        return;
    }
    let has_its_address = |q: &&config::Queue| (&q.host, &q.prefix) == (&queue.host, &queue.prefix);
    let replaced_by = config.queues.iter().find(has_its_address).map(|q| q.name.clone());
    trace::queue_retired(queue, replaced_by.as_deref());
    let queue = Arc::clone(queue);
    retired.insert(queue.name.clone(), RetiredQueue { queue, replaced_by });
}

/// Enters a job into the table. If its own record does not name the pool that runs it, that is
/// stored with its progress, since a later configuration may no longer have the queue.
pub fn insert_entry(cx: &mut State, entry: JobEntry) {
    let key = entry.job.key;
    if !entry.state.is_final() {
        retire_queue(&mut cx.retired_queues, cx.config.as_deref(), &entry);
        if entry.queue_to_store().is_some() {
            commits::mark_dirty(&mut cx.commits, cx.now, key);
        } else if entry.queue.is_none() {
            trace::queue_unknown(key, &entry.job.queue);
        }
    }
    cx.jobs.insert(key, entry);
}

/// Gives a job of whose queue nothing is known the pool of a worker that runs one of its tasks: a
/// former leader knew the queue.
pub fn infer_queue(cx: &mut State, key: JobKey, service: &ids::ServiceId) {
    let is_unknown = |entry: &&mut JobEntry| entry.queue.is_none() && !entry.unreadable;
    let Some(entry) = cx.jobs.get_mut(&key).filter(is_unknown) else { return };
    trace::queue_inferred(key, &entry.job.queue, service);
    entry.queue = Some(Arc::new(config::Queue {
        name: entry.job.queue.clone(),
        host: String::new(),
        prefix: String::new(),
        service: service.clone(),
        priority: entry.priority,
        max_attempts: entry.max_attempts,
        stretch: 1.0,
        slack: Millis(0),
        advice: None,
    }));
    commits::mark_dirty(&mut cx.commits, cx.now, key);
    retire_queues(cx);
    cx.pass_wanted = true;
}

/// The number of failed runs allowed to a task of whose queue nothing is known.
const FALLBACK_MAX_ATTEMPTS: u32 = 2;

/// Builds the entry of a job of which no progress is known. Its queue is that of the configuration
/// in force, or else `stored`, which came with its progress, or else the one that accepted it.
pub fn new_entry(
    cx: &State,
    job: Arc<Job>,
    stored_at: StoreRevision,
    stored: Option<config::Queue>,
) -> JobEntry {
    let in_force = cx.config.as_ref().and_then(|c| c.queue(&job.queue)).cloned();
    let queue = in_force.or(stored).or_else(|| job.accepting_queue.clone()).map(Arc::new);
    let chain = longest_chain(&job);
    let objective = queue.as_ref().map_or(chain.min(config::MAX_OBJECTIVE), |q| q.objective(chain));
    let age = Millis(cx.unix_ms.saturating_sub(job.accepted_unix_ms));
    JobEntry {
        state: JobState::Queued,
        stored_state: JobState::Queued,
        rounds: Vec::new(),
        finished_rounds: BTreeSet::new(),
        next_round: 0,
        ended_unix_ms: 0,
        due: Instant((cx.now.0 + objective.0).saturating_sub(age.0)),
        objective,
        chain_after: chains_after(&job),
        load_queue: QueueIx::default(),
        priority: queue.as_ref().map_or(0, |q| q.priority),
        max_attempts: queue.as_ref().map_or(FALLBACK_MAX_ATTEMPTS, |q| q.max_attempts),
        queue,
        unreadable: false,
        stored_at,
        removal_requested: false,
        job,
    }
}

/// Returns the sum of the estimated times on the longest chain of dependent steps.
pub fn longest_chain(job: &Job) -> Millis {
    let mut ends: Vec<u64> = Vec::with_capacity(job.steps.len());
    for step in &job.steps {
        let begin = step.after.iter().map(|&b| ends[usize::from(b)]).max().unwrap_or(0);
        ends.push(begin.saturating_add(step.estimate.0));
    }
    Millis(ends.into_iter().max().unwrap_or(0))
}

/// Returns, for each step, the sum of the estimated times on the longest chain of steps after it.
fn chains_after(job: &Job) -> Vec<Millis> {
    let mut chains = vec![Millis(0); job.steps.len()];
    for (at, step) in job.steps.iter().enumerate().rev() {
        let with_step = chains[at].0.saturating_add(step.estimate.0);
        for &before in &step.after {
            let chain = &mut chains[usize::from(before)];
            *chain = Millis(chain.0.max(with_step));
        }
    }
    chains
}

/// Begins the rounds of a job that are due.
pub fn begin_rounds(cx: &mut State, key: JobKey) {
    loop {
        let unix_ms = cx.unix_ms;
        let Some(entry) = cx.jobs.get_mut(&key) else { return };
        let next = entry.next_round;
        if entry.state.is_final() || next >= entry.total_rounds() || entry.is_at_round_limit() {
            return;
        }
        if entry.due_unix_ms(next) > unix_ms {
            return;
        }
        entry.next_round += 1;
        if entry.finished_rounds.contains(&next) || entry.round(next).is_some() {
            continue;
        }
        let round = Round::new(next, &entry.job);
        entry.rounds.push(round);
        accounting::round_arrived(cx, key, next);
        lifecycle::begin_steps(cx, key, next);
    }
}

/// Begins the due rounds of all jobs.
pub fn begin_due_rounds(cx: &mut State) {
    if cx.recovery_scan.as_ref().is_some_and(RecoveryScan::any_task_may_be_running) {
        return;
    }
    let repeating = |e: &JobEntry| e.next_round < e.total_rounds() && !e.state.is_final();
    let keys: Vec<JobKey> =
        cx.jobs.iter().filter(|(_, e)| repeating(e)).map(|(key, _)| *key).collect();
    for key in keys {
        begin_rounds(cx, key);
    }
}
