//! Tests orders and writes that are carried out late, with two owners of one partition and the
//! models of the store and the workers.
//!
//! They guard against four failures:
//! - A previous owner continued to renew leases after its release had been carried out without an
//!   answer, while its successor took the stored release as proof that it would not. A stored
//!   release does not tell when its writer learns of it.
//! - An owner lost the time until which an order may still be carried out at a worker that was off
//!   the host list for a moment, since the bound was dropped together with the link. It acknowledged
//!   the ended run, and the order under way started the run again.
//! - An operator's instruction that a host is off, carried out late, was applied to a later boot,
//!   since it named no boot.
//! - A repeated command during an outage was refused as not run, although its first attempt had been
//!   carried out: the refusal of one attempt was returned for all attempts under its key.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaplock_coord::action::{Action, ReplyId, StoreAnswer, WorkerAnswer, WorkerCall};
use gaplock_coord::context::{Context, Shares, Timing};
use gaplock_coord::partition::Partition;
use gaplock_soak::{clients, simulation};
use gaplock_standin::{store, worker};
use gaplock_types::{api, codes, config, ids, sizes, time, wire};

const CAPACITY: sizes::Resources = sizes::Resources::new(4_000, 8_192, 0);
const STEP_MS: u64 = 50;

/// One entry's view of the partition, with the calls that do not reach their target.
struct Owner {
    partition: Partition,
    cx: Context,
    /// Whether all answers of the store are lost; its writes are still carried out.
    store_lost: bool,
    /// Workers from which the entry is partitioned.
    partitioned: BTreeSet<String>,
}

struct Simulation {
    now: u64,
    store: store::Model,
    workers: BTreeMap<String, worker::Model>,
    /// Copies of start orders that are delivered late, with their workers.
    late: Vec<(String, wire::StartRequest)>,
    /// Whether a copy of each start order is kept for late delivery.
    copy_starts: bool,
    /// Replies by the number of the command.
    replies: BTreeMap<u64, api::Reply>,
}

fn owner(name: &str, timing: Timing) -> Owner {
    let me = ids::Member { entry: name.into(), incarnation: ids::Incarnation(1) };
    let mut cx = Context::open(timing);
    let mut config: config::Config = clients::initial_config();
    config.placements[0].services.clear();
    cx.config = Arc::new(config);
    let partition = Partition::open(ids::PartitionId(0), me);
    Owner { partition, cx, store_lost: false, partitioned: BTreeSet::new() }
}

fn host(name: &str) -> wire::Host {
    wire::Host {
        worker: ids::WorkerId(name.to_string()),
        addr: name.to_string(),
        domain: "a".into(),
        rack: "r".into(),
        capacity: CAPACITY,
        slots: 8,
        connections: 64,
        leaving: false,
    }
}

impl Simulation {
    fn open(workers: &[&str]) -> Self {
        let model = |i: usize| {
            let traits =
                worker::WorkerConfig { capacity: CAPACITY, ..worker::WorkerConfig::default() };
            worker::Model::open(traits, wire::Boot(i as u64 + 1), time::Instant(0))
        };
        let each = workers.iter().enumerate().map(|(i, name)| (name.to_string(), model(i)));
        Self {
            now: 0,
            store: store::Model::default(),
            workers: each.collect(),
            late: Vec::new(),
            copy_starts: false,
            replies: BTreeMap::new(),
        }
    }

    fn carry_out_all(&mut self, o: &mut Owner) {
        while !o.cx.actions.is_empty() {
            for action in std::mem::take(&mut o.cx.actions) {
                match action {
                    Action::Store { call, req } => {
                        let answer = self.store.carry_out(&req);
                        let answer = if o.store_lost { StoreAnswer::Unclear } else { answer };
                        o.partition.store_answered(&mut o.cx, call, &answer);
                    }
                    Action::Worker { worker, req, .. } => self.call_worker(o, &worker, &req),
                    Action::Reply { id, reply } => {
                        self.replies.insert(id.0, reply);
                    }
                    Action::Violated(v) => panic!("{:?}: {}", v.invariant, v.evidence),
                    _ => {}
                }
            }
        }
    }

    fn call_worker(&mut self, o: &mut Owner, name: &ids::WorkerId, req: &WorkerCall) {
        let now = time::Instant(self.now);
        if let (WorkerCall::Start(start), true) = (req, self.copy_starts) {
            self.late.push((name.0.clone(), start.clone()));
        }
        let answer = match self.workers.get_mut(name.as_str()) {
            Some(model) if !o.partitioned.contains(name.as_str()) => match req {
                WorkerCall::Lease(req) => WorkerAnswer::Lease(model.lease(now, req)),
                WorkerCall::Start(req) => WorkerAnswer::CommandOutcome(model.start(now, req)),
                WorkerCall::Control(req) => WorkerAnswer::CommandOutcome(model.control(now, req)),
            },
            _ => WorkerAnswer::Unclear,
        };
        o.partition.worker_answered(&mut o.cx, name, req, now, &answer);
    }

    fn tick(&mut self, owners: &mut [&mut Owner], ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            for o in owners.iter_mut() {
                o.cx.now = time::Instant(self.now);
                o.cx.unix_ms = self.now;
                o.partition.tick(&mut o.cx);
                self.carry_out_all(o);
            }
            self.assert_no_task_runs_twice();
        }
    }

    /// Asserts that no task runs at two workers, or twice at one.
    fn assert_no_task_runs_twice(&mut self) {
        let now = time::Instant(self.now);
        let mut running = BTreeSet::new();
        for (name, model) in &mut self.workers {
            model.advance(now);
            for (run, _) in model.active_runs() {
                assert!(
                    running.insert(run.task),
                    "{} runs a second time, at {name}, at {now:?}",
                    run.task
                );
            }
        }
    }

    fn carry_out_late_orders(&mut self) {
        let now = time::Instant(self.now);
        for (name, start) in std::mem::take(&mut self.late) {
            self.workers
                .get_mut(&name)
                .expect("late orders are addressed to existing workers")
                .start(now, &start);
        }
        self.assert_no_task_runs_twice();
    }

    fn set_hosts(&mut self, o: &mut Owner, names: &[&str]) {
        let hosts: Vec<wire::Host> = names.iter().map(|name| host(name)).collect();
        let capacity = gaplock_coord::assign::total_capacity(&hosts);
        o.cx.fleet = hosts.iter().map(|h| h.capacity).collect();
        o.cx.fleet_capacity = capacity;
        let shares = Shares { replicas: BTreeMap::new(), capacity };
        o.partition.set_hosts(&mut o.cx, &hosts, shares);
        self.carry_out_all(o);
    }

    fn claim(&mut self, o: &mut Owner) {
        o.partition.begin_claim(&mut o.cx);
        self.carry_out_all(o);
    }

    fn submit(&mut self, o: &mut Owner, work_ms: u64) {
        self.submit_as(o, 1, work_ms);
    }

    fn submit_as(&mut self, o: &mut Owner, id: u64, work_ms: u64) {
        let spec = api::JobSpec {
            class: "bundle".into(),
            demand: sizes::Resources::new(3_000, 256, 0),
            work_ms,
            tasks: 1,
            urgent: false,
        };
        let (partner, key) = (clients::PARTNER.into(), ids::RequestKey("k".to_string()));
        let command = api::Command::Submit { partner, key, spec };
        o.partition.command(&mut o.cx, ReplyId(id), command);
        self.carry_out_all(o);
    }

    fn claim_once(&mut self, o: &mut Owner, id: u64) {
        let command = api::Command::OnceClaim {
            partner: clients::PARTNER.into(),
            key: ids::RequestKey("once".to_string()),
            digest: "d".to_string(),
            claimer: format!("c{id}"),
        };
        o.partition.command(&mut o.cx, ReplyId(id), command);
        self.carry_out_all(o);
    }

    /// Returns whether the work behind a refused command may have run.
    fn ran(&self, id: u64) -> Option<codes::Ran> {
        match self.replies.get(&id) {
            Some(api::Reply::Refused(refusal)) => Some(refusal.ran),
            _ => None,
        }
    }

    fn runs_at(&self, name: &str) -> usize {
        self.workers[name].active_runs().count()
    }
}

/// Returns timing settings under which an owner without the store renews leases for longer than any
/// successor waits, as with the default of 75 minutes.
fn timing_with_long_renew_right() -> Timing {
    Timing { renew_limit: time::Millis(600_000), ..simulation::timing() }
}

#[test]
fn a_release_whose_answer_was_lost_does_not_let_two_owners_keep_a_task_alive() {
    let mut w = Simulation::open(&["w0", "w1"]);
    let (mut a, mut b) =
        (owner("a", timing_with_long_renew_right()), owner("b", timing_with_long_renew_right()));
    w.set_hosts(&mut a, &["w0", "w1"]);
    w.claim(&mut a);
    w.tick(&mut [&mut a], 400);
    w.submit(&mut a, 10_000_000);
    w.tick(&mut [&mut a], 1_000);
    let (current, other) = if w.runs_at("w0") == 1 { ("w0", "w1") } else { ("w1", "w0") };
    assert_eq!((w.runs_at(current), w.runs_at(other)), (1, 0));
    // The release is carried out, and its writer does not learn of its successor from any source.
    a.store_lost = true;
    a.partitioned.insert(other.to_string());
    a.partition.release(&mut a.cx);
    w.tick(&mut [&mut a], 200);
    b.partitioned.insert(current.to_string());
    w.set_hosts(&mut b, &["w0", "w1"]);
    w.claim(&mut b);
    assert!(b.partition.owns());
    w.tick(&mut [&mut a, &mut b], 200_000);
    assert_eq!(w.runs_at(other), 1, "the task must run at the other worker in the end");
}

#[test]
fn a_late_start_at_a_worker_that_was_off_the_host_list_does_not_repeat_an_ended_run() {
    let mut w = Simulation::open(&["w0"]);
    let mut a = owner("a", simulation::timing());
    w.set_hosts(&mut a, &["w0"]);
    w.claim(&mut a);
    w.tick(&mut [&mut a], 400);
    w.copy_starts = true;
    w.submit(&mut a, 200);
    w.tick(&mut [&mut a], 600);
    let runs = |w: &Simulation| w.workers["w0"].stretches.len();
    assert_eq!((runs(&w), w.runs_at("w0")), (1, 0), "the task must have run once and ended");
    w.set_hosts(&mut a, &[]);
    w.tick(&mut [&mut a], 200);
    w.set_hosts(&mut a, &["w0"]);
    w.tick(&mut [&mut a], 1_000);
    w.carry_out_late_orders();
    w.tick(&mut [&mut a], 1_000);
    assert_eq!(runs(&w), 1, "an order carried out late must not start the ended run again");
}

#[test]
fn a_late_instruction_that_a_host_is_off_does_not_apply_to_a_newer_boot() {
    let mut w = Simulation::open(&["w0", "w1"]);
    let (mut a, mut b) = (owner("a", simulation::timing()), owner("b", simulation::timing()));
    let worker = ids::WorkerId::from("w0");
    w.set_hosts(&mut a, &["w0"]);
    w.claim(&mut a);
    w.tick(&mut [&mut a], 400);
    let old_boot = a.partition.summary().workers[0].boot;
    let now = time::Instant(w.now);
    let traits = w.workers["w0"].traits.clone();
    w.workers.insert("w0".to_string(), worker::Model::open(traits, wire::Boot(9), now));
    w.tick(&mut [&mut a], 1_000);
    w.submit(&mut a, 10_000_000);
    w.tick(&mut [&mut a], 1_000);
    assert_eq!(w.runs_at("w0"), 1, "the task must run on the new boot");
    // The next owner does not reach the worker, and the operator's instruction for the old boot
    // arrives late.
    a.partition.release(&mut a.cx);
    w.tick(&mut [&mut a], 200);
    b.partitioned.insert("w0".to_string());
    w.set_hosts(&mut b, &["w0", "w1"]);
    w.claim(&mut b);
    let command = api::Command::ConfirmDead { worker, boot: old_boot };
    b.partition.command(&mut b.cx, ReplyId(2), command);
    w.tick(&mut [&mut b], 2_000);
    assert_eq!(w.runs_at("w1"), 0);
}

#[test]
fn a_repeat_in_an_outage_is_not_refused_as_not_run() {
    let mut w = Simulation::open(&["w0"]);
    let mut a = owner("a", simulation::timing());
    w.set_hosts(&mut a, &["w0"]);
    w.claim(&mut a);
    w.tick(&mut [&mut a], 400);
    // Writes are carried out, but their answers are lost.
    a.store_lost = true;
    w.submit_as(&mut a, 1, 1_000);
    w.claim_once(&mut a, 2);
    w.tick(&mut [&mut a], 2_000);
    assert_eq!((w.ran(1), w.ran(2)), (Some(codes::Ran::Unknown), Some(codes::Ran::Unknown)));
    w.submit_as(&mut a, 3, 1_000);
    w.claim_once(&mut a, 4);
    w.tick(&mut [&mut a], 2_000);
    assert_eq!((w.ran(3), w.ran(4)), (Some(codes::Ran::Unknown), Some(codes::Ran::Unknown)));
}
