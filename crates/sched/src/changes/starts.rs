//! Starts tasks: reserves the capacity for a run and makes the task active at its worker.

use gaplock_jobs::TaskKey;

use crate::changes::crashes::{recorded_starts, reserved};
use crate::changes::lifecycle::Occupant;
use crate::changes::{checkpoints, lifecycle, orders, shares, trace};
use crate::interface::message::{Run, WorkerIx};
use crate::state::checkpoint::Checkpoint;
use crate::state::job_table::TaskState;
use crate::state::worker::Phase;
use crate::state::State;

/// Starts a task at a worker.
pub fn start_at(cx: &mut State, ix: WorkerIx, task: TaskKey) {
    let run = next_run(cx, task);
    let checkpoint = checkpoints::of_task(cx, task);
    reserve(cx, ix, (task, run), checkpoint);
    send(cx, ix, task, run);
}

/// Sends the start of a run that has its slot. If the task is a suspect, holds the start back until
/// it is stored.
pub fn send(cx: &mut State, ix: WorkerIx, task: TaskKey, run: Run) {
    if !recorded_starts::hold_start_until_stored(cx, ix, task, run) {
        orders::send_start(cx, ix, task, run);
    }
}

/// Counts another start of a task and returns the number of its run.
fn next_run(cx: &mut State, task: TaskKey) -> Run {
    let found = cx.task_mut(task);
    let starts = found.map_or(1, |t| {
        t.starts += 1;
        t.starts
    });
    cx.run_number(starts)
}

/// Reserves the capacity for a run, sets the checkpoint that its start carries, and makes the task
/// active at the worker.
pub fn reserve(
    cx: &mut State,
    ix: WorkerIx,
    (task, run): (TaskKey, Run),
    resumes_from: Option<Checkpoint>,
) {
    let now = cx.now;
    lifecycle::leave_pending(cx, task);
    let (phase, percent, reading) = (Phase::Starting, 0, None);
    lifecycle::occupy(cx, ix, task, Occupant { run, resumes_from, phase, percent, reading });
    let worker = cx.worker(ix).info.id.clone();
    if let Some(t) = cx.task_mut(task) {
        t.state = TaskState::Active { worker: ix, run };
        t.may_have_run = true;
        trace::start_ordered(task, run, &worker, now.since(t.since));
    }
    shares::note_start(cx, ix, task);
    reserved::reserve_after_placement(cx, ix, task);
}
