//! One or more worker stand-ins as a process, each with its own listener.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use gaplock_coord::assign;
use gaplock_remote::clock;
use gaplock_serve::{json_response, Whole};
use gaplock_settings::{setting, Kind, Setting};
use gaplock_standin::judge::Verdicts;
use gaplock_standin::worker::{Model, Traits};
use gaplock_types::{ids, sizes, wire};
use http_types::Response;
use serde::Serialize;

const TABLE: &[Setting] = &[
    setting("listen", Kind::List, "ADDRS", Some("127.0.0.1:0"), "Where the workers listen."),
    setting(
        "count",
        Kind::Number { min: 1, max: 2_000 },
        "N",
        Some("1"),
        "Workers in this process; with more than one, ports are given by the kernel.",
    ),
    setting(
        "cpu",
        Kind::Number { min: 1, max: 1_000_000 },
        "MILLICORES",
        Some("16000"),
        "Processors of each worker.",
    ),
    setting(
        "mem",
        Kind::Number { min: 1, max: 10_000_000 },
        "MIB",
        Some("61440"),
        "Memory of each worker.",
    ),
    setting(
        "usage-lag-ms",
        Kind::Number { min: 0, max: 60_000 },
        "MS",
        Some("3000"),
        "How late measurements are.",
    ),
    setting(
        "service-us",
        Kind::Number { min: 0, max: 10_000_000 },
        "US",
        Some("4000"),
        "A service's time alone.",
    ),
    setting("bad", Kind::Switch, "", None, "Everything that is started fails."),
];

/// The most connections that a worker accepts at once.
const CONNECTIONS: usize = 64;

/// One worker with what its process keeps beside the model.
struct Shared {
    model: Model,
    /// How often each request, named by its body's `op`, ran here.
    ops: BTreeMap<String, u32>,
    /// Answers are cut short, for tests.
    cut_answers: bool,
    /// Orders are carried out so much later, without an answer, in milliseconds; 0 for at once.
    late_ms: u64,
}

/// How long a caller waits in vain for the answer to a late order.
const NO_ANSWER: Duration = Duration::from_secs(30);

fn main() {
    let values = gaplock_settings::read_or_exit("standin-worker", "stand-in workers", TABLE);
    let traits = Traits {
        capacity: sizes::Resources::new(
            values.number("cpu") as u32,
            values.number("mem") as u32,
            0,
        ),
        usage_lag_ms: values.number("usage-lag-ms"),
        service_us: values.number("service-us"),
        bad: values.switch("bad"),
        ..Traits::default()
    };
    let given: Vec<String> = values.list("listen").expect("a list of addresses");
    task::block_on(async {
        let mut listeners = Vec::new();
        for i in 0..values.number("count") as usize {
            let addr = given.get(i).map_or("127.0.0.1:0", String::as_str);
            listeners.push(serve_one(addr, traits.clone(), i).await);
        }
        for listener in &listeners {
            println!("listening {}", listener.addr());
        }
        loop {
            task::sleep(Duration::from_secs(3600)).await;
        }
    });
}

async fn serve_one(addr: &str, traits: Traits, i: usize) -> gaplock_serve::Listener {
    let now = clock::now();
    let nanos = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos());
    let boot = wire::Boot(assign::stable_hash(&format!("{nanos}/{}/{i}", std::process::id())));
    let shared = Arc::new(Mutex::new(Shared {
        model: Model::open(traits, boot, now),
        ops: BTreeMap::new(),
        cut_answers: false,
        late_ms: 0,
    }));
    let handler = move |whole| answer(Arc::clone(&shared), whole);
    // The control connections of a former and a new owner may overlap for a moment.
    let limits = gaplock_serve::Limits { connections: CONNECTIONS, ..Default::default() };
    gaplock_serve::bind(addr, limits, handler).await.expect("bind")
}

async fn answer(shared: Arc<Mutex<Shared>>, whole: Whole) -> Response {
    let path = whole.req.url().path().to_string();
    let body = whole.body.clone().unwrap_or_default();
    if let Some(rest) = path.strip_prefix("/svc/") {
        return service(shared, &whole, rest, body).await;
    }
    let late_ms = shared.lock().expect("lock").late_ms;
    if late_ms > 0 && ["/start", "/control"].contains(&path.as_str()) {
        return put_off(shared, path, body, late_ms).await;
    }
    carry_out(&shared, &path, &body)
}

/// Carries an order out late: its caller has long given it up, and newer ones may have come.
async fn put_off(
    shared: Arc<Mutex<Shared>>,
    path: String,
    body: Vec<u8>,
    late_ms: u64,
) -> Response {
    task::spawn(async move {
        task::sleep(Duration::from_millis(late_ms)).await;
        carry_out(&shared, &path, &body);
    });
    task::sleep(NO_ANSWER).await;
    Response::new(503)
}

fn carry_out(shared: &Mutex<Shared>, path: &str, body: &[u8]) -> Response {
    let now = clock::now();
    let mut shared = shared.lock().expect("lock");
    let model = &mut shared.model;
    match path {
        "/lease" => with(body, |req| model.lease(now, &req)),
        "/start" => with(body, |req| model.start(now, &req)),
        "/control" => with(body, |req| model.control(now, &req)),
        "/set-leaving" => with(body, |leaving: bool| model.set_leaving(now, leaving)),
        "/set-late" => with(body, |late_ms: u64| shared.late_ms = late_ms),
        "/set-cut" => with(body, |cut: bool| shared.cut_answers = cut),
        "/judge" => {
            model.advance(now);
            let verdicts = Verdicts {
                counts: shared.model.counts.clone(),
                stretches: shared.model.stretches.clone(),
                ops: shared.ops.clone(),
            };
            json_response(200, serde_json::to_vec(&verdicts).expect("json"))
        }
        _ => Response::new(404),
    }
}

fn with<Q: serde::de::DeserializeOwned, A: Serialize>(
    body: &[u8],
    f: impl FnOnce(Q) -> A,
) -> Response {
    match serde_json::from_slice(body) {
        Ok(req) => json_response(200, serde_json::to_vec(&f(req)).expect("json")),
        Err(_) => Response::new(400),
    }
}

/// Runs a service request: takes a slot, works for the service's time, echoes the body.
async fn service(shared: Arc<Mutex<Shared>>, whole: &Whole, rest: &str, body: Vec<u8>) -> Response {
    let service = ids::ServiceId::from(rest.split('/').next().unwrap_or_default());
    let header = whole.req.header(wire::EPOCH_HEADER).map(|v| v.last().as_str().to_string());
    let epoch = ids::Epoch(header.and_then(|v| v.parse().ok()).unwrap_or(0));
    let direct = whole.req.header("x-direct").is_some();
    let began = {
        let mut shared = shared.lock().expect("lock");
        // The load program measures a worker alone with `x-direct`, past leases and epochs.
        match direct {
            true => Ok(shared.model.traits.service_us),
            false => shared.model.begin_request(clock::now(), epoch, &service),
        }
    };
    let took_us = match began {
        Ok(took_us) => took_us,
        Err(verdict) => return refuse(verdict),
    };
    count_op(&shared, &body);
    task::sleep(Duration::from_micros(took_us)).await;
    let cut = {
        let mut shared = shared.lock().expect("lock");
        if !direct {
            shared.model.end_request(&service, took_us);
        }
        shared.cut_answers
    };
    let mut res = json_response(200, body);
    if cut {
        // Declares more than is sent: the connection ends before the body is whole.
        let sent = res.take_body().into_bytes().await.unwrap_or_default();
        let declared = Some(sent.len() + 64);
        let reader = async_std::io::Cursor::new(sent);
        res.set_body(http_types::Body::from_reader(reader, declared));
    }
    res
}

fn count_op(shared: &Mutex<Shared>, body: &[u8]) {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let op = value.as_ref().and_then(|v| v.get("op")).and_then(|v| v.as_str());
    if let Some(op) = op {
        *shared.lock().expect("lock").ops.entry(op.to_string()).or_default() += 1;
    }
}

fn refuse(verdict: wire::CommandOutcome) -> Response {
    let mut res = Response::new(503);
    res.insert_header(wire::REFUSAL_HEADER, serde_json::to_string(&verdict).expect("json"));
    res
}
