//! Writes a snapshot of the committed state before the journal's ring wraps around.
//!
//! A slot that is written again loses its old entry, so a snapshot must cover that entry by then.

use gaplock_chart::charts::ownership;
use gaplock_types::{ids, time};

use super::{Journal, RETRY_EVERY};
use crate::action::{CallId, StoreAnswer, StoreCall};
use crate::context::Context;
use crate::keys;
use crate::state::PartitionState;

/// The number of entries after which a new snapshot is written: half of the ring.
const SNAPSHOT_EVERY_ENTRIES: u64 = 32;

/// The progress of writing a snapshot.
#[derive(Debug)]
pub(super) enum Phase {
    /// No snapshot is being written.
    Idle,
    /// A snapshot that covers the journal up to this sequence number is being written.
    Writing(CallId, ids::Seq),
    /// The write got no clear answer; the snapshot is to be read back at this time.
    Unclear(time::Instant),
    /// The snapshot is being read back.
    Reading(CallId),
}

impl Journal {
    pub(super) fn poll_snapshot(&mut self, cx: &mut Context) {
        // The snapshot that was read back may be a successor's and newer than this entry's state.
        // An older one must not replace it.
        let behind = self.committed.seq.0.saturating_sub(self.stored_snapshot.1 .0);
        match self.snapshot_phase {
            Phase::Idle
                if self.is != ownership::State::Claiming && behind >= SNAPSHOT_EVERY_ENTRIES =>
            {
                let value = serde_json::to_vec(&self.committed)
                    .expect("a partition's state always serialises to JSON");
                let key = keys::snapshot(self.id);
                let call = cx.call(StoreCall::Cas { key, value, index: self.stored_snapshot.0 });
                self.snapshot_phase = Phase::Writing(call, self.committed.seq);
            }
            Phase::Unclear(at) if cx.now >= at => {
                let call = cx.call(StoreCall::Get { key: keys::snapshot(self.id) });
                self.snapshot_phase = Phase::Reading(call);
            }
            _ => {}
        }
    }

    pub(super) fn snapshot_write_answered(
        &mut self,
        cx: &mut Context,
        seq: ids::Seq,
        answer: &StoreAnswer,
    ) {
        self.snapshot_phase = match answer {
            StoreAnswer::Written(index) => {
                self.stored_snapshot = (*index, seq);
                Phase::Idle
            }
            StoreAnswer::Conflict => Phase::Unclear(cx.now),
            StoreAnswer::Read(_) | StoreAnswer::Unclear => Phase::Unclear(cx.now + RETRY_EVERY),
        };
    }

    pub(super) fn snapshot_read_back(&mut self, cx: &mut Context, answer: &StoreAnswer) {
        let StoreAnswer::Read(kvs) = answer else {
            self.snapshot_phase = Phase::Unclear(cx.now + RETRY_EVERY);
            return;
        };
        self.snapshot_phase = Phase::Idle;
        self.stored_snapshot = match kvs.first() {
            None => (ids::StoreIndex(0), ids::Seq(0)),
            Some(kv) => match serde_json::from_slice::<PartitionState>(&kv.value) {
                Ok(state) => (kv.index, state.seq),
                Err(_) => (kv.index, self.stored_snapshot.1),
            },
        };
    }
}
