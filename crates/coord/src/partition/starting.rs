//! Sends the start commands of committed assignments, and repeats them until the workers have
//! accepted or refused them.

use gaplock_chart::charts::{task, upstream};
use gaplock_types::{ids, time, wire};
use gaplock_verify::Fact;

use super::Partition;
use crate::action::{Action, WorkerAnswer, WorkerCall};
use crate::context::Context;

/// Time from a start command's answer or failure to its repetition.
const START_RETRY: time::Millis = time::Millis(250);

impl Partition {
    /// Sends start commands for committed assignments whose runs are not known to have started.
    pub(super) fn send_starts(&mut self, cx: &mut Context) {
        if !self.may_renew(cx) || !self.journal.owns() {
            return;
        }
        let workers: Vec<ids::WorkerId> = self.state.workers().cloned().collect();
        for worker in workers {
            let tasks: Vec<ids::TaskId> = self.state.on_worker(&worker).collect();
            for id in tasks {
                self.send_start(cx, &worker, id);
            }
        }
    }

    fn send_start(&mut self, cx: &mut Context, worker: &ids::WorkerId, id: ids::TaskId) {
        let Some(t) = self.journal.committed.task(id) else { return };
        let Some(place) = &t.place else { return };
        let run = wire::Run { task: id, attempt: t.attempt };
        // A pending record may already have ended this attempt.
        let pending = self.state.task(id).map(|t| t.attempt);
        if t.is != task::State::Assigned || place.worker != *worker || pending != Some(t.attempt) {
            return;
        }
        let Some(job) = self.journal.committed.jobs.get(&id.job.number) else { return };
        let Some(link) = self.links.get_mut(worker) else { return };
        let (Some((seen, _)), true) = (link.clock_reading, link.heard) else { return };
        let (leaving, boot) = (link.is == upstream::State::Leaving, link.boot);
        let Some(view) = link.runs.get_mut(&run) else { return };
        let may_send = !view.started && !view.in_flight && view.refused.is_none();
        if !may_send || boot != Some(place.boot) || cx.now < view.retry_at {
            return;
        }
        let leaving_and_new = leaving && view.valid_until == time::Instant(0);
        if leaving_and_new {
            view.refused = Some(wire::CommandOutcome::Leaving);
            return;
        }
        let epoch = self.journal.epoch();
        let fact = Fact::StartSent { run, worker, epoch, leaving_and_new };
        let checked = self.verifier.check(&fact);
        if !cx.report_check(checked) {
            return;
        }
        view.in_flight = true;
        link.extend_alive_until(cx);
        let valid_until = link.alive_until;
        if let Some(view) = link.runs.get_mut(&run) {
            view.valid_until = valid_until;
        }
        let ttl_ms = cx.timing.task_ttl.0;
        let (boot, kind, demand) = (place.boot, job.kind.clone(), place.reserve);
        let (work_ms, resume_ms) = (job.work_ms, t.checkpoint_ms);
        let start =
            wire::StartRequest { epoch, boot, seen, ttl_ms, run, kind, demand, work_ms, resume_ms };
        cx.actions.push(Action::Worker {
            partition: self.id,
            worker: worker.clone(),
            addr: link.host.addr.clone(),
            req: WorkerCall::Start(start),
        });
    }

    /// Handles a worker's answer to a start command, or the failure of the call.
    pub(super) fn start_answered(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        start: &wire::StartRequest,
        answer: &WorkerAnswer,
    ) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(view) = link.runs.get_mut(&start.run) else { return };
        view.in_flight = false;
        view.retry_at = cx.now + START_RETRY;
        let WorkerAnswer::CommandOutcome(verdict) = answer else { return };
        match verdict {
            wire::CommandOutcome::Done => view.mark_started(cx.now),
            wire::CommandOutcome::StaleEpoch => self.fence(cx),
            wire::CommandOutcome::TooLate | wire::CommandOutcome::UnknownRun => {}
            wire::CommandOutcome::OtherBoot => link.next_lease = cx.now,
            wire::CommandOutcome::NoRoom
            | wire::CommandOutcome::Leaving
            | wire::CommandOutcome::Failed => {
                view.refused = Some(*verdict);
                if *verdict == wire::CommandOutcome::Leaving {
                    self.worker_refused(cx, worker, *verdict);
                }
            }
        }
    }
}
