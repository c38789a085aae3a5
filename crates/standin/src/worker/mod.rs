//! The worker model: leases by its own clock, runs, slots, delayed measurements, and a checker that
//! counts violations of invariants.

mod usage;

use std::collections::{BTreeMap, VecDeque};

use gaplock_types::{ids, sizes, time, wire};
use serde::{Deserialize, Serialize};

/// The configuration of a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerConfig {
    /// The resources that its runs may use together.
    pub capacity: sizes::Resources,
    /// How many service requests it runs at the same time.
    pub slots: u32,
    /// The delay after which a measurement is reported, in milliseconds.
    pub usage_lag_ms: u64,
    /// The window that a measurement covers, in milliseconds.
    pub window_ms: u64,
    /// How much work a run does between automatic checkpoints, in milliseconds.
    pub checkpoint_every_ms: u64,
    /// A service's response time without interference, in microseconds.
    pub service_us: u64,
    /// The seed of the hidden interference coefficients.
    pub seed: u64,
    /// Whether every batch run fails shortly after its start.
    pub bad: bool,
    /// How long after the worker began to leave its owner may still send new work, in milliseconds;
    /// later work is a violation.
    pub leaving_grace_ms: u64,
}

impl Default for WorkerConfig {
    fn default() -> Self {
        Self {
            capacity: sizes::Resources::new(16_000, 60 * 1024, 0),
            slots: 8,
            usage_lag_ms: 3_000,
            window_ms: 1_000,
            checkpoint_every_ms: 1_000,
            service_us: 4_000,
            seed: 1,
            bad: false,
            leaving_grace_ms: 5_000,
        }
    }
}

#[derive(Debug, Clone)]
struct Running {
    kind: wire::TaskKind,
    demand: sizes::Resources,
    work_ms: u64,
    progress_us: u64,
    checkpoint_ms: u64,
    lease_until: wire::WorkerClock,
    speed: u32,
    state: wire::RunState,
    started_ms: u64,
}

/// One interval in which a run was active, by the machine's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunInterval {
    /// The run.
    pub run: wire::Run,
    /// Whether it is a service replica.
    pub service: bool,
    /// When the run started, in milliseconds.
    pub from_ms: u64,
    /// When the run ended, in milliseconds; `None` while it is active.
    pub to_ms: Option<u64>,
    /// The checkpoint that the run resumed from, in milliseconds of work.
    pub resume_ms: u64,
    /// The last checkpoint of the run, in milliseconds of work.
    pub checkpoint_ms: u64,
    /// Whether the run finished its work.
    pub done: bool,
    /// Whether the run finished, but its host was replaced before the owner had acknowledged the
    /// end. The result may then be lost with the host, and running the task again is correct.
    #[serde(default)]
    pub unsure: bool,
}

/// What the checker has counted. All counts except `starts`, `refused_stale`, `refused_late` and
/// `requests` must stay 0.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Starts carried out.
    pub starts: u64,
    /// Renewals, commands and requests refused because of an older epoch.
    pub refused_stale: u64,
    /// Starts refused because their lease had already expired.
    pub refused_late: u64,
    /// Starts refused because they would have exceeded the capacity.
    pub over_capacity: u64,
    /// Requests refused because they would have exceeded the slots.
    pub over_slots: u64,
    /// Connections that would have exceeded the limit.
    pub over_connections: u64,
    /// Starts of a task while another attempt of it was active here.
    pub doubled: u64,
    /// Starts and requests that were sent although the worker had been leaving for longer than the
    /// grace period.
    pub leaving_work: u64,
    /// Service requests answered.
    pub requests: u64,
}

/// The state of a worker.
#[derive(Debug)]
pub struct Model {
    /// The worker's configuration.
    pub traits: WorkerConfig,
    /// The random number that identifies this boot.
    pub boot: wire::Boot,
    booted_at: time::Instant,
    advanced_to: time::Instant,
    epoch: ids::Epoch,
    /// Whether the worker is leaving.
    pub leaving: bool,
    leaving_since: time::Instant,
    runs: BTreeMap<wire::Run, Running>,
    slots_busy: u32,
    /// What the checker has counted.
    pub counts: Counts,
    /// The intervals in which runs were active.
    pub stretches: Vec<RunInterval>,
    usages: VecDeque<wire::Usage>,
    window_from: time::Instant,
    samples: BTreeMap<ids::ServiceId, Vec<u64>>,
}

/// After this much work, every batch run on a bad worker fails.
const BAD_FAILS_AFTER_MS: u64 = 50;

impl Model {
    /// Boots a worker at `now`.
    pub fn open(traits: WorkerConfig, boot: wire::Boot, now: time::Instant) -> Self {
        Self {
            traits,
            boot,
            booted_at: now,
            advanced_to: now,
            epoch: ids::Epoch(0),
            leaving: false,
            leaving_since: now,
            runs: BTreeMap::new(),
            slots_busy: 0,
            counts: Counts::default(),
            stretches: Vec::new(),
            usages: VecDeque::new(),
            window_from: now,
            samples: BTreeMap::new(),
        }
    }

    fn clock(&self, now: time::Instant) -> wire::WorkerClock {
        wire::WorkerClock(now.since(self.booted_at).0)
    }

    /// Sets whether the worker is leaving.
    pub fn set_leaving(&mut self, now: time::Instant, leaving: bool) {
        if leaving && !self.leaving {
            self.leaving_since = now;
        }
        self.leaving = leaving;
    }

    /// Advances time to `now`: runs make progress, finish, or end with their leases.
    pub fn advance(&mut self, now: time::Instant) {
        let mut from = self.advanced_to;
        if now <= from {
            return;
        }
        // After a long pause the steps are coarse, but no run progresses past the end of its lease
        // and no checkpoint passes the end of the work.
        let step_ms = (now.since(from).0 / 200).max(20);
        while from < now {
            let to = time::Instant((from.0 + step_ms).min(now.0));
            self.advance_step(from, to);
            from = to;
        }
        self.advanced_to = now;
        self.record_usage_window(now);
    }

    fn advance_step(&mut self, from: time::Instant, to: time::Instant) {
        let bad = self.traits.bad;
        let every = self.traits.checkpoint_every_ms.max(1);
        let booted_at = self.booted_at;
        for (run, r) in self.runs.iter_mut().filter(|(_, r)| r.state == wire::RunState::Running) {
            let lease_end = booted_at + time::Millis(r.lease_until.0);
            let active_ms = to.min(lease_end).since(from).0;
            r.progress_us += active_ms * u64::from(r.speed);
            let progress_ms = r.progress_us / 1000;
            let batch = matches!(r.kind, wire::TaskKind::Batch(_));
            let ended = if batch && bad && progress_ms >= BAD_FAILS_AFTER_MS {
                Some(wire::RunState::Failed)
            } else if batch && progress_ms >= r.work_ms {
                Some(wire::RunState::Done)
            } else if to >= lease_end {
                Some(wire::RunState::Stopped)
            } else {
                None
            };
            if batch {
                r.checkpoint_ms = r.checkpoint_ms.max(progress_ms / every * every).min(r.work_ms);
            }
            if let Some(state) = ended {
                r.state = state;
                let at = to.min(lease_end);
                end_interval(&mut self.stretches, *run, at, r);
            }
        }
    }

    /// Answers a lease request.
    pub fn lease(&mut self, now: time::Instant, req: &wire::LeaseRequest) -> wire::LeaseReply {
        self.advance(now);
        if req.epoch < self.epoch {
            self.counts.refused_stale += 1;
        } else {
            self.epoch = req.epoch;
            self.renew(req);
            for run in &req.acked {
                if self.runs.get(run).is_some_and(|r| r.state != wire::RunState::Running) {
                    self.runs.remove(run);
                }
            }
        }
        let clock = self.clock(now);
        let visible = clock.0.saturating_sub(self.traits.usage_lag_ms);
        wire::LeaseReply {
            epoch: self.epoch,
            boot: self.boot,
            clock,
            leaving: self.leaving,
            slots_busy: self.slots_busy,
            runs: self.runs.iter().map(|(run, r)| report(*run, r)).collect(),
            usage: self.usages.iter().rev().find(|u| u.taken.0 <= visible).cloned(),
        }
    }

    fn renew(&mut self, req: &wire::LeaseRequest) {
        let (Some(seen), true) = (req.seen, req.boot == Some(self.boot)) else { return };
        let until = wire::WorkerClock(seen.0 + req.ttl_ms);
        for r in self.runs.values_mut().filter(|r| r.state == wire::RunState::Running) {
            r.lease_until = r.lease_until.max(until);
        }
    }

    /// Returns the refusal of a command that a previous owner sent or that is for another boot.
    fn refusal(&mut self, epoch: ids::Epoch, boot: wire::Boot) -> Option<wire::CommandOutcome> {
        if epoch < self.epoch {
            self.counts.refused_stale += 1;
            return Some(wire::CommandOutcome::StaleEpoch);
        }
        (boot != self.boot).then_some(wire::CommandOutcome::OtherBoot)
    }

    /// Answers a start command.
    pub fn start(&mut self, now: time::Instant, req: &wire::StartRequest) -> wire::CommandOutcome {
        self.advance(now);
        if let Some(outcome) = self.refusal(req.epoch, req.boot) {
            return outcome;
        }
        self.epoch = req.epoch;
        if self.runs.contains_key(&req.run) {
            return wire::CommandOutcome::Done;
        }
        let lease_until = wire::WorkerClock(req.seen.0 + req.ttl_ms);
        if self.clock(now) >= lease_until {
            self.counts.refused_late += 1;
            return wire::CommandOutcome::TooLate;
        }
        if self.leaving {
            if now.since(self.leaving_since).0 > self.traits.leaving_grace_ms {
                self.counts.leaving_work += 1;
            }
            return wire::CommandOutcome::Leaving;
        }
        let active = self.runs.iter().filter(|(_, r)| r.state == wire::RunState::Running);
        let used = active.fold(req.demand, |sum, (_, r)| sum.plus(&r.demand));
        if !self.traits.capacity.holds(&used) {
            self.counts.over_capacity += 1;
            return wire::CommandOutcome::NoRoom;
        }
        let doubled = self
            .runs
            .iter()
            .any(|(run, r)| run.task == req.run.task && r.state == wire::RunState::Running);
        self.counts.doubled += u64::from(doubled);
        self.begin_run(now, req, lease_until);
        wire::CommandOutcome::Done
    }

    fn begin_run(
        &mut self,
        now: time::Instant,
        req: &wire::StartRequest,
        lease_until: wire::WorkerClock,
    ) {
        self.counts.starts += 1;
        let running = Running {
            kind: req.kind.clone(),
            demand: req.demand,
            work_ms: req.work_ms,
            progress_us: req.resume_ms * 1000,
            checkpoint_ms: req.resume_ms,
            lease_until,
            speed: 1000,
            state: wire::RunState::Running,
            started_ms: now.0,
        };
        self.stretches.push(RunInterval {
            run: req.run,
            service: matches!(req.kind, wire::TaskKind::Service(_)),
            from_ms: running.started_ms,
            to_ms: None,
            resume_ms: req.resume_ms,
            checkpoint_ms: req.resume_ms,
            done: false,
            unsure: false,
        });
        self.runs.insert(req.run, running);
    }

    /// Answers a stop or throttle command.
    pub fn control(
        &mut self,
        now: time::Instant,
        req: &wire::ControlRequest,
    ) -> wire::CommandOutcome {
        self.advance(now);
        if let Some(outcome) = self.refusal(req.epoch, req.boot) {
            return outcome;
        }
        let Some(r) = self.runs.get_mut(&req.run) else { return wire::CommandOutcome::UnknownRun };
        if r.state != wire::RunState::Running {
            return wire::CommandOutcome::Done;
        }
        match req.control {
            wire::Control::Throttle(speed) => r.speed = speed.min(1000),
            wire::Control::Stop | wire::Control::CheckpointAndStop => {
                if req.control == wire::Control::CheckpointAndStop {
                    r.checkpoint_ms = (r.progress_us / 1000).min(r.work_ms);
                }
                r.state = wire::RunState::Stopped;
                end_interval(&mut self.stretches, req.run, now, r);
            }
        }
        wire::CommandOutcome::Done
    }

    /// Takes a slot for a service request and returns the service time in microseconds.
    ///
    /// # Errors
    /// Returns why the request is refused; it has not run then.
    pub fn begin_request(
        &mut self,
        now: time::Instant,
        epoch: ids::Epoch,
        service: &ids::ServiceId,
    ) -> Result<u64, wire::CommandOutcome> {
        self.advance(now);
        if epoch < self.epoch {
            self.counts.refused_stale += 1;
            return Err(wire::CommandOutcome::StaleEpoch);
        }
        if self.leaving {
            if now.since(self.leaving_since).0 > self.traits.leaving_grace_ms {
                self.counts.leaving_work += 1;
            }
            return Err(wire::CommandOutcome::Leaving);
        }
        let runs_here = self.runs.values().any(|r| {
            r.state == wire::RunState::Running && r.kind == wire::TaskKind::Service(service.clone())
        });
        if !runs_here {
            return Err(wire::CommandOutcome::UnknownRun);
        }
        if self.slots_busy >= self.traits.slots {
            self.counts.over_slots += 1;
            return Err(wire::CommandOutcome::NoRoom);
        }
        self.slots_busy += 1;
        Ok(self.service_time_us(service, now))
    }

    /// Releases a request's slot and records how long the request took.
    pub fn end_request(&mut self, service: &ids::ServiceId, took_us: u64) {
        self.slots_busy = self.slots_busy.saturating_sub(1);
        self.counts.requests += 1;
        self.record_latency(service, took_us);
    }

    /// Returns whether an ended run has not been acknowledged yet.
    pub fn is_unacknowledged(&self, run: &wire::Run) -> bool {
        self.runs.contains_key(run)
    }

    /// Returns the runs that are active now.
    pub fn active_runs(&self) -> impl Iterator<Item = (wire::Run, &wire::TaskKind)> {
        self.runs
            .iter()
            .filter(|(_, r)| r.state == wire::RunState::Running)
            .map(|(run, r)| (*run, &r.kind))
    }
}

fn end_interval(intervals: &mut [RunInterval], run: wire::Run, at: time::Instant, r: &Running) {
    let open = intervals.iter_mut().rev().find(|s| s.run == run && s.to_ms.is_none());
    if let Some(s) = open {
        s.to_ms = Some(at.0);
        s.checkpoint_ms = r.checkpoint_ms;
        s.done = r.state == wire::RunState::Done;
    }
}

fn report(run: wire::Run, r: &Running) -> wire::RunReport {
    wire::RunReport {
        run,
        state: r.state,
        progress_ms: r.progress_us / 1000,
        checkpoint_ms: r.checkpoint_ms,
    }
}
