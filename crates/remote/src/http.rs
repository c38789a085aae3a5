//! A keep-alive HTTP client for one address that accepts only complete answers.
//!
//! `async-h1` accepts a body that ends before its `Content-Length`. This module counts the bytes
//! and turns such an answer into an error.

use std::fmt;
use std::sync::Mutex;
use std::time;

use async_std::future;
use async_std::net;
use futures::FutureExt;
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
        let began = time::Instant::now();
        let stream = self.connect(call.timeout).await?;
        let req = self.build(&call)?;
        let left = call.timeout.saturating_sub(began.elapsed());
        let exchange = exchange(stream.clone(), req);
        let Ok(exchanged) = future::timeout(left, exchange).await else {
            // If one connection stopped answering without a reset, the others may have too.
            self.close_idle();
            return Err(HttpError::Unclear);
        };
        let (answer, reusable) = exchanged?;
        if reusable {
            let mut idle = self.idle.lock().expect("no holder of the lock panics");
            if idle.len() < self.max_idle {
                idle.push(stream);
            }
        }
        Ok(answer)
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

async fn exchange(stream: net::TcpStream, req: http_types::Request) -> Result<(Answer, bool)> {
    let mut res = async_h1::connect(stream, req).await.map_err(|_| HttpError::Unclear)?;
    let declared: Option<usize> =
        res.header("content-length").and_then(|v| v.last().as_str().parse().ok());
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
    Ok((answer, !closes))
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
