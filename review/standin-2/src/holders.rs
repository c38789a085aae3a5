//! A weak host leads and hands over to a stronger one that was added, while a machine answers the
//! orders of a wave as busy. Both hosts are in touch.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_serve::{FullRequest, Limits, Listener};
use http_types::{Method, Response};
use serde_json::{json, Value};

use crate::deployment::{self, CannotRun, Changes, Record};

const WORKERS: usize = 4;
const WORK: Duration = Duration::from_millis(300);

/// The shares of a core of the two hosts.
const WEAK: f64 = 0.12;
const STRONG: f64 = 0.5;

/// `LeaseMs` and `ContactMs` of the sheet.
const LEASE: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(3_000);

const WATCHED: Duration = Duration::from_secs(12);

/// An order that a machine has its upkeep.
#[derive(Debug, Clone)]
struct Order {
    at: Instant,
    machine: String,
    holder: String,
    token: String,
}

type Orders = Arc<Mutex<Vec<Order>>>;

fn reply(status: u16, body: &Value) -> Response {
    gaplock_serve::json_response(status, body.to_string().into_bytes())
}

/// Starts the service that knows the machines. Each of them is leaving, so that its orders are
/// answered as busy.
async fn cloud(orders: Orders) -> io::Result<Listener> {
    gaplock_serve::bind("127.0.0.1:0", Limits::default(), move |request: FullRequest| {
        let response = answer(&orders, &request);
        async move { response }
    })
    .await
}

fn answer(orders: &Orders, request: &FullRequest) -> Response {
    match (request.req.method(), request.req.url().path()) {
        (Method::Get, "/machines") => {
            let machine = |n: usize| {
                json!({"Machine": format!("m-{n}"), "Pool": "coldtrace", "State": "up",
                    "Zone": "hall-0", "Labels": ["a", "r1"], "Id": format!("i-{n}")})
            };
            let machines: Vec<Value> = (0..WORKERS).map(machine).collect();
            reply(200, &json!({ "Machines": machines }))
        }
        (Method::Post, "/machine-upkeep") => {
            let header = |name: &str| {
                let value = request.req.header(name).map(|v| v.last().as_str().to_string());
                value.unwrap_or_default()
            };
            let body = request.body.as_ref().map(|body| serde_json::from_slice(body));
            let body: Value = body.ok().and_then(Result::ok).unwrap_or_default();
            orders.lock().expect("no holder panics").push(Order {
                at: Instant::now(),
                machine: body["Machine"].to_string(),
                holder: header("x-lease-holder"),
                token: header("x-fencing-token"),
            });
            reply(409, &json!({"Reason": "busy"}))
        }
        _ => reply(404, &json!({})),
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, CannotRun> {
    let orders: Orders = Arc::default();
    let listener = task::block_on(cloud(orders.clone()))?;
    let cloud = json!({"Address": listener.addr().to_string(), "RatePerS": 60.0,
        "Duties": ["upkeep"], "DutyPerS": 60.0});
    let changes = |share| Changes {
        cpu_share: Some(share),
        cloud: Some(cloud.clone()),
        ..Changes::default()
    };
    let mut deployment = deployment::open_with(1, WORKERS, WORK, &changes(WEAK))?;
    deployment.record = record.clone();
    if trouble {
        deployment.add_host(&changes(STRONG))?;
        record.note("a stronger host is added");
    }
    let wave = json!({"Wave": 1, "Machines": ["m-0"], "DurationS": 60, "Maximum": 1});
    deployment.store.put("op/wave/1", &wave);
    record.note("the operator asks for the wave 1");
    let began = Instant::now();
    thread::sleep(WATCHED);
    let started_at = |holder: &str| {
        let host = deployment.hosts.iter().find(|host| host.name == holder);
        host.map_or(began, |host| host.started_at)
    };
    let in_touch =
        |order: &Order| order.at.saturating_duration_since(started_at(&order.holder)) > CONTACT;
    let orders = orders.lock().expect("no holder panics").clone();
    for order in &orders {
        let (after, touch) = (order.at.saturating_duration_since(began), in_touch(order));
        let Order { machine, holder, token, .. } = order;
        record.note(format!("{after:?} after the request: {holder} with token {token} orders {machine}, in touch: {touch}"));
    }
    let mut broken = Vec::new();
    let bound: Vec<&Order> = orders.iter().filter(|order| in_touch(order)).collect();
    for pair in bound.windows(2) {
        let (one, other) = (pair[0], pair[1]);
        let gap = other.at.saturating_duration_since(one.at);
        if one.holder != other.holder && gap < LEASE {
            let machine = &one.machine;
            broken.push(format!(
                "ONE: {} and {} ordered {machine} {gap:?} apart, both in touch",
                one.holder, other.holder
            ));
        }
    }
    if orders.is_empty() {
        return Err(CannotRun("no order was given".to_string()));
    }
    Ok(broken)
}
