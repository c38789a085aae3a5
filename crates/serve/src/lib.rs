//! An accept loop for HTTP with limits and a graceful stop.
//!
//! tide has no graceful stop and little protection against slow or endless input. This loop wraps
//! `async_h1` and passes complete requests to a handler: it limits the number of connections, the
//! time that a header and a body may take, and the size of a body; truncated bodies are errors. A
//! stop first sends every outstanding answer with `Connection: close`, then closes idle
//! connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_h1::server::{ConnectionStatus, Server};
use async_std::{future, net, task};
use futures::future::Either;
use futures::{AsyncReadExt, StreamExt};
use http_types::{Request, Response, StatusCode};

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The most connections at a time; further ones are closed on accept.
    pub max_connections: usize,
    /// The longest wait for a complete header, idle time included.
    pub header_timeout: Duration,
    /// The longest time to read a body.
    pub body_timeout: Duration,
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(10),
            max_body_bytes: 1 << 20,
        }
    }
}

/// Why a request's body was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body ended before its declared length, or was not read within its time limit.
    Truncated,
}

/// A request and the result of reading its body.
#[derive(Debug)]
pub struct FullRequest {
    /// The request; its own body is empty.
    pub req: Request,
    /// The body, or why it was not accepted.
    pub body: Result<Vec<u8>, BodyError>,
}

#[derive(Debug, Default)]
struct ListenerState {
    stopping: AtomicBool,
    connections: AtomicUsize,
    in_flight: AtomicUsize,
}

/// A running listener.
#[derive(Debug)]
pub struct Listener {
    addr: SocketAddr,
    shared: Arc<ListenerState>,
    accepting: Option<task::JoinHandle<()>>,
}

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Binds `addr` and passes every request to `handler` after its body has been read.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn bind<H, F>(addr: &str, limits: Limits, handler: H) -> io::Result<Listener>
where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = net::TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let shared = Arc::new(ListenerState::default());
    let accepting = task::spawn(accept(listener, limits, Arc::clone(&shared), handler));
    Ok(Listener { addr, shared, accepting: Some(accepting) })
}

impl Listener {
    /// Returns the bound address, with the port that the kernel assigned.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how many requests are being answered.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Starts draining: from now on every answer closes its connection.
    pub fn drain(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }

    /// Drains, waits until no request is in flight or `limit` has passed, then stops accepting.
    /// Returns how many requests were cut off.
    pub async fn stop(mut self, limit: Duration) -> usize {
        self.drain();
        let began = Instant::now();
        while self.in_flight() > 0 && began.elapsed() < limit {
            task::sleep(POLL_INTERVAL).await;
        }
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        self.in_flight()
    }
}

async fn accept<H, F>(
    listener: net::TcpListener,
    limits: Limits,
    shared: Arc<ListenerState>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        // An accept error, such as too many open files, is temporary. The delay keeps the loop from
        // spinning until it has passed.
        let Ok(stream) = stream else {
            task::sleep(POLL_INTERVAL).await;
            continue;
        };
        if shared.connections.load(Ordering::SeqCst) >= limits.max_connections {
            continue;
        }
        shared.connections.fetch_add(1, Ordering::SeqCst);
        let (shared, handler) = (Arc::clone(&shared), handler.clone());
        task::spawn(async move {
            // If Nagle's algorithm can't be switched off, answers are only slower.
            let _ignored = stream.set_nodelay(true);
            serve(stream, limits, &shared, handler).await;
            shared.connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn serve<H, F>(
    stream: net::TcpStream,
    limits: Limits,
    shared: &Arc<ListenerState>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Counts the request as in flight until its answer has been written, not only built.
    let current: CurrentRequest = Arc::default();
    let captured = (Arc::clone(shared), Arc::clone(&current));
    let mut server = Server::new(stream, move |req| {
        let ((shared, current), handler) = (captured.clone(), handler.clone());
        async move {
            let in_flight = Arc::new(InFlight::begin(&shared));
            let kept = Some(Arc::clone(&in_flight));
            *current.lock().expect("no holder of the lock panics") = kept;
            Ok(answer(req, limits, &shared, in_flight, handler).await)
        }
    });
    loop {
        let exchange = server.accept_one();
        let timeout = header_timeout(limits.header_timeout, &current);
        futures::pin_mut!(exchange, timeout);
        let ended = match futures::future::select(exchange, timeout).await {
            Either::Left((status, _)) => status,
            Either::Right(((), _)) => return,
        };
        current.lock().expect("no holder of the lock panics").take();
        match ended {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) | Err(_) => return,
        }
    }
}

/// Completes when `limit` has passed without a complete header. If one has arrived by then, it
/// never completes.
async fn header_timeout(limit: Duration, current: &Mutex<Option<Arc<InFlight>>>) {
    task::sleep(limit).await;
    let header_read = current.lock().expect("no holder of the lock panics").is_some();
    if header_read {
        futures::future::pending::<()>().await;
    }
}

/// The in-flight guard of the request that a connection is answering, if any.
type CurrentRequest = Arc<Mutex<Option<Arc<InFlight>>>>;

/// A guard that counts a request as in flight until it is dropped: when its handler has ended and
/// its answer has been written.
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

async fn answer<H, F>(
    mut req: Request,
    limits: Limits,
    shared: &ListenerState,
    in_flight: Arc<InFlight>,
    handler: H,
) -> Response
where
    H: Fn(FullRequest) -> F,
    F: Future<Output = Response> + Send + 'static,
{
    let body = read_body(&mut req, limits).await;
    let body_unread = body.is_err();
    let handling = handler(FullRequest { req, body });
    // The handler runs in a task of its own, so that a caller who disconnects doesn't cancel it
    // between storing a claim and storing how the request ended.
    let res = task::spawn(async move {
        let res = handling.await;
        drop(in_flight);
        res
    });
    let mut res = res.await;
    if body_unread || shared.stopping.load(Ordering::SeqCst) {
        res.insert_header("connection", "close");
    }
    res
}

async fn read_body(req: &mut Request, limits: Limits) -> Result<Vec<u8>, BodyError> {
    let declared = req.len();
    if declared.is_some_and(|len| len > limits.max_body_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = Vec::with_capacity(declared.unwrap_or(0));
    let mut body = req.take_body().take(limits.max_body_bytes as u64 + 1);
    let read = future::timeout(limits.body_timeout, body.read_to_end(&mut bytes)).await;
    match read {
        Ok(Ok(_)) if bytes.len() > limits.max_body_bytes => Err(BodyError::TooLarge),
        Ok(Ok(_)) if declared.is_none_or(|len| len == bytes.len()) => Ok(bytes),
        _ => Err(BodyError::Truncated),
    }
}

/// Builds an answer from a status and an encoded JSON body.
pub fn json_response(status: u16, body: Vec<u8>) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut res = Response::new(status);
    res.set_body(body);
    res.insert_header("content-type", "application/json");
    res
}
