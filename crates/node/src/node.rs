//! State shared by all tasks of a host's process: its role, the settings and configuration in
//! force, and when the store and the leader last answered.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use gaplock_distribution::knowledge::{News, Version};
use gaplock_jobs::config::Config;
use gaplock_jobs::JobKey;
use gaplock_overload::admission::Arrival;
use gaplock_overload::summary::{LoadSummary, SummaryVersion};
use gaplock_platform::advice::{self, AdviceClient};
use gaplock_platform::hosts::{self, HostsClient};
use gaplock_platform::installation::Installation;
use gaplock_platform::store::{Revision, Store};
use gaplock_policy::authority::{Authority, Place, Report};
use gaplock_policy::refusals::StoreRevision;
use gaplock_policy::succession::{self, LeaderCapacity};
use gaplock_remote::clock;
use gaplock_sched::freshness::RevisionSample;
use gaplock_sched::{Event, Settings};
use gaplock_serve::account::{self, Account};
use gaplock_serve::budget::{self, Bytes};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::announcements::{self, Notice};
use crate::configuration::{self, Configuration};
use crate::engine::Engine;
use crate::handover::Handover;
use crate::leadership::LeadershipStatus;
use crate::metrics::Metrics;
use crate::peers::{
    self, AdmitAnswer, Echo, Heartbeat, HeartbeatAnswer, Invitation, QueueCount, StatusAnswer,
};

/// The role of this host in the installation.
#[derive(Clone)]
pub enum Role {
    /// It follows the leader at this address; `None` while no leader is known.
    Follower(Option<String>),
    /// It leads, with this engine.
    Leader(Arc<Engine>),
}

/// A load summary with the time at which it was made.
#[derive(Debug, Clone)]
pub struct TimedSummary {
    /// The summary.
    pub summary: Arc<LoadSummary>,
    /// When it was made, by this host's clock; for a summary of another host the earliest possible
    /// time.
    pub made_at: Instant,
}

/// The newest load summary that a host knows.
#[derive(Debug, Clone)]
pub struct KnownLoad {
    /// The summary.
    pub summary: Arc<LoadSummary>,
    /// How long ago the leader made it, at most.
    pub age: Millis,
}

/// State shared by all tasks of a host's process.
pub struct Node {
    /// The installation's settings for this host.
    pub installation: Installation,
    /// Identifies this process among those that have run on this host.
    pub incarnation: ids::Incarnation,
    /// The address at which this host accepts calls of other hosts.
    pub peer_addr: String,
    /// The platform's store.
    pub store: Arc<Store>,
    /// The service that decides on which workers steps may run, if the installation has one.
    pub advisor: Option<AdviceClient>,
    /// The service that lists the workers' hosts and takes them down for maintenance, if the
    /// installation has one.
    pub hosts: Option<HostsClient>,
    /// The client for calls to other hosts, mostly to the leader.
    pub peer_client: peers::PeerClient,
    /// The notices to the leader that no leader has answered yet.
    pub unanswered_notices: announcements::Unanswered,
    /// The operators' configuration at this host.
    pub configuration: Configuration,
    /// The metrics of this host.
    pub metrics: Metrics,
    /// What the clients of all listeners of this process hold.
    pub account: Arc<Account>,
    /// Whether jobs may be refused by the load of their queue.
    pub admission_control: bool,
    settings: RwLock<Settings>,
    role: RwLock<Role>,
    /// The last leadership of this process, also while its state is still being read.
    leadership: Mutex<Option<Arc<LeadershipStatus>>>,
    stopping: AtomicBool,
    store_answered_at_ms: AtomicU64,
    store_failed_at_ms: AtomicU64,
    store_lost: AtomicBool,
    checks_store: AtomicBool,
    store_revision: AtomicU64,
    leader_answered_at_ms: AtomicU64,
    leader_queue_counts: Mutex<BTreeMap<String, u32>>,
    leader_load: Mutex<Option<TimedSummary>>,
    started_at: Instant,
    /// The capacity of this host as a leader.
    pub leader_capacity: LeaderCapacity,
    /// What this host knows about the next leader.
    pub handover: Handover,
}

/// The maximum age of the leader's queue counts that are shown to callers; callers expect 2 s at
/// most.
const QUEUE_COUNTS_MAX_AGE: Millis = Millis(1_500);

/// How long a host stays ready for callers after the last answer of the leader and of the store.
const READY_WITHOUT_CONTACT_LIMIT: Millis = Millis(2_500);

/// How long the store must have failed this host's calls before writes are refused without an
/// attempt.
const STORE_UNAVAILABLE_AFTER: Millis = Millis(600);

const LOCK: &str = "no holder of the lock panics";

/// Returns the leader's summary as it is sent to a follower that has the version `known`: with its
/// age, and `None` if the follower already has it.
fn load_newer_than(
    known: SummaryVersion,
    now: Instant,
    load: Option<TimedSummary>,
) -> Option<LoadSummary> {
    let load = load.filter(|load| load.summary.version() > known)?;
    Some(LoadSummary { age: now.since(load.made_at), ..LoadSummary::clone(&load.summary) })
}

/// Converts a heartbeat that came at `now` into a report to the leadership `term`. A follower of an
/// earlier version names no failure domain; `own_domain` is the one that proves the least.
fn report_of(beat: &Heartbeat, term: u64, now: Instant, own_domain: ids::DomainId) -> Report {
    let echo = beat.echo.filter(|echo| echo.term == term);
    let sent = echo.map_or(now, |echo| now.min(echo.at + echo.age));
    let ago = |age: Millis| Instant(sent.0.saturating_sub(age.0));
    Report {
        host: beat.host.clone(),
        domain: beat.domain.clone().unwrap_or(own_domain),
        addr: beat.addr.clone(),
        pledged_at: echo.map(|echo| echo.at),
        store_answered_at: ago(beat.store_age),
        store_failed_at: beat.store_failed.map(ago),
    }
}

/// Builds the shared state of a process.
pub fn open(
    installation: Installation,
    settings: Settings,
    peer_addr: String,
    store: Store,
    admission_control: bool,
) -> Arc<Node> {
    let advisor = installation.advice_addr.as_deref().map(advice::open);
    let own_host = &installation.host;
    let hosts = installation.hosts_addr.as_deref();
    let hosts = hosts.map(|addr| hosts::open(addr, own_host.clone()));
    let memory = Bytes(installation.memory_bytes);
    let account = account::open(budget::of_process(memory, installation.descriptors));
    let leader_capacity =
        succession::leader_capacity(installation.cpu_share, installation.link_mbps);
    Arc::new(Node {
        leader_capacity,
        started_at: clock::now(),
        handover: Handover::default(),
        advisor,
        hosts,
        unanswered_notices: announcements::open(installation.bounds.cancel_limit),
        configuration: configuration::open(installation.bounds.config_limit),
        installation,
        settings: RwLock::new(settings),
        incarnation: ids::Incarnation(rand::random()),
        peer_addr,
        store: Arc::new(store),
        peer_client: peers::PeerClient::default(),
        metrics: crate::metrics::open(),
        account,
        admission_control,
        role: RwLock::new(Role::Follower(None)),
        leadership: Mutex::default(),
        stopping: AtomicBool::new(false),
        store_answered_at_ms: AtomicU64::new(0),
        store_failed_at_ms: AtomicU64::new(0),
        store_lost: AtomicBool::new(false),
        checks_store: AtomicBool::new(false),
        store_revision: AtomicU64::new(0),
        leader_answered_at_ms: AtomicU64::new(0),
        leader_queue_counts: Mutex::default(),
        leader_load: Mutex::default(),
    })
}

impl Node {
    /// Returns the scheduler's settings: its bounds and intervals.
    pub fn settings(&self) -> Settings {
        self.settings.read().expect(LOCK).clone()
    }

    /// Replaces the scheduler's settings.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.write().expect(LOCK) = settings;
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.configuration.in_force()
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.configuration.version()
    }

    /// Returns this host's present role.
    pub fn role(&self) -> Role {
        self.role.read().expect(LOCK).clone()
    }

    /// Changes this host's role.
    pub fn set_role(&self, role: Role) {
        *self.role.write().expect(LOCK) = role;
    }

    /// Returns where this host is.
    pub fn place(&self) -> Place {
        let is_only_domain = self.installation.domains.len() == 1;
        Place { domain: self.installation.domain.clone(), is_only_domain }
    }

    /// Records a new leadership of this host.
    pub fn set_leadership(&self, leadership: &Arc<LeadershipStatus>) {
        *self.leadership.lock().expect(LOCK) = Some(Arc::clone(leadership));
    }

    /// Returns whether this host holds a claim under which it may act, also while it still reads the
    /// stored state.
    pub fn holds_leadership(&self) -> bool {
        let leadership = self.leadership.lock().expect(LOCK).clone();
        leadership.is_some_and(|l| l.authority(clock::now()) != Authority::Lost)
    }

    /// Ends a leadership of this host under an earlier term than `term`; returns the host's name.
    pub fn end_earlier_leadership(&self, term: u64) -> ids::EntryId {
        let leadership = self.leadership.lock().expect(LOCK).clone();
        if let Some(leadership) = leadership.filter(|l| l.term < term) {
            if leadership.authority(clock::now()) != Authority::Lost {
                tracing::warn!(event = "leadership_lost", why = "another host says that it leads");
                leadership.lose();
            }
        }
        self.installation.host.clone()
    }

    /// Returns the address of the leader, if another host leads.
    pub fn leader_addr(&self) -> Option<String> {
        match self.role() {
            Role::Follower(addr) => addr,
            Role::Leader(_) => None,
        }
    }

    /// Records that the store has answered. After an outage, notifies the engine if this host
    /// leads.
    pub fn record_store_answer(&self) {
        if self.store_lost.swap(false, Ordering::Relaxed) {
            tracing::info!(event = "store_back", silent_ms = self.store_age().0);
            // Directory entries of workers that expired during the outage need time to reappear.
            if let Role::Leader(engine) = self.role() {
                engine.send(Event::DirectoryRecovered);
            }
        }
        self.store_answered_at_ms.fetch_max(clock::now().0, Ordering::Relaxed);
        self.note_stored();
    }

    /// Notes that the store answers this host, or has answered another one. If this host leads
    /// without confirmation, its claim may have been replaced meanwhile.
    fn note_stored(&self) {
        if let Role::Leader(engine) = self.role() {
            engine.leadership.record_store_answer(clock::now());
        }
    }

    /// Records a revision that the store has or had.
    pub fn note_store_revision(&self, revision: Revision) {
        self.store_revision.fetch_max(revision.0, Ordering::SeqCst);
    }

    /// Returns the highest revision of the store that this host has learned of.
    pub fn store_revision(&self) -> StoreRevision {
        StoreRevision(self.store_revision.load(Ordering::SeqCst))
    }

    /// Reports the store's revision at a given time to the engine, if this host leads.
    pub fn report_store_revision(&self, sample: RevisionSample) {
        self.note_store_revision(Revision(sample.revision));
        if let Role::Leader(engine) = self.role() {
            engine.send(Event::StoreRevision(sample));
        }
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&self) {
        if !self.store_lost.swap(true, Ordering::Relaxed) {
            tracing::warn!(event = "store_lost", silent_ms = self.store_age().0);
        }
        self.store_failed_at_ms.fetch_max(clock::now().0, Ordering::Relaxed);
    }

    /// Returns whether the store has failed this host's calls for `STORE_UNAVAILABLE_AFTER`. Writes
    /// are then not attempted, so that it is certain that a refused write is not stored.
    pub fn is_store_unavailable(&self) -> bool {
        let answered = self.store_answered_at_ms.load(Ordering::Relaxed);
        let failed = self.store_failed_at_ms.load(Ordering::Relaxed);
        failed > answered && self.store_age() >= STORE_UNAVAILABLE_AFTER
    }

    /// Returns how long ago a call to the store failed, if none has succeeded since.
    pub fn store_failure_age(&self) -> Option<Millis> {
        let answered = self.store_answered_at_ms.load(Ordering::Relaxed);
        let failed = self.store_failed_at_ms.load(Ordering::Relaxed);
        (failed > answered).then(|| clock::now().since(Instant(failed)))
    }

    /// Returns whether the store has answered since `at`.
    pub fn has_store_answered_since(&self, at: Instant) -> bool {
        self.store_answered_at_ms.load(Ordering::Relaxed) >= at.0
    }

    /// Marks the begin of a check of the store; returns false if one is under way.
    pub fn begin_store_check(&self) -> bool {
        !self.checks_store.swap(true, Ordering::SeqCst)
    }

    /// Marks the end of a check of the store.
    pub fn end_store_check(&self) {
        self.checks_store.store(false, Ordering::SeqCst);
    }

    /// Returns how long ago the store last answered.
    pub fn store_age(&self) -> Millis {
        clock::now().since(Instant(self.store_answered_at_ms.load(Ordering::Relaxed)))
    }

    /// Records that the leader has answered, with its queue counts.
    pub fn record_leader_answer(&self, counts: Vec<QueueCount>) {
        self.leader_answered_at_ms.fetch_max(clock::now().0, Ordering::Relaxed);
        let counts = counts.into_iter().map(|c| (c.queue, c.waiting));
        *self.leader_queue_counts.lock().expect(LOCK) = counts.collect();
    }

    /// Records a load summary that the leader sent in the answer to a call made at `asked`, unless
    /// a newer one is known.
    pub fn record_leader_load(&self, asked: Instant, summary: LoadSummary) {
        let made_at = Instant(asked.0.saturating_sub(summary.age.0));
        let mut known = self.leader_load.lock().expect(LOCK);
        if known.as_ref().is_none_or(|k| summary.is_newer_than(&k.summary)) {
            *known = Some(TimedSummary { summary: Arc::new(summary), made_at });
        }
    }

    /// Returns the newest load summary that this host has, with its present age: the engine's own
    /// on the leader, the leader's last one on any other host. `None` if there has been none.
    pub fn load_summary(&self) -> Option<KnownLoad> {
        let known = match self.role() {
            Role::Leader(engine) => engine.load(),
            Role::Follower(_) => self.leader_load.lock().expect(LOCK).clone(),
        };
        let age = |made_at| clock::now().since(made_at);
        known.map(|k| KnownLoad { age: age(k.made_at), summary: k.summary })
    }

    /// Returns the version of the newest load summary that a leader sent to this host.
    pub fn leader_load_version(&self) -> SummaryVersion {
        let known = self.leader_load.lock().expect(LOCK);
        known.as_ref().map(|k| k.summary.version()).unwrap_or_default()
    }

    fn leader_age(&self) -> Millis {
        clock::now().since(Instant(self.leader_answered_at_ms.load(Ordering::Relaxed)))
    }

    /// Returns how many jobs of a queue have not begun; `None` if the leader's last counts are too
    /// old.
    pub fn waiting_jobs(&self, queue: &str) -> Option<u32> {
        if let Role::Leader(engine) = self.role() {
            return Some(engine.waiting_jobs_of(queue));
        }
        if self.leader_age() > QUEUE_COUNTS_MAX_AGE {
            return None;
        }
        Some(self.leader_queue_counts.lock().expect(LOCK).get(queue).copied().unwrap_or(0))
    }

    /// Returns whether this host should receive callers' connections.
    pub fn is_ready(&self) -> bool {
        let leads = matches!(self.role(), Role::Leader(_));
        let store = self.store_age() < READY_WITHOUT_CONTACT_LIMIT;
        let leader = self.leader_age() < READY_WITHOUT_CONTACT_LIMIT;
        let configured = self.config().is_some() && !self.configuration.is_outdated();
        // A host that has just started soon hears from the leader, if there is one.
        let has_heard = self.leader_answered_at_ms.load(Ordering::Relaxed) > 0;
        let settled = leads || has_heard || self.running_for() >= READY_WITHOUT_CONTACT_LIMIT;
        !self.is_stopping() && configured && settled && (leads || store || leader)
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Starts the shutdown of the process. A leader stops acting and hands over.
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

    /// Handles an invitation to lead; returns whether this host leads now, after its claim has
    /// succeeded or failed.
    pub async fn handle_invitation(&self, invitation: Invitation) -> bool {
        !self.is_stopping() && self.handover.handle_invitation(invitation).await
    }

    /// Answers a follower's heartbeat.
    pub async fn answer_heartbeat(&self, beat: Heartbeat) -> HeartbeatAnswer {
        let now = clock::now();
        // Recorded even if this host does not lead yet: a new leader that is still reading the
        // stored state may step down too.
        self.handover.record_follower(now, &beat);
        let Role::Leader(engine) = self.role() else { return HeartbeatAnswer::NotLeader };
        let leadership = &engine.leadership;
        let report = report_of(&beat, leadership.term, now, self.installation.domain.clone());
        let check_now = leadership.needs_check_of(now, &report);
        leadership.record_report(now, report);
        let echo = Echo { term: leadership.term, at: now, age: Millis(0) };
        match leadership.authority(now) {
            Authority::Act | Authority::Hold => {}
            Authority::Wait => return HeartbeatAnswer::Waiting(echo),
            Authority::Lost => return HeartbeatAnswer::NotLeader,
        }
        self.note_follower_config(&beat);
        // Only a follower of an earlier version takes the configuration from here.
        let newer = self.config().filter(|c| !beat.reads_parts && c.version > beat.config_version);
        let best = self.handover.successor(now);
        let strongest = best
            .as_ref()
            .map_or(self.leader_capacity, |c| c.leader_capacity.max(self.leader_capacity));
        HeartbeatAnswer::Leader {
            config_age: self.configuration.age(),
            config_version: self.config_version(),
            config_revision: self.configuration.revision(),
            store_revision: self.store_revision().0,
            config: newer.map(|c| Box::new(Config::clone(&c))),
            waiting: engine.queue_counts(),
            successor: best.map(|c| c.host),
            strongest,
            beat_after: self.handover.heartbeat_interval(now),
            check_store: leadership.is_confirmation_overdue(now)
                || self.handover.should_check_store(now, &beat),
            load: load_newer_than(beat.load, now, engine.load()).map(Box::new),
            echo,
            check_now,
        }
    }

    /// Records which version of the configuration a follower of this leader has. If it is newer than
    /// this host's, the store may be refusing this host only.
    fn note_follower_config(&self, beat: &Heartbeat) {
        let behind = self.configuration.note_follower(&beat.host, beat.config_version);
        self.metrics.config_hosts_behind.set(behind as i64);
        if beat.reads_parts {
            let version = Version(beat.config_version);
            let news = News { version, newest_at: None, revision: None };
            self.configuration.note_news(news, &beat.addr);
        }
    }

    /// Passes something that a host has stored to the engine if this host leads; returns whether it
    /// does.
    pub async fn apply_if_leader(&self, notice: Notice) -> bool {
        let Role::Leader(engine) = self.role() else { return false };
        self.note_stored();
        engine.send(match notice {
            Notice::Job { job, stored_at } => Event::Job(job, stored_at),
            Notice::Cancel { key, stored_at } => Event::Cancel(key, stored_at),
        });
        true
    }

    /// Decides whether a job is admitted if this host leads.
    pub async fn admit_if_leader(&self, arrival: Arrival) -> AdmitAnswer {
        let Role::Leader(engine) = self.role() else { return AdmitAnswer::NotDecided };
        engine.admit(arrival).await
    }

    /// Returns a job's state if this host leads and knows it.
    pub async fn status_if_leader(&self, key: JobKey) -> StatusAnswer {
        let Role::Leader(engine) = self.role() else { return StatusAnswer::Unknown };
        engine.status(key).await
    }
}
