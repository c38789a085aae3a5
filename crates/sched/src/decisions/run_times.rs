//! How long a task is expected to run. A best-effort task needs room at the highest load of the
//! serving tasks beside it while it runs: a short one may start in the trough of the load, a long
//! one outlasts the peak.

use gaplock_jobs::{Step, TaskKey};
use gaplock_types::ids;
use gaplock_types::time::Millis;

use crate::state::rates::COMPLETE_PERCENT;
use crate::state::worker::RUN_TIMES;
use crate::state::State;

/// The position of a run time in [`RUN_TIMES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunTimeClass(usize);

impl RunTimeClass {
    /// Returns the position.
    pub fn index(self) -> usize {
        self.0
    }
}

/// Returns the shortest run time that covers a task. What a task has saved is not known here, so one
/// that resumes counts like one that begins. All tasks have the first run time while the load of
/// the pool has no confirmed period, since the spare capacity of workers does not depend on it then.
pub fn run_time_class(
    cx: &State,
    service: &ids::ServiceId,
    step: &Step,
    task: TaskKey,
) -> RunTimeClass {
    if !step.fills || cx.interference.confirmed_period(service).is_none() {
        return RunTimeClass(0);
    }
    let expected = expected_run_time(cx, step, task);
    let covering = RUN_TIMES.iter().position(|run_time| expected <= *run_time);
    RunTimeClass(covering.unwrap_or(RUN_TIMES.len() - 1))
}

/// Returns how long a task is expected to run at full pace: by the progress of other tasks of its
/// step, or by the caller's estimate, which is off by up to 0.9 on the users' sites, until enough
/// of these have run.
fn expected_run_time(cx: &State, step: &Step, task: TaskKey) -> Millis {
    let rate = cx.step_state(task).and_then(|state| state.rates.median());
    rate.map_or(step.estimate, |rate| Millis((f64::from(COMPLETE_PERCENT) * 1_000.0 / rate) as u64))
}
