//! What the leader knows of one worker: its clock, its leases, and what it runs.

use std::collections::BTreeMap;

use gaplock_jobs::TaskKey;
use gaplock_policy::attempts::CallAttempts;
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};
use rustc_hash::FxHashMap;

use crate::interface::message::{EndSeq, Run, WorkerClock, WorkerInfo, WorkerIx};
use crate::state::abandoned_start::AbandonedStart;
use crate::state::checkpoint::Checkpoint;
use crate::state::interference_model::{Column, Row};
use crate::state::pace_orders::PaceOrders;
use crate::state::rates::{ProgressSample, Speed};
use crate::state::trial::Trial;

/// The percentage at which a lasting task is at work.
pub const READY_PERCENT: u32 = 100;

/// What the leader believes of a run at a worker.
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
    /// How far the order has come.
    pub phase: Phase,
    /// What the run takes of the worker's room.
    pub reservation: Resources,
    /// What the run is to the others on the worker.
    pub role: TaskRole,
    /// The processor demand of a filling task, in thousandths of a core; nothing for others.
    pub best_effort_millicores: u32,
    /// When the order in force was sent.
    pub ordered_at: Instant,
    /// When a stop is sent again, unless the end of the run is seen before.
    pub resend_stop_at: Instant,
    /// How often its stop was refused.
    pub stop_refusals: u32,
    /// When its first stop was sent.
    pub stopping_since: Instant,
    /// When the worker confirmed that the run is or was there; unset before.
    pub confirmed: Option<Instant>,
    /// When the worker confirmed a stop, after which it refuses the run for ever; unset before.
    pub stop_confirmed: Option<Instant>,
    /// What every try of its start brings; unset also for a run that a former leader started.
    pub resumes_from: Option<Checkpoint>,
    /// The tries of its start.
    pub attempts: CallAttempts,
    /// The share of full speed in percent that was last put in force.
    pub pace: u32,
    /// Whether an order for another pace is on its way.
    pub pace_order_in_flight: bool,
    /// The orders of pace so far, and what they leave in doubt.
    pub pace_orders: PaceOrders,
    /// How far the run has come in percent.
    pub progress_percent: u32,
    /// The worker's last reading: tail in milliseconds or processor time in use.
    pub reading: Option<u32>,
    /// The progress from which the run's rate is read next.
    pub progress_sample: Option<ProgressSample>,
    /// Since when a serving task's readings have been over its target.
    pub over_target_since: Option<Instant>,
    /// Since when a filling task has been slowed down a lot.
    pub slowed_since: Option<Instant>,
}

/// What a run is to the others on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskRole {
    /// It neither serves nor fills.
    Plain,
    /// It serves users of its own, whose tail has a target.
    Serving {
        /// Its image.
        row: Row,
        /// The bound on its tail in milliseconds.
        target_ms: u32,
    },
    /// It uses what the others leave.
    Filling(Column),
}

/// How the directory shows a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// It takes work.
    Ready,
    /// It is leaving: when that was first seen, and how long it has at least.
    Draining {
        /// When the leader first saw it draining.
        since: Instant,
        /// How long it stays at least.
        remaining: Millis,
    },
    /// Its entry is not what a worker writes. It gets no tasks, and keeps those that it has.
    Unreadable,
    /// It is not listed since this time. It may be about to end without having said so, may have
    /// lost its way to the directory, or may be dead.
    Absent {
        /// When the leader first saw it missing.
        since: Instant,
    },
}

/// The state of the renewal call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewal {
    /// None is in flight; the next one is due.
    Due(Instant),
    /// One is in flight.
    InFlight,
}

/// What the leader knows of one worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its description.
    pub info: WorkerInfo,
    /// How the directory shows it.
    pub listing: Listing,
    /// Set once it is proven that this incarnation runs nothing and never will.
    pub terminated: bool,
    /// The start of the worker before this one, if this leader knows of one.
    pub previous_incarnation: Option<WorkerIx>,
    /// Set while it is emptied because its host is to go down for upkeep.
    pub emptying: bool,
    /// Set while its failure domain is evacuated.
    pub evacuated: bool,
    /// Whether the roster in the store names it; without that it gets no task.
    pub in_roster: bool,
    /// Whether its roster record is in the commit in flight.
    pub roster_pending: bool,
    /// Set once the roster was told all that may run here, because the worker gets no tasks.
    pub closed: bool,
    /// Set while the roster does not name the worker, because it runs nothing and gets nothing.
    pub dropped_from_roster: bool,
    /// Its clock when it last answered, with our time of the answer.
    pub clock: Option<(Instant, WorkerClock)>,
    /// The latest end of leases that it was ever asked to grant.
    pub lease_until: Option<WorkerClock>,
    /// When it first answered under this leader; unset before.
    pub first_answered_at: Option<Instant>,
    /// Renewals without an answer since the last answer.
    pub unanswered_renewals: u32,
    /// Whether the last renewal was refused: the worker is unwell but answers.
    pub last_renewal_refused: bool,
    /// Whether the worker has refused a stop for the length of a lease; looked at now and then.
    pub refuses_stops: bool,
    /// The renewal call.
    pub renewal: Renewal,
    /// How many starts have been sent here whose answer, or the lack of one, is not known yet.
    pub starts_in_flight: usize,
    /// The last end that the leader has taken in.
    pub recorded_up_to: EndSeq,
    /// The last end that is stored.
    pub stored_up_to: EndSeq,
    /// The last end that the worker certainly lists no more.
    pub acknowledged_up_to: EndSeq,
    /// The last end that the renewal in flight acknowledges.
    pub acknowledging_up_to: EndSeq,
    /// What runs here.
    pub slots: FxHashMap<TaskKey, Slot>,
    /// Runs that were given up and may still begin here; until it refuses them the worker gets
    /// nothing.
    pub abandoned_starts: BTreeMap<TaskKey, AbandonedStart>,
    /// The room that the slots take.
    pub used: Resources,
    /// The processor demand of filling tasks here, in thousandths of a core.
    pub best_effort_millicores: u32,
    /// How much more pressure each serving image here bears, by its task that bears least.
    pub spare_interference: Vec<(Row, f64)>,
    /// The share of the processors that more filling tasks may use without crowding what serves.
    pub spare_best_effort_share: f64,
    /// The share of the known filling images that would find a place here.
    pub fitting_image_share: f64,
    /// When a filling task last ended here.
    pub best_effort_ended_at: Instant,
    /// When a short task last began or ended here.
    pub short_task_changed_at: Option<Instant>,
    /// How fast it is against others.
    pub speed: Speed,
    /// Failed runs since the last good one.
    pub failures: u32,
    /// How often the worker has been put in quarantine without a good run since.
    pub quarantines: u32,
    /// No new tasks before this time.
    pub avoid_until: Instant,
    /// Set while it is kept for a task that may crash it.
    pub trial: Option<Trial>,
}

impl Worker {
    /// Builds the state of a worker that was just heard of.
    pub fn new(info: WorkerInfo, listing: Listing, now: Instant) -> Self {
        Self {
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
            best_effort_millicores: 0,
            spare_interference: Vec::new(),
            spare_best_effort_share: 1.0,
            fitting_image_share: 1.0,
            best_effort_ended_at: Instant(0),
            short_task_changed_at: None,
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

    /// Keeps the latest end of leases.
    pub fn extend_leases(&mut self, until: WorkerClock) {
        self.lease_until = self.lease_until.max(Some(until));
    }

    /// Returns when every lease at this worker is certainly over, by our clock.
    pub fn leases_expired_at(&self, drift_per_mille: u64) -> Option<Instant> {
        let (read, clock) = self.clock?;
        let left = self.lease_until?.0.saturating_sub(clock.0);
        Some(read + Millis(left).with_drift(drift_per_mille + 1))
    }

    /// Takes in a reading of the worker's clock.
    pub fn record_clock(&mut self, now: Instant, clock: WorkerClock) {
        self.clock = Some((now, clock));
    }

    /// Adds a run.
    pub fn add_slot(&mut self, task: TaskKey, slot: Slot) {
        self.used = self.used.plus(&slot.reservation);
        self.best_effort_millicores += slot.best_effort_millicores;
        self.slots.insert(task, slot);
    }

    /// Removes a run if it is the one meant.
    pub fn remove_slot(&mut self, task: TaskKey, run: Run) -> Option<Slot> {
        if self.slots.get(&task).is_none_or(|slot| slot.run != run) {
            return None;
        }
        let slot = self.slots.remove(&task)?;
        self.trial = self.trial.filter(|trial| trial.task != task);
        self.used = self.used.minus(&slot.reservation);
        self.best_effort_millicores =
            self.best_effort_millicores.saturating_sub(slot.best_effort_millicores);
        Some(slot)
    }

    /// Tells whether the next account may prove that a withdrawn start was never carried out. A run
    /// that is or was here needs no such haste: its end answers a waiting renewal.
    pub fn awaits_withdrawal_proof(&self) -> bool {
        self.slots.values().any(|slot| slot.confirmed.is_none() && slot.stop_confirmed.is_some())
    }

    /// Returns up to which end the next renewal acknowledges. It may reach the worker's next start, whose ends have
    /// the same numbers: so it names ends only while they are listed, and none to a worker that has just been
    /// silent.
    pub fn to_acknowledge(&self) -> EndSeq {
        let needed = self.unanswered_renewals == 0 && self.stored_up_to > self.acknowledged_up_to;
        if needed {
            self.stored_up_to
        } else {
            EndSeq(0)
        }
    }

    /// Tells whether the worker answers, if only with refusals.
    pub fn answers(&self) -> bool {
        self.unanswered_renewals == 0 || self.last_renewal_refused
    }

    /// Tells whether the worker's leases are left to end: a run that was given up may begin under a
    /// new one, or the end of all leases is what frees the task of a stop that it refuses.
    pub fn lets_leases_expire(&self) -> bool {
        !self.abandoned_starts.is_empty() || self.refuses_stops
    }

    /// Tells whether the worker has refused a stop for so long.
    pub fn has_refused_stop_for(&self, now: Instant, limit: Millis) -> bool {
        let is_stuck = |slot: &Slot| {
            let refused = slot.stop_refusals > 0 && slot.stop_confirmed.is_none();
            slot.phase == Phase::Stopping && refused && now.since(slot.stopping_since) >= limit
        };
        self.slots.values().any(is_stuck)
    }

    /// Tells whether the directory does not list the worker.
    pub fn is_absent(&self) -> bool {
        matches!(self.listing, Listing::Absent { .. })
    }

    /// Tells whether tasks fill beside tasks that serve.
    pub fn mixes_serving_and_best_effort(&self) -> bool {
        let is = |part: fn(&TaskRole) -> bool| self.slots.values().any(|slot| part(&slot.role));
        is(|p| matches!(p, TaskRole::Serving { .. })) && is(|p| matches!(p, TaskRole::Filling(_)))
    }

    /// Tells whether the worker may be given tasks now.
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
