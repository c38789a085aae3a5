//! Tests of the answer to a confirmation that is repeated or made at several entries.
//!
//! They guard against these failures:
//! - A plan whose write is carried out late is refused as stale once the next plan is stored on top
//!   of it.
//! - A plan is confirmed at two entries, and one of them puts its own document in force, without
//!   the name and time that the other stored.
//! - A repeated confirmation is refused as stale because a newer plan is in force, or because the
//!   entry itself is behind.
//!
//! They come about if the newest document alone is taken for the outcome of the plan, or if the
//! plan's id is taken as proof that the whole document is the stored one.

use gaplock_coord::action::{Action, CallId, Kv, ReplyId, StoreAnswer, StoreCall};
use gaplock_coord::assign::Layout;
use gaplock_coord::context::{Context, Timing};
use gaplock_coord::generation::Document;
use gaplock_coord::keys;
use gaplock_coord::node::{Event, Node};
use gaplock_types::time::Millis;
use gaplock_types::{api, codes, config, ids};

/// Longer than the wait before an unanswered write is read back.
const READ_BACK: Millis = Millis(400);

struct Entry {
    node: Node,
    cx: Context,
}

fn plan(name: &str, base: u64) -> api::Plan {
    api::Plan {
        id: ids::PlanId(name.to_string()),
        base: ids::Generation(base),
        changes: vec![name.to_string()],
        refused: Vec::new(),
        lifetime_s: 600,
        wanted: config::Config::default(),
    }
}

/// Returns the document that results from plans stored one on top of the other.
fn stored(plans: &[api::Plan], by: &str) -> Document {
    let mut doc = Document::default();
    for plan in plans {
        doc = Document::from_plan(&doc, plan, by, 7);
    }
    doc
}

impl Entry {
    /// Builds an entry without peers that reaches the store and has `doc` in force.
    fn open(doc: &Document) -> Self {
        let me = ids::Member { entry: "a".into(), incarnation: ids::Incarnation(1) };
        let layout = Layout { domains: Vec::new(), slices: 1 };
        let node = Node::open(me, "a".to_string(), "d".into(), layout);
        let mut entry = Self { node, cx: Context::open(Timing::default()) };
        entry.read(doc, 1);
        entry
    }

    fn read(&mut self, doc: &Document, index: u64) {
        let doc = Some((doc.clone(), ids::StoreIndex(index)));
        let sent_at = self.cx.now;
        self.node.handle(&mut self.cx, Event::Config { sent_at, doc });
    }

    fn confirm(&mut self, id: u64, plan: &api::Plan) {
        let plan = Box::new(plan.clone());
        let event = Event::Confirm { id: ReplyId(id), plan, by: "ana".to_string() };
        self.node.handle(&mut self.cx, event);
    }

    /// Takes the first store call about the configuration from the actions.
    fn take_call(&mut self) -> Option<(CallId, StoreCall)> {
        let about_config = |action| match action {
            Action::Store { call, req } => match &req {
                StoreCall::Cas { key, .. } | StoreCall::Get { key } if key == keys::CONFIG => {
                    Some((call, req))
                }
                _ => None,
            },
            _ => None,
        };
        std::mem::take(&mut self.cx.actions).into_iter().find_map(about_config)
    }

    fn answer(&mut self, call: CallId, answer: StoreAnswer) {
        self.node.handle(&mut self.cx, Event::Store { call, answer });
    }

    /// Loses the answer to the write, and answers the read-back with `doc`.
    fn lose_and_read_back(&mut self, doc: &Document) {
        let (write, _) = self.take_call().expect("the plan is being written");
        self.answer(write, StoreAnswer::Unclear);
        self.cx.now = self.cx.now + READ_BACK;
        self.node.handle(&mut self.cx, Event::Tick);
        let (read, _) = self.take_call().expect("the document is being read back");
        let value = serde_json::to_vec(doc).unwrap();
        let kv = Kv { key: keys::CONFIG.to_string(), value, index: ids::StoreIndex(9) };
        self.answer(read, StoreAnswer::Read(vec![kv]));
    }

    fn outcome(&mut self, wanted: u64) -> Result<u64, codes::Code> {
        let answer = |action| match action {
            Action::Confirmed { id: ReplyId(id), outcome } if id == wanted => Some(outcome),
            _ => None,
        };
        let outcome = std::mem::take(&mut self.cx.actions).into_iter().find_map(answer);
        outcome.expect("the operator gets an answer").map(|g| g.0).map_err(|r| r.result_code())
    }
}

#[test]
fn a_stored_plan_is_not_refused_because_a_newer_plan_builds_on_it() {
    let mut a = Entry::open(&Document::default());
    let (mine, next) = (plan("mine", 0), plan("next", 1));
    a.confirm(1, &mine);
    a.lose_and_read_back(&stored(&[mine, next], "ana"));
    assert_eq!(a.outcome(1), Ok(1));
    assert_eq!(a.node.generations.generation(), ids::Generation(2));
}

#[test]
fn a_plan_is_refused_if_another_plan_was_stored_first() {
    let mut a = Entry::open(&Document::default());
    a.confirm(1, &plan("mine", 0));
    a.lose_and_read_back(&stored(&[plan("other", 0)], "bor"));
    assert_eq!(a.outcome(1), Err(codes::Code::PlanStale));
}

#[test]
fn the_document_in_force_is_the_stored_one() {
    let mut a = Entry::open(&Document::default());
    let mine = plan("mine", 0);
    a.confirm(1, &mine);
    // The same plan was confirmed at another entry, whose write was stored first.
    let found = stored(&[mine], "bor");
    a.lose_and_read_back(&found);
    assert_eq!(a.outcome(1), Ok(1));
    assert_eq!(*a.node.generations.doc, found);
}

#[test]
fn a_repeated_confirmation_is_answered_from_the_history() {
    let (mine, next) = (plan("mine", 0), plan("next", 1));
    let mut a = Entry::open(&stored(&[mine.clone(), next], "ana"));
    a.confirm(1, &mine);
    assert_eq!(a.outcome(1), Ok(1));
}

#[test]
fn an_entry_that_is_behind_does_not_refuse_a_plan_as_stale() {
    let mut a = Entry::open(&Document::default());
    a.confirm(1, &plan("ahead", 5));
    assert_eq!(a.outcome(1), Err(codes::Code::NotReady));
}

#[test]
fn a_stored_plan_is_evidence_of_freshness_only_as_of_the_time_of_sending() {
    let mut a = Entry::open(&Document::default());
    a.confirm(1, &plan("mine", 0));
    let (write, _) = a.take_call().expect("the plan is being written");
    // The process is frozen; meanwhile a newer plan may be stored.
    let frozen = Millis(9_000);
    a.cx.now = a.cx.now + frozen;
    a.answer(write, StoreAnswer::Written(ids::StoreIndex(2)));
    assert_eq!(a.node.generations.age(a.cx.now), frozen);
}
