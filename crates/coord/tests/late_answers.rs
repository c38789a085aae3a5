//! Tests of what the owner of a journal may conclude from late answers and about repeated commands.
//!
//! They guard against these failures:
//! - A repeated command that waits behind unsent records is refused as never accepted, although the
//!   write of its first attempt is unanswered. It comes about if sent and unsent records share one
//!   list of waiting replies.
//! - Ownership is dated by the arrival of a read's answer, which may be seconds late at a frozen
//!   process, instead of by the time at which the read was sent.
//! - A previous owner reads back its successor's snapshot, takes it for its own, and the number of
//!   entries since the snapshot underflows.

use gaplock_coord::action::{Action, CallId, Kv, ReplyId, StoreAnswer, StoreCall};
use gaplock_coord::context::{Context, Timing};
use gaplock_coord::journal::{AfterCommit, Journal, Outcome};
use gaplock_coord::records::Record;
use gaplock_types::time::Millis;
use gaplock_types::{api, codes, ids};

/// More records than one journal entry can carry.
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
        owner.journal.begin_claim(&mut owner.cx);
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
        calls.next().expect("a store call has been requested")
    }

    fn answer(&mut self, answer: &StoreAnswer) -> Outcome {
        let (call, _) = self.take_call();
        self.journal.answered(&mut self.cx, call, answer)
    }

    /// Appends the claim of a request whose sender waits for reply `n`.
    fn append(&mut self, n: u64) {
        let record = Record::OnceClaim {
            id: format!("k{n}"),
            digest: "d".to_string(),
            claimer: "c".to_string(),
            at_unix_ms: 0,
        };
        let after = AfterCommit::Reply(ReplyId(n), api::Reply::Granted);
        self.journal.append(&self.cx, record, Some(after));
    }

    /// Answers the unanswered write with a conflict, and its read-back with another owner's entry.
    fn fence(&mut self) {
        let conflict = StoreAnswer::Conflict;
        assert_eq!(self.answer(&conflict), Outcome::Nothing);
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

    /// Returns for each refused command whether its work may have run.
    fn refusals(&mut self) -> Vec<(u64, codes::Ran)> {
        let refused = |action| match action {
            Action::Reply { id, reply: api::Reply::Refused(r) } => Some((id.0, r.ran)),
            _ => None,
        };
        let mut refusals: Vec<_> = self.cx.actions.drain(..).filter_map(refused).collect();
        refusals.sort_by_key(|(id, _)| *id);
        refusals
    }
}

#[test]
fn a_repeat_is_not_refused_as_not_run_while_its_first_attempt_is_unanswered() {
    let mut a = Owner::open();
    a.append(1);
    a.journal.poll(&mut a.cx);
    let write = a.cx.actions.pop().expect("the write of the first record has been requested");
    a.append(2);
    a.journal.reply_after_commit(&mut a.cx, ReplyId(3), api::Reply::Granted);
    a.cx.actions.push(write);
    a.fence();
    let refusals = a.refusals();
    assert_eq!(refusals, [(1, codes::Ran::Unknown), (2, codes::Ran::No), (3, codes::Ran::Unknown)]);
}

#[test]
fn a_sent_record_is_not_refused_as_not_run_because_more_records_wait() {
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
    assert!(answered > 0, "committed records are answered although more records wait");
    a.fence();
    let refusals = a.refusals();
    assert_eq!(refusals.len() as u64, MORE_THAN_ONE_ENTRY - answered);
    assert!(
        refusals.iter().all(|(_, ran)| *ran == codes::Ran::Unknown),
        "all refused records were sent"
    );
}

#[test]
fn ownership_is_dated_by_the_sending_of_the_read_and_not_by_its_late_answer() {
    let mut a = Owner::open();
    a.cx.now = a.cx.now + a.cx.timing.confirm_every;
    let asked_at = a.cx.now;
    a.journal.poll(&mut a.cx);
    // The process is frozen; meanwhile another entry may claim.
    a.cx.now = a.cx.now + Millis(9_000);
    assert_eq!(a.answer(&StoreAnswer::Read(Vec::new())), Outcome::Nothing);
    assert_eq!(a.journal.ownership_confirmed_at, asked_at);
}

#[test]
fn a_newer_snapshot_by_a_successor_is_not_overwritten() {
    let mut a = Owner::open();
    let mut index = 1;
    // Commits entries until a snapshot is written. That write is not answered yet.
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
    // The read-back finds a successor's snapshot; this owner does not know of the successor yet.
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
    assert_eq!(writes.count(), 0, "the older snapshot must not overwrite the newer one");
}
