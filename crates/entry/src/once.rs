//! Requests that run at most once: the entry claims the request's key, runs the request and stores
//! how it ended.
//!
//! The claim is stored in the journal of the key's home partition before the request leaves this
//! entry, so a repeat at any entry, at any time within the retention, finds it. This module also
//! sends commands to the entry that owns a partition.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use gaplock_coord::node::Located;
use gaplock_types::{api, codes, ids};

use crate::engine::Engine;
use crate::executor;
use crate::peers::PeerError;
use crate::service::{self, Outcome, ServiceRequest};

const STORE_END_MAX_ATTEMPTS: u32 = 5;
const STORE_END_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Serves a request that runs at most once for its partner's key.
pub async fn serve(
    engine: &Arc<Engine>,
    partner: &ids::PartnerId,
    key: &ids::RequestKey,
    req: &ServiceRequest,
) -> Outcome {
    let home = engine.cfg.layout.home_of(partner, key);
    let claimer = format!("{}/{}", engine.me, engine.next_id());
    let claim = api::Command::OnceClaim {
        partner: partner.clone(),
        key: key.clone(),
        digest: request_digest(req),
        claimer: claimer.clone(),
    };
    match execute_command(engine, home, claim).await {
        api::Reply::Granted => run_claimed(engine, partner, key, claimer, home, req).await,
        api::Reply::Ended(end) => replay(end),
        api::Reply::Refused(refusal) => {
            if refusal.result_code() == codes::Code::OutcomeUnknown {
                // The claim may be stored, but the request was not sent: release the claim if it
                // is ours.
                let end = api::OnceEnd::NotRun;
                task::spawn(store_end(
                    Arc::clone(engine),
                    home,
                    once_done_command(partner, key, &claimer, end),
                ));
                let why = "The claim of the request could not be stored in time";
                let refusal = api::Refusal::new(codes::Code::StoreDown, why);
                return Outcome::Refused(refusal);
            }
            Outcome::Refused(refusal)
        }
        _ => Outcome::Refused(api::Refusal::new(codes::Code::Internal, "An unexpected reply")),
    }
}

async fn run_claimed(
    engine: &Arc<Engine>,
    partner: &ids::PartnerId,
    key: &ids::RequestKey,
    claimer: String,
    home: ids::PartitionId,
    req: &ServiceRequest,
) -> Outcome {
    let checked = engine.check.lock().expect("no holder of the lock panics").once(partner, key);
    if let Err(violation) = checked {
        executor::log_violation(engine, &violation);
        let why = "The request was sent before";
        return Outcome::Refused(api::Refusal::new(codes::Code::OutcomeUnknown, why));
    }
    let outcome = service::serve(engine, req).await;
    let end = match &outcome {
        Outcome::Answer { status, body } => {
            api::OnceEnd::Ran { status: *status, body: Some(STANDARD.encode(body)) }
        }
        Outcome::Refused(refusal) => match refusal.ran {
            codes::Ran::No => api::OnceEnd::NotRun,
            codes::Ran::Yes | codes::Ran::Unknown => api::OnceEnd::Unknown,
        },
    };
    record_end_in_check(engine, partner, key, &end);
    let storing =
        store_end(Arc::clone(engine), home, once_done_command(partner, key, &claimer, end.clone()));
    if end == api::OnceEnd::NotRun {
        // The caller may retry at once with the same key, so the claim is released before the
        // answer goes out.
        storing.await;
    } else {
        task::spawn(storing);
    }
    outcome
}

fn record_end_in_check(
    engine: &Engine,
    partner: &ids::PartnerId,
    key: &ids::RequestKey,
    end: &api::OnceEnd,
) {
    let mut check = engine.check.lock().expect("no holder of the lock panics");
    match end {
        api::OnceEnd::NotRun => check.once_not_run(partner, key),
        api::OnceEnd::Ran { .. } | api::OnceEnd::Unknown => check.once_settled(partner, key),
    }
}

fn once_done_command(
    partner: &ids::PartnerId,
    key: &ids::RequestKey,
    claimer: &str,
    end: api::OnceEnd,
) -> api::Command {
    let (partner, key) = (partner.clone(), key.clone());
    api::Command::OnceDone { partner, key, claimer: claimer.to_string(), end }
}

async fn store_end(engine: Arc<Engine>, home: ids::PartitionId, command: api::Command) {
    for _ in 0..STORE_END_MAX_ATTEMPTS {
        if execute_command(&engine, home, command.clone()).await == api::Reply::Done {
            return;
        }
        task::sleep(STORE_END_RETRY_DELAY).await;
    }
    tracing::warn!(%home, "cannot store how a claimed request ended; all attempts failed");
}

fn replay(end: api::OnceEnd) -> Outcome {
    let refuse = |code, why| Outcome::Refused(api::Refusal::new(code, why));
    match end {
        api::OnceEnd::Ran { status, body: Some(body) } => match STANDARD.decode(body) {
            Ok(body) => Outcome::Answer { status, body },
            Err(_) => refuse(codes::Code::AnswerNotKept, ""),
        },
        api::OnceEnd::Ran { body: None, .. } => refuse(codes::Code::AnswerNotKept, ""),
        api::OnceEnd::Unknown => {
            refuse(codes::Code::OutcomeUnknown, "The first request with this key may have run")
        }
        api::OnceEnd::NotRun => refuse(codes::Code::InProgress, "The claim is being given back"),
    }
}

fn request_digest(req: &ServiceRequest) -> String {
    let body = STANDARD.encode(&req.body);
    crate::auth::key_hash(&format!("{} {} {body}", req.service, req.path))
}

/// Executes a command at the owner of partition `home`: at this entry or at a peer.
pub async fn execute_command(
    engine: &Arc<Engine>,
    home: ids::PartitionId,
    command: api::Command,
) -> api::Reply {
    let located = engine.with_core(|core| core.node.locate(&core.cx, home));
    let entry = match located {
        Located::Here => return engine.execute_locally(home, command).await,
        Located::Nowhere => return no_owner_reply(),
        Located::Peer(entry) => entry,
    };
    let Some(addr) = engine.peer_addr(&entry) else { return no_owner_reply() };
    match engine.peers.command(&entry, &addr, home, &command).await {
        Ok(reply) => reply,
        Err(PeerError::NotSent) => no_owner_reply(),
        Err(PeerError::Unclear) => {
            let why = "The partition's owner did not answer";
            api::Reply::Refused(api::Refusal::new(codes::Code::OutcomeUnknown, why))
        }
    }
}

fn no_owner_reply() -> api::Reply {
    let why = "The partition has no owner now";
    api::Reply::Refused(api::Refusal::new(codes::Code::NoOwner, why))
}
