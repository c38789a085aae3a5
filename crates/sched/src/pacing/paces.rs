//! The pace of filling tasks: lowered as far as the serving tasks beside them need, and raised
//! again.

use gaplock_jobs::TaskKey;
use gaplock_policy::tries::Fate;
use gaplock_types::time::Millis;

use super::filling::{self, FillingTask};
use super::placing;
use crate::message::{Action, Run, WorkerIx};
use crate::state::model::{Model, Row, LEAST_PUSH};
use crate::state::paces::FULL_PACE;
use crate::state::State;
use crate::trace;
use crate::worker::{Part, Phase, Worker};

/// Part of its target that a serving task's expected tail may reach beside what already runs:
/// readings are rough and up to a second old.
const GUARDED_SHARE: f64 = 1.0;

/// How far ahead the load is looked at for what already runs, in seconds: until the next reading
/// and the next change of pace.
const GUARDED_AHEAD_S: f64 = 0.5;

/// Lowers the pace of what disturbs a serving task too much, and raises it again.
pub fn set_paces(cx: &mut State, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker(ix);
    let mut tasks = filling::filling_tasks(worker, now);
    if tasks.is_empty() {
        return;
    }
    for task in &mut tasks {
        task.pace = FULL_PACE;
    }
    for (key, slot) in &worker.slots {
        let Some(served) = filling::served(*key, slot) else { continue };
        let bearable = cx.pacing.bearable(&served, GUARDED_SHARE, now, GUARDED_AHEAD_S);
        relieve(&cx.pacing, served.row, bearable, &mut tasks);
    }
    halt(cx, cx.worker(ix), &mut tasks);
    for task in tasks {
        order_pace(cx, ix, &task);
    }
}

/// Lowers paces until the pressure on a serving image is bearable, beginning with what presses
/// most. A run in doubt is held to press with the worst of the paces that may be in force, so
/// others beside it are lowered for what it may press with.
fn relieve(model: &Model, row: Row, bearable: f64, filling: &mut [FillingTask]) {
    let push = |f: &FillingTask| model.factor(row, Some(f.column)) * f.share;
    filling.sort_by(|a, b| push(b).total_cmp(&push(a)));
    let mut excess = model.pressure(row, filling.iter().map(FillingTask::paced)) - bearable;
    for task in filling {
        let full = push(task);
        if excess <= 0.0 || full < LEAST_PUSH {
            return;
        }
        let pressing = full * f64::from(task.worst()) / 100.0;
        let left = (pressing - excess).max(0.0);
        task.pace = task.pace.min((left / full * 100.0) as u32);
        // What an order without an answer may bring back is not relieved by another order.
        let stays = full * f64::from(task.worst()) / 100.0;
        excess -= pressing - stays.max(left);
    }
}

/// The part of the allowed excess after which what the model suspects is halted. A reading is up to
/// 1.5 s old, and the users' sites allow 4 s.
const HALT_SUSPECTED_AFTER: f64 = 0.3;

/// The part of the allowed excess after which everything that fills is halted.
const HALT_ALL_AFTER: f64 = 0.475;

/// A filling task whose push on a serving image is less than this is not suspected.
const SUSPECTED_PUSH: f64 = 0.01;

/// Halts fillers beside a serving task that stays over its target: first what may press on it by
/// the model, then, whatever the model says, everything.
fn halt(cx: &State, worker: &Worker, filling: &mut [FillingTask]) {
    let suspected_after = part_of(cx.settings.tail_excess, HALT_SUSPECTED_AFTER);
    let all_after = part_of(cx.settings.tail_excess, HALT_ALL_AFTER);
    for slot in worker.slots.values() {
        let (Part::Serving { row, .. }, Some(since)) = (slot.part, slot.over_since) else {
            continue;
        };
        let lasted = cx.now.since(since);
        for task in filling.iter_mut() {
            let push = cx.pacing.factor(row, Some(task.column)) * task.share;
            let suspected = lasted >= suspected_after && push >= SUSPECTED_PUSH;
            if suspected || lasted >= all_after {
                task.pace = 0;
            }
        }
    }
}

/// Returns a part of a span of time.
fn part_of(span: Millis, part: f64) -> Millis {
    Millis((span.0 as f64 * part) as u64)
}

/// The share of its target from which a reading counts as over it; readings are rough.
const OVER_SHARE: f64 = 0.97;

/// The share of its target below which a reading ends an excess.
const BACK_SHARE: f64 = 0.9;

/// The part of the allowed excess after which halting everything is held not to have helped.
const HALT_OVER: f64 = 1.05;

/// Notes since when each serving task's readings have been over its target. Where the excess has
/// outlasted both stages of halting, its cause lies elsewhere and the time begins anew.
pub(super) fn watch_targets(cx: &mut State, ix: WorkerIx) {
    let now = cx.now;
    let halt_over = part_of(cx.settings.tail_excess, HALT_OVER);
    for slot in cx.worker_mut(ix).slots.values_mut() {
        let Part::Serving { target_ms, .. } = slot.part else { continue };
        let Some(share) = slot.reading.map(|tail| f64::from(tail) / f64::from(target_ms.max(1)))
        else {
            continue;
        };
        if share >= OVER_SHARE {
            slot.over_since.get_or_insert(now);
        } else if share < BACK_SHARE {
            slot.over_since = None;
        }
        if slot.over_since.is_some_and(|since| now.since(since) >= halt_over) {
            slot.over_since = Some(now);
        }
    }
}

/// The least change of pace, in percent, that is worth a call.
const PACE_STEP: u32 = 15;

/// Below this pace, in percent of full speed, a filling task is better off elsewhere.
const MOVE_BELOW: u32 = 35;

/// The part of the allowed excess after which the pace of a run in doubt is put in force again. An
/// order that is carried out late is then undone, also where two calls in a row are lost and with
/// accounts a third of a second apart, before it breaks the target. It costs each such run, and no
/// other, one call a second where 4 s are allowed.
const AGAIN_AFTER: f64 = 0.25;

/// Orders a task's pace, unless the change is not worth a call or an order is on its way. The pace
/// of a run in doubt is ordered though it was confirmed before: an older order may have undone it
/// since.
fn order_pace(cx: &mut State, ix: WorkerIx, wanted: &FillingTask) {
    let now = cx.now;
    let again_after = part_of(cx.settings.tail_excess, AGAIN_AFTER);
    let worker = cx.worker_mut(ix);
    let Some(slot) = worker.slots.get_mut(&wanted.key) else { return };
    let edge = wanted.pace == 0 || wanted.pace == FULL_PACE;
    let change = wanted.pace.abs_diff(slot.pace);
    let worth_a_call = change >= PACE_STEP || edge && change > 0;
    if slot.phase != Phase::Running || slot.pacing {
        return;
    }
    if !worth_a_call && !slot.paces.is_due(now, again_after) {
        return;
    }
    if wanted.pace >= MOVE_BELOW {
        slot.slowed = None;
    } else {
        slot.slowed.get_or_insert(now);
    }
    slot.pacing = true;
    slot.paces.send(now, wanted.pace);
    trace::pace_ordered(wanted.key, slot, &worker.info.id, wanted.pace);
    let (task, run, percent) = (wanted.key, wanted.run, wanted.pace);
    cx.actions.push(Action::Pace { worker: ix, task, run, percent });
}

/// Takes in what became of an order of pace.
pub fn paced(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run, percent: u32, fate: Fate) {
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key).filter(|s| s.run == run) else {
        return;
    };
    if !slot.pacing || !slot.paces.was_last(percent) {
        return;
    }
    slot.pacing = false;
    if slot.paces.settle(fate) {
        slot.pace = percent;
        slot.mark = None;
    }
    placing::refresh(cx, ix);
}
