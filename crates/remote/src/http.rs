//! A keep-alive HTTP client for one address that accepts only complete answers.
//!
//! `async-h1` accepts a body that ends before its `Content-Length`. This module counts the bytes
//! and turns such an answer into an error.

use std::fmt;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time;

use async_std::future;
use async_std::net;
use futures::{AsyncRead, AsyncWrite, FutureExt};
use http_types::headers;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// The request was not sent because there was no connection.
    NotSent,
    /// The request may have been carried out, but no complete answer arrived.
    Unclear,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "the request was not sent",
            Self::Unclear => "no complete answer arrived; the request may have been carried out",
        })
    }
}

impl std::error::Error for HttpError {}

/// The result of a call.
pub type Result<T> = std::result::Result<T, HttpError>;

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Parses the body as JSON. Returns none if it is not the expected JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// A request.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// The method.
    pub method: http_types::Method,
    /// The path with its query.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Vec<u8>,
    /// The longest wait for the complete answer, connecting included.
    pub timeout: time::Duration,
}

/// A client for one address, with the connections that it keeps.
#[derive(Debug)]
pub struct Client {
    addr: String,
    idle: Mutex<Vec<net::TcpStream>>,
    max_idle: usize,
}

/// The longest wait for a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

impl Client {
    /// Builds a client that keeps at most `max_idle` unused connections.
    pub fn open(addr: impl Into<String>, max_idle: usize) -> Self {
        Self { addr: addr.into(), idle: Mutex::new(Vec::new()), max_idle }
    }

    /// Returns the address.
    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// Closes every unused connection.
    pub fn close_idle(&self) {
        self.idle.lock().expect("no holder of the lock panics").clear();
    }

    fn take_idle(&self) -> Option<net::TcpStream> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        while let Some(stream) = idle.pop() {
            // An unused connection that is readable has been closed or holds an unexpected answer.
            let mut byte = [0_u8; 1];
            if stream.peek(&mut byte).now_or_never().is_none() {
                return Some(stream);
            }
        }
        None
    }

    async fn connect(&self, limit: time::Duration) -> Result<net::TcpStream> {
        if let Some(stream) = self.take_idle() {
            return Ok(stream);
        }
        let connecting = net::TcpStream::connect(&self.addr);
        let stream = future::timeout(limit.min(CONNECT_TIMEOUT), connecting)
            .await
            .map_err(|_| HttpError::NotSent)?
            .map_err(|_| HttpError::NotSent)?;
        stream.set_nodelay(true).map_err(|_| HttpError::NotSent)?;
        Ok(stream)
    }

    /// Sends a request and waits for its complete answer.
    ///
    /// # Errors
    /// Returns [`HttpError::NotSent`] if nothing left this process, and [`HttpError::Unclear`] if
    /// the server may have acted. The connection is dropped in both cases. If no answer arrived in
    /// time, every unused connection is closed too, so that a silent server costs one time-out and
    /// not one for each connection that is kept.
    pub async fn call(&self, call: Call<'_>) -> Result<Answer> {
        let limit = call.timeout;
        self.call_while_progressing(call, limit).await
    }

    /// As [`Client::call`], but the call's timeout limits the time in which no byte arrives or leaves,
    /// and `limit` the whole call: a large message takes long on a slow link.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn call_while_progressing(
        &self,
        call: Call<'_>,
        limit: time::Duration,
    ) -> Result<Answer> {
        self.call_for_small_answer(call, limit, usize::MAX).await?.ok_or(HttpError::Unclear)
    }

    /// As [`Client::call_while_progressing`], but an answer that declares more than `max_bytes` is not
    /// read, and none is returned.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn call_for_small_answer(
        &self,
        call: Call<'_>,
        limit: time::Duration,
        max_bytes: usize,
    ) -> Result<Option<Answer>> {
        let began = time::Instant::now();
        let stream = self.connect(call.timeout).await?;
        let req = self.build(&call)?;
        let deadline = began + limit;
        let first_wait = call.timeout.saturating_sub(began.elapsed());
        let passed = Arc::new(AtomicU64::new(0));
        let counted = Counted { stream: stream.clone(), passed: Arc::clone(&passed) };
        let exchange = exchange(counted, req, max_bytes);
        let Ok(exchanged) =
            while_progressing(exchange, &passed, first_wait, call.timeout, deadline).await
        else {
            // If one connection stopped answering without a reset, the others may have too.
            self.close_idle();
            return Err(HttpError::Unclear);
        };
        let Some((answer, reusable)) = exchanged? else { return Ok(None) };
        if reusable {
            let mut idle = self.idle.lock().expect("no holder of the lock panics");
            if idle.len() < self.max_idle {
                idle.push(stream);
            }
        }
        Ok(Some(answer))
    }

    fn build(&self, call: &Call<'_>) -> Result<http_types::Request> {
        let url = format!("http://{}{}", self.addr, call.path);
        let url = http_types::Url::parse(&url).map_err(|_| HttpError::NotSent)?;
        let mut req = http_types::Request::new(call.method, url);
        for (name, value) in call.headers {
            let name = headers::HeaderName::from_bytes(name.as_bytes().to_vec());
            let name = name.map_err(|_| HttpError::NotSent)?;
            let value = headers::HeaderValue::from_bytes(value.as_bytes().to_vec());
            req.insert_header(name, value.map_err(|_| HttpError::NotSent)?);
        }
        req.set_body(call.body.clone());
        Ok(req)
    }

    /// Sends a JSON body and parses the answer as JSON.
    ///
    /// # Errors
    /// As [`Client::call`]. Returns [`HttpError::Unclear`] if the answer is not the expected JSON.
    pub async fn post_json<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &impl serde::Serialize,
        limit: time::Duration,
    ) -> Result<T> {
        let body = serde_json::to_vec(body).map_err(|_| HttpError::NotSent)?;
        let headers = [("content-type", "application/json")];
        let method = http_types::Method::Post;
        let answer =
            self.call(Call { method, path, headers: &headers, body, timeout: limit }).await?;
        answer.json().ok_or(HttpError::Unclear)
    }
}

/// A connection that counts the bytes that pass.
struct Counted {
    stream: net::TcpStream,
    passed: Arc<AtomicU64>,
}

impl Counted {
    fn count(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(len)) = polled {
            self.passed.fetch_add(*len as u64, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.count(&polled);
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// Runs an exchange until it ends, until no byte has passed for `silence` (at first `first_wait`), or
/// until the deadline.
async fn while_progressing<T>(
    exchange: impl Future<Output = T>,
    passed: &AtomicU64,
    first_wait: time::Duration,
    silence: time::Duration,
    deadline: time::Instant,
) -> std::result::Result<T, future::TimeoutError> {
    let mut exchange = pin!(exchange);
    let mut wait = first_wait;
    loop {
        let before = passed.load(Ordering::Relaxed);
        let left = deadline.saturating_duration_since(time::Instant::now());
        match future::timeout(wait.min(left), exchange.as_mut()).await {
            Ok(exchanged) => return Ok(exchanged),
            Err(e) if passed.load(Ordering::Relaxed) == before || left <= wait => return Err(e),
            Err(_) => wait = silence,
        }
    }
}

async fn exchange(
    stream: impl AsyncRead + AsyncWrite + Send + Sync + Unpin + 'static,
    req: http_types::Request,
    max_bytes: usize,
) -> Result<Option<(Answer, bool)>> {
    let mut res = async_h1::connect(stream, req).await.map_err(|_| HttpError::Unclear)?;
    let declared: Option<usize> =
        res.header("content-length").and_then(|v| v.last().as_str().parse().ok());
    if declared.is_some_and(|declared| declared > max_bytes) {
        return Ok(None);
    }
    let chunked = res.header("transfer-encoding").is_some();
    let closes = res.header("connection").is_some_and(|v| v.last().as_str() == "close");
    let body = res.body_bytes().await.map_err(|_| HttpError::Unclear)?;
    if !is_complete(u16::from(res.status()), declared, chunked, body.len()) {
        return Err(HttpError::Unclear);
    }
    let headers = res
        .iter()
        .map(|(name, values)| (name.as_str().to_string(), values.last().as_str().to_string()))
        .collect();
    let answer = Answer { status: u16::from(res.status()), headers, body };
    Ok(Some((answer, !closes)))
}

/// Statuses whose answers have no body.
const STATUSES_WITHOUT_BODY: [u16; 2] = [204, 304];

/// Returns whether a body is known to be complete: either it has its declared length, or it ended
/// with a proper last chunk, which the decoder checks. A body that ends only because its connection
/// was closed could have been truncated, and the decoder returns it as empty; such an answer counts
/// as incomplete.
fn is_complete(status: u16, declared: Option<usize>, chunked: bool, len: usize) -> bool {
    match declared {
        Some(declared) => declared == len,
        None => chunked || STATUSES_WITHOUT_BODY.contains(&status),
    }
}
