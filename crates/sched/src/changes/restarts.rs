//! Workers that restart under the same name (`docs/PLATFORM.md`, section Workers that start again).
//!
//! Each incarnation is a separate worker in the table, so everything recorded of a previous
//! incarnation ends with it. The exception is an order that was in flight when the worker
//! restarted: it names the worker only, so either incarnation may have carried it out. Such a run
//! is moved to the later incarnation, and its task waits until that incarnation has listed the run
//! or refuses it for ever.

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::changes::lifecycle::Occupant;
use crate::changes::{crashes, directory, lifecycle, roster, terminated, trace};
use crate::interface::message::{Run, WorkerIx, WorkerReport};
use crate::state::job_table::TaskState;
use crate::state::worker::{Listing, Phase, Slot};
use crate::state::State;

/// How long the directory entry of an incarnation may lag behind its first report. Workers write
/// their entries about every second, and a change takes half a second to reach the leader.
const DIRECTORY_ENTRY_DELAY: Millis = Millis(2_000);

/// Finds the incarnation that has answered a call to a previous one, or adds it. It gets no tasks
/// until the directory lists its current capacity.
pub fn find_or_add(cx: &mut State, previous: WorkerIx, id: &ids::WorkerId) -> WorkerIx {
    let previous = &cx.worker(previous).info;
    trace::worker_restarted(&previous.id, id);
    let mut info = previous.clone();
    info.id = id.clone();
    (info.draining, info.remaining) = (false, None);
    let listing = Listing::Absent { since: cx.now + DIRECTORY_ENTRY_DELAY };
    let ix = directory::find_or_add(cx, &info, listing);
    cx.by_name.insert(id.name(), ix);
    cx.set_terminated(ix, false);
    ix
}

/// When an incarnation answers for the first time, moves to it the runs and abandoned starts of its
/// previous incarnations that it may hold. `report` answers a renewal that was sent at `sent`.
pub fn inherit(cx: &mut State, ix: WorkerIx, sent: Instant, report: &WorkerReport) {
    for previous in previous_incarnations(cx, ix) {
        let abandoned = std::mem::take(&mut cx.worker_mut(previous).abandoned_starts);
        let unsent = abandoned.into_iter().map(|(key, start)| (key, start.with_stop_unsent()));
        cx.worker_mut(ix).abandoned_starts.extend(unsent);
        let slots: Vec<(TaskKey, Slot)> =
            cx.worker(previous).slots.iter().map(|(key, slot)| (*key, slot.clone())).collect();
        let (listed, not_listed): (Vec<_>, Vec<_>) =
            slots.into_iter().partition(|(key, slot)| report_lists(report, *key, slot.run));
        for (key, slot) in listed {
            move_run(cx, (previous, ix), key, &slot, true);
        }
        // Runs that the report does not list, even those that may yet begin, are evidence of why
        // the previous incarnation ended.
        crashes::worker_lost(cx, previous, true);
        for (key, slot) in not_listed.iter().filter(|(_, slot)| !was_at_previous(slot, sent)) {
            move_run(cx, (previous, ix), *key, slot, false);
        }
        // A lease that a previous incarnation was asked to grant may have been granted by this one.
        let until = report.clock.after(cx.settings.lease_max);
        cx.worker_mut(ix).extend_leases(until);
    }
    let lists_something = !report.running.is_empty() || !report.ends.is_empty();
    let holds_something = lists_something || !cx.worker(ix).slots.is_empty();
    if cx.worker(ix).previous_incarnation.is_some() && holds_something {
        // Done before the roster drops the previous incarnation: a new leader must look here for
        // what that one was told to start.
        roster::add_if_missing(cx, ix);
    }
}

/// Marks the previous incarnations of a worker that has answered as terminated: they no longer run
/// anything.
pub fn mark_previous_terminated(cx: &mut State, ix: WorkerIx) {
    for previous in previous_incarnations(cx, ix) {
        if !cx.worker(previous).terminated {
            trace::worker_gone(&cx.worker(previous).info.id, "it has started again");
            terminated::mark_terminated(cx, previous);
        }
    }
}

/// Returns the previous incarnations of a worker, the latest first.
fn previous_incarnations(cx: &State, ix: WorkerIx) -> Vec<WorkerIx> {
    let before = |ix: &WorkerIx| cx.worker(*ix).previous_incarnation;
    std::iter::successors(before(&ix), before).collect()
}

/// Returns whether a report lists a run as running or ended.
fn report_lists(report: &WorkerReport, key: TaskKey, run: Run) -> bool {
    let runs = report.running.iter().any(|row| (row.task, row.run) == (key, run));
    runs || report.ends.iter().any(|end| (end.task, end.run) == (key, run))
}

/// Returns whether a run that a later incarnation's report does not list was certainly at a
/// previous incarnation: each attempt of its start was answered before that report was requested.
fn was_at_previous(slot: &Slot, sent: Instant) -> bool {
    let start_in_flight = matches!(slot.phase, Phase::Starting | Phase::Uncertain);
    let confirmed = slot.confirmed.is_some_and(|at| at < sent);
    confirmed && !start_in_flight && slot.attempts.unanswered() == 0
}

/// Moves a run to the later incarnation: as running if that incarnation lists it, or as withdrawn
/// if it may yet begin there.
fn move_run(
    cx: &mut State,
    (from, to): (WorkerIx, WorkerIx),
    key: TaskKey,
    slot: &Slot,
    listed: bool,
) {
    let (old, new) = ((from, slot.run), (to, slot.run));
    let was_slow = cx.task(key).is_some_and(|task| task.slow_run == Some(old));
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
            task.slow_run = Some(new);
        }
        if task.state == (TaskState::Active { worker: from, run }) {
            task.state = TaskState::Active { worker: to, run };
        }
    }
    if !listed || slot.phase == Phase::Stopping {
        lifecycle::order_stop(cx, to, key, run, "its worker has started again");
    }
}
