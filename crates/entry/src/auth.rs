//! Keys and proofs: who a caller or peer is.
//!
//! Keys are kept only as hashes in the configuration and compared in constant time.

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

/// Returns the hash under which a key is kept.
pub fn key_hash(key: &str) -> String {
    hex(&Sha256::digest(key.as_bytes()))
}

/// Compares two texts in a time that depends on their lengths only.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// Finds whose key this is. Every hash is compared, so that the time tells nothing.
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
    let first = config.generation == ids::Generation(0);
    if let Some(bootstrap) = bootstrap_key.filter(|_| first) {
        if constant_time_eq(&hash, &key_hash(bootstrap)) {
            found = Some(Identity::Operator("bootstrap".to_string(), config::Right::Change));
        }
    }
    found
}

fn mac(secret: &str, purpose: &str, data: &[u8]) -> String {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any length of key will do");
    mac.update(purpose.as_bytes());
    mac.update(&[0]);
    mac.update(data);
    hex(&mac.finalize().into_bytes())
}

/// Returns the proof of the shared secret that calls between entries carry.
pub fn peer_proof(secret: &str) -> String {
    mac(secret, "peer", b"")
}

/// Signs a plan, so that any entry can confirm it without having kept it. The id is the time of
/// planning and the signature over everything else in the plan.
pub fn plan_id(secret: &str, plan: &api::Plan, made_at_unix_ms: u64) -> ids::PlanId {
    let signed = (plan.base, &plan.changes, &plan.refused, &plan.wanted, made_at_unix_ms);
    let data = serde_json::to_vec(&signed).expect("plain data serialises");
    ids::PlanId(format!("{made_at_unix_ms}.{}", &mac(secret, "plan", &data)[..32]))
}

/// Returns when a plan was made, if its id is this installation's signature over it.
pub fn plan_made_at(secret: &str, plan: &api::Plan) -> Option<u64> {
    let made_at = plan.id.as_str().split('.').next()?.parse().ok()?;
    constant_time_eq(plan_id(secret, plan, made_at).as_str(), plan.id.as_str()).then_some(made_at)
}
