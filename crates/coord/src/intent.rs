//! Writes one confirmed plan to the store.
//!
//! The write is a compare-and-swap against the modification index at which the plan's base was
//! read. If the answer is lost, the document is read back: it and its history name the plan that
//! created each generation. Another entry may have confirmed the same plan, and a newer plan may
//! build on it, so the document that was read is adopted, and never the writer's own.

use gaplock_chart::charts::intent;
use gaplock_policy::attempts::Execution;
use gaplock_types::{api, codes, ids, time};

use crate::action::{CallId, ReplyId, StoreAnswer, StoreCall};
use crate::context::Context;
use crate::generation::{Document, Generations};
use crate::keys;

/// How long to wait before a write without a clear answer is read back.
const RETRY_EVERY: time::Millis = time::Millis(300);

/// One confirmation in progress.
#[derive(Debug)]
pub struct Confirmation {
    is: intent::State,
    waiting: Vec<ReplyId>,
    base: ids::Generation,
    doc: Document,
    index: ids::StoreIndex,
    /// The unanswered store call, and when it was sent.
    call: Option<(CallId, time::Instant)>,
    read_back_at: Option<time::Instant>,
    since: time::Instant,
}

/// Whether and how a confirmation ended.
#[derive(Debug)]
pub enum ConfirmationStatus {
    /// It is still in progress.
    Open,
    /// The plan is stored. The fields are when the call was sent, the document that the store then
    /// held, and its modification index.
    Stored(time::Instant, Box<Document>, ids::StoreIndex),
    /// Another change was stored first; the caller must make a new plan.
    Conflict,
    /// The history does not reach back to the plan, so its outcome is unknown.
    Unknown,
}

impl Confirmation {
    /// Sends the write of `plan`, made by `by`, against the document in force.
    pub fn open(
        cx: &mut Context,
        id: ReplyId,
        generations: &Generations,
        plan: &api::Plan,
        by: &str,
    ) -> Self {
        let doc = Document::from_plan(&generations.doc, plan, by, cx.unix_ms);
        let is =
            intent::State::Planned.step(intent::Event::Confirm).unwrap_or(intent::State::Refused);
        let mut confirmation = Self {
            is,
            waiting: vec![id],
            base: plan.base,
            doc,
            index: generations.index,
            call: None,
            read_back_at: None,
            since: cx.now,
        };
        confirmation.write(cx);
        confirmation
    }

    /// Returns the plan that is being confirmed.
    pub fn plan(&self) -> &ids::PlanId {
        &self.doc.config.plan
    }

    /// Returns the generation that the plan creates.
    pub fn generation(&self) -> ids::Generation {
        self.doc.config.generation
    }

    /// Adds a repeated request for the same confirmation; it gets the same answer.
    pub fn join(&mut self, id: ReplyId) {
        self.waiting.push(id);
    }

    /// Removes and returns all requests that wait for the answer.
    pub fn take_waiting(&mut self) -> Vec<ReplyId> {
        std::mem::take(&mut self.waiting)
    }

    fn write(&mut self, cx: &mut Context) {
        let value = serde_json::to_vec(&self.doc).expect("a document always serialises to JSON");
        let key = keys::CONFIG.to_string();
        self.call = Some((cx.call(StoreCall::Cas { key, value, index: self.index }), cx.now));
    }

    /// Reads the document back if that is due. Once the commit timeout has passed, removes and
    /// returns all waiting requests, which the caller must answer.
    pub fn poll(&mut self, cx: &mut Context) -> Vec<ReplyId> {
        if self.read_back_at.is_some_and(|at| cx.now >= at) {
            self.read_back_at = None;
            self.call = Some((cx.call(StoreCall::Get { key: keys::CONFIG.to_string() }), cx.now));
        }
        if cx.now.since(self.since) >= cx.timing.commit_timeout {
            return self.take_waiting();
        }
        Vec::new()
    }

    /// Handles the answer to a store call, if the call was made by this confirmation.
    pub fn answered(
        &mut self,
        cx: &mut Context,
        call: CallId,
        answer: &StoreAnswer,
    ) -> ConfirmationStatus {
        let Some((_, sent_at)) = self.call.take_if(|(c, _)| *c == call) else {
            return ConfirmationStatus::Open;
        };
        match answer {
            StoreAnswer::Written(index) => self.stored(sent_at, self.doc.clone(), *index),
            StoreAnswer::Conflict => self.schedule_read_back(cx, time::Millis(0)),
            StoreAnswer::Unclear => self.schedule_read_back(cx, RETRY_EVERY),
            StoreAnswer::Read(kvs) => {
                let found = kvs.first().and_then(|kv| {
                    let doc: Document = serde_json::from_slice(&kv.value).ok()?;
                    Some((doc, kv.index))
                });
                self.found(cx, sent_at, found)
            }
        }
    }

    fn found(
        &mut self,
        cx: &mut Context,
        sent_at: time::Instant,
        found: Option<(Document, ids::StoreIndex)>,
    ) -> ConfirmationStatus {
        match found {
            Some((doc, index)) if doc.config.generation >= self.generation() => {
                match doc.plan_outcome(self.plan(), self.base) {
                    Execution::Done => self.stored(sent_at, doc, index),
                    Execution::NotDone => self.conflict(),
                    Execution::Unknown => ConfirmationStatus::Unknown,
                }
            }
            found => {
                // The base may have come from a peer, without its modification index in the store.
                self.index = found.map_or(ids::StoreIndex(0), |(_, index)| index);
                self.write(cx);
                ConfirmationStatus::Open
            }
        }
    }

    fn schedule_read_back(&mut self, cx: &mut Context, wait: time::Millis) -> ConfirmationStatus {
        self.read_back_at = Some(cx.now + wait);
        let timed_out = self.poll(cx);
        self.waiting.extend(timed_out);
        ConfirmationStatus::Open
    }

    fn stored(
        &mut self,
        sent_at: time::Instant,
        doc: Document,
        index: ids::StoreIndex,
    ) -> ConfirmationStatus {
        self.is = self.is.step(intent::Event::Stored).unwrap_or(self.is);
        ConfirmationStatus::Stored(sent_at, Box::new(doc), index)
    }

    fn conflict(&mut self) -> ConfirmationStatus {
        self.is = self.is.step(intent::Event::Conflict).unwrap_or(self.is);
        ConfirmationStatus::Conflict
    }
}

/// Builds the refusal of a plan whose base is no longer in force.
pub fn stale_plan() -> api::Refusal {
    api::Refusal::new(codes::Code::PlanStale, "Another change was accepted first")
}

/// Builds the refusal of a plan whose outcome is no longer in the history.
pub fn unknown_plan_outcome() -> api::Refusal {
    let why = "The history does not reach back to this plan";
    api::Refusal::new(codes::Code::OutcomeUnknown, why)
}
