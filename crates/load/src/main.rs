//! `gaplock-load`: sends open-loop load to a service, directly to workers or through entries.
//!
//! Each request has an intended send time, and its latency is measured from there. A slow answer therefore
//! also shows in the latency of requests that had to wait behind it. With both `--direct` and `--entries`,
//! the two paths take turns within one run, and the ratio of their latencies is printed.

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_remote::http::{Call, Client};
use gaplock_settings::{setting, Kind, Setting};
use hdrhistogram::Histogram;
use http_types::Method;
use serde::Serialize;

const ABOUT: &str = "open-loop load on a service; prints one JSON result";
const TABLE: &[Setting] = &[
    setting("entries", Kind::Text, "ADDRS", Some(""), "Callers' addresses of entries."),
    setting("direct", Kind::Text, "ADDRS", Some(""), "Workers' addresses, for the direct path."),
    setting("service", Kind::Text, "NAME", Some("coldtrace"), "The service."),
    setting("key", Kind::Secret, "FILE", Some("none"), "A partner's key."),
    setting(
        "rate",
        Kind::Number { min: 1, max: 100_000 },
        "PER-SECOND",
        Some("200"),
        "Requests a second.",
    ),
    setting("seconds", Kind::Number { min: 1, max: 3_600 }, "S", Some("5"), "How long."),
    setting(
        "deadline",
        Kind::Number { min: 1, max: 30_000 },
        "MS",
        Some("2000"),
        "The deadline sent along.",
    ),
    setting("rounds", Kind::Number { min: 1, max: 100 }, "N", Some("2"), "Turns of each path."),
];

/// The result of one path.
#[derive(Debug, Serialize)]
struct PathResult {
    path: &'static str,
    sent: u64,
    answered: u64,
    refused: u64,
    failed: u64,
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
    max_us: u64,
}

/// The result of a run, printed as JSON.
#[derive(Debug, Serialize)]
struct RunResult {
    rate: u64,
    seconds: u64,
    paths: Vec<PathResult>,
    /// The median latency through the entries divided by the direct one.
    ratio_p50: Option<f64>,
    /// The same ratio of the 99th percentiles.
    ratio_p99: Option<f64>,
}

struct Tally {
    latency_us: Histogram<u64>,
    sent: u64,
    answered: u64,
    refused: u64,
    failed: u64,
}

/// A path on which requests are sent, with its counts.
struct Route {
    name: &'static str,
    clients: Vec<Client>,
    path: String,
    headers: Vec<(String, String)>,
    tally: Mutex<Tally>,
}

/// The highest latency that the histogram records exactly, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// The significant decimal digits of recorded latencies.
const HISTOGRAM_DIGITS: u8 = 3;
/// The idle connections that a client keeps open, so that concurrent requests can reuse connections.
const IDLE_CONNECTIONS: usize = 256;

fn route(
    name: &'static str,
    addrs: &[String],
    path: String,
    headers: Vec<(String, String)>,
) -> Route {
    let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
        .expect("the histogram's constant bounds are valid");
    let tally = Tally { latency_us, sent: 0, answered: 0, refused: 0, failed: 0 };
    let clients = addrs.iter().map(|a| Client::open(a, IDLE_CONNECTIONS)).collect();
    Route { name, clients, path, headers, tally: Mutex::new(tally) }
}

fn main() -> ExitCode {
    let values = gaplock_settings::read_or_exit("gaplock-load", ABOUT, TABLE);
    let service = values.text("service");
    let lists = values.list::<String>("entries").and_then(|e| Ok((e, values.list("direct")?)));
    let (entries, direct) = match lists {
        Ok(lists) => lists,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(2);
        }
    };
    let mut routes = Vec::new();
    if !direct.is_empty() {
        let headers = vec![("x-direct".to_string(), "1".to_string())];
        routes.push(Arc::new(route("direct", &direct, format!("/svc/{service}/load"), headers)));
    }
    if !entries.is_empty() {
        let headers = vec![
            ("authorization".to_string(), format!("Bearer {}", values.text("key"))),
            ("x-gaplock-deadline-ms".to_string(), values.text("deadline").to_string()),
        ];
        let path = format!("/v1/services/{service}/load");
        routes.push(Arc::new(route("entries", &entries, path, headers)));
    }
    if routes.is_empty() {
        eprintln!("error: give --entries, --direct or both");
        return ExitCode::from(2);
    }
    let (rate, seconds) = (values.number("rate"), values.number("seconds"));
    let rounds = values.number("rounds");
    let limit = Duration::from_millis(values.number("deadline")) + Duration::from_secs(1);
    task::block_on(async {
        for _ in 0..rounds {
            for route in &routes {
                let round_time = Duration::from_secs(seconds) / rounds as u32;
                send_open_loop(route, rate, round_time, limit).await;
            }
        }
    });
    let result = summarise(rate, seconds, &routes);
    println!(
        "{}",
        serde_json::to_string_pretty(&result).expect("a load result always serializes to JSON")
    );
    ExitCode::SUCCESS
}

/// Sends requests at fixed times, whether or not earlier ones have been answered.
async fn send_open_loop(route: &Arc<Route>, rate: u64, round_time: Duration, limit: Duration) {
    let began = Instant::now();
    let count = (round_time.as_secs_f64() * rate as f64) as u64;
    let mut sending = Vec::new();
    for n in 0..count {
        let intended = began + Duration::from_secs_f64(n as f64 / rate as f64);
        task::sleep(intended.saturating_duration_since(Instant::now())).await;
        let route = Arc::clone(route);
        sending.push(task::spawn(async move { send_one(&route, n, intended, limit).await }));
    }
    for request in sending {
        request.await;
    }
}

async fn send_one(route: &Route, n: u64, intended: Instant, limit: Duration) {
    let client = &route.clients[n as usize % route.clients.len()];
    let headers: Vec<(&str, &str)> =
        route.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let body = format!("{{\"n\":{n}}}").into_bytes();
    let call =
        Call { method: Method::Post, path: &route.path, headers: &headers, body, timeout: limit };
    let answer = client.call(call).await;
    let latency_us = intended.elapsed().as_micros() as u64;
    let mut tally =
        route.tally.lock().expect("no thread panics while it holds the lock on the tally");
    tally.sent += 1;
    match answer {
        Ok(answer) if answer.status == 200 => {
            tally.answered += 1;
            tally.latency_us.saturating_record(latency_us.max(1));
        }
        Ok(_) => tally.refused += 1,
        Err(_) => tally.failed += 1,
    }
}

fn summarise(rate: u64, seconds: u64, routes: &[Arc<Route>]) -> RunResult {
    let paths: Vec<PathResult> = routes.iter().map(|r| path_result(r)).collect();
    let ratio = |pick: fn(&PathResult) -> u64| match paths.as_slice() {
        [direct, entries] if pick(direct) > 0 => Some(pick(entries) as f64 / pick(direct) as f64),
        _ => None,
    };
    let (ratio_p50, ratio_p99) = (ratio(|p| p.p50_us), ratio(|p| p.p99_us));
    RunResult { rate, seconds, paths, ratio_p50, ratio_p99 }
}

fn path_result(route: &Route) -> PathResult {
    let tally = route.tally.lock().expect("no thread panics while it holds the lock on the tally");
    let at = |quantile| tally.latency_us.value_at_quantile(quantile);
    PathResult {
        path: route.name,
        sent: tally.sent,
        answered: tally.answered,
        refused: tally.refused,
        failed: tally.failed,
        p50_us: at(0.5),
        p99_us: at(0.99),
        p999_us: at(0.999),
        max_us: tally.latency_us.max(),
    }
}
