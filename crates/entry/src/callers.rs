//! The HTTP interface for callers: service requests and jobs.

use gaplock_remote::clock;
use gaplock_types::{api, codes, config, ids, time};
use serde::Serialize;
use tide::Response;

use crate::auth::Identity;
use crate::metrics;
use crate::once;
use crate::service::{self, Outcome, ServiceRequest};
use crate::web::{self, HandlerResult, Req};

const DEFAULT_DEADLINE_MS: u64 = 5_000;
const MAX_DEADLINE_MS: u64 = 30_000;

/// `POST /v1/services/SERVICE/PATH`: sends a request to a worker that runs the service.
pub async fn service(req: Req) -> tide::Result {
    let partner = match web::require_partner(&req) {
        Ok(partner) => partner,
        Err(r) => return Ok(web::refusal_response(&r)),
    };
    let mut res = match serve(req, &partner).await {
        Ok(Outcome::Answer { status, body }) => {
            let mut res = Response::new(status);
            res.set_body(body);
            res.insert_header("x-gaplock-code", codes::Code::Ok.row().number.to_string());
            res
        }
        Ok(Outcome::Refused(r)) | Err(r) => web::refusal_response(&r),
    };
    res.insert_header(metrics::PARTNER_HEADER, partner.as_str());
    Ok(res)
}

async fn serve(mut req: Req, partner: &ids::PartnerId) -> HandlerResult<Outcome> {
    let key = web::request_key(&req)?;
    let service: ids::ServiceId = web::path_id(&req, "service")?;
    let known = req.state().with_core(|core| core.cx.config.placement_of(&service).is_some());
    if !known {
        return Err(api::Refusal::new(codes::Code::NotFound, "There is no such service"));
    }
    let path = req.param("path").map_or_else(|_| String::new(), |p| format!("/{p}"));
    let request = ServiceRequest {
        service,
        path,
        body: req.body_bytes().await.unwrap_or_default(),
        deadline: clock::now() + deadline(&req)?,
        request_id: web::request_id_of(&req),
        repeatable: key.is_none(),
    };
    let engine = req.state();
    Ok(match key {
        Some(key) => once::serve(engine, partner, &key, &request).await,
        None => service::serve(engine, &request).await,
    })
}

fn deadline(req: &Req) -> HandlerResult<time::Millis> {
    let Some(values) = req.header("x-gaplock-deadline-ms") else {
        return Ok(time::Millis(DEFAULT_DEADLINE_MS));
    };
    match values.last().as_str().parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(time::Millis(ms)),
        _ => {
            let why = format!("x-gaplock-deadline-ms must be 1 to {MAX_DEADLINE_MS}");
            Err(api::Refusal::new(codes::Code::BadRequest, why))
        }
    }
}

/// The answer to a job submission that was stored.
#[derive(Debug, Serialize)]
struct SubmitAnswer {
    job: ids::JobId,
    code: u16,
}

/// `POST /v1/jobs`: stores a job; repeats with the same key store only one job.
pub async fn submit(req: Req) -> tide::Result {
    Ok(match store_job(req).await {
        Ok(job) => {
            let row = codes::Code::Accepted.row();
            web::json_response(row.status, &SubmitAnswer { job, code: row.number })
        }
        Err(r) => web::refusal_response(&r),
    })
}

async fn store_job(mut req: Req) -> HandlerResult<ids::JobId> {
    let partner = web::require_partner(&req)?;
    let Some(key) = web::request_key(&req)? else {
        let why = "A job needs an `Idempotency-Key`, so that a repeat stores it once";
        return Err(api::Refusal::new(codes::Code::BadRequest, why));
    };
    let spec: api::JobSpec = web::json_body(&mut req).await?;
    let home = req.state().cfg.layout.home_of(&partner, &key);
    let command = api::Command::Submit { partner, key, spec };
    match once::execute_command(req.state(), home, command).await {
        api::Reply::Submitted(job) => Ok(job),
        other => Err(refusal_from(other)),
    }
}

/// `GET /v1/jobs/JOB`: returns a job's status.
pub async fn status(req: Req) -> tide::Result {
    web::respond(job_status(&req).await)
}

async fn job_status(req: &Req) -> HandlerResult<api::JobStatus> {
    let partner = visible_partner(req, config::Right::Read)?;
    let job: ids::JobId = web::path_id(req, "job")?;
    let command = api::Command::Status { partner, job };
    match once::execute_command(req.state(), job.home, command).await {
        api::Reply::Status(status) => Ok(status),
        other => Err(refusal_from(other)),
    }
}

/// `DELETE /v1/jobs/JOB`: cancels a job.
pub async fn cancel(req: Req) -> tide::Result {
    web::respond(cancel_job(&req).await)
}

async fn cancel_job(req: &Req) -> HandlerResult<&'static str> {
    let partner = visible_partner(req, config::Right::Change)?;
    let job: ids::JobId = web::path_id(req, "job")?;
    let command = api::Command::Cancel { partner, job };
    match once::execute_command(req.state(), job.home, command).await {
        api::Reply::Done => Ok("cancelled"),
        other => Err(refusal_from(other)),
    }
}

/// Returns the partner whose jobs the sender may access, or none for an operator with the right,
/// who may access all jobs.
fn visible_partner(req: &Req, right: config::Right) -> HandlerResult<Option<ids::PartnerId>> {
    match web::identity(req)? {
        Identity::Partner(id) => Ok(Some(id)),
        Identity::Operator(..) => web::require_operator(req, right).map(|_| None),
    }
}

/// Converts a reply other than the expected one into a refusal.
pub fn refusal_from(reply: api::Reply) -> api::Refusal {
    match reply {
        api::Reply::Refused(refusal) => refusal,
        _ => api::Refusal::new(codes::Code::Internal, "An unexpected reply"),
    }
}
