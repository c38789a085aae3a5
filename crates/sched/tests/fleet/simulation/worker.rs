//! The simulated worker: it carries out orders under leases and a fencing token, lists the ends of its runs
//! until they are acknowledged, and ends all runs when its lease lapses.

use std::collections::{BTreeMap, VecDeque};

use gaplock_jobs::{Step, TaskKey};
use gaplock_sched::message::{
    EndCause, EndSeq, Outcome, Refusal, Run, RunEnd, WorkerClock, WorkerInfo,
};
use gaplock_sched::Event;
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use rand::Rng;

use super::calls::{self, Call, CallRoute, Delivery, Work};
use super::checkpoints::{CheckpointState, StartCheckpoint};
use super::{Simulation, SERVICE};

/// How long after a change of a worker's capacity a start may still be sent by the previous capacity, in
/// milliseconds: the users of the platform count a reduced capacity as in force 3 s and a heartbeat later.
const RESIZE_EFFECTIVE_MS: u64 = 3_000;

/// How long the directory still lists the previous incarnation of a worker that has restarted, in milliseconds.
const RESTART_LISTED_AFTER_MS: u64 = 800;

/// A run at a simulated worker.
#[derive(Debug, Clone)]
pub(super) struct SimRun {
    /// The resources that it uses.
    takes: Resources,
    /// Its run number.
    pub(super) run: Run,
    /// When its work began.
    pub(super) began: u64,
    /// When its work ends, by the virtual clock; unset for a long-running task.
    ends_at: Option<u64>,
    /// Its state that concerns checkpoints.
    pub(super) checkpoint_state: CheckpointState,
    /// Whether it ends as failed.
    fails: bool,
    /// When its stop is complete; unset while it is not being stopped.
    stops_at: Option<u64>,
    /// When it crashes its worker, if it does.
    crashes_at: Option<u64>,
    /// Its pace in percent.
    pub(super) pace: u32,
}

impl SimRun {
    /// Returns the progress of the work at `now`, in percent; a long-running task is ready at once.
    pub(super) fn percent(&self, now: u64) -> u32 {
        let Some(end) = self.ends_at else { return 100 };
        let whole = (end - self.began).max(1);
        (now.min(end) - self.began).saturating_mul(100).div_euclid(whole) as u32
    }
}

/// How many workers there are in one failure domain: two racks.
const DOMAIN_WORKERS: usize = 8;

/// Returns the failure domain of the worker at a position.
pub fn domain_of(at: usize) -> ids::DomainId {
    ids::DomainId(format!("hall-{}", at / DOMAIN_WORKERS))
}

/// One incarnation of a worker.
#[derive(Debug)]
pub struct SimWorker {
    /// Its entry in the directory.
    pub info: WorkerInfo,
    /// Whether it runs: unset after a crash.
    pub up: bool,
    /// Whether it carries out starts beyond its capacity.
    pub ignores_capacity: bool,
    /// When its capacity last changed.
    pub(super) resized: u64,
    /// Whether another incarnation answers at its address.
    pub replaced: bool,
    /// Whether it is partitioned: no call gets through in either direction.
    pub partitioned: bool,
    /// Whether every run fails.
    pub failing: bool,
    /// Whether it refuses every call as unhealthy, without carrying it out.
    pub unhealthy: bool,
    /// Whether it refuses a start as late by its own lease instead of the lease that the start carries.
    pub checks_own_lease: bool,
    /// How many of a thousand calls it refuses as unhealthy.
    pub refuses_per_mille: u32,
    /// Whether it refuses all stops as unhealthy.
    pub refuses_stops: bool,
    /// Whether it refuses starts that carry a checkpoint as invalid.
    pub refuses_checkpoints: bool,
    /// Whether it refuses all starts as invalid.
    pub refuses_starts: bool,
    /// How many starts it has refused as invalid.
    pub invalid_starts: u64,
    /// How long a stop takes, in milliseconds.
    pub stop_ms: u64,
    /// How many stops have arrived.
    pub stops: u64,
    /// If set, the next start gets no answer and arrives after so many milliseconds.
    pub next_start_delay_ms: Option<u64>,
    /// The next orders to change a pace get no answer, and each arrives after so many milliseconds.
    pub pace_delays_ms: VecDeque<u64>,
    /// How many times as long as elsewhere work takes.
    pub slowness: u64,
    /// The runs that go on.
    pub(super) running: BTreeMap<TaskKey, SimRun>,
    /// The ends that the leader has not acknowledged yet.
    pub(super) ends: Vec<RunEnd>,
    /// The number of the next end.
    pub(super) next_seq: u64,
    /// When each run ended.
    pub(super) ended_at: BTreeMap<EndSeq, u64>,
    /// When its lease was last over.
    pub(super) lease_lapsed_at: u64,
    /// The highest fencing token of any call so far.
    token: u64,
    /// The end of its lease by its own clock.
    lease_until: u64,
    /// The last run of each task that has ended or was stopped here; older ones are refused.
    pub(super) last_ended: BTreeMap<TaskKey, Run>,
    /// How far its clock is ahead of the virtual clock, in milliseconds.
    pub(super) clock_offset: u64,
}

impl SimWorker {
    /// Builds the worker at position `at`, which shares a rack with three others and whose clock
    /// differs from all other clocks.
    pub fn new(id: &str, at: usize) -> Self {
        let info = WorkerInfo {
            id: id.into(),
            addr: format!("{id}:1"),
            service: SERVICE.into(),
            domain: domain_of(at),
            labels: vec![format!("r{}", at / 4)],
            capacity: Resources::new(8_000, 16_000, 0),
            draining: false,
            remaining: None,
        };
        Self {
            info,
            up: true,
            ignores_capacity: false,
            resized: 0,
            replaced: false,
            partitioned: false,
            failing: false,
            unhealthy: false,
            checks_own_lease: false,
            refuses_per_mille: 0,
            refuses_stops: false,
            refuses_checkpoints: false,
            refuses_starts: false,
            invalid_starts: 0,
            stop_ms: 0,
            stops: 0,
            next_start_delay_ms: None,
            pace_delays_ms: VecDeque::new(),
            slowness: 1,
            running: BTreeMap::new(),
            ends: Vec::new(),
            next_seq: 1,
            ended_at: BTreeMap::new(),
            lease_lapsed_at: 0,
            token: 0,
            lease_until: 0,
            last_ended: BTreeMap::new(),
            clock_offset: 5_000 * at as u64,
        }
    }
}

impl SimWorker {
    /// Ends all faults that a test has set for this worker, except a crash.
    pub(super) fn recover(&mut self) {
        (self.partitioned, self.failing, self.unhealthy, self.checks_own_lease) =
            (false, false, false, false);
        (self.refuses_stops, self.refuses_checkpoints, self.refuses_starts) = (false, false, false);
        self.refuses_per_mille = 0;
        self.next_start_delay_ms = None;
    }

    /// Returns whether a task of a step fits here, and the worker is up, not replaced and not draining.
    pub(super) fn has_capacity_for(&self, step: &Step) -> bool {
        let taken = self.running.values().fold(Resources::default(), |sum, r| sum.plus(&r.takes));
        let stays = self.up && !self.replaced && !self.info.draining;
        stays && self.info.capacity.holds(&taken.plus(&step.demand))
    }
}

impl Simulation {
    /// Restarts a worker under its name: it has no runs, and its list of ends and its clock are reset. Calls on
    /// their way to it that get no answer are dropped. The directory lists the new incarnation some time later.
    pub fn restart_worker(&mut self, at: usize) {
        let is_dropped = |route: &CallRoute| route.worker == at && !route.answered;
        self.deliveries
            .retain(|_, d| !matches!(d, Delivery::ToWorker { route, .. } if is_dropped(route)));
        self.restart_worker_keeping_calls(at);
    }

    /// Restarts a worker under its name; its new incarnation receives the unanswered calls that are on their
    /// way to the previous one.
    pub fn restart_worker_keeping_calls(&mut self, at: usize) {
        self.record_fault(at, RESTART_LISTED_AFTER_MS);
        let mut info = self.workers[at].info.clone();
        let previous = info.id.clone();
        info.id = ids::WorkerId::of(&previous.name(), Some(self.now));
        (info.draining, info.remaining) = (false, None);
        self.workers[at] = SimWorker { info, ..SimWorker::new("", at) };
        self.send(RESTART_LISTED_AFTER_MS, Delivery::RestartListed { at, id: previous });
    }

    /// Lists a worker that has restarted, in place of its previous incarnation.
    pub(super) fn list_restarted(&mut self, at: usize, previous: &ids::WorkerId) {
        self.notify_leader(Event::Unlisted(previous.clone()));
        self.list_again(at);
    }

    /// Crashes workers whose crashing tasks are due to crash them, and ends the runs whose work, stop or
    /// lease is over.
    pub(super) fn step_workers(&mut self) {
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if !worker.up {
                continue;
            }
            let crash = |r: &SimRun| r.crashes_at.is_some_and(|at| at <= self.now);
            let crashing_task =
                worker.running.iter().find(|(_, r)| crash(r)).map(|(task, _)| *task);
            if let Some(task) = crashing_task {
                self.crash_by_task(at, task);
                continue;
            }
            let lapsed = self.now + worker.clock_offset >= worker.lease_until;
            if lapsed {
                self.workers[at].lease_lapsed_at = self.now;
            }
            let worker = &self.workers[at];
            let ended = worker.running.iter().filter(|(_, r)| {
                let due = |at: Option<u64>| at.is_some_and(|at| at <= self.now);
                lapsed || due(r.ends_at) || due(r.stops_at)
            });
            let now = self.now;
            let stopped = |r: &SimRun| r.stops_at.is_some_and(|at| at <= now);
            let ended: Vec<(TaskKey, bool, bool)> =
                ended.map(|(t, r)| (*t, r.fails, stopped(r))).collect();
            let any_ended = !ended.is_empty();
            for (task, fails, stopped) in ended {
                let cause = match (lapsed, fails) {
                    (true, _) => EndCause::Lapsed,
                    _ if stopped => EndCause::Stopped,
                    (false, true) => EndCause::Failed,
                    (false, false) => EndCause::Done,
                };
                self.end(at, task, cause);
            }
            if any_ended {
                self.wake_renewal(at);
            }
        }
    }

    /// Handles a call that has arrived at a worker.
    pub(super) fn call_arrives(&mut self, route: CallRoute, call: Call, token: u64) {
        let at = route.worker;
        if !self.workers[at].up || self.workers[at].partitioned {
            return self.time_out(route, &call);
        }
        let is_stop = matches!(call, Call::Stop { .. });
        self.workers[at].stops += u64::from(is_stop);
        if route.answered && (self.refuses_call(at) || is_stop && self.workers[at].refuses_stops) {
            return self.refuse(route, &call);
        }
        let clock = self.now + self.workers[at].clock_offset;
        let fenced = token < self.workers[at].token;
        self.workers[at].token = self.workers[at].token.max(token);
        if let Call::Renew(renewal) = call {
            return self.renew(route, renewal, fenced);
        }
        let outcome =
            if fenced { Err(Refusal::Fenced) } else { self.carry_out_order(at, &call, clock) };
        let Some(ix) = self.answer_target(route) else { return };
        let outcome = match outcome {
            Ok(()) => Outcome::Done(WorkerClock(clock)),
            Err(refusal) => Outcome::Refused(refusal),
        };
        self.reply(route, calls::answer(ix, &call, outcome));
    }

    /// Returns whether a worker refuses a call as unhealthy. This does not concern calls that are carried out
    /// late without an answer: the worker accepted these before.
    fn refuses_call(&mut self, at: usize) -> bool {
        let per_mille = self.faults.unhealthy_per_mille.max(self.workers[at].refuses_per_mille);
        self.workers[at].unhealthy || per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    /// Refuses a call as unhealthy, without carrying it out.
    fn refuse(&mut self, route: CallRoute, call: &Call) {
        self.record_fault(route.worker, 0);
        let Some(worker) = self.answer_target(route) else { return };
        let event = match call {
            Call::Renew(renewal) => {
                let outcome = Outcome::Refused(Refusal::Unwell);
                Event::Renewed { worker, sent: renewal.sent, outcome }
            }
            order => calls::answer(worker, order, Outcome::Refused(Refusal::Unwell)),
        };
        self.reply(route, event);
    }

    /// Extends a worker's lease to `until`, but not beyond the longest lease.
    pub(super) fn extend_lease(&mut self, at: usize, until: WorkerClock) {
        let worker = &mut self.workers[at];
        let clock = self.now + worker.clock_offset;
        let latest = clock + self.settings.lease_max.0;
        worker.lease_until = worker.lease_until.max(until.0.min(latest));
    }

    /// Carries out a start, a stop or a change of pace at a worker.
    fn carry_out_order(&mut self, at: usize, call: &Call, clock: u64) -> Result<(), Refusal> {
        match call {
            Call::Start { task, run, until, work, checkpoint } => {
                self.extend_lease(at, *until);
                self.start(at, (*task, *run), *until, *work, checkpoint, clock)
            }
            Call::Stop { task, run } => {
                let worker = &mut self.workers[at];
                let last = worker.last_ended.entry(*task).or_default();
                *last = (*last).max(*run);
                let over = self.now + worker.stop_ms;
                let mut at_once = false;
                if let Some(r) = worker.running.get_mut(task).filter(|r| r.run == *run) {
                    at_once = worker.stop_ms == 0;
                    r.stops_at.get_or_insert(over);
                }
                if at_once {
                    self.end(at, *task, EndCause::Stopped);
                }
                Ok(())
            }
            Call::Pace { task, run, percent } => {
                let running = self.workers[at].running.get_mut(task);
                if let Some(r) = running.filter(|r| r.run == *run) {
                    r.pace = *percent;
                }
                Ok(())
            }
            Call::Renew(_) => Ok(()),
        }
    }

    /// Carries out a start, or returns why the worker refuses it.
    fn start(
        &mut self,
        at: usize,
        (task, run): (TaskKey, Run),
        until: WorkerClock,
        work: Work,
        checkpoint: &StartCheckpoint,
        clock: u64,
    ) -> Result<(), Refusal> {
        self.check_start_checkpoint(task, run, checkpoint);
        let worker = &mut self.workers[at];
        if worker.refuses_starts || worker.refuses_checkpoints && checkpoint.is_some() {
            worker.invalid_starts += 1;
            return Err(Refusal::Invalid);
        }
        let worker = &self.workers[at];
        if worker.running.get(&task).is_some_and(|r| r.run == run) {
            return Ok(());
        }
        let lease_end = if worker.checks_own_lease { worker.lease_until } else { until.0 };
        if lease_end <= clock {
            return Err(Refusal::Late);
        }
        let is_old = worker.last_ended.get(&task).is_some_and(|last| run <= *last);
        if is_old || worker.running.contains_key(&task) {
            return Err(Refusal::OldRun);
        }
        let taken: u32 = worker.running.values().map(|r| r.takes.cpu.0).sum();
        let cores = taken + work.takes.cpu.0;
        let exceeds_capacity = cores > worker.info.capacity.cpu.0;
        if exceeds_capacity && !worker.ignores_capacity {
            return Err(Refusal::Room);
        }
        if exceeds_capacity && work.sent >= worker.resized + RESIZE_EFFECTIVE_MS {
            self.violations
                .push(format!("{}: {task} starts beyond the capacity of worker {at}", self.now));
        }
        self.check_start(at, task);
        self.check_evacuated(at, task, work.sent);
        self.check_leaving(at, task, work.sent);
        self.count_start(task);
        self.starts += 1;
        let fails = self.workers[at].failing
            || self.rng.random_range(0..1_000) < self.faults.failing_per_mille;
        let checkpoint_state = self.resume(task, checkpoint, self.workers[at].slowness);
        let left = work.ms.saturating_sub(checkpoint_state.from_ms) * self.workers[at].slowness;
        let ends_at = if work.lasting { None } else { Some(self.now + left) };
        let ends_at = if fails { Some(self.now + 50) } else { ends_at };
        let began = self.now;
        let (takes, stops_at) = (work.takes, None);
        let crashes_at = self.crashes.crash_after_ms(task).map(|ms| began + ms);
        let sim_run = SimRun {
            takes,
            run,
            began,
            ends_at,
            checkpoint_state,
            fails,
            stops_at,
            crashes_at,
            pace: 100,
        };
        self.workers[at].running.insert(task, sim_run);
        Ok(())
    }

    /// Ends a run and adds the end to the worker's list.
    fn end(&mut self, at: usize, task: TaskKey, cause: EndCause) {
        let Some(sim_run) = self.workers[at].running.remove(&task) else { return };
        let checkpoint = self.last_checkpoint(task, &sim_run, cause);
        let worker = &mut self.workers[at];
        let last = worker.last_ended.entry(task).or_default();
        *last = (*last).max(sim_run.run);
        let seq = EndSeq(worker.next_seq);
        worker.next_seq += 1;
        worker.ended_at.insert(seq, self.now);
        worker.ends.push(RunEnd { seq, task, run: sim_run.run, cause, checkpoint });
        match cause {
            EndCause::Done => {
                self.done.insert(task);
            }
            EndCause::Failed => *self.failed.entry(task).or_default() += 1,
            _ => {}
        }
    }
}
