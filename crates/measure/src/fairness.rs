//! Measures the processor time that partners get while one of them floods the queue, against a first come,
//! first served baseline.

use std::collections::VecDeque;

use gaplock_policy::fair;
use gaplock_types::{ids, sizes, time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::Report;

/// The number of partners; partner 0 is the one that floods the queue.
const PARTNERS: usize = 12;
/// The capacity of the whole installation, which all partners share.
const CAPACITY: sizes::Resources = sizes::Resources::new(320_000, 1_200_000, 0);
/// The simulated time, in seconds.
const RUN_S: u64 = 1_800;
/// The mean time that a task runs, in seconds.
const MEAN_TASK_S: u64 = 20;
/// How many times as many tasks as usual the flooding partner submits.
const FLOOD_FACTOR: f64 = 40.0;
/// Tasks that an ordinary partner submits each second; all partners together use about 90 % of the capacity.
const TASKS_PER_S: f64 = 1.2;

#[derive(Clone)]
struct Waiting {
    demand: sizes::Resources,
    since: u64,
}

struct Running {
    ends: u64,
    partner: usize,
    demand: sizes::Resources,
    urgent: bool,
}

struct Outcome {
    /// Processor time that each partner got, in core seconds.
    got: Vec<f64>,
    /// Mean wait of started tasks of all partners other than the flooding one, in seconds.
    wait_s: f64,
    /// The longest wait of a started urgent task, in seconds.
    urgent_wait_s: u64,
}

/// Measures what the other partners get with and without one partner's flood.
pub fn measure(seed: u64) -> Report {
    let mut rows = Vec::new();
    let mut findings = Vec::new();
    for (name, ours) in [("ours", true), ("first come first served", false)] {
        let without_flood = run(seed, ours, false);
        let with_flood = run(seed, ours, true);
        let others = |o: &Outcome| o.got[1..].iter().sum::<f64>();
        let kept = 100.0 * others(&with_flood) / others(&without_flood);
        let least = (1..PARTNERS)
            .map(|i| with_flood.got[i] / without_flood.got[i])
            .fold(f64::INFINITY, f64::min);
        rows.push(vec![
            name.to_string(),
            format!("{kept:.1}%"),
            format!("{:.1}%", least * 100.0),
            format!("{:.1} s", without_flood.wait_s),
            format!("{:.1} s", with_flood.wait_s),
            format!("{} s", with_flood.urgent_wait_s),
        ]);
        findings.push(format!("{name}: the others keep {kept:.1}% under the flood (aim 95%)"));
    }
    Report {
        name: "fairness",
        seed,
        headings: vec![
            "policy",
            "others keep",
            "least kept",
            "wait calm",
            "wait flood",
            "urgent wait at most",
        ],
        rows,
        findings,
    }
}

/// Queues the tasks that a partner submits in one second.
fn arrive(
    rng: &mut ChaCha8Rng,
    now: u64,
    partner: usize,
    rate: f64,
    queue: &mut VecDeque<Waiting>,
    urgent: &mut VecDeque<Waiting>,
) {
    let count = rate as u64 + u64::from(rng.random_bool(rate.fract()));
    for _ in 0..count {
        let cores = rng.random_range(500..1_500);
        let demand = sizes::Resources::new(cores, 2_048, 0);
        // One in twenty tasks is urgent, except those of the flooding partner 0.
        let is_urgent = partner > 0 && rng.random_ratio(1, 20);
        let queue = if is_urgent { &mut *urgent } else { &mut *queue };
        queue.push_back(Waiting { demand, since: now });
    }
}

/// The state of a simulated installation under one policy.
struct Sim {
    rng: ChaCha8Rng,
    queues: Vec<VecDeque<Waiting>>,
    urgent: Vec<VecDeque<Waiting>>,
    running: Vec<Running>,
    held: Vec<sizes::Resources>,
    got: Vec<f64>,
    hold: fair::UrgentHold,
    waits: u64,
    started: u64,
    urgent_wait_s: u64,
}

fn run(seed: u64, ours: bool, flood: bool) -> Outcome {
    let mut sim = Sim {
        rng: ChaCha8Rng::seed_from_u64(seed),
        queues: vec![VecDeque::new(); PARTNERS],
        urgent: vec![VecDeque::new(); PARTNERS],
        running: Vec::new(),
        held: vec![sizes::Resources::default(); PARTNERS],
        got: vec![0.0; PARTNERS],
        hold: fair::UrgentHold::default(),
        waits: 0,
        started: 0,
        urgent_wait_s: 0,
    };
    for now in 0..RUN_S {
        sim.end_and_arrive(now, flood);
        let urgent_waits = sim.start_all(now, ours);
        sim.hold.record(time::Instant(now * 1_000), urgent_waits);
        if ours && urgent_waits {
            let Sim { running, held, got, queues, .. } = &mut sim;
            evict_one(now, running, held, got, queues);
        }
    }
    let wait_s = sim.waits as f64 / sim.started.max(1) as f64;
    Outcome { got: sim.got, wait_s, urgent_wait_s: sim.urgent_wait_s }
}

impl Sim {
    /// Ends the tasks whose time is over and queues newly submitted ones.
    fn end_and_arrive(&mut self, now: u64, flood: bool) {
        let held = &mut self.held;
        self.running.retain(|r| {
            if r.ends <= now {
                held[r.partner] = held[r.partner].minus(&r.demand);
            }
            r.ends > now
        });
        for partner in 0..PARTNERS {
            let rate = if flood && partner == 0 { TASKS_PER_S * FLOOD_FACTOR } else { TASKS_PER_S };
            let (queue, urgent) = (&mut self.queues[partner], &mut self.urgent[partner]);
            arrive(&mut self.rng, now, partner, rate, queue, urgent);
        }
    }

    /// Starts the tasks that the policy picks until no more fit. Returns whether an urgent task still waits.
    fn start_all(&mut self, now: u64, ours: bool) -> bool {
        let mut skip = [false; PARTNERS];
        let mut urgent_waits = false;
        let at = time::Instant(now * 1_000);
        loop {
            let next = if ours {
                let held_back = urgent_waits && self.hold.blocks_ordinary_work(at);
                pick_ours(&self.queues, &self.urgent, &self.held, &skip, held_back)
            } else {
                pick_oldest(&self.queues, &self.urgent, &skip)
            };
            let Some((partner, is_urgent)) = next else { return urgent_waits };
            if self.start(now, partner, is_urgent) {
                continue;
            }
            skip[partner] = true;
            urgent_waits |= is_urgent;
            if !ours {
                return urgent_waits;
            }
        }
    }

    /// Starts a partner's first waiting task and returns true, if the free capacity suffices.
    fn start(&mut self, now: u64, partner: usize, is_urgent: bool) -> bool {
        let queues = if is_urgent { &mut self.urgent } else { &mut self.queues };
        let Some(task) = queues[partner].front().cloned() else { return false };
        let used = self.held.iter().fold(sizes::Resources::default(), |sum, h| sum.plus(h));
        if !CAPACITY.holds(&used.plus(&task.demand)) {
            return false;
        }
        queues[partner].pop_front();
        self.held[partner] = self.held[partner].plus(&task.demand);
        let ends = now + self.rng.random_range(MEAN_TASK_S / 2..=MEAN_TASK_S * 3 / 2);
        self.running.push(Running { ends, partner, demand: task.demand, urgent: is_urgent });
        self.got[partner] += f64::from(task.demand.cpu.0) / 1000.0 * (ends - now) as f64;
        if partner > 0 {
            self.waits += now - task.since;
            self.started += 1;
        }
        if is_urgent {
            self.urgent_wait_s = self.urgent_wait_s.max(now - task.since);
        }
        true
    }
}

/// Evicts one non-urgent task: the one with the most remaining work of the partner that holds the most
/// processors. A checkpoint keeps its work so far.
fn evict_one(
    now: u64,
    running: &mut Vec<Running>,
    held: &mut [sizes::Resources],
    got: &mut [f64],
    queues: &mut [VecDeque<Waiting>],
) {
    let ordinary = running.iter().enumerate().filter(|(_, r)| !r.urgent);
    let choice = ordinary.max_by_key(|(_, r)| (held[r.partner].cpu, r.ends)).map(|(i, _)| i);
    let Some(choice) = choice else { return };
    let r = running.swap_remove(choice);
    held[r.partner] = held[r.partner].minus(&r.demand);
    got[r.partner] -= f64::from(r.demand.cpu.0) / 1000.0 * (r.ends - now) as f64;
    queues[r.partner].push_front(Waiting { demand: r.demand, since: now });
}

fn pick_ours(
    queues: &[VecDeque<Waiting>],
    urgent: &[VecDeque<Waiting>],
    held: &[sizes::Resources],
    skip: &[bool],
    held_back: bool,
) -> Option<(usize, bool)> {
    let shares: Vec<fair::PartnerShare> = (0..queues.len())
        .map(|i| {
            let first = urgent[i].front().map(|t| (t.demand, true));
            let next = first.or_else(|| queues[i].front().map(|t| (t.demand, false)));
            fair::PartnerShare {
                partner: ids::PartnerId(format!("p{i}")),
                held: held[i],
                quota: CAPACITY,
                weight: 1,
                next: next.filter(|(_, is_urgent)| !skip[i] && (*is_urgent || !held_back)),
            }
        })
        .collect();
    let next = fair::next_partner(&shares, &CAPACITY)?;
    shares[next].next.map(|(_, is_urgent)| (next, is_urgent))
}

fn pick_oldest(
    queues: &[VecDeque<Waiting>],
    urgent: &[VecDeque<Waiting>],
    skip: &[bool],
) -> Option<(usize, bool)> {
    let all = (0..queues.len()).filter(|i| !skip[*i]).flat_map(|i| {
        let ordinary = queues[i].front().map(|t| (t.since, i, false));
        let urgent = urgent[i].front().map(|t| (t.since, i, true));
        ordinary.into_iter().chain(urgent)
    });
    all.min().map(|(_, i, is_urgent)| (i, is_urgent))
}
