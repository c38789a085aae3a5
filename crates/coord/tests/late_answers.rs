//! What an answer that comes late, or that speaks of a repeat, may prove to a journal's owner.
//!
//! Seen: by reading, not in a run. A repeat that waits behind records not yet sent was refused as
//! never taken, though its first try was under way at the store; and ownership was dated by the
//! arrival of a read's answer, which may have lain for seconds at a frozen process. And, in a run
//! on virtual time: a former owner that read its successor's snapshot back counted how far it was
//! behind below zero. Cause: one list of waiting replies for records sent and not sent, the time of
//! the answer for that of the question, and a snapshot taken for this owner's own. Proof: the tests
//! below failed before and hold since.

use gaplock_coord::action::{Action, CallId, Kv, ReplyId, StoreAnswer, StoreCall};
use gaplock_coord::context::{Context, Timing};
use gaplock_coord::journal::{After, Journal, Outcome};
use gaplock_coord::records::Record;
use gaplock_types::time::Millis;
use gaplock_types::{api, codes, ids};

/// More records than one entry carries.
const MORE_THAN_ONE_ENTRY: u64 = 900;

struct Owner {
    journal: Journal,
    cx: Context,
}

impl Owner {
    /// Builds the owner of an empty journal.
    fn open() -> Self {
        let me = ids::Member { entry: "a".into(), incarnation: ids::Incarnation(1) };
        let timing = Timing { commit_delay: Millis(0), ..Timing::default() };
        let journal = Journal::open(ids::PartitionId(0), me);
        let mut owner = Self { journal, cx: Context::open(timing) };
        owner.journal.want(&mut owner.cx);
        assert_eq!(owner.answer(&StoreAnswer::Read(Vec::new())), Outcome::Nothing);
        let written = StoreAnswer::Written(ids::StoreIndex(1));
        assert_eq!(owner.answer(&written), Outcome::Claimed);
        owner
    }

    fn take_call(&mut self) -> (CallId, StoreCall) {
        let mut calls = self.cx.actions.drain(..).filter_map(|action| match action {
            Action::Store { call, req } => Some((call, req)),
            _ => None,
        });
        calls.next().expect("a call to the store is under way")
    }

    fn answer(&mut self, answer: &StoreAnswer) -> Outcome {
        let (call, _) = self.take_call();
        self.journal.answered(&mut self.cx, call, answer)
    }

    /// Adds a claim of a request, whose sender waits for reply `n`.
    fn append(&mut self, n: u64) {
        let record = Record::OnceClaim {
            id: format!("k{n}"),
            digest: "d".to_string(),
            claimer: "c".to_string(),
            at_unix_ms: 0,
        };
        let after = After::Reply(ReplyId(n), api::Reply::Granted);
        self.journal.append(&self.cx, record, Some(after));
    }

    /// Lets another owner's entry be found in the slot that a write is under way to.
    fn fence(&mut self) {
        let unclear = StoreAnswer::Conflict;
        assert_eq!(self.answer(&unclear), Outcome::Nothing);
        let other = ids::Member { entry: "b".into(), incarnation: ids::Incarnation(2) };
        let entry = gaplock_coord::records::Entry {
            seq: ids::Seq(1_000),
            epoch: ids::Epoch(9),
            owner: other,
            records: Vec::new(),
        };
        let value = serde_json::to_vec(&entry).unwrap();
        let kv = Kv { key: "k".to_string(), value, index: ids::StoreIndex(99) };
        let (call, _) = self.take_call();
        let answer = StoreAnswer::Read(vec![kv]);
        assert_eq!(self.journal.answered(&mut self.cx, call, &answer), Outcome::Fenced);
    }

    /// Returns by reply whether the work may have run.
    fn told(&mut self) -> Vec<(u64, codes::Ran)> {
        let refused = |action| match action {
            Action::Reply { id, reply: api::Reply::Refused(r) } => Some((id.0, r.ran)),
            _ => None,
        };
        let mut told: Vec<_> = self.cx.actions.drain(..).filter_map(refused).collect();
        told.sort_by_key(|(id, _)| *id);
        told
    }
}

#[test]
fn a_repeat_is_not_refused_as_never_taken_while_its_first_try_is_under_way() {
    let mut a = Owner::open();
    a.append(1);
    a.journal.poll(&mut a.cx);
    let write = a.cx.actions.pop().expect("the first record is being written");
    a.append(2);
    a.journal.reply_after_commit(&mut a.cx, ReplyId(3), api::Reply::Granted);
    a.cx.actions.push(write);
    a.fence();
    let told = a.told();
    assert_eq!(told, [(1, codes::Ran::Unknown), (2, codes::Ran::No), (3, codes::Ran::Unknown)]);
}

#[test]
fn what_was_sent_is_not_refused_as_never_taken_because_more_waits_behind_it() {
    let mut a = Owner::open();
    for n in 0..MORE_THAN_ONE_ENTRY {
        a.append(n);
    }
    a.journal.poll(&mut a.cx);
    let (call, _) = a.take_call();
    let written = StoreAnswer::Written(ids::StoreIndex(2));
    let outcome = a.journal.answered(&mut a.cx, call, &written);
    assert!(matches!(outcome, Outcome::Committed(_)));
    let granted = |a: &Action| matches!(a, Action::Reply { reply: api::Reply::Granted, .. });
    let answered = a.cx.actions.iter().filter(|a| granted(a)).count() as u64;
    assert!(answered > 0, "what is committed is answered, whatever waits behind it");
    a.fence();
    let told = a.told();
    assert_eq!(told.len() as u64, MORE_THAN_ONE_ENTRY - answered);
    assert!(told.iter().all(|(_, ran)| *ran == codes::Ran::Unknown), "all of them were sent");
}

#[test]
fn ownership_is_dated_by_the_question_and_not_by_its_late_answer() {
    let mut a = Owner::open();
    a.cx.now = a.cx.now + a.cx.timing.confirm_every;
    let asked_at = a.cx.now;
    a.journal.poll(&mut a.cx);
    // The process is frozen; meanwhile another entry may claim.
    a.cx.now = a.cx.now + Millis(9_000);
    assert_eq!(a.answer(&StoreAnswer::Read(Vec::new())), Outcome::Nothing);
    assert_eq!(a.journal.confirmed_at, asked_at);
}

#[test]
fn a_newer_snapshot_by_a_successor_is_not_overwritten() {
    let mut a = Owner::open();
    let mut index = 1;
    // Enough entries for a snapshot, whose writing gets no answer.
    let snapshot = loop {
        index += 1;
        a.append(index);
        a.journal.poll(&mut a.cx);
        let written = StoreAnswer::Written(ids::StoreIndex(index));
        a.answer(&written);
        a.cx.actions.clear();
        a.journal.poll(&mut a.cx);
        if let Some(Action::Store { call, .. }) = a.cx.actions.pop() {
            break call;
        }
    };
    a.journal.answered(&mut a.cx, snapshot, &StoreAnswer::Conflict);
    a.journal.poll(&mut a.cx);
    // The successor's snapshot is found; this owner does not know of it yet.
    let mut newer = a.journal.committed.clone();
    newer.seq = ids::Seq(newer.seq.0 + 5);
    let value = serde_json::to_vec(&newer).unwrap();
    let kv = Kv { key: "k".to_string(), value, index: ids::StoreIndex(999) };
    a.answer(&StoreAnswer::Read(vec![kv]));
    a.cx.actions.clear();
    a.journal.poll(&mut a.cx);
    let writes = a.cx.actions.iter().filter(|action| {
        matches!(action, Action::Store { req: StoreCall::Cas { index, .. }, .. } if index.0 == 999)
    });
    assert_eq!(writes.count(), 0, "an older snapshot was sent over the newer one");
}
