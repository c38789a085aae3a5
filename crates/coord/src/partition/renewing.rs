//! Renews the leases of a partition's workers, and stops before a successor may assume that the
//! renewals have ended.

use gaplock_chart::charts::upstream;
use gaplock_types::ids;

use super::Partition;
use crate::action::{Action, WorkerAnswer, WorkerCall};
use crate::context::Context;
use crate::link::Link;

impl Partition {
    /// Returns whether this owner may still renew leases and start work. Its ownership must have
    /// been confirmed recently, and its release must not have been sent too long ago. These limits
    /// let a successor calculate when the renewals have ended.
    pub(super) fn may_renew(&self, cx: &Context) -> bool {
        let release_limit_passed = self
            .journal
            .release_sent_at()
            .is_some_and(|at| cx.now.since(at) >= cx.timing.release_renew_limit());
        !release_limit_passed
            && cx.now.since(self.journal.ownership_confirmed_at) < cx.timing.renew_limit
    }

    /// Handles a worker's answer while the release is in flight. Updates only what further renewals
    /// need; no more records are written.
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

    /// Sends the lease requests that are due.
    pub(super) fn renew_leases(&mut self, cx: &mut Context) {
        if !self.may_renew(cx) {
            self.links.values_mut().for_each(Link::reset_silence);
            return;
        }
        let epoch = self.journal.epoch();
        for (worker, link) in &mut self.links {
            if link.is == upstream::State::Gone || !link.lease_due(cx) {
                continue;
            }
            let req = link.lease_request(cx, self.id, epoch, &self.me);
            cx.actions.push(Action::Worker {
                partition: self.id,
                worker: worker.clone(),
                addr: link.host.addr.clone(),
                req: WorkerCall::Lease(req),
            });
        }
    }
}
