//! Queries of tests: the stored states, what runs where, and parts of the leader's state.

use std::collections::BTreeSet;

use gaplock_jobs::progress::{JobState, TaskRecord};
use gaplock_jobs::{JobKey, TaskKey};
use gaplock_overload::summary::WorkClass;
use gaplock_sched::message::{Run, WaveNumber};
use gaplock_sched::worker::{Phase, Worker};

use super::worker::SimWorker;
use super::{Simulation, QUEUE};

impl Simulation {
    /// Returns whether a job is stored as completed.
    pub fn is_completed(&self, key: u64) -> bool {
        let state = self.progress.get(&JobKey(key)).map(|p| p.state);
        state == Some(JobState::Completed)
    }

    /// Returns whether a maintenance wave is stored as completed.
    pub fn is_wave_completed(&self, number: u64) -> bool {
        self.wave_progress.get(&WaveNumber(number)).is_some_and(|w| w.completed)
    }

    /// Returns a job's stored state.
    pub fn state(&self, key: u64) -> Option<JobState> {
        self.progress.get(&JobKey(key)).map(|p| p.state)
    }

    /// Lets `ms` milliseconds pass and returns how many renewals were sent in that time.
    pub fn renewals_within(&mut self, ms: u64) -> usize {
        let before = self.renewals.len();
        self.run(ms);
        self.renewals.len() - before
    }

    /// Returns how many entries the leader has examined in its queue of due renewals.
    pub fn renewals_examined(&self) -> u64 {
        self.cx.as_ref().map_or(0, |cx| cx.renewal_queue.examined())
    }

    /// Returns how many renewals were sent to a worker since the start.
    pub fn renewals_to(&self, worker: usize) -> usize {
        self.renewals.iter().filter(|(_, to)| *to == worker).count()
    }

    /// Returns how many candidate evaluations the last dispatch pass took.
    pub fn evaluations(&self) -> usize {
        self.cx.as_ref().map_or(0, |cx| cx.pass_evaluations)
    }

    /// Returns how many searches for better workers the last rebalancing check made.
    pub fn rebalance_searches(&self) -> usize {
        self.cx.as_ref().map_or(0, |cx| cx.rebalance_searches)
    }

    /// Returns how many tasks the leader suspects of having crashed a worker.
    pub fn suspects(&self) -> usize {
        self.cx.as_ref().map_or(0, |cx| cx.crashes.suspects.len())
    }

    /// Returns how many crashes the leader counts against a job's tasks.
    pub fn crashes_counted(&self, key: u64) -> usize {
        let Some(cx) = &self.cx else { return 0 };
        let of_job = cx.crashes.suspects.iter().filter(|task| task.job == JobKey(key));
        let evidence = of_job.filter_map(|task| cx.task(*task)?.crash_evidence.as_ref());
        evidence.map(|e| e.crashed.len()).sum()
    }

    /// Returns for how many tasks of a job the leader knows a checkpoint.
    pub fn checkpoints_known(&self, key: u64) -> usize {
        let Some(cx) = &self.cx else { return 0 };
        let steps = cx.jobs[&JobKey(key)].rounds.iter().flat_map(|r| &r.steps);
        steps.flat_map(|s| &s.tasks).filter(|task| task.checkpoint.is_some()).count()
    }

    /// Returns how many rounds of a job the leader has begun and not finished.
    pub fn rounds_under_way(&self, key: u64) -> usize {
        self.cx.as_ref().map_or(0, |cx| cx.jobs[&JobKey(key)].rounds.len())
    }

    /// Returns how many rounds of a job are finished.
    pub fn rounds_finished(&self, key: u64) -> usize {
        self.cx.as_ref().map_or(0, |cx| cx.jobs[&JobKey(key)].finished_rounds.len())
    }

    /// Returns how many starts have not been answered yet.
    pub fn starts_under_way(&self) -> usize {
        let starting = |w: &Worker| w.slots.values().filter(|s| s.phase == Phase::Starting).count();
        self.cx.as_ref().map_or(0, |cx| cx.workers.iter().map(starting).sum())
    }

    /// Returns how many slots the leader holds: runs that may be on a worker.
    pub fn slots_held(&self) -> usize {
        self.cx.as_ref().map_or(0, |cx| cx.workers.iter().map(|w| w.slots.len()).sum())
    }

    /// Returns whether the leader's recovery scan for runs of its predecessors is still under way.
    pub fn in_recovery_scan(&self) -> bool {
        self.cx.as_ref().is_some_and(|cx| cx.recovery_scan.is_some())
    }

    /// Returns the worker on which the n-th run of a job's only task ended.
    pub fn worker_of_run(&self, key: u64, n: usize) -> usize {
        let task = TaskKey { job: JobKey(key), round: 0, step: 0, index: 0 };
        let ended = self.workers.iter().enumerate();
        let mut runs: Vec<(Run, usize)> =
            ended.filter_map(|(at, w)| Some((*w.last_ended.get(&task)?, at))).collect();
        runs.sort();
        runs[n].1
    }

    /// Returns how many failures of a job's tasks are stored.
    pub fn stored_failures(&self, key: u64) -> u32 {
        let rounds = self.progress.get(&JobKey(key)).into_iter().flat_map(|p| &p.rounds);
        let records = rounds.flat_map(|r| &r.steps).flat_map(|s| &s.notes);
        records.map(|r| r.failed).sum()
    }

    /// Returns how many crashes the store counts against a job's tasks.
    pub fn stored_crashes(&self, key: u64) -> usize {
        self.stored_task_records(key).map(|record| record.crashed.len()).sum()
    }

    /// Returns on how many workers tasks of a job are stored as started.
    pub fn stored_starts(&self, key: u64) -> usize {
        self.stored_task_records(key)
            .filter_map(|record| record.started.as_ref())
            .map(Vec::len)
            .sum()
    }

    /// Returns the stored records of a job's tasks.
    fn stored_task_records(&self, key: u64) -> impl Iterator<Item = &TaskRecord> {
        let rounds = self.progress.get(&JobKey(key)).into_iter().flat_map(|p| &p.rounds);
        rounds.flat_map(|r| &r.steps).flat_map(|s| &s.notes)
    }

    /// Returns how many tasks a worker has had a run of, whether it has ended or not.
    pub fn tasks_given_to(&self, worker: usize) -> usize {
        let worker = &self.workers[worker];
        let running = worker.running.keys().filter(|task| !worker.last_ended.contains_key(task));
        worker.last_ended.len() + running.count()
    }

    /// Returns how many runs go on at a worker.
    pub fn running_at(&self, worker: usize) -> usize {
        self.workers[worker].running.len()
    }

    /// Returns the first worker on which a run goes on.
    pub fn busy_worker(&self) -> usize {
        let busy = |worker: &SimWorker| !worker.running.is_empty();
        self.workers.iter().position(busy).expect("a run goes on at some worker")
    }

    /// Returns how many ends a worker still lists.
    pub fn ends_listed(&self, worker: usize) -> usize {
        self.workers[worker].ends.len()
    }

    /// Returns how many runs of a job's tasks go on.
    pub fn running_of(&self, key: u64) -> usize {
        let of = |w: &SimWorker| w.running.keys().filter(|t| t.job == JobKey(key)).count();
        self.workers.iter().map(of).sum()
    }

    /// Returns for how many milliseconds since `from` the longest run on a worker that is up has gone on.
    pub fn longest_run_since(&self, from: u64) -> u64 {
        let runs = self.workers.iter().filter(|w| w.up).flat_map(|w| w.running.values());
        runs.map(|r| self.now - r.began.max(from)).max().unwrap_or(0)
    }

    /// Returns the racks in which a job's tasks run.
    pub fn racks_of(&self, key: u64) -> BTreeSet<String> {
        let runs = |w: &&SimWorker| w.running.keys().any(|t| t.job == JobKey(key));
        let racks = self.workers.iter().filter(runs).filter_map(|w| w.info.rack());
        racks.map(str::to_string).collect()
    }

    /// Returns the paces of a job's running tasks.
    pub fn paces_of(&self, key: u64) -> Vec<u32> {
        let all = self.workers.iter().flat_map(|w| w.running.iter());
        all.filter(|(t, _)| t.job == JobKey(key)).map(|(_, r)| r.pace).collect()
    }

    /// Returns how many times their estimates tasks of a class take, as far as the leader knows.
    pub fn estimate_ratio(&self, class: WorkClass) -> f64 {
        self.cx.as_ref().map_or(1.0, |cx| cx.estimate_ratios.ratio(QUEUE, class))
    }

    /// Returns the paces of a job's tasks at one worker.
    pub fn paces_at(&self, worker: usize, key: u64) -> Vec<u32> {
        let runs = self.workers[worker].running.iter();
        runs.filter(|(t, _)| t.job == JobKey(key)).map(|(_, r)| r.pace).collect()
    }
}
