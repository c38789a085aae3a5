//! Cancellations that the store carries out late, after the leader's own attempt was refused.
//!
//! Guards against a caller that is notified that nothing is stored although the cancellation is
//! stored seconds later. A host whose write got no answer asked the leader, whose write was
//! refused, and the leader's answer was taken as the outcome of both attempts. The caller is now
//! notified that the outcome is unknown.

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::site::{self, two_steps};
use support::wait_for;

/// Where cancellations are stored.
const CANCELS: &str = "gaplock/in/cancel/";

/// The status that a caller gets if the outcome is unknown.
const OUTCOME_UNKNOWN_STATUS: u16 = 504;

#[test]
fn a_cancellation_that_may_be_stored_here_is_not_refused_because_the_leader_was() {
    let site = support::open_site(2, 2, Duration::from_secs(60));
    wait_for("the workers to be known", || site.has_stored_workers());
    let job = JobKey(1);
    let leader = site.leader().expect("there is a leader");
    let follower = &site.hosts[1 - leader];
    assert_eq!(follower.submit(job, &two_steps()), Some(200));
    wait_for("a start", || site.fleet.starts() > 0);
    site.store.hold_back_next(CANCELS);
    let callers = follower.callers.clone();
    let cancellation = thread::spawn(move || site::cancel(&callers, job));
    wait_for("a cancellation without an answer", || site.store.has_held_back());
    site.store.set_writes_refused(true);
    let status = cancellation.join().expect("the caller does not panic");
    assert!(site.store.carry_out_held(), "the late cancellation's conditions no longer hold");
    site.store.set_writes_refused(false);
    assert_eq!(
        status,
        Some(OUTCOME_UNKNOWN_STATUS),
        "the caller was notified that nothing is stored"
    );
    let cancelled = || follower.state(job).is_some_and(|(_, shown)| shown == "canceled");
    wait_for("the cancellation to take effect", cancelled);
}
