//! Decides which tasks get the free capacity of a pool that long-running tasks fill, and in what
//! pieces.
//!
//! This handles the following situation: tasks that stay for minutes take nine tenths of a pool's
//! processors, and short jobs whose tasks demand anything up to a whole worker arrive every second.
//! If they are spread out, the long-running tasks leave a few cores free on every worker, thousands
//! in total, and a large task fits on none. Three rules prevent that:
//!
//! - A task that takes processors of its own goes to the fullest worker that can hold it
//!   ([`best_fit_score`]), so that free processors stay in large pieces.
//! - While short tasks have to wait, a new long-running task does not use the workers that they
//!   have just used ([`is_reserved`]). The processors that it took there would be fragmented for
//!   minutes, while a short task uses them for a second and is worth about four times as much per
//!   core and second.
//! - A long-running task that may have run before and has waited for `MAX_RESTART_WAIT` goes
//!   before all short tasks ([`has_restart_priority`]). In a full pool, capacity becomes free only
//!   in pieces, and an endless backlog of short tasks would take each of them.
//!
//! While the shares of a pool are enforced ([`crate::state::class_shares`]), long-running tasks that
//! would take more than their class is entitled to wait ([`room_access`]) instead.
//!
//! `docs/DECISIONS.md` (section The room of a full pool) says what each rule is worth.

use gaplock_jobs::Step;
use gaplock_types::ids;
use gaplock_types::sizes::MilliCores;
use gaplock_types::time::{Instant, Millis};

use crate::state::job_table;
use crate::state::worker::Worker;
use crate::state::State;

/// How long a worker stays reserved after a short task has begun or ended there. It is somewhat
/// longer than a short task of the users runs, and below the 3 s for which a long-running task may
/// wait beside free capacity.
const RESERVED_FOR: Millis = Millis(2_000);

/// How long capacity counts as scarce after a short task has found none. Short jobs come in waves
/// of about that length, and a long-running task that was placed between two of them would stay.
const SCARCITY_WINDOW: Millis = Millis(10_000);

/// How long a long-running task that may have run before leaves capacity to short tasks. Users of
/// its service notice that it is unavailable and expect it back within about 6 s, and large enough
/// capacity may take a second or two to become free.
const MAX_RESTART_WAIT: Millis = Millis(3_000);

/// The longest time that a long-running task that has never run leaves reserved capacity to short
/// tasks, so that they do not keep a new service out forever.
const MAX_FIRST_START_WAIT: Millis = Millis(30_000);

/// The free processors of the workers that accept tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FreeCpu {
    /// On all workers together, in thousandths of a core.
    pub total: u64,
    /// The most on one worker.
    pub largest: MilliCores,
}

/// Returns the free processors of the workers that accept tasks.
pub fn free_cpu(cx: &State) -> FreeCpu {
    let accepting = cx.workers.iter().filter(|w| w.accepts_tasks(cx.now));
    let free = accepting.map(|w| w.info.capacity.minus(&w.used).cpu);
    free.fold(FreeCpu::default(), |sum, cpu| FreeCpu {
        total: sum.total + u64::from(cpu.0),
        largest: sum.largest.max(cpu),
    })
}

/// Returns how well a task that takes processors of its own fits a worker, in whole workers: 0 if
/// it takes all free processors, and the lower the more it leaves free.
pub fn best_fit_score(worker: &Worker, step: &Step) -> f64 {
    let cores = f64::from(worker.info.capacity.cpu.0.max(1));
    let free = cores - f64::from(worker.used.cpu.0);
    (f64::from(step.demand.cpu.0) - free) / cores
}

/// Returns whether a step's tasks take processors of their own and end soon.
pub fn is_short(step: &Step) -> bool {
    !step.lasting && !step.fills
}

/// Returns whether a worker's free capacity is reserved for short tasks.
pub fn is_reserved(cx: &State, worker: &Worker) -> bool {
    let within = |at: &Instant, span| cx.now.since(*at) < span;
    worker.short_task_changed_at.is_some_and(|at| within(&at, RESERVED_FOR))
        && cx
            .short_task_waited_at
            .get(&worker.info.service)
            .is_some_and(|at| within(at, SCARCITY_WINDOW))
}

/// Returns whether a long-running task has waited so long that it may use reserved capacity.
/// `may_have_run` says whether it may have run before.
pub fn may_use_reserved(waited: Millis, may_have_run: bool) -> bool {
    waited >= if may_have_run { MAX_RESTART_WAIT } else { MAX_FIRST_START_WAIT }
}

/// Returns whether a pending task is long-running, may have run before, and has been unavailable to
/// its users for so long that it goes before short tasks.
pub fn has_restart_priority(step: &Step, waited: Millis, may_have_run: bool) -> bool {
    step.lasting && may_have_run && waited >= MAX_RESTART_WAIT
}

/// How long a long-running task that may have run before leaves all room to short tasks while
/// shares are enforced. It must be started within 6 s after its last run ended where a worker has
/// room for it.
const MAX_HELD_RESTART_WAIT: Millis = Millis(5_000);

/// How long beyond the longest stop a worker's room is kept for short tasks after a long-running
/// task was preempted there. A short task of the users runs for 0.7 s and is then followed by
/// others.
const KEPT_AFTER_PREEMPTION: Millis = Millis(1_000);

/// Which rooms a long-running task may take, each with those before it. No processors are left idle
/// for the sake of a share: a room that is too small for the short tasks that wait is always free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoomAccess {
    /// Rooms that are too small for the short tasks that wait: its class holds its share.
    Small,
    /// Rooms for at least twice its demand: it has waited so long that it takes half of one.
    Double,
    /// Any room within its class's share, unless a task was just preempted there for short tasks.
    Share,
    /// Any room.
    Any,
}

/// Returns which rooms a task of a pool may take. While shares are enforced, steps that go before
/// short tasks are tried before and after these; `before_short` says which.
pub fn room_access(
    cx: &State,
    pool: &ids::ServiceId,
    (step, priority): (&Step, u32),
    (waited, may_have_run): (Millis, bool),
    before_short: bool,
) -> RoomAccess {
    let Some(enforcement) = cx.class_shares.enforcement(pool).filter(|_| step.lasting) else {
        return RoomAccess::Any;
    };
    if may_have_run && waited >= MAX_HELD_RESTART_WAIT && !before_short {
        return RoomAccess::Any;
    }
    let headroom = enforcement.headroom.get(&priority).copied().unwrap_or(0);
    if headroom >= u64::from(step.demand.cpu.0) {
        RoomAccess::Share
    } else if waited >= MAX_RESTART_WAIT {
        RoomAccess::Double
    } else {
        RoomAccess::Small
    }
}

/// Returns whether a worker's room is one that a task may take.
pub fn may_take_room(cx: &State, worker: &Worker, step: &Step, access: RoomAccess) -> bool {
    let is_double = || {
        let demand = job_table::reservation(step);
        worker.info.capacity.minus(&worker.used).holds(&demand.plus(&demand))
    };
    let kept_for = cx.settings.stop_limit.0 + KEPT_AFTER_PREEMPTION.0;
    let is_kept = || worker.preempted_at.is_some_and(|at| cx.now.since(at).0 < kept_for);
    let is_too_small = || {
        let enforcement = cx.class_shares.enforcement(&worker.info.service);
        let free = worker.info.capacity.minus(&worker.used).cpu;
        enforcement.is_some_and(|enforcement| free < enforcement.smallest_waiting)
    };
    match access {
        RoomAccess::Small => is_too_small(),
        RoomAccess::Double => is_double() || is_too_small(),
        RoomAccess::Share => !is_kept() || is_double() || is_too_small(),
        RoomAccess::Any => true,
    }
}
