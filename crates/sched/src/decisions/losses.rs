//! What the loss of a worker says of the tasks that it ran.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::state::trial::Trial;
use crate::state::worker::{Listing, Slot, Worker};
use crate::state::State;

/// How long after a start a crash still counts as following it at once: above the time between two
/// answers of a worker on which a task is tried (`changes/trials.rs`).
pub const START_CRASH_WINDOW: Millis = Millis(400);

/// How long a run must have been at work to speak for its task: longer than anything that goes wrong
/// at a start. A task that crashes workers later than that takes one down in half a minute at most.
pub const CLEARED_AFTER: Millis = Millis(30_000);

/// How many workers lost at about one time make a common cause more likely than as many tasks that
/// crash them: at least so many, and this part of all workers as a divisor.
const MIN_MASS_LOSS: usize = 4;

/// See [`MIN_MASS_LOSS`].
const MASS_LOSS_DIVISOR: usize = 16;

/// How far apart the news of workers may be that were lost at one time: one is known by its successor,
/// another one by the end of its leases.
const MASS_LOSS_WINDOW: Millis = Millis(3_000);

/// How a worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Its incarnation is over, and it did not say that it would leave.
    Crashed,
    /// It is silent, but the directory lists it.
    Silent,
}

/// A task against which the loss of its worker speaks.
#[derive(Debug)]
pub struct BlamedTask {
    /// The task.
    pub key: TaskKey,
    /// Whether the worker had confirmed its run.
    pub confirmed: bool,
    /// How long the run was known to have been at work.
    pub known_runtime: Millis,
}

/// Lists the tasks against which the loss of a worker speaks. Where one was being tried there, these are
/// its job's, and those that had just started when the trial began; a run that was at work for long
/// speaks for its task.
pub fn tasks_to_blame(worker: &Worker) -> Vec<BlamedTask> {
    let heard = worker.clock.map(|(heard, _)| heard);
    let mut found = Vec::new();
    for (&key, slot) in &worker.slots {
        let settled =
            |t: Trial| slot.confirmed.is_some_and(|at| t.began.since(at) >= START_CRASH_WINDOW);
        let excused = worker.trial.is_some_and(|t| t.task.job != key.job && settled(t));
        let lived = known_runtime(slot, heard);
        if !excused && may_have_begun(slot) && lived < CLEARED_AFTER {
            found.push(BlamedTask {
                key,
                confirmed: slot.confirmed.is_some(),
                known_runtime: lived,
            });
        }
    }
    found
}

/// How long ago a worker may have answered last whose silence speaks for a loss of many: longer than its
/// leases, by whose end it is given up.
const SILENCE_WINDOW: Millis = Millis(10_000);

/// Tells whether so many workers have fallen silent or were lost lately that one cause is likely.
pub fn is_mass_loss(cx: &State) -> bool {
    let lately =
        |w: &Worker| w.clock.is_some_and(|(heard, _)| cx.now.since(heard) < SILENCE_WINDOW);
    let silent = cx.workers.iter().filter(|w| !w.terminated && !w.answers() && lately(w)).count();
    let lost = cx
        .crashes
        .last_crash_by_addr
        .values()
        .filter(|at| cx.now.since(**at) < MASS_LOSS_WINDOW)
        .count();
    silent + lost >= MIN_MASS_LOSS.max(cx.worker_ixs().len() / MASS_LOSS_DIVISOR)
}

/// Tells how a worker was lost whose runs are given up, if it was: it may also have left, or answer.
pub fn loss_of(worker: &Worker, gone: bool) -> Option<Loss> {
    let lapses_on_purpose = worker.answers() && !gone;
    if lapses_on_purpose || was_leaving(worker) {
        return None;
    }
    let crashed = gone || worker.is_absent();
    Some(if crashed { Loss::Crashed } else { Loss::Silent })
}

/// How long after the directory has dropped a worker its answers show that it was leaving: one that leaves
/// serves on for seconds, while the last answer of one that crashed may be taken in a little late.
const LATE_ANSWER_MARGIN: Millis = Millis(500);

/// Tells whether a worker was leaving: by its own word, by an order of ours, or because it answered
/// after the directory had dropped it.
pub fn was_leaving(worker: &Worker) -> bool {
    let answered_after =
        |since: Instant| worker.clock.is_some_and(|(heard, _)| heard > since + LATE_ANSWER_MARGIN);
    let left = match worker.listing {
        Listing::Ready | Listing::Unreadable => false,
        Listing::Draining { .. } => true,
        Listing::Absent { since } => answered_after(since),
    };
    left || worker.emptying || worker.info.draining
}

/// Returns how long a run was known to be at work when its worker was last heard.
pub fn known_runtime(slot: &Slot, heard: Option<Instant>) -> Millis {
    slot.confirmed.zip(heard).map_or(Millis(0), |(confirmed, heard)| heard.since(confirmed))
}

/// Tells whether a run may ever have begun.
fn may_have_begun(slot: &Slot) -> bool {
    slot.confirmed.is_some() || slot.attempts.sent() > 0 && slot.stop_confirmed.is_none()
}
