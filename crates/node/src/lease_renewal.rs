//! Keeps a leadership: renews its lease in the store and makes sure of the claim.
//!
//! This runs on a thread of its own. A leader of thousands of workers has thousands of calls under way
//! on the one thread that carries all other tasks, and a renewal that waited its turn there would
//! come after the lease's end (`docs/CAPACITY.md`).

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

/// Begins to keep a claim that was sent at `sent`; ends by itself once the standing is lost.
pub fn spawn(node: &Arc<Node>, standing: &Arc<LeadershipStatus>, claim: Claim, sent: Instant) {
    let (node, kept) = (Arc::clone(node), Arc::clone(standing));
    if let Err(e) = threads::spawn(THREAD, renew_and_confirm(node, kept, claim, sent)) {
        tracing::warn!(event = "leadership_lost", why = "no thread to keep it", error = %e);
        standing.lose();
    }
}

/// Renews the lease and makes sure of the claim, and reads the configuration along with it. All three
/// are asked at one time: one after the other they take longer than the lease where the store is slow.
async fn renew_and_confirm(
    node: Arc<Node>,
    standing: Arc<LeadershipStatus>,
    claim: Claim,
    sent: Instant,
) {
    while standing.authority(clock::now()) != Authority::Lost {
        if node.is_stopping() || should_step_down(&node, sent) {
            standing.lose();
            return;
        }
        // Boxed: the states of three calls beside each other are too large for the thread's stack.
        let confirmed = Box::pin(follower::confirm_leadership(&node, &standing, claim.revision));
        let kept = Box::pin(node.store.keep(claim.lease));
        let read = Box::pin(follower::read_config(&node));
        let (_, kept, _) = futures::join!(confirmed, kept, read);
        match kept {
            Ok(()) => node.record_store_answer(),
            Err(StoreError::Gone) => {
                tracing::warn!(event = "leadership_lost", why = "the lease is over");
                standing.lose();
                return;
            }
            Err(e) => tracing::debug!(event = "store_silent", error = %e),
        }
        task::sleep(leadership::RENEW_EVERY).await;
    }
}

/// How long a process leads at least before it makes way, so that hosts do not take turns.
const MIN_TIME_AS_LEADER: Millis = Millis(3_000);

/// Tells whether a much stronger host should lead instead of this one.
fn should_step_down(node: &Node, since: Instant) -> bool {
    let best = node.handover.successor(clock::now());
    let way = clock::now().since(since) >= MIN_TIME_AS_LEADER
        && succession::should_step_down(node.leader_capacity, best.as_ref());
    if let Some(best) = best.filter(|_| way) {
        tracing::info!(event = "makes_way", host = %best.host, strength = best.leader_capacity.0,
            own = node.leader_capacity.0);
    }
    way
}
