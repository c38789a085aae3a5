//! What all tasks of a host's process share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use gaplock_jobs::config::Config;
use gaplock_jobs::{Job, JobKey};
use gaplock_platform::advice::{self, Advisor};
use gaplock_platform::hosts::{self, Hosts};
use gaplock_platform::installation::Installation;
use gaplock_platform::store::Store;
use gaplock_policy::succession::{self, LeaderCapacity};
use gaplock_remote::clock;
use gaplock_sched::freshness::RevisionSample;
use gaplock_sched::{Event, Settings};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::engine::Engine;
use crate::handover::Handover;
use crate::leadership::Authority;
use crate::metrics::Metrics;
use crate::peers::{self, Heartbeat, HeartbeatAnswer, Invitation, QueueCount, StatusAnswer};

/// What this host does for the installation.
#[derive(Clone)]
pub enum Role {
    /// It hands callers' requests on to the leader at this address, if one is known.
    Follower(Option<String>),
    /// It decides.
    Leader(Arc<Engine>),
}

/// What all tasks of a host's process share.
pub struct Node {
    /// What the installation says of this host.
    pub installation: Installation,
    /// This process.
    pub incarnation: ids::Incarnation,
    /// Where this host answers other hosts.
    pub peer_addr: String,
    /// The platform's store.
    pub store: Arc<Store>,
    /// The service that says where steps may run, if the installation has one.
    pub advisor: Option<Advisor>,
    /// The service that knows the workers' hosts, if the installation has one.
    pub hosts: Option<Hosts>,
    /// The connection to the leader.
    pub leader: peers::PeerClient,
    /// Counters.
    pub metrics: Metrics,
    settings: RwLock<Settings>,
    config: RwLock<Option<Arc<Config>>>,
    role: RwLock<Role>,
    stopping: AtomicBool,
    store_answered: AtomicU64,
    store_failed: AtomicU64,
    store_lost: AtomicBool,
    leader_answered: AtomicU64,
    config_read: AtomicU64,
    waiting: Mutex<BTreeMap<String, u32>>,
    started_at: Instant,
    /// What this host has for leading.
    pub leader_capacity: LeaderCapacity,
    /// Who leads next.
    pub handover: Handover,
}

/// How old the leader's counts of queues may be when they are shown; callers expect 2 s at most.
const QUEUE_COUNTS_MAX_AGE: Millis = Millis(1_500);

/// How long a host without an answer of the leader or the store still takes connections.
const READY_WITHOUT_CONTACT_LIMIT: Millis = Millis(2_500);

/// How long the store must have failed this host's calls before writes are not tried any more.
const STORE_UNAVAILABLE_AFTER: Millis = Millis(600);

const LOCK: &str = "no holder of the lock panics";

/// Builds the shared part of a process.
pub fn open(
    installation: Installation,
    settings: Settings,
    peer_addr: String,
    store: Store,
) -> Arc<Node> {
    let advisor = installation.advice_addr.as_deref().map(advice::open);
    let holder = &installation.host;
    let hosts = installation.hosts_addr.as_deref();
    let hosts = hosts.map(|addr| hosts::open(addr, holder.clone()));
    let strength = succession::leader_capacity(installation.cpu_share, installation.link_mbps);
    Arc::new(Node {
        leader_capacity: strength,
        started_at: clock::now(),
        handover: Handover::default(),
        advisor,
        hosts,
        installation,
        settings: RwLock::new(settings),
        incarnation: ids::Incarnation(rand::random()),
        peer_addr,
        store: Arc::new(store),
        leader: peers::PeerClient::default(),
        metrics: crate::metrics::open(),
        config: RwLock::new(None),
        role: RwLock::new(Role::Follower(None)),
        stopping: AtomicBool::new(false),
        store_answered: AtomicU64::new(0),
        store_failed: AtomicU64::new(0),
        store_lost: AtomicBool::new(false),
        leader_answered: AtomicU64::new(0),
        config_read: AtomicU64::new(0),
        waiting: Mutex::default(),
    })
}

impl Node {
    /// Returns bounds and intervals for the scheduler.
    pub fn settings(&self) -> Settings {
        self.settings.read().expect(LOCK).clone()
    }

    /// Changes bounds and intervals for the scheduler.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.write().expect(LOCK) = settings;
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.read().expect(LOCK).clone()
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.config().map_or(0, |c| c.version)
    }

    /// Takes a newer configuration into force; an older one changes nothing.
    pub fn set_config(&self, config: Config) {
        let config = Arc::new(config);
        {
            let mut known = self.config.write().expect(LOCK);
            if known.as_ref().is_some_and(|c| c.version >= config.version) {
                return;
            }
            *known = Some(Arc::clone(&config));
        }
        tracing::info!(event = "config_taken", version = config.version);
        self.metrics.config_version.set(config.version as i64);
        if let Role::Leader(engine) = self.role() {
            engine.send(Event::Config(config));
        }
    }

    /// Takes in that the configuration in force was the newest one at `at`.
    pub fn confirm_config_newest_at(&self, at: Instant) {
        self.config_read.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Returns how long ago the configuration in force was known to be the newest.
    pub fn config_age(&self) -> Millis {
        clock::now().since(Instant(self.config_read.load(Ordering::Relaxed)))
    }

    /// Returns what this host does now.
    pub fn role(&self) -> Role {
        self.role.read().expect(LOCK).clone()
    }

    /// Changes what this host does.
    pub fn set_role(&self, role: Role) {
        *self.role.write().expect(LOCK) = role;
    }

    /// Returns the address of another host that leads.
    pub fn leader_addr(&self) -> Option<String> {
        match self.role() {
            Role::Follower(addr) => addr,
            Role::Leader(_) => None,
        }
    }

    /// Takes in that the store has answered.
    pub fn record_store_answer(&self) {
        if self.store_lost.swap(false, Ordering::Relaxed) {
            tracing::info!(event = "store_back", silent_ms = self.store_age().0);
            // Entries of workers that lapsed meanwhile need time to come back.
            if let Role::Leader(engine) = self.role() {
                engine.send(Event::DirectoryRecovered);
            }
        }
        self.store_answered.fetch_max(clock::now().0, Ordering::Relaxed);
    }

    /// Takes in which revision the store was at when it was asked.
    pub fn report_store_revision(&self, mark: RevisionSample) {
        if let Role::Leader(engine) = self.role() {
            engine.send(Event::StoreRevision(mark));
        }
    }

    /// Takes in that a call to the store failed.
    pub fn record_store_failure(&self) {
        if !self.store_lost.swap(true, Ordering::Relaxed) {
            tracing::warn!(event = "store_lost", silent_ms = self.store_age().0);
        }
        self.store_failed.fetch_max(clock::now().0, Ordering::Relaxed);
    }

    /// Tells whether the store has failed this host's last calls for a while; writes are then not
    /// even tried, so that a refusal is certainly true.
    pub fn is_store_unavailable(&self) -> bool {
        let answered = self.store_answered.load(Ordering::Relaxed);
        let failed = self.store_failed.load(Ordering::Relaxed);
        failed > answered && self.store_age() >= STORE_UNAVAILABLE_AFTER
    }

    /// Returns how long ago the store last answered.
    pub fn store_age(&self) -> Millis {
        clock::now().since(Instant(self.store_answered.load(Ordering::Relaxed)))
    }

    /// Takes in that the leader has answered, with its counts of queues.
    pub fn record_leader_answer(&self, counts: Vec<QueueCount>) {
        self.leader_answered.fetch_max(clock::now().0, Ordering::Relaxed);
        let counts = counts.into_iter().map(|c| (c.queue, c.waiting));
        *self.waiting.lock().expect(LOCK) = counts.collect();
    }

    fn leader_age(&self) -> Millis {
        clock::now().since(Instant(self.leader_answered.load(Ordering::Relaxed)))
    }

    /// Returns how many jobs of a queue have not begun, if that is known well enough.
    pub fn waiting(&self, queue: &str) -> Option<u32> {
        if let Role::Leader(engine) = self.role() {
            return Some(engine.waiting_jobs_of(queue));
        }
        if self.leader_age() > QUEUE_COUNTS_MAX_AGE {
            return None;
        }
        Some(self.waiting.lock().expect(LOCK).get(queue).copied().unwrap_or(0))
    }

    /// Tells whether this host should be given callers' connections.
    pub fn is_ready(&self) -> bool {
        let leads = matches!(self.role(), Role::Leader(_));
        let store = self.store_age() < READY_WITHOUT_CONTACT_LIMIT;
        let leader = self.leader_age() < READY_WITHOUT_CONTACT_LIMIT;
        !self.is_stopping() && self.config().is_some() && (leads || store || leader)
    }

    /// Tells whether the process is to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins the end of the process; a leader stops acting and hands over.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        if let Role::Leader(engine) = self.role() {
            engine.leadership.lose();
        }
    }

    /// Returns how long this process has run.
    pub fn running_for(&self) -> Millis {
        clock::now().since(self.started_at)
    }

    /// Answers an invitation to lead, once the claim was made or not.
    pub async fn handle_invitation(&self, invitation: Invitation) -> bool {
        !self.is_stopping() && self.handover.handle_invitation(invitation).await
    }

    /// Answers a follower's heartbeat.
    pub async fn answer_heartbeat(&self, beat: Heartbeat) -> HeartbeatAnswer {
        let now = clock::now();
        // Noted before this host leads, too: a claim that is still reading the state makes way.
        self.handover.record_follower(now, &beat);
        let Role::Leader(engine) = self.role() else { return HeartbeatAnswer::NotLeader };
        engine.leadership.record_peer_report(now, beat.store_age);
        if engine.leadership.authority(now) != Authority::Act {
            return HeartbeatAnswer::NotLeader;
        }
        let newer = self.config().filter(|c| c.version > beat.config_version);
        let best = self.handover.successor(now);
        let strongest = best
            .as_ref()
            .map_or(self.leader_capacity, |c| c.leader_capacity.max(self.leader_capacity));
        HeartbeatAnswer::Leader {
            config_age: self.config_age(),
            config: newer.map(|c| Config::clone(&c)),
            waiting: engine.waiting(),
            successor: best.map(|c| c.host),
            strongest,
            beat_after: self.handover.beat_every(now),
            check_store: engine.leadership.is_confirmation_overdue(now)
                || self.handover.should_check(now, &beat),
        }
    }

    /// Takes in a stored job if this host leads; tells whether it does.
    pub async fn apply_job_if_leader(&self, job: Arc<Job>) -> bool {
        let Role::Leader(engine) = self.role() else { return false };
        engine.send(Event::Job(job));
        true
    }

    /// Takes in a stored cancellation if this host leads; tells whether it does.
    pub async fn apply_cancel_if_leader(&self, key: JobKey) -> bool {
        let Role::Leader(engine) = self.role() else { return false };
        engine.send(Event::Cancel(key));
        true
    }

    /// Returns a job's state if this host leads and knows it.
    pub async fn status_if_leader(&self, key: JobKey) -> StatusAnswer {
        let Role::Leader(engine) = self.role() else { return StatusAnswer::Unknown };
        engine.status(key).await
    }
}
