//! The calls between the leader and its workers: their transport, and the faults of the transport.

use gaplock_jobs::TaskKey;
use gaplock_policy::attempts::Execution;
use gaplock_sched::commit_writer::CommitId;
use gaplock_sched::message::{EndSeq, Outcome, Permit, Refusal, Run, WorkerClock, WorkerIx};
use gaplock_sched::permits::StepKey;
use gaplock_sched::{Action, Event};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};
use rand::Rng;

use super::checkpoints::StartCheckpoint;
use super::hosts::HostOrder;
use super::inbox::Listing;
use super::worker::SimWorker;
use super::writes::{Write, WriteNotice};
use super::Simulation;

/// A call of the leader to a worker.
#[derive(Debug, Clone)]
pub enum Call {
    Renew(Renewal),
    Start { task: TaskKey, run: Run, until: WorkerClock, work: Work, checkpoint: StartCheckpoint },
    Stop { task: TaskKey, run: Run },
    Pace { task: TaskKey, run: Run, percent: u32 },
}

/// A renewal on its way to a worker.
#[derive(Debug, Clone, Copy)]
pub struct Renewal {
    /// Ends up to this number are stored, so the worker need not list them any more.
    pub stored: EndSeq,
    /// The end of the new lease by the worker's clock, if the renewal extends the lease.
    pub until: Option<WorkerClock>,
    /// How long the worker may hold its answer back while it has no end to report, in milliseconds.
    pub wait: u64,
    /// How long the leader waits for the answer, in milliseconds.
    pub timeout: u64,
    /// When the leader sent it.
    pub sent: Instant,
}

/// What a started task does.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// The resources that it uses.
    pub takes: Resources,
    /// Whether it is long-running and ends only when it is stopped.
    pub lasting: bool,
    /// When the leader sent the start.
    pub sent: u64,
    /// How long the task runs unless it is long-running, in milliseconds.
    pub ms: u64,
    /// How long the leader waits for the answer to the start, in milliseconds.
    pub timeout: u64,
}

/// Where a call comes from, where it goes, and whether its answer arrives.
#[derive(Debug, Clone, Copy)]
pub struct CallRoute {
    /// The position of the simulated worker.
    pub worker: usize,
    /// The position of the worker in the leader's table.
    pub ix: WorkerIx,
    /// The term in which the call was sent; the leader of a later term does not get the answer.
    pub leader: u64,
    /// Whether the answer arrives; if not, the leader is notified of a timeout separately.
    pub answered: bool,
}

/// An event that is scheduled for a later time.
#[derive(Debug, Clone)]
pub enum Delivery {
    /// A call arrives at a worker.
    ToWorker { route: CallRoute, call: Call, token: u64 },
    /// An event, such as the answer to a call, arrives at the leader.
    ToLeader { event: Event, leader: u64 },
    /// The notice of a host arrives at the present leader.
    ToAnyLeader { event: Event },
    /// The second page of a listing of the inbox is read for a leader.
    SecondPage { listing: Listing, leader: u64, pause: u64 },
    /// A listing of the inbox is complete.
    Listed { listing: Listing, leader: u64 },
    /// A worker answers a renewal that it has held back.
    RenewalAnswerDue { route: CallRoute, sent: Instant },
    /// A maintenance order arrives at a host; the term of its leader may have ended meanwhile.
    ToHost { order: HostOrder, answered: bool },
    /// A commit of the leader arrives at the store.
    ToStore { write: Write, answered: bool },
    /// The directory removes the entry of a crashed worker.
    Unlisted { at: usize },
    /// The host of a crashed worker gets a replacement.
    Replaced { at: usize },
    /// The directory lists a worker that has restarted under its name; `id` is the previous incarnation.
    RestartListed { at: usize, id: ids::WorkerId },
    /// The leader is notified about the commit in flight.
    FromStore { id: CommitId, notice: WriteNotice },
}

/// How long a leader waits for the answer to a stop or a pace, in milliseconds, as the daemon does.
const CALL_TIMEOUT_MS: u64 = 400;

/// How long the advice service takes to answer on which workers a step may run, in milliseconds.
const ADVICE_MS: u64 = 40;

/// How long an answer of the advice service is valid.
const ADVICE_VALID: Millis = Millis(3_000);

/// How late a call without an answer may arrive, in milliseconds. Some arrive after every lease has ended.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;

impl Simulation {
    /// Schedules a delivery after so many milliseconds.
    pub(super) fn send(&mut self, after: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.deliveries.insert((self.now + after, self.next_delivery), delivery);
    }

    /// Carries out the actions that the leader has asked for.
    pub(super) fn carry_out_actions(&mut self) {
        let Some(cx) = &mut self.cx else { return };
        let actions = cx.take_actions();
        for action in self.calls_wait_for_processor(actions) {
            self.carry_out(action);
        }
    }

    /// Carries out one action.
    pub(super) fn carry_out(&mut self, action: Action) {
        let now = Instant(self.now);
        let (worker, call) = match action {
            Action::Renew { worker, stored, until, wait, margin } => {
                let timeout = wait.0 + margin.0;
                let renewal = Renewal { stored, until, wait: wait.0, timeout, sent: now };
                (worker, Call::Renew(renewal))
            }
            Action::Start { worker, task, run, job, until, checkpoint, timeout, .. } => {
                let step = &job.steps[usize::from(task.step)];
                let (takes, lasting, ms) = (step.demand, step.lasting, self.work_ms);
                let work = Work { takes, lasting, sent: now.0, ms, timeout: timeout.0 };
                let checkpoint = checkpoint.map(|text| text.to_string());
                self.check_sent(self.worker_of(worker), task, run);
                (worker, Call::Start { task, run, until, work, checkpoint })
            }
            Action::Stop { worker, task, run } => (worker, Call::Stop { task, run }),
            Action::Pace { worker, task, run, percent } => {
                self.paces_ordered += 1;
                (worker, Call::Pace { task, run, percent })
            }
            Action::Advise { step, workers } => {
                self.answer_advice(step, workers);
                return;
            }
            Action::ListHosts => {
                self.list_hosts();
                return;
            }
            Action::Maintenance { wave, host } => {
                self.send_maintenance_order(wave, host);
                return;
            }
            Action::ConfirmLeadership => return,
        };
        self.send_call(worker, call);
    }

    /// Answers on which workers a step may run: those with an even position.
    fn answer_advice(&mut self, step: StepKey, asked: Vec<WorkerIx>) {
        let even = asked.iter().filter(|ix| ix.0 % 2 == 0);
        let permits = even.map(|&worker| Permit { worker, ticket: "t".into() }).collect();
        let (sent, leader) = (self.instant(), self.term);
        let answer = Some((permits, ADVICE_VALID));
        let event = Event::Advised { step, asked, sent, answer };
        self.send(ADVICE_MS, Delivery::ToLeader { event, leader });
    }

    fn send_call(&mut self, ix: WorkerIx, call: Call) {
        let worker = self.worker_of(ix);
        if matches!(call, Call::Renew(_)) {
            self.renewals.push((self.now, worker));
        }
        let (token, leader) = (self.token, self.term);
        let roll = self.rng.random_range(0..1_000);
        let f = self.faults;
        if self.workers[worker].replaced && !self.workers[worker].partitioned {
            self.record_fault(worker, 0);
            let event = other_incarnation(ix, &call);
            return self.send(1, Delivery::ToLeader { event, leader });
        }
        let reached = self.workers[worker].up && !self.workers[worker].partitioned;
        let lost = roll < f.lost_per_mille || !reached;
        let late = roll >= f.lost_per_mille && roll < f.lost_per_mille + f.late_per_mille;
        let delay = match call {
            Call::Start { .. } => self.workers[worker].next_start_delay_ms.take(),
            Call::Pace { .. } => self.workers[worker].pace_delays_ms.pop_front(),
            _ => None,
        };
        let late = late || delay.is_some();
        let unanswered = lost || late || self.rng.random_range(0..1_000) < f.unanswered_per_mille;
        if unanswered {
            let event = no_answer(ix, &call);
            self.send(timeout_of(&call), Delivery::ToLeader { event, leader });
        }
        if lost {
            return self.record_fault(worker, 0);
        }
        let after = match delay {
            Some(ms) => ms,
            None if late => self.rng.random_range(LATE_MS),
            None => 1,
        };
        if unanswered {
            self.record_fault(worker, after);
        }
        let route = CallRoute { worker, ix, leader, answered: !unanswered };
        self.send(after, Delivery::ToWorker { route, call, token });
    }

    /// Carries out a delivery that is due.
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToLeader { event, leader } if leader == self.term => {
                self.notify_leader(event)
            }
            Delivery::ToLeader { .. } => {}
            Delivery::ToAnyLeader { event } => self.notify_leader(event),
            Delivery::SecondPage { listing, leader, pause } => {
                self.read_second_page(listing, leader, pause);
            }
            Delivery::Listed { listing, leader } => self.handle_listing(listing, leader),
            Delivery::ToStore { write, answered } => self.write_arrives(write, answered),
            Delivery::FromStore { id, notice } => self.notify_of_write(id, notice),
            Delivery::ToWorker { route, call, token } => self.call_arrives(route, call, token),
            Delivery::ToHost { order, answered } => self.carry_out_maintenance(order, answered),
            Delivery::RenewalAnswerDue { route, sent } => self.answer_renewal(route, sent),
            Delivery::Unlisted { at } => self.unlist(at),
            Delivery::Replaced { at } => self.add_replacement(at),
            Delivery::RestartListed { at, id } => self.list_restarted(at, &id),
        }
    }

    /// Lets a call time out whose worker is down or partitioned when it arrives.
    pub(super) fn time_out(&mut self, route: CallRoute, call: &Call) {
        self.record_fault(route.worker, 0);
        if let Some(ix) = self.answer_target(route) {
            let event = no_answer(ix, call);
            self.send(CALL_TIMEOUT_MS, Delivery::ToLeader { event, leader: route.leader });
        }
    }

    /// Sends an answer, which arrives in the next millisecond.
    pub(super) fn reply(&mut self, route: CallRoute, event: Event) {
        self.send(1, Delivery::ToLeader { event, leader: route.leader });
    }

    /// Returns the worker's position in the leader's table if the answer to the call arrives.
    pub(super) fn answer_target(&self, route: CallRoute) -> Option<WorkerIx> {
        route.answered.then_some(route.ix)
    }

    /// Returns the simulated worker for a position in the leader's table.
    fn worker_of(&self, ix: WorkerIx) -> usize {
        let name = self.cx.as_ref().expect("only a leader sends calls").worker(ix).info.id.name();
        let is_named = |w: &SimWorker| w.info.id.name() == name;
        self.workers.iter().position(is_named).expect("the simulation never removes a worker")
    }
}

/// Returns how long the leader waits for the answer to a call.
fn timeout_of(call: &Call) -> u64 {
    match call {
        Call::Renew(renewal) => renewal.timeout,
        Call::Start { work, .. } => work.timeout,
        _ => CALL_TIMEOUT_MS,
    }
}

/// Builds the event for a call that got no answer.
fn no_answer(worker: WorkerIx, call: &Call) -> Event {
    match call {
        Call::Renew(renewal) => {
            Event::Renewed { worker, sent: renewal.sent, outcome: Outcome::Unclear }
        }
        other => answer(worker, other, Outcome::Unclear),
    }
}

/// Builds the event for a call that reached another incarnation of the worker than the one it is meant for.
fn other_incarnation(worker: WorkerIx, call: &Call) -> Event {
    match call {
        Call::Renew(renewal) => {
            let outcome = Outcome::Refused(Refusal::OtherIncarnation);
            Event::Renewed { worker, sent: renewal.sent, outcome }
        }
        other => answer(worker, other, Outcome::Refused(Refusal::OtherIncarnation)),
    }
}

/// Builds the event for the answer to an order.
pub fn answer(worker: WorkerIx, call: &Call, outcome: Outcome<WorkerClock>) -> Event {
    match call {
        Call::Start { task, run, .. } => Event::Started { worker, task: *task, run: *run, outcome },
        Call::Stop { task, run } => Event::Stopped { worker, task: *task, run: *run, outcome },
        Call::Pace { task, run, percent } => Event::Paced {
            worker,
            task: *task,
            run: *run,
            percent: *percent,
            execution: match outcome {
                Outcome::Done(_) => Execution::Done,
                Outcome::Refused(_) | Outcome::NotSent => Execution::NotDone,
                Outcome::Unclear => Execution::Unknown,
            },
        },
        Call::Renew(_) => {
            unreachable!("a renewal is answered with a worker report, not with a clock")
        }
    }
}
