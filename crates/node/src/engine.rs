//! Drives the scheduler's state with real time, sockets and the store while this host leads.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant as StdInstant};

use async_channel::{Receiver, Sender};
use async_std::{future, task};
use gaplock_jobs::progress::JobState;
use gaplock_jobs::JobKey;
use gaplock_platform::advice::Answer;
use gaplock_platform::worker::{self, Start, Worker};
use gaplock_remote::clock;
use gaplock_sched::context::Term;
use gaplock_sched::message::{FencingToken, Outcome, Permit, Record, UpkeepAnswer, WorkerIx};
use gaplock_sched::permits::StepKey;
use gaplock_sched::{commits, Action, Context, Event};
use gaplock_types::ids;
use gaplock_types::time::Instant;

use crate::leadership::{Right, Standing};
use crate::ledger::{CommitError, Ledger};
use crate::node::Node;
use crate::peers::{QueueCount, StatusAnswer};

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
    pub standing: Arc<Standing>,
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
    pub fn waiting_of(&self, queue: &str) -> u32 {
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
    workers: Vec<Arc<Worker>>,
    to_ledger: Sender<Vec<Record>>,
    counted: Instant,
}

/// How often the counts of queues are renewed; callers may be shown counts 2 s old.
const COUNT_EVERY_MS: u64 = 300;

/// The most messages taken in before actions are carried out.
const BATCH: usize = 64;

/// Builds an engine around a restored state.
pub fn open(node: &Arc<Node>, cx: Context, standing: Arc<Standing>, ledger: Ledger) -> Driver {
    let (tx, rx) = async_channel::unbounded();
    let engine = Arc::new(Engine { tx, standing, waiting: Mutex::default() });
    let (to_ledger, records) = async_channel::bounded(1);
    task::spawn(write_commits(Arc::clone(node), ledger, records, Arc::clone(&engine)));
    Driver {
        cx,
        rx,
        engine,
        node: Arc::clone(node),
        workers: Vec::new(),
        to_ledger,
        counted: Instant(0),
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
            match self.engine.standing.right(now) {
                Right::Lost => return,
                Right::Act => self.act(true),
                Right::Wait => self.act(false),
            }
            self.commit(now);
            self.count(now);
            let wait = self.cx.next_wake().since(now).as_duration();
            match future::timeout(wait, self.rx.recv()).await {
                Ok(Ok(message)) => self.take_in(message),
                Ok(Err(_)) => return,
                Err(_) => self.cx.handle(clock::now(), clock::unix_ms(), Event::Tick),
            }
        }
    }

    fn take_in(&mut self, first: Message) {
        self.one(first);
        for _ in 1..BATCH {
            let Ok(message) = self.rx.try_recv() else { return };
            self.one(message);
        }
    }

    fn one(&mut self, message: Message) {
        match message {
            Message::Event(event) => self.cx.handle(clock::now(), clock::unix_ms(), event),
            Message::Status(key, tx) => {
                let answer = self.cx.jobs.get(&key).map_or(StatusAnswer::Unknown, |entry| {
                    StatusAnswer::State(presentable(entry.state, entry.shown))
                });
                if tx.try_send(answer).is_err() {
                    tracing::debug!(event = "status_not_wanted", job = %key);
                }
            }
        }
    }

    fn act(&mut self, may: bool) {
        for action in self.cx.take_actions() {
            if may {
                self.carry_out(action);
            } else {
                self.leave_out(action);
            }
        }
    }

    fn client(&mut self, ix: WorkerIx) -> Arc<Worker> {
        while self.workers.len() <= ix.0 as usize {
            let info = &self.cx.workers[self.workers.len()].info;
            self.workers.push(Arc::new(worker::open(&info.addr, info.id.clone())));
        }
        Arc::clone(&self.workers[ix.0 as usize])
    }

    fn carry_out(&mut self, action: Action) {
        let token = self.cx.term.token;
        let calls = Calls { node: Arc::clone(&self.node), engine: self.engine(), token };
        match action {
            Action::Renew { worker, stored, until, wait } => {
                let client = self.client(worker);
                let sent = self.cx.now;
                task::spawn(async move {
                    let outcome = client.renew(token, stored, until, wait.as_duration()).await;
                    calls.report("renew", &outcome);
                    calls.engine.send(Event::Renewed { worker, sent, outcome });
                });
            }
            Action::Start { worker, task: key, run, job, until, checkpoint, ticket } => {
                let client = self.client(worker);
                task::spawn(async move {
                    let (checkpoint, ticket) = (checkpoint.as_deref(), ticket.as_deref());
                    let spec = job.spec.as_str();
                    let start = Start { task: key, run, spec, until, checkpoint, ticket };
                    let outcome = client.start(token, &start).await;
                    calls.report("start", &outcome);
                    calls.engine.send(Event::Started { worker, task: key, run, outcome });
                });
            }
            Action::Stop { worker, task: key, run } => {
                let client = self.client(worker);
                task::spawn(async move {
                    let outcome = client.stop(token, key, run).await;
                    calls.report("stop", &outcome);
                    calls.engine.send(Event::Stopped { worker, task: key, run, outcome });
                });
            }
            Action::Pace { worker, task: key, run, percent } => {
                let client = self.client(worker);
                task::spawn(async move {
                    let outcome = client.pace(token, key, run, percent).await;
                    calls.report("pace", &outcome);
                    let applied = matches!(outcome, Outcome::Done(_));
                    calls.engine.send(Event::Paced { worker, task: key, run, percent, applied });
                });
            }
            Action::Advise { step, workers } => self.advise(calls, step, workers),
            Action::ListHosts => self.list_hosts(calls),
            Action::Upkeep { wave, host } => {
                task::spawn(async move {
                    let answer = match &calls.node.hosts {
                        Some(hosts) => hosts.upkeep(token, wave, &host).await,
                        None => UpkeepAnswer::Busy,
                    };
                    calls.engine.send(Event::Upkeep { wave, host, answer });
                });
            }
            Action::ConfirmLeadership => {
                let (node, standing) = (calls.node, Arc::clone(&calls.engine.standing));
                let revision = gaplock_platform::store::Revision(token.0);
                task::spawn(async move {
                    crate::following::confirm(&node, &standing, revision).await;
                });
            }
        }
    }

    fn advise(&self, calls: Calls, step: StepKey, asked: Vec<WorkerIx>) {
        let ids: Vec<ids::WorkerId> =
            asked.iter().map(|&ix| self.cx.worker(ix).info.id.clone()).collect();
        let sent = self.cx.now;
        task::spawn(async move {
            let answer = match &calls.node.advisor {
                Some(advisor) => advisor.ask(step, &ids).await,
                None => None,
            };
            let answer = answer.map(|a| (permits_of(&asked, &ids, &a), a.valid));
            calls.engine.send(Event::Advised { step, asked, sent, answer });
        });
    }

    fn list_hosts(&self, calls: Calls) {
        let sent = self.cx.now;
        task::spawn(async move {
            let hosts = match &calls.node.hosts {
                Some(hosts) => hosts.list().await,
                None => None,
            };
            calls.engine.send(Event::Hosts { sent, hosts });
        });
    }

    /// Reports an action as not sent, because the leadership is in doubt.
    fn leave_out(&mut self, action: Action) {
        match action {
            Action::Renew { worker, .. } => {
                let sent = self.cx.now;
                let outcome = Outcome::NotSent;
                self.engine.send(Event::Renewed { worker, sent, outcome });
            }
            Action::Start { worker, task, run, .. } => {
                let outcome = Outcome::NotSent;
                self.engine.send(Event::Started { worker, task, run, outcome });
            }
            Action::Stop { worker, task, run } => {
                let outcome = Outcome::NotSent;
                self.engine.send(Event::Stopped { worker, task, run, outcome });
            }
            Action::Pace { worker, task, run, percent } => {
                self.engine.send(Event::Paced { worker, task, run, percent, applied: false });
            }
            Action::Advise { step, workers } => {
                let (sent, answer) = (self.cx.now, None);
                self.engine.send(Event::Advised { step, asked: workers, sent, answer });
            }
            Action::ListHosts => {
                let (sent, hosts) = (self.cx.now, None);
                self.engine.send(Event::Hosts { sent, hosts });
            }
            Action::Upkeep { wave, host } => {
                let answer = UpkeepAnswer::Busy;
                self.engine.send(Event::Upkeep { wave, host, answer });
            }
            Action::ConfirmLeadership => {}
        }
    }

    fn commit(&mut self, now: Instant) {
        if let Some(records) = commits::take(&mut self.cx, now) {
            if self.to_ledger.try_send(records).is_err() {
                tracing::warn!(event = "ledger_ended");
            }
        }
    }

    fn count(&mut self, now: Instant) {
        if now.since(self.counted).0 < COUNT_EVERY_MS {
            return;
        }
        self.counted = now;
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for entry in self.cx.jobs.values().filter(|e| e.state == JobState::Queued) {
            *counts.entry(&entry.job.queue).or_default() += 1;
        }
        let counts = counts.into_iter();
        let counts = counts.map(|(queue, waiting)| QueueCount { queue: queue.into(), waiting });
        *self.engine.waiting.lock().expect("no holder of the lock panics") = counts.collect();
    }
}

/// Turns the permitted workers' names back into positions.
fn permits_of(asked: &[WorkerIx], ids: &[ids::WorkerId], answer: &Answer) -> Vec<Permit> {
    let position = |id: &ids::WorkerId| ids.iter().position(|known| known == id);
    let permitted = answer.permitted.iter();
    let permits = permitted.filter_map(|p| {
        Some(Permit { worker: asked[position(&p.worker)?], ticket: p.ticket.clone() })
    });
    permits.collect()
}

/// Returns what a caller may be shown: a final state only once it is stored.
fn presentable(state: JobState, shown: JobState) -> JobState {
    match (state.is_final(), shown.is_final()) {
        (_, true) => shown,
        (true, false) => JobState::Active,
        (false, false) => state,
    }
}

/// What a call to a worker needs besides its arguments.
struct Calls {
    node: Arc<Node>,
    engine: Arc<Engine>,
    token: FencingToken,
}

impl Calls {
    fn report<T>(&self, kind: &'static str, outcome: &Outcome<T>) {
        let _: FencingToken = self.token;
        let word = match outcome {
            Outcome::Done(_) => "done",
            Outcome::Refused(_) => "refused",
            Outcome::NotSent => "not_sent",
            Outcome::Unclear => "unclear",
        };
        self.node.metrics.called(kind, word);
    }
}

/// The pause before a commit is made again while the store is away.
const AWAY_PAUSE: Duration = Duration::from_millis(200);

async fn write_commits(
    node: Arc<Node>,
    mut ledger: Ledger,
    records: Receiver<Vec<Record>>,
    engine: Arc<Engine>,
) {
    while let Ok(records) = records.recv().await {
        let began = StdInstant::now();
        let written = ledger.write(&records).await;
        let took = began.elapsed();
        match written {
            Ok(()) => {
                node.metrics.committed("stored", took);
                engine.send(Event::Committed);
            }
            Err(CommitError::Away) => {
                node.metrics.committed("away", took);
                task::sleep(AWAY_PAUSE).await;
                engine.send(Event::CommitFailed);
            }
            Err(CommitError::Deposed) => {
                node.metrics.committed("deposed", took);
                tracing::warn!(event = "leadership_lost", why = "a commit was refused");
                engine.standing.lose();
                return;
            }
        }
    }
}

/// Builds the term of a claim.
pub fn term(number: u64, revision: gaplock_platform::store::Revision) -> Term {
    Term { number, token: FencingToken(revision.0) }
}
