//! Decides the pace of best-effort tasks, that is, their speed limit in percent of full speed. It
//! is lowered as far as the serving tasks on the same worker need.

use gaplock_types::time::Millis;

use crate::decisions::best_effort::{self, BestEffortTask};
use crate::decisions::slack::{self, Slack, Usefulness};
use crate::state::interference_model::{InterferenceModel, Lookahead, Row, MIN_INTERFERENCE};
use crate::state::pace_orders::FULL_PACE;
use crate::state::worker::{TaskRole, Worker};
use crate::state::State;

/// The share of its target that a serving task's expected tail latency may reach beside the tasks
/// that already run. Readings are rough and up to a second old.
const MAX_TAIL_SHARE_BESIDE_RUNNING: f64 = 1.0;

/// How far ahead the load is predicted for tasks that already run: until the next reading and the
/// next change of pace.
const RUNNING_LOOKAHEAD: Lookahead = Lookahead { slope_s: 0.5, highest_within: Millis(500) };

/// Lists the best-effort tasks on a worker with the pace that each should have.
pub fn target_paces(cx: &State, worker: &Worker) -> Vec<BestEffortTask> {
    let now = cx.now;
    let mut tasks = best_effort::list_best_effort(worker, now);
    if tasks.is_empty() {
        return tasks;
    }
    for task in &mut tasks {
        task.pace = FULL_PACE;
    }
    let mut known_slacks: Option<Vec<Slack>> = None;
    for (key, slot) in &worker.slots {
        let Some(serving) = best_effort::as_serving_task(*key, slot) else { continue };
        let load = cx.interference.load_ahead(serving.job, now, RUNNING_LOOKAHEAD);
        let tolerable =
            cx.interference.tolerable_interference(&serving, MAX_TAIL_SHARE_BESIDE_RUNNING, load);
        if !cx.settings.pace_by_slack {
            lower_paces(&cx.interference, serving.row, tolerable, &mut tasks);
            continue;
        }
        let excess = excess_interference(&cx.interference, serving.row, tolerable, &tasks);
        if excess > 0.0 {
            let slacks = known_slacks.get_or_insert_with(|| slacks(cx, worker, &tasks));
            lower_paces_by_slack(&cx.interference, serving.row, excess, &mut tasks, slacks);
        }
    }
    halt(cx, worker, &mut tasks);
    tasks
}

/// Lowers paces until the interference with a serving image is tolerable, beginning with the task
/// that interferes most. If an unanswered order leaves the pace of a run uncertain, the run counts
/// with the highest pace that may be in force, and the other runs are lowered to make up for it.
fn lower_paces(model: &InterferenceModel, row: Row, tolerable: f64, tasks: &mut [BestEffortTask]) {
    tasks.sort_by(|a, b| {
        full_pace_interference(model, row, b).total_cmp(&full_pace_interference(model, row, a))
    });
    let mut excess = excess_interference(model, row, tolerable, tasks);
    for task in tasks {
        let interference = full_pace_interference(model, row, task);
        if excess <= 0.0 || interference < MIN_INTERFERENCE {
            return;
        }
        excess -= lower_pace(task, interference, excess);
    }
}

/// Returns the interference of a task with a serving image at full pace.
fn full_pace_interference(model: &InterferenceModel, row: Row, task: &BestEffortTask) -> f64 {
    model.factor(row, Some(task.column)) * task.share
}

/// Returns how far the tasks interfere more with a serving image than is tolerable.
fn excess_interference(
    model: &InterferenceModel,
    row: Row,
    tolerable: f64,
    tasks: &[BestEffortTask],
) -> f64 {
    model.interference(row, tasks.iter().map(BestEffortTask::at_worst_pace)) - tolerable
}

/// Lowers a task's pace as far as the excess of interference requires, and returns by how much that
/// reduces the interference.
fn lower_pace(task: &mut BestEffortTask, at_full_pace: f64, excess: f64) -> f64 {
    let worst_before = at_full_pace * f64::from(task.worst_pace()) / 100.0;
    let allowed = (worst_before - excess).max(0.0);
    task.pace = task.pace.min((allowed / at_full_pace * 100.0) as u32);
    // An earlier order without an answer may restore a higher pace in spite of the new order, so
    // the interference at that pace remains.
    let worst_after = at_full_pace * f64::from(task.worst_pace()) / 100.0;
    worst_before - worst_after.max(allowed)
}

/// The slack that tasks with less count with, in milliseconds. Below about the time between two
/// readings, slack says nothing, and interference decides.
const MIN_SLACK_MS: f64 = 200.0;

/// How many times its slack a task counts with whose pace is lowered. Its slack
/// shrinks with time and that of its neighbors does not, so without this margin similar tasks would
/// take turns, each at the cost of two calls.
const LOWERED_SLACK_FACTOR: f64 = 1.5;

/// Returns the slack of each task on a worker by which the order of lowering is decided.
fn slacks(cx: &State, worker: &Worker, tasks: &[BestEffortTask]) -> Vec<Slack> {
    let slack = |task: &BestEffortTask| {
        let slot = worker.slots.get(&task.key)?;
        let mut slack = slack::slack_of(cx, task.key, slot.progress_percent)?;
        slack.ms = slack.ms.max(MIN_SLACK_MS);
        if slot.pace < FULL_PACE {
            slack.ms *= LOWERED_SLACK_FACTOR;
        }
        Some(slack)
    };
    // A run whose job is not known any more is of no use.
    let unknown = Slack { usefulness: Usefulness::None, ms: MIN_SLACK_MS };
    tasks.iter().map(|task| slack(task).unwrap_or(unknown)).collect()
}

/// Lowers paces until the interference with a serving image is tolerable: first of tasks whose jobs
/// are of no more use, then of late jobs, then of tasks with the largest product of slack and
/// interference. The product is large for a task that has time and makes much room, so lowering its
/// pace costs least per unit of interference. Among late jobs the task that interferes most goes
/// first. `slacks` has one element for each task.
fn lower_paces_by_slack(
    model: &InterferenceModel,
    row: Row,
    excess: f64,
    tasks: &mut [BestEffortTask],
    slacks: &[Slack],
) {
    let mut order: Vec<(Slack, f64, usize)> = tasks
        .iter()
        .zip(slacks)
        .enumerate()
        .map(|(at, (task, slack))| (*slack, full_pace_interference(model, row, task), at))
        .filter(|(_, interference, _)| *interference >= MIN_INTERFERENCE)
        .collect();
    let cost = |(slack, interference, _): &(Slack, f64, usize)| match slack.usefulness {
        Usefulness::OnTime => slack.ms * interference,
        Usefulness::Late | Usefulness::None => *interference,
    };
    order.sort_by(|a, b| {
        b.0.usefulness.cmp(&a.0.usefulness).then(cost(b).total_cmp(&cost(a))).then(a.2.cmp(&b.2))
    });
    let mut excess = excess;
    for (_, interference, at) in order {
        if excess <= 0.0 {
            return;
        }
        excess -= lower_pace(&mut tasks[at], interference, excess);
    }
}

/// The fraction of the time that a serving task may exceed its target after which the best-effort
/// tasks that the model suspects are halted. A reading is up to 1.5 s old, and the users' sites
/// allow 4 s.
const HALT_SUSPECTED_FRACTION: f64 = 0.3;

/// The fraction of the time that a serving task may exceed its target after which all best-effort
/// tasks are halted.
const HALT_ALL_FRACTION: f64 = 0.475;

/// The least interference with a serving image for which a best-effort task is suspected.
const MIN_SUSPECTED_INTERFERENCE: f64 = 0.01;

/// Halts best-effort tasks beside a serving task that stays over its target: first those that may
/// interfere with it according to the model, then all of them, whatever the model says.
fn halt(cx: &State, worker: &Worker, tasks: &mut [BestEffortTask]) {
    let suspected_after = fraction_of(cx.settings.max_tail_excess, HALT_SUSPECTED_FRACTION);
    let all_after = fraction_of(cx.settings.max_tail_excess, HALT_ALL_FRACTION);
    for slot in worker.slots.values() {
        let (TaskRole::Serving { row, .. }, Some(since)) = (slot.role, slot.over_target_since)
        else {
            continue;
        };
        let lasted = cx.now.since(since);
        for task in tasks.iter_mut() {
            let interference = cx.interference.factor(row, Some(task.column)) * task.share;
            let suspected = lasted >= suspected_after && interference >= MIN_SUSPECTED_INTERFERENCE;
            if suspected || lasted >= all_after {
                task.pace = 0;
            }
        }
    }
}

/// Returns a fraction of a time span.
pub fn fraction_of(span: Millis, fraction: f64) -> Millis {
    Millis((span.0 as f64 * fraction) as u64)
}
