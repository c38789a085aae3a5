//! Computes the burn of error budgets from samples.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::sample::Sample;
use crate::scrape::{Counters, Key};

/// The service-level objective of a service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Objective {
    /// The service.
    pub service: String,
    /// The latency within which an answer is good, in milliseconds.
    pub latency_ms: u64,
    /// The percentage of requests that must be good.
    pub good_percent: f64,
}

/// Why a request was not good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Answered, but later than the objective allows.
    Slow,
    /// Refused for lack of capacity.
    Overload,
    /// There was no worker, or a worker did not give a complete answer.
    Upstream,
    /// The store was unavailable, or a partition had no owner during a change of owners.
    Store,
    /// Any other reason that was not the caller's fault.
    Other,
}

/// The requests in one time window.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Window {
    /// The window's length, in seconds.
    pub seconds: u64,
    /// The number of requests that count towards the objective.
    pub requests: f64,
    /// The number of these that were not good.
    pub bad: f64,
    /// How many times faster than allowed the error budget is used up.
    pub burn: f64,
    /// The number of bad requests by cause.
    pub causes: BTreeMap<Cause, f64>,
}

/// The report on one service and partner.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The service and partner.
    pub key: Key,
    /// The objective of the service.
    pub objective: Objective,
    /// The windows, shortest first.
    pub windows: Vec<Window>,
    /// Whether the budget burns fast: at 14 times the allowed rate or more in the shortest window.
    pub fast: bool,
    /// Whether it burns slowly but steadily: at least at the allowed rate in the longest window.
    pub slow: bool,
    /// The burn over time, for a plot: pairs of milliseconds since 1970 and the burn.
    pub course: Vec<(u64, f64)>,
}

/// The burn in the shortest window from which the budget counts as burning fast. At this rate, a month's budget
/// is used up in two days.
pub const FAST_BURN: f64 = 14.0;
/// The burn in the longest window from which the budget counts as burning slowly: exactly the allowed rate.
const SLOW_BURN: f64 = 1.0;

fn cause_of(code: u16) -> Option<Cause> {
    match code {
        200 => Some(Cause::Overload),
        201 | 300 | 302 => Some(Cause::Upstream),
        202 | 205 => Some(Cause::Store),
        203 | 204 | 900 => Some(Cause::Other),
        // Codes from 100 to 199 are the caller's own faults, and the answer to a repeated request does not count
        // as a new request.
        _ => None,
    }
}

/// Returns how much the counters grew from `earlier` to `later`. A counter that fell was reset to zero by a restart
/// of its process.
fn increase_since(earlier: Option<&Counters>, later: &Counters) -> Counters {
    let Some(earlier) = earlier else { return later.clone() };
    let increase = |before: Option<&f64>, now: f64| match before {
        Some(before) if *before <= now => now - before,
        _ => now,
    };
    let by_code = later.by_code.iter().map(|(c, n)| (*c, increase(earlier.by_code.get(c), *n)));
    let by_latency =
        later.by_latency_us.iter().map(|(l, n)| (*l, increase(earlier.by_latency_us.get(l), *n)));
    Counters { by_code: by_code.collect(), by_latency_us: by_latency.collect() }
}

/// Evaluates the requests counted in one window against an objective.
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

/// Builds the report's rows from samples, for windows of the given lengths in seconds that end at the newest
/// sample.
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

/// Returns the sum over all entries of what they counted for `key` between two times.
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
        // The last sample at or before the start of the window holds the counts at that time.
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
