//! Simulates how the leader reads the directory of workers. A test can make the answers stale or missing while
//! the store answers all other calls at once.

use std::collections::BTreeMap;

use gaplock_jobs::TaskKey;
use gaplock_sched::freshness::{DirectoryRead, RevisionSample};
use gaplock_sched::Event;
use gaplock_types::time::{Instant, Millis};

use super::Simulation;

/// The time between two reads of the directory, in milliseconds.
const READ_EVERY_MS: u64 = 100;

/// The time between two answers of the store to other calls, in milliseconds.
const ANSWERED_EVERY_MS: u64 = 500;

/// What the leader's reads of the directory return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryReads {
    /// Each answer is incomplete: it holds only what was written until so many milliseconds ago.
    Stale(u64),
    /// Each answer is complete and contains nothing new.
    NoChanges,
    /// No answer comes.
    NoAnswer,
}

/// The directory. The store's revision is the time of the last write in milliseconds.
#[derive(Debug, Default)]
pub struct Directory {
    /// What reads return. If unset, the leader sees each change at once and learns nothing of the directory's
    /// age.
    pub reads: Option<DirectoryReads>,
    /// Workers that have announced that they drain: when, and whether the leader has read it.
    leaving: BTreeMap<usize, (u64, bool)>,
}

impl Simulation {
    /// Lets a worker announce in the directory that it drains and stays for `remaining` milliseconds. The
    /// leader learns of it only from a later read.
    pub fn announce_drain(&mut self, worker: usize, remaining: u64) {
        let info = &mut self.workers[worker].info;
        info.draining = true;
        info.remaining = Some(Millis(remaining));
        self.directory.leaving.insert(worker, (self.now, false));
    }

    /// Lets the leader read the directory, and the store answer the leader's other calls, when these are due.
    pub(super) fn read_directory(&mut self) {
        let Some(reading) = self.directory.reads else { return };
        if self.store_down {
            return;
        }
        let sent = Instant(self.now);
        if self.now.is_multiple_of(ANSWERED_EVERY_MS) {
            self.notify_leader(Event::StoreRevision(RevisionSample { sent, revision: self.now }));
            if let Some(cx) = &mut self.cx {
                cx.freshness.record_answer(sent);
            }
        }
        if !self.now.is_multiple_of(READ_EVERY_MS) {
            return;
        }
        let read = match reading {
            DirectoryReads::Stale(by) => {
                DirectoryRead { sent, revision: self.now - by, complete: false }
            }
            DirectoryReads::NoChanges => DirectoryRead { sent, revision: 0, complete: true },
            DirectoryReads::NoAnswer => return,
        };
        self.deliver_drain_notices(read.revision);
        self.notify_leader(Event::DirectoryRead(read));
    }

    /// Lists to the leader the workers that had announced until then that they drain.
    fn deliver_drain_notices(&mut self, until: u64) {
        let mut read = Vec::new();
        for (&worker, (since, is_read)) in &mut self.directory.leaving {
            if *since <= until && !*is_read {
                *is_read = true;
                read.push(worker);
            }
        }
        for worker in read {
            self.list_again(worker);
        }
    }

    /// Checks that a start that a worker carries out was not sent too long after the worker had announced
    /// that it drains.
    pub(super) fn check_leaving(&mut self, at: usize, task: TaskKey, sent: u64) {
        let Some(&(since, _)) = self.directory.leaving.get(&at) else { return };
        if sent > since + self.settings.min_drain.0 {
            let late = sent - since;
            let violation =
                format!("{sent}: {task} starts {late} ms after worker {at} announced its drain");
            self.violations.push(violation);
        }
    }
}
