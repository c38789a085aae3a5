//! Puts configurations in force and writes confirmed plans to the store.
//!
//! One entry writes one plan at a time; a repeated confirmation gets the outcome of the first.

use gaplock_policy::attempts::Execution;
use gaplock_types::{api, codes};

use super::Node;
use crate::action::{Action, ReplyId};
use crate::context::Context;
use crate::intent::{self, Confirmation};

impl Node {
    /// Returns which entries have the generation that is in force here, and which do not yet.
    pub fn config_status(&self, cx: &Context) -> api::ConfigStatus {
        let generation = self.generations.generation();
        let mut in_force = vec![self.me.entry.clone()];
        let mut waiting = Vec::new();
        for (entry, peer) in &self.members.peers {
            let has = self.members.heard(cx.now, &cx.timing, entry)
                && peer.heartbeat.as_ref().is_some_and(|b| b.generation >= generation);
            if has {
                in_force.push(entry.clone());
            } else {
                waiting.push(entry.clone());
            }
        }
        in_force.sort();
        let plan = self.generations.doc.config.plan.clone();
        api::ConfigStatus { generation, plan, in_force, waiting }
    }

    pub(super) fn put_in_force(&mut self, cx: &mut Context) {
        let checked = self.check.generation(self.generations.generation());
        if !cx.report_check(checked) {
            return;
        }
        cx.config = std::sync::Arc::new(self.generations.doc.config.clone());
        cx.actions.push(Action::InForce(cx.config.clone()));
        self.next_heartbeat = cx.now;
        self.distribute_shares(cx);
    }

    pub(super) fn confirm(&mut self, cx: &mut Context, id: ReplyId, plan: &api::Plan, by: &str) {
        let refuse = |refusal| Action::Confirmed { id, outcome: Err(refusal) };
        match self.generations.doc.plan_outcome(&plan.id, plan.base) {
            Execution::Done => {
                cx.actions.push(Action::Confirmed { id, outcome: Ok(plan.base.next()) });
                return;
            }
            Execution::NotDone => {
                cx.actions.push(refuse(intent::stale_plan()));
                return;
            }
            Execution::Unknown => {}
        }
        if let Some(c) = self.confirmation.as_mut().filter(|c| *c.plan() == plan.id) {
            c.join(id);
            return;
        }
        if let Some(refusal) = self.confirmation_refusal(plan) {
            cx.actions.push(refuse(refusal));
            return;
        }
        let alone = self.members.peers.is_empty();
        let majority = alone || self.members.hears_majority(cx.now, &cx.timing);
        if !self.store_ok(cx) || !majority {
            let why =
                "The store or most other entries are out of reach, so nothing can be accepted";
            cx.actions.push(refuse(api::Refusal::new(codes::Code::StoreDown, why)));
            return;
        }
        self.confirmation = Some(Confirmation::open(cx, id, &self.generations, plan, by));
    }

    /// Returns the refusal of a plan that cannot be confirmed here now. The caller has checked that
    /// this entry does not know the outcome of an earlier confirmation of the plan either.
    fn confirmation_refusal(&self, plan: &api::Plan) -> Option<api::Refusal> {
        let in_force = self.generations.generation();
        if plan.base > in_force {
            let why = "This entry does not have the plan's base yet";
            return Some(api::Refusal::new(codes::Code::NotReady, why));
        }
        if plan.base < in_force {
            return Some(intent::unknown_plan_outcome());
        }
        let why = "Another change is on its way to the store";
        let busy = || api::Refusal::new(codes::Code::InProgress, why);
        self.confirmation.is_some().then(busy)
    }

    pub(super) fn poll_confirmation(&mut self, cx: &mut Context) {
        let Some(confirmation) = &mut self.confirmation else { return };
        let timed_out = confirmation.poll(cx);
        for id in timed_out {
            let why = "The store did not confirm the change in time; confirm the same plan again";
            let refusal = api::Refusal::new(codes::Code::OutcomeUnknown, why);
            cx.actions.push(Action::Confirmed { id, outcome: Err(refusal) });
        }
    }

    pub(super) fn handle_confirmation_outcome(
        &mut self,
        cx: &mut Context,
        outcome: intent::ConfirmationStatus,
    ) {
        let outcome = match outcome {
            intent::ConfirmationStatus::Open => return,
            intent::ConfirmationStatus::Stored(sent_at, doc, index) => {
                // The answer may be late, so it proves only what was newest when the call was sent.
                if self.generations.apply_stored(sent_at, Some((*doc, index))) {
                    self.put_in_force(cx);
                }
                Ok(())
            }
            intent::ConfirmationStatus::Conflict => Err(intent::stale_plan()),
            intent::ConfirmationStatus::Unknown => Err(intent::unknown_plan_outcome()),
        };
        let Some(mut confirmation) = self.confirmation.take() else { return };
        let outcome = outcome.map(|()| confirmation.generation());
        for id in confirmation.take_waiting() {
            cx.actions.push(Action::Confirmed { id, outcome: outcome.clone() });
        }
    }
}
