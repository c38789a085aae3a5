//! Data of the installation that the demo and the proofs run: hosts, keys and the first
//! configuration.

use gaplock_types::{ids, sizes, wire};
use serde_json::json;
use sha2::{Digest, Sha256};

/// The first operator's key.
pub const OPERATOR_KEY: &str = "operator-key-1";
/// The second operator's key.
pub const SECOND_OPERATOR_KEY: &str = "operator-key-2";
/// The key that is valid until the first configuration is in force.
pub const BOOTSTRAP_KEY: &str = "bootstrap-key";
/// The secret with which entries authenticate to each other.
pub const PEER_SECRET: &str = "a-secret-between-entries";
/// The partners and their keys.
pub const PARTNER_KEYS: [(&str, &str); 2] = [("alpina", "alpina-key"), ("savica", "savica-key")];
/// The id of the service.
pub const SERVICE: &str = "coldtrace";
/// The failure domains.
pub const DOMAINS: [&str; 4] = ["vrhnika-hall", "domzale-hall", "grosuplje-hall", "kamnik-hall"];

fn hash(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// Builds the host list for workers that listen on `addrs`.
pub fn hosts(addrs: &[String], capacity: sizes::Resources) -> Vec<wire::Host> {
    let host = |(i, addr): (usize, &String)| wire::Host {
        worker: ids::WorkerId(format!("w{i:02}")),
        addr: addr.clone(),
        domain: ids::DomainId::from(DOMAINS[i % DOMAINS.len()]),
        rack: ids::RackId(format!("rack-{}-{}", i % DOMAINS.len(), i / DOMAINS.len() / 2)),
        capacity,
        slots: 8,
        connections: 64,
        leaving: false,
    };
    addrs.iter().enumerate().map(host).collect()
}

/// Builds the first intent: one service with this many replicas, two batch classes, two partners
/// and two operators.
pub fn first_intent(replicas: u32) -> serde_json::Value {
    let partners: Vec<serde_json::Value> = PARTNER_KEYS
        .iter()
        .map(|(id, key)| {
            json!({
                "id": id, "key_sha256": hash(key), "weight": 1,
                "quota": {"cpu": 200_000, "mem": 800_000},
            })
        })
        .collect();
    json!({
        "placements": [{
            "name": "ljubljana",
            "services": [{
                "id": SERVICE, "replicas": replicas,
                "demand": {"cpu": 2_000, "mem": 4_096}, "objective_ms": 40,
            }],
            "batch": ["bundle", "reconcile"],
            "batch_cpu_percent": 80,
        }],
        "partners": partners,
        "operators": [
            {"name": "ana", "key_sha256": hash(OPERATOR_KEY), "right": "change"},
            {"name": "bor", "key_sha256": hash(SECOND_OPERATOR_KEY), "right": "change"},
        ],
    })
}
