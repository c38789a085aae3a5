//! Executes the actions that the node decided on: calls, messages and log lines.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_coord::action::{Action, CallId, Decision, StoreCall, WorkerCall};
use gaplock_coord::node::Event;
use gaplock_remote::clock;
use gaplock_types::{api, ids, wire};
use gaplock_verify::Violation;

use crate::engine::Engine;
use crate::once;

/// Executes actions in order. Calls run in tasks of their own, so none of them is waited for.
pub fn execute_actions(engine: &Arc<Engine>, actions: Vec<Action>) {
    for action in actions {
        execute_action(engine, action);
    }
}

fn execute_action(engine: &Arc<Engine>, action: Action) {
    match action {
        Action::Store { call, req } => call_store(engine, call, req),
        Action::Worker { partition, worker, addr, req } => {
            call_worker(engine, partition, worker, &addr, req);
        }
        Action::Reply { id, reply } => engine.deliver_reply(id, reply),
        Action::Confirmed { id, outcome } => engine.deliver_confirmation(id, outcome),
        Action::Heartbeat(beat) => send_heartbeat(engine, &beat),
        Action::HandOver { to, partition } => hand_over(engine, to, partition),
        Action::ForwardCommand { from, to, run, command } => {
            send_loan_command(engine, from, to, run, command)
        }
        Action::FetchConfig { from } => fetch_config(engine, from),
        Action::Offer(offer) => {
            engine.with_routing(|r| r.router.update_worker(offer));
            wake_waiters(engine);
        }
        Action::BusySlots { worker, busy, asked_at } => {
            engine.with_routing(|r| {
                let changes = r.changes_at_renewal.remove(&(worker.clone(), asked_at));
                r.router.record_busy(&worker, busy, changes.unwrap_or(u64::MAX));
            });
            wake_waiters(engine);
        }
        Action::ClosePartition(id) => engine.with_routing(|r| r.router.close_partition(id)),
        Action::InForce(config) => {
            engine.metrics.set_generation(config.generation);
            tracing::info!(generation = %config.generation, by = config.by, "configuration in force");
        }
        Action::Decision(note) => log_note(engine, &note),
        Action::Violated(violation) => log_violation(engine, &violation),
    }
}

fn log_note(engine: &Engine, note: &Decision) {
    engine.metrics.count_note(note.kind);
    tracing::info!(kind = note.kind, subject = note.subject, why = note.why, "decision");
}

/// Logs and counts a violated invariant.
pub fn log_violation(engine: &Engine, violation: &Violation) {
    engine.metrics.count_violation(violation.invariant);
    tracing::error!(
        invariant = ?violation.invariant,
        evidence = violation.evidence,
        "invariant violated; the action was not executed"
    );
}

fn call_store(engine: &Arc<Engine>, call: CallId, req: StoreCall) {
    let engine = Arc::clone(engine);
    task::spawn(async move {
        let answer = engine.store.call(&req).await;
        engine.handle(Event::Store { call, answer });
    });
}

fn call_worker(
    engine: &Arc<Engine>,
    partition: ids::PartitionId,
    worker: ids::WorkerId,
    addr: &str,
    req: WorkerCall,
) {
    let sent_at = clock::now();
    if matches!(req, WorkerCall::Lease(_)) {
        engine.with_routing(|r| {
            let changes = r.router.changes(&worker);
            r.changes_at_renewal.retain(|(known, _), _| *known != worker);
            r.changes_at_renewal.insert((worker.clone(), sent_at), changes);
        });
    }
    let client = engine.worker(addr);
    let engine = Arc::clone(engine);
    task::spawn(async move {
        let answer = client.call(&req, engine.cfg.worker_limit).await;
        engine.metrics.count_worker_call(&req, &answer);
        engine.handle(Event::Worker { partition, worker, req, sent_at, answer });
    });
}

fn send_heartbeat(engine: &Arc<Engine>, beat: &api::Heartbeat) {
    let peers: Vec<(ids::EntryId, String)> = engine.with_core(|core| {
        let all = core.node.members.peers.iter();
        all.map(|(entry, p)| (entry.clone(), p.record.addr.clone())).collect()
    });
    for (entry, addr) in peers {
        let (engine, beat) = (Arc::clone(engine), beat.clone());
        task::spawn(async move {
            if let Err(e) = engine.peers.beat(&entry, &addr, &beat).await {
                tracing::debug!(peer = %entry, error = %e, "heartbeat not delivered");
            }
        });
    }
}

fn hand_over(engine: &Arc<Engine>, to: ids::EntryId, partition: ids::PartitionId) {
    let engine = Arc::clone(engine);
    task::spawn(async move {
        let Some(addr) = engine.peer_addr(&to) else { return };
        if let Err(e) = engine.peers.hand_over(&to, &addr, partition).await {
            // The message only saves time: the peer later finds out by itself.
            tracing::info!(peer = %to, %partition, error = %e, "hand-over message not delivered");
        }
    });
}

fn send_loan_command(
    engine: &Arc<Engine>,
    partition: ids::PartitionId,
    to: ids::PartitionId,
    run: wire::Run,
    command: api::Command,
) {
    let engine = Arc::clone(engine);
    task::spawn(async move {
        let reply = once::execute_command(&engine, to, command).await;
        engine.handle(Event::LoanReported { partition, run, reply });
    });
}

fn fetch_config(engine: &Arc<Engine>, from: ids::EntryId) {
    let engine = Arc::clone(engine);
    task::spawn(async move {
        let Some(addr) = engine.peer_addr(&from) else { return };
        match engine.peers.config(&from, &addr).await {
            Ok(doc) => engine.handle(Event::PeerConfig(doc)),
            Err(e) => {
                tracing::info!(peer = %from, error = %e, "cannot fetch the configuration from the peer")
            }
        }
    });
}

impl Engine {
    /// Returns where a peer listens.
    pub fn peer_addr(&self, entry: &ids::EntryId) -> Option<String> {
        self.with_core(|core| core.node.members.peers.get(entry).map(|p| p.record.addr.clone()))
    }
}

/// Passes slots to the waiting requests that are next, and wakes those whose wait has timed out.
pub fn wake_waiters(engine: &Arc<Engine>) {
    let now = clock::now();
    let unclaimed = engine.with_routing(|r| {
        let mut unclaimed = Vec::new();
        for (ticket, slot) in r.router.take_ready(now) {
            let Some(tx) = r.waiters.remove(&ticket) else {
                unclaimed.extend(slot);
                continue;
            };
            if let Err(Some(slot)) = tx.send(slot) {
                unclaimed.push(slot);
            }
        }
        for slot in &unclaimed {
            r.router.release_slot(slot, &ids::ServiceId::default(), None);
        }
        !unclaimed.is_empty()
    });
    if unclaimed {
        // The next tick offers the returned slots to other waiting requests.
        tracing::debug!("a slot was assigned to a request that no longer waits; slot released");
    }
}

/// How much longer than the caller's deadline a forwarded call may take.
pub const PEER_CALL_MARGIN: Duration = Duration::from_millis(500);
