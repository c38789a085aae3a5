//! How filling tasks disturb serving ones on the same worker, and what is done about it.
//!
//! Measured on the users' sites (`docs/MEASUREMENTS.md`, section Disturbance): the logarithm of a
//! serving task's tail grows by a factor of the processor share that a filling task uses; the
//! factor depends on the pair of images, and is near nothing for most pairs. So the factors are
//! learnt from the workers' readings, placement keeps pairs apart that cannot live together, and
//! the pace of what disturbs is lowered only as far as the serving tasks need.

mod model;

use gaplock_jobs::{Step, TaskKey};
use gaplock_types::time::{Instant, Millis};

use crate::context::Context;
use crate::lifecycle;
use crate::message::{Action, Run, WorkerIx};
use crate::trace;
use crate::worker::{Part, Phase, Slot, Worker};

pub use model::{Column, Model, Row};

/// What is known of how tasks disturb each other.
pub type Pacing = Model;

/// Part of its target that a serving task's expected tail may reach, for what already runs:
/// readings are rough, and load swings within seconds.
const GUARDED_SHARE: f64 = 0.8;

/// Part of its target that a serving task's expected tail may reach when a task is placed beside
/// it: lower than [`GUARDED_SHARE`], so that what was just placed is not slowed down at once.
const PLACED_SHARE: f64 = 0.65;

/// How long a filling task waits for a worker where it disturbs nobody before it is placed where
/// it disturbs least, slowed down as far as needed.
const PATIENCE: Millis = Millis(1_500);

/// Readings cover the last half second; a worker on which a filling task has ended within this
/// time shows what that task did, but no longer the task.
const SETTLE: Millis = Millis(650);

/// How long readings may be over the target before what may be the cause is halted there. The
/// excess may last as long as [`crate::Settings::tail_excess`]; a reading is up to 1.5 s old.
const BRAKE_AFTER: Millis = Millis(1_300);

/// How long that lasts at most: a tail that stays over its target so long has
/// another cause.
const BRAKE_MOST: Millis = Millis(2_500);

/// A filling task that raises a level by less than this is not halted by the brake either.
const BRAKED_PUSH: f64 = 0.03;

/// A filling task that raises no level by more than this is left alone.
const LEAST_PUSH: f64 = 0.08;

/// The least change of pace, in percent, that is worth a call.
const PACE_STEP: u32 = 15;

/// Below this pace a filling task is better off elsewhere.
const MOVE_BELOW: u32 = 35;

/// How long a filling task is slowed down before it is moved.
const MOVE_AFTER: Millis = Millis(1_200);

/// Cost of a unit of expected excess over the target's logarithm, against one worker of free room.
const EXCESS_COST: f64 = 4.0;

/// Worth of serving tasks of one image sharing a worker: fewer workers are then closed to the
/// filling tasks that disturb the image. Against one worker of free room.
const SAME_IMAGE_WORTH: f64 = 3.0;

/// Returns what a step's tasks are to each other on a worker.
pub fn part_of(cx: &mut Context, step: &Step) -> Part {
    let image = step.image.as_deref().unwrap_or_default();
    if step.fills {
        return Part::Filling(cx.pacing.column(image));
    }
    match step.tail_target {
        Some(target) => Part::Serving { row: cx.pacing.row(image), target_ms: target.0 as u32 },
        None => Part::Plain,
    }
}

/// Returns the share of the worker's processors that a filling task uses at full pace.
fn full_share(slot: &Slot, worker: &Worker, now: Instant) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let wanted = f64::from(slot.wants_cpu) / cores;
    let settled = slot.confirmed.is_some_and(|at| now.since(at) >= SETTLE);
    match slot.reading {
        Some(used) if settled && slot.pace == crate::looks::FULL_PACE && used > 0 => {
            f64::from(used) / cores
        }
        _ => wanted,
    }
}

/// Recomputes how near each serving image on a worker is to its target, at the paces in force.
pub fn refresh(cx: &mut Context, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker(ix);
    let filling = filling_shares(worker, now);
    let mut levels: Vec<(Row, f64)> = Vec::new();
    for (key, slot) in &worker.slots {
        let Part::Serving { row, .. } = slot.part else { continue };
        let paced = filling.iter().map(|f| (f.column, f.share * f64::from(f.pace) / 100.0));
        let level = cx.pacing.expect(row, paced) + cx.pacing.load(key.job);
        match levels.iter_mut().find(|(r, _)| *r == row) {
            Some((_, known)) => *known = known.max(level),
            None => levels.push((row, level)),
        }
    }
    cx.worker_mut(ix).levels = levels;
}

/// A filling task at a worker.
#[derive(Debug, Clone, Copy)]
struct FillingTask {
    key: TaskKey,
    run: Run,
    column: Column,
    /// Share of the worker's processors at full pace.
    share: f64,
    pace: u32,
}

fn filling_shares(worker: &Worker, now: Instant) -> Vec<FillingTask> {
    let running = worker.slots.iter().filter(|(_, slot)| slot.phase != Phase::Stopping);
    let filling = running.filter_map(|(key, slot)| match slot.part {
        Part::Filling(column) => Some(FillingTask {
            key: *key,
            run: slot.run,
            column,
            share: full_share(slot, worker, now),
            pace: slot.pace,
        }),
        _ => None,
    });
    filling.collect()
}

/// Returns how much placing a step's task on a worker would disturb, against one worker of free
/// room, or nothing where it must not be placed there yet.
pub fn placement_cost(cx: &Context, worker: &Worker, step: &Step, waited: Millis) -> Option<f64> {
    if step.fills {
        return filling_cost(cx, worker, step, waited);
    }
    if step.tail_target.is_some() {
        return Some(serving_cost(cx, worker, step));
    }
    Some(0.0)
}

fn filling_cost(cx: &Context, worker: &Worker, step: &Step, waited: Millis) -> Option<f64> {
    if worker.levels.is_empty() {
        return Some(0.0);
    }
    let image = step.image.as_deref().unwrap_or_default();
    let column = cx.pacing.known_column(image);
    let share = f64::from(step.demand.cpu.0) / f64::from(worker.info.capacity.cpu.0.max(1));
    let limit = PLACED_SHARE.ln();
    let mut cost = 0.0;
    for &(row, level) in &worker.levels {
        let added = cx.pacing.factor(row, column) * share;
        let excess = level + added - limit;
        if excess > 0.0 && added > LEAST_PUSH {
            if waited < PATIENCE {
                return None;
            }
            cost += excess * EXCESS_COST;
        }
        cost += added;
    }
    Some(cost)
}

fn serving_cost(cx: &Context, worker: &Worker, step: &Step) -> f64 {
    let image = step.image.as_deref().unwrap_or_default();
    let row = cx.pacing.known_row(image);
    let mut same = 0_u32;
    let mut other = 0_u32;
    let mut pressed = 0.0;
    for slot in worker.slots.values() {
        match slot.part {
            Part::Serving { row: there, .. } if Some(there) == row => same += 1,
            Part::Serving { .. } => other += 1,
            Part::Filling(column) => {
                let cores = f64::from(worker.info.capacity.cpu.0.max(1));
                let share = f64::from(slot.wants_cpu) / cores;
                pressed += row.map_or(0.0, |r| cx.pacing.factor(r, Some(column))) * share;
            }
            Part::Plain => {}
        }
    }
    let mixed = match same + other {
        0 => 0.0,
        all => (f64::from(other) - f64::from(same)) / f64::from(all),
    };
    pressed * EXCESS_COST + mixed * SAME_IMAGE_WORTH
}

/// Takes in a worker's fresh readings: learns from them, then sets the paces that they ask for.
pub fn observe(cx: &mut Context, ix: WorkerIx) {
    learn(cx, ix);
    refresh(cx, ix);
    set_paces(cx, ix);
    if tracing::enabled!(tracing::Level::DEBUG) {
        trace::readings(cx, ix);
    }
}

/// Takes in readings. All tasks of a lasting job carry the same load, which swings within seconds,
/// so how far readings lie above the model is remembered by job and not by task.
fn learn(cx: &mut Context, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker(ix);
    if now.since(worker.filling_ended) < SETTLE {
        return;
    }
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let mut used: Vec<(Column, f64)> = Vec::new();
    let mut serving = Vec::new();
    for (key, slot) in &worker.slots {
        let Some(reading) = slot.reading else { continue };
        match slot.part {
            Part::Filling(column) => used.push((column, f64::from(reading) / cores)),
            Part::Serving { row, target_ms } if reading > 0 => {
                let level = (f64::from(reading) / f64::from(target_ms.max(1))).ln();
                serving.push((key.job, row, level));
            }
            Part::Serving { .. } | Part::Plain => {}
        }
    }
    for (job, row, level) in serving {
        cx.pacing.learn(job, row, &used, level);
    }
}

/// Notes since when each serving task's readings have been over its target, and brakes the worker
/// where that has lasted: whatever the model says, what fills must then stand still.
fn watch_targets(cx: &mut Context, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker_mut(ix);
    let mut lasted = false;
    for slot in worker.slots.values_mut() {
        let Part::Serving { target_ms, .. } = slot.part else { continue };
        match slot.reading {
            Some(tail) if tail > target_ms => {
                let since = *slot.over_since.get_or_insert(now);
                lasted |= now.since(since) >= BRAKE_AFTER;
            }
            _ => slot.over_since = None,
        }
    }
    worker.braked = match (lasted, worker.braked) {
        (false, _) => None,
        (true, None) => Some(now),
        (true, since) => since,
    };
}

/// Lowers the pace of what disturbs a serving task too much, and raises it again.
fn set_paces(cx: &mut Context, ix: WorkerIx) {
    let now = cx.now;
    watch_targets(cx, ix);
    let worker = cx.worker(ix);
    let mut filling = filling_shares(worker, now);
    if filling.is_empty() {
        return;
    }
    for task in &mut filling {
        task.pace = crate::looks::FULL_PACE;
    }
    let limit = GUARDED_SHARE.ln();
    for (key, slot) in &worker.slots {
        let Part::Serving { row, .. } = slot.part else { continue };
        relieve(&cx.pacing, row, limit - cx.pacing.load(key.job), &mut filling);
    }
    let worker = cx.worker(ix);
    if worker.braked.is_some_and(|since| now.since(since) < BRAKE_MOST) {
        brake(&cx.pacing, worker, &mut filling);
    }
    for task in filling {
        order_pace(cx, ix, &task);
    }
}

/// Halts what may press on a serving task that stays over its target.
fn brake(model: &Model, worker: &Worker, filling: &mut [FillingTask]) {
    for slot in worker.slots.values() {
        let Part::Serving { row, .. } = slot.part else { continue };
        if slot.over_since.is_none() {
            continue;
        }
        for task in filling.iter_mut() {
            if model.factor(row, Some(task.column)) * task.share >= BRAKED_PUSH {
                task.pace = 0;
            }
        }
    }
}

/// Lowers paces until the expected level of a serving image is below `limit`, beginning with what
/// presses most.
fn relieve(model: &Model, row: Row, limit: f64, filling: &mut [FillingTask]) {
    let push = |f: &FillingTask| model.factor(row, Some(f.column)) * f.share;
    filling.sort_by(|a, b| push(b).total_cmp(&push(a)));
    let paced = |f: &FillingTask| (f.column, f.share * f64::from(f.pace) / 100.0);
    let mut excess = model.expect(row, filling.iter().map(paced)) - limit;
    for task in filling {
        let full = push(task);
        if excess <= 0.0 || full < LEAST_PUSH {
            return;
        }
        let pressing = full * f64::from(task.pace) / 100.0;
        let left = (pressing - excess).max(0.0);
        excess -= pressing - left;
        task.pace = (left / full * 100.0) as u32;
    }
}

fn order_pace(cx: &mut Context, ix: WorkerIx, wanted: &FillingTask) {
    let now = cx.now;
    let worker = cx.worker_mut(ix);
    let Some(slot) = worker.slots.get_mut(&wanted.key) else { return };
    let edge = wanted.pace == 0 || wanted.pace == crate::looks::FULL_PACE;
    let change = wanted.pace.abs_diff(slot.pace);
    if slot.phase != Phase::Running || slot.pacing || change == 0 {
        return;
    }
    if change < PACE_STEP && !edge {
        return;
    }
    if wanted.pace >= MOVE_BELOW {
        slot.slowed = None;
    } else {
        slot.slowed.get_or_insert(now);
    }
    slot.pacing = true;
    let (from, id) = (slot.pace, worker.info.id.clone());
    trace::pace_ordered(wanted.key, wanted.run, &id, from, wanted.pace);
    let (task, run, percent) = (wanted.key, wanted.run, wanted.pace);
    cx.actions.push(Action::Pace { worker: ix, task, run, percent });
}

/// Moves filling tasks that have been slowed down for long to a worker where they disturb nobody.
pub fn check(cx: &mut Context) {
    let now = cx.now;
    for ix in cx.worker_ixs() {
        let worker = cx.worker(ix);
        let slow = |slot: &Slot| {
            slot.phase == Phase::Running
                && slot.slowed.is_some_and(|since| now.since(since) >= MOVE_AFTER)
        };
        let stuck: Vec<(TaskKey, Run)> = worker
            .slots
            .iter()
            .filter(|(_, slot)| slow(slot))
            .map(|(key, slot)| (*key, slot.run))
            .collect();
        for (key, run) in stuck {
            if has_better_place(cx, ix, key) {
                lifecycle::order_stop(cx, ix, key, run, "it disturbs what is served here");
            }
        }
    }
}

fn has_better_place(cx: &Context, here: WorkerIx, key: TaskKey) -> bool {
    let Some(entry) = cx.jobs.get(&key.job) else { return false };
    let Some(step) = entry.step(key) else { return false };
    if step.gang || !step.checkpoints {
        return false;
    }
    let queue = cx.config.as_ref().and_then(|c| c.queue(&entry.job.queue));
    let Some(service) = queue.map(|q| &q.service) else { return false };
    let wanted =
        crate::placement::Wanted { service, step, task: key, avoid: Some(here), waited: Millis(0) };
    crate::placement::choose(cx, &wanted).is_some_and(|ix| ix != here)
}

/// Takes in what became of a change of pace.
pub fn paced(cx: &mut Context, ix: WorkerIx, key: TaskKey, run: Run, percent: u32, applied: bool) {
    let Some(slot) = cx.worker_mut(ix).slots.get_mut(&key).filter(|s| s.run == run) else {
        return;
    };
    slot.pacing = false;
    if applied {
        slot.pace = percent;
    }
    refresh(cx, ix);
}
