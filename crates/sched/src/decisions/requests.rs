//! Builds the placement requests of pending tasks, and checks whether these tasks may start.

use gaplock_jobs::config::{Advice, Queue};
use gaplock_jobs::{Job, JobKey, TaskKey};
use gaplock_types::ids;
use gaplock_types::time::Millis;

use crate::decisions::free_capacity;
use crate::decisions::placement::PlacementRequest;
use crate::decisions::run_times;
use crate::decisions::steering;
use crate::state::job_table::{Task, TaskState};
use crate::state::State;

/// How long a pending task has waited, and whether it may have run before. A dispatch pass decides
/// about a step by these values of the step's first task that may start.
#[derive(Debug, Clone, Copy)]
pub struct WaitStatus {
    /// How long the task has been pending.
    pub waited: Millis,
    /// Whether the task may have run before.
    pub may_have_run: bool,
}

/// Returns the wait status of a task.
pub fn wait_status(cx: &State, task: &Task) -> WaitStatus {
    WaitStatus { waited: cx.now.since(task.since), may_have_run: task.may_have_run }
}

/// Returns the queue of a job, which the configuration in force may no longer have.
pub fn queue_of(cx: &State, job: JobKey) -> Option<&Queue> {
    cx.jobs.get(&job)?.queue.as_deref()
}

/// Returns the service whose pool of workers runs a job.
pub fn service_of(cx: &State, job: &Job) -> Option<ids::ServiceId> {
    queue_of(cx, job.key).map(|q| q.service.clone())
}

/// Returns the advice settings of a job's queue, if it has another service decide where steps may
/// run.
pub fn advice_of<'a>(cx: &'a State, job: &Job) -> Option<&'a Advice> {
    queue_of(cx, job.key)?.advice.as_ref()
}

/// Returns the name of the queue under which callers look for a job.
pub fn listed_under<'a>(cx: &'a State, job: &'a Job) -> &'a str {
    let retired = cx.retired_queues.get(&job.queue);
    retired.and_then(|retired| retired.replaced_by.as_deref()).unwrap_or(&job.queue)
}

/// Returns whether a task is pending, its pause before the next start is over, it may start without
/// a trial, and the operators' instruction for its queue allows it.
pub fn may_start(cx: &State, task: TaskKey) -> bool {
    let due = |t: &&Task| t.state == TaskState::Pending && t.not_before <= cx.now;
    cx.task(task).filter(due).is_some_and(may_start_without_trial)
        && steering::allows_start(cx, task)
}

/// Builds the placement request of a task.
pub fn placement_request<'a>(
    cx: &'a State,
    job: &'a Job,
    service: &'a ids::ServiceId,
    task: TaskKey,
) -> Option<PlacementRequest<'a>> {
    let step = &job.steps[usize::from(task.step)];
    let found = cx.task(task)?;
    let WaitStatus { waited, may_have_run } = wait_status(cx, found);
    let avoid = found.failed_on;
    let run_time = run_times::run_time_class(cx, service, step, task);
    let (advice, only_rack) = (advice_of(cx, job), None);
    let of = (step, cx.jobs.get(&task.job).map_or(0, |entry| entry.priority));
    let access = free_capacity::room_access(cx, service, of, (waited, may_have_run), false);
    Some(PlacementRequest {
        service,
        step,
        task,
        avoid,
        waited,
        run_time,
        may_have_run,
        access,
        only_rack,
        advice,
    })
}

/// Returns whether a pending task may start on any worker that fits, instead of alone on a worker
/// in a trial.
fn may_start_without_trial(task: &Task) -> bool {
    task.crash_evidence.as_ref().is_none_or(|e| e.exempt_from_trial && e.may_start())
}
