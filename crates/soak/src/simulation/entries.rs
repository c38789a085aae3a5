//! The entries of a run: their processes, their clocks and the events that they handle.

use gaplock_coord::action::{StoreAnswer, StoreCall};
use gaplock_coord::context::Context;
use gaplock_coord::keys;
use gaplock_coord::node::{Event, Node};
use gaplock_types::{ids, time};
use rand::Rng;

use super::{
    layout, local, parse_document, timing, Due, Simulation, CONFIG_READ_INTERVAL, TICK_INTERVAL,
};

impl Simulation {
    /// Starts a new process for an entry.
    pub fn start_entry(&mut self, i: usize) {
        let incarnation = ids::Incarnation(self.rng.random());
        let me = ids::Member { entry: ids::EntryId(format!("e{i}")), incarnation };
        let domain = ids::DomainId::from(["a", "b"][i % 2]);
        let mut node = Node::open(me, format!("e{i}"), domain, layout());
        let mut cx = Context::open(timing());
        let e = &mut self.entries[i];
        e.process_number += 1;
        cx.now = local(self.now, e);
        node.handle(&mut cx, Event::Hosts(self.hosts.clone()));
        cx.actions.clear();
        e.node = Some(node);
        e.cx = cx;
        e.pending.clear();
        e.frozen_until = 0;
        e.stopping_since = None;
        e.in_force.clear();
        self.note(format!("e{i} starts"));
        self.schedule(1, Due::Tick(i));
        self.schedule(2, Due::ReadConfig(i));
    }

    /// Kills an entry's process.
    pub fn kill_entry(&mut self, i: usize) {
        self.note(format!("e{i} is killed"));
        let e = &mut self.entries[i];
        e.node = None;
        e.process_number += 1;
        e.pending.clear();
    }

    pub(super) fn tick(&mut self, i: usize) {
        let e = &mut self.entries[i];
        if e.node.is_none() {
            return;
        }
        if e.frozen_until > self.now {
            let delay = e.frozen_until - self.now;
            self.schedule(delay, Due::Tick(i));
            return;
        }
        while let Some(event) = self.entries[i].pending.pop_front() {
            self.handle(i, event);
        }
        self.handle(i, Event::Tick);
        self.schedule(TICK_INTERVAL, Due::Tick(i));
    }

    pub(super) fn read_config(&mut self, i: usize) {
        if self.entries[i].node.is_none() {
            return;
        }
        self.schedule(CONFIG_READ_INTERVAL, Due::ReadConfig(i));
        let e = &self.entries[i];
        if self.store_down_until > self.now
            || e.cut_store_until > self.now
            || e.frozen_until > self.now
        {
            return;
        }
        let sent_at = local(self.now, e);
        let process_number = e.process_number;
        let answer = self.store.carry_out(&StoreCall::Get { key: keys::CONFIG.to_string() });
        let StoreAnswer::Read(kvs) = answer else { return };
        let doc = kvs.first().and_then(|kv| {
            let doc = parse_document(&kv.value)?;
            Some((doc, kv.index))
        });
        self.send(Due::ConfigRead { to: i, process_number, sent_at, doc });
    }

    pub(super) fn deliver(&mut self, to: usize, process_number: u64, event: Event) {
        let e = &mut self.entries[to];
        if e.process_number != process_number || e.node.is_none() {
            return;
        }
        if e.frozen_until > self.now {
            e.pending.push_back(event);
            return;
        }
        while let Some(earlier) = self.entries[to].pending.pop_front() {
            self.handle(to, earlier);
        }
        self.handle(to, event);
    }

    /// Delivers an event to an entry now and carries out the resulting actions.
    pub fn handle(&mut self, i: usize, event: Event) {
        let e = &mut self.entries[i];
        let Some(node) = &mut e.node else { return };
        e.cx.now = time::Instant(e.offset + self.now * e.rate_per_mille / 1000);
        e.cx.unix_ms = 1_000_000 + self.now;
        node.handle(&mut e.cx, event);
        let actions = std::mem::take(&mut e.cx.actions);
        let process_number = e.process_number;
        for action in actions {
            self.carry_out(i, process_number, action);
        }
    }
}
