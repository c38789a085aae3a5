//! The listener for calls of other hosts, with its methods.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use gaplock_distribution::message::PartRequest;
use gaplock_jobs::{Job, JobKey};
use gaplock_overload::admission::Arrival;
use gaplock_rpc::{Limits, Server};
use jsonrpsee::RpcModule;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::inbox;
use crate::node::Node;
use crate::peers::{
    CancelNotice, Heartbeat, Invitation, JobNotice, Superseded, ADMIT, CANCEL_STORED, CONFIG_PART,
    HEARTBEAT, INVITE, JOB_STORED, MAX_MESSAGE_BYTES, STATUS, STORE_CANCEL, STORE_JOB, SUPERSEDED,
};

/// Limits on other hosts. A message of the largest size takes half of its time on the users'
/// slowest links; followers send heartbeats every second or so.
const LIMITS: Limits = Limits {
    max_message_bytes: MAX_MESSAGE_BYTES,
    message_timeout: Duration::from_secs(30),
    answer_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(120),
};

/// Binds the listener for other hosts and starts to serve.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn bind(addr: &str, node: Arc<Node>) -> io::Result<Server> {
    let bound = gaplock_rpc::bind(addr).await?;
    let account = Arc::clone(&node.account);
    let mut module = RpcModule::new(node);
    register(&mut module);
    Ok(bound.spawn(LIMITS, account, module.into()))
}

type Module = RpcModule<Arc<Node>>;

fn register(module: &mut Module) {
    register_method(module, HEARTBEAT, |node, beat: Heartbeat| async move {
        node.answer_heartbeat(beat).await
    });
    register_method(module, CONFIG_PART, |node, request: PartRequest| async move {
        node.configuration.part(request)
    });
    register_method(module, JOB_STORED, |node, notice: JobNotice| async move {
        node.apply_if_leader(notice.into()).await
    });
    register_method(module, CANCEL_STORED, |node, notice: CancelNotice| async move {
        node.apply_if_leader(notice.into()).await
    });
    register_method(module, STORE_JOB, |node, job: Job| async move {
        let submission = inbox::forwarded_submission();
        inbox::store_job_directly(&node, Arc::new(job), &submission).await
    });
    register_method(module, STORE_CANCEL, |node, key: JobKey| async move {
        inbox::store_cancel_directly(&node, key).await
    });
    register_method(
        module,
        STATUS,
        |node, key: JobKey| async move { node.status_if_leader(key).await },
    );
    register_method(module, ADMIT, |node, arrival: Arrival| async move {
        node.admit_if_leader(arrival).await
    });
    register_method(module, SUPERSEDED, |node, notice: Superseded| async move {
        node.end_earlier_leadership(notice.term)
    });
    register_method(module, INVITE, |node, invitation: Invitation| async move {
        node.handle_invitation(invitation).await
    });
}

fn register_method<Q, A, H, F>(module: &mut Module, name: &'static str, handler: H)
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Clone + Send + 'static,
    H: Fn(Arc<Node>, Q) -> F + Clone + Send + Sync + 'static,
    F: std::future::Future<Output = A> + Send + 'static,
{
    let registered = module.register_async_method(name, move |params, node, _| {
        let handler = handler.clone();
        async move {
            let (body,): (Q,) = params.parse()?;
            let node: Arc<Node> = Arc::clone(&node);
            Ok::<A, jsonrpsee::types::ErrorObjectOwned>(handler(node, body).await)
        }
    });
    registered.expect("method names are distinct constants");
}
