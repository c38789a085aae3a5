//! Decides for one partition: its workers, its tasks, its claims of requests.
//!
//! The partition holds two folds of its journal: what is committed, and what is committed plus
//! what waits to be. Decisions read the second; commands to workers and answers to callers leave
//! only after the commit. Every transition is stated to the verifier first, and a contradicted
//! one is left out.

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

use gaplock_chart::table::{ownership, upstream};
use gaplock_policy::{fair, health, route};
use gaplock_types::{api, codes, ids, sizes, time, wire};
use gaplock_verify::{Fact, PartitionCheck};

use crate::action::{Action, CallId, StoreAnswer, WorkerAnswer, WorkerCall};
use crate::context::{Context, Shares};
use crate::journal::{After, Journal, Outcome};
use crate::link::Link;
use crate::records::Record;
use crate::state::PartState;

const MAX_HISTORY_LINES_PER_JOB: usize = 40;
const MAX_HISTORY_JOBS: usize = 2_000;

/// One partition as one entry sees it.
pub struct Partition {
    /// Its id.
    pub id: ids::PartitionId,
    me: ids::Member,
    journal: Journal,
    /// Committed and pending records together.
    state: PartState,
    verifier: PartitionCheck,
    links: BTreeMap<ids::WorkerId, Link>,
    health: health::HealthTracker,
    shares: Shares,
    urgent_hold: fair::UrgentHold,
    loans: BTreeMap<wire::Run, lending::LoanPoll>,
    claimed_at: time::Instant,
    previous_owner_grace: time::Millis,
    history: BTreeMap<ids::JobId, VecDeque<String>>,
    offers: BTreeMap<ids::WorkerId, (Vec<ids::ServiceId>, bool)>,
    /// Whether requests still go to the workers after a release.
    routed_after_release: bool,
}

impl Partition {
    /// Builds a partition that `me` does not own.
    pub fn open(id: ids::PartitionId, me: ids::Member) -> Self {
        Self {
            id,
            journal: Journal::open(id, me.clone()),
            me,
            state: PartState::default(),
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

    /// Returns the state in `charts/ownership.chart`.
    pub fn is(&self) -> ownership::Is {
        self.journal.is()
    }

    /// Tells whether this entry owns the partition.
    pub fn owns(&self) -> bool {
        self.journal.owns()
    }

    /// Returns the epoch of the ownership.
    pub fn epoch(&self) -> ids::Epoch {
        self.journal.epoch()
    }

    /// Tells whether commits go through.
    pub fn healthy(&self, cx: &Context) -> bool {
        self.journal.healthy(cx)
    }

    /// Returns the committed state, for tests and surveys.
    pub fn committed(&self) -> &PartState {
        &self.journal.committed
    }

    /// Begins to take the partition over.
    pub fn want(&mut self, cx: &mut Context) {
        self.journal.want(cx);
    }

    /// Begins to give the partition up.
    pub fn release(&mut self, cx: &mut Context) {
        self.journal.release(cx);
    }

    /// Takes in that a peer owns the partition under `epoch`.
    pub fn successor_seen(&mut self, cx: &mut Context, epoch: ids::Epoch) {
        if epoch <= self.epoch() {
            return;
        }
        self.fence(cx);
        if std::mem::take(&mut self.routed_after_release) {
            cx.actions.push(Action::ClosePartition(self.id));
        }
    }

    /// Takes in the partition's hosts and what it is to run.
    pub fn set_hosts(&mut self, cx: &mut Context, hosts: &[wire::Host], shares: Shares) {
        self.shares = shares;
        for host in hosts {
            let link =
                self.links.entry(host.worker.clone()).or_insert_with(|| Link::open(host.clone()));
            if link.is == upstream::Is::Gone {
                *link = reopen_link(link, host);
            }
            link.host = host.clone();
            if host.leaving {
                link.step(cx, upstream::On::Leave, "the host list says that it is leaving");
            }
        }
        for (worker, link) in &mut self.links {
            if !hosts.iter().any(|h| h.worker == *worker) {
                link.step(cx, upstream::On::Drop, "the host list does not show it any more");
            }
        }
        self.remove_gone_links(cx);
    }

    /// Forgets workers that the host list does not show any more, once nothing of theirs is left
    /// and no order under way can be carried out there: the worker may be shown again before that.
    fn remove_gone_links(&mut self, cx: &Context) {
        let state = &self.state;
        self.links.retain(|worker, link| {
            let open = cx.now < link.alive_until || state.on_worker(worker).next().is_some();
            link.is != upstream::Is::Gone || open
        });
    }

    /// Does what is due.
    pub fn tick(&mut self, cx: &mut Context) {
        self.journal.poll(cx);
        if self.journal.is() == ownership::Is::Draining {
            // Until the release is stored nobody else renews the workers' leases.
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

    /// Takes in the answer to a store call, if it was this partition's.
    pub fn store_answered(&mut self, cx: &mut Context, call: CallId, answer: &StoreAnswer) {
        match self.journal.answered(cx, call, answer) {
            Outcome::Nothing => {}
            Outcome::Claimed => self.handle_claimed(cx),
            Outcome::Committed(records) => self.handle_committed(cx, &records),
            Outcome::Released => {
                // Requests still go to the workers until the successor's epoch fences them there.
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
        cx.allowed(checked);
        self.claimed_at = cx.now;
        // A stored release does not say that its writer knows of it and has stopped renewing.
        self.previous_owner_grace = cx.certain(match self.journal.was_released {
            true => cx.timing.release_right(),
            false => cx.timing.renew_right,
        });
        self.links.retain(|_, link| link.is != upstream::Is::Gone);
        for link in self.links.values_mut() {
            *link = Link::open(link.host.clone());
        }
        self.health = health::HealthTracker::default();
        self.loans.clear();
        self.offers.clear();
        self.routed_after_release = false;
        cx.note("claimed", self.id.to_string(), format!("under {epoch}"));
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
                cx.allowed(checked);
            }
        }
        self.send_starts(cx);
    }

    fn lose_ownership(&mut self, cx: &mut Context) {
        cx.actions.push(Action::ClosePartition(self.id));
        self.clear_owner_state(cx);
    }

    fn clear_owner_state(&mut self, cx: &mut Context) {
        cx.note("lost", self.id.to_string(), "another entry owns it, or it was released");
        self.offers.clear();
        self.state = PartState::default();
    }

    /// Stops being owner at once, as when a worker or peer shows a higher epoch.
    pub fn fence(&mut self, cx: &mut Context) {
        if self.journal.is() == ownership::Is::Owner || self.journal.is() == ownership::Is::Draining
        {
            self.journal.give_up(cx, ownership::On::Fenced);
            self.lose_ownership(cx);
        }
    }

    /// Takes in a worker's answer to a call that was sent at `sent_at`.
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
        if self.journal.is() == ownership::Is::Draining {
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
                    link.missed(cx);
                }
            }
            (WorkerCall::Start(start), answer) => self.start_answered(cx, worker, start, answer),
            (WorkerCall::Control(control), WorkerAnswer::Verdict(verdict)) => {
                self.control_answered(cx, worker, control, *verdict);
            }
            (WorkerCall::Control(_), _) => {}
        }
    }

    fn call_workers(&mut self, cx: &mut Context) {
        self.renew_leases(cx);
        self.send_starts(cx);
    }

    /// Applies a record to the pending fold and hands it to the journal.
    fn record(&mut self, cx: &mut Context, record: Record, after: Option<After>) {
        let epoch = self.journal.epoch();
        match self.state.apply(self.id, epoch, &self.me, &record) {
            Ok(()) => self.journal.append(cx, record, after),
            Err(e) => {
                cx.note("record-misfit", self.id.to_string(), e.to_string());
                if let Some(After::Reply(id, _) | After::Repeat(id, _)) = after {
                    let why = "The change does not fit the partition's state";
                    let refusal = api::Refusal::new(codes::Code::Internal, why);
                    cx.reply(id, api::Reply::Refused(refusal));
                }
            }
        }
    }

    fn append_history(&mut self, cx: &Context, job: ids::JobId, what: String) {
        let lines = self.history.entry(job).or_default();
        if lines.len() == MAX_HISTORY_LINES_PER_JOB {
            lines.pop_front();
        }
        lines.push_back(format!("{} {what}", cx.unix_ms));
        if self.history.len() > MAX_HISTORY_JOBS {
            self.history.pop_first();
        }
    }

    /// Tells the router which services' replicas run on which usable worker, on change.
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

    /// Takes in that a worker refused a request because it is leaving or has no owner here.
    pub fn worker_refused(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        v: wire::CommandOutcome,
    ) {
        match v {
            wire::CommandOutcome::StaleEpoch => self.fence(cx),
            wire::CommandOutcome::Leaving => {
                if let Some(link) = self.links.get_mut(worker) {
                    link.step(cx, upstream::On::Leave, "the worker refused a request");
                }
            }
            _ => {}
        }
    }

    /// Returns the workers' addresses, for requests.
    pub fn addr_of(&self, worker: &ids::WorkerId) -> Option<&str> {
        self.links.get(worker).map(|l| l.host.addr.as_str())
    }

    /// Returns the capacity of the workers that are not gone.
    pub fn capacity(&self) -> sizes::Resources {
        self.links
            .values()
            .filter(|l| l.is != upstream::Is::Gone)
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

/// Builds a fresh link to a worker that came back, keeping what bounds its runs.
fn reopen_link(old: &Link, host: &wire::Host) -> Link {
    let mut link = Link::open(host.clone());
    link.boot = old.boot;
    link.boot_since = old.boot_since;
    link.seen = old.seen;
    link.heard = old.heard;
    link.alive_until = old.alive_until;
    link.runs = old.runs.clone();
    link
}

fn service_of(state: &PartState, task: ids::TaskId) -> Option<ids::ServiceId> {
    match &state.jobs.get(&task.job.number)?.kind {
        wire::TaskKind::Service(service) => Some(service.clone()),
        wire::TaskKind::Batch(_) => None,
    }
}
