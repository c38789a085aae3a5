//! Carries out the scheduler's actions. Each one runs in a task of its own, which reports the
//! outcome to the engine.
//!
//! While this host is not allowed to act as the leader, nothing is sent; each action is then
//! answered as not sent.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;

use async_std::task;
use gaplock_jobs::TaskKey;
use gaplock_platform::advice::AdviceAnswer;
use gaplock_platform::store::Revision;
use gaplock_platform::worker::{self, StartCommand, WorkerClient};
use gaplock_policy::attempts::Execution;
use gaplock_policy::authority::{self, Authority};
use gaplock_policy::connections;
use gaplock_remote::clock;
use gaplock_sched::message::{
    EndSeq, FencingToken, MaintenanceAnswer, Outcome, Permit, Run, WaveNumber, WorkerClock,
    WorkerIx, WorkerReport,
};
use gaplock_sched::permits::StepKey;
use gaplock_sched::{Action, Context, Event};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::engine::Engine;
use crate::follower;
use crate::metrics::TimedCall;
use crate::node::Node;

/// The client of one worker.
struct OpenClient {
    addr: String,
    client: Arc<WorkerClient>,
}

/// The clients of all workers, by worker index.
pub struct Clients {
    opened: Vec<OpenClient>,
    /// How many files and connections this process may have open.
    descriptors: usize,
}

impl Clients {
    /// Builds the clients of a leader whose process may have this many files and connections open.
    pub fn open(descriptors: usize) -> Self {
        Self { opened: Vec::new(), descriptors }
    }

    /// Returns a worker's client. Opens a new one if the worker's address has changed, which
    /// happens when it was first listed with a wrong address.
    fn get_or_open(&mut self, cx: &Context, ix: WorkerIx) -> Arc<WorkerClient> {
        let at = ix.0 as usize;
        while self.opened.len() <= at {
            let opened = self.open_client(cx, self.opened.len());
            self.opened.push(opened);
        }
        if self.opened[at].addr != cx.workers[at].info.addr {
            self.opened[at] = self.open_client(cx, at);
        }
        Arc::clone(&self.opened[at].client)
    }

    /// Opens a client of a worker. A worker that has restarted at the same address keeps the client
    /// of its previous incarnation, so that connections do not add up over restarts.
    fn open_client(&self, cx: &Context, at: usize) -> OpenClient {
        let info = &cx.workers[at].info;
        let previous =
            cx.workers[at].previous_incarnation.and_then(|ix| self.opened.get(ix.0 as usize));
        if let Some(previous) = previous.filter(|opened| opened.addr == info.addr) {
            return OpenClient { addr: info.addr.clone(), client: Arc::clone(&previous.client) };
        }
        let idle = connections::idle_connections_per_worker(self.descriptors, cx.fleet_size());
        let client = Arc::new(worker::open(&info.addr, info.id.name(), idle));
        OpenClient { addr: info.addr.clone(), client }
    }
}

/// The state that a call needs besides its arguments.
pub struct CallContext {
    /// The state shared by the process.
    pub node: Arc<Node>,
    /// The engine that receives the outcome of the call.
    pub engine: Arc<Engine>,
    /// The fencing token of the leadership.
    pub token: FencingToken,
}

/// Starts to carry out an action.
pub fn carry_out(call: CallContext, clients: &mut Clients, cx: &Context, action: Action) {
    let sent = cx.now;
    match action {
        Action::Renew { worker, stored, until, wait, margin } => {
            let client = clients.get_or_open(cx, worker);
            task::spawn(async move {
                let outcome = call.renew(&client, stored, until, wait, margin).await;
                call.engine.send(Event::Renewed { worker, sent, outcome });
            });
        }
        Action::Start { worker, task: key, run, job, until, checkpoint, ticket, timeout } => {
            let client = clients.get_or_open(cx, worker);
            task::spawn(async move {
                let (checkpoint, ticket) = (checkpoint.as_deref(), ticket.as_deref());
                let spec = job.spec.as_str();
                let start =
                    StartCommand { task: key, run, spec, lease_end: until, checkpoint, ticket };
                let outcome = call.start(&client, &start, timeout).await;
                call.engine.send(Event::Started { worker, task: key, run, outcome });
            });
        }
        Action::Stop { worker, task: key, run } => {
            let client = clients.get_or_open(cx, worker);
            task::spawn(async move {
                let outcome = call.stop(&client, key, run).await;
                call.engine.send(Event::Stopped { worker, task: key, run, outcome });
            });
        }
        Action::Pace { worker, task: key, run, percent } => {
            let client = clients.get_or_open(cx, worker);
            task::spawn(async move {
                let execution = call.pace(&client, key, run, percent).await;
                call.engine.send(Event::Paced { worker, task: key, run, percent, execution });
            });
        }
        Action::Advise { step, workers } => {
            let names = workers.iter().map(|&ix| cx.worker(ix).info.id.name()).collect();
            task::spawn(advise(call, sent, step, workers, names));
        }
        Action::ListHosts => {
            task::spawn(list_hosts(call, sent));
        }
        Action::Maintenance { wave, host } => {
            task::spawn(order_maintenance(call, wave, host));
        }
        Action::ConfirmLeadership => {
            task::spawn(confirm_leadership(call));
        }
    }
}

impl CallContext {
    async fn renew(
        &self,
        client: &WorkerClient,
        stored: EndSeq,
        until: Option<WorkerClock>,
        wait: Millis,
        margin: Millis,
    ) -> Outcome<WorkerReport> {
        let (wait, margin) = (wait.as_duration(), margin.as_duration());
        let renewed = client.renew(self.token, stored, until, wait, margin);
        let outcome = self.timed(renewed).await;
        self.count("renew", &outcome);
        outcome
    }

    async fn start(
        &self,
        client: &WorkerClient,
        start: &StartCommand<'_>,
        timeout: Millis,
    ) -> Outcome<WorkerClock> {
        let outcome = self.timed(client.start(self.token, start, timeout.as_duration())).await;
        self.count("start", &outcome);
        if start.checkpoint.is_some() {
            self.count("resumed_start", &outcome);
        }
        outcome
    }

    async fn stop(&self, client: &WorkerClient, key: TaskKey, run: Run) -> Outcome<WorkerClock> {
        let outcome = self.timed(client.stop(self.token, key, run)).await;
        self.count("stop", &outcome);
        outcome
    }

    /// Sets a run's pace; returns whether the order was carried out.
    async fn pace(&self, client: &WorkerClient, key: TaskKey, run: Run, percent: u32) -> Execution {
        let outcome = self.timed(client.set_pace(self.token, key, run, percent)).await;
        self.count("pace", &outcome);
        outcome.execution()
    }

    /// Counts the time that a call takes on the processor.
    async fn timed<T>(&self, call: impl Future<Output = T>) -> T {
        TimedCall { call: pin!(call), metrics: &self.node.metrics.leader }.await
    }

    /// Counts a call to a worker in the metrics.
    fn count<T>(&self, kind: &'static str, outcome: &Outcome<T>) {
        let label = match outcome {
            Outcome::Done(_) => "done",
            Outcome::Refused(_) => "refused",
            Outcome::NotSent => "not_sent",
            Outcome::Unclear => "unclear",
        };
        self.node.metrics.count_worker_call(kind, label);
    }
}

/// Asks the advisor on which workers a step may run.
async fn advise(
    call: CallContext,
    sent: Instant,
    step: StepKey,
    asked: Vec<WorkerIx>,
    names: Vec<ids::WorkerName>,
) {
    let answer = match &call.node.advisor {
        Some(advisor) => advisor.ask(step, &names).await,
        None => None,
    };
    let answer = answer.map(|a| (permits_of(&asked, &names, &a), a.valid));
    call.engine.send(Event::Advised { step, asked, sent, answer });
}

/// Turns the names of the permitted workers back into worker indices.
fn permits_of(asked: &[WorkerIx], names: &[ids::WorkerName], answer: &AdviceAnswer) -> Vec<Permit> {
    let position = |name: &ids::WorkerName| names.iter().position(|known| known == name);
    let permitted = answer.permitted.iter();
    let permits = permitted.filter_map(|p| {
        Some(Permit { worker: asked[position(&p.worker)?], ticket: p.ticket.clone() })
    });
    permits.collect()
}

/// Lists all hosts of the workers.
async fn list_hosts(call: CallContext, sent: Instant) {
    let hosts = match &call.node.hosts {
        Some(hosts) => hosts.list().await,
        None => None,
    };
    call.engine.send(Event::Hosts { sent, hosts });
}

/// Orders a host to be taken down for maintenance.
async fn order_maintenance(call: CallContext, wave: WaveNumber, host: ids::HostId) {
    let answer = match &call.node.hosts {
        Some(hosts) => hosts.order_maintenance(call.token, wave, &host).await,
        None => MaintenanceAnswer::Busy,
    };
    call.engine.send(Event::Maintenance { wave, host, answer });
}

/// Confirms that this host still leads, after a worker has refused its token for a higher one. If
/// the store does not confirm the claim, the refusal proves that another host claimed later.
async fn confirm_leadership(call: CallContext) {
    let leadership = &call.engine.leadership;
    let now = clock::now();
    if !authority::is_confirmed(leadership.confirmed_at(), now) {
        if leadership.authority(now) != Authority::Lost {
            tracing::warn!(event = "leadership_lost", why = "a worker obeys a later leader");
            leadership.lose();
        }
        return;
    }
    follower::confirm_leadership(&call.node, &call.engine.leadership, Revision(call.token.0)).await;
}

/// Returns the event that answers an action as not sent, while this host is not allowed to act as
/// the leader.
pub fn not_sent_event(sent: Instant, action: Action) -> Option<Event> {
    let event = match action {
        Action::Renew { worker, .. } => Event::Renewed { worker, sent, outcome: Outcome::NotSent },
        Action::Start { worker, task, run, .. } => {
            Event::Started { worker, task, run, outcome: Outcome::NotSent }
        }
        Action::Stop { worker, task, run } => {
            Event::Stopped { worker, task, run, outcome: Outcome::NotSent }
        }
        Action::Pace { worker, task, run, percent } => {
            Event::Paced { worker, task, run, percent, execution: Execution::NotDone }
        }
        Action::Advise { step, workers } => {
            Event::Advised { step, asked: workers, sent, answer: None }
        }
        Action::ListHosts => Event::Hosts { sent, hosts: None },
        Action::Maintenance { wave, host } => {
            Event::Maintenance { wave, host, answer: MaintenanceAnswer::Busy }
        }
        Action::ConfirmLeadership => return None,
    };
    Some(event)
}
