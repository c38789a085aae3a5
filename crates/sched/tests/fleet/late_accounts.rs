//! Accounts of workers that arrive when their worker is gone, or is about to be.

use gaplock_types::time::Instant;

use crate::world::{assert_kept, job, lasting, World};

/// Seen: jobs whose tasks waited for ever, in processes beside crashing workers. A worker's last account
/// arrived after another incarnation had answered in its place, and the tasks that it listed were held
/// to run there, where nobody looks any more.
#[test]
fn an_account_that_comes_after_its_worker_is_gone_is_not_believed() {
    let mut world = World::open(405, 6);
    world.submit(job(1, vec![lasting(12)]));
    world.run(1_000);
    let at = world.busy_worker();
    let (sent, account) = (Instant(world.now), world.account(at));
    world.crash_and_return(at);
    while world.cx.as_ref().is_some_and(|cx| !cx.workers[at].terminated) {
        world.run(1);
    }
    world.hear_of(at, sent, account);
    world.run(10_000);
    assert_eq!(world.running_of(1), 12);
    assert_kept(&world);
}

/// The last answer of a worker that crashed is taken in just after the directory has dropped its entry: that
/// does not make it one that left.
#[test]
fn an_answer_just_after_the_entry_has_gone_is_no_departure() {
    let mut world = World::open(407, 6);
    world.submit(job(1, vec![lasting(6)]));
    world.run(1_000);
    let at = world.busy_worker();
    let (sent, account) = (Instant(world.now), world.account(at));
    world.crash_and_return(at);
    world.unlist(at);
    world.run(5);
    world.hear_of(at, sent, account);
    world.run(9_000);
    assert!(world.suspects() > 0, "the crash is not counted");
    assert_kept(&world);
}
