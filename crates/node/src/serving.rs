//! The host's listeners: callers, readiness, metrics and other hosts.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_serve::{Limits, Listener, Whole};
use http_types::{Response, StatusCode};

use crate::node::Node;
use crate::{callers, peers};

/// Running listeners.
pub struct Serving {
    callers: Listener,
    readiness: Listener,
    metrics: Listener,
    peers: peers::Server,
}

/// How long the process takes to end after its last answer, beyond the listeners' stop.
const EXIT_MARGIN: Duration = Duration::from_millis(1_000);

/// How long a stopping host goes on accepting connections: the balancer notices after two of its
/// questions, one a second, and its callers' connections may be on their way.
const LEAVE_BALANCER_PAUSE: Duration = Duration::from_millis(2_500);

/// How long a caller may take to send a header; connections between requests are idle that long.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Binds every listener.
///
/// # Errors
/// Returns the error of binding an address.
pub async fn bind(node: &Arc<Node>, metrics_addr: &str) -> io::Result<Serving> {
    let installation = &node.installation;
    let limits = Limits { header: IDLE_LIMIT, ..Limits::default() };
    let shared = Arc::clone(node);
    let callers = gaplock_serve::bind(&installation.callers_addr, limits, move |whole| {
        callers::handle(Arc::clone(&shared), whole)
    })
    .await?;
    let shared = Arc::clone(node);
    let readiness = gaplock_serve::bind(&installation.readiness_addr, limits, move |_| {
        readiness(Arc::clone(&shared))
    })
    .await?;
    let shared = Arc::clone(node);
    let metrics = gaplock_serve::bind(metrics_addr, limits, move |whole: Whole| {
        metrics(Arc::clone(&shared), whole)
    })
    .await?;
    let peers = peers::bind(&node.peer_addr, Arc::clone(node)).await?;
    Ok(Serving { callers, readiness, metrics, peers })
}

async fn readiness(node: Arc<Node>) -> Response {
    let ready = node.is_ready();
    Response::new(if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable })
}

async fn metrics(node: Arc<Node>, whole: Whole) -> Response {
    if whole.req.url().path() != "/metrics" {
        return Response::new(StatusCode::NotFound);
    }
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(node.metrics.render());
    res
}

impl Serving {
    /// Leaves the balancer, answers what is in flight, then closes. Returns how many requests were
    /// cut off.
    pub async fn stop(self, node: &Node) -> usize {
        let grace = node.installation.grace.as_duration();
        let leave = LEAVE_BALANCER_PAUSE.min(grace / 2);
        self.callers.drain();
        task::sleep(leave).await;
        let left = grace.saturating_sub(leave).saturating_sub(EXIT_MARGIN);
        let cut_off = self.callers.stop(left).await;
        self.readiness.stop(Duration::ZERO).await;
        self.metrics.stop(Duration::ZERO).await;
        self.peers.stop();
        cut_off
    }
}
