//! What an owner knows of one worker, and until when something may still run there.
//!
//! A lease is counted by the worker's clock from a reading that the owner got back earlier
//! (`seen`), so a renewal that is delayed in the network or in a frozen process never lasts longer
//! than the owner reckons. [`Link::alive_until`] is the owner's bound, by its own clock.

use std::collections::BTreeMap;

use gaplock_chart::table::upstream;
use gaplock_policy::{guard, interference};
use gaplock_types::{ids, time, wire};

use crate::context::Context;

/// Unanswered lease requests after which a worker counts as silent.
const UNANSWERED_BEFORE_SILENCE: u32 = 3;
/// How long an unanswered lease request may hinder the next one.
const LEASE_CALL_TIMEOUT: time::Millis = time::Millis(3_000);

/// What an owner knows of one run.
#[derive(Debug, Clone, Default)]
pub struct RunView {
    /// Whether a start command is on its way.
    pub in_flight: bool,
    /// Whether the worker said that it runs, or ran.
    pub started: bool,
    /// When the next start command may be sent.
    pub retry_at: time::Instant,
    /// Until when a start command that was sent may still take effect, answered or not: a copy of
    /// it may be on its way. Until then the worker must not forget the run.
    pub valid_until: time::Instant,
    /// Why the worker refused it.
    pub refused: Option<wire::CommandOutcome>,
    /// How it stood at the last report.
    pub progress_ms: u64,
    /// Its last reported checkpoint.
    pub checkpoint_ms: u64,
    /// Whether gaplock is moving it away, and why.
    pub evicting: Option<String>,
    /// The speed that the worker was last told, in thousandths.
    pub speed: u32,
    /// Whether a stop has been sent, and when it may be repeated.
    pub stop_again_at: time::Instant,
    /// When the worker was first known to have it; a lease request sent later must list it.
    pub started_at: time::Instant,
}

impl RunView {
    /// Notes that the worker has the run.
    pub fn mark_started(&mut self, now: time::Instant) {
        if !self.started {
            self.started = true;
            self.started_at = now;
        }
    }
}

/// What an owner knows of one worker.
#[derive(Debug)]
pub struct Link {
    /// The worker as the host list shows it.
    pub host: wire::Host,
    /// Its state in `charts/upstream.chart`.
    pub is: upstream::Is,
    /// Its boot.
    pub boot: Option<wire::Boot>,
    /// When that boot was first seen.
    pub boot_since: time::Instant,
    /// Its clock as last read, and when the reading came in.
    pub seen: Option<(wire::WorkerClock, time::Instant)>,
    /// Until when runs may be alive under leases that this entry renewed.
    pub alive_until: time::Instant,
    /// Whether it has answered under this epoch, which fences every former owner there.
    pub heard: bool,
    /// When the lease request on its way was sent.
    pub asked_at: Option<time::Instant>,
    /// When the next lease request is due.
    pub next_lease: time::Instant,
    /// Lease requests without answer, in a row.
    pub unanswered_leases: u32,
    /// Since when lease requests have gone without answer; the owner's own silence does not count.
    pub missing_since: Option<time::Instant>,
    /// Ended runs to be acknowledged with the next lease request.
    pub acks: Vec<wire::Run>,
    /// Runs assigned here.
    pub runs: BTreeMap<wire::Run, RunView>,
    /// What ran here lately, for matching late measurements.
    pub exposures: interference::ExposureHistory,
    /// The guard of the services here.
    pub guard: guard::TailGuard,
    /// When the last measurement that was taken in was taken.
    pub usage_taken: wire::WorkerClock,
    /// Service requests per measurement window, smoothed.
    pub load: f64,
}

impl Link {
    /// Builds the link to a worker that has not been heard yet; one that the host list shows as
    /// leaving begins so, and gets no new work from a new owner either.
    pub fn open(host: wire::Host) -> Self {
        let is = if host.leaving { upstream::Is::Leaving } else { upstream::Is::Unknown };
        Self {
            host,
            is,
            boot: None,
            boot_since: time::Instant(0),
            seen: None,
            alive_until: time::Instant(0),
            heard: false,
            asked_at: None,
            next_lease: time::Instant(0),
            unanswered_leases: 0,
            missing_since: None,
            acks: Vec::new(),
            runs: BTreeMap::new(),
            exposures: interference::ExposureHistory::default(),
            guard: guard::TailGuard::default(),
            usage_taken: wire::WorkerClock(0),
            load: 0.0,
        }
    }

    /// Moves along the chart; a forbidden event is logged and changes nothing.
    pub fn step(&mut self, cx: &mut Context, on: upstream::On, why: &str) {
        match self.is.step(on) {
            Ok(next) if next != self.is => {
                self.is = next;
                cx.note("worker", format!("{} {next}", self.host.worker), why);
            }
            Ok(_) => {}
            Err(e) => cx.note("chart", self.host.worker.to_string(), e.to_string()),
        }
    }

    /// Tells whether new work may go there.
    pub fn usable(&self) -> bool {
        self.is == upstream::Is::Usable && self.seen.is_some()
    }

    /// Tells whether a lease request is due.
    pub fn lease_due(&self, cx: &Context) -> bool {
        let open = match self.asked_at {
            None => true,
            Some(at) => cx.now.since(at) >= LEASE_CALL_TIMEOUT,
        };
        open && cx.now >= self.next_lease
    }

    /// Builds the next lease request and notes until when it may keep runs alive.
    pub fn ask(
        &mut self,
        cx: &Context,
        partition: ids::PartitionId,
        epoch: ids::Epoch,
        owner: &ids::Member,
    ) -> wire::LeaseRequest {
        if self.asked_at.is_some() {
            self.count_unanswered(cx);
        }
        self.asked_at = Some(cx.now);
        self.next_lease = cx.now + cx.timing.lease_every;
        self.extend(cx);
        wire::LeaseRequest {
            partition,
            epoch,
            owner: owner.clone(),
            boot: self.boot,
            seen: self.seen.map(|(clock, _)| clock),
            ttl_ms: cx.timing.task_ttl.0,
            acked: std::mem::take(&mut self.acks),
        }
    }

    /// Notes that a command based on the last clock reading may keep runs alive.
    pub fn extend(&mut self, cx: &Context) {
        if let Some((_, read_at)) = self.seen {
            self.alive_until = self.alive_until.max(read_at + cx.certain(cx.timing.task_ttl));
        }
    }

    /// Takes in that a lease request had no answer.
    pub fn missed(&mut self, cx: &mut Context) {
        self.asked_at = None;
        self.count_unanswered(cx);
        if self.unanswered_leases >= UNANSWERED_BEFORE_SILENCE {
            self.step(cx, upstream::On::Silence, "no answer to lease requests");
        }
    }

    fn count_unanswered(&mut self, cx: &Context) {
        self.unanswered_leases += 1;
        self.missing_since.get_or_insert(cx.now);
    }

    /// Forgets the worker's silence while the owner itself must not ask.
    pub fn pause(&mut self) {
        self.asked_at = None;
        self.missing_since = None;
    }

    /// Takes in a worker's answer under this entry's epoch. Returns whether it has booted anew.
    pub fn answered(&mut self, cx: &mut Context, reply: &wire::LeaseReply) -> bool {
        self.asked_at = None;
        self.unanswered_leases = 0;
        self.missing_since = None;
        self.heard = true;
        let rebooted = self.boot != Some(reply.boot);
        if rebooted {
            self.boot = Some(reply.boot);
            self.boot_since = cx.now;
            self.guard = guard::TailGuard::default();
            self.exposures = interference::ExposureHistory::default();
            self.usage_taken = wire::WorkerClock(0);
        }
        // An answer that was overtaken by a newer one must not turn the clock back.
        if rebooted || self.seen.is_none_or(|(clock, _)| clock < reply.clock) {
            self.seen = Some((reply.clock, cx.now));
            // From now on a command may rest on this reading.
            self.extend(cx);
        }
        self.step(cx, upstream::On::Answer, "it answered");
        if reply.leaving {
            self.step(cx, upstream::On::Leave, "the worker said that it is leaving");
        } else if self.is == upstream::Is::Leaving && !self.host.leaving {
            self.step(cx, upstream::On::Return, "neither worker nor host list says so any more");
        }
        rebooted
    }
}
