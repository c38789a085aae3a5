//! What callers and operators do in a run, and the replies that they got.

use std::collections::BTreeMap;

use gaplock_coord::action::ReplyId;
use gaplock_coord::node::Event;
use gaplock_types::{api, config, ids, sizes};
use rand::Rng;

use crate::faults::Fault;
use crate::simulation::{SimMillis, Simulation};

/// A job that a caller submits repeatedly until a reply says that the job is stored.
#[derive(Debug, Clone)]
pub struct JobRequest {
    key: ids::RequestKey,
    spec: api::JobSpec,
    commands: Vec<u64>,
    next_attempt: SimMillis,
    /// The stored job, once a reply has named it.
    pub job: Option<ids::JobId>,
    /// Whether the caller has asked to cancel it.
    pub cancelled: bool,
}

/// A request that must not be repeated, sent with one key through several entries.
#[derive(Debug, Clone)]
pub struct OnceRequest {
    /// The caller's key.
    pub key: ids::RequestKey,
    /// Unanswered claims: the claimer by the number of the command.
    claims: BTreeMap<u64, String>,
    attempts_left: u32,
    next_attempt: SimMillis,
    /// How many times the request ran.
    pub runs: u32,
}

/// Every caller and operator.
#[derive(Debug, Default)]
pub struct Clients {
    /// Jobs.
    pub jobs: Vec<JobRequest>,
    /// Requests that must not be repeated.
    pub once: Vec<OnceRequest>,
    /// The confirmed plans by the number of the confirmation.
    pub confirmations: BTreeMap<u64, api::Plan>,
    next_key: u64,
}

/// The partner to which all callers belong.
pub const PARTNER: &str = "alpina";
const RETRY_INTERVAL_MS: SimMillis = 700;

/// Returns the first configuration.
pub fn initial_config() -> config::Config {
    let hash = |c: char| c.to_string().repeat(64);
    config::Config {
        placements: vec![config::Placement {
            name: "all".to_string(),
            services: vec![config::Service {
                id: "check".into(),
                replicas: 2,
                demand: sizes::Resources::new(500, 512, 0),
                objective_ms: 50,
            }],
            batch: [ids::BatchClass::from("bundle")].into(),
            domains: Default::default(),
            partners: Default::default(),
            batch_cpu_percent: 100,
            weights: config::Weights::default(),
        }],
        partners: vec![config::Partner {
            id: PARTNER.into(),
            key_sha256: hash('a'),
            weight: 1,
            quota: sizes::Resources::new(100_000, 1_000_000, 0),
        }],
        operators: vec![config::Operator {
            name: "ana".to_string(),
            key_sha256: hash('b'),
            right: config::Right::Change,
        }],
        ..config::Config::default()
    }
}

impl Clients {
    fn key(&mut self, prefix: &str) -> ids::RequestKey {
        self.next_key += 1;
        ids::RequestKey(format!("{prefix}{}", self.next_key))
    }

    /// Adds a job.
    pub fn add_job(&mut self, w: &mut Simulation) {
        let spec = api::JobSpec {
            class: "bundle".into(),
            demand: sizes::Resources::new(w.rng.random_range(200..1_500), 256, 0),
            work_ms: w.rng.random_range(100..2_500),
            tasks: w.rng.random_range(1..4),
            urgent: w.rng.random_ratio(1, 5),
        };
        let key = self.key("job");
        let next_attempt = w.now;
        self.jobs.push(JobRequest {
            key,
            spec,
            commands: Vec::new(),
            next_attempt,
            job: None,
            cancelled: false,
        });
    }

    /// Adds a request that must not be repeated.
    pub fn add_once(&mut self, w: &mut Simulation) {
        let key = self.key("once");
        let (attempts_left, next_attempt) = (w.rng.random_range(1..6), w.now);
        let claims = BTreeMap::new();
        self.once.push(OnceRequest { key, claims, attempts_left, next_attempt, runs: 0 });
    }

    /// Confirms a plan at a random entry, based on the configuration in force there.
    pub fn confirm(&mut self, w: &mut Simulation) {
        let i = w.rng.random_range(0..w.entries.len());
        let Some(node) = &w.entries[i].node else { return };
        let doc = node.generations.doc.clone();
        let mut wanted = match doc.config.generation {
            ids::Generation(0) => initial_config(),
            _ => doc.config.clone(),
        };
        for p in &mut wanted.placements {
            p.services[0].replicas = w.rng.random_range(1..6);
        }
        let number = w.next_number();
        let plan = api::Plan {
            id: ids::PlanId(format!("plan{number}")),
            base: doc.config.generation,
            changes: vec![format!("change {number}")],
            refused: Vec::new(),
            lifetime_s: 600,
            wanted,
        };
        self.confirmations.insert(number, plan.clone());
        // Two operators may confirm the same plan at two entries at the same time.
        let twice = w.rng.random_ratio(1, 4);
        let by = "ana".to_string();
        let event = Event::Confirm { id: ReplyId(number), plan: Box::new(plan.clone()), by };
        w.handle(i, event);
        if twice {
            let other = (i + 1) % w.entries.len();
            let again = w.next_number();
            self.confirmations.insert(again, plan.clone());
            let by = "bor".to_string();
            w.handle(other, Event::Confirm { id: ReplyId(again), plan: Box::new(plan), by });
        }
    }

    /// Lets every caller take its next action.
    pub fn act(&mut self, w: &mut Simulation) {
        for i in 0..self.jobs.len() {
            self.act_on_job(w, i);
        }
        for i in 0..self.once.len() {
            self.act_on_once(w, i);
        }
        let cancels = w.faulty && w.enabled.has(Fault::Cancel) && w.rng.random_ratio(1, 200);
        if cancels {
            self.cancel_some_jobs(w);
        }
    }

    fn act_on_job(&mut self, w: &mut Simulation, i: usize) {
        let request = &mut self.jobs[i];
        if request.job.is_some() {
            return;
        }
        for id in &request.commands {
            if let Some(api::Reply::Submitted(job)) = w.replies.get(id) {
                request.job = Some(*job);
                return;
            }
        }
        if w.now < request.next_attempt {
            return;
        }
        request.next_attempt = w.now + RETRY_INTERVAL_MS;
        let partner = ids::PartnerId::from(PARTNER);
        let home = crate::simulation::layout().home_of(&partner, &request.key);
        let command =
            api::Command::Submit { partner, key: request.key.clone(), spec: request.spec.clone() };
        let entry = w.rng.random_range(0..w.entries.len());
        let id = w.command(entry, home, command);
        self.jobs[i].commands.push(id);
    }

    fn act_on_once(&mut self, w: &mut Simulation, i: usize) {
        let partner = ids::PartnerId::from(PARTNER);
        let home = crate::simulation::layout().home_of(&partner, &self.once[i].key);
        let key = self.once[i].key.clone();
        // A claimer whose claim was granted runs the request once, then stores how it ended.
        let answered: Vec<(u64, String, api::Reply)> = self.once[i]
            .claims
            .iter()
            .filter_map(|(id, claimer)| Some((*id, claimer.clone(), w.replies.get(id)?.clone())))
            .collect();
        for (id, claimer, reply) in answered {
            self.once[i].claims.remove(&id);
            let end = match reply {
                api::Reply::Granted => {
                    self.once[i].runs += 1;
                    api::OnceEnd::Ran { status: 200, body: None }
                }
                api::Reply::Refused(r)
                    if r.result_code() == gaplock_types::codes::Code::OutcomeUnknown =>
                {
                    api::OnceEnd::NotRun
                }
                _ => continue,
            };
            let command =
                api::Command::OnceDone { partner: partner.clone(), key: key.clone(), claimer, end };
            let entry = w.rng.random_range(0..w.entries.len());
            w.command(entry, home, command);
        }
        let request = &mut self.once[i];
        if request.attempts_left == 0 || w.now < request.next_attempt {
            return;
        }
        request.attempts_left -= 1;
        request.next_attempt = w.now + w.rng.random_range(1..RETRY_INTERVAL_MS);
        let number = w.next_number();
        let claimer = format!("c{number}");
        let command = api::Command::OnceClaim {
            partner,
            key,
            digest: "d".to_string(),
            claimer: claimer.clone(),
        };
        let entry = w.rng.random_range(0..w.entries.len());
        let id = w.command(entry, home, command);
        self.once[i].claims.insert(id, claimer);
    }

    fn cancel_some_jobs(&mut self, w: &mut Simulation) {
        for i in 0..self.jobs.len() {
            let Some(job) = self.jobs[i].job.filter(|_| w.rng.random_ratio(1, 3)) else { continue };
            self.jobs[i].cancelled = true;
            w.faults += 1;
            let partner = Some(ids::PartnerId::from(PARTNER));
            let entry = w.rng.random_range(0..w.entries.len());
            w.command(entry, job.home, api::Command::Cancel { partner, job });
        }
    }
}
