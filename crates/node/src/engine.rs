//! Drives the scheduler's state with real time, sockets and the store while this host leads.

use std::collections::BTreeMap;
use std::iter;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant as StdInstant};

use async_channel::{Receiver, Sender};
use async_std::{future, task};
use gaplock_jobs::progress::JobState;
use gaplock_jobs::JobKey;
use gaplock_platform::store::Revision;
use gaplock_remote::clock;
use gaplock_sched::context::Term;
use gaplock_sched::free_capacity::{self, FreeCpu};
use gaplock_sched::job_table::JobEntry;
use gaplock_sched::message::{FencingToken, Record};
use gaplock_sched::{commits, evacuation, Context, Event};
use gaplock_types::time::Instant;

use crate::actions::{self, CallContext, Clients};
use crate::leadership::{Authority, LeadershipStatus};
use crate::node::Node;
use crate::peers::{QueueCount, StatusAnswer};
use crate::store_writer::{CommitError, StoreWriter};

/// What reaches the engine.
pub enum Message {
    /// Something happened.
    Event(Event),
    /// Somebody asks for a job's state.
    Status(JobKey, Sender<StatusAnswer>),
}

/// The handle of a running engine.
pub struct Engine {
    tx: Sender<Message>,
    /// Whether this host may act as the leader.
    pub leadership: Arc<LeadershipStatus>,
    waiting: Mutex<Vec<QueueCount>>,
}

impl Engine {
    /// Hands an event to the engine; after its end, events go nowhere.
    pub fn send(&self, event: Event) {
        if self.tx.try_send(Message::Event(event)).is_err() {
            tracing::debug!(event = "engine_ended");
        }
    }

    /// Returns a job's state.
    pub async fn status(&self, key: JobKey) -> StatusAnswer {
        let (tx, rx) = async_channel::bounded(1);
        if self.tx.send(Message::Status(key, tx)).await.is_err() {
            return StatusAnswer::Unknown;
        }
        rx.recv().await.unwrap_or(StatusAnswer::Unknown)
    }

    /// Returns how many jobs of each queue have not begun.
    pub fn waiting(&self) -> Vec<QueueCount> {
        self.waiting.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns how many jobs of a queue have not begun.
    pub fn waiting_jobs_of(&self, queue: &str) -> u32 {
        let counts = self.waiting();
        counts.iter().find(|c| c.queue == queue).map_or(0, |c| c.waiting)
    }
}

/// What the engine's task owns.
pub struct Driver {
    cx: Context,
    rx: Receiver<Message>,
    engine: Arc<Engine>,
    node: Arc<Node>,
    clients: Clients,
    to_store_writer: Sender<Vec<Record>>,
    counted_at: Instant,
}

/// How often the counts of queues are renewed; callers may be shown counts 2 s old.
const COUNT_EVERY_MS: u64 = 300;

/// The most messages taken in before actions are carried out.
const MAX_BATCH: usize = 64;

/// Builds an engine around a restored state.
pub fn open(
    node: &Arc<Node>,
    cx: Context,
    standing: Arc<LeadershipStatus>,
    ledger: StoreWriter,
) -> Driver {
    let (tx, rx) = async_channel::unbounded();
    let engine = Arc::new(Engine { tx, leadership: standing, waiting: Mutex::default() });
    let (to_ledger, records) = async_channel::bounded(1);
    task::spawn(write_commits(Arc::clone(node), ledger, records, Arc::clone(&engine)));
    Driver {
        cx,
        rx,
        engine,
        node: Arc::clone(node),
        clients: Clients::open(node.installation.descriptors),
        to_store_writer: to_ledger,
        counted_at: Instant(0),
    }
}

impl Driver {
    /// Returns the handle.
    pub fn engine(&self) -> Arc<Engine> {
        Arc::clone(&self.engine)
    }

    /// Runs until the leadership is over.
    pub async fn run(mut self) {
        loop {
            let now = clock::now();
            match self.engine.leadership.authority(now) {
                Authority::Lost => break,
                Authority::Act => self.carry_out_actions(true),
                Authority::Wait => self.carry_out_actions(false),
            }
            self.commit(now);
            self.count(now);
            self.cx.freshness.answered(self.engine.leadership.confirmed());
            let wait = self.cx.next_wake().since(now).as_duration();
            match future::timeout(wait, self.rx.recv()).await {
                Ok(Ok(message)) => self.handle_batch(message),
                Ok(Err(_)) => break,
                Err(_) => self.cx.handle(clock::now(), clock::unix_ms(), Event::Tick),
            }
        }
        self.show_free_capacity(FreeCpu::default(), 0, 0);
        self.node.metrics.show_evacuated(iter::empty());
        self.node.metrics.directory_lag_ms.set(0);
        self.node.metrics.waiting_events.set(0);
        self.node.metrics.runs_after_end.set(0);
    }

    /// Takes in a message and those that wait behind it, up to a batch.
    fn handle_batch(&mut self, first: Message) {
        self.handle_message(first);
        for _ in 1..MAX_BATCH {
            let Ok(message) = self.rx.try_recv() else { return };
            self.handle_message(message);
        }
    }

    /// Takes in one message.
    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Event(event) => self.cx.handle(clock::now(), clock::unix_ms(), event),
            Message::Status(key, tx) => {
                let known = |e: &&JobEntry| !e.unreadable || e.stored_state.is_final();
                let entry = self.cx.jobs.get(&key).filter(known);
                let answer = entry.map_or(StatusAnswer::Unknown, |entry| {
                    StatusAnswer::State(visible_state(entry.state, entry.stored_state))
                });
                if tx.try_send(answer).is_err() {
                    tracing::debug!(event = "status_not_wanted", job = %key);
                }
            }
        }
    }

    /// Carries out what the scheduler asks for, or answers it as not sent.
    fn carry_out_actions(&mut self, may: bool) {
        for action in self.cx.take_actions() {
            if may {
                let (node, engine) = (Arc::clone(&self.node), self.engine());
                let calls = CallContext { node, engine, token: self.cx.term.token };
                actions::carry_out(calls, &mut self.clients, &self.cx, action);
            } else if let Some(event) = actions::not_sent_event(self.cx.now, action) {
                self.engine.send(event);
            }
        }
    }

    /// Hands what is to be stored to the ledger, unless a commit is in flight.
    fn commit(&mut self, now: Instant) {
        if let Some(records) = commits::take(&mut self.cx, now) {
            if self.to_store_writer.try_send(records).is_err() {
                tracing::warn!(event = "ledger_ended");
            }
        }
    }

    /// Counts now and then how many jobs of each queue have not begun.
    fn count(&mut self, now: Instant) {
        if now.since(self.counted_at).0 < COUNT_EVERY_MS {
            return;
        }
        self.counted_at = now;
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for entry in self.cx.jobs.values().filter(|e| e.state == JobState::Queued) {
            *counts.entry(&entry.job.queue).or_default() += 1;
        }
        let counts = counts.into_iter();
        let counts = counts.map(|(queue, waiting)| QueueCount { queue: queue.into(), waiting });
        *self.engine.waiting.lock().expect("no holder of the lock panics") = counts.collect();
        let evacuated = self.cx.evacuated.domains.iter();
        let shown = evacuated.map(|domain| (domain, evacuation::count_runs_in(&self.cx, domain)));
        self.node.metrics.show_evacuated(shown);
        self.node.metrics.directory_lag_ms.set(self.cx.freshness.lag().0 as i64);
        self.node.metrics.waiting_events.set(self.rx.len() as i64);
        self.node.metrics.runs_after_end.set(self.cx.runs_after_end as i64);
        let free = free_capacity::free_cpu(&self.cx);
        self.show_free_capacity(free, self.cx.ready.len(), self.cx.crashes.suspects.len());
    }

    /// Shows the pool's room in the metrics.
    fn show_free_capacity(&self, free: FreeCpu, waiting_steps: usize, suspects: usize) {
        let metrics = &self.node.metrics;
        metrics.free_millicores.set(free.total as i64);
        metrics.largest_free_millicores.set(i64::from(free.largest.0));
        metrics.waiting_steps.set(waiting_steps as i64);
        metrics.suspect_tasks.set(suspects as i64);
    }
}

/// Returns what a caller may be shown: a final state only once it is stored.
fn visible_state(state: JobState, shown: JobState) -> JobState {
    match (state.is_final(), shown.is_final()) {
        (_, true) => shown,
        (true, false) => JobState::Active,
        (false, false) => state,
    }
}

/// The pause before a commit is made again while the store is away.
const COMMIT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// From how long on a commit is logged as slow: ends wait for it before they are acknowledged.
const SLOW_COMMIT: Duration = Duration::from_millis(500);

/// Writes commits one by one, and tells the engine what became of each.
async fn write_commits(
    node: Arc<Node>,
    mut ledger: StoreWriter,
    records: Receiver<Vec<Record>>,
    engine: Arc<Engine>,
) {
    while let Ok(records) = records.recv().await {
        let began = StdInstant::now();
        let written = ledger.write(&records).await;
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

/// Takes in that a commit ended with the leadership, be it by the commit's refusal or before it.
fn record_leadership_lost(standing: &LeadershipStatus, records: usize) {
    if standing.authority(clock::now()) == Authority::Lost {
        tracing::info!(event = "commit_given_up", records, why = "the leadership is over");
    } else {
        tracing::warn!(event = "leadership_lost", why = "a commit was refused");
    }
    standing.lose();
}

/// Builds the term of a claim.
pub fn term(number: u64, revision: Revision) -> Term {
    Term { number, token: FencingToken(revision.0) }
}
