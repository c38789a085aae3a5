//! Orders the pace of best-effort tasks: lowers it as far as the serving tasks on the same worker
//! need, and raises it again.

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

/// Lowers the pace of tasks that interfere too much with a serving task, and raises it again.
pub fn order_paces(cx: &mut State, ix: WorkerIx) {
    for task in paces::target_paces(cx, cx.worker(ix)) {
        order_pace(cx, ix, &task);
    }
}

/// The share of its target from which on a reading counts as over the target; readings are rough.
const EXCESS_BEGINS_SHARE: f64 = 0.97;

/// The share of its target below which a reading ends an excess.
const EXCESS_ENDS_SHARE: f64 = 0.9;

/// The fraction of the time that a serving task may exceed its target after which halting all
/// best-effort tasks counts as having had no effect.
const HALT_FAILED_FRACTION: f64 = 1.05;

/// Records since when each serving task's readings have been over its target. An excess that
/// outlasts both stages of halting has another cause, and its time starts again from zero.
pub(super) fn track_target_excess(cx: &mut State, ix: WorkerIx) {
    let now = cx.now;
    let halt_failed_after = paces::fraction_of(cx.settings.max_tail_excess, HALT_FAILED_FRACTION);
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
        if slot.over_target_since.is_some_and(|since| now.since(since) >= halt_failed_after) {
            slot.over_target_since = Some(now);
        }
    }
}

/// The smallest change of pace, in percent, that is worth a call.
const MIN_PACE_CHANGE_PERCENT: u32 = 15;

/// The pace, in percent of full speed, below which a best-effort task is better off elsewhere.
const MOVE_BELOW_PERCENT: u32 = 35;

/// The fraction of the time that a serving task may exceed its target after which the pace of a run
/// is ordered again if an earlier order is unanswered. If the earlier order is carried out late,
/// the new one undoes it before the target is missed for too long, even if two calls in a row are
/// lost and worker reports are a third of a second apart. Where 4 s are allowed, it costs one call
/// a second for each such run, and none for others.
const PACE_REPEAT_FRACTION: f64 = 0.25;

/// How long a recovery scan keeps runs that it finds from getting a pace order, unless their pace
/// is lowered. Their paces are not known, so each of them needs an order; until then it is assumed
/// to work at full pace. The calls of the scan and the starts that wait for it go first.
const RECOVERY_SCAN_PACE_DELAY: Millis = Millis(2_000);

/// Orders a task's pace, unless the change is not worth a call or an order is in flight. If earlier
/// orders leave the pace uncertain, it is ordered even though it was confirmed: an older order may
/// have undone it since.
fn order_pace(cx: &mut State, ix: WorkerIx, target: &BestEffortTask) {
    let now = cx.now;
    let repeat_after = paces::fraction_of(cx.settings.max_tail_excess, PACE_REPEAT_FRACTION);
    let scanning = cx
        .recovery_scan
        .as_ref()
        .is_some_and(|scan| now.since(scan.began) < RECOVERY_SCAN_PACE_DELAY);
    let worker = cx.worker_mut(ix);
    let Some(slot) = worker.slots.get_mut(&target.key) else { return };
    let at_limit = target.pace == 0 || target.pace == FULL_PACE;
    let change = target.pace.abs_diff(slot.pace);
    let worth_a_call = change >= MIN_PACE_CHANGE_PERCENT || at_limit && change > 0;
    if slot.phase != Phase::Running || slot.pace_order_in_flight {
        return;
    }
    if !worth_a_call && (scanning || !slot.pace_orders.must_resend(now, repeat_after)) {
        return;
    }
    if target.pace >= MOVE_BELOW_PERCENT {
        slot.slowed_since = None;
    } else {
        slot.slowed_since.get_or_insert(now);
    }
    slot.pace_order_in_flight = true;
    slot.pace_orders.record_send(now, target.pace);
    trace::pace_ordered(target.key, slot, &worker.info.id, target.pace);
    let (task, run, percent) = (target.key, target.run, target.pace);
    cx.actions.push(Action::Pace { worker: ix, task, run, percent });
}

/// Handles the outcome of a pace order.
pub fn handle_pace_outcome(
    cx: &mut State,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    percent: u32,
    execution: Execution,
) {
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key).filter(|s| s.run == run) else {
        return;
    };
    if !slot.pace_order_in_flight || !slot.pace_orders.may_answer_last(percent) {
        return;
    }
    slot.pace_order_in_flight = false;
    if slot.pace_orders.record_outcome(execution) {
        slot.pace = percent;
        slot.progress_sample = None;
    }
    spare_capacity::refresh_spare_capacity(cx, ix);
}
