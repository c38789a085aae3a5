//! Measures the goodput of requests at loads from just below to three times the capacity, with and without
//! retrying callers, against a single unbounded queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use gaplock_policy::{retry, route};
use gaplock_types::{ids, time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::draw;
use crate::report::Report;

const WORKERS: usize = 20;
/// The number of requests that a worker serves at the same time.
const SLOTS_PER_WORKER: u32 = 8;
/// The mean time to serve a request, in milliseconds.
const MEAN_SERVICE_MS: f64 = 40.0;
/// The time from the arrival of a request to its deadline, in milliseconds.
const DEADLINE_MS: u64 = 400;
/// The time in which requests arrive and good answers count, in milliseconds.
const RUN_MS: u64 = 60_000;
/// How often a retrying caller sends a request again at most.
const MAX_RETRIES: u32 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Requests are admitted by deadline to free worker slots. Others are refused with a time to retry after.
    Ours,
    /// The baseline: one unbounded queue. Callers that retry do so immediately.
    Queue,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { request: u64 },
    End { request: u64 },
    Timeout { request: u64 },
}

struct Request {
    attempts: u32,
    deadline_ms: u64,
    slot: Option<route::Slot>,
    ticket: Option<route::Ticket>,
    began_ms: u64,
    ended: bool,
}

struct Run {
    policy: Policy,
    retrying: bool,
    now: u64,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    requests: Vec<Request>,
    router: route::Router,
    waiting: BTreeMap<route::Ticket, u64>,
    queue: VecDeque<u64>,
    busy: u32,
    good: u64,
}

fn service() -> ids::ServiceId {
    "booking".into()
}

/// Measures goodput at 0.9, 1, 1.5 and 3 times the capacity.
pub fn measure(seed: u64) -> Report {
    let mut rows = Vec::new();
    let mut findings = Vec::new();
    for retrying in [false, true] {
        let mut ours = Vec::new();
        let mut queue = Vec::new();
        for load in [0.9, 1.0, 1.5, 3.0] {
            let a = run(Policy::Ours, load, retrying, seed);
            let b = run(Policy::Queue, load, retrying, seed);
            rows.push(vec![
                if retrying { "retry" } else { "no retry" }.to_string(),
                format!("{load:.1}"),
                format!("{a:.0}"),
                format!("{b:.0}"),
            ]);
            ours.push(a);
            queue.push(b);
        }
        let peak = ours.iter().copied().fold(0.0, f64::max);
        let at_three = ours.last().copied().unwrap_or(0.0);
        findings.push(format!(
            "callers {} retrying: goodput at 3x is {:.1}% of the peak (aim 95%), the queue's {:.1}%",
            if retrying { "" } else { "not" },
            100.0 * at_three / peak,
            100.0 * queue.last().copied().unwrap_or(0.0)
                / queue.iter().copied().fold(0.0, f64::max),
        ));
    }
    Report {
        name: "overload",
        seed,
        headings: vec!["callers", "load", "ours good/s", "queue good/s"],
        rows,
        findings,
    }
}

fn run(policy: Policy, load: f64, retrying: bool, seed: u64) -> f64 {
    let mut r = Run {
        policy,
        retrying,
        now: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        requests: Vec::new(),
        router: router(),
        waiting: BTreeMap::new(),
        queue: VecDeque::new(),
        busy: 0,
        good: 0,
    };
    let capacity_per_ms = WORKERS as f64 * f64::from(SLOTS_PER_WORKER) / MEAN_SERVICE_MS;
    let mut at = 0.0;
    while (at as u64) < RUN_MS {
        at += draw::exponential(&mut r.rng, 1.0 / (capacity_per_ms * load));
        r.add_request(at as u64, 0);
    }
    while let Some(Reverse((at, event))) = r.events.pop() {
        r.now = at;
        r.handle(event);
    }
    r.good as f64 / (RUN_MS as f64 / 1000.0)
}

fn router() -> route::Router {
    let mut router = route::Router::default();
    for i in 0..WORKERS {
        let worker = ids::WorkerId(format!("w{i}"));
        router.update_worker(route::WorkerUpdate {
            worker: worker.clone(),
            partition: ids::PartitionId(0),
            epoch: ids::Epoch(1),
            slots: SLOTS_PER_WORKER,
            services: vec![service()],
            open: true,
        });
        router.record_busy(&worker, 0, 0);
    }
    router
}

impl Run {
    fn add_request(&mut self, at: u64, attempts: u32) {
        let request = self.requests.len() as u64;
        let deadline_ms = at + DEADLINE_MS;
        self.requests.push(Request {
            attempts,
            deadline_ms,
            slot: None,
            ticket: None,
            began_ms: 0,
            ended: false,
        });
        self.events.push(Reverse((at, Event::Arrive { request })));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::End { request } => self.end(request),
            Event::Timeout { request } => self.time_out(request),
        }
    }

    fn arrive(&mut self, request: u64) {
        let deadline = self.requests[request as usize].deadline_ms;
        if self.policy == Policy::Queue {
            self.queue.push_back(request);
            self.events.push(Reverse((deadline, Event::Timeout { request })));
            self.serve_queue();
            return;
        }
        let (now, deadline) = (time::Instant(self.now), time::Instant(deadline));
        match self.router.route(now, &service(), deadline) {
            route::RouteDecision::Slot(slot) => self.begin(request, Some(slot)),
            route::RouteDecision::Wait(ticket) => {
                self.requests[request as usize].ticket = Some(ticket);
                self.waiting.insert(ticket, request);
                self.events.push(Reverse((deadline.0, Event::Timeout { request })));
            }
            route::RouteDecision::Refuse { after_s } => {
                self.handle_refusal(request, u64::from(after_s) * 1000)
            }
            route::RouteDecision::NoWorker => self.handle_refusal(request, 1000),
        }
    }

    fn begin(&mut self, request: u64, slot: Option<route::Slot>) {
        let took = draw::exponential(&mut self.rng, MEAN_SERVICE_MS).max(1.0) as u64;
        let r = &mut self.requests[request as usize];
        r.slot = slot;
        r.began_ms = self.now;
        self.events.push(Reverse((self.now + took, Event::End { request })));
    }

    fn end(&mut self, request: u64) {
        let now = self.now;
        let r = &mut self.requests[request as usize];
        let in_time = now <= r.deadline_ms && !r.ended;
        r.ended = true;
        self.good += u64::from(in_time && now <= RUN_MS);
        let took = (now - r.began_ms) as f64;
        match r.slot.take() {
            Some(slot) => {
                self.router.release_slot(&slot, &service(), Some(took));
                for (ticket, slot) in self.router.take_ready(time::Instant(now)) {
                    let Some(next) = self.waiting.remove(&ticket) else { continue };
                    match slot {
                        Some(slot) => self.begin(next, Some(slot)),
                        None => self.handle_refusal(next, 1000),
                    }
                }
            }
            None => {
                self.busy -= 1;
                self.serve_queue();
            }
        }
    }

    /// Starts queued requests of the baseline in order of arrival, including those past their deadline.
    fn serve_queue(&mut self) {
        while self.busy < WORKERS as u32 * SLOTS_PER_WORKER {
            let Some(next) = self.queue.pop_front() else { return };
            self.busy += 1;
            self.begin(next, None);
        }
    }

    fn time_out(&mut self, request: u64) {
        let r = &mut self.requests[request as usize];
        if r.ended {
            return;
        }
        if let Some(ticket) = r.ticket {
            if r.slot.is_none() && self.router.remove_waiting(&service(), ticket) {
                self.waiting.remove(&ticket);
                self.handle_refusal(request, 1000);
            }
            return;
        }
        // The baseline's caller has timed out. Its request stays in the queue and is served anyway, too late.
        r.ended = true;
        self.schedule_retry(request, 0);
    }

    fn handle_refusal(&mut self, request: u64, after_ms: u64) {
        self.requests[request as usize].ended = true;
        let jitter = retry::backoff(1, time::Millis(500), time::Millis(500), &mut self.rng);
        self.schedule_retry(request, after_ms + jitter.0);
    }

    fn schedule_retry(&mut self, request: u64, wait_ms: u64) {
        let attempts = self.requests[request as usize].attempts + 1;
        let at = self.now + wait_ms + self.rng.random_range(0..5);
        if self.retrying && attempts <= MAX_RETRIES && at < RUN_MS {
            self.add_request(at, attempts);
        }
    }
}
