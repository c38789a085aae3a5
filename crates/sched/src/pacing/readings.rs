//! What workers' readings teach, and how a successor comes to know it.

use gaplock_types::time::Millis;

use super::filling;
use super::model::Column;
use super::{CROWDED_SHARE, SETTLE};
use crate::commits;
use crate::context::Context;
use crate::message::{Record, WorkerIx};
use crate::worker::Part;

/// Takes in readings. All tasks of a lasting job carry the same load, which swings within seconds,
/// so how far readings lie above the model is remembered by job and not by task. On a slow worker
/// tails are long whatever fills beside them, so nothing is learnt there.
pub(super) fn learn(cx: &mut Context, ix: WorkerIx) {
    let now = cx.now;
    let worker = cx.worker(ix);
    if now.since(worker.filling_ended) < SETTLE || worker.speed.is_slow(now) {
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
        if let Some(served) = filling::served(*key, slot).filter(|_| reading > 0.0) {
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
