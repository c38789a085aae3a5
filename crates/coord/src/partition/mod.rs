//! Makes the decisions for one partition: its workers, its tasks and its claims of requests.
//!
//! The partition keeps two states folded from its journal: one from the committed records, and one
//! from the committed and the pending records. Decisions read the second one. Commands to workers
//! and answers to callers are sent only after the commit. Every transition is checked by the
//! verifier first, and is not made if it violates an invariant.

mod commands;
mod guarding;
pub mod lending;
mod reconcile;
mod renewing;
mod replicas;
mod schedule;
mod starting;
mod status;

use std::collections::{BTreeMap, VecDeque};

use gaplock_chart::charts::{ownership, upstream};
use gaplock_policy::{fair, health, route};
use gaplock_types::{api, codes, ids, sizes, time, wire};
use gaplock_verify::{Fact, PartitionCheck};

use crate::action::{Action, CallId, StoreAnswer, WorkerAnswer, WorkerCall};
use crate::context::{Context, Shares};
use crate::journal::{AfterCommit, Journal, Outcome};
use crate::link::Link;
use crate::records::Record;
use crate::state::PartitionState;

/// Older lines of a job's history are dropped, which bounds memory.
const MAX_HISTORY_LINES_PER_JOB: usize = 40;
/// The history of the job with the lowest id is dropped above this, which bounds memory.
const MAX_HISTORY_JOBS: usize = 2_000;

/// One partition from the point of view of one entry, whether that entry owns it or not.
pub struct Partition {
    /// The partition's id.
    pub id: ids::PartitionId,
    /// This entry.
    me: ids::Member,
    journal: Journal,
    /// The state from the committed and the pending records.
    state: PartitionState,
    verifier: PartitionCheck,
    links: BTreeMap<ids::WorkerId, Link>,
    health: health::HealthTracker,
    shares: Shares,
    urgent_hold: fair::UrgentHold,
    loans: BTreeMap<wire::Run, lending::LoanPoll>,
    claimed_at: time::Instant,
    /// How long after the claim the previous owner may still renew leases.
    previous_owner_grace: time::Millis,
    history: BTreeMap<ids::JobId, VecDeque<String>>,
    /// The services and the availability last reported to the router, by worker.
    offers: BTreeMap<ids::WorkerId, (Vec<ids::ServiceId>, bool)>,
    /// Whether requests are still routed to the workers after a release.
    routed_after_release: bool,
}

impl Partition {
    /// Creates a partition that `me` does not own.
    pub fn open(id: ids::PartitionId, me: ids::Member) -> Self {
        Self {
            id,
            journal: Journal::open(id, me.clone()),
            me,
            state: PartitionState::default(),
            verifier: PartitionCheck::default(),
            links: BTreeMap::new(),
            health: health::HealthTracker::default(),
            shares: Shares::default(),
            urgent_hold: fair::UrgentHold::default(),
            loans: BTreeMap::new(),
            claimed_at: time::Instant(0),
            previous_owner_grace: time::Millis(0),
            history: BTreeMap::new(),
            offers: BTreeMap::new(),
            routed_after_release: false,
        }
    }

    /// Returns the ownership state, one of `charts/ownership.chart`.
    pub fn ownership_state(&self) -> ownership::State {
        self.journal.ownership_state()
    }

    /// Returns whether this entry owns the partition.
    pub fn owns(&self) -> bool {
        self.journal.owns()
    }

    /// Returns the epoch of the ownership.
    pub fn epoch(&self) -> ids::Epoch {
        self.journal.epoch()
    }

    /// Returns whether the journal can commit records at present.
    pub fn healthy(&self, cx: &Context) -> bool {
        self.journal.healthy(cx)
    }

    /// Returns the state from the committed records only, for tests and status reports.
    pub fn committed(&self) -> &PartitionState {
        &self.journal.committed
    }

    /// Starts to claim the partition for this entry.
    pub fn begin_claim(&mut self, cx: &mut Context) {
        self.journal.begin_claim(cx);
    }

    /// Starts to release the partition.
    pub fn release(&mut self, cx: &mut Context) {
        self.journal.release(cx);
    }

    /// Handles the news that a peer owns the partition under `epoch`.
    pub fn handle_successor(&mut self, cx: &mut Context, epoch: ids::Epoch) {
        if epoch <= self.epoch() {
            return;
        }
        self.fence(cx);
        if std::mem::take(&mut self.routed_after_release) {
            cx.actions.push(Action::ClosePartition(self.id));
        }
    }

    /// Updates the partition's hosts and its share of the fleet's work.
    pub fn set_hosts(&mut self, cx: &mut Context, hosts: &[wire::Host], shares: Shares) {
        self.shares = shares;
        for host in hosts {
            let link =
                self.links.entry(host.worker.clone()).or_insert_with(|| Link::open(host.clone()));
            if link.is == upstream::State::Gone {
                *link = reopen_link(link, host);
            }
            link.host = host.clone();
            if host.leaving {
                link.step(cx, upstream::Event::Leave, "the host list says that it is leaving");
            }
        }
        for (worker, link) in &mut self.links {
            if !hosts.iter().any(|h| h.worker == *worker) {
                link.step(cx, upstream::Event::Drop, "the host list does not show it any more");
            }
        }
        self.remove_gone_links(cx);
    }

    /// Removes links to workers that are no longer in the host list. A link stays until no task is
    /// assigned to the worker and no command in flight can still take effect there, since the
    /// worker may return to the host list before that.
    fn remove_gone_links(&mut self, cx: &Context) {
        let state = &self.state;
        self.links.retain(|worker, link| {
            let in_use = cx.now < link.alive_until || state.on_worker(worker).next().is_some();
            link.is != upstream::State::Gone || in_use
        });
    }

    /// Runs all periodic work that is due.
    pub fn tick(&mut self, cx: &mut Context) {
        self.journal.poll(cx);
        if self.journal.ownership_state() == ownership::State::Draining {
            // No other entry renews the workers' leases until the release is stored.
            self.renew_leases(cx);
        }
        if !self.journal.owns() {
            return;
        }
        self.reconcile(cx);
        self.remove_gone_links(cx);
        if self.journal.healthy(cx) {
            self.reconcile_replicas(cx);
            self.schedule(cx);
            self.lend(cx);
            self.remove_expired(cx);
        }
        self.call_workers(cx);
        self.poll_loans(cx);
        self.offer_slots(cx);
        self.journal.poll(cx);
    }

    /// Handles the answer to a store call; answers to other partitions' calls are ignored.
    pub fn store_answered(&mut self, cx: &mut Context, call: CallId, answer: &StoreAnswer) {
        match self.journal.answered(cx, call, answer) {
            Outcome::Nothing => {}
            Outcome::Claimed => self.handle_claimed(cx),
            Outcome::Committed(records) => self.handle_committed(cx, &records),
            Outcome::Released => {
                // Requests are still routed to the workers until the successor's epoch fences
                // them there.
                self.routed_after_release = true;
                self.clear_owner_state(cx);
            }
            Outcome::Fenced => self.lose_ownership(cx),
        }
    }

    fn handle_claimed(&mut self, cx: &mut Context) {
        self.state = self.journal.committed.clone();
        self.verifier.restart();
        self.restore_verifier();
        let epoch = self.journal.epoch();
        let checked = self.verifier.check(&Fact::Owned(epoch));
        cx.report_check(checked);
        self.claimed_at = cx.now;
        // The previous owner may not know that its release is stored, and may still be renewing
        // leases.
        self.previous_owner_grace = cx.with_drift_margin(match self.journal.was_released {
            true => cx.timing.release_renew_limit(),
            false => cx.timing.renew_limit,
        });
        self.links.retain(|_, link| link.is != upstream::State::Gone);
        for link in self.links.values_mut() {
            *link = Link::open(link.host.clone());
        }
        self.health = health::HealthTracker::default();
        self.loans.clear();
        self.offers.clear();
        self.routed_after_release = false;
        cx.log_decision("claimed", self.id.to_string(), format!("under {epoch}"));
        self.tick(cx);
    }

    fn restore_verifier(&mut self) {
        for (number, job) in &self.state.jobs {
            for (i, t) in job.tasks.iter().enumerate() {
                let task = crate::state::task_id(self.id, *number, i as u32);
                let run = wire::Run { task, attempt: t.attempt };
                let worker = t.place.as_ref().map(|p| &p.worker);
                let reserve = t.place.as_ref().map(|p| p.reserve).unwrap_or_default();
                self.verifier.restore(run, worker, reserve, t.is.is_final(), t.checkpoint_ms);
            }
        }
    }

    fn handle_committed(&mut self, cx: &mut Context, records: &[Record]) {
        for record in records {
            if let Record::Assign { run, .. } = record {
                let checked = self.verifier.check(&Fact::Stored(*run));
                cx.report_check(checked);
            }
        }
        self.send_starts(cx);
    }

    fn lose_ownership(&mut self, cx: &mut Context) {
        cx.actions.push(Action::ClosePartition(self.id));
        self.clear_owner_state(cx);
    }

    fn clear_owner_state(&mut self, cx: &mut Context) {
        cx.log_decision("lost", self.id.to_string(), "another entry owns it, or it was released");
        self.offers.clear();
        self.state = PartitionState::default();
    }

    /// Ends ownership at once, for example when a worker or a peer reports a higher epoch.
    pub fn fence(&mut self, cx: &mut Context) {
        if self.journal.ownership_state() == ownership::State::Owner
            || self.journal.ownership_state() == ownership::State::Draining
        {
            self.journal.drop_ownership(cx, ownership::Event::Fenced);
            self.lose_ownership(cx);
        }
    }

    /// Handles a worker's answer to a call that was sent at `sent_at`.
    pub fn worker_answered(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        req: &WorkerCall,
        sent_at: time::Instant,
        answer: &WorkerAnswer,
    ) {
        if call_epoch(req) != self.journal.epoch() {
            return;
        }
        if self.journal.ownership_state() == ownership::State::Draining {
            self.answered_while_draining(cx, worker, answer);
        }
        if !self.journal.owns() {
            return;
        }
        match (req, answer) {
            (WorkerCall::Lease(_), WorkerAnswer::Lease(reply)) => {
                self.lease_answered(cx, worker, sent_at, reply);
            }
            (WorkerCall::Lease(_), _) => {
                if let Some(link) = self.links.get_mut(worker) {
                    link.lease_unanswered(cx);
                }
            }
            (WorkerCall::Start(start), answer) => self.start_answered(cx, worker, start, answer),
            (WorkerCall::Control(control), WorkerAnswer::CommandOutcome(verdict)) => {
                self.control_answered(cx, worker, control, *verdict);
            }
            (WorkerCall::Control(_), _) => {}
        }
    }

    fn call_workers(&mut self, cx: &mut Context) {
        self.renew_leases(cx);
        self.send_starts(cx);
    }

    /// Applies a record to the pending state and appends it to the journal.
    fn record(&mut self, cx: &mut Context, record: Record, after: Option<AfterCommit>) {
        let epoch = self.journal.epoch();
        match self.state.apply(self.id, epoch, &self.me, &record) {
            Ok(()) => self.journal.append(cx, record, after),
            Err(e) => {
                cx.log_decision("record-misfit", self.id.to_string(), e.to_string());
                if let Some(AfterCommit::Reply(id, _) | AfterCommit::Repeat(id, _)) = after {
                    let why = "The change does not fit the partition's state";
                    let refusal = api::Refusal::new(codes::Code::Internal, why);
                    cx.reply(id, api::Reply::Refused(refusal));
                }
            }
        }
    }

    fn append_history(&mut self, cx: &Context, job: ids::JobId, event: String) {
        let lines = self.history.entry(job).or_default();
        if lines.len() == MAX_HISTORY_LINES_PER_JOB {
            lines.pop_front();
        }
        lines.push_back(format!("{} {event}", cx.unix_ms));
        if self.history.len() > MAX_HISTORY_JOBS {
            self.history.pop_first();
        }
    }

    /// Reports to the router which services each worker runs and whether the worker is usable,
    /// when either has changed.
    fn offer_slots(&mut self, cx: &mut Context) {
        let epoch = self.journal.epoch();
        for (worker, link) in &self.links {
            let mut services: Vec<ids::ServiceId> = link
                .runs
                .iter()
                .filter(|(_, view)| view.started && view.evicting.is_none())
                .filter_map(|(run, _)| service_of(&self.state, run.task))
                .collect();
            services.sort();
            services.dedup();
            let open = link.usable() && !services.is_empty();
            let offer = (services, open);
            if self.offers.get(worker) == Some(&offer) {
                continue;
            }
            self.offers.insert(worker.clone(), offer.clone());
            cx.actions.push(Action::Offer(route::WorkerUpdate {
                worker: worker.clone(),
                partition: self.id,
                epoch,
                slots: link.host.slots,
                services: offer.0,
                open,
            }));
        }
    }

    /// Handles a worker's refusal of a request, because it is leaving or knows a higher epoch.
    pub fn worker_refused(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        outcome: wire::CommandOutcome,
    ) {
        match outcome {
            wire::CommandOutcome::StaleEpoch => self.fence(cx),
            wire::CommandOutcome::Leaving => {
                if let Some(link) = self.links.get_mut(worker) {
                    link.step(cx, upstream::Event::Leave, "the worker refused a request");
                }
            }
            _ => {}
        }
    }

    /// Returns the address for requests to a worker.
    pub fn worker_addr(&self, worker: &ids::WorkerId) -> Option<&str> {
        self.links.get(worker).map(|l| l.host.addr.as_str())
    }

    /// Returns the total capacity of the workers that have not been removed from the host list.
    pub fn capacity(&self) -> sizes::Resources {
        self.links
            .values()
            .filter(|l| l.is != upstream::State::Gone)
            .fold(sizes::Resources::default(), |sum, l| sum.plus(&l.host.capacity))
    }
}

fn call_epoch(req: &WorkerCall) -> ids::Epoch {
    match req {
        WorkerCall::Lease(req) => req.epoch,
        WorkerCall::Start(req) => req.epoch,
        WorkerCall::Control(req) => req.epoch,
    }
}

/// Creates a new link to a worker that returned to the host list. Keeps its runs, its boot and the
/// bound on how long its leases may last.
fn reopen_link(old: &Link, host: &wire::Host) -> Link {
    let mut link = Link::open(host.clone());
    link.boot = old.boot;
    link.boot_since = old.boot_since;
    link.clock_reading = old.clock_reading;
    link.heard = old.heard;
    link.alive_until = old.alive_until;
    link.runs = old.runs.clone();
    link
}

fn service_of(state: &PartitionState, task: ids::TaskId) -> Option<ids::ServiceId> {
    match &state.jobs.get(&task.job.number)?.kind {
        wire::TaskKind::Service(service) => Some(service.clone()),
        wire::TaskKind::Batch(_) => None,
    }
}
