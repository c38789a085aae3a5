//! The health listener: serves liveness, readiness and metrics on an address of its own, separate
//! from that for callers.

use std::io;
use std::sync::Arc;

use gaplock_serve::account::Account;
use gaplock_serve::budget::Class;
use gaplock_serve::{json_response, FullRequest, Limits, Listener, Service};
use http_types::Response;

use crate::engine::Engine;

/// Binds the listener.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn bind(addr: &str, account: Arc<Account>, engine: Arc<Engine>) -> io::Result<Listener> {
    let limits = Limits { max_body_bytes: 1_024, ..Default::default() };
    let handler = move |request| answer(Arc::clone(&engine), request);
    let service = Service {
        class: Class::Readiness,
        account,
        limits: Arc::new(move || limits),
        refuse: Arc::new(gaplock_serve::refusal_response),
    };
    gaplock_serve::bind_service(addr, service, handler).await
}

async fn answer(engine: Arc<Engine>, request: FullRequest) -> Response {
    match request.req.url().path() {
        "/health" => json_response(200, b"{\"alive\":true}".to_vec()),
        "/ready" => {
            let ready = engine.with_core(|core| core.node.ready(&core.cx));
            let status = if ready { 200 } else { 503 };
            json_response(status, format!("{{\"ready\":{ready}}}").into_bytes())
        }
        "/metrics" => {
            let text = engine.metrics.encode(&engine);
            let mut res = Response::new(200);
            res.set_body(text);
            let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            res.insert_header("content-type", kind);
            res
        }
        _ => Response::new(404),
    }
}
