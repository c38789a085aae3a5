//! Evidence against tasks that may crash their workers.

use std::collections::BTreeSet;

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use rustc_hash::FxHashMap;

use crate::interface::message::{Run, WorkerIx};

/// How many workers may crash while running a task before its job fails, whatever else is known.
/// Users accept five starts of a task that crashes its workers; one of the crashes may be forgotten
/// with its leader.
pub const MAX_CRASHES: usize = 4;

/// How many crashes are enough if each of them followed a start at once and the last one took a
/// worker that ran nothing but this job. Two workers may crash by chance while an innocent task
/// runs there; a third one is unlikely to.
const MAX_CRASHES_AT_START: usize = 3;

/// The most workers whose loss counts against one suspect; any further entries are those of former
/// suspects.
const MAX_WORKERS_PER_SUSPECT: usize = MAX_CRASHES + 1;

/// How many addresses are kept before those are dropped that have not lost a worker for long.
const MAX_CRASH_ADDRESSES: usize = 1_024;

/// How long the loss of a worker counts against its address: hosts that fail do so within minutes.
const CRASH_ADDRESS_RETENTION: Millis = Millis(600_000);

/// Whether the evidence against a suspect is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Saved {
    /// It is not stored.
    No,
    /// It is in the commit in flight.
    InFlight,
    /// It is stored, or there is nothing to store.
    #[default]
    Yes,
}

/// What is stored about where a suspect was started since the evidence against it was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) enum RecordedStart {
    /// Nothing: it may have been started anywhere.
    #[default]
    Unrecorded,
    /// It was not started.
    Nowhere,
    /// It may be running at this worker and at no other one.
    At(ids::WorkerId),
}

/// The evidence against a task that was running on workers when they were lost.
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    /// The workers that crashed while running it.
    pub crashed: Vec<ids::WorkerId>,
    /// One more worker that may have crashed while running it, at a change of leader or together
    /// with many others.
    pub possible_crash: Option<ids::WorkerId>,
    /// Workers that ran it and have not answered, although all their leases have expired and the
    /// directory lists them, and since when.
    pub(crate) silent: Vec<(ids::WorkerId, Instant)>,
    pub(crate) saved: Saved,
    pub(crate) recorded_start: RecordedStart,
    /// How long its last lost run was known to have been running.
    pub(crate) last_run_duration: Millis,
    /// Whether each crash followed a start at once, as far as is known.
    pub(crate) all_at_start: bool,
    /// Whether the last crash took a worker that ran nothing but this task's job.
    pub(crate) last_was_alone: bool,
    /// Whether it starts like any other task, because it cannot be tried alone.
    pub(crate) exempt_from_trial: bool,
}

impl CrashEvidence {
    /// Returns how many workers were lost while running the task, including those that may not have
    /// crashed.
    pub(crate) fn possible_losses(&self) -> usize {
        self.crashed.len() + self.silent.len() + usize::from(self.possible_crash.is_some())
    }

    /// Returns how many losses decide how the task is tried; a loss that is only possible adds
    /// nothing to others.
    pub(crate) fn losses(&self) -> usize {
        (self.crashed.len() + self.silent.len()).max(1)
    }

    /// Returns what a new leader must know: how many workers crashed, and whether one more may
    /// have.
    pub(crate) fn to_store(&self) -> (usize, bool) {
        (self.crashed.len(), self.possible_crash.is_some())
    }

    /// Returns where a new leader has to assume that the task is running: at no worker or at one, or
    /// `None` if its starts are not recorded.
    pub(crate) fn possible_workers_to_store(&self, is_waiting: bool) -> Option<Vec<ids::WorkerId>> {
        match &self.recorded_start {
            RecordedStart::Unrecorded => None,
            RecordedStart::At(worker) if !is_waiting || !self.silent.is_empty() => {
                Some(vec![worker.clone()])
            }
            RecordedStart::Nowhere | RecordedStart::At(_) => Some(Vec::new()),
        }
    }

    /// Returns whether the task is considered proven to crash its workers.
    pub(crate) fn is_proven(&self) -> bool {
        let at_start =
            self.all_at_start && self.last_was_alone && self.crashed.len() >= MAX_CRASHES_AT_START;
        at_start || self.crashed.len() >= MAX_CRASHES
    }

    pub(crate) fn involves(&self, worker: &ids::WorkerId) -> bool {
        self.crashed.contains(worker) || self.silent.iter().any(|(id, _)| id == worker)
    }

    /// Returns whether the task may start. With as many losses as a task may have, it waits until
    /// it is known which of them were crashes.
    pub(crate) fn may_start(&self) -> bool {
        let undecided = self.crashed.len() + self.silent.len() >= MAX_CRASHES;
        self.saved == Saved::Yes && !undecided && !self.is_proven()
    }

    /// Records whether a worker that did not answer has crashed, as the directory or the worker
    /// itself shows. Returns whether that changed anything.
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

/// What the leader knows about crashes beyond single tasks.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// All tasks with evidence against them.
    pub suspects: BTreeSet<TaskKey>,
    /// The suspects against which the loss of a worker counts or counted.
    pub(crate) by_worker: FxHashMap<ids::WorkerId, Vec<TaskKey>>,
    /// When a worker at an address last crashed.
    pub(crate) last_crash_by_addr: FxHashMap<String, Instant>,
    /// Set when a suspect may be waiting to be tried alone.
    pub(crate) suspect_may_wait: bool,
    pub(crate) last_checked: Instant,
    /// Starts of suspects that are sent once they are stored.
    pub(crate) held_starts: Vec<(WorkerIx, TaskKey, Run)>,
}

impl CrashTracker {
    /// Adds a suspect and the worker whose loss counts against it.
    pub(crate) fn add(&mut self, key: TaskKey, worker: &ids::WorkerId) {
        self.suspects.insert(key);
        self.by_worker.entry(worker.clone()).or_default().push(key);
        self.note_waiting();
    }

    /// Drops workers whose loss counts against no suspect any more, and addresses that have lost no
    /// worker for long.
    pub(crate) fn evict_old(&mut self, now: Instant) {
        if self.by_worker.len() > self.suspects.len() * MAX_WORKERS_PER_SUSPECT {
            let suspects = &self.suspects;
            self.by_worker.retain(|_, keys| keys.iter().any(|key| suspects.contains(key)));
        }
        if self.last_crash_by_addr.len() > MAX_CRASH_ADDRESSES {
            self.last_crash_by_addr.retain(|_, at| now.since(*at) < CRASH_ADDRESS_RETENTION);
        }
    }

    /// Records that a suspect waits for a worker.
    pub fn note_waiting(&mut self) {
        self.suspect_may_wait = true;
    }
}
