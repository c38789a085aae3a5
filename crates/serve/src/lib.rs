//! An accept loop for HTTP with limits and a graceful stop.
//!
//! tide has no graceful stop, and neither tide nor `async_h1` bounds what a client may make them
//! keep. This loop reads heads and bodies into bounded buffers, charges them to the budget of the
//! process ([`budget`]), and passes complete requests to a handler. A stop first sends every
//! outstanding answer with `Connection: close`, then closes idle connections. docs/DECISIONS.md says
//! which parts of `async_h1` are used, docs/OPERATIONS.md what happens to clients above the limits.

pub mod account;
pub mod budget;
pub mod chunks;
mod connection;
pub mod head;
pub mod messages;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::{net, task};
use futures::future::{AbortHandle, Abortable};
use futures::StreamExt;
use http_types::{Request, Response, StatusCode};
use rustix::net::sockopt;

use account::{Account, Reason};
use budget::Class;

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The most connections at a time, where the listener has no budget to share.
    pub max_connections: usize,
    /// The longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// The longest time between two requests.
    pub idle_timeout: Duration,
    /// The longest time to read a body.
    pub body_timeout: Duration,
    /// The longest time that a client may take to read an answer.
    pub write_timeout: Duration,
    /// The largest head, in bytes.
    pub max_head_bytes: usize,
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// How many bytes the handling of a request takes for each byte of its body.
    pub handling_factor: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            max_head_bytes: 24 << 10,
            max_body_bytes: 1 << 20,
            handling_factor: 1,
        }
    }
}

/// Why a request's body was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body is malformed, ended before its declared length, or was not read within its time
    /// limit.
    Truncated,
    /// The budget of the process has no memory left for the request.
    NoMemory,
}

impl BodyError {
    fn reason(self) -> Reason {
        match self {
            Self::TooLarge => Reason::BodyTooLarge,
            Self::Truncated => Reason::BodyTruncated,
            Self::NoMemory => Reason::NoMemory,
        }
    }
}

/// A refusal of a client whose request was not read, so that no handler knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// There is no place for another connection.
    NoConnection,
    /// There is no memory for the head.
    NoMemory,
    /// The head is longer than the limit.
    HeadTooLarge,
    /// The head is malformed.
    HeadMalformed,
}

impl Refusal {
    /// Returns the status of the answer. A client may come back after a 503.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConnection | Self::NoMemory => StatusCode::ServiceUnavailable,
            Self::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            Self::HeadMalformed => StatusCode::BadRequest,
        }
    }
}

/// When a client that was refused for want of room should come back, in seconds: places and memory
/// are free again within a second, as soon as requests in flight have ended or connections that wait
/// may be closed ([`budget::MIN_AGE`]).
pub const RETRY_AFTER_S: &str = "1";

/// Builds the plain answer for a refusal.
pub fn refusal_response(refusal: Refusal) -> Response {
    let mut res = Response::new(refusal.status());
    if refusal.status() == StatusCode::ServiceUnavailable {
        res.insert_header("retry-after", RETRY_AFTER_S);
    }
    res
}

/// How a listener treats its clients.
#[derive(Clone)]
pub struct Service {
    /// The class of its clients.
    pub class: Class,
    /// The account that its connections are charged to.
    pub account: Arc<Account>,
    /// Returns the limits, which may change with the configuration; asked before each request.
    pub limits: Arc<dyn Fn() -> Limits + Send + Sync>,
    /// Builds the answer for a refusal.
    pub refuse: Arc<dyn Fn(Refusal) -> Response + Send + Sync>,
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
    turning_away: AtomicUsize,
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

/// How many clients for which there is no place are sent an answer at a time; others are closed at
/// once.
const MAX_TURNED_AWAY: usize = 16;

/// Binds `addr` and passes every request to `handler` after its body has been read. The listener
/// shares no budget.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn bind<H, F>(addr: &str, limits: Limits, handler: H) -> io::Result<Listener>
where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let service = Service {
        class: Class::Callers,
        account: account::open(budget::unshared(limits.max_connections)),
        limits: Arc::new(move || limits),
        refuse: Arc::new(refusal_response),
    };
    bind_service(addr, service, handler).await
}

/// Binds `addr` and passes every request to `handler` after its body has been read.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn bind_service<H, F>(addr: &str, service: Service, handler: H) -> io::Result<Listener>
where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = std::net::TcpListener::bind(addr)?;
    limit_socket_buffers(&listener);
    let listener = net::TcpListener::from(listener);
    let addr = listener.local_addr()?;
    let shared = Arc::new(ListenerState::default());
    let accepting = task::spawn(accept(listener, service, Arc::clone(&shared), handler));
    Ok(Listener { addr, shared, accepting: Some(accepting) })
}

/// Limits what the kernel buffers for each connection that is accepted from a listener.
pub fn limit_socket_buffers(listener: &impl std::os::fd::AsFd) {
    let receive = sockopt::set_socket_recv_buffer_size(listener, budget::RECEIVE_BUFFER.0 as usize);
    let send = sockopt::set_socket_send_buffer_size(listener, budget::SEND_BUFFER.0 as usize);
    if let Err(e) = receive.and(send) {
        tracing::warn!(event = "socket_buffers_not_limited", error = %e);
    }
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
    service: Service,
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
        // If Nagle's algorithm can't be switched off, answers are only slower.
        let _ignored = stream.set_nodelay(true);
        let (abort, registration) = AbortHandle::new_pair();
        let Some(held) = service.account.connect(service.class, move || abort.abort()) else {
            turn_away(stream, &service, &shared);
            continue;
        };
        let (service, shared, handler) = (service.clone(), Arc::clone(&shared), handler.clone());
        task::spawn(Abortable::new(
            async move { connection::serve(stream, held, &service, &shared, handler).await },
            registration,
        ));
    }
}

/// Answers a client for which there is no place, unless too many are being answered already.
fn turn_away(stream: net::TcpStream, service: &Service, shared: &Arc<ListenerState>) {
    if shared.turning_away.fetch_add(1, Ordering::SeqCst) >= MAX_TURNED_AWAY {
        shared.turning_away.fetch_sub(1, Ordering::SeqCst);
        return;
    }
    let (res, shared) = ((service.refuse)(Refusal::NoConnection), Arc::clone(shared));
    task::spawn(async move {
        connection::turn_away(stream, res).await;
        shared.turning_away.fetch_sub(1, Ordering::SeqCst);
    });
}

/// Builds an answer from a status and an encoded JSON body.
pub fn json_response(status: u16, body: Vec<u8>) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut res = Response::new(status);
    res.set_body(body);
    res.insert_header("content-type", "application/json");
    res
}
