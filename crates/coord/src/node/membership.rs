//! Heartbeats and membership records, and the evidence they give that the configuration is current.

use gaplock_types::{api, ids, time};

use super::Node;
use crate::action::{Action, StoreAnswer, StoreCall};
use crate::context::Context;
use crate::keys;
use crate::members::MemberRecord;

impl Node {
    pub(super) fn send_heartbeat(&mut self, cx: &mut Context) {
        if cx.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = cx.now + cx.timing.beat_every;
        cx.actions.push(Action::Heartbeat(api::Heartbeat {
            from: self.me.clone(),
            store_ok: self.store_ok(cx),
            stopping: self.stopping,
            generation: self.generations.generation(),
            owned: self.owned(),
            load: self.load.clone(),
            rooms: self.free_capacity(),
        }));
    }

    pub(super) fn refresh_membership(&mut self, cx: &mut Context) {
        if cx.now < self.next_refresh {
            return;
        }
        self.next_refresh = cx.now + cx.timing.member_refresh;
        self.refreshes += 1;
        let record = MemberRecord {
            member: self.me.clone(),
            addr: self.addr.clone(),
            domain: self.domain.clone(),
            beat: self.refreshes,
        };
        let value =
            serde_json::to_vec(&record).expect("a membership record always serialises to JSON");
        let key = keys::member(&self.me.entry);
        let index = self.my_record_index;
        if !self.stopping || self.refreshes == 1 {
            let call = cx.call(StoreCall::Cas { key, value, index });
            self.refresh_call = Some((call, cx.now));
        }
        let call = cx.call(StoreCall::List { prefix: keys::MEMBERS.to_string() });
        self.list_call = Some((call, cx.now));
        if self.store_ok(cx) {
            for (entry, index) in self.members.stale_records(cx.now, &cx.timing) {
                cx.call(StoreCall::Delete { key: keys::member(&entry), index });
            }
        }
    }

    pub(super) fn list_answered(
        &mut self,
        cx: &mut Context,
        sent_at: time::Instant,
        answer: &StoreAnswer,
    ) {
        let StoreAnswer::Read(kvs) = answer else { return };
        self.store_ok_at = self.store_ok_at.max(Some(sent_at));
        let mut records = Vec::new();
        self.my_record_index = ids::StoreIndex(0);
        for kv in kvs {
            let Ok(record) = serde_json::from_slice::<MemberRecord>(&kv.value) else { continue };
            if record.member.entry == self.me.entry {
                self.my_record_index = kv.index;
            }
            records.push((record, kv.index));
        }
        self.members.update_records(cx.now, records);
        self.listed = true;
    }

    pub(super) fn take_in_beat(&mut self, cx: &mut Context, beat: api::Heartbeat) {
        for (id, epoch) in &beat.owned {
            if let Some(p) = self.partitions.get_mut(id) {
                p.handle_successor(cx, *epoch);
            }
        }
        let newer = beat.generation > self.generations.generation();
        if newer && cx.now >= self.fetch_at {
            self.fetch_at = cx.now + cx.timing.beat_every;
            cx.actions.push(Action::FetchConfig { from: beat.from.entry.clone() });
        }
        self.members.handle_heartbeat(cx.now, beat);
    }

    /// Records evidence that the configuration is the newest, if heartbeats arrive from a majority
    /// of all entries and no peer has reported a newer generation.
    pub(super) fn check_majority_evidence(&mut self, cx: &mut Context) {
        let mine = self.generations.generation();
        let newer_heard = self
            .members
            .peers
            .values()
            .filter_map(|p| p.heartbeat.as_ref())
            .any(|b| b.generation > mine);
        // Before the store's first answer the entries are unknown, and so is what a majority is.
        let knows_entries = !self.members.peers.is_empty();
        if knows_entries && !newer_heard && self.members.hears_majority(cx.now, &cx.timing) {
            self.generations.record_majority_evidence(cx.now);
        }
    }
}
