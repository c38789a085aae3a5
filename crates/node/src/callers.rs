//! The HTTP interface for callers: submits and cancels jobs, returns a job's state and the number
//! of a queue's waiting jobs.

use std::sync::Arc;

use gaplock_jobs::config::{Config, Queue};
use gaplock_jobs::job;
use gaplock_jobs::progress::JobState;
use gaplock_jobs::{Job, JobKey};
use gaplock_overload::admission::{Decision, MIN_RETURN};
use gaplock_platform::callers;
use gaplock_platform::store::StoreError;
use gaplock_policy::store_outcome::StoreOutcome;
use gaplock_remote::clock;
use gaplock_serve::{BodyError, FullRequest, Refusal};
use gaplock_types::codes::Code;
use http_types::{Method, Response, StatusCode};

use crate::node::Node;
use crate::peers::StatusAnswer;
use crate::{admission, inbox, keys, records};

/// How long a refused caller should wait before it tries again, in seconds: about as long as a
/// change of leader takes.
const RETRY_AFTER_S: &str = "1";

/// The reason, in metrics, of a refusal that another host decided at the same time.
const REFUSED_ELSEWHERE: &str = "refused-elsewhere";

const GONE: u16 = 410;
const GATEWAY_TIMEOUT: u16 = 504;

/// Handles one request.
pub async fn handle(node: Arc<Node>, request: FullRequest) -> Response {
    let method = request.req.method();
    let path = request.req.url().path().to_string();
    if request.body == Err(BodyError::NoMemory) {
        return refuse(&node, Code::Overloaded);
    }
    let Some(config) = node.config() else {
        tracing::info!(event = "request_refused", path, why = "no configuration yet");
        return refuse(&node, Code::NotReady);
    };
    let host = host_of(&request);
    // The state and the cancellation of a job of a known queue do not depend on the version.
    let is_current = match config.route(&host, &path) {
        None => node.configuration.may_deny_queue().await,
        Some(queue) if method == Method::Post || path == queue.prefix => {
            node.configuration.may_answer().await
        }
        Some(_) => true,
    };
    // Another version may have come into force meanwhile.
    let config = node.config().unwrap_or(config);
    let queue = config.route(&host, &path);
    if !is_current {
        log_refusal(&node, &path, &config, "the configuration may be outdated");
        return refuse(&node, Code::NotReady);
    }
    let Some(queue) = queue else {
        log_refusal(&node, &path, &config, "no such queue");
        return answer(&node, Code::NotFound, StatusCode::NotFound.into(), Vec::new());
    };
    let rest = path.strip_prefix(&queue.prefix).unwrap_or_default();
    let asks_for_length = rest.is_empty() && method == Method::Get;
    if asks_for_length {
        return queue_length(&node, &queue.name);
    }
    let Ok(key) = rest.parse::<JobKey>() else {
        return answer(&node, Code::NotFound, StatusCode::NotFound.into(), Vec::new());
    };
    match method {
        Method::Post => submit(&node, key, queue, request).await,
        Method::Get => status(&node, key).await,
        Method::Delete => cancel(&node, key).await,
        _ => answer(&node, Code::BadRequest, StatusCode::MethodNotAllowed.into(), Vec::new()),
    }
}

/// Logs a request that was refused, with what its refusal rests on.
fn log_refusal(node: &Node, path: &str, config: &Config, why: &str) {
    let (version, config_age_ms) = (config.version, node.configuration.age().0);
    let newest_known = node.configuration.newest_known();
    tracing::info!(event = "request_refused", path, version, newest_known, config_age_ms, why);
}

/// Returns the host name in the request's `Host` header, without the port.
fn host_of(request: &FullRequest) -> String {
    let header = request.req.header("host").map(|v| v.last().as_str().to_string());
    let host = header.unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_string()
}

async fn submit(node: &Arc<Node>, key: JobKey, queue: &Queue, request: FullRequest) -> Response {
    let submission = inbox::begin_submission(node);
    let max_bytes = node.config().map_or(0, |config| config.limits.body_bytes);
    let body = match request.body {
        Ok(body) if body.len() <= max_bytes => body,
        Ok(_) | Err(BodyError::TooLarge) => {
            return answer(node, Code::TooLarge, StatusCode::PayloadTooLarge.into(), Vec::new());
        }
        Err(BodyError::Truncated) => {
            return answer(node, Code::BadRequest, StatusCode::BadRequest.into(), Vec::new());
        }
        Err(BodyError::NoMemory) => return refuse(node, Code::Overloaded),
    };
    let decoded = callers::decode_job(key, &queue.name, clock::unix_ms(), &body);
    let job = match decoded {
        Ok(job) => Arc::new(Job { accepting_queue: Some(queue.clone()), ..job }),
        Err(e) => return bad_request(node, key, &e),
    };
    if let Err(e) = job::validate(&job) {
        return bad_request(node, key, &e);
    }
    let decision = admission::decide(node, queue, &job).await;
    let outcome = match decision {
        Decision::Refuse { .. } => inbox::store_refusal(node, job, &submission).await,
        Decision::Admit { .. } => inbox::store_job(node, job, &submission).await,
    };
    tracing::info!(event = "job_handed_in", job = %key, queue = queue.name, outcome = ?outcome);
    match outcome {
        StoreOutcome::Refused => refuse_admission(node, key, queue, decision),
        StoreOutcome::Stored => {
            if decision == (Decision::Admit { returned: true }) {
                node.metrics.overload.count_returned(&queue.name);
            }
            answer(node, Code::Accepted, StatusCode::Ok.into(), b"{}".to_vec())
        }
        StoreOutcome::NotStored => refuse(node, Code::StoreDown),
        // Storing a new job never reports `NoSuchJob`; if it did, the outcome would be unknown.
        StoreOutcome::Unclear | StoreOutcome::NoSuchJob => {
            answer(node, Code::OutcomeUnknown, GATEWAY_TIMEOUT, Vec::new())
        }
    }
}

/// Refuses a job whose marker is stored. If this host had admitted the job, another host refused it
/// at the same time.
fn refuse_admission(node: &Node, key: JobKey, queue: &Queue, decision: Decision) -> Response {
    let (code, label, return_in) = match decision {
        Decision::Refuse { reason, return_in } => {
            (admission::code_of(reason), admission::label_of(reason), return_in)
        }
        Decision::Admit { .. } => (Code::Overloaded, REFUSED_ELSEWHERE, MIN_RETURN),
    };
    let seconds = return_in.0.div_ceil(1_000);
    tracing::info!(
        event = "job_refused",
        job = %key,
        queue = queue.name,
        reason = label,
        retry_after_s = seconds
    );
    node.metrics.overload.count_refusal(&queue.name, label);
    let mut res = answer(node, code, StatusCode::ServiceUnavailable.into(), Vec::new());
    res.insert_header("retry-after", seconds.to_string());
    res
}

fn bad_request(node: &Node, key: JobKey, e: &dyn std::error::Error) -> Response {
    tracing::info!(event = "job_malformed", job = %key, error = %e);
    answer(node, Code::BadRequest, StatusCode::BadRequest.into(), Vec::new())
}

async fn status(node: &Arc<Node>, key: JobKey) -> Response {
    if let Some(state) = leader_state(node, key).await {
        return state_response(node, state);
    }
    match stored_state(node, key).await {
        Ok(Some(state)) => state_response(node, state),
        Ok(None) => answer(node, Code::NotFound, GONE, Vec::new()),
        Err(e) => {
            tracing::info!(event = "state_unknown", job = %key, error = %e);
            refuse(node, Code::NoOwner)
        }
    }
}

fn state_response(node: &Node, state: JobState) -> Response {
    answer(node, Code::Ok, StatusCode::Ok.into(), callers::encode_state(state))
}

async fn leader_state(node: &Arc<Node>, key: JobKey) -> Option<JobState> {
    if let StatusAnswer::State(state) = node.status_if_leader(key).await {
        return Some(state);
    }
    let addr = node.leader_addr()?;
    match node.peer_client.status(&addr, key).await {
        Ok(StatusAnswer::State(state)) => Some(state),
        Ok(StatusAnswer::Unknown) => None,
        Err(e) => {
            tracing::debug!(event = "leader_silent", job = %key, error = %e);
            None
        }
    }
}

async fn stored_state(node: &Node, key: JobKey) -> Result<Option<JobState>, StoreError> {
    if let Some(item) = node.store.get(&keys::progress(key)).await? {
        let progress = records::progress(&item).ok_or(StoreError::Unclear)?;
        return Ok(Some(progress.state));
    }
    let job = node.store.get(&keys::job(key)).await?;
    node.record_store_answer();
    Ok(job.map(|_| JobState::Queued))
}

async fn cancel(node: &Arc<Node>, key: JobKey) -> Response {
    let outcome = inbox::store_cancel(node, key).await;
    tracing::info!(event = "job_cancelled", job = %key, outcome = ?outcome);
    match outcome {
        StoreOutcome::Stored => answer(node, Code::Ok, StatusCode::Ok.into(), b"{}".to_vec()),
        StoreOutcome::NoSuchJob => answer(node, Code::NotFound, GONE, Vec::new()),
        StoreOutcome::NotStored => refuse(node, Code::StoreDown),
        // A cancellation is never refused by admission control; if it were, nothing would be known.
        StoreOutcome::Unclear | StoreOutcome::Refused => {
            answer(node, Code::OutcomeUnknown, GATEWAY_TIMEOUT, Vec::new())
        }
    }
}

fn queue_length(node: &Node, queue: &str) -> Response {
    match node.waiting_jobs(queue) {
        Some(count) => {
            answer(node, Code::Ok, StatusCode::Ok.into(), callers::encode_pending_count(count))
        }
        None => refuse(node, Code::NoOwner),
    }
}

/// Builds the answer to a client whose request was not read.
pub fn refuse_unread(node: &Node, refusal: Refusal) -> Response {
    match refusal {
        Refusal::NoConnection | Refusal::NoMemory => refuse(node, Code::Overloaded),
        Refusal::HeadTooLarge => answer(node, Code::TooLarge, refusal.status().into(), Vec::new()),
        Refusal::HeadMalformed => {
            answer(node, Code::BadRequest, refusal.status().into(), Vec::new())
        }
    }
}

fn refuse(node: &Node, code: Code) -> Response {
    let mut res = answer(node, code, StatusCode::ServiceUnavailable.into(), Vec::new());
    res.insert_header("retry-after", RETRY_AFTER_S);
    res
}

fn answer(node: &Node, code: Code, status: u16, body: Vec<u8>) -> Response {
    node.metrics.count_answer(code);
    let mut res = gaplock_serve::json_response(status, body);
    res.insert_header("x-gaplock-code", code.row().number.to_string());
    res
}
