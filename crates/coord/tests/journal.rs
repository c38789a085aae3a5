//! Tests of the journal's fencing: lost answers, two owners, and wrap-around of the ring.

use std::collections::BTreeMap;

use gaplock_coord::action::{Action, CallId, Kv, StoreAnswer, StoreCall};
use gaplock_coord::context::{Context, Timing};
use gaplock_coord::journal::{Journal, Outcome, RING_SLOTS};
use gaplock_coord::records::Record;
use gaplock_types::ids;
use gaplock_types::time::Millis;

/// A minimal in-memory store: keys with values and modification indexes.
#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    index: u64,
}

impl Store {
    fn serve(&mut self, call: &StoreCall) -> StoreAnswer {
        let index_of = |keys: &BTreeMap<String, (Vec<u8>, u64)>, key: &str| {
            ids::StoreIndex(keys.get(key).map_or(0, |(_, index)| *index))
        };
        let row = |(key, (value, index)): (&String, &(Vec<u8>, u64))| Kv {
            key: key.clone(),
            value: value.clone(),
            index: ids::StoreIndex(*index),
        };
        match call {
            StoreCall::Cas { key, value, index } if index_of(&self.keys, key) == *index => {
                self.index += 1;
                self.keys.insert(key.clone(), (value.clone(), self.index));
                StoreAnswer::Written(ids::StoreIndex(self.index))
            }
            StoreCall::Cas { .. } | StoreCall::Delete { .. } => StoreAnswer::Conflict,
            StoreCall::Get { key } => {
                StoreAnswer::Read(self.keys.get_key_value(key).map(row).into_iter().collect())
            }
            StoreCall::List { prefix } => {
                let found = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
                StoreAnswer::Read(found.map(row).collect())
            }
        }
    }
}

struct Owner {
    journal: Journal,
    cx: Context,
}

fn owner(name: &str) -> Owner {
    let me = ids::Member { entry: name.into(), incarnation: ids::Incarnation(1) };
    let timing = Timing { commit_delay: Millis(0), ..Timing::default() };
    Owner { journal: Journal::open(ids::PartitionId(0), me), cx: Context::open(timing) }
}

impl Owner {
    fn calls(&mut self) -> Vec<(CallId, StoreCall)> {
        let actions = std::mem::take(&mut self.cx.actions);
        let store = |action| match action {
            Action::Store { call, req } => Some((call, req)),
            _ => None,
        };
        actions.into_iter().filter_map(store).collect()
    }

    /// Polls the journal and serves its store calls, for 50 rounds. For each write, `lose` returns
    /// whether its answer is lost.
    fn serve_calls(&mut self, store: &mut Store, mut lose: impl FnMut() -> bool) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for _ in 0..50 {
            self.cx.now = self.cx.now + Millis(400);
            self.journal.poll(&mut self.cx);
            for (call, req) in self.calls() {
                let answer = store.serve(&req);
                let lost = matches!(req, StoreCall::Cas { .. }) && lose();
                let answer = if lost { StoreAnswer::Unclear } else { answer };
                outcomes.push(self.journal.answered(&mut self.cx, call, &answer));
            }
        }
        outcomes.retain(|o| *o != Outcome::Nothing);
        outcomes
    }

    fn claim(&mut self, store: &mut Store) -> Vec<Outcome> {
        self.journal.begin_claim(&mut self.cx);
        self.serve_calls(store, || false)
    }

    fn append(&mut self, n: u64) {
        let record = Record::OnceClaim {
            id: format!("k{n}"),
            digest: "d".to_string(),
            claimer: "c".to_string(),
            at_unix_ms: 0,
        };
        self.journal.append(&self.cx, record, None);
    }
}

#[test]
fn a_lost_answer_is_read_back_and_not_written_twice() {
    let (mut store, mut a) = (Store::default(), owner("a"));
    assert_eq!(a.claim(&mut store), [Outcome::Claimed]);
    a.append(1);
    let writes_before = store.index;
    let mut first = true;
    let outcomes = a.serve_calls(&mut store, || std::mem::take(&mut first));
    assert!(matches!(outcomes.as_slice(), [Outcome::Committed(_)]), "{outcomes:?}");
    assert_eq!(store.index, writes_before + 1);
    assert!(a.journal.committed.once.contains_key("k1"));
}

#[test]
fn a_write_that_never_arrived_is_written_again() {
    let (mut store, mut a) = (Store::default(), owner("a"));
    a.claim(&mut store);
    a.append(1);
    a.journal.poll(&mut a.cx);
    for (call, _never_served) in a.calls() {
        a.journal.answered(&mut a.cx, call, &StoreAnswer::Unclear);
    }
    let outcomes = a.serve_calls(&mut store, || false);
    assert!(matches!(outcomes.as_slice(), [Outcome::Committed(_)]), "{outcomes:?}");
}

#[test]
fn a_successor_fences_a_previous_owner_that_does_not_know_of_it() {
    let (mut store, mut a, mut b) = (Store::default(), owner("a"), owner("b"));
    a.claim(&mut store);
    a.append(1);
    a.serve_calls(&mut store, || false);
    assert_eq!(b.claim(&mut store), [Outcome::Claimed]);
    assert!(b.journal.epoch() > a.journal.epoch());
    assert!(
        b.journal.committed.once.contains_key("k1"),
        "the successor has the committed record k1"
    );
    // The previous owner was frozen and does not know of the claim.
    a.append(2);
    assert_eq!(a.serve_calls(&mut store, || false), [Outcome::Fenced]);
    assert!(!a.journal.owns() && b.journal.owns());
    let mut c = owner("c");
    c.claim(&mut store);
    assert!(!c.journal.committed.once.contains_key("k2"));
}

#[test]
fn an_idle_previous_owner_learns_that_it_is_fenced() {
    let (mut store, mut a, mut b) = (Store::default(), owner("a"), owner("b"));
    a.claim(&mut store);
    b.claim(&mut store);
    a.cx.now = a.cx.now + Millis(20_000);
    assert_eq!(a.serve_calls(&mut store, || false), [Outcome::Fenced]);
}

#[test]
fn of_two_concurrent_claims_exactly_one_is_committed() {
    let (mut store, mut a, mut b) = (Store::default(), owner("a"), owner("b"));
    a.journal.begin_claim(&mut a.cx);
    b.journal.begin_claim(&mut b.cx);
    let mut outcomes = Vec::new();
    for _ in 0..6 {
        for owner in [&mut a, &mut b] {
            for (call, req) in owner.calls() {
                let answer = store.serve(&req);
                outcomes.push(owner.journal.answered(&mut owner.cx, call, &answer));
            }
        }
    }
    assert_eq!(outcomes.iter().filter(|o| **o == Outcome::Claimed).count(), 1);
    assert_eq!(outcomes.iter().filter(|o| **o == Outcome::Fenced).count(), 1);
}

#[test]
fn the_ring_wraps_around_without_losing_a_record() {
    let (mut store, mut a) = (Store::default(), owner("a"));
    a.claim(&mut store);
    let count = 3 * RING_SLOTS + 5;
    for n in 0..count {
        a.append(n);
        // For every tenth record, the answers to all writes are lost, those of snapshots included.
        a.serve_calls(&mut store, || n % 5 == 0 && n % 2 == 0);
    }
    let mut b = owner("b");
    b.claim(&mut store);
    assert_eq!(b.journal.committed.once.len() as u64, count);
    assert_eq!(b.journal.epoch(), ids::Epoch(2));
    assert!(store.keys.len() as u64 <= RING_SLOTS + 1);
}

#[test]
fn no_record_is_left_over_from_a_release_to_a_later_ownership() {
    let (mut store, mut a) = (Store::default(), owner("a"));
    a.claim(&mut store);
    a.journal.release(&mut a.cx);
    a.journal.poll(&mut a.cx);
    // Records are added while the release is in flight, as happens with a worker's late report.
    a.append(9);
    a.append(10);
    let outcomes = a.serve_calls(&mut store, || false);
    assert_eq!(outcomes, [Outcome::Released]);
    assert_eq!(a.claim(&mut store), [Outcome::Claimed]);
    assert!(a.journal.was_released);
    assert!(!a.journal.has_uncommitted());
    assert!(a.journal.committed.once.is_empty());
}
