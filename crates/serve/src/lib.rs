//! An accept loop for HTTP with limits and a graceful stop.
//!
//! tide has neither a graceful stop nor much defence against slow or endless input, so this loop
//! stands around `async_h1` and hands whole requests to a handler: connections are counted, a
//! header must come in time, a body must be whole, in time and not too large. A stop first lets
//! every answer in flight go out with `Connection: close`, then closes idle connections.

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
    /// Connections at once; further ones are closed at once.
    pub connections: usize,
    /// How long a connection may wait for a whole header, idle time included.
    pub header: Duration,
    /// How long a body may take.
    pub body: Duration,
    /// The largest body in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header: Duration::from_secs(30),
            body: Duration::from_secs(10),
            body_bytes: 1 << 20,
        }
    }
}

/// Why a request's body was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is above the limit.
    TooLarge,
    /// It ended before its declared length, or did not come in time.
    Truncated,
}

/// A request whose whole body has been read.
#[derive(Debug)]
pub struct Whole {
    /// The request; its own body is empty.
    pub req: Request,
    /// The body, or why it was refused.
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

/// Binds `addr` and hands every whole request to `handler`.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn bind<H, F>(addr: &str, limits: Limits, handler: H) -> io::Result<Listener>
where
    H: Fn(Whole) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = net::TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let shared = Arc::new(ListenerState::default());
    let accepting = task::spawn(accept(listener, limits, Arc::clone(&shared), handler));
    Ok(Listener { addr, shared, accepting: Some(accepting) })
}

impl Listener {
    /// Returns the bound address, with the port that the kernel gave.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how many requests are being answered.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Asks clients to leave: every answer from now on closes its connection.
    pub fn drain(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }

    /// Drains, waits until nothing is in flight or `limit` has passed, then stops accepting.
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
    H: Fn(Whole) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        // An accept error, such as too many open files, passes; the loop must not spin on it.
        let Ok(stream) = stream else {
            task::sleep(POLL_INTERVAL).await;
            continue;
        };
        if shared.connections.load(Ordering::SeqCst) >= limits.connections {
            continue;
        }
        shared.connections.fetch_add(1, Ordering::SeqCst);
        let (shared, handler) = (Arc::clone(&shared), handler.clone());
        task::spawn(async move {
            // Failing to switch off Nagle's algorithm costs time only.
            let _slower = stream.set_nodelay(true);
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
    H: Fn(Whole) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Holds the request's count until its answer has been written, not only made.
    let answering: CurrentRequest = Arc::default();
    let for_requests = (Arc::clone(shared), Arc::clone(&answering));
    let mut server = Server::new(stream, move |req| {
        let ((shared, answering), handler) = (for_requests.clone(), handler.clone());
        async move {
            let counted = Arc::new(InFlight::begin(&shared));
            let kept = Some(Arc::clone(&counted));
            *answering.lock().expect("no holder of the lock panics") = kept;
            Ok(answer(req, limits, &shared, counted, handler).await)
        }
    });
    loop {
        let exchange = server.accept_one();
        let late = header_timeout(limits.header, &answering);
        futures::pin_mut!(exchange, late);
        let ended = match futures::future::select(exchange, late).await {
            Either::Left((status, _)) => status,
            Either::Right(((), _)) => return,
        };
        answering.lock().expect("no holder of the lock panics").take();
        match ended {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) | Err(_) => return,
        }
    }
}

/// Ends once `limit` has passed without a whole header; never ends after one has come.
async fn header_timeout(limit: Duration, answering: &Mutex<Option<Arc<InFlight>>>) {
    task::sleep(limit).await;
    let begun = answering.lock().expect("no holder of the lock panics").is_some();
    if begun {
        futures::future::pending::<()>().await;
    }
}

/// The count of the request that a connection is answering.
type CurrentRequest = Arc<Mutex<Option<Arc<InFlight>>>>;

/// Counts a request as in flight for as long as it lives: until its work has ended and its answer
/// has been written.
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
    counted: Arc<InFlight>,
    handler: H,
) -> Response
where
    H: Fn(Whole) -> F,
    F: Future<Output = Response> + Send + 'static,
{
    let body = read_body(&mut req, limits).await;
    let unread = body.is_err();
    let handling = handler(Whole { req, body });
    // The work goes on in a task of its own, so that a caller who leaves does not cut it short
    // between a claim and its record.
    let res = task::spawn(async move {
        let res = handling.await;
        drop(counted);
        res
    });
    let mut res = res.await;
    if unread || shared.stopping.load(Ordering::SeqCst) {
        res.insert_header("connection", "close");
    }
    res
}

async fn read_body(req: &mut Request, limits: Limits) -> Result<Vec<u8>, BodyError> {
    let declared = req.len();
    if declared.is_some_and(|len| len > limits.body_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = Vec::with_capacity(declared.unwrap_or(0));
    let mut body = req.take_body().take(limits.body_bytes as u64 + 1);
    let read = future::timeout(limits.body, body.read_to_end(&mut bytes)).await;
    match read {
        Ok(Ok(_)) if bytes.len() > limits.body_bytes => Err(BodyError::TooLarge),
        Ok(Ok(_)) if declared.is_none_or(|len| len == bytes.len()) => Ok(bytes),
        _ => Err(BodyError::Truncated),
    }
}

/// Builds an answer from a status and a JSON body.
pub fn json_response(status: u16, body: Vec<u8>) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut res = Response::new(status);
    res.set_body(body);
    res.insert_header("content-type", "application/json");
    res
}
