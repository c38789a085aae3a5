//! Lends waiting tasks to partitions with free capacity, and runs tasks that others lend.
//!
//! A job is stored in the partition that its key hashes to. That partition may have no worker, or
//! none with enough free capacity. Its owner then lends single tasks: it records the loan as an
//! assignment in its own journal, and the borrowing partition stores the task as a job of its own
//! under a key that names the run. The only command, [`api::Command::Borrow`], is idempotent: it
//! stores the task once and afterwards only reports the task's state. Neither a lost message nor a
//! new owner on either side can therefore run the task twice.

use gaplock_chart::charts::task;
use gaplock_types::{api, ids, sizes, time, wire};
use gaplock_verify::Fact;

use super::Partition;
use crate::action::{Action, ReplyId};
use crate::context::Context;
use crate::journal::AfterCommit;
use crate::records::Record;
use crate::state::{self, Job};

/// A task may be lent after it has waited this long; at once if the partition has no usable worker.
const LEND_AFTER_MS: u64 = 2_000;
/// Further loans are left to later ticks.
const MAX_LOANS_PER_TICK: usize = 8;
/// Time from the answer about a loan to the next request.
const LOAN_POLL_INTERVAL: time::Millis = time::Millis(1_000);
/// A request about a loan that gets no answer is repeated after this time.
const LOAN_POLL_TIMEOUT: time::Millis = time::Millis(5_000);
/// A lent task is recalled after it has waited this long in the borrowing partition.
const RECALL_AFTER: time::Millis = time::Millis(10_000);
/// A lent task that has failed this many times, here or elsewhere, ends as failed.
const MAX_LENT_TASK_FAILURES: u32 = 3;
/// The prefix of a borrowed job's key.
const LOAN_KEY_PREFIX: &str = "lent";

/// When the owner next asks about one loan, and what the answers have shown.
#[derive(Debug, Clone, Default)]
pub(super) struct LoanPoll {
    next_poll: time::Instant,
    /// Since when the task has waited in the borrowing partition without starting.
    waiting_since: Option<time::Instant>,
}

impl Job {
    /// Returns whether another partition lent this job's task.
    pub fn is_borrowed(&self) -> bool {
        self.key.as_str().starts_with(LOAN_KEY_PREFIX)
    }
}

/// Returns the key under which a lent run is stored in the borrowing partition.
pub fn loan_key(run: wire::Run) -> ids::RequestKey {
    ids::RequestKey(format!("{LOAN_KEY_PREFIX}:{}:{}", run.task, run.attempt))
}

impl Partition {
    /// Returns the largest free capacity of one worker. Returns `None` if tasks of this partition
    /// wait, or if this entry does not own it.
    pub fn lendable_capacity(&self) -> Option<sizes::Resources> {
        if !self.owns() || self.state.waiting_partners().next().is_some() {
            return None;
        }
        let usable = self.links.iter().filter(|(_, l)| l.usable());
        usable
            .map(|(worker, l)| l.host.capacity.minus(&self.state.reserved(worker)))
            .max_by_key(|free| free.cpu)
    }

    /// Lends tasks that have waited for [`LEND_AFTER_MS`] to partitions with free capacity.
    pub(super) fn lend(&mut self, cx: &mut Context) {
        let usable = self.links.values().any(|l| l.usable());
        let partners: Vec<ids::PartnerId> = self.state.waiting_partners().cloned().collect();
        let mut loans = 0;
        for partner in partners {
            let waiting: Vec<ids::TaskId> = self.state.waiting(&partner).take(64).collect();
            for id in waiting {
                let Some(job) = self.state.jobs.get(&id.job.number) else { continue };
                let waits_for_worker = usable && cx.unix_ms < job.at_unix_ms + LEND_AFTER_MS;
                let batch = matches!(job.kind, wire::TaskKind::Batch(_));
                if waits_for_worker || !batch || job.is_borrowed() || loans >= MAX_LOANS_PER_TICK {
                    continue;
                }
                let demand = job.demand;
                let to =
                    cx.free_capacity.iter().find(|(p, free)| **p != self.id && free.holds(&demand));
                let Some((to, _)) = to.map(|(p, free)| (*p, *free)) else { continue };
                if let Some(free) = cx.free_capacity.get_mut(&to) {
                    *free = free.minus(&demand);
                }
                loans += 1;
                self.lend_task(cx, id, to, demand);
            }
        }
    }

    fn lend_task(
        &mut self,
        cx: &mut Context,
        id: ids::TaskId,
        to: ids::PartitionId,
        reserve: sizes::Resources,
    ) {
        let Some(t) = self.state.task(id) else { return };
        let run = wire::Run { task: id, attempt: t.attempt.next() };
        let resume_ms = t.checkpoint_ms;
        let worker = ids::WorkerId(to.to_string());
        let fact =
            Fact::Assigned { run, worker: &worker, demand: reserve, capacity: None, resume_ms };
        let checked = self.verifier.check(&fact);
        if !cx.report_check(checked) {
            return;
        }
        cx.log_decision("lend", id.to_string(), format!("{to} has room"));
        self.append_history(cx, id.job, format!("{id} is lent to {to}, which has room"));
        self.record(cx, Record::Lend { run, to, reserve }, None);
    }

    /// Asks the borrowing partitions for the state of committed loans. The first request submits
    /// the task there.
    pub(super) fn poll_loans(&mut self, cx: &mut Context) {
        let lent: Vec<ids::TaskId> = self.state.lent().collect();
        self.loans.retain(|run, _| lent.contains(&run.task));
        for id in lent {
            let (Some(t), Some(pending)) = (self.journal.committed.task(id), self.state.task(id))
            else {
                continue;
            };
            let to = t.place.as_ref().and_then(|p| p.lent);
            let (Some(to), true) = (to, t.attempt == pending.attempt) else { continue };
            let run = wire::Run { task: id, attempt: t.attempt };
            let (resume_ms, unwanted) = (t.checkpoint_ms, t.unwanted);
            let Some(job) = self.journal.committed.jobs.get(&id.job.number) else { continue };
            let loan = self.loans.entry(run).or_default();
            if cx.now < loan.next_poll {
                continue;
            }
            loan.next_poll = cx.now + LOAN_POLL_TIMEOUT;
            let waits_long = |since: time::Instant| cx.now.since(since) >= RECALL_AFTER;
            let stop = unwanted || loan.waiting_since.is_some_and(waits_long);
            let wanted = api::Loan {
                run,
                kind: job.kind.clone(),
                partner: job.partner.clone(),
                demand: job.demand,
                work_ms: job.work_ms,
                resume_ms,
                urgent: job.urgent,
                stop,
            };
            let command = api::Command::Borrow(wanted);
            cx.actions.push(Action::ForwardCommand { from: self.id, to, run, command });
        }
    }

    /// Handles the borrowing partition's answer about a loan.
    pub fn handle_loan_report(&mut self, cx: &mut Context, run: wire::Run, reply: &api::Reply) {
        if !self.owns() {
            return;
        }
        let lent_here = |t: &state::Task| {
            t.attempt == run.attempt && t.place.as_ref().is_some_and(|p| p.lent.is_some())
        };
        if !self.state.task(run.task).is_some_and(lent_here) {
            return;
        }
        let Some(loan) = self.loans.get_mut(&run) else { return };
        loan.next_poll = cx.now + LOAN_POLL_INTERVAL;
        let api::Reply::Loan(report) = reply else { return };
        if report.state == api::LoanState::Waiting {
            loan.waiting_since.get_or_insert(cx.now);
            return;
        }
        loan.waiting_since = None;
        match report.state {
            api::LoanState::Waiting | api::LoanState::Running => {}
            api::LoanState::Done => self.record_loan_end(cx, run, Record::Finish { run }),
            api::LoanState::Failed | api::LoanState::Stopped => {
                self.return_lent_task(cx, run, report);
            }
        }
    }

    fn record_loan_end(&mut self, cx: &mut Context, run: wire::Run, record: Record) {
        let checked = self.verifier.check(&Fact::Ended(run));
        if cx.report_check(checked) {
            self.append_history(
                cx,
                run.task.job,
                format!("{} ended where it was lent to", run.task),
            );
            self.record(cx, record, None);
        }
    }

    /// Ends or requeues a lent task that failed or was stopped in the borrowing partition.
    fn return_lent_task(&mut self, cx: &mut Context, run: wire::Run, report: &api::LoanReport) {
        let Some(t) = self.state.task(run.task) else { return };
        let failed = report.state == api::LoanState::Failed;
        if t.unwanted {
            self.record_loan_end(cx, run, Record::Cancelled { run });
            return;
        }
        if failed && t.failures + 1 >= MAX_LENT_TASK_FAILURES {
            let why = "it failed in several partitions".to_string();
            self.record_loan_end(cx, run, Record::GiveUp { task: run.task, why });
            return;
        }
        let checkpoint_ms = report.checkpoint_ms.max(t.checkpoint_ms);
        let checked = self.verifier.check(&Fact::Requeued { run, checkpoint_ms });
        if cx.report_check(checked) {
            let why = "it came back from where it was lent to".to_string();
            let record =
                Record::Requeue { run, checkpoint_ms, evicted: false, failed, crashed: false, why };
            self.record(cx, record, None);
        }
    }

    /// Stores a task that another partition lends, or reports the state of one that is stored
    /// already.
    pub(super) fn borrow(&mut self, cx: &mut Context, id: ReplyId, wanted: &api::Loan) {
        let key = loan_key(wanted.run);
        if let Some(number) = self.state.job_by_key(&wanted.partner, &key) {
            self.answer_repeated_loan(cx, id, number, wanted.stop);
            return;
        }
        let number = self.state.next_job;
        let record = Record::JobAdd {
            number,
            partner: wanted.partner.clone(),
            key,
            digest: String::new(),
            kind: wanted.kind.clone(),
            demand: wanted.demand,
            work_ms: wanted.work_ms,
            tasks: 1,
            urgent: wanted.urgent,
            at_unix_ms: cx.unix_ms,
        };
        self.record(cx, record, None);
        let task = state::task_id(self.id, number, 0);
        self.verifier.start_from(task, wanted.resume_ms);
        let start = Record::ResumeFrom { task, checkpoint_ms: wanted.resume_ms };
        if wanted.stop {
            // Stored as cancelled, so that a late duplicate of the request cannot start it.
            self.record(cx, start, None);
            let report = loan_report(api::LoanState::Stopped, wanted.resume_ms);
            let after = AfterCommit::Reply(id, api::Reply::Loan(report));
            self.record(cx, Record::Cancel { number, index: None }, Some(after));
            return;
        }
        let report = loan_report(api::LoanState::Running, wanted.resume_ms);
        self.record(cx, start, Some(AfterCommit::Reply(id, api::Reply::Loan(report))));
        self.schedule(cx);
    }

    fn answer_repeated_loan(&mut self, cx: &mut Context, id: ReplyId, number: u64, stop: bool) {
        let Some(t) = self.state.jobs.get(&number).and_then(|j| j.tasks.first()) else { return };
        let state = match t.is {
            task::State::Queued => api::LoanState::Waiting,
            task::State::Assigned => api::LoanState::Running,
            task::State::Done => api::LoanState::Done,
            task::State::Failed => api::LoanState::Failed,
            task::State::Cancelled => api::LoanState::Stopped,
        };
        let report = loan_report(state, t.checkpoint_ms);
        let begin_stop = stop && !t.is.is_final() && !t.unwanted;
        if begin_stop {
            let run = wire::Run { task: state::task_id(self.id, number, 0), attempt: t.attempt };
            if t.is == task::State::Queued {
                let checked = self.verifier.check(&Fact::Ended(run));
                cx.report_check(checked);
            }
            self.record(cx, Record::Cancel { number, index: None }, None);
        }
        // An end is reported only after it is committed.
        self.reply_after_commit(cx, id, api::Reply::Loan(report));
    }
}

fn loan_report(state: api::LoanState, checkpoint_ms: u64) -> api::LoanReport {
    api::LoanReport { state, checkpoint_ms }
}
