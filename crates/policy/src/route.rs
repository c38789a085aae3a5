//! Chooses the worker for a service request within exact slots, and refuses early what would be
//! late.
//!
//! The owner of a worker alone hands out its slots, so the count here is exact for its own
//! requests; slots still taken by a former owner's requests are learnt from the worker's lease
//! answer. A waiting request holds no slot. A request that cannot end before its deadline is
//! refused at once, with "not run" and the time to come back.

use std::collections::{BTreeMap, VecDeque};

use gaplock_types::{ids, time};

const SERVICE_TIME_SMOOTHING: f64 = 0.05;
const INITIAL_SERVICE_TIME_MS: f64 = 5.0;
/// The wait may take this share of the time that a request has left.
const MAX_WAIT_SHARE: f64 = 0.8;
/// The longest retry hint, in seconds.
const MAX_RETRY_AFTER_S: u32 = 30;
/// Once the oldest wait has stayed above this many milliseconds, the newest waiter is served first.
const STANDING_QUEUE_MS: u64 = 50;

/// Marks a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A slot that has been handed out; give it back with [`Router::release_slot`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The epoch under which the slot was handed out; the worker refuses older ones.
    pub epoch: ids::Epoch,
    /// The partition.
    pub partition: ids::PartitionId,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it now.
    Slot(Slot),
    /// It waits; [`Router::take_ready`] names it when its turn comes.
    Wait(Ticket),
    /// It cannot end in time.
    Refuse {
        /// When to come back, in seconds.
        after_s: u32,
    },
    /// No worker of this entry runs the service.
    NoWorker,
}

#[derive(Debug)]
struct WorkerSlots {
    epoch: ids::Epoch,
    partition: ids::PartitionId,
    slots: u32,
    own_busy: u32,
    foreign_busy: u32,
    service_time_ms: f64,
    services: Vec<ids::ServiceId>,
    open: bool,
    /// Counts every change of `mine` and `foreign`.
    changes: u64,
}

impl WorkerSlots {
    fn free(&self) -> u32 {
        if !self.open {
            return 0;
        }
        self.slots.saturating_sub(self.own_busy + self.foreign_busy)
    }
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    since: time::Instant,
    deadline: time::Instant,
}

/// Slots, queues and service times of the workers that one entry owns.
#[derive(Debug, Default)]
pub struct Router {
    targets: BTreeMap<ids::WorkerId, WorkerSlots>,
    queues: BTreeMap<ids::ServiceId, VecDeque<Waiting>>,
    service_time_ms: BTreeMap<ids::ServiceId, f64>,
    next_ticket: u64,
    cursor: usize,
}

/// What the router is told about a worker.
#[derive(Debug, Clone)]
pub struct WorkerUpdate {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The partition.
    pub partition: ids::PartitionId,
    /// The owner's epoch.
    pub epoch: ids::Epoch,
    /// Service requests that it works on at once.
    pub slots: u32,
    /// Services with a running replica on it.
    pub services: Vec<ids::ServiceId>,
    /// Whether it takes new requests.
    pub open: bool,
}

impl Router {
    /// Takes in how a worker stands; requests that are out keep their slots.
    pub fn update_worker(&mut self, offer: WorkerUpdate) {
        let t = self.targets.entry(offer.worker).or_insert(WorkerSlots {
            epoch: offer.epoch,
            partition: offer.partition,
            slots: offer.slots,
            own_busy: 0,
            foreign_busy: offer.slots,
            service_time_ms: INITIAL_SERVICE_TIME_MS,
            services: Vec::new(),
            open: false,
            changes: 0,
        });
        t.epoch = offer.epoch;
        t.partition = offer.partition;
        t.slots = offer.slots;
        t.services = offer.services;
        t.open = offer.open;
    }

    /// Takes in how many requests the worker said it was working on.
    ///
    /// Foreign requests can only become fewer, since a former owner's new ones are refused. If
    /// nothing changed here since the question (`changes_then`), the rest is exactly foreign.
    pub fn record_busy(&mut self, worker: &ids::WorkerId, busy: u32, changes_then: u64) {
        if let Some(t) = self.targets.get_mut(worker) {
            let exact = t.changes == changes_then;
            let foreign = if exact { busy.saturating_sub(t.own_busy) } else { busy };
            t.foreign_busy = t.foreign_busy.min(foreign);
        }
    }

    /// Returns the worker's change count, to be kept until its answer to a lease request.
    pub fn changes(&self, worker: &ids::WorkerId) -> u64 {
        self.targets.get(worker).map_or(0, |t| t.changes)
    }

    /// Gives up a request whose answer is still owed: its slot stays taken at the worker.
    pub fn abandon(&mut self, slot: &Slot) {
        if let Some(t) = self.targets.get_mut(&slot.worker) {
            t.changes += 1;
            t.own_busy = t.own_busy.saturating_sub(1);
            t.foreign_busy += 1;
        }
    }

    /// Takes in that this entry no longer owns the partition: nothing new goes to its workers.
    pub fn close_partition(&mut self, partition: ids::PartitionId) {
        for t in self.targets.values_mut().filter(|t| t.partition == partition) {
            t.open = false;
            t.foreign_busy = t.slots;
            t.changes += 1;
        }
    }

    /// Stops sending new requests to a worker, as when it refuses one.
    pub fn close(&mut self, worker: &ids::WorkerId) {
        if let Some(t) = self.targets.get_mut(worker) {
            t.open = false;
        }
    }

    /// Returns the free slots for `service`.
    pub fn free(&self, service: &ids::ServiceId) -> u32 {
        self.serving(service).map(|(_, t)| t.free()).sum()
    }

    /// Returns every service that a worker of this entry runs.
    pub fn services(&self) -> Vec<ids::ServiceId> {
        let all = self.targets.values().filter(|t| t.open).flat_map(|t| t.services.iter());
        let mut services: Vec<_> = all.cloned().collect();
        services.sort();
        services.dedup();
        services
    }

    fn serving<'a>(
        &'a self,
        service: &'a ids::ServiceId,
    ) -> impl Iterator<Item = (&'a ids::WorkerId, &'a WorkerSlots)> {
        self.targets.iter().filter(move |(_, t)| t.open && t.services.contains(service))
    }

    fn take_slot(&mut self, service: &ids::ServiceId) -> Option<Slot> {
        self.cursor = self.cursor.wrapping_add(1);
        let cursor = self.cursor;
        let best = self
            .serving(service)
            .enumerate()
            .filter(|(_, (_, t))| t.free() > 0)
            .min_by(|(i, (_, a)), (j, (_, b))| {
                let cost = |t: &WorkerSlots| {
                    f64::from(t.own_busy + t.foreign_busy + 1) * t.service_time_ms
                };
                let turn = |i: usize| i.wrapping_add(cursor) % 7;
                cost(a).total_cmp(&cost(b)).then(turn(*i).cmp(&turn(*j)))
            })
            .map(|(_, (worker, _))| worker.clone())?;
        let t = self.targets.get_mut(&best)?;
        t.own_busy += 1;
        t.changes += 1;
        Some(Slot { worker: best, epoch: t.epoch, partition: t.partition })
    }

    /// Decides about a request that must end by `deadline`.
    pub fn route(
        &mut self,
        now: time::Instant,
        service: &ids::ServiceId,
        deadline: time::Instant,
    ) -> RouteDecision {
        let slots: u32 = self.serving(service).map(|(_, t)| t.slots).sum();
        if slots == 0 {
            return RouteDecision::NoWorker;
        }
        let time_ms = self.service_time_ms.get(service).copied().unwrap_or(INITIAL_SERVICE_TIME_MS);
        let queued = self.queues.get(service).map_or(0, VecDeque::len);
        if queued == 0 {
            if let Some(slot) = self.take_slot(service) {
                return RouteDecision::Slot(slot);
            }
        }
        let wait_ms = (queued + 1) as f64 * time_ms / f64::from(slots);
        let left_ms = deadline.since(now).0 as f64 - time_ms;
        if wait_ms > left_ms * MAX_WAIT_SHARE {
            let after_s = (wait_ms / 1000.0).ceil() as u32;
            return RouteDecision::Refuse { after_s: after_s.clamp(1, MAX_RETRY_AFTER_S) };
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let waiting = Waiting { ticket, since: now, deadline };
        self.queues.entry(service.clone()).or_default().push_back(waiting);
        RouteDecision::Wait(ticket)
    }

    /// Gives a slot back; `took_ms` is how long the answered request took.
    pub fn release_slot(&mut self, slot: &Slot, service: &ids::ServiceId, took_ms: Option<f64>) {
        if let Some(t) = self.targets.get_mut(&slot.worker) {
            t.own_busy = t.own_busy.saturating_sub(1);
            t.changes += 1;
            if let Some(took) = took_ms {
                t.service_time_ms += SERVICE_TIME_SMOOTHING * (took - t.service_time_ms);
            }
        }
        if let Some(took) = took_ms {
            let mean = self.service_time_ms.entry(service.clone()).or_insert(took);
            *mean += SERVICE_TIME_SMOOTHING * (took - *mean);
        }
    }

    /// Takes a waiting request out, as when its caller left. Returns whether it still waited.
    pub fn remove_waiting(&mut self, service: &ids::ServiceId, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(service) else { return false };
        let before = queue.len();
        queue.retain(|w| w.ticket != ticket);
        queue.len() < before
    }

    /// Names the waiting requests whose turn has come, with their slots, and those that would now
    /// be late (`None`).
    pub fn take_ready(&mut self, now: time::Instant) -> Vec<(Ticket, Option<Slot>)> {
        let services: Vec<_> =
            self.queues.iter().filter(|(_, q)| !q.is_empty()).map(|(s, _)| s.clone()).collect();
        let mut out = Vec::new();
        for service in services {
            self.reject_late(now, &service, &mut out);
            self.serve_queue(now, &service, &mut out);
        }
        out
    }

    fn reject_late(
        &mut self,
        now: time::Instant,
        service: &ids::ServiceId,
        out: &mut Vec<(Ticket, Option<Slot>)>,
    ) {
        let time_ms = self.service_time_ms.get(service).copied().unwrap_or(INITIAL_SERVICE_TIME_MS);
        let latest_start = now + time::Millis(time_ms as u64);
        if let Some(queue) = self.queues.get_mut(service) {
            out.extend(
                queue.iter().filter(|w| w.deadline < latest_start).map(|w| (w.ticket, None)),
            );
            queue.retain(|w| w.deadline >= latest_start);
        }
    }

    fn serve_queue(
        &mut self,
        now: time::Instant,
        service: &ids::ServiceId,
        out: &mut Vec<(Ticket, Option<Slot>)>,
    ) {
        while let Some(oldest) = self.queues.get(service).and_then(VecDeque::front).copied() {
            let Some(slot) = self.take_slot(service) else { return };
            let queue = self.queues.get_mut(service).expect("the queue has a front");
            let standing = now.since(oldest.since).0 > STANDING_QUEUE_MS;
            let next = if standing { queue.pop_back() } else { queue.pop_front() };
            out.extend(next.map(|w| (w.ticket, Some(slot))));
        }
    }
}
