//! The platform's metadata store: revisions, conditional writes, leases and watches, in memory.
//!
//! Each host has a listener of its own, so that the store knows who calls.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{self, Reply, Request};
use crate::json::{object, Json};
use crate::network::Network;

/// The longest value, as in the settings files that the pages show.
pub const VALUE_BYTES: usize = 1_048_576;

/// For how long the store keeps its history, as in the settings files that the pages show.
const RETENTION: Duration = Duration::from_secs(20);

/// The most items of one page.
const PAGE_ITEMS: usize = 500;

/// The most bytes of values of one page.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Change {
    at: Instant,
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    forgotten: u64,
    revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Which host made the transaction of a revision.
    writers: BTreeMap<u64, usize>,
    oversized: u64,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    network: Arc<Network>,
    zone: &'static str,
}

/// Starts a store that stands in a zone.
pub fn open(network: &Arc<Network>, zone: &'static str) -> Arc<Store> {
    let store = Arc::new(Store {
        state: Mutex::default(),
        changed: Condvar::new(),
        network: Arc::clone(network),
        zone,
    });
    let shared = Arc::clone(&store);
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(20));
        shared.expire();
    });
    store
}

impl Store {
    /// Serves a host of a zone at an address.
    ///
    /// # Errors
    /// Returns the error of binding.
    pub fn serve(
        self: &Arc<Self>,
        addr: SocketAddr,
        host: usize,
        host_zone: &'static str,
    ) -> io::Result<()> {
        let store = Arc::clone(self);
        http::serve(addr, move |request| {
            if !store.network.passes(host_zone, store.zone) {
                return Reply::Silence;
            }
            let reply = store.answer(request, host);
            if store.network.passes(host_zone, store.zone) {
                reply
            } else {
                Reply::Silence
            }
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.lock();
        state.revision += 1;
        state.set(key, base64::encode(value.to_string().as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key as the platform does.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Returns whether packets from a zone reach the store.
    pub fn is_reached_from(&self, zone: &str) -> bool {
        self.network.passes(zone, self.zone)
    }

    /// Returns which host made the transaction of a revision.
    pub fn writer(&self, revision: u64) -> Option<usize> {
        self.lock().writers.get(&revision).copied()
    }

    /// Returns whether any key begins with a prefix.
    pub fn has(&self, prefix: &str) -> bool {
        self.lock().items.keys().any(|key| key.starts_with(prefix))
    }

    /// Returns how many transactions were refused because a value was too long.
    pub fn oversized(&self) -> u64 {
        self.lock().oversized
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
        }
        let old = state.history.iter().take_while(|c| now - c.at > RETENTION).count();
        if let Some(last) = old.checked_sub(1) {
            state.forgotten = state.history[last].revision;
            state.history.drain(..old);
        }
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, host: usize) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.key(request.param("Key")),
            ("GET", "/kv-range") => self.range(request.param("PathPrefix"), request.param("After")),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&request.json(), host),
            ("POST", "/kv-lease") => self.grant(request.json().get("TtlMs").number()),
            ("POST", path) => self.keep(id_of(path, "/kv-keep/")),
            ("DELETE", path) => {
                let known = self.lock().end_lease(id_of(path, "/kv-lease-end/"));
                http::empty(if known { 200 } else { 404 })
            }
            _ => http::empty(404),
        }
    }

    fn key(&self, key: &str) -> Reply {
        let state = self.lock();
        let Some(item) = state.items.get(key) else { return http::empty(404) };
        let mut body = item_json(key, item);
        if let Json::Object(fields) = &mut body {
            fields.insert("StoreRevision".to_string(), state.revision.into());
        }
        http::answer(200, body)
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let state = self.lock();
        let mut found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some((key, item)) =
            found.next_if(|_| items.len() < PAGE_ITEMS && (bytes < PAGE_BYTES || items.is_empty()))
        {
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let more = found.peek().is_some();
        http::answer(
            200,
            object([
                ("items", items.into()),
                ("HasMore", more.into()),
                ("StoreRevision", state.revision.into()),
            ]),
        )
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.param("PathPrefix");
        let after: u64 = request.param("After").parse().unwrap_or(0);
        let wait: u64 = request.param("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            if after < state.forgotten {
                return http::empty(410);
            }
            let events: Vec<Json> = state
                .history
                .iter()
                .filter(|c| c.revision > after && c.key.starts_with(prefix))
                .map(change_json)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return http::answer(
                    200,
                    object([("events", events.into()), ("StoreRevision", revision.into())]),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, txn: &Json, host: usize) -> Reply {
        let mut state = self.lock();
        let expected = txn.get("ExpectedRev").list();
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds =
            |row: &Json| revision_of(&state, row.get("Key").text()) == row.get("Revision").number();
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|row| {
                let key = row.get("Key").text();
                Some(item_json(key, state.items.get(key)?))
            });
            return http::answer(412, object([("items", found.collect::<Vec<_>>().into())]));
        }
        let sets = txn.get("SetKeys").list();
        let leased = |set: &Json| {
            let lease = set.get("Lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !sets.iter().all(leased) {
            return http::empty(404);
        }
        // Four digits of base64 stand for three bytes.
        let too_long = |set: &Json| set.get("Value").text().len() / 4 * 3 > VALUE_BYTES + 2;
        if sets.iter().any(too_long) {
            state.oversized += 1;
            return http::empty(400);
        }
        if sets.iter().any(|set| {
            let key = set.get("Key").text();
            key.starts_with("op/") || key.starts_with("servers/")
        }) {
            return http::empty(403);
        }
        state.revision += 1;
        for set in sets {
            let (key, value) = (set.get("Key").text(), set.get("Value").text());
            state.set(key, value.to_string(), set.get("Lease").number());
        }
        for key in txn.get("Remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        state.writers.insert(revision, host);
        self.changed.notify_all();
        http::answer(200, object([("Revision", revision.into())]))
    }

    fn grant(&self, ttl_ms: u64) -> Reply {
        let mut state = self.lock();
        state.next_lease += 1;
        let (id, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        http::answer(200, object([("Lease", id.into()), ("TtlMs", ttl_ms.into())]))
    }

    fn keep(&self, id: u64) -> Reply {
        let mut state = self.lock();
        let Some((end, ttl)) = state.leases.get_mut(&id) else { return http::empty(404) };
        *end = Instant::now() + *ttl;
        http::answer(200, object([("TtlMs", (ttl.as_millis() as u64).into())]))
    }
}

fn id_of(path: &str, prefix: &str) -> u64 {
    path.strip_prefix(prefix).and_then(|id| id.parse().ok()).unwrap_or(0)
}

impl State {
    /// Writes a key at the current revision.
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_string(), item.clone());
        let (at, key) = (Instant::now(), key.to_string());
        self.history.push(Change { at, key, revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let (at, key, revision) = (Instant::now(), key.to_string(), self.revision);
            self.history.push(Change { at, key, revision, item: None });
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        self.revision += 1;
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        held.iter().for_each(|key| self.remove(key));
        true
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    object([
        ("Key", key.into()),
        ("Value", item.value.as_str().into()),
        ("Revision", item.revision.into()),
        ("Created", item.created.into()),
        ("Lease", item.lease.into()),
    ])
}

fn change_json(change: &Change) -> Json {
    match &change.item {
        Some(item) => item_json(&change.key, item),
        None => object([
            ("Key", change.key.as_str().into()),
            ("Revision", change.revision.into()),
            ("Removed", true.into()),
        ]),
    }
}
