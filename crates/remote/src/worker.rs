//! The client of a worker: leases, commands and service requests over HTTP.

use std::time;

use gaplock_coord::action::{WorkerAnswer, WorkerCall};
use gaplock_types::{ids, wire};
use http_types::Method;

use crate::http;

/// How many unused connections to one worker are kept: one for each slot and one for control.
const MAX_IDLE_CONNECTIONS: usize = 9;

/// The client of one worker.
#[derive(Debug)]
pub struct Worker {
    http: http::Client,
}

/// The outcome of a service request.
#[derive(Debug)]
pub enum ServiceAnswer {
    /// The worker's complete answer.
    Answer(http::Answer),
    /// The worker refused the request; it did not run.
    Refused(wire::CommandOutcome),
    /// There was no connection; the request did not run.
    NotSent,
    /// The request may have run.
    Unclear,
}

impl Worker {
    /// Builds a client for the worker at `addr`.
    pub fn open(addr: &str) -> Self {
        Self { http: http::Client::open(addr, MAX_IDLE_CONNECTIONS) }
    }

    /// Returns the address.
    pub fn addr(&self) -> &str {
        self.http.addr()
    }

    /// Closes unused connections, for example because another entry owns the worker now.
    pub fn close_idle(&self) {
        self.http.close_idle();
    }

    /// Sends a call and waits at most `limit` for its answer.
    pub async fn call(&self, call: &WorkerCall, limit: time::Duration) -> WorkerAnswer {
        match call {
            WorkerCall::Lease(req) => match self.http.post_json("/lease", req, limit).await {
                Ok(reply) => WorkerAnswer::Lease(reply),
                Err(_) => WorkerAnswer::Unclear,
            },
            WorkerCall::Start(req) => self.command("/start", req, limit).await,
            WorkerCall::Control(req) => self.command("/control", req, limit).await,
        }
    }

    async fn command(
        &self,
        path: &str,
        req: &impl serde::Serialize,
        limit: time::Duration,
    ) -> WorkerAnswer {
        match self.http.post_json(path, req, limit).await {
            Ok(outcome) => WorkerAnswer::CommandOutcome(outcome),
            Err(_) => WorkerAnswer::Unclear,
        }
    }

    /// Sends a service request that carries `epoch`, and waits at most `limit` for its answer.
    pub async fn request(
        &self,
        epoch: ids::Epoch,
        service: &ids::ServiceId,
        path: &str,
        body: Vec<u8>,
        request_id: &str,
        limit: time::Duration,
    ) -> ServiceAnswer {
        let path = format!("/svc/{service}{path}");
        let epoch = epoch.0.to_string();
        let headers = [(wire::EPOCH_HEADER, epoch.as_str()), ("x-request-id", request_id)];
        let call = http::Call {
            method: Method::Post,
            path: &path,
            headers: &headers,
            body,
            timeout: limit,
        };
        match self.http.call(call).await {
            Ok(answer) => match answer.header(wire::REFUSAL_HEADER) {
                Some(text) => {
                    let outcome =
                        serde_json::from_str(text).unwrap_or(wire::CommandOutcome::NoRoom);
                    ServiceAnswer::Refused(outcome)
                }
                None => ServiceAnswer::Answer(answer),
            },
            Err(http::HttpError::NotSent) => ServiceAnswer::NotSent,
            Err(http::HttpError::Unclear) => ServiceAnswer::Unclear,
        }
    }
}
