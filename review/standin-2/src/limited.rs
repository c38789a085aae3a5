//! The limit of the platform's store on the size of a value, in front of the project's stand-in of
//! the store, which has none.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use gaplock_remote::http::{Call, Client};
use gaplock_serve::{FullRequest, Limits, Listener};
use http_types::{Method, Response};
use serde_json::{json, Value};

/// How long a call may take at the store: longer than any watch waits.
const CALL_LIMIT: Duration = Duration::from_secs(40);

/// The largest transaction that is read: 32 values of the largest size in base64.
const MAX_BODY_BYTES: usize = 64 << 20;

const BAD_REQUEST: u16 = 400;
const UNAVAILABLE: u16 = 503;

/// The values that were refused: key and size in bytes.
pub type Refused = Arc<Mutex<Vec<(String, usize)>>>;

/// A running limit.
pub struct Proxy(Listener);

impl Proxy {
    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }
}

/// Forwards calls to the store at `store`; a transaction with a larger value is refused as a whole.
pub async fn bind(store: SocketAddr, max_value: usize, refused: Refused) -> io::Result<Proxy> {
    let client = Arc::new(Client::open(store.to_string(), 8));
    let limits = Limits { max_body_bytes: MAX_BODY_BYTES, ..Limits::default() };
    let listener = gaplock_serve::bind("127.0.0.1:0", limits, move |request| {
        answer(Arc::clone(&client), max_value, refused.clone(), request)
    });
    Ok(Proxy(listener.await?))
}

async fn answer(
    client: Arc<Client>,
    max_value: usize,
    refused: Refused,
    request: FullRequest,
) -> Response {
    let method = request.req.method();
    let url = request.req.url();
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_string(),
    };
    let Ok(body) = request.body else { return reply(BAD_REQUEST, Vec::new()) };
    if method == Method::Post && url.path() == "/kv-txn" {
        let too_large = oversized(&body, max_value);
        if !too_large.is_empty() {
            refused.lock().expect("no holder panics").extend(too_large);
            return reply(BAD_REQUEST, json!({"Error": "a value is too large"}).to_string().into());
        }
    }
    let headers = [("content-type", "application/json")];
    let call = Call { method, path: &path, headers: &headers, body, timeout: CALL_LIMIT };
    match client.call(call).await {
        Ok(answer) => reply(answer.status, answer.body),
        Err(_) => reply(UNAVAILABLE, Vec::new()),
    }
}

/// Returns the values of a transaction that are larger than the store takes.
fn oversized(body: &[u8], max_value: usize) -> Vec<(String, usize)> {
    let txn: Value = serde_json::from_slice(body).unwrap_or_default();
    let sets = txn["SetKeys"].as_array().cloned().unwrap_or_default();
    let size = |set: &Value| STANDARD.decode(set["Value"].as_str()?).ok().map(|bytes| bytes.len());
    let sized = sets.iter().map(|set| (set["Key"].to_string(), size(set).unwrap_or_default()));
    sized.filter(|(_, size)| *size > max_value).collect()
}

fn reply(status: u16, body: Vec<u8>) -> Response {
    gaplock_serve::json_response(status, body)
}
