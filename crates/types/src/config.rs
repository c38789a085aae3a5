//! The operators' configuration: one value with one rising generation.
//!
//! `docs/OPERATORS.md` gives examples; [`Config::validation_errors`] lists everything wrong with a value.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::sizes;

/// The largest serialised configuration. The store holds values up to one megabyte, and the
/// stored document has the configuration, the one before it and the history.
pub const CONFIG_MAX_BYTES: usize = 400 * 1024;

/// A latency-critical service and what it needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub id: ids::ServiceId,
    /// How many replicas run over the whole installation.
    pub replicas: u32,
    /// What one replica takes of its worker.
    pub demand: sizes::Resources,
    /// The 99th percentile that its callers were promised, in milliseconds.
    pub objective_ms: u32,
}

/// How the decisions of one placement weigh its outcomes against each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Tail latency of services.
    pub tail: f64,
    /// Batch throughput.
    pub throughput: f64,
    /// Evictions of batch tasks.
    pub evictions: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { tail: 1.0, throughput: 1.0, evictions: 1.0 }
    }
}

/// Which services and batch classes share which failure domains' workers, and for whom.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The placement's name.
    pub name: String,
    /// The services that run here.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The batch classes that may run here.
    #[serde(default)]
    pub batch: BTreeSet<ids::BatchClass>,
    /// The failure domains; none named means all.
    #[serde(default)]
    pub domains: BTreeSet<ids::DomainId>,
    /// The partners whose work may run here; none named means all.
    #[serde(default)]
    pub partners: BTreeSet<ids::PartnerId>,
    /// The largest share of a worker's processors that batch may take, in percent.
    #[serde(default = "full_percent")]
    pub batch_cpu_percent: u32,
    /// How outcomes are weighed.
    #[serde(default)]
    pub weights: Weights,
}

fn full_percent() -> u32 {
    100
}

/// A partner (or team) with its key, share and quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// The partner's name.
    pub id: ids::PartnerId,
    /// The SHA-256 of the partner's key, in hexadecimal; the key itself is never stored.
    pub key_sha256: String,
    /// The partner's share relative to the others'.
    pub weight: u32,
    /// The most that its batch tasks may hold at once over the installation.
    pub quota: sizes::Resources,
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Right {
    /// Read everything.
    Read,
    /// Read everything and change the configuration.
    Change,
}

/// An operator with its key and rights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name, for the history.
    pub name: String,
    /// The SHA-256 of the operator's key, in hexadecimal.
    pub key_sha256: String,
    /// What the operator may do.
    pub right: Right,
}

/// The whole configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The rising number of this value; 0 is the empty configuration before the first change.
    #[serde(default)]
    pub generation: ids::Generation,
    /// Who made this generation.
    #[serde(default)]
    pub by: String,
    /// When, in milliseconds since 1970 by the confirming entry's clock; for people only.
    #[serde(default)]
    pub at_unix_ms: u64,
    /// The plan that was confirmed; also tells a confirmer its own write from another's.
    #[serde(default)]
    pub plan: ids::PlanId,
    /// The placements.
    #[serde(default)]
    pub placements: Vec<Placement>,
    /// The partners.
    #[serde(default)]
    pub partners: Vec<Partner>,
    /// The operators.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

const SHA256_HEX_LEN: usize = 64;

impl Config {
    /// Finds the placement that runs `service`.
    pub fn placement_of(&self, service: &ids::ServiceId) -> Option<(&Placement, &Service)> {
        self.placements
            .iter()
            .find_map(|p| p.services.iter().find(|s| &s.id == service).map(|s| (p, s)))
    }

    /// Finds the placements in which `partner` may run batch work of `class`.
    pub fn placements_for<'a>(
        &'a self,
        partner: &'a ids::PartnerId,
        class: &'a ids::BatchClass,
    ) -> impl Iterator<Item = &'a Placement> {
        self.placements.iter().filter(move |p| {
            p.batch.contains(class) && (p.partners.is_empty() || p.partners.contains(partner))
        })
    }

    /// Finds a partner by name.
    pub fn partner(&self, id: &ids::PartnerId) -> Option<&Partner> {
        self.partners.iter().find(|p| &p.id == id)
    }

    /// Lists everything that is wrong with this configuration, in words for its author.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut names = BTreeSet::new();
        let mut services = BTreeSet::new();
        for p in &self.placements {
            if p.name.is_empty() || !names.insert(&p.name) {
                faults.push(format!("placement `{}`: the name is empty or stands twice", p.name));
            }
            if p.batch_cpu_percent > 100 {
                faults.push(format!("placement `{}`: batch_cpu_percent is above 100", p.name));
            }
            let weights = [p.weights.tail, p.weights.throughput, p.weights.evictions];
            if weights.iter().any(|w| !w.is_finite() || *w < 0.0) {
                faults.push(format!("placement `{}`: a weight is negative or no number", p.name));
            }
            for s in &p.services {
                if !services.insert(&s.id) {
                    faults.push(format!("service `{}` stands in two places", s.id));
                }
                if s.objective_ms == 0 {
                    faults.push(format!("service `{}`: objective_ms is 0", s.id));
                }
                if s.demand.cpu.0 == 0 {
                    faults.push(format!("service `{}`: its processor demand is 0", s.id));
                }
            }
        }
        let keys = self.partners.iter().map(|p| (p.id.as_str(), &p.key_sha256));
        let operator_keys = self.operators.iter().map(|o| (o.name.as_str(), &o.key_sha256));
        let mut seen = BTreeSet::new();
        for (name, hash) in keys.chain(operator_keys) {
            if hash.len() != SHA256_HEX_LEN || !hash.bytes().all(|b| b.is_ascii_hexdigit()) {
                faults.push(format!("`{name}`: key_sha256 must be 64 hexadecimal digits"));
            } else if !seen.insert(hash.to_ascii_lowercase()) {
                faults.push(format!("`{name}`: its key belongs to somebody else too"));
            }
        }
        for p in &self.partners {
            if p.weight == 0 {
                faults.push(format!("partner `{}`: weight is 0", p.id));
            }
        }
        if !self.operators.iter().any(|o| o.right == Right::Change) {
            faults.push("no operator keeps the right to change the configuration".to_string());
        }
        faults
    }
}
