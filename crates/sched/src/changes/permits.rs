//! Permissions to run a step on a worker, for queues whose policy another service decides.
//!
//! That service answers slowly, and one call at a time for each host. So a step asks for as many
//! workers as its tasks may need and no more, and few calls are in flight at once. What the service
//! permits for a step does not change, but a ticket is valid for a limited time only.

use std::cmp::Reverse;

use gaplock_jobs::JobKey;
use gaplock_types::time::{Instant, Millis};

use crate::changes::trace;
use crate::interface::message::{Action, Permit, WorkerIx};
use crate::state::job_table::ReadyStep;
use crate::state::State;

pub use crate::interface::message::StepKey;

/// The most calls in flight. The service handles them one after the other, so more would only wait
/// there.
const MAX_CALLS_IN_FLIGHT: usize = 4;

/// The most workers in one call; the objective of a step counts one call for 30 workers.
const MAX_WORKERS_PER_CALL: usize = 30;

/// How many workers are asked about for each pending task, since some are denied or become full.
const WORKERS_PER_TASK: usize = 3;

/// How many workers are asked about in addition.
const EXTRA_WORKERS: usize = 3;

/// How much earlier than its end a ticket counts as expired, since a start takes time to arrive.
const TICKET_MARGIN: Millis = Millis(150);

/// The pause after a failed call, so that a service in trouble is not called in every dispatch
/// pass.
const FAILED_PAUSE: Millis = Millis(200);

/// Asks on which workers a step may run, unless an answer is pending already.
pub fn request_permits(cx: &mut State, ready: ReadyStep, pending: usize) {
    let step = StepKey { job: ready.job, round: ready.round, step: ready.step };
    let now = cx.now;
    let permits_of_step = cx.permits.steps.entry(step).or_default();
    if permits_of_step.call_in_flight
        || permits_of_step.not_before > now
        || cx.permits.calls_in_flight >= MAX_CALLS_IN_FLIGHT
    {
        return;
    }
    let workers = candidates(cx, step, pending);
    if workers.is_empty() {
        return;
    }
    cx.permits.calls_in_flight += 1;
    if let Some(permits_of_step) = cx.permits.steps.get_mut(&step) {
        permits_of_step.call_in_flight = true;
    }
    cx.actions.push(Action::Advise { step, workers });
}

/// Returns the workers with the most free processors that are not known to be denied and have no
/// ticket.
fn candidates(cx: &State, step: StepKey, pending: usize) -> Vec<WorkerIx> {
    let permits_of_step = cx.permits.steps.get(&step);
    let may_ask_for = |ix: &WorkerIx| {
        let denied = permits_of_step.is_some_and(|k| k.denied.contains(ix));
        !denied
            && cx.permits.ticket(step, *ix, cx.now).is_none()
            && cx.worker(*ix).accepts_tasks(cx.now)
    };
    let mut found: Vec<WorkerIx> = cx.worker_ixs().into_iter().filter(may_ask_for).collect();
    let free = |ix: &WorkerIx| {
        let worker = cx.worker(*ix);
        worker.info.capacity.minus(&worker.used).cpu
    };
    found.sort_by_key(|ix| Reverse(free(ix)));
    found.truncate(MAX_WORKERS_PER_CALL.min(pending * WORKERS_PER_TASK + EXTRA_WORKERS));
    found
}

/// Handles an answer of the service, or that none came.
pub fn handle_advice(
    cx: &mut State,
    step: StepKey,
    asked: &[WorkerIx],
    sent: Instant,
    answer: Option<(Vec<Permit>, Millis)>,
) {
    let now = cx.now;
    cx.permits.calls_in_flight = cx.permits.calls_in_flight.saturating_sub(1);
    let Some(permits_of_step) = cx.permits.steps.get_mut(&step) else { return };
    permits_of_step.call_in_flight = false;
    let Some((permits, valid)) = answer else {
        permits_of_step.not_before = now + FAILED_PAUSE;
        trace::advice_missing(step.job, step.step, asked.len());
        return;
    };
    trace::advised(step.job, step.step, asked.len(), permits.len());
    let until = Instant((sent.0 + valid.0).saturating_sub(TICKET_MARGIN.0));
    permits_of_step.denied.extend(asked);
    for permit in permits {
        permits_of_step.denied.remove(&permit.worker);
        permits_of_step.tickets.insert(permit.worker, (permit.ticket, until));
    }
    cx.pass_wanted = true;
}

/// Forgets a ticket that a worker did not accept.
pub fn drop_ticket(cx: &mut State, step: StepKey, ix: WorkerIx) {
    if let Some(permits_of_step) = cx.permits.steps.get_mut(&step) {
        permits_of_step.tickets.remove(&ix);
    }
}

/// Forgets everything about a job.
pub fn forget(cx: &mut State, job: JobKey) {
    cx.permits.steps.retain(|step, _| step.job != job);
}
