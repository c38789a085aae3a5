//! Admission control: whether a job that a caller submits is refused before it is stored.
//!
//! Any host decides by its copy of the load summary whether the question arises, and then asks the
//! leader, which decides and remembers whom it refused. Whatever is not certain admits the job.

use std::sync::Arc;

use gaplock_jobs::config::Queue;
use gaplock_jobs::{Job, JobKey, Step};
use gaplock_overload::admission::{
    self, AdmissionControl, Arrival, ArrivalKey, Decision, RefusalReason, ADMIT,
};
use gaplock_overload::summary::WorkClass;
use gaplock_sched::changes::intake;
use gaplock_sched::job_table;
use gaplock_types::codes::Code;
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};

use crate::node::{Node, Role};
use crate::peers::AdmitAnswer;

/// The maximum age of a summary by which a job may be refused.
const SUMMARY_MAX_AGE: Millis = Millis(2_000);

/// Decides whether a job is admitted, with the leader's help if the load may be a reason to refuse
/// it. Admits it if the leader does not answer.
pub async fn decide(node: &Node, queue: &Queue, job: &Job) -> Decision {
    if !node.admission_control {
        return ADMIT;
    }
    let Some(load) = node.load_summary() else { return ADMIT };
    let arrival = arrival_of(queue, job);
    if load.age > SUMMARY_MAX_AGE || !admission::may_be_refused(&load.summary, &arrival) {
        return ADMIT;
    }
    let answer = match node.role() {
        Role::Leader(engine) => engine.admit(arrival).await,
        Role::Follower(Some(addr)) => {
            node.peer_client.admit(&addr, &arrival).await.unwrap_or_else(|e| {
                tracing::info!(event = "admission_unanswered", job = %job.key, error = %e);
                AdmitAnswer::NotDecided
            })
        }
        Role::Follower(None) => AdmitAnswer::NotDecided,
    };
    match answer {
        AdmitAnswer::Decided(decision) => decision,
        AdmitAnswer::NotDecided => ADMIT,
    }
}

/// Describes a job to admission control.
fn arrival_of(queue: &Queue, job: &Job) -> Arrival {
    let chain = intake::longest_chain(job);
    // The rounds of a job that repeats are due later, so their objectives do not begin now.
    let objective = match job.repeat {
        Some(_) => Millis(0),
        None => queue.objective(chain),
    };
    let work = job.steps.iter().map(work_core_ms);
    Arrival {
        key: ArrivalKey(job.key.0),
        queue: queue.name.clone(),
        pool: queue.service.clone(),
        class: class_of(job),
        needed: needed_by(job),
        chain,
        objective,
        work_core_ms: work.fold(0, u64::saturating_add),
    }
}

/// Returns the class of a job's work: long-running if any step is, or else that of most of its
/// work.
fn class_of(job: &Job) -> WorkClass {
    if job.steps.iter().any(|step| step.lasting) {
        return WorkClass::LongRunning;
    }
    let sum = |fills: bool| {
        let steps = job.steps.iter().filter(|step| step.fills == fills);
        steps.map(work_core_ms).fold(0, u64::saturating_add)
    };
    let any_reserves = job.steps.iter().any(|step| !step.fills);
    if sum(true) > sum(false) || !any_reserves {
        WorkClass::BestEffort
    } else {
        WorkClass::Short
    }
}

/// Returns the estimated work of a step, in core milliseconds.
fn work_core_ms(step: &Step) -> u64 {
    let millicore_ms = u64::from(step.count)
        .saturating_mul(u64::from(step.demand.cpu.0))
        .saturating_mul(step.estimate.0);
    millicore_ms / 1_000
}

/// Returns the resources without which a job is of no use: the largest task of a job that ends,
/// which needs all of its tasks, and the smallest one of a long-running job, each step of which may
/// be of use by itself.
fn needed_by(job: &Job) -> Resources {
    let combine: fn(u32, u32) -> u32 = match class_of(job) {
        WorkClass::LongRunning => u32::min,
        WorkClass::Short | WorkClass::BestEffort => u32::max,
    };
    let all = job.steps.iter().map(job_table::reservation);
    let needed = all.reduce(|a, b| {
        let (cpu, mem) = (combine(a.cpu.0, b.cpu.0), combine(a.mem.0, b.mem.0));
        Resources::new(cpu, mem, combine(a.acc, b.acc))
    });
    needed.unwrap_or_default()
}

/// Returns the result code of a refusal.
pub fn code_of(reason: RefusalReason) -> Code {
    match reason {
        RefusalReason::TooLate | RefusalReason::ReturnedEarly => Code::Overloaded,
        RefusalReason::TooLarge => Code::TooLargeForPool,
    }
}

/// Returns the name of a refusal's reason in metrics.
pub fn label_of(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TooLate => "too-late",
        RefusalReason::ReturnedEarly => "returned-early",
        RefusalReason::TooLarge => "too-large",
    }
}

/// The admission control of one leadership.
#[derive(Default)]
pub struct LeaderAdmission {
    control: AdmissionControl,
}

impl LeaderAdmission {
    /// Decides about a job; `is_known` tells whether the leader knows it, so that it is answered as
    /// any job that is submitted again.
    pub fn decide(
        &mut self,
        node: &Arc<Node>,
        now: Instant,
        is_known: bool,
        arrival: &Arrival,
    ) -> AdmitAnswer {
        if is_known || !node.admission_control {
            return AdmitAnswer::Decided(ADMIT);
        }
        match node.load_summary() {
            Some(load) if load.age <= SUMMARY_MAX_AGE => {
                AdmitAnswer::Decided(self.control.decide(now, &load.summary, arrival))
            }
            _ => AdmitAnswer::NotDecided,
        }
    }

    /// Forgets the refusal of a job that is stored.
    pub fn forget(&mut self, job: JobKey) {
        self.control.forget(ArrivalKey(job.0));
    }
}
