//! The host list stand-in as a process.
//!
//! It serves `GET /v1/hosts`. `PUT /set` replaces the list, which becomes visible after the lag
//! that is set, and `PUT /down` makes reads hang or answer again.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_serve::{json_response, FullRequest};
use gaplock_settings::{setting, Kind, Setting};
use gaplock_types::wire;
use http_types::{Method, Response};

const TABLE: &[Setting] = &[
    setting("listen", Kind::Addr, "ADDR", Some("127.0.0.1:0"), "Where the list is served."),
    setting(
        "lag-ms",
        Kind::Number { min: 0, max: 600_000 },
        "MS",
        Some("500"),
        "How late a change shows.",
    ),
];

#[derive(Default)]
struct HostList {
    /// Versions, each with the time from which it is visible.
    versions: Vec<(Instant, Vec<wire::Host>)>,
    /// Whether reads hang and then fail.
    down: bool,
}

impl HostList {
    /// Returns the number and the hosts of the newest visible version; number 0 and no hosts before
    /// the first.
    fn visible(&self) -> (usize, Vec<wire::Host>) {
        let now = Instant::now();
        let newest = self.versions.iter().rposition(|(from, _)| *from <= now);
        newest.map_or((0, Vec::new()), |i| (i + 1, self.versions[i].1.clone()))
    }
}

fn main() {
    let values = gaplock_settings::read_or_exit("standin-hosts", "stand-in host list", TABLE);
    let lag = Duration::from_millis(values.number("lag-ms"));
    task::block_on(async {
        let list: Arc<Mutex<HostList>> = Arc::default();
        let handler = move |whole| handle_request(Arc::clone(&list), lag, whole);
        let limits = gaplock_serve::Limits { max_body_bytes: 4 << 20, ..Default::default() };
        let listener = gaplock_serve::bind(values.text("listen"), limits, handler)
            .await
            .expect("the listen address can be bound");
        println!("listening {}", listener.addr());
        loop {
            task::sleep(Duration::from_secs(3600)).await;
        }
    });
}

async fn handle_request(list: Arc<Mutex<HostList>>, lag: Duration, whole: FullRequest) -> Response {
    let path = whole.req.url().path().to_string();
    let body = whole.body.unwrap_or_default();
    match (whole.req.method(), path.as_str()) {
        (Method::Put, "/set") => {
            let Ok(hosts) = serde_json::from_slice(&body) else { return Response::new(400) };
            let mut list = list.lock().expect("the lock is not poisoned");
            let from = if list.versions.is_empty() { Instant::now() } else { Instant::now() + lag };
            list.versions.push((from, hosts));
            json_response(200, b"{}".to_vec())
        }
        (Method::Put, "/down") => {
            list.lock().expect("the lock is not poisoned").down = body == b"true";
            json_response(200, b"{}".to_vec())
        }
        (Method::Get, "/v1/hosts") => {
            if list.lock().expect("the lock is not poisoned").down {
                task::sleep(Duration::from_secs(20)).await;
                return Response::new(503);
            }
            let (version, hosts) = list.lock().expect("the lock is not poisoned").visible();
            let tag = format!("\"{version}\"");
            if whole.req.header("if-none-match").is_some_and(|v| v.last().as_str() == tag) {
                return Response::new(304);
            }
            let mut res =
                json_response(200, serde_json::to_vec(&hosts).expect("hosts serialize to JSON"));
            res.insert_header("etag", tag);
            res
        }
        _ => Response::new(404),
    }
}
