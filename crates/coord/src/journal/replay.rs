//! Loads a partition's snapshot and journal from the store.
//!
//! An entry that claims a partition rebuilds the state this way, and then writes its claim.

use gaplock_chart::charts::ownership;
use gaplock_types::ids;

use super::{Journal, Outcome, RETRY_EVERY, RING_SLOTS};
use crate::action::{Kv, StoreAnswer, StoreCall};
use crate::context::Context;
use crate::keys;
use crate::records::{Entry, Record};
use crate::state::PartitionState;

impl Journal {
    pub(super) fn load(&mut self, cx: &mut Context) {
        let prefix = keys::partition_prefix(self.id);
        self.loading = Some(cx.call(StoreCall::List { prefix }));
    }

    pub(super) fn loaded(&mut self, cx: &mut Context, answer: &StoreAnswer) -> Outcome {
        let StoreAnswer::Read(kvs) = answer else {
            self.retry_at = cx.now + RETRY_EVERY;
            return Outcome::Nothing;
        };
        match self.replay(kvs) {
            Ok(()) => {
                self.was_released =
                    self.committed.released || self.committed.epoch == ids::Epoch(0);
                self.step(cx, ownership::Event::Loaded);
                self.write(cx, vec![Record::Claim], Vec::new());
                Outcome::Nothing
            }
            Err(why) => {
                cx.log_decision("journal-unreadable", self.id.to_string(), why);
                self.retry_at = cx.now + RETRY_EVERY;
                Outcome::Nothing
            }
        }
    }

    /// Rebuilds the committed state from the snapshot and the entries after it.
    pub(super) fn replay(&mut self, kvs: &[Kv]) -> Result<(), String> {
        self.committed = PartitionState::default();
        self.stored_snapshot = (ids::StoreIndex(0), ids::Seq(0));
        self.slots.fill(ids::StoreIndex(0));
        let snap_key = keys::snapshot(self.id);
        let mut entries = Vec::new();
        for kv in kvs {
            if kv.key == snap_key {
                self.committed =
                    serde_json::from_slice(&kv.value).map_err(|e| format!("snapshot: {e}"))?;
                self.stored_snapshot = (kv.index, self.committed.seq);
            } else {
                let entry: Entry =
                    serde_json::from_slice(&kv.value).map_err(|e| format!("{}: {e}", kv.key))?;
                self.slots[(entry.seq.0 % RING_SLOTS) as usize] = kv.index;
                entries.push(entry);
            }
        }
        self.committed.rebuild(self.id);
        entries.sort_by_key(|e| e.seq);
        for entry in entries.iter().filter(|e| e.seq > self.stored_snapshot.1) {
            if entry.seq != self.committed.seq.next() {
                return Err(format!("{} follows {}", entry.seq, self.committed.seq));
            }
            // Records that do not fit were logged at the commit; every replay skips the same ones.
            self.committed.apply_entry(self.id, entry);
        }
        Ok(())
    }
}
