//! Decides the pace of best-effort tasks, that is, their speed limit in percent of full speed. It
//! is lowered as far as the serving tasks on the same worker need.

use gaplock_types::time::Millis;

use crate::decisions::best_effort::{self, BestEffortTask};
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
    for (key, slot) in &worker.slots {
        let Some(serving) = best_effort::as_serving_task(*key, slot) else { continue };
        let load = cx.interference.load_ahead(serving.job, now, RUNNING_LOOKAHEAD);
        let tolerable =
            cx.interference.tolerable_interference(&serving, MAX_TAIL_SHARE_BESIDE_RUNNING, load);
        lower_paces(&cx.interference, serving.row, tolerable, &mut tasks);
    }
    halt(cx, worker, &mut tasks);
    tasks
}

/// Lowers paces until the interference with a serving image is tolerable, beginning with the task
/// that interferes most. If an unanswered order leaves the pace of a run uncertain, the run counts
/// with the highest pace that may be in force, and the other runs are lowered to make up for it.
fn lower_paces(model: &InterferenceModel, row: Row, tolerable: f64, tasks: &mut [BestEffortTask]) {
    let interference = |f: &BestEffortTask| model.factor(row, Some(f.column)) * f.share;
    tasks.sort_by(|a, b| interference(b).total_cmp(&interference(a)));
    let mut excess =
        model.interference(row, tasks.iter().map(BestEffortTask::at_worst_pace)) - tolerable;
    for task in tasks {
        let at_full_pace = interference(task);
        if excess <= 0.0 || at_full_pace < MIN_INTERFERENCE {
            return;
        }
        let worst_before = at_full_pace * f64::from(task.worst_pace()) / 100.0;
        let allowed = (worst_before - excess).max(0.0);
        task.pace = task.pace.min((allowed / at_full_pace * 100.0) as u32);
        // An earlier order without an answer may restore a higher pace in spite of the new order,
        // so the interference at that pace remains.
        let worst_after = at_full_pace * f64::from(task.worst_pace()) / 100.0;
        excess -= worst_before - worst_after.max(allowed);
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
