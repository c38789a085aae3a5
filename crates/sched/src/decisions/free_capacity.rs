//! Who gets the room of a pool that lasting tasks fill, and in what pieces.
//!
//! The pattern: tasks that stay for minutes take nine tenths of a pool's processors, and short jobs
//! whose tasks ask for anything up to a whole worker arrive every second. Spread out, the lasting
//! tasks leave a few cores on every worker, thousands in sum, and a large task fits on none. Three
//! rules answer it:
//!
//! - What takes processors goes to the fullest worker that holds it ([`best_fit_score`]), so that what
//!   is free lies in whole pieces.
//! - While short tasks have to wait, a new lasting task leaves the workers alone that they have just
//!   used ([`is_reserved`]): whatever it took there would be cut up for minutes, while a short task uses
//!   a piece for a second, and is worth some four times as much for each core and second.
//!
//! - A lasting task that was at work before and has waited for [`MAX_RESTART_WAIT`] goes before every short one
//!   ([`has_restart_priority`]): in a full pool room comes free only in pieces, and an endless backlog of short tasks
//!   would take each of them.
//!
//! `docs/DECISIONS.md` (section The room of a full pool) has what each rule is worth.

use gaplock_jobs::Step;
use gaplock_types::sizes::MilliCores;
use gaplock_types::time::{Instant, Millis};

use crate::state::worker::Worker;
use crate::state::State;

/// How long a worker stays kept after a short task has begun or ended there: somewhat longer than a
/// short task of the users works, and below the 3 s for which a lasting task may wait beside room.
const RESERVED_FOR: Millis = Millis(2_000);

/// How long room counts as scarce after a short task has found none. Short jobs come in waves of
/// about that length; a lasting task that got in between two of them would stay.
const SCARCITY_WINDOW: Millis = Millis(10_000);

/// How long a lasting task that was at work before leaves room to short ones. Users of its service miss
/// it, and expect it back within some 6 s; room that is large enough may take a second or two to come.
const MAX_RESTART_WAIT: Millis = Millis(3_000);

/// How long a lasting task that has never run leaves kept room alone at most, so that short tasks do
/// not keep a new service out for ever.
const MAX_FIRST_START_WAIT: Millis = Millis(30_000);

/// The processors that are free on the workers that take tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FreeCpu {
    /// On all of them together, in thousandths of a core.
    pub total: u64,
    /// The most on one of them.
    pub largest: MilliCores,
}

/// Adds up what is free.
pub fn free_cpu(cx: &State) -> FreeCpu {
    let taking = cx.workers.iter().filter(|w| w.accepts_tasks(cx.now));
    let free = taking.map(|w| w.info.capacity.minus(&w.used).cpu);
    free.fold(FreeCpu::default(), |sum, cpu| FreeCpu {
        total: sum.total + u64::from(cpu.0),
        largest: sum.largest.max(cpu),
    })
}

/// Returns how well a task that takes processors fits a worker, against one whole worker: 0 where it
/// takes all that is free, and the less the more it leaves.
pub fn best_fit_score(worker: &Worker, step: &Step) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let free = cores - f64::from(worker.used.cpu.0);
    (f64::from(step.demand.cpu.0) - free) / cores
}

/// Tells whether a step's tasks take processors of their own and end soon.
pub fn is_short(step: &Step) -> bool {
    !step.lasting && !step.fills
}

/// Tells whether a worker's room is kept for short tasks.
pub fn is_reserved(cx: &State, worker: &Worker) -> bool {
    let within = |at: &Instant, span| cx.now.since(*at) < span;
    worker.short_task_changed_at.is_some_and(|at| within(&at, RESERVED_FOR))
        && cx
            .short_task_waited_at
            .get(&worker.info.service)
            .is_some_and(|at| within(at, SCARCITY_WINDOW))
}

/// Tells whether a lasting task has waited so long that it may take kept room; `again` says that it
/// may have been at work before.
pub fn may_use_reserved(waited: Millis, again: bool) -> bool {
    waited >= if again { MAX_RESTART_WAIT } else { MAX_FIRST_START_WAIT }
}

/// Tells whether a pending task is lasting, was at work before, and is missed by its users for so long that
/// it goes before short ones.
pub fn has_restart_priority(step: &Step, waited: Millis, again: bool) -> bool {
    step.lasting && again && waited >= MAX_RESTART_WAIT
}
