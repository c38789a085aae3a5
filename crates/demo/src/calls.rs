//! Single calls to an address, and waits for a condition.

use std::io;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_remote::http::{Answer, Call, Client, HttpError};
use http_types::Method;
use serde_json::Value;

pub(crate) async fn put(addr: &str, path: &str, body: Vec<u8>) -> io::Result<Answer> {
    call(addr, Method::Put, path, &[], body, 5_000).await
}

/// Makes one call on a connection of its own.
///
/// # Errors
/// Returns an error where no whole answer came.
pub async fn call(
    addr: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    limit_ms: u64,
) -> io::Result<Answer> {
    let client = Client::open(addr, 0);
    let limit = Duration::from_millis(limit_ms);
    client.call(Call { method, path, headers, body, limit }).await.map_err(http_error)
}

/// Sends a request with a key to a callers' listener.
///
/// # Errors
/// Returns an error where no whole answer came.
pub async fn ask(
    addr: &str,
    method: Method,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: Value,
) -> io::Result<Answer> {
    let bearer = format!("Bearer {key}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
    call(addr, method, path, &all, body, 12_000).await
}

/// Waits until `holds`, and returns how long that took.
///
/// # Errors
/// Returns an error after `limit`.
pub async fn wait_until<F>(
    limit: Duration,
    what: &str,
    mut holds: impl FnMut() -> F,
) -> io::Result<Duration>
where
    F: std::future::Future<Output = bool>,
{
    let began = Instant::now();
    while !holds().await {
        if began.elapsed() > limit {
            return Err(timed_out(what));
        }
        task::sleep(Duration::from_millis(25)).await;
    }
    Ok(began.elapsed())
}

/// A wait that ran out.
pub(crate) fn timed_out(what: &str) -> io::Error {
    io::Error::other(format!("{what} did not happen in time"))
}

fn http_error(e: HttpError) -> io::Error {
    io::Error::other(e.to_string())
}
