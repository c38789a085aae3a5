//! Renews the leases of a partition's workers for as long as a successor reckons with it.

use gaplock_chart::table::upstream;
use gaplock_types::ids;

use super::Partition;
use crate::action::{Action, WorkerAnswer, WorkerCall};
use crate::context::Context;
use crate::link::Link;

impl Partition {
    /// Tells whether this owner may still renew leases and start work: its ownership was confirmed
    /// not too long ago, so that a successor can reckon when its renewals have ended.
    pub(super) fn may_renew(&self, cx: &Context) -> bool {
        let release_may_stand = self
            .journal
            .release_sent_at()
            .is_some_and(|at| cx.now.since(at) >= cx.timing.release_right());
        !release_may_stand && cx.now.since(self.journal.confirmed_at) < cx.timing.renew_right
    }

    /// Takes in only what further renewals need; nothing is recorded any more.
    pub(super) fn answered_while_draining(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        answer: &WorkerAnswer,
    ) {
        let WorkerAnswer::Lease(reply) = answer else { return };
        if reply.epoch > self.journal.epoch() {
            self.fence(cx);
        } else if let Some(link) = self.links.get_mut(worker) {
            link.answered(cx, reply);
        }
    }

    pub(super) fn renew_leases(&mut self, cx: &mut Context) {
        if !self.may_renew(cx) {
            self.links.values_mut().for_each(Link::pause);
            return;
        }
        let epoch = self.journal.epoch();
        for (worker, link) in &mut self.links {
            if link.is == upstream::Is::Gone || !link.lease_due(cx) {
                continue;
            }
            let req = link.ask(cx, self.id, epoch, &self.me);
            cx.actions.push(Action::Worker {
                partition: self.id,
                worker: worker.clone(),
                addr: link.host.addr.clone(),
                req: WorkerCall::Lease(req),
            });
        }
    }
}
