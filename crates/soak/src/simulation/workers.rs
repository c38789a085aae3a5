//! The workers of a run: their models, clocks, suspensions and replacements.

use std::collections::VecDeque;

use gaplock_coord::action::{WorkerAnswer, WorkerCall};
use gaplock_coord::node::Event;
use gaplock_standin::worker;
use gaplock_types::{ids, time, wire};

use crate::faults::Fault;

use super::{local, Due, Simulation, WorkerHost, CAPACITY, WORKER_CALL_TIMEOUT};

/// One in this many starts is refused where such faults are enabled.
const REFUSED_ONE_IN: u32 = 3;

impl Simulation {
    pub(super) fn add_worker(&mut self, i: usize) {
        let rate_per_mille = self.draw_rate();
        let traits = worker::WorkerConfig {
            capacity: CAPACITY,
            usage_lag_ms: 500,
            checkpoint_every_ms: 200,
            // A command may be six seconds late here and then wait at a suspended worker for as long
            // as two suspensions in a row.
            leaving_grace_ms: 25_000,
            seed: i as u64,
            ..worker::WorkerConfig::default()
        };
        let model = worker::Model::open(traits, wire::Boot(1000 * i as u64 + 1), time::Instant(0));
        self.workers.push(WorkerHost {
            model,
            past: Vec::new(),
            past_counts: Vec::new(),
            frozen_until: 0,
            pending: VecDeque::new(),
            rate_per_mille,
        });
        self.hosts.push(wire::Host {
            worker: ids::WorkerId(format!("w{i}")),
            addr: format!("w{i}"),
            domain: ids::DomainId::from(["a", "b"][i % 2]),
            rack: ids::RackId(format!("r{i}")),
            capacity: CAPACITY,
            slots: 8,
            connections: 64,
            leaving: false,
        });
    }

    pub(super) fn call_worker(
        &mut self,
        from: usize,
        process_number: u64,
        part: ids::PartitionId,
        worker: &ids::WorkerId,
        req: WorkerCall,
    ) {
        let to: usize = worker.0[1..].parse().expect("worker names are `w` and a number");
        let sent_at = local(self.now, &self.entries[from]);
        self.next += 1;
        let answered = self.next;
        if !self.worker_partitioned(from, to) {
            let is_order = !matches!(req, WorkerCall::Lease(_));
            let req = req.clone();
            let due = Due::ToWorker { from, process_number, to, sent_at, part, req, answered };
            let due = match is_order {
                true => self.send_late(Fault::LateOrders, due),
                false => Some(due),
            };
            if let Some(due) = due {
                self.send(due);
            }
        }
        let answer = WorkerAnswer::Unclear;
        let worker = worker.clone();
        let event = Event::Worker { partition: part, worker, req, sent_at, answer };
        let due =
            Due::WorkerAnswered { to: from, process_number, event: Box::new(event), answered };
        self.schedule(WORKER_CALL_TIMEOUT, due);
    }

    pub(super) fn serve_worker(&mut self, to: usize, req: &WorkerCall) -> WorkerAnswer {
        let start = matches!(req, WorkerCall::Start(_));
        if start && self.draw_fault(Fault::RefusedStarts, REFUSED_ONE_IN) {
            return WorkerAnswer::CommandOutcome(wire::CommandOutcome::NoRoom);
        }
        let now = self.worker_clock(to);
        let model = &mut self.workers[to].model;
        match req {
            WorkerCall::Lease(req) => WorkerAnswer::Lease(model.lease(now, req)),
            WorkerCall::Start(req) => WorkerAnswer::CommandOutcome(model.start(now, req)),
            WorkerCall::Control(req) => WorkerAnswer::CommandOutcome(model.control(now, req)),
        }
    }

    /// Returns a worker's clock.
    pub fn worker_clock(&self, i: usize) -> time::Instant {
        time::Instant(self.now * self.workers[i].rate_per_mille / 1000)
    }

    /// Returns when which runs ran on a worker, over all its boots, by the clock of the simulation.
    pub fn stretches(&self, i: usize) -> Vec<worker::RunInterval> {
        let w = &self.workers[i];
        let rate = w.rate_per_mille;
        let global = |ms: u64| ms * 1000 / rate;
        let mut all = w.past.clone();
        all.extend(w.model.stretches.iter().map(|s| worker::RunInterval {
            from_ms: global(s.from_ms),
            to_ms: s.to_ms.map(global),
            ..s.clone()
        }));
        all
    }

    /// Resumes a suspended worker, which then handles what arrived in the meantime.
    pub fn resume_worker(&mut self, i: usize) {
        self.workers[i].frozen_until = 0;
        let now = self.worker_clock(i);
        self.workers[i].model.advance(now);
        while let Some(due) = self.workers[i].pending.pop_front() {
            self.handle_due(due);
        }
    }

    /// Replaces a worker by a new one at the same address; all runs on the old one end now.
    pub fn replace_worker(&mut self, i: usize) {
        let now = self.worker_clock(i);
        self.workers[i].model.advance(now);
        let mut past = self.stretches(i);
        for s in &mut past {
            s.to_ms.get_or_insert(self.now);
            if s.done && self.workers[i].model.is_unacknowledged(&s.run) {
                (s.done, s.unsure) = (false, true);
            }
        }
        let boot = wire::Boot(self.workers[i].model.boot.0 + 1);
        let traits = self.workers[i].model.traits.clone();
        let w = &mut self.workers[i];
        w.past = past;
        w.past_counts.push(w.model.counts.clone());
        w.model = worker::Model::open(traits, boot, now);
        w.pending.clear();
        w.frozen_until = 0;
        w.model.set_leaving(now, self.hosts[i].leaving);
    }

    pub(super) fn worker_partitioned(&self, entry: usize, worker: usize) -> bool {
        self.worker_cuts.get(&(entry, worker)).is_some_and(|until| *until > self.now)
    }
}
