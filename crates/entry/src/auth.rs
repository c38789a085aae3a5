//! Authentication of callers, operators and peers, and signatures of plans.
//!
//! The configuration holds keys only as hashes, which are compared in constant time.

use gaplock_types::{api, config, ids};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// A partner.
    Partner(ids::PartnerId),
    /// An operator with its right.
    Operator(String, config::Right),
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns a key's hash, as the configuration holds it.
pub fn key_hash(key: &str) -> String {
    hex(&Sha256::digest(key.as_bytes()))
}

/// Compares two texts in a time that depends only on their lengths.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// Returns whose key this is. Every hash is compared, so that the time taken reveals nothing about
/// the keys.
pub fn identify(
    config: &config::Config,
    bootstrap_key: Option<&str>,
    key: &str,
) -> Option<Identity> {
    let hash = key_hash(key);
    let mut found = None;
    for p in &config.partners {
        if constant_time_eq(&hash, &p.key_sha256.to_ascii_lowercase()) {
            found = Some(Identity::Partner(p.id.clone()));
        }
    }
    for o in &config.operators {
        if constant_time_eq(&hash, &o.key_sha256.to_ascii_lowercase()) {
            found = Some(Identity::Operator(o.name.clone(), o.right));
        }
    }
    let unconfigured = config.generation == ids::Generation(0);
    if let Some(bootstrap) = bootstrap_key.filter(|_| unconfigured) {
        if constant_time_eq(&hash, &key_hash(bootstrap)) {
            found = Some(Identity::Operator("bootstrap".to_string(), config::Right::Change));
        }
    }
    found
}

fn mac(secret: &str, purpose: &str, data: &[u8]) -> String {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(purpose.as_bytes());
    mac.update(&[0]);
    mac.update(data);
    hex(&mac.finalize().into_bytes())
}

/// Returns the proof that calls between entries carry: it shows that the caller knows the shared
/// secret.
pub fn peer_proof(secret: &str) -> String {
    mac(secret, "peer", b"")
}

/// Returns a plan's id: the time when it was made and a signature over its other fields. Because
/// of the signature any entry can confirm the plan without having stored it.
pub fn plan_id(secret: &str, plan: &api::Plan, made_at_unix_ms: u64) -> ids::PlanId {
    let signed = (plan.base, &plan.changes, &plan.refused, &plan.wanted, made_at_unix_ms);
    let data = serde_json::to_vec(&signed).expect("the fields of a plan always serialize to JSON");
    ids::PlanId(format!("{made_at_unix_ms}.{}", &mac(secret, "plan", &data)[..32]))
}

/// Returns when a plan was made, if its id holds this installation's signature over it.
pub fn plan_made_at(secret: &str, plan: &api::Plan) -> Option<u64> {
    let made_at = plan.id.as_str().split('.').next()?.parse().ok()?;
    constant_time_eq(plan_id(secret, plan, made_at).as_str(), plan.id.as_str()).then_some(made_at)
}
