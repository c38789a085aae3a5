//! Crashes of workers, among them those caused by tasks, and the workers that replace crashed ones.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_jobs::{JobKey, TaskKey};
use gaplock_sched::Event;
use gaplock_types::ids;

use super::calls::Delivery;
use super::Simulation;

/// How many workers a task may crash before its further starts are counted.
const TOLERATED_CRASHES: usize = 3;

/// The number of further starts that is a violation.
const TOO_MANY_STARTS: usize = 3;

/// How long after a crash the directory removes the worker's entry, in milliseconds: some heartbeats.
const UNLISTED_AFTER_MS: u64 = 2_000;

/// How long after a crash the host has a new worker, in milliseconds.
const REPLACED_AFTER_MS: u64 = 3_000;

/// Which tasks crash their workers, how workers come back, and the crashes so far.
#[derive(Debug, Default)]
pub struct Crashes {
    /// How long after its start each crashing task crashes its worker, in milliseconds.
    crash_after_ms: BTreeMap<TaskKey, u64>,
    /// Whether the directory keeps the entries of crashed workers, so that it never shows a crash, and their
    /// hosts stay down.
    pub keep_entries: bool,
    /// Whether crashed workers restart under their names instead of being replaced by others.
    pub restart_under_same_name: bool,
    /// The incarnations of workers that each crashing task has crashed.
    crashed_under: BTreeMap<TaskKey, BTreeSet<ids::WorkerId>>,
    /// How often each crashing task was started after it had caused [`TOLERATED_CRASHES`] crashes.
    starts_after_crashes: BTreeMap<TaskKey, usize>,
    /// How many runs of other tasks were lost in these crashes.
    pub other_runs_lost: usize,
}

impl Crashes {
    /// Returns how many milliseconds after its start a task crashes its worker, if it does.
    pub fn crash_after_ms(&self, task: TaskKey) -> Option<u64> {
        self.crash_after_ms.get(&task).copied()
    }

    /// Returns whether a task of a job crashes its workers.
    pub fn has_crashing_task(&self, job: JobKey) -> bool {
        self.crash_after_ms.keys().any(|task| task.job == job)
    }

    /// Returns how many workers a job's tasks have crashed.
    pub fn of(&self, key: u64) -> usize {
        let of_job = self.crashed_under.iter().filter(|(task, _)| task.job == JobKey(key));
        of_job.map(|(_, workers)| workers.len()).sum()
    }
}

impl Simulation {
    /// Lets time pass until a job's tasks have crashed so many workers, or for `most_ms` milliseconds at most.
    pub fn run_until_crashes(&mut self, key: u64, crashes: usize, most_ms: u64) {
        let until = self.now + most_ms;
        while self.crashes.of(key) < crashes && self.now < until {
            self.run(1);
        }
    }

    /// Makes the first task of a job's step crash each worker that runs it, so many milliseconds after
    /// its start.
    pub fn make_task_crash_workers(&mut self, key: u64, step: u16, after_ms: u64) {
        let task = TaskKey { job: JobKey(key), round: 0, step, index: 0 };
        self.crashes.crash_after_ms.insert(task, after_ms);
    }

    /// Counts the start of a task, and records a violation if it is started too often after its crashes.
    pub(super) fn count_start(&mut self, task: TaskKey) {
        let crashed = self.crashes.crashed_under.get(&task).map_or(0, BTreeSet::len);
        if crashed < TOLERATED_CRASHES {
            return;
        }
        let starts = self.crashes.starts_after_crashes.entry(task).or_default();
        *starts += 1;
        if *starts == TOO_MANY_STARTS {
            let text = format!("{}: {task} starts again after {crashed} crashes", self.now);
            self.violations.push(text);
        }
    }

    /// Crashes the worker of a crashing task.
    pub(super) fn crash_by_task(&mut self, at: usize, task: TaskKey) {
        let id = self.workers[at].info.id.clone();
        self.crashes.crashed_under.entry(task).or_default().insert(id);
        let runs = self.workers[at].running.keys();
        self.crashes.other_runs_lost +=
            runs.filter(|run| !self.crashes.crash_after_ms.contains_key(run)).count();
        self.crash_and_replace(at);
    }

    /// Crashes a worker. Some seconds later its host gets a replacement, unless [`Crashes`] says otherwise.
    pub fn crash_and_replace(&mut self, at: usize) {
        if self.crashes.restart_under_same_name {
            return self.restart_worker(at);
        }
        self.crash(at);
        if !self.crashes.keep_entries {
            self.send(UNLISTED_AFTER_MS, Delivery::Unlisted { at });
            self.send(REPLACED_AFTER_MS, Delivery::Replaced { at });
        }
    }

    /// Adds the worker that replaces a crashed one on its host, at the same address but under another name.
    pub(super) fn add_replacement(&mut self, at: usize) {
        let crashed = &self.workers[at];
        let (id, addr) =
            (ids::WorkerId(format!("{}+", crashed.info.id.name())), crashed.info.addr.clone());
        let (host, labels) = (self.host_of(at), crashed.info.labels.clone());
        self.workers[at].replaced = true;
        let next = self.add_unlisted_worker(&id.0);
        self.set_host(next, host);
        let info = &mut self.workers[next].info;
        info.addr = addr;
        info.labels = labels;
        let info = info.clone();
        self.notify_leader(Event::Listed(info));
    }
}
