//! Permissions to run a step on a worker, for queues whose policy lies with another service.
//!
//! The service answers slowly and one call at a time for each host, so a step asks for as many
//! workers as its tasks may need and no more, and few calls are under way at once. What it permits
//! for a step does not change, but a ticket holds for a while only.

use std::cmp::Reverse;

use gaplock_jobs::JobKey;
use gaplock_types::time::{Instant, Millis};

use crate::changes::trace;
use crate::interface::message::{Action, Permit, WorkerIx};
use crate::state::job_table::ReadyStep;
use crate::state::State;

pub use crate::interface::message::StepKey;

/// The most calls under way: the service takes them in turn, so more would only wait there.
const MAX_CALLS_IN_FLIGHT: usize = 4;

/// The most workers in one call; the objective of a step counts one call on 30 workers.
const MAX_WORKERS_PER_CALL: usize = 30;

/// How many workers are asked about for each pending task, since some are denied or fill up.
const WORKERS_PER_TASK: usize = 3;

/// How many workers are asked about beyond that.
const EXTRA_WORKERS: usize = 3;

/// How much earlier than it ends a ticket is held to be over: a start takes time to arrive.
const TICKET_MARGIN: Millis = Millis(150);

/// The pause after a call that failed, so that a service in trouble is not asked at every pass.
const FAILED_PAUSE: Millis = Millis(200);

/// Asks for workers on which a step may run, unless an answer is awaited already.
pub fn request_permits(cx: &mut State, ready: ReadyStep, pending: usize) {
    let step = StepKey { job: ready.job, round: ready.round, step: ready.step };
    let now = cx.now;
    let known = cx.permits.steps.entry(step).or_default();
    if known.call_in_flight
        || known.not_before > now
        || cx.permits.calls_in_flight >= MAX_CALLS_IN_FLIGHT
    {
        return;
    }
    let workers = candidates(cx, step, pending);
    if workers.is_empty() {
        return;
    }
    cx.permits.calls_in_flight += 1;
    if let Some(known) = cx.permits.steps.get_mut(&step) {
        known.call_in_flight = true;
    }
    cx.actions.push(Action::Advise { step, workers });
}

/// Returns the workers with most room that are not known to be denied and have no ticket.
fn candidates(cx: &State, step: StepKey, pending: usize) -> Vec<WorkerIx> {
    let known = cx.permits.steps.get(&step);
    let fresh = |ix: &WorkerIx| {
        let denied = known.is_some_and(|k| k.denied.contains(ix));
        !denied
            && cx.permits.ticket(step, *ix, cx.now).is_none()
            && cx.worker(*ix).accepts_tasks(cx.now)
    };
    let mut found: Vec<WorkerIx> = cx.worker_ixs().into_iter().filter(fresh).collect();
    let free = |ix: &WorkerIx| {
        let worker = cx.worker(*ix);
        worker.info.capacity.minus(&worker.used).cpu
    };
    found.sort_by_key(|ix| Reverse(free(ix)));
    found.truncate(MAX_WORKERS_PER_CALL.min(pending * WORKERS_PER_TASK + EXTRA_WORKERS));
    found
}

/// Takes in an answer, or that none came.
pub fn handle_advice(
    cx: &mut State,
    step: StepKey,
    asked: &[WorkerIx],
    sent: Instant,
    answer: Option<(Vec<Permit>, Millis)>,
) {
    let now = cx.now;
    cx.permits.calls_in_flight = cx.permits.calls_in_flight.saturating_sub(1);
    let Some(known) = cx.permits.steps.get_mut(&step) else { return };
    known.call_in_flight = false;
    let Some((permits, valid)) = answer else {
        known.not_before = now + FAILED_PAUSE;
        trace::advice_missing(step.job, step.step, asked.len());
        return;
    };
    trace::advised(step.job, step.step, asked.len(), permits.len());
    let until = Instant((sent.0 + valid.0).saturating_sub(TICKET_MARGIN.0));
    known.denied.extend(asked);
    for permit in permits {
        known.denied.remove(&permit.worker);
        known.tickets.insert(permit.worker, (permit.ticket, until));
    }
    cx.pass_wanted = true;
}

/// Forgets a ticket that a worker did not take.
pub fn drop_ticket(cx: &mut State, step: StepKey, ix: WorkerIx) {
    if let Some(known) = cx.permits.steps.get_mut(&step) {
        known.tickets.remove(&ix);
    }
}

/// Forgets everything about a job.
pub fn forget(cx: &mut State, job: JobKey) {
    cx.permits.steps.retain(|step, _| step.job != job);
}
