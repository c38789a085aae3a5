//! Simulates the calls from the leader to its workers and their answers.

use gaplock_jobs::TaskKey;
use gaplock_policy::attempts::Execution;
use gaplock_sched::message::{EndSeq, Outcome, Refusal, Run, WorkerClock, WorkerIx};
use gaplock_sched::{Action, Event};
use gaplock_types::time::Instant;

use super::simulation::{SimEvent, Simulation};
use super::worker::{self, PendingRenewal};

/// The time that a call takes to its worker, and an answer back, in milliseconds.
const ONE_WAY_DELAY_MS: u64 = 1;

/// The time after which the leader gives up waiting for an answer, in milliseconds, as in production.
const CALL_TIMEOUT_MS: u64 = 400;

/// The time that a worker takes to stop a run, in milliseconds.
const STOP_DURATION_MS: u64 = 200;

/// A call from the leader to a worker.
#[derive(Debug, Clone)]
pub enum Call {
    /// Renews leases until a time. The worker answers with a report as soon as a run has ended, or after `wait`.
    Renew { stored: EndSeq, until: Option<WorkerClock>, wait: u64, sent: Instant },
    /// Starts a run.
    Start { task: TaskKey, run: Run, until: WorkerClock, saved_ms: u64 },
    /// Stops a run.
    Stop { task: TaskKey, run: Run },
    /// Changes the pace of a run.
    Pace { task: TaskKey, run: Run, percent: u32 },
}

/// The sender and the destination of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallRoute {
    at: usize,
    ix: WorkerIx,
    term: u64,
}

impl Simulation {
    /// Sends the call for an action that the leader has ordered.
    pub(super) fn carry_out_action(&mut self, action: Action) {
        let (ix, call) = match action {
            Action::Renew { worker, stored, until, wait, .. } => {
                let sent = Instant(self.now);
                (worker, Call::Renew { stored, until, wait: wait.0, sent })
            }
            Action::Start { worker, task, run, until, checkpoint, .. } => {
                let saved_ms = checkpoint.and_then(|c| c.parse().ok()).unwrap_or(0);
                (worker, Call::Start { task, run, until, saved_ms })
            }
            Action::Stop { worker, task, run } => (worker, Call::Stop { task, run }),
            Action::Pace { worker, task, run, percent } => {
                (worker, Call::Pace { task, run, percent })
            }
            // These do not arise: no queue asks for advice, no maintenance wave is under way, and no leader
            // doubts its term.
            Action::Advise { .. }
            | Action::ListHosts
            | Action::Maintenance { .. }
            | Action::ConfirmLeadership => return,
        };
        let route = CallRoute { at: self.worker_of(ix), ix, term: self.term };
        self.schedule(self.now + ONE_WAY_DELAY_MS, SimEvent::CallArrives(route, call));
    }

    /// Returns the worker at a position of the leader's table.
    fn worker_of(&mut self, ix: WorkerIx) -> usize {
        let cx = self.cx.as_ref().expect("only a running leader sends calls");
        while self.by_ix.len() < cx.workers.len() {
            let id = &cx.workers[self.by_ix.len()].info.id;
            self.by_ix.push(self.by_id[id]);
        }
        self.by_ix[ix.0 as usize]
    }

    /// Handles a call that has arrived at a worker.
    pub(super) fn deliver_call(&mut self, route: CallRoute, call: Call) {
        let worker = &mut self.workers[route.at];
        if !worker.up {
            let event = answer(route.ix, &call, Outcome::Unclear);
            let limit = self.now + CALL_TIMEOUT_MS;
            return self.schedule(limit, SimEvent::AnswerArrives(route.term, event));
        }
        let fenced = route.term < worker.token;
        worker.token = worker.token.max(route.term);
        let outcome = match fenced {
            true => Err(Refusal::Fenced),
            false => self.carry_out(route, &call),
        };
        let waits = matches!(call, Call::Renew { .. }) && outcome.is_ok();
        if !waits {
            let outcome = match outcome {
                Ok(()) => Outcome::Done(WorkerClock(self.now)),
                Err(refusal) => Outcome::Refused(refusal),
            };
            self.reply(route.term, answer(route.ix, &call, outcome));
        }
    }

    fn reply(&mut self, term: u64, event: Event) {
        self.schedule(self.now + ONE_WAY_DELAY_MS, SimEvent::AnswerArrives(term, event));
    }

    fn carry_out(&mut self, route: CallRoute, call: &Call) -> Result<(), Refusal> {
        match *call {
            Call::Renew { stored, until, wait, sent } => {
                self.renew(route, stored, until, wait, sent);
                Ok(())
            }
            Call::Start { task, run, until, saved_ms } => {
                self.extend_leases(route.at, until);
                self.start(route.at, task, run, until, saved_ms)
            }
            Call::Stop { task, run } => {
                self.stop(route.at, task, run);
                Ok(())
            }
            Call::Pace { task, run, percent } => {
                self.change_worker(route.at, |worker| {
                    if let Some(r) = worker.running.get_mut(&task).filter(|r| r.run == run) {
                        r.pace = percent;
                    }
                });
                Ok(())
            }
        }
    }

    fn renew(
        &mut self,
        route: CallRoute,
        stored: EndSeq,
        until: Option<WorkerClock>,
        wait: u64,
        sent: Instant,
    ) {
        let at = route.at;
        self.workers[at].ends.retain(|end| end.seq > stored);
        if let Some(until) = until {
            self.extend_leases(at, until);
        }
        self.workers[at].pending_renewal =
            Some(PendingRenewal { ix: route.ix, term: route.term, sent });
        if self.workers[at].ends.is_empty() && wait > 0 {
            return self.schedule(self.now + wait, SimEvent::RenewalWaitOver(at, sent));
        }
        self.answer_pending_renewal(at);
    }

    /// Answers the renewal sent at this time if it still waits when its wait limit is over.
    pub(super) fn end_renewal_wait(&mut self, at: usize, sent: Instant) {
        if self.workers[at].pending_renewal.is_some_and(|pending| pending.sent == sent) {
            self.answer_pending_renewal(at);
        }
    }

    /// Answers the renewal that waits at a worker, if any.
    pub(super) fn answer_pending_renewal(&mut self, at: usize) {
        let Some(pending) = self.workers[at].pending_renewal.take() else { return };
        self.change_worker(at, |_| {});
        let report = self.workers[at].report(&self.load, self.now);
        let (worker, sent, outcome) = (pending.ix, pending.sent, Outcome::Done(report));
        self.reply(pending.term, Event::Renewed { worker, sent, outcome });
    }

    /// Drops the renewal that waits at a worker, if any. The leader's call then times out.
    pub(super) fn drop_pending_renewal(&mut self, at: usize) {
        let Some(pending) = self.workers[at].pending_renewal.take() else { return };
        let (worker, sent, outcome) = (pending.ix, pending.sent, Outcome::Unclear);
        let event = Event::Renewed { worker, sent, outcome };
        self.schedule(self.now + CALL_TIMEOUT_MS, SimEvent::AnswerArrives(pending.term, event));
    }

    fn start(
        &mut self,
        at: usize,
        task: TaskKey,
        run: Run,
        until: WorkerClock,
        saved_ms: u64,
    ) -> Result<(), Refusal> {
        let worker = &self.workers[at];
        if worker.running.get(&task).is_some_and(|r| r.run == run) {
            return Ok(());
        }
        if until.0 <= self.now {
            return Err(Refusal::Late);
        }
        if worker.is_old(task, run) || worker.running.contains_key(&task) {
            return Err(Refusal::OldRun);
        }
        let step = &self.load.job(task.job).job.steps[usize::from(task.step)];
        if !worker.free().holds(&worker::reserved_resources(step)) {
            return Err(Refusal::Room);
        }
        self.tally.started(&self.load, task, at, self.now);
        let (load, now) = (self.load.clone(), self.now);
        self.change_worker(at, |worker| worker.begin(&load, task, run, saved_ms, now));
        Ok(())
    }

    fn stop(&mut self, at: usize, task: TaskKey, run: Run) {
        let worker = &mut self.workers[at];
        worker.refuse_run(task, run);
        let Some(r) = worker.running.get_mut(&task).filter(|r| r.run == run) else { return };
        if !r.stopping {
            r.stopping = true;
            self.schedule(self.now + STOP_DURATION_MS, SimEvent::RunStopped(at, task, run));
        }
    }
}

/// Builds the answer to a call.
fn answer(worker: WorkerIx, call: &Call, outcome: Outcome<WorkerClock>) -> Event {
    match *call {
        Call::Start { task, run, .. } => Event::Started { worker, task, run, outcome },
        Call::Stop { task, run } => Event::Stopped { worker, task, run, outcome },
        Call::Pace { task, run, percent } => {
            let execution = match outcome {
                Outcome::Done(_) => Execution::Done,
                Outcome::Refused(_) | Outcome::NotSent => Execution::NotDone,
                Outcome::Unclear => Execution::Unknown,
            };
            Event::Paced { worker, task, run, percent, execution }
        }
        Call::Renew { sent, .. } => {
            let outcome = match outcome {
                Outcome::Refused(refusal) => Outcome::Refused(refusal),
                // `answer_pending_renewal` answers renewals that were carried out, with a report.
                Outcome::Done(_) | Outcome::NotSent | Outcome::Unclear => Outcome::Unclear,
            };
            Event::Renewed { worker, sent, outcome }
        }
    }
}
