//! Tasks that crash the worker which runs them, and workers that come back as another incarnation.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_jobs::{JobKey, TaskKey};
use gaplock_sched::Event;
use gaplock_types::ids;

use super::calls::Delivery;
use super::World;

/// How many workers may crash under one task that crashes its workers, before its starts are counted.
const TOLERATED_CRASHES: usize = 3;

/// How many starts there are too many after that.
const TOO_MANY_STARTS: usize = 3;

/// How long after a crash the directory drops the worker's entry, in milliseconds: some heartbeats.
const UNLISTED_AFTER_MS: u64 = 2_000;

/// How long after a crash its host has a new worker, in milliseconds.
const REPLACED_AFTER_MS: u64 = 3_000;

/// Which tasks crash their workers, and what they have done so far.
#[derive(Debug, Default)]
pub struct Crashes {
    /// How long after its start each such task crashes its worker, in milliseconds.
    after: BTreeMap<TaskKey, u64>,
    /// Workers whose crash the directory never shows, since it keeps their entry, and whose host stays
    /// down.
    pub silent: bool,
    /// Workers start again under their names instead of others coming in their place.
    pub same_names: bool,
    /// The starts of workers that crashed under each such task.
    crashed_under: BTreeMap<TaskKey, BTreeSet<ids::WorkerId>>,
    /// Starts of each such task since then, once there were too many crashes.
    starts_after_crashes: BTreeMap<TaskKey, usize>,
    /// Runs of other tasks that went down with a worker.
    pub innocent_runs: usize,
}

impl Crashes {
    /// Returns how long after its start a task crashes its worker, if it does.
    pub fn after(&self, task: TaskKey) -> Option<u64> {
        self.after.get(&task).copied()
    }

    /// Tells whether a task of a job crashes its workers.
    pub fn has_crashing_task(&self, job: JobKey) -> bool {
        self.after.keys().any(|task| task.job == job)
    }

    /// Returns how many workers have crashed under a job's tasks.
    pub fn of(&self, key: u64) -> usize {
        let of_job = self.crashed_under.iter().filter(|(task, _)| task.job == JobKey(key));
        of_job.map(|(_, workers)| workers.len()).sum()
    }
}

impl World {
    /// Lets time pass until a job's tasks have crashed so many workers, or `most_ms` are over.
    pub fn run_until_crashes(&mut self, key: u64, crashes: usize, most_ms: u64) {
        let until = self.now + most_ms;
        while self.crashes.of(key) < crashes && self.now < until {
            self.run(1);
        }
    }

    /// Makes the first task of a job's step crash each worker that runs it, so many milliseconds after
    /// its start.
    pub fn crash_under(&mut self, key: u64, step: u16, after_ms: u64) {
        let task = TaskKey { job: JobKey(key), round: 0, step, index: 0 };
        self.crashes.after.insert(task, after_ms);
    }

    /// Counts the start of a task, and notes one too many after its crashes.
    pub(super) fn count_start(&mut self, task: TaskKey) {
        let crashed = self.crashes.crashed_under.get(&task).map_or(0, BTreeSet::len);
        if crashed < TOLERATED_CRASHES {
            return;
        }
        let starts = self.crashes.starts_after_crashes.entry(task).or_default();
        *starts += 1;
        if *starts == TOO_MANY_STARTS {
            let said = format!("{}: {task} starts again after {crashed} crashes", self.now);
            self.violations.push(said);
        }
    }

    /// Crashes a worker on account of a task.
    pub(super) fn crash_by_task(&mut self, at: usize, task: TaskKey) {
        let id = self.workers[at].info.id.clone();
        self.crashes.crashed_under.entry(task).or_default().insert(id);
        let runs = self.workers[at].running.keys();
        self.crashes.innocent_runs +=
            runs.filter(|run| !self.crashes.after.contains_key(run)).count();
        self.crash_and_return(at);
    }

    /// Crashes a worker whose host has another one some seconds later.
    pub fn crash_and_return(&mut self, at: usize) {
        if self.crashes.same_names {
            return self.start_over(at);
        }
        self.crash(at);
        if !self.crashes.silent {
            self.send(UNLISTED_AFTER_MS, Delivery::Unlisted { at });
            self.send(REPLACED_AFTER_MS, Delivery::Replaced { at });
        }
    }

    /// Adds the next incarnation of a worker, at the same address.
    pub(super) fn add_replacement(&mut self, at: usize) {
        let dead = &self.workers[at];
        let (id, addr) =
            (ids::WorkerId(format!("{}+", dead.info.id.name())), dead.info.addr.clone());
        let (host, labels) = (self.host_of(at), dead.info.labels.clone());
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
