//! Drives the sans-I/O node with real time and sockets.
//!
//! The node does no I/O itself: it turns events into actions. One lock protects the node and its
//! context and is held only while an event is handled; [`crate::executor`] executes the resulting
//! actions without it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use async_std::future;
use futures::channel::oneshot;
use gaplock_coord::action::ReplyId;
use gaplock_coord::context::Context;
use gaplock_coord::node::{Event, Node};
use gaplock_policy::{retry, route};
use gaplock_remote::{clock, hosts, store, worker};
use gaplock_types::{api, codes, ids, time};
use gaplock_verify::EntryCheck;

use crate::{executor, metrics, peers, settings};

/// Sends a waiting service request its slot, or nothing if its wait has timed out.
pub type SlotSender = oneshot::Sender<Option<route::Slot>>;

/// The state on which decisions are made, protected by the engine's lock.
pub struct Core {
    /// The sans-I/O node of this entry.
    pub node: Node,
    /// The node's context: time, configuration and pending actions.
    pub cx: Context,
}

/// The routing state, protected by a lock of its own that is held briefly.
#[derive(Default)]
pub struct Routing {
    /// Slots and queues of each service.
    pub router: route::Router,
    /// Requests that wait for a slot.
    pub waiters: HashMap<route::Ticket, SlotSender>,
    /// The budget for retries.
    pub budget: retry::RetryBudget,
    /// When each service was last known to run somewhere.
    pub last_served_at: HashMap<ids::ServiceId, time::Instant>,
    /// The router's change count for a worker at the time when its latest lease request was sent; the
    /// key holds that time.
    pub changes_at_renewal: HashMap<(ids::WorkerId, time::Instant), u64>,
}

/// One running entry.
pub struct Engine {
    /// The entry's settings.
    pub cfg: settings::Cfg,
    /// This entry, with the incarnation of this process.
    pub me: ids::Member,
    core: Mutex<Core>,
    routing: Mutex<Routing>,
    /// Invariant checks that span all partitions.
    pub check: Mutex<EntryCheck>,
    /// The client of the key-value store.
    pub store: store::Store,
    /// The client of the host list.
    pub hosts: hosts::HostList,
    workers: Mutex<HashMap<String, Arc<worker::Worker>>>,
    /// Addresses of the workers that this entry may use.
    addrs: Mutex<HashMap<ids::WorkerId, String>>,
    /// Connections to the other entries.
    pub peers: peers::Peers,
    /// The entry's metrics.
    pub metrics: metrics::Metrics,
    replies: Mutex<HashMap<ReplyId, oneshot::Sender<api::Reply>>>,
    confirmations: Mutex<HashMap<ReplyId, oneshot::Sender<ConfirmationResult>>>,
    next_id: AtomicU64,
}

/// How a confirmation ended.
pub type ConfirmationResult = Result<ids::Generation, api::Refusal>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Engine {
    /// Builds an entry; it does nothing until it gets events.
    pub fn open(cfg: settings::Cfg, peers_addr: &str) -> Self {
        let me =
            ids::Member { entry: cfg.name.clone(), incarnation: ids::Incarnation(rand::random()) };
        let advertised = cfg.advertise_peers.clone().unwrap_or_else(|| peers_addr.to_string());
        let node = Node::open(me.clone(), advertised, cfg.domain.clone(), cfg.layout.clone());
        let cx = Context::open(cfg.timing);
        Self {
            me,
            core: Mutex::new(Core { node, cx }),
            routing: Mutex::default(),
            check: Mutex::default(),
            store: store::Store::open(&cfg.store, cfg.store_limit),
            hosts: hosts::HostList::open(&cfg.hosts, cfg.store_limit),
            workers: Mutex::default(),
            addrs: Mutex::default(),
            peers: peers::Peers::open(&cfg.peer_secret),
            metrics: metrics::Metrics::open(),
            replies: Mutex::default(),
            confirmations: Mutex::default(),
            next_id: AtomicU64::new(1),
            cfg,
        }
    }

    /// Runs `access` with the node locked and its clocks up to date; `access` must be short.
    pub fn with_core<T>(&self, access: impl FnOnce(&mut Core) -> T) -> T {
        let mut core = lock(&self.core);
        core.cx.now = clock::now();
        core.cx.unix_ms = clock::unix_ms();
        access(&mut core)
    }

    /// Runs `access` with the routing state locked; `access` must be short.
    pub fn with_routing<T>(&self, access: impl FnOnce(&mut Routing) -> T) -> T {
        access(&mut lock(&self.routing))
    }

    /// Handles one event and executes the resulting actions.
    pub fn handle(self: &Arc<Self>, event: Event) {
        let (actions, took) = self.with_core(|core| {
            let began = Instant::now();
            core.node.handle(&mut core.cx, event);
            (std::mem::take(&mut core.cx.actions), began.elapsed())
        });
        self.metrics.count_event(took);
        executor::execute_actions(self, actions);
    }

    /// Returns the client of the worker at `addr`.
    pub fn worker(&self, addr: &str) -> Arc<worker::Worker> {
        let mut workers = lock(&self.workers);
        let client =
            workers.entry(addr.to_string()).or_insert_with(|| Arc::new(worker::Worker::open(addr)));
        Arc::clone(client)
    }

    /// Replaces the workers' addresses by those in the host list.
    pub fn set_worker_addrs(&self, addrs: HashMap<ids::WorkerId, String>) {
        *lock(&self.addrs) = addrs;
    }

    /// Drops the clients of workers that are not in `addrs`, and closes their unused connections.
    pub fn retain_workers(&self, addrs: &[String]) {
        lock(&self.workers).retain(|addr, client| {
            let keep = addrs.contains(addr);
            if !keep {
                client.close_idle();
            }
            keep
        });
    }

    /// Returns a worker's address from the host list.
    pub fn worker_addr(&self, worker: &ids::WorkerId) -> Option<String> {
        lock(&self.addrs).get(worker).cloned()
    }

    /// Returns a number that is unique in this process.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Executes a command on a partition that this entry owns and waits for its reply.
    pub async fn execute_locally(
        self: &Arc<Self>,
        partition: ids::PartitionId,
        command: api::Command,
    ) -> api::Reply {
        let id = ReplyId(self.next_id());
        let (tx, rx) = oneshot::channel();
        lock(&self.replies).insert(id, tx);
        self.handle(Event::Command { partition, id, command });
        let limit = self.cfg.timing.commit_timeout.as_duration() * 2;
        let reply = future::timeout(limit, rx).await;
        lock(&self.replies).remove(&id);
        match reply {
            Ok(Ok(reply)) => reply,
            _ => {
                let why = "The change was not stored in time";
                api::Reply::Refused(api::Refusal::new(codes::Code::OutcomeUnknown, why))
            }
        }
    }

    /// Confirms a plan and waits for its outcome.
    pub async fn confirm(self: &Arc<Self>, plan: api::Plan, by: String) -> ConfirmationResult {
        let id = ReplyId(self.next_id());
        let (tx, rx) = oneshot::channel();
        lock(&self.confirmations).insert(id, tx);
        self.handle(Event::Confirm { id, plan: Box::new(plan), by });
        let limit = self.cfg.timing.commit_timeout.as_duration() * 2;
        let outcome = future::timeout(limit, rx).await;
        lock(&self.confirmations).remove(&id);
        outcome.ok().and_then(Result::ok).unwrap_or_else(|| {
            let why = "The store did not answer in time";
            Err(api::Refusal::new(codes::Code::OutcomeUnknown, why))
        })
    }

    /// Delivers the reply to the command that waits for it.
    pub fn deliver_reply(&self, id: ReplyId, reply: api::Reply) {
        if let Some(tx) = lock(&self.replies).remove(&id) {
            // The send fails if the command's wait has timed out; the reply is then dropped.
            drop(tx.send(reply));
        }
    }

    /// Delivers the outcome to the confirmation that waits for it.
    pub fn deliver_confirmation(&self, id: ReplyId, outcome: ConfirmationResult) {
        if let Some(tx) = lock(&self.confirmations).remove(&id) {
            drop(tx.send(outcome));
        }
    }
}
