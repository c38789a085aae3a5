//! A keep-alive HTTP client for one address that accepts only complete answers.
//!
//! The messages are encoded and decoded in `wire.rs`; docs/STYLE.md says why not by `async-h1`.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::task::Poll;
use std::{fmt, mem, time};

use async_std::{future, net};
use futures::{AsyncRead, AsyncWriteExt, FutureExt};

use crate::wire::{self, BodyLength, Chunk};

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
    /// Returns a header's last value.
    pub fn header(&self, name: &str) -> Option<&str> {
        wire::last_value(&self.headers, name)
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
        let req =
            wire::encode_request(call.method, &self.addr, call.path, call.headers, &call.body)
                .map_err(|_| HttpError::NotSent)?;
        let deadline = began + limit;
        let first_wait = call.timeout.saturating_sub(began.elapsed());
        let passed = AtomicU64::new(0);
        let cx = Exchange { stream: &stream, buf: Vec::new(), passed: &passed };
        let exchange = exchange(cx, &req, max_bytes);
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

/// A connection on which one request is answered, with the bytes that were read and not yet used.
struct Exchange<'a> {
    stream: &'a net::TcpStream,
    buf: Vec<u8>,
    /// Counts the bytes that pass.
    passed: &'a AtomicU64,
}

/// How many bytes are read at once. Most answers fit.
const READ_BYTES: usize = 8 << 10;

impl Exchange<'_> {
    /// Sends the whole request.
    async fn write(&mut self, mut rest: &[u8]) -> Result<()> {
        let mut stream = self.stream;
        while !rest.is_empty() {
            let len = stream.write(rest).await.map_err(|_| HttpError::Unclear)?;
            if len == 0 {
                return Err(HttpError::Unclear);
            }
            self.passed.fetch_add(len as u64, Ordering::Relaxed);
            rest = &rest[len..];
        }
        Ok(())
    }

    /// Reads more bytes; it is an error if none follow. While none have arrived, no buffer is kept: a
    /// leader waits for thousands of answers at a time.
    async fn read_more(&mut self) -> Result<()> {
        let Self { stream, buf, passed } = self;
        let mut stream = *stream;
        let read = poll_fn(|cx| {
            let mut bytes = [0; READ_BYTES];
            let polled = Pin::new(&mut stream).poll_read(cx, &mut bytes);
            if let Poll::Ready(Ok(len)) = polled {
                buf.extend_from_slice(&bytes[..len]);
            }
            polled
        });
        let len = read.await.map_err(|_| HttpError::Unclear)?;
        if len == 0 {
            return Err(HttpError::Unclear);
        }
        passed.fetch_add(len as u64, Ordering::Relaxed);
        Ok(())
    }

    /// Reads the head of the answer and removes it from the buffer. Interim answers are skipped.
    async fn read_head(&mut self) -> Result<wire::Head> {
        loop {
            let head = wire::decode_head(&self.buf).map_err(|_| HttpError::Unclear)?;
            let Some(head) = head else {
                self.read_more().await?;
                continue;
            };
            self.buf.drain(..head.len);
            if head.status >= FIRST_FINAL_STATUS {
                return Ok(head);
            }
        }
    }

    /// Reads a body of a known length.
    async fn read_bytes(&mut self, len: usize) -> Result<Vec<u8>> {
        while self.buf.len() < len {
            self.read_more().await?;
        }
        let rest = self.buf.split_off(len);
        Ok(mem::replace(&mut self.buf, rest))
    }

    /// Reads a chunked body.
    async fn read_chunks(&mut self) -> Result<Vec<u8>> {
        let (mut body, mut at) = (Vec::new(), 0);
        loop {
            match wire::decode_chunk(&self.buf, at).map_err(|_| HttpError::Unclear)? {
                Some(Chunk::Data { start, end, next }) => {
                    body.extend_from_slice(&self.buf[start..end]);
                    at = next;
                }
                Some(Chunk::Last { next }) => {
                    self.buf.drain(..next);
                    return Ok(body);
                }
                None => self.read_more().await?,
            }
        }
    }
}

/// The lowest status that is not interim.
const FIRST_FINAL_STATUS: u16 = 200;

/// Sends a request and reads its answer. Returns the answer and whether the connection may be used
/// again, or `None` if the answer declares more than `max_bytes`.
async fn exchange(
    mut cx: Exchange<'_>,
    request: &[u8],
    max_bytes: usize,
) -> Result<Option<(Answer, bool)>> {
    cx.write(request).await?;
    let head = cx.read_head().await?;
    let body = match head.body {
        BodyLength::Bytes(len) if len > max_bytes => return Ok(None),
        BodyLength::Bytes(len) => cx.read_bytes(len).await?,
        BodyLength::Chunked => cx.read_chunks().await?,
    };
    // Bytes after the answer belong to no request.
    let reusable = head.keeps_open && cx.buf.is_empty();
    Ok(Some((Answer { status: head.status, headers: head.headers, body }, reusable)))
}
