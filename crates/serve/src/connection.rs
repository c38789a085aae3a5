//! Serves the requests of one connection, one after the other.

use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_h1::server::Encoder;
use async_std::net::TcpStream;
use async_std::{future, task};
use futures::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Response};

use crate::account::{Held, Reason};
use crate::budget::{Bytes, Phase};
use crate::chunks::{ChunkError, Decoder, Progress};
use crate::head::{self, Framing, Head, HeadError, Scan, Scanner};
use crate::{BodyError, FullRequest, Limits, ListenerState, Refusal, Service};

/// The most that is read at once.
const MAX_READ: usize = 16 << 10;

/// The capacity of an empty buffer; it is part of what a connection is charged from its start.
const MIN_BUFFER: usize = 1 << 10;

/// What a decoded header takes.
const HEADER_BYTES: u64 = 256;

/// How much a client that was refused may still send before its connection is reset.
const LINGER_BYTES: usize = 256 << 10;

/// How long a client that was refused may take to read its answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why no further request is read.
enum End {
    /// The client closed the connection, it failed, or it was evicted.
    Closed,
    /// The connection was idle, or its head incomplete, for too long.
    TimedOut,
    /// The head was refused.
    Head(HeadError),
    /// There was no memory for the head.
    NoMemory,
}

/// A connection and what has arrived on it but was not used yet.
pub(crate) struct Connection {
    stream: TcpStream,
    buf: Vec<u8>,
    held: Held,
}

/// Serves a connection until it ends.
pub(crate) async fn serve<H, F>(
    stream: TcpStream,
    held: Held,
    service: &Service,
    shared: &Arc<ListenerState>,
    handler: H,
) where
    H: Fn(FullRequest) -> F,
    F: Future<Output = Response> + Send + 'static,
{
    let mut connection = Connection { stream, buf: Vec::with_capacity(MIN_BUFFER), held };
    loop {
        let mut limits = (service.limits)();
        let head = match connection.read_head(service, &mut limits).await {
            Ok(head) => head,
            Err(end) => return connection.end(end, service, limits).await,
        };
        let Some(exchange) = connection.exchange(head, limits, shared, &handler).await else {
            return;
        };
        match exchange {
            Exchange::KeepAlive => {}
            Exchange::Close => return,
            Exchange::Linger => return linger(connection.stream).await,
        }
    }
}

/// What becomes of a connection after an answer.
enum Exchange {
    KeepAlive,
    Close,
    /// The rest of the request was not read.
    Linger,
}

impl Connection {
    /// Reads and decodes a head. Sets `limits` to those in force when it begins to arrive.
    async fn read_head(&mut self, service: &Service, limits: &mut Limits) -> Result<Head, End> {
        let mut scanner = Scanner::default();
        let idle_since = Instant::now();
        let mut began = None;
        loop {
            if began.is_none() && !self.buf.is_empty() {
                began = Some(Instant::now());
                *limits = (service.limits)();
                if !self.held.enter(Phase::Reading) {
                    return Err(End::Closed);
                }
            }
            let scan = scanner.scan(&mut self.buf, limits.max_head_bytes).map_err(End::Head)?;
            if let Scan::Complete(len) = scan {
                let head = head::parse(&self.buf[..len]).map_err(End::Head)?;
                self.buf.drain(..len);
                return Ok(head);
            }
            let deadline = match began {
                Some(began) => began + limits.header_timeout,
                None => idle_since + limits.idle_timeout,
            };
            self.fill(deadline).await?;
        }
    }

    /// Reads more into the buffer.
    async fn fill(&mut self, deadline: Instant) -> Result<(), End> {
        let len = self.buf.len();
        if len == self.buf.capacity() {
            let more = len.max(MIN_BUFFER);
            if !self.held.charge(Bytes(more as u64)) {
                return Err(End::NoMemory);
            }
            self.buf.reserve_exact(more);
        }
        let room = (self.buf.capacity() - len).min(MAX_READ);
        self.buf.resize(len + room, 0);
        let read = read_until(&mut self.stream, &mut self.buf[len..], deadline).await;
        self.buf.truncate(len + read.as_ref().map_or(0, |&n| n));
        match read {
            Ok(0) => Err(End::Closed),
            Ok(_) => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::TimedOut => Err(End::TimedOut),
            Err(_) => Err(End::Closed),
        }
    }

    /// Frees what the buffer takes beyond its least capacity, if it is empty.
    fn shrink(&mut self) {
        if self.buf.is_empty() && self.buf.capacity() > MIN_BUFFER {
            let freed = self.buf.capacity() - MIN_BUFFER;
            self.buf = Vec::with_capacity(MIN_BUFFER);
            self.held.release(Bytes(freed as u64));
        }
    }

    /// Reads the body of a request, has the request handled and sends the answer. Returns `None` if
    /// the connection has failed or was evicted.
    async fn exchange<H, F>(
        &mut self,
        head: Head,
        limits: Limits,
        shared: &Arc<ListenerState>,
        handler: &H,
    ) -> Option<Exchange>
    where
        H: Fn(FullRequest) -> F,
        F: Future<Output = Response> + Send + 'static,
    {
        let in_flight = Arc::new(InFlight::begin(shared));
        let method = head.req.method();
        let mut charged = Bytes(HEADER_BYTES * head.headers as u64);
        let body = if self.held.charge(charged) {
            self.read_body(&head, limits, &mut charged).await
        } else {
            charged = Bytes(0);
            Err(BodyError::NoMemory)
        };
        if let Err(e) = body {
            self.held.count(e.reason());
        }
        let body_unread = body.is_err();
        if !self.held.enter(Phase::Busy) {
            return None;
        }
        let handling = handler(FullRequest { req: head.req, body });
        let kept = Arc::clone(&in_flight);
        // The handler runs in a task of its own, so that a caller who disconnects doesn't cancel it
        // between storing a claim and storing how the request ended.
        let res = task::spawn(async move {
            let res = handling.await;
            drop(kept);
            res
        });
        let mut res = res.await;
        self.held.release(charged);
        let closes = head.closes || body_unread || shared.stopping.load(Ordering::SeqCst);
        if closes {
            res.insert_header("connection", "close");
        }
        self.send(res, method, limits.write_timeout).await?;
        self.shrink();
        let next = match (body_unread, closes) {
            (true, _) => Exchange::Linger,
            (_, true) => Exchange::Close,
            _ => Exchange::KeepAlive,
        };
        self.held.enter(Phase::Idle).then_some(next)
    }

    /// Reads a body. Adds to `charged` what is charged for it and for its handling.
    async fn read_body(
        &mut self,
        head: &Head,
        limits: Limits,
        charged: &mut Bytes,
    ) -> Result<Vec<u8>, BodyError> {
        let max = limits.max_body_bytes;
        if let Framing::Length(len) = head.framing {
            if len == 0 {
                return Ok(Vec::new());
            }
            if len > max as u64 {
                return Err(BodyError::TooLarge);
            }
        }
        let deadline = Instant::now() + limits.body_timeout;
        if head.expects_continue && self.buf.is_empty() {
            write_until(&mut self.stream, CONTINUE, deadline)
                .await
                .map_err(|_| BodyError::Truncated)?;
        }
        let mut body = Body { bytes: Vec::new(), charged: Bytes(0) };
        let read = match head.framing {
            Framing::Length(len) => self.read_sized(len as usize, deadline, &mut body).await,
            Framing::Chunked => self.read_chunks(max, deadline, &mut body).await,
        };
        *charged = *charged + body.charged;
        read?;
        let handling = Bytes(body.bytes.len() as u64 * limits.handling_factor);
        if !self.held.charge(handling) {
            return Err(BodyError::NoMemory);
        }
        *charged = *charged + handling;
        Ok(body.bytes)
    }

    async fn read_sized(
        &mut self,
        len: usize,
        deadline: Instant,
        body: &mut Body,
    ) -> Result<(), BodyError> {
        let available = len.min(self.buf.len());
        body.reserve(available, len, &self.held)?;
        body.bytes.extend(self.buf.drain(..available));
        while body.bytes.len() < len {
            let received = body.bytes.len();
            body.reserve(1, len, &self.held)?;
            let room = (body.bytes.capacity().min(len) - received).min(MAX_READ);
            body.bytes.resize(received + room, 0);
            let read = read_until(&mut self.stream, &mut body.bytes[received..], deadline).await;
            body.bytes.truncate(received + read.as_ref().map_or(0, |&n| n));
            if !read.is_ok_and(|n| n > 0) {
                return Err(BodyError::Truncated);
            }
        }
        Ok(())
    }

    async fn read_chunks(
        &mut self,
        max: usize,
        deadline: Instant,
        body: &mut Body,
    ) -> Result<(), BodyError> {
        let mut decoder = Decoder::new(max);
        loop {
            body.reserve(self.buf.len(), max, &self.held)?;
            let (used, progress) =
                decoder.decode(&self.buf, &mut body.bytes).map_err(|e| match e {
                    ChunkError::TooLarge => BodyError::TooLarge,
                    ChunkError::Malformed => BodyError::Truncated,
                })?;
            self.buf.drain(..used);
            if progress == Progress::Complete {
                return Ok(());
            }
            self.fill(deadline).await.map_err(|end| match end {
                End::NoMemory => BodyError::NoMemory,
                _ => BodyError::Truncated,
            })?;
        }
    }

    /// Encodes and sends an answer. Returns `None` if the client did not take it.
    async fn send(&mut self, res: Response, method: Method, limit: Duration) -> Option<()> {
        let mut encoded = Vec::new();
        Encoder::new(res, method).read_to_end(&mut encoded).await.ok()?;
        let len = Bytes(encoded.len() as u64);
        self.held.add(len);
        let sent = write_until(&mut self.stream, &encoded, Instant::now() + limit).await;
        self.held.release(len);
        if sent.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::TimedOut) {
            self.held.count(Reason::AnswerUnread);
        }
        sent.ok()
    }

    /// Ends the connection, with an answer where the client is to know why.
    async fn end(mut self, end: End, service: &Service, limits: Limits) {
        let (reason, refusal) = match end {
            End::Closed => return,
            End::TimedOut if self.buf.is_empty() => return,
            End::TimedOut => return self.held.count(Reason::HeadTimeout),
            End::NoMemory => (Reason::NoMemory, Refusal::NoMemory),
            End::Head(HeadError::TooLarge) => (Reason::HeadTooLarge, Refusal::HeadTooLarge),
            End::Head(HeadError::Malformed) => (Reason::HeadMalformed, Refusal::HeadMalformed),
        };
        self.held.count(reason);
        self.buf = Vec::new();
        let mut res = (service.refuse)(refusal);
        res.insert_header("connection", "close");
        if self.send(res, Method::Get, limits.write_timeout).await.is_some() {
            linger(self.stream).await;
        }
    }
}

/// A body of which more may arrive.
struct Body {
    bytes: Vec<u8>,
    charged: Bytes,
}

impl Body {
    /// Makes room for `more` bytes of a body of at most `max`. The capacity grows with what has
    /// arrived, not with what was announced.
    fn reserve(&mut self, more: usize, max: usize, held: &Held) -> Result<(), BodyError> {
        let (len, capacity) = (self.bytes.len(), self.bytes.capacity());
        if capacity - len >= more {
            return Ok(());
        }
        let wanted = (capacity * 2).max(len + more).max(MIN_BUFFER).min(max.max(len + more));
        let charge = Bytes((wanted - capacity) as u64);
        if !held.charge(charge) {
            return Err(BodyError::NoMemory);
        }
        self.charged = self.charged + charge;
        self.bytes.reserve_exact(wanted - len);
        Ok(())
    }
}

/// Counts a request as in flight until it is dropped: when its handler has ended and its answer has
/// been written.
#[derive(Debug)]
struct InFlight(Arc<ListenerState>);

impl InFlight {
    fn begin(shared: &Arc<ListenerState>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Closes a connection whose input was not read to its end. Closed at once, it would be reset, and
/// the client might lose the answer.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let deadline = Instant::now() + LINGER_TIME;
    let mut buf = vec![0; MIN_BUFFER];
    let mut read = 0;
    while read < LINGER_BYTES {
        match read_until(&mut stream, &mut buf, deadline).await {
            Ok(0) | Err(_) => return,
            Ok(n) => read += n,
        }
    }
}

/// Answers a connection for which there is no place, and closes it.
pub(crate) async fn turn_away(mut stream: TcpStream, mut res: Response) {
    res.insert_header("connection", "close");
    let mut encoded = Vec::new();
    let encoding = Encoder::new(res, Method::Get).read_to_end(&mut encoded).await;
    let deadline = Instant::now() + LINGER_TIME;
    if encoding.is_ok() && write_until(&mut stream, &encoded, deadline).await.is_ok() {
        linger(stream).await;
    }
}

async fn read_until(stream: &mut TcpStream, buf: &mut [u8], at: Instant) -> io::Result<usize> {
    // What has arrived is read even where the deadline has passed, as after a suspension.
    let left = at.saturating_duration_since(Instant::now());
    future::timeout(left, stream.read(buf)).await.unwrap_or_else(|_| timed_out())
}

async fn write_until(stream: &mut TcpStream, bytes: &[u8], at: Instant) -> io::Result<()> {
    let left = at.saturating_duration_since(Instant::now());
    future::timeout(left, stream.write_all(bytes)).await.unwrap_or_else(|_| timed_out())
}

fn timed_out<T>() -> io::Result<T> {
    Err(io::ErrorKind::TimedOut.into())
}
