//! The listener for JSON-RPC between processes, charged to the budget of its process.
//!
//! `jsonrpsee` bounds the size of each message and the number of connections, but not what all of
//! them hold together. Its connections therefore go through a stream that charges each message to
//! the account before it is read ([`guarded_stream`]), and connections that exceed their time limits
//! are closed (docs/OPERATIONS.md, Limits on clients).

pub mod guarded_stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::Either;
use gaplock_serve::account::Account;
use gaplock_serve::budget::{Bytes, Class, Phase};
use guarded_stream::GuardedStream;
use jsonrpsee::server::{self, ServerHandle, StopHandle};
use jsonrpsee::Methods;
use tokio::net::{TcpListener, TcpStream};

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest message, in bytes.
    pub max_message_bytes: u32,
    /// The longest time that a message may take to arrive.
    pub message_timeout: Duration,
    /// The longest time until a message is answered and the answer is taken.
    pub answer_timeout: Duration,
    /// The longest time between two messages.
    pub idle_timeout: Duration,
}

/// How often connections are checked against the limits on time.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long the listener waits after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// A listener that is bound and does not serve yet.
#[derive(Debug)]
pub struct Bound {
    listener: TcpListener,
    addr: SocketAddr,
}

/// A running listener.
#[derive(Debug)]
pub struct Server {
    handle: ServerHandle,
}

/// Binds `addr`.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn bind(addr: &str) -> io::Result<Bound> {
    let listener = std::net::TcpListener::bind(addr)?;
    gaplock_serve::limit_socket_buffers(&listener);
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    Ok(Bound { listener: TcpListener::from_std(listener)?, addr })
}

impl Bound {
    /// Returns the bound address, with the port that the kernel assigned.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts to serve `methods`; connections are charged to the class of other hosts.
    pub fn spawn(self, limits: Limits, account: Arc<Account>, methods: Methods) -> Server {
        let (stop, handle) = server::stop_channel();
        task::spawn(expire(limits, Arc::clone(&account), stop.clone()));
        tokio::spawn(accept(self.listener, limits, account, methods, stop));
        Server { handle }
    }
}

impl Server {
    /// Stops serving.
    pub fn stop(&self) {
        if self.handle.stop().is_err() {
            tracing::debug!("the listener for other hosts was already stopped");
        }
    }
}

/// Periodically closes connections that exceed the limits on time.
async fn expire(limits: Limits, account: Arc<Account>, stop: StopHandle) {
    let stopped = stop.shutdown();
    let checks = async {
        loop {
            task::sleep(CHECK_INTERVAL).await;
            account.expire(Class::Hosts, Phase::Reading, limits.message_timeout);
            account.expire(Class::Hosts, Phase::Busy, limits.answer_timeout);
            account.expire(Class::Hosts, Phase::Idle, limits.idle_timeout);
        }
    };
    futures::pin_mut!(stopped, checks);
    futures::future::select(stopped, checks).await;
}

async fn accept(
    listener: TcpListener,
    limits: Limits,
    account: Arc<Account>,
    methods: Methods,
    stop: StopHandle,
) {
    let config = server::ServerConfig::builder()
        .max_connections(u32::MAX)
        .max_request_body_size(limits.max_message_bytes)
        .max_response_body_size(limits.max_message_bytes)
        .ws_only()
        .build();
    let services = server::Server::builder().set_config(config).to_service_builder();
    let mut stopped = Box::pin(stop.clone().shutdown());
    loop {
        let accepted = Box::pin(listener.accept());
        let accepted = match futures::future::select(accepted, &mut stopped).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(stream) = guard(stream, limits, &account) else { continue };
                let service = services.clone().build(methods.clone(), stop.clone());
                let stopped = stop.clone().shutdown();
                tokio::spawn(async move {
                    let served = server::serve_with_graceful_shutdown(stream, service, stopped);
                    if let Err(e) = served.await {
                        tracing::debug!(event = "peer_connection_failed", error = %e);
                    }
                });
            }
            // Such an error, as too many open files, is temporary.
            Err(e) => {
                tracing::debug!(event = "accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Charges a connection to the account; `None` if there is no place for it.
fn guard(
    stream: TcpStream,
    limits: Limits,
    account: &Arc<Account>,
) -> Option<GuardedStream<TcpStream>> {
    // If Nagle's algorithm can't be switched off, answers are only slower.
    let _ignored = stream.set_nodelay(true);
    guarded_stream::open(stream, account, Bytes(u64::from(limits.max_message_bytes)))
}
