//! How often and when workers are asked, on virtual time.

use gaplock_sched::renewals;
use gaplock_types::time::Millis;

use crate::world::{assert_kept, job, step, World};

const WORKERS: usize = 60;

/// Within how many milliseconds renewals count as sent at one time.
const AT_ONE_TIME: u64 = 50;

/// Returns the most renewals that were sent at one time from `since` on.
fn most_at_one_time(world: &World, since: u64) -> usize {
    let times = world.renewals.iter().map(|(at, _)| *at);
    let sent: Vec<u64> = times.filter(|at| *at >= since).collect();
    let within =
        |from: u64| sent.iter().filter(|at| (from..from + AT_ONE_TIME).contains(*at)).count();
    sent.iter().map(|from| within(*from)).max().unwrap_or(0)
}

#[test]
fn workers_are_not_asked_all_at_one_time_after_a_takeover() {
    let mut world = World::open(71, WORKERS);
    world.work_ms = 60_000;
    world.submit(job(1, vec![step(WORKERS as u32 * 2, &[])]));
    world.run(2_000);
    world.take_over();
    world.run(300);
    let since = world.now;
    world.run(4_000);
    let most = most_at_one_time(&world, since);
    assert!(most < WORKERS / 3, "{most} of {WORKERS} workers were asked within {AT_ONE_TIME} ms");
    assert_kept(&world);
}

/// Returns how many entries of the queue of due renewals were examined for each renewal of a fleet at work.
fn examined_for_each_renewal(workers: usize) -> f64 {
    let mut world = World::open(72, workers);
    world.work_ms = 60_000;
    world.submit(job(1, vec![step(workers as u32, &[])]));
    world.run(1_000);
    let before = world.renewals_examined();
    let renewals = world.renewals_within(2_000);
    (world.renewals_examined() - before) as f64 / renewals as f64
}

#[test]
fn a_look_for_due_renewals_costs_by_those_that_are_due() {
    let (small, large) = (examined_for_each_renewal(60), examined_for_each_renewal(240));
    let ratio = large / small;
    assert!(ratio < 1.3, "{small:.1} entries for each renewal, {large:.1} on four times the fleet");
}

#[test]
fn renewals_wait_longer_on_large_fleets_but_no_longer_than_workers_hold_them() {
    let usual = Millis(1_000);
    assert_eq!(renewals::renewal_wait(usual, 66), usual);
    assert_eq!(renewals::renewal_wait(usual, 1_300), Millis(1_300));
    assert_eq!(renewals::renewal_wait(usual, 9_000), Millis(2_000));
}
