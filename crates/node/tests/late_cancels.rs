//! Cancellations that the store carries out late, after the leader's own try of them was refused.
//!
//! Found by reading and shown here first: a host whose write of a cancellation got no answer asked
//! the leader, whose write was refused, and told the caller that nothing was stored; seconds later
//! it was. Cause: the leader's answer was taken for the fate of both tries. The caller is now told
//! that the outcome is not known.

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::site::{self, two_steps};
use support::wait_for;

/// Where cancellations are stored.
const CANCELS: &str = "gaplock/in/cancel/";

/// What a caller is told whose outcome is not known.
const UNKNOWN: u16 = 504;

#[test]
fn a_cancellation_that_may_be_stored_here_is_not_refused_because_the_leader_was() {
    let site = support::open_site(2, 2, Duration::from_secs(60));
    wait_for("the workers to be known", || site.knows_workers());
    let job = JobKey(1);
    let leader = site.leader().expect("there is a leader");
    let follower = &site.hosts[1 - leader];
    assert_eq!(follower.submit(job, &two_steps()), Some(200));
    wait_for("a start", || site.fleet.starts() > 0);
    site.store.hold_next(CANCELS);
    let callers = follower.callers.clone();
    let asked = thread::spawn(move || site::cancel(&callers, job));
    wait_for("a cancellation without an answer", || site.store.holds_one());
    site.store.set_writes_refused(true);
    let told = asked.join().expect("the caller does not panic");
    assert!(site.store.carry_out_held(), "the late cancellation's conditions no longer hold");
    site.store.set_writes_refused(false);
    assert_eq!(told, Some(UNKNOWN), "the caller was told that nothing is stored");
    let cancelled = || follower.state(job).is_some_and(|(_, word)| word == "canceled");
    wait_for("the cancellation to count", cancelled);
}
