//! The pace of filling tasks: lowered as far as the serving tasks beside them need, and raised
//! again.

use gaplock_jobs::TaskKey;
use gaplock_policy::attempts::Execution;
use gaplock_types::time::Millis;

use super::spare_capacity;
use crate::changes::trace;
use crate::decisions::best_effort::BestEffortTask;
use crate::decisions::paces;
use crate::interface::message::{Action, Run, WorkerIx};
use crate::state::pace_orders::FULL_PACE;
use crate::state::worker::{Phase, TaskRole};
use crate::state::State;

/// Lowers the pace of what disturbs a serving task too much, and raises it again.
pub fn order_paces(cx: &mut State, ix: WorkerIx) {
    for task in paces::target_paces(cx, cx.worker(ix)) {
        order_pace(cx, ix, &task);
    }
}

/// The share of its target from which a reading counts as over it; readings are rough.
const EXCESS_BEGINS_SHARE: f64 = 0.97;

/// The share of its target below which a reading ends an excess.
const EXCESS_ENDS_SHARE: f64 = 0.9;

/// The part of the allowed excess after which halting everything is held not to have helped.
const HALT_FAILED_FRACTION: f64 = 1.05;

/// Notes since when each serving task's readings have been over its target. Where the excess has
/// outlasted both stages of halting, its cause lies elsewhere and the time begins anew.
pub(super) fn track_target_excess(cx: &mut State, ix: WorkerIx) {
    let now = cx.now;
    let halt_over = paces::fraction_of(cx.settings.max_tail_excess, HALT_FAILED_FRACTION);
    for slot in cx.worker_mut(ix).slots.values_mut() {
        let TaskRole::Serving { target_ms, .. } = slot.role else { continue };
        let Some(share) = slot.reading.map(|tail| f64::from(tail) / f64::from(target_ms.max(1)))
        else {
            continue;
        };
        if share >= EXCESS_BEGINS_SHARE {
            slot.over_target_since.get_or_insert(now);
        } else if share < EXCESS_ENDS_SHARE {
            slot.over_target_since = None;
        }
        if slot.over_target_since.is_some_and(|since| now.since(since) >= halt_over) {
            slot.over_target_since = Some(now);
        }
    }
}

/// The least change of pace, in percent, that is worth a call.
const MIN_PACE_CHANGE_PERCENT: u32 = 15;

/// Below this pace, in percent of full speed, a filling task is better off elsewhere.
const MOVE_BELOW_PERCENT: u32 = 35;

/// The part of the allowed excess after which the pace of a run in doubt is put in force again. An
/// order that is carried out late is then undone, also where two calls in a row are lost and with
/// accounts a third of a second apart, before it breaks the target. It costs each such run, and no
/// other, one call a second where 4 s are allowed.
const PACE_REPEAT_FRACTION: f64 = 0.25;

/// How long a survey keeps runs that it finds from being given their pace, unless that is lowered. Their paces are
/// not known, so each of them needs an order; until then it is held to work at full pace. The survey's calls and
/// the starts behind them go first.
const RECOVERY_SCAN_PACE_DELAY: Millis = Millis(2_000);

/// Orders a task's pace, unless the change is not worth a call or an order is on its way. The pace
/// of a run in doubt is ordered though it was confirmed before: an older order may have undone it
/// since.
fn order_pace(cx: &mut State, ix: WorkerIx, wanted: &BestEffortTask) {
    let now = cx.now;
    let again_after = paces::fraction_of(cx.settings.max_tail_excess, PACE_REPEAT_FRACTION);
    let surveying = cx
        .recovery_scan
        .as_ref()
        .is_some_and(|survey| now.since(survey.began) < RECOVERY_SCAN_PACE_DELAY);
    let worker = cx.worker_mut(ix);
    let Some(slot) = worker.slots.get_mut(&wanted.key) else { return };
    let edge = wanted.pace == 0 || wanted.pace == FULL_PACE;
    let change = wanted.pace.abs_diff(slot.pace);
    let worth_a_call = change >= MIN_PACE_CHANGE_PERCENT || edge && change > 0;
    if slot.phase != Phase::Running || slot.pace_order_in_flight {
        return;
    }
    if !worth_a_call && (surveying || !slot.pace_orders.must_resend(now, again_after)) {
        return;
    }
    if wanted.pace >= MOVE_BELOW_PERCENT {
        slot.slowed_since = None;
    } else {
        slot.slowed_since.get_or_insert(now);
    }
    slot.pace_order_in_flight = true;
    slot.pace_orders.send(now, wanted.pace);
    trace::pace_ordered(wanted.key, slot, &worker.info.id, wanted.pace);
    let (task, run, percent) = (wanted.key, wanted.run, wanted.pace);
    cx.actions.push(Action::Pace { worker: ix, task, run, percent });
}

/// Takes in what became of an order of pace.
pub fn handle_pace_outcome(
    cx: &mut State,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    percent: u32,
    fate: Execution,
) {
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key).filter(|s| s.run == run) else {
        return;
    };
    if !slot.pace_order_in_flight || !slot.pace_orders.may_answer_last(percent) {
        return;
    }
    slot.pace_order_in_flight = false;
    if slot.pace_orders.record_outcome(fate) {
        slot.pace = percent;
        slot.progress_sample = None;
    }
    spare_capacity::refresh_spare_capacity(cx, ix);
}
