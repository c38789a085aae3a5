//! Maintains a leadership: renews its lease in the store and confirms that its claim is still
//! stored.
//!
//! This runs on a separate thread. A leader of thousands of workers has thousands of calls under
//! way on the one thread that runs all other tasks, and a renewal queued behind them would come
//! after the lease has expired (`docs/CAPACITY.md`).

use std::sync::Arc;

use async_std::task;
use gaplock_platform::store::StoreError;
use gaplock_policy::succession;
use gaplock_remote::clock;
use gaplock_types::time::{Instant, Millis};

use crate::leadership::{self, Authority, Claim, LeadershipStatus};
use crate::node::Node;
use crate::{follower, threads};

/// The thread's name.
const THREAD: &str = "leadership";

/// Starts to maintain a claim that was sent at `sent`; ends when the leadership is lost.
pub fn spawn(node: &Arc<Node>, leadership: &Arc<LeadershipStatus>, claim: Claim, sent: Instant) {
    let (node, shared) = (Arc::clone(node), Arc::clone(leadership));
    if let Err(e) = threads::spawn(THREAD, renew_and_confirm(node, shared, claim, sent)) {
        tracing::warn!(event = "leadership_lost", why = "no thread to keep it", error = %e);
        leadership.lose();
    }
}

/// Repeatedly renews the lease, confirms the claim and reads the configuration. The three calls run
/// concurrently: one after the other they take longer than the lease where the store is slow.
async fn renew_and_confirm(
    node: Arc<Node>,
    leadership: Arc<LeadershipStatus>,
    claim: Claim,
    sent: Instant,
) {
    while leadership.authority(clock::now()) != Authority::Lost {
        if node.is_stopping() || should_step_down(&node, sent) {
            leadership.lose();
            return;
        }
        // Boxed: the futures of three concurrent calls are too large for the thread's stack.
        let confirmed = Box::pin(follower::confirm_leadership(&node, &leadership, claim.revision));
        let renewed = Box::pin(node.store.renew_lease(claim.lease));
        let read = Box::pin(follower::read_config(&node));
        let (_, renewed, _) = futures::join!(confirmed, renewed, read);
        match renewed {
            Ok(()) => node.record_store_answer(),
            Err(StoreError::Gone) => {
                tracing::warn!(event = "leadership_lost", why = "the lease is over");
                leadership.lose();
                return;
            }
            Err(e) => tracing::debug!(event = "store_silent", error = %e),
        }
        task::sleep(leadership::RENEW_EVERY).await;
    }
}

/// The minimum time that a process leads before it steps down, so that the leadership does not
/// alternate between hosts.
const MIN_TIME_AS_LEADER: Millis = Millis(3_000);

/// Returns whether this host should step down because a follower has much more leader capacity.
fn should_step_down(node: &Node, since: Instant) -> bool {
    let best = node.handover.successor(clock::now());
    let steps_down = clock::now().since(since) >= MIN_TIME_AS_LEADER
        && succession::should_step_down(node.leader_capacity, best.as_ref());
    if let Some(best) = best.filter(|_| steps_down) {
        tracing::info!(event = "makes_way", host = %best.host, strength = best.leader_capacity.0,
            own = node.leader_capacity.0);
    }
    steps_down
}
