//! Tests how many searches for a better worker one periodic check of slowed tasks may make, and at which worker
//! the next check continues.

use gaplock_sched::message::WorkerIx;
use gaplock_sched::search_budget;

/// Returns how many searches one check may make on a fleet of so many workers.
fn max_searches(workers: usize) -> usize {
    let mut budget = search_budget::open(workers);
    while !budget.is_exhausted() {
        budget.spend_one();
    }
    budget.made()
}

#[test]
fn a_check_makes_fewer_searches_on_a_larger_fleet_and_never_none() {
    assert_eq!(max_searches(50), 400);
    assert_eq!(max_searches(490), 40);
    assert_eq!(max_searches(3_000), 6);
    assert_eq!(max_searches(100_000), 4);
    assert!(max_searches(0) > 0);
}

#[test]
fn a_check_begins_where_the_last_one_ended_and_skips_no_worker() {
    let all: Vec<WorkerIx> = [0, 2, 3, 7].map(WorkerIx).to_vec();
    let order_from = |from| search_budget::rotated_to(all.clone(), WorkerIx(from));
    assert_eq!(order_from(0), all);
    assert_eq!(order_from(3), [3, 7, 0, 2].map(WorkerIx));
    assert_eq!(order_from(4), [7, 0, 2, 3].map(WorkerIx));
    assert_eq!(order_from(9), all);
}
