//! Calls between entries: JSON-RPC over WebSocket by `jsonrpsee`.
//!
//! `jsonrpsee` uses tokio internally; nothing else here does. `async-std`'s feature `tokio1`
//! provides the runtime context that the library expects. Each call carries a proof that the caller
//! knows the shared secret; proofs are compared in constant time.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::future;
use gaplock_coord::generation::Document;
use gaplock_coord::node::Event;
use gaplock_rpc::{Limits, Server};
use gaplock_serve::account::Account;
use gaplock_types::{api, ids};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use jsonrpsee::RpcModule;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::engine::Engine;
use crate::executor::PEER_CALL_MARGIN;
use crate::{auth, service};

const BEAT: &str = "beat";
const HAND_OVER: &str = "hand_over";
const CONFIG: &str = "config";
const COMMAND: &str = "command";
const FORWARD: &str = "forward";

/// Bounds connecting, and calls that only deliver a small message.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const COMMAND_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Holds a forwarded request with the largest body that `--max-body` allows, in base 64.
const MAX_MESSAGE_BYTES: u32 = 24 << 20;

/// Limits on peers. A forwarded request is answered within its deadline, 30 s at most.
const LIMITS: Limits = Limits {
    max_message_bytes: MAX_MESSAGE_BYTES,
    message_timeout: Duration::from_secs(30),
    answer_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(120),
};

const WRONG_SECRET_CODE: i32 = 101;

/// Why a call to a peer has no answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum PeerError {
    /// There was no connection; the call was not sent.
    #[display("cannot connect to the peer; the call was not sent")]
    NotSent,
    /// The call may have been carried out.
    #[display("no answer from the peer; the call may have been carried out")]
    Unclear,
}

/// Connections to the other entries, opened on first use and again after a failure.
pub struct Peers {
    proof: String,
    clients: Mutex<HashMap<ids::EntryId, (String, Arc<WsClient>)>>,
}

impl Peers {
    /// Builds a set without connections; `secret` is the one that the entries share.
    pub fn open(secret: &str) -> Self {
        Self { proof: auth::peer_proof(secret), clients: Mutex::default() }
    }

    async fn client(&self, entry: &ids::EntryId, addr: &str) -> Result<Arc<WsClient>, PeerError> {
        let known = self.clients.lock().expect("no holder of the lock panics").get(entry).cloned();
        if let Some((known_addr, client)) = known {
            if known_addr == addr && client.is_connected() {
                return Ok(client);
            }
        }
        let building = WsClientBuilder::default()
            .connection_timeout(CONTROL_CALL_TIMEOUT)
            .request_timeout(Duration::from_secs(60))
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("ws://{addr}"));
        let client = future::timeout(CONTROL_CALL_TIMEOUT, building)
            .await
            .map_err(|_| PeerError::NotSent)?
            .map_err(|_| PeerError::NotSent)?;
        let client = Arc::new(client);
        let mut clients = self.clients.lock().expect("no holder of the lock panics");
        clients.insert(entry.clone(), (addr.to_string(), Arc::clone(&client)));
        Ok(client)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        entry: &ids::EntryId,
        addr: &str,
        method: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<T, PeerError> {
        let client = self.client(entry, addr).await?;
        let mut params = ArrayParams::new();
        params.insert(&self.proof).map_err(|_| PeerError::NotSent)?;
        params.insert(body).map_err(|_| PeerError::NotSent)?;
        let answer = future::timeout(limit, client.request(method, params)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            _ => {
                // A connection on which an answer is outstanding is not reused.
                let mut clients = self.clients.lock().expect("no holder of the lock panics");
                if clients.get(entry).is_some_and(|(_, known)| Arc::ptr_eq(known, &client)) {
                    clients.remove(entry);
                }
                Err(PeerError::Unclear)
            }
        }
    }

    /// Sends a heartbeat.
    pub async fn beat(
        &self,
        entry: &ids::EntryId,
        addr: &str,
        beat: &api::Heartbeat,
    ) -> Result<(), PeerError> {
        self.call(entry, addr, BEAT, beat, CONTROL_CALL_TIMEOUT).await
    }

    /// Asks a peer to claim a released partition.
    pub async fn hand_over(
        &self,
        entry: &ids::EntryId,
        addr: &str,
        id: ids::PartitionId,
    ) -> Result<(), PeerError> {
        self.call(entry, addr, HAND_OVER, &id, CONTROL_CALL_TIMEOUT).await
    }

    /// Fetches the configuration document that a peer has in force.
    pub async fn config(&self, entry: &ids::EntryId, addr: &str) -> Result<Document, PeerError> {
        self.call(entry, addr, CONFIG, &(), COMMAND_TIMEOUT).await
    }

    /// Sends a command to the owner of a partition.
    pub async fn command(
        &self,
        entry: &ids::EntryId,
        addr: &str,
        id: ids::PartitionId,
        command: &api::Command,
    ) -> Result<api::Reply, PeerError> {
        self.call(entry, addr, COMMAND, &(id, command), COMMAND_TIMEOUT).await
    }

    /// Forwards a service request.
    pub async fn forward(
        &self,
        entry: &ids::EntryId,
        addr: &str,
        forward: &api::Forward,
    ) -> Result<api::ForwardReply, PeerError> {
        let limit = Duration::from_millis(forward.deadline_ms) + PEER_CALL_MARGIN;
        self.call(entry, addr, FORWARD, forward, limit).await
    }
}

/// A bound listener for peers that does not serve yet.
pub struct BoundListener {
    bound: gaplock_rpc::Bound,
    proof: String,
}

/// Binds the listener for peers.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn bind(addr: &str, secret: &str) -> io::Result<BoundListener> {
    let bound = gaplock_rpc::bind(addr).await?;
    Ok(BoundListener { bound, proof: auth::peer_proof(secret) })
}

impl BoundListener {
    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.bound.addr()
    }

    /// Starts serving calls.
    pub fn spawn(self, engine: Arc<Engine>, account: Arc<Account>) -> Server {
        let mut module = RpcModule::new((engine, self.proof));
        register(&mut module);
        self.bound.spawn(LIMITS, account, module.into())
    }
}

/// What every method uses: the engine, and the proof that each call must carry.
type Shared = (Arc<Engine>, String);

fn register(module: &mut RpcModule<Shared>) {
    add(module, BEAT, |engine, beat: api::Heartbeat| async move {
        engine.handle(Event::Heartbeat(beat));
    });
    add(module, HAND_OVER, |engine, id: ids::PartitionId| async move {
        engine.handle(Event::HandOver(id));
    });
    add(module, CONFIG, |engine, (): ()| async move {
        engine.with_core(|core| Document::clone(&core.node.generations.doc))
    });
    add(module, COMMAND, |engine, (id, command): (ids::PartitionId, api::Command)| async move {
        engine.execute_locally(id, command).await
    });
    add(module, FORWARD, |engine, forward: api::Forward| async move {
        service::serve_forwarded(&engine, forward).await
    });
}

fn add<Q, A, H, F>(module: &mut RpcModule<Shared>, name: &'static str, handler: H)
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Clone + Send + 'static,
    H: Fn(Arc<Engine>, Q) -> F + Clone + Send + Sync + 'static,
    F: std::future::Future<Output = A> + Send + 'static,
{
    let registered = module.register_async_method(name, move |params, cx, _| {
        let handler = handler.clone();
        async move {
            let (engine, expected) = (Arc::clone(&cx.0), &cx.1);
            let (proof, body): (String, Q) = params.parse()?;
            if !auth::constant_time_eq(&proof, expected) {
                return Err(ErrorObjectOwned::owned(WRONG_SECRET_CODE, "wrong secret", None::<()>));
            }
            Ok(handler(engine, body).await)
        }
    });
    registered.expect("method names are distinct");
}
