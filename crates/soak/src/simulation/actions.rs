//! Carries out the actions of the nodes: calls, messages and heartbeats.

use std::sync::Arc;

use gaplock_coord::action::{Action, CallId, StoreAnswer, StoreCall};
use gaplock_coord::node::{Event, Located};
use gaplock_types::{api, config, ids};

use super::{entry_number, Due, Simulation};
use crate::faults::Fault;

impl Simulation {
    pub(super) fn carry_out(&mut self, i: usize, process_number: u64, action: Action) {
        match action {
            Action::Store { call, req } => self.call_store(i, process_number, call, req),
            Action::Worker { partition, worker, req, .. } => {
                self.call_worker(i, process_number, partition, &worker, req);
            }
            Action::Reply { id, reply } => self.route_reply(id.0, reply),
            Action::Confirmed { id, outcome } => {
                self.note(format!("confirmation {} at e{i}: {outcome:?}", id.0));
                self.confirmations.entry(id.0).or_insert(outcome);
            }
            Action::Heartbeat(beat) => self.beat(i, &beat),
            Action::HandOver { to, partition } => {
                let to = entry_number(&to);
                if !self.peers_partitioned(i, to) {
                    let process_number = self.entries[to].process_number;
                    let event = Box::new(Event::HandOver(partition));
                    self.send(Due::ToNode { to, process_number, event });
                }
            }
            Action::ForwardCommand { from, to, run, command } => {
                let id = self.command(i, to, command);
                self.loan_queries.insert(id, (i, process_number, from, run));
            }
            Action::FetchConfig { from } => {
                let to = entry_number(&from);
                if !self.peers_partitioned(i, to) {
                    self.send(Due::PeerConfigRequested { from: i, process_number, to });
                }
            }
            Action::InForce(config) => self.put_in_force(i, &config),
            Action::Decision(n) if n.kind.ends_with("misfit") || n.kind == "chart" => {
                self.violations.push(format!("e{i} {} {}: {}", n.kind, n.subject, n.why));
            }
            Action::Decision(n) => self.note(format!("e{i} {} {}: {}", n.kind, n.subject, n.why)),
            Action::Violated(v) => {
                self.violations.push(format!("e{i} {:?}: {}", v.invariant, v.evidence));
            }
            Action::Offer(_) | Action::BusySlots { .. } | Action::ClosePartition(_) => {}
        }
    }

    /// Sends a call to the store, unless the entry is partitioned from it.
    fn call_store(&mut self, i: usize, process_number: u64, call: CallId, req: StoreCall) {
        let reachable = self.entries[i].cut_store_until <= self.now;
        let write = matches!(req, StoreCall::Cas { .. } | StoreCall::Delete { .. });
        let due = Due::ToStore { from: i, process_number, call, req };
        let due = match reachable && write {
            true => self.send_late(Fault::LateWrites, due),
            false => Some(due).filter(|_| reachable),
        };
        if let Some(due) = due {
            self.send(due);
        }
        // The caller's own timeout ends the call if no answer arrives before.
        let event = Event::Store { call, answer: StoreAnswer::Unclear };
        self.schedule(500, Due::ToNode { to: i, process_number, event: Box::new(event) });
    }

    pub(super) fn put_in_force(&mut self, i: usize, config: &Arc<config::Config>) {
        let step = (config.generation, config.plan.clone());
        self.note(format!("e{i} puts {} in force", config.generation));
        self.entries[i].in_force.push(step);
    }

    pub(super) fn beat(&mut self, i: usize, beat: &api::Heartbeat) {
        for to in 0..self.entries.len() {
            if to == i || self.peers_partitioned(i, to) {
                continue;
            }
            let process_number = self.entries[to].process_number;
            self.send(Due::ToNode {
                to,
                process_number,
                event: Box::new(Event::Heartbeat(beat.clone())),
            });
        }
    }

    pub(super) fn serve_store(
        &mut self,
        from: usize,
        process_number: u64,
        call: CallId,
        req: &StoreCall,
    ) {
        if self.store_down_until > self.now {
            return;
        }
        let answer = self.store.carry_out(req);
        let write = matches!(req, StoreCall::Cas { .. } | StoreCall::Delete { .. });
        if write && self.store.draw_answer_loss() {
            self.faults += 1;
            return;
        }
        let event = Box::new(Event::Store { call, answer });
        self.send(Due::ToNode { to: from, process_number, event });
    }

    /// Sends a command to an entry, which forwards it to the owner of the partition. Returns the number
    /// of the command.
    pub fn command(&mut self, entry: usize, part: ids::PartitionId, command: api::Command) -> u64 {
        self.next += 1;
        let id = self.next;
        let e = &self.entries[entry];
        let Some(node) = &e.node else { return id };
        match node.locate(&e.cx, part) {
            Located::Here => {
                self.schedule(1, Due::CommandTo { from: None, to: entry, part, id, command })
            }
            Located::Peer(peer) => {
                let to = entry_number(&peer);
                if !self.peers_partitioned(entry, to) {
                    let from = Some((entry, e.process_number, id));
                    self.send(Due::CommandTo { from, to, part, id, command });
                }
            }
            Located::Nowhere => {}
        }
        id
    }

    pub(super) fn route_reply(&mut self, id: u64, reply: api::Reply) {
        let due = Due::ReplyTo { id, reply };
        match self.routes.remove(&id) {
            Some(Some(_)) => self.send(due),
            _ => self.schedule(1, due),
        }
    }
}
