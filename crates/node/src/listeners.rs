//! The host's listeners: for callers, readiness checks, metrics and other hosts.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_serve::budget::Class;
use gaplock_serve::{FullRequest, Limits, Listener, Service};
use http_types::{Response, StatusCode};

use crate::node::Node;
use crate::{callers, peer_server};

/// The running listeners.
pub struct Listeners {
    callers: Listener,
    readiness: Listener,
    metrics: Listener,
    peers: gaplock_rpc::Server,
}

/// The part of the stop period that is reserved for the exit of the process, after the listeners
/// have stopped and the last answer was sent.
const EXIT_MARGIN: Duration = Duration::from_millis(1_000);

/// How long a stopping host still accepts connections: the load balancer notices after two of its
/// checks, one a second, and connections of its callers may be on their way.
const LEAVE_BALANCER_PAUSE: Duration = Duration::from_millis(2_500);

/// What is allowed for the request line, beside the configured limit on headers.
const MAX_REQUEST_LINE: usize = 8 << 10;

/// How many bytes the handling of a job takes for each byte of its body. Short steps take the most:
/// twenty bytes of text become some two hundred, which are encoded again for the store and for the
/// leader.
const HANDLING_FACTOR: u64 = 40;

/// How long a head or a body of such a request may take to arrive.
const CHECK_LIMIT: Duration = Duration::from_secs(5);

/// The largest body of a readiness check or a read of the metrics; neither needs one.
const MAX_CHECK_BODY: usize = 4 << 10;

/// Returns the limits on callers by the configuration in force.
fn caller_limits(node: &Node) -> Limits {
    let limits = Limits { handling_factor: HANDLING_FACTOR, ..Limits::default() };
    let Some(config) = node.config() else { return limits };
    let configured = config.limits;
    Limits {
        header_timeout: configured.header.as_duration(),
        idle_timeout: configured.idle.as_duration(),
        max_head_bytes: configured.header_bytes.saturating_add(MAX_REQUEST_LINE),
        max_body_bytes: configured.body_bytes,
        ..limits
    }
}

/// Returns how a listener for the platform's own checks treats its clients.
fn checks(node: &Node, class: Class) -> Service {
    let limits = Limits {
        header_timeout: CHECK_LIMIT,
        body_timeout: CHECK_LIMIT,
        max_body_bytes: MAX_CHECK_BODY,
        ..Limits::default()
    };
    Service {
        class,
        account: Arc::clone(&node.account),
        limits: Arc::new(move || limits),
        refuse: Arc::new(gaplock_serve::refusal_response),
    }
}

/// Returns how the listener for callers treats its clients.
fn callers_service(node: &Arc<Node>) -> Service {
    let (limits_of, refusing) = (Arc::clone(node), Arc::clone(node));
    Service {
        class: Class::Callers,
        account: Arc::clone(&node.account),
        limits: Arc::new(move || caller_limits(&limits_of)),
        refuse: Arc::new(move |refusal| callers::refuse_unread(&refusing, refusal)),
    }
}

/// Binds every listener.
///
/// # Errors
/// Returns the error of binding an address.
pub async fn bind(node: &Arc<Node>, metrics_addr: &str) -> io::Result<Listeners> {
    let installation = &node.installation;
    let (addr, service) = (&installation.callers_addr, callers_service(node));
    let shared = Arc::clone(node);
    let callers = gaplock_serve::bind_service(addr, service, move |request| {
        callers::handle(Arc::clone(&shared), request)
    })
    .await?;
    let (addr, service) = (&installation.readiness_addr, checks(node, Class::Readiness));
    let shared = Arc::clone(node);
    let readiness =
        gaplock_serve::bind_service(addr, service, move |_| readiness(Arc::clone(&shared))).await?;
    let service = checks(node, Class::Metrics);
    let shared = Arc::clone(node);
    let metrics = gaplock_serve::bind_service(metrics_addr, service, move |request| {
        metrics(Arc::clone(&shared), request)
    })
    .await?;
    let peers = peer_server::bind(&node.peer_addr, Arc::clone(node)).await?;
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
    node.metrics.clients.show(&node.account);
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
