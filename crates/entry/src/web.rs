//! The listener for callers and operators: tide's routes behind the accept loop of `gaplock_serve`.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use gaplock_serve::account::Account;
use gaplock_serve::budget::Class;
use gaplock_serve::{BodyError, FullRequest, Limits, Listener, Refusal, Service};
use gaplock_types::{api, codes, config, ids};
use http_types::headers::HeaderValue;
use http_types::StatusCode;
use serde::Serialize;
use tide::{Request, Response};

use crate::auth::{self, Identity};
use crate::engine::Engine;
use crate::{callers, operators};

/// A tide request with the engine as its state.
pub type Req = Request<Arc<Engine>>;
/// The result of a handler; a refusal is sent as an answer.
pub type HandlerResult<T> = Result<T, api::Refusal>;

const REQUEST_ID_HEADER: &str = "x-request-id";
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Binds the listener.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn bind(
    addr: &str,
    limits: Limits,
    account: Arc<Account>,
    engine: Arc<Engine>,
) -> io::Result<Listener> {
    let app = routes(Arc::clone(&engine));
    let handler = move |request: FullRequest| answer(app.clone(), Arc::clone(&engine), request);
    let service = Service {
        class: Class::Callers,
        account,
        limits: Arc::new(move || limits),
        refuse: Arc::new(refuse_unread),
    };
    gaplock_serve::bind_service(addr, service, handler).await
}

/// Builds the answer to a client whose request was not read.
fn refuse_unread(refusal: Refusal) -> http_types::Response {
    let code = match refusal {
        Refusal::NoConnection | Refusal::NoMemory => codes::Code::Overloaded,
        Refusal::HeadTooLarge => codes::Code::TooLarge,
        Refusal::HeadMalformed => codes::Code::BadRequest,
    };
    let mut res: http_types::Response = refusal_response(&api::Refusal::new(code, "")).into();
    res.set_status(refusal.status());
    res
}

fn routes(engine: Arc<Engine>) -> tide::Server<Arc<Engine>> {
    let mut app = tide::with_state(engine);
    app.at("/v1/services/:service").post(callers::service);
    app.at("/v1/services/:service/*path").post(callers::service);
    app.at("/v1/jobs").post(callers::submit).get(operators::jobs);
    app.at("/v1/jobs/:job").get(callers::status).delete(callers::cancel);
    app.at("/v1/intents").post(operators::intent);
    app.at("/v1/plans/confirm").post(operators::confirm);
    app.at("/v1/config").get(operators::config);
    app.at("/v1/config/previous").get(operators::previous);
    app.at("/v1/config/status").get(operators::config_status);
    app.at("/v1/config/history").get(operators::history);
    app.at("/v1/workers").get(operators::workers);
    app.at("/v1/workers/:worker/confirm-dead").post(operators::confirm_dead);
    app
}

async fn answer(
    app: tide::Server<Arc<Engine>>,
    engine: Arc<Engine>,
    request: FullRequest,
) -> http_types::Response {
    let began = Instant::now();
    let mut req = request.req;
    let path = req.url().path().to_string();
    let id = request_id(&engine, req.header(REQUEST_ID_HEADER).map(|v| v.last().as_str()));
    req.insert_header(REQUEST_ID_HEADER, id.as_str());
    let res = match request.body {
        Ok(bytes) => {
            req.set_body(bytes);
            let routed: Result<http_types::Response, _> = app.respond(req).await;
            routed.unwrap_or_else(|_| http_types::Response::new(StatusCode::InternalServerError))
        }
        Err(BodyError::TooLarge) => {
            refusal_response(&api::Refusal::new(codes::Code::TooLarge, "")).into()
        }
        Err(BodyError::NoMemory) => {
            refusal_response(&api::Refusal::new(codes::Code::Overloaded, "")).into()
        }
        Err(BodyError::Truncated) => {
            let why = "The body ended before its declared length or did not come in time";
            refusal_response(&api::Refusal::new(codes::Code::BadRequest, why)).into()
        }
    };
    let mut res = add_code_if_unrouted(res);
    res.insert_header(REQUEST_ID_HEADER, id.as_str());
    engine.metrics.count_answer(&path, &res, began.elapsed());
    tracing::debug!(request_id = id, path, status = u16::from(res.status()), "answered");
    res
}

/// Replaces tide's own "not found" and "method not allowed" by an answer with a result code.
fn add_code_if_unrouted(res: http_types::Response) -> http_types::Response {
    if res.is_empty() == Some(true) && res.status().is_client_error() {
        let why = "There is no such path or method";
        return refusal_response(&api::Refusal::new(codes::Code::NotFound, why)).into();
    }
    res
}

/// Returns the request id that the caller gave if it is valid, else a new one.
fn request_id(engine: &Engine, given: Option<&str>) -> String {
    let valid = |id: &&str| {
        id.len() <= MAX_REQUEST_ID_BYTES
            && !id.is_empty()
            && id.bytes().all(|b| b.is_ascii_graphic())
    };
    match given.filter(valid) {
        Some(id) => id.to_string(),
        None => format!("{}-{:x}", engine.me.entry, engine.next_id()),
    }
}

/// Returns the request's id.
pub fn request_id_of(req: &Req) -> String {
    req.header(REQUEST_ID_HEADER).map(|v| v.last().as_str().to_string()).unwrap_or_default()
}

/// Builds the answer for a refusal.
pub fn refusal_response(refusal: &api::Refusal) -> Response {
    let status = refusal.result_code().row().status;
    let mut res = json_response(status, refusal);
    if let Some(seconds) = refusal.retry_after_s {
        res.insert_header("retry-after", seconds.to_string());
    }
    res.insert_header("x-gaplock-code", refusal.code.to_string());
    res
}

/// Builds an answer with a JSON body.
pub fn json_response(status: u16, body: &impl Serialize) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut res = Response::new(status);
    res.set_body(serde_json::to_vec(body).expect("an answer's body always serializes to JSON"));
    res.insert_header("content-type", "application/json");
    res
}

/// Converts a handler's result into an answer.
pub fn respond<T: Serialize>(answer: HandlerResult<T>) -> tide::Result {
    Ok(match answer {
        Ok(body) => json_response(200, &body),
        Err(r) => refusal_response(&r),
    })
}

/// Returns who sent the request. Refuses if this entry's configuration is not fresh, since its keys
/// may then be out of date.
pub fn identity(req: &Req) -> HandlerResult<Identity> {
    let engine = req.state();
    let config = engine.with_core(|core| {
        core.node.generations.fresh(&core.cx).then(|| std::sync::Arc::clone(&core.cx.config))
    });
    let Some(config) = config else {
        return Err(api::Refusal::new(codes::Code::NotReady, ""));
    };
    let key = req.header("authorization").map(HeaderText::text);
    let key = key.as_deref().and_then(|text| text.strip_prefix("Bearer "));
    let known = key.and_then(|k| auth::identify(&config, engine.cfg.bootstrap_key.as_deref(), k));
    known.ok_or_else(|| api::Refusal::new(codes::Code::BadKey, "The key is missing or unknown"))
}

trait HeaderText {
    fn text(&self) -> String;
}

impl HeaderText for http_types::headers::HeaderValues {
    fn text(&self) -> String {
        HeaderValue::as_str(self.last()).to_string()
    }
}

/// Requires a partner's key; returns the partner.
pub fn require_partner(req: &Req) -> HandlerResult<ids::PartnerId> {
    match identity(req)? {
        Identity::Partner(id) => Ok(id),
        Identity::Operator(..) => {
            Err(api::Refusal::new(codes::Code::Forbidden, "This needs a partner's key"))
        }
    }
}

/// Requires an operator's key with at least the given right; returns the operator's name.
pub fn require_operator(req: &Req, right: config::Right) -> HandlerResult<String> {
    match identity(req)? {
        Identity::Operator(name, has) if has == right || has == config::Right::Change => Ok(name),
        _ => Err(api::Refusal::new(codes::Code::Forbidden, "This needs an operator's right")),
    }
}

/// Parses the body as JSON.
pub async fn json_body<T: serde::de::DeserializeOwned>(req: &mut Req) -> HandlerResult<T> {
    let bytes = req.body_bytes().await.unwrap_or_default();
    serde_json::from_slice(&bytes)
        .map_err(|e| api::Refusal::new(codes::Code::BadRequest, format!("The body: {e}")))
}

/// Parses the path parameter `name` as an identifier.
pub fn path_id<T: std::str::FromStr>(req: &Req, name: &str) -> HandlerResult<T>
where
    T::Err: std::fmt::Display,
{
    let text = req.param(name).unwrap_or_default();
    text.parse().map_err(|e: T::Err| api::Refusal::new(codes::Code::BadRequest, e.to_string()))
}

/// Reads the idempotency key, if the request has one.
pub fn request_key(req: &Req) -> HandlerResult<Option<ids::RequestKey>> {
    let Some(values) = req.header("idempotency-key") else { return Ok(None) };
    let key = values.last().as_str().parse::<ids::RequestKey>();
    key.map(Some).map_err(|e| api::Refusal::new(codes::Code::BadRequest, e.to_string()))
}
