//! Reconciles the assignments in the journal with the runs that workers report.
//!
//! A task is taken off its worker only on proof that its run has stopped. The proof is either a
//! report of the worker under this epoch, or the certain expiry of every lease that could keep the
//! run alive.

use gaplock_chart::charts::upstream;
use gaplock_policy::health;
use gaplock_types::{ids, time, wire};
use gaplock_verify::Fact;

use super::Partition;
use crate::action::{Action, WorkerCall};
use crate::context::Context;
use crate::link::{Link, RunView};
use crate::records::Record;

/// Time from a stop command to its repetition, if the run is still reported as running.
const STOP_RETRY: time::Millis = time::Millis(1_000);

/// A task ends as failed when this many workers in a row reboot soon after starting it. The third
/// crash may still be chance, or caused by another task on the worker.
const MAX_CRASHES: u32 = 4;

/// A reboot of the worker counts as a crash of the task only if the run has done less work than
/// this, which is longer than anything that goes wrong at a start.
const CRASH_WINDOW_WORK_MS: u64 = 30_000;

/// The outcome of a run that is proven to have stopped.
pub(super) struct StoppedRun {
    pub(super) checkpoint_ms: u64,
    pub(super) failed: bool,
    /// Whether the worker rebooted soon after the run's start.
    pub(super) crashed: bool,
    pub(super) why: String,
}

impl Partition {
    /// Handles a worker's answer to a lease request.
    pub(super) fn lease_answered(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        sent_at: time::Instant,
        reply: &wire::LeaseReply,
    ) {
        let epoch = self.journal.epoch();
        if reply.epoch > epoch {
            self.fence(cx);
            return;
        }
        let Some(link) = self.links.get_mut(worker) else { return };
        let rebooted = link.answered(cx, reply);
        if rebooted && self.state.dead.contains(worker) {
            let record = Record::WorkerBack { worker: worker.clone() };
            self.record(cx, record, None);
        }
        cx.actions.push(Action::BusySlots {
            worker: worker.clone(),
            busy: reply.slots_busy,
            asked_at: sent_at,
        });
        self.add_missing_run_views(worker);
        for report in &reply.runs {
            self.handle_run_report(cx, worker, report);
        }
        self.handle_unreported_runs(cx, worker, sent_at, reply);
        self.handle_usage(cx, worker, reply);
        self.send_starts(cx);
    }

    /// Creates the missing [`RunView`]s of tasks that are assigned to the worker.
    fn add_missing_run_views(&mut self, worker: &ids::WorkerId) {
        let Some(link) = self.links.get_mut(worker) else { return };
        for id in self.state.on_worker(worker) {
            let Some(t) = self.state.task(id) else { continue };
            let run = wire::Run { task: id, attempt: t.attempt };
            link.runs.entry(run).or_insert_with(|| RunView {
                checkpoint_ms: t.checkpoint_ms,
                speed: gaplock_policy::guard::FULL_SPEED_PER_MILLE,
                ..RunView::default()
            });
        }
    }

    fn handle_run_report(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        report: &wire::RunReport,
    ) {
        let run = report.run;
        if !self.assigned_here(run, worker) {
            self.handle_orphaned_run(cx, worker, report);
            return;
        }
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(view) = link.runs.get_mut(&run) else { return };
        view.mark_started(cx.now);
        view.refused = None;
        view.progress_ms = report.progress_ms;
        view.checkpoint_ms = view.checkpoint_ms.max(report.checkpoint_ms);
        let why = view.evicting.clone();
        match report.state {
            wire::RunState::Running => self.stop_unwanted(cx, worker, run),
            wire::RunState::Done => self.finish(cx, worker, run),
            wire::RunState::Failed => {
                let why = format!("it failed on {worker}");
                let checkpoint_ms = report.checkpoint_ms;
                self.handle_stopped(
                    cx,
                    worker,
                    run,
                    StoppedRun { checkpoint_ms, failed: true, crashed: false, why },
                );
            }
            wire::RunState::Stopped => {
                let why = why.unwrap_or_else(|| format!("its lease on {worker} lapsed"));
                let checkpoint_ms = report.checkpoint_ms;
                self.handle_stopped(
                    cx,
                    worker,
                    run,
                    StoppedRun { checkpoint_ms, failed: false, crashed: false, why },
                );
            }
        }
    }

    fn assigned_here(&self, run: wire::Run, worker: &ids::WorkerId) -> bool {
        self.state.task(run.task).is_some_and(|t| {
            t.attempt == run.attempt && t.place.as_ref().is_some_and(|p| p.worker == *worker)
        })
    }

    /// Handles a reported run that the journal does not assign to this worker. An ended run is
    /// acknowledged once its end is committed; a running one is stopped.
    fn handle_orphaned_run(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        report: &wire::RunReport,
    ) {
        let run = report.run;
        let committed = self.journal.committed.task(run.task);
        let end_committed =
            !committed.is_some_and(|t| t.attempt == run.attempt && t.place.is_some());
        let Some(link) = self.links.get_mut(worker) else { return };
        let may_start = link.runs.get(&run).is_some_and(|v| cx.now < v.valid_until);
        if report.state != wire::RunState::Running {
            if end_committed && !may_start {
                link.acks.push(run);
                link.runs.remove(&run);
            }
            return;
        }
        let boot = link.boot.unwrap_or_default();
        let view = link.runs.entry(run).or_default();
        if cx.now < view.stop_again_at {
            return;
        }
        view.stop_again_at = cx.now + STOP_RETRY;
        self.control(cx, worker, boot, run, wire::Control::Stop);
    }

    fn stop_unwanted(&mut self, cx: &mut Context, worker: &ids::WorkerId, run: wire::Run) {
        let unwanted = self.state.task(run.task).is_some_and(|t| t.unwanted);
        let committed_unwanted = self.journal.committed.task(run.task).is_some_and(|t| t.unwanted);
        let Some(link) = self.links.get_mut(worker) else { return };
        let boot = link.boot.unwrap_or_default();
        let Some(view) = link.runs.get_mut(&run) else { return };
        let evicting = view.evicting.is_some();
        if cx.now < view.stop_again_at || !(evicting || (unwanted && committed_unwanted)) {
            return;
        }
        view.stop_again_at = cx.now + STOP_RETRY;
        let control = if unwanted { wire::Control::Stop } else { wire::Control::CheckpointAndStop };
        self.control(cx, worker, boot, run, control);
    }

    /// Sends a control command for a run to its worker.
    pub(super) fn control(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        boot: wire::Boot,
        run: wire::Run,
        control: wire::Control,
    ) {
        let Some(link) = self.links.get(worker) else { return };
        let epoch = self.journal.epoch();
        cx.actions.push(Action::Worker {
            partition: self.id,
            worker: worker.clone(),
            addr: link.host.addr.clone(),
            req: WorkerCall::Control(wire::ControlRequest { epoch, boot, run, control }),
        });
    }

    /// Handles a worker's answer to a control command.
    pub(super) fn control_answered(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        control: &wire::ControlRequest,
        outcome: wire::CommandOutcome,
    ) {
        if outcome == wire::CommandOutcome::StaleEpoch {
            self.fence(cx);
            return;
        }
        let done = outcome == wire::CommandOutcome::Done;
        if let (true, Some(link)) = (done, self.links.get_mut(worker)) {
            // The report of the stopped run frees its reservation, so it is requested at once.
            if !matches!(control.control, wire::Control::Throttle(_)) {
                link.next_lease = cx.now;
            }
        }
        let view = self.links.get_mut(worker).and_then(|l| l.runs.get_mut(&control.run));
        if let (true, wire::Control::Throttle(speed), Some(view)) = (done, control.control, view) {
            view.speed = speed;
        }
    }

    fn finish(&mut self, cx: &mut Context, worker: &ids::WorkerId, run: wire::Run) {
        let checked = self.verifier.check(&Fact::Ended(run));
        if !cx.report_check(checked) {
            return;
        }
        self.health.record_success(worker, run.task.job);
        self.append_history(cx, run.task.job, format!("{} finished on {worker}", run.task));
        self.record(cx, Record::Finish { run }, None);
    }

    /// Requeues, fails or cancels the task of a run that is proven to have stopped.
    pub(super) fn handle_stopped(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        run: wire::Run,
        stopped: StoppedRun,
    ) {
        let Some(t) = self.state.task(run.task) else { return };
        let (unwanted, last_checkpoint_ms, crashes) = (t.unwanted, t.checkpoint_ms, t.crashes);
        if unwanted {
            let checked = self.verifier.check(&Fact::Ended(run));
            if cx.report_check(checked) {
                self.record(cx, Record::Cancelled { run }, None);
            }
            return;
        }
        let mut action = health::FailureAction::None;
        if stopped.failed {
            action = self.health.record_failure(cx.now, worker, run.task.job);
        }
        if action == health::FailureAction::Quarantine {
            if let Some(link) = self.links.get_mut(worker) {
                link.step(cx, upstream::Event::Bad, "it fails what it starts");
            }
        }
        if action == health::FailureAction::FailJob {
            return self.fail_task(
                cx,
                run,
                format!("it failed on {} workers", health::JOB_FAILED_WORKER_LIMIT),
            );
        }
        if stopped.crashed && crashes + 1 >= MAX_CRASHES {
            return self.fail_task(cx, run, format!("{MAX_CRASHES} workers booted anew under it"));
        }
        let checkpoint_ms = stopped.checkpoint_ms.max(last_checkpoint_ms);
        let checked = self.verifier.check(&Fact::Requeued { run, checkpoint_ms });
        if !cx.report_check(checked) {
            return;
        }
        let view = self.links.get(worker).and_then(|l| l.runs.get(&run));
        let evicted = view.is_some_and(|v| v.evicting.is_some());
        self.append_history(cx, run.task.job, format!("{} waits again: {}", run.task, stopped.why));
        let StoppedRun { failed, crashed, why, .. } = stopped;
        let record = Record::Requeue { run, checkpoint_ms, evicted, failed, crashed, why };
        self.record(cx, record, None);
    }

    /// Ends the task of a run that is proven to have stopped as failed.
    fn fail_task(&mut self, cx: &mut Context, run: wire::Run, why: String) {
        let checked = self.verifier.check(&Fact::Ended(run));
        if cx.report_check(checked) {
            self.append_history(cx, run.task.job, format!("{} given up: {why}", run.task));
            self.record(cx, Record::GiveUp { task: run.task, why }, None);
        }
    }

    /// Handles the runs that are missing from a worker's report. The task of a run that the worker
    /// has refused or lost is requeued. The view of a run that is not assigned here any more is
    /// removed once no start command for it can take effect.
    fn handle_unreported_runs(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        sent_at: time::Instant,
        reply: &wire::LeaseReply,
    ) {
        let Some(link) = self.links.get(worker) else { return };
        let missing: Vec<(wire::Run, RunView)> = link
            .runs
            .iter()
            .filter(|(run, _)| !reply.runs.iter().any(|r| r.run == **run))
            .map(|(run, view)| (*run, view.clone()))
            .collect();
        for (run, view) in missing {
            if !self.assigned_here(run, worker) {
                let removable = cx.now >= view.valid_until && !view.in_flight;
                let link = self.links.get_mut(worker);
                if let (true, Some(link)) = (removable, link) {
                    link.runs.remove(&run);
                }
                continue;
            }
            if self.assigned_to_other_boot(run, reply.boot) {
                continue;
            }
            let checkpoint_ms = view.checkpoint_ms;
            let finally_refused =
                view.refused.is_some() && sent_at >= view.valid_until && !view.in_flight;
            if finally_refused {
                let why = format!("{worker} refused it: {:?}", view.refused);
                let failed = view.refused == Some(wire::CommandOutcome::Failed);
                self.handle_stopped(
                    cx,
                    worker,
                    run,
                    StoppedRun { checkpoint_ms, failed, crashed: false, why },
                );
            } else if view.started && sent_at >= view.started_at {
                let why = format!("{worker} does not know it any more");
                self.handle_stopped(
                    cx,
                    worker,
                    run,
                    StoppedRun { checkpoint_ms, failed: false, crashed: false, why },
                );
            }
        }
    }

    fn assigned_to_other_boot(&self, run: wire::Run, boot: wire::Boot) -> bool {
        self.state.task(run.task).and_then(|t| t.place.as_ref()).is_some_and(|p| p.boot != boot)
    }

    /// Requeues the tasks of workers that have rebooted or cannot be reached, once every lease that
    /// could keep their runs alive has certainly expired. Also evicts from leaving workers and ends
    /// quarantines that are over.
    pub(super) fn reconcile(&mut self, cx: &mut Context) {
        let workers: Vec<ids::WorkerId> = self.state.workers().cloned().collect();
        for worker in workers {
            self.add_missing_run_views(&worker);
            let tasks: Vec<ids::TaskId> = self.state.on_worker(&worker).collect();
            for id in tasks {
                self.reconcile_task(cx, &worker, id);
            }
        }
        self.evict_from_leaving_workers(cx);
        for link in self.links.values_mut() {
            let probation = link.is == upstream::State::Quarantined
                && self.health.end_quarantine_if_due(cx.now, &link.host.worker);
            if probation {
                link.step(cx, upstream::Event::Probation, "its quarantine has ended");
            }
        }
    }

    /// Evicts batch tasks from workers that are leaving. Service replicas run on until a replica on
    /// another worker has taken over.
    fn evict_from_leaving_workers(&mut self, cx: &mut Context) {
        let leaving = self.links.iter().filter(|(_, l)| l.is == upstream::State::Leaving);
        let mut evictions = Vec::new();
        for (worker, link) in leaving {
            let runs = link.runs.iter().filter(|(_, v)| v.started && v.evicting.is_none());
            let batch = runs.filter(|(run, _)| {
                let job = self.state.jobs.get(&run.task.job.number);
                self.assigned_here(**run, worker)
                    && job.is_some_and(|j| matches!(j.kind, wire::TaskKind::Batch(_)))
            });
            evictions.extend(batch.map(|(run, _)| (worker.clone(), *run)));
        }
        for (worker, run) in evictions {
            self.evict(cx, &worker, run, format!("{worker} is leaving"));
        }
    }

    fn reconcile_task(&mut self, cx: &mut Context, worker: &ids::WorkerId, id: ids::TaskId) {
        let Some(t) = self.state.task(id) else { return };
        let Some(place) = t.place.clone() else { return };
        let run = wire::Run { task: id, attempt: t.attempt };
        let mut checkpoint_ms = t.checkpoint_ms;
        let link = self.links.get(worker);
        let ended_at = self.runs_ended_at(cx, worker, link, place.boot);
        if cx.now < ended_at {
            return;
        }
        if let Some(view) = link.and_then(|l| l.runs.get(&run)) {
            checkpoint_ms = checkpoint_ms.max(view.checkpoint_ms);
        }
        let crashed = link.is_some_and(|l| crashed_after_start(l, run, place.boot));
        let why = format!("{worker} is gone and its leases have ended");
        self.handle_stopped(
            cx,
            worker,
            run,
            StoppedRun { checkpoint_ms, failed: false, crashed, why },
        );
    }

    /// Returns the time from which no run of `boot` on `worker` can be alive.
    fn runs_ended_at(
        &self,
        cx: &Context,
        worker: &ids::WorkerId,
        link: Option<&Link>,
        boot: wire::Boot,
    ) -> time::Instant {
        if self.state.dead.contains(worker) {
            return cx.now;
        }
        let ttl = cx.with_drift_margin(cx.timing.task_ttl);
        let previous_owner_leases_end = self.claimed_at + self.previous_owner_grace + ttl;
        // A worker that is still in the host list may just be partitioned from the network, with
        // finished work still to report.
        let listed = |link: &Link, leases_end: time::Instant| match (link.is, link.unanswered_since)
        {
            (upstream::State::Gone, _) => leases_end,
            (_, Some(since)) => leases_end.max(since + cx.timing.silent_limit),
            (_, None) => time::Instant(u64::MAX),
        };
        match link {
            None => previous_owner_leases_end,
            // No lease of that boot was renewed after another boot was seen; `alive_until` also
            // covers renewals of the new boot.
            Some(link) if link.boot.is_some_and(|b| b != boot) => link.boot_since + ttl,
            Some(link) if link.heard => listed(link, link.alive_until),
            Some(link) => listed(link, previous_owner_leases_end),
        }
    }
}

/// Returns whether a worker rebooted soon after its previous boot may have started a run. A leaving
/// worker's shutdown was announced and does not count.
fn crashed_after_start(link: &Link, run: wire::Run, boot: wire::Boot) -> bool {
    let rebooted = link.boot.is_some_and(|b| b != boot) && link.is != upstream::State::Leaving;
    let may_have_started = |v: &RunView| v.started || v.valid_until > time::Instant::default();
    let soon = |v: &RunView| may_have_started(v) && v.progress_ms < CRASH_WINDOW_WORK_MS;
    rebooted && link.runs.get(&run).is_some_and(soon)
}
