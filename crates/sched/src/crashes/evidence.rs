//! What the loss of a worker says of the tasks that it ran.

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::message::WorkerIx;
use crate::state::suspicion::Saved;
use crate::state::trial::Trial;
use crate::state::State;
use crate::table::TaskState;
use crate::worker::{Listing, Slot, Worker};
use crate::{commits, trace};

/// How long after a start a crash still counts as following it at once: above the time between two
/// answers of a worker on which a task is tried ([`super::trials::WAIT`]).
pub(super) const AT_START: Millis = Millis(400);

/// How long a run must have been at work to speak for its task: longer than anything that goes wrong
/// at a start. A task that crashes workers later than that takes one down in half a minute at most.
pub(super) const CLEARED_AFTER: Millis = Millis(30_000);

/// How many workers lost at about one time make a common cause more likely than as many tasks that
/// crash them: at least so many, and this part of all workers as a divisor.
const MANY_LEAST: usize = 4;

/// See [`MANY_LEAST`].
const MANY_SHARE: usize = 16;

/// How far apart the news of workers may be that were lost at one time: one is known by its successor,
/// another one by the end of its leases.
const AT_ONE_TIME: Millis = Millis(3_000);

/// How a worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Its incarnation is over, and it did not say that it would leave.
    Crashed,
    /// It is silent, but the directory lists it.
    Silent,
}

/// A worker's loss, as it speaks against one of the tasks that ran there.
#[derive(Debug, Clone)]
pub(super) struct Evidence<'a> {
    pub(super) worker: &'a ids::WorkerId,
    pub(super) loss: Loss,
    /// How long the run was known to have been at work.
    pub(super) lived: Millis,
    /// Whether the worker ever confirmed the run; a start without an answer may not have reached it.
    pub(super) confirmed: bool,
    /// How many runs were lost together.
    pub(super) together: usize,
    /// Whether nothing but tasks of its job was lost.
    pub(super) alone: bool,
}

/// Takes in that all runs at a worker are being given up; `gone` if its incarnation is certainly over.
pub fn worker_lost(cx: &mut State, ix: WorkerIx, gone: bool) {
    let worker = cx.worker(ix);
    let Some(loss) = loss_of(worker, gone).filter(|_| !worker.slots.is_empty()) else { return };
    let (id, addr) = (worker.info.id.clone(), worker.info.addr.clone());
    let (together, blamed) = (worker.slots.len(), blamed(worker));
    let many = are_many_lost(cx);
    if loss == Loss::Crashed {
        cx.crashes.lost_at.insert(addr, cx.now);
    }
    for Blamed { key, confirmed, lived } in blamed {
        if many && !cx.crashes.suspects.contains(&key) {
            // Nothing waits for this to be stored: after the loss of a failure domain it is hundreds.
            if doubt(cx, key, &id) && lived < AT_START {
                commits::mark(&mut cx.commits, cx.now, key.job);
            }
            continue;
        }
        let alone = cx.worker(ix).slots.keys().all(|other| other.job == key.job);
        suspect(cx, key, &Evidence { worker: &id, loss, lived, confirmed, together, alone });
    }
}

/// A task against which the loss of its worker speaks.
struct Blamed {
    key: TaskKey,
    /// Whether the worker had confirmed its run.
    confirmed: bool,
    /// How long the run was known to have been at work.
    lived: Millis,
}

/// Lists the tasks against which the loss of a worker speaks. Where one was being tried there, these are
/// its job's, and those that had just started when the trial began; a run that was at work for long
/// speaks for its task.
fn blamed(worker: &Worker) -> Vec<Blamed> {
    let heard = worker.clock.map(|(heard, _)| heard);
    let mut found = Vec::new();
    for (&key, slot) in &worker.slots {
        let settled = |t: Trial| slot.confirmed.is_some_and(|at| t.began.since(at) >= AT_START);
        let excused = worker.trial.is_some_and(|t| t.task.job != key.job && settled(t));
        let lived = lived(slot, heard);
        if !excused && may_have_begun(slot) && lived < CLEARED_AFTER {
            found.push(Blamed { key, confirmed: slot.confirmed.is_some(), lived });
        }
    }
    found
}

/// How long ago a worker may have answered last whose silence speaks for a loss of many: longer than its
/// leases, by whose end it is given up.
const LATELY: Millis = Millis(10_000);

/// Tells whether so many workers have fallen silent or were lost lately that one cause is likely.
pub(super) fn are_many_lost(cx: &State) -> bool {
    let lately = |w: &Worker| w.clock.is_some_and(|(heard, _)| cx.now.since(heard) < LATELY);
    let silent = cx.workers.iter().filter(|w| !w.gone && !w.answers() && lately(w)).count();
    let lost = cx.crashes.lost_at.values().filter(|at| cx.now.since(**at) < AT_ONE_TIME).count();
    silent + lost >= MANY_LEAST.max(cx.worker_ixs().len() / MANY_SHARE)
}

/// Tells how a worker was lost whose runs are given up, if it was: it may also have left, or answer.
fn loss_of(worker: &Worker, gone: bool) -> Option<Loss> {
    let lapses_on_purpose = worker.answers() && !gone;
    if lapses_on_purpose || has_left(worker) {
        return None;
    }
    let crashed = gone || worker.is_absent();
    Some(if crashed { Loss::Crashed } else { Loss::Silent })
}

/// How long after the directory has dropped a worker its answers show that it was leaving: one that leaves
/// serves on for seconds, while the last answer of one that crashed may be taken in a little late.
const SERVES_ON: Millis = Millis(500);

/// Tells whether a worker was leaving: by its own word, by an order of ours, or because it answered
/// after the directory had dropped it.
pub fn has_left(worker: &Worker) -> bool {
    let answered_after =
        |since: Instant| worker.clock.is_some_and(|(heard, _)| heard > since + SERVES_ON);
    let left = match worker.listing {
        Listing::Ready | Listing::Unreadable => false,
        Listing::Draining { .. } => true,
        Listing::Absent { since } => answered_after(since),
    };
    left || worker.emptying || worker.info.draining
}

/// Returns how long a run was known to be at work when its worker was last heard.
pub(super) fn lived(slot: &Slot, heard: Option<Instant>) -> Millis {
    slot.confirmed.zip(heard).map_or(Millis(0), |(confirmed, heard)| heard.since(confirmed))
}

/// Tells whether a run may ever have begun.
fn may_have_begun(slot: &Slot) -> bool {
    slot.confirmed.is_some() || slot.tries.sent() > 0 && slot.barred.is_none()
}

/// Counts a lost worker against a task.
pub(super) fn suspect(cx: &mut State, key: TaskKey, evidence: &Evidence<'_>) {
    let (now, worker, loss) = (cx.now, evidence.worker, evidence.loss);
    let is_gang = cx.step(key).is_some_and(|step| step.gang);
    let live = cx.jobs.get(&key.job).is_some_and(|entry| !entry.state.is_final());
    let Some(task) = cx.task_mut(key).filter(|t| live && t.state != TaskState::Done) else {
        return;
    };
    let suspicion = task.suspicion.get_or_insert_default();
    if suspicion.names(worker) {
        return;
    }
    match loss {
        Loss::Crashed => suspicion.crashed.push(worker.clone()),
        Loss::Silent => suspicion.silent.push((worker.clone(), now)),
    }
    let first = suspicion.crashed.len() + suspicion.silent.len() == 1;
    let at_start = evidence.confirmed && evidence.lived < AT_START;
    suspicion.at_start = at_start && (first || suspicion.at_start);
    (suspicion.lived, suspicion.ordinary) = (evidence.lived, is_gang);
    suspicion.alone = evidence.alone;
    let crashes = suspicion.crashed.len();
    if loss == Loss::Crashed {
        suspicion.saved = Saved::No;
        commits::mark_urgent(&mut cx.commits, now, key.job);
    }
    cx.crashes.add(key, worker);
    let (lived, together) = (evidence.lived, evidence.together);
    trace::task_suspected(key, worker, loss, crashes, lived, together);
}

/// Notes that a worker may have crashed under a task; whether the task may still start.
pub(super) fn doubt(cx: &mut State, key: TaskKey, worker: &ids::WorkerId) -> bool {
    let live = cx.jobs.get(&key.job).is_some_and(|entry| !entry.state.is_final());
    let Some(task) = cx.task_mut(key).filter(|t| live && t.state != TaskState::Done) else {
        return false;
    };
    let suspicion = task.suspicion.get_or_insert_default();
    suspicion.perhaps = Some(worker.clone());
    suspicion.ordinary = true;
    cx.crashes.add(key, worker);
    trace::task_doubted(key, worker);
    true
}

/// Holds a task back until what is known of it is stored, and lets it be tried alone.
pub(super) fn hold_until_saved(cx: &mut State, key: TaskKey) {
    let now = cx.now;
    let is_gang = cx.step(key).is_some_and(|step| step.gang);
    let Some(suspicion) = cx.task_mut(key).and_then(|t| t.suspicion.as_mut()) else { return };
    (suspicion.saved, suspicion.ordinary) = (Saved::No, is_gang);
    commits::mark_urgent(&mut cx.commits, now, key.job);
}
