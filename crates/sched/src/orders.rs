//! Answers to starts and stops, and orders that got none.
//!
//! A start without an answer may be carried out seconds later. It is sent again under the same run
//! number, which a worker carries out only once; if that stays unanswered too, a stop for that run
//! is sent, after which the worker refuses the run for ever. The task goes elsewhere only then, or
//! when the leases are over.

use gaplock_jobs::TaskKey;
use gaplock_policy::tries::Fate;
use gaplock_types::time::Millis;

use crate::context::Context;
use crate::message::{Action, Outcome, Refusal, Run, WorkerClock, WorkerIx};
use crate::permits::StepKey;
use crate::proof::Proof;
use crate::speed::Mark;
use crate::worker::Phase;
use crate::{leases, lifecycle, pacing, permits, trace};

/// Takes in what became of a start.
pub fn started(
    cx: &mut Context,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    outcome: Outcome<WorkerClock>,
) {
    let now = cx.now;
    trace_answer(cx, ix, key, run, &outcome);
    let resumes = cx.task(key).is_some_and(|t| t.checkpoint.is_some());
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    if slot.run != run || !matches!(slot.phase, Phase::Starting | Phase::Uncertain) {
        return;
    }
    match outcome {
        Outcome::Done(clock) => {
            slot.phase = Phase::Running;
            slot.confirmed = Some(now);
            if !resumes {
                slot.mark = Some(Mark { at: now, percent: 0 });
            }
            cx.worker_mut(ix).read_clock(now, clock);
            pacing::set_paces(cx, ix);
        }
        Outcome::Refused(refusal) => refused(cx, ix, key, run, refusal),
        Outcome::NotSent if slot.phase == Phase::Starting => {
            let retry = cx.settings.renew_retry;
            cx.worker_mut(ix).avoid_until = now + retry;
            lifecycle::requeue(cx, ix, key, run, Proof::NeverSent);
        }
        Outcome::NotSent | Outcome::Unclear => unclear(cx, ix, key, run),
    }
}

/// Logs a start that was not simply carried out, with the try that the answer belongs to.
fn trace_answer(
    cx: &Context,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    outcome: &Outcome<WorkerClock>,
) {
    let worker = cx.worker(ix);
    let tries = worker.slots.get(&key).filter(|s| s.run == run).map(|s| s.tries);
    trace::start_answered(key, run, &worker.info.id, tries.unwrap_or_default(), outcome);
}

/// Takes a run off a worker that refused it, and spares the worker for a while where that helps.
fn refused(cx: &mut Context, ix: WorkerIx, key: TaskKey, run: Run, refusal: Refusal) {
    let now = cx.now;
    let retry = cx.settings.renew_retry;
    let repeated = cx.worker(ix).slots.get(&key).is_some_and(|s| s.tries.sent() > 1);
    match refusal {
        Refusal::OtherIncarnation => {
            trace::worker_gone(&cx.worker(ix).info.id, "another incarnation answers");
            return leases::give_up(cx, ix);
        }
        Refusal::Fenced => {
            cx.actions.push(Action::ConfirmLeadership);
            cx.worker_mut(ix).avoid_until = now + retry;
        }
        // The first try may have been carried out and have ended: the next account tells.
        Refusal::OldRun if repeated => return await_account(cx, ix, key),
        Refusal::Room => {
            let pause = cx.settings.full_pause;
            cx.worker_mut(ix).avoid_until = now + pause;
        }
        Refusal::Late | Refusal::Unwell | Refusal::Invalid => {
            cx.worker_mut(ix).avoid_until = now + retry;
        }
        Refusal::Permit => permits::refused(cx, StepKey::of(key), ix),
        Refusal::OldRun => {}
    }
    lifecycle::requeue(cx, ix, key, run, Proof::Refused);
}

/// Leaves the decision to the next account that is asked for from now on.
fn await_account(cx: &mut Context, ix: WorkerIx, key: TaskKey) {
    let now = cx.now;
    let worker = cx.worker_mut(ix);
    if let Some(slot) = worker.slots.get_mut(&key) {
        slot.phase = Phase::Running;
        slot.confirmed = Some(now);
    }
    worker.hasten_renewal(now);
}

/// Sends a start without an answer again, or a stop once it was tried often enough.
fn unclear(cx: &mut Context, ix: WorkerIx, key: TaskKey, run: Run) {
    let now = cx.now;
    let most = cx.settings.start_tries;
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    slot.phase = Phase::Uncertain;
    slot.tries.settle(Fate::Unknown);
    let tries = slot.tries.sent();
    suspect(cx, ix);
    if tries >= most {
        return lifecycle::order_stop(cx, ix, key, run, "start not answered");
    }
    if let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) {
        slot.ordered = now;
    }
    send_start(cx, ix, key, run);
}

/// Spares a worker for a while that left a start unanswered, so that one silent worker does not take
/// up the starts that may be under way.
fn suspect(cx: &mut Context, ix: WorkerIx) {
    let (now, pause) = (cx.now, cx.settings.renew_retry);
    let worker = cx.worker_mut(ix);
    worker.avoid_until = worker.avoid_until.max(now + pause);
}

/// Sends the start of a run that has its slot.
pub fn send_start(cx: &mut Context, ix: WorkerIx, key: TaskKey, run: Run) {
    let Some(entry) = cx.jobs.get(&key.job) else { return };
    let job = entry.job.clone();
    let checkpoint = entry.task(key).and_then(|t| t.checkpoint.clone());
    let Some(until) = leases::grant(cx, ix) else { return };
    let ticket = permits::ticket(cx, StepKey::of(key), ix);
    if let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) {
        slot.tries.send();
    }
    let start = Action::Start { worker: ix, task: key, run, job, until, checkpoint, ticket };
    cx.starts_under_way += 1;
    cx.actions.push(start);
}

/// Takes in what became of a stop.
pub fn stopped(
    cx: &mut Context,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    outcome: Outcome<WorkerClock>,
) {
    let now = cx.now;
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    if slot.run != run || slot.phase != Phase::Stopping {
        return;
    }
    match outcome {
        Outcome::Done(_) => {
            // From now on an account that does not list the run proves that it is over.
            slot.confirmed.get_or_insert(now);
            slot.ordered = now;
        }
        Outcome::Refused(Refusal::OtherIncarnation) => leases::give_up(cx, ix),
        Outcome::Refused(Refusal::Fenced) => cx.actions.push(Action::ConfirmLeadership),
        Outcome::Refused(Refusal::OldRun) => {
            slot.confirmed.get_or_insert(now);
        }
        Outcome::Refused(_) | Outcome::NotSent | Outcome::Unclear => {}
    }
}

/// Sends stops again whose run is still there.
pub fn check(cx: &mut Context) {
    let now = cx.now;
    let retry = cx.settings.stop_retry;
    let limit = cx.settings.stop_limit;
    for ix in cx.worker_ixs() {
        let worker = cx.worker_mut(ix);
        if worker.missed > 0 {
            continue;
        }
        let mut again = Vec::new();
        for (key, slot) in &mut worker.slots {
            let pause = if slot.confirmed.is_some() { Millis(retry.0 + limit.0) } else { retry };
            if slot.phase == Phase::Stopping && now.since(slot.ordered) >= pause {
                slot.ordered = now;
                again.push((*key, slot.run));
            }
        }
        for (task, run) in again {
            cx.actions.push(Action::Stop { worker: ix, task, run });
        }
    }
}
