//! Workers that start again under their names (`docs/PLATFORM.md`, section Workers that start again).
//!
//! Each start is a worker of its own in the table, so whatever was kept of a former one ends with it. What that
//! cannot tell apart is an order under way when the worker started again: it names the worker only, and either
//! start may have carried it out. Such a run goes over to the later start, and its task waits until that one has
//! listed the run or refuses it for ever.

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::changes::lifecycle::Occupant;
use crate::changes::{crashes, directory, lifecycle, roster, terminated, trace};
use crate::interface::message::{Run, WorkerIx, WorkerReport};
use crate::state::job_table::TaskState;
use crate::state::worker::{Listing, Phase, Slot};
use crate::state::State;

/// How long the directory's entry of a start may be behind its first account: workers write theirs about every
/// second, and a change takes half a second to reach us.
const DIRECTORY_ENTRY_DELAY: Millis = Millis(2_000);

/// Finds the start that has answered a call to an earlier one, or adds it. Until the directory tells what it
/// holds now, it gets no tasks.
pub fn find_or_add(cx: &mut State, former: WorkerIx, id: &ids::WorkerId) -> WorkerIx {
    let former = &cx.worker(former).info;
    trace::worker_restarted(&former.id, id);
    let mut info = former.clone();
    info.id = id.clone();
    (info.draining, info.remaining) = (false, None);
    let listing = Listing::Absent { since: cx.now + DIRECTORY_ENTRY_DELAY };
    let ix = directory::find_or_add(cx, &info, listing);
    cx.by_name.insert(id.name(), ix);
    cx.set_terminated(ix, false);
    ix
}

/// Moves to a start that answers for the first time what it may hold of its former ones, by its account that
/// answers a renewal sent at `sent`.
pub fn inherit(cx: &mut State, ix: WorkerIx, sent: Instant, account: &WorkerReport) {
    for former in previous_incarnations(cx, ix) {
        let doubts = std::mem::take(&mut cx.worker_mut(former).abandoned_starts);
        let unasked = doubts.into_iter().map(|(key, doubt)| (key, doubt.with_stop_unsent()));
        cx.worker_mut(ix).abandoned_starts.extend(unasked);
        let slots: Vec<(TaskKey, Slot)> =
            cx.worker(former).slots.iter().map(|(key, slot)| (*key, slot.clone())).collect();
        let (here, rest): (Vec<_>, Vec<_>) =
            slots.into_iter().partition(|(key, slot)| report_lists(account, *key, slot.run));
        for (key, slot) in here {
            move_run(cx, (former, ix), key, &slot, true);
        }
        // Whatever is not listed speaks of the former start's end, also what may yet begin.
        crashes::worker_lost(cx, former, true);
        for (key, slot) in rest.iter().filter(|(_, slot)| !was_at_previous(slot, sent)) {
            move_run(cx, (former, ix), *key, slot, false);
        }
        // A lease that was asked of a former start may have been granted by this one.
        let until = account.clock.after(cx.settings.lease_max);
        cx.worker_mut(ix).extend_leases(until);
    }
    let lists_something = !account.running.is_empty() || !account.ends.is_empty();
    let holds_something = lists_something || !cx.worker(ix).slots.is_empty();
    if cx.worker(ix).previous_incarnation.is_some() && holds_something {
        // Before the roster forgets the former start: a successor must find here what that one was told to start.
        roster::add_if_missing(cx, ix);
    }
}

/// Gives the former starts of a worker up that has answered: nothing runs there any more.
pub fn terminate_previous(cx: &mut State, ix: WorkerIx) {
    for former in previous_incarnations(cx, ix) {
        if !cx.worker(former).terminated {
            trace::worker_gone(&cx.worker(former).info.id, "it has started again");
            terminated::mark_terminated(cx, former);
        }
    }
}

/// Lists the earlier starts of a worker, the latest first.
fn previous_incarnations(cx: &State, ix: WorkerIx) -> Vec<WorkerIx> {
    let before = |ix: &WorkerIx| cx.worker(*ix).previous_incarnation;
    std::iter::successors(before(&ix), before).collect()
}

/// Tells whether an account names a run.
fn report_lists(account: &WorkerReport, key: TaskKey, run: Run) -> bool {
    let runs = account.running.iter().any(|row| (row.task, row.run) == (key, run));
    runs || account.ends.iter().any(|end| (end.task, end.run) == (key, run))
}

/// Tells whether a run that the account of a later start does not name was certainly at an earlier one: each try
/// of its start was answered before that account was asked for.
fn was_at_previous(slot: &Slot, sent: Instant) -> bool {
    let calls_under_way = matches!(slot.phase, Phase::Starting | Phase::Uncertain);
    let confirmed = slot.confirmed.is_some_and(|at| at < sent);
    confirmed && !calls_under_way && slot.attempts.unanswered() == 0
}

/// Moves a run to the later start: as running there where that lists it, and as withdrawn where it may yet begin.
fn move_run(
    cx: &mut State,
    (from, to): (WorkerIx, WorkerIx),
    key: TaskKey,
    slot: &Slot,
    listed: bool,
) {
    let (was, is) = ((from, slot.run), (to, slot.run));
    let was_slow = cx.task(key).is_some_and(|task| task.slow_run == Some(was));
    lifecycle::vacate(cx, from, key, slot.run);
    let phase = if listed { Phase::Running } else { Phase::Starting };
    let (run, resumes_from) = (slot.run, slot.resumes_from.clone());
    let (percent, reading) = (slot.progress_percent, slot.reading);
    lifecycle::occupy(cx, to, key, Occupant { run, resumes_from, phase, percent, reading });
    if let Some(moved) = cx.worker_mut(to).slots.get_mut(&key) {
        moved.attempts = slot.attempts;
    }
    if let Some(task) = cx.task_mut(key) {
        if was_slow {
            task.slow_run = Some(is);
        }
        if task.state == (TaskState::Active { worker: from, run }) {
            task.state = TaskState::Active { worker: to, run };
        }
    }
    if !listed || slot.phase == Phase::Stopping {
        lifecycle::order_stop(cx, to, key, run, "its worker has started again");
    }
}
