//! A running entry: its listeners, its periodic tasks and its planned stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_coord::action::StoreAnswer;
use gaplock_coord::generation::Document;
use gaplock_coord::keys;
use gaplock_coord::node::Event;
use gaplock_remote::clock;
use gaplock_serve::account;
use gaplock_types::api;

use crate::engine::Engine;
use crate::{executor, health, peers, service, settings, web};

/// A running entry with its listeners.
pub struct Running {
    engine: Arc<Engine>,
    /// The listener for callers and operators.
    pub callers: gaplock_serve::Listener,
    /// The health listener.
    pub health: gaplock_serve::Listener,
    /// The address to which the peers connect.
    pub peers_addr: SocketAddr,
    peers: gaplock_rpc::Server,
}

/// Binds the listeners and starts the periodic tasks.
///
/// # Errors
/// Returns the error of binding a listener.
pub async fn spawn(cfg: settings::Cfg) -> io::Result<Running> {
    let peers = peers::bind(&cfg.listen_peers, &cfg.peer_secret).await?;
    let peers_addr = peers.addr();
    let engine = Arc::new(Engine::open(cfg, &peers_addr.to_string()));
    let cfg = &engine.cfg;
    let account = account::open(cfg.client_budget());
    let peers = peers.spawn(Arc::clone(&engine), Arc::clone(&account));
    let health =
        health::bind(&cfg.listen_health, Arc::clone(&account), Arc::clone(&engine)).await?;
    let callers = web::bind(&cfg.listen, cfg.limits, account, Arc::clone(&engine)).await?;
    task::spawn(tick_forever(Arc::clone(&engine)));
    task::spawn(read_hosts_forever(Arc::clone(&engine)));
    task::spawn(watch_config_forever(Arc::clone(&engine)));
    tracing::info!(entry = %engine.me, callers = %callers.addr(), peers = %peers_addr, "started");
    Ok(Running { engine, callers, health, peers_addr, peers })
}

/// The least time that a stopping entry keeps accepting, so that the balancer can notice that it
/// is not ready any more.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(1_000);

impl Running {
    /// Stops the entry gracefully: hands over every partition, waits until the requests in flight
    /// are answered, then closes the listeners. Returns how many requests were cut off because
    /// `limit` had passed.
    pub async fn stop(self, limit: Duration) -> usize {
        let began = Instant::now();
        self.engine.handle(Event::Stop);
        self.callers.drain();
        while began.elapsed() < limit {
            let handed_over = self.engine.with_core(|core| core.node.handed_over());
            if handed_over && began.elapsed() >= MIN_DRAIN_TIME {
                break;
            }
            task::sleep(self.engine.cfg.tick).await;
        }
        let left = limit.saturating_sub(began.elapsed());
        let cut_off = self.callers.stop(left).await;
        self.peers.stop();
        drop(self.health);
        cut_off
    }
}

async fn tick_forever(engine: Arc<Engine>) {
    loop {
        let began = Instant::now();
        let load: Vec<api::ServiceLoad> = engine.with_routing(|r| {
            let services = r.router.services();
            services
                .into_iter()
                .map(|service| api::ServiceLoad { free: r.router.free(&service), service })
                .collect()
        });
        service::record_running_services(&engine, &load);
        engine.with_core(|core| core.node.set_load(load));
        engine.handle(Event::Tick);
        executor::wake_waiters(&engine);
        task::sleep(engine.cfg.tick.saturating_sub(began.elapsed())).await;
    }
}

async fn read_hosts_forever(engine: Arc<Engine>) {
    loop {
        if let Some(hosts) = engine.hosts.read().await {
            let addrs = hosts.iter().map(|h| (h.worker.clone(), h.addr.clone())).collect();
            engine.set_worker_addrs(addrs);
            let all: Vec<String> = hosts.iter().map(|h| h.addr.clone()).collect();
            engine.retain_workers(&all);
            engine.handle(Event::Hosts(hosts));
        }
        task::sleep(engine.cfg.hosts_every).await;
    }
}

async fn watch_config_forever(engine: Arc<Engine>) {
    let mut index = None;
    loop {
        let sent_at = clock::now();
        let (answer, at) = match index {
            // The first read does not wait for a change, so it does not delay the start.
            None => engine.store.watch(keys::CONFIG, 0, Duration::ZERO).await,
            Some(index) => engine.store.watch(keys::CONFIG, index, engine.cfg.config_wait).await,
        };
        match answer {
            StoreAnswer::Read(kvs) => {
                index = Some(at);
                let doc = kvs.first().and_then(|kv| {
                    let doc: Document = serde_json::from_slice(&kv.value).ok()?;
                    Some((doc, kv.index))
                });
                if !kvs.is_empty() && doc.is_none() {
                    tracing::error!("cannot decode the stored configuration");
                } else {
                    engine.handle(Event::Config { sent_at, doc });
                }
            }
            _ => task::sleep(Duration::from_millis(300)).await,
        }
    }
}
