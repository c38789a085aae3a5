//! Builds a plan: a description of what an operator's intent would change, and why it can't be
//! accepted, if so. Nothing changes until the operator confirms the plan.

use std::collections::BTreeSet;

use gaplock_types::{api, config, ids, sizes};
use serde::{Deserialize, Serialize};

/// How long after it was made a plan can be confirmed.
pub const PLAN_LIFETIME_S: u64 = 600;

/// What an operator wants; parts that are left out stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// All placements.
    pub placements: Option<Vec<config::Placement>>,
    /// All partners.
    pub partners: Option<Vec<config::Partner>>,
    /// All operators.
    pub operators: Option<Vec<config::Operator>>,
}

/// The state of the fleet, against which a plan is checked besides the configuration.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Capacity of each worker.
    pub capacities: Vec<sizes::Resources>,
    /// The failure domains that have workers.
    pub domains: BTreeSet<ids::DomainId>,
    /// The known jobs.
    pub jobs: Vec<api::JobRow>,
}

/// Builds a plan; the caller fills in its id.
pub fn build(current: &config::Config, intent: Intent, fleet: &Fleet) -> api::Plan {
    let mut wanted = current.clone();
    wanted.placements = intent.placements.unwrap_or(wanted.placements);
    wanted.partners = intent.partners.unwrap_or(wanted.partners);
    wanted.operators = intent.operators.unwrap_or(wanted.operators);
    let changes = describe_changes(current, &wanted, &fleet.jobs);
    let mut refused = wanted.validation_errors();
    refused.extend(unsatisfiable_demands(&wanted, fleet));
    if serde_json::to_vec(&wanted).map_or(0, |v| v.len()) > config::CONFIG_MAX_BYTES {
        refused.push("the configuration is too large for the store".to_string());
    }
    if changes.is_empty() && refused.is_empty() {
        refused.push("nothing would change".to_string());
    }
    api::Plan {
        id: ids::PlanId::default(),
        base: current.generation,
        changes,
        refused,
        lifetime_s: PLAN_LIFETIME_S,
        wanted,
    }
}

/// Lists what would change, with one sentence for each change.
pub fn describe_changes(
    current: &config::Config,
    wanted: &config::Config,
    jobs: &[api::JobRow],
) -> Vec<String> {
    let mut out = Vec::new();
    service_changes(current, wanted, &mut out);
    placement_changes(current, wanted, jobs, &mut out);
    partner_changes(current, wanted, &mut out);
    let names = |c: &config::Config| {
        c.operators.iter().map(|o| (o.name.clone(), o.key_sha256.clone())).collect::<BTreeSet<_>>()
    };
    if names(current) != names(wanted) || current.operators.len() != wanted.operators.len() {
        out.push("operators and their keys would change".to_string());
    }
    let changed_rights = current.operators.iter().filter_map(|o| {
        let now = wanted.operators.iter().find(|w| w.name == o.name)?;
        (now.right != o.right).then(|| format!("operator {} would get other rights", o.name))
    });
    out.extend(changed_rights);
    out
}

fn services(c: &config::Config) -> impl Iterator<Item = (&config::Placement, &config::Service)> {
    c.placements.iter().flat_map(|p| p.services.iter().map(move |s| (p, s)))
}

fn service_changes(current: &config::Config, wanted: &config::Config, out: &mut Vec<String>) {
    for (p, s) in services(wanted) {
        let Some((old_p, old)) = current.placement_of(&s.id) else {
            out.push(format!("service {} would start with {} replicas", s.id, s.replicas));
            continue;
        };
        if s.replicas > old.replicas {
            let more = s.replicas - old.replicas;
            out.push(format!("service {} would start {more} more replicas", s.id));
        }
        if s.replicas < old.replicas {
            let fewer = old.replicas - s.replicas;
            out.push(format!("service {} would stop {fewer} replicas", s.id));
        }
        if s.demand != old.demand {
            let (from, to) = (old.demand, s.demand);
            out.push(format!("new replicas of {} would hold {to} instead of {from}", s.id));
        }
        if s.objective_ms != old.objective_ms {
            let (from, to) = (old.objective_ms, s.objective_ms);
            out.push(format!("service {} would be held to {to} ms instead of {from} ms", s.id));
        }
        if p.domains != old_p.domains {
            out.push(format!("replicas of {} would move to other failure domains", s.id));
        }
    }
    for (_, s) in services(current) {
        if wanted.placement_of(&s.id).is_none() {
            out.push(format!("service {} would stop all {} replicas", s.id, s.replicas));
        }
    }
}

fn placement_changes(
    current: &config::Config,
    wanted: &config::Config,
    jobs: &[api::JobRow],
    out: &mut Vec<String>,
) {
    for p in &wanted.placements {
        let Some(old) = current.placements.iter().find(|o| o.name == p.name) else {
            out.push(format!("placement {} would be created", p.name));
            continue;
        };
        if p.batch_cpu_percent != old.batch_cpu_percent {
            let (from, to) = (old.batch_cpu_percent, p.batch_cpu_percent);
            out.push(format!("batch in {} would get {to}% instead of {from}% of a worker", p.name));
        }
        if p.weights != old.weights {
            out.push(format!("the weights of {} would change", p.name));
        }
        if p.partners != old.partners || p.batch != old.batch {
            out.push(format!("who may run which batch classes in {} would change", p.name));
        }
    }
    for old in &current.placements {
        if !wanted.placements.iter().any(|p| p.name == old.name) {
            out.push(format!("placement {} would be removed", old.name));
        }
    }
    for job in jobs {
        let gaplock_types::wire::TaskKind::Batch(class) = &job.kind else { continue };
        let had = current.placements_for(&job.partner, class).next().is_some();
        let has = wanted.placements_for(&job.partner, class).next().is_some();
        if had && !has && job.queued > 0 {
            let waiting = job.queued;
            out.push(format!("{waiting} waiting tasks of {} would find no placement", job.job));
        }
    }
}

fn partner_changes(current: &config::Config, wanted: &config::Config, out: &mut Vec<String>) {
    for p in &wanted.partners {
        let Some(old) = current.partner(&p.id) else {
            out.push(format!("partner {} would be added with quota {}", p.id, p.quota));
            continue;
        };
        if p.quota != old.quota {
            let (from, to) = (old.quota, p.quota);
            out.push(format!("the quota of {} would be {to} instead of {from}", p.id));
        }
        if p.weight != old.weight {
            let (from, to) = (old.weight, p.weight);
            out.push(format!("the weight of {} would be {to} instead of {from}", p.id));
        }
        if p.key_sha256 != old.key_sha256 {
            out.push(format!("the key of {} would change", p.id));
        }
    }
    for old in &current.partners {
        if wanted.partner(&old.id).is_none() {
            out.push(format!("partner {} would be removed", old.id));
        }
    }
}

/// Lists the services whose replicas fit on no worker and the placements whose failure domains have
/// no workers. An empty list of capacities means that the fleet is not known; nothing is listed then.
fn unsatisfiable_demands(wanted: &config::Config, fleet: &Fleet) -> Vec<String> {
    let mut out = Vec::new();
    if fleet.capacities.is_empty() {
        return out;
    }
    for (_, s) in services(wanted) {
        if !fleet.capacities.iter().any(|c| c.holds(&s.demand)) {
            out.push(format!("service {}: no worker can hold a replica of {}", s.id, s.demand));
        }
    }
    for p in &wanted.placements {
        for domain in p.domains.difference(&fleet.domains) {
            out.push(format!("placement {}: {domain} has no workers", p.name));
        }
    }
    out
}
