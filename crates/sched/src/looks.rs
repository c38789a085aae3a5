//! Renewals: a worker's account of itself, and the leases that each renewal extends.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::context::Context;
use crate::lifecycle::Occupant;
use crate::message::{
    Account, Action, Outcome, Record, Refusal, Run, RunningTask, WorkerClock, WorkerIx,
};
use crate::table::TaskState;
use crate::worker::{Listing, Phase, Renewal, Slot};
use crate::{commits, ends, lifecycle, pacing, takeover, trace};

/// Sends every renewal that is due.
pub fn send_due(cx: &mut Context) {
    let now = cx.now;
    for ix in 0..cx.workers.len() {
        let worker = &cx.workers[ix];
        if worker.gone || !matches!(worker.renewal, Renewal::Due(at) if at <= now) {
            continue;
        }
        send(cx, WorkerIx(ix as u32));
    }
}

fn send(cx: &mut Context, ix: WorkerIx) {
    let (now, lease) = (cx.now, cx.settings.lease_max);
    let wait = cx.settings.renew_wait;
    let worker = cx.worker_mut(ix);
    // A worker that does not answer is only asked: a grant that may have arrived would put off the
    // time from which its tasks are certainly over.
    let until = worker.lease_end(now, lease).filter(|_| worker.missed == 0);
    if let Some(until) = until {
        worker.granted(until);
    }
    worker.renewal = Renewal::InFlight;
    let quick = until.is_none() || worker.noted > worker.stored || worker.missed > 0;
    let wait = if quick || worker.slots.is_empty() { Millis(0) } else { wait };
    let wait = if worker.has_excess() { wait.min(EXCESS_WAIT) } else { wait };
    let stored = worker.stored;
    cx.actions.push(Action::Renew { worker: ix, stored, until, wait });
}

/// How long a renewal waits while a serving task is over its target; readings are renewed every
/// half second.
const EXCESS_WAIT: Millis = Millis(500);

/// Takes in what became of a renewal.
pub fn renewed(cx: &mut Context, ix: WorkerIx, sent: Instant, outcome: Outcome<Account>) {
    match outcome {
        Outcome::Done(account) => answered(cx, ix, sent, account),
        Outcome::Refused(Refusal::OtherIncarnation) => {
            trace::worker_gone(&cx.worker(ix).info.id, "another incarnation answers");
            give_up(cx, ix);
        }
        Outcome::Refused(refusal) => {
            if refusal == Refusal::Fenced {
                cx.actions.push(Action::ConfirmLeadership);
            }
            missed(cx, ix);
        }
        Outcome::NotSent | Outcome::Unclear => missed(cx, ix),
    }
}

/// The longest pause between renewals of a worker that does not answer, as a multiple of the
/// first one.
const MISSED_PAUSES: u64 = 4;

fn missed(cx: &mut Context, ix: WorkerIx) {
    let (now, retry) = (cx.now, cx.settings.renew_retry);
    let worker = cx.worker_mut(ix);
    worker.missed += 1;
    if worker.missed == 1 {
        trace::worker_silent(&worker.info.id);
    }
    let pause = Millis(retry.0 * u64::from(worker.missed).min(MISSED_PAUSES));
    worker.renewal = Renewal::Due(now + pause);
}

fn answered(cx: &mut Context, ix: WorkerIx, sent: Instant, account: Account) {
    let now = cx.now;
    let worker = cx.worker_mut(ix);
    if worker.missed > 0 {
        trace::worker_back(&worker.info.id, worker.missed);
        cx.pass_wanted = true;
    }
    let worker = cx.worker_mut(ix);
    worker.missed = 0;
    worker.answered.get_or_insert(now);
    worker.last_answer = Some(now);
    worker.read_clock(now, account.clock);
    ends::take_in(cx, ix, &account.ends);
    for row in &account.running {
        running(cx, ix, row);
    }
    forget_missing(cx, ix, sent, &account);
    pacing::observe(cx, ix);
    takeover::answered(cx, ix);
    schedule_next(cx, ix);
}

fn schedule_next(cx: &mut Context, ix: WorkerIx) {
    let now = cx.now;
    let (poll, idle) = (cx.settings.poll_every, cx.settings.idle_renew_every);
    let worker = cx.worker_mut(ix);
    let unstored = worker.noted > worker.stored;
    let next = if unstored {
        now + poll
    } else if worker.slots.is_empty() {
        now + idle
    } else {
        now
    };
    worker.renewal = Renewal::Due(next);
    if unstored {
        commits::note_ends(cx);
    }
}

/// Takes in one line of a worker's list of running tasks.
fn running(cx: &mut Context, ix: WorkerIx, row: &RunningTask) {
    let now = cx.now;
    let known = cx.worker(ix).slots.get(&row.task).map(|slot| slot.run);
    if known != Some(row.run) {
        return found(cx, ix, row);
    }
    let worker = cx.worker_mut(ix);
    let Some(slot) = worker.slots.get_mut(&row.task) else { return };
    if matches!(slot.phase, Phase::Starting | Phase::Uncertain) {
        slot.phase = Phase::Running;
        slot.confirmed = Some(now);
    }
    if row.percent != slot.percent {
        slot.percent = row.percent;
        slot.moved = now;
    }
    slot.reading = row.reading;
    let Some(task) = cx.jobs.get_mut(&row.task.job).and_then(|e| e.task_mut(row.task)) else {
        return;
    };
    if row.checkpoint.is_some() {
        task.checkpoint.clone_from(&row.checkpoint);
    }
    if row.percent >= AT_WORK_PERCENT {
        task.failed_in_row = 0;
    }
}

/// The percentage at which a lasting task is at work.
const AT_WORK_PERCENT: u32 = 100;

/// Decides about a run that this leader did not start, or has given up: kept if the task is free,
/// stopped otherwise.
fn found(cx: &mut Context, ix: WorkerIx, row: &RunningTask) {
    let key = row.task;
    let Some(entry) = cx.jobs.get(&key.job) else {
        return stop_stray(cx, ix, row, "its job is not known");
    };
    let live = !entry.state.is_final();
    let state = entry.task(key).map(|t| t.state);
    match state {
        Some(TaskState::Unknown | TaskState::Pending | TaskState::Waiting) if live => {
            lifecycle::leave_pending(cx, key);
            adopt(cx, ix, row);
        }
        Some(TaskState::Active { run, .. }) if run == row.run => {}
        _ => stop_stray(cx, ix, row, "the task is done, ended or elsewhere"),
    }
}

fn adopt(cx: &mut Context, ix: WorkerIx, row: &RunningTask) {
    let key = row.task;
    occupy_found(cx, ix, row, Phase::Running);
    let Some(task) = cx.jobs.get_mut(&key.job).and_then(|e| e.task_mut(key)) else { return };
    task.state = TaskState::Active { worker: ix, run: row.run };
    if row.checkpoint.is_some() {
        task.checkpoint.clone_from(&row.checkpoint);
    }
    trace::run_adopted(key, row.run, &cx.worker(ix).info.id);
}

fn occupy_found(cx: &mut Context, ix: WorkerIx, row: &RunningTask, phase: Phase) {
    if let Some(old) = cx.worker(ix).slots.get(&row.task).map(|slot| slot.run) {
        lifecycle::vacate(cx, ix, row.task, old);
    }
    let (run, percent, reading) = (row.run, row.percent, row.reading);
    lifecycle::occupy(cx, ix, row.task, Occupant { run, phase, percent, reading });
}

fn stop_stray(cx: &mut Context, ix: WorkerIx, row: &RunningTask, why: &'static str) {
    let known = cx.worker(ix).slots.get(&row.task).is_some_and(|s| s.run == row.run);
    if known {
        return;
    }
    if !cx.jobs.contains_key(&row.task.job) {
        trace::stop_ordered(row.task, row.run, &cx.worker(ix).info.id, why);
        cx.actions.push(Action::Stop { worker: ix, task: row.task, run: row.run });
        return;
    }
    occupy_found(cx, ix, row, Phase::Running);
    lifecycle::order_stop(cx, ix, row.task, row.run, why);
}

/// Gives up runs that the worker had confirmed before this renewal was sent, but neither lists as
/// running nor as ended.
fn forget_missing(cx: &mut Context, ix: WorkerIx, sent: Instant, account: &Account) {
    if account.ends.len() >= MOST_ENDS_LISTED {
        return;
    }
    let listed = |key: &TaskKey, run: Run| {
        account.running.iter().any(|row| row.task == *key && row.run == run)
    };
    let worker = cx.worker(ix);
    let settled = |slot: &Slot| match slot.phase {
        Phase::Running => slot.confirmed.is_some_and(|at| at < sent),
        Phase::Stopping => slot.confirmed.is_some_and(|at| at < sent) && slot.ordered < sent,
        Phase::Starting | Phase::Uncertain => false,
    };
    let missing: Vec<(TaskKey, Run)> = worker
        .slots
        .iter()
        .filter(|(key, slot)| settled(slot) && !listed(key, slot.run))
        .map(|(key, slot)| (*key, slot.run))
        .collect();
    for (key, run) in missing {
        trace::run_lost(key, run, &cx.worker(ix).info.id, "not in the worker's account");
        lifecycle::requeue(cx, ix, key, run, Millis(0));
    }
}

/// A worker lists this many ends at once at most; more may follow.
const MOST_ENDS_LISTED: usize = 500;

/// Gives up the runs of silent workers whose leases are certainly over, and workers that are
/// neither listed nor answering.
pub fn check_leases(cx: &mut Context) {
    let now = cx.now;
    let drift = cx.settings.drift_per_mille;
    for ix in cx.worker_ixs() {
        let worker = cx.worker(ix);
        if worker.missed == 0 || worker.lapsed_by(drift).is_some_and(|at| at > now) {
            continue;
        }
        let unsurveyed = cx.survey.is_some() && worker.answered.is_none();
        if unsurveyed {
            continue;
        }
        let absent = worker.listing == Listing::Absent;
        free_all(cx, ix, "its lease is over");
        if absent {
            trace::worker_gone(&cx.worker(ix).info.id, "silent, unlisted and its leases over");
            give_up(cx, ix);
        }
    }
}

fn free_all(cx: &mut Context, ix: WorkerIx, why: &'static str) {
    let slots: Vec<(TaskKey, Run)> =
        cx.worker(ix).slots.iter().map(|(key, slot)| (*key, slot.run)).collect();
    for (key, run) in slots {
        trace::run_lost(key, run, &cx.worker(ix).info.id, why);
        lifecycle::requeue(cx, ix, key, run, Millis(0));
    }
}

/// Forgets a worker whose incarnation certainly runs nothing any more.
pub fn give_up(cx: &mut Context, ix: WorkerIx) {
    free_all(cx, ix, "its worker is gone");
    let worker = cx.worker_mut(ix);
    if worker.gone {
        return;
    }
    worker.gone = true;
    worker.clock = None;
    worker.lease_until = None;
    let id = worker.info.id.clone();
    if worker.in_roster || worker.roster_pending {
        worker.in_roster = false;
        worker.roster_pending = false;
        commits::add(cx, Record::ForgetWorker(id));
    }
    takeover::answered(cx, ix);
}

/// Returns the end of a lease at a worker that begins now, and remembers it as granted.
pub fn grant(cx: &mut Context, ix: WorkerIx) -> Option<WorkerClock> {
    let (now, lease) = (cx.now, cx.settings.lease_max);
    let worker = cx.worker_mut(ix);
    let until = worker.lease_end(now, lease)?;
    worker.granted(until);
    Some(until)
}
