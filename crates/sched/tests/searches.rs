//! The searches that a check may make, and where it begins.

use gaplock_sched::message::WorkerIx;
use gaplock_sched::search_budget;

fn most(workers: usize) -> usize {
    let mut searches = search_budget::open(workers);
    while !searches.is_exhausted() {
        searches.spend_one();
    }
    searches.made()
}

#[test]
fn a_check_makes_fewer_searches_on_a_larger_fleet_and_never_none() {
    assert_eq!(most(50), 400);
    assert_eq!(most(490), 40);
    assert_eq!(most(3_000), 6);
    assert_eq!(most(100_000), 4);
    assert!(most(0) > 0);
}

#[test]
fn a_check_begins_where_the_last_one_ended_and_leaves_nobody_out() {
    let all: Vec<WorkerIx> = [0, 2, 3, 7].map(WorkerIx).to_vec();
    let turned = |from| search_budget::rotated_to(all.clone(), WorkerIx(from));
    assert_eq!(turned(0), all);
    assert_eq!(turned(3), [3, 7, 0, 2].map(WorkerIx));
    assert_eq!(turned(4), [7, 0, 2, 3].map(WorkerIx));
    assert_eq!(turned(9), all);
}
