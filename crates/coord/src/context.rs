//! The context of one event: time, settings, buffers and learned models.
//!
//! It is passed to every handler, so that no module reads a clock or global state.

use std::collections::BTreeMap;
use std::sync::Arc;

use gaplock_policy::{estimate, interference, placement, tail};
use gaplock_types::{api, config, ids, sizes, time};
use gaplock_verify::Violation;

use crate::action::{Action, CallId, Decision, ReplyId, StoreCall};

/// Intervals and time limits of leases, commits and membership; all are settings.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How long a record may wait for others to be committed with it.
    pub commit_delay: time::Millis,
    /// How long a command waits for its commit before the answer is "outcome unknown".
    pub commit_timeout: time::Millis,
    /// How often a worker's lease is renewed.
    pub lease_every: time::Millis,
    /// How long tasks keep running on a worker that no owner reaches.
    pub task_ttl: time::Millis,
    /// How long a worker that is still in the host list may be silent before its tasks run
    /// elsewhere, once all leases have ended. Until then the worker may have finished the tasks and
    /// may still report it.
    pub silent_limit: time::Millis,
    /// How long an owner that cannot reach the store keeps renewing leases.
    pub renew_limit: time::Millis,
    /// How often an idle owner checks in the store that no other entry has claimed its partition.
    pub confirm_every: time::Millis,
    /// How often an entry sends heartbeats to its peers.
    pub beat_every: time::Millis,
    /// The membership lease: how long after its last heartbeat an entry counts as alive.
    pub member_ttl: time::Millis,
    /// How often an entry refreshes its record in the store and reads those of its peers.
    pub member_refresh: time::Millis,
    /// How long an entry may serve a configuration without evidence that it is the newest.
    pub config_max_age: time::Millis,
    /// The assumed bound on clock drift, in parts per thousand.
    pub drift_per_mille: u64,
    /// How long a request that must not be repeated stays claimed.
    pub claim_retention: time::Millis,
    /// How long an ended job stays visible.
    pub job_retention: time::Millis,
}

impl Timing {
    /// Returns how long an owner keeps renewing leases once it has sent its release. The owner may
    /// get no answer although the release is stored, and the successor waits exactly this long.
    pub fn release_renew_limit(&self) -> time::Millis {
        self.renew_limit.min(self.silent_limit)
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            commit_delay: time::Millis(20),
            commit_timeout: time::Millis(2_000),
            lease_every: time::Millis(4_000),
            task_ttl: time::Millis(30_000),
            silent_limit: time::Millis(120_000),
            renew_limit: time::Millis(4_500_000),
            confirm_every: time::Millis(10_000),
            beat_every: time::Millis(1_000),
            member_ttl: time::Millis(3_000),
            member_refresh: time::Millis(2_000),
            config_max_age: time::Millis(10_000),
            drift_per_mille: time::DEFAULT_DRIFT_PER_MILLE,
            claim_retention: time::Millis(86_400_000),
            job_retention: time::Millis(3_600_000),
        }
    }
}

/// What a partition is to run. Every entry computes the same from hosts and configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shares {
    /// Replicas of each service that the partition runs.
    pub replicas: BTreeMap<ids::ServiceId, u32>,
    /// The partition's capacity.
    pub capacity: sizes::Resources,
}

/// Time, settings, learned models and reusable buffers, passed to every handler.
pub struct Context {
    /// The monotonic time of the event.
    pub now: time::Instant,
    /// The wall clock in milliseconds since 1970, only for people and for long retention.
    pub unix_ms: u64,
    /// The settings.
    pub timing: Timing,
    /// The configuration in force.
    pub config: Arc<config::Config>,
    /// The capacity of each host, to determine whether a task can ever fit.
    pub fleet: Vec<sizes::Resources>,
    /// The whole fleet's capacity.
    pub fleet_capacity: sizes::Resources,
    /// The partitions without waiting tasks, each with the largest free capacity of one worker.
    pub free_capacity: BTreeMap<ids::PartitionId, sizes::Resources>,
    /// The learned interference between tasks and services that share a host.
    pub interference: interference::InterferenceModel,
    /// Each service's tail latency and the allowance derived from it.
    pub tails: BTreeMap<ids::ServiceId, tail::TailController>,
    /// The learned processor use of tasks.
    pub estimator: estimate::Estimator,
    /// The actions that the event led to, in order; the driver removes them.
    pub actions: Vec<Action>,
    pub(crate) candidates: Vec<placement::Candidate>,
    next_call: u64,
}

impl Context {
    /// Builds a context with the given settings.
    pub fn open(timing: Timing) -> Self {
        Self {
            now: time::Instant(0),
            unix_ms: 0,
            timing,
            config: Arc::default(),
            fleet: Vec::new(),
            fleet_capacity: sizes::Resources::default(),
            free_capacity: BTreeMap::new(),
            interference: interference::InterferenceModel::default(),
            tails: BTreeMap::new(),
            estimator: estimate::Estimator::default(),
            actions: Vec::new(),
            candidates: Vec::new(),
            next_call: 0,
        }
    }

    /// Returns the limit of a service's 99th percentile latency on one worker at present, in
    /// microseconds.
    pub fn p99_limit_us(&self, service: &ids::ServiceId) -> Option<f64> {
        let (_, service) = self.config.placement_of(service)?;
        let allowance = self.tails.get(&service.id).map_or(1.0, tail::TailController::allowance);
        Some(f64::from(service.objective_ms) * 1000.0 * allowance)
    }

    /// Requests a store call from the driver and returns the id that its answer will carry.
    pub fn call(&mut self, req: StoreCall) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.actions.push(Action::Store { call, req });
        call
    }

    /// Answers a command.
    pub fn reply(&mut self, id: ReplyId, reply: api::Reply) {
        self.actions.push(Action::Reply { id, reply });
    }

    /// Logs a decision.
    pub fn log_decision(&mut self, kind: &'static str, subject: String, why: impl Into<String>) {
        self.actions.push(Action::Decision(Decision { kind, subject, why: why.into() }));
    }

    /// Reports a violation that a check found. Returns whether the action may go on.
    pub fn report_check(&mut self, checked: std::result::Result<(), Violation>) -> bool {
        match checked {
            Ok(()) => true,
            Err(violation) => {
                self.actions.push(Action::Violated(violation));
                false
            }
        }
    }

    /// Returns the time after which a lease of `ttl` has ended for certain, with any clock drift
    /// within the assumed bound.
    pub fn with_drift_margin(&self, ttl: time::Millis) -> time::Millis {
        ttl.with_drift(self.timing.drift_per_mille)
    }
}
