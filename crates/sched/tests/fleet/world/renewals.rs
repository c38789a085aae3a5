//! Renewals at a worker: they extend leases, acknowledge ends, and are answered with an account.

use gaplock_jobs::TaskKey;
use gaplock_sched::message::{
    EndCause, EndSeq, Outcome, Refusal, RunEnd, RunningTask, WorkerClock, WorkerReport,
};
use gaplock_sched::Event;
use gaplock_types::time::Instant;

use super::calls::{Call, CallRoute, Delivery, Renewal};
use super::worker::SimRun;
use super::World;

impl World {
    /// Lets a waiting renewal answer now.
    pub(super) fn wake_renewal(&mut self, at: usize) {
        let waiting = self.deliveries.iter().find(
            |(_, d)| matches!(d, Delivery::RenewalAnswerDue { route, .. } if route.worker == at),
        );
        let Some(key) = waiting.map(|(key, _)| *key) else { return };
        if let Some(delivery) = self.deliveries.remove(&key) {
            self.send(0, delivery);
        }
    }

    pub(super) fn renew(&mut self, route: CallRoute, renewal: Renewal, fenced: bool) {
        let Renewal { stored, until, wait, sent } = renewal;
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

    fn acknowledge(&mut self, at: usize, stored: EndSeq) {
        let ends = std::mem::take(&mut self.workers[at].ends);
        let (noted, left): (Vec<RunEnd>, Vec<RunEnd>) =
            ends.into_iter().partition(|e| e.seq <= stored);
        self.workers[at].ends = left;
        for end in noted {
            match end.cause {
                EndCause::Done => {
                    let came = self.workers[at].ended_at.get(&end.seq).copied().unwrap_or(0);
                    let lapsed = self.workers[at].lease_lapsed_at >= came;
                    let again = self.started_at.get(&end.task).is_some_and(|s| *s > came);
                    if again && !lapsed && !self.allows_copies(end.task) {
                        let now = self.now;
                        let text = format!(
                            "{now}: {} started after its end at {came}, noted later",
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

    /// Answers a renewal with the worker's account of itself.
    pub(super) fn answer_renewal(&mut self, route: CallRoute, sent: Instant) {
        let worker = &self.workers[route.worker];
        if !worker.up || worker.cut {
            let renewal = Renewal { stored: EndSeq(0), until: None, wait: 0, sent };
            return self.time_out(route, &Call::Renew(renewal));
        }
        let Some(worker) = self.answer_target(route) else { return };
        let outcome = Outcome::Done(self.account(route.worker));
        self.reply(route, Event::Renewed { worker, sent, outcome });
    }

    /// Returns a worker's account of itself.
    pub fn account(&mut self, at: usize) -> WorkerReport {
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

    /// Returns the line of a worker's account for one of its runs.
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
