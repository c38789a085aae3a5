//! Decides what the loss of a worker says about the tasks that it ran.

use gaplock_jobs::TaskKey;
use gaplock_types::time::{Instant, Millis};

use crate::state::trial::Trial;
use crate::state::worker::{Listing, Slot, Worker};
use crate::state::State;

/// How long after a start a crash still counts as caused by the start. It is longer than the time
/// between two answers of a worker on which a trial runs (`changes/trials.rs`).
pub const START_CRASH_WINDOW: Millis = Millis(400);

/// How long a run must have been running to clear its task of suspicion: longer than any failure at
/// a start takes to show. A task that crashes its workers later than that takes down at most one of
/// them in half a minute.
pub const CLEARED_AFTER: Millis = Millis(30_000);

/// The least number of workers lost at about the same time that counts as a mass loss: one common
/// cause is then more likely than that many tasks that crash their workers. [`MASS_LOSS_DIVISOR`]
/// sets a second lower bound.
const MIN_MASS_LOSS: usize = 4;

/// The part of all workers, as a divisor, that must be lost to count as a mass loss; see
/// [`MIN_MASS_LOSS`].
const MASS_LOSS_DIVISOR: usize = 16;

/// How far apart the losses of workers may be detected that were lost at the same time: one is
/// detected when its next incarnation appears, another one when its leases have expired.
const MASS_LOSS_WINDOW: Millis = Millis(3_000);

/// How a worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Its incarnation is over, and it had not announced that it would leave.
    Crashed,
    /// It does not answer, but the directory lists it.
    Silent,
}

/// A task that may have caused the loss of its worker.
#[derive(Debug)]
pub struct BlamedTask {
    /// The task.
    pub key: TaskKey,
    /// Whether the worker had confirmed its run.
    pub confirmed: bool,
    /// How long the run is known to have been running.
    pub known_runtime: Millis,
}

/// Lists the tasks that may have caused the loss of a worker. If a trial was under way there, these
/// are the tasks of the job on trial, and those that had just started when the trial began. A run
/// that had been running for long clears its task.
pub fn tasks_to_blame(worker: &Worker) -> Vec<BlamedTask> {
    let last_answer = worker.clock.map(|(last_answer, _)| last_answer);
    let mut blamed = Vec::new();
    for (&key, slot) in &worker.slots {
        let had_settled =
            |t: Trial| slot.confirmed.is_some_and(|at| t.began.since(at) >= START_CRASH_WINDOW);
        let excused = worker.trial.is_some_and(|t| t.task.job != key.job && had_settled(t));
        let known_runtime = known_runtime(slot, last_answer);
        if !excused && may_have_begun(slot) && known_runtime < CLEARED_AFTER {
            blamed.push(BlamedTask { key, confirmed: slot.confirmed.is_some(), known_runtime });
        }
    }
    blamed
}

/// How long ago a silent worker may have last answered to count towards a mass loss. It is longer
/// than a worker's leases, at whose end the worker's runs are abandoned.
const SILENCE_WINDOW: Millis = Millis(10_000);

/// Returns whether so many workers have recently been lost or stopped answering that one common
/// cause is likely.
pub fn is_mass_loss(cx: &State) -> bool {
    let answered_recently = |w: &Worker| {
        w.clock.is_some_and(|(last_answer, _)| cx.now.since(last_answer) < SILENCE_WINDOW)
    };
    let silent =
        cx.workers.iter().filter(|w| !w.terminated && !w.answers() && answered_recently(w)).count();
    let lost = cx
        .crashes
        .last_crash_by_addr
        .values()
        .filter(|at| cx.now.since(**at) < MASS_LOSS_WINDOW)
        .count();
    silent + lost >= MIN_MASS_LOSS.max(cx.worker_ixs().len() / MASS_LOSS_DIVISOR)
}

/// Returns how a worker was lost whose runs are being abandoned. Returns `None` if it was not lost:
/// it may also have left, or still answer.
pub fn loss_of(worker: &Worker, terminated: bool) -> Option<Loss> {
    let leases_expire_on_purpose = worker.answers() && !terminated;
    if leases_expire_on_purpose || was_leaving(worker) {
        return None;
    }
    let crashed = terminated || worker.is_absent();
    Some(if crashed { Loss::Crashed } else { Loss::Silent })
}

/// How long after the directory has dropped a worker an answer shows that the worker was leaving. A
/// worker that leaves keeps answering for seconds, while the last answer of one that crashed may be
/// handled a little late.
const LATE_ANSWER_MARGIN: Millis = Millis(500);

/// Returns whether a worker was leaving: it had announced that, the scheduler was emptying it, or
/// it answered after the directory had dropped it.
pub fn was_leaving(worker: &Worker) -> bool {
    let answered_after = |since: Instant| {
        worker.clock.is_some_and(|(last_answer, _)| last_answer > since + LATE_ANSWER_MARGIN)
    };
    let leaving = match worker.listing {
        Listing::Ready | Listing::Unreadable => false,
        Listing::Draining { .. } => true,
        Listing::Absent { since } => answered_after(since),
    };
    leaving || worker.emptying || worker.info.draining
}

/// Returns how long a run is known to have been running when its worker last answered.
pub fn known_runtime(slot: &Slot, last_answer: Option<Instant>) -> Millis {
    slot.confirmed
        .zip(last_answer)
        .map_or(Millis(0), |(confirmed, last_answer)| last_answer.since(confirmed))
}

/// Returns whether a run may ever have begun.
fn may_have_begun(slot: &Slot) -> bool {
    slot.confirmed.is_some() || slot.attempts.sent() > 0 && slot.stop_confirmed.is_none()
}
