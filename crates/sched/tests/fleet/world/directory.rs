//! The directory of workers as the leader reads it: late, where a test says so, while the store answers its
//! other calls at once.

use std::collections::BTreeMap;

use gaplock_jobs::TaskKey;
use gaplock_sched::freshness::{DirectoryRead, RevisionSample};
use gaplock_sched::Event;
use gaplock_types::time::{Instant, Millis};

use super::World;

/// The time between two readings of the directory, in milliseconds.
const READ_EVERY_MS: u64 = 100;

/// The time between two answers of the store to other calls, in milliseconds.
const ANSWERED_EVERY_MS: u64 = 500;

/// How the leader reads the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// Each answer leaves something out: it holds what was written until so many milliseconds ago.
    Late(u64),
    /// Each answer is whole, and there is nothing new in it.
    Quiet,
    /// No answer comes.
    Silent,
}

/// The directory; the store's revision is the time of the last write in milliseconds.
#[derive(Debug, Default)]
pub struct Directory {
    /// How it is read; tests that say nothing have it read at once, without a word of its age.
    pub reading: Option<Reading>,
    /// Workers that said that they leave: when, and whether the leader has read it.
    leaving: BTreeMap<usize, (u64, bool)>,
}

impl World {
    /// Lets a worker say that it leaves, and stays for `remaining` milliseconds; the leader reads it late.
    pub fn says_it_leaves(&mut self, worker: usize, remaining: u64) {
        let info = &mut self.workers[worker].info;
        info.draining = true;
        info.remaining = Some(Millis(remaining));
        self.directory.leaving.insert(worker, (self.now, false));
    }

    /// Lets the leader read the directory, and the store answer other calls, when that is due.
    pub(super) fn read_directory(&mut self) {
        let Some(reading) = self.directory.reading else { return };
        if self.store_down {
            return;
        }
        let sent = Instant(self.now);
        if self.now.is_multiple_of(ANSWERED_EVERY_MS) {
            self.notify_leader(Event::StoreRevision(RevisionSample { sent, revision: self.now }));
            if let Some(cx) = &mut self.cx {
                cx.freshness.answered(sent);
            }
        }
        if !self.now.is_multiple_of(READ_EVERY_MS) {
            return;
        }
        let read = match reading {
            Reading::Late(by) => DirectoryRead { sent, revision: self.now - by, complete: false },
            Reading::Quiet => DirectoryRead { sent, revision: 0, complete: true },
            Reading::Silent => return,
        };
        self.deliver_drain_notices(read.revision);
        self.notify_leader(Event::DirectoryRead(read));
    }

    /// Tells the leader which workers have said until then that they leave.
    fn deliver_drain_notices(&mut self, until: u64) {
        let mut heard = Vec::new();
        for (&worker, (since, is_heard)) in &mut self.directory.leaving {
            if *since <= until && !*is_heard {
                *is_heard = true;
                heard.push(worker);
            }
        }
        for worker in heard {
            self.list_again(worker);
        }
    }

    /// Checks that a start which a worker carries out was not sent long after the worker had said that it
    /// leaves.
    pub(super) fn check_leaving(&mut self, at: usize, task: TaskKey, sent: u64) {
        let Some(&(since, _)) = self.directory.leaving.get(&at) else { return };
        if sent > since + self.settings.min_drain.0 {
            let late = sent - since;
            let violation = format!("{sent}: {task} starts {late} ms after {at} said it leaves");
            self.violations.push(violation);
        }
    }
}
