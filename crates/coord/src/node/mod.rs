//! One entry: its partitions, its view of the other entries, and its configuration.
//!
//! [`Node::handle`] takes one event and leaves actions in the context. The daemon drives it with
//! real time and sockets, the soak test with simulated time from a seed. The code is the same for
//! both.

mod configuration;
mod membership;
mod owning;

use std::collections::BTreeMap;

use gaplock_chart::charts::ownership;
use gaplock_types::{api, codes, ids, time, wire};
use gaplock_verify::EntryCheck;

use crate::action::{Action, CallId, ReplyId, StoreAnswer, WorkerAnswer, WorkerCall};
use crate::assign::Layout;
use crate::context::Context;
use crate::generation::{Document, Generations};
use crate::intent::Confirmation;
use crate::members::Members;
use crate::partition::Partition;

/// An event that the driver delivers to the entry.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A store call was answered.
    Store {
        /// The call.
        call: CallId,
        /// The answer.
        answer: StoreAnswer,
    },
    /// A worker call was answered.
    Worker {
        /// The partition that called.
        partition: ids::PartitionId,
        /// The worker.
        worker: ids::WorkerId,
        /// The call.
        req: WorkerCall,
        /// When it was sent.
        sent_at: time::Instant,
        /// The answer.
        answer: WorkerAnswer,
    },
    /// The host list was read.
    Hosts(Vec<wire::Host>),
    /// A peer's heartbeat arrived.
    Heartbeat(api::Heartbeat),
    /// A peer released a partition, so that this entry can claim it.
    HandOver(ids::PartitionId),
    /// A command for a partition arrived.
    Command {
        /// The partition.
        partition: ids::PartitionId,
        /// Identifies the reply.
        id: ReplyId,
        /// The command.
        command: api::Command,
    },
    /// The configuration in the store was read.
    Config {
        /// When the call was sent.
        sent_at: time::Instant,
        /// The document, if there is one.
        doc: Option<(Document, ids::StoreIndex)>,
    },
    /// A peer sent the document that it has in force.
    PeerConfig(Document),
    /// The owner of another partition reported the state of a lent run.
    LoanReported {
        /// The lending partition.
        partition: ids::PartitionId,
        /// The run, as the lending partition identifies it.
        run: wire::Run,
        /// The report.
        reply: api::Reply,
    },
    /// An operator confirms a plan.
    Confirm {
        /// Identifies the reply.
        id: ReplyId,
        /// The plan.
        plan: Box<api::Plan>,
        /// The operator.
        by: String,
    },
    /// A worker refused a service request.
    WorkerRefused {
        /// The partition.
        partition: ids::PartitionId,
        /// The worker.
        worker: ids::WorkerId,
        /// Why the worker refused.
        verdict: wire::CommandOutcome,
    },
    /// The process is to stop; all its partitions are handed over to peers.
    Stop,
}

/// Which entry owns a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Located {
    /// This entry owns it.
    Here,
    /// A peer owns it.
    Peer(ids::EntryId),
    /// No entry is known to own it.
    Nowhere,
}

/// One entry.
pub struct Node {
    me: ids::Member,
    addr: String,
    domain: ids::DomainId,
    layout: Layout,
    /// The other entries.
    pub members: Members,
    /// The configuration.
    pub generations: Generations,
    partitions: BTreeMap<ids::PartitionId, Partition>,
    hosts: Vec<wire::Host>,
    check: EntryCheck,
    confirmation: Option<Confirmation>,
    started_at: Option<time::Instant>,
    /// The entries that may own partitions, as of the last tick, and since when these are the same.
    eligible_entries: Vec<ids::EntryId>,
    eligible_since: time::Instant,
    stopping: bool,
    next_heartbeat: time::Instant,
    next_refresh: time::Instant,
    /// Refreshes of this entry's record so far.
    refreshes: u64,
    refresh_call: Option<(CallId, time::Instant)>,
    list_call: Option<(CallId, time::Instant)>,
    /// The modification index of this entry's record in the store.
    my_record_index: ids::StoreIndex,
    /// Whether the membership records have been read from the store since the start.
    listed: bool,
    /// When the latest store call that succeeded was sent.
    store_ok_at: Option<time::Instant>,
    /// When a peer may be asked for its configuration again.
    fetch_at: time::Instant,
    /// Partitions that are being released, with the entry that is to claim each.
    pending_handovers: BTreeMap<ids::PartitionId, ids::EntryId>,
    load: Vec<api::ServiceLoad>,
}

impl Node {
    /// Builds an entry that owns no partition yet.
    pub fn open(me: ids::Member, addr: String, domain: ids::DomainId, layout: Layout) -> Self {
        let partitions =
            layout.partitions().map(|id| (id, Partition::open(id, me.clone()))).collect();
        Self {
            members: Members::open(me.clone()),
            me,
            addr,
            domain,
            layout,
            generations: Generations::default(),
            partitions,
            hosts: Vec::new(),
            check: EntryCheck::default(),
            confirmation: None,
            started_at: None,
            eligible_entries: Vec::new(),
            eligible_since: time::Instant(0),
            stopping: false,
            next_heartbeat: time::Instant(0),
            next_refresh: time::Instant(0),
            refreshes: 0,
            refresh_call: None,
            list_call: None,
            my_record_index: ids::StoreIndex(0),
            listed: false,
            store_ok_at: None,
            fetch_at: time::Instant(0),
            pending_handovers: BTreeMap::new(),
            load: Vec::new(),
        }
    }

    /// Returns the layout of partitions.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns a partition.
    pub fn partition(&self, id: ids::PartitionId) -> Option<&Partition> {
        self.partitions.get(&id)
    }

    /// Returns the partitions that this entry owns, with their epochs.
    pub fn owned(&self) -> Vec<(ids::PartitionId, ids::Epoch)> {
        let owned = self.partitions.values().filter(|p| p.owns());
        owned.map(|p| (p.id, p.epoch())).collect()
    }

    /// Returns whether all partitions have been handed over, after a stop.
    pub fn handed_over(&self) -> bool {
        self.partitions.values().all(|p| p.ownership_state() == ownership::State::Other)
    }

    /// Returns whether the store answered recently: to a call sent within one membership lease plus
    /// one refresh interval.
    pub fn store_ok(&self, cx: &Context) -> bool {
        let limit = cx.timing.member_ttl.0 + cx.timing.member_refresh.0;
        self.store_ok_at.is_some_and(|at| cx.now.since(at).0 < limit)
    }

    /// Returns whether the load balancer may send callers to this entry.
    pub fn ready(&self, cx: &Context) -> bool {
        !self.stopping && self.generations.fresh(cx) && self.knows_services(cx)
    }

    /// Returns whether this entry knows where services run. It does once it has heartbeats of all
    /// peers in the store's list, or has waited one membership lease for those that are alive.
    fn knows_services(&self, cx: &Context) -> bool {
        let Some(started) = self.started_at else { return false };
        let waited = cx.now.since(started) >= cx.timing.member_ttl;
        let heard = |entry| self.members.heard(cx.now, &cx.timing, entry);
        waited || (self.listed && self.members.peers.keys().all(heard))
    }

    /// Finds a partition's owner.
    pub fn locate(&self, cx: &Context, id: ids::PartitionId) -> Located {
        if self.partitions.get(&id).is_some_and(Partition::owns) {
            return Located::Here;
        }
        match self.members.owner_of(cx.now, &cx.timing, id) {
            Some((entry, _)) => Located::Peer(entry),
            None => Located::Nowhere,
        }
    }

    /// Counts the tasks that wait in this entry's partitions, by partner.
    pub fn waiting_counts(&self) -> BTreeMap<ids::PartnerId, usize> {
        let mut counts = BTreeMap::new();
        for (partner, count) in self.partitions.values().flat_map(Partition::waiting_counts) {
            *counts.entry(partner.clone()).or_default() += count;
        }
        counts
    }

    /// Sets the free slots that the next heartbeats report.
    pub fn set_load(&mut self, load: Vec<api::ServiceLoad>) {
        self.load = load;
    }

    /// Handles one event; actions are left in the context.
    pub fn handle(&mut self, cx: &mut Context, event: Event) {
        self.dispatch(cx, event);
        // Peers learn of free slots from heartbeats, so a change of slots is sent immediately.
        if cx.actions.iter().any(|a| matches!(a, Action::Offer(_) | Action::ClosePartition(_))) {
            self.next_heartbeat = cx.now;
        }
    }

    fn dispatch(&mut self, cx: &mut Context, event: Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Store { call, answer } => self.store_answered(cx, call, &answer),
            Event::Worker { partition, worker, req, sent_at, answer } => {
                if let Some(p) = self.partitions.get_mut(&partition) {
                    p.worker_answered(cx, &worker, &req, sent_at, &answer);
                }
            }
            Event::Hosts(hosts) => {
                self.hosts = hosts;
                self.distribute_shares(cx);
            }
            Event::Heartbeat(beat) => self.take_in_beat(cx, beat),
            Event::HandOver(id) => {
                if let Some(p) = self.partitions.get_mut(&id).filter(|_| !self.stopping) {
                    p.begin_claim(cx);
                }
            }
            Event::Command { partition, id, command } => self.command(cx, partition, id, command),
            Event::Config { sent_at, doc } => {
                self.store_ok_at = self.store_ok_at.max(Some(sent_at));
                if self.generations.apply_stored(sent_at, doc) {
                    self.put_in_force(cx);
                }
            }
            Event::PeerConfig(doc) => {
                if self.generations.apply_if_newer(doc) {
                    self.put_in_force(cx);
                }
            }
            Event::LoanReported { partition, run, reply } => {
                if let Some(p) = self.partitions.get_mut(&partition) {
                    p.handle_loan_report(cx, run, &reply);
                }
            }
            Event::Confirm { id, plan, by } => self.confirm(cx, id, &plan, &by),
            Event::WorkerRefused { partition, worker, verdict } => {
                if let Some(p) = self.partitions.get_mut(&partition) {
                    p.worker_refused(cx, &worker, verdict);
                }
            }
            Event::Stop => {
                self.stopping = true;
                self.next_heartbeat = cx.now;
                self.tick(cx);
            }
        }
    }

    /// Passes a command to its partition.
    fn command(
        &mut self,
        cx: &mut Context,
        partition: ids::PartitionId,
        id: ReplyId,
        command: api::Command,
    ) {
        match self.partitions.get_mut(&partition) {
            Some(p) => p.command(cx, id, command),
            None => {
                let why = "There is no such partition";
                let refusal = api::Refusal::new(codes::Code::NotFound, why);
                cx.reply(id, api::Reply::Refused(refusal));
            }
        }
    }

    fn tick(&mut self, cx: &mut Context) {
        self.started_at.get_or_insert(cx.now);
        self.refresh_membership(cx);
        self.check_majority_evidence(cx);
        self.update_ownership(cx);
        self.collect_free_capacity(cx);
        for p in self.partitions.values_mut() {
            p.tick(cx);
        }
        self.hand_over_released(cx);
        self.poll_confirmation(cx);
        self.send_heartbeat(cx);
    }

    fn store_answered(&mut self, cx: &mut Context, call: CallId, answer: &StoreAnswer) {
        if self.refresh_call.is_some_and(|(c, _)| c == call) {
            if let StoreAnswer::Written(index) = answer {
                self.my_record_index = *index;
            }
            return;
        }
        if let Some((_, sent_at)) = self.list_call.filter(|(c, _)| *c == call) {
            self.list_answered(cx, sent_at, answer);
            return;
        }
        if let Some(confirmation) = &mut self.confirmation {
            let outcome = confirmation.answered(cx, call, answer);
            self.handle_confirmation_outcome(cx, outcome);
        }
        for p in self.partitions.values_mut() {
            p.store_answered(cx, call, answer);
        }
        self.hand_over_released(cx);
    }
}
