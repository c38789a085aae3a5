//! Maintains a leadership: renews its lease in the store and confirms that its claim is still
//! stored.
//!
//! This runs on a separate thread. A leader of thousands of workers has thousands of calls under
//! way on the one thread that runs all other tasks, and a renewal queued behind them would come
//! after the lease has expired (`docs/CAPACITY.md`).

use std::pin::pin;
use std::sync::Arc;

use async_std::task;
use futures::future::select;
use gaplock_platform::store::{Revision, StoreError};
use gaplock_policy::authority::{self, Authority};
use gaplock_policy::succession;
use gaplock_remote::clock;
use gaplock_types::time::{Instant, Millis};

use crate::leadership::{self, Claim, LeadershipStatus};
use crate::node::Node;
use crate::{follower, threads};

/// The thread's name.
const THREAD: &str = "leadership";

/// Starts to maintain a claim that was sent at `sent`; ends when the leadership is lost.
pub fn spawn(node: &Arc<Node>, leadership: &Arc<LeadershipStatus>, claim: Claim, sent: Instant) {
    let (node, shared) = (Arc::clone(node), Arc::clone(leadership));
    let maintained = async move {
        let confirmed = pin!(confirm_when_wanted(&node, &shared, claim.revision));
        let renewed = pin!(renew_and_confirm(&node, &shared, &claim, sent));
        select(renewed, confirmed).await;
    };
    if let Err(e) = threads::spawn(THREAD, maintained) {
        tracing::warn!(event = "leadership_lost", why = "no thread to keep it", error = %e);
        leadership.lose();
    }
}

/// Repeatedly renews the lease and confirms the claim. The two calls run concurrently: one after the other they take longer than the lease where the store is slow.
async fn renew_and_confirm(
    node: &Arc<Node>,
    leadership: &LeadershipStatus,
    claim: &Claim,
    sent: Instant,
) {
    while leadership.authority(clock::now()) != Authority::Lost {
        if node.is_stopping() || should_step_down(node, sent) {
            leadership.lose();
            return;
        }
        // Boxed: the futures of concurrent calls are too large for the thread's stack.
        let confirmed = Box::pin(follower::confirm_leadership(node, leadership, claim.revision));
        let renewed = Box::pin(node.store.renew_lease(claim.lease));
        let probed = Box::pin(forget_ended_followers(leadership));
        let (_, renewed, ()) = futures::join!(confirmed, renewed, probed);
        match renewed {
            Ok(()) => node.record_store_answer(),
            Err(StoreError::Gone) => {
                tracing::warn!(event = "leadership_lost", why = "the lease is over");
                leadership.lose();
                return;
            }
            Err(e) => {
                tracing::debug!(event = "store_silent", error = %e);
                node.record_store_failure();
            }
        }
        task::sleep(leadership::RENEW_EVERY).await;
    }
}

/// Confirms the claim whenever that is wanted at once: the other calls may still wait for a store
/// that has not answered for a while.
async fn confirm_when_wanted(node: &Node, leadership: &LeadershipStatus, revision: Revision) {
    loop {
        leadership.confirmation_wanted().await;
        let began = clock::now();
        follower::confirm_leadership(node, leadership, revision).await;
        leadership.lose_if_contradicted(began);
    }
}

/// How many silent followers are probed at a time.
const MAX_PROBES: usize = 8;

/// Forgets the silent followers whose processes have ended. Otherwise their silence would keep a
/// leader without confirmation from acting.
async fn forget_ended_followers(leadership: &LeadershipStatus) {
    let now = clock::now();
    if authority::is_confirmed(leadership.confirmed_at(), now) {
        return;
    }
    let silent = leadership.silent_followers(now).into_iter().take(MAX_PROBES);
    let probes = silent
        .map(|(host, addr)| async move { follower::process_is_dead(&addr).await.then_some(host) });
    let ended = futures::future::join_all(probes).await;
    ended.iter().flatten().for_each(|host| leadership.forget_follower(host));
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
