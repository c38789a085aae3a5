//! How tasks on one worker disturb each other, and what is done about it.

use gaplock_jobs::{Step, TaskKey};

use crate::context::Context;
use crate::message::{Run, WorkerIx};
use crate::worker::Worker;

/// What is known of how tasks disturb each other.
#[derive(Debug, Default)]
pub struct Pacing {}

/// Returns how much a step would disturb what a worker serves, against one worker of free room.
pub fn placement_cost(_cx: &Context, _worker: &Worker, _step: &Step) -> f64 {
    0.0
}

/// Takes in a worker's fresh readings.
pub fn observe(_cx: &mut Context, _ix: WorkerIx) {}

/// Orders changes of pace that are due.
pub fn check(_cx: &mut Context) {}

/// Takes in what became of a change of pace.
pub fn paced(
    _cx: &mut Context,
    _ix: WorkerIx,
    _key: TaskKey,
    _run: Run,
    _percent: u32,
    _applied: bool,
) {
}
