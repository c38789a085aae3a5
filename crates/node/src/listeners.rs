//! The host's listeners: for callers, readiness checks, metrics and other hosts.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_serve::{FullRequest, Limits, Listener};
use http_types::{Response, StatusCode};

use crate::node::Node;
use crate::{callers, peers};

/// The running listeners.
pub struct Listeners {
    callers: Listener,
    readiness: Listener,
    metrics: Listener,
    peers: peers::Server,
}

/// The part of the stop period that is reserved for the exit of the process, after the listeners
/// have stopped and the last answer was sent.
const EXIT_MARGIN: Duration = Duration::from_millis(1_000);

/// How long a stopping host still accepts connections: the load balancer notices after two of its
/// checks, one a second, and connections of its callers may be on their way.
const LEAVE_BALANCER_PAUSE: Duration = Duration::from_millis(2_500);

/// How long a caller may take to send a header; connections may also be idle this long between
/// requests.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Binds every listener.
///
/// # Errors
/// Returns the error of binding an address.
pub async fn bind(node: &Arc<Node>, metrics_addr: &str) -> io::Result<Listeners> {
    let installation = &node.installation;
    let limits = Limits { header_timeout: IDLE_LIMIT, ..Limits::default() };
    let shared = Arc::clone(node);
    let callers = gaplock_serve::bind(&installation.callers_addr, limits, move |request| {
        callers::handle(Arc::clone(&shared), request)
    })
    .await?;
    let shared = Arc::clone(node);
    let readiness = gaplock_serve::bind(&installation.readiness_addr, limits, move |_| {
        readiness(Arc::clone(&shared))
    })
    .await?;
    let shared = Arc::clone(node);
    let metrics = gaplock_serve::bind(metrics_addr, limits, move |request: FullRequest| {
        metrics(Arc::clone(&shared), request)
    })
    .await?;
    let peers = peers::bind(&node.peer_addr, Arc::clone(node)).await?;
    Ok(Listeners { callers, readiness, metrics, peers })
}

async fn readiness(node: Arc<Node>) -> Response {
    let ready = node.is_ready();
    Response::new(if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable })
}

async fn metrics(node: Arc<Node>, request: FullRequest) -> Response {
    if request.req.url().path() != "/metrics" {
        return Response::new(StatusCode::NotFound);
    }
    let mut res = Response::new(StatusCode::Ok);
    node.metrics.config_age_ms.set(node.configuration.age().0 as i64);
    node.metrics.config_newest_known.set(node.configuration.newest_known() as i64);
    node.metrics.overload.show_load(node.load_summary().as_ref());
    res.set_body(node.metrics.render());
    res
}

impl Listeners {
    /// Leaves the load balancer, answers the requests in flight, then closes the listeners. Returns
    /// how many requests were cut off.
    pub async fn stop(self, node: &Node) -> usize {
        let grace = node.installation.shutdown_grace.as_duration();
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
