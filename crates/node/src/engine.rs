//! Runs the scheduler while this host leads: passes messages to the scheduler's state machine,
//! carries out the actions that it returns, and has its records stored.

use std::collections::BTreeMap;
use std::iter;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant as StdInstant};

use async_channel::{Receiver, Sender};
use async_std::{future, task};
use gaplock_jobs::progress::JobState;
use gaplock_jobs::JobKey;
use gaplock_overload::admission::Arrival;
use gaplock_platform::store::Revision;
use gaplock_policy::authority::{Authority, Basis};
use gaplock_remote::clock;
use gaplock_sched::context::Term;
use gaplock_sched::delay::Delay;
use gaplock_sched::event_queue::EventQueue;
use gaplock_sched::free_capacity::{self, FreeCpu};
use gaplock_sched::job_table::JobEntry;
use gaplock_sched::message::{FencingToken, Record};
use gaplock_sched::{
    commits, concurrency_limit, evacuation, load, requests, shares, Context, Event,
};
use gaplock_types::time::{Instant, Millis};

use crate::actions::{self, CallContext, Clients};
use crate::admission::LeaderAdmission;
use crate::leadership::LeadershipStatus;
use crate::messages::Message;
use crate::metrics::Purpose;
use crate::node::{Node, TimedSummary};
use crate::peers::{AdmitAnswer, QueueCount, StatusAnswer};
use crate::store_writer::{CommitError, StoreWriter};

/// A message with the time at which it was sent.
type Sent = (Instant, Message);

/// The handle of a running engine.
pub struct Engine {
    tx: Sender<Sent>,
    /// Whether this host may act as the leader.
    pub leadership: Arc<LeadershipStatus>,
    queue_counts: Mutex<Vec<QueueCount>>,
    load: Mutex<Option<TimedSummary>>,
}

impl Engine {
    /// Sends an event to the engine; events sent after the engine has ended are dropped.
    pub fn send(&self, event: Event) {
        if self.tx.try_send((clock::now(), Message::Event(event))).is_err() {
            tracing::debug!(event = "engine_ended");
        }
    }

    /// Returns a job's state.
    pub async fn status(&self, key: JobKey) -> StatusAnswer {
        let (tx, rx) = async_channel::bounded(1);
        if self.tx.send((clock::now(), Message::Status(key, tx))).await.is_err() {
            return StatusAnswer::Unknown;
        }
        rx.recv().await.unwrap_or(StatusAnswer::Unknown)
    }

    /// Decides whether a job is admitted.
    pub async fn admit(&self, arrival: Arrival) -> AdmitAnswer {
        let (tx, rx) = async_channel::bounded(1);
        if self.tx.send((clock::now(), Message::Admit(arrival, tx))).await.is_err() {
            return AdmitAnswer::NotDecided;
        }
        rx.recv().await.unwrap_or(AdmitAnswer::NotDecided)
    }

    /// Returns how many jobs of each queue have not begun.
    pub fn queue_counts(&self) -> Vec<QueueCount> {
        self.queue_counts.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the newest load summary; `None` before the first one.
    pub fn load(&self) -> Option<TimedSummary> {
        self.load.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns how many jobs of a queue have not begun.
    pub fn waiting_jobs_of(&self, queue: &str) -> u32 {
        let counts = self.queue_counts();
        counts.iter().find(|c| c.queue == queue).map_or(0, |c| c.waiting)
    }
}

/// The state that the engine's task owns.
pub struct Driver {
    cx: Context,
    rx: Receiver<Sent>,
    /// The messages that were received and not handled yet.
    waiting: EventQueue<Message>,
    /// Whether the log says that this leader is behind.
    is_behind: bool,
    engine: Arc<Engine>,
    node: Arc<Node>,
    clients: Clients,
    admission: LeaderAdmission,
    to_store_writer: Sender<Vec<Record>>,
    counted_at: Instant,
    load_sequence: u64,
    /// What the authority rested on when it was last checked.
    basis: Basis,
}

/// How often the queue counts, the load summary and the metrics are updated; callers accept counts
/// up to 2 s old.
const COUNT_EVERY_MS: u64 = 300;

/// The maximum number of messages handled before actions are carried out.
const MAX_BATCH: usize = 32;

/// The stretch of optional work, in percent, from which on the log says that the leader is behind.
const BEHIND_FROM_PERCENT: u32 = 200;

/// Builds an engine around a restored state.
pub fn open(
    node: &Arc<Node>,
    cx: Context,
    leadership: Arc<LeadershipStatus>,
    writer: StoreWriter,
) -> Driver {
    let (tx, rx) = async_channel::unbounded();
    let engine =
        Arc::new(Engine { tx, leadership, queue_counts: Mutex::default(), load: Mutex::default() });
    let (to_store_writer, records) = async_channel::bounded(1);
    task::spawn(write_commits(Arc::clone(node), writer, records, Arc::clone(&engine)));
    Driver {
        cx,
        rx,
        waiting: EventQueue::default(),
        is_behind: false,
        engine,
        node: Arc::clone(node),
        clients: Clients::open(node.installation.descriptors),
        admission: LeaderAdmission::default(),
        to_store_writer,
        counted_at: Instant(0),
        load_sequence: 0,
        basis: Basis::Confirmed,
    }
}

impl Driver {
    /// Returns the handle of the engine.
    pub fn engine(&self) -> Arc<Engine> {
        Arc::clone(&self.engine)
    }

    /// Runs until the leadership is over.
    pub async fn run(mut self) {
        loop {
            let now = clock::now();
            let began = StdInstant::now();
            match self.check_authority(now) {
                Authority::Lost => break,
                Authority::Act | Authority::Hold => self.carry_out_actions(true),
                Authority::Wait => self.carry_out_actions(false),
            }
            self.commit(now);
            self.node.metrics.leader.add_time(Purpose::Orders, began);
            self.update_metrics(now);
            self.cx.freshness.record_answer(self.engine.leadership.confirmed_at());
            if !self.receive(now).await {
                break;
            }
            self.handle_batch();
        }
        self.show_free_capacity(FreeCpu::default(), 0, 0);
        self.node.metrics.show_evacuated(iter::empty());
        self.node.metrics.overload.show_load_periods(iter::empty());
        self.node.metrics.overload.show_best_effort(iter::empty());
        self.node.metrics.overload.show_class_shares(iter::empty());
        self.node.metrics.directory_lag_ms.set(0);
        self.node.metrics.unconfirmed_ms.set(0);
        self.node.metrics.waiting_events.set(0);
        self.node.metrics.runs_after_end.set(0);
        self.node.metrics.leader.stretch_percent.set(i64::from(Delay::default().stretch_percent()));
        self.node.metrics.leader.readings_put_off.set(0);
    }

    /// Receives the messages that are there. If none waits, waits for one, or until something is due
    /// by time; otherwise lets calls make progress first, so that what they report can go before
    /// what waits. Returns false if no message will follow.
    async fn receive(&mut self, now: Instant) -> bool {
        if self.waiting.is_empty() && self.rx.is_empty() {
            let wait = self.cx.next_wake().since(now).as_duration();
            match future::timeout(wait, self.rx.recv()).await {
                Ok(Ok(sent)) => self.enqueue(sent),
                Ok(Err(_)) => return false,
                Err(_) => {}
            }
        } else if !self.waiting.is_empty() {
            task::yield_now().await;
        }
        while let Ok(sent) = self.rx.try_recv() {
            self.enqueue(sent);
        }
        true
    }

    fn enqueue(&mut self, (since, message): Sent) {
        self.waiting.push(since, message.urgency(), message);
    }

    /// Returns whether this host may act as the leader now, and logs when the basis of that changes.
    fn check_authority(&mut self, now: Instant) -> Authority {
        let leadership = &self.engine.leadership;
        let basis = leadership.basis(now);
        let unconfirmed = now.since(leadership.confirmed_at());
        self.node.metrics.unconfirmed_ms.set(unconfirmed.0 as i64);
        if basis != self.basis {
            tracing::info!(event = "authority_changed", from = %self.basis, to = %basis,
                unconfirmed_ms = unconfirmed.0, silent = leadership.silent_followers(now).len());
            self.basis = basis;
        }
        let authority = basis.authority();
        self.cx.may_be_superseded = authority != Authority::Act;
        authority
    }

    /// Handles messages that wait, up to `MAX_BATCH`, then what is due by time.
    fn handle_batch(&mut self) {
        let began = StdInstant::now();
        for _ in 0..MAX_BATCH {
            let Some((waited, message)) = self.waiting.pop(clock::now()) else { break };
            self.node.metrics.leader.record_wait(message.kind(), waited);
            self.handle_message(waited, message);
        }
        self.node.metrics.leader.add_time(Purpose::Events, began);
        let began = StdInstant::now();
        self.cx.handle(clock::now(), clock::unix_ms(), Event::Tick);
        self.node.metrics.leader.add_time(Purpose::Due, began);
    }

    /// Handles one message that has waited for so long.
    fn handle_message(&mut self, waited: Millis, message: Message) {
        match message {
            Message::Event(event) => {
                if let Event::Job(job, _) = &event {
                    self.admission.forget(job.key);
                }
                self.cx.handle_waiting(clock::now(), clock::unix_ms(), waited, event);
            }
            Message::Admit(arrival, tx) => {
                if tx.try_send(self.decide_admission(&arrival)).is_err() {
                    tracing::debug!(event = "admission_not_wanted", job = %JobKey(arrival.key.0));
                }
            }
            Message::Status(key, tx) => {
                let is_readable = |e: &&JobEntry| !e.unreadable || e.stored_state.is_final();
                let entry = self.cx.jobs.get(&key).filter(is_readable);
                let answer = entry.map_or(StatusAnswer::Unknown, |entry| {
                    StatusAnswer::State(visible_state(entry.state, entry.stored_state))
                });
                if tx.try_send(answer).is_err() {
                    tracing::debug!(event = "status_not_wanted", job = %key);
                }
            }
        }
    }

    /// Decides whether a job is admitted, unless this host may not act as the leader now.
    fn decide_admission(&mut self, arrival: &Arrival) -> AdmitAnswer {
        let now = clock::now();
        if !matches!(self.engine.leadership.authority(now), Authority::Act | Authority::Hold) {
            return AdmitAnswer::NotDecided;
        }
        let is_known = self.cx.jobs.contains_key(&JobKey(arrival.key.0));
        self.admission.decide(&self.node, now, is_known, arrival)
    }

    /// Carries out the actions that the scheduler asks for. If `may_send` is false, answers each of
    /// them as not sent instead.
    fn carry_out_actions(&mut self, may_send: bool) {
        for action in self.cx.take_actions() {
            if may_send {
                let (node, engine) = (Arc::clone(&self.node), self.engine());
                let call = CallContext { node, engine, token: self.cx.term.token };
                actions::carry_out(call, &mut self.clients, &self.cx, action);
            } else if let Some(event) = actions::not_sent_event(self.cx.now, action) {
                self.engine.send(event);
            }
        }
    }

    /// Passes the records to be stored to the store writer, unless a commit is in flight.
    fn commit(&mut self, now: Instant) {
        if let Some(records) = commits::take(&mut self.cx, now) {
            if self.to_store_writer.try_send(records).is_err() {
                tracing::warn!(event = "ledger_ended");
            }
        }
    }

    /// Updates the queue counts, the load summary and the metrics, at most once per
    /// `COUNT_EVERY_MS`.
    fn update_metrics(&mut self, now: Instant) {
        if now.since(self.counted_at).0 < COUNT_EVERY_MS {
            return;
        }
        self.counted_at = now;
        let began = StdInstant::now();
        self.show_delay();
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for entry in self.cx.jobs.values().filter(|e| e.state == JobState::Queued) {
            *counts.entry(requests::listed_under(&self.cx, &entry.job)).or_default() += 1;
        }
        let counts = counts.into_iter();
        let counts = counts.map(|(queue, waiting)| QueueCount { queue: queue.into(), waiting });
        *self.engine.queue_counts.lock().expect("no holder of the lock panics") = counts.collect();
        self.update_load(now);
        let evacuated = self.cx.evacuated.domains.iter();
        let shown = evacuated.map(|domain| (domain, evacuation::count_runs_in(&self.cx, domain)));
        self.node.metrics.show_evacuated(shown);
        self.node.metrics.overload.show_load_periods(self.cx.interference.confirmed_periods());
        self.node.metrics.directory_lag_ms.set(self.cx.freshness.lag().0 as i64);
        self.node.metrics.waiting_events.set((self.rx.len() + self.waiting.len()) as i64);
        self.node.metrics.runs_after_end.set(self.cx.runs_after_end as i64);
        let classes = shares::class_shares(&self.cx);
        let shown = classes.iter().map(|((pool, class), share)| (pool, *class, *share));
        self.node.metrics.overload.show_class_shares(shown);
        let free = free_capacity::free_cpu(&self.cx);
        self.show_free_capacity(free, self.cx.ready.len(), self.cx.crashes.suspects.len());
        let at_work = concurrency_limit::demand_at_work(&self.cx);
        let limit = |pool| self.cx.best_effort_limits.get(pool).and_then(|(l, _)| l.millicores());
        let shown = at_work.iter().map(|(pool, demand)| (*pool, *demand, limit(*pool)));
        self.node.metrics.overload.show_best_effort(shown);
        self.node.metrics.leader.add_time(Purpose::Figures, began);
    }

    /// Shows how far this leader is behind, and logs when that changes.
    fn show_delay(&mut self) {
        let stretch = self.cx.delay.stretch_percent();
        let metrics = &self.node.metrics.leader;
        metrics.stretch_percent.set(i64::from(stretch));
        metrics.readings_put_off.set(self.cx.readings_put_off as i64);
        if !self.is_behind && stretch >= BEHIND_FROM_PERCENT {
            self.is_behind = true;
            tracing::warn!(event = "leader_behind", waiting = self.waiting.len());
        } else if self.is_behind && !self.cx.delay.puts_off() {
            self.is_behind = false;
            tracing::info!(event = "leader_caught_up");
        }
    }

    /// Makes the load summary that other hosts get.
    fn update_load(&mut self, now: Instant) {
        self.load_sequence += 1;
        let summary = load::summary(&self.cx, self.load_sequence);
        let load = TimedSummary { summary: Arc::new(summary), made_at: now };
        *self.engine.load.lock().expect("no holder of the lock panics") = Some(load);
    }

    /// Sets the metrics of the workers' free capacity, of waiting steps and of suspect tasks.
    fn show_free_capacity(&self, free: FreeCpu, waiting_steps: usize, suspects: usize) {
        let metrics = &self.node.metrics;
        metrics.free_millicores.set(free.total as i64);
        metrics.largest_free_millicores.set(i64::from(free.largest.0));
        metrics.waiting_steps.set(waiting_steps as i64);
        metrics.suspect_tasks.set(suspects as i64);
    }
}

/// Returns the state that a caller may see: a final state only once it is stored.
fn visible_state(state: JobState, stored: JobState) -> JobState {
    match (state.is_final(), stored.is_final()) {
        (_, true) => stored,
        (true, false) => JobState::Active,
        (false, false) => state,
    }
}

/// The pause before a commit is retried while the store is unavailable.
const COMMIT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The duration from which a commit is logged as slow: ends of tasks are acknowledged only after
/// it.
const SLOW_COMMIT: Duration = Duration::from_millis(500);

/// Writes commits one by one and reports the outcome of each to the engine.
async fn write_commits(
    node: Arc<Node>,
    mut writer: StoreWriter,
    records: Receiver<Vec<Record>>,
    engine: Arc<Engine>,
) {
    while let Ok(records) = records.recv().await {
        let began = StdInstant::now();
        let written = writer.write(&records).await;
        let took = began.elapsed();
        if took >= SLOW_COMMIT {
            tracing::warn!(
                event = "commit_slow",
                took_ms = took.as_millis() as u64,
                records = records.len()
            );
        }
        match written {
            Ok(()) => {
                node.metrics.count_commit("stored", took);
                engine.send(Event::Committed);
            }
            Err(CommitError::NotWritten) => {
                node.metrics.count_commit("away", took);
                task::sleep(COMMIT_RETRY_PAUSE).await;
                engine.send(Event::CommitFailed);
            }
            Err(CommitError::LeadershipLost) => {
                node.metrics.count_commit("deposed", took);
                record_leadership_lost(&engine.leadership, records.len());
                return;
            }
        }
    }
}

/// Ends the leadership after a commit that failed with [`CommitError::LeadershipLost`]: either the
/// store refused the commit, or the leadership was already over.
fn record_leadership_lost(leadership: &LeadershipStatus, records: usize) {
    if leadership.authority(clock::now()) == Authority::Lost {
        tracing::info!(event = "commit_given_up", records, why = "the leadership is over");
    } else {
        tracing::warn!(event = "leadership_lost", why = "a commit was refused");
    }
    leadership.lose();
}

/// Builds the scheduler's term from a claim's number and revision.
pub fn term(number: u64, revision: Revision) -> Term {
    Term { number, token: FencingToken(revision.0) }
}
