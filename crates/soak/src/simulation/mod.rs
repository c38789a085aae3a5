//! The simulation of one run: entries, store and workers, and the messages between them.

mod actions;
mod entries;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use gaplock_coord::action::{CallId, ReplyId, StoreCall, WorkerCall};
use gaplock_coord::assign::Layout;
use gaplock_coord::context::{Context, Timing};
use gaplock_coord::generation::Document;
use gaplock_coord::node::{Event, Node};
use gaplock_standin::{store, worker};
use gaplock_types::{api, ids, sizes, time, wire};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::faults::{Enabled, Fault};

/// Milliseconds of virtual time since the start of the run.
pub type SimMillis = u64;

const TICK_INTERVAL: SimMillis = 50;
const CONFIG_READ_INTERVAL: SimMillis = 400;
const MAX_TRACE_LINES: usize = 400;
const WORKER_CALL_TIMEOUT: SimMillis = 500;
/// One in this many writes or orders is late where such faults are enabled.
const LATE_ONE_IN: u32 = 4;
/// The delay of late calls, in milliseconds: they arrive after the timeouts of their callers and after
/// several repeats.
const MIN_LATE_DELAY: SimMillis = 600;
const MAX_LATE_DELAY: SimMillis = 6_000;

/// A message that arrives or a timer that expires.
#[derive(Debug, Clone)]
enum Due {
    Tick(usize),
    ReadConfig(usize),
    ToStore {
        from: usize,
        process_number: u64,
        call: CallId,
        req: StoreCall,
    },
    ToWorker {
        from: usize,
        process_number: u64,
        to: usize,
        sent_at: time::Instant,
        part: ids::PartitionId,
        req: WorkerCall,
        answered: u64,
    },
    WorkerAnswered {
        to: usize,
        process_number: u64,
        event: Box<Event>,
        answered: u64,
    },
    ConfigRead {
        to: usize,
        process_number: u64,
        sent_at: time::Instant,
        doc: Option<(Document, ids::StoreIndex)>,
    },
    /// An entry reads the host list as it is when this becomes due.
    HostsRead {
        to: usize,
        process_number: u64,
    },
    ToNode {
        to: usize,
        process_number: u64,
        event: Box<Event>,
    },
    PeerConfigRequested {
        from: usize,
        process_number: u64,
        to: usize,
    },
    CommandTo {
        from: Option<(usize, u64, u64)>,
        to: usize,
        part: ids::PartitionId,
        id: u64,
        command: api::Command,
    },
    ReplyTo {
        id: u64,
        reply: api::Reply,
    },
}

/// One entry.
pub struct Entry {
    /// Its node; `None` while its process is dead.
    pub node: Option<Node>,
    /// Its context.
    pub cx: Context,
    /// Number of its process, which rises with every start and kill. A message for an earlier process
    /// is dropped.
    pub process_number: u64,
    /// When its suspension ends.
    pub frozen_until: SimMillis,
    /// Events that arrived while it was suspended.
    pending: VecDeque<Event>,
    /// When its partition from the store ends.
    pub cut_store_until: SimMillis,
    /// Rate and offset of its clock.
    rate_per_mille: u64,
    offset: u64,
    /// When its planned stop began.
    pub stopping_since: Option<SimMillis>,
    /// The generations that its process put in force, in order.
    pub in_force: Vec<(ids::Generation, ids::PlanId)>,
}

/// One worker.
pub struct WorkerHost {
    /// Its model.
    pub model: worker::Model,
    /// Runs on earlier boots, by the clock of the simulation.
    pub past: Vec<worker::RunInterval>,
    /// Counters of earlier boots.
    pub past_counts: Vec<worker::Counts>,
    /// When its suspension ends.
    pub frozen_until: SimMillis,
    pending: VecDeque<Due>,
    rate_per_mille: u64,
}

/// The simulation of one run.
pub struct Simulation {
    /// The virtual time.
    pub now: SimMillis,
    /// The source of all random draws.
    pub rng: ChaCha8Rng,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The workers.
    pub workers: Vec<WorkerHost>,
    /// The store.
    pub store: store::Model,
    /// When the store is up again.
    pub store_down_until: SimMillis,
    /// The current host list.
    pub hosts: Vec<wire::Host>,
    /// The enabled kinds of faults.
    pub enabled: Enabled,
    /// Whether faults are being injected.
    pub faulty: bool,
    /// Pairs of entries that are partitioned from each other, with the end of the partition.
    pub peer_cuts: BTreeMap<(usize, usize), SimMillis>,
    /// Pairs of entry and worker that are partitioned, with the end of the partition.
    pub worker_cuts: BTreeMap<(usize, usize), SimMillis>,
    /// Replies by the number of the command.
    pub replies: BTreeMap<u64, api::Reply>,
    /// Outcomes of confirmations by the number of the confirmation.
    pub confirmations: BTreeMap<u64, Result<ids::Generation, api::Refusal>>,
    /// Violations that the checks inside the entries reported.
    pub violations: Vec<String>,
    /// Number of handled events.
    pub steps: u64,
    /// Number of injected faults.
    pub faults: u64,
    /// The most recent trace lines.
    pub trace: VecDeque<String>,
    queue: BinaryHeap<Reverse<(SimMillis, u64)>>,
    due: BTreeMap<u64, Due>,
    next: u64,
    /// Worker calls that have been answered, so that their timeouts are not reported as well.
    answered: BTreeMap<u64, bool>,
    /// For each command that an entry received, by the number of the command: the entry that forwarded
    /// it, the number of that entry's process, and the number of the command again; `None` if no peer
    /// forwarded it.
    routes: BTreeMap<u64, Option<(usize, u64, u64)>>,
    /// The entry, its process number, the partition and the run that a query about a loan is for, by
    /// the number of the query.
    loan_queries: BTreeMap<u64, (usize, u64, ids::PartitionId, wire::Run)>,
}

/// Returns the timing of the runs: shorter than the defaults, in the same ratios.
pub fn timing() -> Timing {
    let ms = time::Millis;
    Timing {
        commit_delay: ms(20),
        commit_timeout: ms(1_000),
        lease_every: ms(300),
        task_ttl: ms(3_000),
        // Longer than any silence that the faults can cause in sum; the scenario silent_limit tests it.
        silent_limit: ms(60_000),
        renew_limit: ms(5_000),
        confirm_every: ms(500),
        beat_every: ms(150),
        member_ttl: ms(900),
        member_refresh: ms(400),
        config_max_age: ms(3_000),
        drift_per_mille: 20,
        claim_retention: ms(10_000_000),
        job_retention: ms(10_000_000),
    }
}

/// Returns the layout of the runs.
pub fn layout() -> Layout {
    Layout { domains: vec!["a".into(), "b".into()], slices: 1 }
}

const CAPACITY: sizes::Resources = sizes::Resources::new(4_000, 8_192, 0);
const MAX_DRIFT_PER_MILLE: u64 = 5;

impl Simulation {
    /// Creates a simulation with the given numbers of entries and workers.
    pub fn open(rng: ChaCha8Rng, entries: usize, workers: usize, enabled: Enabled) -> Self {
        let mut w = Self {
            now: 0,
            rng,
            entries: Vec::new(),
            workers: Vec::new(),
            store: store::Model::default(),
            store_down_until: 0,
            hosts: Vec::new(),
            enabled,
            faulty: true,
            peer_cuts: BTreeMap::new(),
            worker_cuts: BTreeMap::new(),
            replies: BTreeMap::new(),
            confirmations: BTreeMap::new(),
            violations: Vec::new(),
            steps: 0,
            faults: 0,
            trace: VecDeque::new(),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            next: 0,
            answered: BTreeMap::new(),
            routes: BTreeMap::new(),
            loan_queries: BTreeMap::new(),
        };
        for i in 0..workers {
            w.add_worker(i);
        }
        for i in 0..entries {
            let rate_per_mille = w.draw_rate();
            let offset = w.rng.random_range(0..1_000_000);
            w.entries.push(Entry {
                node: None,
                cx: Context::open(timing()),
                process_number: 0,
                frozen_until: 0,
                pending: VecDeque::new(),
                cut_store_until: 0,
                rate_per_mille,
                offset,
                stopping_since: None,
                in_force: Vec::new(),
            });
            w.start_entry(i);
        }
        w
    }

    fn draw_rate(&mut self) -> u64 {
        self.rng.random_range(1000 - MAX_DRIFT_PER_MILLE..=1000 + MAX_DRIFT_PER_MILLE)
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, line: String) {
        if self.trace.len() == MAX_TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:>6} {line}", self.now));
    }

    fn schedule(&mut self, delay: SimMillis, due: Due) {
        self.next += 1;
        self.due.insert(self.next, due);
        self.queue.push(Reverse((self.now + delay, self.next)));
    }

    /// Draws whether a fault happens, with a chance of one in `one_in` if its kind is enabled and faults
    /// are being injected.
    fn draw_fault(&mut self, fault: Fault, one_in: u32) -> bool {
        let happens = self.faulty && self.enabled.has(fault) && self.rng.random_ratio(1, one_in);
        self.faults += u64::from(happens);
        happens
    }

    /// Sends a message, which may be lost, duplicated or delayed.
    fn send(&mut self, due: Due) {
        if self.draw_fault(Fault::Lose, 40) {
            return;
        }
        if self.draw_fault(Fault::Double, 60) {
            let delay = self.delay();
            self.schedule(delay, due.clone());
        }
        let delay = self.delay();
        self.schedule(delay, due);
    }

    /// If the fault happens, sends a call that is carried out late, long after its caller has stopped
    /// waiting for it. Otherwise returns the call.
    fn send_late(&mut self, fault: Fault, due: Due) -> Option<Due> {
        if !self.draw_fault(fault, LATE_ONE_IN) {
            return Some(due);
        }
        let delay = self.rng.random_range(MIN_LATE_DELAY..MAX_LATE_DELAY);
        self.schedule(delay, due);
        None
    }

    fn delay(&mut self) -> SimMillis {
        if self.draw_fault(Fault::Delay, 50) {
            return self.rng.random_range(100..6_000);
        }
        self.rng.random_range(1..8)
    }

    /// Handles the next message or timer if it is due by `until`. Returns whether there was one.
    pub fn step(&mut self, until: SimMillis) -> bool {
        let Some(Reverse((at, id))) = self.queue.peek().copied() else { return false };
        if at > until {
            self.now = until;
            return false;
        }
        self.queue.pop();
        self.now = self.now.max(at);
        self.steps += 1;
        if let Some(due) = self.due.remove(&id) {
            self.handle_due(due);
        }
        true
    }

    fn handle_due(&mut self, due: Due) {
        match due {
            Due::Tick(i) => self.tick(i),
            Due::ReadConfig(i) => self.read_config(i),
            Due::ToStore { from, process_number, call, req } => {
                self.serve_store(from, process_number, call, &req)
            }
            Due::ToWorker { to, .. } if self.workers[to].frozen_until > self.now => {
                self.workers[to].pending.push_back(due);
            }
            due @ Due::ToWorker { .. } => self.deliver_to_worker(due),
            Due::WorkerAnswered { to, process_number, event, answered } => {
                // Only the first of the answers and the caller's timeout is delivered.
                if !self.answered.insert(answered, true).unwrap_or(false) {
                    self.deliver(to, process_number, *event);
                }
            }
            Due::ConfigRead { to, process_number, sent_at, doc } => {
                self.deliver(to, process_number, Event::Config { sent_at, doc });
            }
            Due::HostsRead { to, process_number } => {
                let hosts = self.hosts.clone();
                self.deliver(to, process_number, Event::Hosts(hosts));
            }
            Due::ToNode { to, process_number, event } => self.deliver(to, process_number, *event),
            Due::PeerConfigRequested { from, process_number, to } => {
                self.answer_config_request(from, process_number, to)
            }
            Due::CommandTo { from, to, part, id, command } => {
                self.routes.insert(id, from);
                let process_number = self.entries[to].process_number;
                let event = Event::Command { partition: part, id: ReplyId(id), command };
                self.deliver(to, process_number, event);
            }
            Due::ReplyTo { id, reply } => {
                if let Some((to, process_number, partition, run)) = self.loan_queries.remove(&id) {
                    self.deliver(to, process_number, Event::LoanReported { partition, run, reply });
                    return;
                }
                self.replies.entry(id).or_insert(reply);
            }
        }
    }

    /// Carries out a call to a worker, and sends its answer unless the two are partitioned by then.
    fn deliver_to_worker(&mut self, due: Due) {
        let Due::ToWorker { from, process_number, to, sent_at, part, req, answered } = due else {
            return;
        };
        let answer = self.serve_worker(to, &req);
        if self.worker_partitioned(from, to) {
            return;
        }
        let worker = ids::WorkerId(format!("w{to}"));
        let event = Event::Worker { partition: part, worker, req, sent_at, answer };
        self.send(Due::WorkerAnswered {
            to: from,
            process_number,
            event: Box::new(event),
            answered,
        });
    }

    /// Answers an entry that asked another one for its configuration.
    fn answer_config_request(&mut self, from: usize, process_number: u64, to: usize) {
        let doc = self.entries[to].node.as_ref().map(|n| Document::clone(&n.generations.doc));
        if let Some(doc) = doc.filter(|_| !self.peers_partitioned(from, to)) {
            let event = Box::new(Event::PeerConfig(doc));
            self.send(Due::ToNode { to: from, process_number, event });
        }
    }

    fn peers_partitioned(&self, a: usize, b: usize) -> bool {
        let pair = (a.min(b), a.max(b));
        self.peer_cuts.get(&pair).is_some_and(|until| *until > self.now)
    }

    /// Lets every entry read the host list after a random delay.
    pub fn publish_hosts(&mut self) {
        for i in 0..self.entries.len() {
            let process_number = self.entries[i].process_number;
            let delay = self.rng.random_range(100..900);
            self.schedule(delay, Due::HostsRead { to: i, process_number });
        }
    }

    /// Returns a number that is not used elsewhere.
    pub fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

fn local(now: SimMillis, e: &Entry) -> time::Instant {
    time::Instant(e.offset + now * e.rate_per_mille / 1000)
}

fn entry_number(entry: &ids::EntryId) -> usize {
    entry.0[1..].parse().expect("entry names are `e` and a number")
}

fn parse_document(value: &[u8]) -> Option<Document> {
    serde_json::from_slice(value).ok()
}
