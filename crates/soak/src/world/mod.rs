//! The entries, the store and the workers of one run, and the messages between them.

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

/// Milliseconds of virtual time since the run's begin.
pub type At = u64;

const TICK: At = 50;
const CONFIG_EVERY: At = 400;
const TRACE_KEPT: usize = 400;
const WORKER_CALL_LIMIT: At = 500;
/// Of so many writes or orders one is late, where such faults are in use.
const LATE_ONE_IN: u32 = 4;
/// Late calls come after their callers' limits and after several repeats.
const LATE_FROM: At = 600;
const LATE_TO: At = 6_000;

/// Something that arrives or becomes due.
#[derive(Debug, Clone)]
enum Due {
    Tick(usize),
    ReadConfig(usize),
    ToStore {
        from: usize,
        life: u64,
        call: CallId,
        req: StoreCall,
    },
    ToWorker {
        from: usize,
        life: u64,
        to: usize,
        sent_at: time::Instant,
        part: ids::PartitionId,
        req: WorkerCall,
        answered: u64,
    },
    WorkerAnswered {
        to: usize,
        life: u64,
        event: Box<Event>,
        answered: u64,
    },
    ConfigRead {
        to: usize,
        life: u64,
        sent_at: time::Instant,
        doc: Option<(Document, ids::StoreIndex)>,
    },
    /// An entry reads the host list, as it is by then.
    HostsRead {
        to: usize,
        life: u64,
    },
    ToNode {
        to: usize,
        life: u64,
        event: Box<Event>,
    },
    PeerConfigAsked {
        from: usize,
        life: u64,
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
    /// Its node; none while its process is dead.
    pub node: Option<Node>,
    /// Its context.
    pub cx: Context,
    /// Rises with every new process under the name.
    pub life: u64,
    /// Until when it is frozen.
    pub frozen_until: At,
    /// Events that arrived while it was frozen.
    held: VecDeque<Event>,
    /// Until when it does not reach the store.
    pub cut_store_until: At,
    /// Its clock's rate and offset.
    rate_per_mille: u64,
    offset: u64,
    /// Since when it stops as planned.
    pub stopping_since: Option<At>,
    /// The generations that its process put in force, in order.
    pub in_force: Vec<(ids::Generation, ids::PlanId)>,
}

/// One worker.
pub struct WorkerHost {
    /// Its model.
    pub model: worker::Model,
    /// Stretches of earlier boots, by the run's clock.
    pub past: Vec<worker::Stretch>,
    /// Counters of earlier boots.
    pub past_counts: Vec<worker::Counts>,
    /// Until when it is frozen.
    pub frozen_until: At,
    held: VecDeque<Due>,
    rate_per_mille: u64,
}

/// Everything in one run.
pub struct World {
    /// The run's time.
    pub now: At,
    /// Draws everything.
    pub rng: ChaCha8Rng,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The workers.
    pub workers: Vec<WorkerHost>,
    /// The store.
    pub store: store::Model,
    /// Until when the store is down.
    pub store_down_until: At,
    /// Host list as it is.
    pub hosts: Vec<wire::Host>,
    /// Kinds of faults in use.
    pub enabled: Enabled,
    /// Whether faults happen now.
    pub faulty: bool,
    /// Pairs of entries that do not reach each other, with the end of the cut.
    pub peer_cuts: BTreeMap<(usize, usize), At>,
    /// Pairs of entry and worker, likewise.
    pub worker_cuts: BTreeMap<(usize, usize), At>,
    /// Replies that came, by the commander's number.
    pub replies: BTreeMap<u64, api::Reply>,
    /// Outcomes of confirmations, by the operator's number.
    pub confirmations: BTreeMap<u64, Result<ids::Generation, api::Refusal>>,
    /// What the entries' verifiers reported.
    pub violations: Vec<String>,
    /// Events handled.
    pub steps: u64,
    /// Faults that happened.
    pub faults: u64,
    /// The latest things that happened.
    pub trace: VecDeque<String>,
    queue: BinaryHeap<Reverse<(At, u64)>>,
    due: BTreeMap<u64, Due>,
    next: u64,
    /// Worker calls that have been answered, so that a time-out is not told besides.
    answered: BTreeMap<u64, bool>,
    /// Which peer waits for the reply to a forwarded command.
    routes: BTreeMap<u64, Option<(usize, u64, u64)>>,
    /// Who asked about a loan, by the question's number.
    asks: BTreeMap<u64, (usize, u64, ids::PartitionId, wire::Run)>,
}

/// Timing of the runs: the ratios of the defaults, faster.
pub fn timing() -> Timing {
    let ms = time::Millis;
    Timing {
        commit_delay: ms(20),
        commit_timeout: ms(1_000),
        lease_every: ms(300),
        task_ttl: ms(3_000),
        // Longer than every silence that faults can add up to; the scenario silent_limit covers it.
        silent_limit: ms(60_000),
        renew_right: ms(5_000),
        confirm_every: ms(500),
        beat_every: ms(150),
        member_ttl: ms(900),
        member_refresh: ms(400),
        config_max_age: ms(3_000),
        drift_per_mille: 20,
        once_keep: ms(10_000_000),
        job_keep: ms(10_000_000),
    }
}

/// The layout of the runs.
pub fn layout() -> Layout {
    Layout { domains: vec!["a".into(), "b".into()], slices: 1 }
}

const CAPACITY: sizes::Resources = sizes::Resources::new(4_000, 8_192, 0);
const MOST_DRIFT_PER_MILLE: u64 = 5;

impl World {
    /// Builds a world of `entries` and `workers`.
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
            asks: BTreeMap::new(),
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
                life: 0,
                frozen_until: 0,
                held: VecDeque::new(),
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
        self.rng.random_range(1000 - MOST_DRIFT_PER_MILLE..=1000 + MOST_DRIFT_PER_MILLE)
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, line: String) {
        if self.trace.len() == TRACE_KEPT {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:>6} {line}", self.now));
    }

    fn at(&mut self, delay: At, due: Due) {
        self.next += 1;
        self.due.insert(self.next, due);
        self.queue.push(Reverse((self.now + delay, self.next)));
    }

    /// Draws a fault that happens once in `one_in` times, if its kind is in use now.
    fn strikes(&mut self, fault: Fault, one_in: u32) -> bool {
        let struck = self.faulty && self.enabled.has(fault) && self.rng.random_ratio(1, one_in);
        self.faults += u64::from(struck);
        struck
    }

    /// Puts a message on its way: it may be lost, doubled or late.
    fn send(&mut self, due: Due) {
        if self.strikes(Fault::Lose, 40) {
            return;
        }
        if self.strikes(Fault::Double, 60) {
            let delay = self.delay();
            self.at(delay, due.clone());
        }
        let delay = self.delay();
        self.at(delay, due);
    }

    /// Puts a call on its way that is carried out late, long after its caller has given it up, if
    /// such a fault strikes; returns it otherwise.
    fn send_late(&mut self, fault: Fault, due: Due) -> Option<Due> {
        if !self.strikes(fault, LATE_ONE_IN) {
            return Some(due);
        }
        let delay = self.rng.random_range(LATE_FROM..LATE_TO);
        self.at(delay, due);
        None
    }

    fn delay(&mut self) -> At {
        if self.strikes(Fault::Delay, 50) {
            return self.rng.random_range(100..6_000);
        }
        self.rng.random_range(1..8)
    }

    /// Handles what is due next, if it is due before `until`.
    pub fn step(&mut self, until: At) -> bool {
        let Some(Reverse((at, id))) = self.queue.peek().copied() else { return false };
        if at > until {
            self.now = until;
            return false;
        }
        self.queue.pop();
        self.now = self.now.max(at);
        self.steps += 1;
        if let Some(due) = self.due.remove(&id) {
            self.arrive(due);
        }
        true
    }

    fn arrive(&mut self, due: Due) {
        match due {
            Due::Tick(i) => self.tick(i),
            Due::ReadConfig(i) => self.read_config(i),
            Due::ToStore { from, life, call, req } => self.serve_store(from, life, call, &req),
            Due::ToWorker { to, .. } if self.workers[to].frozen_until > self.now => {
                self.workers[to].held.push_back(due);
            }
            due @ Due::ToWorker { .. } => self.reach_worker(due),
            Due::WorkerAnswered { to, life, event, answered } => {
                // The first answer counts, and so does the caller's own limit.
                if !self.answered.insert(answered, true).unwrap_or(false) {
                    self.deliver(to, life, *event);
                }
            }
            Due::ConfigRead { to, life, sent_at, doc } => {
                self.deliver(to, life, Event::Config { sent_at, doc });
            }
            Due::HostsRead { to, life } => {
                let hosts = self.hosts.clone();
                self.deliver(to, life, Event::Hosts(hosts));
            }
            Due::ToNode { to, life, event } => self.deliver(to, life, *event),
            Due::PeerConfigAsked { from, life, to } => self.pass_config_on(from, life, to),
            Due::CommandTo { from, to, part, id, command } => {
                self.routes.insert(id, from);
                let life = self.entries[to].life;
                let event = Event::Command { partition: part, id: ReplyId(id), command };
                self.deliver(to, life, event);
            }
            Due::ReplyTo { id, reply } => {
                if let Some((to, life, partition, run)) = self.asks.remove(&id) {
                    self.deliver(to, life, Event::LoanTold { partition, run, reply });
                    return;
                }
                self.replies.entry(id).or_insert(reply);
            }
        }
    }

    /// Carries a call to a worker out, and sends its answer unless the way back is cut.
    fn reach_worker(&mut self, due: Due) {
        let Due::ToWorker { from, life, to, sent_at, part, req, answered } = due else { return };
        let answer = self.serve_worker(to, &req);
        if self.cut_worker(from, to) {
            return;
        }
        let worker = ids::WorkerId(format!("w{to}"));
        let event = Event::Worker { partition: part, worker, req, sent_at, answer };
        self.send(Due::WorkerAnswered { to: from, life, event: Box::new(event), answered });
    }

    /// Answers an entry that asks another one for its configuration.
    fn pass_config_on(&mut self, from: usize, life: u64, to: usize) {
        let doc = self.entries[to].node.as_ref().map(|n| Document::clone(&n.generations.doc));
        if let Some(doc) = doc.filter(|_| !self.cut_peers(from, to)) {
            let event = Box::new(Event::PeerConfig(doc));
            self.send(Due::ToNode { to: from, life, event });
        }
    }

    fn cut_peers(&self, a: usize, b: usize) -> bool {
        let pair = (a.min(b), a.max(b));
        self.peer_cuts.get(&pair).is_some_and(|until| *until > self.now)
    }

    /// Tells every entry the host list as it is now.
    pub fn tell_hosts(&mut self) {
        for i in 0..self.entries.len() {
            let life = self.entries[i].life;
            let delay = self.rng.random_range(100..900);
            self.at(delay, Due::HostsRead { to: i, life });
        }
    }

    /// Makes a number that nothing else has.
    pub fn fresh_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

fn local(now: At, e: &Entry) -> time::Instant {
    time::Instant(e.offset + now * e.rate_per_mille / 1000)
}

fn entry_number(entry: &ids::EntryId) -> usize {
    entry.0[1..].parse().expect("entries are numbered")
}

fn serde_json_doc(value: &[u8]) -> Option<Document> {
    serde_json::from_slice(value).ok()
}
