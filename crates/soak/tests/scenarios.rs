//! Runs the scripted scenarios of one partition in `tests/scenarios/*`, written in goldenscript's
//! language.
//!
//! Commands: `claim`, `release`, `tick MS`, `hosts NAME... [leaving=NAME]`, `submit KEY [tasks=N]
//! [work=MS] [cpu=M] [urgent=true]`, `cancel NUMBER`, `once KEY CLAIMER`, `done KEY CLAIMER END`,
//! `dead NAME`, `cut NAME`, `mend NAME`, `replace NAME`, `bad NAME`, `store ok|down|lose`, `show`.
//! Each command prints the decisions that result from it. To update the expected output, run the
//! tests with `UPDATE_GOLDENFILES=1` and review the difference.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::Arc;

use gaplock_coord::action::{Action, ReplyId, StoreAnswer, StoreCall, WorkerAnswer, WorkerCall};
use gaplock_coord::context::{Context, Shares};
use gaplock_coord::partition::Partition;
use gaplock_soak::{clients, simulation};
use gaplock_standin::{store, worker};
use gaplock_types::{api, config, ids, sizes, time, wire};

const CAPACITY: sizes::Resources = sizes::Resources::new(4_000, 8_192, 0);
const STEP_MS: u64 = 50;

struct Runner {
    partition: Partition,
    cx: Context,
    store: store::Model,
    store_mode: String,
    workers: BTreeMap<String, worker::Model>,
    partitioned: BTreeSet<String>,
    hosts: Vec<wire::Host>,
    out: String,
    next_reply: u64,
}

fn me() -> ids::Member {
    ids::Member { entry: "e0".into(), incarnation: ids::Incarnation(1) }
}

impl Runner {
    fn new() -> Self {
        let mut cx = Context::open(simulation::timing());
        let mut config: config::Config = clients::initial_config();
        config.placements[0].services.clear();
        cx.config = Arc::new(config);
        Self {
            partition: Partition::open(ids::PartitionId(0), me()),
            cx,
            store: store::Model::default(),
            store_mode: "ok".to_string(),
            workers: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            hosts: Vec::new(),
            out: String::new(),
            next_reply: 0,
        }
    }

    fn set_hosts(&mut self, names: &[String], leaving: &str) {
        self.hosts.clear();
        for name in names {
            let now = self.cx.now;
            let traits = worker::WorkerConfig {
                capacity: CAPACITY,
                checkpoint_every_ms: 200,
                ..worker::WorkerConfig::default()
            };
            let boot = wire::Boot(self.workers.len() as u64 + 1);
            let model = self
                .workers
                .entry(name.clone())
                .or_insert_with(|| worker::Model::open(traits, boot, now));
            model.set_leaving(now, name == leaving);
            self.hosts.push(wire::Host {
                worker: ids::WorkerId(name.clone()),
                addr: name.clone(),
                domain: "a".into(),
                rack: "r".into(),
                capacity: CAPACITY,
                slots: 8,
                connections: 64,
                leaving: name == leaving,
            });
        }
        let capacity = gaplock_coord::assign::total_capacity(&self.hosts);
        self.cx.fleet = self.hosts.iter().map(|h| h.capacity).collect();
        self.cx.fleet_capacity = capacity;
        let shares = Shares { replicas: BTreeMap::new(), capacity };
        self.partition.set_hosts(&mut self.cx, &self.hosts, shares);
    }

    fn tick(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.cx.now = self.cx.now + time::Millis(STEP_MS);
            self.cx.unix_ms = self.cx.now.0;
            self.partition.tick(&mut self.cx);
            self.carry_out_all();
        }
    }

    /// Carries out actions until none is left. A call without a clear answer gets that answer at once
    /// here, without a timeout.
    fn carry_out_all(&mut self) {
        while !self.cx.actions.is_empty() {
            for action in std::mem::take(&mut self.cx.actions) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Store { call, req } => {
                let answer = match self.store_mode.as_str() {
                    "down" => StoreAnswer::Unclear,
                    "lose" if matches!(req, StoreCall::Cas { .. }) => {
                        self.store.carry_out(&req);
                        StoreAnswer::Unclear
                    }
                    _ => self.store.carry_out(&req),
                };
                self.partition.store_answered(&mut self.cx, call, &answer);
            }
            Action::Worker { worker, req, .. } => {
                let now = self.cx.now;
                let answer = match self.workers.get_mut(worker.as_str()) {
                    Some(model) if !self.partitioned.contains(worker.as_str()) => match &req {
                        WorkerCall::Lease(req) => WorkerAnswer::Lease(model.lease(now, req)),
                        WorkerCall::Start(req) => {
                            WorkerAnswer::CommandOutcome(model.start(now, req))
                        }
                        WorkerCall::Control(req) => {
                            WorkerAnswer::CommandOutcome(model.control(now, req))
                        }
                    },
                    _ => WorkerAnswer::Unclear,
                };
                self.partition.worker_answered(&mut self.cx, &worker, &req, now, &answer);
            }
            Action::Reply { id, reply } => {
                let text = match reply {
                    api::Reply::Refused(r) => {
                        format!("refused {} {} ran={}", r.code, r.name, r.ran)
                    }
                    api::Reply::Submitted(job) => format!("submitted {job}"),
                    other => format!("{other:?}"),
                };
                let _ = writeln!(self.out, "reply {}: {text}", id.0);
            }
            Action::Decision(n) => {
                let _ =
                    writeln!(self.out, "@{} {} {}: {}", self.cx.now.0, n.kind, n.subject, n.why);
            }
            Action::Violated(v) => {
                let _ = writeln!(self.out, "VIOLATED {:?}: {}", v.invariant, v.evidence);
            }
            _ => {}
        }
    }

    fn command(&mut self, command: api::Command) {
        self.next_reply += 1;
        self.partition.command(&mut self.cx, ReplyId(self.next_reply), command);
        self.carry_out_all();
    }

    fn show(&mut self) {
        let state = self.partition.committed().clone();
        for (number, job) in &state.jobs {
            for (i, t) in job.tasks.iter().enumerate() {
                let id = gaplock_coord::state::task_id(ids::PartitionId(0), *number, i as u32);
                let why = self.partition.explain_task(id, t);
                let (attempt, evictions) = (t.attempt, t.evictions);
                let _ = writeln!(self.out, "{id} {} {attempt} evictions={evictions} {why}", t.is);
            }
        }
        for (name, model) in &mut self.workers {
            model.advance(self.cx.now);
            let runs: Vec<String> = model
                .active_runs()
                .map(|(run, _)| format!("{}/{}", run.task, run.attempt))
                .collect();
            let doubled = model.counts.doubled + model.counts.over_capacity;
            let _ = writeln!(self.out, "{name} runs [{}] faults={doubled}", runs.join(" "));
        }
    }
}

impl goldenscript::Runner for Runner {
    fn run(&mut self, command: &goldenscript::Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        match command.name.as_str() {
            "claim" => {
                self.partition.begin_claim(&mut self.cx);
                self.carry_out_all();
            }
            "release" => {
                self.partition.release(&mut self.cx);
                self.carry_out_all();
            }
            "tick" => self.tick(args.next_pos().ok_or("ms")?.parse()?),
            "hosts" => {
                let leaving = args.lookup("leaving").map(|a| a.value.clone()).unwrap_or_default();
                let names: Vec<String> = args.rest_pos().iter().map(|a| a.value.clone()).collect();
                self.set_hosts(&names, &leaving);
                self.carry_out_all();
            }
            "submit" => {
                let key = ids::RequestKey(args.next_pos().ok_or("key")?.value.clone());
                let spec = api::JobSpec {
                    class: "bundle".into(),
                    demand: sizes::Resources::new(
                        args.lookup_parse("cpu")?.unwrap_or(1_000),
                        256,
                        0,
                    ),
                    work_ms: args.lookup_parse("work")?.unwrap_or(1_000),
                    tasks: args.lookup_parse("tasks")?.unwrap_or(1),
                    urgent: args.lookup_parse("urgent")?.unwrap_or(false),
                };
                let partner = clients::PARTNER.into();
                self.command(api::Command::Submit { partner, key, spec });
            }
            "cancel" => {
                let number = args.next_pos().ok_or("number")?.parse()?;
                let job = ids::JobId { home: ids::PartitionId(0), number };
                self.command(api::Command::Cancel { partner: None, job });
            }
            "once" => {
                let key = ids::RequestKey(args.next_pos().ok_or("key")?.value.clone());
                let claimer = args.next_pos().ok_or("claimer")?.value.clone();
                let digest = args.lookup_parse("digest")?.unwrap_or("d".to_string());
                let partner = clients::PARTNER.into();
                self.command(api::Command::OnceClaim { partner, key, digest, claimer });
            }
            "done" => {
                let key = ids::RequestKey(args.next_pos().ok_or("key")?.value.clone());
                let claimer = args.next_pos().ok_or("claimer")?.value.clone();
                let end = match args.next_pos().ok_or("end")?.value.as_str() {
                    "ran" => api::OnceEnd::Ran { status: 200, body: None },
                    "not-run" => api::OnceEnd::NotRun,
                    _ => api::OnceEnd::Unknown,
                };
                let partner = clients::PARTNER.into();
                self.command(api::Command::OnceDone { partner, key, claimer, end });
            }
            "dead" => {
                let worker = ids::WorkerId(args.next_pos().ok_or("worker")?.value.clone());
                let boot = self.workers.get(worker.as_str()).map(|model| model.boot);
                self.command(api::Command::ConfirmDead { worker, boot });
            }
            "cut" => {
                self.partitioned.insert(args.next_pos().ok_or("worker")?.value.clone());
            }
            "mend" => {
                self.partitioned.remove(&args.next_pos().ok_or("worker")?.value);
            }
            "replace" => {
                let name = args.next_pos().ok_or("worker")?.value.clone();
                let old = self.workers.get(&name).ok_or("no such worker")?;
                let boot = wire::Boot(old.boot.0 + 100);
                let new = worker::Model::open(old.traits.clone(), boot, self.cx.now);
                self.workers.insert(name, new);
            }
            "bad" => {
                let name = args.next_pos().ok_or("worker")?.value.clone();
                self.workers.get_mut(&name).ok_or("no such worker")?.traits.bad = true;
            }
            "store" => self.store_mode = args.next_pos().ok_or("mode")?.value.clone(),
            "show" => self.show(),
            other => return Err(format!("unknown command {other}").into()),
        }
        args.reject_rest()?;
        Ok(std::mem::take(&mut self.out))
    }
}

#[test]
fn scenarios_give_their_expected_output() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut count = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        goldenscript::run(&mut Runner::new(), file.unwrap().path()).unwrap();
        count += 1;
    }
    assert!(count >= 8, "expected at least 8 scenarios, found {count}");
}
