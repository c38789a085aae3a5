//! Tasks that crash the workers which run them.
//!
//! A run that goes with its worker leaves no listed end: only the loss of the worker tells of it. So
//! each worker that is lost without having left counts against the tasks that ran there. From then
//! on a task is a suspect. It starts again only once the count is stored, so that no successor forgets
//! it, and alone on a worker where one is free ([`trials`]), so that a further crash takes nothing else
//! down and speaks against it alone. After [`MOST_CRASHES`] workers its job fails.
//!
//! What looks like a crash and is none is not counted, or taken back: a worker that leaves, one that
//! answers again, one that the directory still hears of (`docs/PLATFORM.md`, section Crashing tasks).

pub mod trials;

use std::collections::BTreeSet;

use gaplock_jobs::progress::{JobState, TaskNote};
use gaplock_jobs::{JobKey, TaskKey};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::context::Context;
use crate::message::WorkerIx;
use crate::table::{Task, TaskState};
use crate::worker::{Listing, Slot, Worker};
use crate::{commits, lifecycle, trace};

/// How many workers may crash under a task before its job fails, whatever else is known. Users bear five
/// starts of a task that crashes its workers; one of them may be forgotten with its leader.
pub const MOST_CRASHES: usize = 4;

/// How many are enough where each crash followed the start at once and the last one took a worker that
/// the task had to itself: two may crash by chance while an unlucky task is there, a third hardly so.
const CRASHES_AT_START: usize = 3;

/// How long after a start a crash still counts as following it at once: above the time between two
/// answers of a worker on which a task is tried ([`trials::WAIT`]).
const AT_START: Millis = Millis(400);

/// How long a run must have been at work to speak for its task: longer than anything that goes wrong
/// at a start. A task that crashes workers later than that takes one down in half a minute at most.
const CLEARED_AFTER: Millis = Millis(30_000);

/// How long the directory may go on listing a silent worker that has crashed: its entry lapses after
/// three heartbeats, and a change takes half a second to reach us.
const LISTED_FOR: Millis = Millis(10_000);

/// How long a silent worker that the directory lists speaks against its tasks. It is most likely cut off
/// from here; but what crashed it would be started without end if its silence were forgotten soon.
const SILENT_FOR: Millis = Millis(600_000);

/// How many workers lost at about one time make a common cause more likely than as many tasks that
/// crash them: at least so many, and this part of all workers as a divisor.
const MANY_LEAST: usize = 4;

/// See [`MANY_LEAST`].
const MANY_SHARE: usize = 16;

/// How far apart the news of workers may be that were lost at one time: one is known by its successor,
/// another one by the end of its leases.
const AT_ONE_TIME: Millis = Millis(3_000);

/// How many tasks may be suspected of the loss of a worker of which nobody knows what it ran. Where
/// more could have been there, the loss says nothing of any of them.
const DOUBTFUL_MOST: usize = 64;

/// Whether what is known of a suspect is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Saved {
    /// It is not.
    No,
    /// It is in the commit in flight.
    InFlight,
    /// It is, or there is nothing to store.
    #[default]
    Yes,
}

/// What speaks against a task under which workers were lost.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    /// The workers that crashed under it.
    pub crashed: Vec<ids::WorkerId>,
    /// One more that may have crashed under it, at a change of leader or together with many others.
    pub perhaps: Option<ids::WorkerId>,
    /// Workers under it that were silent past all leases while the directory listed them, and since when.
    silent: Vec<(ids::WorkerId, Instant)>,
    saved: Saved,
    /// How long its last lost run was known to have been at work.
    lived: Millis,
    /// Whether each crash followed a start at once, as far as is known.
    at_start: bool,
    /// Whether the last crash took a worker that the task had to itself.
    alone: bool,
    /// Whether it starts like any other task, because it cannot be tried alone.
    ordinary: bool,
}

impl Suspicion {
    /// Returns how many workers were lost under the task, for all that is known.
    fn level(&self) -> usize {
        self.crashed.len() + self.silent.len() + usize::from(self.perhaps.is_some())
    }

    /// Returns how many losses the task is tried for; one that is only possible adds nothing to others.
    fn losses(&self) -> usize {
        (self.crashed.len() + self.silent.len()).max(1)
    }

    /// Tells whether the task is held to crash its workers.
    fn is_proven(&self) -> bool {
        let at_start = self.at_start && self.alone && self.crashed.len() >= CRASHES_AT_START;
        at_start || self.crashed.len() >= MOST_CRASHES
    }

    fn names(&self, worker: &ids::WorkerId) -> bool {
        self.crashed.contains(worker) || self.silent.iter().any(|(id, _)| id == worker)
    }

    /// Tells whether the task may start. With as many losses as a task may have it waits until it is
    /// known which of them were crashes.
    fn may_start(&self) -> bool {
        let undecided = self.crashed.len() + self.silent.len() >= MOST_CRASHES;
        self.saved == Saved::Yes && !undecided && !self.is_proven()
    }

    /// Takes in that the directory or the worker itself tells of a silent one; whether that changed
    /// anything.
    fn resolve(&mut self, worker: &ids::WorkerId, crashed: bool) -> bool {
        let was_silent = self.silent.iter().any(|(id, _)| id == worker);
        self.silent.retain(|(id, _)| id != worker);
        if crashed {
            self.crashed.extend(was_silent.then(|| worker.clone()));
            return was_silent;
        }
        let before = self.level();
        self.crashed.retain(|id| id != worker);
        self.perhaps = self.perhaps.take().filter(|id| id != worker);
        was_silent || self.level() != before
    }
}

/// What the leader knows of crashes beyond single tasks.
#[derive(Debug, Default)]
pub struct Crashes {
    /// All tasks with a suspicion.
    pub suspects: BTreeSet<TaskKey>,
    /// The suspects that a lost worker speaks or spoke against.
    by_worker: FxHashMap<ids::WorkerId, Vec<TaskKey>>,
    /// When a worker at an address last crashed.
    lost_at: FxHashMap<String, Instant>,
    /// Set when a suspect may wait to be tried alone.
    may_wait: bool,
    checked: Instant,
}

impl Crashes {
    /// Adds a suspect and the worker that speaks against it.
    fn add(&mut self, key: TaskKey, worker: &ids::WorkerId) {
        self.suspects.insert(key);
        self.by_worker.entry(worker.clone()).or_default().push(key);
        self.note_waiting();
    }

    /// Takes in that a suspect waits for a worker.
    pub fn note_waiting(&mut self) {
        self.may_wait = true;
    }
}

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
struct Evidence<'a> {
    worker: &'a ids::WorkerId,
    loss: Loss,
    /// How long the run was known to have been at work.
    lived: Millis,
    /// Whether the worker ever confirmed the run; a start without an answer may not have reached it.
    confirmed: bool,
    /// How many runs were lost together.
    together: usize,
    /// Whether nothing but tasks of its job was lost.
    alone: bool,
}

/// Takes in that all runs at a worker are being given up; `gone` if its incarnation is certainly over.
pub fn worker_lost(cx: &mut Context, ix: WorkerIx, gone: bool) {
    let worker = cx.worker(ix);
    let Some(loss) = loss_of(worker, gone).filter(|_| !worker.slots.is_empty()) else { return };
    let (id, addr) = (worker.info.id.clone(), worker.info.addr.clone());
    let (together, blamed) = (worker.slots.len(), blamed(worker));
    let many = are_many_lost(cx);
    if loss == Loss::Crashed {
        cx.crashes.lost_at.insert(addr, cx.now);
    }
    for (key, confirmed, lived) in blamed {
        let alone = cx.worker(ix).slots.keys().all(|other| other.job == key.job);
        let known = cx.crashes.suspects.contains(&key);
        if many && !known {
            let at_start = lived < AT_START;
            // Nothing waits for this to be stored: after the loss of a failure domain it is hundreds.
            if doubt(cx, key, &id) && at_start {
                commits::mark(&mut cx.commits, cx.now, key.job);
            }
        } else {
            suspect(cx, key, &Evidence { worker: &id, loss, lived, confirmed, together, alone });
        }
    }
}

/// Lists the tasks against which the loss of a worker speaks, whether it had confirmed them, and how long
/// each was at work. Where one
/// was being tried, it speaks against that one's job alone; a run that was at work for long speaks for its
/// task.
fn blamed(worker: &Worker) -> Vec<(TaskKey, bool, Millis)> {
    let heard = worker.clock.map(|(heard, _)| heard);
    let mut found = Vec::new();
    for (key, slot) in &worker.slots {
        let excused = worker.trial.is_some_and(|t| t.task.job != key.job);
        let lived = lived(slot, heard);
        if !excused && may_have_begun(slot) && lived < CLEARED_AFTER {
            found.push((*key, slot.confirmed.is_some(), lived));
        }
    }
    found
}

/// Tells whether so many workers are silent or were just lost that one cause is likely.
fn are_many_lost(cx: &Context) -> bool {
    let silent = cx.workers.iter().filter(|w| !w.gone && !w.answers()).count();
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

/// Tells whether a worker was leaving: by its own word, by an order of ours, or because it answered
/// after the directory had dropped it.
pub fn has_left(worker: &Worker) -> bool {
    let answered_after = |since| worker.clock.is_some_and(|(heard, _)| heard > since);
    let left = match worker.listing {
        Listing::Ready | Listing::Unreadable => false,
        Listing::Draining { .. } => true,
        Listing::Absent { since } => answered_after(since),
    };
    left || worker.emptying || worker.info.draining
}

/// Returns how long a run was known to be at work when its worker was last heard.
fn lived(slot: &Slot, heard: Option<Instant>) -> Millis {
    slot.confirmed.zip(heard).map_or(Millis(0), |(confirmed, heard)| heard.since(confirmed))
}

/// Tells whether a run may ever have begun.
fn may_have_begun(slot: &Slot) -> bool {
    slot.confirmed.is_some() || slot.tries.sent() > 0 && slot.barred.is_none()
}

/// Counts a lost worker against a task.
fn suspect(cx: &mut Context, key: TaskKey, evidence: &Evidence<'_>) {
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

/// Takes in that a worker's incarnation is over of which nothing was known but its silence.
pub fn worker_gone(cx: &mut Context, ix: WorkerIx) {
    if !has_left(cx.worker(ix)) {
        resolve(cx, ix, true);
    }
}

/// Takes in that a worker answers: it did not crash.
pub fn worker_answers(cx: &mut Context, ix: WorkerIx) {
    resolve(cx, ix, false);
}

/// Settles the losses of a worker, one way or the other, for all tasks that it ran.
fn resolve(cx: &mut Context, ix: WorkerIx, crashed: bool) {
    let id = cx.worker(ix).info.id.clone();
    for key in cx.crashes.by_worker.get(&id).cloned().unwrap_or_default() {
        resolve_for(cx, key, &id, crashed);
    }
}

fn resolve_for(cx: &mut Context, key: TaskKey, worker: &ids::WorkerId, crashed: bool) {
    let now = cx.now;
    let Some(suspicion) = cx.task_mut(key).and_then(|t| t.suspicion.as_mut()) else { return };
    if !suspicion.resolve(worker, crashed) {
        return;
    }
    suspicion.saved = Saved::No;
    let level = suspicion.level();
    commits::mark(&mut cx.commits, now, key.job);
    trace::suspicion_settled(key, worker, crashed, level);
    if level == 0 {
        clear(cx, key);
    }
}

/// Drops all suspicion of a task.
fn clear(cx: &mut Context, key: TaskKey) {
    cx.crashes.suspects.remove(&key);
    if let Some(task) = cx.task_mut(key) {
        task.suspicion = None;
    }
    cx.pass_wanted = true;
}

/// How often suspects are looked at; none of them starts meanwhile that must not.
const CHECK_EVERY: Millis = Millis(200);

/// Does what time alone calls for: judges silent workers, clears tasks that have been at work for long,
/// and fails the jobs of those that have crashed too many workers.
pub fn check(cx: &mut Context) {
    if cx.now.since(cx.crashes.checked) < CHECK_EVERY {
        return;
    }
    cx.crashes.checked = cx.now;
    if cx.crashes.suspects.is_empty() {
        cx.crashes.by_worker.clear();
    }
    let suspects: Vec<TaskKey> = cx.crashes.suspects.iter().copied().collect();
    for key in suspects {
        judge_silent(cx, key);
        let live = cx.jobs.get(&key.job).is_some_and(|entry| !entry.state.is_final());
        let task = cx.task(key).filter(|t| live && t.state != TaskState::Done);
        let Some(suspicion) = task.and_then(|t| t.suspicion.as_ref()) else {
            cx.crashes.suspects.remove(&key);
            continue;
        };
        let crashes = suspicion.crashed.len();
        if suspicion.is_proven() {
            trace::crashes_used_up(key, crashes);
            lifecycle::end_job(cx, key.job, JobState::Failed);
        } else if has_been_at_work(cx, key) {
            trace::task_cleared(key, crashes);
            clear(cx, key);
            commits::mark(&mut cx.commits, cx.now, key.job);
        }
    }
}

/// Decides about workers that have been silent for so long that the directory tells what became of them.
fn judge_silent(cx: &mut Context, key: TaskKey) {
    let now = cx.now;
    let Some(suspicion) = cx.task(key).and_then(|t| t.suspicion.as_ref()) else { return };
    let mut crashed: Vec<ids::WorkerId> = Vec::new();
    let mut forgotten: Vec<ids::WorkerId> = Vec::new();
    for (id, since) in &suspicion.silent {
        let for_so_long = now.since((*since).max(cx.directory_back));
        if for_so_long >= SILENT_FOR {
            forgotten.push(id.clone());
        } else if for_so_long >= LISTED_FOR && !is_listed(cx, id) {
            crashed.push(id.clone());
        }
    }
    crashed.iter().for_each(|id| resolve_for(cx, key, id, true));
    forgotten.iter().for_each(|id| resolve_for(cx, key, id, false));
}

fn is_listed(cx: &Context, id: &ids::WorkerId) -> bool {
    let worker = cx.by_id.get(id).map(|&ix| cx.worker(ix));
    worker.is_some_and(|w| !w.gone && !w.is_absent())
}

/// Tells whether a task's run has been at work for so long that it speaks for the task.
fn has_been_at_work(cx: &Context, key: TaskKey) -> bool {
    let Some(TaskState::Active { worker, .. }) = cx.task(key).map(|t| t.state) else {
        return false;
    };
    let worker = cx.worker(worker);
    let heard = worker.clock.map(|(heard, _)| heard);
    worker.slots.get(&key).is_some_and(|slot| lived(slot, heard) >= CLEARED_AFTER)
}

/// Tells whether a pending task may start like any other one.
pub fn may_start(task: &Task) -> bool {
    task.suspicion.as_ref().is_none_or(|s| s.ordinary && s.may_start())
}

/// Takes in that the progress of these jobs is being stored.
pub fn being_saved(cx: &mut Context, jobs: &BTreeSet<JobKey>) {
    let of_jobs = |key: &TaskKey| jobs.contains(&key.job);
    change_saved(cx, of_jobs, Saved::No, Saved::InFlight);
}

/// Takes in that the commit in flight is stored or, unless `stored`, certainly is not.
pub fn commit_ended(cx: &mut Context, stored: bool) {
    let now_saved = if stored { Saved::Yes } else { Saved::No };
    change_saved(cx, |_| true, Saved::InFlight, now_saved);
}

fn change_saved(cx: &mut Context, of: impl Fn(&TaskKey) -> bool, from: Saved, to: Saved) {
    let suspects: Vec<TaskKey> = cx.crashes.suspects.iter().copied().filter(of).collect();
    for key in suspects {
        let suspicion = cx.task_mut(key).and_then(|t| t.suspicion.as_mut());
        if let Some(suspicion) = suspicion.filter(|s| s.saved == from) {
            suspicion.saved = to;
        }
    }
}

/// Puts what a former leader stored of a task's crashes back.
pub fn restored(note: &TaskNote) -> Option<Box<Suspicion>> {
    let (crashed, perhaps) = (note.crashed.clone(), note.perhaps_crashed.clone());
    if crashed.is_empty() && perhaps.is_none() {
        return None;
    }
    Some(Box::new(Suspicion { crashed, perhaps, ..Suspicion::default() }))
}

/// Finds the suspects of a job that was restored.
pub fn find_suspects(cx: &mut Context, job: JobKey) {
    let Some(entry) = cx.jobs.get_mut(&job) else { return };
    let gangs: Vec<bool> = entry.job.steps.iter().map(|step| step.gang).collect();
    for (key, task) in entry.keyed_tasks_mut() {
        let Some(suspicion) = &mut task.suspicion else { continue };
        suspicion.ordinary = gangs[usize::from(key.step)];
        for worker in suspicion.crashed.iter().chain(&suspicion.perhaps) {
            cx.crashes.add(key, worker);
        }
    }
}

/// Counts a worker that a successor could not find against the tasks that it is known to have held.
pub fn holder_lost(cx: &mut Context, ix: WorkerIx, held: &[TaskKey], gone: bool) {
    if has_left(cx.worker(ix)) {
        return;
    }
    let id = cx.worker(ix).info.id.clone();
    let loss = if gone { Loss::Crashed } else { Loss::Silent };
    let evidence = Evidence { worker: &id, loss, ..unknown_lives(&id, held.len()) };
    for &key in held {
        if cx.task(key).is_some_and(|t| t.state == TaskState::Unknown) {
            suspect(cx, key, &evidence);
        }
    }
}

/// Builds the evidence of a crash whose runs a former leader started: how long they lived is not known.
fn unknown_lives(worker: &ids::WorkerId, together: usize) -> Evidence<'_> {
    let (loss, lived, confirmed, alone) = (Loss::Crashed, AT_START, false, false);
    Evidence { worker, loss, lived, confirmed, together, alone }
}

/// Takes in that a successor has found workers gone that may have run any task, and these tasks at no
/// other one. Suspects are counted as having been there, since their start must not be forgotten; of
/// the others each may have been.
pub fn any_lost(cx: &mut Context, lost: &[WorkerIx], unfound: &FxHashSet<TaskKey>) {
    let crashed = lost.iter().find(|&&ix| !has_left(cx.worker(ix)));
    let Some(&ix) = crashed else { return };
    let id = cx.worker(ix).info.id.clone();
    let (suspects, others): (Vec<TaskKey>, Vec<TaskKey>) =
        unfound.iter().partition(|key| cx.crashes.suspects.contains(key));
    let evidence = unknown_lives(&id, unfound.len());
    suspects.into_iter().for_each(|key| suspect(cx, key, &evidence));
    if others.len() <= DOUBTFUL_MOST {
        for key in others {
            if doubt(cx, key, &id) {
                hold_until_saved(cx, key);
            }
        }
    }
}

/// Notes that a worker may have crashed under a task; whether the task may still start.
fn doubt(cx: &mut Context, key: TaskKey, worker: &ids::WorkerId) -> bool {
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
fn hold_until_saved(cx: &mut Context, key: TaskKey) {
    let now = cx.now;
    let is_gang = cx.step(key).is_some_and(|step| step.gang);
    let Some(suspicion) = cx.task_mut(key).and_then(|t| t.suspicion.as_mut()) else { return };
    (suspicion.saved, suspicion.ordinary) = (Saved::No, is_gang);
    commits::mark_urgent(&mut cx.commits, now, key.job);
}
