//! What an owner knows about one worker, and until when a run may still be alive on it.
//!
//! A lease is measured on the worker's clock, from a clock reading that the worker returned earlier
//! (`seen`). So a renewal that is delayed in the network or in a frozen process never lasts longer
//! than the owner expects. [`Link::alive_until`] is the owner's bound, on its own clock.

use std::collections::BTreeMap;

use gaplock_chart::charts::upstream;
use gaplock_policy::{guard, interference};
use gaplock_types::{ids, time, wire};

use crate::context::Context;

/// Consecutive unanswered lease requests after which a worker counts as silent.
const UNANSWERED_BEFORE_SILENCE: u32 = 3;
/// How long an unanswered lease request holds back the next one.
const LEASE_CALL_TIMEOUT: time::Millis = time::Millis(3_000);

/// What an owner knows about one run.
#[derive(Debug, Clone, Default)]
pub struct RunView {
    /// Whether a start command is unanswered.
    pub in_flight: bool,
    /// Whether the worker reported that the run has started.
    pub started: bool,
    /// When the next start command may be sent.
    pub retry_at: time::Instant,
    /// Until when a start command that was sent may still take effect. That holds for an answered
    /// command too, since the network may still deliver a duplicate. Until then the worker must not
    /// forget the run.
    pub valid_until: time::Instant,
    /// Why the worker refused the run.
    pub refused: Option<wire::CommandOutcome>,
    /// The progress at the last report, in milliseconds.
    pub progress_ms: u64,
    /// The last reported checkpoint, in milliseconds of work.
    pub checkpoint_ms: u64,
    /// The reason for the eviction, if gaplock is evicting the run.
    pub evicting: Option<String>,
    /// The speed that the worker was last instructed to apply, in thousandths.
    pub speed: u32,
    /// When a stop command may be sent (again); zero if none has been sent.
    pub stop_again_at: time::Instant,
    /// When the owner learned that the worker has the run. The answer to a lease request sent later
    /// must list the run.
    pub started_at: time::Instant,
}

impl RunView {
    /// Records that the worker has the run.
    pub fn mark_started(&mut self, now: time::Instant) {
        if !self.started {
            self.started = true;
            self.started_at = now;
        }
    }
}

/// What an owner knows about one worker.
#[derive(Debug)]
pub struct Link {
    /// The worker's row in the host list.
    pub host: wire::Host,
    /// Its state in `charts/upstream.chart`.
    pub is: upstream::State,
    /// Its boot, which identifies its current incarnation.
    pub boot: Option<wire::Boot>,
    /// When this boot was first seen.
    pub boot_since: time::Instant,
    /// The last reading of its clock, and when that reading arrived.
    pub clock_reading: Option<(wire::WorkerClock, time::Instant)>,
    /// Until when runs may be alive under leases that this entry renewed, on the owner's clock.
    pub alive_until: time::Instant,
    /// Whether it has answered under this epoch. From then on it refuses all previous owners.
    pub heard: bool,
    /// When the unanswered lease request was sent.
    pub lease_sent_at: Option<time::Instant>,
    /// When the next lease request is due.
    pub next_lease: time::Instant,
    /// Consecutive lease requests without an answer.
    pub unanswered_leases: u32,
    /// Since when lease requests have been unanswered. Time in which the owner itself must not send
    /// any does not count.
    pub unanswered_since: Option<time::Instant>,
    /// Ended runs to acknowledge with the next lease request.
    pub acks: Vec<wire::Run>,
    /// The runs assigned to this worker.
    pub runs: BTreeMap<wire::Run, RunView>,
    /// What ran on this worker recently, to attribute late measurements.
    pub exposures: interference::ExposureHistory,
    /// The tail-latency guard of this worker's services.
    pub guard: guard::TailGuard,
    /// When the last measurement that was applied was taken, on the worker's clock.
    pub usage_measured_at: wire::WorkerClock,
    /// The smoothed number of service requests per measurement window.
    pub load: f64,
}

impl Link {
    /// Builds the link to a worker that has not answered yet. A worker that the host list marks as
    /// leaving starts in that state, so that a new owner gives it no new work either.
    pub fn open(host: wire::Host) -> Self {
        let is = if host.leaving { upstream::State::Leaving } else { upstream::State::Unknown };
        Self {
            host,
            is,
            boot: None,
            boot_since: time::Instant(0),
            clock_reading: None,
            alive_until: time::Instant(0),
            heard: false,
            lease_sent_at: None,
            next_lease: time::Instant(0),
            unanswered_leases: 0,
            unanswered_since: None,
            acks: Vec::new(),
            runs: BTreeMap::new(),
            exposures: interference::ExposureHistory::default(),
            guard: guard::TailGuard::default(),
            usage_measured_at: wire::WorkerClock(0),
            load: 0.0,
        }
    }

    /// Applies an event to the state machine. A forbidden event is logged and changes nothing.
    pub fn step(&mut self, cx: &mut Context, on: upstream::Event, why: &str) {
        match self.is.step(on) {
            Ok(next) if next != self.is => {
                self.is = next;
                cx.log_decision("worker", format!("{} {next}", self.host.worker), why);
            }
            Ok(_) => {}
            Err(e) => cx.log_decision("chart", self.host.worker.to_string(), e.to_string()),
        }
    }

    /// Returns whether the worker may get new work.
    pub fn usable(&self) -> bool {
        self.is == upstream::State::Usable && self.clock_reading.is_some()
    }

    /// Returns whether a lease request is due.
    pub fn lease_due(&self, cx: &Context) -> bool {
        let open = match self.lease_sent_at {
            None => true,
            Some(at) => cx.now.since(at) >= LEASE_CALL_TIMEOUT,
        };
        open && cx.now >= self.next_lease
    }

    /// Builds the next lease request and extends [`Self::alive_until`] accordingly.
    pub fn lease_request(
        &mut self,
        cx: &Context,
        partition: ids::PartitionId,
        epoch: ids::Epoch,
        owner: &ids::Member,
    ) -> wire::LeaseRequest {
        if self.lease_sent_at.is_some() {
            self.count_unanswered(cx);
        }
        self.lease_sent_at = Some(cx.now);
        self.next_lease = cx.now + cx.timing.lease_every;
        self.extend_alive_until(cx);
        wire::LeaseRequest {
            partition,
            epoch,
            owner: owner.clone(),
            boot: self.boot,
            seen: self.clock_reading.map(|(clock, _)| clock),
            ttl_ms: cx.timing.task_ttl.0,
            acked: std::mem::take(&mut self.acks),
        }
    }

    /// Extends [`Self::alive_until`] for a command that is based on the last clock reading.
    pub fn extend_alive_until(&mut self, cx: &Context) {
        if let Some((_, read_at)) = self.clock_reading {
            self.alive_until =
                self.alive_until.max(read_at + cx.with_drift_margin(cx.timing.task_ttl));
        }
    }

    /// Handles a lease request that got no answer.
    pub fn lease_unanswered(&mut self, cx: &mut Context) {
        self.lease_sent_at = None;
        self.count_unanswered(cx);
        if self.unanswered_leases >= UNANSWERED_BEFORE_SILENCE {
            self.step(cx, upstream::Event::Silence, "no answer to lease requests");
        }
    }

    fn count_unanswered(&mut self, cx: &Context) {
        self.unanswered_leases += 1;
        self.unanswered_since.get_or_insert(cx.now);
    }

    /// Clears the worker's silence, because the owner itself must not send lease requests now.
    pub fn reset_silence(&mut self) {
        self.lease_sent_at = None;
        self.unanswered_since = None;
    }

    /// Handles a worker's answer under this entry's epoch. Returns whether the worker has rebooted.
    pub fn answered(&mut self, cx: &mut Context, reply: &wire::LeaseReply) -> bool {
        self.lease_sent_at = None;
        self.unanswered_leases = 0;
        self.unanswered_since = None;
        self.heard = true;
        let rebooted = self.boot != Some(reply.boot);
        if rebooted {
            self.boot = Some(reply.boot);
            self.boot_since = cx.now;
            self.guard = guard::TailGuard::default();
            self.exposures = interference::ExposureHistory::default();
            self.usage_measured_at = wire::WorkerClock(0);
        }
        // An answer that arrives after a newer one must not replace the newer clock reading.
        if rebooted || self.clock_reading.is_none_or(|(clock, _)| clock < reply.clock) {
            self.clock_reading = Some((reply.clock, cx.now));
            // Commands may be based on this reading from now on.
            self.extend_alive_until(cx);
        }
        self.step(cx, upstream::Event::Answer, "it answered");
        if reply.leaving {
            self.step(cx, upstream::Event::Leave, "the worker said that it is leaving");
        } else if self.is == upstream::State::Leaving && !self.host.leaving {
            self.step(cx, upstream::Event::Return, "neither worker nor host list says so any more");
        }
        rebooted
    }
}
