//! The HTTP interface for operators: intents, plans, confirmations, and the state of configuration,
//! workers and jobs.

use std::time::{Duration, Instant};

use async_std::task;
use gaplock_policy::attempts::Execution;
use gaplock_remote::clock;
use gaplock_types::{api, codes, config, ids};
use serde::Serialize;

use crate::plan::{self, Fleet, Intent};
use crate::web::{self, HandlerResult, Req};
use crate::{auth, callers, once};

/// How long a confirmation waits until the configuration is in force at every entry, before it
/// answers "not in force yet".
const IN_FORCE_WAIT: Duration = Duration::from_millis(3_000);
const IN_FORCE_POLL: Duration = Duration::from_millis(20);

/// `POST /v1/intents`: returns a plan, which lists what the intent would change.
pub async fn intent(mut req: Req) -> tide::Result {
    web::respond(make_plan(&mut req).await)
}

async fn make_plan(req: &mut Req) -> HandlerResult<api::Plan> {
    web::require_operator(req, config::Right::Change)?;
    let intent: Intent = web::json_body(req).await?;
    let fleet = fleet(req).await;
    let current = req.state().with_core(|core| std::sync::Arc::clone(&core.cx.config));
    let mut plan = plan::build(&current, intent, &fleet);
    plan.id = auth::plan_id(&req.state().cfg.peer_secret, &plan, clock::unix_ms());
    Ok(plan)
}

async fn fleet(req: &Req) -> Fleet {
    let capacities = req.state().with_core(|core| core.cx.fleet.clone());
    let summary = collect_summaries(req).await;
    let domains = summary.workers.iter().map(|w| w.domain.clone()).collect();
    // If an owner did not answer, the plan isn't checked against the fleet: an empty list of
    // capacities turns that check off.
    let complete = summary.workers.len() == capacities.len();
    Fleet {
        capacities: if complete { capacities } else { Vec::new() },
        domains,
        jobs: summary.jobs,
    }
}

/// The answer to a confirmation.
#[derive(Debug, Serialize)]
struct ConfirmAnswer {
    code: u16,
    status: api::ConfigStatus,
}

/// `POST /v1/plans/confirm`: puts a plan in force. The request may be repeated.
pub async fn confirm(mut req: Req) -> tide::Result {
    Ok(match confirm_plan(&mut req).await {
        Ok(status) => {
            let code = match status.waiting.is_empty() {
                true => codes::Code::Ok,
                false => codes::Code::NotInForceYet,
            };
            let row = code.row();
            web::json_response(row.status, &ConfirmAnswer { code: row.number, status })
        }
        Err(r) => web::refusal_response(&r),
    })
}

async fn confirm_plan(req: &mut Req) -> HandlerResult<api::ConfigStatus> {
    let by = web::require_operator(req, config::Right::Change)?;
    let plan: api::Plan = web::json_body(req).await?;
    let engine = req.state();
    let Some(made_at) = auth::plan_made_at(&engine.cfg.peer_secret, &plan) else {
        let why = "This plan was not made by gaplock, or it was changed since";
        return Err(api::Refusal::new(codes::Code::BadRequest, why));
    };
    if !plan.refused.is_empty() {
        let why = format!("The plan has refusals: {}", plan.refused.join("; "));
        return Err(api::Refusal::new(codes::Code::BadRequest, why));
    }
    let execution =
        engine.with_core(|core| core.node.generations.doc.plan_outcome(&plan.id, plan.base));
    // A repeated confirmation of an executed plan gets its outcome even after the plan has expired.
    let done_before = execution == Execution::Done;
    let age_s = clock::unix_ms().saturating_sub(made_at) / 1000;
    if !done_before && age_s > plan::PLAN_LIFETIME_S {
        return Err(api::Refusal::new(codes::Code::PlanExpired, ""));
    }
    let wanted = plan.wanted.clone();
    match engine.confirm(plan, by).await {
        Ok(generation) => Ok(wait_in_force(req, generation).await),
        Err(refusal) if refusal.result_code() == codes::Code::PlanStale => {
            Err(stale_plan_refusal(req, &wanted))
        }
        Err(refusal) => Err(refusal),
    }
}

/// Builds the refusal of a plan whose base is not in force any more. It lists what the wanted
/// configuration would change now.
fn stale_plan_refusal(req: &Req, wanted: &config::Config) -> api::Refusal {
    let current = req.state().with_core(|core| std::sync::Arc::clone(&core.cx.config));
    let difference = plan::describe_changes(&current, wanted, &[]);
    let why = format!(
        "{} by {} is in force now; against it your plan would mean: {}",
        current.generation,
        current.by,
        if difference.is_empty() { "nothing".to_string() } else { difference.join("; ") }
    );
    api::Refusal::new(codes::Code::PlanStale, why)
}

async fn wait_in_force(req: &Req, generation: ids::Generation) -> api::ConfigStatus {
    let began = Instant::now();
    loop {
        let status = req.state().with_core(|core| core.node.config_status(&core.cx));
        let everywhere = status.generation >= generation && status.waiting.is_empty();
        if everywhere || began.elapsed() >= IN_FORCE_WAIT {
            return status;
        }
        task::sleep(IN_FORCE_POLL).await;
    }
}

/// `GET /v1/config`: returns the configuration in force here.
pub async fn config(req: Req) -> tide::Result {
    let read = web::require_operator(&req, config::Right::Read);
    web::respond(read.map(|_| req.state().with_core(|core| config::Config::clone(&core.cx.config))))
}

/// `GET /v1/config/previous`: returns the configuration before the one in force, for a rollback.
pub async fn previous(req: Req) -> tide::Result {
    let read = web::require_operator(&req, config::Right::Read);
    let previous = read.and_then(|_| {
        let found = req.state().with_core(|core| core.node.generations.doc.previous.clone());
        found.ok_or_else(|| {
            api::Refusal::new(codes::Code::NotFound, "There is no generation before this one")
        })
    });
    web::respond(previous)
}

/// `GET /v1/config/status`: returns the newest generation and which entries have it in force.
pub async fn config_status(req: Req) -> tide::Result {
    let read = web::require_operator(&req, config::Right::Read);
    web::respond(read.map(|_| req.state().with_core(|core| core.node.config_status(&core.cx))))
}

/// `GET /v1/config/history`: lists past generations.
pub async fn history(req: Req) -> tide::Result {
    let read = web::require_operator(&req, config::Right::Read);
    web::respond(
        read.map(|_| req.state().with_core(|core| core.node.generations.doc.history.clone())),
    )
}

/// Collects the workers and jobs of all partitions from their owners. Partitions without an owner
/// that answers are left out.
async fn collect_summaries(req: &Req) -> api::PartitionSummary {
    let engine = req.state();
    let partitions: Vec<ids::PartitionId> = engine.cfg.layout.partitions().collect();
    let requests =
        partitions.into_iter().map(|id| once::execute_command(engine, id, api::Command::Survey));
    let mut all = api::PartitionSummary::default();
    for reply in futures::future::join_all(requests).await {
        if let api::Reply::Survey(part) = reply {
            all.workers.extend(part.workers);
            all.jobs.extend(part.jobs);
        }
    }
    all
}

/// `GET /v1/workers`: lists every worker with its owner.
pub async fn workers(req: Req) -> tide::Result {
    if let Err(r) = web::require_operator(&req, config::Right::Read) {
        return web::respond::<()>(Err(r));
    }
    web::respond(Ok(collect_summaries(&req).await.workers))
}

/// `GET /v1/jobs`: lists the jobs that the sender may see.
pub async fn jobs(req: Req) -> tide::Result {
    let who = match web::identity(&req) {
        Ok(who) => who,
        Err(r) => return web::respond::<()>(Err(r)),
    };
    let mut jobs = collect_summaries(&req).await.jobs;
    if let auth::Identity::Partner(id) = who {
        jobs.retain(|job| job.partner == id);
    }
    web::respond(Ok(jobs))
}

/// `POST /v1/workers/WORKER/confirm-dead`: an operator confirms that the worker's host is switched
/// off.
pub async fn confirm_dead(req: Req) -> tide::Result {
    web::respond(declare_dead(&req).await)
}

async fn declare_dead(req: &Req) -> HandlerResult<&'static str> {
    let by = web::require_operator(req, config::Right::Change)?;
    let worker: ids::WorkerId = web::path_id(req, "worker")?;
    tracing::warn!(%worker, by, "operator declared the worker dead");
    let rows = collect_summaries(req).await.workers;
    let Some(row) = rows.into_iter().find(|w| w.worker == worker) else {
        return Err(api::Refusal::new(codes::Code::NotFound, "No owner knows this worker"));
    };
    let command = api::Command::ConfirmDead { worker, boot: row.boot };
    match once::execute_command(req.state(), row.partition, command).await {
        api::Reply::Done => Ok("declared dead"),
        other => Err(callers::refusal_from(other)),
    }
}
