//! Routes a service request to a free slot of one of this entry's workers, else to a peer that has
//! free slots.
//!
//! A request is forwarded at most once, so it cannot loop between entries. If a worker or peer
//! certainly did not run it, it is retried within the deadline and the retry budget; if it may have
//! run, it is retried only if it is repeatable.

use std::sync::Arc;
use std::time::Duration;

use async_std::{future, task};
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use futures::channel::oneshot;
use gaplock_coord::node::Event;
use gaplock_policy::{retry, route};
use gaplock_remote::clock;
use gaplock_remote::worker::ServiceAnswer;
use gaplock_types::{api, codes, ids, time, wire};
use rand::Rng;

use crate::engine::Engine;
use crate::peers::PeerError;

/// A service request.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// The service.
    pub service: ids::ServiceId,
    /// The path after the service's name, with its leading slash.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// When the caller stops waiting for the answer.
    pub deadline: time::Instant,
    /// The request id, for logs.
    pub request_id: String,
    /// Whether the request may run twice.
    pub repeatable: bool,
}

/// How a service request ended.
#[derive(Debug)]
pub enum Outcome {
    /// The worker's complete answer.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The request was refused or failed.
    Refused(api::Refusal),
}

/// How one attempt ended.
enum AttemptOutcome {
    /// The outcome is final; there is no further attempt.
    Ended(Outcome),
    /// The request certainly did not run.
    NotRun(api::Refusal),
    /// The request may have run.
    Unclear,
}

/// The longest that a request waits for another entry to take over a worker of its service.
const MAX_FAILOVER_WAIT: time::Millis = time::Millis(1_500);
/// A service that ran anywhere within this window is expected to be available again soon.
const RECENTLY_SERVED_WINDOW: time::Millis = time::Millis(5_000);
const INITIAL_BACKOFF: time::Millis = time::Millis(5);
const MAX_BACKOFF: time::Millis = time::Millis(100);

fn refuse(code: codes::Code, why: &str) -> api::Refusal {
    api::Refusal::new(code, why)
}

/// Serves a request from a caller, with retries.
pub async fn serve(engine: &Arc<Engine>, req: &ServiceRequest) -> Outcome {
    engine.with_routing(|r| r.budget.earn());
    let retry_until = clock::now() + failover_wait(engine, req);
    let mut may_have_run = false;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let last = match attempt_once(engine, req).await {
            AttemptOutcome::Ended(Outcome::Refused(refusal)) => {
                return finish_refused(engine, refusal, may_have_run);
            }
            AttemptOutcome::Ended(outcome) => return outcome,
            AttemptOutcome::NotRun(refusal) => refusal,
            AttemptOutcome::Unclear if req.repeatable => {
                may_have_run = true;
                refuse(codes::Code::UpstreamFailed, "No whole answer came")
            }
            AttemptOutcome::Unclear => {
                let why = "The request was sent, but no whole answer came";
                return Outcome::Refused(refuse(codes::Code::OutcomeUnknown, why));
            }
        };
        if !may_retry(engine, &last, retry_until) {
            return finish_refused(engine, last, may_have_run);
        }
        let wait = retry::backoff(attempt, INITIAL_BACKOFF, MAX_BACKOFF, &mut rand::rng());
        task::sleep(wait.as_duration()).await;
    }
}

/// Returns how long a request waits for another entry to take over a worker of its service. It is
/// zero if the service has not run anywhere recently: the request is then refused without a wait.
fn failover_wait(engine: &Engine, req: &ServiceRequest) -> time::Millis {
    let now = clock::now();
    let served_at = engine.with_routing(|r| r.last_served_at.get(&req.service).copied());
    let recently_served = served_at.is_some_and(|at| now.since(at) < RECENTLY_SERVED_WINDOW);
    let left = req.deadline.since(now).0;
    if recently_served {
        time::Millis(MAX_FAILOVER_WAIT.0.min(left / 2))
    } else {
        time::Millis(0)
    }
}

/// Records which services run now, here or at a peer that sends heartbeats.
pub fn record_running_services(engine: &Engine, here: &[api::ServiceLoad]) {
    let now = clock::now();
    let mut services: Vec<ids::ServiceId> = here.iter().map(|l| l.service.clone()).collect();
    engine.with_core(|core| {
        let (now, timing) = (core.cx.now, core.cx.timing);
        let members = &core.node.members;
        let heard = members.peers.iter().filter(|(e, _)| members.heard(now, &timing, e));
        let beats = heard.filter_map(|(_, p)| p.heartbeat.as_ref());
        services.extend(beats.flat_map(|b| b.load.iter().map(|l| l.service.clone())));
    });
    engine.with_routing(|r| {
        for service in services {
            r.last_served_at.insert(service, now);
        }
    });
}

/// Builds the final refusal. If an earlier attempt may have run the request, a refusal that says
/// "not run" is replaced by one that doesn't.
fn finish_refused(engine: &Engine, refusal: api::Refusal, may_have_run: bool) -> Outcome {
    let refusal = match refusal.ran {
        codes::Ran::No if may_have_run => {
            let why = "An earlier try had no whole answer";
            refuse(codes::Code::UpstreamFailed, why)
                .with_retry_after(refusal.retry_after_s.unwrap_or(1))
        }
        _ => refusal,
    };
    let check = engine.check.lock().expect("no holder of the lock panics");
    match check.refusal(refusal.result_code(), may_have_run) {
        Ok(()) => Outcome::Refused(refusal),
        Err(violation) => {
            drop(check);
            crate::executor::log_violation(engine, &violation);
            Outcome::Refused(refuse(codes::Code::UpstreamFailed, ""))
        }
    }
}

/// Returns whether a request may be retried. An attempt that may have reached a worker costs
/// retry budget; one that found no worker costs nothing. An overload refusal is final.
fn may_retry(engine: &Engine, last: &api::Refusal, retry_until: time::Instant) -> bool {
    if clock::now() >= retry_until {
        return false;
    }
    match last.result_code() {
        codes::Code::NoUpstream => true,
        codes::Code::UpstreamFailed => engine.with_routing(|r| r.budget.try_spend()),
        _ => false,
    }
}

async fn attempt_once(engine: &Arc<Engine>, req: &ServiceRequest) -> AttemptOutcome {
    let free_here = engine.with_routing(|r| r.router.free(&req.service));
    if free_here == 0 {
        if let Some(peer) = choose_peer(engine, &req.service, free_here) {
            return forward(engine, req, &peer).await;
        }
    }
    attempt_locally(engine, req).await
}

/// Serves a request that a peer forwarded. It runs here or not at all; it is not forwarded again.
pub async fn serve_forwarded(engine: &Arc<Engine>, forward: api::Forward) -> api::ForwardReply {
    let Ok(body) = STANDARD.decode(&forward.body) else {
        return api::ForwardReply::Refused(refuse(
            codes::Code::BadRequest,
            "The body is not base 64",
        ));
    };
    let req = ServiceRequest {
        service: forward.service,
        path: forward.path,
        body,
        deadline: clock::now() + time::Millis(forward.deadline_ms),
        request_id: forward.request_id,
        repeatable: forward.repeatable,
    };
    match attempt_locally(engine, &req).await {
        AttemptOutcome::Ended(Outcome::Answer { status, body }) => {
            api::ForwardReply::Answer { status, body: STANDARD.encode(body) }
        }
        AttemptOutcome::Ended(Outcome::Refused(refusal)) | AttemptOutcome::NotRun(refusal) => {
            api::ForwardReply::Refused(refusal)
        }
        AttemptOutcome::Unclear => {
            let why = "The request was sent, but no whole answer came";
            api::ForwardReply::Refused(refuse(codes::Code::OutcomeUnknown, why))
        }
    }
}

/// Chooses a peer at random, weighted by free slots. A peer without free slots is chosen only if
/// no worker of this entry runs the service.
fn choose_peer(
    engine: &Engine,
    service: &ids::ServiceId,
    free_here: u32,
) -> Option<(ids::EntryId, String)> {
    let serves_here = engine.with_routing(|r| r.router.services().contains(service));
    let peers: Vec<(ids::EntryId, String, u32)> = engine.with_core(|core| {
        let (now, timing) = (core.cx.now, core.cx.timing);
        let members = &core.node.members;
        let heard = members.peers.iter().filter(|(e, _)| members.heard(now, &timing, e));
        heard
            .filter_map(|(entry, p)| {
                let load = &p.heartbeat.as_ref()?.load;
                let free = load.iter().find(|l| l.service == *service)?.free;
                Some((entry.clone(), p.record.addr.clone(), free))
            })
            .collect()
    });
    let total_free: u32 = peers.iter().map(|(.., free)| *free).sum();
    if total_free == 0 {
        if serves_here || free_here > 0 || peers.is_empty() {
            return None;
        }
        let (entry, addr, _) = &peers[rand::rng().random_range(0..peers.len())];
        return Some((entry.clone(), addr.clone()));
    }
    let mut draw = rand::rng().random_range(0..total_free);
    for (entry, addr, free) in peers {
        if draw < free {
            return Some((entry, addr));
        }
        draw -= free;
    }
    None
}

async fn forward(
    engine: &Arc<Engine>,
    req: &ServiceRequest,
    (entry, addr): &(ids::EntryId, String),
) -> AttemptOutcome {
    let message = api::Forward {
        service: req.service.clone(),
        path: req.path.clone(),
        body: STANDARD.encode(&req.body),
        deadline_ms: req.deadline.since(clock::now()).0,
        request_id: req.request_id.clone(),
        repeatable: req.repeatable,
    };
    engine.metrics.count_forward();
    match engine.peers.forward(entry, addr, &message).await {
        Ok(api::ForwardReply::Answer { status, body }) => match STANDARD.decode(body) {
            Ok(body) => AttemptOutcome::Ended(Outcome::Answer { status, body }),
            Err(_) => AttemptOutcome::Unclear,
        },
        Ok(api::ForwardReply::Refused(refusal)) => match refusal.ran {
            codes::Ran::No => AttemptOutcome::NotRun(refusal),
            codes::Ran::Yes | codes::Ran::Unknown => AttemptOutcome::Unclear,
        },
        Err(PeerError::NotSent) => {
            AttemptOutcome::NotRun(refuse(codes::Code::NoUpstream, "A peer cannot be reached"))
        }
        Err(PeerError::Unclear) => AttemptOutcome::Unclear,
    }
}

async fn attempt_locally(engine: &Arc<Engine>, req: &ServiceRequest) -> AttemptOutcome {
    let (decision, slot_rx) = engine.with_routing(|r| {
        let decision = r.router.route(clock::now(), &req.service, req.deadline);
        let slot_rx = match &decision {
            route::RouteDecision::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                r.waiters.insert(*ticket, tx);
                Some(rx)
            }
            _ => None,
        };
        (decision, slot_rx)
    });
    let slot = match (decision, slot_rx) {
        (route::RouteDecision::Slot(slot), _) => slot,
        (route::RouteDecision::Wait(ticket), Some(slot_rx)) => {
            match wait_for_slot(engine, req, ticket, slot_rx).await {
                Some(slot) => slot,
                None => return AttemptOutcome::Ended(overload_refusal(1)),
            }
        }
        (route::RouteDecision::Refuse { after_s }, _) => {
            return AttemptOutcome::Ended(overload_refusal(after_s))
        }
        (route::RouteDecision::NoWorker | route::RouteDecision::Wait(_), _) => {
            return AttemptOutcome::NotRun(refuse(
                codes::Code::NoUpstream,
                "No worker here runs the service",
            ));
        }
    };
    send(engine, req, slot).await
}

fn overload_refusal(after_s: u32) -> Outcome {
    let why = "Every slot is taken for longer than the request may wait";
    Outcome::Refused(refuse(codes::Code::Overloaded, why).with_retry_after(after_s))
}

async fn wait_for_slot(
    engine: &Arc<Engine>,
    req: &ServiceRequest,
    ticket: route::Ticket,
    slot_rx: oneshot::Receiver<Option<route::Slot>>,
) -> Option<route::Slot> {
    let left = req.deadline.since(clock::now()).as_duration();
    match future::timeout(left, slot_rx).await {
        Ok(Ok(slot)) => slot,
        _ => {
            engine.with_routing(|r| {
                r.router.remove_waiting(&req.service, ticket);
                r.waiters.remove(&ticket);
            });
            None
        }
    }
}

async fn send(engine: &Arc<Engine>, req: &ServiceRequest, slot: route::Slot) -> AttemptOutcome {
    let Some(addr) = engine.worker_addr(&slot.worker) else {
        release_slot(engine, req, &slot, None);
        return AttemptOutcome::NotRun(refuse(
            codes::Code::NoUpstream,
            "The worker's address is not known",
        ));
    };
    let client = engine.worker(&addr);
    let began = std::time::Instant::now();
    let limit = req.deadline.since(clock::now()).as_duration().max(Duration::from_millis(1));
    let (body, id) = (req.body.clone(), &req.request_id);
    let answer = client.request(slot.epoch, &req.service, &req.path, body, id, limit).await;
    let took_ms = began.elapsed().as_secs_f64() * 1000.0;
    match answer {
        ServiceAnswer::Answer(answer) => {
            release_slot(engine, req, &slot, Some(took_ms));
            AttemptOutcome::Ended(Outcome::Answer { status: answer.status, body: answer.body })
        }
        ServiceAnswer::Refused(verdict) => {
            handle_worker_refusal(engine, req, &slot, verdict);
            let why = format!("A worker refused it ({verdict:?})");
            AttemptOutcome::NotRun(refuse(codes::Code::NoUpstream, &why))
        }
        ServiceAnswer::NotSent => {
            engine.with_routing(|r| r.router.close(&slot.worker));
            release_slot(engine, req, &slot, None);
            AttemptOutcome::NotRun(refuse(codes::Code::NoUpstream, "A worker cannot be reached"))
        }
        ServiceAnswer::Unclear => {
            engine.with_routing(|r| r.router.abandon(&slot));
            AttemptOutcome::Unclear
        }
    }
}

fn handle_worker_refusal(
    engine: &Arc<Engine>,
    req: &ServiceRequest,
    slot: &route::Slot,
    verdict: wire::CommandOutcome,
) {
    if verdict != wire::CommandOutcome::NoRoom {
        engine.with_routing(|r| r.router.close(&slot.worker));
        engine.handle(Event::WorkerRefused {
            partition: slot.partition,
            worker: slot.worker.clone(),
            verdict,
        });
    }
    release_slot(engine, req, slot, None);
}

fn release_slot(engine: &Arc<Engine>, req: &ServiceRequest, slot: &route::Slot, took: Option<f64>) {
    engine.with_routing(|r| r.router.release_slot(slot, &req.service, took));
    crate::executor::wake_waiters(engine);
}
