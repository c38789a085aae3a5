//! How filling tasks disturb serving ones on the same worker, and what is done about it.
//!
//! [`model`] says what pairs of images do to each other. Placement keeps apart what cannot live
//! together, and the pace of what presses is lowered only as far as the serving tasks need.

mod model;

use gaplock_jobs::{Step, TaskKey};
use gaplock_types::time::{Instant, Millis};

use crate::context::Context;
use crate::looks::FULL_PACE;
use crate::message::{Action, Record, Run, WorkerIx};
use crate::worker::{Part, Phase, Slot, Worker};
use crate::{commits, lifecycle, placement, trace};

pub use model::{Column, Learnt, Model, Row, Served};

/// What is known of how tasks disturb each other.
pub type Pacing = Model;

/// Part of its target that a serving task's expected tail may reach beside what already runs:
/// readings are rough and up to a second old.
const GUARDED_SHARE: f64 = 1.0;

/// How far ahead the load is looked at for what already runs, in seconds: until the next reading
/// and the next change of pace.
const GUARDED_AHEAD_S: f64 = 0.5;

/// Part of its target that a serving task's expected tail may reach when a task is placed beside
/// it: lower than [`GUARDED_SHARE`], so that what was just placed is not slowed down at once.
const PLACED_SHARE: f64 = 0.95;

/// How far ahead the load is looked at when a task is placed, in seconds: most of a filling task's
/// time on the users' sites.
const PLACED_AHEAD_S: f64 = 1.0;

/// How long a filling task waits for a worker where it disturbs nobody before it is placed where
/// it disturbs least, slowed down as far as needed.
const PATIENCE: Millis = Millis(3_000);

/// Readings cover the last half second; a worker on which a filling task has ended within this
/// time shows what that task did, but no longer the task.
const SETTLE: Millis = Millis(650);

/// The share of its target from which a reading counts as over it; readings are rough.
const OVER_SHARE: f64 = 0.97;

/// The share of its target below which a reading ends an excess.
const BACK_SHARE: f64 = 0.9;

/// How long readings may be over the target before what the model suspects is halted. The excess
/// may last 4 s on the users' sites; a reading is up to 1.5 s old.
const HALT_SUSPECTED_AFTER: Millis = Millis(1_200);

/// How long readings may be over the target before everything that fills is halted.
const HALT_ALL_AFTER: Millis = Millis(1_900);

/// When halting everything has not helped, measured from the beginning of the excess.
const HALT_OVER: Millis = Millis(4_200);

/// A filling task that presses less than this is not suspected.
const SUSPECTED_PUSH: f64 = 0.01;

/// The share of a worker's processors from which filling tasks of any image disturb what is served
/// there, because the processors are used up; as measured. Readings beyond it say nothing of pairs.
const CROWDED_SHARE: f64 = 0.6;

/// The part of the processors that serving and short tasks leave which filling tasks may take.
const FILLED_PART: f64 = 1.0;

/// A filling task that presses less than this is left alone.
const LEAST_PUSH: f64 = 0.02;

/// The least change of pace, in percent, that is worth a call.
const PACE_STEP: u32 = 15;

/// Below this pace a filling task is better off elsewhere.
const MOVE_BELOW: u32 = 35;

/// How long a filling task is slowed down before it is moved.
const MOVE_AFTER: Millis = Millis(1_200);

/// Cost of a unit of pressure beyond what is bearable, against one worker of free room.
const EXCESS_COST: f64 = 20.0;

/// Cost of a unit of bearable pressure, against one worker of free room.
const PRESSURE_COST: f64 = 6.0;

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
        Some(used) if settled && slot.pace == FULL_PACE && used > 0 => f64::from(used) / cores,
        _ => wanted,
    }
}

/// Recomputes how much more pressure the serving tasks on a worker bear, by their image.
pub fn refresh(cx: &mut Context, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker(ix);
    let filling = filling_shares(worker, now);
    let mut spare: Vec<(Row, f64)> = Vec::new();
    for (key, slot) in &worker.slots {
        let Some(served) = served(*key, slot) else { continue };
        let pressure = cx.pacing.pressure(served.row, filling.iter().map(FillingTask::paced));
        let bearable = cx.pacing.bearable(&served, PLACED_SHARE, now, PLACED_AHEAD_S);
        let left = bearable - pressure;
        match spare.iter_mut().find(|(row, _)| *row == served.row) {
            Some((_, known)) => *known = known.min(left),
            None => spare.push((served.row, left)),
        }
    }
    let left = spare_filling(cx, worker);
    let worker = cx.worker_mut(ix);
    worker.spare_pressure = spare;
    worker.spare_filling = left;
}

/// Returns the share of a worker's processors that more filling tasks may use: what serving tasks
/// at their expected load, short tasks and filling tasks leave.
fn spare_filling(cx: &Context, worker: &Worker) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let mut busy = 0.0;
    for (key, slot) in &worker.slots {
        let takes = f64::from(slot.takes.cpu.0);
        busy += match slot.part {
            Part::Serving { .. } => takes * cx.pacing.load(key.job, cx.now, PLACED_AHEAD_S),
            Part::Plain => takes,
            Part::Filling(_) => 0.0,
        };
    }
    let filling = filling_shares(worker, cx.now);
    let used: f64 = filling.iter().map(|f| f.paced().1).sum();
    let left = (1.0 - busy / cores) * FILLED_PART;
    left.min(CROWDED_SHARE) - used
}

/// Returns what the model needs of a serving task, and nothing for any other.
fn served(key: TaskKey, slot: &Slot) -> Option<Served> {
    match slot.part {
        Part::Serving { row, target_ms } => {
            Some(Served { job: key.job, row, target_ms: f64::from(target_ms.max(1)) })
        }
        _ => None,
    }
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

impl FillingTask {
    fn paced(&self) -> (Column, f64) {
        (self.column, self.share * f64::from(self.pace) / 100.0)
    }
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
    let image = step.image.as_deref().unwrap_or_default();
    let column = cx.pacing.known_column(image);
    let share = f64::from(step.demand.cpu.0) / f64::from(worker.info.capacity.cpu.0.max(1));
    if !worker.spare_pressure.is_empty() && share > worker.spare_filling {
        return None;
    }
    let mut cost = 0.0;
    for &(row, spare) in &worker.spare_pressure {
        let push = cx.pacing.factor(row, column) * share;
        if push < LEAST_PUSH {
            continue;
        }
        let excess = push - spare;
        if excess > 0.0 {
            if waited < PATIENCE {
                return None;
            }
            cost += excess * EXCESS_COST;
        }
        cost += push * PRESSURE_COST;
    }
    Some(cost)
}

fn serving_cost(cx: &Context, worker: &Worker, step: &Step) -> f64 {
    let image = step.image.as_deref().unwrap_or_default();
    let row = cx.pacing.known_row(image);
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let (mut all, mut same_image) = (0.0, 0.0);
    let mut pressed = 0.0;
    for slot in worker.slots.values() {
        match slot.part {
            Part::Serving { row: there, .. } => {
                all += 1.0;
                same_image += f64::from(u8::from(Some(there) == row));
            }
            Part::Filling(column) => {
                let share = f64::from(slot.wants_cpu) / cores;
                pressed += row.map_or(0.0, |r| cx.pacing.factor(r, Some(column))) * share;
            }
            Part::Plain => {}
        }
    }
    let alike = if all == 0.0 { 0.0 } else { (2.0 * same_image / all - 1.0) * SAME_IMAGE_WORTH };
    pressed * PRESSURE_COST - alike
}

/// Takes in a worker's fresh readings: learns from them, then sets the paces that they ask for.
pub fn observe(cx: &mut Context, ix: WorkerIx) {
    learn(cx, ix);
    refresh(cx, ix);
    watch_targets(cx, ix);
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
    let mut tails = Vec::new();
    for (key, slot) in &worker.slots {
        let Some(reading) = slot.reading.map(f64::from) else { continue };
        if let Part::Filling(column) = slot.part {
            used.push((column, reading / cores));
        }
        if let Some(served) = served(*key, slot).filter(|_| reading > 0.0) {
            tails.push((served, reading));
        }
    }
    let crowded: f64 = used.iter().map(|(_, share)| share).sum();
    if crowded > CROWDED_SHARE {
        return;
    }
    for (served, tail_ms) in tails {
        cx.pacing.learn(&served, &used, tail_ms, now);
    }
}

/// Notes since when each serving task's readings have been over its target. Where the excess has
/// outlasted both halts, its cause lies elsewhere and the time begins anew.
fn watch_targets(cx: &mut Context, ix: WorkerIx) {
    let now = cx.now;
    for slot in cx.worker_mut(ix).slots.values_mut() {
        let Part::Serving { target_ms, .. } = slot.part else { continue };
        let Some(share) = slot.reading.map(|tail| f64::from(tail) / f64::from(target_ms.max(1)))
        else {
            continue;
        };
        if share >= OVER_SHARE {
            slot.over_since.get_or_insert(now);
        } else if share < BACK_SHARE {
            slot.over_since = None;
        }
        if slot.over_since.is_some_and(|since| now.since(since) >= HALT_OVER) {
            slot.over_since = Some(now);
        }
    }
}

/// Lowers the pace of what disturbs a serving task too much, and raises it again.
pub fn set_paces(cx: &mut Context, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker(ix);
    let mut filling = filling_shares(worker, now);
    if filling.is_empty() {
        return;
    }
    for task in &mut filling {
        task.pace = FULL_PACE;
    }
    for (key, slot) in &worker.slots {
        let Some(served) = served(*key, slot) else { continue };
        let bearable = cx.pacing.bearable(&served, GUARDED_SHARE, now, GUARDED_AHEAD_S);
        relieve(&cx.pacing, served.row, bearable, &mut filling);
    }
    halt(&cx.pacing, cx.worker(ix), now, &mut filling);
    for task in filling {
        order_pace(cx, ix, &task);
    }
}

/// Halts fillers beside a serving task that stays over its target: first what may press on it by
/// the model, then, whatever the model says, everything.
fn halt(model: &Model, worker: &Worker, now: Instant, filling: &mut [FillingTask]) {
    for slot in worker.slots.values() {
        let (Part::Serving { row, .. }, Some(since)) = (slot.part, slot.over_since) else {
            continue;
        };
        let lasted = now.since(since);
        for task in filling.iter_mut() {
            let push = model.factor(row, Some(task.column)) * task.share;
            let suspected = lasted >= HALT_SUSPECTED_AFTER && push >= SUSPECTED_PUSH;
            if suspected || lasted >= HALT_ALL_AFTER {
                task.pace = 0;
            }
        }
    }
}

/// Lowers paces until the pressure on a serving image is bearable, beginning with what presses
/// most.
fn relieve(model: &Model, row: Row, bearable: f64, filling: &mut [FillingTask]) {
    let push = |f: &FillingTask| model.factor(row, Some(f.column)) * f.share;
    filling.sort_by(|a, b| push(b).total_cmp(&push(a)));
    let mut excess = model.pressure(row, filling.iter().map(FillingTask::paced)) - bearable;
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
    let edge = wanted.pace == 0 || wanted.pace == FULL_PACE;
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

/// How often what was learnt is stored for a successor.
const KEEP_LEARNT_EVERY: Millis = Millis(4_000);

/// Stores what was learnt now and then.
pub fn keep_learnt(cx: &mut Context) {
    if cx.now.since(cx.learnt_kept) < KEEP_LEARNT_EVERY {
        return;
    }
    cx.learnt_kept = cx.now;
    let learnt = cx.pacing.learnt();
    if !learnt.images.is_empty() {
        commits::add(cx, Record::Learnt(learnt));
    }
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
    let advice = queue.and_then(|q| q.advice.as_ref());
    let (avoid, waited) = (Some(here), Millis(0));
    let wanted = placement::Wanted { service, step, task: key, avoid, waited, advice };
    placement::choose(cx, &wanted).is_some_and(|ix| ix != here)
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
