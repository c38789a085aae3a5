//! What speaks against tasks that may crash their workers.

use std::collections::BTreeSet;

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use rustc_hash::FxHashMap;

use crate::interface::message::{Run, WorkerIx};

/// How many workers may crash under a task before its job fails, whatever else is known. Users bear five
/// starts of a task that crashes its workers; one of them may be forgotten with its leader.
pub const MAX_CRASHES: usize = 4;

/// How many are enough where each crash followed the start at once and the last one took a worker that
/// the task had to itself: two may crash by chance while an unlucky task is there, a third hardly so.
const MAX_CRASHES_AT_START: usize = 3;

/// How many workers speak against one suspect at most; more are those of former ones.
const MAX_WORKERS_PER_SUSPECT: usize = MAX_CRASHES + 1;

/// How many addresses are kept before those are dropped that have lost no worker for long.
const MAX_CRASH_ADDRESSES: usize = 1_024;

/// For how long the loss of a worker speaks against its address: hosts that fail do so within minutes.
const CRASH_ADDRESS_RETENTION: Millis = Millis(600_000);

/// Whether what is known of a suspect is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Saved {
    /// It is not.
    No,
    /// It is in the commit in flight.
    InFlight,
    /// It is, or there is nothing to store.
    #[default]
    Yes,
}

/// What is stored of where a suspect was started since what speaks against it was noted.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) enum RecordedStart {
    /// Nothing: it may have been started anywhere.
    #[default]
    Unrecorded,
    /// It was not started.
    Nowhere,
    /// It may be at work at this worker and at no other one.
    At(ids::WorkerId),
}

/// What speaks against a task under which workers were lost.
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    /// The workers that crashed under it.
    pub crashed: Vec<ids::WorkerId>,
    /// One more that may have crashed under it, at a change of leader or together with many others.
    pub possible_crash: Option<ids::WorkerId>,
    /// Workers under it that were silent past all leases while the directory listed them, and since when.
    pub(crate) silent: Vec<(ids::WorkerId, Instant)>,
    pub(crate) saved: Saved,
    pub(crate) recorded_start: RecordedStart,
    /// How long its last lost run was known to have been at work.
    pub(crate) last_run_duration: Millis,
    /// Whether each crash followed a start at once, as far as is known.
    pub(crate) all_at_start: bool,
    /// Whether the last crash took a worker that the task had to itself.
    pub(crate) last_was_alone: bool,
    /// Whether it starts like any other task, because it cannot be tried alone.
    pub(crate) exempt_from_trial: bool,
}

impl CrashEvidence {
    /// Returns how many workers were lost under the task, for all that is known.
    pub(crate) fn possible_losses(&self) -> usize {
        self.crashed.len() + self.silent.len() + usize::from(self.possible_crash.is_some())
    }

    /// Returns how many losses the task is tried for; one that is only possible adds nothing to others.
    pub(crate) fn losses(&self) -> usize {
        (self.crashed.len() + self.silent.len()).max(1)
    }

    /// Returns what a successor must know: how many workers crashed, and whether one more may have.
    pub(crate) fn to_store(&self) -> (usize, bool) {
        (self.crashed.len(), self.possible_crash.is_some())
    }

    /// Returns where a successor is to suppose the task at work; nothing where starts are not recorded.
    pub(crate) fn possible_workers_to_store(&self, waits: bool) -> Option<Vec<ids::WorkerId>> {
        match &self.recorded_start {
            RecordedStart::Unrecorded => None,
            RecordedStart::At(worker) if !waits || !self.silent.is_empty() => {
                Some(vec![worker.clone()])
            }
            RecordedStart::Nowhere | RecordedStart::At(_) => Some(Vec::new()),
        }
    }

    /// Tells whether the task is held to crash its workers.
    pub(crate) fn is_proven(&self) -> bool {
        let at_start =
            self.all_at_start && self.last_was_alone && self.crashed.len() >= MAX_CRASHES_AT_START;
        at_start || self.crashed.len() >= MAX_CRASHES
    }

    pub(crate) fn involves(&self, worker: &ids::WorkerId) -> bool {
        self.crashed.contains(worker) || self.silent.iter().any(|(id, _)| id == worker)
    }

    /// Tells whether the task may start. With as many losses as a task may have it waits until it is
    /// known which of them were crashes.
    pub(crate) fn may_start(&self) -> bool {
        let undecided = self.crashed.len() + self.silent.len() >= MAX_CRASHES;
        self.saved == Saved::Yes && !undecided && !self.is_proven()
    }

    /// Takes in that the directory or the worker itself tells of a silent one; whether that changed
    /// anything.
    pub(crate) fn resolve(&mut self, worker: &ids::WorkerId, crashed: bool) -> bool {
        let was_silent = self.silent.iter().any(|(id, _)| id == worker);
        self.silent.retain(|(id, _)| id != worker);
        if crashed {
            self.crashed.extend(was_silent.then(|| worker.clone()));
            return was_silent;
        }
        let before = self.possible_losses();
        self.crashed.retain(|id| id != worker);
        self.possible_crash = self.possible_crash.take().filter(|id| id != worker);
        was_silent || self.possible_losses() != before
    }
}

/// What the leader knows of crashes beyond single tasks.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// All tasks with a suspicion.
    pub suspects: BTreeSet<TaskKey>,
    /// The suspects that a lost worker speaks or spoke against.
    pub(crate) by_worker: FxHashMap<ids::WorkerId, Vec<TaskKey>>,
    /// When a worker at an address last crashed.
    pub(crate) last_crash_by_addr: FxHashMap<String, Instant>,
    /// Set when a suspect may wait to be tried alone.
    pub(crate) suspect_may_wait: bool,
    pub(crate) last_checked: Instant,
    /// Starts of suspects that are sent once they are stored.
    pub(crate) held_starts: Vec<(WorkerIx, TaskKey, Run)>,
}

impl CrashTracker {
    /// Adds a suspect and the worker that speaks against it.
    pub(crate) fn add(&mut self, key: TaskKey, worker: &ids::WorkerId) {
        self.suspects.insert(key);
        self.by_worker.entry(worker.clone()).or_default().push(key);
        self.note_waiting();
    }

    /// Drops workers that speak against no suspect any more, and addresses that lost none for long.
    pub(crate) fn evict_old(&mut self, now: Instant) {
        if self.by_worker.len() > self.suspects.len() * MAX_WORKERS_PER_SUSPECT {
            let suspects = &self.suspects;
            self.by_worker.retain(|_, keys| keys.iter().any(|key| suspects.contains(key)));
        }
        if self.last_crash_by_addr.len() > MAX_CRASH_ADDRESSES {
            self.last_crash_by_addr.retain(|_, at| now.since(*at) < CRASH_ADDRESS_RETENTION);
        }
    }

    /// Takes in that a suspect waits for a worker.
    pub fn note_waiting(&mut self) {
        self.suspect_may_wait = true;
    }
}
