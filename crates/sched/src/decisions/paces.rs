//! How fast filling tasks should work: lowered as far as the serving tasks beside them need.

use gaplock_types::time::Millis;

use crate::decisions::best_effort::{self, BestEffortTask};
use crate::state::interference_model::{InterferenceModel, Row, MIN_INTERFERENCE};
use crate::state::pace_orders::FULL_PACE;
use crate::state::worker::{TaskRole, Worker};
use crate::state::State;

/// Part of its target that a serving task's expected tail may reach beside what already runs:
/// readings are rough and up to a second old.
const RUNNING_TAIL_SHARE: f64 = 1.0;

/// How far ahead the load is looked at for what already runs, in seconds: until the next reading
/// and the next change of pace.
const RUNNING_LOOKAHEAD_S: f64 = 0.5;

/// Lists the filling tasks on a worker with the pace that each should have.
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
        let Some(served) = best_effort::as_serving_task(*key, slot) else { continue };
        let bearable = cx.interference.tolerable_interference(
            &served,
            RUNNING_TAIL_SHARE,
            now,
            RUNNING_LOOKAHEAD_S,
        );
        lower_paces(&cx.interference, served.row, bearable, &mut tasks);
    }
    halt(cx, worker, &mut tasks);
    tasks
}

/// Lowers paces until the pressure on a serving image is bearable, beginning with what presses
/// most. A run in doubt is held to press with the worst of the paces that may be in force, so
/// others beside it are lowered for what it may press with.
fn lower_paces(model: &InterferenceModel, row: Row, bearable: f64, filling: &mut [BestEffortTask]) {
    let push = |f: &BestEffortTask| model.factor(row, Some(f.column)) * f.share;
    filling.sort_by(|a, b| push(b).total_cmp(&push(a)));
    let mut excess =
        model.interference(row, filling.iter().map(BestEffortTask::at_worst_pace)) - bearable;
    for task in filling {
        let full = push(task);
        if excess <= 0.0 || full < MIN_INTERFERENCE {
            return;
        }
        let pressing = full * f64::from(task.worst_pace()) / 100.0;
        let left = (pressing - excess).max(0.0);
        task.pace = task.pace.min((left / full * 100.0) as u32);
        // What an order without an answer may bring back is not relieved by another order.
        let stays = full * f64::from(task.worst_pace()) / 100.0;
        excess -= pressing - stays.max(left);
    }
}

/// The part of the allowed excess after which what the model suspects is halted. A reading is up to
/// 1.5 s old, and the users' sites allow 4 s.
const HALT_SUSPECTED_FRACTION: f64 = 0.3;

/// The part of the allowed excess after which everything that fills is halted.
const HALT_ALL_FRACTION: f64 = 0.475;

/// A filling task whose push on a serving image is less than this is not suspected.
const MIN_SUSPECTED_INTERFERENCE: f64 = 0.01;

/// Halts fillers beside a serving task that stays over its target: first what may press on it by
/// the model, then, whatever the model says, everything.
fn halt(cx: &State, worker: &Worker, filling: &mut [BestEffortTask]) {
    let suspected_after = fraction_of(cx.settings.max_tail_excess, HALT_SUSPECTED_FRACTION);
    let all_after = fraction_of(cx.settings.max_tail_excess, HALT_ALL_FRACTION);
    for slot in worker.slots.values() {
        let (TaskRole::Serving { row, .. }, Some(since)) = (slot.role, slot.over_target_since)
        else {
            continue;
        };
        let lasted = cx.now.since(since);
        for task in filling.iter_mut() {
            let push = cx.interference.factor(row, Some(task.column)) * task.share;
            let suspected = lasted >= suspected_after && push >= MIN_SUSPECTED_INTERFERENCE;
            if suspected || lasted >= all_after {
                task.pace = 0;
            }
        }
    }
}

/// Returns a part of a span of time.
pub fn fraction_of(span: Millis, fraction: f64) -> Millis {
    Millis((span.0 as f64 * fraction) as u64)
}
