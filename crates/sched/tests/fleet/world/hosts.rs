//! The hosts beneath the workers: they are listed, go down for upkeep, and come back with a new
//! worker.

use std::collections::BTreeMap;

use gaplock_sched::message::{HostInfo, HostState, UpkeepAnswer, WaveNumber, WaveRequest};
use gaplock_sched::Event;
use gaplock_types::ids;
use gaplock_types::time::Millis;

use super::calls::Delivery;
use super::World;

/// How long a call to the platform takes, in milliseconds.
const CALL_MS: u64 = 5;

/// How long a host is down for its upkeep, in milliseconds.
const UPKEEP_MS: u64 = 2_000;

/// Waves and hosts.
#[derive(Debug, Default)]
pub struct Hosts {
    /// The host of each worker, by the worker's position.
    of_worker: Vec<ids::HostId>,
    /// When each host that is down comes back.
    down_until: BTreeMap<ids::HostId, u64>,
    waves: BTreeMap<WaveNumber, WaveRequest>,
    /// The next order gets no answer and is carried out after so many milliseconds.
    pub delays_upkeep: Option<u64>,
    /// How many upkeeps each host has had.
    pub upkeeps: BTreeMap<ids::HostId, u32>,
    /// The most hosts that were down at one time.
    pub most_down: usize,
}

fn host_name(at: usize) -> ids::HostId {
    ids::HostId(format!("h{at}"))
}

impl World {
    /// Gives a new worker a host of its own.
    pub(super) fn add_host(&mut self, worker: usize) {
        self.hosts.of_worker.push(host_name(worker));
    }

    /// Asks for a wave of upkeep of the first `hosts` hosts.
    pub fn ask_wave(&mut self, number: u64, hosts: usize, within: u64, at_once: u32) {
        let number = WaveNumber(number);
        let hosts = (0..hosts).map(host_name).collect();
        let wave = WaveRequest { number, hosts, within: Millis(within), at_once };
        self.hosts.waves.insert(number, wave.clone());
        self.event(Event::Wave(wave));
    }

    /// Lists waves to a new leader, as its first reading of the store does.
    pub(super) fn waves(&self) -> Vec<WaveRequest> {
        self.hosts.waves.values().cloned().collect()
    }

    /// Answers a question for all hosts.
    pub(super) fn list_hosts(&mut self) {
        let (sent, leader) = (self.instant(), self.term);
        let mut hosts: BTreeMap<ids::HostId, HostInfo> = BTreeMap::new();
        for (at, id) in self.hosts.of_worker.iter().enumerate() {
            let away = self.hosts.down_until.contains_key(id);
            let state = if away { HostState::Away } else { HostState::Up };
            let worker = (!away).then(|| self.workers[at].info.id.clone());
            hosts.insert(id.clone(), HostInfo { id: id.clone(), state, worker });
        }
        let hosts = Some(hosts.into_values().collect());
        let event = Event::Hosts { sent, hosts };
        self.send(CALL_MS, Delivery::ToLeader { event, leader });
    }

    /// Takes a host down; what runs there dies at once.
    pub(super) fn take_down(&mut self, wave: WaveNumber, host: ids::HostId) {
        let leader = self.term;
        if let Some(ms) = self.hosts.delays_upkeep.take() {
            self.send(ms, Delivery::LateUpkeep { wave, host: host.clone() });
            let answer = UpkeepAnswer::Unclear;
            let event = Event::Upkeep { wave, host, answer };
            return self.send(2_000, Delivery::ToLeader { event, leader });
        }
        let of_wave = self.hosts.waves.get(&wave).is_some_and(|w| w.hosts.contains(&host));
        let answer = if of_wave { UpkeepAnswer::Begun } else { UpkeepAnswer::NotOfWave };
        if of_wave && !self.hosts.upkeeps.contains_key(&host) {
            let at = self.hosts.of_worker.iter().rposition(|h| *h == host).expect("it has one");
            self.crash(at);
            self.unlist(at);
            self.hosts.upkeeps.insert(host.clone(), 1);
            self.hosts.down_until.insert(host.clone(), self.now + UPKEEP_MS);
            self.hosts.most_down = self.hosts.most_down.max(self.hosts.down_until.len());
        }
        let event = Event::Upkeep { wave, host, answer };
        self.send(CALL_MS, Delivery::ToLeader { event, leader });
    }

    /// Brings hosts back whose upkeep is over, each with a new worker.
    pub(super) fn step_hosts(&mut self) {
        let due = self.hosts.down_until.iter().filter(|(_, until)| **until <= self.now);
        let back: Vec<ids::HostId> = due.map(|(host, _)| host.clone()).collect();
        for host in back {
            self.hosts.down_until.remove(&host);
            let at = self.workers.len();
            self.add_worker(&format!("{host}-again-{at}"));
            self.hosts.of_worker[at] = host;
        }
    }
}
