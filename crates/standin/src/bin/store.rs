//! The store stand-in as a process.
//!
//! It serves `PUT /v1/txn` and `GET /v1/kv/...`. `/faults` sets the faults to inject, and `/counts`
//! returns the calls so far.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use base64::Engine;
use gaplock_coord::action::{Kv, StoreAnswer, StoreCall};
use gaplock_remote::store::{KvRow, TxnAnswer, TxnOp, TxnResult, INDEX_HEADER};
use gaplock_serve::{json_response, FullRequest};
use gaplock_settings::{setting, Kind, Setting};
use gaplock_standin::store::{Faults, Model};
use gaplock_types::ids;
use http_types::{Method, Response};

const TABLE: &[Setting] =
    &[setting("listen", Kind::Addr, "ADDR", Some("127.0.0.1:0"), "Where the store listens.")];
/// How often a waiting read checks whether its key has changed.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

type Shared = Arc<Mutex<Model>>;

fn main() {
    let values = gaplock_settings::read_or_exit("standin-store", "stand-in store", TABLE);
    task::block_on(async {
        let model: Shared = Arc::default();
        let handler = move |whole| handle_request(Arc::clone(&model), whole);
        let limits = gaplock_serve::Limits { max_body_bytes: 2 << 20, ..Default::default() };
        let listener = gaplock_serve::bind(values.text("listen"), limits, handler)
            .await
            .expect("the listen address can be bound");
        println!("listening {}", listener.addr());
        loop {
            task::sleep(Duration::from_secs(3600)).await;
        }
    });
}

async fn handle_request(model: Shared, whole: FullRequest) -> Response {
    let url = whole.req.url().clone();
    let path = url.path().to_string();
    let body = whole.body.unwrap_or_default();
    if path == "/faults" {
        let faults: Faults = serde_json::from_slice(&body).unwrap_or_default();
        model.lock().expect("the lock is not poisoned").faults = faults;
        return json_response(200, b"{}".to_vec());
    }
    if path == "/counts" {
        let counts = model.lock().expect("the lock is not poisoned").counts;
        return json_response(200, serde_json::to_vec(&counts).expect("counts serialize to JSON"));
    }
    let faults = model.lock().expect("the lock is not poisoned").faults;
    if faults.slow_ms > 0 {
        task::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.down {
        return hang().await;
    }
    match whole.req.method() {
        Method::Put => transact(&model, &body).await,
        _ => read(&model, &url).await,
    }
}

/// Keeps the caller waiting, as a service does whose port is open but which is down.
async fn hang() -> Response {
    task::sleep(Duration::from_secs(30)).await;
    Response::new(503)
}

async fn transact(model: &Shared, body: &[u8]) -> Response {
    let Ok(mut ops) = serde_json::from_slice::<Vec<TxnOp>>(body) else {
        return Response::new(400);
    };
    let Some(op) = ops.pop().map(|op| op.kv) else { return Response::new(400) };
    let index = ids::StoreIndex(op.index);
    let call = match op.value {
        Some(text) => {
            let value = base64::engine::general_purpose::STANDARD.decode(text).unwrap_or_default();
            StoreCall::Cas { key: op.key.clone(), value, index }
        }
        None => StoreCall::Delete { key: op.key.clone(), index },
    };
    let delay_ms = model.lock().expect("the lock is not poisoned").draw_write_delay();
    if let Some(delay_ms) = delay_ms {
        let model = Arc::clone(model);
        task::spawn(async move {
            task::sleep(Duration::from_millis(delay_ms)).await;
            model.lock().expect("the lock is not poisoned").carry_out(&call);
        });
        return hang().await;
    }
    let (result, answer_lost) = {
        let mut model = model.lock().expect("the lock is not poisoned");
        let result = model.carry_out(&call);
        let answer_lost = model.draw_answer_loss();
        (result, answer_lost)
    };
    if answer_lost {
        return hang().await;
    }
    match result {
        StoreAnswer::Written(index) => {
            let kv = KvRow { key: op.key, value: None, modify_index: index.0 };
            let answer = TxnAnswer { results: vec![TxnResult { kv }] };
            json_response(200, serde_json::to_vec(&answer).expect("the answer serializes to JSON"))
        }
        _ => json_response(409, b"{\"Errors\":[{\"OpIndex\":0,\"What\":\"index\"}]}".to_vec()),
    }
}

async fn read(model: &Shared, url: &http_types::Url) -> Response {
    let key = url.path().trim_start_matches("/v1/kv/").to_string();
    let param =
        |name: &str| url.query_pairs().find(|(n, _)| n == name).map(|(_, v)| v.into_owned());
    let after: u64 = param("index").and_then(|v| v.parse().ok()).unwrap_or(0);
    let wait = param("wait").and_then(|v| v.trim_end_matches("ms").parse().ok()).unwrap_or(0);
    if param("index").is_some() {
        model.lock().expect("the lock is not poisoned").counts.watches += 1;
        wait_for_change(model, &key, after, Duration::from_millis(wait)).await;
    }
    let call = match param("recurse") {
        Some(_) => StoreCall::List { prefix: key.clone() },
        None => StoreCall::Get { key: key.clone() },
    };
    let down = model.lock().expect("the lock is not poisoned").faults.down;
    if down {
        return hang().await;
    }
    let (answer, index) = {
        let mut model = model.lock().expect("the lock is not poisoned");
        let index = match &call {
            StoreCall::Get { key } => model.index_of(key),
            _ => model.index(),
        };
        (model.carry_out(&call), index)
    };
    let StoreAnswer::Read(kvs) = answer else { return Response::new(500) };
    let mut res = match kvs.is_empty() {
        true => json_response(404, Vec::new()),
        false => json_response(200, rows(kvs)),
    };
    res.insert_header(INDEX_HEADER, index.0.max(1).to_string());
    res
}

async fn wait_for_change(model: &Shared, key: &str, after: u64, wait: Duration) {
    // A request with index 0 does not wait. A key that does not exist has index 1 here.
    if after == 0 {
        return;
    }
    let began = std::time::Instant::now();
    while began.elapsed() < wait {
        if model.lock().expect("the lock is not poisoned").index_of(key).0.max(1) != after {
            return;
        }
        task::sleep(WATCH_POLL_INTERVAL).await;
    }
}

fn rows(kvs: Vec<Kv>) -> Vec<u8> {
    let encode = |kv: Kv| KvRow {
        key: kv.key,
        value: Some(base64::engine::general_purpose::STANDARD.encode(kv.value)),
        modify_index: kv.index.0,
    };
    let rows: Vec<KvRow> = kvs.into_iter().map(encode).collect();
    serde_json::to_vec(&rows).expect("rows serialize to JSON")
}
