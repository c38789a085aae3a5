//! Gangs: all members of a step start together, or none of them does.
//!
//! If a gang runs slower when spread over several racks, one rack after another is tried, those
//! with the most free capacity first, before its members are spread.

use gaplock_jobs::{Job, TaskKey};
use gaplock_types::ids;

use crate::changes::{checkpoints, lifecycle, permits, starts};
use crate::decisions::placement::{self, PlacementRequest};
use crate::decisions::{racks, requests};
use crate::interface::message::{Run, WorkerIx};
use crate::interface::proof::ReleaseProof;
use crate::state::job_table::ReadyStep;
use crate::state::State;

/// Starts all members of a gang under one run number, or none of them.
pub fn start(
    cx: &mut State,
    job: &Job,
    service: &ids::ServiceId,
    ready: ReadyStep,
    pending: &[u32],
) {
    let step = &job.steps[usize::from(ready.step)];
    if pending.len() < step.count as usize {
        return;
    }
    let key = |&index| TaskKey { job: ready.job, round: ready.round, step: ready.step, index };
    let members: Vec<TaskKey> = pending.iter().map(key).collect();
    if members.iter().any(|&task| !requests::may_start(cx, task)) {
        return;
    }
    let starts = next_start_count(cx, &members);
    let Some(placed) = place_together(cx, job, service, &members, starts, step.same_rack) else {
        if requests::advice_of(cx, job).is_some() {
            permits::request_permits(cx, ready, pending.len());
        }
        return;
    };
    let run = cx.run_number(starts);
    for (task, ix) in placed {
        starts::send(cx, ix, task, run);
    }
}

/// Returns how often the gang will have been started after its next start, counted by the member
/// started most often.
fn next_start_count(cx: &State, members: &[TaskKey]) -> u32 {
    let starts = members.iter().filter_map(|&task| cx.task(task)).map(|t| t.starts);
    starts.max().unwrap_or(0) + 1
}

/// Reserves capacity for all members or for none of them. They are placed in one rack if the step
/// asks for that and any rack has enough free capacity.
fn place_together(
    cx: &mut State,
    job: &Job,
    service: &ids::ServiceId,
    members: &[TaskKey],
    starts: u32,
    same_rack: bool,
) -> Option<Vec<(TaskKey, WorkerIx)>> {
    let racks = if same_rack { racks::by_free_cpu(cx, service) } else { Vec::new() };
    let in_rack = racks.iter().find_map(|r| place(cx, job, service, members, starts, Some(r)));
    in_rack.or_else(|| place(cx, job, service, members, starts, None))
}

/// Reserves capacity for all members of a gang, in one rack if `rack` is given, or for none of
/// them.
fn place(
    cx: &mut State,
    job: &Job,
    service: &ids::ServiceId,
    members: &[TaskKey],
    starts: u32,
    rack: Option<&String>,
) -> Option<Vec<(TaskKey, WorkerIx)>> {
    let run = cx.run_number(starts);
    let checkpoint = checkpoints::of_gang(cx, members);
    let mut placed: Vec<(TaskKey, WorkerIx)> = Vec::new();
    for &task in members {
        let wanted = requests::placement_request(cx, job, service, task)
            .map(|w| PlacementRequest { only_rack: rack, ..w });
        let Some(ix) = wanted.and_then(|w| placement::best_worker(cx, &w)) else {
            release_placed(cx, &placed, run);
            return None;
        };
        set_starts(cx, task, starts);
        starts::reserve(cx, ix, (task, run), checkpoint.clone());
        placed.push((task, ix));
    }
    Some(placed)
}

/// Releases the capacity of the members placed so far. No start of theirs was sent.
fn release_placed(cx: &mut State, placed: &[(TaskKey, WorkerIx)], run: Run) {
    for &(task, ix) in placed {
        lifecycle::requeue(cx, ix, task, run, ReleaseProof::NeverSent);
    }
}

/// Sets how often a task was started. All members of a gang have the same count.
fn set_starts(cx: &mut State, task: TaskKey, starts: u32) {
    if let Some(t) = cx.task_mut(task) {
        t.starts = starts;
    }
}
