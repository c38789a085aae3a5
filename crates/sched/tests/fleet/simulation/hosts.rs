//! The hosts on which the workers run: the platform lists them, takes them down for maintenance, and they come
//! back with a new worker.

use std::collections::{BTreeMap, VecDeque};

use gaplock_sched::message::{
    HostInfo, HostState, MaintenanceAnswer, WaveNumber, WaveProgress, WaveRequest,
};
use gaplock_sched::Event;
use gaplock_types::ids;
use gaplock_types::time::Millis;
use rand::Rng;

use super::calls::Delivery;
use super::worker::SimWorker;
use super::Simulation;

/// How long a call to the platform takes, in milliseconds.
const CALL_MS: u64 = 5;

/// How long a host is down for its maintenance, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;

/// How long a leader waits for the answer to a maintenance order, in milliseconds, as in the product.
const ORDER_TIMEOUT_MS: u64 = 2_000;

/// How late a maintenance order without an answer may arrive, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;

/// The outcome of a maintenance order, which takes a host down.
#[derive(Debug, Clone, Copy)]
pub enum OrderOutcome {
    /// It is carried out after so many milliseconds and answered.
    Answered(u64),
    /// It is carried out after so many milliseconds and gets no answer.
    Unanswered(u64),
    /// It never arrives and gets no answer.
    Lost,
    /// It is not carried out, and the given answer says so.
    Refused(MaintenanceAnswer),
}

/// A maintenance order on its way to the platform.
#[derive(Debug, Clone)]
pub struct HostOrder {
    pub wave: WaveNumber,
    pub host: ids::HostId,
    /// The term of the leader that sent it.
    pub leader: u64,
}

/// The hosts, and the maintenance waves that the operators have requested.
#[derive(Debug, Default)]
pub struct Hosts {
    /// The host of each worker, by the worker's position.
    of_worker: Vec<ids::HostId>,
    /// When each host that is down comes back.
    down_until: BTreeMap<ids::HostId, u64>,
    waves: BTreeMap<WaveNumber, WaveRequest>,
    /// How often each host has gone down for maintenance.
    pub maintenances: BTreeMap<ids::HostId, u32>,
    /// The largest number of hosts that were down at one time.
    pub max_hosts_down: usize,
    /// The outcomes of the next orders. That of any further order is drawn by the faults of the simulation.
    pub order_outcomes: VecDeque<OrderOutcome>,
    /// The hosts whose maintenance was ordered, in the order of sending.
    pub maintenance_ordered: Vec<ids::HostId>,
    /// When each host was last ordered down, and in which term.
    last_orders: BTreeMap<ids::HostId, (u64, u64)>,
    /// How much longer than the answer to an order a list of hosts takes, in milliseconds.
    pub host_list_delay_ms: u64,
}

/// Returns the name of the n-th host.
pub fn host_name(at: usize) -> ids::HostId {
    ids::HostId(format!("h{at}"))
}

impl Simulation {
    /// Gives a new worker a host of its own.
    pub(super) fn add_host(&mut self, worker: usize) {
        self.hosts.of_worker.push(host_name(worker));
    }

    /// Returns the host of a worker.
    pub(super) fn host_of(&self, worker: usize) -> ids::HostId {
        self.hosts.of_worker[worker].clone()
    }

    /// Sets the host of a worker.
    pub(super) fn set_host(&mut self, worker: usize, host: ids::HostId) {
        self.hosts.of_worker[worker] = host;
    }

    /// Requests a maintenance wave for the first `hosts` hosts.
    pub fn request_wave(&mut self, number: u64, hosts: usize, within: u64, at_once: u32) {
        let number = WaveNumber(number);
        let hosts = (0..hosts).map(host_name).collect();
        let wave = WaveRequest { number, hosts, within: Millis(within), at_once };
        self.hosts.waves.insert(number, wave.clone());
        self.notify_leader(Event::Wave(wave));
    }

    /// Returns all requested waves, as a new leader's first read of the store does.
    pub(super) fn waves(&self) -> Vec<WaveRequest> {
        self.hosts.waves.values().cloned().collect()
    }

    /// Answers the leader's request for a list of all hosts.
    pub(super) fn list_hosts(&mut self) {
        let (sent, leader) = (self.instant(), self.term);
        let mut hosts: BTreeMap<ids::HostId, HostInfo> = BTreeMap::new();
        for (at, id) in self.hosts.of_worker.iter().enumerate() {
            let away = self.hosts.down_until.contains_key(id);
            let state = if away { HostState::Away } else { HostState::Up };
            let worker = (!away).then(|| self.workers[at].info.id.name());
            hosts.insert(id.clone(), HostInfo { id: id.clone(), state, worker });
        }
        let hosts = Some(hosts.into_values().collect());
        let event = Event::Hosts { sent, hosts };
        self.send(CALL_MS + self.hosts.host_list_delay_ms, Delivery::ToLeader { event, leader });
    }

    /// Sends a maintenance order for a host to the platform.
    pub(super) fn send_maintenance_order(&mut self, wave: WaveNumber, host: ids::HostId) {
        self.hosts.maintenance_ordered.push(host.clone());
        self.check_order_holder(&host);
        let outcome =
            self.hosts.order_outcomes.pop_front().unwrap_or_else(|| self.draw_order_outcome());
        let order = HostOrder { wave, host, leader: self.term };
        let (after, answered) = match outcome {
            OrderOutcome::Answered(ms) => (Some(ms), true),
            OrderOutcome::Unanswered(ms) => (Some(ms), false),
            OrderOutcome::Lost => (None, false),
            OrderOutcome::Refused(answer) => return self.answer_order(&order, CALL_MS, answer),
        };
        if !answered {
            self.answer_order(&order, ORDER_TIMEOUT_MS, MaintenanceAnswer::Unclear);
        }
        if let Some(ms) = after {
            self.send(ms, Delivery::ToHost { order, answered });
        }
    }

    /// Records a violation if leaders take turns in ordering a host down within the time for which an order holds it.
    fn check_order_holder(&mut self, host: &ids::HostId) {
        let order = (self.now, self.term);
        let Some((at, term)) = self.hosts.last_orders.insert(host.clone(), order) else { return };
        let apart = self.now - at;
        if term != self.term && apart < self.settings.order_lease.0 {
            let (now, holder) = (self.now, self.term);
            let text = format!(
                "{now}: {host} is ordered down in terms {term} and {holder}, {apart} ms apart"
            );
            self.violations.push(text);
        }
    }

    /// Draws the outcome of an order by the faults of the simulation.
    fn draw_order_outcome(&mut self) -> OrderOutcome {
        let f = self.faults;
        let roll = self.rng.random_range(0..1_000);
        let late = f.lost_per_mille + f.late_per_mille;
        let unanswered = late + f.unanswered_per_mille;
        let refused = unanswered + f.unhealthy_per_mille;
        match roll {
            r if r < f.lost_per_mille => OrderOutcome::Lost,
            r if r < late => OrderOutcome::Unanswered(self.rng.random_range(LATE_MS)),
            r if r < unanswered => OrderOutcome::Unanswered(0),
            r if r < refused => OrderOutcome::Refused(MaintenanceAnswer::Busy),
            _ => OrderOutcome::Answered(0),
        }
    }

    fn answer_order(&mut self, order: &HostOrder, after: u64, answer: MaintenanceAnswer) {
        let (wave, host, leader) = (order.wave, order.host.clone(), order.leader);
        let event = Event::Maintenance { wave, host, answer };
        self.send(after, Delivery::ToLeader { event, leader });
    }

    /// Takes a host down unless that was done before, which ends all runs there at once. The fencing token of
    /// the order is not considered, since the platform does not check it everywhere.
    pub(super) fn carry_out_maintenance(&mut self, order: HostOrder, answered: bool) {
        let of_wave =
            self.hosts.waves.get(&order.wave).is_some_and(|w| w.hosts.contains(&order.host));
        let host = &order.host;
        if of_wave && !self.hosts.maintenances.contains_key(host) {
            let at = self
                .hosts
                .of_worker
                .iter()
                .rposition(|h| h == host)
                .expect("a host of a wave has had a worker");
            self.check_tasks_away(at, host);
            self.crash(at);
            self.unlist(at);
            self.hosts.maintenances.insert(host.clone(), 1);
            self.hosts.down_until.insert(host.clone(), self.now + MAINTENANCE_MS);
            self.hosts.max_hosts_down = self.hosts.max_hosts_down.max(self.hosts.down_until.len());
        }
        if answered {
            let answer =
                if of_wave { MaintenanceAnswer::Begun } else { MaintenanceAnswer::NotOfWave };
            self.answer_order(&order, CALL_MS, answer);
        }
    }

    /// Records a violation if long-running tasks go down with their host although too many others of their step
    /// are away.
    fn check_tasks_away(&mut self, at: usize, host: &ids::HostId) {
        for job in self.jobs.values().filter(|job| !self.cancelled.contains(&job.key)) {
            let Some(may_miss) = job.steps[0].may_miss else { continue };
            let of = |w: &SimWorker| w.running.keys().filter(|task| task.job == job.key).count();
            let running: usize = self.workers.iter().map(of).sum();
            let ending = of(&self.workers[at]);
            let away = job.steps[0].count as usize - (running - ending);
            if ending > 0 && away > may_miss as usize {
                let text = format!(
                    "{}: {host} takes {ending} tasks down, {away} are away, {may_miss} allowed",
                    self.now
                );
                self.violations.push(text);
            }
        }
    }

    /// Records a violation if a wave is stored as completed although the maintenance of one of its hosts has
    /// not begun.
    pub(super) fn check_wave(&mut self, progress: &WaveProgress) {
        let Some(wave) = self.hosts.waves.get(&progress.number) else { return };
        let has_not_begun = |h: &&ids::HostId| !self.hosts.maintenances.contains_key(*h);
        if let Some(host) = wave.hosts.iter().find(has_not_begun).filter(|_| progress.completed) {
            let text = format!(
                "a wave is stored as completed, and the maintenance of {host} has not begun"
            );
            self.violations.push(text);
        }
    }

    /// Crashes the worker of the n-th host, which gets another worker at once.
    pub fn replace_worker(&mut self, host: usize) -> usize {
        self.crash(host);
        self.unlist(host);
        let at = self.add_worker(&format!("{}-next", host_name(host)));
        self.set_host(at, host_name(host));
        at
    }

    /// Brings back hosts whose maintenance is over, each with a new worker.
    pub(super) fn step_hosts(&mut self) {
        let due = self.hosts.down_until.iter().filter(|(_, until)| **until <= self.now);
        let back: Vec<ids::HostId> = due.map(|(host, _)| host.clone()).collect();
        for host in back {
            self.hosts.down_until.remove(&host);
            let at = self.workers.len();
            self.add_worker(&format!("{host}-again-{at}"));
            self.set_host(at, host);
        }
    }
}
