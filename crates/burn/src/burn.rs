//! Works the burn of error budgets out of samples.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::sample::Sample;
use crate::scrape::{Counters, Key};

/// What a service has promised.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Objective {
    /// The service.
    pub service: String,
    /// The latency that a good answer keeps, in milliseconds.
    pub latency_ms: u64,
    /// The share of requests that must be good, in per cent.
    pub good_percent: f64,
}

/// What a request was lost to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Answered, but later than promised.
    Slow,
    /// Refused for want of room.
    Overload,
    /// No worker, or a worker without a whole answer.
    Upstream,
    /// The store was away, or a partition was between owners.
    Store,
    /// Anything else that was not the caller's fault.
    Other,
}

/// Requests of one window.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Window {
    /// The window's length, in seconds.
    pub seconds: u64,
    /// Requests that count.
    pub requests: f64,
    /// Those that were not good.
    pub bad: f64,
    /// How many times faster than allowed the budget burns.
    pub burn: f64,
    /// What burnt it.
    pub causes: BTreeMap<Cause, f64>,
}

/// One service and partner.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The service and partner.
    pub key: Key,
    /// The objective.
    pub objective: Objective,
    /// The windows, shortest first.
    pub windows: Vec<Window>,
    /// Whether the budget burns fast: 14 times or more in the shortest window.
    pub fast: bool,
    /// Whether it burns slowly but steadily: at least once in the longest window.
    pub slow: bool,
    /// The burn over time, for a plot: milliseconds since 1970 and burn.
    pub course: Vec<(u64, f64)>,
}

/// A burn in the shortest window that uses a month's budget in two days.
pub const FAST_BURN: f64 = 14.0;
const SLOW_BURN: f64 = 1.0;

fn cause_of(code: u16) -> Option<Cause> {
    match code {
        200 => Some(Cause::Overload),
        201 | 300 | 302 => Some(Cause::Upstream),
        202 | 205 => Some(Cause::Store),
        203 | 204 | 900 => Some(Cause::Other),
        // Codes from 100 to 199 are the caller's own, and a repeat's answer is no new request.
        _ => None,
    }
}

/// Returns what `later` counted beyond `earlier`; a counter that fell began anew with its process.
fn increase_since(earlier: Option<&Counters>, later: &Counters) -> Counters {
    let Some(earlier) = earlier else { return later.clone() };
    let grown = |before: Option<&f64>, now: f64| match before {
        Some(before) if *before <= now => now - before,
        _ => now,
    };
    let by_code = later.by_code.iter().map(|(c, n)| (*c, grown(earlier.by_code.get(c), *n)));
    let by_latency =
        later.by_latency_us.iter().map(|(l, n)| (*l, grown(earlier.by_latency_us.get(l), *n)));
    Counters { by_code: by_code.collect(), by_latency_us: by_latency.collect() }
}

/// Counts one window's requests against an objective.
pub fn evaluate(counted: &Counters, objective: &Objective, seconds: u64) -> Window {
    let answered = counted.by_code.get(&0).copied().unwrap_or(0.0);
    let limit_us = objective.latency_ms * 1000;
    let in_time = counted.by_latency_us.range(..=limit_us).next_back().map_or(0.0, |(_, n)| *n);
    let mut causes = BTreeMap::new();
    let slow = (answered - in_time).max(0.0);
    if slow > 0.0 {
        causes.insert(Cause::Slow, slow);
    }
    let mut requests = answered;
    for (code, count) in &counted.by_code {
        if let Some(cause) = cause_of(*code) {
            requests += count;
            *causes.entry(cause).or_default() += count;
        }
    }
    causes.retain(|_, count| *count > 0.0);
    let bad: f64 = causes.values().fold(0.0, |sum, n| sum + n);
    let allowed = 1.0 - objective.good_percent / 100.0;
    let burn = if requests > 0.0 { bad / requests / allowed.max(1e-9) } else { 0.0 };
    Window { seconds, requests, bad, burn, causes }
}

/// Builds the report's rows from samples, for windows of the given lengths in seconds.
pub fn rows(samples: &[Sample], objectives: &[Objective], windows_s: &[u64]) -> Vec<Row> {
    let Some(newest) = samples.iter().map(|s| s.at_unix_ms).max() else { return Vec::new() };
    let keys: std::collections::BTreeSet<&Key> =
        samples.iter().flat_map(|s| s.counters.iter().map(|(k, _)| k)).collect();
    let mut rows = Vec::new();
    for key in keys {
        let Some(objective) = objectives.iter().find(|o| o.service == key.service) else {
            continue;
        };
        let window = |seconds: u64| {
            let from = newest.saturating_sub(seconds * 1000);
            evaluate(&counted(samples, key, from, newest), objective, seconds)
        };
        let windows: Vec<Window> = windows_s.iter().map(|s| window(*s)).collect();
        let fast = windows.first().is_some_and(|w| w.burn >= FAST_BURN);
        let slow = windows.last().is_some_and(|w| w.burn >= SLOW_BURN);
        let course = course(samples, key, objective);
        let (key, objective) = (key.clone(), objective.clone());
        rows.push(Row { key, objective, windows, fast, slow, course });
    }
    rows
}

/// Counts what every entry counted for `key` between two times.
fn counted(samples: &[Sample], key: &Key, from: u64, to: u64) -> Counters {
    let mut sum = Counters::default();
    let entries: std::collections::BTreeSet<&str> =
        samples.iter().map(|s| s.entry.as_str()).collect();
    for entry in entries {
        let own: Vec<(u64, &Counters)> = samples
            .iter()
            .filter(|s| s.entry == entry && s.at_unix_ms <= to)
            .filter_map(|s| {
                let found = s.counters.iter().find(|(k, _)| k == key)?;
                Some((s.at_unix_ms, &found.1))
            })
            .collect();
        // The last sample at or before the window's begin is what had been counted by then.
        let first = own.iter().rposition(|(at, _)| *at <= from).unwrap_or(0);
        for pair in own[first..].windows(2) {
            add(&mut sum, &increase_since(Some(pair[0].1), pair[1].1));
        }
    }
    sum
}

fn add(sum: &mut Counters, more: &Counters) {
    for (code, count) in &more.by_code {
        *sum.by_code.entry(*code).or_default() += count;
    }
    for (bound, count) in &more.by_latency_us {
        *sum.by_latency_us.entry(*bound).or_default() += count;
    }
}

fn course(samples: &[Sample], key: &Key, objective: &Objective) -> Vec<(u64, f64)> {
    let mut times: Vec<u64> = samples.iter().map(|s| s.at_unix_ms).collect();
    times.sort_unstable();
    times.dedup();
    let step = |pair: &[u64]| {
        let counted = counted(samples, key, pair[0], pair[1]);
        (pair[1], evaluate(&counted, objective, (pair[1] - pair[0]) / 1000).burn)
    };
    times.windows(2).map(step).collect()
}
