//! Decides how much time a job has left beyond the time that it still needs, and whether its result
//! can still be of use.
//!
//! A job is only of use once its last task is done, and a task that waits or is slowed down on one
//! worker decides when that is. So slack is computed for each task: it is the time until the job's
//! objective, minus the task's remaining work at full pace and the steps after it.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::state::job_table::{self, JobEntry, ReadyStep, StepState};
use crate::state::rates::COMPLETE_PERCENT;
use crate::state::State;

/// Of how much use the result of a job can still be. Earlier variants go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usefulness {
    /// It can be there by the objective.
    OnTime,
    /// It comes late but is of some use.
    Late,
    /// It comes after [`USEFUL_FACTOR`] times the objective.
    None,
}

/// How many times the time allowed to a job its result is of any use to its caller.
pub const USEFUL_FACTOR: u64 = 3;

/// The share of the remaining time that counts for whether a job can still be on time, as long as
/// that time is only estimated. If estimates are off by up to 0.9 either way, work takes no more
/// than this share in a third of all cases. A job that is given up loses most of its value, but as
/// many jobs with less chance than that would make others late, too.
const ESTIMATED_TIME_SHARE: f64 = 0.75;

/// The same share where the time follows from the rates of the step. These are read over parts of
/// runs, and the tasks of a step differ.
const MEASURED_TIME_SHARE: f64 = 0.9;

/// How many times the expected time a job must have left to count as on time while tasks of it wait
/// for a worker. Runs are slowed down, and estimates are off. Without the margin, jobs that have
/// hardly enough time are started first, end late, and make those behind them late.
const WAITING_TIME_FACTOR: f64 = 1.5;

/// How much time a task has left.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slack {
    /// Of how much use the job's result can still be.
    pub usefulness: Usefulness,
    /// The time to the objective beyond the time that the task and the steps after it need, in
    /// milliseconds; negative if the job will be late.
    pub ms: f64,
}

/// The time that a part of a job needs, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Need {
    expected: f64,
    /// The least that it may be.
    least: f64,
}

/// Returns the slack of a task that has made this much progress; unset if its job is not known.
pub fn slack_of(cx: &State, key: TaskKey, progress_percent: u32) -> Option<Slack> {
    let entry = cx.jobs.get(&key.job)?;
    let state = entry.round(key.round)?.steps.get(usize::from(key.step))?;
    let percent = progress_percent.max(state.tasks.get(key.index as usize)?.progress_percent);
    let task = need(cx, entry, state, key.step, percent)?;
    let slowest = need(cx, entry, state, key.step, percent.min(state.least_progress.1))?;
    let left = time_to_objective(cx, entry, key.round);
    let usefulness = usefulness(entry, left, slowest.least);
    Some(Slack { usefulness, ms: left - task.expected })
}

/// Returns the slack of the tasks of a step that wait for a worker; unset if its job is not known.
pub fn slack_of_step(cx: &State, ready: &ReadyStep) -> Option<Slack> {
    let entry = cx.jobs.get(&ready.job)?;
    let state = entry.round(ready.round)?.steps.get(usize::from(ready.step))?;
    let need = need(cx, entry, state, ready.step, state.least_progress.1)?;
    let left = time_to_objective(cx, entry, ready.round);
    let usefulness = usefulness(entry, left, need.expected * WAITING_TIME_FACTOR);
    Some(Slack { usefulness, ms: left - need.expected })
}

/// Returns the time until the objective of a job's round, in milliseconds. The objective of a round
/// counts from when it is due.
fn time_to_objective(cx: &State, entry: &JobEntry, round: u32) -> f64 {
    let accepted = entry.job.accepted_unix_ms;
    let offset = entry.due_unix_ms(round).saturating_sub(accepted);
    let due: Instant = entry.due + Millis(offset);
    due.0 as f64 - cx.now.0 as f64
}

/// Returns of how much use a job is whose objective is `left` milliseconds away and that needs
/// `need` milliseconds.
fn usefulness(entry: &JobEntry, left: f64, need: f64) -> Usefulness {
    let beyond_objective = (entry.objective.0 * (USEFUL_FACTOR - 1)) as f64;
    if left >= need {
        Usefulness::OnTime
    } else if left + beyond_objective >= need {
        Usefulness::Late
    } else {
        Usefulness::None
    }
}

/// Returns the time that a task with this much progress and all steps after it need: by the rates of
/// the step once they are known, otherwise by the corrected estimates.
fn need(
    cx: &State,
    entry: &JobEntry,
    state: &StepState,
    step: u16,
    progress_percent: u32,
) -> Option<Need> {
    let description = entry.job.steps.get(usize::from(step))?;
    let ratio = cx.estimate_ratios.ratio(&entry.job.queue, job_table::work_class(description));
    let after = entry.chain_after.get(usize::from(step))?.0 as f64 * ratio;
    let left_percent = f64::from(COMPLETE_PERCENT.saturating_sub(progress_percent));
    let (task, share) = match state.rates.median() {
        Some(rate) => (left_percent / rate * 1_000.0, MEASURED_TIME_SHARE),
        None => {
            let estimate = description.estimate.0 as f64 * ratio;
            (estimate * left_percent / f64::from(COMPLETE_PERCENT), ESTIMATED_TIME_SHARE)
        }
    };
    Some(Need { expected: task + after, least: task * share + after * ESTIMATED_TIME_SHARE })
}
