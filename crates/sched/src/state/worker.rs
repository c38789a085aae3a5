//! What the leader knows about one worker: its clock, its leases, and what it runs.

use std::collections::BTreeMap;

use gaplock_jobs::TaskKey;
use gaplock_overload::account::{ClassIx, CoreMillis};
use gaplock_policy::attempts::CallAttempts;
use gaplock_types::sizes::{MilliCores, Resources};
use gaplock_types::time::{Instant, Millis};
use rustc_hash::FxHashMap;

use crate::interface::message::{EndSeq, Run, WorkerClock, WorkerInfo, WorkerIx};
use crate::state::abandoned_start::AbandonedStart;
use crate::state::checkpoint::Checkpoint;
use crate::state::class_shares::{ClassPriority, ReservedCpu};
use crate::state::interference_model::{Column, Row};
use crate::state::pace_orders::PaceOrders;
use crate::state::rates::{ProgressSample, Speed};
use crate::state::trial::Trial;

/// The run times for which a worker's spare capacity is kept. A longer task counts with the last
/// one, which covers the whole period of the loads observed. Many estimates are too low: with 1 s as
/// the first run time, serving tasks were over their target 2 to 10 % longer in simulated days.
pub const RUN_TIMES: [Millis; 4] = [Millis(1_500), Millis(2_500), Millis(5_000), Millis(10_000)];

/// The progress in percent at which a long-running task is ready.
pub const READY_PERCENT: u32 = 100;

/// What the leader believes about a run at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start has been sent.
    Starting,
    /// The start got no answer and is being repeated.
    Uncertain,
    /// The worker confirmed the run.
    Running,
    /// A stop has been sent.
    Stopping,
}

/// A run at a worker.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The run.
    pub run: Run,
    /// The phase that the run is in.
    pub phase: Phase,
    /// The resources that the run reserves on the worker.
    pub reservation: Resources,
    /// The class and the priority of the work.
    pub class: ClassPriority,
    /// The run's role among the runs on the worker.
    pub role: TaskRole,
    /// The processor demand of a best-effort task, in thousandths of a core; 0 for others.
    pub best_effort_millicores: u32,
    /// Where the run counts in the load account.
    pub load_class: ClassIx,
    /// When the run was first ordered here from the beginning of its task. Unset for a run that
    /// resumes from a checkpoint or was found at the worker, since its time is not that of the
    /// whole task.
    pub began_at: Option<Instant>,
    /// When the order in force was sent.
    pub ordered_at: Instant,
    /// When the stop is sent again, unless the end of the run is seen before.
    pub resend_stop_at: Instant,
    /// How often its stop was refused.
    pub stop_refusals: u32,
    /// When its first stop was sent.
    pub stopping_since: Instant,
    /// When the worker confirmed that the run is or was there; unset before.
    pub confirmed: Option<Instant>,
    /// When the worker confirmed a stop, after which it refuses the run forever; unset before.
    pub stop_confirmed: Option<Instant>,
    /// The checkpoint that every attempt of its start carries; also unset for a run that a previous
    /// leader started.
    pub resumes_from: Option<Checkpoint>,
    /// The attempts of its start.
    pub attempts: CallAttempts,
    /// The pace that was last put in force, in percent of full speed.
    pub pace: u32,
    /// Whether an order for another pace is in flight.
    pub pace_order_in_flight: bool,
    /// The pace orders sent for this run, and whether the pace in force is known.
    pub pace_orders: PaceOrders,
    /// The progress of the run in percent.
    pub progress_percent: u32,
    /// The worker's last reading: tail latency in milliseconds or processor time in use.
    pub reading: Option<u32>,
    /// The sample from which the run's rate is computed next.
    pub progress_sample: Option<ProgressSample>,
    /// Since when a serving task's readings have been above its target.
    pub over_target_since: Option<Instant>,
    /// Since when a best-effort task has been slowed down a lot.
    pub slowed_since: Option<Instant>,
}

impl Slot {
    /// Returns the run's processor demand, whether it reserves processors or not.
    pub fn demand(&self) -> MilliCores {
        MilliCores(self.reservation.cpu.0.saturating_add(self.best_effort_millicores))
    }

    /// Returns the work of a run that is done now, if the run did all the work of its task.
    pub fn work_done(&self, now: Instant) -> Option<CoreMillis> {
        Some(CoreMillis::of_task(self.demand(), now.since(self.began_at?)))
    }
}

/// The role of a run among the runs on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskRole {
    /// It is neither a serving nor a best-effort task.
    Plain,
    /// It serves users of its own, and its tail latency has a target.
    Serving {
        /// Its image.
        row: Row,
        /// The target for its tail latency in milliseconds.
        target_ms: u32,
    },
    /// It uses processors that the others leave idle.
    Filling(Column),
}

/// How the directory lists a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// It accepts tasks.
    Ready,
    /// It is leaving, and has at least a given time left.
    Draining {
        /// When the leader first saw it draining.
        since: Instant,
        /// The shortest time that it has left when it was first seen draining.
        remaining: Millis,
    },
    /// Its entry does not have the form in which workers write it. It gets no tasks, and keeps
    /// those that it has.
    Unreadable,
    /// It has not been listed since a given time. It may be about to end without having announced
    /// it, may have lost its connection to the directory, or may be dead.
    Absent {
        /// When the leader first saw it missing.
        since: Instant,
    },
}

/// The state of the renewal call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewal {
    /// None is in flight; the next one is due at this time.
    Due(Instant),
    /// One is in flight.
    InFlight,
}

/// What the leader knows about one worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its description.
    pub info: WorkerInfo,
    /// The most of each resource that it has had under this leader.
    pub largest: Resources,
    /// How the directory lists it.
    pub listing: Listing,
    /// Set once it is proven that this incarnation runs nothing and never will.
    pub terminated: bool,
    /// The previous incarnation of the worker, if this leader knows of one.
    pub previous_incarnation: Option<WorkerIx>,
    /// Set while it is emptied because its host is to go down for maintenance.
    pub emptying: bool,
    /// Set while its failure domain is evacuated.
    pub evacuated: bool,
    /// Whether the stored roster names it as a worker that may get tasks; otherwise it gets none.
    pub in_roster: bool,
    /// Whether its roster record is in the commit in flight.
    pub roster_pending: bool,
    /// Set once the roster record lists everything that may run here, because the worker gets no
    /// tasks.
    pub closed: bool,
    /// Set while the roster does not name the worker, because it runs nothing and gets nothing.
    pub dropped_from_roster: bool,
    /// Its clock when it last answered, with the time of the answer by the leader's clock.
    pub clock: Option<(Instant, WorkerClock)>,
    /// The latest end of leases that it was ever asked to grant.
    pub lease_until: Option<WorkerClock>,
    /// When it first answered under this leader; unset before.
    pub first_answered_at: Option<Instant>,
    /// How many renewals in a row got no report: they were unanswered or refused.
    pub unanswered_renewals: u32,
    /// Whether the last renewal was refused: the worker is unhealthy or overloaded but answers.
    pub last_renewal_refused: bool,
    /// Whether the worker has been refusing a stop for the length of a lease; updated periodically.
    pub refuses_stops: bool,
    /// The state of the renewal call.
    pub renewal: Renewal,
    /// How many starts to this worker are in flight: sent, and neither answered nor known to be
    /// unanswered.
    pub starts_in_flight: usize,
    /// The last end that the leader has recorded.
    pub recorded_up_to: EndSeq,
    /// The last end that is stored.
    pub stored_up_to: EndSeq,
    /// The last end that the worker certainly no longer lists.
    pub acknowledged_up_to: EndSeq,
    /// The last end that the renewal in flight acknowledges.
    pub acknowledging_up_to: EndSeq,
    /// The runs at this worker.
    pub slots: FxHashMap<TaskKey, Slot>,
    /// Abandoned starts: runs that were released and may still begin here. Until the worker refuses
    /// them it gets no tasks.
    pub abandoned_starts: BTreeMap<TaskKey, AbandonedStart>,
    /// The resources that the runs reserve.
    pub used: Resources,
    /// The processors that the runs reserve, by class of work.
    pub reserved_by_class: ReservedCpu,
    /// The processor demand of the best-effort tasks here, in thousandths of a core.
    pub best_effort_millicores: u32,
    /// How much more interference each serving image here tolerates, by its task that tolerates
    /// least, for tasks that run as long as each of the [`RUN_TIMES`].
    pub spare_interference: Vec<(Row, [f64; RUN_TIMES.len()])>,
    /// The share of the processors that more best-effort tasks may use without contending with
    /// serving tasks, for tasks that run as long as each of the [`RUN_TIMES`].
    pub spare_best_effort_share: [f64; RUN_TIMES.len()],
    /// The share of the known best-effort images that would fit here.
    pub fitting_image_share: f64,
    /// When the readings of its runs were last used.
    pub readings_used_at: Instant,
    /// When a best-effort task last ended here.
    pub best_effort_ended_at: Instant,
    /// When a short task last began or ended here.
    pub short_task_changed_at: Option<Instant>,
    /// When a long-running task was last preempted here to make room for short tasks.
    pub preempted_at: Option<Instant>,
    /// Its speed relative to other workers.
    pub speed: Speed,
    /// Failed runs since the last successful one.
    pub failures: u32,
    /// How often the worker has been put in quarantine since the last successful run.
    pub quarantines: u32,
    /// It gets no new tasks before this time.
    pub avoid_until: Instant,
    /// Set while it is reserved for a task that may crash it.
    pub trial: Option<Trial>,
}

impl Worker {
    /// Creates the state of a worker that the leader has just learned of.
    pub fn new(info: WorkerInfo, listing: Listing, now: Instant) -> Self {
        Self {
            largest: info.capacity,
            info,
            listing,
            terminated: false,
            previous_incarnation: None,
            emptying: false,
            evacuated: false,
            in_roster: false,
            roster_pending: false,
            closed: false,
            dropped_from_roster: false,
            clock: None,
            lease_until: None,
            first_answered_at: None,
            unanswered_renewals: 0,
            last_renewal_refused: false,
            refuses_stops: false,
            renewal: Renewal::Due(now),
            starts_in_flight: 0,
            recorded_up_to: EndSeq(0),
            stored_up_to: EndSeq(0),
            acknowledged_up_to: EndSeq(0),
            acknowledging_up_to: EndSeq(0),
            slots: FxHashMap::default(),
            abandoned_starts: BTreeMap::new(),
            used: Resources::default(),
            reserved_by_class: ReservedCpu::default(),
            best_effort_millicores: 0,
            spare_interference: Vec::new(),
            spare_best_effort_share: [1.0; RUN_TIMES.len()],
            fitting_image_share: 1.0,
            readings_used_at: Instant(0),
            best_effort_ended_at: Instant(0),
            short_task_changed_at: None,
            preempted_at: None,
            speed: Speed::default(),
            failures: 0,
            quarantines: 0,
            avoid_until: Instant(0),
            trial: None,
        }
    }

    /// Returns the end of a lease that begins now, by the worker's clock.
    pub fn lease_end(&self, now: Instant, lease: Millis) -> Option<WorkerClock> {
        let (read, clock) = self.clock?;
        Some(WorkerClock(clock.0 + now.since(read).0 + lease.0))
    }

    /// Records the end of a lease that the worker is asked to grant; the latest one is kept.
    pub fn extend_leases(&mut self, until: WorkerClock) {
        self.lease_until = self.lease_until.max(Some(until));
    }

    /// Returns when every lease at this worker has certainly expired, by the leader's clock.
    pub fn leases_expired_at(&self, drift_per_mille: u64) -> Option<Instant> {
        let (read, clock) = self.clock?;
        let left = self.lease_until?.0.saturating_sub(clock.0);
        Some(read + Millis(left).with_drift(drift_per_mille + 1))
    }

    /// Records a reading of the worker's clock.
    pub fn record_clock(&mut self, now: Instant, clock: WorkerClock) {
        self.clock = Some((now, clock));
    }

    /// Adds a run.
    pub fn add_slot(&mut self, task: TaskKey, slot: Slot) {
        self.used = self.used.plus(&slot.reservation);
        self.reserved_by_class.add(slot.class, slot.reservation.cpu);
        self.best_effort_millicores += slot.best_effort_millicores;
        self.slots.insert(task, slot);
    }

    /// Removes a task's run if it is the given one.
    pub fn remove_slot(&mut self, task: TaskKey, run: Run) -> Option<Slot> {
        if self.slots.get(&task).is_none_or(|slot| slot.run != run) {
            return None;
        }
        let slot = self.slots.remove(&task)?;
        self.trial = self.trial.filter(|trial| trial.task != task);
        self.used = self.used.minus(&slot.reservation);
        self.reserved_by_class.remove(slot.class, slot.reservation.cpu);
        self.best_effort_millicores =
            self.best_effort_millicores.saturating_sub(slot.best_effort_millicores);
        Some(slot)
    }

    /// Returns whether the next report may prove that a withdrawn start was never carried out. No
    /// early report is needed for a run that is or was here, since its end answers a waiting
    /// renewal.
    pub fn awaits_withdrawal_proof(&self) -> bool {
        self.slots.values().any(|slot| slot.confirmed.is_none() && slot.stop_confirmed.is_some())
    }

    /// Returns the number up to which the next renewal acknowledges ends. The renewal may reach the
    /// worker's next incarnation, whose ends have the same numbers. So it acknowledges ends only
    /// while they are listed, and none to a worker whose last renewal was unanswered.
    pub fn to_acknowledge(&self) -> EndSeq {
        let needed = self.unanswered_renewals == 0 && self.stored_up_to > self.acknowledged_up_to;
        if needed {
            self.stored_up_to
        } else {
            EndSeq(0)
        }
    }

    /// Returns whether the worker answers, if only with refusals.
    pub fn answers(&self) -> bool {
        self.unanswered_renewals == 0 || self.last_renewal_refused
    }

    /// Returns whether the worker's leases are left to expire. This is so while an abandoned start
    /// may begin under a new lease, and while the expiry of all leases is what frees the task of a
    /// stop that the worker refuses.
    pub fn lets_leases_expire(&self) -> bool {
        !self.abandoned_starts.is_empty() || self.refuses_stops
    }

    /// Returns whether the worker has been refusing a stop for at least `limit`.
    pub fn has_refused_stop_for(&self, now: Instant, limit: Millis) -> bool {
        let is_stuck = |slot: &Slot| {
            let refused = slot.stop_refusals > 0 && slot.stop_confirmed.is_none();
            slot.phase == Phase::Stopping && refused && now.since(slot.stopping_since) >= limit
        };
        self.slots.values().any(is_stuck)
    }

    /// Returns whether the directory does not list the worker.
    pub fn is_absent(&self) -> bool {
        matches!(self.listing, Listing::Absent { .. })
    }

    /// Returns whether best-effort tasks run beside serving tasks.
    pub fn mixes_serving_and_best_effort(&self) -> bool {
        let any_role = |is: fn(&TaskRole) -> bool| self.slots.values().any(|slot| is(&slot.role));
        any_role(|r| matches!(r, TaskRole::Serving { .. }))
            && any_role(|r| matches!(r, TaskRole::Filling(_)))
    }

    /// Returns whether the worker may be given tasks now.
    pub fn accepts_tasks(&self, now: Instant) -> bool {
        !self.terminated
            && !self.emptying
            && !self.evacuated
            && self.in_roster
            && self.listing == Listing::Ready
            && self.unanswered_renewals == 0
            && self.clock.is_some()
            && !self.lets_leases_expire()
            && self.avoid_until <= now
    }
}
