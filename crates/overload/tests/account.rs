//! The account of queues' load, on made-up events.

use gaplock_overload::account::{corrected, CoreMillis, LoadAccount};
use gaplock_overload::summary::WorkClass;
use gaplock_types::sizes::MilliCores;
use gaplock_types::time::{Instant, Millis};

const CLASS: WorkClass = WorkClass::Short;

/// Returns the arriving and completed work per second of the only queue.
fn rates(account: &LoadAccount, now: u64) -> (f64, f64) {
    let load = account.loads(Instant(now)).find(|load| load.class == CLASS);
    load.map_or((0.0, 0.0), |load| (load.arriving, load.completed))
}

/// Lets 4 core seconds arrive and be done every 100 ms for `span`.
fn run(account: &mut LoadAccount, from: u64, span: u64) {
    let at = account.queue("q").class(CLASS);
    let work = CoreMillis::of_task(MilliCores(4_000), Millis(1_000));
    for now in (from..from + span).step_by(100) {
        account.work_arrived(at, Instant(now), work);
        account.task_done(at, Instant(now), work, work.times(2));
    }
}

/// Guards against averages that are too low for seconds after a leader begins, and against ones
/// that take a single first event for a high rate.
#[test]
fn averages_are_right_soon_after_the_account_opens() {
    let mut account = LoadAccount::open(Instant(10_000));
    run(&mut account, 10_000, 100);
    assert!(rates(&account, 10_001).0 <= 4_800.0, "one event counts as a high rate");
    run(&mut account, 10_100, 2_900);
    let (arriving, completed) = rates(&account, 13_000);
    assert!((arriving - 40_000.0).abs() < 2_000.0, "{arriving} of 40000 arrive");
    assert!((completed - 80_000.0).abs() < 4_000.0, "{completed} of 80000 are completed");
}

/// Guards against an average that does not fall after events stop.
#[test]
fn averages_halve_within_the_half_life() {
    let mut account = LoadAccount::open(Instant(0));
    run(&mut account, 0, 60_000);
    let before = rates(&account, 60_000).0;
    let after = rates(&account, 65_000).0;
    assert!((after / before - 0.5).abs() < 0.01, "{before} became {after}");
}

/// Guards against a successor that takes restored jobs for a burst, or knows no arrivals at first.
#[test]
fn arrivals_before_a_takeover_count_by_their_age() {
    let mut account = LoadAccount::open(Instant(0));
    let at = account.queue("q").class(CLASS);
    for age in (0..30_000).step_by(100) {
        account.work_arrived_before(at, Instant(0), Millis(age), CoreMillis(4_000));
    }
    let arriving = rates(&account, 0).0;
    assert!((arriving - 40_000.0).abs() < 2_000.0, "{arriving} of 40000 arrive");
}

/// Guards against overflow by extreme estimates, and against an unbounded correction.
#[test]
fn extreme_estimates_and_ratios_are_bounded() {
    let mut account = LoadAccount::open(Instant(0));
    let at = account.queue("q").class(CLASS);
    let work = CoreMillis::of_task(MilliCores(u32::MAX), Millis(u64::MAX)).times(20_000);
    account.work_arrived(at, Instant(0), work);
    account.work_arrived(at, Instant(0), work);
    account.work_dropped(at, work);
    account.work_dropped(at, work);
    assert_eq!(account.loads(Instant(0)).map(|load| load.sums.backlog.0).sum::<u64>(), 0);
    assert_eq!(corrected(100.0, 1_000.0), 400);
    assert_eq!(corrected(100.0, 0.0), 25);
}

/// Guards against memory that grows with the names of queues.
#[test]
fn the_number_of_accounts_is_bounded() {
    let mut account = LoadAccount::open(Instant(0));
    for queue in 0..2_000 {
        account.queue(&format!("q{queue}"));
    }
    assert!(account.loads(Instant(0)).count() < 1_000);
}
