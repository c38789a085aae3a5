//! The store model: keys with modification indexes, compare-and-swap, and injected faults.

use std::collections::BTreeMap;

use gaplock_coord::action::{Kv, StoreAnswer, StoreCall};
use gaplock_types::ids;
use serde::{Deserialize, Serialize};

/// The size of the largest value that a write may store.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// The faults to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether the store carries out no call and answers none.
    pub down: bool,
    /// The delay before each call is carried out, in milliseconds.
    pub slow_ms: u64,
    /// The percentage of writes that take effect but are not answered.
    pub lose_percent: u64,
    /// The percentage of writes that are carried out only after `late_ms`, without an answer. Such
    /// a write takes effect only if its condition still holds then.
    pub late_percent: u64,
    /// The delay of those writes, in milliseconds.
    pub late_ms: u64,
}

/// How many calls the store has carried out, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Writes and deletions.
    pub writes: u64,
    /// Reads.
    pub reads: u64,
    /// Reads that wait for a change.
    pub watches: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// Answers lost after the write took effect.
    pub lost: u64,
    /// Writes that were delayed.
    #[serde(default)]
    pub late: u64,
}

/// The store's contents and faults.
#[derive(Debug, Default)]
pub struct Model {
    keys: BTreeMap<String, (Vec<u8>, ids::StoreIndex)>,
    index: ids::StoreIndex,
    /// The faults to inject.
    pub faults: Faults,
    /// The calls so far.
    pub counts: Counts,
    /// How many pseudo-random numbers have been drawn; each is a hash of this count.
    draws: u64,
}

impl Model {
    /// Returns the index of the last change.
    pub fn index(&self) -> ids::StoreIndex {
        self.index
    }

    /// Carries out a call. Whether the caller receives the answer is drawn by [`Model::draw_answer_loss`].
    pub fn carry_out(&mut self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Cas { key, value, index } => {
                self.counts.writes += 1;
                if value.len() > VALUE_MAX_BYTES || self.index_of(key) != *index {
                    return StoreAnswer::Conflict;
                }
                self.index = self.index.next();
                self.counts.written_bytes += value.len() as u64;
                self.keys.insert(key.clone(), (value.clone(), self.index));
                StoreAnswer::Written(self.index)
            }
            StoreCall::Delete { key, index } => {
                self.counts.writes += 1;
                if self.index_of(key) != *index {
                    return StoreAnswer::Conflict;
                }
                self.index = self.index.next();
                self.keys.remove(key);
                StoreAnswer::Written(self.index)
            }
            StoreCall::Get { key } => {
                self.counts.reads += 1;
                let found = self.keys.get_key_value(key);
                StoreAnswer::Read(found.map(row).into_iter().collect())
            }
            StoreCall::List { prefix } => {
                self.counts.reads += 1;
                let from = self.keys.range(prefix.clone()..);
                let rows = from.take_while(|(key, _)| key.starts_with(prefix)).map(row);
                StoreAnswer::Read(rows.collect())
            }
        }
    }

    /// Returns a key's modification index, or 0 if the key does not exist.
    pub fn index_of(&self, key: &str) -> ids::StoreIndex {
        self.keys.get(key).map_or(ids::StoreIndex(0), |(_, index)| *index)
    }

    /// Draws whether the answer to a write that has taken effect is lost.
    pub fn draw_answer_loss(&mut self) -> bool {
        let lost = self.draw() < self.faults.lose_percent;
        self.counts.lost += u64::from(lost);
        lost
    }

    /// Draws whether a write is delayed, and returns the delay in milliseconds. Nothing is drawn
    /// while this fault is off, so that the draws of other faults stay the same.
    pub fn draw_write_delay(&mut self) -> Option<u64> {
        if self.faults.late_percent == 0 || self.draw() >= self.faults.late_percent {
            return None;
        }
        self.counts.late += 1;
        Some(self.faults.late_ms)
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        gaplock_coord::assign::stable_hash(&self.draws.to_string()) % 100
    }
}

fn row((key, (value, index)): (&String, &(Vec<u8>, ids::StoreIndex))) -> Kv {
    Kv { key: key.clone(), value: value.clone(), index: *index }
}
