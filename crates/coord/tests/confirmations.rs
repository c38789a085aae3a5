//! What a confirmation of a plan is told when its write was repeated or confirmed elsewhere too.
//!
//! Seen: by reading, not in a run. A plan whose write was carried out late was refused as stale
//! once the next plan was stored on top of it; a plan confirmed at two entries was put in force at
//! one with the other's name and time missing; a repeat of a confirmation was refused as stale as
//! soon as a newer plan was in force, or where the entry itself was behind. Cause: the newest
//! document was read as the fate of the plan, and the plan's id as proof of the whole document.
//! Proof: the tests below failed before and hold since.

use gaplock_coord::action::{Action, CallId, Kv, ReplyId, StoreAnswer, StoreCall};
use gaplock_coord::assign::Layout;
use gaplock_coord::context::{Context, Timing};
use gaplock_coord::generation::Document;
use gaplock_coord::keys;
use gaplock_coord::node::{Event, Node};
use gaplock_types::time::Millis;
use gaplock_types::{api, codes, config, ids};

/// Longer than the wait before a write without an answer is read back.
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

/// Returns the documents of plans that were stored one on the other.
fn stored(plans: &[api::Plan], by: &str) -> Document {
    let mut doc = Document::default();
    for plan in plans {
        doc = Document::from_plan(&doc, plan, by, 7);
    }
    doc
}

impl Entry {
    /// Builds an entry that reaches the store, alone, with `doc` in force.
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

    /// Takes the call about the configuration that is under way.
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

    /// Leaves the write without an answer, and answers its reading back with `doc`.
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
        let told = |action| match action {
            Action::Confirmed { id: ReplyId(id), outcome } if id == wanted => Some(outcome),
            _ => None,
        };
        let outcome = std::mem::take(&mut self.cx.actions).into_iter().find_map(told);
        outcome.expect("the operator is answered").map(|g| g.0).map_err(|r| r.result_code())
    }
}

#[test]
fn a_plan_that_was_stored_is_not_refused_because_another_came_on_top_of_it() {
    let mut a = Entry::open(&Document::default());
    let (mine, next) = (plan("mine", 0), plan("next", 1));
    a.confirm(1, &mine);
    a.lose_and_read_back(&stored(&[mine, next], "ana"));
    assert_eq!(a.outcome(1), Ok(1));
    assert_eq!(a.node.generations.generation(), ids::Generation(2));
}

#[test]
fn a_plan_that_lost_to_another_is_refused() {
    let mut a = Entry::open(&Document::default());
    a.confirm(1, &plan("mine", 0));
    a.lose_and_read_back(&stored(&[plan("other", 0)], "bor"));
    assert_eq!(a.outcome(1), Err(codes::Code::PlanStale));
}

#[test]
fn the_document_in_force_is_the_one_that_is_stored() {
    let mut a = Entry::open(&Document::default());
    let mine = plan("mine", 0);
    a.confirm(1, &mine);
    // The same plan was confirmed at another entry, whose write came first.
    let found = stored(&[mine], "bor");
    a.lose_and_read_back(&found);
    assert_eq!(a.outcome(1), Ok(1));
    assert_eq!(*a.node.generations.doc, found);
}

#[test]
fn a_repeated_confirmation_is_answered_by_the_history() {
    let (mine, next) = (plan("mine", 0), plan("next", 1));
    let mut a = Entry::open(&stored(&[mine.clone(), next], "ana"));
    a.confirm(1, &mine);
    assert_eq!(a.outcome(1), Ok(1));
}

#[test]
fn an_entry_that_is_behind_says_nothing_of_a_plans_fate() {
    let mut a = Entry::open(&Document::default());
    a.confirm(1, &plan("ahead", 5));
    assert_eq!(a.outcome(1), Err(codes::Code::NotReady));
}

#[test]
fn a_stored_plan_is_evidence_of_freshness_only_as_of_its_sending() {
    let mut a = Entry::open(&Document::default());
    a.confirm(1, &plan("mine", 0));
    let (write, _) = a.take_call().expect("the plan is being written");
    // The process is frozen; meanwhile a newer plan may be stored.
    let frozen = Millis(9_000);
    a.cx.now = a.cx.now + frozen;
    a.answer(write, StoreAnswer::Written(ids::StoreIndex(2)));
    assert_eq!(a.node.generations.age(a.cx.now), frozen);
}
