//! One or more worker stand-ins in one process, each with its own listener.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use gaplock_coord::assign;
use gaplock_remote::clock;
use gaplock_serve::{json_response, FullRequest};
use gaplock_settings::{setting, Kind, Setting};
use gaplock_standin::checker::CheckerReport;
use gaplock_standin::worker::{Model, WorkerConfig};
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

/// How many connections a worker accepts at the same time.
const MAX_CONNECTIONS: usize = 64;

/// One worker's model and the state that its process keeps beside it.
struct WorkerState {
    model: Model,
    /// How often each request ran here, by the `op` of its body.
    ops: BTreeMap<String, u32>,
    /// Whether answers to service requests are truncated, as a fault.
    truncate_answers: bool,
    /// The delay after which starts and control commands are carried out, without an answer, in
    /// milliseconds; 0 carries them out immediately.
    command_delay_ms: u64,
}

/// How long the caller of a delayed command is kept waiting; it gets no useful answer.
const UNANSWERED_HOLD: Duration = Duration::from_secs(30);

fn main() {
    let values = gaplock_settings::read_or_exit("standin-worker", "stand-in workers", TABLE);
    let traits = WorkerConfig {
        capacity: sizes::Resources::new(
            values.number("cpu") as u32,
            values.number("mem") as u32,
            0,
        ),
        usage_lag_ms: values.number("usage-lag-ms"),
        service_us: values.number("service-us"),
        bad: values.switch("bad"),
        ..WorkerConfig::default()
    };
    let listen_addrs: Vec<String> = values.list("listen").expect("`listen` is a list of addresses");
    task::block_on(async {
        let mut listeners = Vec::new();
        for i in 0..values.number("count") as usize {
            let addr = listen_addrs.get(i).map_or("127.0.0.1:0", String::as_str);
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

async fn serve_one(addr: &str, traits: WorkerConfig, i: usize) -> gaplock_serve::Listener {
    let now = clock::now();
    let nanos = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos());
    let boot = wire::Boot(assign::stable_hash(&format!("{nanos}/{}/{i}", std::process::id())));
    let shared = Arc::new(Mutex::new(WorkerState {
        model: Model::open(traits, boot, now),
        ops: BTreeMap::new(),
        truncate_answers: false,
        command_delay_ms: 0,
    }));
    let handler = move |whole| handle_request(Arc::clone(&shared), whole);
    // For a short time, the control connections of the previous owner and of the new one may
    // exist together.
    let limits = gaplock_serve::Limits { max_connections: MAX_CONNECTIONS, ..Default::default() };
    gaplock_serve::bind(addr, limits, handler).await.expect("the listen address can be bound")
}

async fn handle_request(shared: Arc<Mutex<WorkerState>>, whole: FullRequest) -> Response {
    let path = whole.req.url().path().to_string();
    let body = whole.body.clone().unwrap_or_default();
    if let Some(rest) = path.strip_prefix("/svc/") {
        return service(shared, &whole, rest, body).await;
    }
    let command_delay_ms = shared.lock().expect("the lock is not poisoned").command_delay_ms;
    if command_delay_ms > 0 && ["/start", "/control"].contains(&path.as_str()) {
        return carry_out_delayed(shared, path, body, command_delay_ms).await;
    }
    carry_out(&shared, &path, &body)
}

/// Carries out a command after a delay. By then its caller has timed out, and newer commands may
/// have been carried out.
async fn carry_out_delayed(
    shared: Arc<Mutex<WorkerState>>,
    path: String,
    body: Vec<u8>,
    command_delay_ms: u64,
) -> Response {
    task::spawn(async move {
        task::sleep(Duration::from_millis(command_delay_ms)).await;
        carry_out(&shared, &path, &body);
    });
    task::sleep(UNANSWERED_HOLD).await;
    Response::new(503)
}

fn carry_out(shared: &Mutex<WorkerState>, path: &str, body: &[u8]) -> Response {
    let now = clock::now();
    let mut shared = shared.lock().expect("the lock is not poisoned");
    let model = &mut shared.model;
    match path {
        "/lease" => handle_json(body, |req| model.lease(now, &req)),
        "/start" => handle_json(body, |req| model.start(now, &req)),
        "/control" => handle_json(body, |req| model.control(now, &req)),
        "/set-leaving" => handle_json(body, |leaving: bool| model.set_leaving(now, leaving)),
        "/set-late" => {
            handle_json(body, |command_delay_ms: u64| shared.command_delay_ms = command_delay_ms)
        }
        "/set-cut" => handle_json(body, |cut: bool| shared.truncate_answers = cut),
        "/judge" => {
            model.advance(now);
            let report = CheckerReport {
                counts: shared.model.counts.clone(),
                stretches: shared.model.stretches.clone(),
                ops: shared.ops.clone(),
            };
            json_response(200, serde_json::to_vec(&report).expect("the report serializes to JSON"))
        }
        _ => Response::new(404),
    }
}

/// Parses the body as a request, applies `f` to it and answers with the result as JSON.
fn handle_json<Q: serde::de::DeserializeOwned, A: Serialize>(
    body: &[u8],
    f: impl FnOnce(Q) -> A,
) -> Response {
    match serde_json::from_slice(body) {
        Ok(req) => {
            json_response(200, serde_json::to_vec(&f(req)).expect("the reply serializes to JSON"))
        }
        Err(_) => Response::new(400),
    }
}

/// Runs a service request: takes a slot, waits for the service time and echoes the body.
async fn service(
    shared: Arc<Mutex<WorkerState>>,
    whole: &FullRequest,
    rest: &str,
    body: Vec<u8>,
) -> Response {
    let service = ids::ServiceId::from(rest.split('/').next().unwrap_or_default());
    let header = whole.req.header(wire::EPOCH_HEADER).map(|v| v.last().as_str().to_string());
    let epoch = ids::Epoch(header.and_then(|v| v.parse().ok()).unwrap_or(0));
    let direct = whole.req.header("x-direct").is_some();
    let began = {
        let mut shared = shared.lock().expect("the lock is not poisoned");
        // The load program measures a worker alone with `x-direct`; such requests bypass leases
        // and epochs.
        match direct {
            true => Ok(shared.model.traits.service_us),
            false => shared.model.begin_request(clock::now(), epoch, &service),
        }
    };
    let took_us = match began {
        Ok(took_us) => took_us,
        Err(outcome) => return refuse(outcome),
    };
    count_op(&shared, &body);
    task::sleep(Duration::from_micros(took_us)).await;
    let truncate = {
        let mut shared = shared.lock().expect("the lock is not poisoned");
        if !direct {
            shared.model.end_request(&service, took_us);
        }
        shared.truncate_answers
    };
    let mut res = json_response(200, body);
    if truncate {
        // Declares more bytes than are sent, so that the connection ends before the body is
        // complete.
        let sent = res.take_body().into_bytes().await.unwrap_or_default();
        let declared = Some(sent.len() + 64);
        let reader = async_std::io::Cursor::new(sent);
        res.set_body(http_types::Body::from_reader(reader, declared));
    }
    res
}

fn count_op(shared: &Mutex<WorkerState>, body: &[u8]) {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let op = value.as_ref().and_then(|v| v.get("op")).and_then(|v| v.as_str());
    if let Some(op) = op {
        *shared.lock().expect("the lock is not poisoned").ops.entry(op.to_string()).or_default() +=
            1;
    }
}

fn refuse(outcome: wire::CommandOutcome) -> Response {
    let mut res = Response::new(503);
    res.insert_header(
        wire::REFUSAL_HEADER,
        serde_json::to_string(&outcome).expect("a command outcome serializes to JSON"),
    );
    res
}
