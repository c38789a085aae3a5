//! Renewals at a worker: they extend its lease, acknowledge ends, and are answered with a worker report.

use gaplock_jobs::TaskKey;
use gaplock_sched::message::{
    EndCause, EndSeq, Outcome, Refusal, RunEnd, RunningTask, WorkerClock, WorkerReport,
};
use gaplock_sched::Event;
use gaplock_types::time::Instant;

use super::calls::{Call, CallRoute, Delivery, Renewal};
use super::worker::SimRun;
use super::Simulation;

impl Simulation {
    /// Answers a renewal that a worker holds back, if there is one, at once.
    pub(super) fn wake_renewal(&mut self, at: usize) {
        let waiting = self.deliveries.iter().find(
            |(_, d)| matches!(d, Delivery::RenewalAnswerDue { route, .. } if route.worker == at),
        );
        let Some(key) = waiting.map(|(key, _)| *key) else { return };
        if let Some(delivery) = self.deliveries.remove(&key) {
            self.send(0, delivery);
        }
    }

    /// Carries out a renewal at a worker; `fenced` says that a newer leader has called the worker before.
    pub(super) fn renew(&mut self, route: CallRoute, renewal: Renewal, fenced: bool) {
        let Renewal { stored, until, wait, sent, .. } = renewal;
        let at = route.worker;
        if fenced {
            if let Some(worker) = self.answer_target(route) {
                let outcome = Outcome::Refused(Refusal::Fenced);
                self.reply(route, Event::Renewed { worker, sent, outcome });
            }
            return;
        }
        self.acknowledge(at, stored);
        if let Some(until) = until {
            self.extend_lease(at, until);
        }
        let wait = if self.workers[at].ends.is_empty() { wait } else { 0 };
        self.send(wait, Delivery::RenewalAnswerDue { route, sent });
    }

    /// Removes the ends that are stored from a worker's list, and checks that none of their tasks was started
    /// again after it was done, unless the worker's lease lapsed or speculative copies are allowed.
    fn acknowledge(&mut self, at: usize, stored: EndSeq) {
        let ends = std::mem::take(&mut self.workers[at].ends);
        let (recorded, left): (Vec<RunEnd>, Vec<RunEnd>) =
            ends.into_iter().partition(|e| e.seq <= stored);
        self.workers[at].ends = left;
        for end in recorded {
            match end.cause {
                EndCause::Done => {
                    let ended = self.workers[at].ended_at.get(&end.seq).copied().unwrap_or(0);
                    let lapsed = self.workers[at].lease_lapsed_at >= ended;
                    let again = self.started_at.get(&end.task).is_some_and(|s| *s > ended);
                    if again && !lapsed && !self.allows_copies(end.task) {
                        let now = self.now;
                        let text = format!(
                            "{now}: {} started after its end at {ended}, which was recorded later",
                            end.task
                        );
                        self.violations.push(text);
                    }
                    self.recorded_done.insert(end.task);
                }
                EndCause::Failed => *self.recorded_failed.entry(end.task).or_default() += 1,
                _ => {}
            }
        }
    }

    /// Answers a renewal with the worker's report.
    pub(super) fn answer_renewal(&mut self, route: CallRoute, sent: Instant) {
        let worker = &self.workers[route.worker];
        if !worker.up || worker.partitioned {
            let renewal = Renewal { stored: EndSeq(0), until: None, wait: 0, timeout: 0, sent };
            return self.time_out(route, &Call::Renew(renewal));
        }
        let Some(worker) = self.answer_target(route) else { return };
        let outcome = Outcome::Done(self.report(route.worker));
        self.reply(route, Event::Renewed { worker, sent, outcome });
    }

    /// Returns the report of a worker: its clock, its runs and its ends.
    pub fn report(&mut self, at: usize) -> WorkerReport {
        let runs: Vec<(TaskKey, SimRun)> =
            self.workers[at].running.iter().map(|(task, r)| (*task, r.clone())).collect();
        let running: Vec<RunningTask> =
            runs.iter().map(|(task, r)| self.listed(at, *task, r)).collect();
        let ends = self.workers[at].ends.clone();
        running.iter().for_each(|row| self.record_listed(row.task, &row.checkpoint));
        ends.iter().for_each(|end| self.record_listed(end.task, &end.checkpoint));
        let worker = &self.workers[at];
        let clock = WorkerClock(self.now + worker.clock_offset);
        WorkerReport { worker: Some(worker.info.id.clone()), clock, running, ends }
    }

    /// Returns the entry of a worker's report for one of its runs.
    fn listed(&mut self, at: usize, task: TaskKey, r: &SimRun) -> RunningTask {
        let reading = self.readings.get(&task.job).copied();
        RunningTask {
            task,
            run: r.run,
            checkpoint: self.listed_checkpoint(task, r),
            progress_percent: r.percent(self.now),
            reading: reading.map(|tail| tail * self.workers[at].slowness as u32),
        }
    }
}
