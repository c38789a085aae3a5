//! Makes single calls to an address and waits for conditions.

use std::io;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_remote::http::{Answer, Call, Client, HttpError};
use http_types::Method;
use serde_json::Value;

pub(crate) async fn put(addr: &str, path: &str, body: Vec<u8>) -> io::Result<Answer> {
    call(addr, Method::Put, path, &[], body, 5_000).await
}

/// Makes one call on a new connection.
///
/// # Errors
/// Returns an error if no complete answer arrives within `timeout_ms`.
pub async fn call(
    addr: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    timeout_ms: u64,
) -> io::Result<Answer> {
    let client = Client::open(addr, 0);
    let limit = Duration::from_millis(timeout_ms);
    client.call(Call { method, path, headers, body, timeout: limit }).await.map_err(http_error)
}

/// Sends a request with a key to an entry's listener for callers.
///
/// # Errors
/// Returns an error if no complete answer arrives.
pub async fn ask(
    addr: &str,
    method: Method,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: Value,
) -> io::Result<Answer> {
    let bearer = format!("Bearer {key}");
    let mut all_headers = vec![("authorization", bearer.as_str())];
    all_headers.extend_from_slice(headers);
    let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
    call(addr, method, path, &all_headers, body, 12_000).await
}

/// Waits until `holds` returns true, and returns how long that took.
///
/// # Errors
/// Returns an error if that takes longer than `timeout`.
pub async fn wait_until<F>(
    timeout: Duration,
    what: &str,
    mut holds: impl FnMut() -> F,
) -> io::Result<Duration>
where
    F: std::future::Future<Output = bool>,
{
    let began = Instant::now();
    while !holds().await {
        if began.elapsed() > timeout {
            return Err(timed_out(what));
        }
        task::sleep(Duration::from_millis(25)).await;
    }
    Ok(began.elapsed())
}

/// Builds the error for a wait that has timed out.
pub(crate) fn timed_out(what: &str) -> io::Error {
    io::Error::other(format!("{what} did not happen in time"))
}

fn http_error(e: HttpError) -> io::Error {
    io::Error::other(e.to_string())
}
