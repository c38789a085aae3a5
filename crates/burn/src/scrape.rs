//! Parses an entry's counters from the text of its metrics.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A service and a partner that sends requests to it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: String,
    /// The partner.
    pub partner: String,
}

/// The request counters of one service and partner.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counters {
    /// The number of requests by result code.
    pub by_code: BTreeMap<u16, f64>,
    /// The cumulative number of answered requests by the upper bound of their latency, in microseconds.
    pub by_latency_us: BTreeMap<u64, f64>,
}

const REQUESTS: &str = "gaplock_service_requests_total";
const LATENCY: &str = "gaplock_service_latency_seconds_bucket";

/// Splits a line `name{a="b",c="d"} value` into name, labels and value.
fn split(line: &str) -> Option<(&str, BTreeMap<&str, &str>, f64)> {
    let (head, value) = line.rsplit_once(' ')?;
    let (name, labels) = head.split_once('{')?;
    let labels = labels.strip_suffix('}')?;
    let pairs = labels.split(',').filter_map(|pair| {
        let (label, text) = pair.split_once('=')?;
        Some((label, text.trim_matches('"')))
    });
    Some((name, pairs.collect(), value.parse().ok()?))
}

/// Adds the counters in a metrics text to those in `all`.
pub fn add(text: &str, all: &mut BTreeMap<Key, Counters>) {
    for (name, labels, value) in text.lines().filter_map(split) {
        let label = |name: &str| labels.get(name).copied().unwrap_or_default();
        let key =
            Key { service: label("service").to_string(), partner: label("partner").to_string() };
        match name {
            REQUESTS => {
                let Ok(code) = label("code").parse() else { continue };
                *all.entry(key).or_default().by_code.entry(code).or_default() += value;
            }
            LATENCY => {
                let bound = label("le").parse::<f64>().unwrap_or(f64::INFINITY);
                let bound_us = if bound.is_finite() { (bound * 1e6) as u64 } else { u64::MAX };
                let counters = all.entry(key).or_default();
                *counters.by_latency_us.entry(bound_us).or_default() += value;
            }
            _ => {}
        }
    }
}
