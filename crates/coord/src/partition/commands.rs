//! Handles the commands that callers and operators send to a partition's owner.

use gaplock_chart::charts::{task, upstream};
use gaplock_policy::placement;
use gaplock_types::{api, codes, ids, wire};

use super::lending::loan_key;
use super::Partition;
use crate::action::ReplyId;
use crate::context::Context;
use crate::journal::{self, AfterCommit};
use crate::records::Record;
use crate::state::{Job, Once};

/// The largest answer body that is stored, in bytes of base64; longer ones are left out, to
/// keep the state small.
const MAX_STORED_ANSWER_BYTES: usize = 2_048;
/// A claim without a stored end is answered as unknown after this time, which is longer than any
/// request may take.
const CLAIM_TIMEOUT_MS: u64 = 60_000;
/// Claims that one partition stores; further requests are refused without being run.
const MAX_CLAIMS: usize = 4_000;
/// Waiting tasks in one partition; further jobs are refused without being run.
const MAX_WAITING_TASKS: usize = 20_000;

impl Once {
    /// Returns whether the answer's body is stored.
    pub(super) fn has_stored_answer(&self) -> bool {
        matches!(&self.end, Some(api::OnceEnd::Ran { body: Some(_), .. }))
    }
}

fn refused(code: codes::Code, why: &str) -> api::Reply {
    api::Reply::Refused(api::Refusal::new(code, why))
}

impl Partition {
    /// Handles a command. The reply is sent at once or after a commit.
    pub fn command(&mut self, cx: &mut Context, id: ReplyId, command: api::Command) {
        if !self.journal.owns() {
            cx.reply(id, journal::not_owner_reply());
            return;
        }
        let writes = !matches!(command, api::Command::Status { .. } | api::Command::Survey);
        if writes && !self.journal.healthy(cx) {
            // The refusal is only about this attempt; an earlier attempt may be stored.
            let reply = match self.is_recorded(&command) {
                true => journal::in_progress_reply(),
                false => refused(codes::Code::StoreDown, ""),
            };
            cx.reply(id, reply);
            return;
        }
        match command {
            api::Command::Submit { partner, key, spec } => {
                self.submit(cx, id, partner, key, &spec);
            }
            api::Command::Cancel { partner, job } => self.cancel(cx, id, partner.as_ref(), job),
            api::Command::Status { partner, job } => {
                let reply = match self.visible_job(partner.as_ref(), job) {
                    Some(found) => api::Reply::Status(self.status_of(job, found)),
                    None => refused(codes::Code::NotFound, "There is no such job"),
                };
                cx.reply(id, reply);
            }
            api::Command::OnceClaim { partner, key, digest, claimer } => {
                self.once_claim(cx, id, &once_name(&partner, &key), digest, claimer);
            }
            api::Command::OnceDone { partner, key, claimer, end } => {
                self.once_done(cx, id, &once_name(&partner, &key), &claimer, end);
            }
            api::Command::Borrow(wanted) => self.borrow(cx, id, &wanted),
            api::Command::ConfirmDead { worker, boot } => self.confirm_dead(cx, id, worker, boot),
            api::Command::Survey => {
                let survey = self.summary();
                cx.reply(id, api::Reply::Survey(survey));
            }
        }
        self.journal.poll(cx);
    }

    /// Returns whether an earlier attempt of a command has been recorded, committed or not.
    fn is_recorded(&self, command: &api::Command) -> bool {
        match command {
            api::Command::Submit { partner, key, .. } => {
                self.state.job_by_key(partner, key).is_some()
            }
            api::Command::OnceClaim { partner, key, .. } => {
                self.state.once.contains_key(&once_name(partner, key))
            }
            api::Command::Cancel { partner, job } => self
                .visible_job(partner.as_ref(), *job)
                .is_some_and(|found| found.tasks.iter().all(|t| t.unwanted || t.is.is_final())),
            api::Command::ConfirmDead { worker, .. } => self.state.dead.contains(worker),
            api::Command::Borrow(wanted) => {
                self.state.job_by_key(&wanted.partner, &loan_key(wanted.run)).is_some()
            }
            // The sender of an end repeats it until it is confirmed.
            api::Command::OnceDone { .. } | api::Command::Status { .. } | api::Command::Survey => {
                false
            }
        }
    }

    fn submit(
        &mut self,
        cx: &mut Context,
        id: ReplyId,
        partner: ids::PartnerId,
        key: ids::RequestKey,
        spec: &api::JobSpec,
    ) {
        let digest =
            serde_json::to_string(spec).expect("a job specification always serializes to JSON");
        if let Some(number) = self.state.job_by_key(&partner, &key) {
            let same_job = self.state.jobs.get(&number).is_some_and(|j| j.digest == digest);
            let reply = if same_job {
                api::Reply::Submitted(ids::JobId { home: self.id, number })
            } else {
                refused(codes::Code::KeyReused, "The key belongs to another job")
            };
            // The first submission may not be committed yet; the repeat must not be answered
            // before it.
            self.reply_after_commit(cx, id, reply);
            return;
        }
        if let Some(reply) = self.validate_submission(cx, &partner, spec) {
            cx.reply(id, reply);
            return;
        }
        let number = self.state.next_job;
        let job = ids::JobId { home: self.id, number };
        let record = Record::JobAdd {
            number,
            partner,
            key,
            digest,
            kind: wire::TaskKind::Batch(spec.class.clone()),
            demand: spec.demand,
            work_ms: spec.work_ms,
            tasks: spec.tasks,
            urgent: spec.urgent,
            at_unix_ms: cx.unix_ms,
        };
        self.append_history(cx, job, format!("submitted with {} tasks", spec.tasks));
        self.record(cx, record, Some(AfterCommit::Reply(id, api::Reply::Submitted(job))));
        self.schedule(cx);
    }

    pub(super) fn reply_after_commit(&mut self, cx: &mut Context, id: ReplyId, reply: api::Reply) {
        self.journal.reply_after_commit(cx, id, reply);
    }

    fn validate_submission(
        &self,
        cx: &Context,
        partner: &ids::PartnerId,
        spec: &api::JobSpec,
    ) -> Option<api::Reply> {
        if spec.tasks == 0 || spec.tasks > api::JOB_MAX_TASKS || spec.work_ms == 0 {
            let why = "A job has 1 to 256 tasks of at least 1 ms";
            return Some(refused(codes::Code::BadRequest, why));
        }
        if cx.config.placements_for(partner, &spec.class).next().is_none() {
            let why = "No placement lets this partner run this class";
            return Some(refused(codes::Code::Forbidden, why));
        }
        let quota = cx.config.partner(partner).map(|p| p.quota).unwrap_or_default();
        if !quota.holds(&spec.demand) {
            let why = "One task alone is above the partner's quota";
            return Some(refused(codes::Code::NeverFits, why));
        }
        let fleet_known = !cx.fleet.is_empty();
        if fleet_known && !placement::fits_any_capacity(cx.fleet.iter(), &spec.demand) {
            return Some(refused(codes::Code::NeverFits, "No worker is large enough"));
        }
        let waiting: usize =
            self.state.waiting_partners().map(|p| self.state.waiting(p).count()).sum();
        if waiting + spec.tasks as usize > MAX_WAITING_TASKS {
            return Some(refused(codes::Code::Overloaded, "The queue is full"));
        }
        None
    }

    fn visible_job(&self, partner: Option<&ids::PartnerId>, job: ids::JobId) -> Option<&Job> {
        let found = self.state.jobs.get(&job.number)?;
        partner.is_none_or(|p| *p == found.partner).then_some(found)
    }

    fn cancel(
        &mut self,
        cx: &mut Context,
        id: ReplyId,
        partner: Option<&ids::PartnerId>,
        job: ids::JobId,
    ) {
        let Some(found) = self.visible_job(partner, job) else {
            cx.reply(id, refused(codes::Code::NotFound, "There is no such job"));
            return;
        };
        if matches!(found.kind, wire::TaskKind::Service(_)) {
            cx.reply(id, refused(codes::Code::Forbidden, "Services are changed by intents"));
            return;
        }
        if found.ended() || found.tasks.iter().all(|t| t.unwanted || t.is.is_final()) {
            self.reply_after_commit(cx, id, api::Reply::Done);
            return;
        }
        let waiting: Vec<ids::TaskId> = (0..found.tasks.len() as u32)
            .map(|i| crate::state::task_id(self.id, job.number, i))
            .filter(|id| self.state.task(*id).is_some_and(|t| t.is == task::State::Queued))
            .collect();
        for task in waiting {
            let attempt = self.state.task(task).map(|t| t.attempt).unwrap_or_default();
            let run = wire::Run { task, attempt };
            let checked = self.verifier.check(&gaplock_verify::Fact::Ended(run));
            cx.report_check(checked);
        }
        self.append_history(cx, job, "cancelled by its owner".to_string());
        let record = Record::Cancel { number: job.number, index: None };
        self.record(cx, record, Some(AfterCommit::Reply(id, api::Reply::Done)));
    }

    fn once_claim(
        &mut self,
        cx: &mut Context,
        id: ReplyId,
        name: &str,
        digest: String,
        claimer: String,
    ) {
        if let Some(once) = self.state.once.get(name) {
            let expired = once.at_unix_ms + CLAIM_TIMEOUT_MS < cx.unix_ms;
            let reply = match &once.end {
                _ if once.digest != digest => {
                    refused(codes::Code::KeyReused, "The key belongs to another request")
                }
                Some(end) => api::Reply::Ended(end.clone()),
                None if once.claimer == claimer => api::Reply::Granted,
                // The claimer's entry must have died, so the end will never be stored.
                None if expired => api::Reply::Ended(api::OnceEnd::Unknown),
                None => refused(codes::Code::InProgress, "The request was claimed before"),
            };
            self.reply_after_commit(cx, id, reply);
            return;
        }
        if self.state.once.len() >= MAX_CLAIMS {
            cx.reply(id, refused(codes::Code::Overloaded, "Too many claims are kept"));
            return;
        }
        let at_unix_ms = cx.unix_ms;
        let record = Record::OnceClaim { id: name.to_string(), digest, claimer, at_unix_ms };
        self.record(cx, record, Some(AfterCommit::Reply(id, api::Reply::Granted)));
    }

    fn once_done(
        &mut self,
        cx: &mut Context,
        id: ReplyId,
        name: &str,
        claimer: &str,
        mut end: api::OnceEnd,
    ) {
        let once = self.state.once.get(name);
        if !once.is_some_and(|o| o.end.is_none() && o.claimer == claimer) {
            cx.reply(id, api::Reply::Done);
            return;
        }
        if let api::OnceEnd::Ran { body, .. } = &mut end {
            if body.as_ref().is_some_and(|b| b.len() > MAX_STORED_ANSWER_BYTES) {
                *body = None;
            }
        }
        let record = Record::OnceEnd { id: name.to_string(), end };
        self.record(cx, record, Some(AfterCommit::Reply(id, api::Reply::Done)));
    }

    fn confirm_dead(
        &mut self,
        cx: &mut Context,
        id: ReplyId,
        worker: ids::WorkerId,
        boot: Option<wire::Boot>,
    ) {
        let Some(link) = self.links.get(&worker) else {
            cx.reply(id, refused(codes::Code::NotFound, "There is no such worker here"));
            return;
        };
        if link.is == upstream::State::Usable {
            let why = "The worker answers; only a silent one can be declared dead";
            cx.reply(id, refused(codes::Code::BadRequest, why));
            return;
        }
        if self.known_boots(&worker).any(|b| Some(b) != boot) {
            let why = "The worker has booted anew since it was declared dead";
            cx.reply(id, refused(codes::Code::BadRequest, why));
            return;
        }
        let record = Record::WorkerDead { worker };
        self.record(cx, record, Some(AfterCommit::Reply(id, api::Reply::Done)));
    }
}

fn once_name(partner: &ids::PartnerId, key: &ids::RequestKey) -> String {
    format!("{partner}/{key}")
}
