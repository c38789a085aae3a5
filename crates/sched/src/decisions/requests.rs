//! What pending tasks ask of a worker, and whether they may start.

use gaplock_jobs::config::Advice;
use gaplock_jobs::{Job, TaskKey};
use gaplock_types::ids;
use gaplock_types::time::Millis;

use crate::decisions::placement::PlacementRequest;
use crate::state::job_table::{Task, TaskState};
use crate::state::State;

/// The task of a step that is tried first.
#[derive(Debug, Clone, Copy)]
pub struct WaitStatus {
    /// How long it has waited.
    pub waited: Millis,
    /// Whether it may have been at work before.
    pub may_have_run: bool,
}

/// Says what decides of a task that is tried first.
pub fn wait_status(cx: &State, task: &Task) -> WaitStatus {
    WaitStatus { waited: cx.now.since(task.since), may_have_run: task.may_have_run }
}

/// Returns the pool of workers that runs a job.
pub fn service_of(cx: &State, job: &Job) -> Option<ids::ServiceId> {
    let config = cx.config.as_ref()?;
    config.queue(&job.queue).map(|q| q.service.clone())
}

/// Returns what the job's queue says of asking another service where steps may run.
pub fn advice_of<'a>(cx: &'a State, job: &Job) -> Option<&'a Advice> {
    cx.config.as_ref()?.queue(&job.queue)?.advice.as_ref()
}

/// Tells whether a task is pending, its pause over, and nothing speaks against starting it beside
/// others.
pub fn may_start(cx: &State, task: TaskKey) -> bool {
    let due = |t: &&Task| t.state == TaskState::Pending && t.not_before <= cx.now;
    cx.task(task).filter(due).is_some_and(may_start_without_trial)
}

/// Says what a task asks of a worker.
pub fn placement_request<'a>(
    cx: &'a State,
    job: &'a Job,
    service: &'a ids::ServiceId,
    task: TaskKey,
) -> Option<PlacementRequest<'a>> {
    let step = &job.steps[usize::from(task.step)];
    let found = cx.task(task)?;
    let WaitStatus { waited, may_have_run: again } = wait_status(cx, found);
    let avoid = found.failed_on;
    let (advice, only_rack) = (advice_of(cx, job), None);
    Some(PlacementRequest {
        service,
        step,
        task,
        avoid,
        waited,
        may_have_run: again,
        only_rack,
        advice,
    })
}

/// Tells whether a pending task may start like any other one.
fn may_start_without_trial(task: &Task) -> bool {
    task.crash_evidence.as_ref().is_none_or(|s| s.exempt_from_trial && s.may_start())
}
