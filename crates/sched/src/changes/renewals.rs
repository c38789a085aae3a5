//! Renewals: a call that asks a worker for its report, acknowledges stored ends and extends the
//! leases of all runs at the worker.

use gaplock_types::time::{Instant, Millis};

use crate::changes::{
    abandoned_starts, commits, crashes, leases, pacing, restarts, roster, takeover, terminated,
    trace, trials, worker_report,
};
use crate::decisions::paces;
use crate::interface::message::{Action, Outcome, Refusal, WorkerIx, WorkerReport};
use crate::state::worker::Renewal;
use crate::state::State;

/// Sends every renewal that is due.
pub fn send_due(cx: &mut State) {
    let now = cx.now;
    for ix in cx.renewal_queue.take_due(now) {
        let worker = cx.worker(ix);
        if worker.terminated || !matches!(worker.renewal, Renewal::Due(at) if at <= now) {
            continue;
        }
        send(cx, ix);
    }
}

/// Sends one renewal. The worker holds it back until a run ends, unless something is more urgent.
fn send(cx: &mut State, ix: WorkerIx) {
    // A worker that does not answer is not granted a lease: a grant that may have arrived would put
    // off the time from which its runs are certainly over.
    let until = if cx.worker(ix).unanswered_renewals == 0 { leases::grant(cx, ix) } else { None };
    let wait = spread_wait(cx, ix, renewal_wait(cx.settings.renew_wait, cx.fleet_size()));
    let workers = cx.fleet_size();
    let answers_are_lost = cx.answer_times.are_lost(cx.now, workers);
    let readings_interval = readings_interval(cx);
    let worker = cx.worker_mut(ix);
    worker.renewal = Renewal::InFlight;
    let is_urgent = until.is_none()
        || worker.recorded_up_to > worker.stored_up_to
        || worker.unanswered_renewals > 0
        || worker.awaits_withdrawal_proof();
    let wait = if is_urgent || worker.slots.is_empty() { Millis(0) } else { wait };
    let wait = if answers_are_lost {
        wait.min(SHORT_WAIT)
    } else if worker.mixes_serving_and_best_effort() {
        wait.min(readings_interval)
    } else {
        wait
    };
    let wait = if worker.trial.is_some() { wait.min(trials::RENEWAL_WAIT) } else { wait };
    let stored = worker.to_acknowledge();
    worker.acknowledging_up_to = stored;
    let margin = cx.answer_times.renewal_margin(cx.now);
    cx.actions.push(Action::Renew { worker: ix, stored, until, wait, margin });
}

/// How many renewals per second one leader handles with half a core. Each takes about 0.15 ms, so
/// more than half of that processor time is to spare (`docs/CAPACITY.md`).
const MAX_RENEWALS_PER_SECOND: u64 = 1_000;

/// The longest time that a worker holds a renewal back, as the workers' interface defines it.
const MAX_RENEWAL_WAIT: Millis = Millis(2_000);

/// Returns how long a worker holds a renewal back while it waits for an end, in a fleet of
/// `workers` workers.
pub fn renewal_wait(usual: Millis, workers: usize) -> Millis {
    let needed = workers as u64 * 1_000 / MAX_RENEWALS_PER_SECOND;
    usual.max(Millis(needed)).min(MAX_RENEWAL_WAIT)
}

/// A prime that spreads the workers' positions in the table over a wait.
const SPREAD_PRIME: u64 = 7_919;

/// Returns the wait of a worker's renewal, or the time until the next renewal of an idle worker.
/// The first waits after a takeover differ between workers, from a quarter of `wait` up: all
/// workers were asked at the same time and would otherwise answer at the same time ever after.
fn spread_wait(cx: &State, ix: WorkerIx, wait: Millis) -> Millis {
    let recent = cx.worker(ix).first_answered_at.is_some_and(|at| cx.now.since(at) < wait);
    if !recent {
        return wait;
    }
    let part = u64::from(ix.0) * SPREAD_PRIME % 1_000;
    Millis(wait.0 / 4 + wait.0 * 3 / 4 * part / 1_000)
}

/// How long at most a renewal waits at a worker that runs best-effort tasks beside serving tasks, and
/// at any worker while answers get lost. Readings are renewed every half second. A reading that is a
/// second old lets a best-effort task interfere or stand still for as long (`docs/DECISIONS.md`); the
/// answer that is lost may be the one that reports the end of a short task.
const SHORT_WAIT: Millis = Millis(350);

/// The fraction of the time for which a serving task may exceed its target that may pass between two
/// readings of it, however far the leader is behind: halting best-effort tasks takes two stages, and
/// an order may have to be repeated.
const MAX_READINGS_INTERVAL_FRACTION: f64 = 0.25;

/// Returns how often the readings of serving tasks beside best-effort tasks are renewed.
fn readings_interval(cx: &State) -> Millis {
    let limit = paces::fraction_of(cx.settings.max_tail_excess, MAX_READINGS_INTERVAL_FRACTION);
    cx.delay.stretched(SHORT_WAIT, limit)
}

/// Returns whether the readings in a worker's report are used. While the leader is behind, those
/// that come early, because a task has ended, are not.
fn takes_readings(cx: &mut State, ix: WorkerIx) -> bool {
    let since = cx.now.since(cx.worker(ix).readings_used_at);
    let takes = !cx.delay.puts_off() || since >= SHORT_WAIT;
    if takes {
        cx.worker_mut(ix).readings_used_at = cx.now;
    } else {
        cx.readings_put_off += 1;
    }
    takes
}

/// Handles the outcome of a renewal.
pub fn handle_renewal_outcome(
    cx: &mut State,
    ix: WorkerIx,
    sent: Instant,
    outcome: Outcome<WorkerReport>,
) {
    // What an incarnation reported before it was known to be terminated is ignored: its runs are
    // over, too, and nobody would look for their ends. If the incarnation is listed again, it is
    // asked again.
    cx.set_due(ix, cx.now);
    if cx.worker(ix).terminated {
        return;
    }
    match outcome {
        Outcome::Done(report) => match &report.worker {
            Some(id) if *id != cx.worker(ix).info.id => {
                let later = restarts::find_or_add(cx, ix, id);
                answered_by_later_incarnation(cx, later, sent, report);
                terminated::mark_terminated(cx, ix);
            }
            _ => apply_report(cx, ix, sent, report),
        },
        Outcome::Refused(Refusal::OtherIncarnation) => {
            trace::worker_gone(&cx.worker(ix).info.id, "another incarnation answers");
            terminated::mark_terminated(cx, ix);
        }
        Outcome::Refused(refusal) => {
            if refusal == Refusal::Fenced {
                cx.actions.push(Action::ConfirmLeadership);
            }
            no_report(cx, ix);
            renewal_refused(cx, ix);
        }
        Outcome::NotSent => no_report(cx, ix),
        Outcome::Unclear => {
            no_report(cx, ix);
            // A single answer may be lost.
            if cx.worker(ix).unanswered_renewals == 1 {
                cx.set_due(ix, cx.now);
            }
        }
    }
}

/// The longest pause between renewals of a worker that does not answer, as a multiple of the
/// first one.
const MAX_RETRY_PAUSE_FACTOR: u64 = 4;

/// Handles a renewal that got no report, and delays the next one.
fn no_report(cx: &mut State, ix: WorkerIx) {
    let (now, retry) = (cx.now, cx.settings.renew_retry);
    let worker = cx.worker_mut(ix);
    worker.unanswered_renewals += 1;
    worker.last_renewal_refused = false;
    if worker.unanswered_renewals == 1 {
        trace::worker_silent(&worker.info.id);
    }
    let pause = Millis(retry.0 * u64::from(worker.unanswered_renewals).min(MAX_RETRY_PAUSE_FACTOR));
    cx.set_due(ix, now + pause);
}

/// The pause before a refused renewal is sent again if a task waits for its report.
const REFUSED_RENEWAL_RETRY_PAUSE: Millis = Millis(50);

/// Handles the refusal of the last renewal by a worker that is overloaded but answers.
fn renewal_refused(cx: &mut State, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker_mut(ix);
    worker.last_renewal_refused = true;
    if worker.awaits_withdrawal_proof() {
        cx.set_due(ix, now + REFUSED_RENEWAL_RETRY_PAUSE);
    }
}

/// Applies the report that a worker gave in answer to a renewal meant for its previous incarnation.
/// A renewal meant for this incarnation may be in flight.
fn answered_by_later_incarnation(
    cx: &mut State,
    ix: WorkerIx,
    sent: Instant,
    report: WorkerReport,
) {
    let renewal = cx.worker(ix).renewal;
    apply_report(cx, ix, sent, report);
    if renewal == Renewal::InFlight {
        cx.worker_mut(ix).renewal = renewal;
    }
}

/// How many renewals in a row may be unanswered because their answers are lost. A worker that leaves
/// more unanswered was away.
const MAX_LOST_IN_A_ROW: u32 = 2;

/// Applies a worker's report.
fn apply_report(cx: &mut State, ix: WorkerIx, sent: Instant, report: WorkerReport) {
    let now = cx.now;
    if cx.worker(ix).unanswered_renewals > 0 {
        let missed = cx.worker(ix).unanswered_renewals;
        trace::worker_back(&cx.worker(ix).info.id, missed);
        if missed <= MAX_LOST_IN_A_ROW && !cx.worker(ix).last_renewal_refused {
            cx.answer_times.record_lost(now);
        }
        cx.pass_wanted = true;
    }
    if cx.worker(ix).unanswered_renewals > 0 || cx.worker(ix).first_answered_at.is_none() {
        crashes::worker_answers(cx, ix);
    }
    let is_first = cx.worker(ix).first_answered_at.is_none();
    if is_first {
        restarts::inherit(cx, ix, sent, &report);
    }
    let worker = cx.worker_mut(ix);
    worker.unanswered_renewals = 0;
    worker.last_renewal_refused = false;
    worker.first_answered_at.get_or_insert(now);
    worker.acknowledged_up_to = worker.acknowledged_up_to.max(worker.acknowledging_up_to);
    worker.record_clock(now, report.clock);
    worker_report::apply(cx, ix, sent, &report);
    if is_first {
        restarts::mark_previous_terminated(cx, ix);
    }
    if takes_readings(cx, ix) {
        pacing::handle_readings(cx, ix);
    }
    takeover::worker_resolved(cx, ix);
    abandoned_starts::send_due_stops(cx, ix);
    roster::open_if_ready(cx, ix);
    schedule_next(cx, ix);
}

/// Sets when the next renewal is due: at once if something runs at the worker, because the worker
/// then holds the renewal back.
fn schedule_next(cx: &mut State, ix: WorkerIx) {
    let now = cx.now;
    let poll = renewal_wait(cx.settings.poll_every, cx.fleet_size());
    let idle = spread_wait(cx, ix, cx.settings.idle_renew_every);
    let worker = cx.worker_mut(ix);
    let unstored = worker.recorded_up_to > worker.stored_up_to;
    // A renewal that asks for no lease is not held back by the worker.
    let next = if unstored || worker.lets_leases_expire() {
        now + poll
    } else if worker.slots.is_empty() {
        now + idle
    } else {
        now
    };
    cx.set_due(ix, next);
    if unstored {
        commits::request_commit(cx);
    }
}
