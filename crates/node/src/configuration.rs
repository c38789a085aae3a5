//! The operators' configuration at this host: the version in force, what is known of newer ones, and
//! the thread that keeps up.
//!
//! This runs on a separate thread. A large version takes seconds on a slow link, and neither
//! heartbeats nor the renewal of a leader's lease may wait for it.

use std::io;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::{future, task};
use gaplock_distribution::knowledge::{self, Knowledge, News, Step, Version};
use gaplock_distribution::message::{
    Incoming, Messages, PartAnswer, PartRequest, Received, Versions,
};
use gaplock_distribution::spread::Spread;
use gaplock_jobs::config::Config;
use gaplock_platform::configuration;
use gaplock_platform::store::{Item, KeyChange, Revision, StoreError};
use gaplock_policy::refusals::StoreRevision;
use gaplock_remote::clock;
use gaplock_sched::Event;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::node::{Node, Role};
use crate::peers::PeerClient;
use crate::threads;

/// The thread's name.
const THREAD: &str = "configuration";

/// How long a request waits at most until this host knows whether its version is the newest.
const KNOWLEDGE_WAIT: Millis = Millis(300);
const KNOWLEDGE_POLL_INTERVAL: Duration = Duration::from_millis(10);

const LOCK: &str = "no holder of the lock panics";

/// From where a host gets the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From another host, mostly the leader.
    Host,
    /// From the store.
    Store,
}

impl Source {
    /// Returns the name by which logs and metrics show the source.
    pub fn name(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Store => "store",
        }
    }
}

/// The configuration at this host.
pub struct Configuration {
    in_force: RwLock<Option<Arc<Config>>>,
    knowledge: Mutex<Knowledge>,
    versions: Mutex<Versions>,
    /// What this host sends to others while it leads.
    messages: Mutex<Arc<Messages>>,
    spread: Mutex<Spread>,
    /// Ends a pause of the thread early.
    news: (Sender<()>, Receiver<()>),
    /// The time within which a version must be in force at every host.
    bound: Millis,
}

/// Builds the state of a host without a configuration.
pub fn open(bound: Millis) -> Configuration {
    Configuration {
        in_force: RwLock::default(),
        knowledge: Mutex::default(),
        versions: Mutex::default(),
        messages: Mutex::default(),
        spread: Mutex::default(),
        news: async_channel::bounded(1),
        bound,
    }
}

impl Configuration {
    /// Returns the version in force.
    pub fn in_force(&self) -> Option<Arc<Config>> {
        self.in_force.read().expect(LOCK).clone()
    }

    /// Returns the number of the version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.knowledge.lock().expect(LOCK).held().0
    }

    /// Returns how long ago the version in force was last known to be the newest.
    pub fn age(&self) -> Millis {
        self.knowledge.lock().expect(LOCK).age(clock::now())
    }

    /// Returns the newest version that this host has heard of.
    pub fn newest_known(&self) -> u64 {
        self.knowledge.lock().expect(LOCK).newest_known().0
    }

    /// Returns the revision of the store up to which this host knows all changes.
    pub fn revision(&self) -> Option<u64> {
        self.knowledge.lock().expect(LOCK).position().map(|p| p.revision.0)
    }

    /// Returns whether requests may be answered by the version in force. A host that has been suspended
    /// first asks whether there is a newer one.
    pub async fn may_answer(&self) -> bool {
        self.becomes_true(|knowledge, now| knowledge.may_answer(now, self.bound)).await
    }

    /// Returns whether a queue that the version in force does not have may be denied; waits a little for
    /// a newer version that is announced.
    pub async fn may_deny_queue(&self) -> bool {
        self.becomes_true(|knowledge, now| knowledge.may_deny_queue(now, self.bound)).await
    }

    /// Waits a little until a condition holds, unless the calls on which that depends are failing.
    async fn becomes_true(&self, holds: impl Fn(&Knowledge, Instant) -> bool) -> bool {
        let began = clock::now();
        loop {
            let now = clock::now();
            let (is_true, is_failing) = {
                let knowledge = self.knowledge.lock().expect(LOCK);
                (holds(&knowledge, now), knowledge.is_failing())
            };
            if is_true || is_failing || now.since(began) >= KNOWLEDGE_WAIT {
                return is_true;
            }
            self.wake();
            task::sleep(KNOWLEDGE_POLL_INTERVAL).await;
        }
    }

    /// Ends a pause of the thread.
    fn wake(&self) {
        // If the channel is full, the thread is woken anyway.
        let _ignored = self.news.0.try_send(());
    }

    /// Returns whether a newer version exists that this host has not got in time.
    pub fn is_outdated(&self) -> bool {
        let knowledge = self.knowledge.lock().expect(LOCK);
        knowledge.newest_known() > knowledge.held()
            && !knowledge.may_answer(clock::now(), self.bound)
    }

    /// Records news from the host at an address.
    pub fn note_news(&self, news: News, addr: &str) {
        let now = clock::now();
        let (is_new, held, age) = {
            let mut knowledge = self.knowledge.lock().expect(LOCK);
            let is_new = knowledge.note_news(now, news, addr);
            (is_new, knowledge.held(), knowledge.age(now))
        };
        if is_new {
            let (version, held, age_ms) = (news.version.0, held.0, age.0);
            tracing::info!(event = "config_announced", version, held, age_ms, addr);
            self.wake();
        }
    }

    /// Answers another host's request for a part of the version in force.
    pub fn part(&self, request: PartRequest) -> PartAnswer {
        let messages = Arc::clone(&self.messages.lock().expect(LOCK));
        messages.part(request)
    }

    /// Records the version that a follower of this host has; returns how many followers do not have
    /// the newest one.
    pub fn note_follower(&self, host: &ids::EntryId, version: u64) -> usize {
        let newest = Version(self.version());
        let mut spread = self.spread.lock().expect(LOCK);
        if let Some(done) = spread.record(clock::now(), newest, host, Version(version)) {
            let (version, hosts, took_ms) = (done.version.0, done.hosts, done.took.0);
            tracing::info!(event = "config_spread", version, hosts, took_ms);
        }
        spread.behind()
    }

    /// Puts a version into force if it is newer than the present one; returns it. If this host leads, it
    /// can send the version before it announces it.
    fn take(&self, config: Config, leads: bool) -> Option<Arc<Config>> {
        let config = Arc::new(config);
        if config.version <= self.version() {
            return None;
        }
        // Builds the index before the first request needs it.
        config.queue("");
        let versions = {
            let mut versions = self.versions.lock().expect(LOCK);
            versions.set(Arc::clone(&config));
            versions.clone()
        };
        if leads {
            self.set_messages(&versions);
        }
        let mut in_force = self.in_force.write().expect(LOCK);
        if !self.knowledge.lock().expect(LOCK).take(Version(config.version)) {
            return None;
        }
        *in_force = Some(Arc::clone(&config));
        Some(config)
    }

    /// Builds the messages for the version in force unless they are built, as after a change of leader.
    fn prepare_messages(&self) {
        let built = self.messages.lock().expect(LOCK).version();
        if built != self.version() {
            let versions = self.versions.lock().expect(LOCK).clone();
            self.set_messages(&versions);
        }
    }

    /// Builds the messages, while nobody waits for a lock.
    fn set_messages(&self, versions: &Versions) {
        let messages = Arc::new(versions.messages());
        *self.messages.lock().expect(LOCK) = messages;
    }

    fn next_step(&self, leads: bool) -> Step {
        self.knowledge.lock().expect(LOCK).next_step(clock::now(), leads, self.bound)
    }

    fn with_knowledge(&self, change: impl FnOnce(&mut Knowledge)) {
        change(&mut self.knowledge.lock().expect(LOCK));
    }
}

/// Starts the thread that keeps the configuration up to date until the process stops.
///
/// # Errors
/// Returns the system's error if no thread can be created.
pub fn spawn(node: &Arc<Node>) -> io::Result<()> {
    threads::spawn(THREAD, run(Arc::clone(node)))
}

async fn run(node: Arc<Node>) {
    let mut incoming = Incoming::default();
    while !node.is_stopping() {
        let leads = node.holds_leadership();
        if leads {
            node.configuration.prepare_messages();
        }
        match node.configuration.next_step(leads) {
            Step::Watch(after) => check_store(&node, after, knowledge::WATCH_WAIT).await,
            Step::Check(after) => check_store(&node, after, Millis(0)).await,
            Step::Read => read_store(&node).await,
            Step::Fetch(addr) => fetch(&node, &addr, &mut incoming).await,
            Step::Pause(pause) => {
                let news = node.configuration.news.1.recv();
                // Either the pause is over or there is news; the next step tells.
                let _ignored = future::timeout(pause.as_duration(), news).await;
            }
        }
    }
}

/// Puts a version into force if it is newer than the present one. `began` is when this host began to
/// ask for it.
pub fn put_into_force(node: &Node, config: Config, source: Source, began: Instant) {
    let (version, queues) = (config.version, config.queues.len());
    let Some(config) = node.configuration.take(config, node.holds_leadership()) else { return };
    let (by, took_ms) = (source.name(), clock::now().since(began).0);
    tracing::info!(event = "config_taken", version, queues, by, took_ms);
    node.metrics.config_version.set(version as i64);
    node.metrics.count_config_read(by, "taken");
    if let Role::Leader(engine) = node.role() {
        engine.send(Event::Config(config));
    }
}

/// Reads the configuration from the store.
pub async fn read_store(node: &Node) {
    let sent = clock::now();
    match node.store.get_at(configuration::KEY).await {
        Ok(Some((item, revision))) => {
            let revision = revision.unwrap_or(item.revision);
            note_store_answer(node);
            if decode(node, &item, sent) {
                confirm(node, sent, Some(revision));
            }
        }
        Ok(None) => {
            note_store_answer(node);
            confirm(node, sent, None);
        }
        Err(e) => note_store_failure(node, sent, e),
    }
}

/// Asks the store for a change after a revision.
async fn check_store(node: &Node, after: StoreRevision, wait: Millis) {
    let sent = clock::now();
    let (after, wait) = (Revision(after.0), wait.as_duration());
    match node.store.watch_key(configuration::KEY, after, wait).await {
        Ok(KeyChange::Small { item, revision }) => {
            note_store_answer(node);
            if item.is_none_or(|item| decode(node, &item, sent)) {
                confirm(node, sent, Some(revision));
            }
        }
        Ok(KeyChange::Large) => {
            note_store_answer(node);
            read_store(node).await;
        }
        Err(StoreError::Gone) => {
            note_store_answer(node);
            node.configuration.with_knowledge(Knowledge::forget_position);
        }
        Err(e) => note_store_failure(node, sent, e),
    }
}

/// Puts a stored configuration into force; returns whether it could be decoded.
fn decode(node: &Node, item: &Item, began: Instant) -> bool {
    match configuration::decode(&item.value) {
        Ok(config) => {
            put_into_force(node, config, Source::Store, began);
            true
        }
        Err(e) => {
            tracing::warn!(event = "config_malformed", error = %e);
            // Read again after the usual pause.
            node.configuration.with_knowledge(|k| k.note_store_outcome(clock::now(), false));
            false
        }
    }
}

fn confirm(node: &Node, at: Instant, revision: Option<Revision>) {
    let revision = revision.map(|revision| StoreRevision(revision.0));
    node.configuration.with_knowledge(|k| k.note_newest(at, revision));
}

fn note_store_answer(node: &Node) {
    node.record_store_answer();
    node.configuration.with_knowledge(|k| k.note_store_outcome(clock::now(), true));
}

fn note_store_failure(node: &Node, sent: Instant, e: StoreError) {
    let (now, version) = (clock::now(), node.configuration.version());
    let after_ms = now.since(sent).0;
    let by = Source::Store.name();
    tracing::info!(event = "config_read_failed", by, version, after_ms, error = %e);
    node.metrics.count_config_read(by, "failed");
    node.record_store_failure();
    node.configuration.with_knowledge(|k| k.note_store_outcome(now, false));
}

/// Fetches the announced version from another host, part by part. What was received is kept for the
/// next attempt.
async fn fetch(node: &Node, addr: &str, incoming: &mut Incoming) {
    let began = clock::now();
    // The client has a connection to the leader only, and keeps it.
    let other_client = PeerClient::default();
    let is_leader = node.leader_addr().as_deref() == Some(addr);
    let client = if is_leader { &node.peer_client } else { &other_client };
    let failed = loop {
        let held = node.configuration.in_force();
        let request = incoming.request(held.as_ref().map_or(0, |config| config.version));
        let answer = match client.config_part(addr, &request).await {
            Ok(answer) => answer,
            Err(e) => break e.to_string(),
        };
        match incoming.add(answer, held.as_deref()) {
            Ok(Received::More) if node.is_stopping() => return,
            Ok(Received::More) => {}
            Ok(Received::Complete(config)) => {
                return put_into_force(node, *config, Source::Host, began);
            }
            Ok(Received::NothingNewer) => break "the host has no newer version".to_string(),
            Err(e) => break e.to_string(),
        }
    };
    let (now, version) = (clock::now(), node.configuration.version());
    let (after_ms, received, by) = (now.since(began).0, incoming.received(), Source::Host.name());
    tracing::info!(event = "config_read_failed", by, addr, version, after_ms, received, error = %failed);
    node.metrics.count_config_read(by, "failed");
    node.configuration.with_knowledge(|k| k.note_fetch_failed(now));
}
