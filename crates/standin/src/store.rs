//! The store model: keys with modification indexes, compare-and-swap, and faults by command.

use std::collections::BTreeMap;

use gaplock_coord::action::{Kv, StoreAnswer, StoreCall};
use gaplock_types::ids;
use serde::{Deserialize, Serialize};

/// The largest value.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// What is wrong with the store now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Nothing is carried out and nothing answered.
    pub down: bool,
    /// Every answer waits this long, in milliseconds.
    pub slow_ms: u64,
    /// Of each hundred writes, how many take effect without an answer.
    pub lose_percent: u64,
    /// Of each hundred writes, how many are carried out only after `late_ms`, without an answer and
    /// if their condition still holds then.
    pub late_percent: u64,
    /// How late those are, in milliseconds.
    pub late_ms: u64,
}

/// Calls served so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Writes and deletions.
    pub writes: u64,
    /// Reads.
    pub reads: u64,
    /// Waiting reads.
    pub watches: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// Answers lost after the write took effect.
    pub lost: u64,
    /// Writes put off.
    #[serde(default)]
    pub late: u64,
}

/// The store's contents.
#[derive(Debug, Default)]
pub struct Model {
    keys: BTreeMap<String, (Vec<u8>, ids::StoreIndex)>,
    index: ids::StoreIndex,
    /// What is wrong now.
    pub faults: Faults,
    /// Calls so far.
    pub counts: Counts,
    draws: u64,
}

impl Model {
    /// Returns the index of the last change.
    pub fn index(&self) -> ids::StoreIndex {
        self.index
    }

    /// Carries out a call; whether its answer arrives is another matter ([`Model::loses`]).
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

    /// Returns a key's modification index; 0 where it does not exist.
    pub fn index_of(&self, key: &str) -> ids::StoreIndex {
        self.keys.get(key).map_or(ids::StoreIndex(0), |(_, index)| *index)
    }

    /// Draws whether the answer to a write that took effect is lost.
    pub fn loses(&mut self) -> bool {
        let lost = self.draw() < self.faults.lose_percent;
        self.counts.lost += u64::from(lost);
        lost
    }

    /// Draws whether a write is carried out late, and by how many milliseconds. Nothing is drawn
    /// where no write is late, so that other faults keep their draws.
    pub fn late(&mut self) -> Option<u64> {
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
