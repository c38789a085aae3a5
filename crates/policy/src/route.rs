//! Chooses the worker for a service request within exact slot counts, and refuses early the
//! requests that would end late.
//!
//! Only the owner of a worker hands out its slots, so the count here is exact for the owner's own
//! requests. The number of slots still taken by requests of a previous owner comes from the
//! worker's lease reply. A waiting request holds no slot. A request that cannot end before its
//! deadline is refused at once, as not run and with the time after which to retry.

use std::collections::{BTreeMap, VecDeque};

use gaplock_types::{ids, time};

/// The weight of one request in the mean service times.
const SERVICE_TIME_SMOOTHING: f64 = 0.05;
/// The service time that is assumed until a request has been measured.
const INITIAL_SERVICE_TIME_MS: f64 = 5.0;
/// The expected wait may take at most this share of the time that a request has left.
const MAX_WAIT_SHARE: f64 = 0.8;
/// The longest time after which a refused caller is asked to retry, in seconds.
const MAX_RETRY_AFTER_S: u32 = 30;
/// Once the oldest request in a queue has waited longer than this many milliseconds, the newest one
/// is served first.
const STANDING_QUEUE_MS: u64 = 50;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A slot that has been handed out; return it with [`Router::release_slot`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The epoch under which the slot was handed out; the worker refuses older ones.
    pub epoch: ids::Epoch,
    /// The partition.
    pub partition: ids::PartitionId,
}

/// The router's decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it now, in this slot.
    Slot(Slot),
    /// It waits; [`Router::take_ready`] returns it when its turn comes.
    Wait(Ticket),
    /// It cannot end before its deadline.
    Refuse {
        /// After how many seconds to retry.
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
    /// Slots taken by this entry's requests.
    own_busy: u32,
    /// Slots taken by abandoned requests and by requests of a previous owner.
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
    workers: BTreeMap<ids::WorkerId, WorkerSlots>,
    queues: BTreeMap<ids::ServiceId, VecDeque<Waiting>>,
    service_time_ms: BTreeMap<ids::ServiceId, f64>,
    next_ticket: u64,
    cursor: usize,
}

/// The current state of a worker, as the router needs it.
#[derive(Debug, Clone)]
pub struct WorkerUpdate {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The partition.
    pub partition: ids::PartitionId,
    /// The owner's epoch.
    pub epoch: ids::Epoch,
    /// How many service requests it can work on at once.
    pub slots: u32,
    /// Services with a running replica on it.
    pub services: Vec<ids::ServiceId>,
    /// Whether it accepts new requests.
    pub open: bool,
}

impl Router {
    /// Updates the state of a worker; requests in progress keep their slots.
    pub fn update_worker(&mut self, update: WorkerUpdate) {
        let t = self.workers.entry(update.worker).or_insert(WorkerSlots {
            epoch: update.epoch,
            partition: update.partition,
            slots: update.slots,
            own_busy: 0,
            foreign_busy: update.slots,
            service_time_ms: INITIAL_SERVICE_TIME_MS,
            services: Vec::new(),
            open: false,
            changes: 0,
        });
        t.epoch = update.epoch;
        t.partition = update.partition;
        t.slots = update.slots;
        t.services = update.services;
        t.open = update.open;
    }

    /// Records how many requests a worker reported to be working on.
    ///
    /// Foreign requests, those of a previous owner, can only become fewer, since the worker refuses
    /// new ones. If the counts have not changed since the worker was asked (`changes_then`), all
    /// reported requests that are not this entry's own are foreign.
    pub fn record_busy(&mut self, worker: &ids::WorkerId, busy: u32, changes_then: u64) {
        if let Some(t) = self.workers.get_mut(worker) {
            let exact = t.changes == changes_then;
            let foreign = if exact { busy.saturating_sub(t.own_busy) } else { busy };
            t.foreign_busy = t.foreign_busy.min(foreign);
        }
    }

    /// Returns the worker's change count, to be kept until the worker answers a lease request.
    pub fn changes(&self, worker: &ids::WorkerId) -> u64 {
        self.workers.get(worker).map_or(0, |t| t.changes)
    }

    /// Abandons a request that has not been answered: its slot stays taken at the worker.
    pub fn abandon(&mut self, slot: &Slot) {
        if let Some(t) = self.workers.get_mut(&slot.worker) {
            t.changes += 1;
            t.own_busy = t.own_busy.saturating_sub(1);
            t.foreign_busy += 1;
        }
    }

    /// Records that this entry no longer owns the partition: its workers get no new requests.
    pub fn close_partition(&mut self, partition: ids::PartitionId) {
        for t in self.workers.values_mut().filter(|t| t.partition == partition) {
            t.open = false;
            t.foreign_busy = t.slots;
            t.changes += 1;
        }
    }

    /// Stops sending new requests to a worker, for example after it refused one.
    pub fn close(&mut self, worker: &ids::WorkerId) {
        if let Some(t) = self.workers.get_mut(worker) {
            t.open = false;
        }
    }

    /// Returns the number of free slots for `service`.
    pub fn free(&self, service: &ids::ServiceId) -> u32 {
        self.serving(service).map(|(_, t)| t.free()).sum()
    }

    /// Returns all services that the open workers of this entry run.
    pub fn services(&self) -> Vec<ids::ServiceId> {
        let all = self.workers.values().filter(|t| t.open).flat_map(|t| t.services.iter());
        let mut services: Vec<_> = all.cloned().collect();
        services.sort();
        services.dedup();
        services
    }

    fn serving<'a>(
        &'a self,
        service: &'a ids::ServiceId,
    ) -> impl Iterator<Item = (&'a ids::WorkerId, &'a WorkerSlots)> {
        self.workers.iter().filter(move |(_, t)| t.open && t.services.contains(service))
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
        let t = self.workers.get_mut(&best)?;
        t.own_busy += 1;
        t.changes += 1;
        Some(Slot { worker: best, epoch: t.epoch, partition: t.partition })
    }

    /// Decides what to do with a request that must end by `deadline`.
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

    /// Returns a slot; `took_ms` is how long the request took if it was answered.
    pub fn release_slot(&mut self, slot: &Slot, service: &ids::ServiceId, took_ms: Option<f64>) {
        if let Some(t) = self.workers.get_mut(&slot.worker) {
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

    /// Removes a waiting request, for example after its caller disconnected. Returns whether it was
    /// still waiting.
    pub fn remove_waiting(&mut self, service: &ids::ServiceId, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(service) else { return false };
        let before = queue.len();
        queue.retain(|w| w.ticket != ticket);
        queue.len() < before
    }

    /// Removes and returns the waiting requests whose turn has come, with their slots, and those
    /// that can no longer end before their deadlines, with `None`.
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
            let queue = self.queues.get_mut(service).expect("this queue was found non-empty above");
            let standing = now.since(oldest.since).0 > STANDING_QUEUE_MS;
            let next = if standing { queue.pop_back() } else { queue.pop_front() };
            out.extend(next.map(|w| (w.ticket, Some(slot))));
        }
    }
}
