//! Handles the outcomes of starts and stops, and resends the unanswered ones.
//!
//! A start without an answer may be carried out seconds later, even after a repeated attempt was
//! refused. It is sent again under the same run number, which a worker carries out only once. Its
//! task is started elsewhere once every attempt was refused. If an attempt is unanswered, the start
//! is withdrawn: a stop makes the worker refuse the run for ever, and the next worker report shows
//! whether the run is there (`docs/PLATFORM.md`, section Repeated calls).

use gaplock_jobs::TaskKey;
use gaplock_policy::attempts::Execution;
use gaplock_types::time::Millis;

use crate::changes::{
    abandoned_starts, checkpoints, leases, lifecycle, pacing, permits, terminated, trace,
};
use crate::interface::message::{Action, Outcome, Refusal, Run, StepKey, WorkerClock, WorkerIx};
use crate::interface::proof::ReleaseProof;
use crate::state::job_table::TaskState;
use crate::state::rates::ProgressSample;
use crate::state::worker::Phase;
use crate::state::State;

/// Handles the outcome of the last attempt of a start.
pub fn handle_start_outcome(
    cx: &mut State,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    outcome: Outcome<WorkerClock>,
) {
    log_start_outcome(cx, ix, key, run, &outcome);
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    if slot.run != run {
        return;
    }
    let execution = slot.attempts.record_outcome(outcome.execution());
    if !matches!(slot.phase, Phase::Starting | Phase::Uncertain) {
        return;
    }
    match outcome {
        Outcome::Done(clock) => start_confirmed(cx, ix, key, clock),
        Outcome::Refused(Refusal::OtherIncarnation) => {
            trace::worker_gone(&cx.worker(ix).info.id, "another incarnation answers");
            // A start without unanswered attempts did not reach the lost incarnation.
            if execution == Execution::NotDone {
                lifecycle::requeue(cx, ix, key, run, ReleaseProof::Refused);
            }
            terminated::mark_terminated(cx, ix);
        }
        Outcome::Refused(refusal) => {
            avoid_after_refusal(cx, ix, key, refusal);
            if refusal == Refusal::Invalid {
                checkpoints::refused(cx, ix, key);
            }
            release_or_withdraw(cx, ix, key, run, execution, ReleaseProof::Refused);
            if refusal == Refusal::Invalid {
                delay_invalid(cx, key);
            }
        }
        Outcome::NotSent => {
            avoid_for(cx, ix, cx.settings.renew_retry);
            release_or_withdraw(cx, ix, key, run, execution, ReleaseProof::NeverSent);
        }
        Outcome::Unclear => retry_or_withdraw(cx, ix, key, run),
    }
}

/// Logs a start that was not simply carried out, with the attempt that the outcome belongs to.
fn log_start_outcome(
    cx: &State,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    outcome: &Outcome<WorkerClock>,
) {
    let worker = cx.worker(ix);
    let attempts = worker.slots.get(&key).filter(|s| s.run == run).map(|s| s.attempts);
    trace::start_answered(key, run, &worker.info.id, attempts.unwrap_or_default(), outcome);
}

/// Handles the confirmation that a run is at its worker.
fn start_confirmed(cx: &mut State, ix: WorkerIx, key: TaskKey, clock: WorkerClock) {
    let now = cx.now;
    let worker = cx.worker_mut(ix);
    worker.record_clock(now, clock);
    let Some(slot) = worker.slots.get_mut(&key) else { return };
    let took = now.since(slot.ordered_at);
    slot.phase = Phase::Running;
    slot.confirmed = Some(now);
    if slot.resumes_from.is_none() {
        slot.progress_sample = Some(ProgressSample { at: now, percent: 0 });
    }
    cx.answer_times.record(now, took);
    if let Some(task) = cx.task_mut(key) {
        task.consecutive_invalid_starts = 0;
    }
    pacing::order_paces(cx, ix);
}

/// Releases a run whose start was certainly not carried out. If an attempt of the start is
/// unanswered, withdraws the start instead: that attempt may be carried out long after the task has
/// ended elsewhere.
fn release_or_withdraw(
    cx: &mut State,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    execution: Execution,
    proof: ReleaseProof,
) {
    match execution {
        Execution::NotDone => lifecycle::requeue(cx, ix, key, run, proof),
        Execution::Done | Execution::Unknown => {
            lifecycle::order_stop(cx, ix, key, run, "an earlier try of its start is open");
        }
    }
}

/// Delays a task whose start was refused as invalid, because the next worker most likely refuses
/// it, too.
fn delay_invalid(cx: &mut State, key: TaskKey) {
    let Some(task) = cx.task_mut(key) else { return };
    task.consecutive_invalid_starts += 1;
    let consecutive = task.consecutive_invalid_starts;
    let until = cx.now + lifecycle::retry_backoff(cx, consecutive);
    let task = cx.task_mut(key).filter(|task| task.state == TaskState::Pending);
    if let Some(task) = task {
        task.not_before = until;
    }
}

/// Reacts to the refusal of a start: avoids the worker for a time that depends on the reason,
/// unless the reason is one that avoiding the worker would not remove.
fn avoid_after_refusal(cx: &mut State, ix: WorkerIx, key: TaskKey, refusal: Refusal) {
    let (retry, full) = (cx.settings.renew_retry, cx.settings.full_pause);
    match refusal {
        Refusal::Fenced => {
            cx.actions.push(Action::ConfirmLeadership);
            avoid_for(cx, ix, retry);
        }
        Refusal::Room => avoid_for(cx, ix, full),
        Refusal::Late | Refusal::Unwell | Refusal::Invalid => avoid_for(cx, ix, retry),
        Refusal::Permit => permits::drop_ticket(cx, StepKey::of(key), ix),
        Refusal::OldRun | Refusal::OtherIncarnation => {}
    }
}

/// Gives a worker no tasks for `pause`.
fn avoid_for(cx: &mut State, ix: WorkerIx, pause: Millis) {
    let now = cx.now;
    cx.worker_mut(ix).avoid_until = now + pause;
}

/// Sends an unanswered start again. Withdraws it instead if all allowed attempts were sent, or if
/// its worker is to get nothing any more.
fn retry_or_withdraw(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run) {
    let now = cx.now;
    let max_attempts = cx.settings.max_start_attempts;
    avoid_unresponsive(cx, ix, key);
    let evacuated = cx.worker(ix).evacuated;
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    slot.phase = Phase::Uncertain;
    if evacuated {
        return lifecycle::order_stop(cx, ix, key, run, "its failure domain is evacuated");
    }
    if slot.attempts.sent() >= max_attempts {
        return lifecycle::order_stop(cx, ix, key, run, "start not answered");
    }
    slot.ordered_at = now;
    let worker = cx.worker(ix);
    if worker.lets_leases_expire() || worker.clock.is_none() {
        return lifecycle::order_stop(cx, ix, key, run, "its worker gets no lease");
    }
    send_start(cx, ix, key, run);
}

/// Avoids, for a while, a worker that left a start unanswered, so that one silent worker does not
/// use up the starts that may be in flight. If it has answered since the start was sent, only that
/// answer is missing.
fn avoid_unresponsive(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let (now, pause) = (cx.now, cx.settings.renew_retry);
    let worker = cx.worker_mut(ix);
    let ordered_at = worker.slots.get(&key).map(|slot| slot.ordered_at);
    if worker.clock.is_some_and(|(read, _)| Some(read) > ordered_at) {
        return;
    }
    worker.avoid_until = worker.avoid_until.max(now + pause);
}

/// Sends the start of a run that has its slot.
pub fn send_start(cx: &mut State, ix: WorkerIx, key: TaskKey, run: Run) {
    let Some(entry) = cx.jobs.get(&key.job) else { return };
    let job = entry.job.clone();
    let Some(until) = leases::grant(cx, ix) else { return };
    let ticket = cx.permits.ticket(StepKey::of(key), ix, cx.now);
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    slot.attempts.record_send();
    let (attempt, resumes_from) = (slot.attempts.sent(), slot.resumes_from.clone());
    if let Some(checkpoint) = &resumes_from {
        trace::start_resumes(cx, (key, run), ix, attempt, checkpoint);
    }
    let checkpoint = resumes_from.map(|checkpoint| checkpoint.text);
    let timeout = cx.answer_times.order_timeout(cx.now, attempt);
    let start =
        Action::Start { worker: ix, task: key, run, job, until, checkpoint, ticket, timeout };
    cx.starts_in_flight += 1;
    cx.worker_mut(ix).starts_in_flight += 1;
    cx.actions.push(start);
}

/// The first pause before the refused stop of a withdrawn start is sent again. A task waits for
/// this stop, and a worker that refuses some calls may accept the next one. The pause doubles with
/// each refusal up to [`crate::Settings::stop_retry`], so that hundreds of overloaded workers do
/// not use up the leader's processor.
const FIRST_STOP_RETRY_PAUSE: Millis = Millis(50);

/// Sets when a refused stop is sent again.
fn delay_stop(cx: &mut State, ix: WorkerIx, key: TaskKey) {
    let (now, max_pause) = (cx.now, cx.settings.stop_retry);
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    slot.stop_refusals += 1;
    if slot.confirmed.is_none() {
        slot.resend_stop_at = now
            + lifecycle::exponential_backoff(FIRST_STOP_RETRY_PAUSE, slot.stop_refusals, max_pause);
    }
}

/// Handles the outcome of a stop.
pub fn handle_stop_outcome(
    cx: &mut State,
    ix: WorkerIx,
    key: TaskKey,
    run: Run,
    outcome: Outcome<WorkerClock>,
) {
    let now = cx.now;
    abandoned_starts::handle_stop_outcome(cx, ix, key, run, &outcome);
    let resend_after_ms = cx.settings.stop_retry.0 + cx.settings.stop_limit.0;
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key) else { return };
    if slot.run != run || slot.phase != Phase::Stopping {
        return;
    }
    match outcome {
        Outcome::Refused(Refusal::OtherIncarnation) => terminated::mark_terminated(cx, ix),
        Outcome::Refused(Refusal::Fenced) => cx.actions.push(Action::ConfirmLeadership),
        // From now on the worker refuses the run, and a report that does not list the run proves
        // that it is over.
        Outcome::Done(_) | Outcome::Refused(Refusal::OldRun) => {
            slot.stop_confirmed.get_or_insert(now);
            slot.ordered_at = now;
            slot.resend_stop_at = now + Millis(resend_after_ms);
            cx.expedite_renewal(ix);
        }
        Outcome::Refused(_) => delay_stop(cx, ix, key),
        Outcome::NotSent | Outcome::Unclear => {}
    }
}

/// Resends the stops of runs that are still there.
pub fn check(cx: &mut State) {
    let (now, retry) = (cx.now, cx.settings.stop_retry);
    for ix in cx.worker_ixs() {
        abandoned_starts::send_due_stops(cx, ix);
        let worker = cx.worker_mut(ix);
        if !worker.answers() {
            continue;
        }
        let mut resend = Vec::new();
        for (key, slot) in &mut worker.slots {
            if slot.phase == Phase::Stopping && slot.resend_stop_at <= now {
                slot.ordered_at = now;
                slot.resend_stop_at = now + retry;
                resend.push((*key, slot.run));
            }
        }
        for (task, run) in resend {
            cx.actions.push(Action::Stop { worker: ix, task, run });
        }
    }
}
